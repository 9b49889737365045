//! A check that the states of tasks agree with the runs of workers.
//!
//! A task that counts as placed without a run on its worker would never start again,
//! and nor would the gang of a member that waits for ever. So tests check this after
//! each step of a simulation.

use figscale_types::fleet;

use super::job;
use super::pass;
use super::scheduler;

impl scheduler::Scheduler {
    /// Descriptions of tasks whose state disagrees with the runs of workers; empty
    /// unless the scheduler has a fault.
    pub fn inconsistencies(&self) -> Vec<String> {
        let mut found = Vec::new();
        for job in self.open.iter().filter_map(|id| self.jobs.get(id)) {
            for (occurrence, round) in job.rounds.iter().enumerate() {
                for (number, step) in round.steps.iter().enumerate() {
                    let first = pass::first_task(job.id, occurrence, number);
                    self.check_step(&first, step, &mut found);
                }
            }
        }
        found
    }

    fn check_step(&self, first: &fleet::TaskId, step: &job::Step, found: &mut Vec<String>) {
        for (index, task) in (0..).zip(&step.tasks) {
            let id = fleet::TaskId { index, ..*first };
            if task.suspect && !self.recovering {
                found.push(format!("{id} is suspect after recovery"));
            }
            if let job::TaskState::Placed { worker, attempt } = &task.state {
                let host = self.workers.get(worker);
                let run = host.and_then(|host| host.runs.get(&(id, *attempt)));
                if run.is_none() {
                    found.push(format!("{id} attempt {attempt} has no run on {worker}"));
                }
            }
        }
    }
}
