//! The filters that a request passes, one file each.
//!
//! A filter takes the request in one state and gives it in the next, or refuses it. The types of
//! the states make it impossible to leave one out: what has not been through the contract has no
//! versions to choose from, and what has no permit can't be sent.

pub mod admission;
pub mod assemble;
pub mod attempt;
pub mod authenticate;
pub mod bill;
pub mod budget;
pub mod cascade;
pub mod claim;
pub mod contract;
pub mod identify;
pub mod rate;
pub mod reply;

use std::future::Future;

use crate::refusal::Refusal;

/// One step of a request.
pub trait Filter<Input> {
    /// The request after this step.
    type Output;

    /// Does the step.
    fn apply(&self, input: Input) -> impl Future<Output = Result<Self::Output, Refusal>> + Send;
}
