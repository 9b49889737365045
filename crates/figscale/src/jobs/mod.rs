//! The jobs service: accepts jobs, places their tasks on workers and sees them end.

use figscale_types::ids;
use figscale_types::jobs;
use figscale_types::operator;

use crate::kernel;
use crate::peer;
use crate::state;

/// Name of the service.
pub const NAME: &str = "jobs";

/// What the service is asked.
pub enum Message {
    /// Accept a job under an id that its submitter chose, so that a repeat counts once.
    Submit(
        ids::JobId,
        jobs::JobSpec,
        kernel::Reply<Result<jobs::JobStatus, operator::OperatorError>>,
    ),
    /// Tell how a job stands.
    Status(
        ids::JobId,
        kernel::Reply<Result<jobs::JobStatus, operator::OperatorError>>,
    ),
    /// Cancel a job.
    Cancel(
        ids::JobId,
        kernel::Reply<Result<jobs::JobStatus, operator::OperatorError>>,
    ),
    /// List jobs, of one owner or of all, newest first.
    List(
        Option<ids::OwnerName>,
        kernel::Reply<Result<Vec<jobs::JobStatus>, operator::OperatorError>>,
    ),
}

/// Registers the service and what it answers to peers, then runs it on the
/// control thread.
pub fn start(_context: &state::Context, _handlers: &mut peer::Handlers) {}
