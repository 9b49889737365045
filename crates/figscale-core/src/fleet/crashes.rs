//! Detection of tasks that crash every worker that starts them.
//!
//! A worker that crashes reports nothing. What is known is which runs it had, and
//! a range for the age of each: between the last contact and the first failed
//! call. A task that crashes its workers does so soon after its start, each time;
//! a task that runs beside it, or on a worker that crashes for another reason, is
//! lost at any age.
//!
//! Each run that is lost soon after its start ("young") counts against its task.
//! The task is then retried in quarantine: nothing else is started on its worker
//! until the run has lived longer than the lost ones had. If it does, its losses
//! are cleared; if that worker is lost as well, no other run there can be the
//! cause. A gang counts as one task, since it fails as a whole.
//!
//! A number of losses alone proves nothing while workers crash for other reasons. So
//! a task fails only if a coincidence is unlikely as well, given how many other
//! workers were lost at the same times (see `crash_evidence`). Until that is known,
//! and while so many workers are being lost that another attempt would show nothing,
//! the task is not started again; so its starts stay few. That wait is bounded, since
//! an innocent task must run even if workers are lost all the time.
//!
//! Losses that follow one another on the same machine are one observation (see
//! `lost_machines`). After two of them the task waits for another machine, or until
//! that one has been up for a while.
//!
//! Losses are part of the record of the job's progress, which is written as soon
//! as a worker becomes unresponsive. Each start in quarantine is announced there
//! before it is ordered, so that the attempt is known even if the leader is lost
//! in between. When a worker is in contact again, its losses are retracted.

use std::mem;
use std::time;

use figscale_types::fleet;
use indexmap::IndexMap;
use indexmap::IndexSet;
use serde::Deserialize;
use serde::Serialize;

use super::action::Action;
use super::action::LogEntry;
use super::action::StepHold;
use super::crash_evidence;
use super::job;
use super::lease::millis;
use super::lost_machines;
use super::scheduler;
use super::worker;

/// A task that crashes its worker is expected to do so within this time of its
/// start. If none of a worker's runs is younger, no task is blamed for a crash.
pub(crate) const CRASH_WINDOW: time::Duration = time::Duration::from_millis(500);
/// Losses of older runs count as well, up to this age, since a crash may take
/// longer. A task that has run for longer is never failed for its losses.
const MAX_CRASH_AGE: time::Duration = time::Duration::from_millis(3_000);
/// Losses within this time of the start are unlikely to be a coincidence.
const AT_START_WINDOW: time::Duration = time::Duration::from_millis(200);
/// Losses after which a task fails permanently if all of them were at its start
/// and the last one had no other young run beside it.
const MAX_LOSSES_AT_START: usize = 2;
/// Losses with a confirmed start after which a task fails permanently.
const MAX_LOSSES: usize = 3;

/// A run that was lost with its worker; for a gang, all members on that worker.
/// Without a worker, it is an announced start, whose order may have been lost
/// with the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Loss {
    attempt: u32,
    worker: Option<fleet::WorkerId>,
    /// Its age at the last contact with the worker.
    least_age_ms: u64,
    /// Its age when the worker was found unresponsive.
    most_age_ms: u64,
    /// Whether the worker had confirmed the start.
    begun: bool,
    /// Whether no other run on the worker was young.
    alone: bool,
}

impl Loss {
    fn is_young(&self) -> bool {
        self.least_age_ms <= millis(CRASH_WINDOW)
    }

    fn is_at_start(&self) -> bool {
        self.begun && self.most_age_ms <= millis(AT_START_WINDOW)
    }

    fn is_of(&self, attempt: u32, worker: &fleet::WorkerId) -> bool {
        let there = self.worker.as_ref().is_none_or(|known| known == worker);
        self.attempt == attempt && there
    }

