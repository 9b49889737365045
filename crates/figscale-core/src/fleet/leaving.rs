//! Evacuation of workers that leave after a notice: their work is moved before
//! they are gone.
//!
//! Runs that are still on a worker when it leaves end without a report. Their
//! tasks may start elsewhere only once the worker's lease is certainly over, about
//! 5 s later, and without the checkpoints made since the last report. Stopping
//! them shortly before the worker leaves takes 0.9 s at most, yields the newest
//! checkpoint and proves that they ended. Runs that end before that time are not
//! disturbed.
//!
//! A leaving worker without any runs is removed from the record of workers that
//! may have runs, so that the next leader does not wait for its lease. Otherwise
//! two workers that had just left delayed, for 5.85 s, all tasks that a new leader
//! did not find.

use std::time;

use figscale_types::fleet;

use super::action::Action;
use super::action::LogEntry;
use super::scheduler;
use super::worker;

/// Margin before a worker leaves, in addition to the time that stops take: its
/// entry was up to 0.8 s old when it was read, and the stop orders take time to
/// arrive.
const EVACUATION_MARGIN: time::Duration = time::Duration::from_millis(1_000);

impl scheduler::Scheduler {
    /// Records that a draining worker leaves at `at` at the earliest. If several
    /// such times are recorded, the earliest counts.
    pub fn worker_leaves(&mut self, id: &fleet::WorkerId, at: time::Instant) {
        if let Some(worker) = self.workers.get_mut(id) {
            let known = worker.leaves_at.unwrap_or(at);
            worker.leaves_at = Some(known.min(at));
        }
    }

    /// Stops the runs of workers that are about to leave.
    pub(crate) fn evacuate(&mut self, now: time::Instant) {
        let notice = self.config.stop_limit + EVACUATION_MARGIN;
        let due = |worker: &worker::Worker| {
            let leaves = worker.leaves_at.is_some_and(|at| now + notice >= at);
            leaves && worker.runs.values().any(|run| run.stop_ordered.is_none())
        };
        let workers = self.workers.iter().filter(|(_, worker)| due(worker));
        let ids: Vec<fleet::WorkerId> = workers.map(|(id, _)| id.clone()).collect();
        for id in ids {
            self.evacuate_worker(&id, now);
        }
    }

    fn evacuate_worker(&mut self, id: &fleet::WorkerId, now: time::Instant) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let leaves_in = worker
            .leaves_at
            .map(|at| at.saturating_duration_since(now))
            .unwrap_or_default();
        let keys: Vec<worker::RunKey> = worker.runs.keys().copied().collect();
        self.actions.push(Action::Log(LogEntry::WorkerEvacuated {
            worker: id.clone(),
            runs: keys.len(),
            leaves_in,
        }));
        for key in keys {
            self.order_stop(id, key, Some(now));
        }
    }
}
