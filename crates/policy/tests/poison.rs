//! Poison requests: the table of one VM, and the tables of many VMs that exchange messages.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use pimento_policy::poison::Config;
use pimento_policy::poison::Crash;
use pimento_policy::poison::Table;
use pimento_policy::poison::Verdict;
use pimento_units::Digest;
use pimento_units::Moment;

fn digest(text: &str) -> Digest {
    Digest::of([text.as_bytes()])
}

const fn crash(endpoint: u64) -> Crash {
    Crash {
        endpoint,
        incarnation: Some(1),
    }
}

fn at(seconds: u64) -> Moment {
    Moment::from_millis(seconds * 1_000)
}

/// Guards against a request that keeps crashing endpoints, and against one crash that counts several times.
#[test]
fn a_request_is_blocked_after_the_third_crash() {
    let (mut table, bad) = (Table::default(), digest("bad"));
    assert_eq!(
        table.record_crash(bad, crash(1), at(1)),
        Verdict::Suspected(1)
    );
    assert_eq!(table.record_crash(bad, crash(1), at(1)), Verdict::Duplicate);
    assert_eq!(
        table.record_crash(bad, crash(2), at(2)),
        Verdict::Suspected(2)
    );
    assert_eq!(table.blocked_for(bad, at(2)), None);
    assert_eq!(table.record_crash(bad, crash(3), at(3)), Verdict::Blocked);
    let left = table.blocked_for(bad, at(4)).unwrap();
    assert_eq!(
        left + Duration::from_secs(1),
        Config::default().block_duration
    );
    assert_eq!(table.blocked_for(digest("other"), at(4)), None);
    assert_eq!(table.counts(), (0, 1));
}

/// Guards against renamed variants that change the words in logs.
#[test]
fn verdicts_keep_their_words_in_logs() {
    let verdicts = [
        (Verdict::Cleared, "Cleared"),
        (Verdict::Duplicate, "Known"),
        (Verdict::Suspected(2), "Suspected(2)"),
        (Verdict::Blocked, "Barred"),
    ];
    for (verdict, text) in verdicts {
        assert_eq!(format!("{verdict:?}"), text);
    }
}

/// Guards against a second incarnation of an endpoint that is taken for the first.
#[test]
fn each_incarnation_of_an_endpoint_counts() {
    let (mut table, bad) = (Table::default(), digest("bad"));
    for incarnation in 1..=2 {
        let crash = Crash {
            endpoint: 1,
            incarnation: Some(incarnation),
        };
        table.record_crash(bad, crash, at(incarnation));
    }
    let third = Crash {
        endpoint: 1,
        incarnation: Some(3),
    };
    assert_eq!(table.record_crash(bad, third, at(3)), Verdict::Blocked);
}

/// Guards against an endpoint without incarnations whose second crash does not count, or whose one crash
/// counts once for each VM that saw it.
#[test]
fn crashes_without_incarnations_are_distinguished_by_time() {
    let (mut table, bad) = (Table::default(), digest("bad"));
    let crash = Crash {
        endpoint: 1,
        incarnation: None,
    };
    assert_eq!(table.record_crash(bad, crash, at(1)), Verdict::Suspected(1));
    assert_eq!(table.record_crash(bad, crash, at(1)), Verdict::Duplicate);
    assert_eq!(table.record_crash(bad, crash, at(4)), Verdict::Suspected(2));
    assert_eq!(table.record_crash(bad, crash, at(8)), Verdict::Blocked);
}

/// Guards against a block of a request that did not cause the crashes: a complete answer clears it.
#[test]
fn a_complete_answer_clears_a_request() {
    let (mut table, honest) = (Table::default(), digest("honest"));
    for round in 0..20 {
        let seconds = round * 60;
        table.record_crash(honest, crash(2 * round), at(seconds));
        table.record_crash(honest, crash(2 * round + 1), at(seconds + 1));
        assert!(table.record_answer(honest, at(seconds + 2)));
        assert_eq!(table.blocked_for(honest, at(seconds + 3)), None);
    }
    assert_eq!(table.counts(), (0, 0));
}

/// Guards against a block of a popular request when nearly all endpoints are lost at once.
#[test]
fn a_popular_request_is_not_blocked_when_nearly_all_endpoints_are_lost() {
    let (mut table, popular) = (Table::default(), digest("popular"));
    table.record_answer(popular, at(10));
    for endpoint in 0..77 {
        assert_eq!(
            table.record_crash(popular, crash(endpoint), at(12)),
            Verdict::Cleared
        );
    }
    assert_eq!(table.blocked_for(popular, at(12)), None);
}

