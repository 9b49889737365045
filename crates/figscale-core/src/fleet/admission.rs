//! Which jobs are refused: those that would end so late that taking them costs
//! others more than it gives their callers.
//!
//! A late job gives its caller a fifth of its worth, and after three times its
//! latency objective nothing. So a job is refused at once, with the time to
//! come back, when it would end after twice its objective behind the work in
//! front of it. What is in front is the work of jobs of its priority and above,
//! over the processors in use. That errs on the long side, since work that can
//! no longer be in time makes way for work that can.

use std::time;

use super::job;
use super::scheduler;

/// Bounds of the time told to callers, so that they neither hammer nor vanish.
const MIN_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);
const MAX_RETRY_AFTER: time::Duration = time::Duration::from_secs(8);

/// What becomes of a submitted job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is taken once its record is written.
    Accepted,
    /// It was taken earlier.
    Known,
    /// Its id is another customer's job.
    IdTaken,
    /// A gang of it needs more than its customer may ever have running.
    TooLarge,
    /// It is not taken and never runs.
    Refused {
        /// When a repeat may be taken.
        retry_after: time::Duration,
        /// How long the work in front of it lasts.
        wait: time::Duration,
    },
}

impl scheduler::Scheduler {
    /// The refusal of a job that is not worth taking.
    pub(crate) fn refusal(&self, job: &job::Job, now: time::Instant) -> Option<Admission> {
        if job.description.occurrences > 0
            || job.description.steps.iter().any(|step| step.long_running)
        {
            return None;
        }
        let wait = self.wait_before(job);
        let allowed = self.longest_wait(job, now);
        if wait <= allowed {
            return None;
        }
        let retry_after = (wait - allowed).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        Some(Admission::Refused { retry_after, wait })
    }

    /// How late a job may begin and still be taken.
    fn longest_wait(&self, job: &job::Job, now: time::Instant) -> time::Duration {
        let objective = job.objective_at.saturating_duration_since(job.submitted);
        let longest = objective * self.config.max_of_objective_percent / 100;
        let end_by = job.submitted + longest;
        let rounds = job.rounds.iter();
        let remaining = rounds.map(|round| round.remaining_ms(&job.description));
        let own = time::Duration::from_millis(remaining.max().unwrap_or(0));
        end_by.saturating_duration_since(now).saturating_sub(own)
    }

    /// Time that the work in front of a job takes on all processors.
    fn wait_before(&self, job: &job::Job) -> time::Duration {
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
