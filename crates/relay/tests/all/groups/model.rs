//! A model of a large zone: how its VMs discover each other, share the reading of the log and pass on its views.
//! Groups, roles, waits and the ages of proofs are the real ones; the network, the log and its limits are
//! simulated in steps of a loop.

use std::net::SocketAddr;
use std::time::Duration;

use pimento_policy::choice;
use pimento_relay::capacity::Capacity;
use pimento_relay::follow::ReadRole;
use pimento_relay::neighbours::broadcast::zone_interval;
use pimento_relay::neighbours::groups::Level;
use pimento_relay::neighbours::peer::Peer;
use pimento_relay::neighbours::peer::ReaderStatus;
use pimento_relay::neighbours::peers::Assignment;
use pimento_relay::neighbours::peers::Candidate;
use pimento_relay::neighbours::peers::PROBE_INTERVAL;
use pimento_relay::neighbours::peers::Peers;
use pimento_relay::zone::Stamp;
use pimento_relay::zone::ZoneReading;
use pimento_units::Moment;
use pimento_units::id;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

const STEP: Duration = Duration::from_millis(20);

/// How long the log takes for one append to a partition, and for an answer.
const APPEND: Duration = Duration::from_millis(2);
const ANSWER: Duration = Duration::from_millis(20);

/// The log refuses appends that would wait for longer.
const MAX_APPEND_QUEUE: Duration = Duration::from_secs(2);

/// Endpoints for each VM, and records in a page of the log.
pub const ENDPOINTS_PER_VM: usize = 10;
pub const PAGE: usize = 500;

/// Bytes a second of a small VM's link, and bytes of an endpoint in a page of the log and in a packed view.
const LINK: f64 = 2_500_000.0;
const PAGE_BYTES: f64 = 330.0;
const PACKED_BYTES: f64 = 60.0;

/// Views that a VM sends at the same time.
const MAX_SNAPSHOTS: usize = 4;

/// Time between the reads of the reader.
const READ_PAUSE: Duration = Duration::from_secs(1);

/// The highest age of a proof of the endpoints' topic at its longest bound.
const MAX_PROOF_AGE: Duration = Duration::from_secs(3);

/// How long a VM of a system that starts for the first time lets others get in touch at least.
const FIRST_SETTLE: Duration = Duration::from_secs(1);

/// A safeguard that is disabled, to check that the model finds the fault that it prevents.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    None,
    /// A VM that starts reads the whole topic if nobody has served it within 300 ms.
    ReadsAtOnce,
    /// The zone is not divided.
    OneGroup,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Its process is down until a moment.
    Down(Moment),
    /// It writes its record at a moment.
    Writes(Moment),
    /// It reads the records of the zone at a moment.
    Discovers(Moment),
    /// It has discovered the others.
    Running,
}

#[derive(Debug, Clone, Copy)]
struct Datagram {
    from: usize,
    status: ReaderStatus,
    stamp: Moment,
    level: Level,
    vms: usize,
    leader: Option<usize>,
    proof: Option<Moment>,
}

pub struct Vm {
    name: id::Node,
    key: u64,
    peers: Peers,
    zone: ZoneReading,
    stage: Stage,
    /// Whether its record is on the log.
    recorded: bool,
    retry: Duration,
    assignment: Assignment,
    named_vms: usize,
    settled: Moment,
    proven: Option<Moment>,
    /// Other VMs' stamps that had arrived by `proven`.
    stamps: Vec<Stamp>,
    /// When the running transfer of a view or read of the log ends, and as of when it proves the view.
    transfer: Option<(Moment, Moment, Option<usize>)>,
    sending: usize,
    next_read: Moment,
    last_sent: Moment,
    probed: Moment,
    sent: usize,
    /// Other VMs of its group.
    group: usize,
}

pub struct Model {
    now: Moment,
    random: StdRng,
    pub vms: Vec<Vm>,
    datagrams: Vec<(usize, Datagram)>,
    /// When the log has done the appends that wait.
    appended: Moment,
    pub refuses: bool,
    /// Whether the VMs start for the first time.
    first: bool,
    pub calls: usize,
    mutant: Mutant,
}

fn zone() -> id::Zone {
    "a".parse().unwrap()
}

fn address(place: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], u16::try_from(place + 1).unwrap()))
}

fn place_of(address: SocketAddr) -> usize {
    usize::from(address.port()) - 1
}

/// One VM in twenty is large.
fn capacity(place: usize) -> Capacity {
    if place.is_multiple_of(20) {
        Capacity::new(1_000.0, 1.0)
    } else {
        Capacity::new(20.0, 0.12)
    }
}

