//! A worker as the leader knows it: resources, runs, lease and health.

use std::collections::VecDeque;
use std::time;

use figscale_types::fleet;
use indexmap::IndexMap;

use super::health;
use super::job;
use super::lease;
use super::speed;

/// How long a worker that is no longer listed, but still responds, gets new
/// work. Entries that lapse while the store is unavailable are back within two
/// seconds.
const UNLISTED_GRACE: time::Duration = time::Duration::from_millis(2_500);

/// A long-running task that has run for this time on a worker on probation doesn't
/// keep other tasks from being tried there. Tasks fail sooner on a faulty worker.
const MAX_TRIAL: time::Duration = time::Duration::from_secs(3);

/// A run that was ordered, or reported by the worker.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) room: fleet::Room,
    /// The customer that it runs for.
    pub(crate) customer: Option<fleet::CustomerName>,
    /// The worker refuses the start after this reading of its clock.
    pub(crate) expires_clock_ms: u64,
    /// Reading of the worker's clock at which it was known to have started.
    pub(crate) confirmed_clock_ms: Option<u64>,
    pub(crate) ordered_at: time::Instant,
    /// From the time of its order and its step's estimate, or from its progress.
    pub(crate) expected_end: time::Instant,
    /// Whether its step is long-running, so that it ends only if it is stopped.
    pub(crate) long_running: bool,
    /// When a stop was last ordered.
    pub(crate) stop_ordered: Option<time::Instant>,
    /// Since when it has used no processor time.
    pub(crate) idle_since: Option<time::Instant>,
    /// Whether nothing else may be started on its worker.
    pub(crate) quarantined: bool,
    pub(crate) speed: speed::RunSpeed,
}

impl Run {
    /// Whether its worker has confirmed that it started.
    pub(crate) fn is_confirmed(&self) -> bool {
        self.confirmed_clock_ms.is_some()
    }

    /// Whether it occupies its resources until it is stopped.
    pub(crate) fn runs_until_stopped(&self) -> bool {
        self.long_running && self.stop_ordered.is_none()
    }

    /// Time from its order to `at`; zero if that is earlier or unknown.
    pub(crate) fn age_at(&self, at: Option<time::Instant>) -> time::Duration {
        at.map_or(time::Duration::ZERO, |at| {
            at.saturating_duration_since(self.ordered_at)
        })
    }
}

/// One attempt of one task.
pub(crate) type RunKey = (fleet::TaskId, u32);

/// One incarnation of a worker.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) entry: fleet::WorkerEntry,
    /// When the last read of its entry began.
    pub(crate) entry_read_at: Option<time::Instant>,
    /// A draining worker stays at least until this time.
    pub(crate) leaves_at: Option<time::Instant>,
    /// Since when the platform no longer lists it.
    pub(crate) unlisted_at: Option<time::Instant>,
    /// Whether another incarnation has taken its place; this one never returns.
    pub(crate) replaced: bool,
    /// Whether the store's record names it among the workers that may run
    /// something.
    pub(crate) recorded: bool,
    /// Whether it has reported in this term.
    pub(crate) reported: bool,
    /// Whether one of its reports in this term was complete.
    pub(crate) reported_completely: bool,
    /// Whether the latest report may have left out finished runs.
    pub(crate) finished_truncated: bool,
    /// Since when a call has failed or is overdue, without a report since.
    pub(crate) unresponsive_since: Option<time::Instant>,
    /// Whether a lease for an earlier incarnation, by another clock, may reach it.
    pub(crate) may_have_foreign_lease: bool,
    pub(crate) lease: lease::Lease,
    pub(crate) health: health::Health,
    /// How long work takes here, by the evidence in `speed`.
    pub(crate) slowdown: fleet::Slowdown,
    pub(crate) speed: speed::WorkerSpeed,
    pub(crate) runs: IndexMap<RunKey, Run>,
    /// Highest number of a task's end that was applied.
    pub(crate) applied: u64,
    /// Highest number of a task's end whose effects are in the store.
    pub(crate) acknowledged: u64,
    /// Numbers and jobs of the ends in between.
    unacknowledged: VecDeque<(u64, fleet::JobId)>,
    used: fleet::Room,
    /// The part of it that is used by long-running runs that are not being stopped.
    used_by_long_running: fleet::Room,
    /// Number of its runs in quarantine.
    quarantined: usize,
    /// Number of its runs that were ordered to stop.
    stopping: usize,
}

/// What the next request for a worker's report should carry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportDue {
    /// Ends up to this number need not be reported again.
    pub acknowledged: u64,
    /// Reading of the worker's clock until which all its runs may continue.
    pub lease_until_clock_ms: Option<u64>,
}

