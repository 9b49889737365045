//! The entry instance: the kernel, the named services and their I/O adapters.
//!
//! A process has one control thread and some traffic threads. Services on the
//! control thread own the shared state (claims, catalogue, jobs), receive
//! typed messages through the [`kernel`] and publish immutable snapshots
//! ([`state`]). Traffic threads read the snapshots and own the connections;
//! no request waits for the control thread.
//!
//! The decisions are made in `figscale-core`, which does no I/O and reads no
//! clock. This crate supplies time, messages and randomness.

pub mod catalogue;
pub mod claims;
pub mod cli;
pub mod events;
pub mod fleet;
mod inbound;
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
