//! Settings of jobs and tasks.

use serde::Deserialize;
use serde::Serialize;

use super::Problems;

/// Jobs and tasks. The leases must be the same in all entry instances.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct JobSettings {
    /// Duration of a task's lease after each renewal; longer than a takeover, so
    /// that tasks survive the loss of their holder. Default 20,000, 500 to 60,000.
    pub lease_ms: u64,
    /// Time between renewals of a lease. Default 1,500, 50 to 20,000; a third of the lease at most.
    pub renew_ms: u64,
    /// Maximum time between sending to a worker and its receipt. Default 1,000, 50 to 10,000.
    pub window_ms: u64,
    /// Safety margin for clock drift and scheduling delays. Default 500, 10 to 5,000.
    pub margin_ms: u64,
    /// Minimum time between two writes of a job shard. Default 200, 10 to 10,000.
    pub write_every_ms: u64,
    /// Retention time of ended jobs. Default 3,600,000, 1,000 to 604,800,000.
    pub keep_ended_ms: u64,
}

impl Default for JobSettings {
    fn default() -> Self {
        Self {
            lease_ms: 20_000,
            renew_ms: 1_500,
            window_ms: 1_000,
            margin_ms: 500,
            write_every_ms: 200,
            keep_ended_ms: 3_600_000,
        }
    }
}

impl JobSettings {
    pub(super) fn check(&self, problems: &mut Problems) {
        problems.bound("jobs.lease_ms", self.lease_ms, 500, 60_000);
        problems.bound("jobs.renew_ms", self.renew_ms, 50, 20_000);
        problems.bound("jobs.window_ms", self.window_ms, 50, 10_000);
        problems.bound("jobs.margin_ms", self.margin_ms, 10, 5_000);
        problems.bound("jobs.write_every_ms", self.write_every_ms, 10, 10_000);
        problems.bound("jobs.keep_ended_ms", self.keep_ended_ms, 1_000, 604_800_000);
        if self.renew_ms * 3 > self.lease_ms {
            problems.add(format!(
                "jobs.renew_ms is {}: expected a third of jobs.lease_ms ({}) at most",
                self.renew_ms, self.lease_ms
            ));
        }
    }
}
