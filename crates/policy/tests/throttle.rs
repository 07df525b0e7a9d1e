//! Limits that endpoints name.

use std::time::Duration;

use pimento_policy::throttle;
use pimento_policy::throttle::Limit;
use pimento_policy::throttle::Throttle;
use pimento_units::Moment;

/// Guards against a limit that is no number, or none that can be kept, taken for one.
#[test]
fn a_limit_is_a_finite_number_of_requests_a_second() {
    for (text, limit) in [("1", 1.0), (" 1.1 ", 1.1), ("0", 0.0), ("1e9", 1e9)] {
        let read: Limit = text.parse().unwrap();
        assert!((read.per_second() - limit).abs() < 1e-9, "{text:?}");
    }
    for text in ["", "few", "-1", "inf", "NaN", "1,5", "1/s"] {
        assert!(text.parse::<Limit>().is_err(), "{text:?}");
    }
}

/// The span in which requests are counted, and what may arrive in it as a part of the limit, and beyond.
const SPAN: f64 = 4.0;
const PART: f64 = 1.5;
const MORE: f64 = 5.0;

/// Time between two looks at all VMs.
const STEP: Duration = Duration::from_millis(10);

/// How long a VM that ended counts as living, and how long one that started is not known.
const UNHEARD: Duration = Duration::from_millis(1_300);
const UNMET: Duration = Duration::from_millis(600);

/// The VMs of one zone before an endpoint with a limit. Each would send more than it may.
struct Zone {
    limit: Limit,
    /// Since when each VM is up, or down.
    vms: Vec<(bool, Moment)>,
    throttles: Vec<Throttle>,
    arrived: Vec<Moment>,
    now: Moment,
    /// Who lives for the others, and who is up, when parts were last set.
    known: (Vec<usize>, Vec<bool>),
}

impl Zone {
    fn new(count: usize, limit: f64) -> Self {
        let limit = Limit::try_from(limit).unwrap();
        // They are there for long when they all hear of the limit.
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

    /// Whether a VM counts as living for the others.
    fn lives(&self, vm: usize, now: Moment) -> bool {
        let (up, since) = self.vms[vm];
        let heard = if up { UNMET } else { UNHEARD };
        up == (now.since(since) >= heard)
    }

    /// Tells all VMs who shares, if that has changed.
    fn share(&mut self, now: Moment) {
        let key = |vm: usize| xxhash_rust::xxh3::xxh3_64(&vm.to_le_bytes());
        let living = (0..self.vms.len()).filter(|vm| self.lives(*vm, now));
        let living: Vec<usize> = living.collect();
        let up: Vec<bool> = self.vms.iter().map(|(up, _)| *up).collect();
        if self.known == (living.clone(), up.clone()) {
            return;
        }
        for vm in (0..self.vms.len()).filter(|vm| up[*vm]) {
            let mut participants: Vec<u64> = living.iter().map(|vm| key(*vm)).collect();
            if !participants.contains(&key(vm)) {
                participants.push(key(vm));
            }
            let rate = throttle::share(self.limit, 7, key(vm), &participants);
            self.throttles[vm].set_rate(rate, now);
        }
        self.known = (living, up);
    }

    fn step(&mut self, now: Moment) {
        self.share(now);
        for ((up, _), own) in self.vms.iter().zip(&mut self.throttles) {
            while *up && own.is_open(now) {
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

    fn most(&self) -> usize {
        let mut last = 0;
        let mut most = 0;
        for (first, at) in self.arrived.iter().enumerate() {
            let within = |other: &&Moment| other.since(*at).as_secs_f64() < SPAN;
            last += self.arrived[last..].iter().take_while(within).count();
            most = most.max(last - first);
        }
        most
    }
}

/// VMs of a zone, of 9, 79, 195 and 300 in three and five.
const ZONES: [usize; 5] = [1, 3, 27, 39, 60];

const LIMITS: [f64; 7] = [0.0, 0.2, 1.0, 1.1, 5.0, 24.0, 300.0];

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a few requests"
)]
fn allowed(limit: f64) -> usize {
    (limit * SPAN * PART + MORE) as usize
}

/// Guards against VMs that break a limit together, from the first second on, and against a limit that
/// is mostly left unused.
#[test]
fn vms_keep_a_limit_together_and_use_it() {
    for count in ZONES {
        for limit in LIMITS {
            let mut zone = Zone::new(count, limit);
            zone.run(Duration::from_secs(40), |_, _| {});
            let (most, allowed) = (zone.most(), allowed(limit));
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

/// Guards against a limit that is broken while VMs end and start, and others do not know it yet.
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
            let (most, allowed) = (zone.most(), allowed(limit));
            assert!(
                most <= allowed,
                "{count} VMs, limit {limit}: {most} of {allowed}"
            );
        }
    }
}

/// Guards against a limit that is lowered, and kept only once what was saved up is spent.
#[test]
fn a_part_that_shrinks_saves_no_more_than_before() {
    let at = |seconds| Moment::ZERO + Duration::from_secs(seconds);
    let mut throttle = Throttle::new(40.0, at(0));
    assert!(!throttle.is_open(at(0)));
    throttle.set_rate(0.5, at(10));
    throttle.consume(at(10));
    assert!(!throttle.is_open(at(11)));
    assert_eq!(throttle.wait(at(11)), Some(Duration::from_secs(1)));
    throttle.set_rate(0.0, at(12));
    assert_eq!(throttle.wait(at(100)), None);
    assert!(!throttle.is_open(at(100)));
}

/// Guards against VMs that see each other differently and each take the whole.
#[test]
fn a_vm_that_does_not_share_sends_nothing() {
    let limit = Limit::try_from(3.0).unwrap();
    assert!(throttle::share(limit, 1, 9, &[1, 2, 3]).abs() < 1e-12);
    assert!((throttle::share(limit, 1, 9, &[]) - 2.7).abs() < 1e-9);
    let parts = (1..=40).map(|vm| throttle::share(limit, 1, vm, &(1..=40).collect::<Vec<_>>()));
    let owners = parts.clone().filter(|part| *part > 0.0).count();
    assert_eq!(owners, 4);
    assert!((parts.sum::<f64>() - 2.7).abs() < 1e-9);
}
