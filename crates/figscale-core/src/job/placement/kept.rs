//! Room that is kept free for somebody.

use std::time;

use figscale_types::catalogue;
use figscale_types::ids;

use super::work;

/// A worker promised to a job.
#[derive(Clone, Debug)]
pub(super) struct Promise {
    pub(super) job: ids::JobId,
    pub(super) urgency: catalogue::Urgency,
    pub(super) worker: ids::InstanceId,
    pub(super) until: time::Instant,
}

impl Promise {
    /// Whether it keeps other work from its worker.
    pub(super) fn binds(&self, ask: &work::Ask) -> bool {
        self.job != ask.task.job && self.urgency <= ask.urgency
    }
}

/// Accelerators that work waits for.
#[derive(Clone, Copy, Debug)]
pub(super) struct Wanted {
    pub(super) urgency: catalogue::Urgency,
    pub(super) until: time::Instant,
}
