//! The requests that a bad version gets, by number, while nobody can tell that it is bad.

use std::time::Duration;

use pimento_relay::rollouts::Choice;
use pimento_relay::rollouts::FinishedRequest;
use pimento_relay::rollouts::Rollouts;
use pimento_relay::rollouts::announcement::NodeAnnouncement;
use pimento_relay::rollouts::announcement::Outcome;
use pimento_relay::rollouts::state::Step;
use pimento_units::Moment;
use pimento_units::id;

use crate::versions;
use crate::versions::EXPOSURE;
use crate::versions::held;
use crate::versions::name;
use crate::versions::new;
use crate::versions::old;
use crate::versions::ordered;
use crate::versions::pool;

/// VMs that hear each other's announcements several times a second.
struct Fleet {
    vms: Vec<Rollouts>,
    time_limit: Duration,
    /// Requests sent to the new version, and to both.
    sent: (u32, u32),
    /// Requests that no version could take.
    refused: u32,
    next_request: u64,
}

impl Fleet {
    fn new(vms: usize, time_limit: Duration) -> Self {
        let vm = || {
            let mut rollouts = Rollouts::new(EXPOSURE, Duration::from_secs(5), 1);
            rollouts.set_vms(vms);
            rollouts.update_versions(&pool(), vec![held(old(), 4)]);
            rollouts.update_versions(&pool(), vec![held(old(), 4), held(new(), 4)]);
            rollouts.add_order(versions::order(time_limit), ordered());
            rollouts
        };
        Self {
            vms: (0..vms).map(|_| vm()).collect(),
            time_limit,
            sent: (0, 0),
            refused: 0,
            next_request: 0,
        }
    }

    /// A request of one of the sessions, each of which has three in a row, at one of the VMs.
    fn request(&mut self, now: Moment, vm: usize) {
        self.next_request += 1;
        let session = self.next_request / 3;
        let rollouts = &mut self.vms[vm];
        let version = rollouts.version(&pool(), session, now);
        let Choice::Version(version) = version else {
            self.refused += 1;
            return;
        };
        rollouts.record_session(&pool(), session, &version, now);
        rollouts.record_sent(&pool(), &version);
        rollouts.record(&FinishedRequest {
            pool: &pool(),
            route: "review",
            version: &version,
            endpoint: &name("e"),
            outcome: Outcome::Served(Duration::from_millis(30)),
        });
        self.sent.0 += u32::from(version == new());
        self.sent.1 += 1;
    }

    fn announce(&mut self, now: Moment) {
        for vm in &mut self.vms {
            // What it does about the roll-out is for the test to ask.
            let _ = vm.next_step(&pool(), true, now);
        }
        for from in 0..self.vms.len() {
            let announcements = self.vms[from].announcements(|_, _| true, now);
            let node = name::<id::Node>(&format!("vm-{from}"));
            for to in (0..self.vms.len()).filter(|to| *to != from) {
                for announcement in announcements.clone() {
                    let node = node.clone();
                    self.vms[to].receive(&NodeAnnouncement { node, announcement }, now);
                }
            }
        }
    }

    /// Sends `rate` requests a second until the deadline, in turn to the VMs that `choose` picks.
    fn run(&mut self, rate: u32, choose: impl Fn(u64) -> usize) {
        let total = rate * u32::try_from(self.time_limit.as_secs()).unwrap();
        for number in 0..total {
            let now = ordered() + self.time_limit * number / total;
            // The bound needs no word of the others, and all of a large fleet are too many to hear.
            if number % rate.div_ceil(4) == 0 && self.vms.len() < 12 {
                self.announce(now);
            }
            self.request(now, choose(u64::from(number)));
        }
    }

    fn assert_within_bound(&self) {
        let (new, all) = self.sent;
        let allowed = EXPOSURE.share * f64::from(all) + f64::from(EXPOSURE.slack);
        assert!(
            f64::from(new) <= allowed,
            "{new} of {all}, {allowed} allowed"
        );
    }
}

/// Guards against a bad version whose answers look like a good one's and that gets most requests by its deadline.
#[test]
fn a_version_that_nobody_can_tell_is_bad_stays_within_its_bound() {
    let fleets = [
        (6, 19, 24),
        (9, 40, 16),
        (3, 4, 24),
        (79, 300, 16),
        (985, 6_800, 16),
    ];
    for (vms, rate, seconds) in fleets {
        let mut fleet = Fleet::new(vms, Duration::from_secs(seconds));
        fleet.run(rate, |number| usize::try_from(number).unwrap() % vms);
        fleet.assert_within_bound();
    }
}

