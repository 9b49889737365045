//! Turns of owners in a home's queue.
//!
//! Start-time fair queueing: a task's turn is the owner's last turn plus what
//! that one cost by the owner's weight; an owner that had nothing waiting joins
//! at the turn that the least served of the others has reached. An owner with ten thousand tasks waiting thus holds up
//! another's first task by one task, not by ten thousand.

use figscale_types::ids;
use figscale_types::sizes;
use indexmap::IndexMap;

/// What a cost of [`UNIT`] stands for: a large worker.
const WHOLE: sizes::Resources = sizes::Resources {
    cpu_millis: sizes::CpuMillis(64_000),
    memory_bytes: sizes::Bytes(256 << 30),
    accelerators: 8,
};
/// Cost of a task that takes a whole worker.
const UNIT: f64 = 1e6;

/// An owner's place among the others.
#[derive(Clone, Copy, Debug, Default)]
struct OwnerTurns {
    /// Turn of its next task.
    next: u64,
    /// Cost of what was served, counted from the turn that it joined at.
    served: u64,
    /// Tasks with a turn that were not served.
    waiting: usize,
}

/// The turns given so far.
#[derive(Debug, Default)]
pub(super) struct Turns {
    owners: IndexMap<ids::OwnerName, OwnerTurns>,
    weights: IndexMap<ids::OwnerName, u32>,
}

impl Turns {
    /// Takes over the owners' weights.
    pub(super) fn set_weights(&mut self, weights: IndexMap<ids::OwnerName, u32>) {
        self.weights = weights;
    }

    /// The next turn of an owner, for a task of this size.
    ///
    /// What was served is counted by its cost and not by its turn, because
    /// several placers are asked at once and answer in any order.
    pub(super) fn take(&mut self, owner: &ids::OwnerName, size: &sizes::Resources) -> u64 {
        let cost = self.cost(owner, size);
        let waits = |owner: &&OwnerTurns| owner.waiting > 0;
        let present = self.owners.values().filter(waits).map(|owner| owner.served);
        let present = present.min();
        let owner = self.owners.entry(owner.clone()).or_default();
        if owner.waiting == 0
            && let Some(present) = present
        {
            owner.next = owner.next.max(present);
            owner.served = owner.next;
        }
        let turn = owner.next;
        owner.next = turn.saturating_add(cost);
        owner.waiting += 1;
        turn
    }

    /// Notes that a task with a turn got its place, or gave it up.
    pub(super) fn serve(&mut self, owner: &ids::OwnerName, size: &sizes::Resources) {
        let cost = self.cost(owner, size);
        if let Some(owner) = self.owners.get_mut(owner) {
            owner.served = owner.served.saturating_add(cost);
            owner.waiting = owner.waiting.saturating_sub(1);
        }
    }

    fn cost(&self, owner: &ids::OwnerName, size: &sizes::Resources) -> u64 {
        let weight = self.weights.get(owner).copied().unwrap_or(1).max(1);
        let cost = size.dominant_share(&WHOLE) * UNIT / f64::from(weight);
        cost as u64 + 1
    }
}
