//! The document in the store: read once, owned after the first write under this
//! home's epoch, then replaced by batched writes.

use std::time;

use figscale_types::clock;
use figscale_types::ids;
use figscale_types::jobs;
use figscale_types::operator;
use figscale_types::verdict::Verdict;

use super::Action;
use super::Home;
use super::Now;
use super::ReplyTo;
use super::job;
use crate::job::message;

/// The result of a read.
#[derive(Clone, Debug, PartialEq)]
pub enum ReadOutcome {
    /// The document with its revision; a missing one is empty, with revision 0.
    Read(ids::Revision, jobs::JobDocument),
    /// The store is unavailable.
    NoAnswer,
}

/// The result of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect.
    Written(ids::Revision),
    /// It failed, with a verdict on whether it may have taken effect.
    Failed(Verdict),
    /// The document has another revision.
    Conflict,
}

/// Changes of one write, and who waits for them.
#[derive(Clone, Debug, Default)]
struct Batch {
    /// New jobs, with the requests that wait for their acceptance.
    submitted: Vec<(ids::JobId, Vec<ReplyTo>)>,
    /// Requests that wait for a change of a job to be written.
    waiting: Vec<(ids::JobId, ReplyTo)>,
    /// Start marks.
    marks: Vec<ids::TaskId>,
    /// Ends to acknowledge to their placers once written.
    ends: Vec<(ids::MemberKey, message::Attempt)>,
    /// Whether there are other changes to write.
    dirty: bool,
}

impl Batch {
    fn is_empty(&self) -> bool {
        !self.dirty
            && self.submitted.is_empty()
            && self.waiting.is_empty()
            && self.marks.is_empty()
            && self.ends.is_empty()
    }

    /// Puts an earlier batch that was not written in front of this one.
    fn put_back(&mut self, mut earlier: Self) {
        earlier.submitted.append(&mut self.submitted);
        earlier.waiting.append(&mut self.waiting);
        earlier.marks.append(&mut self.marks);
        earlier.ends.append(&mut self.ends);
        earlier.dirty |= self.dirty;
        *self = earlier;
    }
}

/// What a home knows of its document.
#[derive(Debug, Default)]
pub(super) struct DocumentState {
    revision: Option<ids::Revision>,
    /// Whether a write under this epoch is known to have taken effect.
    owned: bool,
    sequence: u64,
    pending: Batch,
    in_flight: Option<Batch>,
    /// A write without a known outcome, with its sequence number.
    in_doubt: Option<(u64, Batch)>,
    reading: bool,
    last_write: Option<time::Instant>,
    retry_at: Option<time::Instant>,
    pub(super) writes: u64,
}

impl DocumentState {
    pub(super) fn is_owned(&self) -> bool {
        self.owned
    }

    /// Time after which callers should retry; `None` unless the store is unavailable.
    pub(super) fn retry_after(&self, retry: time::Duration) -> Option<time::Duration> {
        self.retry_at.map(|_| retry)
    }

    pub(super) fn is_settled(&self) -> bool {
        self.pending.is_empty() && self.in_flight.is_none() && self.in_doubt.is_none()
    }

    pub(super) fn submit(&mut self, id: ids::JobId, reply_to: ReplyTo) {
        let of = |batch: &mut Batch| {
            let found = batch.submitted.iter_mut().find(|(known, _)| *known == id)?;
            found.1.push(reply_to);
            Some(())
        };
        let known = of(&mut self.pending).or_else(|| self.in_flight.as_mut().and_then(of));
        if known.is_none() {
            self.pending.submitted.push((id, vec![reply_to]));
        }
    }

    pub(super) fn wait_for_write(&mut self, id: ids::JobId, reply_to: ReplyTo) {
        self.pending.dirty = true;
        self.pending.waiting.push((id, reply_to));
    }

    pub(super) fn mark(&mut self, task: ids::TaskId) {
        self.pending.marks.push(task);
    }

    pub(super) fn end(&mut self, placer: ids::MemberKey, attempt: message::Attempt) {
        if self.has_end(&attempt) {
            return;
        }
        self.pending.ends.push((placer, attempt));
    }

    /// Whether an end is not written yet.
    pub(super) fn has_end(&self, attempt: &message::Attempt) -> bool {
        self.unwritten_ends().any(|known| known == attempt)
    }

