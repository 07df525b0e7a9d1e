//! Connects to endpoints: by this VM's own links, or through another VM while those are down.
//!
//! Which of the two is decided by [`pimento_policy::reach`]. A request whose connect fails while the
//! links are suspect is not lost for it: the same endpoint is tried through another VM. As soon as
//! one request has been connected that way, all others that still wait for this VM's own links
//! follow it.

mod end;
pub mod failure;
pub mod gate;
pub mod helpers;
mod tunnels;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use pimento_policy::connect::ConnectTimeout;
use pimento_policy::reach;
use pimento_policy::reach::Reach;
use pimento_policy::reach::Route;
use pimento_scheduler::Clock;
use pimento_units::id;
use serde::Deserialize;
use serde::Serialize;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::watch;

use self::failure::Blame;
use self::failure::Failure;
use self::helpers::Helper;
use self::helpers::Helpers;
use self::tunnels::Declined;
use crate::connection;
use crate::connection::Connection;
use crate::node::millis;
use crate::own_link::OwnLink;

/// An endpoint to connect to.
#[derive(Debug, Clone, Copy)]
pub struct Target<'a> {
    /// The endpoint.
    pub endpoint: &'a id::Endpoint,
    /// Its zone.
    pub zone: &'a id::Zone,
    /// Its address.
    pub address: SocketAddr,
    /// Time after which the connection is not needed any more.
    pub lifetime: Duration,
}

/// Connects to endpoints since the start.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    connected: u64,
    failed: u64,
    relayed: u64,
    not_relayed: u64,
}

#[derive(Debug, Default)]
struct State {
    reach: Reach,
    times: ConnectTimeout,
    counts: Counts,
    helpers: Helpers,
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
    zone: id::Zone,
    clock: Clock,
    own_link: OwnLink,
    state: Mutex<State>,
    known: watch::Sender<reach::Links>,
    /// Notified when the state of this VM's own links changes.
    pub changed: Notify,
}

