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
    pub ended: Vec<(protocol::TaskPhase, work::Allocation)>,
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
    pub overload_actions: Vec<(ids::TaskId, protocol::TaskAction)>,
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
    pub fn describe(&mut self, request: work::PlacementRequest) -> bool {
        let Some(allocation) = self.allocations.get_mut(&request.task) else {
            return false;
        };
        let counted = allocation.counted();
        let size = allocation.request.size;
        let before = allocation.request.owner.clone();
        let after = request.owner.clone();
        allocation.request = work::PlacementRequest { size, ..request };
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
            Some(allocation) if running && allocation.worker != *id => {
                outcome.elsewhere.push(task.task.clone());
            }
            Some(_) if running => self.set_used(&task.task, task.used, task.ran_ms),
            Some(allocation)
                if allocation.worker == *id && allocation.request.attempt <= task.attempt =>
            {
                self.set_used(&task.task, task.used, task.ran_ms);
                let ended = self.release(&task.task);
                outcome
                    .ended
                    .extend(ended.map(|allocation| (task.phase, allocation)));
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
        let mut over: Vec<&work::Allocation> = Vec::new();
        for allocation in worker.tasks.iter().filter_map(|t| self.allocations.get(t)) {
            used = used.plus(&allocation.used);
            if !allocation.request.size.holds(&allocation.used) {
                over.push(allocation);
            }
        }
        // Tasks with the largest excess first, so that the fewest are affected.
        // Among about equal ones the newest first: otherwise tasks that are
        // alike would all be stopped in turn and none would ever finish.
        over.sort_by_key(|allocation| {
            (cmp::Reverse(excess(allocation, worker)), allocation.ran_ms)
        });
        for allocation in over {
            if worker.capacity.holds(&used) {
                return;
            }
            let action = overload_action(allocation);
            let remaining = match action {
                protocol::TaskAction::Throttle => sizes::Resources {
                    cpu_millis: allocation
                        .request
                        .size
                        .cpu_millis
                        .min(allocation.used.cpu_millis),
                    ..allocation.used
                },
                _ => sizes::Resources::default(),
            };
            used = used.minus(&allocation.used).plus(&remaining);
            outcome
                .overload_actions
                .push((allocation.request.task.clone(), action));
        }
    }
}

fn adopted(
    id: &ids::InstanceId,
    task: &protocol::TaskReport,
    now: time::Instant,
) -> work::Allocation {
    work::Allocation {
        request: work::PlacementRequest::unknown(task.task.clone(), task.attempt, task.reserved),
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
fn excess(allocation: &work::Allocation, worker: &worker::Worker) -> u32 {
    let over = allocation.used.minus(&allocation.request.size);
    (over.dominant_share(&worker.capacity) * EXCESS_STEPS) as u32
}

/// Throttling can reduce the processor time of a running task, but not its
/// memory.
fn overload_action(allocation: &work::Allocation) -> protocol::TaskAction {
    let over_memory = allocation.used.memory_bytes > allocation.request.size.memory_bytes;
    match (
        over_memory,
        allocation.request.interruptibility.checkpointable,
    ) {
        (false, _) => protocol::TaskAction::Throttle,
        (true, true) => protocol::TaskAction::Checkpoint,
        (true, false) => protocol::TaskAction::Stop,
    }
}
