//! Recovery of tasks that may be placed, by inventories from the holders of the
//! worker shards, and the calls that are repeated without an answer.

use std::time;

use figscale_types::ids;
use indexmap::IndexMap;
use indexmap::IndexSet;

use super::Action;
use super::Home;
use super::Now;
use super::job;
use crate::job::message;

/// What a home knows of a worker shard.
#[derive(Clone, Debug)]
pub(super) struct ShardView {
    pub(super) holder: Option<ids::MemberKey>,
    pub(super) epoch: ids::Epoch,
    /// When the shard was first missing from the claims.
    gone_at: Option<time::Instant>,
    /// When the last inventory received under this epoch was requested.
    confirmed_at: Option<time::Instant>,
    /// Whether that inventory was complete.
    complete: bool,
    /// When an inventory was last requested from the holder.
    asked_at: Option<time::Instant>,
    in_flight: bool,
}

impl ShardView {
    fn new(shard: &super::ShardHolder) -> Self {
        Self {
            holder: shard.holder.clone(),
            epoch: shard.epoch,
            gone_at: None,
            confirmed_at: None,
            complete: false,
            asked_at: None,
            in_flight: false,
        }
    }

    /// Whether a complete inventory was requested at `since` or later.
    fn is_confirmed_since(&self, since: time::Instant) -> bool {
        self.complete && self.confirmed_at.is_some_and(|at| at >= since)
    }
}

impl Home {
    /// Sets the worker shards and their holders, by the claims.
    pub fn set_shards(
        &mut self,
        now: Now,
        own: &ids::MemberKey,
        shards: &IndexMap<ids::ShardId, super::ShardHolder>,
    ) {
        self.own = Some(own.clone());
        for (id, shard) in shards {
            let view = self
                .shards
                .entry(id.clone())
                .or_insert_with(|| ShardView::new(shard));
            view.gone_at = None;
            if shard.epoch > view.epoch {
                *view = ShardView::new(shard);
            } else if shard.epoch == view.epoch {
                view.holder = shard.holder.clone();
            }
        }
        for (id, view) in &mut self.shards {
            if !shards.contains_key(id) {
                view.gone_at.get_or_insert(now.at);
            }
        }
        let holders: IndexSet<_> = self
            .shards
            .values()
            .filter(|view| view.gone_at.is_none())
            .filter_map(|view| view.holder.clone())
            .collect();
        self.placers.retain(|key, _| holders.contains(key));
        for key in holders {
            self.placers.entry(key).or_default();
        }
    }

    /// Checks watched tasks: queues them after their backoff, repeats unanswered calls,
    /// writes start marks, starts or releases reservations.
    pub(super) fn poll_watched(&mut self, now: Now) {
        let mut marks = Vec::new();
        let mut late_gangs = IndexSet::new();
        let mut to_start: IndexMap<ids::MemberKey, Vec<message::Attempt>> = IndexMap::new();
        for id in self.watched.clone() {
            let Some(job) = self.jobs.get(&id.job) else {
                self.watched.remove(&id);
                continue;
            };
            let Some(task) = job.tasks.get(&id.index) else {
                self.watched.remove(&id);
                continue;
            };
            let attempt = message::Attempt {
                task: id.clone(),
                number: task.attempt,
            };
            match task.stage.clone() {
                job::Stage::Queued { not_before } => {
                    if now.at >= not_before {
                        self.watched.remove(&id);
                        if let Some(job) = self.jobs.get_mut(&id.job) {
                            job.gang_pause_until = None;
                        }
                        self.enqueue(now, &id.job, id.index, now.at);
                        self.end_if_all_ended(now, &id.job);
                    }
                }
                job::Stage::Asked {
                    placer,
                    asked_at,
                    unanswered: true,
                } => {
                    if !self.placers.contains_key(&placer) {
                        self.mark_unknown(now, &id);
                    } else if now.at >= asked_at + self.config.call_retry {
                        self.repeat_order(now, &placer, &id);
                    }
                }
                job::Stage::Held {
                    placer,
                    marked,
                    since,
                    ..
                } => {
                    let incomplete = job.is_gang() && !job.gang_is_complete();
                    let late = incomplete && now.at >= since + self.config.gang_timeout;
                    if late {
                        late_gangs.insert(id.job.clone());
                    } else if !self.placers.contains_key(&placer) || task.stopping {
                        self.release(now, &placer, &id);
                    } else if self.may_start(&id, marked) {
                        to_start.entry(placer).or_default().push(attempt);
                    } else if !marked && self.needs_start_mark(&id) {
                        marks.push(id);
                    }
                }
                job::Stage::Going {
                    placer,
                    asked_at,
                    in_flight: false,
                    ..
                } => {
                    if !self.placers.contains_key(&placer) {
                        self.mark_unknown(now, &id);
                    } else if now.at >= asked_at + self.config.call_retry {
                        to_start.entry(placer).or_default().push(attempt);
                    }
                }
                job::Stage::Placed { .. } | job::Stage::Unknown { .. } if task.stopping => {}
                job::Stage::Asked { .. } | job::Stage::Going { .. } => {}
                _ => {
                    self.watched.remove(&id);
                }
            }
        }
        for gang in &late_gangs {
            self.release_gang(now, gang);
        }
        self.write_start_marks(marks);
        for (placer, attempts) in to_start {
            self.send_go(now, &placer, attempts);
        }
    }