impl Links {
    /// The links of a VM in this zone, of which nothing is known yet.
    #[must_use]
    pub fn new(zone: id::Zone, clock: Clock, own_link: OwnLink) -> Self {
        Self {
            zone,
            clock,
            own_link,
            state: Mutex::default(),
            known: watch::Sender::default(),
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

    /// Whether this VM reaches no endpoint while other VMs do.
    #[must_use]
    pub fn is_down(&self) -> bool {
        *self.known.borrow() == reach::Links::Down
    }

    /// Whether connects fail so often that the links may be down.
    #[must_use]
    pub fn are_suspect(&self) -> bool {
        *self.known.borrow() != reach::Links::Up
    }

    /// Whether no other VM is known that might help.
    fn is_alone(&self) -> bool {
        self.lock().helpers.is_empty()
    }

    /// The state of this VM's own links, for waiting until it changes.
    pub fn watch(&self) -> watch::Receiver<reach::Links> {
        self.known.subscribe()
    }

    /// Connects to an endpoint.
    ///
    /// # Errors
    ///
    /// [`Failure`]: nothing was sent.
    pub async fn connect(self: &Arc<Self>, target: Target<'_>) -> Result<Connection, Failure> {
        let route = self.lock().reach.route(target.endpoint, self.clock.now());
        match route {
            Route::Direct => self.connect_or_relay(target).await,
            Route::Relay { trial } => {
                if trial {
                    self.spawn_trial(target);
                }
                match self.open_tunnel(target).await {
                    Ok(tunnel) => self.prepare(tunnel, target).await,
                    Err(Declined::ByEndpoint(reply)) => {
                        Err(Failure::new(&reply.as_str(), reply.into()))
                    }
                    Err(Declined::NoHelper) => self.connect_by_lost_links(target).await,
                }
            }
        }
    }

    /// Connects by this VM's own links, and through another VM if they fail and are not just the
    /// endpoint's fault.
    async fn connect_or_relay(&self, target: Target<'_>) -> Result<Connection, Failure> {
        let failure = tokio::select! {
            biased;
            connected = self.connect_directly(target.endpoint, target.address) => match connected {
                Ok(stream) => return self.prepare(stream, target).await,
                Err(error) => Failure::new(&error, Blame::from(&error)),
            },
            () = self.went_down() => Failure::new(&"the links to endpoints are down", Blame::Links),
        };
        if !self.are_suspect() {
            return Err(failure);
        }
        let tunnel = match self.open_tunnel(target).await {
            Ok(tunnel) => tunnel,
            Err(Declined::ByEndpoint(reply)) => {
                return Err(Failure::new(&reply.as_str(), reply.into()));
            }
            // Without any other VM, the links can't be told from the endpoint.
            Err(Declined::NoHelper) if self.is_alone() => return Err(failure),
            Err(Declined::NoHelper) => {
                return Err(Failure {
                    blame: Blame::Links,
                    ..failure
                });
            }
        };
        let now = self.clock.now();
        self.update(|state| state.reach.record_relayed(target.endpoint, now));
        self.prepare(tunnel, target).await
    }

    /// Connects by links that are known to be lost, as no other VM is able to help.
    async fn connect_by_lost_links(&self, target: Target<'_>) -> Result<Connection, Failure> {
        let connected = self.connect_directly(target.endpoint, target.address).await;
        match connected {
            Ok(stream) => self.prepare(stream, target).await,
            Err(error) => Err(Failure::new(&error, Blame::Links)),
        }
    }

    /// Prepares an open connection for a request.
    async fn prepare(
        &self,
        stream: impl AsyncRead + AsyncWrite + Send + Unpin + 'static,
        target: Target<'_>,
    ) -> Result<Connection, Failure> {
        let traffic = self.own_link.traffic().clone();
        let connection = Connection::over(stream, target.address, traffic).await;
        connection.map_err(|fault| Failure {
            fault,
            blame: Blame::Links,
        })
    }

    /// Waits until another VM has reached an endpoint that this one does not reach.
    async fn went_down(&self) {
        let mut known = self.known.subscribe();
        let is_down = |links: &reach::Links| *links == reach::Links::Down;
        if known.wait_for(is_down).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Connects by this VM's own links, and records how that ended.
    ///
    /// # Errors
    ///
    /// The error of the connect, of kind `TimedOut` if there was no response.
    pub async fn connect_directly(
        &self,
        endpoint: &id::Endpoint,
        address: SocketAddr,
    ) -> io::Result<TcpStream> {
        let started = self.clock.now();
        let connecting = connection::connect(address);
        let connected = tokio::time::timeout(self.connect_timeout(), connecting).await;
        let connected = connected.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        let now = self.clock.now();
        self.update(|state| {
            if connected.is_ok() {
                state.counts.connected += 1;
                state.times.record(now.since(started));
                state.reach.record_connected(endpoint, now);
            } else {
                state.counts.failed += 1;
                state.reach.record_failed(endpoint);
            }
        });
        let stream = connected?;
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("links: Can't disable Nagle's algorithm: {error}.");
        }
        Ok(stream)
    }

    /// Tries this VM's own link to an endpoint in the background, without a request that would wait for it.
    fn spawn_trial(self: &Arc<Self>, target: Target<'_>) {
        let links = Arc::clone(self);
        let (endpoint, address) = (target.endpoint.clone(), target.address);
        tokio::spawn(async move {
            if let Err(error) = links.connect_directly(&endpoint, address).await {
                let endpoint = endpoint.as_str();
                log::debug!(endpoint; "links: The endpoint is still out of reach: {error}.");
            }
        });
    }

    /// Changes the state, and tells others if that changed what is known of this VM's own links.
    fn update(&self, act: impl FnOnce(&mut State)) {
        let (links, reaching_vms, connected_at) = {
            let mut state = self.lock();
            act(&mut state);
            let reach = &state.reach;
            (
                reach.links(),
                state.helpers.reaching(),
                reach.connected_at(),
            )
        };
        let changed = self.known.send_if_modified(|known| {
            let changed = *known != links;
            *known = links;
            changed
        });
        if !changed {
            return;
        }
        let now = self.clock.now();
        log::info!(
            links = links.as_str(),
            reaching_vms,
            connected_ms = connected_at.map(|at| millis(now.since(at)));
            "links: State of this VM's own links to endpoints changed."
        );
        self.changed.notify_one();
    }

    /// Sets the VMs through which endpoints may be reached.
    pub fn set_helpers(&self, helpers: Vec<Helper>) {
        self.lock().helpers.set(helpers);
    }

    /// The VMs through which endpoints were reached not long ago.
    #[must_use]
    pub fn recent_helpers(&self) -> Vec<SocketAddr> {
        self.lock().helpers.recent(self.clock.now())
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
    pub fn counts(&self) -> [(&'static str, u64); 4] {
        let counts = self.lock().counts;
        [
            ("connected", counts.connected),
            ("failed", counts.failed),
            ("relayed", counts.relayed),
            ("not_relayed", counts.not_relayed),
        ]
    }

    /// Figures for metrics.
    #[must_use]
    pub fn figures(&self) -> [(&'static str, u64); 4] {
        let state = self.lock();
        let is = |links| u64::from(state.reach.links() == links);
        let count = |count| u64::try_from(count).unwrap_or(u64::MAX);
        [
            ("suspect", is(reach::Links::Suspect)),
            ("down", is(reach::Links::Down)),
            ("detours", count(state.reach.detours())),
            ("reaching_vms", count(state.helpers.reaching())),
        ]
    }
}
