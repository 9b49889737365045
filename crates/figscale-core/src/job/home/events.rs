//! Status updates from placers, and what follows the end of an attempt: the task
//! ends too, or is queued again.

use figscale_types::catalogue;
use figscale_types::ids;
use figscale_types::jobs;
use indexmap::IndexMap;

use super::Action;
use super::Home;
use super::Now;
use super::job;
use crate::job::message;

/// Number of failures up to which the backoff grows; it doubles after each but the first.
const MAX_BACKOFF_FAILURES: u32 = 7;
/// Most workers with failures that a task avoids.
const MAX_AVOIDED: usize = 5;

impl Home {
    /// Applies status updates from a placer; ends are acknowledged once they are written.
    pub fn on_updates(&mut self, now: Now, placer: &ids::MemberKey, events: &[message::TaskEvent]) {
        if self.fenced || !self.document.is_owned() {
            return;
        }
        let mut obsolete = Vec::new();
        let mut orphans = Vec::new();
        for event in events {
            match self.on_event(now, placer, event) {
                Handled::Applied => {}
                Handled::Obsolete => obsolete.push(event.attempt.clone()),
                Handled::Orphan => orphans.push(event.attempt.task.clone()),
            }
        }
        if !obsolete.is_empty() {
            let question = message::Question::Acknowledge(self.key.clone(), obsolete);
            self.actions.push(Action::Call(placer.clone(), question));
        }
        if !orphans.is_empty() {
            let question = message::Question::Stop(self.key.clone(), orphans);
            self.actions.push(Action::Call(placer.clone(), question));
        }
    }

    fn on_event(
        &mut self,
        now: Now,
        placer: &ids::MemberKey,
        event: &message::TaskEvent,
    ) -> Handled {
        let id = &event.attempt.task;
        let ended = match event.state {
            message::TaskState::Ended(end) => Some(end),
            _ => None,
        };
        let if_not_current = match ended {
            Some(_) => Handled::Obsolete,
            None => Handled::Orphan,
        };
        // An earlier home has already recorded this end. A later attempt may run
        // somewhere, which only the placers' inventories show. When a repeated
        // end of this kind was taken for the end of the current attempt after a
        // change of homes, the task ran on two workers.
        let known_end = self.has_recorded_end(&event.attempt);
        let Some(task) = self.task_mut(id) else {
            return if_not_current;
        };
        if known_end && matches!(task.stage, job::Stage::Unknown { .. }) {
            return self.on_stale(event, if_not_current);
        }
        let unknown = matches!(task.stage, job::Stage::Unknown { .. });
        if unknown && event.attempt.number >= task.attempt {
            task.attempt = event.attempt.number;
        }
        let is_open = !matches!(task.stage, job::Stage::Queued { .. } | job::Stage::Ended(_));
        if event.attempt.number != task.attempt || !is_open {
            return self.on_stale(event, if_not_current);
        }
        task.worker = Some(event.place.worker.clone());
        if let Some(end) = ended {
            self.on_end(now, id, end);
            self.document.end(placer.clone(), event.attempt.clone());
            return Handled::Applied;
        }
        if event.state == message::TaskState::Held {
            return Handled::Applied;
        }
        let stopping = task.stopping;
        task.stage = job::Stage::Placed {
            place: event.place.clone(),
            since: now.at,
            running: event.state == message::TaskState::Running,
        };
        if stopping {
            self.watched.insert(id.clone());
        }
        Handled::Applied
    }

    /// Whether the job's record shows that the attempt has ended.
    fn has_recorded_end(&self, attempt: &message::Attempt) -> bool {
        let job = self.jobs.get(&attempt.task.job);
        let record = job.and_then(|job| job.record.tasks.get(&attempt.task.index));
        // With a start mark, the recorded number is that of the current attempt.
        record.is_some_and(|record| !record.started && attempt.number <= record.attempts)
    }

    /// Handles an update of an attempt that is not current, or of a task that ended.
    fn on_stale(&self, event: &message::TaskEvent, if_not_current: Handled) -> Handled {
        // An end that is not written yet is acknowledged once it is.
        let unwritten = self.document.has_end(&event.attempt);
        match unwritten {
            true => Handled::Applied,
            false => if_not_current,
        }
    }

