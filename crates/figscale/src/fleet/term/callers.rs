//! Calls to the leader that entry instances forward on behalf of callers.

use std::sync;
use std::time;

use figscale_core::fleet::Admission;
use figscale_core::fleet::IdCancel;
use figscale_core::fleet::RecordKey;
use figscale_types::clock;
use figscale_types::fleet;

use super::LeaderMessage;
use super::Term;
use super::writes::WaitingCaller;
use crate::events;
use crate::fleet::calls::Caller;
use crate::fleet::calls::LeaderAnswer;
use crate::fleet::calls::LeaderCall;
use crate::fleet::keys;
use crate::kernel;
use crate::metrics;

/// Time after which a caller should retry when the store was unavailable: the
/// shortest that `Retry-After` can express. Callers wait about 3 s in all, so a
/// longer time would leave them fewer attempts.
const STORE_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// Longest time for which a query waits for the record of a job's end. A write takes
/// up to 0.48 s with a slow store.
const MAX_WAIT_FOR_END: time::Duration = time::Duration::from_millis(500);

/// A job submitted by a caller, with the channel for the answer.
pub(super) struct Submission {
    pub(super) job: fleet::JobId,
    pub(super) queue: fleet::Queue,
    pub(super) customer: Option<fleet::CustomerName>,
    pub(super) description: sync::Arc<fleet::JobDescription>,
    pub(super) reply: kernel::Reply<LeaderAnswer>,
}

impl Submission {
    /// Answers that the store is unavailable: nothing was done for this call, and
    /// nothing will be. Correct only for a job that has no record in the store and
    /// no write of it in flight.
    pub(super) fn refuse(self, metrics: &metrics::Metrics) {
        metrics.fleet_job_refused("store_unavailable");
        self.reply.send(LeaderAnswer::StoreAway {
            retry_after_ms: clock::millis(STORE_RETRY_AFTER),
        });
    }
}

impl Term {
    pub(super) fn on_call(&mut self, message: LeaderMessage) {
        if let Some(message) = self.admit(message) {
            self.answer(message);
        }
    }

    /// Answers a call, at once or after a write.
    pub(super) fn answer(&mut self, message: LeaderMessage) {
        let LeaderMessage { call, reply } = message;
        if self.closing || self.ended.is_some() {
            // Nothing was done: the entry instance calls the next leader.
            reply.send(LeaderAnswer::NotLeader);
            return;
        }
        match call {
            LeaderCall::Submit {
                job,
                queue,
                customer,
                description,
            } => {
                let submission = Submission {
                    job,
                    queue,
                    customer,
                    description: sync::Arc::new(description),
                    reply,
                };
                self.on_submit(submission);
            }
            LeaderCall::State { job, caller } if self.is_hidden(job, &caller) => {
                reply.send(LeaderAnswer::State(None));
            }
            LeaderCall::Cancel { job, caller } if self.is_hidden(job, &caller) => {
                reply.send(LeaderAnswer::State(None));
            }
            LeaderCall::State { job, .. } => self.on_state(job, reply),
            LeaderCall::Show { job } => match self.scheduler.view(job) {
                Some(view) => {
                    self.log_final_state(job, view.state);
                    reply.send(LeaderAnswer::Shown(view));
                }
                None => self.reply_from_store(job, reply),
            },
            LeaderCall::ListOpen => {
                reply.send(LeaderAnswer::Listed(self.scheduler.open_views()));
            }
            LeaderCall::Cancel { job, caller } => self.on_cancel(job, caller, reply),
            LeaderCall::Pending { queue } => {
                reply.send(LeaderAnswer::Pending(self.scheduler.pending(&queue)));
            }
            // Heartbeats are answered without the term's mailbox.
            LeaderCall::Hello { .. } => reply.send(LeaderAnswer::NotLeader),
        }
    }

    /// Whether a job belongs to another customer: then it does not exist for the
    /// caller.
    fn is_hidden(&self, job: fleet::JobId, caller: &Caller) -> bool {
        match caller {
            Caller::Operator => false,
            Caller::Customer(customer) => !self.scheduler.is_open_to(job, customer.as_ref()),
        }
    }

    /// Answers with the state of a job. If its end is not in the store yet, the answer
    /// waits for that, unless the store is unavailable.
    fn on_state(&mut self, job: fleet::JobId, reply: kernel::Reply<LeaderAnswer>) {
        match self.scheduler.has_unwritten_end(job) && !self.store_is_unavailable() {
            true => {
                let until = self.now() + MAX_WAIT_FOR_END;
                let caller = WaitingCaller::State { job, until, reply };
                self.waiting_callers.push(caller);
            }
            false => self.reply_with_durable_state(job, reply),
        }
    }

    /// Answers with the state of a job that the store has.
    pub(super) fn reply_with_durable_state(
        &self,
        job: fleet::JobId,
        reply: kernel::Reply<LeaderAnswer>,
    ) {
        match self.scheduler.durable_state(job) {
            Some(state) => self.reply_with_state(job, state, reply),
            None => self.reply_from_store(job, reply),
        }
    }

    /// Answers with a job's state.
    pub(super) fn reply_with_state(
        &self,
        job: fleet::JobId,
        state: fleet::JobState,
        reply: kernel::Reply<LeaderAnswer>,
    ) {
        self.log_final_state(job, state);
        reply.send(LeaderAnswer::State(Some(state)));
    }

    /// Logs what an answer with a final state rests on.
    fn log_final_state(&self, job: fleet::JobId, state: fleet::JobState) {
        if !state.is_final() {
            return;
        }
        let revision = self.scheduler.end_revision(job);
        let revision = revision.map_or_else(|| "none".to_owned(), |known| known.to_string());
        crate::event!(
            events::fleet::FINAL_STATE_ANSWERED,
            job = job,
            state = format_args!("{state:?}"),
            revision = revision
        );
    }

