//! The attempts made so far for one request, which determine what the caller can be told about whether it ran.

use std::time::Duration;

use pimento_endpoint::Fault;
use pimento_ledger::record;
use pimento_units::Money;
use pimento_units::id;
use pimento_wire::api::Run;

use crate::refusal::Code;
use crate::refusal::Refusal;

/// Retry delay after no endpoint could accept the call. The next load report or probe arrives within it.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The attempts of one request.
#[derive(Debug, Clone, Default)]
pub struct Trace {
    /// Whether an endpoint may have started the request.
    started: bool,
    /// Attempts made, not counting those that a full endpoint refused.
    pub attempts: u32,
    /// Attempts that a full endpoint refused.
    pub refusals: u32,
    /// Time spent in queues.
    pub waited: Duration,
    /// The operator's cost of the attempts.
    pub cost: Money,
    /// Endpoints at which attempts failed, not counting refusals by full endpoints.
    pub tried: Vec<id::Endpoint>,
}

impl Trace {
    /// Records that an endpoint answered or may have started the request.
    pub const fn record_start(&mut self) {
        self.started = true;
    }

    /// Records a failed attempt. An endpoint that refused because it was full may be tried again.
    pub fn record_failure(&mut self, endpoint: &id::Endpoint, fault: &Fault) {
        self.started |= !fault.not_run();
        if !matches!(fault, Fault::Refused { .. }) {
            self.tried.push(endpoint.clone());
        }
    }

    /// Records that a full endpoint refused the last attempt. It does not count as an attempt.
    pub const fn record_refusal(&mut self) {
        self.refusals += 1;
        self.attempts = self.attempts.saturating_sub(1);
    }

    /// Whether the request ran, as told to the caller.
    #[must_use]
    pub const fn run(&self) -> Run {
        if self.started {
            Run::Unknown
        } else {
            Run::NotRun
        }
    }

    /// Whether the request ran, as written to the replicated log.
    #[must_use]
    pub const fn logged_run(&self) -> record::Run {
        if self.started {
            record::Run::Unknown
        } else {
            record::Run::NotRun
        }
    }

    /// The refusal to return after the last attempt failed.
    #[must_use]
    pub fn refusal(&self, fault: &Fault) -> Refusal {
        let run = self.run();
        match fault {
            Fault::Cancelled => Refusal::new(Code::CallerGone, "the caller disconnected", run),
            Fault::Timeout => Refusal::new(Code::Timeout, "no complete answer in time", run),
            Fault::Refused { retry_after, .. } if !self.started => {
                Refusal::not_run(Code::NoEndpoint, fault.to_string())
                    .retry_after(retry_after.unwrap_or(RETRY_AFTER))
            }
            _ if !self.started => {
                Refusal::not_run(Code::NoEndpoint, fault.to_string()).retry_after(RETRY_AFTER)
            }
            _ => Refusal::new(Code::EndpointFailed, fault.to_string(), run),
        }
    }

    /// The refusal to return if this VM ends before the request has an answer.
    #[must_use]
    pub fn ended(&self) -> Refusal {
        if self.started {
            return Refusal::aborted(self.run());
        }
        Refusal::shutting_down()
    }

    /// Corrects a refusal that occurred between attempts: `not_run` holds only if no earlier attempt may
    /// have started.
    #[must_use]
    pub fn correct_run(&self, mut refusal: Refusal) -> Refusal {
        if self.started && refusal.code == Code::ShuttingDown {
            return self.ended();
        }
        if self.started && refusal.run == Run::NotRun {
            refusal.run = Run::Unknown;
        }
        refusal
    }
}
