//! A small model of how the VMs of one zone read the log. The choice of the reader, the timings and the
//! tracking of refused reads are the real ones; the network and the log are simulated in steps of a loop.
//!
//! The tests try every step at which a failure may begin, and check that the list of endpoints is never
//! older than the bound on a VM that can read the log.

use std::net::SocketAddr;
use std::time::Duration;

use pimento_relay::capacity::Capacity;
use pimento_relay::follow::ReadRole;
use pimento_relay::follow::ReadTiming;
use pimento_relay::neighbours::broadcast::zone_interval;
use pimento_relay::neighbours::peer::Peer;
use pimento_relay::neighbours::peer::ReaderStatus;
use pimento_relay::neighbours::peers::Candidate;
use pimento_relay::neighbours::peers::Peers;
use pimento_relay::timings::Timings;
use pimento_relay::zone::Failure;
use pimento_relay::zone::Reachability;
use pimento_relay::zone::ZoneReading;
use pimento_units::Moment;
use pimento_units::id;

use crate::fixture::bounds;

const STEP: Duration = Duration::from_millis(20);

/// How long an answer of the log takes.
const ANSWER: Duration = Duration::from_millis(20);

/// A VM whose view is older than this does not read for others.
const MAX_READER_AGE: Duration = Duration::from_millis(2_600);

/// Time between the attempts of VMs that take turns at a log which refused several of them.
const TURN: Duration = Duration::from_millis(400);

/// Time until all VMs know each other and one reads. Failures begin after it.
const STARTUP: Duration = Duration::from_secs(4);

/// How long the model runs after the failure.
const OBSERVED: Duration = Duration::from_secs(8);

/// How the log treats a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Access {
    Answered,
    Refused,
    Silent,
}

/// A safeguard that is disabled, to check that the model finds the fault that it prevents.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutant {
    None,
    /// Proofs are accepted for twice as long.
    LongProofs,
    /// A reader that the log refuses counts as able until its view is old.
    LateUnable,
    /// Each VM reads for itself, for a comparison of the cost.
    EachReads,
}

#[derive(Debug, Clone, Copy)]
struct Datagram {
    from: usize,
    status: ReaderStatus,
    stamp: Moment,
    proof: Option<Moment>,
}

struct Vm {
    name: id::Node,
    peers: Peers,
    zone: ZoneReading,
    up: bool,
    access: Access,
    /// When the log's treatment of the VM last changed.
    access_since: Moment,
    proven: Moment,
    stamps: Vec<Moment>,
    /// The stamps that had arrived when the read that proved the view was sent.
    proofs: Vec<Moment>,
    /// The running read: when it was sent, when it ends, and the stamps that had arrived.
    read: Option<(Moment, Moment, Vec<Moment>)>,
    next_read: Moment,
    last_sent: Moment,
    read_role: ReadRole,
    status: ReaderStatus,
    failures: u32,
}