    /// Ends a task whose current attempt ended, or queues it again.
    pub(super) fn on_end(&mut self, now: Now, id: &ids::TaskId, end: message::End) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let may_repeat = job.may_repeat();
        let service = job.record.terms.class == catalogue::JobClass::Service;
        let Some(task) = job.tasks.get_mut(&id.index) else {
            return;
        };
        let next = match end {
            message::End::Done if service => Next::Requeue { failed: false },
            message::End::Done => Next::Ended(jobs::JobState::Done),
            message::End::NotStarted if task.stopping => Next::Ended(jobs::JobState::Cancelled),
            message::End::NotStarted => Next::Requeue { failed: false },
            message::End::Checkpointed if !task.stopping => {
                task.checkpointed = true;
                Next::Requeue { failed: false }
            }
            _ if task.stopping && may_repeat => Next::Ended(jobs::JobState::Cancelled),
            message::End::Stopped | message::End::Checkpointed if task.stopping => {
                Next::Ended(jobs::JobState::Cancelled)
            }
            message::End::Failed if may_repeat => Next::Requeue { failed: true },
            message::End::Failed => Next::Ended(jobs::JobState::Failed),
            _ if may_repeat => Next::Requeue { failed: false },
            _ => Next::Ended(jobs::JobState::MayHaveRun),
        };
        match next {
            Next::Ended(state) => self.end_task(now, id, state),
            Next::Requeue { failed } => self.requeue(now, id, failed, end),
        }
        self.document.mark_dirty();
    }

    fn end_task(&mut self, now: Now, id: &ids::TaskId, state: jobs::JobState) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        if let Some(task) = job.tasks.get_mut(&id.index) {
            task.stage = job::Stage::Ended(state);
        }
        let attempt = job.tasks.get(&id.index).map_or(0, |task| task.attempt);
        let record = job.task_record(id.index);
        record.ended = Some(state);
        record.attempts = attempt;
        if state == jobs::JobState::MayHaveRun {
            job.record.reason = Some(format!(
                "task {} may have run; its end is unknown",
                id.index
            ));
        }
        self.end_if_all_ended(now, &id.job);
    }

    fn requeue(&mut self, now: Now, id: &ids::TaskId, failed: bool, end: message::End) {
        let backoff = self.config.backoff;
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let service = job.record.terms.class == catalogue::JobClass::Service;
        let max_attempts = job.record.terms.max_attempts;
        let Some(task) = job.tasks.get_mut(&id.index) else {
            return;
        };
        let mut not_before = now.at;
        if failed {
            task.failures += 1;
            task.avoid.extend(task.worker.clone());
            let surplus = task.avoid.len().saturating_sub(MAX_AVOIDED);
            task.avoid.drain(..surplus);
            not_before += backoff * 2_u32.pow(task.failures.min(MAX_BACKOFF_FAILURES) - 1);
        }
        if end == message::End::NotStarted {
            not_before += backoff / 5;
        }
        let (failures, attempt) = (task.failures, task.attempt);
        let checkpointed = task.checkpointed;
        if failed && !service && failures >= max_attempts {
            job.record.reason = Some(format!(
                "task {} failed {failures} times, last on {}",
                id.index,
                job.tasks
                    .get(&id.index)
                    .and_then(|task| task.worker.as_ref())
                    .map_or("an unknown worker", |worker| worker.as_str()),
            ));
            return self.end_task(now, id, jobs::JobState::Failed);
        }
        let record = job.task_record(id.index);
        record.attempts = attempt;
        record.started = false;
        record.checkpointed = checkpointed;
        self.enqueue(now, &id.job, id.index, not_before);
        self.end_if_all_ended(now, &id.job);
    }

    /// Ends the job if all its tasks have ended.
    pub(super) fn end_if_all_ended(&mut self, now: Now, id: &ids::JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.record.ended.is_some() {
            return;
        }
        let Some(state) = job.final_state() else {
            return;
        };
        job.record.ended = Some(state);
        job.record.ended_unix_ms = now.unix_ms;
        self.document.mark_dirty();
    }

    /// Records that the start mark of a task is written: it may start.
    pub(super) fn on_start_marked(&mut self, _now: Now, id: &ids::TaskId) {
        if let Some(task) = self.task_mut(id)
            && let job::Stage::Held { marked, .. } = &mut task.stage
        {
            *marked = true;
        }
    }

    /// Sends and repeats the stops of placed tasks that are being cancelled.
    pub(super) fn poll_stops(&mut self, now: Now) {
        let mut stops: IndexMap<ids::MemberKey, Vec<ids::TaskId>> = IndexMap::new();
        for id in self.watched.clone() {
            let retry = self.config.call_retry;
            let job = self.jobs.get_mut(&id.job);
            let Some(task) = job.and_then(|job| job.tasks.get_mut(&id.index)) else {
                continue;
            };
            let (job::Stage::Placed { place, .. }, true) = (&task.stage, task.stopping) else {
                continue;
            };
            if task.stop_sent.is_some_and(|sent| now.at < sent + retry) {
                continue;
            }
            let holder = self
                .shards
                .get(&place.shard)
                .and_then(|view| view.holder.clone());
            if let Some(holder) = holder {
                task.stop_sent = Some(now.at);
                stops.entry(holder).or_default().push(id);
            }
        }
        for (placer, tasks) in stops {
            let question = message::Question::Stop(self.key.clone(), tasks);
            self.actions.push(Action::Call(placer, question));
        }
    }
}

/// How an event was handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Handled {
    /// It was applied, or needs nothing now; an end is acknowledged once written.
    Applied,
    /// It is an end that needs no write: it can be acknowledged at once.
    Obsolete,
    /// The task must not run there: it is to be stopped.
    Orphan,
}

/// What happens to a task after the end of an attempt.
#[derive(Clone, Copy, Debug)]
enum Next {
    /// It ended.
    Ended(jobs::JobState),
    /// It is queued again.
    Requeue { failed: bool },
}
