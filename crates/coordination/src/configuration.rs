//! The configuration in force on this node.
//!
//! A node takes the newest state from the log or a peer, and never returns to an older one. A node
//! without a connection to the log stays current through peers that have one. A node without any
//! connection keeps the last accepted state and reports its age.

mod state_fold;
mod tasks;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use pimento_contract::State;
use pimento_ledger::Stream;
use pimento_units::Offset;
use pimento_wire::peer::Answer;
use pimento_wire::peer::Call;
use snafu::Snafu;
use snafu::ensure;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use self::state_fold::StateFold;
use crate::appender::Appender;
use crate::follower::Follower;
use crate::log::Log;
use crate::mesh::Freshness;
use crate::mesh::Mesh;

/// Which nodes read the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadMode {
    /// Every node.
    Always,
    /// The node assigned to the zone, and each node whose configuration is older than
    /// [`Settings::max_age`].
    Assigned,
}

/// Settings of a [`Source`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Which nodes read the log.
    pub read_mode: ReadMode,
    /// Number of accepted changes after which a checkpoint is written.
    pub checkpoint_changes: u64,
    /// Time after which a checkpoint is written even without changes. It is well below the log's
    /// retention.
    pub checkpoint_interval: Duration,
    /// The longest delay before a due checkpoint is written. Each node waits for a random part of
    /// it; most then find that another node has written the checkpoint.
    pub checkpoint_jitter: Duration,
    /// Age of the configuration from which a node reads the log itself, whichever node is assigned.
    pub max_age: Duration,
}

impl Default for Settings {
    /// At 1,200 changes a day, a checkpoint every 100 changes or every hour makes 36 a day, and a
    /// new node replays at most 100 changes. A `max_age` of 5 s spans several heartbeats and is less
    /// than half of the 13 s within which a change must be in force.
    fn default() -> Self {
        Self {
            read_mode: ReadMode::Always,
            checkpoint_changes: 100,
            checkpoint_interval: Duration::from_hours(1),
            checkpoint_jitter: Duration::from_secs(10),
            max_age: Duration::from_secs(5),
        }
    }
}

/// A setting that is zero and must not be.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("the configuration's checkpoint {setting} must not be zero"))]
pub struct InvalidSetting {
    setting: &'static str,
}

/// Checked settings.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Config(Settings);

impl TryFrom<Settings> for Config {
    type Error = InvalidSetting;
    fn try_from(settings: Settings) -> Result<Self, InvalidSetting> {
        let setting = "changes";
        ensure!(
            settings.checkpoint_changes > 0,
            InvalidSettingSnafu { setting }
        );
        let setting = "interval";
        ensure!(
            !settings.checkpoint_interval.is_zero(),
            InvalidSettingSnafu { setting }
        );
        Ok(Self(settings))
    }
}

/// The configuration in force. Clones share it.
#[derive(Debug, Clone)]
pub struct Source {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    config: Config,
    follower: Follower<StateFold>,
    mesh: Option<Mesh>,
    published: watch::Sender<Arc<State>>,
    freshness: Mutex<Option<Freshness>>,
    started: Instant,
}

impl Source {
    /// Starts to follow the configuration until `token` is cancelled.
    ///
    /// `appender` writes checkpoints. Without a `mesh` the log is the only source.
    pub fn start(
        log: impl Log,
        appender: Appender,
        mesh: Option<Mesh>,
        config: Config,
        token: CancellationToken,
    ) -> Self {
        let gate = watch::Sender::new(config.0.read_mode == ReadMode::Always || mesh.is_none());
        let follower = Follower::start_gated(
            log,
            Stream::Configuration,
            Offset(0),
            StateFold::default(),
            gate.subscribe(),
            token.clone(),
        );
        let shared = Arc::new(Shared {
            config,
            follower,
            mesh,
            published: watch::Sender::new(Arc::default()),
            freshness: Mutex::new(None),
            started: Instant::now(),
        });
        tasks::start(&shared, appender, gate, token);
        Self { shared }
    }

    /// The state in force. Its offset never decreases.
    #[must_use]
    pub fn current(&self) -> Arc<State> {
        Arc::clone(&self.shared.published.borrow())
    }

    /// A receiver that is notified of each newer state.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Arc<State>> {
        self.shared.published.subscribe()
    }

    /// Upper bound of the state's age by its [`Freshness`]: the time since this node or a peer read the
    /// log to its end,
    /// where the state holds all records up to that end. Without such a read, the time since the
    /// start.
    #[must_use]
    pub fn age(&self) -> Duration {
        let since = self
            .shared
            .freshness()
            .map_or(self.shared.started, |freshness| freshness.local_at);
        since.elapsed()
    }

    /// Whether there is a state to serve requests with: the log was read to its end once, or the log
    /// can't be read and a peer sent a state that was current once.
    #[must_use]
    pub fn ready(&self) -> bool {
        self.shared.freshness().is_some()
    }

    /// Number of checkpoints that were ignored because they did not match their hash or the records
    /// before them.
    #[must_use]
    pub fn invalid_checkpoints(&self) -> u64 {
        self.shared.follower.view(StateFold::invalid_checkpoints)
    }

    /// Answers a peer's call; none if the call is not about the configuration.
    #[must_use]
    pub fn answer(&self, call: &Call) -> Option<Answer> {
        match call {
            Call::Pull { offset } => {
                Some(self.shared.follower.view(|fold| fold.answer_pull(*offset)))
            }
            Call::Push { records } => {
                let applied = self
                    .shared
                    .follower
                    .update(|fold| fold.apply_records(records));
                Some(if applied {
                    Answer::Done
                } else {
                    Answer::Nothing
                })
            }
            _ => None,
        }
    }
}

impl Shared {
    fn freshness(&self) -> Option<Freshness> {
        *self
            .freshness
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
