//! What placers tell, and what becomes of a task when an attempt ends.

use figscale_types::catalogue;
use figscale_types::ids;
use figscale_types::jobs;
use indexmap::IndexMap;

use super::Action;
use super::Home;
use super::Now;
use super::job;
use crate::job::message;

/// Doublings of the backoff at most.
const MAX_DOUBLINGS: u32 = 7;
/// Failed workers that a task avoids at most.
const MAX_AVOIDED: usize = 5;

impl Home {
    /// Takes news from a placer; ends are acknowledged once they are written.
    pub fn on_tell(&mut self, now: Now, placer: &ids::MemberKey, events: &[message::TaskEvent]) {
        if self.fenced || !self.document.is_mine() {
            return;
        }
        let mut settled = Vec::new();
        let mut stray = Vec::new();
        for event in events {
            match self.on_event(now, placer, event) {
                Take::Taken => {}
                Take::Settled => settled.push(event.attempt.clone()),
                Take::Stray => stray.push(event.attempt.task.clone()),
            }
        }
        if !settled.is_empty() {
            let question = message::Question::Acknowledge(self.key.clone(), settled);
            self.actions.push(Action::Call(placer.clone(), question));
        }
        if !stray.is_empty() {
            let question = message::Question::Stop(self.key.clone(), stray);
            self.actions.push(Action::Call(placer.clone(), question));
        }
    }

    fn on_event(&mut self, now: Now, placer: &ids::MemberKey, event: &message::TaskEvent) -> Take {
        let id = &event.attempt.task;
        let ended = match event.state {
            message::TaskState::Ended(end) => Some(end),
            _ => None,
        };
        let foreign = match ended {
            Some(_) => Take::Settled,
            None => Take::Stray,
        };
        // A later attempt may run somewhere, which only the placers' inventories
        // tell. Taken for the end of the present attempt, one that was told
        // again after a change of homes had its task run on two workers.
        let known_end = self.has_dealt_with(&event.attempt);
        let Some(task) = self.task_mut(id) else {
            return foreign;
        };
        if known_end && matches!(task.life, job::Life::Unknown { .. }) {
            return self.on_stale(event, foreign);
        }
        let unknown = matches!(task.life, job::Life::Unknown { .. });
        if unknown && event.attempt.number >= task.attempt {
            task.attempt = event.attempt.number;
        }
        let present = !matches!(task.life, job::Life::Queued { .. } | job::Life::Ended(_));
        if event.attempt.number != task.attempt || !present {
            return self.on_stale(event, foreign);
        }
        task.worker = Some(event.place.worker.clone());
        if let Some(end) = ended {
            self.on_end(now, id, end);
            self.document.end(placer.clone(), event.attempt.clone());
            return Take::Taken;
        }
        if event.state == message::TaskState::Held {
            return Take::Taken;
        }
        let stopping = task.stopping;
        task.life = job::Life::Placed {
            place: event.place.clone(),
            since: now.at,
            running: event.state == message::TaskState::Running,
        };
        if stopping {
            self.watched.insert(id.clone());
        }
        Take::Taken
    }

    /// Whether the document says that an attempt has ended and was followed up.
    fn has_dealt_with(&self, attempt: &message::Attempt) -> bool {
        let job = self.jobs.get(&attempt.task.job);
        let record = job.and_then(|job| job.record.tasks.get(&attempt.task.index));
        // With a start mark the number is that of the attempt under way.
        record.is_some_and(|record| !record.started && attempt.number <= record.attempts)
    }

    /// News of an attempt that is not the present one, or of a task that ended.
    fn on_stale(&self, event: &message::TaskEvent, foreign: Take) -> Take {
        // An end whose write is under way is acknowledged after it.
        let waits = self.document.has_end(&event.attempt);
        match waits {
            true => Take::Taken,
            false => foreign,
        }
    }

    /// Decides what becomes of a task whose present attempt ended.
    pub(super) fn on_end(&mut self, now: Now, id: &ids::TaskId, end: message::End) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let repeat = job.may_repeat();
        let service = job.record.terms.class == catalogue::JobClass::Service;
        let Some(task) = job.tasks.get_mut(&id.index) else {
            return;
        };
        let next = match end {
            message::End::Done if service => Next::Again { failed: false },
            message::End::Done => Next::Ended(jobs::JobState::Done),
            message::End::NotStarted if task.stopping => Next::Ended(jobs::JobState::Cancelled),
            message::End::NotStarted => Next::Again { failed: false },
            message::End::Checkpointed if !task.stopping => {
                task.checkpointed = true;
                Next::Again { failed: false }
            }
            _ if task.stopping && repeat => Next::Ended(jobs::JobState::Cancelled),
            message::End::Stopped | message::End::Checkpointed if task.stopping => {
                Next::Ended(jobs::JobState::Cancelled)
            }
            message::End::Failed if repeat => Next::Again { failed: true },
            message::End::Failed => Next::Ended(jobs::JobState::Failed),
            _ if repeat => Next::Again { failed: false },
            _ => Next::Ended(jobs::JobState::MayHaveRun),
        };
        match next {
            Next::Ended(state) => self.end_task(now, id, state),
            Next::Again { failed } => self.run_again(now, id, failed, end),
        }
        self.document.touch();
    }

    fn end_task(&mut self, now: Now, id: &ids::TaskId, state: jobs::JobState) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        if let Some(task) = job.tasks.get_mut(&id.index) {
            task.life = job::Life::Ended(state);
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
        self.settle(now, &id.job);
    }

    fn run_again(&mut self, now: Now, id: &ids::TaskId, failed: bool, end: message::End) {
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
            not_before += backoff * 2_u32.pow(task.failures.min(MAX_DOUBLINGS) - 1);
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
        self.settle(now, &id.job);
    }

    /// Ends a job whose tasks have all ended.
    pub(super) fn settle(&mut self, now: Now, id: &ids::JobId) {
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
        self.document.touch();
    }

    /// The start mark of a task is written: it may start.
    pub(super) fn marked(&mut self, _now: Now, id: &ids::TaskId) {
        if let Some(task) = self.task_mut(id)
            && let job::Life::Held { marked, .. } = &mut task.life
        {
            *marked = true;
        }
    }

    /// Looks after tasks with room: stops, repeats of calls.
    pub(super) fn poll_placed(&mut self, now: Now) {
        let mut stops: IndexMap<ids::MemberKey, Vec<ids::TaskId>> = IndexMap::new();
        for id in self.watched.clone() {
            let retry = self.config.call_retry;
            let job = self.jobs.get_mut(&id.job);
            let Some(task) = job.and_then(|job| job.tasks.get_mut(&id.index)) else {
                continue;
            };
            let (job::Life::Placed { place, .. }, true) = (&task.life, task.stopping) else {
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

/// What to do about an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Take {
    /// It is dealt with, or will be acknowledged later.
    Taken,
    /// Its end is of no more use and can be forgotten.
    Settled,
    /// The task is not to run there.
    Stray,
}

/// What becomes of a task.
#[derive(Clone, Copy, Debug)]
enum Next {
    /// It ended.
    Ended(jobs::JobState),
    /// It is queued again.
    Again { failed: bool },
}
