//! The scheduler's state, its actions and what goes on with time.

use std::mem;
use std::time;

use figscale_types::fleet;
use figscale_types::ids;
use indexmap::IndexMap;
use indexmap::IndexSet;

use super::advice;
use super::durable;
use super::health;
use super::job;
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
    /// How long the outcome of a job is kept.
    pub keep_ended: time::Duration,
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
            keep_ended: time::Duration::from_secs(150),
        }
    }
}

/// A question to the advisory service, through one entry instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Question {
    /// Entry instance that asks; each has one question at a time.
    pub member: ids::MemberId,
    /// First task of the step.
    pub task: fleet::TaskId,
    /// Workers that could run it.
    pub workers: Vec<fleet::WorkerId>,
    /// When an answer should be there.
    pub expected: time::Duration,
}

/// What is to be carried out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Order a start.
    Start {
        /// To whom.
        worker: fleet::WorkerId,
        /// The order.
        order: fleet::StartOrder,
    },
    /// Order a stop.
    Stop {
        /// To whom.
        worker: fleet::WorkerId,
        /// Which task.
        task: fleet::TaskId,
        /// Which start of it.
        attempt: u32,
    },
    /// Ask the advisory service.
    Ask(Question),
    /// A worker has seen orders of a later term: this one is over.
    StepDown,
    /// For the log.
    Tell(Note),
}

/// A decision or a change of belief, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// A job has reached its end.
    JobEnded {
        /// Which.
        job: fleet::JobId,
        /// How.
        state: fleet::JobState,
        /// Since its first submission.
        after: time::Duration,
        /// Against its latency objective.
        late: bool,
    },
    /// Tasks of a step were ordered to workers.
    StepPlaced {
        /// First task of the step.
        task: fleet::TaskId,
        /// Tasks ordered now.
        tasks: usize,
        /// Workers that they go to.
        workers: usize,
        /// Attempt of the last of them.
        attempt: u32,
        /// Since the job's submission.
        after: time::Duration,
        /// Until the job is late; none if it is.
        slack: Option<time::Duration>,
    },
    /// The advisory service said who may run a step.
    AdviceGiven {
        /// First task of the step.
        task: fleet::TaskId,
        /// Entry instance that asked.
        member: ids::MemberId,
        /// Workers asked about.
        asked: usize,
        /// Of these good.
        good: usize,
    },
    /// A run on a silent or replaced worker is taken as ended.
    RunGivenUp {
        /// Which.
        task: fleet::TaskId,
        /// Which start of it.
        attempt: u32,
        /// Where.
        worker: fleet::WorkerId,
        /// How long the worker has been silent.
        silent: time::Duration,
    },
    /// A run of a task ended other than well.
    RunEnded {
        /// Which.
        task: fleet::TaskId,
        /// Which start of it.
        attempt: u32,
        /// Where.
        worker: fleet::WorkerId,
        /// How.
        end: fleet::End,
    },
    /// A worker refused a start.
    StartRefused {
        /// Which.
        task: fleet::TaskId,
        /// Which start of it.
        attempt: u32,
        /// Where.
        worker: fleet::WorkerId,
        /// Why.
        refusal: fleet::StartRefusal,
    },
    /// A worker gets no work for a while.
    WorkerSetAside {
        /// Which.
        worker: fleet::WorkerId,
        /// Why.
        cause: &'static str,
    },
    /// What ran on a worker has surely ended, unseen.
    WorkerLost {
        /// Which.
        worker: fleet::WorkerId,
        /// Runs that are given up.
        runs: usize,
    },
    /// A worker of an earlier term never reported; its lease is over now.
    WorkerUnheard {
        /// Which.
        worker: fleet::WorkerId,
    },
    /// A run is stopped since nobody wants it.
    StrayRun {
        /// Which.
        task: fleet::TaskId,
        /// Which start of it.
        attempt: u32,
        /// Where.
        worker: fleet::WorkerId,
    },
    /// All that may have been running before this term is accounted for.
    Recovered {
        /// Jobs in progress.
        open_jobs: usize,
        /// Runs found on workers.
        runs: usize,
    },
}

/// Numbers for metrics and dumps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Jobs in progress.
    pub open_jobs: usize,
    /// Of these without a started task.
    pub queued_jobs: usize,
    /// Runs on workers.
    pub runs: usize,
    /// Workers that may be used.
    pub usable_workers: usize,
    /// Workers known.
    pub workers: usize,
}

