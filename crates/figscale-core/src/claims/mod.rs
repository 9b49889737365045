//! Ownership of shards among entry instances: leases, the claims document, and
//! witnesses.
//!
//! Work is divided into *shards*, and at any time at most one entry instance,
//! its *holder*, may use a shard. Every entry instance is a *member* and runs
//! one [`Machine`]. All members edit one document in the platform's store, the
//! *claims*, by compare-and-swap; it lists the members and the holder of each
//! shard. Every assignment of a shard starts a new *epoch*, a higher number
//! than before. A member keeps a lease in the store and may use its shards while
//! that lease is certainly valid: measured by its own monotonic clock from
//! before the renewal was sent, less a margin for clock drift.
//!
//! While the store is unavailable no lease can be renewed, but work has to
//! continue. Then a holder asks its *witnesses*, the members that it has listed
//! in the document itself, to *promise* not to help evict it. With promises
//! from a majority of them it may continue. To evict a holder, a member must
//! observe that the holder's lease has expired in the store, and must collect
//! *releases* from enough of the holder's witnesses that those left to promise
//! are fewer than a majority. A release is permanent: a witness that released a
//! lease never promises for it again. The two quorums intersect in at least one
//! witness, which has either promised or released; this is the entire safety
//! argument.
//!
//! The rules in detail:
//!
//! - The store key `member/ID/LEASE` exists under the lease before the document
//!   names the lease. So if a list of keys that was requested after reading a
//!   document that names a lease lacks the key, that lease has expired for good.
//! - A write with an unknown outcome may take effect until the document is
//!   read at a later revision. Until then promises must be valid under the
//!   witnesses of either outcome, and a shard that is being handed over is not
//!   used again.
//! - A witness is one incarnation of a process. A later incarnation may answer
//!   for an earlier one once it has run longer than any promise lasts. A
//!   witness that has been missing from the platform's instance list for longer
//!   than the list's lag and the longest promise counts as having released.
//!   This relies on the platform: an instance that the list dropped has ended,
//!   and only one process runs under a name.
//!
//! The trade-off: if a holder dies while most of its witnesses are unreachable,
//! its shards stay unused until the instance list or new incarnations of the
//! witnesses allow the eviction.

mod action;
mod edit;
mod lease;
mod machine;
mod missing;
mod schedule;
mod shards;
mod targets;
mod witness;

use std::time;

use figscale_types::ids;
use figscale_types::instances;

pub use action::Action;
pub use action::Input;
pub use action::StoreFailure;
pub use machine::Held;
pub use machine::Machine;
pub use machine::Site;
pub use machine::Status;
pub use shards::by_shard;
pub use targets::targets;

/// Timing of the claims protocol.
#[derive(Clone, Debug)]
pub struct Config {
    /// Duration of a lease, and of a promise.
    pub lease: time::Duration,
    /// Interval between lease renewals.
    pub heartbeat: time::Duration,
    /// Part of a lease or promise that is left unused, to allow for clock drift
    /// and scheduling delays.
    pub margin: time::Duration,
    /// Time since the last lease renewal after which the store counts as
    /// unavailable.
    pub store_unavailable_after: time::Duration,
    /// Time for which the members must stay the same before shards are moved.
    /// Also staggers evictions and writes of witness lists between members.
    pub settle: time::Duration,
    /// Derives the shards from a list of instances.
    pub shards_of: fn(&instances::InstanceList) -> Vec<ids::ShardId>,
    /// Safety rules, which only tests of the invariant checker turn off.
    pub guards: Guards,
}

impl Config {
    /// Derives the other durations from the lease and the heartbeat.
    pub fn new(lease: time::Duration, heartbeat: time::Duration, margin: time::Duration) -> Self {
        Self {
            lease,
            heartbeat,
            margin,
            store_unavailable_after: lease / 3,
            settle: heartbeat / 3,
            shards_of: |list| shards::by_shard(list).into_keys().collect(),
            guards: Guards::default(),
        }
    }
}

/// Rules on which safety depends. Each can be turned off, so that a test can
/// verify that the invariant checker finds the violation that the rule prevents.
#[derive(Clone, Copy, Debug)]
pub struct Guards {
    /// Measure a lease from before its renewal was sent, not from the response.
    pub count_from_sent: bool,
    /// Leave a margin of leases and promises unused.
    pub keep_margin: bool,
    /// Evict a holder only with releases from its witnesses.
    pub need_releases: bool,
    /// Never promise for a lease that this witness has released.
    pub releases_are_final: bool,
    /// Refuse a release while a promise to the holder is valid.
    pub promises_block_releases: bool,
    /// Judge only leases that the document named before the keys were listed.
    pub list_after_document: bool,
    /// Continue without the store only with promises.
    pub need_promises: bool,
    /// Count releases over the holder's witness list in the document, not over
    /// the current members.
    pub count_over_written_list: bool,
    /// Stop using a shard as soon as its handover begins.
    pub stop_before_handover: bool,
    /// Let a new incarnation release for an earlier one only after the longest
    /// promise has ended.
    pub new_incarnations_wait: bool,
}

impl Default for Guards {
    fn default() -> Self {
        Self {
            count_from_sent: true,
            keep_margin: true,
            need_releases: true,
            releases_are_final: true,
            promises_block_releases: true,
            list_after_document: true,
            need_promises: true,
            count_over_written_list: true,
            stop_before_handover: true,
            new_incarnations_wait: true,
        }
    }
}

/// Number of members that form a majority of `len` witnesses.
fn majority(len: usize) -> usize {
    len / 2 + 1
}

/// Number of releases after which no majority of `len` witnesses can promise.
fn release_quorum(len: usize) -> usize {
    len - majority(len) + 1
}
