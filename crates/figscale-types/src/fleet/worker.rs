//! Workers: what the platform lists of them, orders to them and their reports.

use std::net;
use std::time;

use serde::Deserialize;
use serde::Serialize;

use super::ids;
use super::job;

/// A worker as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerEntry {
    /// This life of it.
    pub id: ids::WorkerId,
    /// Pool that it belongs to.
    pub service: String,
    /// Where it takes orders.
    pub address: net::SocketAddr,
    /// It will leave and takes no new work.
    pub draining: bool,
    /// A draining worker goes on at least for so long after it wrote this.
    pub leaves_in: Option<time::Duration>,
    /// All that it has.
    pub room: job::Room,
    /// Kind, rack and whatever else steps may ask for.
    pub labels: Vec<String>,
    /// Which of the labels is its rack; empty for none.
    pub rack: String,
    /// Failure domain that it stands in; empty if that is not told.
    pub failure_domain: String,
}

/// A task that runs on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningTask {
    /// Which.
    pub task: ids::TaskId,
    /// Which start of it.
    pub attempt: u32,
    /// From where it could resume; empty for from the beginning.
    pub checkpoint: String,
    /// Share of its speed that it was given, in percent.
    pub pace_percent: u32,
    /// Processors in use over the last half second, in thousandths, if told.
    pub used_cpu_millis: Option<u64>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// Well.
    Done,
    /// By the task's fault or the worker's.
    Failed,
    /// By order.
    Stopped,
    /// Its lease ran out.
    LeaseExpired,
    /// Another member of its gang ended.
    GangBroken,
    /// The other members of its gang did not come.
    GangIncomplete,
}

/// A run that ended on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishedRun {
    /// Position in the worker's list, from 1, rising.
    pub number: u64,
    /// Which task.
    pub task: ids::TaskId,
    /// Which start of it.
    pub attempt: u32,
    /// How.
    pub end: End,
    /// From where it could resume; empty for from the beginning.
    pub checkpoint: String,
}

/// A worker's account of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// The worker's own steady clock.
    pub clock_ms: u64,
    /// What runs.
    pub running: Vec<RunningTask>,
    /// What ended and has not been acknowledged.
    pub finished: Vec<FinishedRun>,
}

/// Permission of the advisory service to run a step on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// Which worker.
    pub worker: ids::WorkerId,
    /// To be shown with each start.
    pub token: String,
}

/// An order to start a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// Which task.
    pub task: ids::TaskId,
    /// Higher than of any earlier start of it.
    pub attempt: u32,
    /// The job's own text.
    pub spec: String,
    /// Reading of the worker's clock after which the order is refused.
    pub expires_clock_ms: u64,
    /// Checkpoint to resume from; empty for none.
    pub checkpoint: String,
    /// Ticket of the advisory service, where the queue has one.
    pub ticket: Option<String>,
}

/// Why a worker refused a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartRefusal {
    /// It has seen orders of a later epoch.
    StaleEpoch,
    /// It has seen this attempt or a later one.
    OldAttempt,
    /// The order came after its expiry.
    Expired,
    /// No room.
    NoRoom,
    /// The ticket is missing or has expired.
    Ticket,
    /// It is unhealthy and did nothing.
    Unhealthy,
    /// Another life of the worker is at that address.
    OtherLife,
    /// It does not understand the order.
    Invalid,
}

/// What became of a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartOutcome {
    /// It runs, or ran.
    Started {
        /// The worker's clock.
        clock_ms: u64,
    },
    /// It never ran by this order.
    Refused(StartRefusal),
    /// No answer: it may run, or may still be started until it expires.
    Unknown,
}
