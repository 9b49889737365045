//! Calls from homes: place, start, stop, acknowledge, describe, inventory.

use std::time;

use figscale_types::clock;
use figscale_types::ids;
use figscale_types::worker;

use super::Placer;
use super::task;
use crate::job::message;
use crate::job::placement;

impl Placer {
    /// Answers a home's call.
    pub fn answer(
        &mut self,
        now: time::Instant,
        valid_until: time::Instant,
        question: message::Question,
    ) -> message::Answer {
        match question {
            message::Question::Place(home, scope, orders) => {
                self.planner = placement::preempt::Planner::default();
                let admitted = self.record_home(&home) && !self.was_overtaken(&home, &scope);
                let answers = orders
                    .into_iter()
                    .map(|order| match admitted {
                        true => self.place(now, valid_until, &home, &scope, order),
                        false => message::OrderAnswer::StaleHome,
                    })
                    .collect();
                message::Answer::Place(answers, self.summary())
            }
            message::Question::Tell(..) => message::Answer::NotHere,
            other => self.answer_current_home(now, valid_until, other),
        }
    }

    fn answer_current_home(
        &mut self,
        now: time::Instant,
        valid_until: time::Instant,
        question: message::Question,
    ) -> message::Answer {
        let home = match &question {
            message::Question::Go(home, _)
            | message::Question::Stop(home, _)
            | message::Question::Inventory(home, _)
            | message::Question::Describe(home, _)
            | message::Question::Acknowledge(home, _) => home.clone(),
            _ => return message::Answer::NotHere,
        };
        if !self.record_home(&home) {
            return message::Answer::StaleHome;
        }
        match question {
            message::Question::Go(_, attempts) => message::Answer::Go(
                attempts
                    .iter()
                    .map(|attempt| self.go(now, valid_until, attempt))
                    .collect(),
            ),
            message::Question::Stop(_, tasks) => {
                for task in &tasks {
                    self.stop(task);
                }
                message::Answer::Noted
            }
            message::Question::Acknowledge(_, attempts) => {
                for attempt in &attempts {
                    self.acknowledge(attempt);
                }
                message::Answer::Noted
            }
            message::Question::Describe(_, orders) => {
                for order in &orders {
                    self.describe(order);
                }
                message::Answer::Noted
            }
            message::Question::Inventory(_, call) => {
                if let Some(seen) = self.homes.get_mut(&home.shard) {
                    seen.last_inventory = seen.last_inventory.max(call);
                }
                message::Answer::Inventory(self.inventory(now, &home))
            }
            _ => message::Answer::NotHere,
        }
    }

    /// Whether the call was sent before an inventory call that arrived earlier.
    fn was_overtaken(&self, home: &message::HomeKey, scope: &message::Scope) -> bool {
        self.homes
            .get(&home.shard)
            .is_some_and(|seen| scope.call < seen.last_inventory)
    }

    fn place(
        &mut self,
        now: time::Instant,
        valid_until: time::Instant,
        home: &message::HomeKey,
        scope: &message::Scope,
        order: message::TaskOrder,
    ) -> message::OrderAnswer {
        let id = order.attempt.task.clone();
        if let Some(known) = self.tasks.get_mut(&id) {
            if known.attempt == order.attempt.number && known.is_active() {
                known.home_epoch = home.epoch;
                return message::OrderAnswer::Placed(known.event(&id).place);
            }
            if known.is_active() || known.attempt >= order.attempt.number {
                return message::OrderAnswer::Busy;
            }
            // An order for a later attempt shows that the home has processed the end
            // of the earlier one.
            let earlier = message::Attempt {
                task: id.clone(),
                number: known.attempt,
            };
            self.acknowledge(&earlier);
        }
        if scope.repeat {
            return message::OrderAnswer::NotKnown;
        }
        if now >= valid_until {
            return message::OrderAnswer::NoRoom;
        }
        if !self.admits(&order) {
            return message::OrderAnswer::OverQuota;
        }
        let Some(worker) = self.reserve(now, scope, &order) else {
            self.preempt_for(scope, &order);
            return message::OrderAnswer::NoRoom;
        };
        let Some(session) = self.sessions.get(&worker) else {
            self.cluster.release(&id);
            return message::OrderAnswer::NoRoom;
        };
        let hold = order.hold;
        let task = task::Task {
            attempt: order.attempt.number,
            home: home.shard.clone(),
            home_epoch: home.epoch,
            shard: session.shard.clone(),
            worker,
            state: message::TaskState::Held,
            entry: Some(order.entry.clone()),
            order: Some(Box::new(order)),
            hold_until: Some(now + self.config.hold_timeout),
            start_bound: None,
            seen_running_at: None,
            ends_at: None,
            may_run_until: now,
            action: None,
            notified_at: None,
            home_informed: true,
        };
        let place = task.event(&id).place;
        self.tasks.insert(id.clone(), task);
        if !hold {
            self.start(now, valid_until, &id);
        }
        message::OrderAnswer::Placed(place)
    }

