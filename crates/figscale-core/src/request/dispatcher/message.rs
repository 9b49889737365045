//! Settings, inputs and results of a dispatcher.

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
    /// Share of the slots that is reserved from best-effort requests. Default 0.1.
    pub reserve_share: f64,
    /// Time after an interactive request during which that share is reserved.
    /// Default 30 s.
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

/// A request for a slot.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Identifies the request at this dispatcher.
    pub ticket: queue::Ticket,
    /// Catalogue entry.
    pub entry: ids::EntryName,
    /// Service whose runner it needs.
    pub service: ids::ServiceName,
    /// Owner on whose behalf the request is made.
    pub owner: ids::OwnerName,
    /// The owner's weight.
    pub weight: u32,
    /// Urgency.
    pub urgency: catalogue::Urgency,
    /// When its caller stops waiting.
    pub deadline: time::Instant,
    /// Whether the request may run twice without harm.
    pub idempotent: bool,
    /// Runner that failed the previous attempt, if any.
    pub avoid: Option<ids::InstanceId>,
    /// Maximum number of requests of its entry that may wait here.
    pub max_queue_len: u32,
    /// Longest run time of a request of its entry.
    pub max_run: time::Duration,
}

/// Identifies a granted slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SlotId(pub u64);

/// A slot granted to one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Identifies the grant.
    pub slot: SlotId,
    /// The runner.
    pub runner: ids::InstanceId,
    /// Address on which the runner listens.
    pub address: net::SocketAddr,
    /// Maximum number of connections to the runner.
    pub connections: u32,
    /// Shard of the runner.
    pub shard: ids::ShardId,
    /// Epoch under which the shard is held.
    pub epoch: ids::Epoch,
}

/// Why a request was refused, with the size of the backlog.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub reason: admission::Reason,
    /// Time that it takes to work off the present backlog.
    pub backlog: time::Duration,
}

/// Result of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Submitted {
    /// It was granted a slot.
    Granted(Grant),
    /// It waits in the queue.
    Queued,
    /// It was refused.
    Refused(Refusal),
}

/// Result for a request that waited.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// It was granted a slot.
    Granted(queue::Ticket, Grant),
    /// It was removed from the queue without a slot.
    Refused(queue::Ticket, Refusal),
}

/// How the use of a slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The runner sent a complete response.
    Answered {
        /// Run time of the request.
        ran: time::Duration,
        /// Whether the response counts as a success of the runner.
        good: bool,
    },
    /// The runner refused the request without running it.
    RefusedByRunner,
    /// Nothing reached the runner, and the runner may be at fault.
    Unreachable,
    /// Nothing was sent, for a reason unrelated to the runner.
    NotSent,
    /// The outcome is unknown; the request may still run.
    Lost,
}
