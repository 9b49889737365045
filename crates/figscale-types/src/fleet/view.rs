//! The leader's view of a job, for operators.

use serde::Deserialize;
use serde::Serialize;

use super::JobId;
use super::JobState;
use super::TaskId;
use super::WorkerId;

/// Progress of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskProgress {
    /// It is not placed on any worker.
    Waiting,
    /// A worker was ordered to start it and has not reported its end.
    Placed,
    /// It ended successfully.
    Done,
}

/// A task and its progress.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskView {
    /// The task.
    pub task: TaskId,
    /// Its progress.
    pub progress: TaskProgress,
    /// Worker that it is placed on.
    pub worker: Option<WorkerId>,
    /// Known number of runs started: failed ones and the current one.
    pub attempts: u32,
}

/// A job and its tasks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// The job.
    pub id: JobId,
    /// Queue that it was submitted to.
    pub queue: String,
    /// Pool of workers that runs it.
    pub service: String,
    /// Its state.
    pub state: JobState,
    /// Tasks of the occurrences that are due; empty for a job that has ended.
    pub tasks: Vec<TaskView>,
}
