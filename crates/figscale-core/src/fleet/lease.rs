//! Leases of workers, counted on their own clocks.
//!
//! A worker ends everything when its lease has run out by its own steady
//! clock, of which only readings in answers are known. A reading is at least
//! as old as the moment it arrived, so a worker's clock can only be ahead of
//! what is reckoned here; its rate may be a little slow.

use std::time;

/// Slowest rate of a worker's clock against ours, in percent; the platform
/// promises 2 % at most, and a percent is kept for our own clock.
const SLOWEST_RATE_PERCENT: u64 = 97;

/// A worker's clock and the lease granted on it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Lease {
    reading: Option<(u64, time::Instant)>,
    until_clock_ms: u64,
}

impl Lease {
    /// Takes note of a reading that has just arrived.
    pub(crate) fn read(&mut self, clock_ms: u64, now: time::Instant) {
        if self.reading.is_none_or(|(known, _)| clock_ms >= known) {
            self.reading = Some((clock_ms, now));
        }
    }

    /// Takes note of a lease that was sent, whether or not it arrived.
    pub(crate) fn sent(&mut self, until_clock_ms: u64) {
        self.until_clock_ms = self.until_clock_ms.max(until_clock_ms);
    }

    /// The least that the worker's clock shows now.
    pub(crate) fn clock_ms(&self, now: time::Instant) -> Option<u64> {
        let (reading_ms, at) = self.reading?;
        let passed = millis(now.saturating_duration_since(at));
        Some(reading_ms + passed * SLOWEST_RATE_PERCENT / 100)
    }

    /// The worker's clock when it was last read.
    pub(crate) fn last_reading_ms(&self) -> Option<u64> {
        self.reading.map(|(reading_ms, _)| reading_ms)
    }

    /// Whether the lease and `grace` after it are surely over.
    pub(crate) fn is_over(&self, grace: time::Duration, now: time::Instant) -> bool {
        let end_ms = self.until_clock_ms + millis(grace);
        self.clock_ms(now).is_some_and(|clock_ms| clock_ms > end_ms)
    }

    /// When the last reading arrived.
    pub(crate) fn read_at(&self) -> Option<time::Instant> {
        self.reading.map(|(_, at)| at)
    }

    /// Time since the last reading.
    pub(crate) fn silent_for(&self, now: time::Instant) -> Option<time::Duration> {
        self.reading
            .map(|(_, at)| now.saturating_duration_since(at))
    }
}

pub(crate) use figscale_types::clock::millis;
