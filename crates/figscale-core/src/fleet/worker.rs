//! A worker as the leader knows it: room, runs, lease and health.

use std::collections::VecDeque;
use std::mem;
use std::time;

use figscale_types::fleet;
use indexmap::IndexMap;

use super::health;
use super::lease;

/// How long a worker that is listed no more, and still answers, gets work:
/// entries that lapse while the store is away are back within two seconds.
const UNLISTED_GRACE: time::Duration = time::Duration::from_millis(2_500);

/// A run that was ordered, or found, on a worker.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) room: fleet::Room,
    /// For whom it runs.
    pub(crate) customer: Option<fleet::CustomerName>,
    /// The worker refuses the start after this reading of its clock.
    pub(crate) expires_clock_ms: u64,
    /// Reading at which it was known to have started.
    pub(crate) confirmed_clock_ms: Option<u64>,
    pub(crate) ordered_at: time::Instant,
    /// By its estimate.
    pub(crate) expected_end: time::Instant,
    /// When a stop was last ordered.
    pub(crate) stop_ordered: Option<time::Instant>,
    /// Since when it has used no processor.
    pub(crate) idle_since: Option<time::Instant>,
    /// Nothing else is started on its worker.
    pub(crate) quarantined: bool,
}

impl Run {
    /// Whether its worker has said that it had begun.
    pub(crate) fn is_confirmed(&self) -> bool {
        self.confirmed_clock_ms.is_some()
    }

    /// Time from its order to a moment, zero if that is earlier or unknown.
    pub(crate) fn age_at(&self, at: Option<time::Instant>) -> time::Duration {
        at.map_or(time::Duration::ZERO, |at| {
            at.saturating_duration_since(self.ordered_at)
        })
    }
}

/// One start of one task.
pub(crate) type RunKey = (fleet::TaskId, u32);

/// One life of a worker.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) entry: fleet::WorkerEntry,
    /// When the reading of its entry was begun last.
    pub(crate) entry_read_at: Option<time::Instant>,
    /// A draining worker goes on at least until then.
    pub(crate) leaves_at: Option<time::Instant>,
    /// Since when the platform lists it no more.
    pub(crate) unlisted_at: Option<time::Instant>,
    /// Another life of it has come; this one never returns.
    pub(crate) replaced: bool,
    /// The store names it among those that may run something.
    pub(crate) recorded: bool,
    /// It has reported in this term.
    pub(crate) reported: bool,
    /// Since when a call has failed or is overdue, and nothing was heard.
    pub(crate) silent_since: Option<time::Instant>,
    pub(crate) lease: lease::Lease,
    pub(crate) health: health::Health,
    pub(crate) runs: IndexMap<RunKey, Run>,
    /// Highest number of an end that was taken in.
    pub(crate) taken_in: u64,
    /// Highest number of an end whose effects are in the store.
    pub(crate) acknowledged: u64,
    /// Numbers and jobs of the ends in between.
    unacknowledged: VecDeque<(u64, fleet::JobId)>,
    used: fleet::Room,
    /// Of the runs.
    quarantined: usize,
}

/// What the next call for a worker's report should carry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportDue {
    /// Ends up to this number need not be told again.
    pub acknowledged: u64,
    /// Reading of the worker's clock up to which everything may go on.
    pub lease_until_clock_ms: Option<u64>,
}

impl Worker {
    pub(crate) fn new(entry: fleet::WorkerEntry) -> Self {
        Self {
            entry,
            entry_read_at: None,
            leaves_at: None,
            unlisted_at: None,
            replaced: false,
            recorded: false,
            reported: false,
            silent_since: None,
            lease: lease::Lease::default(),
            health: health::Health::default(),
            runs: IndexMap::new(),
            taken_in: 0,
            acknowledged: 0,
            unacknowledged: VecDeque::new(),
            used: fleet::Room::default(),
            quarantined: 0,
        }
    }

    /// An end of a job is taken in.
    pub(crate) fn take_in(&mut self, number: u64, job: fleet::JobId) {
        self.taken_in = number;
        self.unacknowledged.push_back((number, job));
    }

    /// The effects of ends up to this number are in the store.
    pub(crate) fn acknowledge(&mut self, number: u64) {
        self.acknowledged = self.acknowledged.max(number);
        let known = self.acknowledged;
        self.unacknowledged.retain(|(number, _)| *number > known);
    }

