//! Checks that a final state, once a caller was told it, is told by the same leader
//! and all later ones, and that no task of its job is ordered to start after it. The
//! same holds for tasks that operators are shown as done.
//!
//! Callers and operators ask for each job at each moment, and callers cancel some jobs.

use figscale_types::fleet;
use indexmap::IndexMap;

use super::Simulation;
use crate::helpers;

/// Final states that callers were told, each with the epoch of the leader.
pub(super) type Told = IndexMap<fleet::JobId, (fleet::JobState, fleet::Epoch)>;

/// Tasks that operators were shown as done, each with the epoch of the leader.
pub(super) type ShownDone = IndexMap<fleet::TaskId, fleet::Epoch>;

impl Simulation {
    /// Asks a leader for the state of all jobs.
    pub(super) fn check_told(&mut self, number: usize) {
        self.check_shown(number);
        let leader = &self.leaders[number];
        for (job, _) in &self.jobs {
            let id = helpers::job_id(*job);
            let state = leader.scheduler.durable_state(id);
            let told = self.told.get(&id).filter(|told| told.1 <= leader.epoch);
            let now_ms = self.now_ms;
            if let Some((known, epoch)) = told
                && state != Some(*known)
            {
                let violation = format!(
                    "{now_ms}: {id} is {state:?} for leader {number}, but {known:?} in epoch {epoch:?}"
                );
                self.violations.push(violation);
            }
            if let Some(state) = state.filter(|state| state.is_final()) {
                self.told.entry(id).or_insert((state, leader.epoch));
            }
        }
    }

    /// Asks a leader for the tasks of all jobs.
    fn check_shown(&mut self, number: usize) {
        let leader = &self.leaders[number];
        let views = self.jobs.iter().filter_map(|(job, _)| {
            let view = leader.scheduler.view(helpers::job_id(*job))?;
            Some(view).filter(|view| !view.state.is_final())
        });
        for task in views.flat_map(|view| view.tasks) {
            let is_done = task.progress == fleet::TaskProgress::Done;
            let shown = self.shown_done.get(&task.task);
            let shown = shown.filter(|epoch| **epoch <= leader.epoch);
            if let Some(epoch) = shown
                && !is_done
            {
                let (now_ms, task) = (self.now_ms, task.task);
                let violation = format!(
                    "{now_ms}: {task} is not done for leader {number}, but was in epoch {epoch:?}"
                );
                self.violations.push(violation);
            }
            if is_done {
                self.shown_done.entry(task.task).or_insert(leader.epoch);
            }
        }
    }

    /// Checks that a leader orders no start of a job that callers know to be over, or
    /// of a task that operators were shown as done.
    pub(super) fn check_order(&mut self, number: usize, task: fleet::TaskId) {
        let epoch = self.leaders[number].epoch;
        let shown = self.shown_done.get(&task);
        if shown.is_some_and(|shown| *shown <= epoch) {
            let now_ms = self.now_ms;
            let violation = format!("{now_ms}: leader {number} starts {task}, shown as done");
            self.violations.push(violation);
        }
        let told = self.told.get(&task.job);
        if told.is_some_and(|told| told.1 <= epoch) {
            let violation = format!(
                "{}: leader {number} starts {task}, told as {told:?}",
                self.now_ms
            );
            self.violations.push(violation);
        }
    }

    /// Cancels a job, at times.
    pub(super) fn cancel(&mut self) {
        if !self.faults.cancels || !self.one_in(60) {
            return;
        }
        let job = helpers::job_id(1 + self.random(self.jobs.len() as u64));
        let leads =
            |leader: &usize| self.leads(*leader) && self.leaders[*leader].recorded.is_none();
        let Some(number) = (0..self.leaders.len()).rfind(leads) else {
            return;
        };
        let now = self.now(number);
        let leader = &mut self.leaders[number];
        if !leader.closing {
            leader.scheduler.cancel(job, now);
        }
    }
}
