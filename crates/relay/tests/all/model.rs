//! A small model of the reading of the log in one zone: the real choice of who reads, the real timings and
//! the real knowledge of refused reads, over a network and a log that are steps of a loop.
//!
//! It is walked exhaustively over the moment at which something goes wrong, and checks that whoever can
//! read the log never believes a list of endpoints that is older than the bound.

use std::net::SocketAddr;
use std::time::Duration;

use pimento_relay::follow::Lead;
use pimento_relay::follow::Timing;
use pimento_relay::neighbours::broadcast::zone_interval;
use pimento_relay::neighbours::peers::Peer;
use pimento_relay::neighbours::peers::Peers;
use pimento_relay::neighbours::peers::ReaderStatus;
use pimento_relay::timings::Timings;
use pimento_relay::zone::Failure;
use pimento_relay::zone::Reachability;
use pimento_relay::zone::Zone;
use pimento_units::Moment;
use pimento_units::id;

use crate::fixture::bounds;

const STEP: Duration = Duration::from_millis(20);

/// How long an answer of the log takes, and how long a read without one is waited for.
const ANSWER: Duration = Duration::from_millis(20);

/// A VM whose view is older reads for nobody.
const BLIND: Duration = Duration::from_millis(2_600);

/// Time between those that try a log which turned several away.
const SUCCESSION: Duration = Duration::from_millis(400);

/// When the walk begins to go wrong: all VMs have met and one reads.
const SETTLED: Duration = Duration::from_secs(4);

const LASTS: Duration = Duration::from_secs(8);

/// How the log treats a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    Open,
    Refused,
    Silent,
}

/// What a walk changes in the safeguards, to see that it can fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutant {
    None,
    /// Proofs are trusted for too long.
    Trusting,
    /// A reader that is refused passes for able until its view is old.
    Late,
    /// Reads take place without regard for who else reads; what that costs is told.
    Each,
}

#[derive(Debug, Clone, Copy)]
struct Word {
    from: usize,
    standing: ReaderStatus,
    stamp: Moment,
    proof: Option<Moment>,
}

struct Vm {
    name: id::Node,
    peers: Peers,
    zone: Zone,
    up: bool,
    way: Way,
    /// Since when the log can be read.
    open_since: Moment,
    proven: Moment,
    stamps: Vec<Moment>,
    /// The stamps when the read began that proves the view.
    proofs: Vec<Moment>,
    read: Option<(Moment, Moment, Vec<Moment>)>,
    due: Moment,
    said: Moment,
    lead: Lead,
    standing: ReaderStatus,
    failures: u32,
}

struct Model {
    now: Moment,
    timing: Timing,
    bound: Duration,
    vms: Vec<Vm>,
    words: Vec<(usize, Word)>,
    /// One in so many datagrams is lost; none if zero.
    lost: usize,
    sent: usize,
    calls: usize,
    mutant: Mutant,
}

fn zone() -> id::Zone {
    "a".parse().unwrap()
}

fn peer(place: usize, now: Moment) -> Peer {
    let address = SocketAddr::from(([127, 0, 0, 1], u16::try_from(place + 1).unwrap()));
    Peer::discovered(name(place), zone(), address, now)
}

fn name(place: usize) -> id::Node {
    format!("vm-{place:04}").parse().unwrap()
}

impl Model {
    fn new(count: usize, bound: Duration, mutant: Mutant) -> Self {
        let start = Moment::ZERO + Duration::from_secs(100);
        let millis = u64::try_from(bound.as_millis()).unwrap();
        let vm = |place| Vm {
            name: name(place),
            peers: Peers::default(),
            zone: Zone::default(),
            up: true,
            way: Way::Open,
            open_since: start,
            proven: start,
            stamps: vec![Moment::ZERO; count],
            proofs: vec![Moment::ZERO; count],
            read: None,
            due: start,
            said: start,
            lead: Lead::Alone,
            standing: ReaderStatus::Eligible,
            failures: 0,
        };
        Self {
            now: start,
            timing: Timings::try_from(&bounds(millis, millis, Some(5_000)))
                .unwrap()
                .endpoints,
            bound,
            vms: (0..count).map(vm).collect(),
            words: Vec::new(),
            lost: 0,
            sent: 0,
            calls: 0,
            mutant,
        }
    }

    fn trust(&self) -> Duration {
        match self.mutant {
            Mutant::Trusting => self.timing.max_proof_age * 2,
            _ => self.timing.max_proof_age,
        }
    }

    fn run(&mut self, lasts: Duration) {
        let end = self.now + lasts;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        for (to, word) in std::mem::take(&mut self.words) {
            self.take(to, word);
        }
        for place in 0..self.vms.len() {
            if self.vms[place].up {
                self.finish(place);
                self.settle(place);
                self.begin(place);
                self.tell(place);
                self.check(place);
            }
        }
    }

