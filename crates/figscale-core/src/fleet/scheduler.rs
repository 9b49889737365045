//! The scheduler's state and configuration, the workers that it knows, and the
//! work that is due with time.

use std::collections::VecDeque;
use std::mem;
use std::time;

use figscale_types::fleet;
use indexmap::IndexMap;
use indexmap::IndexSet;

use super::action::Action;
use super::action::LogEntry;
use super::admission;
use super::cancelled_ids;
use super::channels;
use super::crash_evidence;
use super::customers;
use super::health;
use super::incarnations;
use super::job;
use super::lost_machines;
use super::maps;
use super::preempt;
use super::preemption;
use super::speed;
use super::starvation;
use super::unsaved;
use super::worker;

/// Maximum number of outcomes that a tick drops. More jobs end in a tick's time only
/// at 2,560 a second.
const MAX_OUTCOMES_DROPPED: usize = 64;

/// Configuration of a scheduler; the platform's bounds come from settings.
#[derive(Clone, Debug)]
pub struct Config {
    /// Epoch of the term of leadership, sent to workers with each order.
    pub epoch: fleet::Epoch,
    /// Lease granted to the runs of a worker.
    pub lease: time::Duration,
    /// Longest lease that a worker accepts, whatever it is sent.
    pub max_lease: time::Duration,
    /// Longest time that a worker takes to stop a task.
    pub stop_limit: time::Duration,
    /// Time within which a start order has to reach its worker.
    pub start_expiry: time::Duration,
    /// Longest time since the last contact for a worker to get new work.
    pub max_contact_age: time::Duration,
    /// Longest time since a worker's entry was last read for it to get new work,
    /// since its resources may have shrunk.
    pub max_entry_age: time::Duration,
    /// How long after its end the outcome of a job is kept, and after its cancel the id
    /// of a job that was not known.
    pub outcome_retention: time::Duration,
    /// A job that would take longer than this percentage of its latency objective
    /// is refused.
    pub max_percent_of_objective: u32,
    /// Memory for all open jobs and their tasks; a job beyond it is refused.
    pub job_memory_bytes: u64,
    /// What it takes to stop a task that saves its progress; `None` if that is not
    /// known, and then no task is stopped for another.
    pub preemption: Option<preemption::PreemptionCosts>,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            epoch: fleet::Epoch(1),
            // Reports come each second, and detecting a dead leader and reading
            // its state takes about 2 s. Tasks have to survive that.
            lease: time::Duration::from_millis(4_500),
            max_lease: time::Duration::from_secs(10),
            stop_limit: time::Duration::from_millis(400),
            // A start without an answer occupies its resources for this time.
            start_expiry: time::Duration::from_millis(1_500),
            // Reports come every second at least.
            max_contact_age: time::Duration::from_millis(1_700),
            // Entries are read every 0.6 s.
            max_entry_age: time::Duration::from_millis(2_700),
            outcome_retention: time::Duration::from_secs(150),
            // A late job is worth a fifth to the users, up to 300 %. Below
            // 200 % small jobs are refused needlessly after a peak; above it
            // the effects of three times the usual traffic for 8 s last longer
            // (see `admission`).
            max_percent_of_objective: 200,
            job_memory_bytes: 64 << 20,
            preemption: None,
        }
    }
}

/// Numbers for metrics and dumps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Jobs in progress.
    pub open_jobs: usize,
    /// Number of these without a started task.
    pub queued_jobs: usize,
    /// Steps that have been ready for long and have nothing running, and gangs and
    /// long-running steps with tasks that wait for long; the number is up to about
    /// 2 s old.
    pub waiting_steps: usize,
    /// How often the last placement pass examined a worker for a step.
    pub pass_scans: usize,
    /// Runs on workers.
    pub runs: usize,
    /// Workers that may get new work.
    pub usable_workers: usize,
    /// All known workers.
    pub workers: usize,
    /// Cancelled ids of jobs that were not known.
    pub cancelled_ids: usize,
}

