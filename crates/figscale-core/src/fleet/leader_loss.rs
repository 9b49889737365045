//! Decision whether a leader that no longer responds is lost.
//!
//! A leader whose machine lost power closes no connection. It just does not
//! respond, and its lease in the store ends only 1.1 to 1.5 s later. Peers that
//! send it heartbeats notice sooner. A single peer may be cut off from the
//! network, so most of them must agree, and one that still gets responses from
//! the leader is enough to keep it.
//!
//! A takeover is safe at any time. A mistake costs a takeover: about 50 ms
//! without placement and, if a worker is unresponsive then, a delay of up to
//! its lease for the tasks that may be running on it. If too few peers respond,
//! the lease decides.

use std::time;

use figscale_types::fleet;

/// Time without a response after which a leader may be lost. Peers send it a
/// heartbeat every 250 ms, so all of them have missed a response by then. A
/// leader that is five times slower than usual responds within 50 ms.
pub const UNRESPONSIVE_AFTER: time::Duration = time::Duration::from_millis(400);

/// A leader whose last response was slow is allowed this multiple of that
/// response time in addition.
const SLOW_RESPONSE_FACTOR: u32 = 4;
/// Time without a response after which any leader may be lost, however slow it
/// was.
const MAX_TIME_WITHOUT_RESPONSE: time::Duration = time::Duration::from_millis(3_000);

/// Time between heartbeats. Together with [`UNRESPONSIVE_AFTER`] it determines
/// how soon a leader without power is replaced: within 0.45 to 0.7 s, instead of
/// the 1.1 to 1.5 s of its lease.
pub const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Timeout of a heartbeat.
pub const HEARTBEAT_TIMEOUT: time::Duration = time::Duration::from_millis(400);
/// A response to a heartbeat that is as late as this still shows that the
/// leader is alive.
pub const LATE_RESPONSE: time::Duration = time::Duration::from_millis(1_000);
/// Timeout of the query to a peer for what it knows of the leader.
pub const LEADER_QUERY_TIMEOUT: time::Duration = time::Duration::from_millis(250);

/// Up to this number, each instance does its periodic work, such as heartbeats
/// or checks whether the store is back, at the full rate. Above it the rate of
/// each falls so that the total stays the same; otherwise the load on a leader
/// or a store would grow with the number of instances.
const INSTANCES_AT_FULL_RATE: usize = 128;
/// An instance is gone that has sent no heartbeat for this time, and for the
/// time of this many heartbeats.
const MIN_MEMBER_TIMEOUT: time::Duration = time::Duration::from_millis(1_600);
const MISSED_HEARTBEATS: u32 = 4;

/// Maximum number of peers that are queried for what they know of the leader.
/// Each of a thousand instances sends such queries when it misses a response,
/// and the leader itself is among those queried.
pub const MAX_PEERS_QUERIED: usize = 16;

/// Interval of periodic work for each of `instances` instances, where a single
/// one would use `pause`.
pub fn scaled_interval(pause: time::Duration, instances: usize) -> time::Duration {
    let instances = u32::try_from(instances.max(INSTANCES_AT_FULL_RATE)).unwrap_or(u32::MAX);
    pause.saturating_mul(instances) / INSTANCES_AT_FULL_RATE as u32
}

/// Time between the heartbeats of one of this many instances.
pub fn heartbeat_interval(instances: usize) -> time::Duration {
    scaled_interval(HEARTBEAT_INTERVAL, instances)
}

/// Time without a heartbeat after which one of this many instances is gone.
pub fn member_timeout(instances: usize) -> time::Duration {
    MIN_MEMBER_TIMEOUT.max(heartbeat_interval(instances) * MISSED_HEARTBEATS)
}

/// Longest wait of one watch of the leader's key, up to [`INSTANCES_AT_FULL_RATE`].
const LEADER_WATCH_WAIT: time::Duration = time::Duration::from_millis(1_500);
/// The store keeps a watch waiting for no longer.
const MAX_WATCH_WAIT: time::Duration = time::Duration::from_secs(20);

