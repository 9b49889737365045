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
    /// Who answers for a member while the store is away, by the member's
    /// name; written by nobody but the member itself.
    #[serde(default)]
    pub witnesses: IndexMap<ids::MemberId, Vec<ids::MemberKey>>,
}

impl Claims {
    /// The key of a member in its current life.
    pub fn key_of(&self, id: &ids::MemberId) -> Option<ids::MemberKey> {
        let member = self.members.get(id)?;
        Some(ids::MemberKey {
            id: id.clone(),
            incarnation: member.incarnation,
        })
    }

    /// The keys of all members in their current lives.
    pub fn keys(&self) -> Vec<ids::MemberKey> {
        self.members
            .keys()
            .filter_map(|id| self.key_of(id))
            .collect()
    }

    /// The shards of a holder.
    pub fn shards_of<'a>(
        &'a self,
        holder: &'a ids::MemberKey,
    ) -> impl Iterator<Item = (&'a ids::ShardId, &'a Shard)> {
        self.shards
            .iter()
            .filter(|(_, shard)| shard.holder.as_ref() == Some(holder))
    }
}

/// What an entry instance asks another about claims.
///
/// `witness` names the life that is asked, so that a restarted process does
/// not answer for the one before it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerQuestion {
    /// Do not help to evict `holder`, who asks, for the life of a lease.
    Promise {
        /// Who is asked.
        witness: ids::MemberKey,
        /// Who asks.
        holder: ids::MemberKey,
        /// Leases under which the document may name the holder.
        leases: Vec<ids::LeaseId>,
    },
    /// Help to evict `holder`, whose lease has lapsed in the store.
    Release {
        /// Who is asked.
        witness: ids::MemberKey,
        /// Who is to be evicted.
        holder: ids::MemberKey,
        /// The lease that lapsed.
        lease: ids::LeaseId,
    },
}

/// Answer to a [`PeerQuestion`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerAnswer {
    /// As asked.
    Yes,
    /// No; asking later may help.
    No,
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
