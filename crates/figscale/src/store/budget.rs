//! The share of the store's calls that this entry instance may make.
//!
//! A token bucket of one second's worth. The budget of all entry instances is
//! divided evenly by their number; an idle one's share is not lent to others,
//! which wastes some of it but needs no message between them.

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
    /// A full bucket for one entry instance that has the budget to itself.
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

    /// Takes a token and tells how long to wait for it; `None`, and no token
    /// taken, when that would be longer than `longest`.
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

    /// Takes a token for a call that does not wait; the debt is bounded.
    pub fn charge(&mut self, now: time::Instant) {
        self.fill(now);
        self.tokens = (self.tokens - 1.0).max(-self.burst());
    }

    /// One second's worth, and room for at least one call.
    fn burst(&self) -> f64 {
        self.calls_per_s.max(1.0)
    }

    fn fill(&mut self, now: time::Instant) {
        let passed = now.saturating_duration_since(self.filled_at);
        self.tokens = (self.tokens + passed.as_secs_f64() * self.calls_per_s).min(self.burst());
        self.filled_at = now;
    }
}
