//! Workers that leave after a notice: their work is moved before they are gone.
//!
//! Whatever still runs on a worker when it leaves ends unseen, and its tasks may
//! start elsewhere only when the worker's lease is surely over, some 5 s later,
//! without what they had saved since the last report. A stop shortly before
//! takes 0.9 s at most, brings the newest checkpoint and proves the end. Work
//! that ends before that time goes on undisturbed.
//!
//! A leaving worker on which nothing runs any more is taken off the record of
//! workers that may run something, so that the next leader does not wait for its
//! lease. Two workers that had just left held up all tasks that a new leader did
//! not find, for 5.85 s.

use std::time;

use figscale_types::fleet;

use super::action::Action;
use super::action::Note;
use super::scheduler;
use super::worker;

/// Kept of a worker's notice beside the time that stops take: its entry was up
/// to 0.8 s old when it was read, and the order takes its way.
const EVACUATION_MARGIN: time::Duration = time::Duration::from_millis(1_000);

impl scheduler::Scheduler {
    /// A draining worker says that it goes on at least until then.
    pub fn worker_leaves(&mut self, id: &fleet::WorkerId, at: time::Instant) {
        if let Some(worker) = self.workers.get_mut(id) {
            let known = worker.leaves_at.unwrap_or(at);
            worker.leaves_at = Some(known.min(at));
        }
    }

    /// Stops what still runs on workers that are about to leave.
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
        self.actions.push(Action::Tell(Note::WorkerEvacuated {
            worker: id.clone(),
            runs: keys.len(),
            leaves_in,
        }));
        for key in keys {
            self.order_stop(id, key, Some(now));
        }
    }
}
