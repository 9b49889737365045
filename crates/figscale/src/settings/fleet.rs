//! Settings of an entry instance that schedules a fleet of workers.

use std::net;
use std::time;

use figscale_core::fleet::PreemptionCosts;
use serde::Deserialize;
use serde::Serialize;

use super::Problems;

/// Scheduling of the workers of the users' platform.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSettings {
    /// Address on which the platform's balancer checks whether to send new connections.
    pub ready_address: net::SocketAddr,
    /// Address of the advisory service, for queues that use it.
    #[serde(default)]
    pub advice_address: Option<net::SocketAddr>,
    /// Maximum lease that workers grant. Default 6,000, 1,000 to 600,000.
    #[serde(default = "default_max_worker_lease_ms")]
    pub max_worker_lease_ms: u64,
    /// Maximum time that a worker takes to end a task. Default 400, 1 to 60,000.
    #[serde(default = "default_stop_limit_ms")]
    pub stop_limit_ms: u64,
    /// Time between two checkpoints of a task that saves its progress, in seconds,
    /// possibly with a fraction. Default none: not known. 0.01 to 3,600.
    #[serde(default)]
    pub checkpoint_s: Option<f64>,
    /// Time for a task to resume from a checkpoint. Default none: not known. 0 to 600,000.
    #[serde(default)]
    pub restore_ms: Option<u64>,
    /// Maximum age of the last reading of a worker's entry for new work on it.
    /// Default 3,000, 1,000 to 600,000.
    #[serde(default = "default_max_entry_age_ms")]
    pub max_entry_age_ms: u64,
    /// Maximum age of the proof that the configuration is the newest, for all
    /// decisions that depend on customers' keys and limits. Default none: any age.
    /// 1,000 to 600,000.
    #[serde(default)]
    pub max_config_age_ms: Option<u64>,
    /// Duration of the leader's lease after each renewal. Default 1,500, 1,000 to 60,000.
    #[serde(default = "default_leader_lease_ms")]
    pub leader_lease_ms: u64,
    /// Maximum number of workers that a leader calls itself; with more workers, the
    /// other instances relay the calls. Default 64, 0 to 100,000.
    #[serde(default = "default_own_workers")]
    pub own_workers: u64,
    /// Share of each core that this instance may use. Default 1.0, 0.01 to 1.0.
    #[serde(default = "default_cpu_share")]
    pub cpu_share: f64,
    /// Maximum size of a caller's request body. Default 262,144 bytes, 65,536 to 4,194,304.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: u64,
    /// Maximum size of a job's specification. Default 4,000 bytes, 1 to 262,144.
    #[serde(default = "default_max_spec_bytes")]
    pub max_spec_bytes: usize,
    /// Maximum memory that the leader uses for open jobs; a quarter of the machine's memory
    /// at most. Default 67,108,864 bytes, 8 MiB to 64 GiB.
    #[serde(default = "default_job_memory_bytes")]
    pub job_memory_bytes: u64,
    /// Number of cores that it may use to that share. Default 1, 1 to 1,024.
    #[serde(default = "default_cores")]
    pub cores: u64,
}

fn default_max_worker_lease_ms() -> u64 {
    6_000
}

fn default_stop_limit_ms() -> u64 {
    400
}

fn default_max_entry_age_ms() -> u64 {
    3_000
}

fn default_leader_lease_ms() -> u64 {
    1_500
}

fn default_own_workers() -> u64 {
    64
}

fn default_max_body_bytes() -> u64 {
    262_144
}

fn default_max_spec_bytes() -> usize {
    4_000
}

fn default_job_memory_bytes() -> u64 {
    64 << 20
}

fn default_cpu_share() -> f64 {
    1.0
}

fn default_cores() -> u64 {
    1
}

impl FleetSettings {
    /// Processor capacity of this instance, in thousandths of a core.
    pub fn cpu_millis(&self) -> u64 {
        (self.cpu_share * 1_000.0) as u64 * self.cores
    }

    /// Maximum age of the proof that the configuration is the newest.
    pub fn max_config_age(&self) -> Option<time::Duration> {
        self.max_config_age_ms.map(time::Duration::from_millis)
    }

    /// What it takes to stop a task for another; `None` if a part of it is not known.
    pub fn preemption(&self) -> Option<PreemptionCosts> {
        let checkpoint_s = self.checkpoint_s?;
        Some(PreemptionCosts {
            checkpoint_interval: time::Duration::try_from_secs_f64(checkpoint_s).ok()?,
            restore: time::Duration::from_millis(self.restore_ms?),
        })
    }

    pub(super) fn check(&self, problems: &mut Problems) {
        let leases = self.max_worker_lease_ms;
        problems.bound("fleet.max_worker_lease_ms", leases, 1_000, 600_000);
        problems.bound("fleet.stop_limit_ms", self.stop_limit_ms, 1, 60_000);
        if let Some(checkpoint_s) = self.checkpoint_s {
            problems.bound("fleet.checkpoint_s", checkpoint_s, 0.01, 3_600.0);
        }
        if let Some(restore_ms) = self.restore_ms {
            problems.bound("fleet.restore_ms", restore_ms, 0, 600_000);
        }
        let age = self.max_entry_age_ms;
        problems.bound("fleet.max_entry_age_ms", age, 1_000, 600_000);
        if let Some(age) = self.max_config_age_ms {
            problems.bound("fleet.max_config_age_ms", age, 1_000, 600_000);
        }
        problems.bound("fleet.leader_lease_ms", self.leader_lease_ms, 1_000, 60_000);
        problems.bound("fleet.own_workers", self.own_workers, 0, 100_000);
        let body = self.max_body_bytes;
        problems.bound("fleet.max_body_bytes", body, 65_536, 4 << 20);
        let spec = self.max_spec_bytes;
        problems.bound("fleet.max_spec_bytes", spec, 1, 262_144);
        let jobs = self.job_memory_bytes;
        problems.bound("fleet.job_memory_bytes", jobs, 8 << 20, 64 << 30);
        problems.bound("fleet.cpu_share", self.cpu_share, 0.01, 1.0);
        problems.bound("fleet.cores", self.cores, 1, 1_024);
    }
}
