//! Fair queue of one service at a holder.
//!
//! Order is decided on three levels. Between urgencies, the most urgent request
//! goes first, except that every [`QueueConfig::low_urgency_every`]th grant goes
//! to the least urgent one that waits, so that best-effort requests are slowed
//! but never starved. Within an urgency, owners take turns by deficit round robin
//! with the weights of the catalogue. Within an owner, the earliest deadline goes
//! first. All requests have the same cost in the round robin, because each takes
//! one slot for a time that is not known in advance.
//!
//! A request that was queued leaves only by a grant, a cancellation or its
//! deadline. The dispatcher bounds the number of waiting requests and refuses new
//! ones when the queue is full.

use std::collections::BTreeMap;
use std::time;

use figscale_types::catalogue;
use figscale_types::ids;
use indexmap::IndexMap;

/// Identifies a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Settings of a queue.
#[derive(Clone, Copy, Debug)]
pub struct QueueConfig {
    /// Interval, in grants, at which the least urgent waiting request goes first.
    /// Default 8.
    pub low_urgency_every: u32,
}

impl Default for QueueConfig {
    fn default() -> Self {
        Self {
            low_urgency_every: 8,
        }
    }
}

/// A request that waits for a slot.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// Identifies the request.
    pub ticket: Ticket,
    /// Owner on whose behalf the request is made.
    pub owner: ids::OwnerName,
    /// The owner's weight.
    pub weight: u32,
    /// Urgency.
    pub urgency: catalogue::Urgency,
    /// When its caller stops waiting.
    pub deadline: time::Instant,
}

type Key = (time::Instant, Ticket);

#[derive(Clone, Debug, Default)]
struct OwnerQueue {
    weight: u32,
    deficit: u32,
    waiting: BTreeMap<Key, ()>,
}

/// Owners with waiting requests of one urgency, in round-robin order.
#[derive(Clone, Debug, Default)]
struct Level {
    owners: IndexMap<ids::OwnerName, OwnerQueue>,
    next_owner: usize,
}

impl Level {
    fn push(&mut self, waiting: &Waiting) {
        let owner_queue = self.owners.entry(waiting.owner.clone()).or_default();
        owner_queue.weight = waiting.weight.max(1);
        owner_queue
            .waiting
            .insert((waiting.deadline, waiting.ticket), ());
    }

    /// The next request by deficit round robin, without removing it.
    fn peek(&mut self) -> Option<(usize, Key)> {
        let count = self.owners.len();
        if count == 0 {
            return None;
        }
        self.next_owner %= count;
        let (_, owner_queue) = self.owners.get_index_mut(self.next_owner)?;
        if owner_queue.deficit == 0 {
            owner_queue.deficit = owner_queue.weight;
        }
        let (key, ()) = owner_queue.waiting.first_key_value()?;
        Some((self.next_owner, *key))
    }

    fn pop(&mut self) -> Option<Key> {
        let (index, key) = self.peek()?;
        let (_, owner_queue) = self.owners.get_index_mut(index)?;
        owner_queue.deficit -= 1;
        let quantum_used = owner_queue.deficit == 0;
        let owner_removed = self.remove(index, key);
        if quantum_used && !owner_removed {
            self.next_owner = index + 1;
        }
        Some(key)
    }

    /// Removes a request, and its owner if that has none left, so that an idle
    /// owner accumulates no deficit. Returns whether the owner was removed.
    fn remove(&mut self, index: usize, key: Key) -> bool {
        let Some((_, owner_queue)) = self.owners.get_index_mut(index) else {
            return false;
        };
        owner_queue.waiting.remove(&key);
        let owner_removed = owner_queue.waiting.is_empty();
        if owner_removed {
            self.owners.shift_remove_index(index);
            if index < self.next_owner {
                self.next_owner -= 1;
            }
        }
        owner_removed
    }

    fn is_empty(&self) -> bool {
        self.owners.is_empty()
    }

    fn len(&self) -> usize {
        self.owners
            .values()
            .map(|owner_queue| owner_queue.waiting.len())
            .sum()
    }
}

/// Requests that wait for a slot of one service.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    config: QueueConfig,
    levels: [Level; 3],
    positions: IndexMap<Ticket, (usize, ids::OwnerName, time::Instant)>,
    deadlines: BTreeMap<Key, ()>,
    grants: u32,
}

pub(crate) fn level_of(urgency: catalogue::Urgency) -> usize {
    match urgency {
        catalogue::Urgency::Interactive => 0,
        catalogue::Urgency::Deadline => 1,
        catalogue::Urgency::BestEffort => 2,
    }
}

pub(crate) const URGENCIES: [catalogue::Urgency; 3] = [
    catalogue::Urgency::Interactive,
    catalogue::Urgency::Deadline,
    catalogue::Urgency::BestEffort,
];

impl FairQueue {
    /// Creates an empty queue.
    pub fn new(config: QueueConfig) -> Self {
        Self {
            config,
            ..Self::default()
        }
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Number of waiting requests that are as urgent or more urgent.
    pub fn ahead_of(&self, urgency: catalogue::Urgency) -> usize {
        let levels = &self.levels[..=level_of(urgency)];
        levels.iter().map(Level::len).sum()
    }

    /// Number of waiting requests of this urgency.
    pub fn len_of(&self, urgency: catalogue::Urgency) -> usize {
        self.levels[level_of(urgency)].len()
    }

    /// Adds a request.
    pub fn push(&mut self, waiting: &Waiting) {
        let level = level_of(waiting.urgency);
        self.levels[level].push(waiting);
        let position = (level, waiting.owner.clone(), waiting.deadline);
        self.positions.insert(waiting.ticket, position);
        self.deadlines
            .insert((waiting.deadline, waiting.ticket), ());
    }

    /// Removes a cancelled request; `false` if it is not in the queue.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let Some((level, owner, deadline)) = self.positions.swap_remove(&ticket) else {
            return false;
        };
        let key = (deadline, ticket);
        self.deadlines.remove(&key);
        let level = &mut self.levels[level];
        if let Some(index) = level.owners.get_index_of(&owner) {
            level.remove(index, key);
        }
        true
    }

    /// Removes the next request, among the urgencies for which `allowed` is true.
    pub fn pop(&mut self, allowed: impl Fn(catalogue::Urgency) -> bool) -> Option<Ticket> {
        let open = |index: &usize| !self.levels[*index].is_empty() && allowed(URGENCIES[*index]);
        let every = self.config.low_urgency_every.max(1);
        let low_urgency_first = self.grants > 0 && self.grants.is_multiple_of(every);
        let chosen = match low_urgency_first {
            true => (0..self.levels.len()).rev().find(open),
            false => (0..self.levels.len()).find(open),
        }?;
        let (deadline, ticket) = self.levels[chosen].pop()?;
        self.grants = self.grants.wrapping_add(1);
        self.positions.swap_remove(&ticket);
        self.deadlines.remove(&(deadline, ticket));
        Some(ticket)
    }

    /// Removes every request whose deadline has passed.
    pub fn expire(&mut self, now: time::Instant) -> Vec<Ticket> {
        let mut expired = Vec::new();
        while let Some((&(deadline, ticket), ())) = self.deadlines.first_key_value()
            && deadline <= now
        {
            self.cancel(ticket);
            expired.push(ticket);
        }
        expired
    }

    /// The earliest deadline of a waiting request.
    pub fn next_deadline(&self) -> Option<time::Instant> {
        self.deadlines.keys().next().map(|(deadline, _)| *deadline)
    }
}
