//! The claims document: which entry instance holds which shard.
//!
//! The document is one key of the store and changes only by compare-and-swap.
//! Shard names are derived from the platform's instance list, so that every
//! entry instance forms the same shards from the same list:
//!
//! - `runner/SERVICE/DOMAIN/RACK`: the runners of a service in a rack;
//! - `worker/DOMAIN/RACK`: the workers of a rack;
//! - `id/NN`: homes of request ids, [`ID_SHARDS`] of them;
//! - `job/NN`: homes of jobs, [`JOB_SHARDS`] of them.

use std::net;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::ids;
use crate::instances;

/// Number of homes for request ids.
pub const ID_SHARDS: u32 = 16;
/// Number of homes for jobs.
pub const JOB_SHARDS: u32 = 16;

/// A live entry instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The current life.
    pub incarnation: ids::Incarnation,
    /// Where peers reach it.
    pub peer_address: net::SocketAddr,
    /// Where it stands.
    pub failure_domain: ids::FailureDomain,
    /// Lease in the store that its heartbeat renews.
    pub lease: ids::LeaseId,
    /// Whether it is about to go and takes no new shards.
    pub leaving: bool,
}

/// The state of one shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
    /// The holder, if any.
    pub holder: Option<ids::MemberKey>,
    /// Grows with every change of holder.
    pub epoch: ids::Epoch,
    /// Whether the last holder handed over in order, leaving nothing behind.
    pub clean: bool,
}

/// The document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    /// Members by name.
    pub members: IndexMap<ids::MemberId, Member>,
    /// Shards by name.
    pub shards: IndexMap<ids::ShardId, Shard>,
}

/// The shard of an instance; `None` for entry instances.
pub fn shard_of(instance: &instances::Instance) -> Option<ids::ShardId> {
    let domain = &instance.failure_domain;
    let rack = &instance.rack;
    let name = match (instance.role, &instance.service) {
        (instances::Role::Runner, Some(service)) => format!("runner/{service}/{domain}/{rack}"),
        (instances::Role::Worker, _) => format!("worker/{domain}/{rack}"),
        _ => return None,
    };
    name.parse().ok()
}

/// The home shard with this number, for request ids.
pub fn id_shard(number: u32) -> Option<ids::ShardId> {
    format!("id/{number:02}").parse().ok()
}

/// The home shard with this number, for jobs.
pub fn job_shard(number: u32) -> Option<ids::ShardId> {
    format!("job/{number:02}").parse().ok()
}
