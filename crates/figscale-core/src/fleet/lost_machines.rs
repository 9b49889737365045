//! Machines that were lost, and whether another loss there shows anything new.
//!
//! A machine that crashes may come back at its address as another worker, and crash
//! again for the same reason. Losses of one machine that follow one another closely
//! are not independent: they count as one observation against a task that was lost
//! with it each time. Once the machine has been up for a while, its next loss counts
//! again.

use std::net;
use std::time;

use figscale_types::fleet;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

/// Time after a loss of a machine within which another one there shows nothing new.
/// Machines that go up and down stay down for up to 6.5 s.
const UNSETTLED: time::Duration = time::Duration::from_secs(15);
/// Lost attempts of a task on one unsettled machine after which the task is not
/// started there.
const MAX_LOST_ATTEMPTS: usize = 2;
/// Time between removals of old losses.
const PRUNE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// A machine on which an attempt of a task was lost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LostMachine {
    attempt: u32,
    worker: fleet::WorkerId,
    address: net::SocketAddr,
    /// Whether the loss shows nothing that an earlier one had not shown.
    repeated: bool,
    /// `None` if an earlier leader observed it and recovery has not begun.
    #[serde(skip)]
    lost_at: Option<time::Instant>,
}

/// The machines of the lost attempts of one task, or of one gang.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LostMachines(Vec<LostMachine>);

impl LostMachines {
    pub(crate) fn add(
        &mut self,
        attempt: u32,
        worker: &fleet::WorkerId,
        address: net::SocketAddr,
        now: time::Instant,
    ) {
        let is_same = |known: &LostMachine| known.attempt == attempt && known.worker == *worker;
        if self.0.iter().any(is_same) {
            return;
        }
        let repeated = self.is_unsettled(address, now);
        self.0.push(LostMachine {
            attempt,
            worker: worker.clone(),
            address,
            repeated,
            lost_at: Some(now),
        });
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(crate) fn retract(&mut self, attempt: u32, worker: &fleet::WorkerId) {
        self.0
            .retain(|known| known.attempt != attempt || known.worker != *worker);
    }

    /// Dates the losses that an earlier leader recorded.
    pub(crate) fn date_recorded(&mut self, now: time::Instant) {
        for known in &mut self.0 {
            known.lost_at.get_or_insert(now);
        }
    }

    /// Whether an attempt lost only machines that an earlier attempt had lost shortly
    /// before.
    pub(crate) fn is_repeated(&self, attempt: u32) -> bool {
        let mut lost = self.0.iter().filter(|known| known.attempt == attempt);
        let first = lost.next();
        first.is_some_and(|first| first.repeated) && lost.all(|known| known.repeated)
    }

    /// Whether the task should not be started on the machine at this address, since it
    /// was lost there repeatedly and another loss would show nothing.
    pub(crate) fn avoids(&self, address: net::SocketAddr, now: time::Instant) -> bool {
        let attempts = self.0.iter().filter(|known| known.address == address);
        attempts.count() >= MAX_LOST_ATTEMPTS && self.is_unsettled(address, now)
    }

    /// Whether an attempt was lost on the machine at this address lately.
    fn is_unsettled(&self, address: net::SocketAddr, now: time::Instant) -> bool {
        let mut of_machine = self.0.iter().filter(|known| known.address == address);
        of_machine.any(|known| known.lost_at.is_some_and(|at| now < at + UNSETTLED))
    }
}

/// Machines of the fleet that were lost recently, under whatever task.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnsettledMachines {
    lost: IndexMap<net::SocketAddr, (time::Instant, fleet::WorkerId)>,
    pruned_at: Option<time::Instant>,
}

impl UnsettledMachines {
    pub(crate) fn record(
        &mut self,
        address: net::SocketAddr,
        worker: &fleet::WorkerId,
        now: time::Instant,
    ) {
        if self.pruned_at.is_none_or(|at| now >= at + PRUNE_INTERVAL) {
            self.lost.retain(|_, (at, _)| now < *at + UNSETTLED);
            self.pruned_at = Some(now);
        }
        self.lost.insert(address, (now, worker.clone()));
    }

    /// Forgets the loss of a worker that responds again.
    pub(crate) fn retract(&mut self, address: net::SocketAddr, worker: &fleet::WorkerId) {
        if self
            .lost
            .get(&address)
            .is_some_and(|lost| lost.1 == *worker)
        {
            self.lost.swap_remove(&address);
        }
    }

    pub(crate) fn contains(&self, address: net::SocketAddr, now: time::Instant) -> bool {
        let lost = self.lost.get(&address);
        lost.is_some_and(|(at, _)| now < *at + UNSETTLED)
    }
}
