//! Prompt parts that crash endpoints: the table of one VM, and the tables of many VMs that exchange reports.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use pimento_policy::poison::Crash;
use pimento_policy::poison::parts::Config;
use pimento_policy::poison::parts::Id;
use pimento_policy::poison::parts::Suspect;
use pimento_policy::poison::parts::Table;
use pimento_units::Moment;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const LEAD: Id = Id(1);
const BAD: Id = Id(2);
const SOUND: Id = Id(3);

const fn crash(endpoint: u64) -> Crash {
    Crash {
        endpoint,
        incarnation: Some(1),
    }
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

/// A part of a prompt whose answer began at this time.
fn begun(id: Id, since: u64) -> Suspect {
    Suspect {
        id,
        leads: id == LEAD,
        begun: true,
        since: at(since),
    }
}

/// Records a crash each second, shortly after answers to prompts with these parts began.
fn crash_each_second(table: &mut Table, count: u64, parts: &[Id]) {
    for second in 1..=count {
        let suspects: Vec<Suspect> = parts
            .iter()
            .map(|id| begun(*id, second * 1_000 - 50))
            .collect();
        table.record_crash(crash(second), at(second * 1_000), &suspects);
    }
}

fn blocked(table: &mut Table, now: u64) -> Vec<Id> {
    table.evaluate(at(now));
    table.blocked(at(now)).map(|(id, _)| id).collect()
}

/// Guards against a part that crashes one endpoint after the other, and a leading part blocked beside it.
#[test]
fn a_part_is_blocked_after_three_crashes_and_its_leading_part_is_not() {
    let mut table = Table::default();
    crash_each_second(&mut table, 2, &[LEAD, BAD]);
    assert_eq!(blocked(&mut table, 2_900), []);
    crash_each_second(&mut table, 5, &[LEAD, BAD]);
    assert_eq!(blocked(&mut table, 20_000), [BAD]);
    let left = table.blocked_for(BAD, at(20_000)).unwrap();
    assert_eq!(left + Duration::from_secs(15), Config::default().crash_ttl);
}

/// Guards against a leading part that crashes endpoints by itself and is never blocked.
#[test]
fn a_leading_part_that_alone_explains_the_crashes_is_blocked() {
    let mut table = Table::default();
    for second in 1..=4 {
        let suspects = [
            begun(LEAD, second * 1_000 - 50),
            begun(Id(100 + second), second * 1_000 - 50),
        ];
        table.record_crash(crash(second), at(second * 1_000), &suspects);
    }
    assert_eq!(blocked(&mut table, 9_000), [LEAD]);
}

/// Guards against a popular part that is blocked because it ran beside a bad one in each crash.
#[test]
fn crashes_that_one_part_explains_count_against_no_other() {
    let mut table = Table::default();
    crash_each_second(&mut table, 6, &[LEAD, BAD]);
    for second in 2..=5 {
        let popular = begun(SOUND, second * 1_000 - 300);
        table.record_crash(crash(second), at(second * 1_000), &[popular]);
    }
    assert_eq!(blocked(&mut table, 9_000), [BAD]);
}

/// Guards against parts that are blocked because many endpoints were lost at once.
#[test]
fn the_loss_of_many_endpoints_at_once_is_one_crash() {
    let mut table = Table::default();
    for endpoint in 1..=50 {
        let suspects = [begun(LEAD, 4_000), begun(SOUND, 4_500)];
        table.record_crash(crash(endpoint), at(5_000 + endpoint), &suspects);
    }
    assert_eq!(blocked(&mut table, 20_000), []);
}

/// Guards against a sound part that is blocked after endpoints crash one by one over a long time.
#[test]
fn a_complete_answer_excuses_a_part_from_the_crashes_before_it_began() {
    let mut table = Table::default();
    crash_each_second(&mut table, 2, &[SOUND]);
    assert!(!table.record_sound(SOUND, at(900)));
    assert!(table.record_sound(SOUND, at(2_100)));
    assert!(!table.record_sound(SOUND, at(2_200)));
    assert!(table.is_acquitted(SOUND));
    crash_each_second(&mut table, 4, &[SOUND]);
    assert_eq!(blocked(&mut table, 9_000), []);
    assert!(!table.is_acquitted(SOUND));
}

/// Guards against harmless requests that a VM refuses because it learns of crashes only after it has answered
/// requests with the same leading part.
#[test]
fn an_answer_excuses_a_part_from_a_crash_that_is_reported_later() {
    let mut table = Table::default();
    assert!(!table.record_sound(LEAD, at(4_100)));
    crash_each_second(&mut table, 4, &[LEAD]);
    assert_eq!(blocked(&mut table, 6_000), []);
    assert!(table.is_acquitted(LEAD));
    // Other VMs, which may have no such answer, are told of the next one.
    assert!(table.record_sound(LEAD, at(6_100)));
    let mut table = Table::default();
    table.record_sound(LEAD, at(900));
    crash_each_second(&mut table, 4, &[LEAD]);
    assert_eq!(blocked(&mut table, 6_000), [LEAD]);
}

/// Guards against a part that turns bad and is not blocked because of earlier answers.
#[test]
fn an_answer_that_began_before_a_crash_does_not_excuse_a_part() {
    let mut table = Table::default();
    crash_each_second(&mut table, 4, &[BAD]);
    table.record_sound(BAD, at(990));
    assert_eq!(blocked(&mut table, 9_000), [BAD]);
}

/// Guards against a part that stays blocked although a further crash shows that another one is at fault.
#[test]
fn a_part_that_only_came_with_the_bad_one_is_released() {
    let mut table = Table::default();
    crash_each_second(&mut table, 3, &[BAD, SOUND]);
    assert_eq!(blocked(&mut table, 3_900), [BAD, SOUND]);
    table.record_crash(crash(9), at(4_000), &[begun(BAD, 3_950)]);
    assert_eq!(blocked(&mut table, 9_000), [BAD]);
}

/// Guards against prompts that waited in a queue being taken for as suspect as those that were answered.
#[test]
fn prompts_that_waited_weigh_less() {
    let mut table = Table::default();
    for second in 1..=4 {
        let waiting = Suspect {
            begun: false,
            ..begun(SOUND, second * 1_000 - 50)
        };
        table.record_crash(crash(second), at(second * 1_000), &[waiting]);
    }
    assert_eq!(blocked(&mut table, 9_000), []);
}

/// Guards against three more endpoints that are lost whenever a block ends.
#[test]
fn a_single_crash_blocks_a_part_again_after_its_block() {
    let mut table = Table::default();
    crash_each_second(&mut table, 3, &[BAD]);
    assert_eq!(blocked(&mut table, 9_000), [BAD]);
    let ended = 3_000 + u64::try_from(Config::default().crash_ttl.as_millis()).unwrap();
    assert_eq!(blocked(&mut table, ended), []);
    table.record_crash(crash(9), at(ended + 100), &[begun(BAD, ended + 50)]);
    assert_eq!(blocked(&mut table, ended + 700), [BAD]);
}

/// Guards against a prompt that is sent to three engines by itself although its part has crashed two.
#[test]
fn a_part_is_the_prime_suspect_after_two_crashes() {
    let mut table = Table::default();
    crash_each_second(&mut table, 1, &[LEAD, BAD, SOUND]);
    assert!(!table.is_prime_suspect(BAD, at(1_001)));
    crash_each_second(&mut table, 2, &[LEAD, BAD]);
    assert!(table.is_prime_suspect(BAD, at(2_001)));
    assert!(!table.is_prime_suspect(SOUND, at(2_001)));
    assert!(!table.is_prime_suspect(LEAD, at(2_001)));
    table.record_sound(BAD, at(2_100));
    assert!(!table.is_prime_suspect(BAD, at(2_200)));
}

/// Guards against a table that grows with the crashes and parts of a fleet.
#[test]
fn the_table_is_bounded() {
    let config = Config {
        max_crashes: 8,
        max_parts: 4,
        ..Config::default()
    };
    let mut table = Table::new(config);
    for second in 1..=40 {
        let mut suspects: Vec<Suspect> = (10..30)
            .map(|id| begun(Id(second * 100 + id), second))
            .collect();
        suspects.push(begun(BAD, second * 1_000 - 50));
        table.record_crash(crash(second), at(second * 1_000), &suspects);
    }
    assert_eq!(blocked(&mut table, 50_000), [BAD]);
}

/// A report between VMs.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Report {
    /// An endpoint and when it crashed, with the parts of a VM's prompts there and when their answers began.
    Crash(u64, Moment, Vec<(u64, Moment)>),
    /// A part, and when a complete answer to it began.
    Sound(u64, Moment),
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A caller sends a prompt with these shared parts to a VM.
    Ask { vm: usize, parts: Vec<u64> },
    /// A run ends, unless its endpoint crashed before.
    End { run: usize },
    /// A run crashes its endpoint.
    Crash { run: usize },
    /// An endpoint is back.
    Restart { endpoint: usize },
    /// A VM receives a report, and passes it on within its zone if it is the first there.
    Receive {
        vm: usize,
        report: Report,
        first: bool,
    },
}

