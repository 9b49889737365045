//! The leader's writes, and the callers that wait for them.
//!
//! Each chain has one write in flight at a time. A waiting caller is answered when
//! its record is in the store, not when a particular write has ended: the record
//! may have been left out of a full transaction.

use std::mem;
use std::time;

use figscale_core::fleet::Ends;
use figscale_core::fleet::Records;
use figscale_platform::store;
use figscale_types::fleet;

use super::Ended;
use super::Message;
use super::Term;
use super::callers;
use crate::events;
use crate::fleet::calls::LeaderAnswer;
use crate::fleet::decision_log;
use crate::fleet::ledger;
use crate::kernel;

/// Shortest time between writes that a caller waits for.
const URGENT_WRITE_PAUSE: time::Duration = time::Duration::from_millis(20);
/// Shortest time between writes that only workers wait for.
const WRITE_PAUSE: time::Duration = time::Duration::from_millis(120);
/// The store counts as unavailable if it has executed no write for this long while
/// one was in flight. A single write takes up to 0.48 s with a slow store.
const SLOW_WRITE: time::Duration = time::Duration::from_millis(400);
/// Time between writes that probe whether an unavailable store is available
/// again.
const PROBE_WRITE_PAUSE: time::Duration = time::Duration::from_millis(250);

/// Most chains used at once for records that no caller waits for; the others stay
/// free for new jobs.
const NON_URGENT_CHAINS: usize = 3;

/// A caller that waits for a write.
pub(super) enum WaitingCaller {
    /// Waits for the record of a new job.
    Submitted(callers::Submission),
    /// Waits for the record of a job's outcome, which is the answer, or for that of the
    /// id of a job that is not known.
    Cancelled {
        job: fleet::JobId,
        customer: Option<fleet::CustomerName>,
        reply: kernel::Reply<LeaderAnswer>,
    },
    /// Waits for the record of a job's end, until some time, to be told of it.
    State {
        job: fleet::JobId,
        until: time::Instant,
        reply: kernel::Reply<LeaderAnswer>,
    },
}

/// A write in flight.
pub(super) struct PendingWrite {
    records: Records,
    /// The lease with which it also writes the leader's key.
    lease: Option<store::LeaseId>,
    started: time::Instant,
    /// The same time since the machine started.
    started_since_boot: time::Duration,
    /// Whether its head says that no earlier leader can lead any more.
    settles: bool,
}

impl Term {
    /// Whether the record of a job accepted now would most likely not be written in
    /// time.
    pub(super) fn store_is_unavailable(&self) -> bool {
        let now = self.now();
        let oldest = self
            .pending_writes
            .values()
            .map(|write| write.started)
            .min();
        let no_write_since = oldest.map(|started| started.max(self.last_write_executed_at));
        self.store_unavailable || no_write_since.is_some_and(|since| now > since + SLOW_WRITE)
    }

    /// Sends the next write if there is something to write, a chain is idle, and the
    /// pause after the last write is over.
    pub(super) fn write_if_due(&mut self, now: time::Instant) {
        self.write_speeds_if_due(now);
        let urgent = self.has_urgent_records();
        let (pause, chains) = match urgent {
            // One write at a time probes whether the store is available again.
            _ if self.store_unavailable => (PROBE_WRITE_PAUSE, 1),
            true => (URGENT_WRITE_PAUSE, ledger::CHAINS),
            false => (WRITE_PAUSE, NON_URGENT_CHAINS),
        };
        let wanted = urgent
            || self.store_unavailable
            || self.new_lease.is_some()
            || self.proof.is_unsettled_in_store()
            || self.scheduler.has_records();
        if !wanted || self.pending_writes.len() >= chains || now < self.last_write_sent_at + pause {
            return;
        }
        let Some(chain) = self.idle_chains.pop() else {
            return;
        };
        self.last_write_sent_at = now;
        let records = self.scheduler.take_records(ledger::MAX_RECORDS);
        let lease = self.new_lease.take();
        let settles = self.proof.is_unsettled_in_store();
        if records.records.is_empty() && !self.store_unavailable && lease.is_none() && !settles {
            // Ends of runs that changed no record are acknowledged without a write.
            let ends = self.scheduler.records_written(&records, chain.revision());
            self.idle_chains.push(chain);
            log_acknowledged(&ends, "none");
            self.answer_waiting_callers();
            return;
        }
        let write = PendingWrite {
            records,
            lease,
            started: now,
            started_since_boot: self.context.clock.since_boot(),
            settles: self.proof.is_settled(),
        };
        let number = chain.number();
        self.spawn_write(chain, &write);
        self.pending_writes.insert(number, write);
    }

