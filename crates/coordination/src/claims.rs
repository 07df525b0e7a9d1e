//! Claims on calls that must not be repeated, written to the platform's log before any byte is
//! sent.
//!
//! A claim is appended and then read back: an attempt may dispatch only after it has read that it
//! is the owner. A successful append does not prove ownership, since another claim may precede it
//! on the log. If the append's response is lost, the claim is still found by reading.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use pimento_ledger::Claim;
use pimento_ledger::Outcome;
use pimento_ledger::Stream;
use pimento_ledger::claims;
use pimento_ledger::claims::Age;
use pimento_ledger::claims::Owner;
use pimento_ledger::record::ClaimRecord;
use pimento_ledger::record::Run;
use pimento_units::Offset;
use pimento_units::Wall;
use pimento_units::id;
use snafu::Snafu;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use uuid::Uuid;

use crate::appender::Appender;
use crate::follower::Follower;
use crate::log::Log;
use crate::view;
use crate::view::TypedFold;

/// How long the append of an outcome is retried. Longer than the log's usual outages. If it fails,
/// the request stays claimed, which is safe: later callers get the answer "unknown".
const OUTCOME_TIMEOUT: Duration = Duration::from_mins(10);

/// Settings of a [`Claimer`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Config {
    /// The greatest age of a request id that can be claimed. It must be shorter than the log's
    /// retention by more than [`claims::SKEW`], or a new node would miss claims that still count.
    pub window: Duration,
    /// The age of the view beyond which the log counts as unavailable and calls are refused at
    /// once. It must exceed the duration of a long-poll read, or a quiet log would count as
    /// unavailable.
    pub max_view_age: Duration,
    /// Timeout of a claim. A slower log counts as unavailable, and the caller can retry.
    pub timeout: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            window: Duration::from_mins(30),
            max_view_age: Duration::from_secs(4),
            timeout: Duration::from_secs(3),
        }
    }
}

/// This node's view of the claims stream.
pub type View = view::View<claims::Fold>;

impl TypedFold for claims::Fold {
    type Record = ClaimRecord;

    const PREFIX: &'static str = "claims";

    fn apply(&mut self, _offset: Offset, at: Wall, record: ClaimRecord) {
        self.apply(at, &record);
    }
}

/// Claims requests for one entry VM. Clones share all state.
#[derive(Debug, Clone)]
pub struct Claimer {
    node: id::Node,
    config: Config,
    appender: Appender,
    follower: Follower<View>,
    tasks: TaskTracker,
}

/// The result of [`Claimer::claim`].
#[derive(Debug)]
pub enum Verdict {
    /// The caller owns the request and may dispatch.
    Owned(Ticket),
    /// Another attempt owns the request.
    Taken(Owner),
}

/// The right to run a claimed request, until a deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ticket {
    /// The request.
    pub request: id::Request,
    /// The owning attempt, which is sent to the endpoint with the call.
    pub attempt: id::Attempt,
    deadline: Instant,
}

/// Why a request could not be claimed. In all cases it was not run.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The id's age does not allow a claim.
    #[snafu(display("the request id can't be claimed: {}", Reason(*age)))]
    Age {
        /// The result of the age check; [`Age::Fresh`] if this VM's clock accepts the id and the log's
        /// does not.
        age: Age,
    },
    /// The log is unavailable or slow.
    #[snafu(display("the platform's log is unavailable, so the call can't be claimed"))]
    Unavailable {
        /// Delay before the next attempt.
        retry_after: Duration,
    },
}

struct Reason(Age);

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self.0 {
            Age::Fresh => "the clocks of the log and of this VM disagree",
            Age::Unreadable => "it is not a version 7 UUID",
            Age::Old => "it is too old",
            Age::Early => "it is from the future",
        })
    }
}

impl Ticket {
    /// Whether the call may still be dispatched. To be checked right before the first byte is sent.
    ///
    /// A process may be paused for minutes between claim and dispatch. Its caller has then long
    /// been told that the call may have run, and does not expect it to run any more.
    #[must_use]
    pub fn is_valid(&self, now: Instant) -> bool {
        now < self.deadline
    }
}

impl Claimer {
    /// Starts a follower of the claims stream.
    pub fn start(
        node: id::Node,
        config: Config,
        log: impl Log,
        appender: Appender,
        token: CancellationToken,
    ) -> Self {
        let view = View::new(claims::Fold::new(config.window));
        let follower = Follower::start(log, Stream::Claims, Offset(0), view, token);
        Self {
            node,
            config,
            appender,
            follower,
            tasks: TaskTracker::new(),
        }
    }

    /// The follower of the claims stream.
    #[must_use]
    pub const fn follower(&self) -> &Follower<View> {
        &self.follower
    }