/// Longest wait of one watch of the leader's key by one of this many instances.
///
/// A watch returns at once when the key changes; it is only issued again to notice a
/// connection that is dead. Heartbeats notice a lost leader as well, so the wait
/// grows with the number of instances and the calls to the store do not.
pub fn leader_watch_wait(instances: usize) -> time::Duration {
    scaled_interval(LEADER_WATCH_WAIT, instances).min(MAX_WATCH_WAIT)
}

/// How long the winner of an election may say that it does not lead yet before
/// its term is taken to be over. It reads the store before it leads.
const MAX_TIME_TO_LEAD: time::Duration = time::Duration::from_millis(2_500);

/// Since when a leader that responds has said that it does not lead.
///
/// Each term is timed separately. Before that, when a first winner took long to
/// read the store, its time also counted against the next winners: each was
/// taken to be over as soon as it had won, and new terms followed each other
/// every 0.1 s.
#[derive(Clone, Copy, Debug, Default)]
pub struct NotLeading {
    since: Option<(fleet::Epoch, time::Instant)>,
}

impl NotLeading {
    /// Records that the leader leads, or does not respond.
    pub fn reset(&mut self) {
        self.since = None;
    }

    /// Records that the leader of this term says that it does not lead. Returns
    /// whether the term is over.
    pub fn is_over(&mut self, epoch: fleet::Epoch, now: time::Instant) -> bool {
        let same_term = self.since.filter(|(known, _)| *known == epoch);
        let (_, since) = *self.since.insert(same_term.unwrap_or((epoch, now)));
        now > since + MAX_TIME_TO_LEAD
    }
}

/// The response time of a leader, as seen by one peer.
///
/// A leader with more work than its processor or its network link can handle
/// responds later and later. It is not lost: any successor would have the same
/// work, and would have to read all records and query all workers first. So a
/// peer that has seen the leader become slow waits longer for its next
/// response.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResponseTimes {
    last: time::Duration,
}

impl ResponseTimes {
    /// Records the response time of the leader.
    pub fn record_response(&mut self, took: time::Duration) {
        self.last = took;
    }

    /// Time without a response after which the leader may be lost.
    pub fn response_limit(&self) -> time::Duration {
        (UNRESPONSIVE_AFTER + self.last * SLOW_RESPONSE_FACTOR).min(MAX_TIME_WITHOUT_RESPONSE)
    }
}

/// What a peer knows of the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerView {
    /// The peer did not respond.
    Unreachable,
    /// The leader has not responded to the peer yet, or the peer takes another
    /// instance for the leader.
    Unknown,
    /// Time that the peer has been without contact with the leader. The name of the
    /// variant is written to the log.
    Heard(time::Duration),
}

/// How long an instance has been without contact with a leader that it has known
/// for `known_for`; `None` while a leader that never responded may still be about to.
///
/// A winner that reaches the store renews its lease, even if no peer can reach it.
/// So a missing first response has to count at some time.
pub fn time_without_contact(
    answered_ago: Option<time::Duration>,
    known_for: time::Duration,
    instances: usize,
) -> Option<time::Duration> {
    let limit = MAX_TIME_WITHOUT_RESPONSE.max(member_timeout(instances));
    answered_ago.or_else(|| Some(known_for).filter(|known_for| *known_for >= limit))
}

/// Whether a leader is lost that last responded to this instance
/// `answered_ago` ago, given the views of all other peers. `allowed` is the time
/// that it may take to respond.
pub fn is_lost(answered_ago: time::Duration, peers: &[PeerView], allowed: time::Duration) -> bool {
    let has_contact = |view: &&PeerView| matches!(view, PeerView::Heard(ago) if *ago < allowed);
    let lacks_contact = |view: &&PeerView| matches!(view, PeerView::Heard(ago) if *ago >= allowed);
    let without_contact = peers.iter().filter(lacks_contact).count();
    let any_has_contact = answered_ago < allowed || peers.iter().any(|view| has_contact(&view));
    // More than half of all instances, this one included, and never this one
    // alone.
    let agreed = without_contact > 0 && 2 * (without_contact + 1) > peers.len() + 1;
    agreed && !any_has_contact
}
