//! The words that every figscale process shares.
//!
//! This crate holds newtypes for ids, sizes and rates, the verdict that goes
//! with every error, the schema of the catalogue, the documents kept in the
//! platform's key-value service, and the messages that entry instances,
//! runners and workers exchange. It decides nothing: decisions are in
//! `figscale-core`, sockets in `figscale`.
//!
//! Messages between entry instances travel as `bincode`, which needs no field
//! names, so the types used there avoid `serde` attributes that depend on a
//! self-describing format (`flatten`, `untagged`, `skip_serializing_if`).

pub mod catalogue;
pub mod claims;
pub mod clock;
pub mod error;
pub mod fleet;
pub mod hash;
pub mod headers;
pub mod ids;
pub mod instances;
pub mod jobs;
pub mod mutex;
pub mod operator;
pub mod platform;
pub mod sizes;
pub mod verdict;
pub mod worker;
