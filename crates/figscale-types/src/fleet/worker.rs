//! Workers: their entries in the platform's list, orders to them and their reports.

use std::net;
use std::time;

use serde::Deserialize;
use serde::Serialize;

use super::ids;
use super::job;

/// A worker as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerEntry {
    /// Id of this incarnation of the worker.
    pub id: ids::WorkerId,
    /// Pool that it belongs to.
    pub service: String,
    /// Address at which it accepts orders.
    pub address: net::SocketAddr,
    /// It will leave and accepts no new work.
    pub draining: bool,
    /// Minimum time that a draining worker continues to run after it wrote the entry.
    pub leaves_in: Option<time::Duration>,
    /// Its total resources.
    pub room: job::Room,
    /// Labels that steps may require, such as its kind and rack.
    pub labels: Vec<String>,
    /// The label that names its rack; empty if there is none.
    pub rack: String,
    /// Failure domain that it is in; empty if unknown.
    pub failure_domain: String,
}

/// A task that runs on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningTask {
    /// The task.
    pub task: ids::TaskId,
    /// Number of the start of the task.
    pub attempt: u32,
    /// Checkpoint that it could resume from; empty for a restart from the beginning.
    pub checkpoint: String,
    /// Percentage of its work that is done, checkpoint included; 0 if unknown. For a
    /// long-running task 100 means that it is at work.
    pub progress_percent: u32,
    /// Processor use over the last half second, in thousandths of a core, if reported.
    pub used_cpu_millis: Option<u64>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// It ended successfully.
    Done,
    /// It failed because of the task or the worker.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease expired.
    LeaseExpired,
    /// Another member of its gang ended.
    GangBroken,
    /// The other members of its gang did not start.
    GangIncomplete,
}

/// A run that ended on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishedRun {
    /// Sequence number in the worker's list, increasing from 1.
    pub number: u64,
    /// The task.
    pub task: ids::TaskId,
    /// Number of the start of the task.
    pub attempt: u32,
    /// How the run ended.
    pub end: End,
    /// Checkpoint that it could resume from; empty for a restart from the beginning.
    pub checkpoint: String,
}

/// A worker's report on its runs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// Reading of the worker's own monotonic clock.
    pub clock_ms: u64,
    /// Runs in progress.
    pub running: Vec<RunningTask>,
    /// Finished runs that have not been acknowledged.
    pub finished: Vec<FinishedRun>,
    /// Rows of both lists that could not be decoded; runs that are in neither list
    /// may be among them.
    pub unreadable_rows: usize,
    /// Whether the worker may have finished runs that are not in `finished`: a report
    /// lists the oldest of them, up to a limit.
    pub finished_truncated: bool,
}

impl WorkerReport {
    /// Whether a run that is in neither list is certainly not on the worker, nor has
    /// it finished there without an acknowledgement.
    pub fn is_complete(&self) -> bool {
        self.unreadable_rows == 0 && !self.finished_truncated
    }
}

/// Permission of the advisory service to run a step on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// The worker that it is valid for.
    pub worker: ids::WorkerId,
    /// Token to send with each start.
    pub token: String,
}

/// An order to start a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// The task.
    pub task: ids::TaskId,
    /// Number of the start; higher than that of any earlier start of the task.
    pub attempt: u32,
    /// What to run, as the job describes it.
    pub spec: String,
    /// Reading of the worker's clock after which the worker refuses the order.
    pub expires_clock_ms: u64,
    /// Checkpoint to resume from; empty for none.
    pub checkpoint: String,
    /// Ticket of the advisory service, if the queue uses one.
    pub ticket: Option<String>,
}

/// Why a worker refused a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartRefusal {
    /// The worker has seen orders of a later epoch.
    StaleEpoch,
    /// The worker has seen this attempt or a later one.
    OldAttempt,
    /// The order arrived after its expiry.
    Expired,
    /// The worker has too few free resources.
    NoRoom,
    /// The ticket is missing or has expired.
    Ticket,
    /// The worker is unhealthy and did not execute the order.
    Unhealthy,
    /// Another incarnation of the worker listens at that address.
    OtherLife,
    /// The worker could not decode the order.
    Invalid,
}

/// Outcome of an order to start a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartOutcome {
    /// The task runs, or ran, by this order.
    Started {
        /// Reading of the worker's clock.
        clock_ms: u64,
    },
    /// The task did not run by this order.
    Refused(StartRefusal),
    /// No usable response: the task may run, or may still be started until the order
    /// expires.
    Unknown,
}
