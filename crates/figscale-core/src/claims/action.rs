//! What goes into the claims machine and what comes out.
//!
//! Every action but [`Action::Revoke`] is answered by exactly one input, also
//! when the answer is that none came. `sent_at` is a time before the first
//! byte was sent.

use std::net;
use std::sync;
use std::time;

use figscale_types::claims;
use figscale_types::ids;
use figscale_types::instances;

/// Why a call to the store failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFailure {
    /// The key has another revision.
    Conflict,
    /// The lease is gone.
    LeaseGone,
    /// It had no effect; the store may be away.
    NotRun,
    /// It may have had, or may yet have, its effect.
    MayHaveRun,
}

impl StoreFailure {
    /// Whether the store answered.
    pub(super) fn is_answer(self) -> bool {
        matches!(self, Self::Conflict | Self::LeaseGone)
    }
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time passed.
    Tick,
    /// Answer to [`Action::Grant`].
    Granted {
        /// Time before the call.
        sent_at: time::Instant,
        /// The new lease.
        result: Result<ids::LeaseId, StoreFailure>,
    },
    /// Answer to [`Action::Announce`].
    Announced {
        /// The lease.
        lease: ids::LeaseId,
        /// Whether its key was written.
        result: Result<(), StoreFailure>,
    },
    /// Answer to [`Action::Renew`].
    Renewed {
        /// The lease.
        lease: ids::LeaseId,
        /// Time before the call.
        sent_at: time::Instant,
        /// Whether it was renewed.
        result: Result<(), StoreFailure>,
    },
    /// Answer to [`Action::Read`], or what a watch brought.
    Read {
        /// The document and its revision; 0 when it is absent.
        result: Result<(ids::Revision, claims::Claims), StoreFailure>,
        /// Whether it answers [`Action::Read`].
        asked: bool,
    },
    /// Answer to [`Action::List`].
    Listed {
        /// Leases whose keys exist.
        result: Result<Vec<ids::LeaseId>, StoreFailure>,
    },
    /// Answer to [`Action::Write`].
    Written {
        /// The new revision.
        result: Result<ids::Revision, StoreFailure>,
    },
    /// Answer to [`Action::Drain`].
    Drained {
        /// The shard.
        shard: ids::ShardId,
        /// Whether nothing of it is in progress.
        clean: bool,
    },
    /// Answer to [`Action::Ask`].
    Answered {
        /// The question.
        question: claims::PeerQuestion,
        /// Time before the call.
        sent_at: time::Instant,
        /// The answer, if any came.
        answer: Option<claims::PeerAnswer>,
    },
    /// The platform's instance list was read.
    Instances(sync::Arc<instances::InstanceList>),
    /// The monotonic clock cannot be trusted for the time before this.
    ClockJumped,
    /// Give up everything in order and leave.
    Leave,
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Make a lease.
    Grant,
    /// Write the key of a lease under it.
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
    /// List the keys of members' leases.
    List,
    /// Write the document if it still has the revision `base`.
    Write {
        /// Revision that the change is made against.
        base: ids::Revision,
        /// The whole new document.
        claims: claims::Claims,
    },
    /// Stop the use of a shard and wait until nothing of it is in progress.
    Drain {
        /// The shard.
        shard: ids::ShardId,
    },
    /// Ask a peer.
    Ask {
        /// Where the peer is.
        address: net::SocketAddr,
        /// What to ask.
        question: claims::PeerQuestion,
    },
    /// End a lease.
    Revoke {
        /// The lease.
        lease: ids::LeaseId,
    },
}
