//! The queue of tasks: in which order they are placed, and the calls for it.

use std::time;

use figscale_types::catalogue;
use figscale_types::ids;
use figscale_types::sizes;
use figscale_types::verdict::Verdict;

use super::Action;
use super::Home;
use super::Now;
use super::job;
use super::placers;
use crate::job::message;

/// Most tasks without a placer that one pass skips before it ends.
const MAX_SKIPPED: usize = 1_000;

/// Position of a task in the queue: the smallest goes first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueKey {
    urgency: catalogue::Urgency,
    deadline_unix_ms: u64,
    start_tag: u64,
    accepted_unix_ms: u64,
    pub(super) task: ids::TaskId,
}

impl Home {
    /// Queues a task, or watches it until it may be queued.
    pub(super) fn enqueue(
        &mut self,
        now: Now,
        id: &ids::JobId,
        index: u32,
        not_before: time::Instant,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(task) = job.tasks.get_mut(&index) else {
            return;
        };
        task.stage = job::Stage::Queued { not_before };
        if task.stopping {
            task.stage = job::Stage::Ended(figscale_types::jobs::JobState::Cancelled);
            let job = id.clone();
            return self.release_start_tag(&ids::TaskId { job, index });
        }
        let spec = &job.record.spec;
        let start_tag = match task.start_tag {
            Some(start_tag) => start_tag,
            None => self.fair_queue.assign(&spec.owner, &spec.task),
        };
        task.start_tag = Some(start_tag);
        let task = ids::TaskId {
            job: id.clone(),
            index,
        };
        if not_before > now.at {
            self.watched.insert(task);
            return;
        }
        let accepted = job.record.accepted_unix_ms;
        let deadline = job.record.spec.deadline_ms;
        self.queue.insert(QueueKey {
            urgency: job.record.terms.urgency,
            deadline_unix_ms: deadline.map_or(u64::MAX, |ms| accepted.saturating_add(ms)),
            start_tag,
            accepted_unix_ms: accepted,
            task,
        });
    }

