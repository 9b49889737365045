//! Messages of entry instances to their leader, and its answers.
//!
//! They are sent as bincode, so the order of variants and fields is part of the
//! protocol.

use std::net;

use figscale_core::fleet as scheduling;
use figscale_types::fleet;
use figscale_types::hash;
use figscale_types::ids;
use serde::Deserialize;
use serde::Serialize;

/// Name of the peer service that the leader answers.
pub(super) const LEADER_SERVICE: &str = "fleet-leader";
/// Name of the peer service that queries the advisory service for the leader.
pub(super) const ADVICE_SERVICE: &str = "fleet-advice";

/// Fingerprint of a list of instances; the order of the list does not matter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct RosterHash(u64);

impl RosterHash {
    pub(super) fn of(addresses: &[net::SocketAddr]) -> Self {
        let addresses = addresses.iter();
        let hashes = addresses.map(|address| hash::hash(&[&address.to_string()]));
        Self(hashes.fold(0, u64::wrapping_add))
    }
}

/// The originator of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Caller {
    /// An operator, with access to every job.
    Operator,
    /// A customer identified by its key; `None` where no key is required.
    Customer(Option<fleet::CustomerName>),
}

/// A call to the leader.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum LeaderCall {
    /// Submits a job.
    Submit {
        job: fleet::JobId,
        queue: fleet::Queue,
        customer: Option<fleet::CustomerName>,
        description: fleet::JobDescription,
    },
    /// Reads the state of a job.
    State { job: fleet::JobId, caller: Caller },
    /// Reads the state of a job and its tasks.
    Show { job: fleet::JobId },
    /// Lists the jobs in progress.
    ListOpen,
    /// Cancels a job.
    Cancel { job: fleet::JobId, caller: Caller },
    /// Counts the waiting jobs of a queue.
    Pending { queue: String },
    /// Heartbeat of an entry instance, which may then serve the leader as a relay
    /// to workers and to the advisory service.
    Hello {
        /// The incarnation that the sender takes for the leader.
        leader: ids::MemberKey,
        /// The latest term that the sender knows.
        epoch: fleet::Epoch,
        member: ids::MemberId,
        address: net::SocketAddr,
        /// Failure domain of the sender, which relays calls of workers in it.
        failure_domain: ids::FailureDomain,
        /// CPU capacity available to lead with, in thousandths of a core; 0 if
        /// the sender cannot lead now.
        cpu_millis: u64,
        /// Fingerprint of the instances known to the sender.
        roster: RosterHash,
        /// Stamp of the last answer by this leader; `None` if the sender knows a later
        /// leader or can't rule one out.
        stamp_ms: Option<u64>,
    },
}

/// Unit in which the memory of calls in progress is counted.
const MEMORY_UNIT_BYTES: u64 = 1_024;

/// Memory of calls in progress, in units, where they may take this many bytes.
pub(super) fn memory_units(bytes: u64) -> usize {
    usize::try_from(bytes / MEMORY_UNIT_BYTES).unwrap_or(usize::MAX)
}

impl LeaderCall {
    /// Approximate memory that a submission takes until it is answered, in units.
    pub(super) fn memory_units(&self) -> u32 {
        let Self::Submit { description, .. } = self else {
            return 0;
        };
        let bytes = description.description_bytes();
        u32::try_from(bytes.div_ceil(MEMORY_UNIT_BYTES)).unwrap_or(u32::MAX)
    }

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
    /// This instance is not the leader; the call had no effect.
    NotLeader,
    /// This instance has won an election and is still reading the records; the
    /// call had no effect.
    Beginning,
    /// The incarnation that the heartbeat was sent to has ended; another one has
    /// its address.
    OtherLife,
    /// The term ended during the call, which may have taken effect.
    Unknown,
    /// The call was dropped since too many others are waiting; an earlier one for
    /// the same job may have taken effect.
    Overloaded,
    /// The job is accepted and stored.
    Accepted,
    /// The job is not accepted and never runs.
    Refused { retry_after_ms: u64 },
    /// Another customer already uses the job's id; the call had no effect.
    IdTaken,
    /// A gang of the job exceeds its customer's limit on running work.
    TooLarge,
    /// The store is unavailable; the call had no effect and will have none.
    StoreAway { retry_after_ms: u64 },
    /// A job's state; `None` if there is no such job.
    State(Option<fleet::JobState>),
    /// An existing job with its tasks.
    Shown(fleet::JobView),
    /// Jobs in progress, without tasks.
    Listed(Vec<fleet::JobView>),
    /// Number of waiting jobs.
    Pending(u64),
    /// Answer of a leader to a heartbeat.
    Welcome {
        /// The other instances that send heartbeats; `None` if the fingerprint of
        /// the heartbeat shows that the sender knows them.
        peers: Option<Vec<net::SocketAddr>>,
        /// Largest CPU capacity that any instance could lead with, in thousandths
        /// of a core.
        strongest_millis: u64,
        /// Proof that the configuration known to the leader is in force.
        config: Option<scheduling::ProofStamp>,
        /// Time of the answer since the leader's machine started, which the next
        /// heartbeat returns, in milliseconds.
        stamp_ms: u64,
    },
    /// The job's id was cancelled before its submission arrived; the job is not accepted
    /// and never runs.
    Cancelled,
    /// Too many cancelled ids are kept; the cancel had no effect.
    CancelRefused { retry_after_ms: u64 },
}