    /// Jobs with ends here that are not acknowledged.
    pub(crate) fn unacknowledged_jobs(&self) -> impl Iterator<Item = fleet::JobId> {
        self.unacknowledged.iter().map(|(_, job)| *job)
    }

    /// Room that nothing uses; what is being stopped still counts.
    pub(crate) fn free(&self) -> fleet::Room {
        self.free_beside(&self.used)
    }

    /// Room beside what is used; none at all where that is more than there is of
    /// any kind, as after the room has shrunk.
    pub(crate) fn free_beside(&self, used: &fleet::Room) -> fleet::Room {
        match self.entry.room.holds(used) {
            true => self.entry.room.minus(used),
            false => fleet::Room::default(),
        }
    }

    pub(crate) fn used(&self) -> fleet::Room {
        self.used
    }

    pub(crate) fn add_run(&mut self, key: RunKey, run: Run) {
        self.used = self.used.plus(&run.room);
        self.quarantined += usize::from(run.quarantined);
        if let Some(old) = self.runs.insert(key, run) {
            self.used = self.used.minus(&old.room);
            self.quarantined -= usize::from(old.quarantined);
        }
    }

    pub(crate) fn remove_run(&mut self, key: &RunKey) -> Option<Run> {
        let run = self.runs.swap_remove(key)?;
        self.used = self.used.minus(&run.room);
        self.quarantined -= usize::from(run.quarantined);
        Some(run)
    }

    /// Removes all runs.
    pub(crate) fn take_runs(&mut self) -> IndexMap<RunKey, Run> {
        self.used = fleet::Room::default();
        self.quarantined = 0;
        mem::take(&mut self.runs)
    }

    /// Whether a run here is to be alone.
    pub(crate) fn is_quarantined(&self) -> bool {
        self.quarantined > 0
    }

    /// Ends the quarantine of these runs.
    pub(crate) fn end_quarantine(&mut self, these: impl Fn(&RunKey) -> bool) {
        for (key, run) in &mut self.runs {
            if run.quarantined && these(key) {
                run.quarantined = false;
                self.quarantined -= 1;
            }
        }
    }

    /// Whether some run here is not known to be older than this.
    pub(crate) fn has_younger(&self, age: time::Duration) -> bool {
        let heard_at = self.lease.read_at();
        self.runs.values().any(|run| run.age_at(heard_at) <= age)
    }

    /// Something was heard of it.
    pub(crate) fn heard(&mut self, clock_ms: u64, now: time::Instant) {
        self.lease.read(clock_ms, now);
        self.silent_since = None;
    }

    /// Whether new work may be sent; `max_silence` is how old the last report may
    /// be, `max_entry_age` the last reading of its entry.
    pub(crate) fn is_usable(
        &self,
        max_silence: time::Duration,
        max_entry_age: time::Duration,
        now: time::Instant,
    ) -> bool {
        let heard = self
            .lease
            .silent_for(now)
            .is_some_and(|silent| silent <= max_silence);
        let heard = heard
            && self
                .entry_read_at
                .is_some_and(|at| now <= at + max_entry_age);
        let listed = self.unlisted_at.is_none_or(|at| now < at + UNLISTED_GRACE);
        let known = listed && self.reported && self.silent_since.is_none();
        let open = known && !self.entry.draining && !self.replaced && !self.is_quarantined();
        heard && open && self.health.admits(self.runs.len(), now)
    }

    /// Whether the worker could ever run a step of a queue.
    pub(crate) fn suits(&self, queue: &fleet::Queue, step: &fleet::StepDescription) -> bool {
        let label = step.required_label.as_ref();
        self.entry.service == queue.service
            && label.is_none_or(|label| self.entry.labels.contains(label))
    }

    /// Whether nothing runs here and nothing ever will, in this life of it.
    ///
    /// An order without an answer is among the runs until a report later than
    /// its expiry lacks it.
    pub(crate) fn is_retired(&self) -> bool {
        self.entry.draining && self.reported && self.is_settled()
    }

    /// Whether nothing is known to run here, and the store knows how all that
    /// is known to have ended did.
    pub(crate) fn is_settled(&self) -> bool {
        self.runs.is_empty() && self.taken_in == self.acknowledged
    }

    /// Runs of one step of one occurrence here.
    pub(crate) fn runs_of_step(&self, task: &fleet::TaskId) -> usize {
        let same = |key: &&RunKey| key.0.is_of_same_step(task);
        self.runs.keys().filter(same).count()
    }
}