    /// Merges the loss of another member of the same gang on the same worker.
    /// An announced start is replaced.
    fn merge(&mut self, other: Self) {
        if self.worker.is_none() {
            *self = other;
            return;
        }
        self.least_age_ms = self.least_age_ms.min(other.least_age_ms);
        self.most_age_ms = self.most_age_ms.max(other.most_age_ms);
        self.begun |= other.begun;
    }
}

/// Losses of one task, or of one gang, that no later run has outlived.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct History {
    losses: Vec<Loss>,
    /// Chance of a coincidence, by attempt. It is recorded apart.
    #[serde(skip)]
    chances: IndexMap<u32, crash_evidence::Chance>,
    /// When this leader found the last loss, or took the history over.
    #[serde(skip)]
    last_lost_at: Option<time::Instant>,
    /// Machines of the lost attempts. They are recorded apart.
    #[serde(skip)]
    machines: lost_machines::LostMachines,
}

impl History {
    fn add(&mut self, loss: Loss) {
        let same = |known: &&mut Loss| {
            known.attempt == loss.attempt && (known.worker.is_none() || known.worker == loss.worker)
        };
        match self.losses.iter_mut().find(same) {
            Some(known) => known.merge(loss),
            None => self.losses.push(loss),
        }
    }

    fn announce(&mut self, attempt: u32) {
        self.losses.push(Loss {
            attempt,
            worker: None,
            least_age_ms: 0,
            most_age_ms: 0,
            begun: false,
            alone: false,
        });
    }

    fn is_announced(&self, attempt: u32) -> bool {
        self.losses.iter().any(|loss| loss.attempt == attempt)
    }

    /// Removes a loss; returns whether it was known.
    fn retract(&mut self, attempt: u32, worker: &fleet::WorkerId) -> bool {
        self.machines.retract(attempt, worker);
        let before = self.losses.len();
        self.losses.retain(|loss| !loss.is_of(attempt, worker));
        if self.losses.iter().all(|loss| loss.attempt != attempt) {
            self.chances.swap_remove(&attempt);
        }
        self.losses.len() < before
    }

    /// Records that the start of a lost run was confirmed after all.
    fn confirm(&mut self, attempt: u32, worker: &fleet::WorkerId) {
        let mut losses = self.losses.iter_mut();
        if let Some(loss) = losses.find(|loss| loss.is_of(attempt, worker)) {
            loss.begun = true;
        }
    }

    /// Number of attempts with such a loss; a gang may lose several workers in
    /// one attempt.
    fn attempts(&self, counts: impl Fn(&Loss) -> bool) -> usize {
        let losses = self.losses.iter().filter(|loss| counts(loss));
        losses
            .map(|loss| loss.attempt)
            .collect::<IndexSet<u32>>()
            .len()
    }

    /// Losses of the last attempt that has any.
    fn last_attempt(&self) -> impl Iterator<Item = &Loss> {
        let last = self.losses.iter().map(|loss| loss.attempt).max();
        let losses = self.losses.iter();
        losses.filter(move |loss| Some(loss.attempt) == last)
    }

    /// Whether the next start of the task has to be isolated from other tasks.
    pub(crate) fn needs_quarantine(&self) -> bool {
        self.last_attempt().any(Loss::is_young) || self.attempts(|_| true) >= MAX_LOSSES_AT_START
    }

    /// Age after which a run has outlived the losses: its task is then not their
    /// cause.
    fn outlived_after(&self) -> time::Duration {
        let ages = self.losses.iter().map(|loss| loss.most_age_ms);
        let longest = time::Duration::from_millis(ages.max().unwrap_or(0));
        longest.clamp(CRASH_WINDOW, MAX_CRASH_AGE)
    }

    /// Number of attempts that began and were lost with their workers.
    fn lost_attempts(&self) -> usize {
        self.attempts(|loss| loss.begun && loss.worker.is_some())
    }

    /// Number of these attempts that are independent observations.
    fn observations(&self) -> usize {
        let counts = |loss: &Loss| {
            loss.begun && loss.worker.is_some() && !self.machines.is_repeated(loss.attempt)
        };
        self.attempts(counts)
    }

