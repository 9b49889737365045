//! What found no room, so that it is not tried again within one pass.
//!
//! A size without room rules out every larger one, but only for work that is
//! no freer to choose a worker: work that must leave room beside accelerators,
//! may not probe a worker or may not take what is kept for others can fail
//! where other work of its size finds room.

use figscale_types::catalogue;
use figscale_types::sizes;

use super::cluster;
use super::queue;
use super::work;

/// A size, and how free the choice of a worker is.
#[derive(Clone, Copy, Debug)]
pub(super) struct Wish {
    size: sizes::Resources,
    keeps_accelerators: bool,
    may_probe: bool,
    interactive: bool,
}

impl Wish {
    pub(super) fn of_work(work: &queue::Work, cluster: &cluster::Cluster) -> Self {
        Self {
            size: work.size,
            keeps_accelerators: cluster.keeps_accelerators(&work.size, work.urgency),
            may_probe: work.guard.may_probe(work.class),
            interactive: work.urgency == catalogue::Urgency::Interactive,
        }
    }

    pub(super) fn of_ask(ask: &work::Ask, cluster: &cluster::Cluster) -> Self {
        Self {
            size: ask.size,
            keeps_accelerators: cluster.keeps_accelerators(&ask.size, ask.urgency),
            may_probe: ask.may_probe(),
            interactive: ask.urgency == catalogue::Urgency::Interactive,
        }
    }

    fn rules_out(&self, other: &Self) -> bool {
        let keeps = !self.keeps_accelerators || other.keeps_accelerators;
        let probes = self.may_probe || !other.may_probe;
        let interactive = self.interactive || !other.interactive;
        keeps && probes && interactive && other.size.holds(&self.size)
    }
}

/// Wishes that found no room; none rules out another.
#[derive(Debug, Default)]
pub(super) struct NoRoomList {
    wishes: Vec<Wish>,
}

impl NoRoomList {
    pub(super) fn rules_out(&self, wish: &Wish) -> bool {
        self.wishes.iter().any(|known| known.rules_out(wish))
    }

    pub(super) fn add(&mut self, wish: Wish) {
        self.wishes.retain(|known| !wish.rules_out(known));
        self.wishes.push(wish);
    }
}