    /// Whether the end of any attempt of a task is not written yet.
    pub(super) fn has_end_of(&self, task: &ids::TaskId) -> bool {
        self.unwritten_ends().any(|known| known.task == *task)
    }

    fn unwritten_ends(&self) -> impl Iterator<Item = &message::Attempt> {
        let in_doubt = self.in_doubt.as_ref().map(|(_, batch)| batch);
        [Some(&self.pending), self.in_flight.as_ref(), in_doubt]
            .into_iter()
            .flatten()
            .flat_map(|batch| batch.ends.iter().map(|(_, attempt)| attempt))
    }

    pub(super) fn mark_dirty(&mut self) {
        self.pending.dirty = true;
    }
}

impl Home {
    /// Reads or writes the document when that is due.
    pub(super) fn poll_document(&mut self, now: Now) {
        let state = &mut self.document;
        if state.reading || state.in_flight.is_some() {
            return;
        }
        if state.retry_at.is_some_and(|at| now.at < at) {
            return;
        }
        let Some(revision) = state.revision.filter(|_| state.in_doubt.is_none()) else {
            state.reading = true;
            self.actions.push(Action::Read);
            return;
        };
        let interval_passed = state
            .last_write
            .is_none_or(|at| now.at >= at + self.config.write_interval);
        if state.pending.is_empty() || !interval_passed {
            return;
        }
        self.write(now, revision);
    }

    fn write(&mut self, now: Now, expected: ids::Revision) {
        self.drop_old_jobs(now);
        // Only while it drains: then the home sends no more orders, so the list stays valid.
        let placed = self.draining.then(|| self.maybe_placed());
        let state = &mut self.document;
        state.in_flight = Some(std::mem::take(&mut state.pending));
        state.last_write = Some(now.at);
        state.sequence += 1;
        state.writes += 1;
        let jobs = self
            .jobs
            .iter()
            .map(|(id, job)| (id.clone(), job.record.clone()))
            .collect();
        let document = jobs::JobDocument {
            epoch: self.key.epoch,
            sequence: state.sequence,
            placed,
            jobs,
        };
        let call = super::WriteCall { expected, document };
        self.actions.push(Action::Write(call));
    }

    /// Tasks that may be placed.
    fn maybe_placed(&self) -> Vec<ids::TaskId> {
        let mut all = Vec::new();
        for (id, job) in &self.jobs {
            for (index, task) in &job.tasks {
                // A reservation that was never started ends with this home.
                let placed = !matches!(
                    task.stage,
                    job::Stage::Queued { .. } | job::Stage::Held { .. } | job::Stage::Ended(_)
                );
                if placed {
                    all.push(ids::TaskId {
                        job: id.clone(),
                        index: *index,
                    });
                }
            }
        }
        all
    }

    /// Drops ended jobs after their retention time.
    fn drop_old_jobs(&mut self, now: Now) {
        let keep_ms = self.config.keep_ended_ms;
        self.jobs.retain(|_, job| {
            job.record.ended.is_none() || job.record.ended_unix_ms + keep_ms > now.unix_ms
        });
    }

    /// Applies the result of a read.
    pub fn on_read(&mut self, now: Now, outcome: ReadOutcome) {
        self.document.reading = false;
        let ReadOutcome::Read(revision, document) = outcome else {
            self.store_failed(now);
            return;
        };
        if document.epoch > self.key.epoch {
            self.fence();
            return;
        }
        self.document.retry_at = None;
        self.document.revision = Some(revision);
        let known = document.epoch == self.key.epoch;
        match self.document.in_doubt.take() {
            Some((sequence, batch)) if known && document.sequence >= sequence => {
                self.written(now, batch);
            }
            Some((_, batch)) if self.document.owned => self.document.pending.put_back(batch),
            // Until this home has written, an earlier home may have written after the
            // document was loaded, so it is loaded again.
            _ if !self.document.owned => self.load(now, document),
            _ => {}
        }
    }

    /// Applies the result of a write.
    pub fn on_write(&mut self, now: Now, outcome: WriteOutcome) {
        let Some(batch) = self.document.in_flight.take() else {
            return;
        };
        match outcome {
            WriteOutcome::Written(revision) => {
                self.document.revision = Some(revision);
                self.document.retry_at = None;
                self.written(now, batch);
            }
            WriteOutcome::Failed(Verdict::NotRun) => {
                let batch = self.reject_submissions(batch);
                self.document.pending.put_back(batch);
                self.store_failed(now);
            }
            WriteOutcome::Failed(_) => {
                let batch = self.answer_unknown(batch);
                self.document.in_doubt = Some((self.document.sequence, batch));
                self.store_failed(now);
            }
            // An earlier write of this home, or one of an earlier home, took effect.
            // Only this home writes under its epoch, so reading the document back
            // shows which.
            WriteOutcome::Conflict => {
                self.document.in_doubt = Some((self.document.sequence, batch));
            }
        }
    }

