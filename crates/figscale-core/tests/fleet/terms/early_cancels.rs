//! Cancels of jobs whose submission arrives later. Once such a cancel is acknowledged,
//! no leader of that epoch or a later one orders a start of the job.

use figscale_core::fleet::IdCancel;
use figscale_types::fleet;
use indexmap::IndexMap;

use super::Simulation;
use crate::helpers;

/// How many jobs ahead of the last submission a cancelled one may be.
const MAX_JOBS_AHEAD: u64 = 6;

/// Cancels of jobs that were not known to a leader.
#[derive(Default)]
pub(super) struct EarlyCancels {
    /// Each with the number of the leader that has not acknowledged it yet.
    waiting: Vec<(fleet::JobId, usize)>,
    /// Each with the epoch of the leader that acknowledged it.
    acknowledged: IndexMap<fleet::JobId, fleet::Epoch>,
}

impl Simulation {
    /// Cancels a job that is submitted later, at times.
    pub(super) fn cancel_early(&mut self) {
        if !self.faults.early_cancels || !self.one_in(40) {
            return;
        }
        let ahead = 1 + self.random(MAX_JOBS_AHEAD);
        let job = helpers::job_id(self.jobs.len() as u64 + ahead);
        let number = self.random(self.leaders.len() as u64) as usize;
        let leads = |simulation: &Self| {
            let leader = simulation.leaders.get(number)?;
            let begun = leader.recorded.is_none();
            Some(simulation.leads(number) && begun && !leader.closing)
        };
        if leads(self) != Some(true) {
            return;
        }
        let (now, wall_ms) = (self.now(number), self.wall_ms(number));
        let scheduler = &mut self.leaders[number].scheduler;
        if scheduler.cancel(job, now).is_none() {
            let answer = scheduler.cancel_id(job, None, wall_ms);
            assert_eq!(answer, IdCancel::Recorded);
            self.early_cancels.waiting.push((job, number));
        }
    }

    /// Acknowledges the cancels at a leader whose records are in the store.
    pub(super) fn acknowledge_early_cancels(&mut self, number: usize) {
        let leader = &self.leaders[number];
        let cancels = &mut self.early_cancels;
        cancels.waiting.retain(|(job, at)| {
            if *at != number || !leader.scheduler.is_cancelled_id(*job, None) {
                return true;
            }
            cancels.acknowledged.entry(*job).or_insert(leader.epoch);
            false
        });
    }

    /// Checks that a leader orders no start of a job whose cancel was acknowledged.
    pub(super) fn check_cancelled_early(&mut self, number: usize, task: fleet::TaskId) {
        let epoch = self.leaders[number].epoch;
        let acknowledged = self.early_cancels.acknowledged.get(&task.job);
        if let Some(at) = acknowledged.filter(|at| **at <= epoch) {
            let violation = format!(
                "{}: leader {number} starts {task}, cancelled in epoch {at:?}",
                self.now_ms
            );
            self.violations.push(violation);
        }
    }
}
