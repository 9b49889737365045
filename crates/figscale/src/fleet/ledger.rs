//! The leader's writes: a few chains of transactions.
//!
//! Every transaction expects its chain's head as the last one left it and
//! changes it, so one that was given up can never be executed after a later
//! one; a new leader changes all heads, so one that was replaced can write
//! nothing. A transaction that got no answer is sent again as it was: either
//! is executed, never both, and the head tells which.
//!
//! A chain carries one transaction at a time, with many records. One chain
//! alone was too few beside a store that takes 0.25 s an answer: it carries 116
//! records a second, and a burst of 107 jobs a second with their ends is twice
//! that, so that quick jobs waited 1.1 s for their record at the median. The
//! price of more chains is a larger transaction at each election.

use std::sync;
use std::time;

use figscale_core::fleet::Record;
use figscale_platform::CallError;
use figscale_platform::store;
use figscale_types::fleet;
use figscale_types::ids;
use figscale_types::verdict::Verdict;
use futures_util::StreamExt as _;
use futures_util::stream;
use serde::Deserialize;
use serde::Serialize;

use super::access;
use super::keys;

/// Time between two attempts at least.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(50);
/// How long a transaction that was surely not executed is tried. Callers wait
/// some 500 ms for the outcome.
const MAX_TRYING: time::Duration = time::Duration::from_millis(120);
/// A transaction that takes longer is doubted; the store answers within 4 ms,
/// or 0.25 s on its slow days.
const DOUBT_AFTER: time::Duration = time::Duration::from_millis(100);
/// Time between reads that try whether the store answers.
const PROBE_PAUSE: time::Duration = time::Duration::from_millis(100);
/// Chains side by side. A write may begin each 20 ms and takes 0.25 s beside a
/// slow store; eight give a new job's record a free one after 30 ms. An
/// election names each head twice, so fifteen would fit.
pub(super) const CHAINS: usize = 8;
/// The head is expected and written.
const HEAD_ENTRIES: usize = 2;
/// The leader's key may be written along.
const LEAD_ENTRIES: usize = 1;
/// Records that fit into any transaction.
pub(super) const MAX_RECORDS: usize = store::MAX_TRANSACTION_ENTRIES - HEAD_ENTRIES - LEAD_ENTRIES;

/// What an election needs to know of all heads.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Heads {
    /// Latest term of leadership.
    pub(super) epoch: fleet::Epoch,
    /// Revision of each chain's head; 0 where there is none.
    pub(super) revisions: Vec<u64>,
    /// Most processor that was known when the latest term was won, in
    /// thousandths of a core.
    pub(super) strongest_millis: u64,
}

impl Heads {
    /// The heads as the store lists them.
    pub(super) fn read(items: &[store::Item]) -> Self {
        let mut heads = Self {
            epoch: fleet::Epoch(0),
            revisions: vec![0; CHAINS],
            strongest_millis: 0,
        };
        for item in items {
            let chain = keys::chain_of(&item.key);
            if let Some(revision) = chain.and_then(|chain| heads.revisions.get_mut(chain)) {
                *revision = item.revision;
            }
            if let Some(head) = decode_head(item)
                && head.epoch >= heads.epoch
            {
                heads.epoch = head.epoch;
                heads.strongest_millis = head.strongest_millis;
            }
        }
        heads
    }
}

/// A chain's head: who made the last change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Head {
    /// Term of leadership.
    pub(super) epoch: fleet::Epoch,
    /// The life of the entry instance that leads, or led.
    pub(super) leader: ids::MemberKey,
    /// Rises with each change of the term.
    pub(super) sequence: u64,
    /// Most processor that was known when the term was won, in thousandths of a
    /// core; absent from what earlier versions wrote.
    #[serde(default)]
    pub(super) strongest_millis: u64,
}

impl Head {
    /// Revision of this very head if a chain has it, by the keys that a refused
    /// transaction shows: an earlier try of the transaction was executed then.
    pub(super) fn revision_in(&self, chain: usize, current: &[store::Item]) -> Option<u64> {
        let key = keys::head(chain);
        let item = current.iter().find(|item| item.key == key)?;
        (decode_head(item).as_ref() == Some(self)).then_some(item.revision)
    }
}

/// Why records were not written.
#[derive(Debug)]
pub(super) enum WriteError {
    /// Another leader has changed the heads: this term is over.
    Deposed,
    /// The store is away; nothing was written and nothing will be.
    NotWritten(CallError),
}

/// One chain of one term.
#[derive(Clone)]
pub(super) struct Ledger {
    chain: usize,
    store: sync::Arc<access::Access>,
    head: Head,
    /// Revision of the head's last change.
    revision: u64,
}

impl Ledger {
    /// Continues a chain after the head that was written at `revision`.
    pub(super) fn new(
        store: sync::Arc<access::Access>,
        chain: usize,
        head: Head,
        revision: u64,
    ) -> Self {
        Self {
            chain,
            store,
            head,
            revision,
        }
    }

