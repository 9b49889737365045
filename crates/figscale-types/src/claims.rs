//! The claims document: which entry instance holds which shard.
//!
//! A shard is a set of runners, workers, request ids or jobs that at most one
//! entry instance, its holder, manages at a time. The live entry instances are
//! the members. Each change of a shard's holder increases its epoch, and orders
//! of a lower epoch are refused.
//!
//! While the store is unavailable, leases cannot be renewed. A member may then
//! continue to use its shards with promises from a majority of its witnesses:
//! the members listed for it in the document, which promise not to help evict it.
//!
//! The document is one key of the store and changes only by compare-and-swap.
//! Shard names are derived from the platform's instance list, so that every
//! entry instance derives the same shards from the same list:
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
    /// The current incarnation.
    pub incarnation: ids::Incarnation,
    /// Address at which peers reach it.
    pub peer_address: net::SocketAddr,
    /// Failure domain that it is in.
    pub failure_domain: ids::FailureDomain,
    /// Lease in the store that its heartbeat renews.
    pub lease: ids::LeaseId,
    /// Whether it is shutting down and acquires no new shards.
    pub leaving: bool,
}

/// The state of one shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
    /// The holder, if any.
    pub holder: Option<ids::MemberKey>,
    /// Increases with every change of holder.
    pub epoch: ids::Epoch,
    /// Whether the last holder released the shard in an orderly hand-over, with
    /// nothing left to recover.
    pub clean: bool,
}

/// The document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    /// Members by name.
    pub members: IndexMap<ids::MemberId, Member>,
    /// Shards by name.
    pub shards: IndexMap<ids::ShardId, Shard>,
    /// Witnesses of each member, by the member's name. Written only by the member
    /// itself.
    #[serde(default)]
    pub witnesses: IndexMap<ids::MemberId, Vec<ids::MemberKey>>,
}

impl Claims {
    /// The key of a member in its current incarnation.
    pub fn key_of(&self, id: &ids::MemberId) -> Option<ids::MemberKey> {
        let member = self.members.get(id)?;
        Some(ids::MemberKey {
            id: id.clone(),
            incarnation: member.incarnation,
        })
    }

    /// The keys of all members in their current incarnations.
    pub fn keys(&self) -> Vec<ids::MemberKey> {
        self.members
            .keys()
            .filter_map(|id| self.key_of(id))
            .collect()
    }

    /// The shards that a holder holds.
    pub fn shards_of<'a>(
        &'a self,
        holder: &'a ids::MemberKey,
    ) -> impl Iterator<Item = (&'a ids::ShardId, &'a Shard)> {
        self.shards
            .iter()
            .filter(|(_, shard)| shard.holder.as_ref() == Some(holder))
    }
}

/// A request about claims from one entry instance to another.
///
/// `witness` names the incarnation that is asked, so that a restarted process
/// does not answer in place of the previous one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WitnessRequest {
    /// `holder` asks the witness not to help evict it for the duration of a lease.
    Promise {
        /// The member that is asked.
        witness: ids::MemberKey,
        /// The member that asks.
        holder: ids::MemberKey,
        /// Leases under which the document may name the holder.
        leases: Vec<ids::LeaseId>,
    },
    /// Asks the witness to help evict `holder`, whose lease has expired in the store.
    Release {
        /// The member that is asked.
        witness: ids::MemberKey,
        /// The member to be evicted.
        holder: ids::MemberKey,
        /// The lease that expired.
        lease: ids::LeaseId,
    },
}

/// Answer to a [`WitnessRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WitnessResponse {
    /// Granted.
    Yes,
    /// Refused; a later request may be granted.
    No,
}

/// The shard of an instance; `None` for entry instances and for runners without a
/// service.
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
