//! Leases of workers, measured on the workers' own clocks.
//!
//! A worker ends all its runs when its lease expires by its own monotonic clock,
//! of which the leader knows only the readings in the worker's answers. A reading
//! was taken before the answer arrived. So the worker's clock is never behind the
//! estimate made here, which also allows for a worker's clock that runs slightly
//! slow.

use std::time;

/// Slowest rate of a worker's clock relative to the leader's, in percent. The
/// platform guarantees a deviation of 2 % at most; one more percent allows for the
/// leader's own clock.
const SLOWEST_RATE_PERCENT: u64 = 97;
/// Fastest rate, with the same allowance.
const FASTEST_RATE_PERCENT: u64 = 103;
/// A lease that was granted for this time, by the clock of the worker, is over after this
/// percentage of it by any other.
const EXPIRY_PERCENT: u32 = 110;

/// Last reading of a worker's clock, and the end of its lease by that clock.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Lease {
    reading: Option<(u64, time::Instant)>,
    until_clock_ms: u64,
}

impl Lease {
    /// Records a reading that has just arrived.
    pub(crate) fn record_reading(&mut self, clock_ms: u64, now: time::Instant) {
        if self.reading.is_none_or(|(known, _)| clock_ms >= known) {
            self.reading = Some((clock_ms, now));
        }
    }

    /// Records a lease that was sent, whether or not it arrived.
    pub(crate) fn record_sent(&mut self, until_clock_ms: u64) {
        self.until_clock_ms = self.until_clock_ms.max(until_clock_ms);
    }

    /// Lower bound of the worker's clock now.
    pub(crate) fn clock_ms(&self, now: time::Instant) -> Option<u64> {
        let (reading_ms, at) = self.reading?;
        let passed = millis(now.saturating_duration_since(at));
        Some(reading_ms + passed * SLOWEST_RATE_PERCENT / 100)
    }

    /// Lower bound of the worker's clock at `at`, no later than the last reading.
    fn clock_ms_by(&self, at: time::Instant) -> Option<u64> {
        let (reading_ms, read_at) = self.reading?;
        let since_ms = millis(read_at.saturating_duration_since(at));
        let since_ms = (since_ms * FASTEST_RATE_PERCENT).div_ceil(100);
        Some(reading_ms.saturating_sub(since_ms))
    }

    /// Latest end, by the worker's clock, of a lease of this length that a leader may
    /// grant which has proven its leadership for `proven_at`.
    pub(crate) fn latest_end_ms(
        &self,
        lease: time::Duration,
        proven_at: Option<time::Instant>,
    ) -> Option<u64> {
        let (reading_ms, read_at) = self.reading?;
        let proven_at = proven_at.unwrap_or(read_at);
        let begin_ms = self.clock_ms_by(proven_at).unwrap_or(reading_ms);
        Some(begin_ms + millis(lease))
    }

    /// Last reading of the worker's clock.
    pub(crate) fn last_reading_ms(&self) -> Option<u64> {
        self.reading.map(|(reading_ms, _)| reading_ms)
    }

    /// Whether the lease, and `grace` after it, are certainly over.
    pub(crate) fn is_over(&self, grace: time::Duration, now: time::Instant) -> bool {
        let end_ms = self.until_clock_ms + millis(grace);
        self.clock_ms(now).is_some_and(|clock_ms| clock_ms > end_ms)
    }

    /// When the last reading arrived.
    pub(crate) fn read_at(&self) -> Option<time::Instant> {
        self.reading.map(|(_, at)| at)
    }

    /// Time since the last reading.
    pub(crate) fn time_since_reading(&self, now: time::Instant) -> Option<time::Duration> {
        self.reading
            .map(|(_, at)| now.saturating_duration_since(at))
    }
}

/// How long after the last proof of its leadership a leader's leases of this length, and
/// the stops that follow, may last.
pub(crate) fn time_to_expire(lease: time::Duration, stop_limit: time::Duration) -> time::Duration {
    lease * EXPIRY_PERCENT / 100 + stop_limit
}

pub(crate) use figscale_types::clock::millis;
