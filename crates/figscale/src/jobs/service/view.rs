//! Applies changes of the catalogue and the claims to homes and placer.

use figscale_core::job::home;
use figscale_core::job::message;
use figscale_core::job::placer;
use figscale_types::catalogue;
use figscale_types::ids;
use indexmap::IndexMap;
use indexmap::IndexSet;

use super::JOB_PREFIX;
use super::Service;
use super::USAGE_INTERVAL;
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

    /// Applies which shards are held here, and who holds the others.
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
        self.remove_departed_peers(&view);
        self.update_homes(&view);
        let holders = holders(&view);
        for home in self.homes.values_mut() {
            home.set_shards(now, &self.me, &holders);
        }
        for (id, shard) in &view.claims.shards {
            if id.as_str().starts_with(JOB_PREFIX) {
                self.placer.record_home(&message::HomeKey {
                    shard: id.clone(),
                    epoch: shard.epoch,
                });
            }
        }
    }

    /// Removes the usage reported by members that are gone.
    pub(super) fn remove_departed_peers(&mut self, view: &state::ClaimsView) {
        let members: IndexSet<_> = view.claims.members.keys().cloned().collect();
        for gone in self.peers.difference(&members) {
            self.placer.remove_peer(gone);
        }
        self.peers = members;
    }

    /// Sends the other placers the usage of each owner here, which counts
    /// towards the quotas.
    pub(super) fn send_usage(&mut self, now: home::Now) {
        let due = |sent_at| now.at >= sent_at + USAGE_INTERVAL;
        if !self.usage_sent_at.is_none_or(due) {
            return;
        }
        self.usage_sent_at = Some(now.at);
        let view = self.context.shared.claims_now();
        let others = view.claims.members.iter();
        let others = others.filter(|(id, _)| **id != self.me.id);
        let addresses = others.map(|(_, member)| member.peer_address).collect();
        let usage = self.placer.usage().into_iter().collect();
        self.calls.send_usage(addresses, usage);
    }

    pub(super) fn update_homes(&mut self, view: &state::ClaimsView) {
        let me = &self.me;
        self.homes.retain(|id, home| {
            let epoch = home.key().epoch;
            let used = view.held.get(id).is_some_and(|held| held.epoch == epoch);
            // Not usable, but not held by another either: authority is lost
            // for the moment, or the home is about to be drained and has a last
            // write to make.
            let known = view.claims.shards.get(id);
            let mine = known.is_some_and(|s| s.holder.as_ref() == Some(me) && s.epoch == epoch);
            home.pause(!used);
            let kept = used || mine;
            if !kept {
                crate::event!(events::jobs::JOB_HOME_LOST, shard = id);
            }
            kept
        });
        self.fail_orphaned_calls();
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

    /// Fails the pending calls to homes that are no longer here, so that their
    /// callers need not wait for a timeout.
    pub(super) fn fail_orphaned_calls(&mut self) {
        let pending = std::mem::take(&mut self.callers);
        for (ticket, pending) in pending {
            let home = self.homes.get(&pending.home.shard);
            if home.is_some_and(|home| *home.key() == pending.home) {
                self.callers.insert(ticket, pending);
                continue;
            }
            let verdict = figscale_types::verdict::Verdict::MayHaveRun;
            pending.caller.answer(Err(calls::unreachable_home(verdict)));
        }
    }
}

/// The scheduling weight of each owner.
fn owner_weights(catalogue: &catalogue::Catalogue) -> IndexMap<ids::OwnerName, u32> {
    let owners = catalogue.owners.iter();
    owners
        .map(|(name, owner)| (name.clone(), owner.weight))
        .collect()
}

/// The holder of each worker shard.
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

/// The addresses of the peers that are homes of job shards.
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
