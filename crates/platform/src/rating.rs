//! The service that rates answers.

use std::future::Future;

use pimento_wire::platform::Rate;
use pimento_wire::platform::Rating;
use snafu::Snafu;

/// The rating service.
pub trait Rater: Clone + Send + Sync + 'static {
    /// Rates a whole answer.
    fn rate(&self, rate: Rate) -> impl Future<Output = Result<Rating, Error>> + Send;
}

/// The rating could not be had.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("the rating could not be had: {reason}"))]
pub struct Error {
    /// What happened.
    pub reason: String,
}
