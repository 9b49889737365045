//! Faults of the simulated cell: how they begin and end.

use std::time;

use figscale_types::ids;
use rand::RngExt as _;

use super::Cell;

impl Cell {
    pub(super) fn cause_faults(&mut self) {
        let faults = self.faults;
        let alive = self.entries.iter().filter(|entry| entry.alive).count();
        if alive > 1 && self.chance(faults.kill_entry) {
            let index = self.rng.random_range(0..self.entries.len());
            self.kill(index);
        }
        if self.chance(faults.freeze_entry) {
            let index = self.rng.random_range(0..self.entries.len());
            let time = self.millis(200, 6_000);
            self.freeze(index, time);
        }
        if self.chance(faults.freeze_worker) {
            let index = self.rng.random_range(0..self.workers.len());
            let until = self.now + self.millis(200, 6_000);
            self.workers[index].frozen_until = Some(until);
        }
        if self.chance(faults.cut_worker) {
            let index = self.rng.random_range(0..self.workers.len());
            let until = self.now + self.millis(200, 6_000);
            self.workers[index].cut_until = Some(until);
        }
        if self.chance(faults.restart_worker) {
            let index = self.rng.random_range(0..self.workers.len());
            self.restart_worker(index);
        }
        if self.chance(faults.store_outage) {
            let time = self.millis(500, 6_000);
            self.store_down(time);
        }
        if self.chance(faults.hand_over) {
            let shard = self.rng.random_range(0..self.shards.len());
            let to = self.rng.random_range(0..self.entries.len());
            self.hand_over(shard, to);
        }
    }

    pub(crate) fn kill(&mut self, index: usize) {
        self.entries[index].alive = false;
    }

    pub(crate) fn freeze(&mut self, index: usize, time: time::Duration) {
        self.entries[index].frozen_until = Some(self.now + time);
    }

    pub(crate) fn store_down(&mut self, time: time::Duration) {
        self.store_down_until = Some(self.now + time);
    }

    pub(crate) fn restart_worker(&mut self, index: usize) {
        self.next_incarnation += 1;
        let worker = &mut self.workers[index];
        worker.incarnation = self.next_incarnation;
        worker.booted_at = self.now;
        worker.epoch = ids::Epoch(0);
        worker.tasks.clear();
    }

    pub(super) fn hand_over(&mut self, shard: usize, to: usize) {
        let (id, shard) = self.shards.get_index_mut(shard).expect("a shard");
        let (from, id) = (shard.holder, id.clone());
        if !self.entries[to].alive || !self.entries[from].alive {
            return;
        }
        if self.entries[from].frozen_until.is_some() {
            return;
        }
        if shard.draining_to.is_some() {
            return;
        }
        shard.draining_to = Some(to);
        // The shard is removed from the holder's shards before it is drained.
        self.update_view(from);
        let entry = &mut self.entries[from];
        entry.placer.drain(&id);
        if let Some(home) = entry.homes.get_mut(&id) {
            home.drain();
        }
    }

    pub(super) fn end_faults(&mut self) {
        let now = self.now;
        for worker in &mut self.workers {
            if worker.frozen_until.is_some_and(|until| now >= until) {
                worker.frozen_until = None;
                worker.tick(now);
            }
            if worker.cut_until.is_some_and(|until| now >= until) {
                worker.cut_until = None;
            }
        }
        for entry in &mut self.entries {
            if entry.frozen_until.is_some_and(|until| now >= until) {
                entry.frozen_until = None;
            }
        }
        if self.store_down_until.is_some_and(|until| now >= until) {
            self.store_down_until = None;
        }
    }
}
