//! What comes back to a term of leadership from the calls that it made.

use std::time;

use figscale_core::fleet::Question;
use figscale_platform::CallError;
use figscale_platform::store;
use figscale_platform::workers as platform_workers;
use figscale_types::fleet;
use figscale_types::ids;
use tokio::sync::mpsc;

use super::ledger;

/// What comes back to a term.
pub(super) enum Message {
    /// All workers, as the platform lists them.
    Listing {
        entries: Vec<fleet::WorkerEntry>,
        /// When the reading began.
        begun: time::Instant,
    },
    /// A worker's report, or why there is none.
    Reported(
        fleet::WorkerId,
        Result<platform_workers::ReportOutcome, CallError>,
    ),
    /// A start was answered, or not.
    StartAnswered {
        worker: fleet::WorkerId,
        task: fleet::TaskId,
        attempt: u32,
        outcome: fleet::StartOutcome,
    },
    /// A call of a worker was not answered when it usually is.
    Overdue(fleet::WorkerId),
    /// A call was lost on the way to a worker that answers.
    AnswerLost,
    /// The advisory service answered, or not.
    Advised(Question, Option<Vec<fleet::Ticket>>),
    /// An entry instance could not be reached at all.
    MemberGone(ids::MemberId),
    /// A write has ended.
    Written(Result<(), ledger::WriteError>, ledger::Ledger),
    /// The leader's lease has ended at the store.
    LeaseEnded,
    /// A new lease for the leader.
    LeaseGranted(store::LeaseId),
}

/// Where results of calls go.
pub(super) type Messages = mpsc::Sender<Message>;
