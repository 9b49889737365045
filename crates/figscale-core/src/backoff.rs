//! Delays between retries of a failed call.

use std::time;

use rand::RngExt as _;

/// Factor by which the delay bound grows after each failure.
const GROWTH_FACTOR: u32 = 2;

/// Exponential backoff with jitter, reset by a success.
///
/// Each delay is drawn at random between a tenth of the current bound and the
/// bound itself, so that entry instances that failed together do not retry
/// together.
#[derive(Clone, Debug)]
pub struct Backoff {
    first: time::Duration,
    longest: time::Duration,
    bound: time::Duration,
}

impl Backoff {
    /// Creates a backoff whose bound grows from `first` up to `longest`.
    pub fn new(first: time::Duration, longest: time::Duration) -> Self {
        Self {
            first,
            longest,
            bound: first,
        }
    }

    /// Records a success: the bound returns to its first value.
    pub fn reset(&mut self) {
        self.bound = self.first;
    }

    /// Records a failure and draws the delay before the next attempt.
    pub fn next_delay(&mut self, rng: &mut impl rand::Rng) -> time::Duration {
        let delay = self.bound.mul_f64(rng.random_range(0.1..=1.0));
        self.bound = (self.bound * GROWTH_FACTOR).min(self.longest);
        delay
    }
}