impl ReportDue {
    /// A request that changes nothing at an incarnation other than the one called.
    pub(crate) fn without_effect() -> Self {
        Self {
            acknowledged: 0,
            lease_until_clock_ms: None,
        }
    }
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
            reported_completely: false,
            finished_truncated: false,
            unresponsive_since: None,
            may_have_foreign_lease: false,
            lease: lease::Lease::default(),
            health: health::Health::default(),
            slowdown: fleet::Slowdown::ORDINARY,
            speed: speed::WorkerSpeed::default(),
            runs: IndexMap::new(),
            applied: 0,
            acknowledged: 0,
            unacknowledged: VecDeque::new(),
            used: fleet::Room::default(),
            used_by_long_running: fleet::Room::default(),
            quarantined: 0,
            stopping: 0,
        }
    }

    pub(crate) fn set_speed(&mut self, known: speed::WorkerSpeed) {
        self.slowdown = known.slowdown();
        self.speed = known;
    }

    /// Records the end of a task of this job as applied.
    pub(crate) fn record_end(&mut self, number: u64, job: fleet::JobId) {
        self.applied = number;
        self.unacknowledged.push_back((number, job));
    }

    /// Records that the effects of ends up to this number are in the store.
    pub(crate) fn acknowledge(&mut self, number: u64) {
        self.acknowledged = self.acknowledged.max(number);
        let known = self.acknowledged;
        self.unacknowledged.retain(|(number, _)| *number > known);
    }

    /// Jobs with ends on this worker that are not acknowledged yet.
    pub(crate) fn unacknowledged_jobs(&self) -> impl Iterator<Item = fleet::JobId> {
        self.unacknowledged.iter().map(|(_, job)| *job)
    }

    /// Resources not in use. Runs that are being stopped still count as use.
    pub(crate) fn free(&self) -> fleet::Room {
        self.free_beside(&self.used)
    }

    /// Resources left beside `used`. None at all if `used` exceeds the worker
    /// in any kind of resource, as happens when the worker has shrunk.
    pub(crate) fn free_beside(&self, used: &fleet::Room) -> fleet::Room {
        match self.entry.room.holds(used) {
            true => self.entry.room.minus(used),
            false => fleet::Room::default(),
        }
    }

    pub(crate) fn used(&self) -> fleet::Room {
        self.used
    }

    /// Resources that are free once all runs have ended but the long-running ones.
    pub(crate) fn free_beside_long_running(&self) -> fleet::Room {
        self.free_beside(&self.used_by_long_running)
    }

    pub(crate) fn add_run(&mut self, key: RunKey, run: Run) {
        self.remove_run(&key);
        self.used = self.used.plus(&run.room);
        if run.runs_until_stopped() {
            self.used_by_long_running = self.used_by_long_running.plus(&run.room);
        }
        self.quarantined += usize::from(run.quarantined);
        self.stopping += usize::from(run.stop_ordered.is_some());
        self.runs.insert(key, run);
    }

    pub(crate) fn remove_run(&mut self, key: &RunKey) -> Option<Run> {
        let run = self.runs.swap_remove(key)?;
        self.used = self.used.minus(&run.room);
        if run.runs_until_stopped() {
            self.used_by_long_running = self.used_by_long_running.minus(&run.room);
        }
        self.quarantined -= usize::from(run.quarantined);
        self.stopping -= usize::from(run.stop_ordered.is_some());
        Some(run)
    }

    /// Removes and returns the selected runs.
    pub(crate) fn take_runs(&mut self, selects: impl Fn(&Run) -> bool) -> IndexMap<RunKey, Run> {
        let selected = self.runs.iter().filter(|(_, run)| selects(run));
        let keys: Vec<RunKey> = selected.map(|(key, _)| *key).collect();
        let take = |key| self.remove_run(&key).map(|run| (key, run));
        keys.into_iter().filter_map(take).collect()
    }

    /// Records that a run was ordered to stop.
    pub(crate) fn record_stop(&mut self, key: &RunKey, at: time::Instant) {
        if let Some(run) = self.runs.get_mut(key) {
            if run.runs_until_stopped() {
                self.used_by_long_running = self.used_by_long_running.minus(&run.room);
            }
            let last = run.stop_ordered.replace(at);
            self.stopping += usize::from(last.is_none());
        }
    }

    /// Runs that were ordered to stop.
    pub(crate) fn stopping_runs(&self) -> impl Iterator<Item = &RunKey> {
        let runs = match self.stopping {
            0 => None,
            _ => Some(&self.runs),
        };
        let runs = runs.into_iter().flatten();
        let stopping = runs.filter(|(_, run)| run.stop_ordered.is_some());
        stopping.map(|(key, _)| key)
    }

    /// Whether one of its runs is in quarantine.
    pub(crate) fn is_quarantined(&self) -> bool {
        self.quarantined > 0
    }

    /// Ends the quarantine of the runs that `selects` selects.
    pub(crate) fn end_quarantine(&mut self, selects: impl Fn(&RunKey) -> bool) {
        for (key, run) in &mut self.runs {
            if run.quarantined && selects(key) {
                run.quarantined = false;
                self.quarantined -= 1;
            }
        }
    }

    /// Whether some run here may be no older than `age`, as of the last report.
    pub(crate) fn has_run_younger_than(&self, age: time::Duration) -> bool {
        let read_at = self.lease.read_at();
        self.runs.values().any(|run| run.age_at(read_at) <= age)
    }

    /// Whether another incarnation may respond in its place. That would take an
    /// acknowledgement for its own ends, and a lease by its own clock.
    pub(crate) fn may_have_restarted(&self) -> bool {
        self.entry.id.born_ms().is_some() && self.unresponsive_since.is_some()
    }

    /// Records whether a report leaves out finished runs, unless a later one is known.
    pub(crate) fn record_truncation(&mut self, report: &fleet::WorkerReport) {
        let latest_ms = self.lease.last_reading_ms();
        if latest_ms.is_none_or(|latest_ms| report.clock_ms >= latest_ms) {
            self.finished_truncated = report.finished_truncated;
        }
    }

    /// Records a report or response of the worker.
    pub(crate) fn record_contact(&mut self, clock_ms: u64, now: time::Instant) {
        self.lease.record_reading(clock_ms, now);
        self.unresponsive_since = None;
    }

    /// Whether new work may be sent. `max_contact_age` bounds the time since the
    /// last report, `max_entry_age` that since the last read of its entry.
    pub(crate) fn is_usable(
        &self,
        max_contact_age: time::Duration,
        max_entry_age: time::Duration,
        now: time::Instant,
    ) -> bool {
        let up_to_date = self
            .lease
            .time_since_reading(now)
            .is_some_and(|elapsed| elapsed <= max_contact_age);
        let up_to_date = up_to_date
            && self
                .entry_read_at
                .is_some_and(|at| now <= at + max_entry_age);
        let listed = self.unlisted_at.is_none_or(|at| now < at + UNLISTED_GRACE);
        let known = listed && self.reported && self.unresponsive_since.is_none();
        let open = known && !self.entry.draining && !self.replaced && !self.is_quarantined();
        up_to_date && open && self.admits(now)
    }

    /// Whether it counts as capacity: it takes work now, or as soon as its report and
    /// its entry are up to date again.
    pub(crate) fn offers_capacity(&self, now: time::Instant) -> bool {
        let present = self.unresponsive_since.is_none() && !self.replaced;
        present && !self.entry.draining && !self.is_quarantined() && self.admits(now)
    }

    /// Whether its health admits another task beside those that run here.
    pub(crate) fn admits(&self, now: time::Instant) -> bool {
        let on_trial = |run: &Run| !run.long_running || run.age_at(Some(now)) <= MAX_TRIAL;
        let any_on_trial = || self.runs.values().any(on_trial);
        self.health.admits(any_on_trial, now)
    }

    /// Whether the worker could run a step of a queue at all, when empty.
    pub(crate) fn suits(&self, queue: &fleet::Queue, step: &fleet::StepDescription) -> bool {
        let label = step.required_label.as_ref();
        self.entry.service == queue.service
            && label.is_none_or(|label| self.entry.labels.contains(label))
    }

    /// Whether nothing runs on this incarnation of the worker and nothing ever
    /// will.
    ///
    /// An order without a response stays among the runs until a report that is
    /// later than its expiry does not list it.
    pub(crate) fn is_retired(&self) -> bool {
        self.entry.draining && self.reported && self.is_settled()
    }

    /// Whether nothing is known to run here, and every end is known and in the store.
    pub(crate) fn is_settled(&self) -> bool {
        self.runs.is_empty() && self.applied == self.acknowledged && !self.finished_truncated
    }

    /// Number of further tasks of a step that fit beside what runs here. `task` is
    /// any task of the step.
    pub(crate) fn free_slots(&self, task: &fleet::TaskId, step: &fleet::StepDescription) -> u64 {
        let count = u64::from(step.count);
        let fitting = self.free().count_fitting(&job::occupied(step), count);
        match fitting {
            0 => 0,
            fitting => fitting.min(self.tasks_left(task, step)),
        }
    }

    /// Number of further tasks of a step that its limit admits here, whatever the
    /// free resources. `task` is any task of the step. Without a limit the runs here
    /// are not examined.
    pub(crate) fn tasks_left(&self, task: &fleet::TaskId, step: &fleet::StepDescription) -> u64 {
        step.max_per_worker.map_or(u64::MAX, |most| {
            u64::from(most).saturating_sub(self.runs_of_step(task) as u64)
        })
    }

    /// Number of runs of the same step and occurrence as `task` here.
    pub(crate) fn runs_of_step(&self, task: &fleet::TaskId) -> usize {
        let same = |key: &&RunKey| key.0.is_of_same_step(task);
        self.runs.keys().filter(same).count()
    }
}