/// A prompt that runs, or has run, at an endpoint.
struct Run {
    vm: usize,
    endpoint: usize,
    parts: Vec<u64>,
    began: Moment,
    open: bool,
}

/// VMs in zones before endpoints that a part crashes.
struct Fleet {
    zones: usize,
    tables: Vec<Table>,
    /// The incarnation of each endpoint, and whether it is running.
    endpoints: Vec<(u64, bool)>,
    runs: Vec<Run>,
    events: BinaryHeap<Reverse<(Moment, u64, Event)>>,
    count: u64,
    random: StdRng,
    crashes: Vec<Moment>,
    /// When prompts with the bad part were sent.
    sent: Vec<Moment>,
    /// When sound prompts came, and whether they were sent.
    sound: Vec<(Moment, bool)>,
}

/// Share of datagrams that are lost.
const LOSS_RATE: f64 = 0.05;
/// Time from the start of an answer to the crash that it causes, and to its end.
const CRASH_TIME: Duration = Duration::from_millis(90);
const RUN_TIME: Duration = Duration::from_millis(900);
/// Time until an endpoint is back.
const RESTART_TIME: Duration = Duration::from_secs(3);
/// Time between repetitions of a report, and the longest delays of one within a zone and to another.
const REPEAT_INTERVAL: Duration = Duration::from_millis(1_100);
const ZONE_DELAY: Duration = Duration::from_millis(20);
const REMOTE_DELAY: Duration = Duration::from_millis(300);

