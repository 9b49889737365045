//! What the jobs services of entry instances say to each other.

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
    /// Between home and placer.
    Core(message::Question),
    /// To the home: accept a job.
    Submit(ids::JobId, jobs::JobSpec, jobs::JobTerms),
    /// To the home: how does a job stand?
    Status(ids::JobId),
    /// To the home: cancel a job.
    Cancel(ids::JobId),
    /// To any: what owners use on the workers that the sender holds.
    Usage(Vec<(ids::OwnerName, sizes::Resources)>),
    /// To any: the jobs that you are the home of, of one owner or of all.
    List(Option<ids::OwnerName>),
}

/// The answer to a [`Question`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Answer {
    /// Between home and placer.
    Core(message::Answer),
    /// About one job.
    Job(Result<jobs::JobStatus, operator::OperatorError>),
    /// Taken note of.
    Noted,
    /// A listing, each with the time of its acceptance.
    List(Vec<(u64, jobs::JobStatus)>),
}
