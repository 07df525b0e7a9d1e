//! Claims on calls that may not be repeated, made in the platform's log before any byte is sent.
//!
//! A claim is appended and then read back: only an attempt that has seen itself as the owner may
//! dispatch. An append's answer is never taken for ownership, since another claim may stand before
//! it, and its loss is no harm, since the claim is found by reading.

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
use crate::view::Records;

/// How long an outcome is tried to be written. Longer than the log's usual outages; what is not
/// written by then leaves the request claimed, which is safe and answers later callers with
/// "unknown".
const OUTCOME_PATIENCE: Duration = Duration::from_mins(10);

/// Settings of a [`Claimer`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Config {
    /// Ids up to this age may be claimed. Shorter than the log's retention by more than
    /// [`claims::SKEW`], or a new node would not read all claims that still count.
    pub window: Duration,
    /// Age of the view from which on the log counts as out, and calls are refused at once. Above
    /// the time of a long-poll read, or a quiet log would look out.
    pub outage: Duration,
    /// How long a claim may take. A log that takes longer is as good as out, and a caller who is
    /// told so can come back.
    pub patience: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            window: Duration::from_mins(30),
            outage: Duration::from_secs(4),
            patience: Duration::from_secs(3),
        }
    }
}

/// What this node has read of the claims stream.
pub type View = view::View<claims::Fold>;

impl Records for claims::Fold {
    type Record = ClaimRecord;

    const PREFIX: &'static str = "claims";

    fn take(&mut self, _offset: Offset, at: Wall, call: ClaimRecord) {
        self.apply(at, &call);
    }
}

/// Claims requests for one entry VM. Clones share everything.
#[derive(Debug, Clone)]
pub struct Claimer {
    node: id::Node,
    config: Config,
    appender: Appender,
    follower: Follower<View>,
    tasks: TaskTracker,
}

/// Whether the caller of [`Claimer::claim`] may dispatch.
#[derive(Debug)]
pub enum Verdict {
    /// It owns the request.
    Owned(Ticket),
    /// Another attempt owns it.
    Taken(Owner),
}

/// The right to run a claimed request, until a deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ticket {
    /// The request.
    pub request: id::Request,
    /// The owning attempt, to be sent along to the endpoint.
    pub attempt: id::Attempt,
    deadline: Instant,
}

/// Why a request could not be claimed. It was not run, whatever the reason.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The id's age does not allow a claim.
    #[snafu(display("the request id can't be claimed: {}", Reason(*age)))]
    Age {
        /// What is wrong with it.
        age: Age,
    },
    /// The log is out or slow.
    #[snafu(display("the platform's log is out, so the call can't be claimed"))]
    Out {
        /// When to come back.
        after: Duration,
    },
}

struct Reason(Age);

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self.0 {
            Age::Fresh => "the log's clock and ours disagree",
            Age::Unreadable => "it is not a version 7 UUID",
            Age::Old => "it is too old",
            Age::Early => "it is from the future",
        })
    }
}

impl Ticket {
    /// Whether the call may still be handed to an endpoint. Asked right before the first byte.
    ///
    /// A process may be paused for minutes between claim and dispatch. Its caller was told long ago
    /// that the call may have run; running it now would surprise everybody.
    #[must_use]
    pub fn valid(&self, now: Instant) -> bool {
        now < self.deadline
    }
}

impl Claimer {
    /// Starts to follow the claims stream.
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

    /// The view of the claims stream.
    #[must_use]
    pub const fn follower(&self) -> &Follower<View> {
        &self.follower
    }

    /// Claims a request and reads the claim back. `digest` stands for customer, method, path and
    /// body; `now` is this node's wall clock.
    ///
    /// # Errors
    ///
    /// [`Error::Age`] or [`Error::Out`]. In both cases nobody may dispatch under this claim.
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
        self.available()?;
        let claim = Claim {
            request,
            digest,
            attempt: id::Attempt(Uuid::now_v7()),
            node: self.node.clone(),
            at: now,
        };
        let attempt = claim.attempt;
        let by = deadline.min(Instant::now() + self.config.patience);
        let doubt = Doubt {
            claimer: self,
            request,
            attempt,
            settled: false,
        };
        match self.settle(claim, by).await {
            Some(Some(owner)) if owner.attempt == attempt => {
                doubt.settle();
                Ok(Verdict::Owned(Ticket {
                    request,
                    attempt,
                    deadline,
                }))
            }
            Some(Some(owner)) => {
                doubt.settle();
                Ok(Verdict::Taken(owner))
            }
            Some(None) => Err(Error::Age { age: Age::Fresh }),
            None => Err(self.out()),
        }
    }

    /// Who owns a request, as far as this node has read.
    #[must_use]
    pub fn owner(&self, request: id::Request) -> Option<Owner> {
        self.follower.view(|view| view.fold().owner(request))
    }

    /// Writes what became of a claimed call, in the background.
    pub fn finish(&self, outcome: Outcome) {
        let appender = self.appender.clone();
        self.tasks.spawn(async move {
            let Ok(record) = serde_json::to_string(&ClaimRecord::Outcome(outcome)) else {
                return;
            };
            let deadline = Instant::now() + OUTCOME_PATIENCE;
            if let Err(error) = appender.append(Stream::Claims, record, deadline).await {
                log::warn!("claims: outcome not written: {error}");
            }
        });
    }

    /// Writes what became of the call of `ticket`.
    pub fn report(&self, ticket: Ticket, run: Run, status: Option<u16>) {
        self.finish(Outcome {
            request: ticket.request,
            attempt: ticket.attempt,
            run,
            status,
        });
    }

    /// Waits until all outcomes are written, for a shutdown.
    pub async fn flush(&self) {
        self.tasks.close();
        self.tasks.wait().await;
        self.tasks.reopen();
    }

    fn available(&self) -> Result<(), Error> {
        // Until the first read reaches the end, an earlier claim may be unread.
        let known = self.follower.next() > Offset(0) || self.follower.caught_up();
        if !known || self.follower.age() > self.config.outage {
            return Err(self.out());
        }
        Ok(())
    }

    fn out(&self) -> Error {
        let closed = self.appender.closed_until();
        let after = closed.saturating_duration_since(Instant::now());
        Error::Out {
            after: after.max(Duration::from_secs(1)),
        }
    }

    /// Appends the claim and waits until it was read; none if that is not known by `deadline`.
    async fn settle(&self, claim: Claim, deadline: Instant) -> Option<Option<Owner>> {
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
            // The owner may be read before the append is answered, or though its answer was lost.
            owner = read => owner.map(Some),
            appended = &mut append => {
                let offset = appended.ok()?;
                self.follower
                    .wait(deadline, |view| {
                        view.passed(offset).then(|| view.fold().owner(request))
                    })
                    .await
            }
        }
    }
}

/// A claim of which it is not known whether it stands. Dropped in doubt, it is released: if it
/// reached the log and stayed, every later attempt of the same call would be turned away though
/// nobody runs it. It may be dropped at any await, when a caller goes away.
struct Doubt<'a> {
    claimer: &'a Claimer,
    request: id::Request,
    attempt: id::Attempt,
    settled: bool,
}

impl Doubt<'_> {
    fn settle(mut self) {
        self.settled = true;
    }
}

impl Drop for Doubt<'_> {
    fn drop(&mut self) {
        if !self.settled {
            self.claimer.finish(Outcome {
                request: self.request,
                attempt: self.attempt,
                run: Run::NotRun,
                status: None,
            });
        }
    }
}
