//! Summaries of their workers that entry instances send to each other once a second.
//!
//! A summary contains the free resources, the largest free resources on single
//! workers ("holes") and the use by owner. Use is sent only for owners whose use has
//! changed since the last summary, and for all owners every few summaries. The size
//! of a summary thus depends on the rate of change rather than on the number of
//! owners. The next whole summary corrects the effect of a lost one. The receiver
//! stores the last summary of each peer; no task is placed with a peer whose last
//! summary is too old.

use std::time;

use figscale_types::ids;
use figscale_types::sizes;
use indexmap::IndexMap;
use rand::RngExt as _;
use serde::Deserialize;
use serde::Serialize;

use super::cluster;
use super::shares;

/// One summary in this number contains the use of all owners.
const WHOLE_EVERY: u64 = 10;
/// Largest age of a peer's summary at which tasks are placed with that peer.
const MAX_AGE: time::Duration = time::Duration::from_secs(5);

/// Free resources and use on the workers of one entry instance.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Sequence number; increases by one.
    pub number: u64,
    /// Whether `usage` contains all owners rather than only those that changed.
    pub whole: bool,
    /// Sum of the capacities of its workers.
    pub capacity: sizes::Resources,
    /// Free resources on workers that accept new work.
    pub free: sizes::Resources,
    /// Largest free resources on a single worker: by processor, by memory and by
    /// accelerators.
    pub holes: Vec<sizes::Resources>,
    /// Use by owner.
    pub usage: Vec<(ids::OwnerName, sizes::Resources)>,
    /// Number of tasks that wait at that instance.
    pub waiting: u32,
}

impl Summary {
    /// Whether a task of this size fitted on a worker when the summary was made.
    pub fn has_hole(&self, size: &sizes::Resources) -> bool {
        self.holes.iter().any(|hole| hole.holds(size))
    }
}

/// Creates the summaries of an entry instance.
#[derive(Clone, Debug, Default)]
pub struct Summarizer {
    number: u64,
    sent: shares::UsageByOwner,
}

impl Summarizer {
    /// The next summary.
    pub fn next(&mut self, cluster: &cluster::Cluster, waiting: usize) -> Summary {
        let whole = self.number.is_multiple_of(WHOLE_EVERY);
        self.number += 1;
        let usage: shares::UsageByOwner = cluster
            .usage_by_owner()
            .map(|(owner, used)| (owner.clone(), *used))
            .collect();
        let changed = if whole {
            usage.iter().map(|(o, u)| (o.clone(), *u)).collect()
        } else {
            changes(&self.sent, &usage)
        };
        self.sent = usage;
        let open = cluster.workers().filter(|worker| worker.takes_work());
        let free: Vec<_> = open.map(|worker| worker.free()).collect();
        Summary {
            number: self.number,
            whole,
            capacity: cluster.capacity(),
            free: free
                .iter()
                .fold(Default::default(), |sum: sizes::Resources, f| sum.plus(f)),
            holes: holes(&free),
            usage: changed,
            waiting: u32::try_from(waiting).unwrap_or(u32::MAX),
        }
    }
}

fn changes(
    before: &shares::UsageByOwner,
    after: &shares::UsageByOwner,
) -> Vec<(ids::OwnerName, sizes::Resources)> {
    let changed = after
        .iter()
        .filter(|(o, used)| before.get(*o) != Some(used));
    let gone = before.keys().filter(|owner| !after.contains_key(*owner));
    let changed = changed.map(|(owner, used)| (owner.clone(), *used));
    let gone = gone.map(|owner| (owner.clone(), sizes::Resources::default()));
    changed.chain(gone).collect()
}

/// The largest elements by each resource; another resource breaks ties.
fn holes(free: &[sizes::Resources]) -> Vec<sizes::Resources> {
    let by_cpu = free.iter().max_by_key(|f| (f.cpu_millis, f.memory_bytes));
    let by_memory = free.iter().max_by_key(|f| (f.memory_bytes, f.cpu_millis));
    let by_accelerators = free.iter().max_by_key(|f| (f.accelerators, f.cpu_millis));
    let mut holes: Vec<_> = [by_cpu, by_memory, by_accelerators]
        .into_iter()
        .flatten()
        .copied()
        .collect();
    holes.dedup();
    holes
}

#[derive(Clone, Debug)]
struct PeerView {
    summary: Summary,
    received_at: time::Instant,
}

/// The last summary of each peer.
#[derive(Clone, Debug, Default)]
pub struct PeerViews {
    views: IndexMap<ids::MemberId, PeerView>,
}

impl PeerViews {
    /// Stores a summary, and its use in `shares`.
    pub fn apply(
        &mut self,
        from: &ids::MemberId,
        summary: Summary,
        shares: &mut shares::Shares,
        now: time::Instant,
    ) {
        let usage = summary.usage.iter().cloned().collect();
        if summary.whole {
            shares.set_peer(from.clone(), usage);
        } else {
            shares.update_peer(from, usage);
        }
        let view = PeerView {
            summary,
            received_at: now,
        };
        self.views.insert(from.clone(), view);
    }

    /// Removes a peer that is gone.
    pub fn remove(&mut self, peer: &ids::MemberId, shares: &mut shares::Shares) {
        self.views.swap_remove(peer);
        shares.remove_peer(peer);
    }

    /// The last summary of a peer.
    pub fn get(&self, peer: &ids::MemberId) -> Option<&Summary> {
        self.views.get(peer).map(|view| &view.summary)
    }

    /// A peer that has resources for a task: of two chosen at random among the
    /// peers with a large enough hole, the one with the larger free share.
    pub fn pick(
        &self,
        size: &sizes::Resources,
        now: time::Instant,
        rng: &mut impl rand::Rng,
    ) -> Option<&ids::MemberId> {
        let fresh = |view: &PeerView| now.saturating_duration_since(view.received_at) <= MAX_AGE;
        let candidates: Vec<_> = self
            .views
            .iter()
            .filter(|(_, view)| fresh(view) && view.summary.has_hole(size))
            .collect();
        if candidates.is_empty() {
            return None;
        }
        let (a, b) = (
            candidates[rng.random_range(0..candidates.len())],
            candidates[rng.random_range(0..candidates.len())],
        );
        let share = |view: &PeerView| view.summary.free.dominant_share(&view.summary.capacity);
        let better = if share(a.1) >= share(b.1) { a } else { b };
        Some(better.0)
    }

    /// Subtracts a task that was sent to a peer from its free resources; the next
    /// summary replaces them.
    pub fn charge(&mut self, peer: &ids::MemberId, size: &sizes::Resources) {
        if let Some(view) = self.views.get_mut(peer) {
            view.summary.free = view.summary.free.minus(size);
            let hole = view.summary.holes.iter_mut().find(|hole| hole.holds(size));
            if let Some(hole) = hole {
                *hole = hole.minus(size);
            }
        }
    }
}
