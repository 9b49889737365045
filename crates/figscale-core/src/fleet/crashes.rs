//! Tasks that crash each worker that starts them.
//!
//! A worker that crashes reports nothing. What is known is which runs were there,
//! and how old they were between the last sign of life and the first failed call.
//! A task that crashes its workers does so soon after its start, each time; a task
//! that runs beside it, or on a worker that crashes by itself, is lost at any age.
//!
//! Each run that is lost young counts against its task, which is then started in
//! quarantine: nothing else is started on its worker until it has outlived the
//! runs that were lost. If it does, all is forgotten; if that worker is lost as
//! well, nothing else there can be the cause. A gang counts as one, since it is
//! given up as a whole.
//!
//! Losses are in the record of the job's progress, written as soon as a worker
//! falls silent, and each start in quarantine is announced there before it is
//! ordered, so that a leader that is lost in between does not make it forgotten. A
//! worker that is heard again takes its losses back.

use std::time;

use figscale_types::fleet;
use indexmap::IndexMap;
use indexmap::IndexSet;
use serde::Deserialize;
use serde::Serialize;

use super::action::Action;
use super::action::Note;
use super::job;
use super::lease::millis;
use super::scheduler;
use super::worker;

/// A task that crashes its worker does so within this time of its start. While
/// none of a worker's runs is younger, a crash is nobody's fault.
pub(crate) const CRASH_WINDOW: time::Duration = time::Duration::from_millis(500);
/// Losses of older runs count as well, up to this age, since a crash may take
/// longer; what has outlived it is never given up.
const MAX_CRASH_AGE: time::Duration = time::Duration::from_millis(3_000);
/// Losses within this time of the start leave little to chance.
const AT_START: time::Duration = time::Duration::from_millis(200);
/// Losses after which a task is given up if all were at its start, the last one
/// with no other young run beside it.
const MAX_LOSSES_AT_START: usize = 2;
/// Losses after a confirmed start after which a task is given up.
const MAX_LOSSES: usize = 3;

/// A run that was lost with its worker; of a gang, all members there. Without a
/// worker it is a start that is announced: it may be lost with its leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Loss {
    attempt: u32,
    worker: Option<fleet::WorkerId>,
    /// Its age at the worker's last sign of life.
    least_age_ms: u64,
    /// Its age when the worker was found silent.
    most_age_ms: u64,
    /// The worker had confirmed the start.
    begun: bool,
    /// No other run there was young.
    alone: bool,
}

impl Loss {
    fn is_young(&self) -> bool {
        self.least_age_ms <= millis(CRASH_WINDOW)
    }

    fn is_at_start(&self) -> bool {
        self.begun && self.most_age_ms <= millis(AT_START)
    }

    fn is_of(&self, attempt: u32, worker: &fleet::WorkerId) -> bool {
        let there = self.worker.as_ref().is_none_or(|known| known == worker);
        self.attempt == attempt && there
    }

    /// Takes in another member of the same gang on the same worker.
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

/// Losses of one task, or of one gang, that no run has outlived.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct History {
    losses: Vec<Loss>,
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

    /// Takes a loss back; true if it was known.
    fn retract(&mut self, attempt: u32, worker: &fleet::WorkerId) -> bool {
        let before = self.losses.len();
        self.losses.retain(|loss| !loss.is_of(attempt, worker));
        self.losses.len() < before
    }

    /// The start of a run that was lost is confirmed after all.
    fn confirm(&mut self, attempt: u32, worker: &fleet::WorkerId) {
        let mut losses = self.losses.iter_mut();
        if let Some(loss) = losses.find(|loss| loss.is_of(attempt, worker)) {
            loss.begun = true;
        }
    }

    /// Attempts with a loss; a gang may lose several workers in one.
    fn attempts(&self, counts: impl Fn(&Loss) -> bool) -> usize {
        let losses = self.losses.iter().filter(|loss| counts(loss));
        losses
            .map(|loss| loss.attempt)
            .collect::<IndexSet<u32>>()
            .len()
    }