    /// Machines of the lost attempts, for the record.
    pub(crate) fn machines(&self) -> &lost_machines::LostMachines {
        &self.machines
    }

    /// Loads the machines of a recorded history.
    pub(crate) fn load_machines(&mut self, machines: lost_machines::LostMachines) {
        self.machines = machines;
    }

    /// Whether a worker confirmed the start of a run that was lost later.
    pub(crate) fn has_confirmed_start(&self) -> bool {
        self.losses.iter().any(|loss| loss.begun)
    }

    /// Chances of a coincidence in millionths, by attempt, for the record.
    pub(crate) fn chances_ppm(&self) -> Vec<(u32, u32)> {
        let chances = self.chances.iter();
        chances
            .map(|(attempt, chance)| (*attempt, chance.ppm))
            .collect()
    }

    /// Loads the chances of a recorded history.
    pub(crate) fn load_chances(&mut self, chances_ppm: Vec<(u32, u32)>) {
        let recorded = crash_evidence::Chance::recorded;
        let chances = chances_ppm.into_iter();
        self.chances = chances
            .map(|(attempt, ppm)| (attempt, recorded(ppm)))
            .collect();
    }

    /// Records how many workers an attempt ran on when one of them was lost.
    fn add_chance(&mut self, attempt: u32, hosts: usize, since: time::Instant) {
        let chance = crash_evidence::Chance {
            hosts,
            lost: 0,
            between: Some((since, since)),
            ppm: 0,
        };
        self.chances.insert(attempt, chance);
    }

    /// Counts the workers that an attempt has lost by now.
    fn count_lost(&mut self, attempt: u32, now: time::Instant) {
        let lost = self.losses.iter().filter(|loss| loss.attempt == attempt);
        let lost = lost.count();
        if let Some(chance) = self.chances.get_mut(&attempt) {
            chance.lost = lost;
            chance.between = chance.between.map(|(first, _)| (first, now));
        }
        self.last_lost_at = Some(now);
    }

    /// Begins the hold of a history that an earlier leader recorded without times.
    pub(crate) fn begin_hold(&mut self, now: time::Instant) {
        self.last_lost_at = Some(now);
        self.machines.date_recorded(now);
    }

    /// Whether the task has to be tried again, whatever else is being lost.
    fn is_hold_over(&self, now: time::Instant) -> bool {
        self.has_waited(crash_evidence::MAX_HOLD, now)
    }

    /// Whether this much time has passed since the last loss.
    pub(crate) fn has_waited(&self, time: time::Duration, now: time::Instant) -> bool {
        self.last_lost_at.is_none_or(|at| now >= at + time)
    }

    fn update_chances(&mut self, known: &crash_evidence::LostWorkers, fleet: usize) {
        let before: Vec<crash_evidence::Chance> = self.chances.values().copied().collect();
        for chance in self.chances.values_mut() {
            let own = before.iter().filter(|other| chance.is_simultaneous(other));
            let own = own.map(|other| other.lost).sum();
            chance.update(known, own, fleet);
        }
    }

    /// Whether its lost attempts are no coincidence. An attempt proves nothing if its
    /// start was not confirmed, or if another young run was on the worker. Gangs are
    /// not isolated, so for them only the first of these counts.
    fn shows_cause(&self, is_gang: bool) -> bool {
        crash_evidence::shows_cause(self.attempt_chances(is_gang))
    }

    /// Chance of a coincidence in millionths, of each lost attempt.
    fn attempt_chances(&self, is_gang: bool) -> impl Iterator<Item = u32> {
        let attempts: IndexSet<u32> = self.losses.iter().map(|loss| loss.attempt).collect();
        attempts.into_iter().map(move |attempt| {
            let is_of = |loss: &&Loss| loss.attempt == attempt;
            let shows = |loss: &Loss| loss.begun && (is_gang || loss.alone);
            let shows = self.losses.iter().filter(is_of).any(shows);
            let shows = shows && !self.machines.is_repeated(attempt);
            let chance = self.chances.get(&attempt).filter(|_| shows);
            chance.map_or(crash_evidence::CERTAIN_PPM, |chance| chance.ppm)
        })
    }

