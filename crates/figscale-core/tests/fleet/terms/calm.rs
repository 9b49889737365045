//! The calm end of a simulation, and the check that all accepted work gets done.

use figscale_types::fleet;

use super::RunKey;
use super::STEP_MS;
use super::Simulation;
use super::advice;

/// Recovery of a leader: the lease of the last term on a slow clock, and the time to
/// stop.
const RECOVERY_MS: u64 = 4_500 * 11 / 10 + 400;
/// The longest lease of a worker that is gone, and the time to stop.
const LOST_MS: u64 = 10_000 + 400;
/// The longest ejection of a worker.
const EJECTED_MS: u64 = 12_000;
/// The longest run of a task that does not last, by what its worker draws.
const LONGEST_RUN_MS: u64 = 2_050;
/// Attempts of a task; the queue allows this many failures.
const ATTEMPTS: u64 = 2;
/// Checks for progress are made at this interval.
const CHECK_INTERVAL_MS: u64 = 200;

impl Simulation {
    /// Lets all faults end and checks that the remaining work gets done.
    pub(super) fn end_in_calm(&mut self) {
        self.begin_calm();
        let limit_ms = self.now_ms + self.calm_limit_ms();
        loop {
            self.now_ms += STEP_MS;
            self.elect();
            self.step();
            if !self.violations.is_empty() {
                return;
            }
            if !self.now_ms.is_multiple_of(CHECK_INTERVAL_MS) {
                continue;
            }
            let unfinished = self.unfinished();
            if unfinished.is_empty() {
                return;
            }
            if self.now_ms >= limit_ms {
                self.violations.extend(unfinished);
                return;
            }
        }
    }

    fn begin_calm(&mut self) {
        self.calm = true;
        self.slow_store_ms = 0;
        self.advice_outage_ms = 0;
        for worker in self.workers.values_mut() {
            worker.unlisted_until_ms = 0;
            worker.unreadable_until_ms = 0;
        }
        let epoch = self.epoch;
        for leader in &mut self.leaders {
            leader.alive &= leader.epoch == epoch;
            leader.max_delay_ms = 0;
            leader.cut_off.clear();
        }
    }

    /// Time in which all work has to be done: what is left to run, each step after
    /// the other, after all that the faults left is over.
    fn calm_limit_ms(&self) -> u64 {
        let Some(leader) = self.leaders.iter().rfind(|leader| leader.alive) else {
            return RECOVERY_MS + LOST_MS + EJECTED_MS;
        };
        let open = |(number, _): &&(u64, fleet::JobDescription)| {
            let state = leader.scheduler.state(fleet::JobId(*number));
            state.is_some_and(is_open)
        };
        let open = self.jobs.iter().filter(open);
        let steps: usize = open.map(|(_, job)| job.steps.len()).sum();
        let query_ms = advice::POLICY.duration_ms(self.workers.len()) as u64;
        let backlog_ms = steps as u64 * ATTEMPTS * (LONGEST_RUN_MS + 2 * query_ms);
        RECOVERY_MS + LOST_MS + EJECTED_MS + backlog_ms
    }

    /// Accepted work that could be done and is not.
    fn unfinished(&self) -> Vec<String> {
        let Some((number, leader)) = self.leaders.iter().enumerate().rfind(|(_, l)| l.alive) else {
            return vec![format!("{}: no leader", self.now_ms)];
        };
        let mut unfinished = Vec::new();
        for (job, description) in &self.jobs {
            let id = fleet::JobId(*job);
            let state = leader.scheduler.state(id);
            if !state.is_some_and(is_open) {
                continue;
            }
            let steps = (0..).zip(&description.steps);
            let waiting: Vec<String> = steps
                .filter_map(|(step, description)| self.waiting(id, step, description))
                .collect();
            let lasts = description.steps.iter().any(|step| step.long_running);
            let fits = (0..).zip(&description.steps).all(|(step, description)| {
                let first = fleet::TaskId {
                    job: id,
                    occurrence: 0,
                    step,
                    index: 0,
                };
                self.slots_when_empty(first, description) >= u64::from(description.count)
                    || !description.gang && !lasts
            });
            if fits && (!lasts || !waiting.is_empty()) {
                let now_ms = self.now_ms;
                let held = leader.scheduler.inconsistencies();
                unfinished.push(format!(
                    "{now_ms}: {id} is {state:?} at leader {number}, waiting: {waiting:?} {held:?}"
                ));
            }
        }
        unfinished
    }

    /// Describes a step with tasks that don't run.
    fn waiting(
        &self,
        job: fleet::JobId,
        step: u32,
        description: &fleet::StepDescription,
    ) -> Option<String> {
        let tasks = (0..description.count).map(|index| fleet::TaskId {
            job,
            occurrence: 0,
            step,
            index,
        });
        let up = || self.workers.values().filter(|worker| worker.up);
        let runs = |task: &fleet::TaskId| {
            let mut runs = up().flat_map(|worker| worker.running.keys());
            runs.any(|(running, _): &RunKey| running == task)
        };
        let waiting = tasks.filter(|task| !runs(task)).count();
        (waiting > 0).then(|| format!("step {step}: {waiting} of {description:?}"))
    }

    /// Number of tasks of a step that the workers that may run it hold beside what
    /// lasts there.
    fn slots_when_empty(&self, task: fleet::TaskId, step: &fleet::StepDescription) -> u64 {
        let advised = self.queue_of(task.job.0).advice.is_some();
        let most = step.max_per_worker.map_or(u64::MAX, u64::from);
        let stays = |worker: &&super::Worker| worker.up && !worker.entry.draining;
        let workers = self.workers.values().filter(stays);
        let allowed =
            workers.filter(|worker| !advised || advice::is_approved(task, &worker.entry.id));
        let slots = allowed.map(|worker| {
            let others = worker.running.keys();
            let others = others.filter(|(other, _)| !other.is_of_same_step(&task));
            let lasting = others.filter(|(other, _)| self.step_of(*other).long_running);
            let used = lasting.fold(fleet::Room::default(), |used, (other, _)| {
                used.plus(&self.step_of(*other).room)
            });
            let room = worker.entry.room;
            room.minus(&used).count_fitting(&step.room, most)
        });
        slots.sum()
    }

    /// Checks that what a leader counts as running agrees with what it knows of its
    /// workers.
    pub(super) fn check_consistency(&mut self, number: usize) {
        let found = self.leaders[number].scheduler.inconsistencies();
        let now_ms = self.now_ms;
        let found = found.into_iter();
        self.violations
            .extend(found.map(|text| format!("{now_ms}: leader {number}: {text}")));
    }
}

fn is_open(state: fleet::JobState) -> bool {
    matches!(state, fleet::JobState::Queued | fleet::JobState::Running)
}
