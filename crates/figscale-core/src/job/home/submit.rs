//! Requests of owners: submit, status, cancel, list.

use figscale_types::clock;
use figscale_types::ids;
use figscale_types::jobs;
use figscale_types::operator;
use indexmap::IndexMap;

use super::Home;
use super::Now;
use super::ReplyTo;
use super::job;

/// Estimated size of a job's record without its command and its tasks.
const RECORD_BYTES: usize = 420;
/// Estimated size of a task's record.
const TASK_RECORD_BYTES: usize = 90;
/// Time after which callers should retry while a home is taking over, in milliseconds.
const TAKEOVER_RETRY_MS: u64 = 500;
/// Time after which callers should retry while the document is full, in milliseconds.
const FULL_RETRY_MS: u64 = 5_000;

/// A job to accept.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Id chosen by the caller.
    pub id: ids::JobId,
    /// The job.
    pub spec: jobs::JobSpec,
    /// Terms of its catalogue entry.
    pub terms: jobs::JobTerms,
}

impl Home {
    /// Accepts a job once it is written; the response follows as an action.
    pub fn submit(&mut self, now: Now, reply_to: ReplyTo, submission: Submission) {
        let Submission { id, spec, terms } = submission;
        if let Some(known) = self.jobs.get(&id) {
            if known.record.spec != spec {
                let message = format!("job {id} exists and is another one");
                return self.refuse(reply_to, operator::ErrorKind::Conflict, message, None);
            }
            if known.written {
                let status = known.status(&id, true);
                return self.answer(reply_to, Ok(status));
            }
        }
        if let Err(error) = self.check_open() {
            return self.answer(reply_to, Err(error));
        }
        if !self.jobs.contains_key(&id) {
            let job = new_job(now, spec, terms);
            let used: usize = self.jobs.values().map(|job| job.bytes).sum();
            if used + job.bytes > self.config.max_document_bytes {
                let message = "the home of this job keeps as many jobs as it can".to_owned();
                return self.refuse(
                    reply_to,
                    operator::ErrorKind::Unavailable,
                    message,
                    Some(FULL_RETRY_MS),
                );
            }
            self.jobs.insert(id.clone(), job);
        }
        self.document.submit(id, reply_to);
    }

    /// The status of a job.
    pub fn status(&self, id: &ids::JobId) -> super::Outcome {
        match self.jobs.get(id) {
            Some(job) if job.written => Ok(job.status(id, true)),
            _ if !self.document.is_owned() => Err(taking_over()),
            _ => Err(unknown_job(id)),
        }
    }

    /// Lists jobs, of one owner or of all.
    pub fn list(&self, owner: Option<&ids::OwnerName>) -> Vec<(u64, jobs::JobStatus)> {
        self.jobs
            .iter()
            .filter(|(_, job)| job.written)
            .filter(|(_, job)| owner.is_none_or(|owner| job.record.spec.owner == *owner))
            .map(|(id, job)| (job.record.accepted_unix_ms, job.status(id, false)))
            .collect()
    }

    /// Cancels a job; the response follows once the cancellation is written.
    pub fn cancel(&mut self, now: Now, reply_to: ReplyTo, id: &ids::JobId) {
        if let Err(error) = self.check_open() {
            return self.answer(reply_to, Err(error));
        }
        let Some(job) = self.jobs.get_mut(id).filter(|job| job.written) else {
            return self.answer(reply_to, Err(unknown_job(id)));
        };
        if job.record.ended.is_some() {
            let status = job.status(id, true);
            return self.answer(reply_to, Ok(status));
        }
        job.record.cancelled = true;
        for task in job.tasks.values_mut() {
            task.stopping = true;
            if matches!(task.stage, job::Stage::Queued { .. }) {
                task.stage = job::Stage::Ended(jobs::JobState::Cancelled);
            }
        }
        // The keys of the ended tasks stay in the queue and are dropped by the next pass
        // that reaches them.
        let all: Vec<_> = job.tasks.keys().copied().collect();
        for index in all {
            self.watch(id, index);
            let job = id.clone();
            let task = ids::TaskId { job, index };
            if self.task_mut(&task).is_some_and(|task| task.has_ended()) {
                self.release_start_tag(&task);
            }
        }
        self.end_if_all_ended(now, id);
        self.document.wait_for_write(id.clone(), reply_to);
    }

    fn check_open(&self) -> Result<(), operator::OperatorError> {
        if self.fenced || self.is_closed() || !self.document.is_owned() {
            return Err(taking_over());
        }
        if let Some(retry) = self.document.retry_after(self.config.store_retry) {
            let mut error = operator::OperatorError::new(
                operator::ErrorKind::Unavailable,
                "the store does not answer, so nothing can be accepted",
            );
            error.retry_after_ms = Some(clock::millis(retry));
            return Err(error);
        }
        Ok(())
    }

    pub(super) fn answer(&mut self, reply_to: ReplyTo, outcome: super::Outcome) {
        let answer = super::Action::Answer(reply_to, Box::new(outcome));
        self.actions.push(answer);
    }

    pub(super) fn refuse(
        &mut self,
        reply_to: ReplyTo,
        kind: operator::ErrorKind,
        message: String,
        retry_after_ms: Option<u64>,
    ) {
        let mut error = operator::OperatorError::new(kind, message);
        error.retry_after_ms = retry_after_ms;
        self.answer(reply_to, Err(error));
    }
}

fn new_job(now: Now, spec: jobs::JobSpec, terms: jobs::JobTerms) -> job::Job {
    let tasks = (0..spec.tasks)
        .map(|index| (index, job::Task::new(now.at)))
        .collect();
    let bytes = record_bytes(&spec);
    let record = jobs::JobRecord {
        spec,
        accepted_unix_ms: now.unix_ms,
        cancelled: false,
        reason: None,
        ended: None,
        tasks: IndexMap::new(),
        ended_unix_ms: 0,
        terms,
    };
    job::Job {
        record,
        tasks,
        written: false,
        maybe_written: false,
        refusal: None,
        gang_releases: 0,
        gang_pause_until: None,
        bytes,
    }
}

/// Estimated size of a job's record when every task has one.
pub(super) fn record_bytes(spec: &jobs::JobSpec) -> usize {
    RECORD_BYTES + spec.command.len() + spec.tasks as usize * TASK_RECORD_BYTES
}

fn taking_over() -> operator::OperatorError {
    let mut error = operator::OperatorError::new(
        operator::ErrorKind::Unavailable,
        "the home of this job is being taken over",
    );
    error.retry_after_ms = Some(TAKEOVER_RETRY_MS);
    error
}

fn unknown_job(id: &ids::JobId) -> operator::OperatorError {
    operator::OperatorError::new(operator::ErrorKind::NotFound, format!("no job {id}"))
}
