//! Limits that endpoints name for all VMs together.

use std::time::Duration;

use pimento_policy::throttle;
use pimento_policy::throttle::RateLimit;
use pimento_policy::throttle::Throttle;
use pimento_units::Moment;

/// Guards against a limit that is not a number, or a number that can't be a limit.
#[test]
fn a_limit_is_a_finite_number_of_requests_a_second() {
    for (text, limit) in [("1", 1.0), (" 1.1 ", 1.1), ("0", 0.0), ("1e9", 1e9)] {
        let read: RateLimit = text.parse().unwrap();
        assert!((read.per_second() - limit).abs() < 1e-9, "{text:?}");
    }
    for text in ["", "few", "-1", "inf", "NaN", "1,5", "1/s"] {
        assert!(text.parse::<RateLimit>().is_err(), "{text:?}");
    }
}

/// The window in which arrivals are counted, and the arrivals that are allowed in it: the limit's number
/// times `TOLERANCE`, plus `SLACK`.
const WINDOW_SECONDS: f64 = 4.0;
const TOLERANCE: f64 = 1.5;
const SLACK: f64 = 5.0;

/// Time between two steps of the simulation.
const STEP: Duration = Duration::from_millis(10);

/// Time for which a stopped VM still counts as alive, and after which a started VM is known to the others.
const DETECT_STOPPED: Duration = Duration::from_millis(1_300);
const DETECT_STARTED: Duration = Duration::from_millis(600);

/// The VMs of one zone that send to an endpoint with a limit. Each would send more than it may.
struct Zone {
    limit: RateLimit,
    /// Whether each VM is up, and since when it is up or down.
    vms: Vec<(bool, Moment)>,
    throttles: Vec<Throttle>,
    arrived: Vec<Moment>,
    now: Moment,
    /// The VMs that counted as alive, and those that were up, when shares were last set.
    known: (Vec<usize>, Vec<bool>),
}

impl Zone {
    fn new(count: usize, limit: f64) -> Self {
        let limit = RateLimit::try_from(limit).unwrap();
        // The VMs have been up for long when they all receive the limit.
        let now = Moment::ZERO + Duration::from_secs(100);
        Self {
            limit,
            vms: vec![(true, Moment::ZERO); count],
            throttles: vec![Throttle::new(0.0, now); count],
            arrived: Vec::new(),
            now,
            known: (Vec::new(), Vec::new()),
        }
    }

    /// Returns whether a VM counts as alive for the others.
    fn is_alive(&self, vm: usize, now: Moment) -> bool {
        let (up, since) = self.vms[vm];
        let delay = if up { DETECT_STARTED } else { DETECT_STOPPED };
        up == (now.since(since) >= delay)
    }

    /// Sets the shares of all VMs if the VMs that share have changed.
    fn update_shares(&mut self, now: Moment) {
        let key = |vm: usize| xxhash_rust::xxh3::xxh3_64(&vm.to_le_bytes());
        let alive = (0..self.vms.len()).filter(|vm| self.is_alive(*vm, now));
        let alive: Vec<usize> = alive.collect();
        let up: Vec<bool> = self.vms.iter().map(|(up, _)| *up).collect();
        if self.known == (alive.clone(), up.clone()) {
            return;
        }
        for vm in (0..self.vms.len()).filter(|vm| up[*vm]) {
            let mut participants: Vec<u64> = alive.iter().map(|vm| key(*vm)).collect();
            if !participants.contains(&key(vm)) {
                participants.push(key(vm));
            }
            let rate = throttle::share(self.limit, 7, key(vm), &participants);
            self.throttles[vm].set_rate(rate, now);
        }
        self.known = (alive, up);
    }

    fn step(&mut self, now: Moment) {
        self.update_shares(now);
        for ((up, _), own) in self.vms.iter().zip(&mut self.throttles) {
            while *up && own.can_send(now) {
                own.consume(now);
                self.arrived.push(now);
            }
        }
    }

    fn run(&mut self, span: Duration, mut change: impl FnMut(&mut Self, Moment)) {
        let end = self.now + span;
        while self.now < end {
            let now = self.now;
            change(self, now);
            self.step(now);
            self.now = now + STEP;
        }
    }