    /// Sends the record of speeds if it is due and most chains are idle.
    fn write_speeds_if_due(&mut self, now: time::Instant) {
        if self.store_unavailable || self.idle_chains.len() <= ledger::CHAINS / 2 {
            return;
        }
        let Some(records) = self.scheduler.take_speeds_record() else {
            return;
        };
        let Some(chain) = self.idle_chains.pop() else {
            self.scheduler.records_not_written(&records);
            return;
        };
        let write = PendingWrite {
            records,
            lease: None,
            started: now,
            started_since_boot: self.context.clock.since_boot(),
            settles: self.proof.is_settled(),
        };
        let number = chain.number();
        self.spawn_write(chain, &write);
        self.pending_writes.insert(number, write);
    }

    /// Whether callers wait for a write that has not been sent, or workers that
    /// cannot be used before it.
    fn has_urgent_records(&self) -> bool {
        let unsent = |caller: &WaitingCaller| match caller {
            WaitingCaller::Submitted(_) => false,
            WaitingCaller::Cancelled { job, .. } | WaitingCaller::State { job, .. } => {
                self.scheduler.is_unsaved(*job) && !self.scheduler.is_being_written(*job)
            }
        };
        self.scheduler.has_urgent_records() || self.waiting_callers.iter().any(unsent)
    }

    /// The heads as this term left them; `None` while a write is in flight.
    pub(super) fn heads(&self) -> Option<ledger::Heads> {
        let mut revisions = vec![0; ledger::CHAINS];
        if self.idle_chains.len() < revisions.len() {
            return None;
        }
        for chain in &self.idle_chains {
            revisions[chain.number()] = chain.revision();
        }
        Some(ledger::Heads {
            epoch: self.leader.epoch,
            leader: Some(self.leader.member.id.clone()),
            revisions,
            strongest_millis: self.strongest_millis(),
            instances: self.other_instances() + 1,
            settled: self.proof.is_settled(),
        })
    }

    fn spawn_write(&self, mut chain: ledger::Chain, write: &PendingWrite) {
        if write.settles {
            chain.settle();
        }
        let leader_key = write
            .lease
            .map(|lease| (ledger::encode(&self.leader), lease));
        let records = write.records.records.clone();
        let clock = self.context.clock.clone();
        let messages = self.messages.clone();
        tokio::spawn(async move {
            let result = chain.write(&records, leader_key, &clock).await;
            let _ = messages.send(Message::Written(result, chain)).await;
        });
    }

    pub(super) fn on_written(
        &mut self,
        result: Result<ledger::Confirmation, ledger::WriteError>,
        chain: ledger::Chain,
    ) {
        let write = self.pending_writes.swap_remove(&chain.number());
        let number = format!("{}/{}", chain.number(), chain.sequence());
        let revision = chain.revision();
        self.idle_chains.push(chain);
        let Some(write) = write else {
            return;
        };
        let took = self.now().saturating_duration_since(write.started);
        if took > SLOW_WRITE {
            crate::event!(
                events::fleet::RECORDS_WRITTEN_LATE,
                records = write.records.records.len(),
                others = self.pending_writes.len(),
                took_ms = took.as_millis()
            );
        }
        match result {
            Ok(confirmation) => {
                self.store_unavailable = false;
                self.last_write_executed_at = self.now();
                self.proof
                    .leadership
                    .record_store_call(write.started_since_boot);
                self.proof.record_settled(write.settles);
                crate::event!(
                    events::fleet::RECORDS_WRITTEN,
                    write = number,
                    revision = revision,
                    confirmation = format_args!("{confirmation:?}"),
                    took_ms = took.as_millis(),
                    jobs = decision_log::joined(write.records.jobs().iter().copied())
                );
                let ends = self.scheduler.records_written(&write.records, revision);
                log_acknowledged(&ends, &number);
                self.answer_waiting_callers();
            }
            Err(ledger::WriteError::Deposed) => self.ended = Some(Ended::Deposed),
            Err(ledger::WriteError::NotWritten(error)) => {
                crate::event!(events::fleet::RECORDS_NOT_WRITTEN, error = error);
                self.store_unavailable = true;
                // A lease granted in the meantime replaces the one of this write.
                self.new_lease = self.new_lease.or(write.lease);
                self.scheduler.records_not_written(&write.records);
                self.refuse_unsent();
            }
        }
    }

