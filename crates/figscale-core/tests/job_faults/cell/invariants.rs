//! Invariants, checked at the workers.

use figscale_types::worker as protocol;

use super::Cell;
use super::Submitted;

impl Cell {
    /// Checks a start that a worker has just accepted.
    pub(super) fn check_start(&mut self, index: usize, start: &protocol::StartTask) {
        let at = (self.now - self.start).as_millis();
        let id = &start.task;
        *self.starts.entry(id.clone()).or_default() += 1;
        self.started_on[index] += 1;
        for (other, worker) in self.workers.iter().enumerate() {
            if other != index && worker.runs(id, self.now) {
                let violation =
                    format!("{at} ms: {id} started on worker {index} while running on {other}");
                self.violations.push(violation);
            }
        }
        let spec = &self.specs[&id.job];
        if !spec.idempotent && self.starts[id] > 1 {
            let violation = format!("{at} ms: {id} must not run twice, but started again");
            self.violations.push(violation);
        }
        if self.submitted[&id.job] == Submitted::Refused {
            let violation = format!("{at} ms: {id} started although its job was refused");
            self.violations.push(violation);
        }
    }

    pub(super) fn check_capacity(&mut self) {
        let at = (self.now - self.start).as_millis();
        for worker in &self.workers {
            let used = worker.used(self.now);
            if !worker.capacity.holds(&used) {
                let violation = format!("{at} ms: {} is over capacity with {used}", worker.id);
                self.violations.push(violation);
            }
        }
    }
}
