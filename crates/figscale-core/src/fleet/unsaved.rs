//! Changes that are not known to be in the store yet.
//!
//! Several writes may be in flight at once, and complete in any order. A job is in
//! one of them at most, so that its records are written in the order of its
//! changes.
//!
//! The acknowledgement of a worker's ends depends on the changes of several
//! jobs. So changes carry a generation number, and ends are stored with the
//! generation at the time that they were applied; they can be acknowledged once
//! no change of that or an earlier generation is unsaved. New jobs are exempt:
//! none of their tasks has run, so no end depends on them.
//!
//! A task with losses starts only after they and its announcement are in the store. It
//! must not wait for other changes of its job, which may come more often than writes
//! end. So losses and announcements are tracked apart.

use std::collections::VecDeque;

use figscale_types::fleet;
use indexmap::IndexMap;
use indexmap::IndexSet;

/// Maximum number of batches of ends that wait to be acknowledged. At most one
/// write is begun every 20 ms, and it takes 0.25 s with a slow store, so there
/// are about a dozen.
const MAX_PENDING_ENDS: usize = 32;

/// Generation of a new job's record, later than that of any batch of ends.
const NEW_JOB: u64 = u64::MAX;

/// Workers, each with the number up to which its ends are included.
pub type Ends = Vec<(fleet::WorkerId, u64)>;

/// Number that orders changes by time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Generation(u64);

/// Changes that are not known to be in the store.
#[derive(Clone, Debug, Default)]
pub(crate) struct Unsaved {
    /// Jobs with changes that are in no write, each with the generation of the
    /// oldest one.
    waiting: IndexMap<fleet::JobId, u64>,
    /// Jobs in a write in flight, each with the generation of its oldest change in
    /// that write.
    writing: IndexMap<fleet::JobId, u64>,
    /// Jobs with losses or announced starts that are in no write.
    waiting_losses: IndexSet<fleet::JobId>,
    /// Jobs with losses or announced starts in a write in flight.
    writing_losses: IndexSet<fleet::JobId>,
    /// Batches of ends with the generation in which they were applied, oldest
    /// first.
    pending_ends: VecDeque<(u64, Ends)>,
    /// Generation of changes made now; incremented with each write.
    generation: u64,
}

impl Unsaved {
    /// Adds a new job.
    pub(crate) fn create(&mut self, id: fleet::JobId) {
        self.waiting.entry(id).or_insert(NEW_JOB);
    }

    /// Adds a change of a job.
    pub(crate) fn change(&mut self, id: fleet::JobId) {
        self.waiting.entry(id).or_insert(self.generation);
    }

    /// Adds a loss, or an announced start, of a job's task.
    pub(crate) fn change_losses(&mut self, id: fleet::JobId) {
        self.change(id);
        self.waiting_losses.insert(id);
    }

    /// Whether a job has losses or announced starts that are not known to be in the
    /// store.
    pub(crate) fn contains_losses(&self, id: fleet::JobId) -> bool {
        self.waiting_losses.contains(&id) || self.writing_losses.contains(&id)
    }

    /// Drops the changes of a job that was withdrawn.
    pub(crate) fn forget(&mut self, id: fleet::JobId) {
        self.waiting.shift_remove(&id);
        self.waiting_losses.swap_remove(&id);
    }

    /// Whether a job has changes that are not known to be in the store.
    pub(crate) fn contains(&self, id: fleet::JobId) -> bool {
        self.waiting.contains_key(&id) || self.writing.contains_key(&id)
    }

    /// The generation of changes made now.
    pub(crate) fn generation(&self) -> Generation {
        Generation(self.generation)
    }

    /// Whether a change that a job had in this generation may not be in the store.
    pub(crate) fn may_include(&self, id: fleet::JobId, change: Generation) -> bool {
        let oldest = [self.waiting.get(&id), self.writing.get(&id)];
        oldest
            .into_iter()
            .flatten()
            .any(|oldest| *oldest <= change.0)
    }

    /// Whether a job is in a write in flight.
    pub(crate) fn is_writing(&self, id: fleet::JobId) -> bool {
        self.writing.contains_key(&id)
    }

    /// Jobs that the next write can take, the longest waiting first.
    pub(crate) fn ready(&self) -> impl Iterator<Item = fleet::JobId> {
        let ready = |id: &&fleet::JobId| !self.writing.contains_key(*id);
        self.waiting.keys().filter(ready).copied()
    }

    /// Moves a job's changes into a write.
    pub(crate) fn take(&mut self, id: fleet::JobId) {
        if let Some(generation) = self.waiting.shift_remove(&id) {
            self.writing.insert(id, generation);
        }
        if self.waiting_losses.swap_remove(&id) {
            self.writing_losses.insert(id);
        }
    }

    /// Confirms that the changes of these jobs are in the store.
    pub(crate) fn written(&mut self, jobs: &[fleet::JobId]) {
        for id in jobs {
            self.writing.swap_remove(id);
            self.writing_losses.swap_remove(id);
        }
    }

    /// Returns the changes of these jobs, which are not in the store and will not
    /// be, to the front of the waiting changes.
    pub(crate) fn not_written(&mut self, jobs: &[fleet::JobId]) {
        for id in jobs.iter().rev() {
            if let Some(generation) = self.writing.swap_remove(id) {
                self.waiting.shift_insert(0, *id, generation);
            }
            if self.writing_losses.swap_remove(id) {
                self.waiting_losses.insert(*id);
            }
        }
    }

    /// Adds a batch of ends whose effects are among the changes up to now, and begins
    /// the next generation. Beyond `MAX_PENDING_ENDS` batches it is dropped; its ends
    /// are part of a later one.
    pub(crate) fn add_ends(&mut self, ends: Ends) {
        if !ends.is_empty() && self.pending_ends.len() < MAX_PENDING_ENDS {
            self.pending_ends.push_back((self.generation, ends));
        }
        self.generation += 1;
    }

    /// Removes and returns the ends whose effects are all in the store, which can be
    /// acknowledged.
    pub(crate) fn due(&mut self) -> Ends {
        let generations = self.waiting.values().chain(self.writing.values());
        let oldest = generations.min().copied().unwrap_or(NEW_JOB);
        let mut due = Ends::new();
        while self
            .pending_ends
            .front()
            .is_some_and(|(generation, _)| *generation < oldest)
        {
            due.extend(
                self.pending_ends
                    .pop_front()
                    .into_iter()
                    .flat_map(|batch| batch.1),
            );
        }
        due
    }
}
