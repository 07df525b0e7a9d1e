//! Listed endpoints whose addresses answer for others.

use pimento_policy::presence::Pool;
use pimento_policy::presence::Presence;
use pimento_policy::presence::Verdict;
use pimento_units::Moment;

const POOL: Pool = Pool {
    listed: 9,
    avoided: 0,
};

const fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

/// Guards against a wrong response that takes a healthy endpoint away although it writes its record.
#[test]
fn an_endpoint_that_writes_its_record_is_used_again() {
    let mut presence = Presence::new(at(1_000));
    assert_eq!(
        presence.misdirect(at(2_000), POOL, at(2_000)),
        Verdict::Avoided
    );
    assert!(presence.is_avoided(at(2_500)));
    assert!(presence.confirm(at(3_000)));
    assert!(!presence.is_avoided(at(3_000)));
    // A VM that learnt of the response later repeats it.
    assert_eq!(
        presence.misdirect(at(2_010), POOL, at(3_500)),
        Verdict::Outdated
    );
    assert!(!presence.is_avoided(at(3_500)));
    assert_eq!(
        presence.misdirect(at(4_000), POOL, at(4_000)),
        Verdict::Avoided
    );
}

/// Guards against an endpoint that is avoided for as long as the log is out and VMs repeat what they know.
#[test]
fn the_time_without_a_record_is_bounded() {
    let mut presence = Presence::new(at(1_000));
    assert_eq!(
        presence.misdirect(at(2_000), POOL, at(2_000)),
        Verdict::Avoided
    );
    assert_eq!(
        presence.misdirect(at(9_000), POOL, at(9_000)),
        Verdict::Known
    );
    assert_eq!(presence.avoided_until(), Some(at(10_000)));
    assert!(presence.is_avoided(at(9_999)) && !presence.expire(at(9_999)));
    assert!(!presence.is_avoided(at(10_000)) && presence.expire(at(10_000)));
    assert_eq!(
        presence.misdirect(at(2_000), POOL, at(10_000)),
        Verdict::Outdated
    );
}

/// Guards against a fault that makes all endpoints decline and takes the whole pool away.
#[test]
fn at_most_half_of_a_pool_is_avoided() {
    for (listed, most) in [(1, 0), (2, 1), (3, 1), (90, 45)] {
        let mut endpoints = vec![Presence::new(at(0)); listed];
        let mut avoided = 0;
        for endpoint in &mut endpoints {
            let pool = Pool { listed, avoided };
            let verdict = endpoint.misdirect(at(10), pool, at(10));
            avoided += usize::from(verdict == Verdict::Avoided);
        }
        assert_eq!(avoided, most, "of {listed}");
    }
}
