//! Endpoints for the tests' lists.

use std::time::Duration;

use pimento_policy::limit;
use pimento_scheduler::Member;
use pimento_units::Moment;

/// A plain endpoint that runs `batch` calls at once.
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
        extra_delay: Duration::ZERO,
        versions: None,
        report: Some((report, Moment::ZERO)),
        kv_capacity: None,
        incarnation: 1,
        cold: None,
    }
}
