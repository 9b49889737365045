//! Which member should hold which shard.
//!
//! Rendezvous hashing with bounded loads: each shard goes to the member with
//! the highest hash of both names, unless that member already has its fill of
//! the shards of this kind. A shard of a failure domain goes to a member of
//! the same domain when there is one. Every process computes the same targets
//! from the same members and shards, and a member that joins or leaves moves
//! about its own share only. Plain rendezvous hashing would move a little less,
//! but with a dozen shards of a kind it leaves some members with none.

use std::cell;
use std::rc;

use figscale_types::hash;
use figscale_types::ids;
use indexmap::IndexMap;

/// Fill of a member over the even share, in percent.
const FILL_PERCENT: usize = 125;

/// Names the target holder of every shard; empty when there is no member.
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

/// Targets as last worked out, with what they were worked out from.
#[derive(Debug)]
struct Known {
    shards: Vec<ids::ShardId>,
    members: Vec<(ids::MemberId, ids::FailureDomain)>,
    targets: rc::Rc<IndexMap<ids::ShardId, ids::MemberId>>,
}

/// Remembers the last targets, since members and shards rarely change from one
/// input to the next and hashing every pair of them costs most of a decision.
#[derive(Debug, Default)]
pub(super) struct Memo {
    known: cell::RefCell<Option<Known>>,
}

impl Memo {
    /// As [`targets`], for shards in order and without repeats.
    pub(super) fn targets(
        &self,
        shards: &[&ids::ShardId],
        members: &[(ids::MemberId, ids::FailureDomain)],
    ) -> rc::Rc<IndexMap<ids::ShardId, ids::MemberId>> {
        let mut known = self.known.borrow_mut();
        if let Some(known) = &*known
            && known.members == members
            && known.shards.iter().eq(shards.iter().copied())
        {
            return known.targets.clone();
        }
        let found = rc::Rc::new(targets(shards.iter().copied(), members));
        *known = Some(Known {
            shards: shards.iter().copied().cloned().collect(),
            members: members.to_vec(),
            targets: found.clone(),
        });
        found
    }
}

/// Shards that are spread as one: all of a kind, or those in one domain.
fn group_of(shard: &ids::ShardId) -> String {
    let name = shard.as_str();
    let kind = name.split('/').next().unwrap_or_default();
    match domain_of(name) {
        Some(domain) => format!("{kind}/{domain}"),
        None => kind.to_owned(),
    }
}

/// The failure domain that a shard's name gives before its rack.
fn domain_of(name: &str) -> Option<&str> {
    let placed = name.starts_with("runner/") || name.starts_with("worker/");
    placed.then(|| name.rsplit('/').nth(1)).flatten()
}

fn candidates<'a>(
    group: &str,
    members: &'a [(ids::MemberId, ids::FailureDomain)],
) -> Vec<&'a ids::MemberId> {
    let domain = group.split_once('/').map(|(_, domain)| domain);
    let near = members
        .iter()
        .filter(|(_, own)| domain.is_some_and(|domain| own.as_str() == domain));
    let near: Vec<_> = near.map(|(id, _)| id).collect();
    match near.is_empty() {
        true => members.iter().map(|(id, _)| id).collect(),
        false => near,
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
    let fill = (shards.len() * FILL_PERCENT).div_ceil(candidates.len() * 100);
    let mut loads: IndexMap<&ids::MemberId, usize> = IndexMap::new();
    for &shard in shards {
        let best = candidates
            .iter()
            .filter(|id| loads.get(*id).copied().unwrap_or(0) < fill)
            .max_by_key(|id| (hash::hash(&[id.as_str(), shard.as_str()]), id.as_str()));
        if let Some(&id) = best {
            *loads.entry(id).or_default() += 1;
            targets.insert(shard.clone(), id.clone());
        }
    }
}
