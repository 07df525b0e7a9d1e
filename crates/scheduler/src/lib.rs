//! Scheduling of calls: which job gets a slot at which endpoint, which one waits and which one is refused.
//!
//! A [`Pool`] combines the decisions of `pimento_policy` for one pool of endpoints: admission gate, fair
//! queue, concurrency limits, choice of an endpoint and ejection. These are plain state machines. This
//! crate supplies the time, random bits and a lock that is never held across an await. The filter chain
//! and the relay share it.

mod brittle;
pub mod clock;
pub mod cold_start;
pub mod endpoint_limit;
mod endpoint_state;
pub mod no_slot;
pub mod participants;
pub mod permit;
mod pool;
mod pool_state;
pub mod requirement;
mod scheduler;
mod sharing;

pub use clock::Clock;
pub use cold_start::ColdStart;
pub use endpoint_state::Member;
pub use no_slot::NoSlot;
pub use participants::Participants;
pub use permit::Permit;
pub use pool::Estimate;
pub use pool::Job;
pub use pool::Pool;
pub use pool::PoolMetrics;
pub use pool_state::rest::Report as RestReport;
pub use pool_state::speeds::Report as SpeedReport;
pub use pool_state::speeds::Spread as SpeedSpread;
pub use requirement::Requirement;
pub use scheduler::Scheduler;