/// Guards against a request that was answered long ago and is never blocked although it crashes all
/// endpoints.
#[test]
fn an_old_answer_clears_nothing() {
    let (mut table, turned) = (Table::default(), digest("turned"));
    table.record_answer(turned, at(10));
    for endpoint in 0..2 {
        table.record_crash(turned, crash(endpoint), at(60));
    }
    assert_eq!(
        table.record_crash(turned, crash(2), at(60)),
        Verdict::Blocked
    );
}

/// Guards against a block that outlasts a complete answer which was in progress when the block began.
#[test]
fn a_complete_answer_removes_a_block() {
    let (mut table, honest) = (Table::default(), digest("honest"));
    for endpoint in 0..3 {
        table.record_crash(honest, crash(endpoint), at(1));
    }
    assert!(table.blocked_for(honest, at(2)).is_some());
    assert!(table.record_answer(honest, at(2)));
    assert_eq!(table.blocked_for(honest, at(2)), None);
}

/// Guards against a block without end, and against one whose expiry lets three more endpoints crash.
#[test]
fn after_a_block_one_crash_blocks_again_for_longer() {
    let config = Config::default();
    let (mut table, bad) = (Table::new(config), digest("bad"));
    for endpoint in 0..3 {
        table.record_crash(bad, crash(endpoint), at(0));
    }
    let out = Moment::ZERO + config.block_duration;
    assert_eq!(table.expire_blocks(at(1)), []);
    assert_eq!(table.blocked_for(bad, out), None);
    assert_eq!(table.expire_blocks(out), [bad]);
    let again = out + Duration::from_secs(1);
    assert_eq!(table.record_crash(bad, crash(3), again), Verdict::Blocked);
    assert_eq!(
        table.blocked_for(bad, again),
        Some(2 * config.block_duration)
    );
    // Without a further crash the request is forgotten.
    let later = again + 2 * config.block_duration;
    assert_eq!(table.expire_blocks(later), [bad]);
    assert_eq!(table.expire_blocks(later + config.crash_ttl), []);
    assert_eq!(table.counts(), (0, 0));
}

/// Guards against a flood of different requests that evicts the state of others.
#[test]
fn a_flood_of_requests_evicts_neither_blocks_nor_stronger_suspects() {
    let config = Config {
        max_suspects: 50,
        max_answers: 50,
        ..Config::default()
    };
    let mut table = Table::new(config);
    let (bad, suspect, popular) = (digest("bad"), digest("suspect"), digest("popular"));
    for endpoint in 0..3 {
        table.record_crash(bad, crash(endpoint), at(0));
    }
    for endpoint in 0..2 {
        table.record_crash(suspect, crash(endpoint), at(0));
    }
    for round in 0..1_000 {
        let other = digest(&format!("other {round}"));
        table.record_crash(other, crash(round), at(1));
        table.record_answer(digest(&format!("answered {round}")), at(1));
        table.record_answer(popular, at(1) + Duration::from_millis(round));
    }
    assert!(table.blocked_for(bad, at(2)).is_some());
    assert_eq!(
        table.record_crash(suspect, crash(9), at(2)),
        Verdict::Blocked
    );
    assert!(table.is_cleared(popular, at(2)));
    let (suspects, blocked) = table.counts();
    assert!(suspects + blocked <= config.max_suspects);
}

/// A reproducible sequence of random numbers.
struct Random(u64);

