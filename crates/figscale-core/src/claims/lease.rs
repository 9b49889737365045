//! The member's own lease.

use std::time;

use figscale_types::ids;

use super::Config;

/// A lease that was granted and is not known to have ended.
#[derive(Clone, Debug)]
pub(super) struct OwnLease {
    pub(super) id: ids::LeaseId,
    /// Whether its member key was written to the store.
    pub(super) announced: bool,
    /// Until when it is certainly valid; `None` if the clock has jumped since
    /// the last renewal.
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

    /// Records a renewal. A late response to an earlier renewal changes nothing.
    pub(super) fn renewed(&mut self, sent_at: time::Instant, now: time::Instant, config: &Config) {
        let from = match config.guards.count_from_sent {
            true => sent_at,
            false => now,
        };
        self.valid_until = self.valid_until.max(Some(valid_until(from, config)));
    }
}

/// Until when a lease or promise that starts at `from` is certainly valid.
pub(super) fn valid_until(from: time::Instant, config: &Config) -> time::Instant {
    match config.guards.keep_margin {
        true => from + config.lease.saturating_sub(config.margin),
        false => from + config.lease,
    }
}
