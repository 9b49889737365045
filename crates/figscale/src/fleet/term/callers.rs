//! What callers ask of the leader, as entry instances pass it on.

use std::sync;
use std::time;

use figscale_core::fleet::Admission;
use figscale_core::fleet::RecordKey;
use figscale_types::clock;
use figscale_types::fleet;

use super::LeaderMessage;
use super::Term;
use super::writes::Waiting;
use crate::events;
use crate::fleet::calls::Caller;
use crate::fleet::calls::LeaderAnswer;
use crate::fleet::calls::LeaderCall;
use crate::fleet::keys;
use crate::kernel;

/// When a caller should come back that found the store away: the shortest time
/// that `Retry-After` can tell. Callers wait some 3 s in all, so a longer one
/// would cost them tries.
const STORE_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// A job that a caller wants taken.
pub(super) struct Submission {
    pub(super) job: fleet::JobId,
    pub(super) queue: fleet::Queue,
    pub(super) customer: Option<fleet::CustomerName>,
    pub(super) description: sync::Arc<fleet::JobDescription>,
    pub(super) reply: kernel::Reply<LeaderAnswer>,
}

impl Submission {
    /// The store is away: nothing was done for this call, and nothing will be.
    /// True only of a job with no record in the store or on its way there.
    pub(super) fn refuse(self) {
        self.reply.send(LeaderAnswer::StoreAway {
            retry_after_ms: clock::millis(STORE_RETRY_AFTER),
        });
    }
}

impl Term {
    pub(super) fn on_call(&mut self, message: LeaderMessage) {
        let LeaderMessage { call, reply } = message;
        if self.closing {
            // Nothing was done: whoever leads next is asked again.
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
            LeaderCall::State { job, .. } => match self.told_state(job) {
                Some(state) => reply.send(LeaderAnswer::State(Some(state))),
                None => self.ask_store(job, reply),
            },
            LeaderCall::Show { job } => match self.scheduler.view(job) {
                Some(view) => reply.send(LeaderAnswer::Shown(view)),
                None => self.ask_store(job, reply),
            },
            LeaderCall::ListOpen => {
                reply.send(LeaderAnswer::Listed(self.scheduler.open_views()));
            }
            LeaderCall::Cancel { job, .. } => self.on_cancel(job, reply),
            LeaderCall::Pending { queue } => {
                reply.send(LeaderAnswer::Pending(self.scheduler.pending(&queue)));
            }
            // Answered before it comes here.
            LeaderCall::Hello { .. } => reply.send(LeaderAnswer::NotLeader),
        }
    }

    /// Whether a job is another customer's: to that caller there is no such job.
    fn is_hidden(&self, job: fleet::JobId, caller: &Caller) -> bool {
        match caller {
            Caller::Operator => false,
            Caller::Customer(customer) => !self.scheduler.is_open_to(job, customer.as_ref()),
        }
    }

    /// A job that is not in the store yet may still come to nothing.
    fn told_state(&self, job: fleet::JobId) -> Option<fleet::JobState> {
        self.scheduler
            .state(job)
            .filter(|_| self.scheduler.is_stored(job))
    }

    /// Answers for a job that is not known here. A later leader may have taken
    /// it without this one having noticed, so only the store can deny it.
    fn ask_store(&self, job: fleet::JobId, reply: kernel::Reply<LeaderAnswer>) {
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
        // A job that is known may be on its way to the store by an earlier call,
        // so only what becomes of that write can answer this one.
        let known = self.scheduler.state(submission.job).is_some();
        if !known && self.store_is_away() {
            submission.refuse();
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
            Admission::Accepted => self.waiting.push(Waiting::Submitted(submission)),
            Admission::Refused { retry_after, wait } => {
                let retry_after_ms = clock::millis(retry_after);
                crate::event!(
                    events::fleet::JOB_REFUSED,
                    job = submission.job,
                    queue = submission.queue.name,
                    cause = "the work in front of it would last too long",
                    wait_ms = wait.as_millis(),
                    retry_after_ms = retry_after_ms
                );
                let refused = LeaderAnswer::Refused { retry_after_ms };
                submission.reply.send(refused);
            }
        }
    }

    fn on_cancel(&mut self, job: fleet::JobId, reply: kernel::Reply<LeaderAnswer>) {
        let now = self.now();
        match self.scheduler.cancel(job, now) {
            None => self.ask_store(job, reply),
            Some(state) => {
                crate::event!(
                    events::fleet::JOB_CANCELLED,
                    job = job,
                    state = format_args!("{state:?}")
                );
                self.waiting.push(Waiting::Cancelled { job, state, reply });
            }
        }
    }
}