impl Random {
    /// Returns a number from 0 to 1.
    #[expect(clippy::cast_precision_loss, reason = "some digits are enough")]
    fn share(&mut self) -> f64 {
        self.0 += 1;
        let bits = xxhash_rust::xxh3::xxh3_64(&self.0.to_le_bytes());
        (bits >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn below(&mut self, count: usize) -> usize {
        let count = u32::try_from(count).unwrap();
        let point = self.share() * f64::from(count);
        (0..count).rfind(|n| f64::from(*n) <= point).unwrap_or(0) as usize
    }

    fn up_to(&mut self, span: Duration) -> Duration {
        span.mul_f64(self.share())
    }
}

/// A message from one VM to others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Message {
    Crash(u64),
    Answer,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A caller sends the request to a VM, or the VM makes a further attempt.
    Ask { vm: usize, attempt: u32 },
    /// An endpoint crashes under a run of a VM.
    Crash {
        vm: usize,
        endpoint: usize,
        attempt: u32,
    },
    /// A VM receives a message, which it forwards within its zone if `forwards` is set.
    Receive {
        vm: usize,
        message: Message,
        forwards: bool,
    },
    /// A VM announces that the request is cleared, unless it has received that since.
    Announce { vm: usize, since: Moment },
    /// An endpoint has restarted.
    Restart { endpoint: usize },
}

/// VMs in zones, with endpoints that one request crashes.
struct Fleet {
    zones: usize,
    tables: Vec<Table>,
    /// The incarnation of each endpoint, and whether it is running.
    endpoints: Vec<(u64, bool)>,
    events: BinaryHeap<Reverse<(Moment, u64, Event)>>,
    count: u64,
    random: Random,
    bad: Digest,
    crashes: Vec<Moment>,
    sent: Vec<Moment>,
    messages: u64,
    /// When each VM last received that the request is cleared.
    last_answer: Vec<Moment>,
}

/// Share of datagrams that are lost.
const LOSS_RATE: f64 = 0.05;
/// Time from the arrival of the request to the crash of its endpoint, and from there to its restart.
const RUN_TIME: Duration = Duration::from_millis(60);
const RESTART_TIME: Duration = Duration::from_secs(4);
/// Time between repetitions of a message, and the maximum delay of a message to another zone.
const REPEAT_INTERVAL: Duration = Duration::from_millis(1_100);
const MAX_REMOTE_DELAY: Duration = Duration::from_millis(300);
/// Maximum delay before a VM announces that the request is cleared.
const MAX_ANNOUNCE_DELAY: Duration = Duration::from_millis(300);

impl Fleet {
    fn new(vms: usize, zones: usize, seed: u64) -> Self {
        Self {
            zones,
            tables: vec![Table::default(); vms],
            endpoints: vec![(1, true); (vms / 2).max(9)],
            events: BinaryHeap::new(),
            count: 0,
            random: Random(seed << 32),
            bad: digest("bad"),
            crashes: Vec::new(),
            sent: Vec::new(),
            messages: 0,
            last_answer: vec![Moment::ZERO; vms],
        }
    }

    fn schedule(&mut self, at: Moment, event: Event) {
        self.count += 1;
        self.events.push(Reverse((at, self.count, event)));
    }

    /// Returns the maximum delay of a message within a zone, which is the time between datagrams there.
    fn zone_delay(&self) -> Duration {
        let others = u32::try_from(self.tables.len() / self.zones).unwrap();
        (Duration::from_millis(20) * others).min(Duration::from_millis(600))
    }

    fn broadcast(&mut self, vm: usize, message: Message, now: Moment) {
        for repetition in 0..3 {
            let now = now + REPEAT_INTERVAL * repetition;
            self.broadcast_zone(vm, message, now);
            let own = vm % self.zones;
            for zone in (0..self.zones).filter(|zone| *zone != own) {
                let members = self.tables.len().saturating_sub(zone).div_ceil(self.zones);
                let one = zone + self.random.below(members) * self.zones;
                let wait = self.random.up_to(MAX_REMOTE_DELAY);
                self.send(one, message, true, now + wait);
            }
        }
    }

    fn broadcast_zone(&mut self, vm: usize, message: Message, now: Moment) {
        for other in (vm % self.zones..self.tables.len()).step_by(self.zones) {
            if other != vm {
                let wait = self.random.up_to(self.zone_delay());
                self.send(other, message, false, now + wait);
            }
        }
    }

    fn send(&mut self, vm: usize, message: Message, forwards: bool, at: Moment) {
        self.messages += 1;
        if self.random.share() >= LOSS_RATE {
            let event = Event::Receive {
                vm,
                message,
                forwards,
            };
            self.schedule(at, event);
        }
    }

