//! What wants a place, and what has one.

use std::time;

use figscale_types::catalogue;
use figscale_types::ids;
use figscale_types::sizes;
use serde::Deserialize;
use serde::Serialize;

/// What may be done to a task while it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guard {
    /// Whether it may run again after an unknown end.
    pub idempotent: bool,
    /// Whether it can save its state and go on elsewhere.
    pub checkpointable: bool,
    /// Whether its entry lets it be stopped for more urgent work.
    pub preemptible: bool,
}

impl Guard {
    /// Whether a worker may be probed with such a task.
    pub(super) fn may_probe(self, class: catalogue::JobClass) -> bool {
        self.idempotent && class == catalogue::JobClass::Batch
    }

    /// For a task of which nothing is known: it is left alone.
    pub const PROTECTED: Self = Self {
        idempotent: false,
        checkpointable: false,
        preemptible: false,
    };

    /// Whether the task may be ended for more urgent work.
    ///
    /// Work that may not run twice and cannot save its state is never ended,
    /// whatever its entry says.
    pub fn may_be_preempted(self) -> bool {
        self.preemptible && (self.idempotent || self.checkpointable)
    }
}

/// A task that wants a place.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    /// The task.
    pub task: ids::TaskId,
    /// Attempt, from 1.
    pub attempt: u32,
    /// Owner charged for it; `None` until it is known.
    pub owner: Option<ids::OwnerName>,
    /// How the tasks of its job belong together.
    pub class: catalogue::JobClass,
    /// Urgency.
    pub urgency: catalogue::Urgency,
    /// Room to reserve: the larger of declared and learned.
    pub size: sizes::Resources,
    /// Size as declared.
    pub declared: sizes::Resources,
    /// What may be done to it once it runs.
    pub guard: Guard,
    /// Workers on which it failed before.
    pub avoid: Vec<ids::InstanceId>,
}

impl Ask {
    /// Whether a worker may be probed with it: it may fail and run again.
    pub fn may_probe(&self) -> bool {
        self.guard.may_probe(self.class)
    }

    /// A task found running of which only its room is known.
    pub fn unknown(task: ids::TaskId, attempt: u32, reserved: sizes::Resources) -> Self {
        Self {
            task,
            attempt,
            owner: None,
            class: catalogue::JobClass::Batch,
            urgency: catalogue::Urgency::Interactive,
            size: reserved,
            declared: reserved,
            guard: Guard::PROTECTED,
            avoid: Vec::new(),
        }
    }
}

/// Room that a task has on a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Holding {
    /// What was asked for.
    pub ask: Ask,
    /// The worker.
    pub worker: ids::InstanceId,
    /// What the task was last seen to use.
    pub used: sizes::Resources,
    /// Largest use seen, with a lag.
    pub peak: sizes::Resources,
    /// When the room was given.
    pub since: time::Instant,
    /// When the room is taken back unless the task is confirmed.
    pub expires: Option<time::Instant>,
    /// Time since the task's start, as last reported.
    pub ran_ms: u64,
    /// Whether it was asked to end.
    pub ending: bool,
    /// The try of its gang that the room belongs to.
    pub gang_try: Option<TryNumber>,
}

impl Holding {
    /// What is counted against the worker: the larger of reserved and used.
    pub fn counted(&self) -> sizes::Resources {
        self.ask.size.larger(&self.used)
    }
}

/// Number of a try to find room for a gang. A later try has a higher one, also
/// after the gang's home has moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TryNumber(pub u64);
