//! The entry instance: kernel, named services and the adapters around them.
//!
//! A process has one control thread and some traffic threads. Services on the
//! control thread own the shared state (claims, catalogue, jobs), receive
//! typed messages through the [`kernel`] and publish immutable snapshots
//! ([`state`]). Traffic threads read the snapshots and own the connections;
//! no request waits for the control thread.
//!
//! The decisions themselves are in `figscale-core`, which knows no socket and
//! no clock. This crate gives them time, messages and randomness.

pub mod catalogue;
pub mod claims;
pub mod cli;
pub mod events;
pub mod fleet;
pub mod jobs;
pub mod kernel;
pub mod logs;
pub mod metrics;
pub mod operator;
pub mod peer;
pub mod serve;
pub mod settings;
pub mod state;
pub mod store;
pub mod traffic;
