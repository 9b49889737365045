//! Work that waits for a place, and its order.
//!
//! Tasks of a job are alike, so the queue keeps one group per job: cancelling
//! a job of 10,000 tasks drops one group, and a task that finds no room tells
//! the same for its siblings. Groups are ranked anew at the start of every
//! pass, by [`Level`] first:
//!
//! 1. interactive work, by fair share among owners;
//! 2. work that misses its deadline unless it starts soon, earliest first;
//! 3. other work with a deadline, by fair share, earliest first within an owner;
//! 4. best-effort work that waited long, by fair share, oldest first within an
//!    owner;
//! 5. other best-effort work, by fair share.
//!
//! Work whose deadline cannot be met any more ranks with level 4, so that it
//! does not take others down with it. Every few picks one of level 4 goes
//! first, so that nothing starves however much urgent work arrives.

use std::time;

use figscale_types::catalogue;
use figscale_types::ids;
use figscale_types::sizes;
use indexmap::IndexMap;
use indexmap::IndexSet;

use super::work;

/// A job that has tasks waiting.
#[derive(Clone, Debug, PartialEq)]
pub struct Work {
    /// The job.
    pub job: ids::JobId,
    /// Owner charged for it.
    pub owner: ids::OwnerName,
    /// How its tasks belong together.
    pub class: catalogue::JobClass,
    /// Urgency.
    pub urgency: catalogue::Urgency,
    /// Room to reserve for a task: the larger of declared and learned.
    pub size: sizes::Resources,
    /// Size as declared.
    pub declared: sizes::Resources,
    /// What may be done to its tasks once they run.
    pub guard: work::Guard,
    /// When it began to wait; kept when a task comes back.
    pub queued_at: time::Instant,
    /// When it must be done.
    pub deadline: Option<time::Instant>,
    /// Expected run time of a task.
    pub run: time::Duration,
}

/// A task that waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pending {
    /// Position within the job.
    pub index: u32,
    /// Attempt to begin, from 1.
    pub attempt: u32,
    /// Workers on which it failed before.
    pub avoid: Vec<ids::InstanceId>,
}

impl Pending {
    /// A task that was never tried.
    pub fn first(index: u32) -> Self {
        Self {
            index,
            attempt: 1,
            avoid: Vec::new(),
        }
    }
}

/// How waiting work is ranked.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueConfig {
    /// Wait after which best-effort work ranks higher. Default 10 min.
    pub ageing: time::Duration,
    /// How long before its latest start work with a deadline ranks higher.
    /// Default 30 s.
    pub due_margin: time::Duration,
    /// One pick in so many goes to work that waited long. Default 8.
    pub aged_every: u32,
}

impl Default for QueueConfig {
    fn default() -> Self {
        Self {
            ageing: time::Duration::from_secs(600),
            due_margin: time::Duration::from_secs(30),
            aged_every: 8,
        }
    }
}

/// Rank of waiting work; a lower one goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Level {
    /// Somebody waits for it.
    Interactive,
    /// It misses its deadline unless it starts soon.
    Due,
    /// It has a deadline and time left.
    Deadline,
    /// It waited long, or can no longer be in time.
    Aged,
    /// It may wait.
    BestEffort,
}

/// A job with its waiting tasks.
#[derive(Clone, Debug)]
pub(super) struct Group {
    pub(super) work: Work,
    /// Waiting tasks; the last one goes first.
    pub(super) pending: Vec<Pending>,
    /// Order of arrival.
    pub(super) seq: u64,
    /// Position of the owner among the queue's owners.
    pub(super) owner: usize,
}

/// All work that waits.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    pub(super) config: QueueConfig,
    pub(super) groups: IndexMap<ids::JobId, Group>,
    /// Every owner that ever had work here.
    pub(super) owners: IndexSet<ids::OwnerName>,
    next_seq: u64,
    tasks: usize,
}

impl Queue {
    /// A queue with nothing in it.
    pub fn new(config: QueueConfig) -> Self {
        Self {
            config,
            ..Self::default()
        }
    }

