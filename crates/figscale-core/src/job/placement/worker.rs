//! A worker as its holder sees it.

use figscale_types::catalogue;
use figscale_types::ids;
use figscale_types::sizes;
use indexmap::IndexSet;

use super::work;

/// Whether the tasks that a worker runs are known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// It may run tasks of an earlier holder; it gets nothing until it reports.
    Unreported,
    /// Everything that it runs is known.
    Ready,
}

/// Whether a worker is trusted with work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    /// It gets work.
    #[default]
    InUse,
    /// It failed what it started; it gets one task that may run again.
    Probing,
    /// It failed what it started and gets nothing.
    SetAside,
}

/// A worker of a shard that this entry instance holds.
#[derive(Clone, Debug)]
pub struct Worker {
    pub(super) id: ids::InstanceId,
    pub(super) shard: ids::ShardId,
    /// Position among the cluster's failure domains.
    pub(super) domain: usize,
    /// Position among the cluster's racks.
    pub(super) rack: usize,
    pub(super) capacity: sizes::Resources,
    /// Sum of what its holdings count for.
    pub(super) counted: sizes::Resources,
    pub(super) readiness: Readiness,
    pub(super) leaving: bool,
    pub(super) standing: Standing,
    /// Urgency of the work that its room is kept for within one pass.
    pub(super) held: Option<catalogue::Urgency>,
    pub(super) tasks: IndexSet<ids::TaskId>,
}

impl Worker {
    /// Name.
    pub fn id(&self) -> &ids::InstanceId {
        &self.id
    }

    /// Shard that it belongs to.
    pub fn shard(&self) -> &ids::ShardId {
        &self.shard
    }

    /// What it holds.
    pub fn capacity(&self) -> sizes::Resources {
        self.capacity
    }

    /// Sum over its tasks of the larger of reserved and used.
    pub fn counted(&self) -> sizes::Resources {
        self.counted
    }

    /// What may still be given away, whether or not it gets new work.
    pub fn free(&self) -> sizes::Resources {
        self.capacity.minus(&self.counted)
    }

    /// Tasks that have room on it.
    pub fn tasks(&self) -> impl Iterator<Item = &ids::TaskId> {
        self.tasks.iter()
    }

    /// Whether it gets new work, of whatever kind.
    pub fn takes_work(&self) -> bool {
        self.readiness == Readiness::Ready && !self.leaving && !self.is_set_aside()
    }

    /// Whether it gets this task, if it has room for it.
    ///
    /// While it is probed it gets one task at a time, of a kind that may fail.
    pub fn admits(&self, ask: &work::Ask) -> bool {
        let trusted = match self.standing {
            Standing::InUse => true,
            Standing::Probing => ask.may_probe() && self.tasks.is_empty(),
            Standing::SetAside => false,
        };
        trusted && self.takes_work()
    }

    /// Whether its room is kept from this task. Interactive work passes over
    /// what is kept for other work.
    pub(super) fn is_held_from(&self, ask: &work::Ask) -> bool {
        let interactive = catalogue::Urgency::Interactive;
        self.held
            .is_some_and(|held| held == interactive || ask.urgency != interactive)
    }

    /// Whether it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Whether it was set aside because it fails what it starts.
    pub fn is_set_aside(&self) -> bool {
        self.standing == Standing::SetAside
    }
}
