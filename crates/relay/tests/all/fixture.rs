//! A follower over a log in memory.

use std::time::Duration;

use compact_str::CompactString;
use pimento_relay::calls::LogCalls;
use pimento_relay::config::Bounds;
use pimento_relay::config::ColdStart;
use pimento_relay::config::Exposure;
use pimento_relay::config::RetryBudget;
use pimento_relay::follow::Connectivity;
use pimento_relay::follow::Fold;
use pimento_relay::follow::Follower;
use pimento_relay::follow::Polling;
use pimento_relay::follow::ReadRole;
use pimento_relay::follow::ReadTiming;
use pimento_relay::follow::RecordContext;
use pimento_relay::topic::Record;
use pimento_relay::topic::Topic;
use pimento_relay::zone::ZoneReading;
use pimento_units::Offset;
use tokio_util::sync::CancellationToken;

use crate::log::MemoryLog;

/// Longer than any step of a test takes.
pub const MAX_WAIT: Duration = Duration::from_secs(20);

pub const QUICK: Polling = Polling {
    wait: Duration::from_millis(20),
    pause: Duration::ZERO,
};

pub const TIMING: ReadTiming = ReadTiming {
    alone: QUICK,
    reader: QUICK,
    max_proof_age: Duration::from_mins(1),
    timeout: Duration::from_millis(200),
};

/// Stores all records with their contexts, and how often the connection to the log was lost.
#[derive(Debug, Default)]
pub struct All(pub Vec<(CompactString, Offset, RecordContext)>, pub usize);

impl Fold for All {
    fn apply(&mut self, record: &Record, context: RecordContext) -> bool {
        self.0.push((record.key.clone(), record.offset, context));
        true
    }

    fn connectivity_changed(&mut self, connectivity: Connectivity) {
        self.1 += usize::from(connectivity == Connectivity::Lost);
    }
}

/// Bounds with these milliseconds for leaving endpoints, changes and revoked keys.
pub fn bounds(leaving: u64, apply: u64, revoke: Option<u64>) -> Bounds {
    Bounds {
        drain: Duration::from_millis(leaving),
        config_apply: Duration::from_millis(apply),
        revoke: revoke.map(Duration::from_millis),
        grace: Duration::from_secs(8),
        retry_budget: RetryBudget {
            ratio: 0.9,
            extra: 52,
            window: Duration::from_secs(10),
        },
        exposure: Exposure {
            share: 0.15,
            slack: 30,
            rollback: Duration::from_secs(5),
        },
        session_timeout: Duration::from_secs(5),
        evacuation: None,
        cold_start: ColdStart {
            overshoot: 1.0,
            slack: 0,
        },
    }
}

pub struct Fixture {
    pub log: MemoryLog,
    pub calls: LogCalls,
    pub zone: ZoneReading,
    pub follower: Follower<All, MemoryLog>,
    _token: tokio_util::sync::DropGuard,
}

impl Fixture {
    pub fn new() -> Self {
        Self::with_timing(TIMING)
    }

    pub fn with_timing(timing: ReadTiming) -> Self {
        Self::with_log(MemoryLog::new(), timing)
    }

    pub fn with_log(log: MemoryLog, timing: ReadTiming) -> Self {
        let zone = ZoneReading::default();
        let token = CancellationToken::new();
        let calls = LogCalls::default();
        let follower = Follower::start(
            log.clone(),
            Topic::Endpoints,
            timing,
            zone.clone(),
            calls.clone(),
            All::default(),
            token.clone(),
        );
        Self {
            log,
            calls,
            zone,
            follower,
            _token: token.drop_guard(),
        }
    }

    pub fn keys(&self) -> Vec<CompactString> {
        self.follower
            .view(|all| all.0.iter().map(|(key, _, _)| key.clone()).collect())
    }

    pub async fn until(&self, what: &str, reached: impl Fn(&Self) -> bool) {
        let started = tokio::time::Instant::now();
        while !reached(self) {
            assert!(started.elapsed() < MAX_WAIT, "not reached: {what}");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Makes another VM read for this one, once this one has a view.
    pub async fn make_served(&self) {
        self.until("a first proof", |f| f.follower.proven_at().is_some())
            .await;
        self.zone.read_role.send_replace(ReadRole::Served);
        let mut calls = self.log.calls();
        // The running read ends first.
        loop {
            tokio::time::sleep(Duration::from_millis(60)).await;
            if self.log.calls() == calls {
                return;
            }
            calls = self.log.calls();
        }
    }
}
