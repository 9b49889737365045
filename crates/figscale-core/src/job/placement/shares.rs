//! Fair shares of owners by dominant resource, over the whole cell.
//!
//! An owner's share is the largest share that its tasks have of any resource of the
//! cell, divided by the owner's weight. Use on workers held here is read from the
//! cluster; use on other workers comes from the summaries of peers, which are about a
//! second old. What is placed with a peer between two summaries is charged at once
//! and replaced by the peer's next summary.

use figscale_types::catalogue;
use figscale_types::ids;
use figscale_types::sizes;
use indexmap::IndexMap;

use super::cluster;

/// Use by owner on the workers of one peer.
pub type UsageByOwner = IndexMap<ids::OwnerName, sizes::Resources>;

/// Weights and quotas of owners, and their use on the workers of peers.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    total: sizes::Resources,
    owners: IndexMap<ids::OwnerName, OwnerPolicy>,
    peers: IndexMap<ids::MemberId, UsageByOwner>,
    peers_total: UsageByOwner,
}

/// Weight and quota of an owner, from the catalogue.
#[derive(Clone, Debug)]
struct OwnerPolicy {
    weight: u32,
    quota: Option<sizes::Resources>,
}

impl Shares {
    /// Replaces weights and quotas by those of the catalogue.
    pub fn set_catalogue(&mut self, catalogue: &catalogue::Catalogue) {
        let policy = |owner: &catalogue::Owner| OwnerPolicy {
            weight: owner.weight.max(1),
            quota: owner.quota,
        };
        let owners = catalogue.owners.iter();
        self.owners = owners.map(|(name, o)| (name.clone(), policy(o))).collect();
    }

    /// Sets the sum of the capacities of all workers of the cell.
    pub fn set_total(&mut self, total: sizes::Resources) {
        self.total = total;
    }

    /// Replaces the use at a peer.
    pub fn set_peer(&mut self, peer: ids::MemberId, usage: UsageByOwner) {
        self.peers.insert(peer, usage);
        self.sum_peers();
    }

    /// Updates the use at a peer by what changed since its last summary.
    pub fn update_peer(&mut self, peer: &ids::MemberId, changed: UsageByOwner) {
        let known = self.peers.entry(peer.clone()).or_default();
        for (owner, used) in changed {
            known.insert(owner, used);
        }
        self.sum_peers();
    }

    /// Removes a peer that is gone.
    pub fn remove_peer(&mut self, peer: &ids::MemberId) {
        self.peers.swap_remove(peer);
        self.sum_peers();
    }

    /// Adds what was placed with a peer to its use; the next summary replaces it.
    pub fn charge_peer(
        &mut self,
        peer: &ids::MemberId,
        owner: &ids::OwnerName,
        size: &sizes::Resources,
    ) {
        for usage in [
            self.peers.entry(peer.clone()).or_default(),
            &mut self.peers_total,
        ] {
            let used = usage.entry(owner.clone()).or_default();
            *used = used.plus(size);
        }
    }

    /// Use of an owner in the whole cell.
    pub fn usage(&self, owner: &ids::OwnerName, local: &cluster::Cluster) -> sizes::Resources {
        let peers_total = self.peers_total.get(owner).copied().unwrap_or_default();
        peers_total.plus(&local.usage(owner))
    }

    /// Dominant share of an owner divided by its weight, with `more` added to its
    /// use.
    pub fn share(
        &self,
        owner: &ids::OwnerName,
        local: &cluster::Cluster,
        more: &sizes::Resources,
    ) -> f64 {
        let used = self.usage(owner, local).plus(more);
        let weight = self.owners.get(owner).map_or(1, |policy| policy.weight);
        used.dominant_share(&self.total) / f64::from(weight)
    }

    /// Whether an owner's quota allows `more` in addition to its use.
    pub fn admits(
        &self,
        owner: &ids::OwnerName,
        local: &cluster::Cluster,
        more: &sizes::Resources,
    ) -> bool {
        let quota = self.owners.get(owner).and_then(|policy| policy.quota);
        quota.is_none_or(|quota| {
            let used = self.usage(owner, local).plus(more);
            quota.holds(&used)
        })
    }

    fn sum_peers(&mut self) {
        self.peers_total.clear();
        for (owner, used) in self.peers.values().flatten() {
            let sum = self.peers_total.entry(owner.clone()).or_default();
            *sum = sum.plus(used);
        }
    }
}
