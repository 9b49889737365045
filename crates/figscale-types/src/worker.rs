//! The protocol between a holder of a worker shard and a worker.
//!
//! HTTP with JSON bodies: `POST /v1/tasks` ([`StartTask`] to [`StartAnswer`]),
//! `POST /v1/renew` ([`Renew`] to [`WorkerReport`]), `POST /v1/act`
//! ([`ActOnTask`] to [`WorkerReport`]) and `GET /v1/report`
//! ([`WorkerReport`]). A worker remembers the highest epoch that it has seen
//! and refuses every lower one. It stops a task whose lease has expired by its
//! own monotonic clock, measured from the receipt of the last renewal.
//! A renewal never restores a task whose lease has expired.

use serde::Deserialize;
use serde::Serialize;

use crate::ids;
use crate::sizes;

/// A reading of a worker's own monotonic clock.
///
/// A holder converts the time until which it may dispatch into a reading of the
/// worker's clock, so that a message that was delayed in transit, or was sent by
/// a holder that had been paused, is refused on receipt. The clock must advance
/// while the worker is stopped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerClock {
    /// Random number chosen at the worker's start, which identifies this incarnation;
    /// tasks of an earlier incarnation no longer run.
    pub life: u64,
    /// Time since the worker started.
    pub elapsed_ms: u64,
}

impl WorkerClock {
    /// Whether a message with the bound `not_after` may still be executed at `self`.
    pub fn is_within(&self, not_after: &Self) -> bool {
        self.life == not_after.life && self.elapsed_ms <= not_after.elapsed_ms
    }
}

/// Request to a worker to start a task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StartTask {
    /// The task.
    pub task: ids::TaskId,
    /// Attempt, from 1.
    pub attempt: u32,
    /// Epoch of the worker shard under which it is placed.
    pub epoch: ids::Epoch,
    /// Epoch of the job's home that requested it.
    pub home_epoch: ids::Epoch,
    /// Duration of its lease, measured from receipt.
    pub lease_ms: u64,
    /// Resources reserved for it.
    pub resources: sizes::Resources,
    /// Longest run.
    pub max_run_ms: u64,
    /// Declared run time; a stand-in worker runs the task for this time.
    pub run_ms: u64,
    /// What to run; opaque to the scheduler.
    pub command: String,
    /// Whether to resume from the last checkpoint.
    pub resume: bool,
    /// Latest receipt; after it the request is refused as [`StartRefusal::Late`].
    /// `None`: no limit.
    #[serde(default)]
    pub not_after: Option<WorkerClock>,
}

/// A worker's response to [`StartTask`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StartAnswer {
    /// The task was started.
    Started,
    /// The same attempt already runs or ran.
    Known,
    /// The task was not started.
    Refused(StartRefusal),
}

/// Why a worker did not start a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StartRefusal {
    /// The worker has seen a higher epoch.
    StaleEpoch,
    /// Another attempt of the task runs on the worker.
    RunsAlready,
    /// The worker has too few free resources.
    Full,
    /// The worker is leaving.
    Leaving,
    /// The request was received after its `not_after`, or by another incarnation of
    /// the worker.
    Late,
}

/// Renews the leases of all tasks that the holder knows on a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Renew {
    /// Epoch of the worker shard.
    pub epoch: ids::Epoch,
    /// Duration of the leases, measured from receipt.
    pub lease_ms: u64,
    /// Tasks to renew; the leases of others are left to expire.
    pub tasks: Vec<ids::TaskId>,
    /// Ended tasks whose reports have been processed and may be discarded.
    pub forget: Vec<ids::TaskId>,
    /// Latest receipt; after it the request renews nothing, but still gets a
    /// response. `None`: no limit.
    #[serde(default)]
    pub not_after: Option<WorkerClock>,
}

/// An action on a running task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskAction {
    /// Save its state, then stop it.
    Checkpoint,
    /// Limit it to its declared processor share.
    Throttle,
    /// Stop it.
    Stop,
}

/// Request to a worker to perform an action on a task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ActOnTask {
    /// Epoch of the worker shard.
    pub epoch: ids::Epoch,
    /// The task.
    pub task: ids::TaskId,
    /// The action.
    pub action: TaskAction,
}

/// State of a task on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskPhase {
    /// It runs.
    Running,
    /// It ended successfully.
    Done,
    /// It failed.
    Failed,
    /// It was stopped by an action.
    Stopped,
    /// It saved its state and stopped.
    Checkpointed,
    /// It was stopped because its lease expired.
    Lapsed,
}

/// A task in a worker's report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The task.
    pub task: ids::TaskId,
    /// Attempt.
    pub attempt: u32,
    /// State.
    pub phase: TaskPhase,
    /// Resources reserved for it.
    pub reserved: sizes::Resources,
    /// Resources that it was measured to use, with a lag.
    pub used: sizes::Resources,
    /// Time since its start.
    pub ran_ms: u64,
    /// Epoch of the job's home that requested it.
    pub home_epoch: ids::Epoch,
}

/// Capacity and tasks of a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// The worker.
    pub worker: ids::InstanceId,
    /// Highest epoch that it has seen.
    pub epoch: ids::Epoch,
    /// Whether the request for this report was refused because of its epoch.
    pub stale: bool,
    /// Its total resources.
    pub capacity: sizes::Resources,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Running tasks, and ended ones not yet discarded.
    pub tasks: Vec<TaskReport>,
    /// The worker's clock when it made the report.
    #[serde(default)]
    pub clock: WorkerClock,
}
