//! Outages of the store, planned handovers, workers that are cut off in masses, and
//! the check that only ends in the store are acknowledged.
//!
//! During an outage no write is answered. Some of the writes that are under way at
//! its beginning have been executed; the others are executed after it, unless
//! another leader has been elected by then. Nobody can be elected meanwhile.

use figscale_core::fleet::Config;
use figscale_core::fleet::RecordKey;
use figscale_core::fleet::Scheduler;
use figscale_types::fleet;
use figscale_types::fleet::WorkerId;

use super::Simulation;
use super::WALL_MS;

impl Simulation {
    pub(super) fn inject_outages(&mut self) {
        let now_ms = self.now_ms;
        if now_ms >= self.outage_until_ms && self.one_in(500) {
            self.outage_until_ms = now_ms + 500 + self.random(4_000);
        }
        if self.one_in(400) && !self.leaders.is_empty() {
            let until_ms = now_ms + 1_000 + self.random(6_000);
            let workers: Vec<WorkerId> = self.workers.keys().cloned().collect();
            let leader = self.leaders.len() - 1;
            for worker in workers {
                if self.one_in(3) {
                    self.leaders[leader].cut_off.insert(worker, until_ms);
                }
            }
        }
        if self.one_in(400)
            && let Some(leader) = self.leaders.last_mut()
            && leader.recorded.is_none()
        {
            leader.closing = true;
        }
        for leader in &mut self.leaders {
            if leader.closing && leader.writes.is_empty() {
                leader.alive = false;
            }
        }
    }

    /// The delay until a message to or from the store arrives.
    pub(super) fn delay_over_outage(&mut self, delay_ms: u64) -> u64 {
        let left_ms = self.outage_until_ms.saturating_sub(self.now_ms);
        match left_ms {
            0 => delay_ms,
            _ => delay_ms.max(left_ms + self.random(200)),
        }
    }

    /// Checks, when a leader calls a worker, that each successful end which the call
    /// acknowledges is in the store.
    pub(super) fn check_acknowledgement(&mut self, number: usize, id: &WorkerId, up_to: u64) {
        let worker = &self.workers[id];
        let lapsed_ms = worker.lapsed_ms;
        let ends = worker.finished.iter().filter(|end| {
            let counts = lapsed_ms.is_none_or(|lapsed| lapsed < end.at_ms);
            counts && end.run.number <= up_to && end.run.end == fleet::End::Done
        });
        let lost = ends.filter(|end| !self.is_end_stored(end.run.task));
        let lost: Vec<String> = lost
            .map(|end| {
                let (run, now_ms) = (&end.run, self.now_ms);
                format!(
                    "{now_ms}: leader {number} acknowledges end {} of {} on {id}, which is not in the store",
                    run.number, run.task
                )
            })
            .collect();
        self.violations.extend(lost);
    }

    /// Whether the store shows a task, or its job, as ended.
    fn is_end_stored(&self, task: fleet::TaskId) -> bool {
        let mut scheduler = Scheduler::new(Config::default());
        let Some(job) = self.store.get(&RecordKey::Job(task.job)) else {
            return false;
        };
        let loaded = scheduler.load_job(task.job, job, 1, self.begun, WALL_MS);
        loaded.unwrap();
        if let Some(progress) = self.store.get(&RecordKey::Progress(task.job)) {
            scheduler.load_progress(task.job, progress).unwrap();
        }
        let view = scheduler.view(task.job).unwrap();
        let mut tasks = view.tasks.iter();
        let known = tasks.find(|known| known.task == task);
        known.is_none_or(|known| known.progress == fleet::TaskProgress::Done)
    }
}