/// Time between repeats of a stop that has not taken effect.
const STOP_REPEAT: time::Duration = time::Duration::from_millis(700);
/// How long a run may use no processor before it counts as standing still;
/// tasks start up within half a second and reports come each second.
const MAX_IDLE: time::Duration = time::Duration::from_millis(1_600);

/// Decides for all workers of a fleet during one term.
#[derive(Clone, Debug)]
pub struct Scheduler {
    pub(crate) config: Config,
    pub(crate) jobs: IndexMap<fleet::JobId, job::Job>,
    /// Jobs in progress, oldest first.
    pub(crate) open: IndexSet<fleet::JobId>,
    pub(crate) workers: IndexMap<fleet::WorkerId, worker::Worker>,
    pub(crate) lanes: advice::Lanes,
    /// Workers that may run something of an earlier term, until when at most.
    pub(crate) unheard: IndexMap<fleet::WorkerId, time::Instant>,
    pub(crate) recovering: bool,
    /// Workers that the store names as those that may run something.
    pub(crate) recorded: IndexSet<fleet::WorkerId>,
    pub(crate) dirty: IndexSet<fleet::JobId>,
    pub(crate) actions: Vec<Action>,
}

impl Scheduler {
    /// A scheduler that knows of nothing.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            jobs: IndexMap::new(),
            open: IndexSet::new(),
            workers: IndexMap::new(),
            lanes: advice::Lanes::default(),
            unheard: IndexMap::new(),
            recovering: false,
            recorded: IndexSet::new(),
            dirty: IndexSet::new(),
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
            runs: self.workers.values().map(|worker| worker.runs.len()).sum(),
            usable_workers: self.workers.values().filter(usable).count(),
            workers: self.workers.len(),
        }
    }

    /// A worker is listed, or its entry has changed.
    pub fn worker_listed(&mut self, entry: fleet::WorkerEntry) {
        match self.workers.get_mut(&entry.id) {
            Some(worker) => {
                worker.entry = entry;
                worker.unlisted_at = None;
            }
            None => {
                self.workers
                    .insert(entry.id.clone(), worker::Worker::new(entry));
            }
        }
    }

    /// Whether new work may be sent to a worker.
    pub(crate) fn is_usable(&self, worker: &worker::Worker, now: time::Instant) -> bool {
        let recorded = self.recorded.contains(&worker.entry.id);
        recorded && worker.is_usable(self.config.max_silence, now)
    }

    /// Workers that the platform lists, as far as known.
    pub fn listed_workers(&self) -> Vec<fleet::WorkerId> {
        let listed = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.unlisted_at.is_none());
        listed.map(|(id, _)| id.clone()).collect()
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
        self.add_due_rounds(wall_ms);
        self.drop_old_outcomes(wall_ms);
        self.check_recovery(now);
    }

    fn end_silent_leases(&mut self, now: time::Instant) {
        let ids: Vec<fleet::WorkerId> = self.workers.keys().cloned().collect();
        for id in ids {
            self.drop_if_over(&id, now);
        }
    }

    /// Gives up what ran on a silent worker whose lease is surely over, and
    /// forgets the worker if it is not listed either.
    fn drop_if_over(&mut self, id: &fleet::WorkerId, now: time::Instant) {
        let grace = self.config.stop_limit;
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let never_ordered = worker.runs.is_empty();
        let over = worker.lease.is_over(grace, now);
        if over && !never_ordered {
            self.give_up_runs(id, now);
        }
        let gone = self
            .workers
            .get(id)
            .is_some_and(|worker| worker.unlisted_at.is_some());
        if gone && (over || never_ordered) {
            self.workers.swap_remove(id);
        }
    }

    pub(crate) fn give_up_runs(&mut self, id: &fleet::WorkerId, now: time::Instant) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let keys: Vec<worker::RunKey> = worker.runs.keys().copied().collect();
        for key in &keys {
            worker.remove_run(key);
        }
        if keys.is_empty() {
            return;
        }
        let silent = worker.lease.silent_for(now).unwrap_or_default();
        for key in &keys {
            self.actions.push(Action::Tell(Note::RunGivenUp {
                task: key.0,
                attempt: key.1,
                worker: id.clone(),
                silent,
            }));
            self.task_free_again(id, key);
        }
        let note = Note::WorkerLost {
            worker: id.clone(),
            runs: keys.len(),
        };
        self.actions.push(Action::Tell(note));
    }

    /// A run has ended without finishing its task.
    pub(crate) fn task_free_again(&mut self, worker: &fleet::WorkerId, key: &worker::RunKey) {
        let (id, attempt) = key;
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let is_gang = job.step_description(id).is_some_and(|step| step.gang);
        if let Some(task) = job.task_mut(id)
            && task.runs_as(worker, *attempt)
        {
            task.state = job::TaskState::Waiting;
        }
        if is_gang {
            self.stop_rest_of_gang(id, *attempt);
        }
    }

    /// Stops what still runs of an attempt of a gang that has lost a member.
    fn stop_rest_of_gang(&mut self, id: &fleet::TaskId, attempt: u32) {
        let mut rest = Vec::new();
        for (worker_id, worker) in &self.workers {
            for (run, number) in worker.runs.keys() {
                let same =
                    run.job == id.job && run.occurrence == id.occurrence && run.step == id.step;
                if same && *number == attempt {
                    rest.push((worker_id.clone(), (*run, *number)));
                }
            }
        }
        for (worker, key) in rest {
            self.order_stop(&worker, key, None);
        }
    }

    /// Orders a stop unless one was ordered just now.
    pub(crate) fn order_stop(
        &mut self,
        worker: &fleet::WorkerId,
        key: worker::RunKey,
        now: Option<time::Instant>,
    ) {
        let run = self
            .workers
            .get_mut(worker)
            .and_then(|worker| worker.runs.get_mut(&key));
        let Some(run) = run else {
            return;
        };
        let at = now.unwrap_or(run.ordered_at);
        let lately = run.stop_ordered.is_some_and(|last| at < last + STOP_REPEAT);
        if lately {
            return;
        }
        run.stop_ordered = Some(at);
        let (task, attempt) = key;
        self.actions.push(Action::Stop {
            worker: worker.clone(),
            task,
            attempt,
        });
    }

    fn repeat_stops(&mut self, now: time::Instant) {
        let mut again = Vec::new();
        for (id, worker) in &self.workers {
            let stopping = worker
                .runs
                .iter()
                .filter(|(_, run)| run.stop_ordered.is_some());
            again.extend(stopping.map(|(key, _)| (id.clone(), *key)));
        }
        for (worker, key) in again {
            self.order_stop(&worker, key, Some(now));
        }
    }

    /// Orders stops for all that runs of a job.
    pub(crate) fn stop_job(&mut self, job: fleet::JobId, now: time::Instant) {
        let mut runs = Vec::new();
        for (id, worker) in &self.workers {
            let of_job = worker.runs.keys().filter(|(task, _)| task.job == job);
            runs.extend(of_job.map(|key| (id.clone(), *key)));
        }
        for (worker, key) in runs {
            self.order_stop(&worker, key, Some(now));
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
        self.dirty.insert(id);
        self.actions.push(Action::Tell(note));
        self.stop_job(id, now);
    }

    fn add_due_rounds(&mut self, wall_ms: u64) {
        for id in &self.open {
            if let Some(job) = self.jobs.get_mut(id)
                && job.description.occurrences > 0
                && job.add_due_rounds(wall_ms)
            {
                self.dirty.insert(*id);
            }
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
            self.dirty.insert(id);
        }
    }

    /// A worker on which a task stands still is set aside, the task moved.
    pub(crate) fn note_use(
        &mut self,
        id: &fleet::WorkerId,
        key: worker::RunKey,
        used_cpu_millis: u64,
        now: time::Instant,
    ) {
        let run = self
            .workers
            .get_mut(id)
            .and_then(|worker| worker.runs.get_mut(&key));
        let Some(run) = run else {
            return;
        };
        if used_cpu_millis > 0 || run.stop_ordered.is_some() {
            run.idle_since = None;
            return;
        }
        let since = *run.idle_since.get_or_insert(now);
        if now < since + MAX_IDLE || !self.gang_is_idle(&key, now) {
            return;
        }
        self.order_stop(id, key, Some(now));
        self.set_aside(id, "tasks stand still", now);
    }

    /// Whether all members of a run's gang stand still; true for other runs.
    ///
    /// A member that has done its part waits for the others without using a
    /// processor. Taking that for standing still threw away 1,600 core-seconds
    /// of finished work on a calm day.
    fn gang_is_idle(&self, key: &worker::RunKey, now: time::Instant) -> bool {
        let (task, attempt) = key;
        let step = self
            .jobs
            .get(&task.job)
            .and_then(|job| job.step_description(task));
        if !step.is_some_and(|step| step.gang) {
            return true;
        }
        let runs = self.workers.values().flat_map(|worker| &worker.runs);
        let mut members = runs.filter(|((other, number), _)| {
            let same = other.job == task.job && other.occurrence == task.occurrence;
            same && other.step == task.step && number == attempt
        });
        members.all(|(_, run)| run.idle_since.is_some_and(|since| now >= since + MAX_IDLE))
    }

    pub(crate) fn set_aside(
        &mut self,
        id: &fleet::WorkerId,
        cause: &'static str,
        now: time::Instant,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.health.is_set_aside(now) {
            return;
        }
        worker.health.set_aside(now);
        let note = Note::WorkerSetAside {
            worker: id.clone(),
            cause,
        };
        self.actions.push(Action::Tell(note));
    }

    pub(crate) fn health(&mut self, id: &fleet::WorkerId) -> Option<&mut health::Health> {
        self.workers.get_mut(id).map(|worker| &mut worker.health)
    }

    /// At most `most` records of what has changed, for one transaction; jobs to
    /// be told as accepted first. They must be written and then confirmed, or
    /// given back.
    pub fn take_records(&mut self, most: usize) -> durable::Records {
        let mut records = durable::Records::default();
        self.add_workers_record(&mut records);
        let dirty = mem::take(&mut self.dirty);
        let is_new = |id: &fleet::JobId| self.jobs.get(id).is_some_and(|job| !job.stored);
        let (new, changed): (Vec<fleet::JobId>, Vec<fleet::JobId>) =
            dirty.into_iter().partition(is_new);
        for id in new.into_iter().chain(changed) {
            // A job has two records at most.
            if records.records.len() + 2 > most {
                self.dirty.insert(id);
                continue;
            }
            self.add_records(id, &mut records);
        }
        if self.dirty.is_empty() {
            let ends = self
                .workers
                .iter()
                .filter(|(_, worker)| worker.taken_in > worker.acknowledged);
            records.acknowledge = ends
                .map(|(id, worker)| (id.clone(), worker.taken_in))
                .collect();
        }
        records
    }

    /// Before a worker is used for the first time, its id is written, so that
    /// the next leader knows whom to ask; and after it has gone, so that the
    /// next leader does not wait for its lease.
    fn add_workers_record(&mut self, records: &mut durable::Records) {
        if !self.workers_record_differs() {
            return;
        }
        let ids = self.workers.keys().chain(self.unheard.keys());
        let ids: IndexSet<fleet::WorkerId> = ids.cloned().collect();
        let bytes = Some(durable::encode(&ids.iter().collect::<Vec<_>>()));
        records.records.push(durable::Record {
            key: durable::RecordKey::Workers,
            bytes,
        });
        records.recorded = Some(ids);
    }

    fn workers_record_differs(&self) -> bool {
        let gone =
            |id: &fleet::WorkerId| !self.workers.contains_key(id) && !self.unheard.contains_key(id);
        self.has_unrecorded_workers() || self.recorded.iter().any(gone)
    }

    fn has_unrecorded_workers(&self) -> bool {
        self.workers.keys().any(|id| !self.recorded.contains(id))
    }

    /// Whether records wait that somebody waits for: callers, or workers that
    /// cannot be used yet.
    pub fn has_urgent_records(&self) -> bool {
        let unstored = |id: &fleet::JobId| self.jobs.get(id).is_some_and(|job| !job.stored);
        self.dirty.iter().any(unstored) || self.has_unrecorded_workers()
    }

    /// Whether anything waits to be written or acknowledged.
    pub fn has_records(&self) -> bool {
        let unacknowledged = |worker: &worker::Worker| worker.taken_in > worker.acknowledged;
        !self.dirty.is_empty()
            || self.workers.values().any(unacknowledged)
            || self.workers_record_differs()
    }

    /// Whether ends of a worker wait to be acknowledged.
    pub fn has_unacknowledged(&self, id: &fleet::WorkerId) -> bool {
        self.workers
            .get(id)
            .is_some_and(|worker| worker.taken_in > worker.acknowledged)
    }

    /// All of `records` are in the store.
    pub fn records_written(&mut self, records: &durable::Records) {
        for id in &records.created {
            if let Some(job) = self.jobs.get_mut(id) {
                job.stored = true;
            }
        }
        if let Some(recorded) = &records.recorded {
            self.recorded.clone_from(recorded);
        }
        for (id, number) in &records.acknowledge {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.acknowledged = worker.acknowledged.max(*number);
            }
        }
    }

    /// None of `records` is in the store or ever will be. Jobs that would have
    /// been created are forgotten; the rest is written with the next records.
    pub fn records_not_written(&mut self, records: &durable::Records) {
        for record in &records.records {
            if let durable::RecordKey::Job(id) | durable::RecordKey::Progress(id) = record.key {
                self.dirty.insert(id);
            }
        }
        for id in &records.created {
            self.withdraw(*id);
        }
    }
}
