//! Slots of endpoints: who gets one, who waits, who is refused, and which endpoint it is.
//!
//! One [`Pool`] for each pool of endpoints joins the decisions of `pimento_policy`: the admission
//! gate, the fair queue, the concurrency limits, the choice of an endpoint and ejection. They are
//! plain state machines; this crate gives them the time, random bits and a lock that is never held
//! over an await. The filter chain and the relay share it.

pub mod clock;
pub mod endpoint_limit;
mod endpoint_state;
mod inner;
pub mod participants;
pub mod permit;
mod pool;
pub mod refused;

pub use clock::Clock;
pub use endpoint_state::Member;
pub use participants::Participants;
pub use permit::Permit;
pub use pool::Depth;
pub use pool::Estimate;
pub use pool::Job;
pub use pool::Pool;
pub use pool::Scheduler;
pub use refused::Refused;
