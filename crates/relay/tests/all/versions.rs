//! The service, the versions and the order of the tests of roll-outs.

use std::time::Duration;

use pimento_relay::codec::Order;
use pimento_relay::config::Exposure;
use pimento_relay::operators::ReadOrder;
use pimento_relay::rollouts::versions::Held;
use pimento_units::Moment;
use pimento_units::Offset;
use pimento_units::id;

pub const EXPOSURE: Exposure = Exposure {
    share: 0.15,
    slack: 30,
    rollback: Duration::from_secs(5),
};

pub fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().unwrap()
}

pub fn pool() -> id::Pool {
    name("llm")
}

pub fn old() -> id::Version {
    name("v1")
}

pub fn new() -> id::Version {
    name("v2")
}

/// Endpoints of a version. Those of the new one started later.
pub fn held(version: id::Version, endpoints: usize) -> Held {
    Held {
        started_unix_ms: if version == old() { 1 } else { 2 },
        version,
        endpoints,
    }
}

/// When the order was given.
pub fn ordered() -> Moment {
    Moment::ZERO + Duration::from_secs(100)
}

/// The order to move to the new version.
pub fn order(time_limit: Duration) -> ReadOrder {
    ReadOrder {
        rollout: Order {
            pool: pool(),
            target: new(),
            time_limit,
        },
        offset: Offset(7),
        read_at: ordered(),
        initial: false,
    }
}