struct Model {
    now: Moment,
    timing: ReadTiming,
    bound: Duration,
    vms: Vec<Vm>,
    /// Datagrams in transit, with their receivers.
    datagrams: Vec<(usize, Datagram)>,
    /// Every `lose_every`th datagram is lost; none if zero.
    lose_every: usize,
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
            zone: ZoneReading::default(),
            up: true,
            access: Access::Answered,
            access_since: start,
            proven: start,
            stamps: vec![Moment::ZERO; count],
            proofs: vec![Moment::ZERO; count],
            read: None,
            next_read: start,
            last_sent: start,
            read_role: ReadRole::Alone,
            status: ReaderStatus::Eligible,
            failures: 0,
        };
        Self {
            now: start,
            timing: Timings::try_from(&bounds(millis, millis, Some(5_000)))
                .unwrap()
                .endpoints,
            bound,
            vms: (0..count).map(vm).collect(),
            datagrams: Vec::new(),
            lose_every: 0,
            sent: 0,
            calls: 0,
            mutant,
        }
    }

    fn max_proof_age(&self) -> Duration {
        match self.mutant {
            Mutant::LongProofs => self.timing.max_proof_age * 2,
            _ => self.timing.max_proof_age,
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        for (to, datagram) in std::mem::take(&mut self.datagrams) {
            self.receive(to, datagram);
        }
        for place in 0..self.vms.len() {
            if self.vms[place].up {
                self.end_read(place);
                self.choose_reader(place);
                self.start_read(place);
                self.send(place);
                self.check(place);
            }
        }
    }

    fn receive(&mut self, to: usize, datagram: Datagram) {
        let now = self.now;
        let vm = &mut self.vms[to];
        if !vm.up {
            return;
        }
        let sender = peer(datagram.from, now).with_datagram(datagram.status, now);
        vm.peers.update(sender, now);
        vm.stamps[datagram.from] = datagram.stamp;
        vm.proven = vm.proven.max(datagram.proof.unwrap_or_default());
    }

    /// Ends the running read if its time has come.
    fn end_read(&mut self, place: usize) {
        let (now, timing) = (self.now, self.timing);
        let vm = &mut self.vms[place];
        let Some((sent, end, stamps)) = vm.read.take_if(|(_, end, _)| *end <= now) else {
            return;
        };
        debug_assert!(sent <= end);
        match vm.access {
            Access::Answered => {
                vm.proven = sent;
                vm.proofs = stamps;
                vm.failures = 0;
                vm.zone.read_answered();
                let polling = if vm.read_role == ReadRole::Alone {
                    timing.alone
                } else {
                    timing.reader
                };
                vm.next_read = now + polling.pause;
                if vm.read_role == ReadRole::Reader {
                    vm.last_sent = Moment::ZERO;
                }
            }
            Access::Refused | Access::Silent => {
                let failure = if vm.access == Access::Refused {
                    Failure::Refused
                } else {
                    Failure::Unanswered
                };
                vm.failures += 1;
                vm.zone.read_failed(failure, now);
                let backoff = Duration::from_millis(50) * (1 << vm.failures.min(4)) / 2;
                vm.next_read = now + backoff.min(TURN);
            }
        }
    }

    /// Determines which VM reads.
    fn choose_reader(&mut self, place: usize) {
        let (now, late) = (self.now, self.mutant == Mutant::LateUnable);
        let vm = &mut self.vms[place];
        let young = now.since(vm.proven) < MAX_READER_AGE;
        let status = match vm.zone.reachability(now) {
            Reachability::Unreachable if !late => ReaderStatus::Unreachable,
            Reachability::Suspect if !late => ReaderStatus::Untested,
            _ if young => ReaderStatus::Eligible,
            _ => ReaderStatus::Untested,
        };
        if status != vm.status {
            vm.last_sent = Moment::ZERO;
        }
        vm.status = status;
        let own = Candidate {
            node: vm.name.clone(),
            status,
            capacity: Capacity::default(),
        };
        let role = vm.peers.assignment(&own, &zone(), now);
        if role.read_role == ReadRole::Reader && vm.read_role != ReadRole::Reader {
            let wait = if role.state.outage_suspected {
                TURN
            } else {
                Duration::ZERO
            };
            vm.next_read = now + wait;
        }
        vm.read_role = role.read_role;
        vm.zone.set_log_state(role.state);
    }

    /// Starts a read if one is due.
    fn start_read(&mut self, place: usize) {
        let (now, max_proof_age) = (self.now, self.max_proof_age());
        let count = self.vms.len();
        let each = self.mutant == Mutant::EachReads;
        let vm = &mut self.vms[place];
        let served = vm.read_role == ReadRole::Served && !each;
        let proven = now.since(vm.proven) < max_proof_age;
        // The model takes the turns in the order of names, where the real VMs take them at random.
        let turn = now.since(Moment::ZERO).as_millis() / TURN.as_millis();
        let waits = vm.zone.log_state().no_eligible_reader
            && usize::try_from(turn).unwrap() % count != place;
        if vm.read.is_some() || vm.next_read > now || served && (proven || waits) {
            return;
        }
        let time = if vm.access == Access::Silent {
            self.timing.timeout
        } else {
            ANSWER
        };
        vm.read = Some((now, now + time, vm.stamps.clone()));
        self.calls += 1;
    }

    /// Sends datagrams to the other VMs if they are due.
    fn send(&mut self, place: usize) {
        let now = self.now;
        let count = self.vms.len();
        let interval = zone_interval(count - 1).max(Duration::from_millis(400));
        if now.since(self.vms[place].last_sent) < interval {
            return;
        }
        self.vms[place].last_sent = now;
        for to in (0..count).filter(|to| *to != place) {
            self.sent += 1;
            if self.lose_every > 0 && self.sent.is_multiple_of(self.lose_every) {
                continue;
            }
            let vm = &self.vms[place];
            let proof = (vm.read_role == ReadRole::Reader).then_some(vm.proofs[to]);
            let datagram = Datagram {
                from: place,
                status: vm.status,
                stamp: now,
                proof,
            };
            self.datagrams.push((to, datagram));
        }
    }

    /// The view of a VM that could read the log for at least the bound is no older than the bound.
    fn check(&self, place: usize) {
        let vm = &self.vms[place];
        let time = self.now.since(vm.access_since);
        if vm.access != Access::Answered || time < self.bound {
            return;
        }
        let age = self.now.since(vm.proven);
        assert!(
            age <= self.bound,
            "the view of {} is {age:?} old, {:?} after the start: {:?}",
            vm.name,
            self.now.since(Moment::ZERO),
            vm.read_role
        );
    }

    fn set_access(&mut self, place: usize, access: Access) {
        self.vms[place].access = access;
        self.vms[place].access_since = self.now;
    }
}

