//! One bill counts for each request.

use pimento_ledger::record::Bill;
use pimento_ledger::record::Item;
use pimento_ledger::usage::Fold;
use pimento_units::Money;
use pimento_units::Tokens;
use pimento_units::Wall;
use pimento_units::id;
use proptest::collection::vec;
use proptest::prop_assert_eq;
use proptest::proptest;
use uuid::Uuid;

fn bill(customer: u8, request: u128, charge: u64) -> Bill {
    Bill {
        request: id::Request(Uuid::from_u128(request)),
        customer: format!("customer-{customer}").parse().expect("a name"),
        class: None,
        item: Item::Service("order-desk".parse().expect("a name")),
        charge: Money::from_micros(charge),
        cost: Money::from_micros(charge),
        input: Tokens(1),
        output: Tokens(2),
        node: "node-1".parse().expect("a name"),
        period: 0,
        at: Wall::from_millis(0),
    }
}

/// Two nodes hold a copy of a bill and both append it, one of them twice because an answer was lost.
/// The customer pays once.
#[test]
fn a_request_is_billed_once() {
    let mut fold = Fold::default();
    assert!(fold.apply(&bill(1, 1, 100)));
    assert!(!fold.apply(&bill(1, 1, 100)));
    assert!(!fold.apply(&bill(1, 1, 100)));
    let total = &fold.totals()[0];
    assert_eq!((total.bills, total.repeated), (1, 2));
    assert_eq!(total.charge, Money::from_micros(100));
}

/// Two customers happen to use the same request id. Each pays for its own request.
#[test]
fn request_ids_are_the_customers_own() {
    let mut fold = Fold::default();
    assert!(fold.apply(&bill(1, 1, 100)));
    assert!(fold.apply(&bill(2, 1, 50)));
    let charges: Vec<u64> = fold.totals().iter().map(|t| t.charge.micros()).collect();
    assert_eq!(charges, [100, 50]);
}

proptest! {
    /// Totals count distinct requests for any order and repetition, also beyond the point at which the
    /// two vectors of the set are merged.
    #[test]
    fn totals_count_distinct_requests(requests in vec(0_u128..6_000, 0..9_000)) {
        let mut fold = Fold::default();
        for request in &requests {
            fold.apply(&bill(1, *request, 3));
        }
        let mut distinct = requests.clone();
        distinct.sort_unstable();
        distinct.dedup();
        let bills = fold.totals().first().map_or(0, |total| total.bills);
        prop_assert_eq!(bills, distinct.len() as u64);
    }
}