    /// Number of workers that the last attempt ran on.
    fn hosts(&self) -> usize {
        let last = self.chances.values().last();
        last.map_or(1, |chance| chance.hosts)
    }

    /// Whether the task is to fail permanently unless its losses are a coincidence.
    fn is_over_loss_limit(&self) -> bool {
        let with_worker = || self.losses.iter().filter(|loss| loss.worker.is_some());
        let observations = self.observations();
        let at_start = with_worker().all(Loss::is_at_start);
        let alone = self.last_attempt().any(|loss| loss.alone);
        observations >= MAX_LOSSES || at_start && alone && observations >= MAX_LOSSES_AT_START
    }
}

/// Key of a task's history in its step; a gang has a single history.
fn key_of(task: &fleet::TaskId, is_gang: bool) -> u32 {
    if is_gang { 0 } else { task.index }
}

impl job::Job {
    /// Losses of a task or its gang, if there are any.
    pub(crate) fn crashes(&self, task: &fleet::TaskId) -> Option<&History> {
        let step = self.step(task).filter(|step| !step.crashes.is_empty())?;
        let is_gang = self.step_description(task)?.gang;
        step.crashes.get(&key_of(task, is_gang))
    }

    pub(crate) fn needs_quarantine(&self, task: &fleet::TaskId) -> bool {
        self.crashes(task).is_some_and(History::needs_quarantine)
    }

    fn crashes_mut(&mut self, task: &fleet::TaskId) -> Option<&mut History> {
        let is_gang = self.step_description(task)?.gang;
        let step = self.step_mut(task)?;
        step.crashes.get_mut(&key_of(task, is_gang))
    }

    fn add_loss(&mut self, task: &fleet::TaskId, loss: Loss) {
        let is_gang = self.step_description(task).is_some_and(|step| step.gang);
        if let Some(step) = self.step_mut(task) {
            let key = key_of(task, is_gang);
            step.crashes.entry(key).or_default().add(loss);
        }
    }

    /// Clears all losses of a task or its gang.
    fn clear_losses(&mut self, task: &fleet::TaskId) {
        let is_gang = self.step_description(task).is_some_and(|step| step.gang);
        if let Some(step) = self.step_mut(task) {
            step.crashes.swap_remove(&key_of(task, is_gang));
        }
    }
}

