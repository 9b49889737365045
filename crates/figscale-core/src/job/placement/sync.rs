//! Updates the cluster from a worker's report.

use std::cmp;
use std::time;

use figscale_types::ids;
use figscale_types::sizes;
use figscale_types::worker as protocol;

use super::cluster;
use super::work;
use super::worker;

/// Number of steps per whole worker in which use beyond a reservation is compared.
const EXCESS_STEPS: f64 = 16.0;

/// Result of a report.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SyncOutcome {
    /// Tasks that ended, with the allocations that were released.
    pub ended: Vec<(protocol::TaskPhase, work::Holding)>,
    /// Running tasks that were not known here and got an allocation.
    pub adopted: Vec<ids::TaskId>,
    /// Running tasks whose allocation is on another worker.
    pub elsewhere: Vec<ids::TaskId>,
    /// Tasks allocated to the worker before the report was requested that the
    /// worker does not know. Their allocations stay until the caller releases
    /// them.
    pub missing: Vec<ids::TaskId>,
    /// What to do to tasks when the use exceeds the capacity of the worker, to
    /// protect the other tasks on it.
    pub relief: Vec<(ids::TaskId, protocol::TaskAction)>,
}

impl cluster::Cluster {
    /// Applies a report that a worker was asked for at `asked_at`.
    ///
    /// Tasks that run on the worker but are not known here get an allocation, even
    /// beyond the worker's capacity, since they run already. They are not
    /// interrupted until [`cluster::Cluster::describe`] says what they are. The
    /// allocations of ended tasks are released.
    pub fn sync(
        &mut self,
        report: &protocol::WorkerReport,
        asked_at: time::Instant,
        now: time::Instant,
    ) -> SyncOutcome {
        let mut outcome = SyncOutcome::default();
        if !self.apply_worker_state(report) {
            return outcome;
        }
        for task in &report.tasks {
            self.apply_task_report(&report.worker, task, now, &mut outcome);
        }
        self.find_missing(report, asked_at, &mut outcome);
        self.find_overload_actions(&report.worker, &mut outcome);
        outcome
    }

    /// Sets the description of an adopted task; the size of its allocation stays.
    /// Returns whether the task has an allocation.
    pub fn describe(&mut self, ask: work::Ask) -> bool {
        let Some(holding) = self.allocations.get_mut(&ask.task) else {
            return false;
        };
        let counted = holding.counted();
        let size = holding.ask.size;
        let before = holding.ask.owner.clone();
        let after = ask.owner.clone();
        holding.ask = work::Ask { size, ..ask };
        self.charge(&before, &counted, &sizes::Resources::default());
        self.charge(&after, &sizes::Resources::default(), &counted);
        true
    }

    fn apply_worker_state(&mut self, report: &protocol::WorkerReport) -> bool {
        let Some(worker) = self.workers.get_mut(&report.worker) else {
            return false;
        };
        self.capacity = self.capacity.minus(&worker.capacity).plus(&report.capacity);
        worker.capacity = report.capacity;
        worker.leaving |= report.leaving;
        // A worker that refused the epoch of this holder belongs to another.
        if !report.stale {
            worker.readiness = worker::Readiness::Ready;
        }
        true
    }

    fn apply_task_report(
        &mut self,
        id: &ids::InstanceId,
        task: &protocol::TaskReport,
        now: time::Instant,
        outcome: &mut SyncOutcome,
    ) {
        let running = task.phase == protocol::TaskPhase::Running;
        match self.allocations.get(&task.task) {
            None if running => {
                self.insert(adopted(id, task, now));
                outcome.adopted.push(task.task.clone());
            }
            Some(holding) if running && holding.worker != *id => {
                outcome.elsewhere.push(task.task.clone());
            }
            Some(_) if running => self.set_used(&task.task, task.used, task.ran_ms),
            Some(holding) if holding.worker == *id && holding.ask.attempt <= task.attempt => {
                self.set_used(&task.task, task.used, task.ran_ms);
                let ended = self.release(&task.task);
                outcome
                    .ended
                    .extend(ended.map(|holding| (task.phase, holding)));
            }
            _ => {}
        }
    }

    fn find_missing(
        &self,
        report: &protocol::WorkerReport,
        asked_at: time::Instant,
        outcome: &mut SyncOutcome,
    ) {
        let Some(worker) = self.workers.get(&report.worker) else {
            return;
        };
        let reported: indexmap::IndexSet<_> = report.tasks.iter().map(|t| &t.task).collect();
        let unknown = |task: &&ids::TaskId| {
            let older = self
                .allocations
                .get(*task)
                .is_some_and(|h| h.since < asked_at);
            older && !reported.contains(task)
        };
        outcome
            .missing
            .extend(worker.tasks.iter().filter(unknown).cloned());
    }

    /// Chooses actions for tasks that use more than was reserved for them, until
    /// the use no longer exceeds the worker's capacity.
    fn find_overload_actions(&self, id: &ids::InstanceId, outcome: &mut SyncOutcome) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let mut used = sizes::Resources::default();
        let mut over: Vec<&work::Holding> = Vec::new();
        for holding in worker.tasks.iter().filter_map(|t| self.allocations.get(t)) {
            used = used.plus(&holding.used);
            if !holding.ask.size.holds(&holding.used) {
                over.push(holding);
            }
        }
        // Tasks with the largest excess first, so that the fewest are affected.
        // Among about equal ones the newest first: otherwise tasks that are
        // alike would all be stopped in turn and none would ever finish.
        over.sort_by_key(|holding| (cmp::Reverse(excess(holding, worker)), holding.ran_ms));
        for holding in over {
            if worker.capacity.holds(&used) {
                return;
            }
            let action = overload_action(holding);
            let remaining = match action {
                protocol::TaskAction::Throttle => sizes::Resources {
                    cpu_millis: holding.ask.size.cpu_millis.min(holding.used.cpu_millis),
                    ..holding.used
                },
                _ => sizes::Resources::default(),
            };
            used = used.minus(&holding.used).plus(&remaining);
            outcome.relief.push((holding.ask.task.clone(), action));
        }
    }
}

fn adopted(id: &ids::InstanceId, task: &protocol::TaskReport, now: time::Instant) -> work::Holding {
    work::Holding {
        ask: work::Ask::unknown(task.task.clone(), task.attempt, task.reserved),
        worker: id.clone(),
        used: task.used,
        peak: task.used,
        since: now,
        expires: None,
        ran_ms: task.ran_ms,
        ending: false,
        gang_round: None,
    }
}

/// Use beyond the reservation, in units of `1 / EXCESS_STEPS` of the worker.
fn excess(holding: &work::Holding, worker: &worker::Worker) -> u32 {
    let over = holding.used.minus(&holding.ask.size);
    (over.dominant_share(&worker.capacity) * EXCESS_STEPS) as u32
}

/// Throttling can reduce the processor time of a running task, but not its
/// memory.
fn overload_action(holding: &work::Holding) -> protocol::TaskAction {
    let over_memory = holding.used.memory_bytes > holding.ask.size.memory_bytes;
    match (over_memory, holding.ask.guard.checkpointable) {
        (false, _) => protocol::TaskAction::Throttle,
        (true, true) => protocol::TaskAction::Checkpoint,
        (true, false) => protocol::TaskAction::Stop,
    }
}