    fn last(&self) -> impl Iterator<Item = &Loss> {
        let last = self.losses.iter().map(|loss| loss.attempt).max();
        let losses = self.losses.iter();
        losses.filter(move |loss| Some(loss.attempt) == last)
    }

    /// Whether the task is to be started apart from others.
    pub(crate) fn needs_quarantine(&self) -> bool {
        self.last().any(Loss::is_young) || self.attempts(|_| true) >= MAX_LOSSES_AT_START
    }

    /// A run that is known to be older than this was not lost for its own fault.
    fn outlived_after(&self) -> time::Duration {
        let ages = self.losses.iter().map(|loss| loss.most_age_ms);
        let longest = time::Duration::from_millis(ages.max().unwrap_or(0));
        longest.clamp(CRASH_WINDOW, MAX_CRASH_AGE)
    }

    /// Attempts that began and were lost with their workers.
    fn lost(&self) -> usize {
        self.attempts(|loss| loss.begun && loss.worker.is_some())
    }

    /// Whether the task is given up.
    fn is_convicted(&self) -> bool {
        let seen = || self.losses.iter().filter(|loss| loss.worker.is_some());
        let lost = self.lost();
        let at_start = seen().all(Loss::is_at_start);
        let alone = self.last().any(|loss| loss.alone);
        lost >= MAX_LOSSES || at_start && alone && lost >= MAX_LOSSES_AT_START
    }
}

/// Which of a step's histories a task belongs to: a gang has one.
fn key_of(task: &fleet::TaskId, is_gang: bool) -> u32 {
    if is_gang { 0 } else { task.index }
}

impl job::Job {
    /// What is known of workers lost under a task or its gang.
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

    /// Forgets all losses of a task or its gang.
    fn acquit(&mut self, task: &fleet::TaskId) {
        let is_gang = self.step_description(task).is_some_and(|step| step.gang);
        if let Some(step) = self.step_mut(task) {
            step.crashes.swap_remove(&key_of(task, is_gang));
        }
    }
}

