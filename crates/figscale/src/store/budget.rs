//! Rate limit of this entry instance's calls to the store.
//!
//! A token bucket that holds the tokens of one second. The budget of all entry
//! instances is divided evenly by their number. The share of an idle instance
//! is not lent to others, which wastes some of the budget but needs no messages
//! between instances.

use std::time;

/// A token bucket over the budget shared by all entry instances.
#[derive(Clone, Debug)]
pub struct Budget {
    all_calls_per_s: f64,
    calls_per_s: f64,
    tokens: f64,
    filled_at: time::Instant,
}

impl Budget {
    /// Creates a full bucket for an entry instance that has the whole budget.
    pub fn new(all_calls_per_s: u64, now: time::Instant) -> Self {
        let rate = all_calls_per_s.max(1) as f64;
        Self {
            all_calls_per_s: rate,
            calls_per_s: rate,
            tokens: rate,
            filled_at: now,
        }
    }

    /// Divides the budget among `members` entry instances.
    pub fn share_among(&mut self, members: usize, now: time::Instant) {
        self.fill(now);
        self.calls_per_s = self.all_calls_per_s / members.max(1) as f64;
        self.tokens = self.tokens.min(self.burst());
    }

    /// Takes a token and returns how long to wait for it.
    ///
    /// Returns `None` and takes no token if the wait would exceed `longest`.
    pub fn reserve(
        &mut self,
        now: time::Instant,
        longest: time::Duration,
    ) -> Option<time::Duration> {
        self.fill(now);
        let missing = (1.0 - self.tokens).max(0.0);
        let wait = time::Duration::from_secs_f64(missing / self.calls_per_s);
        if wait > longest {
            return None;
        }
        self.tokens -= 1.0;
        Some(wait)
    }

    /// Takes a token for a call that does not wait. The bucket may go negative by
    /// at most the burst size.
    pub fn charge(&mut self, now: time::Instant) {
        self.fill(now);
        self.tokens = (self.tokens - 1.0).max(-self.burst());
    }

    /// Size of the bucket: the tokens of one second, but at least one.
    fn burst(&self) -> f64 {
        self.calls_per_s.max(1.0)
    }

    fn fill(&mut self, now: time::Instant) {
        let passed = now.saturating_duration_since(self.filled_at);
        self.tokens = (self.tokens + passed.as_secs_f64() * self.calls_per_s).min(self.burst());
        self.filled_at = now;
    }
}
