//! Ids of jobs that were cancelled while no such job was known.
//!
//! A submission may arrive after the cancel of its job: it was delayed in a paused
//! instance, on the network, or on its way to an earlier leader. That no job is known
//! when the cancel arrives does not show that none will come. So the id is recorded
//! before the cancel is acknowledged, and a later submission with it is rejected, by
//! this leader and by all later ones.
//!
//! A record holds a batch of ids. Each is written with the ids added since the last
//! write, and removed as a whole once its ids have been kept for long enough. So the
//! number of records, and the bytes written, stay small however many ids callers
//! cancel. The number of ids is limited, also for each customer; beyond that a cancel
//! of an unknown job is refused, since it could not be kept.

use std::time;

use figscale_types::fleet;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use super::lease;

/// Most ids known at a time.
const MAX_IDS: usize = 16_384;
/// Most ids known at a time that one customer has cancelled.
const MAX_IDS_OF_CUSTOMER: usize = 2_048;
/// Most ids in a batch. Its record, which is written again with each id added, takes
/// about ten bytes for each, and more where customers are named.
const MAX_BATCH_IDS: usize = 256;
/// Longest time for which ids are added to a batch, since it is kept until the last
/// of them expires.
const MAX_BATCH_AGE: time::Duration = time::Duration::from_secs(15);
/// Shortest time after which a refused cancel may be retried.
const MIN_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// An id, with the customer that cancelled it. A cancel by one customer does not
/// concern a job of another; without a customer it concerns all.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct CancelledId {
    pub(crate) job: fleet::JobId,
    pub(crate) customer: Option<fleet::CustomerName>,
}

/// Number of a batch; batches are numbered in the order in which they were begun.
pub(crate) type BatchNumber = u64;

/// Ids that share a record.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Batch {
    ids: Vec<CancelledId>,
    /// Unix time at which the first id was added.
    begun_wall_ms: u64,
    /// Unix time at which the last id was added.
    last_wall_ms: u64,
}

/// Change of a record in a write in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum BatchChange {
    /// The last batch was written, with ids that it did not have before.
    Written(Vec<CancelledId>),
    /// A batch was removed.
    Removed(BatchNumber),
}

/// Result of cancelling an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdCancel {
    /// The cancel may be acknowledged once the records taken next are written.
    Recorded,
    /// Too many ids are kept. The cancel has no effect, and may be retried after this
    /// time, in whole seconds.
    Refused(time::Duration),
}

/// The cancelled ids of a leader.
#[derive(Clone, Debug, Default)]
pub(crate) struct CancelledIds {
    /// Each with whether it is known to be in the store.
    ids: IndexMap<CancelledId, bool>,
    /// Number of ids of each customer.
    counts: IndexMap<fleet::CustomerName, usize>,
    batches: IndexMap<BatchNumber, Batch>,
    /// Ids that are in no write yet, each with the Unix time of its cancel.
    waiting: Vec<(CancelledId, u64)>,
    /// Batches that have expired and whose record is to be removed.
    expired: Vec<BatchNumber>,
    /// Whether a write with one of the records is in flight. They are written one
    /// after the other, so that a record never loses ids to an earlier write.
    in_flight: bool,
}

impl CancelledIds {
    /// Number of ids known.
    pub(crate) fn len(&self) -> usize {
        self.ids.len()
    }

    /// Whether a submission of a customer with this id is to be rejected.
    pub(crate) fn contains(
        &self,
        job: fleet::JobId,
        customer: Option<&fleet::CustomerName>,
    ) -> bool {
        self.find(job, customer).is_some()
    }

    /// Whether such a submission is to be rejected and the store does not have the
    /// record of that yet.
    pub(crate) fn is_unwritten(
        &self,
        job: fleet::JobId,
        customer: Option<&fleet::CustomerName>,
    ) -> bool {
        self.find(job, customer) == Some(false)
    }

    /// Whether a cancel by a customer covers this id, and if so whether the store has
    /// the record of it.
    fn find(&self, job: fleet::JobId, customer: Option<&fleet::CustomerName>) -> Option<bool> {
        if self.ids.is_empty() {
            return None;
        }
        let of = |customer: Option<&fleet::CustomerName>| {
            let customer = customer.cloned();
            self.ids.get(&CancelledId { job, customer }).copied()
        };
        let everyones = of(None);
        match customer {
            Some(_) if everyones != Some(true) => of(customer).or(everyones),
            _ => everyones,
        }
    }

    /// Adds an id, unless the limits forbid it.
    pub(crate) fn cancel(
        &mut self,
        id: CancelledId,
        wall_ms: u64,
        retention: time::Duration,
    ) -> IdCancel {
        if self.contains(id.job, id.customer.as_ref()) {
            return IdCancel::Recorded;
        }
        let of_customer = id.customer.as_ref().and_then(|name| self.counts.get(name));
        let is_full = self.ids.len() >= MAX_IDS
            || of_customer.is_some_and(|count| *count >= MAX_IDS_OF_CUSTOMER);
        if is_full {
            return IdCancel::Refused(self.retry_after(wall_ms, retention));
        }
        self.insert(id, wall_ms);
        IdCancel::Recorded
    }

