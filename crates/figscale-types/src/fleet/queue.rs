//! Queues and services, as the operators configure them.

use indexmap::IndexSet;
use serde::Deserialize;
use serde::Serialize;

use super::customer;

/// Response times of the advisory service of a queue, and the validity of its tickets.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdvicePolicy {
    /// Fixed part of the time for a query.
    pub base_ms: f64,
    /// Additional time for each worker in the query.
    pub per_worker_ms: f64,
    /// Time for which a ticket is valid.
    pub valid_ms: u64,
}

impl AdvicePolicy {
    /// Time of a query about this number of workers.
    pub fn duration_ms(&self, workers: usize) -> f64 {
        self.base_ms + self.per_worker_ms * workers as f64
    }
}

/// A queue that callers submit jobs to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Its name; not stable across restarts of the platform.
    pub name: String,
    /// Host that callers address.
    pub host: String,
    /// Path prefix, which is followed by a job id.
    pub prefix: String,
    /// Pool of workers that runs its tasks.
    pub service: String,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs of one task after which its job fails.
    pub max_attempts: u32,
    /// Factor by which a job's own length is multiplied in its latency objective.
    pub stretch: f64,
    /// Constant part of the latency objective.
    pub target_latency_ms: u64,
    /// Advisory service that decides which workers may run a step; `None` if any may.
    pub advice: Option<AdvicePolicy>,
}

/// A pool of workers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: String,
}

/// One version of the operators' configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QueueTable {
    /// Increases with each change, not always by one.
    pub version: u64,
    /// Queues.
    pub queues: Vec<Queue>,
    /// Pools of workers.
    pub services: Vec<Service>,
    /// Names of the queues that accept calls without a key. Not a field of [`Queue`],
    /// because a queue is part of stored job records.
    pub public_queues: IndexSet<String>,
    /// Customers; `None` if calls carry no keys.
    pub customers: Option<customer::Customers>,
}

impl QueueTable {
    /// Whether there is a pool of this name.
    pub fn has_service(&self, name: &str) -> bool {
        self.services.iter().any(|service| service.name == name)
    }

    /// Whether calls for a queue must carry a customer's key.
    pub fn needs_key(&self, queue: &Queue) -> bool {
        self.customers.is_some() && !self.public_queues.contains(&queue.name)
    }

    /// The queue of this name.
    pub fn named(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.name == name)
    }

    /// The queue of a host with the longest prefix of a path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Queue> {
        let matches = |queue: &&Queue| queue.host == host && path.starts_with(&queue.prefix);
        let matching = self.queues.iter().filter(matches);
        matching.max_by_key(|queue| queue.prefix.len())
    }
}