/// Schedules all workers of a fleet during one term.
#[derive(Clone, Debug)]
pub struct Scheduler {
    pub(crate) config: Config,
    pub(crate) jobs: IndexMap<fleet::JobId, job::Job>,
    /// Jobs in progress, oldest first.
    pub(crate) open: IndexSet<fleet::JobId>,
    /// Ended jobs whose outcome is kept, in the order of their ends.
    pub(crate) ended: VecDeque<fleet::JobId>,
    pub(crate) workers: maps::WorkerMap<worker::Worker>,
    pub(crate) incarnations: incarnations::Incarnations,
    pub(crate) channels: channels::AdviceChannels,
    /// Limits on what customers may have running.
    pub(crate) terms: customers::Terms,
    /// Workers of an earlier term that have not reported in this one, each with
    /// the time until which it may still have runs.
    pub(crate) not_yet_reported: maps::WorkerMap<time::Instant>,
    pub(crate) recovering: bool,
    /// Latest time for which this term's leadership is proven; `None` if its owner
    /// doesn't track that.
    pub(crate) proven_at: Option<time::Instant>,
    /// Workers that the record in the store names as those that may have runs.
    pub(crate) recorded: maps::WorkerSet,
    /// Workers that are not named there.
    pub(crate) unrecorded: maps::WorkerSet,
    /// Workers with ends whose effects are not in the store.
    pub(crate) unacknowledged: maps::WorkerSet,
    /// Whether a write of the record of workers is in flight.
    pub(crate) workers_record_in_flight: bool,
    /// Whether the record in the store may name more workers than `recorded`.
    pub(crate) workers_record_outdated: bool,
    /// Whether the record of workers has to be written again. This is cached, since
    /// computing it takes about 50 us for 350 workers, far too long to do after
    /// each message.
    pub(crate) workers_record_dirty: bool,
    /// Changes that are not known to be in the store.
    pub(crate) unsaved: unsaved::Unsaved,
    /// Ids that were cancelled while no job with them was known.
    pub(crate) cancelled_ids: cancelled_ids::CancelledIds,
    pub(crate) lost_workers: crash_evidence::LostWorkers,
    pub(crate) unsettled_machines: lost_machines::UnsettledMachines,
    /// Tasks whose losses are to be judged.
    pub(crate) suspects: IndexSet<fleet::TaskId>,
    pub(crate) admission: admission::AdmissionState,
    /// What is known of the speed of workers.
    pub(crate) speeds: speed::SpeedEstimates,
    pub(crate) preemptions: preempt::Preemptions,
    /// Starvation report: ready steps with tasks that wait for long.
    pub(crate) starvation: starvation::Starvation,
    /// Cost of the last placement pass; see [`Counts::pass_scans`].
    pub(crate) pass_scans: usize,
    pub(crate) actions: Vec<Action>,
}

