//! Queries to the advisory service that open work needs, as admission sees them.
//!
//! Each entry instance is a channel that carries one query at a time, so the fleet of
//! instances may carry less than the fleet of workers has room for, as when most
//! instances have left. Jobs that were accepted by their room alone would stand beside
//! it. So the queries ahead of a job count as well. Where room is scarcer, they don't:
//! steps wait for room then, and the channels keep up.
//!
//! Queries of the first class of queues go before others, so these share what that
//! class leaves of the channels.

use std::time;

use figscale_types::fleet;

use super::advice;
use super::job;
use super::query;
use super::scheduler;

/// Longest time for which the queries ahead of an accepted job may last. Some time after
/// the last submission users count jobs as lost that stand beside free room.
pub(crate) const MAX_ADVICE_WAIT: time::Duration = time::Duration::from_secs(8);
/// Least part of the channels that counts as left by the first class.
const MIN_PART_LEFT: f64 = 0.1;

/// Time of the queries that are needed, by class.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AdviceBacklog {
    first_class: time::Duration,
    others: time::Duration,
}

impl AdviceBacklog {
    fn add(&mut self, is_first_class: bool, time: time::Duration) {
        match is_first_class {
            true => self.first_class += time,
            false => self.others += time,
        }
    }

    /// Adds the first queries of an accepted job.
    pub(crate) fn add_first_queries(&mut self, job: &job::Job) {
        let Some(policy) = job.queue.advice.as_ref() else {
            return;
        };
        let steps = job.description.steps.iter();
        let first = steps.filter(|step| step.after.is_empty()).count();
        let first = u32::try_from(first).unwrap_or(u32::MAX);
        let time = usual_duration(policy).saturating_mul(first);
        self.add(job.queue.priority == 0, time);
    }
}

impl scheduler::Scheduler {
    /// The queries that the steps need which could start.
    pub(crate) fn advice_backlog(&self, now: time::Instant) -> AdviceBacklog {
        let mut backlog = AdviceBacklog::default();
        for candidate in self.candidates(now) {
            let job = self.jobs.get(&candidate.task.job);
            let step = job.and_then(|job| job.step(&candidate.task));
            if let (Some(job), Some(step)) = (job, step) {
                backlog.add(job.queue.priority == 0, time_of_query(job, step, now));
            }
        }
        backlog
    }

    /// Time until the channels have carried the queries ahead of a job.
    pub(crate) fn advice_wait(
        &self,
        job: &job::Job,
        backlog: &AdviceBacklog,
        now: time::Instant,
    ) -> time::Duration {
        let count = self.channels.by_member.len().max(1) as f64;
        if job.queue.priority == 0 {
            return backlog.first_class.div_f64(count);
        }
        let left = count - self.channels.first_class_use(now);
        let for_long = self.channels.long_query_channels(now) as f64;
        let left = left.min(for_long).max(count * MIN_PART_LEFT);
        (backlog.first_class + backlog.others).div_f64(left)
    }
}

/// Time of the query that a step needs now: what is left of the one in flight, or
/// none if it holds a ticket.
fn time_of_query(job: &job::Job, step: &job::Step, now: time::Instant) -> time::Duration {
    let Some(policy) = job.queue.advice.as_ref() else {
        return time::Duration::ZERO;
    };
    if let Some(pending) = &step.advice.pending_query {
        return pending.response_due_at.saturating_duration_since(now);
    }
    let mut tickets = step.advice.tickets.values();
    match tickets.any(|ticket| ticket.valid_until > now) {
        true => time::Duration::ZERO,
        false => usual_duration(policy),
    }
}

fn usual_duration(policy: &fleet::AdvicePolicy) -> time::Duration {
    advice::duration(policy, query::cheap_workers(policy)) + advice::QUERY_OVERHEAD
}
