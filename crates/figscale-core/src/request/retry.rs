//! Whether a failed attempt may be tried again.
//!
//! Only what is known not to have run, or what does no harm when run twice, is
//! tried again; within the deadline, the entry's number of attempts, and a
//! budget that every first attempt feeds. The budget keeps retries a small
//! share of the load when everything fails, which is when they do most harm.
//! A refusal by a holder without room costs a runner nothing and is not charged
//! to the budget, but is bounded by the number of holders.

use std::time;

use figscale_types::verdict::Verdict;

/// Settings of the retry budget.
#[derive(Clone, Copy, Debug)]
pub struct RetryConfig {
    /// Retries earned by each first attempt. Default 0.1.
    pub ratio: f64,
    /// Most retries saved up. Default 20.
    pub burst: f64,
}

impl Default for RetryConfig {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            burst: 20.0,
        }
    }
}

/// Retries that may be spent, shared by all requests of a service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    config: RetryConfig,
    saved: f64,
}

impl RetryBudget {
    /// A full budget.
    pub fn new(config: RetryConfig) -> Self {
        let saved = config.burst;
        Self { config, saved }
    }

    /// Earns the share of a first attempt.
    pub fn earn(&mut self) {
        self.saved = (self.saved + self.config.ratio).min(self.config.burst);
    }

    /// Spends one retry, if there is one.
    pub fn spend(&mut self) -> bool {
        let enough = self.saved >= 1.0;
        if enough {
            self.saved -= 1.0;
        }
        enough
    }

    /// Retries saved up.
    pub fn saved(&self) -> f64 {
        self.saved
    }
}

/// A request whose attempt failed.
#[derive(Clone, Copy, Debug)]
pub struct Failed {
    /// What is known about the attempt.
    pub verdict: Verdict,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Attempts so far, this one included.
    pub attempts: u32,
    /// Most attempts.
    pub max_attempts: u32,
    /// When its caller stops waiting.
    pub deadline: time::Instant,
}

impl Failed {
    /// Whether another attempt may start at `now`; spends the budget if so.
    pub fn may_retry(&self, now: time::Instant, budget: &mut RetryBudget) -> bool {
        let harmless = match self.verdict {
            Verdict::NotRun => true,
            Verdict::MayHaveRun => self.idempotent,
            Verdict::Ran => false,
        };
        harmless && self.attempts < self.max_attempts && now < self.deadline && budget.spend()
    }
}
