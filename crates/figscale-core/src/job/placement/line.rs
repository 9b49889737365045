//! The order of one pass over the waiting work.
//!
//! Built once per pass from the queue: by level, and within a level either one
//! list for all or, where owners take turns by fair share, one per owner.

use std::time;

use figscale_types::sizes;

use super::cluster;
use super::queue;
use super::shares;

const LEVELS: [queue::Level; 5] = [
    queue::Level::Interactive,
    queue::Level::Due,
    queue::Level::Deadline,
    queue::Level::Aged,
    queue::Level::BestEffort,
];

/// Sort key of a group: its rank in time, its arrival, its place in the queue.
type Key = (time::Instant, u64, usize);

/// Groups in order, of which a prefix is dealt with.
#[derive(Debug)]
struct List {
    /// Position of the owner in the queue; the first one's where all share it.
    owner: usize,
    keys: Vec<Key>,
    done: usize,
}

impl List {
    fn head(&self) -> Option<usize> {
        self.keys.get(self.done).map(|(_, _, group)| *group)
    }
}

/// Lists of one level; those dealt with are dropped.
#[derive(Debug, Default)]
struct Tier {
    lists: Vec<List>,
    /// Where each owner's list stands while the tier is built.
    by_owner: Vec<Option<usize>>,
}

impl Tier {
    fn add(&mut self, owner: usize, key: Key) {
        if self.by_owner.len() <= owner {
            self.by_owner.resize(owner + 1, None);
        }
        let at = *self.by_owner[owner].get_or_insert_with(|| {
            self.lists.push(List {
                owner,
                keys: Vec::new(),
                done: 0,
            });
            self.lists.len() - 1
        });
        self.lists[at].keys.push(key);
    }
}

/// A group that is next, and the list that it heads.
#[derive(Clone, Copy, Debug)]
pub(super) struct Head {
    /// Position of the group in the queue.
    pub(super) group: usize,
    pub(super) level: queue::Level,
    list: usize,
}

/// All waiting groups in the order of one pass.
#[derive(Debug)]
pub(super) struct Line {
    tiers: [Tier; LEVELS.len()],
    /// Dominant share by weight, by the owner's position in the queue.
    shares: Vec<f64>,
    /// Placements so far.
    placed: u32,
    aged_every: u32,
}

impl Line {
    pub(super) fn new(
        queue: &queue::Queue,
        cluster: &cluster::Cluster,
        shares: &shares::Shares,
        now: time::Instant,
    ) -> Self {
        let none = sizes::Resources::default();
        let share = |owner| shares.share(owner, cluster, &none);
        let mut line = Self {
            tiers: Default::default(),
            shares: queue.owners.iter().map(share).collect(),
            placed: 0,
            aged_every: queue.config.aged_every,
        };
        for (position, group) in queue.groups.values().enumerate() {
            let level = group.work.level(now, &queue.config);
            let owner = if is_fair(level) { group.owner } else { 0 };
            let key = (rank(&group.work, level), group.seq, position);
            line.tiers[level as usize].add(owner, key);
        }
        for list in line.tiers.iter_mut().flat_map(|tier| &mut tier.lists) {
            list.keys.sort_unstable();
        }
        line
    }

    /// The group whose turn it is.
    pub(super) fn next(&self) -> Option<Head> {
        if self.aged_every > 0 && (self.placed + 1).is_multiple_of(self.aged_every) {
            let aged = self.head_of(queue::Level::Aged);
            if aged.is_some() {
                return aged;
            }
        }
        LEVELS.into_iter().find_map(|level| self.head_of(level))
    }

    /// Moves on from the head of a list, past all groups for which `skip` holds.
    pub(super) fn advance(&mut self, head: Head, skip: impl Fn(usize) -> bool) {
        let lists = &mut self.tiers[head.level as usize].lists;
        let Some(list) = lists.get_mut(head.list) else {
            return;
        };
        list.done += 1;
        while list.head().is_some_and(&skip) {
            list.done += 1;
        }
        if list.head().is_none() {
            lists.swap_remove(head.list);
        }
    }

    /// Counts a placement and takes over the new share of the owner at this
    /// position in the queue.
    pub(super) fn count_placed(&mut self, owner: usize, share: f64) {
        self.placed += 1;
        if let Some(known) = self.shares.get_mut(owner) {
            *known = share;
        }
    }

    /// The head of the owner with the smallest share.
    fn head_of(&self, level: queue::Level) -> Option<Head> {
        let share = |list: &List| self.shares.get(list.owner).copied().unwrap_or(0.0);
        let lists = self.tiers[level as usize].lists.iter().enumerate();
        let (list, least) = lists.min_by(|a, b| share(a.1).total_cmp(&share(b.1)))?;
        let group = least.head()?;
        Some(Head { group, level, list })
    }
}

/// Whether owners take turns at a level: but where a deadline is near.
fn is_fair(level: queue::Level) -> bool {
    level != queue::Level::Due
}

/// Rank in time within a list: the deadline, or since when it waits.
fn rank(work: &queue::Work, level: queue::Level) -> time::Instant {
    match (level, work.deadline) {
        (queue::Level::Due | queue::Level::Deadline, Some(deadline)) => deadline,
        _ => work.queued_at,
    }
}
