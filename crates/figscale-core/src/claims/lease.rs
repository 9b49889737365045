//! The member's own lease.

use std::time;

use figscale_types::ids;

use super::Config;

/// A lease that was granted and has not been seen gone.
#[derive(Clone, Debug)]
pub(super) struct OwnLease {
    /// Its id.
    pub(super) id: ids::LeaseId,
    /// Whether its key is in the store.
    pub(super) announced: bool,
    /// Until when it is surely valid; `None` when the clock jumped since.
    pub(super) valid_until: Option<time::Instant>,
}

impl OwnLease {
    pub(super) fn new(
        id: ids::LeaseId,
        sent_at: time::Instant,
        now: time::Instant,
        config: &Config,
    ) -> Self {
        let mut lease = Self {
            id,
            announced: false,
            valid_until: None,
        };
        lease.renewed(sent_at, now, config);
        lease
    }

    /// Notes a renewal; late answers to earlier renewals change nothing.
    pub(super) fn renewed(&mut self, sent_at: time::Instant, now: time::Instant, config: &Config) {
        let from = match config.guards.count_from_sent {
            true => sent_at,
            false => now,
        };
        self.valid_until = self.valid_until.max(Some(valid_until(from, config)));
    }
}

/// The end of what is surely valid of a lease or promise counted from `from`.
pub(super) fn valid_until(from: time::Instant, config: &Config) -> time::Instant {
    match config.guards.keep_margin {
        true => from + config.lease.saturating_sub(config.margin),
        false => from + config.lease,
    }
}