    fn busiest_window(&self) -> usize {
        let mut last = 0;
        let mut most = 0;
        for (first, at) in self.arrived.iter().enumerate() {
            let within = |other: &&Moment| other.since(*at).as_secs_f64() < WINDOW_SECONDS;
            last += self.arrived[last..].iter().take_while(within).count();
            most = most.max(last - first);
        }
        most
    }
}

/// Numbers of VMs in a zone, with 9, 79, 195 and 300 VMs in three and five zones.
const ZONES: [usize; 5] = [1, 3, 27, 39, 60];

const LIMITS: [f64; 7] = [0.0, 0.2, 1.0, 1.1, 5.0, 24.0, 300.0];

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a few requests"
)]
fn allowed(limit: f64) -> usize {
    (limit * WINDOW_SECONDS * TOLERANCE + SLACK) as usize
}

/// Guards against VMs that together exceed a limit, from the first second on, and against a limit that is
/// mostly unused.
#[test]
fn vms_keep_a_limit_together_and_use_it() {
    for count in ZONES {
        for limit in LIMITS {
            let mut zone = Zone::new(count, limit);
            zone.run(Duration::from_secs(40), |_, _| {});
            let (most, allowed) = (zone.busiest_window(), allowed(limit));
            assert!(
                most <= allowed,
                "{count} VMs, limit {limit}: {most} of {allowed}"
            );
            let arrived = u32::try_from(zone.arrived.len()).unwrap();
            let used = f64::from(arrived) / 40.0;
            assert!(
                used >= 0.8 * limit - 0.1,
                "{count} VMs, limit {limit}: {used}"
            );
        }
    }
}

/// Guards against a limit that is exceeded while VMs stop and start, and others do not know that yet.
#[test]
fn vms_keep_a_limit_while_they_come_and_go() {
    for count in ZONES {
        for limit in LIMITS {
            let mut zone = Zone::new(count, limit);
            let mut turn = 0;
            let mut due = Moment::ZERO;
            zone.run(Duration::from_mins(1), |zone, now| {
                if now >= due {
                    let vm = turn % zone.vms.len();
                    let up = zone.vms[vm].0;
                    zone.vms[vm] = (!up, now);
                    zone.throttles[vm] = Throttle::new(0.0, now);
                    turn += usize::from(!up);
                    due = now + Duration::from_millis(700);
                }
            });
            let (most, allowed) = (zone.busiest_window(), allowed(limit));
            assert!(
                most <= allowed,
                "{count} VMs, limit {limit}: {most} of {allowed}"
            );
        }
    }
}

/// Guards against a lowered limit that applies only once the bucket is empty.
#[test]
fn a_lowered_rate_reduces_what_is_available() {
    let at = |seconds| Moment::ZERO + Duration::from_secs(seconds);
    let mut throttle = Throttle::new(40.0, at(0));
    assert!(!throttle.can_send(at(0)));
    throttle.set_rate(0.5, at(10));
    throttle.consume(at(10));
    assert!(!throttle.can_send(at(11)));
    assert_eq!(throttle.wait(at(11)), Some(Duration::from_secs(1)));
    throttle.set_rate(0.0, at(12));
    assert_eq!(throttle.wait(at(100)), None);
    assert!(!throttle.can_send(at(100)));
}

/// Guards against VMs with different views of each other that each use the whole limit.
#[test]
fn a_vm_that_does_not_participate_sends_nothing() {
    let limit = RateLimit::try_from(3.0).unwrap();
    assert!(throttle::share(limit, 1, 9, &[1, 2, 3]).abs() < 1e-12);
    assert!((throttle::share(limit, 1, 9, &[]) - 2.7).abs() < 1e-9);
    let shares = (1..=40).map(|vm| throttle::share(limit, 1, vm, &(1..=40).collect::<Vec<_>>()));
    let owners = shares.clone().filter(|share| *share > 0.0).count();
    assert_eq!(owners, 4);
    assert!((shares.sum::<f64>() - 2.7).abs() < 1e-9);
}
