//! The scheduler's state, its actions and what goes on with time.

use std::mem;
use std::time;

use figscale_types::fleet;
use indexmap::IndexMap;
use indexmap::IndexSet;

use super::action::Action;
use super::action::Note;
use super::customers;
use super::health;
use super::job;
use super::lanes;
use super::maps;
use super::unsaved;
use super::waits;
use super::worker;

/// How a scheduler behaves; the platform's bounds come from settings.
#[derive(Clone, Debug)]
pub struct Config {
    /// Term of leadership, shown to workers with each order.
    pub epoch: fleet::Epoch,
    /// Lease given to everything that runs on a worker.
    pub lease: time::Duration,
    /// Longest time that a worker takes to end a task.
    pub stop_limit: time::Duration,
    /// Time in which a start must have reached its worker.
    pub start_expiry: time::Duration,
    /// A worker that was silent for longer gets no new work.
    pub max_silence: time::Duration,
    /// A worker whose entry was last read longer ago gets no new work, since its
    /// room may have shrunk.
    pub max_entry_age: time::Duration,
    /// How long the outcome of a job is kept.
    pub keep_ended: time::Duration,
    /// A job that would take longer than so much of its latency objective is
    /// refused.
    pub max_of_objective_percent: u32,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            epoch: fleet::Epoch(1),
            // Reports come each second, and finding a dead leader and reading
            // its state takes some 2 s, which tasks are to outlive.
            lease: time::Duration::from_millis(4_500),
            stop_limit: time::Duration::from_millis(400),
            // A start that was not answered keeps its room for so long.
            start_expiry: time::Duration::from_millis(1_500),
            // Reports come every second at least.
            max_silence: time::Duration::from_millis(1_700),
            // Entries are read every 0.6 s.
            max_entry_age: time::Duration::from_millis(2_700),
            keep_ended: time::Duration::from_secs(150),
            // The users pay a fifth for what is late, up to 300 %. Below 200 %
            // small jobs are refused in vain after a peak; above it three times
            // the usual traffic for 8 s lasts longer (see `admission`).
            max_of_objective_percent: 200,
        }
    }
}

/// Numbers for metrics and dumps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Jobs in progress.
    pub open_jobs: usize,
    /// Of these without a started task.
    pub queued_jobs: usize,
    /// Steps that could run, wait long and have nothing running; some 2 s old.
    pub waiting_steps: usize,
    /// Times that the last pass of placement looked at a worker for a step.
    pub pass_looks: usize,
    /// Runs on workers.
    pub runs: usize,
    /// Workers that may be used.
    pub usable_workers: usize,
    /// Workers known.
    pub workers: usize,
}

/// Decides for all workers of a fleet during one term.
#[derive(Clone, Debug)]
pub struct Scheduler {
    pub(crate) config: Config,
    pub(crate) jobs: IndexMap<fleet::JobId, job::Job>,
    /// Jobs in progress, oldest first.
    pub(crate) open: IndexSet<fleet::JobId>,
    pub(crate) workers: maps::WorkerMap<worker::Worker>,
    pub(crate) lanes: lanes::Lanes,
    /// What customers may have running.
    pub(crate) terms: customers::Terms,
    /// Workers that may run something of an earlier term, until when at most.
    pub(crate) unheard: maps::WorkerMap<time::Instant>,
    pub(crate) recovering: bool,
    /// Workers that the store names as those that may run something.
    pub(crate) recorded: maps::WorkerSet,
    /// A record of workers is on its way to the store.
    pub(crate) recording: bool,
    /// What the store holds of them may name more than `recorded` does.
    pub(crate) record_outdated: bool,
    /// Whether the record of workers is to be written anew. Looking that up
    /// takes some 50 us for 350 workers, far too long after each message.
    pub(crate) record_differs: bool,
    /// Changes that are not known to be in the store.
    pub(crate) unsaved: unsaved::Unsaved,
    /// Steps that could run and do not.
    pub(crate) waits: waits::Waits,
    /// What the last pass of placement cost.
    pub(crate) pass_looks: usize,
    pub(crate) actions: Vec<Action>,
}

