//! Messages between the jobs services of entry instances.

use figscale_core::job::message;
use figscale_types::ids;
use figscale_types::jobs;
use figscale_types::operator;
use figscale_types::sizes;
use serde::Deserialize;
use serde::Serialize;

/// A call to the jobs service of a peer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Question {
    /// A call between a home and a placer.
    Core(message::Question),
    /// To the home of a job: accept it.
    Submit(ids::JobId, jobs::JobSpec, jobs::JobTerms),
    /// To the home of a job: return its status.
    Status(ids::JobId),
    /// To the home of a job: cancel it.
    Cancel(ids::JobId),
    /// To any peer: the usage of each owner on the workers that the sender holds.
    Usage(Vec<(ids::OwnerName, sizes::Resources)>),
    /// To any peer: list the jobs that it is the home of, of one owner or of all.
    List(Option<ids::OwnerName>),
}

/// The answer to a [`Question`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Answer {
    /// The answer to a call between a home and a placer.
    Core(message::Answer),
    /// The result of a request about one job.
    Job(Result<jobs::JobStatus, operator::OperatorError>),
    /// Received; there is nothing to return.
    Noted,
    /// The listed jobs, each with the Unix time in milliseconds of its acceptance.
    List(Vec<(u64, jobs::JobStatus)>),
}