    /// Which chain it is.
    pub(super) fn chain(&self) -> usize {
        self.chain
    }

    /// Revision of the head as this term left it.
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// Writes records, and names the leader anew where a lease is given.
    pub(super) async fn write(
        &mut self,
        records: &[Record],
        lead: Option<(Vec<u8>, store::LeaseId)>,
        clock: &figscale_types::clock::SharedClock,
    ) -> Result<(), WriteError> {
        let next = Head {
            sequence: self.head.sequence + 1,
            ..self.head.clone()
        };
        let mut transaction = self.transaction(&next, records, lead);
        let started = clock.now();
        let mut in_doubt = false;
        loop {
            let pause = tokio::time::sleep(RETRY_PAUSE);
            let error = match self.attempt(&transaction).await {
                Ok(store::Committed::Done { revision }) => return self.advance(next, revision),
                Ok(store::Committed::Conflict { current }) => return self.settle(next, &current),
                Ok(store::Committed::LeaseEnded) if leads(&transaction) => {
                    // The records matter more than the leader's key, which the
                    // next lease brings back. The head is the same, so at most
                    // one of the two transactions is executed. The store has
                    // answered, however slowly, so this is no failed try.
                    transaction.writes.retain(|(key, ..)| key != keys::LEAD);
                    continue;
                }
                Ok(store::Committed::LeaseEnded) => CallError::not_run("the lease has ended"),
                Err(error) => error,
            };
            in_doubt |= error.verdict != Verdict::NotRun;
            let passed = clock.now().saturating_duration_since(started);
            if !in_doubt && passed > MAX_TRYING {
                return Err(WriteError::NotWritten(error));
            }
            pause.await;
        }
    }

    /// Sends a transaction, and gives the attempt up when a read that was sent
    /// later is answered first: the answer is lost then, or the store is back.
    /// With a third of the answers lost this saves 0.4 s of each lost one, the
    /// rest of its timeout; after a silence of the store 0.4 s on average.
    async fn attempt(
        &self,
        transaction: &store::Transaction,
    ) -> Result<store::Committed, CallError> {
        tokio::select! {
            outcome = self.store.commit(transaction) => outcome,
            () = self.a_later_answer() => Err(CallError::maybe("a later call was answered")),
        }
    }

    /// Completes once a later read was answered so quickly that the write would
    /// have been, too. A store that is slow for all is not doubted.
    async fn a_later_answer(&self) {
        let begun = tokio::time::Instant::now();
        tokio::time::sleep(DOUBT_AFTER).await;
        let mut probes = stream::FuturesUnordered::new();
        loop {
            probes.push(self.timed_probe());
            let pause = tokio::time::sleep(PROBE_PAUSE);
            tokio::pin!(pause);
            loop {
                tokio::select! {
                    Some(took) = probes.next() => if let Some(took) = took {
                        return tokio::time::sleep_until(begun + DOUBT_AFTER + 2 * took).await;
                    },
                    () = &mut pause => break,
                }
            }
        }
    }

    /// How long the store took to answer a read, if it did.
    async fn timed_probe(&self) -> Option<time::Duration> {
        let begun = tokio::time::Instant::now();
        let answered = self.store.probe().await;
        answered.then(|| begun.elapsed())
    }

    fn advance(&mut self, head: Head, revision: u64) -> Result<(), WriteError> {
        self.head = head;
        self.revision = revision;
        Ok(())
    }

    /// The head is not as expected: by this very transaction, or by another.
    fn settle(&mut self, next: Head, current: &[store::Item]) -> Result<(), WriteError> {
        match next.revision_in(self.chain, current) {
            Some(revision) => self.advance(next, revision),
            None => Err(WriteError::Deposed),
        }
    }

    fn transaction(
        &self,
        next: &Head,
        records: &[Record],
        lead: Option<(Vec<u8>, store::LeaseId)>,
    ) -> store::Transaction {
        let key = keys::head(self.chain);
        let mut transaction = store::Transaction {
            expected: vec![(key.clone(), self.revision)],
            writes: vec![(key, encode(next), None)],
            removals: Vec::new(),
        };
        if let Some((value, lease)) = lead {
            transaction
                .writes
                .push((keys::LEAD.to_owned(), value, Some(lease)));
        }
        for record in records {
            let key = keys::of_record(record.key);
            match &record.bytes {
                Some(bytes) => transaction.writes.push((key, bytes.clone(), None)),
                None => transaction.removals.push(key),
            }
        }
        transaction
    }
}

/// Whether a transaction names the leader anew, under a lease.
fn leads(transaction: &store::Transaction) -> bool {
    transaction.writes.iter().any(|(key, ..)| key == keys::LEAD)
}

/// Reads the head.
fn decode_head(item: &store::Item) -> Option<Head> {
    serde_json::from_slice(&item.value).ok()
}

/// Writes one of the small documents beside the records.
pub(super) fn encode<T: Serialize>(document: &T) -> Vec<u8> {
    // Plain data written to memory cannot fail.
    serde_json::to_vec(document).unwrap_or_default()
}
