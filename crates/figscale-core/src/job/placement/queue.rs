//! The waiting work and its order.
//!
//! Tasks of a job are alike, so the queue has one group per job: cancelling a job of
//! 10,000 tasks removes one group, and if one task does not fit, neither do the others
//! of its job. Every pass ranks all groups again, by [`Level`] first:
//!
//! 1. interactive work, by fair share among owners;
//! 2. work that misses its deadline unless it starts soon, earliest first;
//! 3. other work with a deadline, by fair share, earliest first within an owner;
//! 4. best-effort work that has waited long, by fair share, oldest first within an
//!    owner;
//! 5. other best-effort work, by fair share.
//!
//! Work that can no longer meet its deadline ranks with level 4, so that it does not
//! make other work miss its deadline as well. One placement in
//! [`QueueConfig::aged_every`] goes to level 4 first, so that aged work is not starved
//! by a stream of urgent work.

use std::time;

use figscale_types::catalogue;
use figscale_types::ids;
use figscale_types::sizes;
use indexmap::IndexMap;
use indexmap::IndexSet;

use super::work;

/// A job that has waiting tasks.
#[derive(Clone, Debug, PartialEq)]
pub struct Work {
    /// The job.
    pub job: ids::JobId,
    /// Owner whose quota and share it counts towards.
    pub owner: ids::OwnerName,
    /// Whether its tasks are independent, start together or form a service.
    pub class: catalogue::JobClass,
    /// Urgency of its tasks.
    pub urgency: catalogue::Urgency,
    /// Resources to reserve for a task: the larger of the declared and the learned
    /// size.
    pub size: sizes::Resources,
    /// Size of a task declared by the job.
    pub declared: sizes::Resources,
    /// How its tasks may be interrupted once they run.
    pub interruptibility: work::Interruptibility,
    /// When it was first queued; unchanged when a task is queued again.
    pub queued_at: time::Instant,
    /// Deadline for its end.
    pub deadline: Option<time::Instant>,
    /// Expected run time of a task.
    pub run: time::Duration,
}

/// A waiting task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pending {
    /// Index within the job.
    pub index: u32,
    /// Number of the next attempt, from 1.
    pub attempt: u32,
    /// Workers on which it failed before.
    pub avoid: Vec<ids::InstanceId>,
}

impl Pending {
    /// A task without earlier attempts.
    pub fn first(index: u32) -> Self {
        Self {
            index,
            attempt: 1,
            avoid: Vec::new(),
        }
    }
}

/// Parameters of the ranking.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueConfig {
    /// Waiting time after which best-effort work is aged and ranks higher. Default
    /// 10 min.
    pub ageing: time::Duration,
    /// How long before its latest possible start work with a deadline is due and
    /// ranks higher. Default 30 s.
    pub due_margin: time::Duration,
    /// One placement in this number goes to aged work first; 0: none. Default 8.
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

/// Rank of waiting work; the lowest is placed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Level {
    /// A caller waits for the result.
    Interactive,
    /// It misses its deadline unless it starts soon.
    Due,
    /// It has a deadline that is not near.
    Deadline,
    /// It has waited long, or can no longer meet its deadline.
    Aged,
    /// Other best-effort work.
    BestEffort,
}

/// The waiting tasks of a job.
#[derive(Clone, Debug)]
pub(super) struct Group {
    pub(super) work: Work,
    /// Waiting tasks by descending index; the last one is placed first.
    pub(super) pending: Vec<Pending>,
    /// Order of arrival.
    pub(super) seq: u64,
    /// Index of the owner in [`Queue::owners`].
    pub(super) owner: usize,
}

/// All waiting work.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    pub(super) config: QueueConfig,
    pub(super) groups: IndexMap<ids::JobId, Group>,
    /// Every owner that has ever had work in this queue.
    pub(super) owners: IndexSet<ids::OwnerName>,
    next_seq: u64,
    tasks: usize,
}

impl Queue {
    /// Creates an empty queue.
    pub fn new(config: QueueConfig) -> Self {
        Self {
            config,
            ..Self::default()
        }
    }

    /// Adds tasks of a job; `work` replaces the earlier description of the job.
    ///
    /// A task that is waiting already is not added again.
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
        // Tasks are taken from the end, so that the lowest index is first.
        group
            .pending
            .sort_by_key(|task| std::cmp::Reverse(task.index));
        group.pending.dedup_by_key(|task| task.index);
        self.tasks += group.pending.len() - before;
        self.next_seq += 1;
    }

    /// Removes all waiting tasks of a job; returns their number.
    pub fn cancel(&mut self, job: &ids::JobId) -> usize {
        let group = self.groups.swap_remove(job);
        let dropped = group.map_or(0, |group| group.pending.len());
        self.tasks -= dropped;
        dropped
    }

    /// Removes one waiting task of a job; returns whether it was waiting.
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

    /// Whether no task is waiting.
    pub fn is_empty(&self) -> bool {
        self.tasks == 0
    }

    /// The waiting jobs with their numbers of waiting tasks.
    pub fn jobs(&self) -> impl ExactSizeIterator<Item = (&Work, usize)> {
        self.groups.values().map(|g| (&g.work, g.pending.len()))
    }

    /// The description of a waiting job.
    pub fn work(&self, job: &ids::JobId) -> Option<&Work> {
        self.groups.get(job).map(|group| &group.work)
    }

    /// Removes the next tasks of the group at an index. The group itself stays
    /// until [`Queue::drop_empty`], so that indices of groups remain valid.
    pub(super) fn take_at(&mut self, position: usize, count: usize) {
        if let Some((_, group)) = self.groups.get_index_mut(position) {
            let left = group.pending.len().saturating_sub(count);
            self.tasks -= group.pending.len() - left;
            group.pending.truncate(left);
        }
    }

    /// Removes the groups without tasks.
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
    /// Rank of the work at `now`.
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

    /// The request to place the task `pending`.
    pub fn request(&self, pending: &Pending) -> work::PlacementRequest {
        work::PlacementRequest {
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
            interruptibility: self.interruptibility,
            avoid: pending.avoid.clone(),
        }
    }
}