    /// Claims a request and reads the claim back. `digest` covers customer, method, path and body;
    /// `now` is this node's wall clock.
    ///
    /// # Errors
    ///
    /// [`Error::Age`] or [`Error::Unavailable`]. In both cases nobody may dispatch under this
    /// claim.
    pub async fn claim(
        &self,
        request: id::Request,
        digest: u64,
        now: Wall,
        deadline: Instant,
    ) -> Result<Verdict, Error> {
        if let Some(owner) = self.owner(request) {
            return Ok(Verdict::Taken(owner));
        }
        match claims::age(request, now, self.config.window) {
            Age::Fresh => {}
            age => return Err(Error::Age { age }),
        }
        self.check_available()?;
        let claim = Claim {
            request,
            digest,
            attempt: id::Attempt(Uuid::now_v7()),
            node: self.node.clone(),
            at: now,
        };
        let attempt = claim.attempt;
        let claim_deadline = deadline.min(Instant::now() + self.config.timeout);
        let guard = ReleaseGuard {
            claimer: self,
            request,
            attempt,
            resolved: false,
        };
        match self.append_and_read(claim, claim_deadline).await {
            Some(Some(owner)) if owner.attempt == attempt => {
                guard.resolve();
                Ok(Verdict::Owned(Ticket {
                    request,
                    attempt,
                    deadline,
                }))
            }
            Some(Some(owner)) => {
                guard.resolve();
                Ok(Verdict::Taken(owner))
            }
            Some(None) => Err(Error::Age { age: Age::Fresh }),
            None => Err(self.unavailable()),
        }
    }

    /// The owner of a request, as far as this node has read the stream.
    #[must_use]
    pub fn owner(&self, request: id::Request) -> Option<Owner> {
        self.follower.view(|view| view.fold().owner(request))
    }

    /// Appends the outcome of a claimed call in the background.
    pub fn append_outcome(&self, outcome: Outcome) {
        let appender = self.appender.clone();
        self.tasks.spawn(async move {
            let Ok(record) = serde_json::to_string(&ClaimRecord::Outcome(outcome)) else {
                return;
            };
            let deadline = Instant::now() + OUTCOME_TIMEOUT;
            if let Err(error) = appender.append(Stream::Claims, record, deadline).await {
                log::warn!("claims: outcome not appended: {error}");
            }
        });
    }

    /// Appends the outcome of the call of `ticket` in the background.
    pub fn report(&self, ticket: Ticket, run: Run, status: Option<u16>) {
        self.append_outcome(Outcome {
            request: ticket.request,
            attempt: ticket.attempt,
            run,
            status,
        });
    }

    /// Waits until the appends of all outcomes have ended, for a shutdown.
    pub async fn flush(&self) {
        self.tasks.close();
        self.tasks.wait().await;
        self.tasks.reopen();
    }

    fn check_available(&self) -> Result<(), Error> {
        // Until the first read reaches the end, an earlier claim may be unread.
        let has_read = self.follower.next_offset() > Offset(0) || self.follower.caught_up();
        if !has_read || self.follower.age() > self.config.max_view_age {
            return Err(self.unavailable());
        }
        Ok(())
    }

    fn unavailable(&self) -> Error {
        let unavailable_until = self.appender.log_unavailable_until();
        let retry_after = unavailable_until.saturating_duration_since(Instant::now());
        Error::Unavailable {
            retry_after: retry_after.max(Duration::from_secs(1)),
        }
    }

    /// Appends the claim and waits until the request's owner is read. `None` if that does not
    /// happen by `deadline`; `Some(None)` if the log was read past the claim and the fold did not
    /// accept it.
    async fn append_and_read(&self, claim: Claim, deadline: Instant) -> Option<Option<Owner>> {
        let request = claim.request;
        let record = Arc::new(serde_json::to_string(&ClaimRecord::Claim(claim)).ok()?);
        let append = self
            .appender
            .append(Stream::Claims, record.as_str().to_owned(), deadline);
        let read = self
            .follower
            .wait(deadline, |view| view.fold().owner(request));
        tokio::pin!(append);
        tokio::select! {
            // The owner may be read before the append returns, or although its response was lost.
            owner = read => owner.map(Some),
            appended = &mut append => {
                let offset = appended.ok()?;
                self.follower
                    .wait(deadline, |view| {
                        view.has_read(offset).then(|| view.fold().owner(request))
                    })
                    .await
            }
        }
    }
}

/// Releases a claim when dropped, unless its owner was read before. Otherwise a claim that reached
/// the log would block every later attempt of the same call although nobody runs it. The drop may
/// happen at any await, when the caller disconnects.
struct ReleaseGuard<'a> {
    claimer: &'a Claimer,
    request: id::Request,
    attempt: id::Attempt,
    resolved: bool,
}

impl ReleaseGuard<'_> {
    fn resolve(mut self) {
        self.resolved = true;
    }
}

impl Drop for ReleaseGuard<'_> {
    fn drop(&mut self) {
        if !self.resolved {
            self.claimer.append_outcome(Outcome {
                request: self.request,
                attempt: self.attempt,
                run: Run::NotRun,
                status: None,
            });
        }
    }
}