    /// Marks a task as unknown, until every placer has sent a complete inventory.
    pub(super) fn mark_unknown(&mut self, now: Now, id: &ids::TaskId) {
        if let Some(task) = self.task_mut(id) {
            task.stage = job::Stage::Unknown { since: now.at };
        }
    }

    fn repeat_order(&mut self, now: Now, placer: &ids::MemberKey, id: &ids::TaskId) {
        let Some(mut order) = self.order_of(id) else {
            return;
        };
        if let Some(task) = self.task_mut(id) {
            order.attempt.number = task.attempt;
            order.hold = task.hold;
            task.stage = job::Stage::Asked {
                placer: placer.clone(),
                asked_at: now.at,
                unanswered: true,
            };
        }
        // The flag stays: if the repeat does not reach the placer, the first call
        // may still have. `asked_at` is set again when the repeat is sent and when
        // it fails, so the next one follows only after the retry time.
        self.send_orders(placer, vec![order], true);
    }

    /// Requests inventories, and ends tasks that are on removed shards or that no
    /// holder has.
    pub(super) fn poll_shards(&mut self, now: Now) {
        self.drop_vanished(now);
        self.resolve_unknown(now);
        let unknown_since = self.unknown_since();
        let retry = self.config.call_retry;
        let mut asked = IndexSet::new();
        for view in self.shards.values() {
            let known = view.confirmed_at.is_some() && view.complete;
            let confirmed =
                known && unknown_since.is_none_or(|since| view.is_confirmed_since(since));
            let retry_due = view.asked_at.is_none_or(|at| now.at >= at + retry);
            if !confirmed && retry_due && !view.in_flight && view.gone_at.is_none() {
                asked.extend(view.holder.clone());
            }
        }
        for placer in asked {
            for view in self.shards.values_mut() {
                if view.holder.as_ref() == Some(&placer) {
                    view.asked_at = Some(now.at);
                    view.in_flight = true;
                }
            }
            let question = message::Question::Inventory(self.key.clone(), self.next_call());
            self.actions.push(Action::Call(placer, question));
        }
    }

    /// Worker shards without a complete inventory under their current epoch.
    pub(super) fn unconfirmed(&self) -> Vec<ids::ShardId> {
        let open = self.shards.iter().filter(|(_, view)| !view.complete);
        open.map(|(id, _)| id.clone()).collect()
    }

    fn unknown_since(&self) -> Option<time::Instant> {
        self.jobs
            .values()
            .filter(|job| job.record.ended.is_none())
            .flat_map(|job| job.tasks.values())
            .filter_map(|task| match task.stage {
                job::Stage::Unknown { since } => Some(since),
                _ => None,
            })
            .max()
    }