    /// Adds tasks of a job; `work` replaces what was known of the job.
    ///
    /// A task that waits already is not added again.
    pub fn push(&mut self, work: Work, tasks: impl IntoIterator<Item = Pending>) {
        let next_seq = self.next_seq;
        let owner = self.owners.insert_full(work.owner.clone()).0;
        let group = self
            .groups
            .entry(work.job.clone())
            .or_insert_with(|| Group {
                work: work.clone(),
                pending: Vec::new(),
                seq: next_seq,
                owner,
            });
        let before = group.pending.len();
        group.work = work;
        group.owner = owner;
        group.pending.extend(tasks);
        // Sorted so that the lowest index goes first, from the end.
        group
            .pending
            .sort_by_key(|task| std::cmp::Reverse(task.index));
        group.pending.dedup_by_key(|task| task.index);
        self.tasks += group.pending.len() - before;
        self.next_seq += 1;
    }

    /// Drops all waiting tasks of a job; returns how many there were.
    pub fn cancel(&mut self, job: &ids::JobId) -> usize {
        let group = self.groups.swap_remove(job);
        let dropped = group.map_or(0, |group| group.pending.len());
        self.tasks -= dropped;
        dropped
    }

    /// Drops one waiting task of a job.
    pub fn cancel_task(&mut self, task: &ids::TaskId) -> bool {
        let Some(group) = self.groups.get_mut(&task.job) else {
            return false;
        };
        let before = group.pending.len();
        group.pending.retain(|pending| pending.index != task.index);
        let dropped = before - group.pending.len();
        self.tasks -= dropped;
        self.drop_if_empty(&task.job);
        dropped > 0
    }

    /// Number of waiting tasks.
    pub fn len(&self) -> usize {
        self.tasks
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.tasks == 0
    }

    /// The waiting jobs with their numbers of waiting tasks.
    pub fn jobs(&self) -> impl ExactSizeIterator<Item = (&Work, usize)> {
        self.groups.values().map(|g| (&g.work, g.pending.len()))
    }

    /// What a waiting job asks for.
    pub fn work(&self, job: &ids::JobId) -> Option<&Work> {
        self.groups.get(job).map(|group| &group.work)
    }

    /// Takes the next tasks out of the group at a position. The group stays
    /// where it is until [`Queue::drop_empty`].
    pub(super) fn take_at(&mut self, position: usize, count: usize) {
        if let Some((_, group)) = self.groups.get_index_mut(position) {
            let left = group.pending.len().saturating_sub(count);
            self.tasks -= group.pending.len() - left;
            group.pending.truncate(left);
        }
    }

    /// Drops the groups of which no task is left.
    pub(super) fn drop_empty(&mut self) {
        self.groups.retain(|_, group| !group.pending.is_empty());
    }

    fn drop_if_empty(&mut self, job: &ids::JobId) {
        if self.groups.get(job).is_some_and(|g| g.pending.is_empty()) {
            self.groups.swap_remove(job);
        }
    }
}

impl Work {
    /// Its rank at `now`.
    pub fn level(&self, now: time::Instant, config: &QueueConfig) -> Level {
        let long = now.saturating_duration_since(self.queued_at) >= config.ageing;
        match (self.urgency, self.deadline) {
            (catalogue::Urgency::Interactive, _) => Level::Interactive,
            (catalogue::Urgency::BestEffort, _) if long => Level::Aged,
            (catalogue::Urgency::BestEffort, _) => Level::BestEffort,
            (catalogue::Urgency::Deadline, None) => Level::Deadline,
            (catalogue::Urgency::Deadline, Some(deadline)) => {
                let done = now + self.run;
                if done > deadline {
                    Level::Aged
                } else if done + config.due_margin > deadline {
                    Level::Due
                } else {
                    Level::Deadline
                }
            }
        }
    }

    /// The task `pending` as placement wants it.
    pub fn ask(&self, pending: &Pending) -> work::Ask {
        work::Ask {
            task: ids::TaskId {
                job: self.job.clone(),
                index: pending.index,
            },
            attempt: pending.attempt,
            owner: Some(self.owner.clone()),
            class: self.class,
            urgency: self.urgency,
            size: self.size,
            declared: self.declared,
            guard: self.guard,
            avoid: pending.avoid.clone(),
        }
    }
}
