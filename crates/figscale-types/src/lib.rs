//! Types that all figscale processes share.
//!
//! This crate defines newtypes for ids, sizes and rates, the verdict that every
//! error carries, the schema of the catalogue, the documents stored in the
//! platform's key-value service, and the messages that entry instances,
//! runners and workers exchange. It contains no scheduling decisions, which are
//! made in `figscale-core`, and no network code, which is in `figscale`.
//!
//! Messages between entry instances are encoded with `bincode`, which omits
//! field names. The types used there therefore avoid `serde` attributes that
//! need a self-describing format (`flatten`, `untagged`, `skip_serializing_if`).

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
