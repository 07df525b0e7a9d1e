//! How far a request has come. Its handler tells this when the handling ends before there is a response.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use pimento_units::Moment;
use pimento_units::id;

/// What a request waits for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Step {
    /// Its body, or its admission.
    #[default]
    Received,
    /// A slot at an endpoint.
    Queued,
    /// A connection to an endpoint.
    Connecting,
    /// The head of an endpoint's response.
    Sent,
    /// The part of an endpoint's response that is read before the caller gets its head.
    Answered,
}

impl Step {
    /// The name in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Received => "received",
            Self::Queued => "queued",
            Self::Connecting => "connecting",
            Self::Sent => "sent",
            Self::Answered => "answered",
        }
    }
}

/// What ended the handling of a request before there was a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DroppedBy {
    /// The caller disconnected.
    Caller,
    /// This VM stopped.
    Vm,
    /// The handler panicked, which is a bug. The server answers with status 500.
    Panic,
}

impl DroppedBy {
    /// The name in metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Caller => "caller",
            Self::Vm => "vm",
            Self::Panic => "panic",
        }
    }
}

/// How far a request has come.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Stage {
    /// What it waits for.
    pub step: Step,
    /// Since when.
    pub since: Moment,
    /// The endpoint of the last attempt.
    pub endpoint: Option<id::Endpoint>,
    /// Whether an endpoint may have run it.
    pub may_have_run: bool,
}

/// The stage of one request, which its attempts update.
#[derive(Debug, Default)]
pub struct Tracker(Mutex<Stage>);

impl Tracker {
    fn lock(&self) -> MutexGuard<'_, Stage> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The request now waits for something else.
    pub fn enter(&self, step: Step, now: Moment) {
        let mut stage = self.lock();
        stage.step = step;
        stage.since = now;
    }

    /// The request is sent to an endpoint.
    pub fn enter_sent(&self, endpoint: &id::Endpoint, now: Moment) {
        self.enter(Step::Sent, now);
        let mut stage = self.lock();
        stage.endpoint = Some(endpoint.clone());
        stage.may_have_run = true;
    }

    /// Whether an endpoint may have run the request, once it is known that the last one did not.
    pub fn set_may_have_run(&self, may_have_run: bool) {
        self.lock().may_have_run = may_have_run;
    }

    /// The stage now.
    #[must_use]
    pub fn stage(&self) -> Stage {
        self.lock().clone()
    }
}
