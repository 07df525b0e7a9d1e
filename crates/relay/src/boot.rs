//! A clock that goes on while the VM is suspended.
//!
//! The steady clock stands still meanwhile, and the time of day jumps. A belief whose age is taken
//! from either would seem fresh after a suspension, and a key that was revoked in that time would
//! be let in.

use std::time::Duration;

use nix::time::ClockId;
use nix::time::clock_gettime;
use pimento_units::Moment;

/// Time since the VM booted, suspensions included.
///
/// # Panics
///
/// If the kernel has no such clock; it came with Linux 2.6.39.
#[must_use]
pub fn now() -> Moment {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the kernel has a boot-time clock");
    Moment::ZERO + Duration::from(time)
}
