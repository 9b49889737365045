//! Drains of shards, gauges, and the diagnostic dump of the service.

use figscale_types::ids;

use super::Draining;
use super::Service;
use super::WORKER_PREFIX;
use crate::kernel;

impl Service {
    pub(super) fn drain(&mut self, shard: ids::ShardId, reply: kernel::Reply<kernel::Drained>) {
        if shard.as_str().starts_with(WORKER_PREFIX) {
            self.placer.drain(&shard);
        } else if let Some(home) = self.homes.get_mut(&shard) {
            home.drain();
        }
        self.draining.push(Draining { shard, reply });
    }

    pub(super) fn finish_drains(&mut self) {
        let draining = std::mem::take(&mut self.draining);
        for drain in draining {
            let drained = match self.homes.get(&drain.shard) {
                Some(home) => home.is_drained(),
                None => self.placer.is_drained(&drain.shard),
            };
            match drained {
                true => drain.reply.send(kernel::Drained::Clean),
                false => self.draining.push(drain),
            }
        }
    }

    pub(super) fn report(&self) {
        let queued = self.homes.values().map(|home| home.len().1).sum();
        let metrics = &self.context.metrics;
        metrics.tasks_changed(self.placer.active(), queued);
    }

    pub(super) fn dump(&self) -> serde_json::Value {
        let homes: serde_json::Map<_, _> = self
            .homes
            .iter()
            .map(|(id, home)| {
                let (jobs, queued) = home.len();
                let outline = home.outline();
                let line = serde_json::json!({
                    "epoch": home.key().epoch,
                    "jobs": jobs,
                    "queued": queued,
                    "writes": home.writes(),
                    "recovered": home.is_recovered(),
                    "tasks": outline.tasks,
                    "most_attempts": outline.most_attempts,
                    "unconfirmed": outline.unconfirmed,
                    "paused": outline.paused,
                    "draining": outline.draining,
                    "fenced": outline.fenced,
                });
                (id.to_string(), line)
            })
            .collect();
        let workers: serde_json::Map<_, _> = self
            .placer
            .cluster()
            .workers()
            .map(|worker| {
                let line = serde_json::json!({
                    "capacity": worker.capacity(),
                    "counted": worker.counted(),
                    "takes_work": worker.takes_work(),
                });
                (worker.id().to_string(), line)
            })
            .collect();
        serde_json::json!({
            "homes": homes,
            "workers": workers,
            "active_tasks": self.placer.active(),
            "duplicates": self.placer.duplicates(),
        })
    }
}
