//! Fair queueing between owners in a home's queue.
//!
//! This is start-time fair queueing. The start tag of a task is the owner's last
//! start tag plus the cost of that task, divided by the owner's weight. An owner
//! that had no queued tasks joins at the service that the least served of the
//! other queued owners has reached. An owner with ten thousand queued tasks thus
//! delays the first task of another by one task, not by ten thousand.

use figscale_types::ids;
use figscale_types::sizes;
use indexmap::IndexMap;

/// Resources that cost [`LARGE_WORKER_COST`]: those of a large worker.
const LARGE_WORKER: sizes::Resources = sizes::Resources {
    cpu_millis: sizes::CpuMillis(64_000),
    memory_bytes: sizes::Bytes(256 << 30),
    accelerators: 8,
};
/// Cost of a task that takes all of [`LARGE_WORKER`].
const LARGE_WORKER_COST: f64 = 1e6;

/// State of an owner in the fair queue.
#[derive(Clone, Copy, Debug, Default)]
struct OwnerState {
    /// Start tag of its next task.
    next_tag: u64,
    /// Start tag at which it joined, plus the cost of its tasks served since.
    served_tag: u64,
    /// Number of tasks with a start tag that are not served yet.
    queued: usize,
}

/// Assigns start tags.
#[derive(Debug, Default)]
pub(super) struct FairQueue {
    owners: IndexMap<ids::OwnerName, OwnerState>,
    weights: IndexMap<ids::OwnerName, u32>,
}

impl FairQueue {
    /// Sets the owners' weights.
    pub(super) fn set_weights(&mut self, weights: IndexMap<ids::OwnerName, u32>) {
        self.weights = weights;
    }

    /// Assigns the next start tag of an owner, for a task of this size.
    ///
    /// Service is counted by cost rather than by the start tags of the tasks
    /// served, because several placers are called at once and answer in any order.
    pub(super) fn assign(&mut self, owner: &ids::OwnerName, size: &sizes::Resources) -> u64 {
        let cost = self.cost(owner, size);
        let has_queued = |owner: &&OwnerState| owner.queued > 0;
        let least_served = self
            .owners
            .values()
            .filter(has_queued)
            .map(|owner| owner.served_tag);
        let least_served = least_served.min();
        let owner = self.owners.entry(owner.clone()).or_default();
        if owner.queued == 0
            && let Some(least_served) = least_served
        {
            owner.next_tag = owner.next_tag.max(least_served);
            owner.served_tag = owner.next_tag;
        }
        let start_tag = owner.next_tag;
        owner.next_tag = start_tag.saturating_add(cost);
        owner.queued += 1;
        start_tag
    }

    /// Records that a task with a start tag was placed, or needs no placement any more.
    pub(super) fn record_served(&mut self, owner: &ids::OwnerName, size: &sizes::Resources) {
        let cost = self.cost(owner, size);
        if let Some(owner) = self.owners.get_mut(owner) {
            owner.served_tag = owner.served_tag.saturating_add(cost);
            owner.queued = owner.queued.saturating_sub(1);
        }
    }

    fn cost(&self, owner: &ids::OwnerName, size: &sizes::Resources) -> u64 {
        let weight = self.weights.get(owner).copied().unwrap_or(1).max(1);
        let cost = size.dominant_share(&LARGE_WORKER) * LARGE_WORKER_COST / f64::from(weight);
        cost as u64 + 1
    }
}
