//! The order of one pass over the waiting work.
//!
//! Built once per pass from the queue: by level, and within a level either one
//! list for all or, where owners take turns by fair share, one per owner.

use std::time;

use figscale_types::ids;
use indexmap::IndexMap;

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
#[derive(Debug, Default)]
struct List {
    keys: Vec<Key>,
    done: usize,
    /// Dominant share of the owner by its weight.
    share: f64,
}

impl List {
    fn head(&self) -> Option<usize> {
        self.keys.get(self.done).map(|(_, _, group)| *group)
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
    /// By level; the key is `None` where one list is for all owners.
    levels: [IndexMap<Option<ids::OwnerName>, List>; LEVELS.len()],
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
        let mut line = Self {
            levels: Default::default(),
            placed: 0,
            aged_every: queue.config.aged_every,
        };
        for (position, group) in queue.groups.values().enumerate() {
            let work = &group.work;
            let level = work.level(now, &queue.config);
            let owner = is_fair(level).then(|| work.owner.clone());
            let key = (rank(work, level), group.seq, position);
            let lists = &mut line.levels[level as usize];
            lists.entry(owner).or_default().keys.push(key);
        }
        for lists in &mut line.levels {
            for (owner, list) in lists {
                list.keys.sort_unstable();
                if let Some(owner) = owner {
                    list.share = shares.share(owner, cluster, &Default::default());
                }
            }
        }
        line
    }

    /// The group whose turn it is.
    pub(super) fn next(&mut self) -> Option<Head> {
        if self.aged_every > 0 && (self.placed + 1).is_multiple_of(self.aged_every) {
            let aged = self.head_of(queue::Level::Aged);
            if aged.is_some() {
                return aged;
            }
        }
        LEVELS.into_iter().find_map(|level| self.head_of(level))
    }

    /// Moves on to the next group of the list.
    pub(super) fn advance(&mut self, head: Head) {
        if let Some(list) = self.list(head) {
            list.done += 1;
        }
    }

    /// Counts a placement and takes over the owner's new share.
    pub(super) fn count_placed(&mut self, head: Head, share: f64) {
        self.placed += 1;
        if let Some(list) = self.list(head) {
            list.share = share;
        }
    }

    fn list(&mut self, head: Head) -> Option<&mut List> {
        let lists = &mut self.levels[head.level as usize];
        lists.get_index_mut(head.list).map(|(_, list)| list)
    }

    /// The head of the owner with the smallest share.
    fn head_of(&self, level: queue::Level) -> Option<Head> {
        let heads = self.levels[level as usize].values().enumerate();
        let waiting = heads.filter_map(|(at, list)| Some((at, list.share, list.head()?)));
        let least = waiting.min_by(|a, b| a.1.total_cmp(&b.1));
        least.map(|(list, _, group)| Head { group, level, list })
    }
}

/// Whether owners take turns at a level.
fn is_fair(level: queue::Level) -> bool {
    use queue::Level::BestEffort;
    use queue::Level::Deadline;
    use queue::Level::Interactive;
    matches!(level, Interactive | Deadline | BestEffort)
}

/// Rank in time within a list: the deadline, or since when it waits.
fn rank(work: &queue::Work, level: queue::Level) -> time::Instant {
    match (level, work.deadline) {
        (queue::Level::Due | queue::Level::Deadline, Some(deadline)) => deadline,
        _ => work.queued_at,
    }
}
