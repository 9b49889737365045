//! What entry instances say to their leader, and its answers.

use std::net;

use figscale_core::fleet as scheduling;
use figscale_types::fleet;
use figscale_types::hash;
use figscale_types::ids;
use serde::Deserialize;
use serde::Serialize;

/// Name of the leader's service among peers.
pub(super) const LEADER_SERVICE: &str = "fleet-leader";
/// Name of the service that asks for advice among peers.
pub(super) const ADVICE_SERVICE: &str = "fleet-advice";

/// Fingerprint of a list of instances, in whatever order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct RosterHash(u64);

impl RosterHash {
    pub(super) fn of(addresses: &[net::SocketAddr]) -> Self {
        let addresses = addresses.iter();
        let hashes = addresses.map(|address| hash::hash(&[&address.to_string()]));
        Self(hashes.fold(0, u64::wrapping_add))
    }
}

/// On whose behalf a call is made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Caller {
    /// An operator, who may see every job.
    Operator,
    /// A customer by its key, or a call without a key where none is needed.
    Customer(Option<fleet::CustomerName>),
}

/// A call to the leader.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum LeaderCall {
    /// Take a job.
    Submit {
        job: fleet::JobId,
        queue: fleet::Queue,
        customer: Option<fleet::CustomerName>,
        description: fleet::JobDescription,
    },
    /// How does a job stand?
    State { job: fleet::JobId, caller: Caller },
    /// How does a job stand, with its tasks?
    Show { job: fleet::JobId },
    /// Which jobs are in progress?
    ListOpen,
    /// Cancel a job.
    Cancel { job: fleet::JobId, caller: Caller },
    /// How many jobs of a queue wait?
    Pending { queue: String },
    /// An entry instance is there, and can ask for advice.
    Hello {
        /// The life that is taken for the leader.
        leader: ids::MemberKey,
        member: ids::MemberId,
        address: net::SocketAddr,
        /// Where it stands; it carries calls of workers there.
        failure_domain: ids::FailureDomain,
        /// Processor that it could lead with, in thousandths of a core; 0 if
        /// it cannot lead now.
        cpu_millis: u64,
        /// Fingerprint of the instances that it knows of.
        roster: RosterHash,
    },
}

impl LeaderCall {
    /// The job that the call is about.
    pub(super) fn job(&self) -> Option<fleet::JobId> {
        match self {
            Self::Submit { job, .. }
            | Self::State { job, .. }
            | Self::Show { job }
            | Self::Cancel { job, .. } => Some(*job),
            Self::ListOpen | Self::Pending { .. } | Self::Hello { .. } => None,
        }
    }
}

/// The leader's answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) enum LeaderAnswer {
    /// This instance does not lead; nothing was done.
    NotLeader,
    /// This instance has won a term and reads the records; nothing was done.
    Beginning,
    /// The life that was greeted is over; another has its address.
    OtherLife,
    /// The term ended meanwhile; the call may have been acted on.
    Unknown,
    /// So many calls wait that this one was not looked at; an earlier one for
    /// the same job may have been acted on.
    Overloaded,
    /// The job is taken and kept.
    Accepted,
    /// The job is not taken and never runs.
    Refused { retry_after_ms: u64 },
    /// Another customer has taken the job's id; nothing was done.
    IdTaken,
    /// A gang of the job needs more than its customer may ever have running.
    TooLarge,
    /// The store could not be asked; nothing was done and nothing will be.
    StoreAway { retry_after_ms: u64 },
    /// A job's state, if there is such a job.
    State(Option<fleet::JobState>),
    /// A job that there is, with its tasks.
    Shown(fleet::JobView),
    /// Jobs in progress, without tasks.
    Listed(Vec<fleet::JobView>),
    /// Number of waiting jobs.
    Pending(u64),
    /// The leader leads.
    Welcome {
        /// The other instances that it has heard from, unless they are known.
        peers: Option<Vec<net::SocketAddr>>,
        /// Most processor that one of them could lead with, in thousandths of
        /// a core.
        strongest_millis: u64,
        /// Proof of the configuration that the leader knows.
        config: Option<scheduling::ProofStamp>,
    },
}
