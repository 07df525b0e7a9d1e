//! Claims on calls that may not be repeated.

use std::time::Duration;

use pimento_ledger::claims::Age;
use pimento_ledger::claims::Fold;
use pimento_ledger::claims::SKEW;
use pimento_ledger::claims::age;
use pimento_ledger::record::Claim;
use pimento_ledger::record::ClaimRecord;
use pimento_ledger::record::Outcome;
use pimento_ledger::record::Run;
use pimento_units::Wall;
use pimento_units::id;
use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use uuid::NoContext;
use uuid::Timestamp;
use uuid::Uuid;

const WINDOW: Duration = Duration::from_mins(30);
const START: u64 = 1_800_000_000_000;

fn request(millis: u64, number: u64) -> id::Request {
    let stamp = Timestamp::from_unix(NoContext, millis / 1_000, 0);
    let mut bytes = Uuid::new_v7(stamp).into_bytes();
    bytes[8..].copy_from_slice(&(number | 0x8000_0000_0000_0000).to_be_bytes());
    id::Request(Uuid::from_bytes(bytes))
}

fn attempt(number: u128) -> id::Attempt {
    id::Attempt(Uuid::from_u128(number))
}

fn claim(request: id::Request, number: u128) -> ClaimRecord {
    ClaimRecord::Claim(Claim {
        request,
        digest: 7,
        attempt: attempt(number),
        node: "node-1".parse().expect("a name"),
        at: Wall::from_millis(START),
    })
}

fn outcome(request: id::Request, number: u128, run: Run) -> ClaimRecord {
    ClaimRecord::Outcome(Outcome {
        request,
        attempt: attempt(number),
        run,
        status: None,
    })
}

fn at(seconds: u64) -> Wall {
    Wall::from_millis(START + seconds * 1_000)
}

fn owner(fold: &Fold, request: id::Request) -> Option<id::Attempt> {
    fold.owner(request).map(|owner| owner.attempt)
}

/// Two entry VMs claim one request id concurrently. Both read the claims in the same order, so only
/// the first runs the call. A second copy of a claim has no effect.
#[test]
fn the_first_claim_owns_the_request() {
    let order = request(START, 1);
    let mut fold = Fold::new(WINDOW);
    fold.apply(at(0), &claim(order, 1));
    fold.apply(at(0), &claim(order, 2));
    fold.apply(at(1), &claim(order, 1));
    assert_eq!(owner(&fold, order), Some(attempt(1)));
    assert_eq!(fold.len(), 1);
}

/// The endpoint refused the call without starting it, so the claim is released and the caller's next
/// attempt is served.
#[test]
fn a_call_that_did_not_run_can_be_claimed_again() {
    let order = request(START, 1);
    let mut fold = Fold::new(WINDOW);
    fold.apply(at(0), &claim(order, 1));
    fold.apply(at(1), &outcome(order, 1, Run::NotRun));
    assert_eq!(owner(&fold, order), None);
    fold.apply(at(2), &claim(order, 2));
    assert_eq!(owner(&fold, order), Some(attempt(2)));
}

/// A node releases its claim before it has read it from the log. The answer to the first append was
/// lost, so the claim itself reaches the log after the release. It must not own the request: nobody
/// would run the call, and every later claim would be refused.
#[test]
fn a_claim_that_was_given_up_never_owns() {
    let order = request(START, 1);
    let mut fold = Fold::new(WINDOW);
    fold.apply(at(0), &outcome(order, 1, Run::NotRun));
    fold.apply(at(1), &claim(order, 1));
    assert_eq!(owner(&fold, order), None);
    fold.apply(at(2), &claim(order, 2));
    assert_eq!(owner(&fold, order), Some(attempt(2)));
}

/// The owner reports that the call ran, and a late record reports that it did not. The call must
/// stay claimed, or it would run a second time.
#[test]
fn a_call_that_ran_is_never_released() {
    for run in [Run::Ran, Run::Unknown] {
        let order = request(START, 1);
        let mut fold = Fold::new(WINDOW);
        fold.apply(at(0), &claim(order, 1));
        fold.apply(at(1), &outcome(order, 1, run));
        fold.apply(at(2), &outcome(order, 1, Run::NotRun));
        fold.apply(at(3), &claim(order, 2));
        let owner = fold.owner(order).expect("still claimed");
        assert_eq!(owner.attempt, attempt(1));
        assert_eq!(owner.run, Some(run));
    }
}

