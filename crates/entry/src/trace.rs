//! What was done so far for one request, from which follows what may be said of it.

use std::time::Duration;

use pimento_endpoint::Fault;
use pimento_ledger::record;
use pimento_units::Money;
use pimento_units::id;
use pimento_wire::api::Run;

use crate::refusal::Code;
use crate::refusal::Refusal;

/// When to ask again after endpoints could not take the call: a load report or a probe later.
const AGAIN: Duration = Duration::from_secs(1);

/// The attempts of one request.
#[derive(Debug, Clone, Default)]
pub struct Trace {
    started: bool,
    /// Attempts made, without those that a full endpoint refused.
    pub attempts: u32,
    /// Attempts that a full endpoint refused.
    pub refusals: u32,
    /// Time in queues.
    pub waited: Duration,
    /// What the attempts cost us.
    pub cost: Money,
    /// Endpoints that failed.
    pub tried: Vec<id::Endpoint>,
}

impl Trace {
    /// Notes that an endpoint answered, or may have begun to.
    pub const fn begun(&mut self) {
        self.started = true;
    }

    /// Notes a failed attempt. An endpoint that was full may be asked again.
    pub fn failed(&mut self, endpoint: &id::Endpoint, fault: &Fault) {
        self.started |= !fault.not_run();
        if !matches!(fault, Fault::Refused { .. }) {
            self.tried.push(endpoint.clone());
        }
    }

    /// Notes that the last attempt was refused by a full endpoint, which is no failure to retry.
    pub const fn refused(&mut self) {
        self.refusals += 1;
        self.attempts = self.attempts.saturating_sub(1);
    }

    /// What may be said to the caller.
    #[must_use]
    pub const fn run(&self) -> Run {
        if self.started {
            Run::Unknown
        } else {
            Run::NotRun
        }
    }

    /// What is written to the log.
    #[must_use]
    pub const fn record(&self) -> record::Run {
        if self.started {
            record::Run::Unknown
        } else {
            record::Run::NotRun
        }
    }

    /// The refusal after a last fault.
    #[must_use]
    pub fn refusal(&self, fault: &Fault) -> Refusal {
        let run = self.run();
        match fault {
            Fault::Cancelled => Refusal::new(Code::Gone, "the caller went away", run),
            Fault::Timeout => Refusal::new(Code::Timeout, "no whole answer in time", run),
            Fault::Refused { after, .. } if !self.started => {
                Refusal::not_run(Code::NoEndpoint, fault.to_string())
                    .retry_after(after.unwrap_or(AGAIN))
            }
            _ if !self.started => {
                Refusal::not_run(Code::NoEndpoint, fault.to_string()).retry_after(AGAIN)
            }
            _ => Refusal::new(Code::EndpointFailed, fault.to_string(), run),
        }
    }

    /// A refusal that came while the request was under way: `not_run` holds only if no earlier
    /// attempt may have begun.
    #[must_use]
    pub fn amend(&self, mut refusal: Refusal) -> Refusal {
        if self.started && refusal.run == Run::NotRun {
            refusal.run = Run::Unknown;
        }
        refusal
    }
}
