//! The home of jobs: one job shard, its document and the queue of its tasks.
//!
//! A job is accepted once the document that holds it is written. Placements
//! are not written: a later home learns them from the placers, which learn
//! them from the workers. What is written besides is what no worker can tell
//! later: ends, and for a task that may not run twice a mark before its start.
//! Writes are grouped, so that their number does not grow with the tasks.
//!
//! The document is replaced by compare-and-swap and carries the holder's epoch
//! and a sequence number, by which a write whose answer was lost is recognized
//! on reading it back.
//!
//! What this trades away: after a change of holder, tasks that may have been
//! placed wait until every placer has told what it holds of them.

mod gang;
mod job;
mod load;
mod news;
mod outline;
mod placers;
mod queue;
mod recover;
mod reserved;
mod submit;
mod turns;
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

/// Times and bounds of a home.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Shortest time between two writes of the document. Default 200 ms.
    pub write_every: time::Duration,
    /// Time after a failed call to the store. Default 500 ms.
    pub store_retry: time::Duration,
    /// Time after which a placer without room is probed. Default 100 ms.
    pub room_retry: time::Duration,
    /// Time after which a call without an answer is repeated. Default 300 ms.
    pub call_retry: time::Duration,
    /// First pause before a task that failed runs again; doubles. Default 500 ms.
    pub backoff: time::Duration,
    /// Longest time for which a gang keeps room while some of it is missing. Default 3 s.
    pub gang_wait: time::Duration,
    /// Time after which a task on a vanished worker shard has stopped. Default 20 s.
    pub vanish: time::Duration,
    /// Most tasks in one call. Default 256.
    pub call_len: usize,
    /// Most bytes of jobs kept; about, as counted per job. Default 700,000.
    pub max_document_bytes: usize,
    /// Time for which ended jobs are kept. Default 1 hour.
    pub keep_ended_ms: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            write_every: time::Duration::from_millis(200),
            store_retry: time::Duration::from_millis(500),
            room_retry: time::Duration::from_millis(100),
            call_retry: time::Duration::from_millis(300),
            backoff: time::Duration::from_millis(500),
            gang_wait: time::Duration::from_secs(3),
            vanish: time::Duration::from_secs(20),
            call_len: 256,
            max_document_bytes: 700_000,
            keep_ended_ms: 60 * 60 * 1_000,
        }
    }
}

/// The time, by both clocks.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// Monotonic: decides.
    pub at: time::Instant,
    /// Wall clock, milliseconds since 1970: for what people read and deadlines.
    pub unix_ms: u64,
}

/// Somebody who waits for an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// What a waiting asker is told.
pub type Outcome = Result<jobs::JobStatus, operator::OperatorError>;

/// What the adapter is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the document.
    Read,
    /// Write the document if its revision is `expected`.
    Write(WriteCall),
    /// Call a placer.
    Call(ids::MemberKey, message::Question),
    /// Answer an asker.
    Answer(Ticket, Box<Outcome>),
}

/// A write of the document.
#[derive(Clone, Debug, PartialEq)]
pub struct WriteCall {
    /// Revision that is to be replaced.
    pub expected: ids::Revision,
    /// The new document.
    pub document: jobs::JobDocument,
}

/// A placer as the claims name it.
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
    /// Tasks that want a place, most urgent first.
    queue: BTreeSet<queue::QueueKey>,
    turns: turns::Turns,
    /// Tasks that wait for their backoff or for resolution.
    watched: BTreeSet<ids::TaskId>,
    /// The one gang that reserves room; others wait for their turn.
    gang: Option<ids::JobId>,
    placers: IndexMap<ids::MemberKey, placers::View>,
    /// The placer of the same process, asked first.
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
    /// A home that has not read its document yet.
    pub fn new(config: Config, key: message::HomeKey) -> Self {
        Self {
            config,
            key,
            document: write::DocumentState::default(),
            jobs: IndexMap::new(),
            queue: BTreeSet::new(),
            turns: turns::Turns::default(),
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

    /// Takes over the weights of owners among each other.
    pub fn set_weights(&mut self, weights: IndexMap<ids::OwnerName, u32>) {
        self.turns.set_weights(weights);
    }

    /// Its shard and epoch.
    pub fn key(&self) -> &message::HomeKey {
        &self.key
    }

    /// Whether a later home was seen; this one does nothing more.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Everything to be done now; call after each input and at least every 100 ms.
    pub fn poll(&mut self, now: Now) -> Vec<Action> {
        if !self.fenced {
            self.poll_document(now);
        }
        if !self.fenced && self.document.is_mine() && !self.is_closed() {
            self.poll_watched(now);
            self.poll_shards(now);
            self.poll_queue(now);
            self.poll_placed(now);
        }
        std::mem::take(&mut self.actions)
    }

    /// Stops accepting and placing for as long as the shard may not be used.
    pub fn pause(&mut self, paused: bool) {
        self.paused = paused;
    }

    fn is_closed(&self) -> bool {
        self.draining || self.paused
    }

    /// Stops accepting and placing, before the shard is handed over.
    pub fn drain(&mut self) {
        self.draining = true;
        // A last write says which tasks may have a place.
        self.document.touch();
    }

    /// Whether everything that was to be written is.
    pub fn is_drained(&self) -> bool {
        self.fenced || self.document.is_settled()
    }

    /// Number of jobs kept, and of tasks that want a place.
    pub fn len(&self) -> (usize, usize) {
        (self.jobs.len(), self.queue.len())
    }

    /// Whether no job is kept.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Writes begun since the start.
    pub fn writes(&self) -> u64 {
        self.document.writes
    }

    /// Whether the document was read and every task of before is accounted for.
    pub fn is_recovered(&self) -> bool {
        self.document.is_mine()
            && !self
                .jobs
                .values()
                .flat_map(|job| job.tasks.values())
                .any(|task| matches!(task.life, job::Life::Unknown { .. }))
    }
}