    fn go(
        &mut self,
        now: time::Instant,
        valid_until: time::Instant,
        attempt: &message::Attempt,
    ) -> message::GoAnswer {
        let state = self
            .tasks
            .get(&attempt.task)
            .filter(|task| task.attempt == attempt.number)
            .map(|task| task.state);
        match state {
            Some(message::TaskState::Held) => {
                self.start(now, valid_until, &attempt.task);
                message::GoAnswer::Going
            }
            Some(message::TaskState::Ended(message::End::NotStarted)) | None => {
                message::GoAnswer::NotStarted
            }
            Some(_) => message::GoAnswer::Going,
        }
    }

    /// Sends the start of a reserved task, or ends it as not started.
    fn start(&mut self, now: time::Instant, valid_until: time::Instant, id: &ids::TaskId) {
        let bound = valid_until.min(now + self.config.dispatch_window);
        let lease = self.config.lease;
        let Some(task) = self.tasks.get_mut(id) else {
            return;
        };
        let session = self.sessions.get(&task.worker);
        let not_after = session.and_then(|session| session.clock_at(bound));
        let epoch = self.shards.get(&task.shard).map(|shard| shard.epoch);
        let (Some(order), Some(session), Some(epoch), Some(not_after)) =
            (task.order.take(), session, epoch, not_after)
        else {
            return self.end(id, message::End::NotStarted);
        };
        if now >= bound {
            return self.end(id, message::End::NotStarted);
        }
        task.state = message::TaskState::Starting;
        task.hold_until = None;
        task.start_bound = Some(not_after);
        task.may_run_until = bound + lease;
        task.ends_at = Some(now + time::Duration::from_millis(order.run_ms));
        let call = super::StartCall {
            target: super::Target {
                worker: task.worker.clone(),
                address: session.address,
                epoch,
            },
            bound,
            start: worker::StartTask {
                task: id.clone(),
                attempt: task.attempt,
                epoch,
                home_epoch: task.home_epoch,
                lease_ms: clock::millis(lease),
                resources: order.resources,
                max_run_ms: order.max_run_ms,
                run_ms: order.run_ms,
                command: order.command,
                resume: order.resume,
                not_after: Some(not_after),
            },
        };
        self.actions.push(super::Action::Start(call));
    }

    /// Ends a task at the request of its home.
    fn stop(&mut self, id: &ids::TaskId) {
        let Some(task) = self.tasks.get_mut(id) else {
            return;
        };
        match task.state {
            message::TaskState::Held => self.end(id, message::End::NotStarted),
            message::TaskState::Starting | message::TaskState::Running => {
                task.action = Some(worker::TaskAction::Stop);
                self.send_action(id);
            }
            message::TaskState::Ended(_) => {}
        }
    }

    /// Sends the requested action on a task to its worker, if there is one.
    pub(super) fn send_action(&mut self, id: &ids::TaskId) {
        let Some(task) = self.tasks.get(id) else {
            return;
        };
        let session = self.sessions.get(&task.worker);
        let epoch = self.shards.get(&task.shard).map(|shard| shard.epoch);
        let (Some(action), Some(session), Some(epoch)) = (task.action, session, epoch) else {
            return;
        };
        self.actions.push(super::Action::Act(super::ActCall {
            target: super::Target {
                worker: task.worker.clone(),
                address: session.address,
                epoch,
            },
            act: worker::ActOnTask {
                epoch,
                task: id.clone(),
                action,
            },
        }));
    }

    /// Drops an end that its home has processed, and lets the worker drop it too.
    fn acknowledge(&mut self, attempt: &message::Attempt) {
        let Some(task) = self.tasks.get(&attempt.task) else {
            return;
        };
        if task.attempt != attempt.number || task.is_active() {
            return;
        }
        let worker = task.worker.clone();
        self.tasks.swap_remove(&attempt.task);
        if let Some(session) = self.sessions.get_mut(&worker) {
            session.forget.insert(attempt.task.clone());
        }
    }

    fn inventory(
        &self,
        now: time::Instant,
        home: &message::HomeKey,
    ) -> Vec<message::ShardInventory> {
        let of = |id: &ids::ShardId| {
            self.tasks
                .iter()
                .filter(|(_, task)| task.shard == *id && task.home == home.shard)
                .map(|(id, task)| task.event(id))
                .collect()
        };
        self.shards
            .iter()
            .map(|(id, shard)| message::ShardInventory {
                shard: id.clone(),
                epoch: shard.epoch,
                complete: now >= shard.lapsed_at,
                tasks: of(id),
            })
            .collect()
    }
}
