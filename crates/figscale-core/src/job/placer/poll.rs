//! Timed work: expiry of reservations and leases, renewals, notification of homes.

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

/// Time beyond a task's declared run time after which its worker is asked for a report.
const END_GRACE: time::Duration = time::Duration::from_millis(20);

impl Placer {
    /// Returns the actions due now; call after each input and at least every 100 ms.
    pub fn poll(&mut self, now: time::Instant, valid_until: time::Instant) -> Vec<Action> {
        self.expire(now);
        self.renew(now, valid_until);
        self.notify_homes(now);
        std::mem::take(&mut self.actions)
    }

    /// Releases expired reservations and ends tasks whose lease must have lapsed.
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
        self.drop_unlisted();
        self.update_open_workers(now);
        self.probe_workers(now);
        self.vacate_leaving_workers();
    }

    /// Drops workers that are no longer registered and have no tasks here.
    fn drop_unlisted(&mut self) {
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
        let bound = valid_until.min(now + self.config.dispatch_window);
        if now >= bound {
            return;
        }
        let ending = self.workers_with_ends(now);
        let due: Vec<_> = self
            .sessions
            .iter()
            .filter(|(_, session)| !session.fenced && session.in_flight_since.is_none())
            .filter(|(id, session)| {
                let busy = !session.proven && self.tasks.values().any(|t| t.worker == **id);
                let pause = match session.report_wanted || busy || ending.contains(*id) {
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

    /// Workers on which a task should have ended since the last renewal was sent.
    ///
    /// The additional call frees the task's resources at once, instead of at the
    /// next regular renewal.
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
        session.in_flight_since = Some(now);
        session.report_wanted = !session.has_reported();
        // Tasks of a worker that does not respond are no longer renewed, so that
        // they lapse at a known time.
        let responsive = now.saturating_duration_since(session.last_report_at) < self.config.lease;
        let not_after = session.clock_at(bound);
        let mut tasks = Vec::new();
        let mut with_action = Vec::new();
        for (task_id, task) in &mut self.tasks {
            if task.worker != *id || !task.may_run() {
                continue;
            }
            if task.action.is_some() {
                with_action.push(task_id.clone());
            }
            if responsive && not_after.is_some() {
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
        for task in with_action {
            self.send_action(&task);
        }
    }

    /// Sends homes the status updates that they have not confirmed.
    fn notify_homes(&mut self, now: time::Instant) {
        let mut updates: IndexMap<ids::ShardId, Vec<message::TaskEvent>> = IndexMap::new();
        for (id, task) in &mut self.tasks {
            let ended = !task.is_active();
            let unconfirmed = ended || !task.home_informed;
            let due = task
                .notified_at
                .is_none_or(|sent| now >= sent + self.config.notify_interval);
            if !unconfirmed || !due {
                continue;
            }
            task.notified_at = Some(now);
            updates
                .entry(task.home.clone())
                .or_default()
                .push(task.event(id));
        }
        let calls = updates
            .into_iter()
            .map(|(home, events)| Action::NotifyHome(home, events));
        self.actions.extend(calls);
    }

    /// Records that a home has received status updates.
    pub fn on_updates_confirmed(&mut self, events: &[message::TaskEvent]) {
        for event in events {
            if let Some(task) = self.tasks.get_mut(&event.attempt.task)
                && task.attempt == event.attempt.number
                && task.state == event.state
            {
                task.home_informed = true;
            }
        }
    }
}
