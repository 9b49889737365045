//! The decision logic of figscale, as pure state machines.
//!
//! Inputs are messages and the current time; outputs are actions that an
//! adapter executes. Nothing here opens a socket, spawns a task, reads a clock
//! or uses an unseeded random source, so every guarantee can be tested
//! deterministically under simulated time, and again with real processes.

pub mod backoff;
pub mod catalogue;
pub mod claims;
pub mod fleet;
pub mod job;
pub mod request;
