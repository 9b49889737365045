//! Room on workers: first fit, until scoring takes its place.

use std::time;

use figscale_types::ids;
use figscale_types::sizes;

use super::Placer;
use crate::job::message;

impl Placer {
    /// Room given away on a worker.
    pub(super) fn reserved_on(&self, worker: &ids::InstanceId) -> sizes::Resources {
        self.tasks
            .values()
            .filter(|task| task.worker == *worker && task.is_active())
            .fold(sizes::Resources::default(), |sum, task| {
                sum.plus(&task.reserved)
            })
    }

    /// A worker with room for the order.
    pub(super) fn find_room(
        &self,
        now: time::Instant,
        scope: &message::Scope,
        order: &message::TaskOrder,
    ) -> Option<ids::InstanceId> {
        let fits = |(id, session): &(&ids::InstanceId, &super::session::Session)| {
            let named =
                |shard: &super::Shard| scope.shards.contains(&(session.shard.clone(), shard.epoch));
            let shard = self.shards.get(&session.shard);
            session.takes_work(now, self.config.lease)
                && shard.is_some_and(|shard| !shard.draining && named(shard))
                && !session.forget.contains(&order.attempt.task)
                && session
                    .capacity
                    .minus(&self.reserved_on(id))
                    .holds(&order.resources)
        };
        let (wanted, avoided): (Vec<_>, Vec<_>) = self
            .sessions
            .iter()
            .filter(fits)
            .partition(|(id, _)| !order.avoid.contains(id));
        let found = wanted.first().or(avoided.first())?;
        Some(found.0.clone())
    }

    /// Free room, for homes.
    pub fn summary(&self, now: time::Instant) -> message::Summary {
        let mut summary = message::Summary::default();
        for (id, session) in &self.sessions {
            if !session.takes_work(now, self.config.lease) {
                continue;
            }
            let free = session.capacity.minus(&self.reserved_on(id));
            summary.largest_free = sizes::Resources::max(&summary.largest_free, &free);
            summary.free = summary.free.plus(&free);
            summary.workers += 1;
        }
        summary
    }
}