    /// Answers for a job that this leader does not know. A later leader may have
    /// accepted it without this one having noticed, so only the store can show that
    /// there is no such job.
    fn reply_from_store(&self, job: fleet::JobId, reply: kernel::Reply<LeaderAnswer>) {
        let store = self.context.store.clone();
        tokio::spawn(async move {
            let key = keys::of_record(RecordKey::Job(job));
            match store.get(&key).await {
                Ok(None) => reply.send(LeaderAnswer::State(None)),
                Ok(Some(_)) | Err(_) => reply.send(LeaderAnswer::Unknown),
            }
        });
    }

    pub(super) fn on_submit(&mut self, submission: Submission) {
        // The record of a known job may be in flight because of an earlier call, so
        // only the outcome of that write can answer this call.
        let known = self.scheduler.state(submission.job).is_some();
        if !known && self.store_is_unavailable() {
            self.scheduler
                .refused_by_store(self.now() + STORE_RETRY_AFTER);
            submission.refuse(&self.context.metrics);
            return;
        }
        let (now, wall_ms) = (self.now(), self.context.wall_ms());
        let description = submission.description.clone();
        let admission = self.scheduler.submit_for(
            submission.customer.clone(),
            submission.job,
            &submission.queue,
            description,
            now,
            wall_ms,
        );
        match admission {
            Admission::Known => submission.reply.send(LeaderAnswer::Accepted),
            Admission::IdTaken => submission.reply.send(LeaderAnswer::IdTaken),
            Admission::TooLarge => submission.reply.send(LeaderAnswer::TooLarge),
            Admission::Cancelled => {
                self.context.metrics.fleet_job_refused("cancelled");
                crate::event!(
                    events::fleet::SUBMISSION_CANCELLED,
                    job = submission.job,
                    queue = submission.queue.name
                );
                submission.reply.send(LeaderAnswer::Cancelled);
            }
            Admission::Accepted => self
                .waiting_callers
                .push(WaitingCaller::Submitted(submission)),
            Admission::Refused {
                retry_after,
                wait,
                bound,
                cause,
                share,
            } => {
                let retry_after_ms = clock::millis(retry_after);
                self.context.metrics.fleet_job_refused(cause.label());
                crate::event!(
                    events::fleet::JOB_REFUSED,
                    job = submission.job,
                    queue = submission.queue.name,
                    cause = "the work in front of it would last too long",
                    refusal_cause = cause.label(),
                    wait_ms = wait.as_millis(),
                    bound_ms = bound.as_millis(),
                    share = share.map_or_else(String::new, |share| share.to_string()),
                    turns = self.scheduler.turns(),
                    retry_after_ms = retry_after_ms
                );
                let refused = LeaderAnswer::Refused { retry_after_ms };
                submission.reply.send(refused);
            }
        }
    }

    fn on_cancel(&mut self, job: fleet::JobId, caller: Caller, reply: kernel::Reply<LeaderAnswer>) {
        let now = self.now();
        let Some(state) = self.scheduler.cancel(job, now) else {
            return match caller {
                // Operators are told that the cancel failed.
                Caller::Operator => self.reply_from_store(job, reply),
                Caller::Customer(customer) => self.cancel_id(job, customer, reply),
            };
        };
        crate::event!(
            events::fleet::JOB_CANCELLED,
            job = job,
            state = format_args!("{state:?}")
        );
        let customer = match caller {
            Caller::Operator => None,
            Caller::Customer(customer) => customer,
        };
        self.reply_once_cancel_is_written(job, customer, reply);
    }

    /// Cancels the id of a job that this leader does not know.
    fn cancel_id(
        &mut self,
        job: fleet::JobId,
        customer: Option<fleet::CustomerName>,
        reply: kernel::Reply<LeaderAnswer>,
    ) {
        let wall_ms = self.context.wall_ms();
        match self.scheduler.cancel_id(job, customer.clone(), wall_ms) {
            IdCancel::Recorded => {
                crate::event!(events::fleet::ID_CANCELLED, job = job, outcome = "recorded");
                self.reply_once_cancel_is_written(job, customer, reply);
            }
            IdCancel::Refused(retry_after) => {
                crate::event!(events::fleet::ID_CANCELLED, job = job, outcome = "refused");
                let retry_after_ms = clock::millis(retry_after);
                reply.send(LeaderAnswer::CancelRefused { retry_after_ms });
            }
        }
    }

    fn reply_once_cancel_is_written(
        &mut self,
        job: fleet::JobId,
        customer: Option<fleet::CustomerName>,
        reply: kernel::Reply<LeaderAnswer>,
    ) {
        match self.scheduler.has_unwritten_cancel(job, customer.as_ref()) {
            true => self.waiting_callers.push(WaitingCaller::Cancelled {
                job,
                customer,
                reply,
            }),
            false => self.reply_to_cancel(job, customer.as_ref(), reply),
        }
    }

    /// Answers a cancel whose record is in the store.
    pub(super) fn reply_to_cancel(
        &self,
        job: fleet::JobId,
        customer: Option<&fleet::CustomerName>,
        reply: kernel::Reply<LeaderAnswer>,
    ) {
        match self.scheduler.durable_state(job) {
            Some(state) => self.reply_with_state(job, state, reply),
            // No later leader can have accepted it: the record could not have been
            // written then.
            None if self.scheduler.is_cancelled_id(job, customer) => {
                reply.send(LeaderAnswer::State(None));
            }
            None => self.reply_from_store(job, reply),
        }
    }
}
