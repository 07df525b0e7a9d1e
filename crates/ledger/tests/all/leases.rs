//! A lease has one holder at a time, with rising fencing numbers.

use pimento_ledger::leases::Fold;
use pimento_ledger::leases::Verdict;
use pimento_ledger::record::Acquire;
use pimento_ledger::record::LeaseRecord;
use pimento_ledger::record::Release;
use pimento_units::Offset;
use pimento_units::Span;
use pimento_units::Wall;
use pimento_units::id;
use proptest::collection::vec;
use proptest::prop_assert;
use proptest::proptest;
use uuid::Uuid;

const SPAN: u64 = 10;

fn resource() -> id::Resource {
    "orders:pimento-llm:kig-remera".parse().expect("a name")
}

fn node(number: u8) -> id::Node {
    format!("node-{number}").parse().expect("a name")
}

fn take(record: u128, by: u8, previous: Option<u64>) -> LeaseRecord {
    LeaseRecord::Acquire(Acquire {
        id: id::Record(Uuid::from_u128(record)),
        resource: resource(),
        holder: node(by),
        previous: previous.map(Offset),
        span: Span::from_secs(SPAN),
    })
}

fn at(seconds: u64) -> Wall {
    Wall::from_millis(seconds * 1_000)
}

/// Two nodes compete for a lease, and the loser tries again while it runs. It gets the lease, with a
/// higher number, only after the end by the log's clock.
#[test]
fn a_running_lease_is_not_taken_over() {
    let mut fold = Fold::default();
    let first = take(1, 1, None);
    assert_eq!(
        fold.apply(Offset(5), at(0), &first),
        Verdict::Accepted(Offset(5))
    );
    assert_eq!(
        fold.apply(Offset(6), at(0), &take(2, 2, None)),
        Verdict::Refused
    );
    assert_eq!(
        fold.apply(Offset(7), at(9), &take(3, 2, Some(5))),
        Verdict::Refused
    );
    let later = fold.apply(Offset(8), at(10), &take(4, 2, Some(5)));
    assert_eq!(later, Verdict::Accepted(Offset(8)));
}

/// The holder renews in time and keeps its number. The answer to a renewal is lost and the record is
/// appended again: the second copy has no effect.
#[test]
fn a_renewal_keeps_the_number() {
    let mut fold = Fold::default();
    fold.apply(Offset(5), at(0), &take(1, 1, None));
    let renewal = take(2, 1, Some(5));
    let renewed = Verdict::Accepted(Offset(5));
    assert_eq!(fold.apply(Offset(6), at(8), &renewal), renewed);
    assert_eq!(fold.apply(Offset(7), at(9), &renewal), Verdict::Repeated);
    let lease = fold.lease(&resource()).expect("taken");
    assert_eq!((lease.last, lease.until), (Offset(6), at(18)));
}

/// The holder was paused past the end of its lease and renews afterwards. It gets a new number, since
/// a successor may have begun to act.
#[test]
fn a_late_renewal_gets_a_new_number() {
    let mut fold = Fold::default();
    fold.apply(Offset(5), at(0), &take(1, 1, None));
    let late = fold.apply(Offset(6), at(11), &take(2, 1, Some(5)));
    assert_eq!(late, Verdict::Accepted(Offset(6)));
}

/// A holder that shuts down releases its lease, and the next holder need not wait. A release with an
/// old number is refused.
#[test]
fn a_released_lease_is_free_at_once() {
    let mut fold = Fold::default();
    fold.apply(Offset(5), at(0), &take(1, 1, None));
    let release = |fencing| {
        LeaseRecord::Release(Release {
            resource: resource(),
            holder: node(1),
            fencing: Offset(fencing),
        })
    };
    assert_eq!(fold.apply(Offset(6), at(1), &release(4)), Verdict::Refused);
    assert_eq!(fold.apply(Offset(7), at(1), &release(5)), Verdict::Released);
    let next = fold.apply(Offset(8), at(2), &take(2, 2, Some(5)));
    assert_eq!(next, Verdict::Accepted(Offset(8)));
}

proptest! {
    /// In any sequence of records, numbers rise with each change of holder, and the leases of two
    /// holders do not overlap by the log's clock.
    #[test]
    fn numbers_rise(steps in vec((0_u64..6, 0_u8..3, proptest::bool::ANY), 1..60)) {
        let mut fold = Fold::default();
        let mut now = 0;
        for (offset, (wait, by, current)) in (0_u64..).zip(steps) {
            now += wait;
            let before = fold.lease(&resource()).cloned();
            let previous = if current { before.as_ref().map(|l| l.last.0) } else { None };
            let step = take(u128::from(offset), by, previous);
            fold.apply(Offset(offset), at(now), &step);
            let after = fold.lease(&resource()).expect("the first is accepted");
            if let Some(before) = before && before.holder != after.holder {
                prop_assert!(after.fencing > before.fencing);
                prop_assert!(before.until <= at(now));
            }
        }
    }
}
