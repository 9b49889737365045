//! Admission control: refuses jobs that would end so late that accepting them
//! costs other jobs more than their own callers gain.
//!
//! A job that misses its latency objective is worth a fifth of its value to its
//! caller, and nothing after three times the objective. So a job is refused at
//! once, with a time after which to retry, if the work queued ahead of it would
//! make it end after twice its objective. The work ahead is the remaining work
//! of all open jobs of the same or a higher priority, divided by the processors
//! of the usable workers. This overestimates the delay, since work that can no
//! longer meet its objective yields to work that can.

use std::time;

use super::job;
use super::scheduler;

/// Bounds of the retry time given to callers: short enough that they do retry,
/// long enough that they don't overload the leader with repeats.
const MIN_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);
const MAX_RETRY_AFTER: time::Duration = time::Duration::from_secs(8);

/// Outcome of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is accepted once its record is written.
    Accepted,
    /// It was accepted earlier.
    Known,
    /// Its id belongs to a job of another customer.
    IdTaken,
    /// One of its gangs needs more resources than its customer may ever use.
    TooLarge,
    /// It is not accepted and never runs.
    Refused {
        /// Time after which a retry may be accepted.
        retry_after: time::Duration,
        /// Estimated duration of the work queued ahead of it.
        wait: time::Duration,
    },
}

impl scheduler::Scheduler {
    /// Returns the refusal of a job that would end too late, `None` if it is to
    /// be accepted. Jobs with occurrences or long-running steps are never
    /// refused.
    pub(crate) fn refusal(&self, job: &job::Job, now: time::Instant) -> Option<Admission> {
        if job.description.occurrences > 0
            || job.description.steps.iter().any(|step| step.long_running)
        {
            return None;
        }
        let wait = self.queueing_time(job);
        let allowed = self.max_queueing_time(job, now);
        if wait <= allowed {
            return None;
        }
        let retry_after = (wait - allowed).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        Some(Admission::Refused { retry_after, wait })
    }

    /// Longest time that a job may wait for other work and still be accepted.
    fn max_queueing_time(&self, job: &job::Job, now: time::Instant) -> time::Duration {
        let objective = job.objective_at.saturating_duration_since(job.submitted);
        let longest = objective * self.config.max_percent_of_objective / 100;
        let end_by = job.submitted + longest;
        let rounds = job.rounds.iter();
        let remaining = rounds.map(|round| round.remaining_ms(&job.description));
        let own = time::Duration::from_millis(remaining.max().unwrap_or(0));
        end_by.saturating_duration_since(now).saturating_sub(own)
    }

    /// Time that the work queued ahead of a job takes on all usable processors.
    fn queueing_time(&self, job: &job::Job) -> time::Duration {
        let service = &job.queue.service;
        let of_service = self
            .workers
            .values()
            .filter(|worker| &worker.entry.service == service);
        let usable =
            of_service.filter(|worker| worker.unlisted_at.is_none() && !worker.entry.draining);
        let capacity_millis: u64 = usable.map(|worker| worker.entry.room.cpu_millis).sum();
        if capacity_millis == 0 {
            return time::Duration::ZERO;
        }
        let open = self.open.iter().filter_map(|id| self.jobs.get(id));
        let in_front = open.filter(|other| {
            &other.queue.service == service && other.queue.priority <= job.queue.priority
        });
        let work_core_ms: u64 = in_front.map(job::Job::remaining_core_ms).sum();
        time::Duration::from_millis(work_core_ms * 1_000 / capacity_millis)
    }
}