    /// Releases the start tag of a task that was placed or has ended.
    pub(super) fn release_start_tag(&mut self, id: &ids::TaskId) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let spec = &job.record.spec;
        let task = job.tasks.get_mut(&id.index);
        if task.is_some_and(|task| task.start_tag.take().is_some()) {
            self.fair_queue.record_served(&spec.owner, &spec.task);
        }
    }

    /// Has a task checked on every poll until it needs no more attention.
    pub(super) fn watch(&mut self, id: &ids::JobId, index: u32) {
        let job = id.clone();
        self.watched.insert(ids::TaskId { job, index });
    }

    pub(super) fn task_mut(&mut self, id: &ids::TaskId) -> Option<&mut job::Task> {
        self.jobs.get_mut(&id.job)?.tasks.get_mut(&id.index)
    }

    /// Sends orders for queued tasks to the placers that may have capacity.
    pub(super) fn poll_queue(&mut self, now: Now) {
        let mut pass = placers::Pass::new(now.at, self.own.clone(), self.config.max_call_orders);
        let mut dequeued = Vec::new();
        let mut skipped = 0;
        self.update_reserving_gang();
        // Moved out for the pass, which borrows other parts of the home mutably.
        let mut queue = std::mem::take(&mut self.queue);
        for key in &queue {
            if pass.is_exhausted() || skipped > MAX_SKIPPED {
                break;
            }
            let Some((size, is_queued)) = self.size_and_queued(&key.task) else {
                continue;
            };
            if !is_queued {
                dequeued.push(key.clone());
                continue;
            }
            if !self.may_reserve(&key.task.job) {
                continue;
            }
            match pass.choose(&self.placers, &size) {
                Some(placer) => {
                    dequeued.push(key.clone());
                    self.begin_reserving(&key.task.job);
                    if let Some(order) = self.order_of(&key.task) {
                        pass.add(placer, order);
                    }
                }
                None => skipped += 1,
            }
        }
        for key in &dequeued {
            queue.remove(key);
        }
        self.queue = queue;
        for (placer, orders) in pass.into_orders() {
            self.send_new_orders(now, &placer, orders);
        }
    }

    /// Size of a task and whether it is still queued; `None` if there is no such task.
    fn size_and_queued(&self, id: &ids::TaskId) -> Option<(sizes::Resources, bool)> {
        let Some(job) = self.jobs.get(&id.job) else {
            return Some((sizes::Resources::default(), false));
        };
        let task = job.tasks.get(&id.index)?;
        let queued = matches!(task.stage, job::Stage::Queued { .. });
        Some((job.record.spec.task, queued))
    }

    pub(super) fn order_of(&self, id: &ids::TaskId) -> Option<message::TaskOrder> {
        let job = self.jobs.get(&id.job)?;
        let task = job.tasks.get(&id.index)?;
        let spec = &job.record.spec;
        let terms = &job.record.terms;
        Some(message::TaskOrder {
            attempt: message::Attempt {
                task: id.clone(),
                number: task.attempt + 1,
            },
            owner: spec.owner.clone(),
            entry: spec.entry.clone(),
            class: terms.class,
            urgency: terms.urgency,
            resources: spec.task,
            run_ms: spec.run_ms,
            max_run_ms: terms.max_run_ms,
            command: spec.command.clone(),
            resume: task.checkpointed,
            idempotent: job.may_repeat(),
            checkpointable: spec.checkpointable,
            preemptible: terms.preemptible,
            hold: job.reserves_first() || self.document.has_end_of(id),
            avoid: task.avoid.clone(),
        })
    }

    fn send_new_orders(
        &mut self,
        now: Now,
        placer: &ids::MemberKey,
        orders: Vec<message::TaskOrder>,
    ) {
        for order in &orders {
            if let Some(task) = self.task_mut(&order.attempt.task) {
                task.attempt = order.attempt.number;
                task.hold = order.hold;
                task.stage = job::Stage::Asked {
                    placer: placer.clone(),
                    asked_at: now.at,
                    unanswered: false,
                };
            }
        }
        // One call at a time, so that orders of a later call cannot overtake those of an
        // earlier one.
        if let Some(view) = self.placers.get_mut(placer) {
            view.call_in_flight = true;
        }
        self.send_orders(placer, orders, false);
    }

    pub(super) fn send_orders(
        &mut self,
        placer: &ids::MemberKey,
        orders: Vec<message::TaskOrder>,
        repeat: bool,
    ) {
        let held = |(_, view): &(&ids::ShardId, &super::recover::ShardView)| {
            view.holder.as_ref() == Some(placer)
        };
        let shards = self.shards.iter().filter(held);
        let shards = shards.map(|(id, view)| (id.clone(), view.epoch)).collect();
        let scope = message::Scope {
            call: self.next_call(),
            repeat,
            shards,
        };
        let question = message::Question::Place(self.key.clone(), scope, orders);
        self.actions.push(Action::Call(placer.clone(), question));
    }

    pub(super) fn next_call(&mut self) -> u64 {
        self.call += 1;
        self.call
    }

    /// Applies the result of a call that was made at `asked_at`.
    pub fn on_call(
        &mut self,
        now: Now,
        placer: &ids::MemberKey,
        asked_at: time::Instant,
        question: message::Question,
        result: Result<message::Answer, Verdict>,
    ) {
        if let message::Question::Place(_, scope, _) = &question
            && !scope.repeat
            && let Some(view) = self.placers.get_mut(placer)
        {
            view.call_in_flight = false;
        }
        match (question, result) {
            (
                message::Question::Place(_, _, orders),
                Ok(message::Answer::Place(answers, summary)),
            ) => {
                if let Some(view) = self.placers.get_mut(placer) {
                    view.set_summary(summary);
                }
                for (order, answer) in orders.iter().zip(answers) {
                    self.on_order(now, placer, order, answer);
                }
            }
            (message::Question::Place(_, _, orders), failed) => {
                let not_run = matches!(failed, Ok(_) | Err(Verdict::NotRun));
                for order in &orders {
                    self.on_order_failed(now, placer, order, not_run);
                }
            }
            (message::Question::Go(_, attempts), Ok(message::Answer::Go(answers))) => {
                for (attempt, answer) in attempts.iter().zip(answers) {
                    self.on_go(now, placer, attempt, answer);
                }
            }
            (message::Question::Go(_, attempts), _) => {
                for attempt in &attempts {
                    self.on_go_failed(now, attempt);
                }
            }
            (message::Question::Inventory(..), Ok(message::Answer::Inventory(shards))) => {
                self.on_inventory(now, placer, asked_at, shards);
            }
            (message::Question::Inventory(..), _) => self.on_inventory_failed(placer),
            _ => {}
        }
    }

    /// Applies a summary pushed by a placer, which may have free resources again.
    pub fn on_summary(&mut self, placer: &ids::MemberKey, summary: message::Summary) {
        if let Some(view) = self.placers.get_mut(placer) {
            view.set_pushed_summary(summary);
        }
    }

    fn on_order(
        &mut self,
        now: Now,
        placer: &ids::MemberKey,
        order: &message::TaskOrder,
        answer: message::OrderAnswer,
    ) {
        let id = &order.attempt.task;
        let number = order.attempt.number;
        let current = |task: &&mut job::Task| {
            task.attempt == number && matches!(task.stage, job::Stage::Asked { .. })
        };
        let Some(task) = self.task_mut(id).filter(current) else {
            return;
        };
        let unanswered = matches!(
            task.stage,
            job::Stage::Asked {
                unanswered: true,
                ..
            }
        );
        match answer {
            message::OrderAnswer::NotKnown => self.mark_unknown(now, id),
            // The refusal is for the repeat only; the first call may have placed the task.
            message::OrderAnswer::StaleHome | message::OrderAnswer::Busy if unanswered => {
                self.mark_unknown(now, id);
            }
            message::OrderAnswer::Placed(place) => {
                if let Some(view) = self.placers.get_mut(placer) {
                    view.record_placed(&order.resources);
                }
                self.release_start_tag(id);
                let Some(task) = self.task_mut(id) else {
                    return;
                };
                task.worker = Some(place.worker.clone());
                if order.hold {
                    task.stage = job::Stage::Held {
                        placer: placer.clone(),
                        place,
                        since: now.at,
                        marked: false,
                    };
                    self.watched.insert(id.clone());
                } else {
                    let stopping = task.stopping;
                    task.stage = job::Stage::Placed {
                        place,
                        since: now.at,
                        running: false,
                    };
                    if stopping {
                        self.watched.insert(id.clone());
                    }
                }
            }
            message::OrderAnswer::OverQuota => {
                task.attempt -= 1;
                let later = now.at + self.config.call_retry;
                let reason = format!("owner {} is at its quota", order.owner);
                self.set_refusal(&id.job, reason);
                self.enqueue(now, &id.job, id.index, later);
                self.end_if_all_ended(now, &id.job);
            }
            message::OrderAnswer::NoRoom => {
                task.attempt -= 1;
                self.set_refusal(&id.job, "no worker has room for it now".to_owned());
                let until = now.at + self.config.room_retry;
                if let Some(view) = self.placers.get_mut(placer) {
                    view.record_refusal(order.resources, until);
                }
                self.enqueue(now, &id.job, id.index, now.at);
                self.end_if_all_ended(now, &id.job);
            }
            message::OrderAnswer::StaleHome | message::OrderAnswer::Busy => {
                task.attempt -= 1;
                let later = now.at + self.config.call_retry;
                self.enqueue(now, &id.job, id.index, later);
                self.end_if_all_ended(now, &id.job);
            }
        }
    }

    fn set_refusal(&mut self, id: &ids::JobId, reason: String) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.refusal = Some(reason);
        }
    }

    fn on_order_failed(
        &mut self,
        now: Now,
        placer: &ids::MemberKey,
        order: &message::TaskOrder,
        not_run: bool,
    ) {
        let id = &order.attempt.task;
        let number = order.attempt.number;
        let Some(task) = self.task_mut(id).filter(|task| task.attempt == number) else {
            return;
        };
        let job::Stage::Asked { unanswered, .. } = &mut task.stage else {
            return;
        };
        // If a repeat was not run, the first call may still have been.
        if not_run && !*unanswered {
            task.attempt -= 1;
            let later = now.at + self.config.call_retry;
            let until = now.at + self.config.room_retry;
            if let Some(view) = self.placers.get_mut(placer) {
                view.record_refusal(sizes::Resources::default(), until);
            }
            self.enqueue(now, &id.job, id.index, later);
            self.end_if_all_ended(now, &id.job);
            return;
        }
        task.stage = job::Stage::Asked {
            placer: placer.clone(),
            asked_at: now.at,
            unanswered: true,
        };
        self.watched.insert(id.clone());
    }

    fn on_go(
        &mut self,
        now: Now,
        _placer: &ids::MemberKey,
        attempt: &message::Attempt,
        answer: message::GoAnswer,
    ) {
        let Some(task) = self.task_mut(&attempt.task) else {
            return;
        };
        if task.attempt != attempt.number {
            return;
        }
        let job::Stage::Going { place, .. } = &task.stage else {
            return;
        };
        match answer {
            message::GoAnswer::Going => {
                task.stage = job::Stage::Placed {
                    place: place.clone(),
                    since: now.at,
                    running: false,
                };
            }
            message::GoAnswer::NotStarted => {
                self.on_end(now, &attempt.task, message::End::NotStarted);
            }
        }
    }

    fn on_go_failed(&mut self, now: Now, attempt: &message::Attempt) {
        let Some(task) = self.task_mut(&attempt.task) else {
            return;
        };
        if task.attempt != attempt.number {
            return;
        }
        if let job::Stage::Going {
            in_flight,
            asked_at,
            ..
        } = &mut task.stage
        {
            *in_flight = false;
            *asked_at = now.at;
            self.watched.insert(attempt.task.clone());
        }
    }
}
