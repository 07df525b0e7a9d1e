//! All tests of the controllers, in one program, so that they share their fakes.

mod decisions;
mod fakes;
mod orders;
mod rollouts;

#[expect(dead_code, reason = "shared with the tests of pimento-ctl")]
#[path = "../../../ctl/tests/common/mod.rs"]
mod memory;
