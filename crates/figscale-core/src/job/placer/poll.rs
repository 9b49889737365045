//! What becomes due with time.

use std::time;

use figscale_types::clock;
use figscale_types::ids;
use figscale_types::worker;
use indexmap::IndexMap;
use indexmap::IndexSet;

use super::Action;
use super::Placer;
use super::task;
use crate::job::message;

/// Time given to a task beyond its declared run time before its end is asked for.
const END_GRACE: time::Duration = time::Duration::from_millis(20);

impl Placer {
    /// Everything to be done now; call after each input and at least every 100 ms.
    pub fn poll(&mut self, now: time::Instant, valid_until: time::Instant) -> Vec<Action> {
        self.expire(now);
        self.renew(now, valid_until);
        self.tell(now);
        std::mem::take(&mut self.actions)
    }

    /// Gives back reservations and gives up tasks whose lease must have lapsed.
    fn expire(&mut self, now: time::Instant) {
        let margin = self.config.margin;
        let due: Vec<_> = self
            .tasks
            .iter()
            .filter_map(|(id, task)| match task.state {
                message::TaskState::Held => task
                    .hold_until
                    .is_some_and(|until| now >= until)
                    .then(|| (id.clone(), message::End::NotStarted)),
                message::TaskState::Ended(_) => None,
                _ => (now >= task.may_run_until + margin).then(|| (id.clone(), message::End::Lost)),
            })
            .collect();
        for (id, end) in due {
            self.end(&id, end);
        }
        self.forget_unlisted();
        self.open_workers(now);
        self.probe_workers(now);
        self.empty_leaving();
    }

    /// Forgets workers that are no more listed and have nothing left here.
    fn forget_unlisted(&mut self) {
        let busy = |id: &ids::InstanceId| self.tasks.values().any(|task| task.worker == *id);
        let gone: Vec<_> = self
            .sessions
            .iter()
            .filter(|(id, session)| !session.listed && !busy(id))
            .map(|(id, _)| id.clone())
            .collect();
        for id in gone {
            self.sessions.swap_remove(&id);
            self.cluster.remove_worker(&id);
            self.faults.forget_worker(&id);
        }
    }

    fn renew(&mut self, now: time::Instant, valid_until: time::Instant) {
        let bound = valid_until.min(now + self.config.window);
        if now >= bound {
            return;
        }
        let ending = self.workers_with_ends(now);
        let due: Vec<_> = self
            .sessions
            .iter()
            .filter(|(_, session)| !session.fenced && session.asked_at.is_none())
            .filter(|(id, session)| {
                let busy = !session.proven && self.tasks.values().any(|t| t.worker == **id);
                let pause = match session.hurry || busy || ending.contains(*id) {
                    true => self.config.renew / 8,
                    false => self.config.renew,
                };
                session.sent_at.is_none_or(|sent| now >= sent + pause)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            self.renew_worker(now, bound, &id);
        }
    }

    /// Workers on which a task should have ended since they were last asked.
    ///
    /// One call more for an end frees its room at once, instead of at the next
    /// renewal.
    fn workers_with_ends(&self, now: time::Instant) -> IndexSet<ids::InstanceId> {
        let due = |task: &&task::Task| {
            let sent = self.sessions.get(&task.worker).and_then(|s| s.sent_at);
            let ends_at = task.ends_at.map(|at| at + END_GRACE);
            task.may_run() && ends_at.is_some_and(|at| now >= at && sent.is_none_or(|s| s < at))
        };
        let tasks = self.tasks.values().filter(due);
        tasks.map(|task| task.worker.clone()).collect()
    }

    fn renew_worker(&mut self, now: time::Instant, bound: time::Instant, id: &ids::InstanceId) {
        let Some(session) = self.sessions.get_mut(id) else {
            return;
        };
        let Some(shard) = self.shards.get(&session.shard) else {
            return;
        };
        session.sent_at = Some(now);
        session.asked_at = Some(now);
        session.hurry = !session.has_reported();
        // A worker that does not answer gets no more renewals: its tasks are to
        // lapse at a time that is known.
        let answers = now.saturating_duration_since(session.heard_at) < self.config.lease;
        let not_after = session.clock_at(bound);
        let mut tasks = Vec::new();
        let mut wanted = Vec::new();
        for (task_id, task) in &mut self.tasks {
            if task.worker != *id || !task.may_run() {
                continue;
            }
            if task.action.is_some() {
                wanted.push(task_id.clone());
            }
            if answers && not_after.is_some() {
                task.may_run_until = task.may_run_until.max(bound + self.config.lease);
                tasks.push(task_id.clone());
            }
        }
        let epoch = shard.epoch;
        self.actions.push(Action::Renew(super::RenewCall {
            target: super::Target {
                worker: id.clone(),
                address: session.address,
                epoch,
            },
            bound,
            renew: worker::Renew {
                epoch,
                lease_ms: clock::millis(self.config.lease),
                tasks,
                forget: session.forget.iter().cloned().collect(),
                not_after,
            },
        }));
        for task in wanted {
            self.send_action(&task);
        }
    }

    /// Tells homes what they have not acknowledged.
    fn tell(&mut self, now: time::Instant) {
        let mut news: IndexMap<ids::ShardId, Vec<message::TaskEvent>> = IndexMap::new();
        for (id, task) in &mut self.tasks {
            let ended = !task.is_active();
            let wanted = ended || !task.noted;
            let due = task
                .told_at
                .is_none_or(|told| now >= told + self.config.tell);
            if !wanted || !due {
                continue;
            }
            task.told_at = Some(now);
            news.entry(task.home.clone())
                .or_default()
                .push(task.event(id));
        }
        let tells = news
            .into_iter()
            .map(|(home, events)| Action::Tell(home, events));
        self.actions.extend(tells);
    }

    /// Notes that a home took note of attempts that run.
    pub fn on_told(&mut self, events: &[message::TaskEvent]) {
        for event in events {
            if let Some(task) = self.tasks.get_mut(&event.attempt.task)
                && task.attempt == event.attempt.number
                && task.state == event.state
            {
                task.noted = true;
            }
        }
    }
}