    pub(super) fn on_inventory_failed(&mut self, placer: &ids::MemberKey) {
        for view in self.shards.values_mut() {
            if view.holder.as_ref() == Some(placer) {
                view.in_flight = false;
            }
        }
    }

    pub(super) fn on_inventory(
        &mut self,
        now: Now,
        placer: &ids::MemberKey,
        asked_at: time::Instant,
        inventory: Vec<message::ShardInventory>,
    ) {
        self.on_inventory_failed(placer);
        for shard in inventory {
            let Some(view) = self.shards.get_mut(&shard.shard) else {
                continue;
            };
            if view.epoch != shard.epoch || view.holder.as_ref() != Some(placer) {
                continue;
            }
            view.confirmed_at = Some(asked_at);
            view.complete = shard.complete;
            self.on_updates(now, placer, &shard.tasks);
            self.describe(placer, &shard.tasks);
            if shard.complete {
                self.end_missing(now, asked_at, &shard);
            }
        }
        self.resolve_unknown(now);
    }

    /// Sends a placer the descriptions of tasks that it reports as running.
    fn describe(&mut self, placer: &ids::MemberKey, events: &[message::TaskEvent]) {
        let running = events
            .iter()
            .filter(|event| event.state == message::TaskState::Running);
        let orders: Vec<_> = running
            .filter_map(|event| {
                let mut order = self.order_of(&event.attempt.task)?;
                order.attempt = event.attempt.clone();
                Some(order)
            })
            .collect();
        if !orders.is_empty() {
            let question = message::Question::Describe(self.key.clone(), orders);
            self.actions.push(Action::Call(placer.clone(), question));
        }
    }

    /// Ends tasks as lost that were placed on the shard and are not in its inventory.
    fn end_missing(&mut self, now: Now, asked_at: time::Instant, shard: &message::ShardInventory) {
        let listed: IndexSet<_> = shard
            .tasks
            .iter()
            .map(|event| &event.attempt.task)
            .collect();
        let missing = self.placed_where(|id, place, since| {
            place.shard == shard.shard && since <= asked_at && !listed.contains(id)
        });
        for id in missing {
            self.on_end(now, &id, message::End::Lost);
        }
    }

    fn placed_where(
        &self,
        wanted: impl Fn(&ids::TaskId, &message::Place, time::Instant) -> bool,
    ) -> Vec<ids::TaskId> {
        let mut found = Vec::new();
        for (id, job) in &self.jobs {
            for (index, task) in &job.tasks {
                let id = ids::TaskId {
                    job: id.clone(),
                    index: *index,
                };
                if let job::Stage::Placed { place, since, .. } = &task.stage
                    && wanted(&id, place, *since)
                {
                    found.push(id);
                }
            }
        }
        found
    }

    /// Drops shards that were removed long enough ago that tasks on them have lapsed.
    fn drop_vanished(&mut self, now: Now) {
        let removed_shard_lapse = self.config.removed_shard_lapse;
        let gone: Vec<_> = self
            .shards
            .iter()
            .filter(|(_, view)| {
                view.gone_at
                    .is_some_and(|at| now.at >= at + removed_shard_lapse)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for shard in gone {
            self.shards.swap_remove(&shard);
            for id in self.placed_where(|_, place, _| place.shard == shard) {
                self.on_end(now, &id, message::End::Lost);
            }
        }
    }

    /// Ends unknown tasks as lost that no holder has: they cannot be running.
    fn resolve_unknown(&mut self, now: Now) {
        if self.shards.is_empty() || self.unknown_since().is_none() {
            return;
        }
        let mut resolved = Vec::new();
        for (id, job) in &self.jobs {
            for (index, task) in &job.tasks {
                let job::Stage::Unknown { since } = task.stage else {
                    continue;
                };
                if self
                    .shards
                    .values()
                    .all(|view| view.is_confirmed_since(since))
                {
                    resolved.push(ids::TaskId {
                        job: id.clone(),
                        index: *index,
                    });
                }
            }
        }
        for id in resolved {
            self.on_end(now, &id, message::End::Lost);
        }
    }
}