/// Guards against callers that all come to one VM, whose share of sessions would be most requests of the service.
#[test]
fn a_version_stays_within_its_bound_when_one_vm_has_all_callers() {
    let mut fleet = Fleet::new(6, Duration::from_secs(16));
    let last = 16 * 40 * 3 / 4;
    fleet.run(40, |number| {
        if number > last {
            0
        } else {
            usize::try_from(number).unwrap() % 6
        }
    });
    fleet.assert_within_bound();
}

/// Guards against a version of which nothing is known yet getting all requests because the old one is out of reach.
#[test]
fn a_trial_without_an_old_endpoint_stays_within_its_bound() {
    let mut fleet = Fleet::new(6, Duration::from_secs(24));
    for vm in &mut fleet.vms {
        vm.update_versions(&pool(), vec![held(new(), 4)]);
    }
    let now = ordered() + Duration::from_secs(6);
    for number in 0..1_000 {
        fleet.request(now, number % 6);
    }
    fleet.assert_within_bound();
}

/// Guards against a bad version that gets requests again because the old one is out of reach for a moment.
#[test]
fn a_version_known_to_be_bad_gets_no_requests_without_an_old_endpoint() {
    let mut fleet = Fleet::new(1, Duration::from_secs(24));
    let vm = &mut fleet.vms[0];
    for endpoint in ["a", "b"] {
        for _ in 0..4 {
            vm.record(&FinishedRequest {
                pool: &pool(),
                route: "review",
                version: &new(),
                endpoint: &name(endpoint),
                outcome: Outcome::Failed,
            });
        }
    }
    assert!(vm.is_bad(&pool(), &new()));
    vm.update_versions(&pool(), vec![held(new(), 4)]);
    let now = ordered() + Duration::from_secs(6);
    assert_ne!(vm.version(&pool(), 1, now), Choice::Version(new()));
}

/// Guards against a VM that heard nobody, in whose zone there is nobody else, and that reports a bad version as good.
#[test]
fn a_vm_that_heard_nobody_does_not_report_that_a_version_is_good() {
    let mut fleet = Fleet::new(6, Duration::from_secs(24));
    let vm = &mut fleet.vms[0];
    for tenths in 0..240 {
        let now = ordered() + Duration::from_millis(100) * tenths;
        let step = vm.next_step(&pool(), true, now);
        assert_eq!(step, Step::Wait, "after {tenths} tenths of a second");
    }
}

/// Guards against a good version that misses its deadline although everybody serves by it and says so.
#[test]
fn a_good_version_is_reported_by_its_deadline() {
    for seconds in [16, 24] {
        let mut fleet = Fleet::new(6, Duration::from_secs(seconds));
        fleet.run(40, |number| usize::try_from(number).unwrap() % 6);
        let left = Duration::from_millis(300);
        let now = ordered() + fleet.time_limit.saturating_sub(left);
        let step = fleet.vms[0].next_step(&pool(), true, now);
        assert!(matches!(step, Step::Report(_)), "{step:?}");
    }
}

/// Guards against a session that one VM has let join the new version and another sends back to the old one.
#[test]
fn a_session_uses_the_same_version_at_each_vm_in_the_trial() {
    let mut fleet = Fleet::new(6, Duration::from_secs(24));
    let now = ordered() + Duration::from_secs(8);
    for number in 0..600 {
        fleet.request(now, number % 6);
    }
    for session in 10_000..10_600 {
        let version = |vm: &Rollouts| vm.version(&pool(), session, now);
        let at_first = version(&fleet.vms[0]);
        for vm in &fleet.vms {
            assert_eq!(version(vm), at_first, "session {session}");
        }
    }
}

/// Guards against a VM that starts while the old version is gone for a moment and takes the roll-out for done.
#[test]
fn a_vm_that_starts_without_an_old_endpoint_stays_within_its_bound() {
    let mut fleet = Fleet::new(1, Duration::from_secs(24));
    let mut vm = Rollouts::new(EXPOSURE, Duration::from_secs(5), 1);
    vm.update_versions(&pool(), vec![held(new(), 4)]);
    let mut order = versions::order(fleet.time_limit);
    order.initial = true;
    vm.add_order(order, ordered());
    fleet.vms = vec![vm];
    let now = ordered() + Duration::from_secs(6);
    for _ in 0..1_000 {
        fleet.request(now, 0);
    }
    fleet.assert_within_bound();
    // With nobody to ask, the endpoints that are there are taken for the version in place.
    let vm = &mut fleet.vms[0];
    vm.status_is_out_of_reach();
    assert_eq!(vm.version(&pool(), 1, now), Choice::Version(new()));
}
