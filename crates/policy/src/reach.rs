//! Whether a VM reaches endpoints by its own links, told from endpoints that are down.
//!
//! A VM may lose its links to all endpoints while callers and the other VMs still reach it. Its
//! connects then fail exactly as if all endpoints were down, and it refuses what its neighbours
//! serve. Only another VM can tell the two apart: it connects to an endpoint that this one does not
//! reach. From then on calls go through other VMs, and single connects in the background try the
//! VM's own links until one succeeds. A link to a single endpoint may be lost as well while others
//! are up, so that each endpoint that was reached through another VM has a state of its own.

use std::time::Duration;

use pimento_units::Moment;
use pimento_units::id;

/// Different endpoints whose connects failed, none having succeeded since, after which the VM's own
/// links are suspect. Single endpoints crash often.
const SUSPECT_ENDPOINTS: usize = 2;

/// Failed connects in a row after which the links are suspect, whatever the endpoints. A service may
/// have only one.
const SUSPECT_FAILURES: u32 = 3;

/// Time between two trials of the VM's own links. Each may cost an endpoint a connection.
const TRIAL_INTERVAL: Duration = Duration::from_millis(500);

/// The longest time between two trials of the link to one endpoint, while others are up.
const MAX_TRIAL_INTERVAL: Duration = Duration::from_secs(8);

/// The most endpoints that are known to be reached through other VMs. Others are first tried directly.
const MAX_DETOURS: usize = 512;

/// State of the VM's own links to endpoints.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Links {
    /// Connects succeed, as far as is known.
    #[default]
    Up,
    /// Several connects in a row failed. The links or the endpoints are down.
    Suspect,
    /// Another VM reached an endpoint that this one did not.
    Down,
}

impl Links {
    /// The name in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Up => "up",
            Self::Suspect => "suspect",
            Self::Down => "down",
        }
    }
}

/// How to connect to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route {
    /// By the VM's own links.
    Direct,
    /// Through another VM.
    Relay {
        /// Whether the VM's own link to the endpoint is due for a trial.
        trial: bool,
    },
}

/// An endpoint that another VM reached while this one did not.
#[derive(Debug, Clone)]
struct Detour {
    endpoint: id::Endpoint,
    next_trial: Moment,
    interval: Duration,
}

/// What a VM knows of its own links to endpoints.
#[derive(Debug, Clone, Default)]
pub struct Reach {
    links: Links,
    /// Endpoints whose connects failed since the last one that succeeded.
    failed: Vec<id::Endpoint>,
    /// Connects that failed since the last one that succeeded.
    failures: u32,
    /// When a connect last succeeded.
    connected_at: Option<Moment>,
    /// When the links are next tried, while they are down.
    next_trial: Moment,
    /// Sorted by endpoint.
    detours: Vec<Detour>,
}

impl Reach {
    /// The state of the VM's own links.
    #[must_use]
    pub const fn links(&self) -> Links {
        self.links
    }

    /// When a connect by the VM's own links last succeeded.
    #[must_use]
    pub const fn connected_at(&self) -> Option<Moment> {
        self.connected_at
    }

    /// How to connect to an endpoint now. A trial that is due counts as made.
    pub fn route(&mut self, endpoint: &id::Endpoint, now: Moment) -> Route {
        if self.links == Links::Down {
            let trial = now >= self.next_trial;
            if trial {
                self.next_trial = now + TRIAL_INTERVAL;
            }
            return Route::Relay { trial };
        }
        let Ok(place) = self.find(endpoint) else {
            return Route::Direct;
        };
        let detour = &mut self.detours[place];
        let trial = now >= detour.next_trial;
        if trial {
            detour.next_trial = now + detour.interval;
            detour.interval = (detour.interval * 2).min(MAX_TRIAL_INTERVAL);
        }
        Route::Relay { trial }
    }

    /// Records a connect by the VM's own links that succeeded. Other endpoints that are reached through
    /// other VMs are tried again soon.
    pub fn record_connected(&mut self, endpoint: &id::Endpoint, now: Moment) {
        let healed = self.links == Links::Down;
        self.links = Links::Up;
        self.failed.clear();
        self.failures = 0;
        self.connected_at = Some(now);
        if let Ok(place) = self.find(endpoint) {
            self.detours.remove(place);
        }
        if healed {
            for detour in &mut self.detours {
                detour.next_trial = now;
                detour.interval = TRIAL_INTERVAL;
            }
        }
    }

    /// Records a connect by the VM's own links that failed.
    pub fn record_failed(&mut self, endpoint: &id::Endpoint) {
        self.failures = self.failures.saturating_add(1);
        if self.failed.len() < SUSPECT_ENDPOINTS && !self.failed.contains(endpoint) {
            self.failed.push(endpoint.clone());
        }
        let suspect = self.failed.len() >= SUSPECT_ENDPOINTS || self.failures >= SUSPECT_FAILURES;
        if self.links == Links::Up && suspect {
            self.links = Links::Suspect;
        }
    }

    /// Records that another VM reached an endpoint that this one had failed to reach.
    pub fn record_relayed(&mut self, endpoint: &id::Endpoint, now: Moment) {
        let first_trial = now + TRIAL_INTERVAL;
        if self.links == Links::Suspect {
            self.links = Links::Down;
            self.next_trial = first_trial;
        }
        if let Err(place) = self.find(endpoint)
            && self.detours.len() < MAX_DETOURS
        {
            let detour = Detour {
                endpoint: endpoint.clone(),
                next_trial: first_trial,
                interval: TRIAL_INTERVAL,
            };
            self.detours.insert(place, detour);
        }
    }

    /// Discards the state of an endpoint that other VMs don't reach either.
    pub fn forget(&mut self, endpoint: &id::Endpoint) {
        if let Ok(place) = self.find(endpoint) {
            self.detours.remove(place);
        }
    }

    /// The number of endpoints that are reached through other VMs.
    #[must_use]
    pub fn detours(&self) -> usize {
        self.detours.len()
    }

    fn find(&self, endpoint: &id::Endpoint) -> Result<usize, usize> {
        self.detours
            .binary_search_by(|detour| detour.endpoint.cmp(endpoint))
    }
}