impl scheduler::Scheduler {
    /// Handles a worker that has just become unresponsive: runs that may have
    /// crashed it count as lost until there is contact again.
    pub(crate) fn record_possible_crash(&mut self, id: &fleet::WorkerId, now: time::Instant) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let may_be_cause = |(key, loss): &(worker::RunKey, Loss)| {
            let job = self.jobs.get(&key.0.job);
            loss.is_young() || job.is_some_and(|job| job.crashes(&key.0).is_some())
        };
        let losses = self.losses(id, &worker.runs, now).into_iter();
        let losses: Vec<(worker::RunKey, Loss)> = losses.filter(may_be_cause).collect();
        if !worker.entry.draining {
            self.lost_workers.record(id, now);
            let address = worker.entry.address;
            self.unsettled_machines.record(address, id, now);
        }
        for (key, loss) in losses {
            self.record_loss(&key, loss, now, now);
        }
    }

    /// Number of workers that an attempt of a task, or of its gang, runs on.
    fn hosts_of(&self, key: &worker::RunKey) -> usize {
        let job = self.jobs.get(&key.0.job);
        let is_gang = |job: &&job::Job| job.step_description(&key.0).is_some_and(|step| step.gang);
        let step = job.filter(is_gang).and_then(|job| job.step(&key.0));
        let tasks = step.into_iter().flat_map(|step| &step.tasks);
        let hosts = tasks.filter_map(|task| match &task.state {
            job::TaskState::Placed { worker, attempt } if *attempt == key.1 => Some(worker),
            _ => None,
        });
        hosts.collect::<IndexSet<_>>().len().max(1)
    }

    /// Whether a task under suspicion has to wait before its next start: until
    /// simultaneous losses are known, or until few workers are being lost or it has
    /// waited long.
    fn is_held(&self, history: &History, is_gang: bool, now: time::Instant) -> bool {
        if history.lost_attempts() < MAX_LOSSES_AT_START {
            return false;
        }
        let open = || history.chances.values().any(|chance| chance.is_open(now));
        let (known, fleet) = (&self.lost_workers, self.workers.len());
        let shows = || {
            let chances = history.attempt_chances(is_gang);
            crash_evidence::would_show(known, chances, history.hosts(), fleet, now)
        };
        history.is_over_loss_limit() && open() || !history.is_hold_over(now) && !shows()
    }

    /// Whether a task was lost repeatedly on a worker's machine, which may be lost again
    /// whatever runs there.
    pub(crate) fn avoids_machine(
        &self,
        history: Option<&History>,
        worker: &worker::Worker,
        now: time::Instant,
    ) -> bool {
        history.is_some_and(|history| history.machines.avoids(worker.entry.address, now))
    }

    /// What holds back the waiting tasks of a step, if anything does. `first` is its
    /// first task.
    pub(crate) fn hold(&self, first: &fleet::TaskId, now: time::Instant) -> Option<StepHold> {
        let job = self.jobs.get(&first.job)?;
        let step = job.step(first)?;
        if self.has_unsaved_losses(first.job, step) {
            return Some(StepHold::UnsavedLosses);
        }
        let is_gang = job.step_description(first)?.gang;
        let mut histories = step.crashes.iter();
        let held = histories.any(|(index, history)| {
            let task = step.tasks.get(*index as usize);
            let waits = is_gang || task.is_some_and(job::Task::is_waiting);
            waits && self.is_held(history, is_gang, now)
        });
        held.then_some(StepHold::Losses)
    }

    /// Announces an attempt of a task that has losses. Returns true if it is
    /// announced already, or has no losses, and may be ordered.
    pub(crate) fn announce_start(
        &mut self,
        task: &fleet::TaskId,
        attempt: u32,
        now: time::Instant,
    ) -> bool {
        let job = self.jobs.get(&task.job);
        let step = job.and_then(|job| job.step_description(task));
        let is_gang = step.is_some_and(|step| step.gang);
        let history = job.and_then(|job| job.crashes(task));
        if history.is_some_and(|history| self.is_held(history, is_gang, now)) {
            return false;
        }
        let job = self.jobs.get_mut(&task.job);
        let history = job.and_then(|job| job.crashes_mut(task));
        let Some(history) = history.filter(|history| !history.is_announced(attempt)) else {
            return true;
        };
        history.announce(attempt);
        self.unsaved.change_losses(task.job);
        false
    }

    /// Losses for the runs of a worker.
    pub(crate) fn losses(
        &self,
        id: &fleet::WorkerId,
        runs: &IndexMap<worker::RunKey, worker::Run>,
        now: time::Instant,
    ) -> Vec<(worker::RunKey, Loss)> {
        let worker = self.workers.get(id);
        let last_contact = worker.and_then(|worker| worker.lease.read_at());
        let unresponsive_since = worker.and_then(|worker| worker.unresponsive_since);
        let young: Vec<&worker::RunKey> = runs
            .iter()
            .filter(|(_, run)| run.age_at(last_contact) <= CRASH_WINDOW)
            .map(|(key, _)| key)
            .collect();
        let loss = |(key, run): (&worker::RunKey, &worker::Run)| {
            let least_age = run.age_at(last_contact);
            let most_age = run.age_at(unresponsive_since.or(Some(now))).max(least_age);
            let mut others = young.iter();
            let loss = Loss {
                attempt: key.1,
                worker: Some(id.clone()),
                least_age_ms: millis(least_age),
                most_age_ms: millis(most_age),
                begun: run.is_confirmed(),
                alone: others.all(|other| self.are_same_run_or_gang(key, other)),
            };
            (*key, loss)
        };
        runs.iter().map(loss).collect()
    }

    /// Whether two runs are the same run, or members of the same gang attempt.
    fn are_same_run_or_gang(&self, one: &worker::RunKey, other: &worker::RunKey) -> bool {
        let together = one.0.is_of_same_step(&other.0) && one.1 == other.1;
        let is_gang = || {
            let job = self.jobs.get(&one.0.job);
            let step = job.and_then(|job| job.step_description(&one.0));
            step.is_some_and(|step| step.gang)
        };
        one == other || together && is_gang()
    }

    /// Records a loss whose worker has not responded since `since`.
    pub(crate) fn record_loss(
        &mut self,
        key: &worker::RunKey,
        loss: Loss,
        since: time::Instant,
        now: time::Instant,
    ) {
        let hosts = self.hosts_of(key);
        let fleet = self.workers.len();
        let host = loss.worker.clone();
        let host = host.and_then(|id| Some((self.workers.get(&id)?.entry.address, id)));
        let job = self.jobs.get_mut(&key.0.job).filter(|job| job.is_open());
        if let Some(job) = job.filter(|_| loss.least_age_ms <= millis(MAX_CRASH_AGE)) {
            job.add_loss(&key.0, loss);
            if let Some(history) = job.crashes_mut(&key.0) {
                // The runs of a worker are abandoned some time after its loss.
                if !history.chances.contains_key(&key.1) {
                    history.add_chance(key.1, hosts, since);
                }
                history.count_lost(key.1, now);
                if let Some((address, id)) = host {
                    history.machines.add(key.1, &id, address, now);
                }
                history.update_chances(&self.lost_workers, fleet);
            }
            self.unsaved.change_losses(key.0.job);
        }
    }

    /// Retracts the loss of a run that was reported again, or never began.
    pub(crate) fn retract_loss(&mut self, id: &fleet::WorkerId, key: &worker::RunKey) {
        let Some(job) = self.jobs.get_mut(&key.0.job) else {
            return;
        };
        let Some(history) = job.crashes_mut(&key.0) else {
            return;
        };
        if history.retract(key.1, id) {
            if history.losses.is_empty() {
                self.clear_losses(&key.0);
            }
            self.unsaved.change(key.0.job);
        }
    }

    /// Clears all losses of a task or its gang, and ends the quarantine of its runs.
    fn clear_losses(&mut self, task: &fleet::TaskId) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.clear_losses(task);
        let is_gang = job.step_description(task).is_some_and(|step| step.gang);
        let is_own =
            |key: &worker::RunKey| key.0 == *task || is_gang && key.0.is_of_same_step(task);
        for worker in self.workers.values_mut() {
            worker.end_quarantine(is_own);
        }
        self.unsaved.change(task.job);
    }

    /// Handles the confirmation of a start whose run may count as lost already.
    pub(crate) fn confirm_loss(&mut self, id: &fleet::WorkerId, key: &worker::RunKey) {
        let job = self.jobs.get_mut(&key.0.job);
        if let Some(history) = job.and_then(|job| job.crashes_mut(&key.0)) {
            history.confirm(key.1, id);
        }
    }

    /// Clears the losses that a run has outlived.
    pub(crate) fn check_outlived(&mut self, key: &worker::RunKey) {
        let Some(job) = self.jobs.get(&key.0.job) else {
            return;
        };
        let Some(history) = job.crashes(&key.0) else {
            return;
        };
        let gang = job.step_description(&key.0).filter(|step| step.gang);
        let (is_gang, members) = (gang.is_some(), gang.map_or(1, |step| step.count as usize));
        let needed = history.outlived_after();
        let same = |other: &worker::RunKey| {
            other == key || is_gang && other.1 == key.1 && other.0.is_of_same_step(&key.0)
        };
        let runs = self.workers.values().flat_map(|worker| {
            let last_contact = worker.lease.read_at();
            let runs = worker.runs.iter().filter(|(key, _)| same(key));
            runs.map(move |(_, run)| run.is_confirmed() && run.age_at(last_contact) > needed)
        });
        // All members must be there: after a gang has lost a worker, its other
        // members run on for a while.
        if runs.filter(|has_outlived| *has_outlived).count() < members {
            return;
        }
        self.clear_losses(&key.0);
    }

    /// Lets the losses of a task be judged once all simultaneous ones are known.
    pub(crate) fn suspect(&mut self, task: &fleet::TaskId) {
        let job = self.jobs.get(&task.job).filter(|job| job.is_open());
        let history = job.and_then(|job| job.crashes(task));
        if history.is_some_and(History::is_over_loss_limit) {
            self.suspects.insert(*task);
        }
    }

    /// Fails the jobs of tasks that crash their workers.
    pub(crate) fn judge_suspects(&mut self, now: time::Instant) {
        let fleet = self.workers.len();
        for task in mem::take(&mut self.suspects) {
            let job = self.jobs.get_mut(&task.job);
            let Some(history) = job.and_then(|job| job.crashes_mut(&task)) else {
                continue;
            };
            if history.chances.values().any(|chance| chance.is_open(now)) {
                self.suspects.insert(task);
                continue;
            }
            history.update_chances(&self.lost_workers, fleet);
            self.unsaved.change(task.job);
            self.fail_job_if(&task, History::is_over_loss_limit, now);
        }
    }

    fn fail_job_if(
        &mut self,
        task: &fleet::TaskId,
        has_to_fail: fn(&History) -> bool,
        now: time::Instant,
    ) {
        let Some(job) = self.jobs.get(&task.job).filter(|job| job.is_open()) else {
            return;
        };
        let history = job.crashes(task);
        let is_gang = job.step_description(task).is_some_and(|step| step.gang);
        let has_to_fail = |history: &&History| has_to_fail(history) && history.shows_cause(is_gang);
        let Some(history) = history.filter(has_to_fail) else {
            return;
        };
        self.actions.push(Action::Log(LogEntry::TaskCrashesWorkers {
            task: *task,
            losses: history.attempts(|_| true),
        }));
        self.end_job(task.job, fleet::JobState::Failed, now);
    }

    /// Fails tasks by the losses that earlier leaders recorded, once recovery is
    /// complete. A recorded loss may be an unresponsive worker whose later
    /// answer was not recorded, so this takes `MAX_LOSSES`, more than a leader
    /// needs that has seen the last loss itself.
    pub(crate) fn fail_jobs_over_recorded_limit(&mut self, now: time::Instant) {
        let mut tasks = Vec::new();
        for id in &self.open {
            let rounds = self.jobs.get(id).map(|job| &job.rounds);
            for (occurrence, round) in rounds.into_iter().flatten().enumerate() {
                for (step, progress) in round.steps.iter().enumerate() {
                    let first = super::pass::first_task(*id, occurrence, step);
                    let known = progress.crashes.keys();
                    tasks.extend(known.map(|index| fleet::TaskId {
                        index: *index,
                        ..first
                    }));
                }
            }
        }
        for task in tasks {
            // While a run of the task is known, it may or may not be lost.
            let job = self.jobs.get(&task.job);
            let known = job.and_then(|job| job.task(&task));
            if known.is_some_and(job::Task::is_waiting) {
                self.fail_job_if(&task, |history| history.observations() >= MAX_LOSSES, now);
            }
        }
    }
}