    fn handle(&mut self, event: Event, now: Moment) {
        match event {
            Event::Ask { vm, attempt } => {
                let running: Vec<usize> = (0..self.endpoints.len())
                    .filter(|index| self.endpoints[*index].1)
                    .collect();
                let blocked = self.tables[vm].blocked_for(self.bad, now).is_some();
                if blocked || running.is_empty() {
                    return;
                }
                let endpoint = running[self.random.below(running.len())];
                self.sent.push(now);
                let crash = Event::Crash {
                    vm,
                    endpoint,
                    attempt,
                };
                self.schedule(now + RUN_TIME, crash);
            }
            Event::Crash {
                vm,
                endpoint,
                attempt,
            } => {
                let (incarnation, running) = &mut self.endpoints[endpoint];
                let key = endpoint as u64 * 1_000 + *incarnation;
                if std::mem::replace(running, false) {
                    self.crashes.push(now);
                    self.schedule(now + RESTART_TIME, Event::Restart { endpoint });
                }
                self.record_crash(vm, key, now);
                self.broadcast(vm, Message::Crash(key), now);
                if attempt < 3 {
                    let attempt = attempt + 1;
                    self.schedule(now, Event::Ask { vm, attempt });
                }
            }
            Event::Receive {
                vm,
                message,
                forwards,
            } => {
                match message {
                    Message::Crash(key) => self.record_crash(vm, key, now),
                    Message::Answer => {
                        self.tables[vm].merge_answer(self.bad, now);
                        self.last_answer[vm] = now;
                    }
                }
                if forwards {
                    self.broadcast_zone(vm, message, now);
                }
            }
            Event::Announce { vm, since } => {
                if self.last_answer[vm] < since {
                    self.broadcast(vm, Message::Answer, now);
                }
            }
            Event::Restart { endpoint } => {
                let (incarnation, running) = &mut self.endpoints[endpoint];
                *incarnation += 1;
                *running = true;
            }
        }
    }

    fn record_crash(&mut self, vm: usize, key: u64, now: Moment) {
        let verdict = self.tables[vm].record_crash(self.bad, crash(key), now);
        if verdict == Verdict::Cleared && self.tables[vm].should_announce_answer(self.bad, now) {
            let wait = self.random.up_to(MAX_ANNOUNCE_DELAY);
            self.schedule(now + wait, Event::Announce { vm, since: now });
        }
    }

    fn run(&mut self, until: Moment) {
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now > until {
                return;
            }
            self.handle(event, now);
        }
    }
}

/// Numbers of VMs, each with the number of zones.
const SIZES: [(usize, usize); 4] = [(9, 3), (79, 3), (195, 5), (300, 5)];

/// Guards against VMs that each let a request crash three endpoints before they know of it.
#[test]
fn all_vms_together_stop_sending_a_request_that_ends_endpoints() {
    for (vms, zones) in SIZES {
        for seed in 1..=8 {
            let mut fleet = Fleet::new(vms, zones, seed);
            // The request arrives at five VMs at once, then ten times a second.
            for repeat in 0..300_u64 {
                let vm = fleet.random.below(vms);
                let at = Moment::from_millis(1_000 + repeat.saturating_sub(5) * 100);
                fleet.schedule(at, Event::Ask { vm, attempt: 1 });
            }
            fleet.run(at(40));
            let known = fleet.crashes[2] + Duration::from_secs(3);
            let late = fleet.sent.iter().filter(|at| **at > known).count();
            assert_eq!(late, 0, "{vms} VMs, seed {seed}");
            let (crashes, messages) = (fleet.crashes.len(), fleet.messages);
            println!("{vms} VMs: {crashes} crashes, {messages} messages");
        }
    }
}

/// Guards against VMs that do not know a popular request, and block it when nearly all endpoints are lost.
#[test]
fn vms_announce_answers_to_vms_that_do_not_know_them() {
    for (vms, zones) in SIZES {
        let mut fleet = Fleet::new(vms, zones, 1);
        // Every other VM has got an answer a little before.
        for vm in (0..vms).step_by(2) {
            let popular = fleet.bad;
            fleet.tables[vm].record_answer(popular, at(9));
        }
        let lost = fleet.endpoints.len() - 1;
        for endpoint in 0..lost {
            let vm = fleet.random.below(vms);
            let crash = Event::Crash {
                vm,
                endpoint,
                attempt: 3,
            };
            fleet.schedule(at(10), crash);
        }
        fleet.run(at(12));
        let popular = fleet.bad;
        let blocked = fleet
            .tables
            .iter()
            .filter(|t| t.blocked_for(popular, at(12)).is_some());
        assert_eq!(blocked.count(), 0, "{vms} VMs");
        println!("{vms} VMs: {} messages", fleet.messages);
    }
}
