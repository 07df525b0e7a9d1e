//! An endpoint that falls over when it turns too many requests away, before zones of many sizes.

use std::collections::VecDeque;
use std::time::Duration;

use pimento_policy::brittle::Capacity;
use pimento_policy::brittle::Room;
use pimento_policy::brittle::Share;
use pimento_policy::throttle::Throttle;
use pimento_units::Moment;

const ENDPOINT: u64 = 77;
const STEP: Duration = Duration::from_millis(5);
const LENGTH: Duration = Duration::from_secs(20);

/// When the endpoint's room shrinks.
const SHRINKS_AT: Duration = Duration::from_secs(8);

/// How long an endpoint that fell over is gone.
const DOWN_TIME: Duration = Duration::from_secs(3);

/// VMs of a zone in fleets of 9, 79, 195, 300 and 985 VMs.
const ZONES: [u64; 5] = [3, 27, 39, 60, 197];

/// VMs of a zone up to which all of them send to each other.
const MAX_GROUP: u64 = 48;

const ENGINE: Capacity = Capacity {
    slots: 64,
    max_rejections: 8.0,
    hold_time: Duration::from_millis(1_500),
};

struct Vm {
    share: Share,
    room: Room,
    rate: Option<Throttle>,
    /// When its requests in flight end.
    in_flight: VecDeque<Moment>,
}

impl Vm {
    /// Begins anew with the rate, after a pause in which the bucket would have filled.
    fn restart(&mut self, at: Moment) {
        if let Some(rate) = &mut self.rate {
            *rate = Throttle::new(rate.rate(), at).with_phase(self.share.phase);
        }
    }

    fn may_send(&self, now: Moment) -> bool {
        if !self.room.pause(now).is_zero() {
            return false;
        }
        let in_flight = u32::try_from(self.in_flight.len()).unwrap();
        match &self.rate {
            Some(rate) => in_flight == 0 && rate.can_send(now),
            None => in_flight < self.room.requests(now),
        }
    }
}

struct Outcome {
    falls: usize,
    served: usize,
    rejected: usize,
}

/// Plays an endpoint whose VMs always have one more request for it. It has room for this share of its slots
/// from [`SHRINKS_AT`] on.
fn play(capacity: Capacity, vms: u64, left: f64) -> Outcome {
    let participants: Vec<u64> = (0..vms).collect();
    let start = Moment::ZERO + Duration::from_secs(100);
    let mut all: Vec<Vm> = participants
        .iter()
        .map(|own| {
            let share = Share::new(capacity, ENDPOINT, *own, &participants);
            Vm {
                share,
                room: Room::new(share, start),
                rate: (share.rate > 0.0)
                    .then(|| Throttle::new(share.rate, start).with_phase(share.phase)),
                in_flight: VecDeque::new(),
            }
        })
        .collect();
    let mut outcome = Outcome {
        falls: 0,
        served: 0,
        rejected: 0,
    };
    let mut rejections: VecDeque<Moment> = VecDeque::new();
    // Requests that were turned away and of which not all VMs have heard: by a datagram, or by three in a
    // divided zone.
    let mut told: VecDeque<Moment> = VecDeque::new();
    let word = if vms > MAX_GROUP { STEP * 20 } else { STEP * 3 };
    let mut down_until = start;
    let mut now = start;
    while now.since(start) < LENGTH {
        now = now + STEP;
        while let Some(at) = told.pop_front_if(|at| *at + word <= now) {
            for vm in &mut all {
                if vm.room.record_peer_rejection(at, now) {
                    vm.restart(now + vm.room.pause(now));
                }
            }
        }
        let slots = f64::from(capacity.slots);
        let shrunk = now.since(start) >= SHRINKS_AT;
        let room = if shrunk { slots * left } else { slots };
        let first = usize::try_from(now.nanos() / 5_000_000 % vms).unwrap();
        for place in 0..all.len() {
            let busy: usize = all.iter().map(|vm| vm.in_flight.len()).sum();
            let vm = &mut all[(first + place) % usize::try_from(vms).unwrap()];
            while vm.in_flight.front().is_some_and(|end| *end <= now) {
                vm.in_flight.pop_front();
                outcome.served += 1;
            }
            if now < down_until || !vm.may_send(now) {
                continue;
            }
            if let Some(rate) = &mut vm.rate {
                rate.consume(now);
            }
            let has_room = f64::from(u32::try_from(busy).unwrap()) < room;
            if has_room {
                // Requests of one VM end at different times.
                let spread = u32::try_from(vm.in_flight.len() % 7).unwrap();
                vm.in_flight
                    .push_back(now + capacity.hold_time + STEP * spread);
                continue;
            }
            let in_flight = u32::try_from(vm.in_flight.len()).unwrap() + 1;
            vm.room.record_rejection(in_flight, now);
            vm.restart(now + vm.room.pause(now));
            told.push_back(now);
            outcome.rejected += 1;
            rejections.push_back(now);
        }
        while rejections
            .front()
            .is_some_and(|at| now.since(*at) >= Duration::from_secs(1))
        {
            rejections.pop_front();
        }
        if f64::from(u32::try_from(rejections.len()).unwrap()) > capacity.max_rejections {
            outcome.falls += 1;
            rejections.clear();
            down_until = now + DOWN_TIME;
            for vm in &mut all {
                vm.in_flight.clear();
                vm.restart(down_until);
            }
        }
    }
    outcome
}

fn check(capacity: Capacity, vms: u64, left: f64, min_use: f64) {
    let outcome = play(capacity, vms, left);
    let possible =
        f64::from(capacity.slots) * LENGTH.as_secs_f64() / capacity.hold_time.as_secs_f64();
    let used = f64::from(u32::try_from(outcome.served).unwrap()) / possible;
    println!(
        "{vms} VMs, {} slots, {left} left: {} falls, {} rejected, {used:.2} used",
        capacity.slots, outcome.falls, outcome.rejected
    );
    assert!(outcome.falls <= 2, "{vms} VMs: {} falls", outcome.falls);
    assert!(used >= min_use, "{vms} VMs: {used:.2} used");
}

/// Guards against endpoints that fall over because each VM tries them until it is turned away.
#[test]
fn all_vms_together_do_not_make_an_endpoint_fall_over() {
    let plain = Capacity {
        slots: 6,
        max_rejections: 5.0,
        hold_time: Duration::from_millis(60),
    };
    for vms in ZONES {
        check(plain, vms, 1.0, 0.2);
        check(ENGINE, vms, 1.0, 0.2);
    }
}

/// Guards against endpoints that fall over because running requests fill their memory before all slots
/// are taken.
#[test]
fn an_endpoint_with_less_room_than_slots_does_not_fall_over() {
    for vms in ZONES {
        check(ENGINE, vms, 0.5, 0.1);
    }
}

#[test]
fn the_parts_of_all_vms_add_up_to_the_slots() {
    let capacity = Capacity {
        slots: 64,
        max_rejections: 5.0,
        hold_time: Duration::from_secs(1),
    };
    for vms in [1, 3, 39, 60, 64, 65, 128] {
        let participants: Vec<u64> = (0..vms).collect();
        let shares = participants
            .iter()
            .map(|own| Share::new(capacity, ENDPOINT, *own, &participants));
        assert_eq!(shares.map(|share| share.slots).sum::<u32>(), 64);
    }
    let stranger = Share::new(capacity, ENDPOINT, 9, &[1, 2]);
    assert_eq!(stranger, Share::default());
}
