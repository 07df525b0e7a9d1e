//! A monotonic clock that includes the time for which the VM is suspended.
//!
//! It measures the age of data that other processes write or send: views of the log, leaving endpoints,
//! stamps, roll-outs, reports of crashes. [`pimento_scheduler::Clock`] measures what this process does
//! itself: attempts, deadlines, queues. That clock starts with the process, so that moments of the two
//! must not be compared.
//!
//! `CLOCK_MONOTONIC` stops during a suspension and the time of day jumps. Data whose age is measured
//! by either could look fresh afterwards, and the VM would accept a key that was revoked in the
//! meantime.

use std::time::Duration;

use nix::time::ClockId;
use nix::time::clock_gettime;
use pimento_units::Moment;

/// Time since the VM booted, including suspensions.
///
/// # Panics
///
/// If the kernel has no `CLOCK_BOOTTIME`, which Linux has had since 2.6.39.
#[must_use]
pub fn now() -> Moment {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the kernel has a boot-time clock");
    Moment::ZERO + Duration::from(time)
}