fn vm(place: usize, stage: Stage) -> Vm {
    let name: id::Node = format!("vm-{place:04}").parse().unwrap();
    Vm {
        key: choice::hash(name.as_str()),
        name,
        peers: Peers::default(),
        zone: ZoneReading::default(),
        stage,
        recorded: false,
        retry: Duration::from_millis(200),
        assignment: Assignment::default(),
        named_vms: 0,
        settled: Moment::ZERO,
        proven: None,
        stamps: Vec::new(),
        transfer: None,
        sending: 0,
        next_read: Moment::ZERO,
        last_sent: Moment::ZERO,
        probed: Moment::ZERO,
        sent: 0,
        group: 0,
    }
}

impl Vm {
    fn status(&self, now: Moment) -> ReaderStatus {
        match self.proven {
            None => ReaderStatus::Starting,
            Some(proven) if now.since(proven) < Duration::from_millis(2_600) => {
                ReaderStatus::Eligible
            }
            Some(_) => ReaderStatus::Behind,
        }
    }

    fn leads(&self) -> bool {
        self.assignment.leader.is_none()
    }

    pub fn is_reader(&self) -> bool {
        self.assignment.read_role == ReadRole::Reader
    }

    fn prove(&mut self, moment: Moment) {
        if self.proven < Some(moment) {
            self.proven = Some(moment);
            self.stamps = self.zone.stamps_at(moment);
        }
    }
}

