//! The leader's writes to the store: several chains of transactions.
//!
//! Each chain has a head, a key that every transaction of the chain changes on
//! the condition that it is unchanged since the previous transaction. So a
//! transaction that was abandoned can never be executed after a later one, and
//! since a new leader changes all heads, a former leader can no longer write. A
//! transaction without an answer is sent again unchanged: at most one of the
//! attempts is executed, and the head shows whether one was.
//!
//! A chain has one transaction in flight at a time, with many records. One chain
//! alone was too slow with a store that takes 0.25 s for each answer: it carries
//! 116 records a second, and a burst of 107 jobs a second with their ends needs
//! twice that, so that short jobs waited 1.1 s for their record at the median.
//! The price of more chains is a larger transaction at each election.

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

/// Shortest time from the start of one attempt to the next.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(50);
/// How long a transaction that was certainly not executed is retried. Callers wait
/// about 500 ms for the outcome.
const MAX_RETRY_TIME: time::Duration = time::Duration::from_millis(120);
/// After this time without an answer to a transaction, the store is probed to find
/// out whether the answer was lost. The store answers within 4 ms, or 0.25 s when
/// it is slow.
const DOUBT_AFTER: time::Duration = time::Duration::from_millis(100);
/// Time between reads that probe whether the store answers.
const PROBE_PAUSE: time::Duration = time::Duration::from_millis(100);
/// Number of chains. A write may begin every 20 ms and takes 0.25 s with a slow
/// store; with eight chains a new job's record finds a free one after 30 ms. An
/// election has two entries for each head, so fifteen chains would fit into its
/// transaction.
pub(super) const CHAINS: usize = 8;
/// Entries for the chain's head: its expected revision and its new value.
const HEAD_ENTRIES: usize = 2;
/// Entry for the leader's key, which some transactions also write.
const LEAD_ENTRIES: usize = 1;
/// Maximum number of records in one transaction.
pub(super) const MAX_RECORDS: usize = store::MAX_TRANSACTION_ENTRIES - HEAD_ENTRIES - LEAD_ENTRIES;

/// The state of all heads, on which an election is conditional.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Heads {
    /// Latest term of leadership.
    pub(super) epoch: fleet::Epoch,
    /// The instance that led it; `None` if there was none.
    pub(super) leader: Option<ids::MemberId>,
    /// Revision of each chain's head; 0 where there is no head.
    pub(super) revisions: Vec<u64>,
    /// Processor capacity of the strongest instance known when the latest term was
    /// won, in thousandths of a core.
    pub(super) strongest_millis: u64,
    /// Number of instances known when it was won.
    pub(super) instances: usize,
    /// Whether a leader of an earlier term than that can't lead any more.
    pub(super) settled: bool,
}

impl Heads {
    /// Reads the heads from a listing of the store.
    pub(super) fn read(items: &[store::Item]) -> Self {
        let mut heads = Self {
            epoch: fleet::Epoch(0),
            leader: None,
            revisions: vec![0; CHAINS],
            strongest_millis: 0,
            instances: 0,
            settled: true,
        };
        for item in items {
            let chain = keys::chain_of(&item.key);
            if let Some(revision) = chain.and_then(|chain| heads.revisions.get_mut(chain)) {
                *revision = item.revision;
            }
            if let Some(head) = decode_head(item)
                && head.epoch >= heads.epoch
            {
                heads.settled = head.settled || (heads.settled && heads.epoch == head.epoch);
                heads.epoch = head.epoch;
                heads.instances = head.instances;
                heads.leader = Some(head.leader.id);
                heads.strongest_millis = head.strongest_millis;
            }
        }
        heads
    }
}

/// A chain's head: identifies the chain's last transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Head {
    /// Term of leadership.
    pub(super) epoch: fleet::Epoch,
    /// The entry instance that made the last change as the leader, and its
    /// incarnation.
    pub(super) leader: ids::MemberKey,
    /// Number of transactions of this chain that the term has sent, with those that the
    /// store refused.
    pub(super) sequence: u64,
    /// Processor capacity of the strongest instance known when the term was
    /// won, in thousandths of a core; absent from heads written by earlier
    /// versions.
    #[serde(default)]
    pub(super) strongest_millis: u64,
    /// Number of instances that the winner knew of; absent likewise.
    #[serde(default)]
    pub(super) instances: usize,
    /// Whether no leader of an earlier term can lead any more; absent likewise.
    #[serde(default)]
    pub(super) settled: bool,
}

impl Head {
    /// Revision of the chain's head if `current`, the keys returned with a conflict,
    /// contains this head: then an earlier attempt of the transaction was executed.
    pub(super) fn revision_in(&self, chain: usize, current: &[store::Item]) -> Option<u64> {
        let key = keys::head(chain);
        let item = current.iter().find(|item| item.key == key)?;
        (decode_head(item).as_ref() == Some(self)).then_some(item.revision)
    }
}

/// How a transaction is known to have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Confirmation {
    /// The store answered that it executed it.
    Answered,
    /// A later attempt found the head that it wrote.
    FoundInHead,
}

/// Why records were not written.
#[derive(Debug)]
pub(super) enum WriteError {
    /// Another leader has changed the heads, or a write that the store had refused has
    /// changed this one. What the store holds is not known, so this term is over.
    Deposed,
    /// The store is unavailable; nothing was written and nothing will be.
    NotWritten(CallError),
}

