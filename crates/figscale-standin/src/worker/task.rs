//! One task of a stand-in worker.

use std::time;

use figscale_types::ids;
use figscale_types::sizes;
use figscale_types::worker::TaskPhase;

use super::ledger;

#[derive(Debug)]
pub(super) struct Task {
    pub(super) attempt: u32,
    pub(super) home_epoch: ids::Epoch,
    pub(super) phase: TaskPhase,
    pub(super) reserved: sizes::Resources,
    pub(super) use_factor: f64,
    pub(super) fail: bool,
    pub(super) started: time::Instant,
    pub(super) lease_until: time::Instant,
    pub(super) ends: time::Instant,
    pub(super) run_limit: time::Instant,
    /// Run time saved by earlier attempts.
    pub(super) saved: time::Duration,
    /// When it stopped running.
    pub(super) stopped: Option<time::Instant>,
}

impl Task {
    pub(super) fn is_running(&self) -> bool {
        self.phase == TaskPhase::Running
    }

    pub(super) fn used(&self) -> sizes::Resources {
        scaled(&self.reserved, self.use_factor)
    }

    /// Usage in a report made at `now`: the usage at the time `lag` before.
    pub(super) fn reported_use(&self, now: time::Instant, lag: time::Duration) -> sizes::Resources {
        let seen_at = now.checked_sub(lag).unwrap_or(now);
        let runs_then = self.started <= seen_at && self.stopped.is_none_or(|at| seen_at < at);
        if runs_then {
            self.used()
        } else {
            sizes::Resources::default()
        }
    }

    /// When the task ends if nothing changes, and with which phase.
    pub(super) fn next_end(&self) -> (time::Instant, TaskPhase) {
        let end = if self.fail {
            TaskPhase::Failed
        } else {
            TaskPhase::Done
        };
        let ends = [
            (self.lease_until, TaskPhase::Lapsed),
            (self.run_limit, TaskPhase::Failed),
            (self.ends, end),
        ];
        let first = ends.into_iter().min_by_key(|(at, _)| *at);
        first.unwrap_or((self.ends, end))
    }

    /// The run that begins at `now`, for the ledger.
    pub(super) fn run(
        &self,
        id: &ids::TaskId,
        worker: &ids::InstanceId,
        now: time::Instant,
    ) -> ledger::Run {
        ledger::Run {
            task: id.clone(),
            attempt: self.attempt,
            worker: worker.clone(),
            began: now,
            lease_until: self.lease_until,
            ended: None,
        }
    }
}

fn scaled(size: &sizes::Resources, factor: f64) -> sizes::Resources {
    sizes::Resources {
        cpu_millis: sizes::CpuMillis((size.cpu_millis.0 as f64 * factor) as u64),
        memory_bytes: sizes::Bytes((size.memory_bytes.0 as f64 * factor) as u64),
        accelerators: size.accelerators,
    }
}
