//! Tests of the controllers, in one program, so that they share their fakes.

mod daemon;
mod decisions;
mod fakes;
mod leases;
mod orders;
mod rollouts;
mod settings;

#[expect(dead_code, reason = "shared with the tests of pimento-ctl")]
#[path = "../../../ctl/tests/common/mod.rs"]
mod memory;
