//! Who may use which shard: leases, the claims document, and witnesses.
//!
//! Every entry instance runs one [`Machine`]. All of them edit one document in
//! the platform's store by compare-and-swap; it names the members and the
//! holder of each shard. A member keeps a lease in the store and may use its
//! shards while that lease is surely valid: counted by its own monotonic clock
//! from before the renewal was sent, less a margin for clock rates.
//!
//! While the store is away no lease can be renewed, yet work has to go on.
//! Then a holder asks its *witnesses*, the members that it listed in the
//! document itself, for a promise not to help evict it. With the promises of a
//! majority of them it goes on. To evict a holder, a member needs to see its
//! lease gone from the store, and so many releases from the holder's witnesses
//! that no majority is left to promise. A release is for ever: a witness that
//! released a lease never promises for it again. The two sets meet in one
//! witness, which has either promised or released; that is the whole proof.
//!
//! The rules in detail:
//!
//! - The store key `member/ID/LEASE` exists under the lease before the document
//!   names it. So when a list of keys, asked for after the document was seen
//!   to name a lease, lacks the key, that lease has lapsed for ever.
//! - A write whose outcome is unknown may take effect until the document is
//!   seen at a later revision. Until then promises must be good under the
//!   witnesses of either outcome, and a shard given up is not used again.
//! - A witness is a life of a process. A later life answers for an earlier one
//!   once it has run longer than any promise. A witness that the platform's
//!   instance list has shown gone for longer than the list's lag and the
//!   longest promise counts as having released. This relies on the platform:
//!   an instance that the list dropped has ended, and one name has one process.
//!
//! The price is that holders which die while most of their witnesses are
//! unreachable leave their shards unused until the instance list or new lives
//! of the witnesses settle it.

mod action;
mod edit;
mod gone;
mod lease;
mod machine;
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

/// Time bounds of the claims.
#[derive(Clone, Debug)]
pub struct Config {
    /// Life of a lease, and of a promise.
    pub lease: time::Duration,
    /// Time between renewals.
    pub heartbeat: time::Duration,
    /// Part of a lease or promise left unused, for clock rates and scheduling.
    pub margin: time::Duration,
    /// Time without an answer after which the store counts as away.
    pub store_unseen: time::Duration,
    /// Time for which the members must stay the same before shards move.
    pub settle: time::Duration,
    /// The shards that a list of instances gives rise to.
    pub shards_of: fn(&instances::InstanceList) -> Vec<ids::ShardId>,
    /// Rules that only trials of the checker turn off.
    pub guards: Guards,
}

impl Config {
    /// Bounds derived from the lease, the heartbeat and the margin.
    pub fn new(lease: time::Duration, heartbeat: time::Duration, margin: time::Duration) -> Self {
        Self {
            lease,
            heartbeat,
            margin,
            store_unseen: lease / 3,
            settle: heartbeat / 3,
            shards_of: |list| shards::by_shard(list).into_keys().collect(),
            guards: Guards::default(),
        }
    }
}

/// Rules on which safety rests, each of which can be taken out so that a test
/// sees the checker find the fault that the rule prevents.
#[derive(Clone, Copy, Debug)]
pub struct Guards {
    /// Count a lease from before its renewal was sent, not from the answer.
    pub count_from_sent: bool,
    /// Keep a margin of leases and promises unused.
    pub keep_margin: bool,
    /// Evict only with releases.
    pub need_releases: bool,
    /// Never promise for a lease that was released.
    pub releases_last: bool,
    /// Refuse a release while a promise lasts.
    pub promises_bind: bool,
    /// List keys only after the document that names the leases.
    pub list_after_document: bool,
    /// Go on without the store only with promises.
    pub need_promises: bool,
    /// Count promises over the list in the document, not the latest members.
    pub count_over_written_list: bool,
    /// Use a shard no more once it is being given up.
    pub stop_before_handover: bool,
    /// A new life releases for an earlier one only after the longest promise.
    pub new_lives_wait: bool,
}

impl Default for Guards {
    fn default() -> Self {
        Self {
            count_from_sent: true,
            keep_margin: true,
            need_releases: true,
            releases_last: true,
            promises_bind: true,
            list_after_document: true,
            need_promises: true,
            count_over_written_list: true,
            stop_before_handover: true,
            new_lives_wait: true,
        }
    }
}

/// Members that make a majority of `len` witnesses.
fn majority(len: usize) -> usize {
    len / 2 + 1
}

/// Releases after which no majority of `len` witnesses can promise.
fn release_quorum(len: usize) -> usize {
    len - majority(len) + 1
}
