//! Jobs as callers describe them.

use std::mem;

use serde::Deserialize;
use serde::Serialize;

/// Resources that a task requires, or that a worker has.
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
    /// Whether `need` fits into these resources, in every kind.
    pub fn holds(&self, need: &Self) -> bool {
        self.cpu_millis >= need.cpu_millis
            && self.memory_mb >= need.memory_mb
            && self.accelerators >= need.accelerators
    }

    /// The sum, saturating in every kind.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_add(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// The difference, zero where it would be negative.
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// The smaller of the two in every kind.
    pub fn least(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.min(other.cpu_millis),
            memory_mb: self.memory_mb.min(other.memory_mb),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// The larger of the two in every kind.
    pub fn most(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.max(other.cpu_millis),
            memory_mb: self.memory_mb.max(other.memory_mb),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Half of it in every kind.
    pub fn halved(&self) -> Self {
        Self {
            cpu_millis: self.cpu_millis / 2,
            memory_mb: self.memory_mb / 2,
            accelerators: self.accelerators / 2,
        }
    }

    /// How many times `need` fits, at most `most`.
    pub fn count_fitting(&self, need: &Self, most: u64) -> u64 {
        let fitting = |have: u64, need: u64| have.checked_div(need).unwrap_or(most);
        fitting(self.cpu_millis, need.cpu_millis)
            .min(fitting(self.memory_mb, need.memory_mb))
            .min(fitting(self.accelerators, need.accelerators))
            .min(most)
    }
}

/// Identical tasks of a job that may run at the same time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StepDescription {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task requires.
    pub room: Room,
    /// Estimated run time of a task.
    pub estimate_ms: u64,
    /// Numbers of earlier steps that must have completed first.
    pub after: Vec<u32>,
    /// Tasks can resume from a checkpoint.
    pub saves_progress: bool,
    /// Tasks make progress only while all of them run.
    pub gang: bool,
    /// Tasks are slower when spread over racks.
    pub same_rack: bool,
    /// Label that the worker must have.
    pub required_label: Option<String>,
    /// Rack that holds the data; tasks are slower elsewhere.
    pub data_rack: Option<String>,
    /// Most tasks of the step on one worker.
    pub max_per_worker: Option<u32>,
    /// Tasks run until the job is cancelled.
    pub long_running: bool,
    /// Tasks use processor time that others leave unused; their own processor
    /// requirement is not counted.
    pub filler: bool,
}

/// Most steps of a job.
pub const MAX_STEPS: usize = 64;

/// A job as its caller describes it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobDescription {
    /// What to run; opaque to the scheduler.
    pub spec: String,
    /// Steps in the order of their numbers.
    pub steps: Vec<StepDescription>,
    /// Number of occurrences of a repeated job; 0 for a job that runs once,
    /// immediately.
    pub occurrences: u32,
    /// When occurrence 0 is due, in milliseconds since 1970.
    pub first_due_ms: u64,
    /// Time between occurrences.
    pub interval_ms: u64,
}

impl JobDescription {
    /// Number of tasks of one occurrence.
    pub fn tasks(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.count)).sum()
    }

    /// Number of occurrences that are due by a time, in milliseconds since 1970.
    pub fn occurrences_due_by(&self, wall_ms: u64) -> u32 {
        let Some(passed_ms) = wall_ms.checked_sub(self.first_due_ms) else {
            return 0;
        };
        let due = passed_ms.checked_div(self.interval_ms);
        let due = due.and_then(|later| u32::try_from(later).ok());
        let due = due.map_or(u32::MAX, |later| later.saturating_add(1));
        due.min(self.occurrences)
    }

    /// Approximate memory that the description takes.
    pub fn description_bytes(&self) -> u64 {
        let text_bytes = |text: &Option<String>| text.as_ref().map_or(0, String::len);
        let steps = self.steps.iter().map(|step| {
            mem::size_of::<StepDescription>()
                + mem::size_of_val(step.after.as_slice())
                + text_bytes(&step.required_label)
                + text_bytes(&step.data_rack)
        });
        (self.spec.len() + steps.sum::<usize>()) as u64
    }
}

/// State of a job as reported to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// No task has started yet.
    Queued,
    /// Some task has started.
    Running,
    /// All tasks ended successfully.
    Completed,
    /// A task failed as often as its queue allows.
    Failed,
    /// Cancelled by a caller.
    Cancelled,
}

impl JobState {
    /// Whether the state is final: no task of the job will run again.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}
