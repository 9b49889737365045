//! Decides whether a failed attempt may be retried.
//!
//! An attempt is retried only if it is known not to have run, or may run twice
//! without harm. Retries end with the deadline, the maximum number of attempts of
//! the entry, and a budget to which every first attempt contributes. The budget
//! limits retries to a small share of the load when everything fails, which is
//! when they do the most harm. A refusal by a holder without free slots costs a
//! runner nothing: it is not charged to the budget, but is bounded by the number
//! of holders.

use std::time;

use figscale_types::verdict::Verdict;

/// Settings of the retry budget.
#[derive(Clone, Copy, Debug)]
pub struct RetryConfig {
    /// Retries earned by each first attempt. Default 0.1.
    pub ratio: f64,
    /// Largest balance of the budget, in retries. Default 20.
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

/// Retry budget shared by all requests of a service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    config: RetryConfig,
    balance: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(config: RetryConfig) -> Self {
        let balance = config.burst;
        Self { config, balance }
    }

    /// Adds the contribution of a first attempt.
    pub fn earn(&mut self) {
        self.balance = (self.balance + self.config.ratio).min(self.config.burst);
    }

    /// Takes one retry from the budget; `false` if it has less than one.
    pub fn spend(&mut self) -> bool {
        let enough = self.balance >= 1.0;
        if enough {
            self.balance -= 1.0;
        }
        enough
    }

    /// Balance of the budget, in retries.
    pub fn balance(&self) -> f64 {
        self.balance
    }
}

/// A request whose attempt failed.
#[derive(Clone, Copy, Debug)]
pub struct Failed {
    /// What is known about the attempt.
    pub verdict: Verdict,
    /// Whether the request may run twice without harm.
    pub idempotent: bool,
    /// Attempts so far, including this one.
    pub attempts: u32,
    /// Maximum number of attempts.
    pub max_attempts: u32,
    /// When its caller stops waiting.
    pub deadline: time::Instant,
}

impl Failed {
    /// Whether another attempt may start at `now`; if so, takes it from the budget.
    pub fn may_retry(&self, now: time::Instant, budget: &mut RetryBudget) -> bool {
        let harmless = match self.verdict {
            Verdict::NotRun => true,
            Verdict::MayHaveRun => self.idempotent,
            Verdict::Ran => false,
        };
        harmless && self.attempts < self.max_attempts && now < self.deadline && budget.spend()
    }
}
