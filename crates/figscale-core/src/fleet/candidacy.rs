//! Which instance should lead: the one with most processor capacity to spare.
//!
//! The leader's processor bounds the throughput of the fleet. With 350 workers
//! and 34 instances, 28 of which have an eighth of a core, one of these fell
//! behind as soon as it led. Its peers took it to be lost and the next of them
//! replaced it: there was a new term every 2 s, and a quarter of the calls for
//! short jobs failed.
//!
//! A leader's key may expire through a fault of the store while the leader
//! itself is fine. Such a leader writes its key again within one renewal
//! interval, and a takeover would cost the calls that callers retry after the
//! store's return.
//!
//! So weaker instances run for leader a little later, and a weak leader hands
//! over once it receives a heartbeat from a clearly stronger instance. Any
//! instance still leads if no other does.

use std::time;

use super::leader_loss;

/// A weaker instance runs for leader this much later than its heartbeat shows
/// that the leader is gone. A stronger one may notice a whole heartbeat interval
/// later and runs within 40 ms, and its election takes about 20 ms, or up to
/// 60 ms with many candidates.
const WEAKER_CANDIDACY_DELAY: time::Duration =
    leader_loss::HEARTBEAT_INTERVAL.saturating_add(ELECTION_TIME);
const ELECTION_TIME: time::Duration = time::Duration::from_millis(100);
/// Percentage of the strongest instance's processor capacity that counts as
/// equal to it.
const EQUAL_PERCENT: u64 = 80;
/// A leader hands over to an instance with this multiple of its own processor
/// capacity. A takeover costs 0.1 to 1 s without placement, so it must be worth
/// that.
const CLEARLY_STRONGER_RATIO: u64 = 2;

/// Time for a leader that may still be there to renew its key. It tries every
/// 0.4 s, and a write takes up to 0.25 s.
pub const RENEWAL_GRACE: time::Duration = time::Duration::from_millis(800);

/// What an instance knows of the leader when it finds no leader's key.
#[derive(Clone, Copy, Debug)]
pub struct LeaderEvidence {
    /// Time since the leader last responded to this instance.
    pub answered_ago: Option<time::Duration>,
    /// Whether a leader was known to this instance.
    pub knows_leader: bool,
    /// Whether the store did not respond at some time since a leader's key was
    /// last seen.
    pub store_was_unavailable: bool,
}

/// Whether there may be a leader although its key is gone.
///
/// An instance that has just started knows no peers. If the store was
/// unavailable to it before, the key may have expired through that outage. Such
/// an instance that ran for leader at once deposed a leader that was about to
/// accept 60 jobs.
pub fn may_have_leader(evidence: LeaderEvidence) -> bool {
    let answers = evidence.answered_ago.is_some_and(|ago| ago < RENEWAL_GRACE);
    answers || (!evidence.knows_leader && evidence.store_was_unavailable)
}

/// How much later than the strongest instance an instance runs for leader. Both
/// capacities are in thousandths of a core.
pub fn candidacy_delay(own_millis: u64, strongest_millis: u64) -> time::Duration {
    match own_millis * 100 >= strongest_millis * EQUAL_PERCENT {
        true => time::Duration::ZERO,
        false => WEAKER_CANDIDACY_DELAY,
    }
}

/// Whether a leader should hand over to another instance. Both capacities are
/// in thousandths of a core.
pub fn is_clearly_stronger(other_millis: u64, own_millis: u64) -> bool {
    other_millis >= own_millis.max(1) * CLEARLY_STRONGER_RATIO
}
