//! Dominant-resource fair shares of owners, over the whole cell.
//!
//! An owner's share is the largest share that its tasks take of any resource
//! of the cell, divided by its weight. Use on workers held here is read from
//! the cluster; use elsewhere comes from the peers' summaries, which are about
//! a second old. What is placed with a peer in between is charged at once and
//! replaced by the peer's next summary.

use figscale_types::catalogue;
use figscale_types::ids;
use figscale_types::sizes;
use indexmap::IndexMap;

use super::cluster;

/// Use by owner on the workers that one peer holds.
pub type UsageByOwner = IndexMap<ids::OwnerName, sizes::Resources>;

/// What owners may use and what they use elsewhere.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    total: sizes::Resources,
    owners: IndexMap<ids::OwnerName, Terms>,
    peers: IndexMap<ids::MemberId, UsageByOwner>,
    elsewhere: UsageByOwner,
}

/// What the catalogue says of an owner.
#[derive(Clone, Debug)]
struct Terms {
    weight: u32,
    quota: Option<sizes::Resources>,
}

impl Shares {
    /// Takes over weights and quotas.
    pub fn set_catalogue(&mut self, catalogue: &catalogue::Catalogue) {
        let terms = |owner: &catalogue::Owner| Terms {
            weight: owner.weight.max(1),
            quota: owner.quota,
        };
        let owners = catalogue.owners.iter();
        self.owners = owners.map(|(name, o)| (name.clone(), terms(o))).collect();
    }

    /// Takes over what all workers of the cell hold together.
    pub fn set_total(&mut self, total: sizes::Resources) {
        self.total = total;
    }

    /// Takes over a peer's whole summary of use.
    pub fn set_peer(&mut self, peer: ids::MemberId, usage: UsageByOwner) {
        self.peers.insert(peer, usage);
        self.sum_up();
    }

    /// Takes over what changed at a peer since its last summary.
    pub fn update_peer(&mut self, peer: &ids::MemberId, changed: UsageByOwner) {
        let known = self.peers.entry(peer.clone()).or_default();
        for (owner, used) in changed {
            known.insert(owner, used);
        }
        self.sum_up();
    }

    /// Forgets a peer that is gone.
    pub fn remove_peer(&mut self, peer: &ids::MemberId) {
        self.peers.swap_remove(peer);
        self.sum_up();
    }

    /// Charges what was placed with a peer, until its next summary.
    pub fn charge_peer(
        &mut self,
        peer: &ids::MemberId,
        owner: &ids::OwnerName,
        size: &sizes::Resources,
    ) {
        for usage in [
            self.peers.entry(peer.clone()).or_default(),
            &mut self.elsewhere,
        ] {
            let used = usage.entry(owner.clone()).or_default();
            *used = used.plus(size);
        }
    }

    /// What an owner uses in the whole cell.
    pub fn usage(&self, owner: &ids::OwnerName, here: &cluster::Cluster) -> sizes::Resources {
        let elsewhere = self.elsewhere.get(owner).copied().unwrap_or_default();
        elsewhere.plus(&here.usage(owner))
    }

    /// Dominant share of an owner by its weight, with `more` on top.
    pub fn share(
        &self,
        owner: &ids::OwnerName,
        here: &cluster::Cluster,
        more: &sizes::Resources,
    ) -> f64 {
        let used = self.usage(owner, here).plus(more);
        let weight = self.owners.get(owner).map_or(1, |terms| terms.weight);
        used.dominant_share(&self.total) / f64::from(weight)
    }

    /// Whether an owner's quota still has room for `more`.
    pub fn admits(
        &self,
        owner: &ids::OwnerName,
        here: &cluster::Cluster,
        more: &sizes::Resources,
    ) -> bool {
        let quota = self.owners.get(owner).and_then(|terms| terms.quota);
        quota.is_none_or(|quota| {
            let used = self.usage(owner, here).plus(more);
            quota.holds(&used)
        })
    }

    fn sum_up(&mut self) {
        self.elsewhere.clear();
        for (owner, used) in self.peers.values().flatten() {
            let sum = self.elsewhere.entry(owner.clone()).or_default();
            *sum = sum.plus(used);
        }
    }
}
