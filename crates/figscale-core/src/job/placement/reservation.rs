//! State of reservations that last longer than one pass.
//!
//! [`super::Cluster::place`] creates and applies them.

use std::time;

use figscale_types::catalogue;
use figscale_types::ids;

use super::work;

/// A worker reserved for a job whose task did not fit.
#[derive(Clone, Debug)]
pub(super) struct WorkerReservation {
    pub(super) job: ids::JobId,
    pub(super) urgency: catalogue::Urgency,
    pub(super) worker: ids::InstanceId,
    pub(super) until: time::Instant,
}

impl WorkerReservation {
    /// Whether it excludes this task from its worker.
    pub(super) fn applies_to(&self, request: &work::PlacementRequest) -> bool {
        self.job != request.task.job && self.urgency <= request.urgency
    }
}

/// Work that needs accelerators and found none.
#[derive(Clone, Copy, Debug)]
pub(super) struct AcceleratorDemand {
    pub(super) urgency: catalogue::Urgency,
    pub(super) until: time::Instant,
}
