//! Jobs of many kinds, and the faults that concern them.

use figscale_types::fleet;

use super::Simulation;
use crate::helpers;

pub(super) const WORKERS: usize = 24;
/// Of the tasks that last so many exist at most, so that there is room for all.
const MAX_LASTING: u32 = 30;

impl Simulation {
    pub(super) fn step_of(&self, task: fleet::TaskId) -> &fleet::StepDescription {
        let (_, description) = &self.jobs[task.job.0 as usize - 1];
        &description.steps[task.step as usize]
    }

    fn lasting(&self) -> u32 {
        let steps = self.jobs.iter().flat_map(|(_, job)| &job.steps);
        let lasting = steps.filter(|step| step.long_running);
        lasting.map(|step| step.count).sum()
    }

    pub(super) fn mixed_job(&mut self) -> fleet::JobDescription {
        let may_last = self.lasting() < MAX_LASTING && self.now_ms > 2_000;
        let estimate_ms = 100 + self.random(1_500);
        let step = match self.random(24) {
            0..2 => fleet::StepDescription {
                max_per_worker: self.one_in(2).then_some(3),
                ..helpers::gang(8 + self.random(20) as u32, 1 + self.random(2))
            },
            2 if may_last => fleet::StepDescription {
                long_running: true,
                max_per_worker: self.one_in(2).then_some(1),
                ..helpers::step(1 + self.random(5) as u32, 1)
            },
            3 if may_last => fleet::StepDescription {
                long_running: true,
                ..helpers::gang(2 + self.random(7) as u32, 1)
            },
            4..6 => fleet::StepDescription {
                max_per_worker: Some(1),
                ..helpers::step(1 + self.random(6) as u32, 1)
            },
            6..9 => helpers::gang(2 + self.random(5) as u32, 1 + self.random(3)),
            _ => helpers::step(1 + self.random(4) as u32, 1 + self.random(3)),
        };
        let long_running = step.long_running;
        let mut steps = vec![helpers::with_estimate(step, estimate_ms)];
        if !long_running && self.one_in(3) {
            steps.push(fleet::StepDescription {
                after: vec![0],
                ..helpers::step(1, 1)
            });
        }
        helpers::job(steps)
    }

    pub(super) fn inject_mixed_faults(&mut self) {
        let now_ms = self.now_ms;
        if self.one_in(200) {
            let number = self.random(self.workers.len() as u64) as usize;
            let until_ms = now_ms + self.random(3_000);
            self.workers[number].unreadable_until_ms = until_ms;
        }
        if self.one_in(1_000) {
            self.advice_outage_ms = now_ms + self.random(4_000);
        }
    }
}