impl Scheduler {
    /// Creates a scheduler without jobs and workers.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            jobs: IndexMap::new(),
            open: IndexSet::new(),
            ended: VecDeque::new(),
            workers: maps::WorkerMap::default(),
            incarnations: incarnations::Incarnations::default(),
            channels: channels::AdviceChannels::default(),
            terms: customers::Terms::default(),
            not_yet_reported: maps::WorkerMap::default(),
            recovering: false,
            proven_at: None,
            recorded: maps::WorkerSet::default(),
            unrecorded: maps::WorkerSet::default(),
            unacknowledged: maps::WorkerSet::default(),
            workers_record_in_flight: false,
            workers_record_outdated: false,
            workers_record_dirty: false,
            unsaved: unsaved::Unsaved::default(),
            cancelled_ids: cancelled_ids::CancelledIds::default(),
            lost_workers: crash_evidence::LostWorkers::default(),
            unsettled_machines: lost_machines::UnsettledMachines::default(),
            suspects: IndexSet::new(),
            admission: admission::AdmissionState::default(),
            speeds: speed::SpeedEstimates::default(),
            preemptions: preempt::Preemptions::default(),
            starvation: starvation::Starvation::default(),
            pass_scans: 0,
            actions: Vec::new(),
        }
    }

    /// Takes the actions that were requested since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        mem::take(&mut self.actions)
    }

    /// Numbers for metrics and dumps.
    pub fn counts(&self, now: time::Instant) -> Counts {
        let open = || self.open.iter().filter_map(|id| self.jobs.get(id));
        let usable = |worker: &&worker::Worker| self.is_usable(worker, now);
        Counts {
            open_jobs: open().count(),
            queued_jobs: open().filter(|job| !job.started).count(),
            waiting_steps: self.starvation.steps,
            pass_scans: self.pass_scans,
            runs: self.workers.values().map(|worker| worker.runs.len()).sum(),
            usable_workers: self.workers.values().filter(usable).count(),
            workers: self.workers.len(),
            cancelled_ids: self.cancelled_ids.len(),
        }
    }

    /// Handles a worker that is listed, or whose entry has changed.
    pub fn worker_listed(&mut self, entry: fleet::WorkerEntry, now: time::Instant) {
        if self.is_outdated(&entry.id) {
            return;
        }
        match self.workers.get_mut(&entry.id) {
            Some(worker) => {
                let draining_changed = worker.entry.draining != entry.draining;
                worker.leaves_at = worker.leaves_at.filter(|_| entry.draining);
                worker.entry = entry;
                worker.unlisted_at = None;
                // No other part of an entry decides whether the worker belongs on
                // the record. After an outage all entries may return in one
                // listing, so the costly check is done only for this.
                if draining_changed {
                    self.workers_record_dirty = self.workers_record_differs();
                }
            }
            None => {
                let id = entry.id.clone();
                let recorded = self.recorded.contains(&id);
                let mut worker = worker::Worker::new(entry);
                worker.recorded = recorded;
                worker.set_speed(self.speeds.initial(&worker.entry));
                if !recorded {
                    self.unrecorded.insert(id.clone());
                }
                self.workers.insert(id.clone(), worker);
                self.workers_record_dirty |= !recorded;
                self.succeed_incarnation(&id, now);
            }
        }
    }

    /// Records that the entries of these workers were read again and are
    /// unchanged; the read began at `begun`.
    pub fn entries_read(&mut self, ids: &[fleet::WorkerId], begun: time::Instant) {
        for id in ids {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.entry_read_at = Some(begun);
            }
        }
    }

    /// Records the latest time for which this term's leadership is proven.
    pub fn set_proven(&mut self, at: time::Instant) {
        self.proven_at = Some(at);
    }

    /// Whether the proof of leadership allows orders that live for as long as usual.
    pub fn may_order(&self, now: time::Instant) -> bool {
        let config = &self.config;
        let latest = config.lease.saturating_sub(config.start_expiry);
        self.proven_at.is_none_or(|at| now <= at + latest)
    }

    /// Whether new work may be sent to a worker.
    pub(crate) fn is_usable(&self, worker: &worker::Worker, now: time::Instant) -> bool {
        let config = &self.config;
        worker.recorded
            && self.may_order(now)
            && worker.is_usable(config.max_contact_age, config.max_entry_age, now)
    }

    /// Workers that the platform lists, as of the last update.
    pub fn listed_workers(&self) -> Vec<fleet::WorkerId> {
        let listed = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.unlisted_at.is_none());
        listed.map(|(id, _)| id.clone()).collect()
    }

    /// Whether a worker is known, listed or not.
    pub fn knows_worker(&self, id: &fleet::WorkerId) -> bool {
        self.workers.contains_key(id)
    }

    /// Whether the worker is listed with this same entry already.
    pub fn is_listed_as(&self, entry: &fleet::WorkerEntry) -> bool {
        let known = self.workers.get(&entry.id);
        known.is_some_and(|worker| worker.unlisted_at.is_none() && worker.entry == *entry)
    }

    /// Handles a worker that is no longer listed; it may still be running.
    pub fn worker_unlisted(&mut self, id: &fleet::WorkerId, now: time::Instant) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.unlisted_at = Some(now);
        self.drop_if_lease_over(id, now);
    }

    /// Handles a call to a worker that failed or is overdue. The worker gets no
    /// new work until the next contact.
    ///
    /// Without this, a worker that lost power would count as unresponsive only
    /// 1.7 s after its last report. Work that was sent there meanwhile has to wait
    /// until its lease is over, about 5 s, by which time short jobs are worthless;
    /// and packing sends many of them to the same worker.
    pub fn worker_call_failed(&mut self, id: &fleet::WorkerId, now: time::Instant) {
        let worker = self.workers.get_mut(id);
        if let Some(worker) = worker.filter(|worker| worker.unresponsive_since.is_none()) {
            worker.unresponsive_since = Some(now);
            self.record_possible_crash(id, now);
        }
    }

    /// Handles a worker that was replaced by another incarnation: its runs have
    /// ended. If that has the same name, it may still start what was ordered
    /// without a response; such runs wait for it to be listed.
    pub fn worker_replaced(&mut self, id: &fleet::WorkerId, now: time::Instant) {
        if id.born_ms().is_none() {
            self.not_yet_reported.swap_remove(id);
        }
        let worker = self.workers.get(id);
        if worker.is_some_and(|worker| worker.unresponsive_since.is_none() && !worker.replaced) {
            self.record_possible_crash(id, now);
        }
        let awaits_successor = |run: &worker::Run| id.born_ms().is_some() && !run.is_confirmed();
        self.abandon_runs(id, |run| !awaits_successor(run), now);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.replaced = true;
        }
    }

    /// Does the work that is due with time: ends leases, repeats stops, adds due
    /// occurrences and the like.
    pub fn tick(&mut self, now: time::Instant, wall_ms: u64) {
        self.end_expired_leases(now);
        self.repeat_stops(now);
        self.evacuate(now);
        self.workers_record_dirty = self.workers_record_differs();
        self.add_due_rounds(now, wall_ms);
        self.drop_old_outcomes(wall_ms);
        self.cancelled_ids
            .drop_expired(wall_ms, self.config.outcome_retention);
        self.judge_suspects(now);
        self.drop_old_late_orders(now);
        self.check_recovery(now);
        self.report_starvation(now);
        self.review_speeds(now);
    }

    fn end_expired_leases(&mut self, now: time::Instant) {
        let may_be_over = |worker: &worker::Worker| {
            worker.unlisted_at.is_some() || self.is_lease_over(worker, now)
        };
        let workers = self.workers.iter();
        let workers = workers.filter(|(_, worker)| may_be_over(worker));
        let ids: Vec<fleet::WorkerId> = workers.map(|(id, _)| id.clone()).collect();
        for id in ids {
            self.drop_if_lease_over(&id, now);
        }
    }

    /// Whether a worker's lease is certainly over. A later leader may have extended it
    /// since the last proof of leadership, so that has to be later than the end.
    pub(crate) fn is_lease_over(&self, worker: &worker::Worker, now: time::Instant) -> bool {
        let now = self.proven_at.map_or(now, |proven_at| proven_at.min(now));
        let grace = self.config.stop_limit;
        worker.lease.is_over(grace, now) || self.is_late_order_over(worker, now)
    }

    /// Abandons the runs of a worker whose lease is certainly over, and drops the
    /// worker if it is no longer listed and either its lease is over or it has no
    /// runs and no unwritten ends.
    ///
    /// The next leader does not wait for a worker that was dropped. It would
    /// start a task again whose end is neither in the store nor reported to it.
    /// So a worker is kept until its ends are written, or its lease is over.
    fn drop_if_lease_over(&mut self, id: &fleet::WorkerId, now: time::Instant) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let over = self.is_lease_over(worker, now);
        let may_be_dropped = over || worker.is_settled();
        let gone = worker.unlisted_at.is_some();
        if over {
            self.abandon_runs(id, |_| true, now);
        }
        if gone && may_be_dropped {
            self.forget_incarnation(id);
            self.workers.swap_remove(id);
            self.unrecorded.swap_remove(id);
            self.unacknowledged.swap_remove(id);
            self.workers_record_dirty |= self.recorded.contains(id);
        }
    }

    /// Takes the selected runs of a worker as ended without a report. They are
    /// recorded as lost, unless the worker was draining.
    fn abandon_runs(
        &mut self,
        id: &fleet::WorkerId,
        selects: impl Fn(&worker::Run) -> bool,
        now: time::Instant,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let runs = worker.take_runs(selects);
        if runs.is_empty() {
            return;
        }
        let silent = worker.lease.time_since_reading(now).unwrap_or_default();
        let last_contact = worker.lease.read_at();
        let since = worker.unresponsive_since.unwrap_or(now);
        if !worker.entry.draining {
            for (key, loss) in self.losses(id, &runs, now) {
                self.record_loss(&key, loss, since, now);
            }
        }
        for (key, run) in &runs {
            self.actions.push(Action::Log(LogEntry::RunAbandoned {
                task: key.0,
                attempt: key.1,
                worker: id.clone(),
                silent,
                begun: run.is_confirmed(),
                age: run.age_at(last_contact),
            }));
            if !run.is_confirmed() {
                self.record_late_order(id, *key, now);
            }
            self.requeue_task(id, key);
        }
        let log_entry = LogEntry::WorkerLost {
            worker: id.clone(),
            runs: runs.len(),
        };
        self.actions.push(Action::Log(log_entry));
        for key in runs.keys() {
            self.suspect(&key.0);
        }
    }

    /// Ends a job: its outcome is to be written, and its runs are stopped.
    pub(crate) fn end_job(&mut self, id: fleet::JobId, state: fleet::JobState, now: time::Instant) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if !job.is_open() {
            return;
        }
        let after_ms = super::lease::millis(now.saturating_duration_since(job.submitted));
        job.finish(state, job.submitted_wall_ms.saturating_add(after_ms));
        self.ended.push_back(id);
        let log_entry = LogEntry::JobEnded {
            job: id,
            state,
            after: now.saturating_duration_since(job.submitted),
            late: now > job.objective_at,
        };
        self.open.shift_remove(&id);
        self.unsaved.change(id);
        self.actions.push(Action::Log(log_entry));
        self.stop_job(id, now);
    }

    fn add_due_rounds(&mut self, now: time::Instant, wall_ms: u64) {
        for id in &self.open {
            let job = self.jobs.get_mut(id);
            let Some(job) = job.filter(|job| job.description.occurrences > 0) else {
                continue;
            };
            let added = job.add_due_rounds(now, wall_ms);
            if added > 0 {
                self.unsaved.change(*id);
            }
            if self.recovering && job.loaded {
                job.mark_last_suspect(added);
            }
        }
    }

    /// Adds occurrences up to one that a worker reported. An earlier leader has
    /// begun it, though perhaps no record says so and it is not yet due by this
    /// leader's wall clock.
    pub(crate) fn add_rounds_ahead(&mut self, task: &fleet::TaskId, now: time::Instant) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let added = job.add_rounds_ahead(task.occurrence, now);
        if added > 0 {
            self.unsaved.change(task.job);
        }
        if self.recovering {
            job.mark_last_suspect(added);
        }
    }

    fn drop_old_outcomes(&mut self, wall_ms: u64) {
        let keep_ms = super::lease::millis(self.config.outcome_retention);
        let may_be_dropped = |job: &job::Job| {
            wall_ms.saturating_sub(job.ended_wall_ms) > keep_ms && job.end_revision.is_some()
        };
        for _ in 0..MAX_OUTCOMES_DROPPED {
            let Some(id) = self.ended.front().copied() else {
                return;
            };
            // A job that ended and was withdrawn may have been submitted again.
            match self.jobs.get(&id) {
                Some(job) if job.is_open() => (),
                Some(job) if !may_be_dropped(job) => return,
                Some(_) => {
                    self.jobs.swap_remove(&id);
                    self.unsaved.change(id);
                }
                None => (),
            }
            self.ended.pop_front();
        }
    }

    pub(crate) fn health(&mut self, id: &fleet::WorkerId) -> Option<&mut health::Health> {
        self.workers.get_mut(id).map(|worker| &mut worker.health)
    }
}
