//! Grants of spend never exceed the limit.

use pimento_ledger::grants::Fold;
use pimento_ledger::grants::Verdict;
use pimento_ledger::record::Grant;
use pimento_ledger::record::GrantRecord;
use pimento_ledger::record::Return;
use pimento_units::Money;
use pimento_units::Revision;
use pimento_units::id;
use proptest::collection::vec;
use proptest::prop_assert;
use proptest::proptest;
use uuid::Uuid;

fn customer() -> id::Customer {
    "bottling".parse().expect("a name")
}

fn node(number: u8) -> id::Node {
    format!("node-{number}").parse().expect("a name")
}

fn grant(record: u128, by: u8, period: u64, amount: u64) -> Grant {
    Grant {
        id: id::Record(Uuid::from_u128(record)),
        customer: customer(),
        node: node(by),
        period,
        amount: Money::from_micros(amount),
        limit: Money::from_micros(100),
        revision: Revision(1),
    }
}

fn return_record(record: u128, by: u8, period: u64, amount: u64) -> GrantRecord {
    GrantRecord::Return(Return {
        id: id::Record(Uuid::from_u128(record)),
        customer: customer(),
        node: node(by),
        period,
        amount: Money::from_micros(amount),
    })
}

fn refused_with(micros: u64) -> Verdict {
    Verdict::Refused {
        left: Money::from_micros(micros),
    }
}

/// Nodes request more than the limit. The request that would exceed it is refused with the remaining
/// amount. A record that is appended twice counts once.
#[test]
fn grants_stop_at_the_limit() {
    let mut fold = Fold::default();
    let first = GrantRecord::Grant(grant(1, 1, 0, 60));
    assert_eq!(fold.apply(&first), Verdict::Accepted);
    assert_eq!(fold.apply(&first), Verdict::Repeated);
    assert_eq!(
        fold.apply(&GrantRecord::Grant(grant(2, 2, 0, 50))),
        refused_with(40)
    );
    let rest = GrantRecord::Grant(grant(3, 2, 0, 40));
    assert_eq!(fold.apply(&rest), Verdict::Accepted);
    assert_eq!(
        fold.apply(&GrantRecord::Grant(grant(4, 3, 0, 1))),
        refused_with(0)
    );
    assert_eq!(
        fold.granted(&customer(), 0, &node(2)),
        Money::from_micros(40)
    );
}

/// A node returns what it does not need, and another node is granted it. A node can't return more
/// than it holds, or the limit would be exceeded by the difference.
#[test]
fn returns_are_bounded_by_what_is_held() {
    let mut fold = Fold::default();
    fold.apply(&GrantRecord::Grant(grant(1, 1, 0, 100)));
    assert_eq!(fold.apply(&return_record(2, 1, 0, 101)), refused_with(100));
    assert_eq!(fold.apply(&return_record(3, 2, 0, 1)), refused_with(0));
    assert_eq!(fold.apply(&return_record(4, 1, 0, 30)), Verdict::Accepted);
    assert_eq!(fold.apply(&return_record(4, 1, 0, 30)), Verdict::Repeated);
    let next = GrantRecord::Grant(grant(5, 2, 0, 30));
    assert_eq!(fold.apply(&next), Verdict::Accepted);
}

/// An operator lowers the limit, and a node that has not read the change yet writes a grant with the
/// old limit. The newer contract's limit stays in force.
#[test]
fn an_older_limit_does_not_come_back() {
    let mut fold = Fold::default();
    let narrowed = Grant {
        limit: Money::from_micros(50),
        revision: Revision(2),
        ..grant(1, 1, 0, 40)
    };
    fold.apply(&GrantRecord::Grant(narrowed));
    assert_eq!(
        fold.apply(&GrantRecord::Grant(grant(2, 2, 0, 20))),
        refused_with(10)
    );
}

/// A record of a period long past arrives late. If the fold created a new account for it, the whole
/// limit of that period could be granted again.
#[test]
fn a_forgotten_period_stays_closed() {
    let mut fold = Fold::default();
    for period in 0..4 {
        let all = grant(u128::from(period) + 1, 1, period, 100);
        assert_eq!(fold.apply(&GrantRecord::Grant(all)), Verdict::Accepted);
    }
    assert_eq!(
        fold.apply(&GrantRecord::Grant(grant(9, 2, 0, 100))),
        Verdict::Late
    );
    assert_eq!(
        fold.apply(&GrantRecord::Grant(grant(10, 2, 2, 1))),
        refused_with(0)
    );
}

proptest! {
    /// For any sequence of grants, returns and duplicates, the sum that nodes hold stays within the
    /// limit.
    #[test]
    fn never_over_the_limit(steps in vec((0_u128..40, 0_u8..6, 0_u64..80, 0_u8..4), 0..80)) {
        let mut fold = Fold::default();
        for (record, by, amount, kind) in steps {
            let record = if kind == 0 {
                return_record(record, by, 0, amount)
            } else {
                GrantRecord::Grant(grant(record, by, 0, amount))
            };
            fold.apply(&record);
            let held: Money = (0..6).map(|n| fold.granted(&customer(), 0, &node(n))).sum();
            prop_assert!(held <= Money::from_micros(100));
        }
    }
}
