//! The decisions of figscale, as pure state machines.
//!
//! Inputs are messages and the time; outputs are actions for an adapter to
//! carry out. Nothing here opens a socket, spawns a task, reads a clock or
//! draws a number from an unseeded source, so every promise can be tested with
//! time held still, and again with real processes.

pub mod backoff;
pub mod catalogue;
pub mod claims;
pub mod fleet;
pub mod job;
pub mod request;