    fn take(&mut self, to: usize, word: Word) {
        let now = self.now;
        let vm = &mut self.vms[to];
        if !vm.up {
            return;
        }
        let spoken = peer(word.from, now).with_datagram(word.standing, now);
        vm.peers.update(spoken, now);
        vm.stamps[word.from] = word.stamp;
        vm.proven = vm.proven.max(word.proof.unwrap_or_default());
    }

    /// A read ends.
    fn finish(&mut self, place: usize) {
        let (now, polling) = (self.now, self.timing);
        let vm = &mut self.vms[place];
        let Some((sent, ends, stamps)) = vm.read.take_if(|(_, ends, _)| *ends <= now) else {
            return;
        };
        debug_assert!(sent <= ends);
        match vm.way {
            Way::Open => {
                vm.proven = sent;
                vm.proofs = stamps;
                vm.failures = 0;
                vm.zone.read_answered();
                let polling = if vm.lead == Lead::Alone {
                    polling.alone
                } else {
                    polling.leading
                };
                vm.due = now + polling.pause;
                if vm.lead == Lead::Leading {
                    vm.said = Moment::ZERO;
                }
            }
            Way::Refused | Way::Silent => {
                let failure = if vm.way == Way::Refused {
                    Failure::Refused
                } else {
                    Failure::Unanswered
                };
                vm.failures += 1;
                vm.zone.read_failed(failure, now);
                let pause = Duration::from_millis(50) * (1 << vm.failures.min(4)) / 2;
                vm.due = now + pause.min(SUCCESSION);
            }
        }
    }

    /// Who reads.
    fn settle(&mut self, place: usize) {
        let (now, late) = (self.now, self.mutant == Mutant::Late);
        let vm = &mut self.vms[place];
        let young = now.since(vm.proven) < BLIND;
        let standing = match vm.zone.reachability(now) {
            Reachability::Unreachable if !late => ReaderStatus::Unanswered,
            Reachability::Untested if !late => ReaderStatus::Untested,
            _ if young => ReaderStatus::Eligible,
            _ => ReaderStatus::Untested,
        };
        if standing != vm.standing {
            vm.said = Moment::ZERO;
        }
        vm.standing = standing;
        let role = vm.peers.role(&vm.name, &zone(), standing, now);
        if role.lead == Lead::Leading && vm.lead != Lead::Leading {
            let doubt = if role.state.outage_suspected {
                SUCCESSION
            } else {
                Duration::ZERO
            };
            vm.due = now + doubt;
        }
        vm.lead = role.lead;
        vm.zone.set_log_state(role.state);
    }

    /// A read begins.
    fn begin(&mut self, place: usize) {
        let (now, trust) = (self.now, self.trust());
        let count = self.vms.len();
        let each = self.mutant == Mutant::Each;
        let vm = &mut self.vms[place];
        let led = vm.lead == Lead::Led && !each;
        let trusts = now.since(vm.proven) < trust;
        // Turns by chance are played as turns by name.
        let turn = now.since(Moment::ZERO).as_millis() / SUCCESSION.as_millis();
        let waits =
            vm.zone.log_state().no_able_reader && usize::try_from(turn).unwrap() % count != place;
        if vm.read.is_some() || vm.due > now || led && (trusts || waits) {
            return;
        }
        let takes = if vm.way == Way::Silent {
            self.timing.timeout
        } else {
            ANSWER
        };
        vm.read = Some((now, now + takes, vm.stamps.clone()));
        self.calls += 1;
    }

    fn tell(&mut self, place: usize) {
        let now = self.now;
        let count = self.vms.len();
        if now.since(self.vms[place].said)
            < zone_interval(count - 1).max(Duration::from_millis(400))
        {
            return;
        }
        self.vms[place].said = now;
        for to in (0..count).filter(|to| *to != place) {
            self.sent += 1;
            if self.lost > 0 && self.sent.is_multiple_of(self.lost) {
                continue;
            }
            let vm = &self.vms[place];
            let proof = (vm.lead == Lead::Leading).then_some(vm.proofs[to]);
            let word = Word {
                from: place,
                standing: vm.standing,
                stamp: now,
                proof,
            };
            self.words.push((to, word));
        }
    }

    /// Whoever has been able to read the log for a moment knows the endpoints within the bound.
    fn check(&self, place: usize) {
        let vm = &self.vms[place];
        let could = self.now.since(vm.open_since);
        if vm.way != Way::Open || could < self.bound {
            return;
        }
        let age = self.now.since(vm.proven);
        assert!(
            age <= self.bound,
            "{} believes what is {age:?} old, {:?} after the start: {:?}",
            vm.name,
            self.now.since(Moment::ZERO),
            vm.lead
        );
    }

