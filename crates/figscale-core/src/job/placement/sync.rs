//! Takes a worker's report over into the cluster.

use std::cmp;
use std::time;

use figscale_types::ids;
use figscale_types::sizes;
use figscale_types::worker as protocol;

use super::cluster;
use super::work;
use super::worker;

/// Steps by which use beyond a reservation is compared, for a whole worker.
const EXCESS_STEPS: f64 = 16.0;

/// What a report changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SyncOutcome {
    /// Tasks that ended, with the room that was released.
    pub ended: Vec<(protocol::TaskPhase, work::Holding)>,
    /// Running tasks that were not known here and now have room.
    pub adopted: Vec<ids::TaskId>,
    /// Running tasks that have room on another worker.
    pub elsewhere: Vec<ids::TaskId>,
    /// Tasks with room here, given before the report was asked for, that the
    /// worker does not know. Their room is kept until it is released.
    pub missing: Vec<ids::TaskId>,
    /// What to do so that neighbours do not suffer, when use exceeds capacity.
    pub relief: Vec<(ids::TaskId, protocol::TaskAction)>,
}

impl cluster::Cluster {
    /// Takes over what a worker reports; `asked_at` is when it was asked.
    ///
    /// Tasks that run there but are not known here get room, even beyond the
    /// worker's capacity, since they run already; until it is clear what they
    /// are they are protected. The room of ended tasks is released.
    pub fn sync(
        &mut self,
        report: &protocol::WorkerReport,
        asked_at: time::Instant,
        now: time::Instant,
    ) -> SyncOutcome {
        let mut outcome = SyncOutcome::default();
        if !self.take_state(report) {
            return outcome;
        }
        for task in &report.tasks {
            self.take_task(&report.worker, task, now, &mut outcome);
        }
        self.find_missing(report, asked_at, &mut outcome);
        self.find_relief(&report.worker, &mut outcome);
        outcome
    }

    /// Tells what an adopted task is; its room stays what it was.
    pub fn describe(&mut self, ask: work::Ask) -> bool {
        let Some(holding) = self.holdings.get_mut(&ask.task) else {
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

    fn take_state(&mut self, report: &protocol::WorkerReport) -> bool {
        let Some(worker) = self.workers.get_mut(&report.worker) else {
            return false;
        };
        self.capacity = self.capacity.minus(&worker.capacity).plus(&report.capacity);
        worker.capacity = report.capacity;
        worker.leaving |= report.leaving;
        // A worker that refused this holder for its epoch is another's.
        if !report.stale {
            worker.readiness = worker::Readiness::Ready;
        }
        true
    }

    fn take_task(
        &mut self,
        id: &ids::InstanceId,
        task: &protocol::TaskReport,
        now: time::Instant,
        outcome: &mut SyncOutcome,
    ) {
        let running = task.phase == protocol::TaskPhase::Running;
        match self.holdings.get(&task.task) {
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
            let older = self.holdings.get(*task).is_some_and(|h| h.since < asked_at);
            older && !reported.contains(task)
        };
        outcome
            .missing
            .extend(worker.tasks.iter().filter(unknown).cloned());
    }

    /// Picks what to do to tasks that use more than was reserved for them, as
    /// long as the worker is asked for more than it holds.
    fn find_relief(&self, id: &ids::InstanceId, outcome: &mut SyncOutcome) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let mut used = sizes::Resources::default();
        let mut over: Vec<&work::Holding> = Vec::new();
        for holding in worker.tasks.iter().filter_map(|t| self.holdings.get(t)) {
            used = used.plus(&holding.used);
            if !holding.ask.size.holds(&holding.used) {
                over.push(holding);
            }
        }
        // The worst first: the fewest tasks are touched. Of those that are about
        // as bad the newest first, or tasks that are alike are all stopped in
        // turn and none ever comes to its end.
        over.sort_by_key(|holding| (cmp::Reverse(excess(holding, worker)), holding.ran_ms));
        for holding in over {
            if worker.capacity.holds(&used) {
                return;
            }
            let action = relief(holding);
            let kept = match action {
                protocol::TaskAction::Throttle => sizes::Resources {
                    cpu_millis: holding.ask.size.cpu_millis.min(holding.used.cpu_millis),
                    ..holding.used
                },
                _ => sizes::Resources::default(),
            };
            used = used.minus(&holding.used).plus(&kept);
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
        gang_try: None,
    }
}

/// Use beyond the reservation, in steps of a share of the worker.
fn excess(holding: &work::Holding, worker: &worker::Worker) -> u32 {
    let over = holding.used.minus(&holding.ask.size);
    (over.dominant_share(&worker.capacity) * EXCESS_STEPS) as u32
}

/// Memory cannot be taken back from a running task; processor time can.
fn relief(holding: &work::Holding) -> protocol::TaskAction {
    let over_memory = holding.used.memory_bytes > holding.ask.size.memory_bytes;
    match (over_memory, holding.ask.guard.checkpointable) {
        (false, _) => protocol::TaskAction::Throttle,
        (true, true) => protocol::TaskAction::Checkpoint,
        (true, false) => protocol::TaskAction::Stop,
    }
}
