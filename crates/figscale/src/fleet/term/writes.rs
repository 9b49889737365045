//! The leader's writes, and the callers that wait for them.
//!
//! Each chain has one write on its way at a time. Whoever waits is answered by
//! what is in the store and not by which write was sent: a job may have been
//! left out of a full transaction.

use std::mem;
use std::time;

use figscale_core::fleet::Records;
use figscale_platform::store;
use figscale_types::fleet;

use super::Ended;
use super::Message;
use super::Term;
use super::callers;
use crate::events;
use crate::fleet::calls::LeaderAnswer;
use crate::fleet::ledger;
use crate::kernel;

/// Shortest time between writes that a caller waits for.
const URGENT_WRITE_PAUSE: time::Duration = time::Duration::from_millis(20);
/// Shortest time between writes that only workers wait for.
const WRITE_PAUSE: time::Duration = time::Duration::from_millis(120);
/// A store that has taken no write for so long, while one was on its way, is
/// away. A single one takes up to 0.48 s beside a slow store.
const SLOW_WRITE: time::Duration = time::Duration::from_millis(400);
/// Pause between writes that try whether the store is back.
const AWAY_WRITE_PAUSE: time::Duration = time::Duration::from_millis(250);

/// Chains that records may take which nobody waits for; the others stay free
/// for new jobs.
const PATIENT_CHAINS: usize = 3;

/// A caller that waits for a write.
pub(super) enum Waiting {
    /// For the record of a new job.
    Submitted(callers::Submission),
    /// For the record of a job's outcome, which is to be told.
    Cancelled {
        job: fleet::JobId,
        state: fleet::JobState,
        reply: kernel::Reply<LeaderAnswer>,
    },
}

/// A write on its way.
pub(super) struct Writing {
    records: Records,
    /// The lease under which it names the leader anew.
    lease: Option<store::LeaseId>,
    started: time::Instant,
}

impl Term {
    /// Whether a job taken now would most likely not be written in time.
    pub(super) fn store_is_away(&self) -> bool {
        let now = self.now();
        let oldest = self.writing.values().map(|writing| writing.started).min();
        let silent_since = oldest.map(|started| started.max(self.last_written));
        self.store_away || silent_since.is_some_and(|since| now > since + SLOW_WRITE)
    }

    pub(super) fn write_if_due(&mut self, now: time::Instant) {
        let urgent = self.has_urgent_records();
        let (pause, chains) = match urgent {
            // One write tries whether the store is back.
            _ if self.store_away => (AWAY_WRITE_PAUSE, 1),
            true => (URGENT_WRITE_PAUSE, ledger::CHAINS),
            false => (WRITE_PAUSE, PATIENT_CHAINS),
        };
        let wanted =
            urgent || self.store_away || self.new_lease.is_some() || self.scheduler.has_records();
        if !wanted || self.writing.len() >= chains || now < self.last_write + pause {
            return;
        }
        let Some(ledger) = self.idle.pop() else {
            return;
        };
        self.last_write = now;
        let records = self.scheduler.take_records(ledger::MAX_RECORDS);
        let lease = self.new_lease.take();
        if records.records.is_empty() && !self.store_away && lease.is_none() {
            // Ends without consequences need no write to be acknowledged.
            self.scheduler.records_written(&records);
            self.idle.push(ledger);
            self.answer_waiting();
            return;
        }
        let writing = Writing {
            records,
            lease,
            started: now,
        };
        let chain = ledger.chain();
        self.spawn_write(ledger, &writing);
        self.writing.insert(chain, writing);
    }

    /// Whether callers, or workers that cannot be used yet, wait for a write
    /// that has not been sent.
    fn has_urgent_records(&self) -> bool {
        let unsent = |waiting: &Waiting| match waiting {
            Waiting::Submitted(_) => false,
            Waiting::Cancelled { job, .. } => {
                self.scheduler.is_unsaved(*job) && !self.scheduler.is_being_written(*job)
            }
        };
        self.scheduler.has_urgent_records() || self.waiting.iter().any(unsent)
    }

