//! Roll-outs: which version a session uses at each of several VMs, and when the end is reported.

use std::time::Duration;

use pimento_relay::operators::ReadOrder;
use pimento_relay::rollouts::Choice;
use pimento_relay::rollouts::FinishedRequest;
use pimento_relay::rollouts::Rollouts;
use pimento_relay::rollouts::announcement::End;
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

const TIME_LIMIT: Duration = Duration::from_secs(24);
const SESSION: Duration = Duration::from_secs(5);

/// Time from the order to a moment in the trial.
const TRIAL: Duration = Duration::from_secs(4);
/// Time from the order to a moment when all sessions have moved.
const MOVED: Duration = Duration::from_millis(22_700);

fn at(seconds: u64) -> Moment {
    Moment::ZERO + Duration::from_secs(seconds)
}

const ORDERED: u64 = 100;

fn order() -> ReadOrder {
    versions::order(TIME_LIMIT)
}

/// A VM that knows four endpoints of the old version.
fn vm() -> Rollouts {
    let mut rollouts = Rollouts::new(EXPOSURE, SESSION, 1);
    rollouts.update_versions(&pool(), vec![held(old(), 4)]);
    rollouts
}

/// Four endpoints of the new version register, and the order is read.
fn begin(rollouts: &mut Rollouts) {
    rollouts.update_versions(&pool(), vec![held(old(), 4), held(new(), 4)]);
    rollouts.add_order(order(), ordered());
}

/// Sessions that the trial moves at a VM that has not seen them before.
fn moved(count: usize) -> Vec<u64> {
    let mut fresh = vm();
    begin(&mut fresh);
    let now = ordered() + TRIAL;
    let moves = |session: &u64| fresh.version(&pool(), *session, now) == Choice::Version(new());
    (1_u64..).filter(moves).take(count).collect()
}

#[test]
fn a_small_share_of_new_sessions_tries_the_new_version() {
    let mut vm = vm();
    begin(&mut vm);
    let now = ordered() + TRIAL;
    let moved = (0..4_000).filter(|s| vm.version(&pool(), *s, now) == Choice::Version(new()));
    let count = moved.count();
    assert!((240..480).contains(&count), "{count}");
}

// Endpoints of the new version register shortly before the order is read. Requests sent to them until
// then would count as exposure and move their sessions.
#[test]
fn a_version_without_an_order_gets_no_requests() {
    let mut vm = vm();
    vm.update_versions(&pool(), vec![held(old(), 4), held(new(), 8)]);
    let versions = (0..500).map(|s| vm.version(&pool(), s, ordered()));
    assert!(
        versions
            .into_iter()
            .all(|version| version == Choice::Version(old()))
    );
}

// A session has a request at one VM before the trial, and its next one at a VM in another zone. That VM
// has not seen the session and would move it to the new version, although the caller has an answer of the
// old one. Announced pinned sessions prevent this.
#[test]
fn a_session_that_changes_vms_keeps_its_version_in_the_trial() {
    let sessions = moved(20);
    let (mut here, mut there) = (vm(), vm());
    for (place, session) in sessions.iter().enumerate() {
        // Half of them were seen before the order, half after it and before the trial.
        let seen = if place % 2 == 0 {
            at(98)
        } else {
            at(ORDERED) + Duration::from_millis(600)
        };
        if place % 2 == 0 {
            here.record_session(&pool(), *session, &old(), seen);
        }
    }
    begin(&mut here);
    begin(&mut there);
    for session in sessions.iter().skip(1).step_by(2) {
        let seen = ordered() + Duration::from_millis(600);
        assert_eq!(
            here.version(&pool(), *session, seen),
            Choice::Version(old())
        );
        here.record_session(&pool(), *session, &old(), seen);
    }
    for pinned in here.take_pending_sessions() {
        there.pin_session(pinned);
    }
    let now = ordered() + TRIAL;
    for session in &sessions {
        assert_eq!(
            there.version(&pool(), *session, now),
            Choice::Version(old())
        );
    }
    // Each is announced once.
    assert_eq!(here.take_pending_sessions(), []);
}

#[test]
fn a_session_on_the_new_version_stays_there() {
    let session = moved(1)[0];
    let mut vm = vm();
    begin(&mut vm);
    vm.record_session(&pool(), session, &new(), ordered() + TRIAL);
    for later in [TRIAL, TIME_LIMIT / 2, MOVED] {
        assert_eq!(
            vm.version(&pool(), session, ordered() + later),
            Choice::Version(new())
        );
    }
}

#[test]
fn all_sessions_have_moved_well_before_the_deadline() {
    let mut vm = vm();
    begin(&mut vm);
    let now = ordered() + MOVED;
    for session in 0..500 {
        vm.record_session(&pool(), session, &old(), ordered() + TRIAL);
        assert_eq!(vm.version(&pool(), session, now), Choice::Version(new()));
    }
}

