//! Record of which tasks ran where and when, and the invariant checker on it.
//!
//! A run is a period in which a worker actually executed a task. It ends when
//! the task ends or is stopped, when its lease expires, or when the worker is
//! frozen; a new run begins when the worker resumes. A lease ends its run at its
//! expiry time, which the worker's clock determines in advance, not at the tick
//! that notices it, so that a late tick of the stand-in is not reported as a
//! fault of the system.

use std::sync;
use std::time;

use figscale_types::ids;
use figscale_types::mutex;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

/// A period in which a worker executed a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The task.
    pub task: ids::TaskId,
    /// Attempt.
    pub attempt: u32,
    /// The worker.
    pub worker: ids::InstanceId,
    /// When it began.
    pub began: time::Instant,
    /// When the task's lease expires.
    pub lease_until: time::Instant,
    /// When it ended; `None` while it is open.
    pub ended: Option<time::Instant>,
}

impl Run {
    /// Whether it is open at `now`. An expired lease ends it even if its end has not
    /// been recorded yet.
    fn is_open_at(&self, now: time::Instant) -> bool {
        self.ended.is_none() && now < self.lease_until
    }
}

/// A violated guarantee of the system.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Violation {
    /// A task ran on two workers at once.
    TwoPlaces {
        /// The task.
        task: ids::TaskId,
        /// Worker that ran it already.
        first: ids::InstanceId,
        /// Worker that ran it as well.
        second: ids::InstanceId,
    },
}

/// The record of several workers; clones share it.
#[derive(Clone, Debug, Default)]
pub struct TaskLedger(sync::Arc<sync::Mutex<Records>>);

#[derive(Debug, Default)]
struct Records {
    runs: Vec<Run>,
    /// Indices of the runs without a recorded end, by task.
    open: IndexMap<ids::TaskId, Vec<usize>>,
    /// Starts by task, of all attempts and workers.
    starts: IndexMap<ids::TaskId, u32>,
    /// Run time that a task saved at its last checkpoint.
    saved: IndexMap<ids::TaskId, time::Duration>,
    violations: Vec<Violation>,
}

impl TaskLedger {
    /// Every run, in the order in which they began.
    pub fn runs(&self) -> Vec<Run> {
        mutex::lock(&self.0).runs.clone()
    }

    /// Number of times that a task was started, on any worker.
    pub fn starts(&self, task: &ids::TaskId) -> u32 {
        mutex::lock(&self.0)
            .starts
            .get(task)
            .copied()
            .unwrap_or_default()
    }

    /// Number of starts of each task.
    pub fn all_starts(&self) -> IndexMap<ids::TaskId, u32> {
        mutex::lock(&self.0).starts.clone()
    }

    /// Every violation, in order of detection.
    pub fn violations(&self) -> Vec<Violation> {
        mutex::lock(&self.0).violations.clone()
    }

    pub(super) fn started(&self, task: &ids::TaskId) {
        *mutex::lock(&self.0).starts.entry(task.clone()).or_default() += 1;
    }

    pub(super) fn began(&self, run: Run) {
        mutex::lock(&self.0).begin(run);
    }

    pub(super) fn renewed(
        &self,
        task: &ids::TaskId,
        worker: &ids::InstanceId,
        until: time::Instant,
    ) {
        mutex::lock(&self.0).update_open_run(task, worker, |run| run.lease_until = until);
    }

    pub(super) fn ended(&self, task: &ids::TaskId, worker: &ids::InstanceId, at: time::Instant) {
        mutex::lock(&self.0).end(task, worker, at);
    }

    pub(super) fn save(&self, task: &ids::TaskId, ran: time::Duration) {
        mutex::lock(&self.0).saved.insert(task.clone(), ran);
    }

    pub(super) fn saved(&self, task: &ids::TaskId) -> time::Duration {
        mutex::lock(&self.0)
            .saved
            .get(task)
            .copied()
            .unwrap_or_default()
    }
}

impl Records {
    fn begin(&mut self, run: Run) {
        let open = self.open.entry(run.task.clone()).or_default();
        open.retain(|number| self.runs[*number].is_open_at(run.began));
        for number in open.iter() {
            self.violations.push(Violation::TwoPlaces {
                task: run.task.clone(),
                first: self.runs[*number].worker.clone(),
                second: run.worker.clone(),
            });
        }
        open.push(self.runs.len());
        self.runs.push(run);
    }

    fn update_open_run(
        &mut self,
        task: &ids::TaskId,
        worker: &ids::InstanceId,
        change: impl FnOnce(&mut Run),
    ) {
        let open = self.open.get(task).map_or(&[][..], Vec::as_slice);
        let of_worker = |number: &&usize| self.runs[**number].worker == *worker;
        if let Some(number) = open.iter().rfind(of_worker).copied() {
            change(&mut self.runs[number]);
        }
    }

    fn end(&mut self, task: &ids::TaskId, worker: &ids::InstanceId, at: time::Instant) {
        self.update_open_run(task, worker, |run| run.ended = Some(at));
        if let Some(open) = self.open.get_mut(task) {
            open.retain(|number| self.runs[*number].ended.is_none());
        }
    }
}
