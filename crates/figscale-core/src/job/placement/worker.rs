//! A worker, as known to the entry instance that holds its shard.

use figscale_types::catalogue;
use figscale_types::ids;
use figscale_types::sizes;
use indexmap::IndexSet;

use super::work;

/// Whether it is known which tasks a worker runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// It may run tasks of an earlier holder of its shard. It gets no new work
    /// until it reports.
    Unreported,
    /// Everything that it runs is known.
    Ready,
}

/// Ejection state of a worker: whether its failures exclude it from new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EjectionState {
    /// It gets new work.
    #[default]
    InUse,
    /// It was ejected and is tested with one task that may be run again.
    Probing,
    /// Too many of its tasks failed; it gets no new work.
    Ejected,
}

/// A worker of a shard that this entry instance holds.
#[derive(Clone, Debug)]
pub struct Worker {
    pub(super) id: ids::InstanceId,
    pub(super) shard: ids::ShardId,
    /// Index into the cluster's failure domains.
    pub(super) domain: usize,
    /// Index into the cluster's racks.
    pub(super) rack: usize,
    pub(super) capacity: sizes::Resources,
    /// Sum of [`work::Allocation::counted`] over its tasks.
    pub(super) counted: sizes::Resources,
    pub(super) readiness: Readiness,
    pub(super) leaving: bool,
    pub(super) ejection_state: EjectionState,
    /// Urgency of the work that it is reserved for until the current pass ends.
    pub(super) reserved_for: Option<catalogue::Urgency>,
    pub(super) tasks: IndexSet<ids::TaskId>,
}

impl Worker {
    /// Id of the worker.
    pub fn id(&self) -> &ids::InstanceId {
        &self.id
    }

    /// Shard that the worker belongs to.
    pub fn shard(&self) -> &ids::ShardId {
        &self.shard
    }

    /// Its total resources.
    pub fn capacity(&self) -> sizes::Resources {
        self.capacity
    }

    /// Sum over its tasks of the larger of reserved and used resources.
    pub fn counted(&self) -> sizes::Resources {
        self.counted
    }

    /// Resources that are not allocated, whether or not the worker gets new work.
    pub fn free(&self) -> sizes::Resources {
        self.capacity.minus(&self.counted)
    }

    /// Tasks that have resources allocated on it.
    pub fn tasks(&self) -> impl Iterator<Item = &ids::TaskId> {
        self.tasks.iter()
    }

    /// Whether it gets new work of any kind.
    pub fn takes_work(&self) -> bool {
        self.readiness == Readiness::Ready && !self.leaving && !self.is_ejected()
    }

    /// Whether it may get this task, not considering its free resources.
    ///
    /// While it is probed it gets one task at a time, and only a task that may
    /// be run again.
    pub fn admits(&self, request: &work::PlacementRequest) -> bool {
        let trusted = match self.ejection_state {
            EjectionState::InUse => true,
            EjectionState::Probing => request.may_probe() && self.tasks.is_empty(),
            EjectionState::Ejected => false,
        };
        trusted && self.takes_work()
    }

    /// Whether a reservation of the current pass excludes this task.
    /// Interactive work may use what is reserved for other work.
    pub(super) fn is_reserved_against(&self, request: &work::PlacementRequest) -> bool {
        let interactive = catalogue::Urgency::Interactive;
        self.reserved_for.is_some_and(|reserved_for| {
            reserved_for == interactive || request.urgency != interactive
        })
    }

    /// Whether it is leaving and gets no new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Whether it was ejected because too many of its tasks failed.
    pub fn is_ejected(&self) -> bool {
        self.ejection_state == EjectionState::Ejected
    }
}
