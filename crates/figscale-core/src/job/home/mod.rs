//! The home of jobs: holds one job shard, with its document and the queue of its
//! tasks.
//!
//! A job is accepted once the document that contains it is written. Placements
//! are not written: a later home learns them from the placers, which learn them
//! from the workers. The document also holds what no worker can report later:
//! ends, and for a task that must not run twice a mark before its start. Writes
//! are batched, so that their number does not grow with the number of tasks.
//!
//! The document is replaced by compare-and-swap. It carries the holder's epoch
//! and a sequence number, so that a write whose answer was lost is recognized
//! when the document is read back.
//!
//! The cost: after a change of holder, tasks that may have been placed wait until
//! every placer has sent a complete inventory.

mod events;
mod fairness;
mod gang;
mod job;
mod load;
mod outline;
mod placers;
mod queue;
mod recover;
mod reserved;
mod submit;
mod write;

use std::collections::BTreeSet;
use std::time;

use figscale_types::ids;
use figscale_types::jobs;
use figscale_types::operator;
use indexmap::IndexMap;

use super::message;

pub use outline::Outline;
pub use submit::Submission;
pub use write::ReadOutcome;
pub use write::WriteOutcome;

/// Time limits and bounds of a home.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Shortest time between two writes of the document. Default 200 ms.
    pub write_interval: time::Duration,
    /// Time from a failed call to the store to the next one. Default 500 ms.
    pub store_retry: time::Duration,
    /// Time after which a placer that had no capacity is probed. Default 100 ms.
    pub room_retry: time::Duration,
    /// Time after which an unanswered call is repeated. Default 300 ms.
    pub call_retry: time::Duration,
    /// Backoff after the first failure of a task; doubles with each one. Default 500 ms.
    pub backoff: time::Duration,
    /// Longest time for which an incomplete gang holds its reservations. Default 3 s.
    pub gang_timeout: time::Duration,
    /// Time after which tasks on a removed worker shard have lapsed. Default 20 s.
    pub removed_shard_lapse: time::Duration,
    /// Most orders in one call. Default 256.
    pub max_call_orders: usize,
    /// Largest total size of the retained jobs, by an estimate per job. Default 700,000.
    pub max_document_bytes: usize,
    /// Time for which ended jobs are retained. Default 1 hour.
    pub keep_ended_ms: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            write_interval: time::Duration::from_millis(200),
            store_retry: time::Duration::from_millis(500),
            room_retry: time::Duration::from_millis(100),
            call_retry: time::Duration::from_millis(300),
            backoff: time::Duration::from_millis(500),
            gang_timeout: time::Duration::from_secs(3),
            removed_shard_lapse: time::Duration::from_secs(20),
            max_call_orders: 256,
            max_document_bytes: 700_000,
            keep_ended_ms: 60 * 60 * 1_000,
        }
    }
}

/// The current time on both clocks.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// Monotonic clock, for intervals and timeouts.
    pub at: time::Instant,
    /// Wall clock in milliseconds since 1970, for deadlines and for times shown to users.
    pub unix_ms: u64,
}

/// Identifies a request that waits for its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReplyTo(pub u64);

/// The response to a request.
pub type Outcome = Result<jobs::JobStatus, operator::OperatorError>;

/// What the adapter must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the document.
    Read,
    /// Write the document if its revision is `expected`.
    Write(WriteCall),
    /// Call a placer.
    Call(ids::MemberKey, message::Question),
    /// Respond to a request.
    Answer(ReplyTo, Box<Outcome>),
}

/// A write of the document.
#[derive(Clone, Debug, PartialEq)]
pub struct WriteCall {
    /// Revision to replace.
    pub expected: ids::Revision,
    /// The new document.
    pub document: jobs::JobDocument,
}

/// The holder of a worker shard, by the claims.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardHolder {
    /// Holder, if any.
    pub holder: Option<ids::MemberKey>,
    /// Its epoch.
    pub epoch: ids::Epoch,
}

/// The home of one job shard.
#[derive(Debug)]
pub struct Home {
    config: Config,
    key: message::HomeKey,
    document: write::DocumentState,
    jobs: IndexMap<ids::JobId, job::Job>,
    /// Tasks to place, most urgent first.
    queue: BTreeSet<queue::QueueKey>,
    fair_queue: fairness::FairQueue,
    /// Tasks to check on every poll: in backoff, reserved, unanswered or to be stopped.
    watched: BTreeSet<ids::TaskId>,
    /// The one gang that reserves resources; other gangs wait until it is done.
    gang: Option<ids::JobId>,
    placers: IndexMap<ids::MemberKey, placers::View>,
    /// The placer of the same process, preferred over others.
    own: Option<ids::MemberKey>,
    shards: IndexMap<ids::ShardId, recover::ShardView>,
    actions: Vec<Action>,
    /// Number of the last numbered call.
    call: u64,
    draining: bool,
    paused: bool,
    fenced: bool,
}

impl Home {
    /// Creates a home that has not read its document yet.
    pub fn new(config: Config, key: message::HomeKey) -> Self {
        Self {
            config,
            key,
            document: write::DocumentState::default(),
            jobs: IndexMap::new(),
            queue: BTreeSet::new(),
            fair_queue: fairness::FairQueue::default(),
            watched: BTreeSet::new(),
            gang: None,
            placers: IndexMap::new(),
            own: None,
            shards: IndexMap::new(),
            actions: Vec::new(),
            call: 0,
            draining: false,
            paused: false,
            fenced: false,
        }
    }

    /// Sets the weights of owners in the fair queue.
    pub fn set_weights(&mut self, weights: IndexMap<ids::OwnerName, u32>) {
        self.fair_queue.set_weights(weights);
    }

    /// The job shard and the epoch under which it is held.
    pub fn key(&self) -> &message::HomeKey {
        &self.key
    }

    /// Whether a later home was seen; this one does no more work.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Returns the actions due now; call after each input and at least every 100 ms.
    pub fn poll(&mut self, now: Now) -> Vec<Action> {
        if !self.fenced {
            self.poll_document(now);
        }
        if !self.fenced && self.document.is_owned() && !self.is_closed() {
            self.poll_watched(now);
            self.poll_shards(now);
            self.poll_queue(now);
            self.poll_stops(now);
        }
        std::mem::take(&mut self.actions)
    }

    /// Stops or resumes accepting and placing, as the shard may be used or not.
    pub fn pause(&mut self, paused: bool) {
        self.paused = paused;
    }

    fn is_closed(&self) -> bool {
        self.draining || self.paused
    }

    /// Stops accepting and placing permanently, before the shard is handed over.
    pub fn drain(&mut self) {
        self.draining = true;
        // The last write lists the tasks that may be placed.
        self.document.mark_dirty();
    }

    /// Whether nothing is left to write.
    pub fn is_drained(&self) -> bool {
        self.fenced || self.document.is_settled()
    }

    /// Number of retained jobs and of queued tasks.
    pub fn len(&self) -> (usize, usize) {
        (self.jobs.len(), self.queue.len())
    }

    /// Whether no job is retained.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Number of writes begun by this home.
    pub fn writes(&self) -> u64 {
        self.document.writes
    }

    /// Whether the document is owned and the state of every task is known.
    pub fn is_recovered(&self) -> bool {
        self.document.is_owned()
            && !self
                .jobs
                .values()
                .flat_map(|job| job.tasks.values())
                .any(|task| matches!(task.stage, job::Stage::Unknown { .. }))
    }
}