    fn way(&mut self, place: usize, way: Way) {
        self.vms[place].way = way;
        self.vms[place].open_since = self.now;
    }
}

/// Bounds that are in use.
const BOUNDS: [Duration; 3] = [
    Duration::from_secs(2),
    Duration::from_secs(3),
    Duration::from_secs(4),
];

/// Goes wrong at each step of a second, at zones of several sizes.
fn walk(mutant: Mutant, wrong: impl Fn(&mut Model)) {
    for bound in BOUNDS {
        for count in [2, 3, 8] {
            for step in 0..50 {
                let mut model = Model::new(count, bound, mutant);
                model.run(SETTLED + STEP * step);
                wrong(&mut model);
                model.run(LASTS);
            }
        }
    }
}

// Guards against endpoints believed in past the bound after the VM that read for its zone died.
#[test]
fn the_bound_holds_when_the_reader_dies() {
    walk(Mutant::None, |model| model.vms[0].up = false);
}

// Guards against the same when the log turns the reader away, or falls silent for it.
#[test]
fn the_bound_holds_when_the_reader_is_turned_away() {
    walk(Mutant::None, |model| model.way(0, Way::Refused));
    walk(Mutant::None, |model| model.way(0, Way::Silent));
}

// Guards against the same when the first VMs by name are turned away one and all, and serve again.
#[test]
fn the_bound_holds_when_half_of_a_zone_is_turned_away_and_comes_back() {
    walk(Mutant::None, |model| {
        for place in 0..model.vms.len() / 2 {
            model.way(place, Way::Refused);
        }
        model.run(Duration::from_secs(9));
        for place in 0..model.vms.len() / 2 {
            model.way(place, Way::Open);
        }
    });
}

// Guards against a zone that does not find out that the log is back.
#[test]
fn the_bound_holds_after_an_outage_for_all() {
    walk(Mutant::None, |model| {
        for place in 0..model.vms.len() {
            model.way(place, Way::Refused);
        }
        model.run(Duration::from_secs(9));
        for place in 0..model.vms.len() {
            model.way(place, Way::Open);
        }
    });
}

// Guards against a bound that holds only while no datagram is lost.
#[test]
fn the_bound_holds_while_datagrams_are_lost() {
    for lost in 2..12 {
        let mut model = Model::new(7, BOUNDS[0], Mutant::None);
        model.lost = lost;
        model.run(SETTLED + LASTS);
    }
}

/// Whether a walk finds an old belief.
fn fails(mutant: Mutant, wrong: impl Fn(&mut Model) + std::panic::UnwindSafe) -> bool {
    std::panic::catch_unwind(move || walk(mutant, wrong)).is_err()
}

// Guards against a model that finds nothing: it must fail with a safeguard taken away.
#[test]
fn the_model_finds_what_the_safeguards_prevent() {
    assert!(fails(Mutant::Trusting, |model| model.vms[0].up = false));
}

/// Calls of the log in so many seconds, in zones of so many VMs.
fn calls(zones: usize, vms: usize, lasts: Duration, mutant: Mutant) -> usize {
    let mut model = Model::new(vms, BOUNDS[2], mutant);
    model.run(SETTLED);
    model.calls = 0;
    model.run(lasts);
    model.calls * zones
}

// Guards against reads that grow with the VMs of a zone.
#[test]
fn steady_reads_do_not_grow_with_the_vms_of_a_zone() {
    let lasts = Duration::from_secs(4);
    let few = calls(5, 2, lasts, Mutant::None);
    for vms in [16, 39, 60, 120] {
        let many = calls(5, vms, lasts, Mutant::None);
        println!("{} VMs in 5 zones: {many} reads in {lasts:?}", vms * 5);
        assert!(many <= few, "{many} reads of {vms} VMs, {few} of 2");
    }
    assert!(calls(5, 16, lasts, Mutant::Each) > few * 8);
}

// Guards against a reader that is turned away and passes for able: the others all read by themselves.
#[test]
fn a_reader_that_is_turned_away_costs_few_reads() {
    let cost = |mutant| {
        let mut model = Model::new(39, BOUNDS[2], mutant);
        model.run(SETTLED);
        model.calls = 0;
        for place in 0..13 {
            model.way(place * 3, Way::Refused);
        }
        model.run(Duration::from_secs(9));
        model.calls
    };
    let (now, late) = (cost(Mutant::None), cost(Mutant::Late));
    println!("a third of 39 VMs turned away for 9 s: {now} reads, {late} where it is known late");
    assert!(now * 2 < late, "{now} reads, {late} where it is known late");
}
