//! The order in which one pass tries the waiting work.
//!
//! It is built from the queue at the start of a pass. Work is ordered by level.
//! Within a level there is one list per owner where owners take turns by fair share,
//! and a single list for all owners otherwise.

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

/// Sort key of a group: deadline or start of its wait, order of arrival, index
/// in the queue.
type Key = (time::Instant, u64, usize);

/// Groups in order, of which the first `done` have been processed.
#[derive(Debug)]
struct List {
    /// Index of the owner in the queue; 0 if the list is for all owners.
    owner: usize,
    keys: Vec<Key>,
    done: usize,
}

impl List {
    fn head(&self) -> Option<usize> {
        self.keys.get(self.done).map(|(_, _, group)| *group)
    }
}

/// Lists of one level; completed lists are removed.
#[derive(Debug, Default)]
struct LevelLists {
    lists: Vec<List>,
    /// Index in `lists` of each owner's list; valid only while the order is
    /// built, since completed lists are removed later.
    by_owner: Vec<Option<usize>>,
}

impl LevelLists {
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

/// The next group to try, and the list that it is first in.
#[derive(Clone, Copy, Debug)]
pub(super) struct Head {
    /// Index of the group in the queue.
    pub(super) group: usize,
    pub(super) level: queue::Level,
    list: usize,
}

/// All waiting groups in the order of one pass.
#[derive(Debug)]
pub(super) struct PassOrder {
    levels: [LevelLists; LEVELS.len()],
    /// Dominant share divided by weight, by the owner's index in the queue.
    shares: Vec<f64>,
    /// Number of placements in this pass.
    placed: u32,
    aged_every: u32,
}

impl PassOrder {
    pub(super) fn new(
        queue: &queue::Queue,
        cluster: &cluster::Cluster,
        shares: &shares::Shares,
        now: time::Instant,
    ) -> Self {
        let none = sizes::Resources::default();
        let share = |owner| shares.share(owner, cluster, &none);
        let mut order = Self {
            levels: Default::default(),
            shares: queue.owners.iter().map(share).collect(),
            placed: 0,
            aged_every: queue.config.aged_every,
        };
        for (position, group) in queue.groups.values().enumerate() {
            let level = group.work.level(now, &queue.config);
            let owner = if is_fair(level) { group.owner } else { 0 };
            let key = (rank(&group.work, level), group.seq, position);
            order.levels[level as usize].add(owner, key);
        }
        for list in order
            .levels
            .iter_mut()
            .flat_map(|level_lists| &mut level_lists.lists)
        {
            list.keys.sort_unstable();
        }
        order
    }

    /// The next group to try. Every `aged_every`-th placement is for aged work.
    pub(super) fn next(&self) -> Option<Head> {
        if self.aged_every > 0 && (self.placed + 1).is_multiple_of(self.aged_every) {
            let aged = self.head_of(queue::Level::Aged);
            if aged.is_some() {
                return aged;
            }
        }
        LEVELS.into_iter().find_map(|level| self.head_of(level))
    }

    /// Removes the head of a list, and the groups after it as long as `skip` is
    /// true for them.
    pub(super) fn advance(&mut self, head: Head, skip: impl Fn(usize) -> bool) {
        let lists = &mut self.levels[head.level as usize].lists;
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

    /// Counts a placement and updates the share of the owner with this index in
    /// the queue.
    pub(super) fn count_placed(&mut self, owner: usize, share: f64) {
        self.placed += 1;
        if let Some(known) = self.shares.get_mut(owner) {
            *known = share;
        }
    }

    /// First group of the owner with the smallest share.
    fn head_of(&self, level: queue::Level) -> Option<Head> {
        let share = |list: &List| self.shares.get(list.owner).copied().unwrap_or(0.0);
        let lists = self.levels[level as usize].lists.iter().enumerate();
        let (list, least) = lists.min_by(|a, b| share(a.1).total_cmp(&share(b.1)))?;
        let group = least.head()?;
        Some(Head { group, level, list })
    }
}

/// Whether owners take turns at a level. Work close to missing its deadline is
/// ordered by deadline alone.
fn is_fair(level: queue::Level) -> bool {
    level != queue::Level::Due
}

/// Position in time within a list: the deadline, or when the work was queued.
fn rank(work: &queue::Work, level: queue::Level) -> time::Instant {
    match (level, work.deadline) {
        (queue::Level::Due | queue::Level::Deadline, Some(deadline)) => deadline,
        _ => work.queued_at,
    }
}
