//! Delays between repeats of a failed call.

use std::time;

use rand::RngExt as _;

/// Grows the delay by this factor at each failure.
const FACTOR: u32 = 2;

/// Doubling delays with full jitter, reset by a success.
///
/// Each delay is drawn between nothing and the current bound, so that entry
/// instances that failed together do not come back together.
#[derive(Clone, Debug)]
pub struct Backoff {
    first: time::Duration,
    longest: time::Duration,
    bound: time::Duration,
}

impl Backoff {
    /// Delays from `first` to `longest`.
    pub fn new(first: time::Duration, longest: time::Duration) -> Self {
        Self {
            first,
            longest,
            bound: first,
        }
    }

    /// Notes a success.
    pub fn reset(&mut self) {
        self.bound = self.first;
    }

    /// Notes a failure and draws the delay before the next try.
    pub fn next_delay(&mut self, rng: &mut impl rand::Rng) -> time::Duration {
        let delay = self.bound.mul_f64(rng.random_range(0.1..=1.0));
        self.bound = (self.bound * FACTOR).min(self.longest);
        delay
    }
}
