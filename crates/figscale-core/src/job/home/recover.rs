//! Taking over, and following worker shards from holder to holder.

use std::time;

use figscale_types::ids;
use indexmap::IndexMap;
use indexmap::IndexSet;

use super::Action;
use super::Home;
use super::Now;
use super::job;
use crate::job::message;

/// What the home knows of a worker shard.
#[derive(Clone, Debug)]
pub(super) struct ShardView {
    pub(super) holder: Option<ids::MemberKey>,
    pub(super) epoch: ids::Epoch,
    /// When the shard was no more listed.
    gone_at: Option<time::Instant>,
    /// When the last inventory under this epoch was asked for.
    confirmed_at: Option<time::Instant>,
    /// Whether that inventory was complete.
    complete: bool,
    /// When the holder was last asked for one.
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

    /// Whether everything of the home on the shard is known as of `since`.
    fn tells_all_since(&self, since: time::Instant) -> bool {
        self.complete && self.confirmed_at.is_some_and(|at| at >= since)
    }
}

impl Home {
    /// Takes over the worker shards and their holders, as the claims have them.
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

    /// Repeats calls without an answer, and gives up what is known to be safe.
    pub(super) fn poll_watched(&mut self, now: Now) {
        let mut marks = Vec::new();
        let mut late_gangs = IndexSet::new();
        let mut going: IndexMap<ids::MemberKey, Vec<message::Attempt>> = IndexMap::new();
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
            match task.life.clone() {
                job::Life::Queued { not_before } => {
                    if now.at >= not_before {
                        self.watched.remove(&id);
                        if let Some(job) = self.jobs.get_mut(&id.job) {
                            job.gang_pause_until = None;
                        }
                        self.enqueue(now, &id.job, id.index, now.at);
                        self.settle(now, &id.job);
                    }
                }
                job::Life::Asked {
                    placer,
                    asked_at,
                    unanswered: true,
                } => {
                    if !self.placers.contains_key(&placer) {
                        self.lose_sight(now, &id);
                    } else if now.at >= asked_at + self.config.call_retry {
                        self.repeat_order(now, &placer, &id);
                    }
                }
                job::Life::Held {
                    placer,
                    marked,
                    since,
                    ..
                } => {
                    let waits = job.is_gang() && !job.gang_is_complete();
                    let late = waits && now.at >= since + self.config.gang_wait;
                    if late {
                        late_gangs.insert(id.job.clone());
                    } else if !self.placers.contains_key(&placer) || task.stopping {
                        self.release(now, &placer, &id);
                    } else if self.may_go(&id, marked) {
                        going.entry(placer).or_default().push(attempt);
                    } else if !marked && self.wants_mark(&id) {
                        marks.push(id);
                    }
                }
                job::Life::Going {
                    placer,
                    asked_at,
                    in_flight: false,
                    ..
                } => {
                    if !self.placers.contains_key(&placer) {
                        self.lose_sight(now, &id);
                    } else if now.at >= asked_at + self.config.call_retry {
                        going.entry(placer).or_default().push(attempt);
                    }
                }
                job::Life::Placed { .. } | job::Life::Unknown { .. } if task.stopping => {}
                job::Life::Asked { .. } | job::Life::Going { .. } => {}
                _ => {
                    self.watched.remove(&id);
                }
            }
        }
        for gang in &late_gangs {
            self.disband(now, gang);
        }
        self.write_marks(marks);
        for (placer, attempts) in going {
            self.send_go(now, &placer, attempts);
        }
    }

    /// A task may be anywhere, until every placer has told what it holds.
    pub(super) fn lose_sight(&mut self, now: Now, id: &ids::TaskId) {
        if let Some(task) = self.task_mut(id) {
            task.life = job::Life::Unknown { since: now.at };
        }
    }

    fn repeat_order(&mut self, now: Now, placer: &ids::MemberKey, id: &ids::TaskId) {
        let Some(mut order) = self.order_of(id) else {
            return;
        };
        if let Some(task) = self.task_mut(id) {
            order.attempt.number = task.attempt;
            order.hold = task.hold;
            task.life = job::Life::Asked {
                placer: placer.clone(),
                asked_at: now.at,
                unanswered: true,
            };
        }
        // The flag stays: a repeat that did not reach the placer tells nothing
        // of the first call. While it is in flight it is not repeated again
        // before its own timeout, because its failure sets the time anew.
        self.send_orders(placer, vec![order], true);
    }

    /// Asks holders for inventories, and decides what those that came tell.
    pub(super) fn poll_shards(&mut self, now: Now) {
        self.drop_vanished(now);
        self.resolve_unknown(now);
        let unknown_since = self.unknown_since();
        let retry = self.config.call_retry;
        let mut asked = IndexSet::new();
        for view in self.shards.values() {
            let known = view.confirmed_at.is_some() && view.complete;
            let enough = known && unknown_since.is_none_or(|since| view.tells_all_since(since));
            let rested = view.asked_at.is_none_or(|at| now.at >= at + retry);
            if !enough && rested && !view.in_flight && view.gone_at.is_none() {
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

    /// Worker shards whose holder has not told all that it has.
    pub(super) fn unconfirmed(&self) -> Vec<ids::ShardId> {
        let open = self.shards.iter().filter(|(_, view)| !view.complete);
        open.map(|(id, _)| id.clone()).collect()
    }

    fn unknown_since(&self) -> Option<time::Instant> {
        self.jobs
            .values()
            .filter(|job| job.record.ended.is_none())
            .flat_map(|job| job.tasks.values())
            .filter_map(|task| match task.life {
                job::Life::Unknown { since } => Some(since),
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
            self.on_tell(now, placer, &shard.tasks);
            self.describe(placer, &shard.tasks);
            if shard.complete {
                self.lose_missing(now, asked_at, &shard);
            }
        }
        self.resolve_unknown(now);
    }

    /// Tells a placer what the tasks are that it found running.
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

    /// Tasks that were on the shard and that its holder does not have are lost.
    fn lose_missing(&mut self, now: Now, asked_at: time::Instant, shard: &message::ShardInventory) {
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
                if let job::Life::Placed { place, since, .. } = &task.life
                    && wanted(&id, place, *since)
                {
                    found.push(id);
                }
            }
        }
        found
    }

    /// Tasks on a shard that is long gone have lapsed.
    fn drop_vanished(&mut self, now: Now) {
        let vanish = self.config.vanish;
        let gone: Vec<_> = self
            .shards
            .iter()
            .filter(|(_, view)| view.gone_at.is_some_and(|at| now.at >= at + vanish))
            .map(|(id, _)| id.clone())
            .collect();
        for shard in gone {
            self.shards.swap_remove(&shard);
            for id in self.placed_where(|_, place, _| place.shard == shard) {
                self.on_end(now, &id, message::End::Lost);
            }
        }
    }

    /// Tasks that no holder has cannot be running.
    fn resolve_unknown(&mut self, now: Now) {
        if self.shards.is_empty() || self.unknown_since().is_none() {
            return;
        }
        let mut resolved = Vec::new();
        for (id, job) in &self.jobs {
            for (index, task) in &job.tasks {
                let job::Life::Unknown { since } = task.life else {
                    continue;
                };
                if self.shards.values().all(|view| view.tells_all_since(since)) {
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
