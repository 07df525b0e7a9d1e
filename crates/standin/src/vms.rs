//! Stand-in of the platform's VM list, which shows changes with a delay.
//!
//! `GET /vms` returns the list as it was `lag_ms` ago. `PUT /vms` replaces it, `PUT /vms/{name}`
//! adds or replaces one VM and `DELETE /vms/{name}` removes one.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use hyper::Method;
use hyper::StatusCode;
use pimento_wire::platform::Vm;
use serde::Deserialize;
use serde::Serialize;
use tokio_util::sync::CancellationToken;

use crate::server;
use crate::server::Answer;
use crate::server::Call;
use crate::server::Handler;
use crate::server::Running;
use crate::shared::Shared;

/// Settings of the VM list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// The age of the list returned, in milliseconds.
    pub lag_ms: u64,
}

/// The configuration of a VM list.
#[derive(Debug, Clone)]
pub struct Config {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// Its settings.
    pub settings: Settings,
    /// The VMs at the start.
    pub vms: Vec<Vm>,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            settings: Settings::default(),
            vms: Vec::new(),
        }
    }
}

/// Counters of the VM list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Number of reads.
    pub reads: u64,
    /// Number of changes.
    pub changes: u64,
}

#[derive(Debug)]
struct State {
    settings: Settings,
    /// Versions of the list with the time of each change; never empty.
    history: Vec<(Instant, Vec<Vm>)>,
    stats: Stats,
}

/// The VM list.
#[derive(Debug, Clone)]
pub struct Vms(Shared<State>);

/// Starts a VM list.
///
/// # Errors
///
/// If the address can't be bound.
pub async fn start(config: Config, token: CancellationToken) -> io::Result<Running<Vms>> {
    let state = State {
        settings: config.settings,
        history: vec![(Instant::now(), config.vms)],
        stats: Stats::default(),
    };
    let handler = Vms(Shared::new(state));
    server::start(handler, config.listen, token).await
}

impl State {
    fn current(&self) -> Vec<Vm> {
        self.history
            .last()
            .map(|(_, vms)| vms.clone())
            .unwrap_or_default()
    }

    /// The list as it was `lag_ms` ago. If no version is that old, the oldest one is returned.
    fn delayed(&mut self, now: Instant) -> Vec<Vm> {
        let lag = Duration::from_millis(self.settings.lag_ms);
        let visible = |since: &Instant| now.saturating_duration_since(*since) >= lag;
        let newest = self.history.iter().rposition(|(since, _)| visible(since));
        self.history.drain(..newest.unwrap_or(0));
        self.history
            .first()
            .map(|(_, vms)| vms.clone())
            .unwrap_or_default()
    }
}

impl Vms {
    /// Changes the list.
    pub fn change(&self, change: impl FnOnce(&mut Vec<Vm>)) {
        self.0.with(|state| {
            let mut vms = state.current();
            change(&mut vms);
            state.history.push((Instant::now(), vms));
            state.stats.changes += 1;
        });
    }

    /// Marks one VM as leaving.
    pub fn mark_leaving(&self, name: &str) {
        self.change(|vms| {
            for vm in vms.iter_mut().filter(|vm| vm.name == name) {
                vm.leaving = true;
            }
        });
    }

    fn list(&self) -> pimento_wire::platform::Vms {
        self.0.with(|state| {
            state.stats.reads += 1;
            let vms = state.delayed(Instant::now());
            pimento_wire::platform::Vms { vms }
        })
    }

    fn put_all(&self, call: &Call) -> Answer {
        match call.json::<pimento_wire::platform::Vms>() {
            Ok(list) => {
                self.change(|vms| *vms = list.vms);
                server::empty(StatusCode::NO_CONTENT)
            }
            Err(answer) => answer,
        }
    }

    fn put_one(&self, name: &str, call: &Call) -> Answer {
        match call.json::<Vm>() {
            Ok(vm) if vm.name == name => {
                self.change(|vms| {
                    vms.retain(|old| old.name != name);
                    vms.push(vm);
                });
                server::empty(StatusCode::NO_CONTENT)
            }
            Ok(_) => server::text(
                StatusCode::BAD_REQUEST,
                "the name in the path differs from the one in the body",
            ),
            Err(answer) => answer,
        }
    }
}

impl Handler for Vms {
    type Stats = Stats;
    type Settings = Settings;

    async fn answer(&self, call: Call) -> Answer {
        let name = call.path.strip_prefix("/vms/").map(str::to_owned);
        match (&call.method, call.path.as_str(), name) {
            (&Method::GET, "/vms", _) => server::json(StatusCode::OK, &self.list()),
            (&Method::PUT, "/vms", _) => self.put_all(&call),
            (&Method::PUT, _, Some(name)) => self.put_one(&name, &call),
            (&Method::DELETE, _, Some(name)) => {
                self.change(|vms| vms.retain(|vm| vm.name != name));
                server::empty(StatusCode::NO_CONTENT)
            }
            _ => server::text(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn stats(&self) -> Stats {
        self.0.with(|state| state.stats.clone())
    }

    fn settings(&self) -> Settings {
        self.0.with(|state| state.settings.clone())
    }

    fn set(&self, settings: Settings) {
        self.0.with(|state| state.settings = settings);
    }
}
