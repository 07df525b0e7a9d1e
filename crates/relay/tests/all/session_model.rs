//! A model of fleets whose sessions go from VM to VM during a roll-out, while VMs restart and datagrams are lost.

use std::time::Duration;

use pimento_relay::operators::ReadOrder;
use pimento_relay::rollouts::Choice;
use pimento_relay::rollouts::Rollouts;
use pimento_relay::rollouts::handover::Handover;
use pimento_relay::rollouts::handover::Sender;
use pimento_relay::rollouts::room::Stop;
use pimento_units::Moment;
use pimento_units::id;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::versions;
use crate::versions::EXPOSURE;
use crate::versions::held;
use crate::versions::new;
use crate::versions::old;
use crate::versions::ordered;
use crate::versions::pool;

const TIME_LIMIT: Duration = Duration::from_secs(24);
const SESSION: Duration = Duration::from_secs(5);
const TICK: Duration = Duration::from_millis(100);

/// Ticks between two words to other zones.
const REMOTE_TICKS: u32 = 3;

/// Share of the datagrams that are lost.
const LOSS: f64 = 0.1;

/// Requests that each VM gets in a tick, in the mean.
const REQUESTS: f64 = 0.4;

/// Sessions for each VM. Each has a request every two seconds.
const SESSIONS: usize = 8;

/// Time in which a VM that stops still serves, and the time until it is started again.
const STOPPING: Duration = Duration::from_millis(2_600);
const DOWN: Duration = Duration::from_millis(700);

enum State {
    Up,
    Stopping(Moment),
    Down(Moment),
}

struct Vm {
    rollouts: Rollouts,
    zone: usize,
    state: State,
}

/// What became of the requests.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
struct Outcome {
    to_old: u32,
    early: u32,
    refused: u32,
    new: u32,
    all: u32,
}

struct Fleet {
    vms: Vec<Vm>,
    zone_size: usize,
    /// The last version of each session and when it was used.
    sessions: Vec<Option<(id::Version, Moment)>>,
    incarnations: u64,
    random: SmallRng,
    outcome: Outcome,
}

impl Fleet {
    fn new(vms: usize, zone_size: usize, seed: u64) -> Self {
        let mut fleet = Self {
            vms: Vec::new(),
            zone_size,
            sessions: vec![None; vms * SESSIONS],
            incarnations: 0,
            random: SmallRng::seed_from_u64(seed),
            outcome: Outcome::default(),
        };
        for place in 0..vms {
            let mut rollouts = fleet.start();
            rollouts.set_vms(vms);
            rollouts.update_versions(&pool(), vec![held(old(), 4)]);
            fleet.vms.push(Vm {
                rollouts,
                zone: place / zone_size,
                state: State::Up,
            });
        }
        fleet
    }

    fn start(&mut self) -> Rollouts {
        self.incarnations += 1;
        Rollouts::new(EXPOSURE, SESSION, self.incarnations)
    }

    fn restart(&mut self, place: usize, now: Moment) {
        let mut rollouts = self.start();
        rollouts.set_vms(self.vms.len());
        rollouts.update_versions(&pool(), vec![held(old(), 4), held(new(), 4)]);
        let order = ReadOrder {
            initial: true,
            read_at: now,
            ..versions::order(TIME_LIMIT)
        };
        rollouts.add_order(order, now);
        self.vms[place].rollouts = rollouts;
        self.vms[place].state = State::Up;
    }

    fn is_up(&self, place: usize) -> bool {
        !matches!(self.vms[place].state, State::Down(_))
    }

    fn serves(&self, place: usize, now: Moment) -> bool {
        self.is_up(place) && self.vms[place].rollouts.is_informed(now)
    }

    /// Sends messages to a VM, and its answers back, each of them lost now and then.
    fn deliver(&mut self, from: usize, to: usize, messages: &[Handover], now: Moment) {
        let sender = |from: usize, to: usize, fleet: &Self| Sender {
            vm: from as u64,
            group: fleet.vms[from].zone == fleet.vms[to].zone,
        };
        if !self.is_up(to) || self.random.random_bool(LOSS) {
            return;
        }
        let by = sender(from, to, self);
        for message in messages {
            let answers = self.vms[to].rollouts.merge_handover(message, by, now);
            let by = sender(to, from, self);
            for answer in answers {
                if !self.random.random_bool(LOSS) {
                    self.vms[from].rollouts.merge_handover(&answer, by, now);
                }
            }
        }
    }

    fn tell_zone(&mut self, from: usize, now: Moment) {
        let stop = match self.vms[from].state {
            State::Stopping(until) => Some(Stop {
                successor: (from + 1..from + self.zone_size)
                    .map(|vm| from / self.zone_size * self.zone_size + vm % self.zone_size)
                    .find(
                        |vm| matches!(self.vms.get(*vm), Some(vm) if matches!(vm.state, State::Up)),
                    )
                    .map(|vm| vm as u64),
                left: until.since(now),
            }),
            _ => None,
        };
        let rollouts = &mut self.vms[from].rollouts;
        let messages = rollouts.group_handovers(stop.is_some(), now);
        let zone = self.vms[from].zone;
        let others = (0..self.vms.len()).filter(|to| *to != from);
        let others: Vec<usize> = others.filter(|to| self.vms[*to].zone == zone).collect();
        for to in others {
            let mut messages = messages.clone();
            for (order, loan) in self.vms[from].rollouts.lend(to as u64, stop, now) {
                let message = messages.iter_mut().find(|m| m.order == order);
                message.unwrap().loan = Some(loan);
            }
            self.deliver(from, to, &messages, now);
        }
    }

