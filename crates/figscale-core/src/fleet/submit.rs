//! What callers ask: to take a job, to cancel one, how it stands.

use std::sync;
use std::time;

use figscale_types::fleet;

use super::admission;
use super::job;
use super::scheduler;

impl scheduler::Scheduler {
    /// Takes a job of no customer; see [`Self::submit_for`].
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

    /// Takes a customer's job, or says why not. The same id again is the same job.
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
        self.open.insert(id);
        self.jobs.insert(id, job);
        self.unsaved.create(id);
        admission::Admission::Accepted
    }

    /// Forgets a job whose record was surely never sent.
    pub fn withdraw(&mut self, id: fleet::JobId) {
        if self.jobs.get(&id).is_some_and(|job| !job.stored) {
            self.jobs.shift_remove(&id);
            self.open.shift_remove(&id);
            self.unsaved.forget(id);
        }
    }

    /// Cancels a job; its state after that, or `None` if there is no such job.
    ///
    /// The caller may be told once the records taken next are written.
    pub fn cancel(&mut self, id: fleet::JobId, now: time::Instant) -> Option<fleet::JobState> {
        self.end_job(id, fleet::JobState::Cancelled, now);
        self.state(id)
    }

    /// How a job stands; `None` if there is no such job.
    pub fn state(&self, id: fleet::JobId) -> Option<fleet::JobState> {
        self.jobs.get(&id).map(job::Job::state)
    }

    /// Whether a job's record is in the store.
    pub fn is_stored(&self, id: fleet::JobId) -> bool {
        self.jobs.get(&id).is_some_and(|job| job.stored)
    }

    /// Whether a change of a job is not known to be in the store.
    pub fn is_unsaved(&self, id: fleet::JobId) -> bool {
        self.unsaved.contains(id)
    }

    /// Whether a record of a job is on its way to the store.
    pub fn is_being_written(&self, id: fleet::JobId) -> bool {
        self.unsaved.is_writing(id)
    }

    /// Accepted jobs of a queue of which no task has started.
    pub fn pending(&self, queue_name: &str) -> u64 {
        let open = self.open.iter().filter_map(|id| self.jobs.get(id));
        let waits = |job: &&job::Job| job.queue.name == queue_name && !job.started && job.stored;
        open.filter(waits).count() as u64
    }
}
