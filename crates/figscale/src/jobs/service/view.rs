//! What the service takes over from the catalogue and the claims.

use figscale_core::job::home;
use figscale_core::job::message;
use figscale_core::job::placer;
use figscale_types::catalogue;
use figscale_types::ids;
use indexmap::IndexMap;
use indexmap::IndexSet;

use super::JOB_PREFIX;
use super::Service;
use super::TELL_USAGE;
use super::WORKER_PREFIX;
use crate::events;
use crate::jobs::calls;
use crate::state;

impl Service {
    pub(super) fn on_catalogue(&mut self) {
        let accepted = self.context.shared.catalogue_now();
        self.placer.set_catalogue(&accepted.catalogue);
        for home in self.homes.values_mut() {
            home.set_weights(owner_weights(&accepted.catalogue));
        }
    }

    /// Takes over which shards are held here, and by whom the others are.
    pub(super) fn on_claims(&mut self) {
        let now = self.now();
        let view = self.context.shared.claims_now();
        let mut held = IndexMap::new();
        for (id, shard) in &view.held {
            if id.as_str().starts_with(WORKER_PREFIX) {
                let workers = view.by_shard.get(id).cloned().unwrap_or_default();
                let shard = placer::HeldShard {
                    epoch: shard.epoch,
                    last_foreign_dispatch: shard.last_foreign_dispatch,
                    workers,
                };
                held.insert(id.clone(), shard);
            }
        }
        self.placer.set_shards(now.at, &held);
        self.forget_peers(&view);
        self.take_homes(&view);
        let holders = holders(&view);
        for home in self.homes.values_mut() {
            home.set_shards(now, &self.me, &holders);
        }
        for (id, shard) in &view.claims.shards {
            if id.as_str().starts_with(JOB_PREFIX) {
                self.placer.note_home(&message::HomeKey {
                    shard: id.clone(),
                    epoch: shard.epoch,
                });
            }
        }
    }

    /// What owners used at a member that is gone is no more counted.
    pub(super) fn forget_peers(&mut self, view: &state::ClaimsView) {
        let members: IndexSet<_> = view.claims.members.keys().cloned().collect();
        for gone in self.peers.difference(&members) {
            self.placer.remove_peer(gone);
        }
        self.peers = members;
    }

    /// Tells the other placers what owners use here, for their quotas.
    pub(super) fn tell_usage(&mut self, now: home::Now) {
        let due = |told| now.at >= told + TELL_USAGE;
        if !self.usage_told_at.is_none_or(due) {
            return;
        }
        self.usage_told_at = Some(now.at);
        let view = self.context.shared.claims_now();
        let others = view.claims.members.iter();
        let others = others.filter(|(id, _)| **id != self.me.id);
        let addresses = others.map(|(_, member)| member.peer_address).collect();
        let usage = self.placer.usage().into_iter().collect();
        self.calls.tell_usage(addresses, usage);
    }

    pub(super) fn take_homes(&mut self, view: &state::ClaimsView) {
        let me = &self.me;
        self.homes.retain(|id, home| {
            let epoch = home.key().epoch;
            let used = view.held.get(id).is_some_and(|held| held.epoch == epoch);
            // Out of use but not another's: authority is away for a moment, or
            // it is about to be drained and has a last write to make.
            let known = view.claims.shards.get(id);
            let mine = known.is_some_and(|s| s.holder.as_ref() == Some(me) && s.epoch == epoch);
            home.pause(!used);
            let kept = used || mine;
            if !kept {
                crate::event!(events::jobs::JOB_HOME_LOST, shard = id);
            }
            kept
        });
        self.answer_orphans();
        for (id, held) in &view.held {
            if !id.as_str().starts_with(JOB_PREFIX) || self.homes.contains_key(id) {
                continue;
            }
            crate::event!(events::jobs::JOB_HOME_TAKEN, shard = id, epoch = held.epoch);
            let key = message::HomeKey {
                shard: id.clone(),
                epoch: held.epoch,
            };
            let mut home = home::Home::new(self.home_config, key);
            let accepted = self.context.shared.catalogue_now();
            home.set_weights(owner_weights(&accepted.catalogue));
            self.homes.insert(id.clone(), home);
        }
    }

    /// Whoever waits for a home that is no more here is told at once.
    pub(super) fn answer_orphans(&mut self) {
        let waiting = std::mem::take(&mut self.askers);
        for (ticket, waiting) in waiting {
            let home = self.homes.get(&waiting.home.shard);
            if home.is_some_and(|home| *home.key() == waiting.home) {
                self.askers.insert(ticket, waiting);
                continue;
            }
            let verdict = figscale_types::verdict::Verdict::MayHaveRun;
            waiting.asker.answer(Err(calls::unreachable_home(verdict)));
        }
    }
}

/// The weights of owners among each other.
fn owner_weights(catalogue: &catalogue::Catalogue) -> IndexMap<ids::OwnerName, u32> {
    let owners = catalogue.owners.iter();
    owners
        .map(|(name, owner)| (name.clone(), owner.weight))
        .collect()
}

/// The worker shards with their holders.
fn holders(view: &state::ClaimsView) -> IndexMap<ids::ShardId, home::ShardHolder> {
    view.claims
        .shards
        .iter()
        .filter(|(id, _)| id.as_str().starts_with(WORKER_PREFIX))
        .map(|(id, shard)| {
            let holder = home::ShardHolder {
                holder: shard.holder.clone(),
                epoch: shard.epoch,
            };
            (id.clone(), holder)
        })
        .collect()
}

/// Where the other homes of jobs are.
pub(super) fn other_homes(
    view: &state::ClaimsView,
    me: &ids::MemberKey,
) -> Vec<std::net::SocketAddr> {
    let homes: IndexSet<_> = view
        .claims
        .shards
        .keys()
        .filter(|id| id.as_str().starts_with(JOB_PREFIX))
        .filter_map(|id| view.holder(id))
        .filter(|(key, _)| *key != me)
        .map(|(_, member)| member.peer_address)
        .collect();
    homes.into_iter().collect()
}
