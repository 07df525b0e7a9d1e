//! Endpoints that turned this VM away and named a time for which they want no requests from it.

use std::time::Duration;

use pimento_policy::rest::Rest;
use pimento_units::Moment;
use pimento_units::id;

use super::PoolState;
use crate::pool::Job;

/// An endpoint that rests, for the VM through which it was reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Hash of the endpoint's name.
    pub endpoint: u64,
    /// The endpoint's incarnation.
    pub incarnation: u64,
    /// The rest of the time.
    pub remaining: Duration,
}

impl PoolState {
    /// Records that an endpoint wants no requests for some time. A shorter one that is named later does not
    /// end it, since answers may overtake each other.
    pub fn record_rest(&mut self, endpoint: &id::Endpoint, rest: Rest, spread: f64, now: Moment) {
        if let Some(index) = self.index_of(endpoint) {
            let until = now + rest.spread(spread);
            let known = &mut self.endpoints[index].resting_until;
            *known = until.max(*known);
        }
    }

    /// Merges the report of a VM that reached an endpoint through this one.
    pub fn merge_rest(&mut self, report: Report, now: Moment) {
        let Some(index) = self.place_of(report.endpoint) else {
            return;
        };
        let state = &mut self.endpoints[index];
        if state.member.incarnation == report.incarnation {
            let rest = Rest::from(report.remaining);
            state.resting_until = (now + rest.duration()).max(state.resting_until);
        }
    }

    /// Returns whether an endpoint rests.
    pub fn is_resting(&self, endpoint: &id::Endpoint, now: Moment) -> bool {
        let index = self.index_of(endpoint);
        index.is_some_and(|index| now < self.endpoints[index].resting_until)
    }

    /// Returns the endpoints that rest.
    pub fn rests(&self, now: Moment) -> Vec<Report> {
        let resting = self.endpoints.iter();
        let resting = resting.filter(|state| now < state.resting_until);
        let reports = resting.map(|state| Report {
            endpoint: state.name_hash,
            incarnation: state.member.incarnation,
            remaining: state.resting_until.since(now),
        });
        reports.collect()
    }

    /// Returns the time after which to retry if every usable endpoint rests for longer than the caller wants
    /// to wait for its answer. Another VM may be served meanwhile.
    pub(super) fn all_rest_for(&self, job: &Job, now: Moment) -> Option<Duration> {
        let patience = job
            .aim
            .map_or(job.deadline.since(now), |aim| aim.left)
            .min(job.deadline.since(now));
        let states = self.usable(&job.requirement);
        let earliest = states.map(|state| state.resting_until).min()?;
        let after = earliest.since(now);
        (!after.is_zero() && after > patience).then_some(after)
    }
}
