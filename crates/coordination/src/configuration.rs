//! The configuration in force on this node.
//!
//! It comes from the newest of the log and the peers and never goes back. A node that is cut off
//! from the log stays current through peers that are not; one that is cut off from all keeps the
//! last accepted state and says how old it is.

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

/// Who reads the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadMode {
    /// Every node.
    Always,
    /// The zone's tailer, and any node whose configuration is older than [`Settings::max_age`].
    Elected,
}

/// Settings of a [`Source`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Who reads the log.
    pub read_mode: ReadMode,
    /// After so many accepted changes a checkpoint is written.
    pub checkpoint_changes: u64,
    /// After so long a checkpoint is written even without changes; well below the log's retention.
    pub checkpoint_interval: Duration,
    /// The longest wait before a checkpoint that is due is written. Nodes wait a random part of it,
    /// and most then find it written by another.
    pub checkpoint_jitter: Duration,
    /// From which age on a node reads the log itself, whoever the tailer is.
    pub max_age: Duration,
}

impl Default for Settings {
    /// At 1,200 changes a day, a checkpoint each 100 changes or each hour makes 36 a day, and a
    /// new node replays at most 100 changes. Five seconds of doubt are less than half of the 13 s
    /// in which a change must be in force, and several heartbeats.
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

/// A setting that makes no sense.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("the configuration's {setting} must not be zero"))]
pub struct Finding {
    setting: &'static str,
}

/// Checked settings.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Config(Settings);

impl TryFrom<Settings> for Config {
    type Error = Finding;
    fn try_from(settings: Settings) -> Result<Self, Finding> {
        let setting = "changes";
        ensure!(settings.checkpoint_changes > 0, FindingSnafu { setting });
        let setting = "interval";
        ensure!(
            !settings.checkpoint_interval.is_zero(),
            FindingSnafu { setting }
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
    /// Starts to follow the configuration; ends with `token`.
    ///
    /// `appender` writes checkpoints. A program without peers has the log alone.
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

    /// The state in force. Its offset never falls.
    #[must_use]
    pub fn current(&self) -> Arc<State> {
        Arc::clone(&self.shared.published.borrow())
    }

    /// A receiver that is told of each newer state.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Arc<State>> {
        self.shared.published.subscribe()
    }

    /// How old the state can be: the time since someone read the log to its end, before which this
    /// node has all records. The time since the start, if nobody did.
    #[must_use]
    pub fn age(&self) -> Duration {
        let since = self
            .shared
            .freshness()
            .map_or(self.shared.started, |f| f.since);
        since.elapsed()
    }

    /// Whether there is a state to serve on: the log was read to its end once, or the log can't be
    /// read and a peer gave a state that was current once.
    #[must_use]
    pub fn ready(&self) -> bool {
        self.shared.freshness().is_some()
    }

    /// Checkpoints that were ignored since they did not fit their hash or the records before them.
    #[must_use]
    pub fn invalid_checkpoints(&self) -> u64 {
        self.shared.follower.view(StateFold::invalid_checkpoints)
    }

    /// Answers a peer's call, if it is about configuration.
    #[must_use]
    pub fn answer(&self, call: &Call) -> Option<Answer> {
        match call {
            Call::Pull { offset } => Some(self.shared.follower.view(|r| r.since(*offset))),
            Call::Push { records } => {
                let taken = self.shared.follower.update(|r| r.take(records));
                Some(if taken { Answer::Done } else { Answer::Nothing })
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