    fn store_failed(&mut self, now: Now) {
        self.document.retry_at = Some(now.at + self.config.store_retry);
        // Requests that wait are answered now instead of after the outage.
        let pending = std::mem::take(&mut self.document.pending);
        self.document.pending = self.reject_submissions(pending);
        if let Some((sequence, batch)) = self.document.in_doubt.take() {
            let batch = self.answer_unknown(batch);
            self.document.in_doubt = Some((sequence, batch));
        }
    }

    /// Rejects submissions that were not written, unless an earlier write may hold them.
    fn reject_submissions(&mut self, mut batch: Batch) -> Batch {
        let retry = clock::millis(self.config.store_retry);
        let submitted = std::mem::take(&mut batch.submitted);
        for (id, reply_tos) in submitted {
            let maybe_written = self
                .jobs
                .get(&id)
                .is_none_or(|job| job.maybe_written || job.written);
            if maybe_written {
                batch.submitted.push((id, reply_tos));
                continue;
            }
            self.jobs.swap_remove(&id);
            batch.dirty = true;
            for reply_to in reply_tos {
                self.refuse(
                    reply_to,
                    operator::ErrorKind::Unavailable,
                    format!("job {id} was not accepted: the store does not answer"),
                    Some(retry),
                );
            }
        }
        // The remaining submissions may be in the store, and the remaining changes
        // are in effect but not yet written.
        self.answer_unknown(batch)
    }

    /// Answers those who wait for a write that its outcome is unknown.
    fn answer_unknown(&mut self, mut batch: Batch) -> Batch {
        let retry = clock::millis(self.config.store_retry);
        let mut callers = Vec::new();
        for (id, reply_tos) in &mut batch.submitted {
            if let Some(job) = self.jobs.get_mut(id) {
                job.maybe_written = true;
            }
            callers.extend(reply_tos.drain(..).map(|reply_to| (id.clone(), reply_to)));
        }
        callers.append(&mut batch.waiting);
        for (id, reply_to) in callers {
            self.refuse(
                reply_to,
                operator::ErrorKind::Unknown,
                format!("job {id}: the store's answer was lost; ask again with the same id"),
                Some(retry),
            );
        }
        batch
    }

    fn written(&mut self, now: Now, batch: Batch) {
        self.document.owned = true;
        for (id, reply_tos) in batch.submitted {
            self.accepted(now, &id);
            for reply_to in reply_tos {
                let outcome = self.status(&id);
                self.answer(reply_to, outcome);
            }
        }
        for (id, reply_to) in batch.waiting {
            let outcome = self.status(&id);
            self.answer(reply_to, outcome);
        }
        for task in batch.marks {
            self.on_start_marked(now, &task);
        }
        self.acknowledge(batch.ends);
    }

    /// Marks a job as accepted and queues its tasks.
    fn accepted(&mut self, now: Now, id: &ids::JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if std::mem::replace(&mut job.written, true) {
            return;
        }
        let all: Vec<_> = job.tasks.keys().copied().collect();
        for index in all {
            self.enqueue(now, id, index, now.at);
        }
    }

    fn acknowledge(&mut self, ends: Vec<(ids::MemberKey, message::Attempt)>) {
        let mut by_placer: indexmap::IndexMap<_, Vec<_>> = indexmap::IndexMap::new();
        for (placer, attempt) in ends {
            by_placer.entry(placer).or_default().push(attempt);
        }
        for (placer, attempts) in by_placer {
            let question = message::Question::Acknowledge(self.key.clone(), attempts);
            self.actions.push(Action::Call(placer, question));
        }
    }

    /// Stops all work because a later home holds the shard; those who wait are told to retry.
    pub(super) fn fence(&mut self) {
        self.fenced = true;
        let pending = std::mem::take(&mut self.document.pending);
        let in_flight = self.document.in_flight.take();
        for batch in [Some(pending), in_flight].into_iter().flatten() {
            self.answer_unknown(batch);
        }
    }
}
