//! What has changed and is not known to be in the store yet.
//!
//! Several writes may be on their way at once, and end in any order. A job is
//! in one of them at most, so that its records are written in the order of its
//! changes. Whatever hangs on several jobs, as the acknowledgement of a
//! worker's ends does, is noted with the number of changes so far and is due
//! once no older change is left. New jobs are no changes in this sense: nothing
//! of them has run, so nothing that was noted hangs on them.

use std::collections::VecDeque;

use figscale_types::fleet;
use indexmap::IndexMap;

/// Notes of ends kept at most; a write is begun each 20 ms at most and takes
/// 0.25 s beside a slow store, so there are a dozen.
const MAX_NOTES: usize = 32;

/// Age of a new job's record, younger than all that is noted.
const NEW: u64 = u64::MAX;

/// Ends up to these numbers.
pub(crate) type Ends = Vec<(fleet::WorkerId, u64)>;

/// Changes that are not known to be in the store.
#[derive(Clone, Debug, Default)]
pub(crate) struct Unsaved {
    /// Jobs with changes in no write, each with the age of the oldest.
    waiting: IndexMap<fleet::JobId, u64>,
    /// Jobs in a write, likewise.
    writing: IndexMap<fleet::JobId, u64>,
    /// Ends that were taken in when changes were of this age, oldest first.
    notes: VecDeque<(u64, Ends)>,
    /// Age of changes made now; counts up.
    now: u64,
}

impl Unsaved {
    /// Notes a new job.
    pub(crate) fn create(&mut self, id: fleet::JobId) {
        self.waiting.entry(id).or_insert(NEW);
    }

    /// Notes a change of a job.
    pub(crate) fn change(&mut self, id: fleet::JobId) {
        self.waiting.entry(id).or_insert(self.now);
    }

    /// Drops the changes of a job that comes to nothing.
    pub(crate) fn forget(&mut self, id: fleet::JobId) {
        self.waiting.shift_remove(&id);
    }

    /// Whether changes of a job are not known to be in the store.
    pub(crate) fn contains(&self, id: fleet::JobId) -> bool {
        self.waiting.contains_key(&id) || self.writing.contains_key(&id)
    }

    /// Whether a job is in a write on its way.
    pub(crate) fn is_writing(&self, id: fleet::JobId) -> bool {
        self.writing.contains_key(&id)
    }

    /// Jobs that the next write can take, those that have waited longest first.
    pub(crate) fn ready(&self) -> impl Iterator<Item = fleet::JobId> {
        let ready = |id: &&fleet::JobId| !self.writing.contains_key(*id);
        self.waiting.keys().filter(ready).copied()
    }

    /// Takes a job's changes into a write.
    pub(crate) fn take(&mut self, id: fleet::JobId) {
        if let Some(age) = self.waiting.shift_remove(&id) {
            self.writing.insert(id, age);
        }
    }

    /// The changes of these jobs are in the store.
    pub(crate) fn written(&mut self, jobs: &[fleet::JobId]) {
        for id in jobs {
            self.writing.swap_remove(id);
        }
    }

    /// The changes of these jobs are not in the store and will not be. They go
    /// before what has changed since.
    pub(crate) fn not_written(&mut self, jobs: &[fleet::JobId]) {
        for id in jobs.iter().rev() {
            if let Some(age) = self.writing.swap_remove(id) {
                self.waiting.shift_insert(0, *id, age);
            }
        }
    }

    /// Notes ends whose effects are among the changes up to now.
    pub(crate) fn note(&mut self, ends: Ends) {
        if ends.is_empty() || self.notes.len() >= MAX_NOTES {
            return;
        }
        self.notes.push_back((self.now, ends));
        self.now += 1;
    }

    /// Ends whose effects are all in the store, each told once.
    pub(crate) fn due(&mut self) -> Ends {
        let ages = self.waiting.values().chain(self.writing.values());
        let oldest = ages.min().copied().unwrap_or(NEW);
        let mut due = Ends::new();
        while self.notes.front().is_some_and(|(age, _)| *age < oldest) {
            due.extend(self.notes.pop_front().into_iter().flat_map(|note| note.1));
        }
        due
    }
}
