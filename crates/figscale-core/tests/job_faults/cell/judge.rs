//! What must never happen, seen at the workers.

use figscale_types::worker as protocol;

use super::Cell;
use super::Submitted;

impl Cell {
    /// A task has just started on a worker: is that allowed?
    pub(super) fn judge_start(&mut self, index: usize, start: &protocol::StartTask) {
        let at = (self.now - self.start).as_millis();
        let id = &start.task;
        *self.starts.entry(id.clone()).or_default() += 1;
        self.started_on[index] += 1;
        for (other, worker) in self.workers.iter().enumerate() {
            if other != index && worker.runs(id, self.now) {
                let line = format!("{at} ms: {id} started on worker {index}, runs on {other}");
                self.violations.push(line);
            }
        }
        let spec = &self.specs[&id.job];
        if !spec.idempotent && self.starts[id] > 1 {
            let line = format!("{at} ms: {id} may not run twice, but started again");
            self.violations.push(line);
        }
        if self.submitted[&id.job] == Submitted::Refused {
            let line = format!("{at} ms: {id} started although it was refused");
            self.violations.push(line);
        }
    }

    pub(super) fn judge_capacity(&mut self) {
        let at = (self.now - self.start).as_millis();
        for worker in &self.workers {
            let used = worker.used(self.now);
            if !worker.capacity.holds(&used) {
                let line = format!("{at} ms: {} holds {used}", worker.id);
                self.violations.push(line);
            }
        }
    }
}