fn fail(vm: &mut Rollouts, endpoint: &str, times: usize) {
    for _ in 0..times {
        vm.record(&FinishedRequest {
            pool: &pool(),
            route: "review",
            version: &new(),
            endpoint: &name(endpoint),
            outcome: Outcome::Failed,
        });
    }
}

// A version fails its requests at more than one endpoint: all sessions return to the old one at once, also
// those that had moved.
#[test]
fn a_bad_version_gets_no_more_requests() {
    let session = moved(1)[0];
    let mut vm = vm();
    begin(&mut vm);
    let now = ordered() + TRIAL;
    vm.record_session(&pool(), session, &new(), now);
    fail(&mut vm, "a", 4);
    fail(&mut vm, "b", 4);
    assert!(vm.is_bad(&pool(), &new()));
    assert_eq!(vm.version(&pool(), session, now), Choice::Version(old()));
}

// One faulty endpoint of a good version fails all its requests. If the roll-out were undone for it, a good
// version would miss its deadline.
#[test]
fn one_faulty_endpoint_does_not_make_a_version_bad() {
    let mut vm = vm();
    begin(&mut vm);
    fail(&mut vm, "a", 12);
    assert!(!vm.is_bad(&pool(), &new()));
}

/// Guards against a good version that is rolled back for one answer whose connection was lost in the network.
#[test]
fn one_very_slow_answer_does_not_make_a_version_bad() {
    let mut vm = vm();
    begin(&mut vm);
    let mut serve = |version: id::Version, milliseconds: u64| {
        vm.record(&FinishedRequest {
            pool: &pool(),
            route: "review",
            version: &version,
            endpoint: &name("a"),
            outcome: Outcome::Served(Duration::from_millis(milliseconds)),
        });
    };
    for _ in 0..40 {
        serve(old(), 20);
    }
    for answer in 0..8 {
        serve(new(), if answer == 3 { 1_020 } else { 20 });
    }
    assert!(!vm.is_bad(&pool(), &new()));
}

// Each of two VMs has too little evidence to find the version bad. With the other one's announcement it has
// enough.
#[test]
fn evidence_of_several_vms_counts_together() {
    let (mut one, mut other) = (vm(), vm());
    begin(&mut one);
    begin(&mut other);
    fail(&mut one, "a", 3);
    fail(&mut other, "b", 3);
    assert!(!one.is_bad(&pool(), &new()) && !other.is_bad(&pool(), &new()));
    let now = ordered() + TRIAL;
    let announcements = other.announcements(|_, _| false, now);
    let node = name::<id::Node>("other");
    for announcement in announcements {
        let node = node.clone();
        one.receive(&NodeAnnouncement { node, announcement }, now);
    }
    assert!(one.is_bad(&pool(), &new()));
}

// A VM was cut off when the order was given and reads it ten seconds later. By its own clock the roll-out
// has just begun. It takes the age of the order from the announcements of others, and so their phase.
#[test]
fn a_vm_that_reads_an_order_late_learns_its_age() {
    let (mut prompt, mut late) = (vm(), vm());
    begin(&mut prompt);
    late.update_versions(&pool(), vec![held(old(), 4), held(new(), 4)]);
    let read = ordered() + Duration::from_secs(10);
    let order = ReadOrder {
        read_at: read,
        ..order()
    };
    late.add_order(order, read);
    let now = ordered() + MOVED;
    let session = 3;
    late.record_session(&pool(), session, &old(), now);
    assert_eq!(late.version(&pool(), session, now), Choice::Version(old()));
    let node = name::<id::Node>("prompt");
    for announcement in prompt.announcements(|_, _| false, now) {
        let node = node.clone();
        late.receive(&NodeAnnouncement { node, announcement }, now);
    }
    assert_eq!(late.version(&pool(), session, now), Choice::Version(new()));
}

#[test]
fn an_announced_end_ends_the_roll_out_everywhere() {
    for (end, version) in [(End::Done, new()), (End::RolledBack, old())] {
        let mut vm = vm();
        begin(&mut vm);
        let now = ordered() + MOVED;
        let mut announcement = vm.announcements(|_, _| true, now).remove(0);
        announcement.ended = Some(end);
        let node = name("other");
        vm.receive(&NodeAnnouncement { node, announcement }, now);
        assert!(vm.running().is_empty());
        assert_eq!(vm.version(&pool(), 1, now), Choice::Version(version));
    }
}

