//! Requirements that no worker could meet, so that they are not tried again within
//! one pass.
//!
//! If a task fails to find resources, so does any task that needs at least as much
//! and may use no more of the workers. Some tasks may use fewer workers than
//! others: those that must leave resources for accelerators, those that may not be
//! used to test an ejected worker, and those that may not use workers reserved for
//! other work. Such a failure says nothing about tasks without the restriction.

use figscale_types::catalogue;
use figscale_types::sizes;

use super::cluster;
use super::queue;
use super::work;

/// A size, and what restricts the choice of a worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct Requirements {
    size: sizes::Resources,
    must_spare_accelerators: bool,
    may_probe: bool,
    interactive: bool,
}

impl Requirements {
    pub(super) fn of_work(work: &queue::Work, cluster: &cluster::Cluster) -> Self {
        Self {
            size: work.size,
            must_spare_accelerators: cluster.must_spare_accelerators(&work.size, work.urgency),
            may_probe: work.interruptibility.may_probe(work.class),
            interactive: work.urgency == catalogue::Urgency::Interactive,
        }
    }

    pub(super) fn of_request(request: &work::PlacementRequest, cluster: &cluster::Cluster) -> Self {
        Self {
            size: request.size,
            must_spare_accelerators: cluster
                .must_spare_accelerators(&request.size, request.urgency),
            may_probe: request.may_probe(),
            interactive: request.urgency == catalogue::Urgency::Interactive,
        }
    }

    fn rules_out(&self, other: &Self) -> bool {
        let spares_accelerators = !self.must_spare_accelerators || other.must_spare_accelerators;
        let probes = self.may_probe || !other.may_probe;
        let interactive = self.interactive || !other.interactive;
        spares_accelerators && probes && interactive && other.size.holds(&self.size)
    }
}

/// Requirements that could not be met; none of them rules out another.
#[derive(Debug, Default)]
pub(super) struct UnplaceableSet {
    failed: Vec<Requirements>,
}

impl UnplaceableSet {
    pub(super) fn rules_out(&self, requirements: &Requirements) -> bool {
        self.failed
            .iter()
            .any(|known| known.rules_out(requirements))
    }

    pub(super) fn add(&mut self, requirements: Requirements) {
        self.failed.retain(|known| !requirements.rules_out(known));
        self.failed.push(requirements);
    }
}