    /// The heads as this term left them, if no write is on its way.
    pub(super) fn heads(&self) -> Option<ledger::Heads> {
        let mut revisions = vec![0; ledger::CHAINS];
        if self.idle.len() < revisions.len() {
            return None;
        }
        for ledger in &self.idle {
            revisions[ledger.chain()] = ledger.revision();
        }
        Some(ledger::Heads {
            epoch: self.leader.epoch,
            revisions,
            strongest_millis: self.strongest_millis(),
        })
    }

    fn spawn_write(&self, mut ledger: ledger::Ledger, writing: &Writing) {
        let lead = writing
            .lease
            .map(|lease| (ledger::encode(&self.leader), lease));
        let records = writing.records.records.clone();
        let clock = self.context.clock.clone();
        let messages = self.messages.clone();
        tokio::spawn(async move {
            let result = ledger.write(&records, lead, &clock).await;
            let _ = messages.send(Message::Written(result, ledger)).await;
        });
    }

    pub(super) fn on_written(
        &mut self,
        result: Result<(), ledger::WriteError>,
        ledger: ledger::Ledger,
    ) {
        let writing = self.writing.swap_remove(&ledger.chain());
        self.idle.push(ledger);
        let Some(writing) = writing else {
            return;
        };
        let took = self.now().saturating_duration_since(writing.started);
        if took > SLOW_WRITE {
            crate::event!(
                events::fleet::RECORDS_WRITTEN_LATE,
                records = writing.records.records.len(),
                others = self.writing.len(),
                took_ms = took.as_millis()
            );
        }
        match result {
            Ok(()) => {
                self.store_away = false;
                self.last_written = self.now();
                self.scheduler.records_written(&writing.records);
                self.answer_waiting();
            }
            Err(ledger::WriteError::Deposed) => self.ended = Some(Ended::Deposed),
            Err(ledger::WriteError::NotWritten(error)) => {
                crate::event!(events::fleet::RECORDS_NOT_WRITTEN, error = error);
                self.store_away = true;
                // A lease granted in the meantime is the better one.
                self.new_lease = self.new_lease.or(writing.lease);
                self.scheduler.records_not_written(&writing.records);
                self.refuse_unsent();
            }
        }
    }

    /// Answers the callers whose records are in the store now.
    pub(super) fn answer_waiting(&mut self) {
        for waiting in mem::take(&mut self.waiting) {
            match waiting {
                Waiting::Submitted(submission) if self.scheduler.is_stored(submission.job) => {
                    submission.reply.send(LeaderAnswer::Accepted);
                }
                Waiting::Cancelled { job, state, reply } if !self.scheduler.is_unsaved(job) => {
                    reply.send(LeaderAnswer::State(Some(state)));
                }
                Waiting::Submitted(_) | Waiting::Cancelled { .. } => self.waiting.push(waiting),
            }
        }
    }

    /// Sends the callers on to the next leader that no write on its way answers.
    /// Their jobs were never sent to the store.
    pub(super) fn send_on_waiting(&mut self) {
        for waiting in mem::take(&mut self.waiting) {
            match waiting {
                Waiting::Submitted(submission)
                    if self.scheduler.is_being_written(submission.job) =>
                {
                    self.waiting.push(Waiting::Submitted(submission));
                }
                Waiting::Submitted(submission) => {
                    self.scheduler.withdraw(submission.job);
                    submission.reply.send(LeaderAnswer::NotLeader);
                }
                Waiting::Cancelled { reply, .. } => reply.send(LeaderAnswer::NotLeader),
            }
        }
    }

    /// Withdraws all jobs that are not in the store or on their way there,
    /// whether or not they were part of the write that failed, and refuses their
    /// callers; cancellations are written later.
    fn refuse_unsent(&mut self) {
        for waiting in mem::take(&mut self.waiting) {
            match waiting {
                Waiting::Submitted(submission) if self.scheduler.is_stored(submission.job) => {
                    submission.reply.send(LeaderAnswer::Accepted);
                }
                Waiting::Submitted(submission)
                    if !self.scheduler.is_being_written(submission.job) =>
                {
                    self.scheduler.withdraw(submission.job);
                    submission.refuse();
                }
                Waiting::Submitted(_) | Waiting::Cancelled { .. } => self.waiting.push(waiting),
            }
        }
    }
}
