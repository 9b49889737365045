//! Ejection of advice channels whose queries get no response.
//!
//! An entry instance may send heartbeats and still not answer queries. Its
//! channel is free as soon as a query is given up, so without a memory of
//! failures the next query would go the same way. A channel that failed is
//! ejected for a while, longer with each consecutive failure, and is in use
//! again at once when a query through it gets a response.

use std::time;

/// Duration of the ejection after the first failure, doubled with each further
/// one.
const FIRST_EJECTION: time::Duration = time::Duration::from_secs(1);
/// Maximum duration of an ejection. Each query that finds the channel still
/// unresponsive delays a job by about a second.
const MAX_EJECTION: time::Duration = time::Duration::from_secs(16);
/// Failures of a member that is gone are forgotten after this time.
const RETENTION: time::Duration = time::Duration::from_secs(60);

/// The failures of a channel since its last response.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ChannelFailures {
    /// Number of failures that led to an ejection or prolonged it.
    pub(crate) count: u32,
    pub(crate) last_at: time::Instant,
    ejected_until: time::Instant,
}

impl ChannelFailures {
    /// Adds a failure to those known, if any. With `is_suspect` the channel is
    /// suspected to be at fault, and is ejected.
    pub(crate) fn after(known: Option<Self>, is_suspect: bool, now: time::Instant) -> Self {
        let count = known.map_or(0, |known| known.count);
        let ejected_until = known.map_or(now, |known| known.ejected_until);
        match is_suspect {
            true => Self {
                count: count.saturating_add(1),
                last_at: now,
                ejected_until: now + ejection(count),
            },
            false => Self {
                count,
                last_at: now,
                ejected_until,
            },
        }
    }

    pub(crate) fn is_ejected(&self, now: time::Instant) -> bool {
        now < self.ejected_until
    }

    /// Time left until the ejection ends.
    pub(crate) fn ejection_left(&self, now: time::Instant) -> time::Duration {
        self.ejected_until.saturating_duration_since(now)
    }

    /// Whether the failures are too old to be kept for a member that is gone.
    pub(crate) fn is_expired(&self, now: time::Instant) -> bool {
        now >= self.last_at + RETENTION
    }
}

/// Duration of the ejection after a failure that follows `earlier` ones.
fn ejection(earlier: u32) -> time::Duration {
    let factor = 2_u32.saturating_pow(earlier);
    FIRST_EJECTION.saturating_mul(factor).min(MAX_EJECTION)
}
