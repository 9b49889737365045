//! What a placer knows of a task.

use std::time;

use figscale_types::ids;
use figscale_types::worker;

use crate::job::message;

/// An attempt that is placed on a worker, or has ended and is not yet acknowledged.
#[derive(Clone, Debug)]
pub(super) struct Task {
    pub(super) attempt: u32,
    /// Job shard of the task, and the latest epoch of its home seen in an order or report.
    pub(super) home: ids::ShardId,
    pub(super) home_epoch: ids::Epoch,
    pub(super) shard: ids::ShardId,
    pub(super) worker: ids::InstanceId,
    pub(super) state: message::TaskState,
    /// Catalogue entry; `None` for a task that was found running and that its
    /// home has not described yet.
    pub(super) entry: Option<ids::EntryName>,
    /// The order, until the start is sent.
    pub(super) order: Option<Box<message::TaskOrder>>,
    /// When the reservation expires.
    pub(super) hold_until: Option<time::Instant>,
    /// Bound of the start, on the worker's clock.
    pub(super) start_bound: Option<worker::WorkerClock>,
    /// When the worker was first known to run it.
    pub(super) seen_running_at: Option<time::Instant>,
    /// When it ends if it runs for its declared run time.
    pub(super) ends_at: Option<time::Instant>,
    /// When its lease lapses, by the latest start or renewal that was sent.
    pub(super) may_run_until: time::Instant,
    /// Action requested by its home or by the placer.
    pub(super) action: Option<worker::TaskAction>,
    /// When its home was last notified of its state.
    pub(super) notified_at: Option<time::Instant>,
    /// Whether its home knows that it runs, so that no update is needed.
    pub(super) home_informed: bool,
}

impl Task {
    /// Whether it has resources reserved on its worker.
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

    /// Its status update.
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
