//! The queue of one service at a holder.
//!
//! Three levels. Between urgencies, the more urgent one goes first, except that
//! every [`QueueConfig::lesser_every`]th grant goes to the least urgent one that
//! waits, so that best-effort work is slowed and never stopped. Inside an urgency, owners take turns by
//! deficit round robin, weighted by the catalogue. Inside an owner, the earliest
//! deadline goes first. All requests cost the same in the round robin: a slot
//! for a time that nobody knows beforehand.
//!
//! The queue is bounded by count and refuses when full; it never drops what it
//! took except at its deadline.

use std::collections::BTreeMap;
use std::time;

use figscale_types::catalogue;
use figscale_types::ids;
use indexmap::IndexMap;

/// Names a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Settings of a queue.
#[derive(Clone, Copy, Debug)]
pub struct QueueConfig {
    /// Every how manyth grant goes to the least urgent that waits. Default 8.
    pub lesser_every: u32,
}

impl Default for QueueConfig {
    fn default() -> Self {
        Self { lesser_every: 8 }
    }
}

/// A request that waits for a slot.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// Its name.
    pub ticket: Ticket,
    /// Owner on whose behalf it is asked.
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
struct OwnerLine {
    weight: u32,
    deficit: u32,
    waiting: BTreeMap<Key, ()>,
}

/// Owners of one urgency, in the order of their turns.
#[derive(Clone, Debug, Default)]
struct Level {
    owners: IndexMap<ids::OwnerName, OwnerLine>,
    turn: usize,
}

impl Level {
    fn push(&mut self, waiting: &Waiting) {
        let line = self.owners.entry(waiting.owner.clone()).or_default();
        line.weight = waiting.weight.max(1);
        line.waiting.insert((waiting.deadline, waiting.ticket), ());
    }

    /// The next request by deficit round robin, left in place.
    fn peek(&mut self) -> Option<(usize, Key)> {
        let count = self.owners.len();
        if count == 0 {
            return None;
        }
        self.turn %= count;
        let (_, line) = self.owners.get_index_mut(self.turn)?;
        if line.deficit == 0 {
            line.deficit = line.weight;
        }
        let (key, ()) = line.waiting.first_key_value()?;
        Some((self.turn, *key))
    }

    fn pop(&mut self) -> Option<Key> {
        let (index, key) = self.peek()?;
        let (_, line) = self.owners.get_index_mut(index)?;
        line.deficit -= 1;
        let spent = line.deficit == 0;
        let gone = self.remove(index, key);
        if spent && !gone {
            self.turn = index + 1;
        }
        Some(key)
    }

    /// Takes a request out and forgets an owner that has none left, so that an
    /// idle owner saves up no turns; answers whether the owner is gone.
    fn remove(&mut self, index: usize, key: Key) -> bool {
        let Some((_, line)) = self.owners.get_index_mut(index) else {
            return false;
        };
        line.waiting.remove(&key);
        let gone = line.waiting.is_empty();
        if gone {
            self.owners.shift_remove_index(index);
            if index < self.turn {
                self.turn -= 1;
            }
        }
        gone
    }

    fn is_empty(&self) -> bool {
        self.owners.is_empty()
    }

    fn len(&self) -> usize {
        self.owners.values().map(|line| line.waiting.len()).sum()
    }
}

/// Requests that wait for a slot of one service.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    config: QueueConfig,
    levels: [Level; 3],
    places: IndexMap<Ticket, (usize, ids::OwnerName, time::Instant)>,
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
    /// An empty queue.
    pub fn new(config: QueueConfig) -> Self {
        Self {
            config,
            ..Self::default()
        }
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Number of waiting requests that would go before one of this urgency.
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
        let place = (level, waiting.owner.clone(), waiting.deadline);
        self.places.insert(waiting.ticket, place);
        self.deadlines
            .insert((waiting.deadline, waiting.ticket), ());
    }

    /// Takes out a request whose caller gave up; `false` when it is not here.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let Some((level, owner, deadline)) = self.places.swap_remove(&ticket) else {
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

    /// Takes the next request among the urgencies that `allowed` admits.
    pub fn pop(&mut self, allowed: impl Fn(catalogue::Urgency) -> bool) -> Option<Ticket> {
        let open = |index: &usize| !self.levels[*index].is_empty() && allowed(URGENCIES[*index]);
        let every = self.config.lesser_every.max(1);
        let turn_of_lesser = self.grants > 0 && self.grants.is_multiple_of(every);
        let chosen = match turn_of_lesser {
            true => (0..self.levels.len()).rev().find(open),
            false => (0..self.levels.len()).find(open),
        }?;
        let (deadline, ticket) = self.levels[chosen].pop()?;
        self.grants = self.grants.wrapping_add(1);
        self.places.swap_remove(&ticket);
        self.deadlines.remove(&(deadline, ticket));
        Some(ticket)
    }

    /// Takes out every request whose deadline has come.
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
