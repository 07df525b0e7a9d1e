//! Load-management decisions as state machines without clock, network or randomness of their own.
//!
//! The modules decide which requests an entry VM serves, how long they wait, which are refused, and
//! where work is sent. Each module handles one load pattern; its documentation says what fails
//! without it and where its figures come from. The modules take the current time and random bits as
//! arguments and return decisions, so that a server, a replay or a test can drive them with its own
//! clock. Nothing here awaits, locks or logs.
//!
//! A caller sends a request. Each try to have it answered is an attempt, which sends one call to an
//! endpoint. A job is a call that waits for a slot in a queue, until its dispatch. A run is an
//! execution of a request at an endpoint, which the entry VM can't always observe.

pub mod admission;
pub mod brittle;
pub mod budget;
pub mod cascade;
pub mod choice;
pub mod cold;
pub mod confidence;
pub mod connect;
pub mod eject;
pub mod engine;
pub mod exposure;
pub mod forecast;
pub mod hedge;
pub mod limit;
pub mod link;
pub mod loan;
mod number;
pub mod pace;
pub mod poison;
pub mod presence;
pub mod queue;
pub mod reach;
pub mod report;
pub mod rest;
pub mod resume;
pub mod retry;
pub mod rollout;
pub mod session;
pub mod shed;
pub mod shift;
pub mod speed;
pub mod throttle;
pub mod value;
