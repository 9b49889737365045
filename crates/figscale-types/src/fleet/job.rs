//! Jobs as callers describe them.

use serde::Deserialize;
use serde::Serialize;

/// What a task needs of a worker, and what a worker has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Room {
    /// Processors, in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory.
    pub memory_mb: u64,
    /// Accelerators.
    pub accelerators: u64,
}

impl Room {
    /// Whether `need` fits into what is left here.
    pub fn holds(&self, need: &Self) -> bool {
        self.cpu_millis >= need.cpu_millis
            && self.memory_mb >= need.memory_mb
            && self.accelerators >= need.accelerators
    }

    /// Both together.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_add(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// What is left without `other`; nothing below zero.
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// The smaller of both, kind by kind.
    pub fn least(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.min(other.cpu_millis),
            memory_mb: self.memory_mb.min(other.memory_mb),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// The larger of both, kind by kind.
    pub fn most(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.max(other.cpu_millis),
            memory_mb: self.memory_mb.max(other.memory_mb),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// How many of `need` fit side by side; bounded by `most`.
    pub fn times(&self, need: &Self, most: u64) -> u64 {
        let each = |have: u64, want: u64| have.checked_div(want).unwrap_or(most);
        each(self.cpu_millis, need.cpu_millis)
            .min(each(self.memory_mb, need.memory_mb))
            .min(each(self.accelerators, need.accelerators))
            .min(most)
    }
}

/// Tasks of a job that are alike and may run at the same time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StepDescription {
    /// Number of tasks.
    pub count: u32,
    /// What each task needs.
    pub room: Room,
    /// Rough length of a task.
    pub estimate_ms: u64,
    /// Earlier steps that must have ended well first.
    pub after: Vec<u32>,
    /// Tasks can resume from a checkpoint.
    pub saves_progress: bool,
    /// Tasks work only while all of them run.
    pub gang: bool,
    /// Tasks are slower when spread over racks.
    pub same_rack: bool,
    /// Label that the worker must have.
    pub required_label: Option<String>,
    /// Rack with the data; tasks are slower elsewhere.
    pub data_rack: Option<String>,
    /// Most tasks of the step on one worker.
    pub max_per_worker: Option<u32>,
    /// Tasks run until the job is cancelled.
    pub long_running: bool,
    /// Tasks use what others leave, and their processors count for nothing.
    pub filler: bool,
}

/// A job as its caller describes it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobDescription {
    /// What to run; opaque.
    pub spec: String,
    /// Steps in the order of their numbers.
    pub steps: Vec<StepDescription>,
    /// Occurrences of a repeated job; 0 for a job that runs once, at once.
    pub occurrences: u32,
    /// When occurrence 0 is due, since 1970.
    pub first_due_ms: u64,
    /// Time between occurrences.
    pub interval_ms: u64,
}

/// What a caller is told of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// No task has started yet.
    Queued,
    /// Some task has started.
    Running,
    /// All tasks ended well.
    Completed,
    /// A task failed as often as it may.
    Failed,
    /// Cancelled by a caller.
    Cancelled,
}

impl JobState {
    /// Whether nothing of the job runs any more or ever will.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}
