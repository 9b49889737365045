//! Submissions that wait for the store to come back.

use std::sync;
use std::time;

use figscale_types::clock;
use figscale_types::fleet;

use super::Term;
use crate::events;
use crate::fleet::calls::LeaderAnswer;
use crate::kernel;

/// When a caller should come back after the store was away.
const STORE_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// A job that a caller wants taken.
pub(super) struct Submission {
    pub(super) job: fleet::JobId,
    pub(super) queue: fleet::Queue,
    pub(super) description: sync::Arc<fleet::JobDescription>,
    /// How long the call may wait for a store that is away.
    pub(super) hold_until: time::Instant,
    pub(super) reply: kernel::Reply<LeaderAnswer>,
}

impl Submission {
    /// Nothing was done, and nothing will be.
    fn refuse(self) {
        self.reply.send(LeaderAnswer::StoreAway {
            retry_after_ms: clock::millis(STORE_RETRY_AFTER),
        });
    }
}

impl Term {
    /// Lets a submission wait for the store, or refuses it.
    pub(super) fn hold(&mut self, submission: Submission) {
        let (job, until) = (submission.job, submission.hold_until);
        let now = self.now();
        match self.held.hold(job, submission, until, now) {
            Ok(()) => crate::event!(
                events::fleet::JOB_HELD,
                job = job,
                for_ms = until.saturating_duration_since(now).as_millis()
            ),
            Err(submission) => {
                submission.refuse();
                // Told that the job never runs, its other callers hear the same.
                self.refuse_held_job(job);
            }
        }
    }

    /// The store takes writes again: whatever waits for it is submitted.
    pub(super) fn submit_held(&mut self) {
        let held = self.held.take_all();
        if held.is_empty() {
            return;
        }
        crate::event!(events::fleet::HELD_JOBS_SUBMITTED, calls = held.len());
        for (_, submission) in held {
            self.on_submit(submission);
        }
    }

    /// Refuses what has waited as long as it may.
    pub(super) fn refuse_overdue(&mut self) {
        for (_, submission) in self.held.take_expired(self.now()) {
            submission.refuse();
        }
    }

    /// Refuses all calls for one job.
    pub(super) fn refuse_held_job(&mut self, job: fleet::JobId) {
        for submission in self.held.take_job(job) {
            submission.refuse();
        }
    }

    /// Sends the callers on to the next leader; nothing was done for them.
    pub(super) fn send_on_held(&mut self) {
        for (_, submission) in self.held.take_all() {
            submission.reply.send(LeaderAnswer::NotLeader);
        }
    }
}
