//! A job as its leader knows it, for operators.

use serde::Deserialize;
use serde::Serialize;

use super::JobId;
use super::JobState;
use super::TaskId;
use super::WorkerId;

/// Where a task stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskProgress {
    /// It runs nowhere.
    Waiting,
    /// It was ordered to a worker and has not ended there.
    Placed,
    /// It ended well.
    Done,
}

/// A task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskView {
    /// The task.
    pub task: TaskId,
    /// Where it stands.
    pub progress: TaskProgress,
    /// Where it runs.
    pub worker: Option<WorkerId>,
    /// Runs begun, as far as known: those that failed and the present one.
    pub attempts: u32,
}

/// A job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// The job.
    pub id: JobId,
    /// Queue that it was submitted to.
    pub queue: String,
    /// Pool of workers that runs it.
    pub service: String,
    /// How it stands.
    pub state: JobState,
    /// Tasks of the occurrences that are due; none of a job that has ended.
    pub tasks: Vec<TaskView>,
}
