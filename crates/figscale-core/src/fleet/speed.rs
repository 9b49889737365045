//! Speed of workers, and how far the tasks of each queue differ from their
//! estimates.
//!
//! Placement reads [`super::worker::Worker::slowdown`] and [`RunTimes`]. Both say
//! nothing until there is evidence: then work takes as long as it is estimated to
//! take, on every worker alike.

use std::time;

use figscale_types::fleet;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use super::maps;
use super::scheduler;

/// How long the tasks of a queue take on a worker of ordinary speed, in percent
/// of their estimates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunTimes {
    /// The median.
    pub typical_percent: u32,
    /// Nine of ten tasks take no longer.
    pub cautious_percent: u32,
}

impl Default for RunTimes {
    fn default() -> Self {
        Self {
            typical_percent: 100,
            cautious_percent: 100,
        }
    }
}

impl RunTimes {
    /// How long a task takes at the median.
    pub fn typical(&self, estimate: time::Duration) -> time::Duration {
        estimate.saturating_mul(self.typical_percent) / 100
    }

    /// How long a task takes that is among the slowest tenth.
    pub fn cautious(&self, estimate: time::Duration) -> time::Duration {
        estimate.saturating_mul(self.cautious_percent) / 100
    }
}

/// What is known of the speed of workers and of the run times of queues.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Speeds {
    /// Workers that are not of ordinary speed.
    pub workers: Vec<(fleet::WorkerId, fleet::Slowdown)>,
    /// Run times by the name of the queue.
    pub queues: Vec<(String, RunTimes)>,
}

/// Estimates of the speed of workers and of the run times of queues.
#[derive(Clone, Debug, Default)]
pub(crate) struct SpeedEstimates {
    workers: maps::WorkerMap<fleet::Slowdown>,
    queues: IndexMap<String, RunTimes>,
}

impl SpeedEstimates {
    pub(crate) fn slowdown(&self, worker: &fleet::WorkerId) -> fleet::Slowdown {
        self.workers.get(worker).copied().unwrap_or_default()
    }
}

impl scheduler::Scheduler {
    /// Takes over what an earlier leader knew of speeds.
    pub fn set_speeds(&mut self, speeds: &Speeds) {
        self.speeds.workers = speeds.workers.iter().cloned().collect();
        self.speeds.queues = speeds.queues.iter().cloned().collect();
        for (id, worker) in &mut self.workers {
            worker.slowdown = self.speeds.slowdown(id);
        }
    }

    /// Run times of a queue's tasks.
    pub(crate) fn run_times(&self, queue_name: &str) -> RunTimes {
        let known = self.speeds.queues.get(queue_name);
        known.copied().unwrap_or_default()
    }
}