/// Bounds on leaving endpoints that are in use.
const BOUNDS: [Duration; 3] = [
    Duration::from_secs(2),
    Duration::from_secs(3),
    Duration::from_secs(4),
];

/// Runs the model with a failure at each step of a second, for all bounds and zones of several sizes.
fn check_all(mutant: Mutant, fail: impl Fn(&mut Model)) {
    for bound in BOUNDS {
        for count in [2, 3, 8] {
            for step in 0..50 {
                let mut model = Model::new(count, bound, mutant);
                model.run(STARTUP + STEP * step);
                fail(&mut model);
                model.run(OBSERVED);
            }
        }
    }
}

// Guards against a list of endpoints older than the bound after the VM that read for its zone died.
#[test]
fn the_bound_holds_when_the_reader_dies() {
    check_all(Mutant::None, |model| model.vms[0].up = false);
}

// Guards against the same when the log refuses the reader, or falls silent for it.
#[test]
fn the_bound_holds_when_the_log_refuses_the_reader() {
    check_all(Mutant::None, |model| model.set_access(0, Access::Refused));
    check_all(Mutant::None, |model| model.set_access(0, Access::Silent));
}

// Guards against the same when the log refuses the first VMs by name, and later answers them again.
#[test]
fn the_bound_holds_when_the_log_refuses_half_of_a_zone_for_a_while() {
    check_all(Mutant::None, |model| {
        for place in 0..model.vms.len() / 2 {
            model.set_access(place, Access::Refused);
        }
        model.run(Duration::from_secs(9));
        for place in 0..model.vms.len() / 2 {
            model.set_access(place, Access::Answered);
        }
    });
}

// Guards against a zone that does not notice that the log answers again.
#[test]
fn the_bound_holds_after_an_outage_for_all() {
    check_all(Mutant::None, |model| {
        for place in 0..model.vms.len() {
            model.set_access(place, Access::Refused);
        }
        model.run(Duration::from_secs(9));
        for place in 0..model.vms.len() {
            model.set_access(place, Access::Answered);
        }
    });
}

// Guards against a bound that holds only while no datagram is lost.
#[test]
fn the_bound_holds_while_datagrams_are_lost() {
    for lose_every in 2..12 {
        let mut model = Model::new(7, BOUNDS[0], Mutant::None);
        model.lose_every = lose_every;
        model.run(STARTUP + OBSERVED);
    }
}

/// Whether the model finds a view that is too old.
fn finds_old_view(mutant: Mutant, fail: impl Fn(&mut Model) + std::panic::UnwindSafe) -> bool {
    std::panic::catch_unwind(move || check_all(mutant, fail)).is_err()
}

// Guards against a model that finds nothing: it must fail without a safeguard.
#[test]
fn the_model_finds_what_the_safeguards_prevent() {
    let reader_dies = |model: &mut Model| model.vms[0].up = false;
    assert!(finds_old_view(Mutant::LongProofs, reader_dies));
}

/// Calls of the log within `time`, in `zones` zones of `vms` VMs each.
fn calls(zones: usize, vms: usize, time: Duration, mutant: Mutant) -> usize {
    let mut model = Model::new(vms, BOUNDS[2], mutant);
    model.run(STARTUP);
    model.calls = 0;
    model.run(time);
    model.calls * zones
}

// Guards against a number of reads that grows with the number of VMs of a zone.
#[test]
fn steady_reads_do_not_grow_with_the_vms_of_a_zone() {
    let time = Duration::from_secs(4);
    let few = calls(5, 2, time, Mutant::None);
    for vms in [16, 39, 60, 120] {
        let many = calls(5, vms, time, Mutant::None);
        println!("{} VMs in 5 zones: {many} reads in {time:?}", vms * 5);
        assert!(many <= few, "{many} reads of {vms} VMs, {few} of 2");
    }
    assert!(calls(5, 16, time, Mutant::EachReads) > few * 8);
}

// Guards against a refused reader that still counts as able, so that the others all read for themselves.
#[test]
fn a_refused_reader_costs_few_reads() {
    let cost = |mutant| {
        let mut model = Model::new(39, BOUNDS[2], mutant);
        model.run(STARTUP);
        model.calls = 0;
        for place in 0..13 {
            model.set_access(place * 3, Access::Refused);
        }
        model.run(Duration::from_secs(9));
        model.calls
    };
    let (normal, late) = (cost(Mutant::None), cost(Mutant::LateUnable));
    println!("a third of 39 VMs refused for 9 s: {normal} reads, {late} if noticed late");
    assert!(normal * 2 < late, "{normal} reads, {late} if noticed late");
}
