//! One connection to a peer, and when it last responded.
//!
//! A connection can stop responding without an error while new ones to the same
//! address work: after a partition its retransmissions have backed off, or a machine
//! on the path has forgotten it. So the pool replaces a connection that carried no
//! response for as long as a call waited.

use std::fmt;
use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use figscale_types::mutex;
use h2::client;

/// Which of the connections to a peer to use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Kind {
    /// Calls between services.
    Calls,
    /// Forwarded requests, and orders to relays.
    Streams,
}

/// A connection to a peer.
pub(crate) struct Connection {
    pub(super) peer: net::SocketAddr,
    pub(super) kind: Kind,
    sender: client::SendRequest<Bytes>,
    opened_at: time::Instant,
    last_response_at: sync::Mutex<Option<time::Instant>>,
}

impl Connection {
    pub(super) fn new(
        peer: net::SocketAddr,
        kind: Kind,
        sender: client::SendRequest<Bytes>,
        now: time::Instant,
    ) -> Self {
        Self {
            peer,
            kind,
            sender,
            opened_at: now,
            last_response_at: sync::Mutex::default(),
        }
    }

    /// Handle that opens streams on this connection.
    pub(super) fn sender(&self) -> client::SendRequest<Bytes> {
        self.sender.clone()
    }

    /// Records that a part of a response arrived.
    pub(crate) fn record_response(&self, now: time::Instant) {
        *mutex::lock(&self.last_response_at) = Some(now);
    }

    /// Whether no part of a response has arrived since `since`, when the connection
    /// was already open.
    pub(crate) fn is_silent_since(&self, since: time::Instant) -> bool {
        let last = *mutex::lock(&self.last_response_at);
        self.opened_at <= since && last.is_none_or(|at| at < since)
    }

    /// Since when a call that began at `begun_at` has awaited a response on this
    /// connection, which may have been opened for it.
    pub(super) fn awaited_since(&self, begun_at: time::Instant) -> time::Instant {
        begun_at.max(self.opened_at)
    }

    /// Time since it was opened or last carried a response.
    pub(crate) fn quiet_time(&self, now: time::Instant) -> time::Duration {
        let ages = self.ages(now);
        ages.last_response.unwrap_or(ages.opened)
    }

    pub(super) fn ages(&self, now: time::Instant) -> ConnectionAges {
        let age = |at: time::Instant| now.saturating_duration_since(at);
        ConnectionAges {
            opened: age(self.opened_at),
            last_response: mutex::lock(&self.last_response_at).map(age),
        }
    }
}

/// How long ago a connection was opened and last carried a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionAges {
    /// Time since it was opened.
    pub opened: time::Duration,
    /// Time since its last response; `None` if there was none.
    pub last_response: Option<time::Duration>,
}

impl fmt::Display for ConnectionAges {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "connection opened {} ms ago", self.opened.as_millis())?;
        match self.last_response {
            Some(age) => write!(f, ", last response {} ms ago", age.as_millis()),
            None => write!(f, ", no response yet"),
        }
    }
}
