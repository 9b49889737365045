//! An attempt as its placer sees it.

use std::time;

use figscale_types::ids;
use figscale_types::worker;

use crate::job::message;

/// An attempt with room on a worker, or ended and not yet acknowledged.
#[derive(Clone, Debug)]
pub(super) struct Task {
    pub(super) attempt: u32,
    /// Job shard, and the highest epoch of its home that spoke of the task.
    pub(super) home: ids::ShardId,
    pub(super) home_epoch: ids::Epoch,
    pub(super) shard: ids::ShardId,
    pub(super) worker: ids::InstanceId,
    pub(super) state: message::TaskState,
    /// Catalogue entry; `None` until the home has told what a task is that was
    /// found running.
    pub(super) entry: Option<ids::EntryName>,
    /// What to start once told to.
    pub(super) order: Option<Box<message::TaskOrder>>,
    /// When a reservation is given back.
    pub(super) hold_until: Option<time::Instant>,
    /// Bound that the start carried.
    pub(super) start_bound: Option<worker::WorkerClock>,
    /// When it became known that it runs.
    pub(super) known_at: Option<time::Instant>,
    /// When it ends if it runs as long as it declared.
    pub(super) ends_at: Option<time::Instant>,
    /// When it must have stopped, as far as anything sent tells.
    pub(super) may_run_until: time::Instant,
    /// What its home, or the placer itself, wants done to it.
    pub(super) action: Option<worker::TaskAction>,
    /// When its home was last told of its state.
    pub(super) told_at: Option<time::Instant>,
    /// Whether its home need not be told again.
    pub(super) noted: bool,
}

impl Task {
    /// Whether it has room on its worker.
    pub(super) fn is_active(&self) -> bool {
        !matches!(self.state, message::TaskState::Ended(_))
    }

    /// Whether it may be running.
    pub(super) fn may_run(&self) -> bool {
        matches!(
            self.state,
            message::TaskState::Starting | message::TaskState::Running
        )
    }

    /// Its news.
    pub(super) fn event(&self, id: &ids::TaskId) -> message::TaskEvent {
        message::TaskEvent {
            attempt: message::Attempt {
                task: id.clone(),
                number: self.attempt,
            },
            place: message::Place {
                shard: self.shard.clone(),
                worker: self.worker.clone(),
            },
            state: self.state,
        }
    }
}
