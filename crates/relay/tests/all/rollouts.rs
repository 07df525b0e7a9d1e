//! Roll-outs: which version a session uses, at each of several VMs.

use std::time::Duration;

use pimento_relay::codec::Rollout;
use pimento_relay::config::Exposure;
use pimento_relay::operators::RolloutOrder;
use pimento_relay::rollouts::Rollouts;
use pimento_relay::rollouts::Seen;
use pimento_relay::rollouts::announcement::End;
use pimento_relay::rollouts::announcement::Outcome;
use pimento_relay::rollouts::announcement::Said;
use pimento_relay::rollouts::progress::Hearing;
use pimento_relay::rollouts::progress::Step;
use pimento_units::Moment;
use pimento_units::Offset;
use pimento_units::id;

const LASTS: Duration = Duration::from_secs(24);
const SESSION: Duration = Duration::from_secs(5);

/// Sessions of a trial that begins well after the order and ends at its half.
const TRIAL: Duration = Duration::from_secs(4);
const MOVED: Duration = Duration::from_secs(18);

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().unwrap()
}

fn pool() -> id::Pool {
    name("llm")
}

fn old() -> id::Version {
    name("v1")
}

fn new() -> id::Version {
    name("v2")
}

fn at(seconds: u64) -> Moment {
    Moment::ZERO + Duration::from_secs(seconds)
}

const ORDERED: u64 = 100;

fn ordered() -> Moment {
    at(ORDERED)
}

fn order() -> RolloutOrder {
    RolloutOrder {
        rollout: Rollout {
            pool: pool(),
            target: new(),
            time_limit: LASTS,
        },
        offset: Offset(7),
        read_at: ordered(),
        initial: false,
    }
}

/// A VM that knows four endpoints of each version.
fn vm() -> Rollouts {
    let exposure = Exposure {
        share: 0.15,
        slack: 30,
        rollback: Duration::from_secs(5),
    };
    let mut rollouts = Rollouts::new(exposure, SESSION);
    rollouts.see(&pool(), vec![(old(), 4)]);
    rollouts
}

fn begin(rollouts: &mut Rollouts) {
    rollouts.see(&pool(), vec![(old(), 4), (new(), 4)]);
    rollouts.order(order(), None, ordered());
}

/// Sessions that the trial moves, by a VM that knows none of them.
fn moved(count: usize) -> Vec<u64> {
    let mut fresh = vm();
    begin(&mut fresh);
    let now = ordered() + TRIAL;
    let moves = |session: &u64| fresh.version(&pool(), *session, now) == Some(new());
    (1_u64..).filter(moves).take(count).collect()
}

#[test]
fn a_small_share_of_new_sessions_tries_the_new_version() {
    let mut vm = vm();
    begin(&mut vm);
    let now = ordered() + TRIAL;
    let moved = (0..4_000).filter(|s| vm.version(&pool(), *s, now) == Some(new()));
    let count = moved.count();
    assert!((240..480).contains(&count), "{count}");
}

// Endpoints of the new version register a moment before their order is read. They must get nothing
// until it is: what they got would count as exposure, and sessions would be moved.
#[test]
fn a_version_without_an_order_is_left_alone() {
    let mut vm = vm();
    vm.see(&pool(), vec![(old(), 4), (new(), 8)]);
    let versions = (0..500).map(|s| vm.version(&pool(), s, ordered()));
    assert!(versions.into_iter().all(|version| version == Some(old())));
}

// A caller's session had a request at one VM before the order, and the next, seconds later, comes to
// another VM in another zone. That one has never seen the session; by the session's fixed place it
// would be moved to the new version, while the caller holds an answer of the old one.
#[test]
fn a_session_that_goes_from_vm_to_vm_keeps_its_version_in_the_trial() {
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
            here.note(&pool(), *session, &old(), seen);
        }
    }
    begin(&mut here);
    begin(&mut there);
    for session in sessions.iter().skip(1).step_by(2) {
        let seen = ordered() + Duration::from_millis(600);
        assert_eq!(here.version(&pool(), *session, seen), Some(old()));
        here.note(&pool(), *session, &old(), seen);
    }
    for kept in here.untold() {
        there.keep(kept);
    }
    let now = ordered() + TRIAL;
    for session in &sessions {
        assert_eq!(there.version(&pool(), *session, now), Some(old()));
    }
    // Each is told once.
    assert_eq!(here.untold(), []);
}

#[test]
fn a_session_on_the_new_version_stays_there() {
    let session = moved(1)[0];
    let mut vm = vm();
    begin(&mut vm);
    vm.note(&pool(), session, &new(), ordered() + TRIAL);
    for later in [TRIAL, LASTS / 2, MOVED] {
        assert_eq!(vm.version(&pool(), session, ordered() + later), Some(new()));
    }
}

#[test]
fn all_sessions_have_moved_well_before_the_deadline() {
    let mut vm = vm();
    begin(&mut vm);
    let now = ordered() + MOVED;
    for session in 0..500 {
        vm.note(&pool(), session, &old(), ordered() + TRIAL);
        assert_eq!(vm.version(&pool(), session, now), Some(new()));
    }
}

