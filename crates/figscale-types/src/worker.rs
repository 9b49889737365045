//! The protocol between a holder of a worker shard and a worker.
//!
//! HTTP with JSON bodies: `POST /v1/tasks` ([`StartTask`] to [`StartAnswer`]),
//! `POST /v1/renew` ([`Renew`] to [`WorkerReport`]), `POST /v1/act`
//! ([`ActOnTask`] to [`WorkerReport`]) and `GET /v1/report`
//! ([`WorkerReport`]). A worker remembers the highest epoch that it has seen
//! and refuses every lower one, and it stops a task whose lease has lapsed by
//! its own monotonic clock, counted from the receipt of the last renewal.
//! A renewal never revives a task whose lease has lapsed.

use serde::Deserialize;
use serde::Serialize;

use crate::ids;
use crate::sizes;

/// A reading of a worker's own monotonic clock.
///
/// A holder turns the moment until which it may dispatch into a reading of the
/// worker's clock, so that a message that was delayed on its way, or was
/// written by a holder that had been paused, is refused on receipt. The clock
/// must go on while the worker is stopped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerClock {
    /// Number drawn at the worker's start; tasks of an earlier life are gone.
    pub life: u64,
    /// Time since that start.
    pub elapsed_ms: u64,
}

impl WorkerClock {
    /// Whether a message bounded by `not_after` may still be obeyed at `self`.
    pub fn is_within(&self, not_after: &Self) -> bool {
        self.life == not_after.life && self.elapsed_ms <= not_after.elapsed_ms
    }
}

/// Asks a worker to start a task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StartTask {
    /// The task.
    pub task: ids::TaskId,
    /// Attempt, from 1.
    pub attempt: u32,
    /// Epoch of the worker shard under which it is placed.
    pub epoch: ids::Epoch,
    /// Epoch of the job's home that asked for it.
    pub home_epoch: ids::Epoch,
    /// Time that its lease lasts, from receipt.
    pub lease_ms: u64,
    /// Room reserved for it.
    pub resources: sizes::Resources,
    /// Longest run.
    pub max_run_ms: u64,
    /// Declared run time; a stand-in worker runs the task that long.
    pub run_ms: u64,
    /// What to run; opaque here.
    pub command: String,
    /// Whether to go on from the last checkpoint.
    pub resume: bool,
    /// Received later than this it is refused as [`StartRefusal::Late`]; `None`: never late.
    #[serde(default)]
    pub not_after: Option<WorkerClock>,
}

/// A worker's answer to [`StartTask`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StartAnswer {
    /// It runs.
    Started,
    /// It runs or ran already, by this very attempt.
    Known,
    /// It was not started.
    Refused(StartRefusal),
}

/// Why a worker did not start a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StartRefusal {
    /// A higher epoch was seen.
    StaleEpoch,
    /// Another attempt of the task runs here.
    RunsAlready,
    /// It would hold more than it can.
    Full,
    /// It is leaving.
    Leaving,
    /// It was received after its `not_after`, or in another life of the worker.
    Late,
}

/// Renews the leases of all tasks that the holder knows on a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Renew {
    /// Epoch of the worker shard.
    pub epoch: ids::Epoch,
    /// Time that the leases last, from receipt.
    pub lease_ms: u64,
    /// Tasks to renew; others are left to lapse.
    pub tasks: Vec<ids::TaskId>,
    /// Ended tasks whose reports have been dealt with and may be forgotten.
    pub forget: Vec<ids::TaskId>,
    /// Received later than this it renews nothing, but is answered; `None`: never late.
    #[serde(default)]
    pub not_after: Option<WorkerClock>,
}

/// What to do with a running task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskAction {
    /// Save its state, then stop it.
    Checkpoint,
    /// Slow it down to its declared share.
    Throttle,
    /// Stop it.
    Stop,
}

/// Asks a worker to act on a task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ActOnTask {
    /// Epoch of the worker shard.
    pub epoch: ids::Epoch,
    /// The task.
    pub task: ids::TaskId,
    /// What to do.
    pub action: TaskAction,
}

/// State of a task on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskPhase {
    /// It runs.
    Running,
    /// It ended well.
    Done,
    /// It ended badly.
    Failed,
    /// It was stopped by an action.
    Stopped,
    /// It saved its state and stopped.
    Checkpointed,
    /// It was stopped because its lease lapsed.
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
    /// Room reserved for it.
    pub reserved: sizes::Resources,
    /// What it was seen to use, with a lag.
    pub used: sizes::Resources,
    /// Time since its start.
    pub ran_ms: u64,
    /// Epoch of the job's home that asked for it.
    pub home_epoch: ids::Epoch,
}

/// What a worker holds and runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// The worker.
    pub worker: ids::InstanceId,
    /// Highest epoch that it has seen.
    pub epoch: ids::Epoch,
    /// Whether the request for this report was refused for its epoch.
    pub stale: bool,
    /// What it holds.
    pub capacity: sizes::Resources,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Tasks running, and ended ones not yet forgotten.
    pub tasks: Vec<TaskReport>,
    /// The worker's clock when it made the report.
    #[serde(default)]
    pub clock: WorkerClock,
}