impl Fleet {
    fn new(vms: usize, zones: usize, seed: u64) -> Self {
        Self {
            zones,
            tables: vec![Table::default(); vms],
            endpoints: vec![(1, true); (vms / 2).max(9)],
            runs: Vec::new(),
            events: BinaryHeap::new(),
            count: 0,
            random: StdRng::seed_from_u64(seed),
            crashes: Vec::new(),
            sent: Vec::new(),
            sound: Vec::new(),
        }
    }

    fn schedule(&mut self, at: Moment, event: Event) {
        self.count += 1;
        self.events.push(Reverse((at, self.count, event)));
    }

    fn broadcast(&mut self, vm: usize, report: &Report, now: Moment) {
        for repetition in 0..3 {
            let now = now + REPEAT_INTERVAL * repetition;
            self.tell_zone(vm, report, now);
            let own = vm % self.zones;
            for zone in (0..self.zones).filter(|zone| *zone != own) {
                let members = self.tables.len().saturating_sub(zone).div_ceil(self.zones);
                let one = zone + self.random.random_range(0..members) * self.zones;
                let delay = self.random.random_range(Duration::ZERO..REMOTE_DELAY);
                self.tell(one, report, true, now + delay);
            }
        }
    }

    fn tell_zone(&mut self, vm: usize, report: &Report, now: Moment) {
        for other in (vm % self.zones..self.tables.len()).step_by(self.zones) {
            if other != vm {
                let delay = self.random.random_range(Duration::ZERO..ZONE_DELAY);
                self.tell(other, report, false, now + delay);
            }
        }
    }

    fn tell(&mut self, vm: usize, report: &Report, first: bool, at: Moment) {
        if !self.random.random_bool(LOSS_RATE) {
            let report = report.clone();
            self.schedule(at, Event::Receive { vm, report, first });
        }
    }

    /// Takes in a report. Returns whether it says something new.
    fn record(&mut self, vm: usize, report: &Report) -> bool {
        let table = &mut self.tables[vm];
        match report {
            Report::Crash(endpoint, crashed, parts) => {
                let suspects = parts.iter().map(|(id, since)| Suspect {
                    since: *since,
                    ..begun(Id(*id), 0)
                });
                let suspects: Vec<Suspect> = suspects.collect();
                table.record_crash(crash(*endpoint), *crashed, &suspects);
                true
            }
            Report::Sound(id, began) => table.record_sound(Id(*id), *began),
        }
    }

    fn ask(&mut self, vm: usize, parts: Vec<u64>, now: Moment) {
        let table = &mut self.tables[vm];
        table.evaluate(now);
        let blocked = parts
            .iter()
            .any(|id| table.blocked_for(Id(*id), now).is_some());
        let bad = parts.contains(&BAD.0);
        let running = self
            .endpoints
            .iter()
            .enumerate()
            .filter(|(_, (_, running))| *running);
        let running: Vec<usize> = running.map(|(place, _)| place).collect();
        if !bad {
            self.sound.push((now, !blocked));
        }
        if blocked || running.is_empty() {
            return;
        }
        if bad {
            self.sent.push(now);
        }
        let endpoint = running[self.random.random_range(0..running.len())];
        let run = self.runs.len();
        self.runs.push(Run {
            vm,
            endpoint,
            parts,
            began: now,
            open: true,
        });
        if bad {
            self.schedule(now + CRASH_TIME, Event::Crash { run });
        } else {
            self.schedule(now + RUN_TIME, Event::End { run });
        }
    }