    /// Adds an id whose cancel was taken already.
    pub(crate) fn insert(&mut self, id: CancelledId, wall_ms: u64) {
        if self.ids.contains_key(&id) {
            return;
        }
        self.count(&id);
        self.ids.insert(id.clone(), false);
        self.waiting.push((id, wall_ms));
    }

    /// Time until the oldest batch expires, in whole seconds.
    fn retry_after(&self, wall_ms: u64, retention: time::Duration) -> time::Duration {
        let oldest = self.batches.values().next();
        let expires_ms = oldest.map_or(wall_ms, |batch| {
            batch.last_wall_ms.saturating_add(lease::millis(retention))
        });
        let wait_s = expires_ms.saturating_sub(wall_ms).div_ceil(1_000);
        time::Duration::from_secs(wait_s).max(MIN_RETRY_AFTER)
    }

    /// Whether a record is to be written or removed.
    pub(crate) fn is_due(&self) -> bool {
        let is_unchanged = self.waiting.is_empty() && self.expired.is_empty();
        !self.in_flight && !is_unchanged
    }

    /// Whether a caller waits for a record to be written.
    pub(crate) fn is_awaited(&self) -> bool {
        !self.in_flight && !self.waiting.is_empty()
    }

    /// Takes the next change of a record, with its batch's number and the batch, `None`
    /// to remove the record. [`Self::written`] or [`Self::not_written`] has to follow.
    pub(crate) fn take(&mut self) -> Option<(BatchNumber, Option<&Batch>, BatchChange)> {
        if !self.is_due() {
            return None;
        }
        self.in_flight = true;
        if self.waiting.is_empty() {
            let number = self.expired.pop()?;
            return Some((number, None, BatchChange::Removed(number)));
        }
        let number = self.batch_for(self.waiting[0].1);
        let batch = self.batches.entry(number).or_default();
        let free = MAX_BATCH_IDS.saturating_sub(batch.ids.len());
        let taken = self.waiting.drain(..free.min(self.waiting.len()));
        let mut added = Vec::new();
        for (id, wall_ms) in taken {
            if batch.ids.is_empty() {
                batch.begun_wall_ms = wall_ms;
            }
            batch.last_wall_ms = batch.last_wall_ms.max(wall_ms);
            batch.ids.push(id.clone());
            added.push(id);
        }
        Some((number, Some(batch), BatchChange::Written(added)))
    }

    /// The batch to which an id that was cancelled at a Unix time is added.
    fn batch_for(&self, wall_ms: u64) -> BatchNumber {
        let max_age_ms = lease::millis(MAX_BATCH_AGE);
        match self.batches.last() {
            None => self.expired.iter().max().map_or(0, |number| number + 1),
            Some((number, batch))
                if batch.ids.len() < MAX_BATCH_IDS
                    && wall_ms.saturating_sub(batch.begun_wall_ms) <= max_age_ms =>
            {
                *number
            }
            Some((number, _)) => number + 1,
        }
    }

    /// Confirms that a change is in the store.
    pub(crate) fn written(&mut self, change: &BatchChange) {
        self.in_flight = false;
        if let BatchChange::Written(added) = change {
            for id in added {
                if let Some(stored) = self.ids.get_mut(id) {
                    *stored = true;
                }
            }
        }
    }

    /// Reports that a change is not in the store and will not be; it is taken again.
    pub(crate) fn not_written(&mut self, change: &BatchChange) {
        self.in_flight = false;
        match change {
            BatchChange::Removed(number) => self.expired.push(*number),
            BatchChange::Written(added) => {
                let Some((number, mut batch)) = self.batches.pop() else {
                    return;
                };
                let wall_ms = batch.last_wall_ms;
                batch.ids.truncate(batch.ids.len() - added.len());
                if !batch.ids.is_empty() {
                    self.batches.insert(number, batch);
                }
                let again = added.iter().map(|id| (id.clone(), wall_ms));
                self.waiting.splice(..0, again);
            }
        }
    }

    /// Drops the batches whose ids have all been kept for the retention time.
    pub(crate) fn drop_expired(&mut self, wall_ms: u64, retention: time::Duration) {
        let keep_ms = lease::millis(retention);
        let has_expired = |batch: &Batch| wall_ms.saturating_sub(batch.last_wall_ms) > keep_ms;
        while !self.in_flight
            && let Some((number, batch)) = self.batches.first()
            && has_expired(batch)
        {
            let number = *number;
            let batch = self.batches.shift_remove(&number).unwrap_or_default();
            for id in &batch.ids {
                self.forget(id);
            }
            self.expired.push(number);
        }
    }

    fn count(&mut self, id: &CancelledId) {
        if let Some(customer) = &id.customer {
            *self.counts.entry(customer.clone()).or_default() += 1;
        }
    }

    fn forget(&mut self, id: &CancelledId) {
        self.ids.swap_remove(id);
        if let Some(customer) = &id.customer
            && let Some(count) = self.counts.get_mut(customer)
        {
            *count -= 1;
            if *count == 0 {
                self.counts.swap_remove(customer);
            }
        }
    }

    /// Adds a batch that an earlier leader wrote. Batches may be loaded in any order.
    pub(crate) fn load(&mut self, number: BatchNumber, batch: Batch) {
        for id in &batch.ids {
            if self.ids.insert(id.clone(), true).is_none() {
                self.count(id);
            }
        }
        self.batches.insert_sorted(number, batch);
    }
}
