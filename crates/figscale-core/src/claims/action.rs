//! Inputs and actions of the claims machine.
//!
//! Every action except [`Action::Revoke`] must be followed by exactly one
//! input with its result, even if there was no response. `sent_at` is a time
//! before the first byte of the request was sent.

use std::net;
use std::sync;
use std::time;

use figscale_types::claims;
use figscale_types::ids;
use figscale_types::instances;

/// Why a call to the store failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFailure {
    /// The key has a different revision.
    Conflict,
    /// The lease no longer exists.
    LeaseGone,
    /// The call had no effect; the store may be unavailable.
    NotRun,
    /// The call may have taken effect, or may do so later.
    MayHaveRun,
}

impl StoreFailure {
    /// Whether the failure was reported by the store itself.
    pub(super) fn is_answer(self) -> bool {
        matches!(self, Self::Conflict | Self::LeaseGone)
    }
}

/// An event that the machine processes.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time passed.
    Tick,
    /// Result of [`Action::Grant`].
    Granted {
        /// Time before the call.
        sent_at: time::Instant,
        /// The new lease.
        result: Result<ids::LeaseId, StoreFailure>,
    },
    /// Result of [`Action::Announce`].
    Announced {
        /// The lease.
        lease: ids::LeaseId,
        /// Whether its key was written.
        result: Result<(), StoreFailure>,
    },
    /// Result of [`Action::Renew`].
    Renewed {
        /// The lease.
        lease: ids::LeaseId,
        /// Time before the call.
        sent_at: time::Instant,
        /// Whether it was renewed.
        result: Result<(), StoreFailure>,
    },
    /// Result of [`Action::Read`], or a document received from a watch.
    Read {
        /// The document and its revision; revision 0 if it is absent.
        result: Result<(ids::Revision, claims::Claims), StoreFailure>,
        /// Whether this is the result of [`Action::Read`].
        asked: bool,
    },
    /// Result of [`Action::List`].
    Listed {
        /// Leases whose keys exist.
        result: Result<Vec<ids::LeaseId>, StoreFailure>,
    },
    /// Result of [`Action::Write`].
    Written {
        /// The new revision.
        result: Result<ids::Revision, StoreFailure>,
    },
    /// Result of [`Action::Drain`].
    Drained {
        /// The shard.
        shard: ids::ShardId,
        /// Whether no work of the shard is left in progress.
        clean: bool,
    },
    /// Result of [`Action::Ask`].
    Answered {
        /// The question.
        question: claims::WitnessRequest,
        /// Time before the call.
        sent_at: time::Instant,
        /// The answer; `None` if there was none.
        answer: Option<claims::WitnessResponse>,
    },
    /// The platform's instance list was read.
    Instances(sync::Arc<instances::InstanceList>),
    /// The monotonic clock may have stood still before this event.
    ClockJumped,
    /// Hand over all shards in order, then leave.
    Leave,
}

/// What the adapter must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Create a lease.
    Grant,
    /// Write the member key of a lease, attached to the lease.
    Announce {
        /// The lease.
        lease: ids::LeaseId,
    },
    /// Renew a lease.
    Renew {
        /// The lease.
        lease: ids::LeaseId,
    },
    /// Read the document.
    Read,
    /// List the member keys, one for each lease.
    List,
    /// Write the document if it still has the revision `base`.
    Write {
        /// Revision that the change is based on.
        base: ids::Revision,
        /// The whole new document.
        claims: claims::Claims,
    },
    /// Stop using a shard and wait until none of its work is in progress.
    Drain {
        /// The shard.
        shard: ids::ShardId,
    },
    /// Send a question to a peer.
    Ask {
        /// Address of the peer.
        address: net::SocketAddr,
        /// The question.
        question: claims::WitnessRequest,
    },
    /// Revoke a lease.
    Revoke {
        /// The lease.
        lease: ids::LeaseId,
    },
}