    /// Ends all runs at an endpoint. Each VM reports the parts of its own.
    fn crash(&mut self, endpoint: usize, now: Moment) {
        let (incarnation, running) = &mut self.endpoints[endpoint];
        *running = false;
        let key = endpoint as u64 * 1_000 + *incarnation;
        self.crashes.push(now);
        self.schedule(now + RESTART_TIME, Event::Restart { endpoint });
        let mut parts: Vec<(usize, Vec<(u64, Moment)>)> = Vec::new();
        for run in self
            .runs
            .iter_mut()
            .filter(|run| run.open && run.endpoint == endpoint)
        {
            run.open = false;
            let own = run.parts.iter().map(|id| (*id, run.began));
            match parts.iter_mut().find(|(vm, _)| *vm == run.vm) {
                Some((_, parts)) => parts.extend(own),
                None => parts.push((run.vm, own.collect())),
            }
        }
        for (vm, parts) in parts {
            let report = Report::Crash(key, now, parts);
            self.record(vm, &report);
            self.broadcast(vm, &report, now);
        }
    }

    fn handle(&mut self, event: Event, now: Moment) {
        match event {
            Event::Ask { vm, parts } => self.ask(vm, parts, now),
            Event::End { run } => {
                let Run {
                    vm, began, open, ..
                } = self.runs[run];
                if !std::mem::replace(&mut self.runs[run].open, false) || !open {
                    return;
                }
                for id in self.runs[run].parts.clone() {
                    let report = Report::Sound(id, began);
                    if self.record(vm, &report) {
                        self.broadcast(vm, &report, now);
                    }
                }
            }
            Event::Crash { run } => {
                let endpoint = self.runs[run].endpoint;
                if self.runs[run].open {
                    self.crash(endpoint, now);
                }
            }
            Event::Restart { endpoint } => {
                let (incarnation, running) = &mut self.endpoints[endpoint];
                *incarnation += 1;
                *running = true;
            }
            Event::Receive { vm, report, first } => {
                self.record(vm, &report);
                if first {
                    self.tell_zone(vm, &report, now);
                }
            }
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

    /// Schedules callers for this many seconds. Prompts lead with the same part; bad ones are followed by a
    /// popular part at times.
    fn schedule_callers(&mut self, seconds: u64) {
        let vms = self.tables.len();
        let sound_per_second = 4 * self.endpoints.len();
        for second in 0..seconds {
            for _ in 0..sound_per_second {
                let vm = self.random.random_range(0..vms);
                let now = at(second * 1_000 + self.random.random_range(0..1_000));
                let parts = vec![LEAD.0, self.random.random_range(10..20)];
                self.schedule(now, Event::Ask { vm, parts });
            }
            for _ in 0..12 {
                let vm = self.random.random_range(0..vms);
                let now = at(2_000 + second * 1_000 + self.random.random_range(0..1_000));
                let mut parts = vec![LEAD.0, BAD.0];
                if self.random.random_bool(0.4) {
                    parts.push(self.random.random_range(10..20));
                }
                self.schedule(now, Event::Ask { vm, parts });
            }
        }
    }
}

/// Numbers of VMs, each with the number of zones.
const SIZES: [(usize, usize); 5] = [(9, 3), (79, 3), (195, 5), (300, 5), (985, 8)];

/// Guards against VMs that each learn of a bad part by themselves, and against sound prompts refused meanwhile.
#[test]
fn all_vms_together_stop_sending_a_part_that_ends_endpoints() {
    for (vms, zones) in SIZES {
        for seed in 1..=2 {
            let mut fleet = Fleet::new(vms, zones, seed);
            fleet.schedule_callers(9);
            fleet.run(at(11_000));
            let fifth = fleet.crashes[4];
            let known = fleet
                .sent
                .iter()
                .filter(|at| **at > fifth + Duration::from_secs(3));
            assert!(known.count() <= 3, "{vms} VMs, seed {seed}");
            let settled = fifth + Duration::from_secs(6);
            let sound = fleet.sound.iter().filter(|(at, _)| *at > settled);
            let refused = sound.filter(|(_, sent)| !sent).count();
            assert_eq!(refused, 0, "{vms} VMs, seed {seed}");
            let refused = fleet.sound.iter().filter(|(_, sent)| !sent).count();
            let (crashes, sound) = (fleet.crashes.len(), fleet.sound.len());
            println!("{vms} VMs: {crashes} crashes, {refused} of {sound} sound prompts refused");
        }
    }
}
