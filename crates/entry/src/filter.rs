//! The filters that a request passes through, one per file, and their helpers.
//!
//! The helpers are `attempt` (calls of engines), `delivery` and `reply` (the response to the caller) and `rate`
//! (ratings of answers).
//!
//! A filter takes a request in one state and returns it in the next, or refuses it. The types of the states
//! prevent skipping a filter: a request that has not passed the contract filter has no versions to choose
//! from, and a request without a permit can't be sent.

pub mod admission;
pub mod attempt;
pub mod authenticate;
pub mod bill;
pub mod budget;
pub mod cascade;
pub mod claim;
pub mod contract;
pub mod delivery;
pub mod identify;
pub mod rate;
pub mod reply;

use std::future::Future;

use crate::refusal::Refusal;

/// One step in the processing of a request.
pub trait Filter<Input> {
    /// The request after this step.
    type Output;

    /// Performs the step.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if the request can't proceed.
    fn apply(&self, input: Input) -> impl Future<Output = Result<Self::Output, Refusal>> + Send;
}