impl Model {
    /// A zone whose VMs all start within 300 ms; with `recorded`, their records are on the log already.
    pub fn new(count: usize, recorded: bool, mutant: Mutant) -> Self {
        let now = Moment::ZERO + Duration::from_secs(100);
        let mut random = StdRng::seed_from_u64(41);
        let start = |place| {
            let at = now + Duration::from_millis(random.random_range(0..300));
            let mut vm = vm(place, Stage::Down(at));
            vm.recorded = recorded;
            vm
        };
        let vms = (0..count).map(start).collect();
        Self {
            now,
            random,
            vms,
            datagrams: Vec::new(),
            appended: now,
            refuses: false,
            first: !recorded,
            calls: 0,
            mutant,
        }
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until all VMs that are up have a view, and returns for how long.
    pub fn run_until_started(&mut self) -> Duration {
        let begun = self.now;
        while self.vms.iter().any(|vm| vm.proven.is_none()) {
            self.step();
            let took = self.now.since(begun);
            assert!(took < Duration::from_mins(2), "some VMs never start");
        }
        self.now.since(begun)
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        for (to, datagram) in std::mem::take(&mut self.datagrams) {
            if self.vms[to].stage == Stage::Running {
                self.receive(to, datagram);
            }
        }
        for place in 0..self.vms.len() {
            match self.vms[place].stage {
                Stage::Down(until) if until <= self.now => {
                    let stage = if self.vms[place].recorded {
                        Stage::Discovers(self.now)
                    } else {
                        Stage::Writes(self.now)
                    };
                    self.vms[place].stage = stage;
                }
                Stage::Writes(at) if at <= self.now => self.write_record(place),
                Stage::Discovers(at) if at <= self.now => self.discover(place),
                Stage::Running => self.act(place),
                _ => {}
            }
        }
    }

    /// The pause after a refused call.
    fn back_off(&mut self, place: usize) -> Duration {
        let retry = self.vms[place].retry;
        self.vms[place].retry = (retry * 2).min(Duration::from_millis(6_400));
        retry.mul_f64(self.random.random_range(0.1..=1.0))
    }

    fn write_record(&mut self, place: usize) {
        self.calls += 1;
        let queue = self.appended.max(self.now);
        if self.refuses || queue.since(self.now) > MAX_APPEND_QUEUE {
            let pause = self.back_off(place);
            self.vms[place].stage = Stage::Writes(self.now + pause);
            return;
        }
        self.appended = queue + APPEND;
        self.vms[place].recorded = true;
        self.vms[place].stage = Stage::Discovers(self.appended + ANSWER);
    }

    fn discover(&mut self, place: usize) {
        self.calls += self.vms.len().div_ceil(PAGE);
        if self.refuses {
            let pause = self.back_off(place);
            self.vms[place].stage = Stage::Discovers(self.now + pause);
            return;
        }
        let (now, first) = (self.now, self.first);
        let recorded: Vec<usize> = (0..self.vms.len())
            .filter(|other| *other != place && self.vms[*other].recorded)
            .collect();
        let names: Vec<id::Node> = recorded.iter().map(|o| self.vms[*o].name.clone()).collect();
        let vm = &mut self.vms[place];
        for (name, other) in names.into_iter().zip(&recorded) {
            let peer = Peer::discovered(name, zone(), address(*other), now);
            vm.peers.update(peer, now);
        }
        vm.stage = Stage::Running;
        vm.zone.set_vms(recorded.len() + 1);
        let min_settle = if first { FIRST_SETTLE } else { Duration::ZERO };
        vm.settled = now + vm.zone.settle_time().max(min_settle);
        self.update(place);
        self.send_to_group(place);
    }

    /// Updates what a VM knows of its zone, and its role.
    fn update(&mut self, place: usize) {
        let (now, mutant) = (self.now, self.mutant);
        let vm = &mut self.vms[place];
        let vms = (vm.peers.count_in(&zone()) + 1).max(vm.named_vms);
        vm.zone.set_vms(vms);
        if mutant != Mutant::OneGroup {
            vm.peers.raise_level(Level::for_vms(vms));
        }
        let own = Candidate {
            node: vm.name.clone(),
            status: vm.status(now),
            capacity: capacity(place),
        };
        vm.assignment = vm.peers.assignment(&own, &zone(), now);
    }

    fn act(&mut self, place: usize) {
        self.end_transfer(place);
        self.start_transfer(place);
        let vm = &self.vms[place];
        let interval = zone_interval(vm.group).max(Duration::from_millis(400));
        if self.now.since(vm.last_sent) >= interval {
            self.update(place);
            self.send_to_group(place);
            self.send_to_leaders(place);
        }
    }

    fn end_transfer(&mut self, place: usize) {
        let now = self.now;
        let due = |transfer: &mut (Moment, Moment, Option<usize>)| transfer.0 <= now;
        let Some((_, proven, source)) = self.vms[place].transfer.take_if(due) else {
            return;
        };
        if let Some(source) = source {
            self.vms[source].sending -= 1;
        }
        let vm = &mut self.vms[place];
        vm.prove(proven);
        vm.next_read = proven + READ_PAUSE;
        if vm.assignment.read_role != ReadRole::Served || vm.leads() {
            vm.last_sent = Moment::ZERO;
        }
    }

    fn start_transfer(&mut self, place: usize) {
        let now = self.now;
        let vm = &self.vms[place];
        if vm.transfer.is_some() {
            return;
        }
        let impatient = self.mutant == Mutant::ReadsAtOnce
            && vm.proven.is_none()
            && now.since(vm.settled) > Duration::from_millis(300);
        if vm.assignment.read_role != ReadRole::Served || impatient {
            if now >= vm.settled && now >= vm.next_read {
                self.read_log(place);
            }
            return;
        }
        if vm.proven.is_some() {
            return;
        }
        let sources = vm.assignment.sources.clone();
        let Some(source) = sources.choose(&mut self.random) else {
            return;
        };
        let source = place_of(*source);
        let Some(proven) = self.vms[source].proven else {
            return;
        };
        if self.vms[source].sending == MAX_SNAPSHOTS {
            return;
        }
        self.vms[source].sending += 1;
        let bytes = self.endpoints() * PACKED_BYTES;
        let shared = f64::from(u32::try_from(self.vms[source].sending).unwrap());
        let time = Duration::from_secs_f64(bytes * shared / LINK);
        let age = now.since(proven);
        self.vms[place].transfer = Some((now + time, now.before(age), Some(source)));
    }

    fn endpoints(&self) -> f64 {
        // Of all five zones.
        f64::from(u32::try_from(self.vms.len() * 5 * ENDPOINTS_PER_VM).unwrap())
    }

    fn read_log(&mut self, place: usize) {
        let first = self.vms[place].proven.is_none();
        self.calls += if first {
            (self.vms.len() * 5 * ENDPOINTS_PER_VM).div_ceil(PAGE)
        } else {
            1
        };
        if self.refuses {
            self.vms[place].next_read = self.now + Duration::from_millis(400);
            return;
        }
        let time = if first {
            Duration::from_secs_f64(self.endpoints() * PAGE_BYTES / LINK)
        } else {
            ANSWER
        };
        self.vms[place].transfer = Some((self.now + time, self.now, None));
    }

    fn datagram(&self, from: usize, to: usize, proves: bool) -> Datagram {
        let vm = &self.vms[from];
        let key = self.vms[to].key;
        let stamp = vm.stamps.binary_search_by_key(&key, |stamp| stamp.node);
        Datagram {
            from,
            status: vm.status(self.now),
            stamp: self.now,
            level: vm.peers.level(),
            vms: vm.zone.vms(),
            leader: vm.assignment.leader.as_ref().map(|(_, at)| place_of(*at)),
            proof: stamp.ok().filter(|_| proves).map(|at| vm.stamps[at].at),
        }
    }

    fn send(&mut self, from: usize, to: usize, proves: bool) {
        let datagram = self.datagram(from, to, proves);
        self.vms[from].sent += 1;
        self.datagrams.push((to, datagram));
    }

    fn send_to_group(&mut self, place: usize) {
        let vm = &mut self.vms[place];
        vm.last_sent = self.now;
        let group = vm.peers.group(&vm.name, &zone());
        vm.group = group.len();
        let serves = vm.is_reader() || vm.leads();
        for peer in group {
            self.send(place, place_of(peer.address), serves);
        }
    }

    fn send_to_leaders(&mut self, place: usize) {
        let now = self.now;
        let vm = &mut self.vms[place];
        if !vm.leads() || !vm.peers.level().is_divided() {
            return;
        }
        let mut targets = vm.peers.leaders(&vm.name, &zone(), now);
        if now.since(vm.probed) >= PROBE_INTERVAL {
            vm.probed = now;
            targets.extend(vm.peers.probe_targets(&vm.name, &zone(), now));
        }
        let reads = vm.is_reader();
        for peer in targets {
            self.send(place, place_of(peer.address), reads);
        }
    }

    fn receive(&mut self, to: usize, datagram: Datagram) {
        let now = self.now;
        let name = self.vms[datagram.from].name.clone();
        let key = self.vms[datagram.from].key;
        let leader = datagram
            .leader
            .map(|place| (place, self.vms[place].name.clone()));
        let vm = &mut self.vms[to];
        let met = vm.peers.is_alive(&name, now);
        if self.mutant != Mutant::OneGroup {
            vm.peers.raise_level(datagram.level);
        }
        vm.named_vms = vm.named_vms.max(datagram.vms);
        if let Some((place, leader)) = &leader {
            let (own, at) = (vm.name.clone(), address(*place));
            vm.peers.name_leader(leader, &zone(), at, &own, now);
        }
        let peer = Peer::discovered(name, zone(), address(datagram.from), now)
            .with_datagram(datagram.status, now)
            .with_position(capacity(datagram.from), leader.is_none());
        let changed = vm.peers.update(peer, now);
        let stamp = Stamp {
            node: key,
            at: datagram.stamp,
        };
        vm.zone.record_stamp(stamp, now);
        if let Some(proof) = datagram.proof {
            // A VM has the records that a proof covers, as they come before it.
            if vm.proven.is_some() {
                vm.prove(proof);
            }
        }
        if changed {
            self.update(to);
        }
        let vm = &self.vms[to];
        let other_group = vm.peers.level().group(key) != vm.peers.level().group(vm.key);
        let serves = vm.leads() && vm.status(now) == ReaderStatus::Eligible;
        let answers = if other_group {
            leader.is_none() && (!vm.leads() || !met)
        } else {
            datagram.status == ReaderStatus::Starting && (serves || !met)
        };
        if answers {
            self.send(to, datagram.from, false);
        }
    }

    fn max_age(&self) -> Duration {
        let ages = self.vms.iter().filter_map(|vm| vm.proven);
        ages.map(|proven| self.now.since(proven))
            .max()
            .unwrap_or_default()
    }

    /// Datagrams a second of the VM that sends most, over some seconds in which nothing happens.
    pub fn busiest(&mut self) -> usize {
        const SECONDS: usize = 4;
        let before: Vec<usize> = self.vms.iter().map(|vm| vm.sent).collect();
        self.run(Duration::from_secs(4));
        let sent = self
            .vms
            .iter()
            .zip(before)
            .map(|(vm, before)| vm.sent - before);
        sent.max().unwrap_or_default() / SECONDS
    }

    /// Kills the processes of these VMs, which start again after a second.
    pub fn restart(&mut self, places: impl Iterator<Item = usize>) {
        for place in places {
            let at = self.now + Duration::from_millis(1_000 + self.random.random_range(0..300));
            self.vms[place] = Vm {
                recorded: true,
                ..vm(place, Stage::Down(at))
            };
        }
        for vm in &mut self.vms {
            vm.sending = 0;
            vm.transfer = None;
        }
    }

    /// Checks that the VMs' views stay young for some seconds.
    pub fn check_ages(&mut self) {
        for _ in 0..200 {
            self.step();
            assert!(self.max_age() <= MAX_PROOF_AGE, "{:?}", self.max_age());
        }
    }
}
