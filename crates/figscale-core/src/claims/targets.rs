//! Assignment of shards to members.
//!
//! Uses rendezvous hashing with bounded loads: each shard is assigned to the
//! member with the highest hash of both names, unless that member already has
//! the maximum number of shards of this kind. A shard of a failure domain is
//! assigned to a member of the same domain if there is one. Every process
//! computes the same targets from the same members and shards, and when a member
//! joins or leaves, only about its own share of shards moves. Plain rendezvous
//! hashing would move slightly fewer, but with a dozen shards of a kind it
//! leaves some members without any.

use std::cell;
use std::rc;

use figscale_types::hash;
use figscale_types::ids;
use indexmap::IndexMap;

/// Maximum load of a member, in percent of an even share.
const MAX_LOAD_PERCENT: usize = 125;

/// Computes the target holder of every shard; empty if there are no members.
pub fn targets<'a>(
    shards: impl IntoIterator<Item = &'a ids::ShardId>,
    members: &[(ids::MemberId, ids::FailureDomain)],
) -> IndexMap<ids::ShardId, ids::MemberId> {
    let mut groups: IndexMap<String, Vec<&ids::ShardId>> = IndexMap::new();
    for shard in shards {
        groups.entry(group_of(shard)).or_default().push(shard);
    }
    let mut targets = IndexMap::new();
    for (group, mut shards) in groups {
        shards.sort();
        assign(&shards, &candidates(&group, members), &mut targets);
    }
    targets
}

/// The targets last computed, with their inputs.
#[derive(Debug)]
struct Computed {
    shards: Vec<ids::ShardId>,
    members: Vec<(ids::MemberId, ids::FailureDomain)>,
    targets: rc::Rc<IndexMap<ids::ShardId, ids::MemberId>>,
}

/// Caches the last targets, since members and shards rarely change from one
/// input to the next, and hashing every pair of them is most of the cost of a
/// decision.
#[derive(Debug, Default)]
pub(super) struct Cache {
    last: cell::RefCell<Option<Computed>>,
}

impl Cache {
    /// Same as [`targets`], for sorted shards without duplicates.
    pub(super) fn targets(
        &self,
        shards: &[&ids::ShardId],
        members: &[(ids::MemberId, ids::FailureDomain)],
    ) -> rc::Rc<IndexMap<ids::ShardId, ids::MemberId>> {
        let mut last = self.last.borrow_mut();
        if let Some(last) = &*last
            && last.members == members
            && last.shards.iter().eq(shards.iter().copied())
        {
            return last.targets.clone();
        }
        let computed = rc::Rc::new(targets(shards.iter().copied(), members));
        *last = Some(Computed {
            shards: shards.iter().copied().cloned().collect(),
            members: members.to_vec(),
            targets: computed.clone(),
        });
        computed
    }
}

/// Name of the group within which shards are balanced: all shards of a kind, or
/// those of a kind in one failure domain.
fn group_of(shard: &ids::ShardId) -> String {
    let name = shard.as_str();
    let kind = name.split('/').next().unwrap_or_default();
    match domain_of(name) {
        Some(domain) => format!("{kind}/{domain}"),
        None => kind.to_owned(),
    }
}

/// The failure domain in a shard's name, which precedes the rack.
fn domain_of(name: &str) -> Option<&str> {
    let has_domain = name.starts_with("runner/") || name.starts_with("worker/");
    has_domain.then(|| name.rsplit('/').nth(1)).flatten()
}

fn candidates<'a>(
    group: &str,
    members: &'a [(ids::MemberId, ids::FailureDomain)],
) -> Vec<&'a ids::MemberId> {
    let domain = group.split_once('/').map(|(_, domain)| domain);
    let local = members
        .iter()
        .filter(|(_, own)| domain.is_some_and(|domain| own.as_str() == domain));
    let local: Vec<_> = local.map(|(id, _)| id).collect();
    match local.is_empty() {
        true => members.iter().map(|(id, _)| id).collect(),
        false => local,
    }
}

fn assign(
    shards: &[&ids::ShardId],
    candidates: &[&ids::MemberId],
    targets: &mut IndexMap<ids::ShardId, ids::MemberId>,
) {
    if candidates.is_empty() {
        return;
    }
    let max_load = (shards.len() * MAX_LOAD_PERCENT).div_ceil(candidates.len() * 100);
    let mut loads: IndexMap<&ids::MemberId, usize> = IndexMap::new();
    for &shard in shards {
        let best = candidates
            .iter()
            .filter(|id| loads.get(*id).copied().unwrap_or(0) < max_load)
            .max_by_key(|id| (hash::hash(&[id.as_str(), shard.as_str()]), id.as_str()));
        if let Some(&id) = best {
            *loads.entry(id).or_default() += 1;
            targets.insert(shard.clone(), id.clone());
        }
    }
}
