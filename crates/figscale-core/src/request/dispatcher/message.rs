//! What is asked of a dispatcher, and what it answers.

use std::net;
use std::time;

use figscale_types::catalogue;
use figscale_types::ids;

use crate::request::admission;
use crate::request::outlier;
use crate::request::queue;
use crate::request::slots;

/// Settings of the dispatcher.
#[derive(Clone, Copy, Debug)]
pub struct DispatcherConfig {
    /// Settings of the queues.
    pub queue: queue::QueueConfig,
    /// Settings of the ejection of runners.
    pub outlier: outlier::OutlierConfig,
    /// Settings of the slot table.
    pub slots: slots::SlotConfig,
    /// Share of the slots that best-effort work leaves free. Default 0.1.
    pub reserve_share: f64,
    /// Time after an interactive request for which the share is kept. Default 30 s.
    pub reserve_for: time::Duration,
}

impl Default for DispatcherConfig {
    fn default() -> Self {
        Self {
            queue: queue::QueueConfig::default(),
            outlier: outlier::OutlierConfig::default(),
            slots: slots::SlotConfig::default(),
            reserve_share: 0.1,
            reserve_for: time::Duration::from_secs(30),
        }
    }
}

/// A request that asks for a slot.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Its name at this dispatcher.
    pub ticket: queue::Ticket,
    /// Catalogue entry.
    pub entry: ids::EntryName,
    /// Service whose runner it needs.
    pub service: ids::ServiceName,
    /// Owner on whose behalf it is asked.
    pub owner: ids::OwnerName,
    /// The owner's weight.
    pub weight: u32,
    /// Urgency.
    pub urgency: catalogue::Urgency,
    /// When its caller stops waiting.
    pub deadline: time::Instant,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Runner that just failed it, if any.
    pub avoid: Option<ids::InstanceId>,
    /// Most requests of its entry that may wait here.
    pub max_queue_len: u32,
    /// Longest run of a request of its entry.
    pub max_run: time::Duration,
}

/// Names a granted slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SlotId(pub u64);

/// A slot granted to one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Its name.
    pub slot: SlotId,
    /// The runner.
    pub runner: ids::InstanceId,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Most connections to it.
    pub connections: u32,
    /// Its shard.
    pub shard: ids::ShardId,
    /// Epoch under which the shard is held.
    pub epoch: ids::Epoch,
}

/// A request that was refused, with the time that the backlog needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: admission::Reason,
    /// Time until the present backlog is done.
    pub backlog: time::Duration,
}

/// What became of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Submitted {
    /// It has a slot.
    Granted(Grant),
    /// It waits.
    Queued,
    /// It was refused.
    Refused(Refusal),
}

/// What became of a waiting request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// It has a slot.
    Granted(queue::Ticket, Grant),
    /// It has to go.
    Refused(queue::Ticket, Refusal),
}

/// How the use of a slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The runner answered in full.
    Answered {
        /// Time that it took.
        ran: time::Duration,
        /// Whether the answer speaks for the runner.
        good: bool,
    },
    /// The runner refused the request without running it.
    RefusedByRunner,
    /// Nothing reached the runner, and the fault may be its own.
    Unreachable,
    /// Nothing was sent, for a reason that has nothing to do with the runner.
    NotSent,
    /// The request may still run.
    Lost,
}
