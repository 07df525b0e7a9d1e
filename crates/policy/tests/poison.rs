//! Requests under which endpoints end: one VM's table, and the tables of many VMs that tell each other.

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

/// Guards against a request that goes on ending endpoints, and against one end that counts for several.
#[test]
fn a_request_is_barred_with_the_third_end() {
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

/// Guards against a second life of an endpoint that is taken for the first.
#[test]
fn each_life_of_an_endpoint_counts() {
    let (mut table, bad) = (Table::default(), digest("bad"));
    for life in 1..=2 {
        let end = Crash {
            endpoint: 1,
            incarnation: Some(life),
        };
        table.record_crash(bad, end, at(life));
    }
    let third = Crash {
        endpoint: 1,
        incarnation: Some(3),
    };
    assert_eq!(table.record_crash(bad, third, at(3)), Verdict::Blocked);
}

/// Guards against an endpoint that does not tell its lives apart, whose second end counts for nothing, or
/// whose one end counts for each that saw it.
#[test]
fn ends_of_an_endpoint_without_lives_are_told_apart_by_time() {
    let (mut table, bad) = (Table::default(), digest("bad"));
    let end = Crash {
        endpoint: 1,
        incarnation: None,
    };
    assert_eq!(table.record_crash(bad, end, at(1)), Verdict::Suspected(1));
    assert_eq!(table.record_crash(bad, end, at(1)), Verdict::Duplicate);
    assert_eq!(table.record_crash(bad, end, at(4)), Verdict::Suspected(2));
    assert_eq!(table.record_crash(bad, end, at(8)), Verdict::Blocked);
}

/// Guards against an honest request barred for what others did: an answer that was whole clears it.
#[test]
fn a_whole_answer_clears_a_bystander() {
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

/// Guards against a popular request barred when nearly all endpoints are lost at once.
#[test]
fn a_popular_request_outlives_the_loss_of_nearly_all_endpoints() {
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

/// Guards against a request that was once well, and is never barred though all endpoints end under it.
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

/// Guards against an answer that ends a bar too late: one that was under way when the bar came.
#[test]
fn a_whole_answer_ends_a_bar() {
    let (mut table, honest) = (Table::default(), digest("honest"));
    for endpoint in 0..3 {
        table.record_crash(honest, crash(endpoint), at(1));
    }
    assert!(table.blocked_for(honest, at(2)).is_some());
    assert!(table.record_answer(honest, at(2)));
    assert_eq!(table.blocked_for(honest, at(2)), None);
}

/// Guards against a bar for ever, and against one that has run out and lets three more endpoints end.
#[test]
fn after_a_bar_one_end_bars_again_for_longer() {
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
    // Without a further end it is forgotten in the end.
    let later = again + 2 * config.block_duration;
    assert_eq!(table.expire_blocks(later), [bad]);
    assert_eq!(table.expire_blocks(later + config.crash_ttl), []);
    assert_eq!(table.counts(), (0, 0));
}

/// Guards against a flood of different requests that pushes out what is known of others.
#[test]
fn a_flood_of_requests_pushes_out_no_bar_and_no_stronger_suspect() {
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
    let (suspects, barred) = table.counts();
    assert!(suspects + barred <= config.max_suspects);
}

/// Random numbers of a test.
struct Draws(u64);

impl Draws {
    /// A number from 0 to 1.
    #[expect(clippy::cast_precision_loss, reason = "some digits are enough")]
    fn share(&mut self) -> f64 {
        self.0 += 1;
        let bits = xxhash_rust::xxh3::xxh3_64(&self.0.to_le_bytes());
        (bits >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn below(&mut self, count: usize) -> usize {
        let count = u32::try_from(count).unwrap();
        let place = self.share() * f64::from(count);
        (0..count).rfind(|n| f64::from(*n) <= place).unwrap_or(0) as usize
    }

    fn upto(&mut self, span: Duration) -> Duration {
        span.mul_f64(self.share())
    }
}

/// What a VM tells another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Word {
    Crashed(u64),
    Answered,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A caller asks a VM, for the first time or within its attempts.
    Ask { vm: usize, attempt: u32 },
    /// An endpoint ends under a run of a VM.
    Ends {
        vm: usize,
        endpoint: usize,
        attempt: u32,
    },
    /// A VM hears a word; `passes` if it is to tell its zone.
    Hears { vm: usize, word: Word, passes: bool },
    /// A VM says that the request is cleared, unless it has heard so since.
    Contradicts { vm: usize, since: Moment },
    /// An endpoint is back.
    Back { endpoint: usize },
}

/// VMs in zones before endpoints that one request ends.
struct Fleet {
    zones: usize,
    tables: Vec<Table>,
    /// The life of each endpoint, and whether it is there.
    endpoints: Vec<(u64, bool)>,
    events: BinaryHeap<Reverse<(Moment, u64, Event)>>,
    count: u64,
    draws: Draws,
    bad: Digest,
    ends: Vec<Moment>,
    sent: Vec<Moment>,
    words: u64,
    /// When each VM last heard that the request is cleared.
    heard: Vec<Moment>,
}

/// Of datagrams that are lost.
const LOST: f64 = 0.05;
/// From the arrival of the request to the end of its endpoint, and from there until it is back.
const RUNS: Duration = Duration::from_millis(60);
const BACK: Duration = Duration::from_secs(4);
/// Time between a word's repetitions, and the longest wait of a word to another zone.
const AGAIN: Duration = Duration::from_millis(1_100);
const FAR: Duration = Duration::from_millis(300);
/// The longest wait of a VM that knows better.
const CONTRADICTS: Duration = Duration::from_millis(300);

impl Fleet {
    fn new(vms: usize, zones: usize, seed: u64) -> Self {
        Self {
            zones,
            tables: vec![Table::default(); vms],
            endpoints: vec![(1, true); (vms / 2).max(9)],
            events: BinaryHeap::new(),
            count: 0,
            draws: Draws(seed << 32),
            bad: digest("bad"),
            ends: Vec::new(),
            sent: Vec::new(),
            words: 0,
            heard: vec![Moment::ZERO; vms],
        }
    }

    fn plan(&mut self, at: Moment, event: Event) {
        self.count += 1;
        self.events.push(Reverse((at, self.count, event)));
    }

    /// The longest wait of a word within a zone: the time between datagrams there.
    fn period(&self) -> Duration {
        let others = u32::try_from(self.tables.len() / self.zones).unwrap();
        (Duration::from_millis(20) * others).min(Duration::from_millis(600))
    }

    fn tell(&mut self, vm: usize, word: Word, now: Moment) {
        for repetition in 0..3 {
            let now = now + AGAIN * repetition;
            self.tell_zone(vm, word, now);
            let own = vm % self.zones;
            for zone in (0..self.zones).filter(|zone| *zone != own) {
                let members = self.tables.len().saturating_sub(zone).div_ceil(self.zones);
                let one = zone + self.draws.below(members) * self.zones;
                let wait = self.draws.upto(FAR);
                self.send(one, word, true, now + wait);
            }
        }
    }

    fn tell_zone(&mut self, vm: usize, word: Word, now: Moment) {
        for other in (vm % self.zones..self.tables.len()).step_by(self.zones) {
            if other != vm {
                let wait = self.draws.upto(self.period());
                self.send(other, word, false, now + wait);
            }
        }
    }

    fn send(&mut self, vm: usize, word: Word, passes: bool, at: Moment) {
        self.words += 1;
        if self.draws.share() >= LOST {
            self.plan(at, Event::Hears { vm, word, passes });
        }
    }

    fn happen(&mut self, event: Event, now: Moment) {
        match event {
            Event::Ask { vm, attempt } => {
                let there: Vec<usize> = (0..self.endpoints.len())
                    .filter(|place| self.endpoints[*place].1)
                    .collect();
                let barred = self.tables[vm].blocked_for(self.bad, now).is_some();
                if barred || there.is_empty() {
                    return;
                }
                let endpoint = there[self.draws.below(there.len())];
                self.sent.push(now);
                let ends = Event::Ends {
                    vm,
                    endpoint,
                    attempt,
                };
                self.plan(now + RUNS, ends);
            }
            Event::Ends {
                vm,
                endpoint,
                attempt,
            } => {
                let (life, there) = &mut self.endpoints[endpoint];
                let key = endpoint as u64 * 1_000 + *life;
                if std::mem::replace(there, false) {
                    self.ends.push(now);
                    self.plan(now + BACK, Event::Back { endpoint });
                }
                self.count_end(vm, key, now);
                self.tell(vm, Word::Crashed(key), now);
                if attempt < 3 {
                    let attempt = attempt + 1;
                    self.plan(now, Event::Ask { vm, attempt });
                }
            }
            Event::Hears { vm, word, passes } => {
                match word {
                    Word::Crashed(key) => self.count_end(vm, key, now),
                    Word::Answered => {
                        self.tables[vm].merge_answer(self.bad, now);
                        self.heard[vm] = now;
                    }
                }
                if passes {
                    self.tell_zone(vm, word, now);
                }
            }
            Event::Contradicts { vm, since } => {
                if self.heard[vm] < since {
                    self.tell(vm, Word::Answered, now);
                }
            }
            Event::Back { endpoint } => {
                let (life, there) = &mut self.endpoints[endpoint];
                *life += 1;
                *there = true;
            }
        }
    }

    fn count_end(&mut self, vm: usize, key: u64, now: Moment) {
        let verdict = self.tables[vm].record_crash(self.bad, crash(key), now);
        if verdict == Verdict::Cleared && self.tables[vm].should_announce_answer(self.bad, now) {
            let wait = self.draws.upto(CONTRADICTS);
            self.plan(now + wait, Event::Contradicts { vm, since: now });
        }
    }

    fn run(&mut self, until: Moment) {
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now > until {
                return;
            }
            self.happen(event, now);
        }
    }
}

/// Numbers of VMs and zones.
const SIZES: [(usize, usize); 4] = [(9, 3), (79, 3), (195, 5), (300, 5)];

/// Guards against VMs that each let a request end three endpoints before they know of it.
#[test]
fn all_vms_together_stop_sending_a_request_that_ends_endpoints() {
    for (vms, zones) in SIZES {
        for seed in 1..=8 {
            let mut fleet = Fleet::new(vms, zones, seed);
            // Comes at five VMs at once, then ten times a second.
            for repeat in 0..300_u64 {
                let vm = fleet.draws.below(vms);
                let at = Moment::from_millis(1_000 + repeat.saturating_sub(5) * 100);
                fleet.plan(at, Event::Ask { vm, attempt: 1 });
            }
            fleet.run(at(40));
            let known = fleet.ends[2] + Duration::from_secs(3);
            let late = fleet.sent.iter().filter(|at| **at > known).count();
            assert_eq!(late, 0, "{vms} VMs, seed {seed}");
            let (ends, words) = (fleet.ends.len(), fleet.words);
            println!("{vms} VMs: {ends} ends, {words} words");
        }
    }
}

/// Guards against VMs that do not know a popular request, and bar it as nearly all endpoints are lost.
#[test]
fn vms_that_know_a_request_as_answered_tell_those_that_do_not() {
    for (vms, zones) in SIZES {
        let mut fleet = Fleet::new(vms, zones, 1);
        // Every other VM answered it a little before.
        for vm in (0..vms).step_by(2) {
            let popular = fleet.bad;
            fleet.tables[vm].record_answer(popular, at(9));
        }
        let lost = fleet.endpoints.len() - 1;
        for endpoint in 0..lost {
            let vm = fleet.draws.below(vms);
            let ends = Event::Ends {
                vm,
                endpoint,
                attempt: 3,
            };
            fleet.plan(at(10), ends);
        }
        fleet.run(at(12));
        let popular = fleet.bad;
        let barred = fleet
            .tables
            .iter()
            .filter(|t| t.blocked_for(popular, at(12)).is_some());
        assert_eq!(barred.count(), 0, "{vms} VMs");
        println!("{vms} VMs: {} words", fleet.words);
    }
}
