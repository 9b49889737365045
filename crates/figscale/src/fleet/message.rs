//! Results of the calls that a term of leadership has made, which it receives as
//! messages.

use std::time;

use figscale_core::fleet::AdviceQuery;
use figscale_platform::CallError;
use figscale_platform::store;
use figscale_platform::workers as platform_workers;
use figscale_types::fleet;
use figscale_types::ids;
use tokio::sync::mpsc;

use super::ledger;

/// The result of a call, or news about one.
pub(super) enum Message {
    /// All workers, as listed by the platform.
    Listing {
        entries: Vec<fleet::WorkerEntry>,
        /// When the reading began.
        begun: time::Instant,
    },
    /// A worker's report, or why the call for it failed.
    Reported(
        fleet::WorkerId,
        Result<platform_workers::ReportOutcome, CallError>,
    ),
    /// The outcome of an order to start a task; it may be that there was no answer.
    StartAnswered {
        worker: fleet::WorkerId,
        task: fleet::TaskId,
        attempt: u32,
        outcome: fleet::StartOutcome,
    },
    /// A worker accepted the order to stop a task.
    StopAnswered {
        worker: fleet::WorkerId,
        task: fleet::TaskId,
        attempt: u32,
        /// Reading of the worker's clock.
        clock_ms: u64,
    },
    /// A worker has not answered a call within the usual time.
    Overdue(fleet::WorkerId),
    /// A call to a worker was lost although the worker answers others.
    AnswerLost,
    /// The tickets that the advisory service returned; `None` if the query failed.
    Advised(AdviceQuery, Option<Vec<fleet::Ticket>>),
    /// An entry instance could not be reached.
    MemberGone(ids::MemberId),
    /// A write has ended; returns its chain.
    Written(
        Result<ledger::Confirmation, ledger::WriteError>,
        ledger::Chain,
    ),
    /// The epoch of the latest term according to a head; `None` if it was not read.
    HeadRead(Option<fleet::Epoch>),
    /// The same for a read that renews the proof of leadership, sent at this time since
    /// the machine started.
    ProofRead(Option<fleet::Epoch>, time::Duration),
    /// The leader's lease has expired at the store.
    LeaseEnded,
    /// The leader was granted a new lease.
    LeaseGranted(store::LeaseId),
}

/// The channel for results of calls.
pub(super) type Messages = mpsc::Sender<Message>;
