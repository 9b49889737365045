//! The leader's writes, and the callers that wait for them.
//!
//! One write is on its way at a time. Whoever waits is answered by what is in
//! the store and not by which write was sent: a job may have been left out of
//! a full transaction.

use std::mem;
use std::time;

use figscale_core::fleet::Records;
use figscale_platform::store;
use figscale_types::fleet;

use super::Ended;
use super::Message;
use super::Term;
use crate::events;
use crate::fleet::calls::LeaderAnswer;
use crate::fleet::ledger;
use crate::kernel;

/// Shortest time between writes that a caller waits for.
const URGENT_WRITE_PAUSE: time::Duration = time::Duration::from_millis(20);
/// Shortest time between writes that only workers wait for.
const WRITE_PAUSE: time::Duration = time::Duration::from_millis(120);
/// A write that takes longer shows that the store is away.
const SLOW_WRITE: time::Duration = time::Duration::from_millis(400);
/// The answer while the store is away.
pub(super) const STORE_AWAY: LeaderAnswer = LeaderAnswer::StoreAway {
    retry_after_ms: super::STORE_RETRY_AFTER_MS,
};
/// Pause between writes that try whether the store is back.
const AWAY_WRITE_PAUSE: time::Duration = time::Duration::from_millis(250);

/// What a caller waits for.
#[derive(Clone, Copy, Debug)]
pub(super) enum Awaited {
    /// The record of a new job.
    Submitted(fleet::JobId),
    /// The record of a job's outcome, which is to be told.
    Cancelled(fleet::JobId, fleet::JobState),
}

/// A caller that waits for a write.
pub(super) struct Waiting {
    pub(super) reply: kernel::Reply<LeaderAnswer>,
    pub(super) awaited: Awaited,
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
        self.store_away
            || self
                .writing
                .as_ref()
                .is_some_and(|writing| now > writing.started + SLOW_WRITE)
    }

    pub(super) fn write_if_due(&mut self, now: time::Instant) {
        let urgent = !self.waiting.is_empty() || self.scheduler.has_urgent_records();
        let pause = match urgent {
            _ if self.store_away => AWAY_WRITE_PAUSE,
            true => URGENT_WRITE_PAUSE,
            false => WRITE_PAUSE,
        };
        let wanted =
            urgent || self.store_away || self.new_lease.is_some() || self.scheduler.has_records();
        if !wanted || now < self.last_write + pause {
            return;
        }
        let Some(ledger) = self.ledger.take() else {
            return;
        };
        self.last_write = now;
        let records = self.scheduler.take_records(ledger::MAX_RECORDS);
        let lease = self.new_lease.take();
        if records.records.is_empty() && !self.store_away && lease.is_none() {
            // Ends without consequences need no write to be acknowledged.
            self.scheduler.records_written(&records);
            self.ledger = Some(ledger);
            self.answer_waiting();
            return;
        }
        self.spawn_write(ledger, &records, lease);
        self.writing = Some(Writing {
            records,
            lease,
            started: now,
        });
    }

    pub(super) fn spawn_write(
        &self,
        mut ledger: Box<ledger::Ledger>,
        records: &Records,
        lease: Option<store::LeaseId>,
    ) {
        let lead = lease.map(|lease| (ledger::encode(&self.leader), lease));
        let records = records.records.clone();
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
        ledger: Box<ledger::Ledger>,
    ) {
        self.ledger = Some(ledger);
        let Some(writing) = self.writing.take() else {
            return;
        };
        match result {
            Ok(()) => {
                self.store_away = false;
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
                self.refuse_waiting();
            }
        }
    }

    /// Answers the callers whose records are in the store now.
    pub(super) fn answer_waiting(&mut self) {
        for waiting in mem::take(&mut self.waiting) {
            match waiting.awaited {
                Awaited::Submitted(job) if self.scheduler.is_stored(job) => {
                    waiting.reply.send(LeaderAnswer::Accepted);
                }
                Awaited::Submitted(job) if self.scheduler.state(job).is_none() => {
                    waiting.reply.send(STORE_AWAY);
                }
                Awaited::Cancelled(job, state) if !self.scheduler.is_dirty(job) => {
                    waiting.reply.send(LeaderAnswer::State(Some(state)));
                }
                Awaited::Submitted(_) | Awaited::Cancelled(..) => self.waiting.push(waiting),
            }
        }
    }

    /// Sends the callers on to the next leader that the write on its way does
    /// not answer. Their jobs were never sent to the store.
    pub(super) fn send_on_waiting(&mut self) {
        for waiting in mem::take(&mut self.waiting) {
            let writing = self.writing.as_ref();
            match waiting.awaited {
                Awaited::Submitted(job)
                    if writing.is_some_and(|writing| writing.records.creates(job)) =>
                {
                    self.waiting.push(waiting);
                }
                Awaited::Submitted(job) => {
                    self.scheduler.withdraw(job);
                    waiting.reply.send(LeaderAnswer::NotLeader);
                }
                Awaited::Cancelled(..) => waiting.reply.send(LeaderAnswer::NotLeader),
            }
        }
    }

    /// Refuses all jobs that are not in the store, whether or not they were
    /// part of the write that failed; cancellations are written later.
    pub(super) fn refuse_waiting(&mut self) {
        for waiting in mem::take(&mut self.waiting) {
            match waiting.awaited {
                Awaited::Submitted(job) if self.scheduler.is_stored(job) => {
                    waiting.reply.send(LeaderAnswer::Accepted);
                }
                Awaited::Submitted(job) => {
                    self.scheduler.withdraw(job);
                    waiting.reply.send(STORE_AWAY);
                }
                Awaited::Cancelled(..) => self.waiting.push(waiting),
            }
        }
    }
}
