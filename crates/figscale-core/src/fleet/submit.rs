//! Operations of callers: submit a job, cancel one, query its state.

use std::sync;
use std::time;

use figscale_types::fleet;

use super::admission;
use super::cancelled_ids;
use super::job;
use super::scheduler;

impl scheduler::Scheduler {
    /// Submits a job without a customer; see [`Self::submit_for`].
    pub fn submit(
        &mut self,
        id: fleet::JobId,
        queue: &fleet::Queue,
        description: impl Into<sync::Arc<fleet::JobDescription>>,
        now: time::Instant,
        wall_ms: u64,
    ) -> admission::Admission {
        self.submit_for(None, id, queue, description, now, wall_ms)
    }

    /// Submits a job of a customer. A repeat with the same id is the same job.
    pub fn submit_for(
        &mut self,
        customer: Option<fleet::CustomerName>,
        id: fleet::JobId,
        queue: &fleet::Queue,
        description: impl Into<sync::Arc<fleet::JobDescription>>,
        now: time::Instant,
        wall_ms: u64,
    ) -> admission::Admission {
        if !self.is_open_to(id, customer.as_ref()) {
            return admission::Admission::IdTaken;
        }
        if let Some(known) = self.jobs.get(&id) {
            return match known.stored {
                true => admission::Admission::Known,
                false => admission::Admission::Accepted,
            };
        }
        if self.cancelled_ids.contains(id, customer.as_ref()) {
            return admission::Admission::Cancelled;
        }
        let queue = sync::Arc::new(queue.clone());
        let job = job::Job::new(id, queue, customer, description.into(), wall_ms, now);
        if self.is_beyond_limit(&job) {
            return admission::Admission::TooLarge;
        }
        if let Some(refused) = self.refusal(&job, now) {
            return refused;
        }
        self.record_admitted(&job, now);
        self.open.insert(id);
        self.jobs.insert(id, job);
        self.unsaved.create(id);
        admission::Admission::Accepted
    }

    /// Drops a job whose record was certainly never sent to the store. If it was
    /// cancelled, its id stays so: another submission with it may follow.
    pub fn withdraw(&mut self, id: fleet::JobId) {
        if self.jobs.get(&id).is_none_or(|job| job.stored) {
            return;
        }
        self.open.shift_remove(&id);
        self.unsaved.forget(id);
        let job = self.jobs.shift_remove(&id);
        let cancelled = job.filter(|job| job.end == Some(fleet::JobState::Cancelled));
        if let Some(job) = cancelled {
            let customer = job.customer;
            let id = cancelled_ids::CancelledId { job: id, customer };
            self.cancelled_ids.insert(id, job.ended_wall_ms);
        }
    }

    /// Cancels a job; returns its state after that, or `None` if there is no such
    /// job.
    ///
    /// The state may be returned to the caller once the records taken next are
    /// written.
    pub fn cancel(&mut self, id: fleet::JobId, now: time::Instant) -> Option<fleet::JobState> {
        self.admission.turns.remove(id);
        self.end_job(id, fleet::JobState::Cancelled, now);
        self.state(id)
    }

    /// Cancels the id of a job that is not known: submissions of it by the same customer
    /// are rejected, also by later leaders. `None` stands for all customers.
    ///
    /// The cancel may be acknowledged once [`Self::is_cancelled_id`] holds.
    pub fn cancel_id(
        &mut self,
        id: fleet::JobId,
        customer: Option<fleet::CustomerName>,
        wall_ms: u64,
    ) -> cancelled_ids::IdCancel {
        let id = cancelled_ids::CancelledId { job: id, customer };
        let retention = self.config.outcome_retention;
        self.cancelled_ids.cancel(id, wall_ms, retention)
    }

    /// Whether the store has the record that a customer cancelled an id of which no job
    /// was known.
    pub fn is_cancelled_id(
        &self,
        id: fleet::JobId,
        customer: Option<&fleet::CustomerName>,
    ) -> bool {
        let ids = &self.cancelled_ids;
        ids.contains(id, customer) && !ids.is_unwritten(id, customer)
    }

    /// Whether the record of a cancel, of a job or of an id without one, has still to be
    /// written.
    pub fn has_unwritten_cancel(
        &self,
        id: fleet::JobId,
        customer: Option<&fleet::CustomerName>,
    ) -> bool {
        self.has_unwritten_end(id) || self.cancelled_ids.is_unwritten(id, customer)
    }

    /// Returns the state of a job that callers may be told: a final state only once
    /// its record is in the store, so that every later leader tells it too. `None`
    /// unless the job's own record is there.
    pub fn durable_state(&self, id: fleet::JobId) -> Option<fleet::JobState> {
        let stored = self.jobs.get(&id).filter(|job| job.stored);
        stored.map(job::Job::durable_state)
    }

    /// Returns the state of a job as this leader knows it; `None` if there is no such
    /// job.
    pub fn state(&self, id: fleet::JobId) -> Option<fleet::JobState> {
        self.jobs.get(&id).map(job::Job::state)
    }

    /// Whether a job's record is known to be in the store.
    pub fn is_stored(&self, id: fleet::JobId) -> bool {
        self.jobs.get(&id).is_some_and(|job| job.stored)
    }

    /// Revision at which the store has the record of a job's end; `None` while it is
    /// not known to have one.
    pub fn end_revision(&self, id: fleet::JobId) -> Option<u64> {
        self.jobs.get(&id).and_then(|job| job.end_revision)
    }

    /// Whether a job has ended and the store does not have the record of that yet.
    pub fn has_unwritten_end(&self, id: fleet::JobId) -> bool {
        let ended = self.jobs.get(&id).filter(|job| !job.is_open());
        ended.is_some_and(|job| job.end_revision.is_none())
    }

    /// Whether a job has changes that are not known to be in the store.
    pub fn is_unsaved(&self, id: fleet::JobId) -> bool {
        self.unsaved.contains(id)
    }

    /// Whether a write of a job's records is in flight.
    pub fn is_being_written(&self, id: fleet::JobId) -> bool {
        self.unsaved.is_writing(id)
    }

    /// Number of accepted jobs of a queue of which no task has started.
    pub fn pending(&self, queue_name: &str) -> u64 {
        let open = self.open.iter().filter_map(|id| self.jobs.get(id));
        let waits = |job: &&job::Job| job.queue.name == queue_name && !job.started && job.stored;
        open.filter(waits).count() as u64
    }
}