// All endpoints of the new version are gone, for example after a crash in the trial. Sessions that had
// moved are served by the old version instead of failing.
#[test]
fn sessions_fall_back_when_the_new_version_has_no_endpoint() {
    let session = moved(1)[0];
    let mut vm = vm();
    begin(&mut vm);
    let now = ordered() + TRIAL;
    vm.record_session(&pool(), session, &new(), now);
    vm.update_versions(&pool(), vec![held(old(), 4)]);
    assert_eq!(vm.version(&pool(), session, now), Choice::Version(old()));
}

/// Answers of the new version from the whole zone, as many as show that it is good.
fn serve_by_new(vm: &mut Rollouts) {
    for _ in 0..30 {
        vm.record(&FinishedRequest {
            pool: &pool(),
            route: "review",
            version: &new(),
            endpoint: &name("a"),
            outcome: Outcome::Served(Duration::from_millis(30)),
        });
    }
}

/// A VM at which all sessions have moved, that knows of another one, and has had good answers since.
fn moved_vm_beside_another() -> Rollouts {
    let mut vm = vm();
    vm.set_vms(2);
    begin(&mut vm);
    let ramp = ordered() + Duration::from_secs(22);
    assert_eq!(vm.next_step(&pool(), true, ramp), Step::Wait);
    serve_by_new(&mut vm);
    vm
}

/// Guards against streams of other zones that are cut because a VM reports the end before those zones have drained
/// the old version.
#[test]
fn a_vm_that_sees_only_its_zone_does_not_report_the_end_early() {
    let mut vm = moved_vm_beside_another();
    for now in [MOVED, TIME_LIMIT, TIME_LIMIT + Duration::from_secs(3)] {
        assert_eq!(vm.next_step(&pool(), true, ordered() + now), Step::Wait);
    }
    // After that the other one is taken for gone.
    let late = ordered() + TIME_LIMIT + Duration::from_secs(4);
    let done = Step::Report(End::Done);
    assert_eq!(vm.next_step(&pool(), true, late), done);
}

#[test]
fn the_end_is_reported_once_all_vms_have_drained_the_old_version() {
    let mut vm = moved_vm_beside_another();
    let now = ordered() + TIME_LIMIT.saturating_sub(Duration::from_millis(1_100));
    let mut other = self::vm();
    begin(&mut other);
    for (drained, step) in [(false, Step::Wait), (true, Step::Report(End::Done))] {
        let announcement = other.announcements(|_, _| drained, now).remove(0);
        let node = name("other");
        vm.receive(&NodeAnnouncement { node, announcement }, now);
        assert_eq!(vm.next_step(&pool(), true, now), step);
    }
    // Shortly before the deadline calls at the old version are not waited for.
    let mut vm = moved_vm_beside_another();
    let late = ordered() + TIME_LIMIT.saturating_sub(Duration::from_millis(400));
    let announcement = other.announcements(|_, _| false, late).remove(0);
    let node = name("other");
    vm.receive(&NodeAnnouncement { node, announcement }, late);
    assert_eq!(vm.next_step(&pool(), false, late), Step::Report(End::Done));
}

/// Guards against a version that is reported as good although hardly any answer has shown it.
#[test]
fn an_end_is_not_reported_on_hardly_any_answers() {
    let mut vm = vm();
    begin(&mut vm);
    let mut now = ordered();
    while now < ordered() + TIME_LIMIT + Duration::from_secs(9) {
        assert_eq!(vm.next_step(&pool(), true, now), Step::Wait);
        now = now + Duration::from_millis(250);
    }
}

// Guards against VMs that start together and all read the status of an order that has no effect, as the
// service has no endpoint of its target.
#[test]
fn an_order_matters_once_its_target_has_endpoints() {
    let mut vm = vm();
    assert!(!vm.holds_target(&order()));
    vm.update_versions(&pool(), vec![held(old(), 4), held(new(), 1)]);
    assert!(vm.holds_target(&order()));
    vm.update_versions(&pool(), vec![held(new(), 4)]);
    assert!(vm.holds_target(&order()));
}

/// Guards against a version that fails as soon as it is in place, of which nobody is told.
#[test]
fn a_version_that_turns_bad_once_in_place_is_told() {
    let mut vm = moved_vm_beside_another();
    let mut announcement = vm.announcements(|_, _| true, ordered() + MOVED).remove(0);
    announcement.ended = Some(End::Done);
    let node = name("other");
    vm.receive(&NodeAnnouncement { node, announcement }, ordered() + MOVED);
    fail(&mut vm, "a", 20);
    fail(&mut vm, "b", 20);
    assert_eq!(vm.bad_versions(), [(pool(), true)]);
    // Nothing else is there to use.
    let version = vm.version(&pool(), 1, ordered() + TIME_LIMIT);
    assert_eq!(version, Choice::Version(new()));
}