    /// Answers the waiting callers whose records are in the store, and queries that
    /// have waited for as long as they may.
    pub(super) fn answer_waiting_callers(&mut self) {
        let now = self.now();
        for caller in mem::take(&mut self.waiting_callers) {
            match caller {
                WaitingCaller::State { job, until, reply }
                    if now >= until || !self.scheduler.has_unwritten_end(job) =>
                {
                    self.reply_with_durable_state(job, reply);
                }
                WaitingCaller::Submitted(submission)
                    if self.scheduler.is_stored(submission.job) =>
                {
                    submission.reply.send(LeaderAnswer::Accepted);
                }
                WaitingCaller::Cancelled {
                    job,
                    customer,
                    reply,
                } if !self.scheduler.has_unwritten_cancel(job, customer.as_ref()) => {
                    self.reply_to_cancel(job, customer.as_ref(), reply);
                }
                _ => self.waiting_callers.push(caller),
            }
        }
    }

    /// Redirects the waiting callers to the next leader, except those whose new job
    /// is part of a write in flight. The jobs of the others were never sent to the
    /// store.
    pub(super) fn redirect_waiting_callers(&mut self) {
        for caller in mem::take(&mut self.waiting_callers) {
            match caller {
                WaitingCaller::Submitted(submission)
                    if self.scheduler.is_being_written(submission.job) =>
                {
                    self.waiting_callers
                        .push(WaitingCaller::Submitted(submission));
                }
                WaitingCaller::Submitted(submission) => {
                    self.scheduler.withdraw(submission.job);
                    submission.reply.send(LeaderAnswer::NotLeader);
                }
                WaitingCaller::Cancelled { reply, .. } | WaitingCaller::State { reply, .. } => {
                    reply.send(LeaderAnswer::NotLeader);
                }
            }
        }
    }

    /// Withdraws all new jobs that are neither in the store nor part of a write in
    /// flight, whether or not they were part of the write that failed, and refuses
    /// their callers. Cancellations are written later. Queries are answered with what
    /// is in the store.
    fn refuse_unsent(&mut self) {
        for caller in mem::take(&mut self.waiting_callers) {
            match caller {
                WaitingCaller::Submitted(submission)
                    if self.scheduler.is_stored(submission.job) =>
                {
                    submission.reply.send(LeaderAnswer::Accepted);
                }
                WaitingCaller::Submitted(submission)
                    if !self.scheduler.is_being_written(submission.job) =>
                {
                    self.scheduler.withdraw(submission.job);
                    submission.refuse(&self.context.metrics);
                }
                WaitingCaller::State { job, reply, .. } => {
                    self.reply_with_durable_state(job, reply);
                }
                WaitingCaller::Submitted(_) | WaitingCaller::Cancelled { .. } => {
                    self.waiting_callers.push(caller)
                }
            }
        }
    }
}

/// Logs ends that are acknowledged once `write` is in the store.
fn log_acknowledged(ends: &Ends, write: &str) {
    if ends.is_empty() {
        return;
    }
    let ends = ends.iter().map(|(id, number)| format!("{id}:{number}"));
    crate::event!(
        events::fleet::ENDS_ACKNOWLEDGED,
        write = write,
        ends = decision_log::joined(ends)
    );
}
