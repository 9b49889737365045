//! Which entry instance holds which shard, and when each learns of it.

use std::time;

use figscale_core::job::home;
use figscale_core::job::message;
use figscale_core::job::placer;
use figscale_types::ids;
use figscale_types::instances;
use indexmap::IndexMap;
use rand::RngExt as _;

use super::Cell;
use super::Delivery;
use super::ENTRY_LEASE;
use super::ENTRY_MARGIN;
use super::ENTRY_RENEW;
use super::Shard;
use super::shard_of_worker;
use crate::worker;

impl Cell {
    /// Renews members' leases and moves the shards of members whose lease lapsed.
    ///
    /// Claims continue while the store is down, as commitments among peers allow.
    pub(super) fn step_claims(&mut self) {
        let now = self.now;
        for entry in &mut self.entries {
            let lapsed = now >= entry.renewed_at + ENTRY_LEASE;
            let may = entry.alive && entry.frozen_until.is_none() && !lapsed;
            if may && now >= entry.renewed_at + ENTRY_RENEW {
                entry.renewed_at = now;
                entry.valid_until = now + ENTRY_LEASE - ENTRY_MARGIN;
            }
        }
        let lapsed: Vec<_> = (0..self.entries.len())
            .filter(|index| now >= self.entries[*index].renewed_at + ENTRY_LEASE)
            .collect();
        for index in lapsed {
            self.take_over_from(index);
        }
        self.finish_hand_overs();
    }

    /// Moves the shards of a member whose lease lapsed to others, if there are any.
    pub(super) fn take_over_from(&mut self, index: usize) {
        let last = self.entries[index].renewed_at + ENTRY_LEASE;
        let entry = &self.entries[index];
        // A process that is still running joins again, either with its state or,
        // as often, as a restarted process without it.
        if entry.alive && entry.frozen_until.is_none() {
            let incarnation = entry.key.incarnation.0;
            if self.rng.random_bool(0.5) {
                self.entries[index] = self.new_entry(index, incarnation + 1);
            }
            let now = self.now;
            let entry = &mut self.entries[index];
            entry.renewed_at = now;
            entry.valid_until = now + ENTRY_LEASE - ENTRY_MARGIN;
        }
        let valid: Vec<_> = (0..self.entries.len())
            .filter(|other| self.entries[*other].alive)
            .filter(|other| self.now < self.entries[*other].renewed_at + ENTRY_LEASE)
            .collect();
        if valid.is_empty() {
            return;
        }
        for shard in self.shards.values_mut() {
            if shard.holder == index {
                shard.holder = valid[self.rng.random_range(0..valid.len())];
                shard.epoch = shard.epoch.next();
                shard.last_foreign_dispatch = last;
                shard.draining_to = None;
            }
        }
        self.schedule_view_updates();
    }

    pub(super) fn finish_hand_overs(&mut self) {
        let mut moved = false;
        for (id, shard) in &mut self.shards {
            let Some(to) = shard.draining_to else {
                continue;
            };
            let from = &self.entries[shard.holder];
            let drained = match from.homes.get(id) {
                Some(home) => home.is_drained(),
                None => from.placer.is_drained(id),
            };
            if !drained || from.frozen_until.is_some() || !self.entries[to].alive {
                continue;
            }
            *shard = Shard {
                holder: to,
                epoch: shard.epoch.next(),
                last_foreign_dispatch: self.now,
                draining_to: None,
            };
            moved = true;
        }
        if moved {
            self.schedule_view_updates();
        }
    }

    pub(super) fn schedule_view_updates(&mut self) {
        for index in 0..self.entries.len() {
            let at = self.now + self.millis(0, 300);
            self.deliveries.push((at, Delivery::View(index)));
        }
    }

    /// Applies the current claims to an entry instance.
    pub(super) fn update_view(&mut self, index: usize) {
        let now = self.home_now();
        let own_worker_shards = self
            .shards
            .iter()
            .filter(|(id, shard)| shard.holder == index && id.as_str().starts_with("worker/"))
            .filter(|(_, shard)| shard.draining_to.is_none());
        let held = own_worker_shards
            .map(|(id, shard)| {
                let held = placer::HeldShard {
                    epoch: shard.epoch,
                    last_foreign_dispatch: shard.last_foreign_dispatch,
                    workers: self.listed(id),
                };
                (id.clone(), held)
            })
            .collect();
        let holders: IndexMap<_, _> = self
            .shards
            .iter()
            .filter(|(id, _)| id.as_str().starts_with("worker/"))
            .map(|(id, shard)| {
                let holder = home::ShardHolder {
                    holder: Some(self.entries[shard.holder].key.clone()),
                    epoch: shard.epoch,
                };
                (id.clone(), holder)
            })
            .collect();
        let job_shards: Vec<_> = self
            .shards
            .iter()
            .filter(|(id, _)| id.as_str().starts_with("job/"))
            .map(|(id, shard)| (id.clone(), shard.clone()))
            .collect();
        let entry = &mut self.entries[index];
        entry.placer.set_shards(now.at, &held);
        for (id, shard) in job_shards {
            let key = message::HomeKey {
                shard: id.clone(),
                epoch: shard.epoch,
            };
            entry.placer.record_home(&key);
            let mine = shard.holder == index;
            let known = entry.homes.get(&id).map(|home| home.key().epoch);
            if !mine || known.is_some_and(|epoch| epoch != shard.epoch) {
                entry.homes.swap_remove(&id);
            }
            if let Some(home) = entry.homes.get_mut(&id) {
                home.pause(shard.draining_to.is_some());
            }
            if mine && shard.draining_to.is_none() && !entry.homes.contains_key(&id) {
                let config = home::Config {
                    removed_shard_lapse: time::Duration::from_secs(8),
                    ..home::Config::default()
                };
                entry.homes.insert(id, home::Home::new(config, key));
            }
        }
        let own_key = entry.key.clone();
        for home in entry.homes.values_mut() {
            home.set_shards(now, &own_key, &holders);
        }
    }

    pub(super) fn listed(&self, shard: &ids::ShardId) -> Vec<instances::Instance> {
        let of = |(index, worker): (usize, &worker::Worker)| {
            (shard_of_worker(index) == *shard).then(|| instances::Instance {
                id: worker.id.clone(),
                role: instances::Role::Worker,
                address: ([127, 0, 0, 1], index as u16).into(),
                failure_domain: "fd".parse().expect("a legal name"),
                rack: format!("rack-{}", index / 2).parse().expect("a legal name"),
                service: None,
                capacity: worker.capacity,
                slots: 0,
                connections: 0,
                life: instances::Life::Live,
            })
        };
        self.workers.iter().enumerate().filter_map(of).collect()
    }
}
