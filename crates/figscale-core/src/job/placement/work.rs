//! Requests for placement, and the allocations that result from them.

use std::time;

use figscale_types::catalogue;
use figscale_types::ids;
use figscale_types::sizes;
use serde::Deserialize;
use serde::Serialize;

/// How a running task may be interrupted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Interruptibility {
    /// Whether it may be run again when it is unknown how it ended.
    pub idempotent: bool,
    /// Whether it can save its state and resume on another worker.
    pub checkpointable: bool,
    /// Whether its entry in the catalogue allows it to be stopped for more
    /// urgent work.
    pub preemptible: bool,
}

impl Interruptibility {
    /// Whether such a task may be used to test an ejected worker.
    pub(super) fn may_probe(self, class: catalogue::JobClass) -> bool {
        self.idempotent && class == catalogue::JobClass::Batch
    }

    /// For a task of which nothing is known: it is never interrupted.
    pub const PROTECTED: Self = Self {
        idempotent: false,
        checkpointable: false,
        preemptible: false,
    };

    /// Whether the task may be ended for more urgent work.
    ///
    /// Work that may not run twice and cannot save its state is never ended,
    /// even if its entry allows preemption.
    pub fn may_be_preempted(self) -> bool {
        self.preemptible && (self.idempotent || self.checkpointable)
    }
}

/// A request to place a task.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementRequest {
    /// The task.
    pub task: ids::TaskId,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Owner whose quota and share it counts towards; `None` until it is known.
    pub owner: Option<ids::OwnerName>,
    /// Class of its job: whether its tasks are independent, start together or
    /// form a service.
    pub class: catalogue::JobClass,
    /// Urgency of its job.
    pub urgency: catalogue::Urgency,
    /// Resources to reserve: the larger of the declared and the learned size.
    pub size: sizes::Resources,
    /// Size declared by the job.
    pub declared: sizes::Resources,
    /// How it may be interrupted once it runs.
    pub interruptibility: Interruptibility,
    /// Workers on which it failed before.
    pub avoid: Vec<ids::InstanceId>,
}

impl PlacementRequest {
    /// Whether it may be used to test an ejected worker: it may fail and be run
    /// again.
    pub fn may_probe(&self) -> bool {
        self.interruptibility.may_probe(self.class)
    }

    /// A task found running of which only the reserved resources are known.
    pub fn unknown(task: ids::TaskId, attempt: u32, reserved: sizes::Resources) -> Self {
        Self {
            task,
            attempt,
            owner: None,
            class: catalogue::JobClass::Batch,
            urgency: catalogue::Urgency::Interactive,
            size: reserved,
            declared: reserved,
            interruptibility: Interruptibility::PROTECTED,
            avoid: Vec::new(),
        }
    }
}

/// Resources allocated to a task on a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Allocation {
    /// The request that was granted.
    pub request: PlacementRequest,
    /// The worker.
    pub worker: ids::InstanceId,
    /// Use in the last report.
    pub used: sizes::Resources,
    /// Largest use in any report; reports lag behind the use.
    pub peak: sizes::Resources,
    /// When the resources were allocated.
    pub since: time::Instant,
    /// When the resources are released unless the task is confirmed before;
    /// `None`: never.
    pub expires: Option<time::Instant>,
    /// Time since the task's start, as last reported.
    pub ran_ms: u64,
    /// Whether the task was ordered to end.
    pub ending: bool,
    /// The reservation round of its gang that made the allocation.
    pub gang_round: Option<RoundNumber>,
}

impl Allocation {
    /// What it counts for in the sums of the worker, the owner and the cluster:
    /// the larger of reserved and used resources.
    pub fn counted(&self) -> sizes::Resources {
        self.request.size.larger(&self.used)
    }
}

/// Number of a round of reservations for a gang. A later round has a higher
/// number, also after the gang's home has moved to another entry instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RoundNumber(pub u64);