/// One chain of transactions, as written by one term.
#[derive(Clone)]
pub(super) struct Chain {
    number: usize,
    store: sync::Arc<access::Access>,
    /// Identifies the last transaction that was sent.
    head: Head,
    /// Revision of the head's last change.
    revision: u64,
}

impl Chain {
    /// Continues a chain from `head`, which was written at `revision`.
    pub(super) fn new(
        store: sync::Arc<access::Access>,
        number: usize,
        head: Head,
        revision: u64,
    ) -> Self {
        Self {
            number,
            store,
            head,
            revision,
        }
    }

    /// The chain's number, below `CHAINS`.
    pub(super) fn number(&self) -> usize {
        self.number
    }

    /// Records that no leader of an earlier term can lead any more, for the next write.
    pub(super) fn settle(&mut self) {
        self.head.settled = true;
    }

    /// Revision of the chain's head.
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// Number of the last transaction that was sent in this term.
    pub(super) fn sequence(&self) -> u64 {
        self.head.sequence
    }

    /// Writes records. `leader_key` is the value and lease for the leader's key if
    /// that is to be written too.
    pub(super) async fn write(
        &mut self,
        records: &[Record],
        leader_key: Option<(Vec<u8>, store::LeaseId)>,
        clock: &figscale_types::clock::SharedClock,
    ) -> Result<Confirmation, WriteError> {
        // A number is never used again, also after a transaction that was refused: if
        // it was executed nevertheless, its head must not confirm another one.
        self.head.sequence += 1;
        let next = self.head.clone();
        let mut transaction = self.transaction(&next, records, leader_key);
        let started = clock.now();
        let mut in_doubt = false;
        loop {
            let pause = tokio::time::sleep(RETRY_PAUSE);
            let error = match self.attempt(&transaction).await {
                Ok(store::Committed::Done { revision }) => {
                    self.revision = revision;
                    return Ok(Confirmation::Answered);
                }
                Ok(store::Committed::Conflict { current }) => return self.resolve(&current),
                Ok(store::Committed::LeaseEnded) if writes_leader_key(&transaction) => {
                    // The records matter more than the leader's key, which is
                    // written again with the next lease. The head is the same,
                    // so at most one of the two transactions is executed. The
                    // store has answered, if slowly, so this does not count as a
                    // failed attempt.
                    transaction.writes.retain(|(key, ..)| key != keys::LEAD);
                    continue;
                }
                Ok(store::Committed::LeaseEnded) => CallError::not_run("the lease has ended"),
                Err(error) => error,
            };
            in_doubt |= error.verdict != Verdict::NotRun;
            let elapsed = clock.now().saturating_duration_since(started);
            if !in_doubt && elapsed > MAX_RETRY_TIME {
                return Err(WriteError::NotWritten(error));
            }
            pause.await;
        }
    }

    /// Sends a transaction, and abandons the attempt if a read that was sent later
    /// is answered first: then the answer was lost, or the store is available
    /// again after an outage. With a third of the answers lost this saves 0.4 s
    /// of each lost one, the rest of its timeout; after an outage of the store it
    /// saves 0.4 s on average.
    async fn attempt(
        &self,
        transaction: &store::Transaction,
    ) -> Result<store::Committed, CallError> {
        tokio::select! {
            outcome = self.store.commit(transaction) => outcome,
            () = self.later_read_answered() => Err(CallError::may_have_run(
                "a read that was sent later was answered first",
            )),
        }
    }

    /// Completes once a later read was answered so quickly that the write should
    /// have been answered too. A store that is slow for all calls does not count
    /// as having lost the answer.
    async fn later_read_answered(&self) {
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

    /// Time that the store took to answer a read; `None` if it did not.
    async fn timed_probe(&self) -> Option<time::Duration> {
        let begun = tokio::time::Instant::now();
        let answered = self.store.probe().await;
        answered.then(|| begun.elapsed())
    }

    /// Handles a head that is not as expected: changed by an earlier attempt of
    /// this transaction, by one that the store had refused, or by another leader.
    fn resolve(&mut self, current: &[store::Item]) -> Result<Confirmation, WriteError> {
        let revision = self.head.revision_in(self.number, current);
        self.revision = revision.ok_or(WriteError::Deposed)?;
        Ok(Confirmation::FoundInHead)
    }

    fn transaction(
        &self,
        next: &Head,
        records: &[Record],
        leader_key: Option<(Vec<u8>, store::LeaseId)>,
    ) -> store::Transaction {
        let key = keys::head(self.number);
        let mut transaction = store::Transaction {
            expected: vec![(key.clone(), self.revision)],
            writes: vec![(key, encode(next), None)],
            removals: Vec::new(),
        };
        if let Some((value, lease)) = leader_key {
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

/// Whether a transaction writes the leader's key.
fn writes_leader_key(transaction: &store::Transaction) -> bool {
    transaction.writes.iter().any(|(key, ..)| key == keys::LEAD)
}

/// The epoch in a chain head; `None` if it cannot be read.
pub(super) fn epoch_of(item: &store::Item) -> Option<fleet::Epoch> {
    decode_head(item).map(|head| head.epoch)
}

fn decode_head(item: &store::Item) -> Option<Head> {
    serde_json::from_slice(&item.value).ok()
}

/// Encodes a chain head or the value of the leader's key.
pub(super) fn encode<T: Serialize>(document: &T) -> Vec<u8> {
    // Encoding plain data into memory cannot fail.
    serde_json::to_vec(document).unwrap_or_default()
}
