//! Whether a leader that no longer answers is lost.
//!
//! A leader whose machine lost its power refuses nothing: it is silent, and
//! its lease at the store ends 1.1 to 1.5 s later. Peers that greet it know
//! sooner. One of them alone may be cut off, so it takes most of them to agree,
//! and a single one that still hears the leader is enough to keep it.
//!
//! A takeover is safe at any moment, so what a mistake costs is one: some 50 ms
//! without placement, and up to a worker's lease for tasks beside a silent
//! worker. Where too few peers answer the lease decides.

use std::time;

/// Silence after which a leader may be lost. Peers greet it every 250 ms, so
/// all of them have missed an answer by then; a leader that is five times
/// slower than usual answers within 50 ms.
pub const SILENCE: time::Duration = time::Duration::from_millis(400);

/// What a peer says of the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerView {
    /// The peer did not answer.
    Unreachable,
    /// It has not greeted this leader yet, or takes another for the leader.
    Unknown,
    /// The leader last answered it so long ago.
    Heard(time::Duration),
}

/// Whether a leader that last answered here `heard` ago is lost, as all its
/// other peers see it.
pub fn is_lost(heard: time::Duration, peers: &[PeerView]) -> bool {
    let hears = |view: &&PeerView| matches!(view, PeerView::Heard(ago) if *ago < SILENCE);
    let misses = |view: &&PeerView| matches!(view, PeerView::Heard(ago) if *ago >= SILENCE);
    let missed = peers.iter().filter(misses).count();
    let heard_by_any = heard < SILENCE || peers.iter().any(|view| hears(&view));
    // With this instance: more than half of all, and never this one alone.
    let agreed = missed > 0 && 2 * (missed + 1) > peers.len() + 1;
    agreed && !heard_by_any
}
