//! Choice of the peer that forwards a call to the store.
//!
//! A peer that does not answer costs a call its whole timeout, and calls overlap.
//! So what one call finds out about a peer counts for the next attempt of every
//! other one.

use std::net;
use std::time;

use indexmap::IndexMap;

/// For how long a failure puts a peer behind the others.
const FAILURE_MEMORY: time::Duration = time::Duration::from_secs(5);

/// What calls through peers have shown.
#[derive(Clone, Debug, Default)]
pub struct StoreForwarders {
    /// The peer that last forwarded a call successfully, and when it did.
    last: Option<(net::SocketAddr, time::Instant)>,
    /// When each peer last failed.
    failed_at: IndexMap<net::SocketAddr, time::Instant>,
}

impl StoreForwarders {
    /// Takes the peer to try next out of `peers`: the one that last succeeded, then
    /// those without a recent failure in the order given, then the others, the
    /// oldest failure first.
    pub fn take_next(
        &self,
        peers: &mut Vec<net::SocketAddr>,
        now: time::Instant,
    ) -> Option<net::SocketAddr> {
        let last = self.last.map(|(peer, _)| peer);
        let rank = |peer: net::SocketAddr| (Some(peer) != last, self.recent_failure(peer, now));
        let next = (0..peers.len()).min_by_key(|index| rank(peers[*index]))?;
        Some(peers.remove(next))
    }

    /// Records that a peer forwarded a call successfully.
    pub fn record_success(&mut self, peer: net::SocketAddr, now: time::Instant) {
        self.last = Some((peer, now));
        self.failed_at.swap_remove(&peer);
    }

    /// Records that a call which was sent to a peer at `sent_at` failed.
    pub fn record_failure(
        &mut self,
        peer: net::SocketAddr,
        sent_at: time::Instant,
        now: time::Instant,
    ) {
        if let Some((last, succeeded_at)) = self.last
            && last == peer
        {
            if succeeded_at > sent_at {
                return;
            }
            self.last = None;
        }
        self.failed_at.retain(|_, at| is_recent(*at, now));
        self.failed_at.insert(peer, now);
    }

    fn recent_failure(&self, peer: net::SocketAddr, now: time::Instant) -> Option<time::Instant> {
        let failed_at = self.failed_at.get(&peer).copied();
        failed_at.filter(|at| is_recent(*at, now))
    }
}

fn is_recent(failed_at: time::Instant, now: time::Instant) -> bool {
    now.saturating_duration_since(failed_at) < FAILURE_MEMORY
}