impl scheduler::Scheduler {
    /// A worker has just fallen silent: what it may have crashed under counts as
    /// lost until it is heard again.
    pub(crate) fn note_possible_crash(&mut self, id: &fleet::WorkerId, now: time::Instant) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let suspected = |(key, loss): &(worker::RunKey, Loss)| {
            let job = self.jobs.get(&key.0.job);
            loss.is_young() || job.is_some_and(|job| job.crashes(&key.0).is_some())
        };
        let losses = self.losses(id, &worker.runs, now).into_iter();
        let losses: Vec<(worker::RunKey, Loss)> = losses.filter(suspected).collect();
        for (key, loss) in losses {
            self.note_loss(&key, loss);
        }
    }

    /// Announces an attempt of a task that has lost workers; true if there is
    /// nothing to announce any more, and it may be ordered.
    pub(crate) fn announce_start(&mut self, task: &fleet::TaskId, attempt: u32) -> bool {
        let job = self.jobs.get_mut(&task.job);
        let history = job.and_then(|job| job.crashes_mut(task));
        let Some(history) = history.filter(|history| !history.is_announced(attempt)) else {
            return true;
        };
        history.announce(attempt);
        self.unsaved.change(task.job);
        false
    }

    /// The runs of a worker as losses.
    pub(crate) fn losses(
        &self,
        id: &fleet::WorkerId,
        runs: &IndexMap<worker::RunKey, worker::Run>,
        now: time::Instant,
    ) -> Vec<(worker::RunKey, Loss)> {
        let worker = self.workers.get(id);
        let heard_at = worker.and_then(|worker| worker.lease.read_at());
        let silent_at = worker.and_then(|worker| worker.silent_since);
        let young: Vec<&worker::RunKey> = runs
            .iter()
            .filter(|(_, run)| run.age_at(heard_at) <= CRASH_WINDOW)
            .map(|(key, _)| key)
            .collect();
        let loss = |(key, run): (&worker::RunKey, &worker::Run)| {
            let least_age = run.age_at(heard_at);
            let most_age = run.age_at(silent_at.or(Some(now))).max(least_age);
            let mut others = young.iter();
            let loss = Loss {
                attempt: key.1,
                worker: Some(id.clone()),
                least_age_ms: millis(least_age),
                most_age_ms: millis(most_age),
                begun: run.is_confirmed(),
                alone: others.all(|other| self.are_one(key, other)),
            };
            (*key, loss)
        };
        runs.iter().map(loss).collect()
    }

    /// Whether two runs are the same, or members of the same gang.
    fn are_one(&self, one: &worker::RunKey, other: &worker::RunKey) -> bool {
        let together = one.0.is_of_same_step(&other.0) && one.1 == other.1;
        let is_gang = || {
            let job = self.jobs.get(&one.0.job);
            let step = job.and_then(|job| job.step_description(&one.0));
            step.is_some_and(|step| step.gang)
        };
        one == other || together && is_gang()
    }

    pub(crate) fn note_loss(&mut self, key: &worker::RunKey, loss: Loss) {
        let job = self.jobs.get_mut(&key.0.job).filter(|job| job.is_open());
        if let Some(job) = job.filter(|_| loss.least_age_ms <= millis(MAX_CRASH_AGE)) {
            job.add_loss(&key.0, loss);
            self.unsaved.change(key.0.job);
        }
    }

    /// A run that counted as lost is heard of again, or has never begun.
    pub(crate) fn retract_loss(&mut self, id: &fleet::WorkerId, key: &worker::RunKey) {
        let Some(job) = self.jobs.get_mut(&key.0.job) else {
            return;
        };
        let Some(history) = job.crashes_mut(&key.0) else {
            return;
        };
        if history.retract(key.1, id) {
            if history.losses.is_empty() {
                job.acquit(&key.0);
            }
            self.unsaved.change(key.0.job);
        }
    }

    /// A start is confirmed, perhaps after its run was lost.
    pub(crate) fn confirm_loss(&mut self, id: &fleet::WorkerId, key: &worker::RunKey) {
        let job = self.jobs.get_mut(&key.0.job);
        if let Some(history) = job.and_then(|job| job.crashes_mut(&key.0)) {
            history.confirm(key.1, id);
        }
    }

    /// Forgets losses that a run has outlived, and ends its quarantine.
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
            let heard_at = worker.lease.read_at();
            let runs = worker.runs.iter().filter(|(key, _)| same(key));
            runs.map(move |(_, run)| run.is_confirmed() && run.age_at(heard_at) > needed)
        });
        // Of a gang that has lost a worker the others go on for a while.
        if runs.filter(|has_outlived| *has_outlived).count() < members {
            return;
        }
        for worker in self.workers.values_mut() {
            worker.end_quarantine(same);
        }
        if let Some(job) = self.jobs.get_mut(&key.0.job) {
            job.acquit(&key.0);
            self.unsaved.change(key.0.job);
        }
    }

    /// Ends the job of a task that crashes its workers.
    pub(crate) fn give_up_if_convicted(&mut self, task: &fleet::TaskId, now: time::Instant) {
        self.give_up_if(task, History::is_convicted, now);
    }

    fn give_up_if(
        &mut self,
        task: &fleet::TaskId,
        is_convicted: fn(&History) -> bool,
        now: time::Instant,
    ) {
        let Some(job) = self.jobs.get(&task.job).filter(|job| job.is_open()) else {
            return;
        };
        let history = job.crashes(task);
        let Some(history) = history.filter(|history| is_convicted(history)) else {
            return;
        };
        self.actions.push(Action::Tell(Note::TaskCrashesWorkers {
            task: *task,
            losses: history.attempts(|_| true),
        }));
        self.end_job(task.job, fleet::JobState::Failed, now);
    }

    /// Gives up what earlier leaders knew enough of, once all workers are heard.
    /// They may have recorded a silence and not the answer after it, so it takes
    /// more losses than to a leader that has seen the last one.
    pub(crate) fn give_up_recorded(&mut self, now: time::Instant) {
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
            // A run of this term may be lost or not.
            let job = self.jobs.get(&task.job);
            let known = job.and_then(|job| job.task(&task));
            if known.is_some_and(job::Task::is_waiting) {
                self.give_up_if(&task, |history| history.lost() >= MAX_LOSSES, now);
            }
        }
    }
}