/// An outcome written by an attempt that does not own the request has no effect.
#[test]
fn only_the_owner_reports() {
    let order = request(START, 1);
    let mut fold = Fold::new(WINDOW);
    fold.apply(at(0), &claim(order, 1));
    fold.apply(at(1), &outcome(order, 2, Run::NotRun));
    assert_eq!(owner(&fold, order), Some(attempt(1)));
}

#[test]
fn the_age_of_an_id_decides() {
    let now = at(3_600);
    let millis = now.millis();
    let window = 1_800_000;
    let skew = u64::try_from(SKEW.as_millis()).expect("a minute");
    let random = id::Request(Uuid::from_u128(0x1234_5678_9abc_4def_8000_0000_0000_0001));
    let table = [
        (request(millis, 1), Age::Fresh),
        (request(millis - window, 1), Age::Fresh),
        (request(millis - window - 1_000, 1), Age::Old),
        (request(millis + skew, 1), Age::Fresh),
        (request(millis + skew + 1_000, 1), Age::Early),
        (random, Age::Unreadable),
    ];
    for (request, expected) in table {
        assert_eq!(age(request, now, WINDOW), expected, "{request}");
    }
}

/// A caller, whose clock is right or fast, repeats a request after its entry was removed from the
/// table. If the id could be claimed then, the call would run twice.
#[test]
fn a_forgotten_id_cannot_be_claimed() {
    let skew = u64::try_from(SKEW.as_millis()).expect("a minute");
    for ahead in [0, skew, skew + 1_000, 10 * skew] {
        let order = request(START + ahead, 1);
        let mut fold = Fold::new(WINDOW);
        fold.apply(at(0), &claim(order, 1));
        let first = owner(&fold, order);
        for minute in 1..120 {
            let other = request(START + minute * 60_000, 2);
            fold.apply(at(minute * 60), &claim(other, 3));
            if first.is_some() && owner(&fold, order).is_none() {
                fold.apply(at(minute * 60), &claim(order, 2));
                assert_eq!(owner(&fold, order), None, "ahead by {ahead} ms");
            }
        }
    }
}

#[test]
fn the_table_is_bounded_by_the_window() {
    let mut fold = Fold::new(WINDOW);
    let per_second = 5;
    for second in 0..3 * WINDOW.as_secs() {
        for number in 0..per_second {
            let order = request(START + second * 1_000, number);
            fold.apply(at(second), &claim(order, 1));
        }
    }
    let window = usize::try_from((WINDOW.as_secs() + 1) * per_second).expect("small");
    assert!(fold.len() >= window);
    assert!(fold.len() <= window + window / 4, "{} entries", fold.len());
}

fn calls() -> impl Strategy<Value = Vec<(u64, ClaimRecord)>> {
    let step = (0_u64..4, 0_u64..3, 1_u128..4, 0_u8..4).prop_map(|(wait, number, by, kind)| {
        let order = request(START, number);
        let call = match kind {
            0 | 1 => claim(order, by),
            2 => outcome(order, by, Run::NotRun),
            _ => outcome(order, by, Run::Ran),
        };
        (wait, call)
    });
    vec(step, 0..60)
}

proptest! {
    /// Once the owner of a call has reported that it ran, no later record changes the owner.
    #[test]
    fn an_owner_that_ran_stays(steps in calls()) {
        let mut fold = Fold::new(WINDOW);
        let mut ran: Vec<(id::Request, id::Attempt)> = Vec::new();
        let mut second = 0;
        for (wait, call) in &steps {
            second += wait;
            fold.apply(at(second), call);
            for (request, attempt) in &ran {
                prop_assert_eq!(owner(&fold, *request), Some(*attempt));
            }
            if let ClaimRecord::Outcome(outcome) = call
                && let Some(owner) = fold.owner(outcome.request)
                && owner.run == Some(Run::Ran)
            {
                ran.push((outcome.request, owner.attempt));
            }
        }
    }

    /// Appending each record twice results in the same owners as appending it once.
    #[test]
    fn repeated_claims_change_nothing(steps in calls()) {
        let mut once = Fold::new(WINDOW);
        let mut twice = Fold::new(WINDOW);
        let mut second = 0;
        for (wait, call) in &steps {
            second += wait;
            once.apply(at(second), call);
            twice.apply(at(second), call);
            twice.apply(at(second), call);
        }
        for number in 0..3 {
            let order = request(START, number);
            prop_assert_eq!(once.owner(order), twice.owner(order));
        }
        prop_assert!(once.len() == twice.len());
    }
}