    fn tell_others(&mut self, from: usize, now: Moment) {
        let messages = self.vms[from].rollouts.remote_handovers(now);
        if messages.is_empty() {
            return;
        }
        let zones = self.vms.len().div_ceil(self.zone_size);
        let own = self.vms[from].zone;
        for zone in (0..zones).filter(|zone| *zone != own) {
            let first = zone * self.zone_size;
            let size = self.zone_size.min(self.vms.len() - first);
            let to = first + self.random.random_range(0..size);
            self.deliver(from, to, &messages, now);
        }
    }

    fn request(&mut self, place: usize, now: Moment) {
        let session = self.random.random_range(0..self.sessions.len());
        let rollouts = &mut self.vms[place].rollouts;
        self.outcome.all += u32::from(now >= ordered());
        let Choice::Version(version) = rollouts.version(&pool(), session as u64, now) else {
            self.outcome.refused += 1;
            return;
        };
        rollouts.record_session(&pool(), session as u64, &version, now);
        rollouts.record_sent(&pool(), &version);
        let is_new = version == new();
        self.outcome.new += u32::from(is_new);
        let last = self.sessions[session].replace((version, now));
        let Some((last, at)) = last.filter(|(_, at)| now.since(*at) < SESSION) else {
            return;
        };
        let was_new = last == new();
        self.outcome.to_old += u32::from(was_new && !is_new);
        let early = now.since(ordered()) < TIME_LIMIT / 2;
        if !was_new && is_new && early {
            println!(
                "{session} joined {:?} after the order, seen {:?} before",
                now.since(ordered()),
                now.since(at)
            );
        }
        self.outcome.early += u32::from(!was_new && is_new && early);
    }

    fn tick(&mut self, number: u32, now: Moment) {
        for place in 0..self.vms.len() {
            match self.vms[place].state {
                State::Stopping(until) if now >= until => {
                    self.vms[place].state = State::Down(now + DOWN);
                }
                State::Down(until) if now >= until => self.restart(place, now),
                _ => {}
            }
        }
        for place in (0..self.vms.len()).filter(|_| now >= ordered()) {
            if !self.is_up(place) {
                continue;
            }
            self.tell_zone(place, now);
            if (number + u32::try_from(place).unwrap()).is_multiple_of(REMOTE_TICKS) {
                self.tell_others(place, now);
            }
        }
        for place in 0..self.vms.len() {
            if self.serves(place, now) && self.random.random_bool(REQUESTS) {
                self.request(place, now);
            }
        }
    }

    /// Plays a roll-out in which each `every`th VM restarts, one after the other from this age of the order on.
    fn run(mut self, every: usize, from: Duration) -> Outcome {
        let lead = Duration::from_secs(4);
        let begin = Moment::ZERO + ordered().since(Moment::ZERO).saturating_sub(lead);
        let ticks = (lead + TIME_LIMIT).as_millis() / TICK.as_millis();
        let mut restarts = (0..self.vms.len()).step_by(every);
        let pause = Duration::from_secs(6) / u32::try_from(self.vms.len().div_ceil(every)).unwrap();
        let mut next_restart = ordered() + from;
        for number in 0..u32::try_from(ticks).unwrap() {
            let now = begin + TICK * number;
            if now == ordered() {
                for vm in &mut self.vms {
                    vm.rollouts
                        .update_versions(&pool(), vec![held(old(), 4), held(new(), 4)]);
                    vm.rollouts.add_order(versions::order(TIME_LIMIT), now);
                }
            }
            while now >= next_restart {
                let Some(place) = restarts.next() else { break };
                self.vms[place].state = State::Stopping(now + STOPPING);
                next_restart = next_restart + pause;
            }
            self.tick(number, now);
        }
        self.outcome
    }
}

#[expect(clippy::cast_lossless, reason = "counts of requests")]
fn judge(vms: usize, seed: u64, outcome: Outcome) {
    let Outcome {
        to_old,
        early,
        refused,
        new,
        all,
    } = outcome;
    println!("{vms} VMs, seed {seed}: {outcome:?}");
    assert_eq!(
        (to_old, early),
        (0, 0),
        "{vms} VMs, seed {seed}: back to the old version, early to the new one"
    );
    let allowed = EXPOSURE.share * all as f64 + EXPOSURE.slack as f64;
    assert!(new as f64 <= allowed, "{new} of {all}, {allowed} allowed");
    assert!(refused * 20 <= all, "{refused} of {all} refused");
}

/// Guards against VMs that start without what others were told once, and take it for no.
#[test]
fn sessions_keep_their_version_while_vms_restart_and_datagrams_are_lost() {
    let fleets: [(usize, usize, usize, u64, &[u64]); 3] = [
        (9, 3, 2, 6, &[1, 6, 14]),
        (89, 30, 4, 1, &[1, 6, 14]),
        (300, 30, 4, 1, &[6]),
    ];
    for (vms, zone_size, every, seeds, ages) in fleets {
        for (seed, from) in (0..seeds).flat_map(|seed| ages.iter().map(move |from| (seed, *from))) {
            let fleet = Fleet::new(vms, zone_size, seed);
            judge(vms, seed, fleet.run(every, Duration::from_secs(from)));
        }
    }
}
