//! What entry instances tell each other about their workers, once a second.
//!
//! A summary holds what is free, the largest holes and what owners use. Use is
//! sent only where it changed since the last summary, and whole every few
//! summaries, so that its size follows what happens rather than how many
//! owners there are; a lost summary is made good by the next whole one. The
//! receiver keeps a view per peer; an old view is not trusted with placements.

use std::time;

use figscale_types::ids;
use figscale_types::sizes;
use indexmap::IndexMap;
use rand::RngExt as _;
use serde::Deserialize;
use serde::Serialize;

use super::cluster;
use super::shares;

/// A whole summary is sent once in so many.
const WHOLE_EVERY: u64 = 10;
/// Age up to which a peer's view is trusted with placements.
const MAX_AGE: time::Duration = time::Duration::from_secs(5);

/// What one entry instance has to give.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Number of the summary; grows by one.
    pub number: u64,
    /// Whether use is whole rather than only what changed.
    pub whole: bool,
    /// What its workers hold together.
    pub capacity: sizes::Resources,
    /// What is free on workers that get new work.
    pub free: sizes::Resources,
    /// Largest holes: by processor share, by memory, by accelerators.
    pub holes: Vec<sizes::Resources>,
    /// Use by owner.
    pub usage: Vec<(ids::OwnerName, sizes::Resources)>,
    /// Tasks that wait there.
    pub waiting: u32,
}

impl Summary {
    /// Whether a task of this size found room when the summary was made.
    pub fn has_hole(&self, size: &sizes::Resources) -> bool {
        self.holes.iter().any(|hole| hole.holds(size))
    }
}

/// Makes an entry instance's summaries.
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

/// The largest by each dimension, the others breaking ties.
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
struct View {
    summary: Summary,
    at: time::Instant,
}

/// What peers told last.
#[derive(Clone, Debug, Default)]
pub struct PeerViews {
    views: IndexMap<ids::MemberId, View>,
}

impl PeerViews {
    /// Takes a summary over, its use into `shares`.
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
        let view = View { summary, at: now };
        self.views.insert(from.clone(), view);
    }

    /// Forgets a peer that is gone.
    pub fn remove(&mut self, peer: &ids::MemberId, shares: &mut shares::Shares) {
        self.views.swap_remove(peer);
        shares.remove_peer(peer);
    }

    /// The last summary of a peer.
    pub fn get(&self, peer: &ids::MemberId) -> Option<&Summary> {
        self.views.get(peer).map(|view| &view.summary)
    }

    /// A peer that has room for a task: of two drawn by chance among those
    /// with a hole, the one with the larger share free.
    pub fn pick(
        &self,
        size: &sizes::Resources,
        now: time::Instant,
        rng: &mut impl rand::Rng,
    ) -> Option<&ids::MemberId> {
        let fresh = |view: &View| now.saturating_duration_since(view.at) <= MAX_AGE;
        let roomy: Vec<_> = self
            .views
            .iter()
            .filter(|(_, view)| fresh(view) && view.summary.has_hole(size))
            .collect();
        if roomy.is_empty() {
            return None;
        }
        let (a, b) = (
            roomy[rng.random_range(0..roomy.len())],
            roomy[rng.random_range(0..roomy.len())],
        );
        let share = |view: &View| view.summary.free.dominant_share(&view.summary.capacity);
        let better = if share(a.1) >= share(b.1) { a } else { b };
        Some(better.0)
    }

    /// Takes over that a task was sent to a peer, until its next summary.
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
