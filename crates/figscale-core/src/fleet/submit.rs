//! Operations of callers: submit a job, cancel one, query its state.

use std::sync;
use std::time;

use figscale_types::fleet;

use super::admission;
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

    /// Drops a job whose record was certainly never sent to the store.
    pub fn withdraw(&mut self, id: fleet::JobId) {
        if self.jobs.get(&id).is_some_and(|job| !job.stored) {
            self.jobs.shift_remove(&id);
            self.open.shift_remove(&id);
            self.unsaved.forget(id);
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
