//! Rate limits of a stand-in platform, as token buckets.
//!
//! A bucket holds the tokens of one second, so that a burst after an idle second
//! is accepted and a sustained excess is not.

use std::time;

#[derive(Debug)]
struct Bucket {
    per_s: f64,
    tokens: f64,
    filled_at: time::Instant,
}

impl Bucket {
    fn new(per_s: f64, now: time::Instant) -> Self {
        Self {
            per_s,
            tokens: per_s,
            filled_at: now,
        }
    }

    fn take(&mut self, now: time::Instant) -> bool {
        let passed = now.saturating_duration_since(self.filled_at);
        self.tokens = (self.tokens + passed.as_secs_f64() * self.per_s).min(self.per_s);
        self.filled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

#[derive(Debug)]
pub(crate) struct Limits {
    writes: Bucket,
    reads: Bucket,
}

impl Limits {
    pub(crate) fn new(config: &super::Config, now: time::Instant) -> Self {
        Self {
            writes: Bucket::new(config.writes_per_s, now),
            reads: Bucket::new(config.reads_per_s, now),
        }
    }

    pub(crate) fn set_rates(&mut self, writes_per_s: f64, reads_per_s: f64) {
        self.writes.per_s = writes_per_s;
        self.reads.per_s = reads_per_s;
    }

    /// Takes a token for a call; `false` if the rate limit is exceeded.
    pub(crate) fn take(&mut self, write: bool, now: time::Instant) -> bool {
        let bucket = if write {
            &mut self.writes
        } else {
            &mut self.reads
        };
        bucket.take(now)
    }
}
