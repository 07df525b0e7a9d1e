//! Endpoints as the tests' lists have them.

use std::time::Duration;

use pimento_policy::limit;
use pimento_scheduler::Member;
use pimento_units::Moment;

/// A plain endpoint that works on so many calls at once.
pub fn member(batch: u32) -> Member {
    let report = limit::Report {
        running: 0,
        waiting: 0,
        batch,
    };
    Member {
        endpoint: "i-1".parse().unwrap(),
        zone: "a".parse().unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        usable: true,
        distance: Duration::ZERO,
        versions: None,
        report: Some((report, Moment::ZERO)),
        memory: None,
        incarnation: 1,
    }
}
