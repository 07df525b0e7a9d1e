//! Connects to endpoints, and tracks whether this VM's own links reach them.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use pimento_endpoint::Fault;
use pimento_policy::connect::ConnectTimeout;
use pimento_policy::reach;
use pimento_policy::reach::Reach;
use pimento_scheduler::Clock;
use pimento_units::id;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;

use crate::connection::Connection;
use crate::node::millis;

/// Connects to endpoints since the start.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    connected: u64,
    failed: u64,
}

#[derive(Debug, Default)]
struct State {
    reach: Reach,
    times: ConnectTimeout,
    counts: Counts,
    /// VMs that are known to reach endpoints.
    reaching_vms: usize,
}

/// What a VM tells others of its own links to endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Whether it reaches no endpoint while other VMs do.
    pub down: bool,
    /// Milliseconds since it last connected to an endpoint; none if it has not yet.
    pub connected_ms: Option<u32>,
}

/// The links to endpoints.
#[derive(Debug)]
pub struct Links {
    clock: Clock,
    state: Mutex<State>,
    /// Notified when the state of this VM's own links changes.
    pub changed: Notify,
}

impl Links {
    /// Links of which nothing is known yet.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            state: Mutex::default(),
            changed: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How long to wait for a connection.
    #[must_use]
    pub fn connect_timeout(&self) -> Duration {
        self.lock().times.current()
    }

    /// Connects to an endpoint.
    ///
    /// # Errors
    ///
    /// [`Fault::Unreachable`]: nothing was sent.
    pub async fn connect(
        &self,
        endpoint: &id::Endpoint,
        address: SocketAddr,
    ) -> Result<Connection, Fault> {
        let started = self.clock.now();
        let opened = Connection::open(address, self.connect_timeout()).await;
        let now = self.clock.now();
        self.update(|state| {
            if opened.is_ok() {
                state.counts.connected += 1;
                state.times.record(now.since(started));
                state.reach.record_connected(endpoint, now);
            } else {
                state.counts.failed += 1;
                state.reach.record_failed(endpoint);
            }
        });
        opened
    }

    /// Changes the state, and tells others if that changed what is known of this VM's own links.
    fn update(&self, act: impl FnOnce(&mut State)) {
        let (before, after, reaching_vms, connected_at) = {
            let mut state = self.lock();
            let before = state.reach.links();
            act(&mut state);
            let connected_at = state.reach.connected_at();
            (
                before,
                state.reach.links(),
                state.reaching_vms,
                connected_at,
            )
        };
        if before == after {
            return;
        }
        let now = self.clock.now();
        log::info!(
            links = after.as_str(),
            reaching_vms,
            connected_ms = connected_at.map(|at| millis(now.since(at)));
            "links: State of this VM's own links to endpoints changed."
        );
        self.changed.notify_one();
    }

    /// Sets the number of other VMs that reach endpoints.
    pub fn set_reaching_vms(&self, vms: usize) {
        self.lock().reaching_vms = vms;
    }

    /// The report to other VMs.
    #[must_use]
    pub fn report(&self) -> Report {
        let now = self.clock.now();
        let reach = &self.lock().reach;
        let age = |at| u32::try_from(millis(now.since(at))).unwrap_or(u32::MAX);
        Report {
            down: reach.links() == reach::Links::Down,
            connected_ms: reach.connected_at().map(age),
        }
    }

    /// Connects since the start, by how they ended.
    #[must_use]
    pub fn counts(&self) -> [(&'static str, u64); 2] {
        let counts = self.lock().counts;
        [("connected", counts.connected), ("failed", counts.failed)]
    }

    /// Figures for metrics.
    #[must_use]
    pub fn figures(&self) -> [(&'static str, u64); 3] {
        let state = self.lock();
        let is = |links| u64::from(state.reach.links() == links);
        [
            ("suspect", is(reach::Links::Suspect)),
            ("down", is(reach::Links::Down)),
            (
                "reaching_vms",
                u64::try_from(state.reaching_vms).unwrap_or(u64::MAX),
            ),
        ]
    }
}