fn fail(vm: &mut Rollouts, endpoint: &str, times: usize) {
    for _ in 0..times {
        vm.record(&Seen {
            pool: &pool(),
            route: "review",
            version: &new(),
            endpoint: &name(endpoint),
            outcome: Outcome::Failed,
        });
    }
}

// A version fails its requests at more than one endpoint: sessions go back at once, also those that
// had moved.
#[test]
fn a_bad_version_gets_nothing_more() {
    let session = moved(1)[0];
    let mut vm = vm();
    begin(&mut vm);
    let now = ordered() + TRIAL;
    vm.note(&pool(), session, &new(), now);
    fail(&mut vm, "a", 4);
    fail(&mut vm, "b", 4);
    assert!(vm.bad(&pool(), &new()));
    assert_eq!(vm.version(&pool(), session, now), Some(old()));
}

// One endpoint of a good version is sick and fails all that it gets. That is the endpoint's matter:
// undoing the roll-out for it would miss the deadline of a good version.
#[test]
fn one_sick_endpoint_does_not_make_a_version_bad() {
    let mut vm = vm();
    begin(&mut vm);
    fail(&mut vm, "a", 12);
    assert!(!vm.bad(&pool(), &new()));
}

// Each VM saw too little to judge by itself. Together they saw enough, and one word of it reaches a
// VM that saw nothing.
#[test]
fn evidence_of_several_vms_counts_together() {
    let (mut one, mut other) = (vm(), vm());
    begin(&mut one);
    begin(&mut other);
    fail(&mut one, "a", 3);
    fail(&mut other, "b", 3);
    assert!(!one.bad(&pool(), &new()) && !other.bad(&pool(), &new()));
    let now = ordered() + TRIAL;
    let what = other.announcements(|_, _| false, now);
    let node = name::<id::Node>("other");
    for what in what {
        let node = node.clone();
        one.hear(&Said { node, what }, now);
    }
    assert!(one.bad(&pool(), &new()));
}

// A VM was cut off while the order was given and reads it ten seconds later. By its own reckoning the
// trial has just begun; others say how old the order is, and it joins them where they are.
#[test]
fn a_vm_that_reads_an_order_late_learns_its_age() {
    let (mut prompt, mut late) = (vm(), vm());
    begin(&mut prompt);
    late.see(&pool(), vec![(old(), 4), (new(), 4)]);
    let read = ordered() + Duration::from_secs(10);
    let order = RolloutOrder {
        read_at: read,
        ..order()
    };
    late.order(order, None, read);
    let now = ordered() + MOVED;
    let session = 3;
    late.note(&pool(), session, &old(), now);
    assert_eq!(late.version(&pool(), session, now), Some(old()));
    let node = name::<id::Node>("prompt");
    for what in prompt.announcements(|_, _| false, now) {
        let node = node.clone();
        late.hear(&Said { node, what }, now);
    }
    assert_eq!(late.version(&pool(), session, now), Some(new()));
}

#[test]
fn word_of_the_end_ends_it_everywhere() {
    for (end, version) in [(End::Done, new()), (End::Undone, old())] {
        let mut vm = vm();
        begin(&mut vm);
        let now = ordered() + MOVED;
        let mut what = vm.announcements(|_, _| true, now).remove(0);
        what.ended = Some(end);
        let node = name("other");
        vm.hear(&Said { node, what }, now);
        assert!(vm.running().is_empty());
        assert_eq!(vm.version(&pool(), 1, now), Some(version));
    }
}

// All endpoints of the new version are gone, such as after a crash in the trial. Callers of the
// sessions that had moved are served by the old one rather than by nobody.
#[test]
fn sessions_fall_back_when_the_new_version_has_no_endpoint() {
    let session = moved(1)[0];
    let mut vm = vm();
    begin(&mut vm);
    let now = ordered() + TRIAL;
    vm.note(&pool(), session, &new(), now);
    vm.see(&pool(), vec![(old(), 4)]);
    assert_eq!(vm.version(&pool(), session, now), Some(old()));
}

// Guards against streams of other zones cut by a VM that says for them that they have left.
#[test]
fn a_vm_that_hears_its_zone_alone_does_not_tell_that_all_have_left() {
    let mut vm = vm();
    begin(&mut vm);
    let now = ordered() + MOVED;
    assert_eq!(vm.step(&pool(), true, Hearing::Zone, now), Step::Wait);
    let done = Step::Tell(End::Done);
    assert_eq!(vm.step(&pool(), true, Hearing::Everywhere, now), done);
    // Before the deadline somebody must.
    let late = ordered() + LASTS.saturating_sub(Duration::from_secs(1));
    assert_eq!(vm.step(&pool(), true, Hearing::Zone, late), done);
}

// Guards against VMs that start together and all ask what became of an order that leaves them no choice.
#[test]
fn an_order_matters_once_there_are_several_versions() {
    let mut vm = vm();
    assert!(!vm.mixed(&pool()));
    vm.see(&pool(), vec![(old(), 4), (new(), 1)]);
    assert!(vm.mixed(&pool()));
    vm.see(&pool(), vec![(new(), 4)]);
    assert!(!vm.mixed(&pool()));
}