impl Scheduler {
    /// A scheduler that knows of nothing.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            jobs: IndexMap::new(),
            open: IndexSet::new(),
            workers: maps::WorkerMap::default(),
            lanes: lanes::Lanes::default(),
            terms: customers::Terms::default(),
            unheard: maps::WorkerMap::default(),
            recovering: false,
            recorded: maps::WorkerSet::default(),
            recording: false,
            record_outdated: false,
            record_differs: false,
            unsaved: unsaved::Unsaved::default(),
            waits: waits::Waits::default(),
            pass_looks: 0,
            actions: Vec::new(),
        }
    }

    /// What is to be carried out since the last call.
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
            waiting_steps: self.waits.steps,
            pass_looks: self.pass_looks,
            runs: self.workers.values().map(|worker| worker.runs.len()).sum(),
            usable_workers: self.workers.values().filter(usable).count(),
            workers: self.workers.len(),
        }
    }

    /// A worker is listed, or its entry has changed.
    pub fn worker_listed(&mut self, entry: fleet::WorkerEntry) {
        match self.workers.get_mut(&entry.id) {
            Some(worker) => {
                let turns = worker.entry.draining != entry.draining;
                worker.leaves_at = worker.leaves_at.filter(|_| entry.draining);
                worker.entry = entry;
                worker.unlisted_at = None;
                // Nothing else of an entry decides who is on the record; after an
                // outage all entries may come back in one listing.
                if turns {
                    self.record_differs = self.workers_record_differs();
                }
            }
            None => {
                let recorded = self.recorded.contains(&entry.id);
                let mut worker = worker::Worker::new(entry);
                worker.recorded = recorded;
                self.workers.insert(worker.entry.id.clone(), worker);
                self.record_differs |= !recorded;
            }
        }
    }

    /// Entries of workers were read as they are known; the reading began then.
    pub fn entries_read(&mut self, ids: &[fleet::WorkerId], begun: time::Instant) {
        for id in ids {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.entry_read_at = Some(begun);
            }
        }
    }

    /// Whether new work may be sent to a worker.
    pub(crate) fn is_usable(&self, worker: &worker::Worker, now: time::Instant) -> bool {
        let config = &self.config;
        worker.recorded && worker.is_usable(config.max_silence, config.max_entry_age, now)
    }

    /// Workers that the platform lists, as far as known.
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

    /// Whether nothing of a worker's entry is new.
    pub fn is_listed_as(&self, entry: &fleet::WorkerEntry) -> bool {
        let known = self.workers.get(&entry.id);
        known.is_some_and(|worker| worker.unlisted_at.is_none() && worker.entry == *entry)
    }

    /// A worker is no longer listed; it may go on running.
    pub fn worker_unlisted(&mut self, id: &fleet::WorkerId, now: time::Instant) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.unlisted_at = Some(now);
        self.drop_if_over(id, now);
    }

    /// A call of a worker failed or is overdue. It gets nothing new until it is
    /// heard.
    ///
    /// A worker that lost its power is known to be silent 1.7 s after its last
    /// report. What was sent there meanwhile waits for its lease, some 5 s, and
    /// quick jobs are useless by then; packing sends them to one worker first.
    pub fn worker_doubted(&mut self, id: &fleet::WorkerId, now: time::Instant) {
        let worker = self.workers.get_mut(id);
        if let Some(worker) = worker.filter(|worker| worker.silent_since.is_none()) {
            worker.silent_since = Some(now);
            self.note_possible_crash(id, now);
        }
    }

    /// Another life of the worker has taken its place, so nothing runs there.
    pub fn worker_replaced(&mut self, id: &fleet::WorkerId, now: time::Instant) {
        self.unheard.swap_remove(id);
        self.give_up_runs(id, now);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.replaced = true;
        }
    }

    /// Lets time pass: leases end, stops are repeated, occurrences fall due.
    pub fn tick(&mut self, now: time::Instant, wall_ms: u64) {
        self.end_silent_leases(now);
        self.repeat_stops(now);
        self.evacuate(now);
        self.record_differs = self.workers_record_differs();
        self.add_due_rounds(now, wall_ms);
        self.drop_old_outcomes(wall_ms);
        self.check_recovery(now);
        self.look_at_waits(now);
    }

    fn end_silent_leases(&mut self, now: time::Instant) {
        let ids: Vec<fleet::WorkerId> = self.workers.keys().cloned().collect();
        for id in ids {
            self.drop_if_over(&id, now);
        }
    }

    /// Gives up what ran on a silent worker whose lease is surely over, and
    /// forgets the worker if it is not listed either.
    ///
    /// Whoever is forgotten is not waited for by the next leader, which would
    /// start a task again whose end is neither in the store nor told to it. So
    /// a worker is kept until its ends are written, or its lease is over.
    fn drop_if_over(&mut self, id: &fleet::WorkerId, now: time::Instant) {
        let grace = self.config.stop_limit;
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let over = worker.lease.is_over(grace, now);
        let done_with = over || worker.is_settled();
        let gone = worker.unlisted_at.is_some();
        if over {
            self.give_up_runs(id, now);
        }
        if gone && done_with {
            self.workers.swap_remove(id);
            self.record_differs |= self.recorded.contains(id);
        }
    }

    pub(crate) fn give_up_runs(&mut self, id: &fleet::WorkerId, now: time::Instant) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let runs = worker.take_runs();
        if runs.is_empty() {
            return;
        }
        let silent = worker.lease.silent_for(now).unwrap_or_default();
        let heard_at = worker.lease.read_at();
        if !worker.entry.draining {
            for (key, loss) in self.losses(id, &runs, now) {
                self.note_loss(&key, loss);
            }
        }
        for (key, run) in &runs {
            self.actions.push(Action::Tell(Note::RunGivenUp {
                task: key.0,
                attempt: key.1,
                worker: id.clone(),
                silent,
                begun: run.is_confirmed(),
                age: run.age_at(heard_at),
            }));
            self.task_free_again(id, key);
        }
        let note = Note::WorkerLost {
            worker: id.clone(),
            runs: runs.len(),
        };
        self.actions.push(Action::Tell(note));
        for key in runs.keys() {
            self.give_up_if_convicted(&key.0, now);
        }
    }

    /// Ends a job: its outcome is written, what runs of it is stopped.
    pub(crate) fn end_job(&mut self, id: fleet::JobId, state: fleet::JobState, now: time::Instant) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if !job.is_open() {
            return;
        }
        job.finish(state);
        let note = Note::JobEnded {
            job: id,
            state,
            after: now.saturating_duration_since(job.submitted),
            late: now > job.objective_at,
        };
        self.open.shift_remove(&id);
        self.unsaved.change(id);
        self.actions.push(Action::Tell(note));
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
                job.suspect_last(added);
            }
        }
    }

    /// A worker tells of an occurrence: an earlier leader has begun it, though
    /// no record may say so and it may not be due by the time of day here.
    pub(crate) fn add_rounds_ahead(&mut self, task: &fleet::TaskId, now: time::Instant) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let added = job.add_rounds_ahead(task.occurrence, now);
        if added > 0 {
            self.unsaved.change(task.job);
        }
        if self.recovering {
            job.suspect_last(added);
        }
    }

    fn drop_old_outcomes(&mut self, wall_ms: u64) {
        let keep_ms = super::lease::millis(self.config.keep_ended);
        // Looked at a few at a time; ended jobs gather at the front.
        let old = |job: &job::Job| {
            let age_ms = wall_ms.saturating_sub(job.submitted_wall_ms);
            !job.is_open() && age_ms > keep_ms && job.stored
        };
        let front = self.jobs.values().take(8);
        let ids: Vec<fleet::JobId> = front.filter(|job| old(job)).map(|job| job.id).collect();
        for id in ids {
            self.jobs.shift_remove(&id);
            self.unsaved.change(id);
        }
    }

    pub(crate) fn health(&mut self, id: &fleet::WorkerId) -> Option<&mut health::Health> {
        self.workers.get_mut(id).map(|worker| &mut worker.health)
    }
}
