//! Which tasks ran where and when, and the judgement on it.
//!
//! A run is a stretch of time in which a worker really worked on a task: it
//! ends when the task ends, is stopped, when its lease lapses, or while the
//! worker stands still. The end by a lapsed lease counts from the moment of
//! the lapse, which the worker's clock fixes beforehand, so that a late tick
//! of the stand-in is not taken for a fault of the system.

use std::sync;
use std::time;

use figscale_types::ids;
use figscale_types::mutex;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

/// A stretch of time in which a worker worked on a task.
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
    /// When the task's lease lapses.
    pub lease_until: time::Instant,
    /// When it ended; `None` while it goes on.
    pub ended: Option<time::Instant>,
}

impl Run {
    /// Whether it goes on at `now`; the lease ends it, whoever wrote that down.
    fn goes_on(&self, now: time::Instant) -> bool {
        self.ended.is_none() && now < self.lease_until
    }
}

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Violation {
    /// A task ran in two places at once.
    TwoPlaces {
        /// The task.
        task: ids::TaskId,
        /// Where it ran.
        first: ids::InstanceId,
        /// Where it ran as well.
        second: ids::InstanceId,
    },
}

/// The record of several workers; clones share it.
#[derive(Clone, Debug, Default)]
pub struct TaskLedger(sync::Arc<sync::Mutex<Book>>);

#[derive(Debug, Default)]
struct Book {
    runs: Vec<Run>,
    /// Runs that may go on, by task.
    open: IndexMap<ids::TaskId, Vec<usize>>,
    /// Starts by task, of all attempts and workers.
    starts: IndexMap<ids::TaskId, u32>,
    /// Run time that a task saved at its last checkpoint.
    saved: IndexMap<ids::TaskId, time::Duration>,
    violations: Vec<Violation>,
}

impl TaskLedger {
    /// Every run, in order of its beginning.
    pub fn runs(&self) -> Vec<Run> {
        mutex::lock(&self.0).runs.clone()
    }

    /// How many times a task was started, on whatever worker.
    pub fn starts(&self, task: &ids::TaskId) -> u32 {
        mutex::lock(&self.0)
            .starts
            .get(task)
            .copied()
            .unwrap_or_default()
    }

    /// Starts of all tasks.
    pub fn all_starts(&self) -> IndexMap<ids::TaskId, u32> {
        mutex::lock(&self.0).starts.clone()
    }

    /// Every promise that was broken, in order.
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
        mutex::lock(&self.0).on_open_run(task, worker, |run| run.lease_until = until);
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

impl Book {
    fn begin(&mut self, run: Run) {
        let open = self.open.entry(run.task.clone()).or_default();
        open.retain(|number| self.runs[*number].goes_on(run.began));
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

    fn on_open_run(
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
        self.on_open_run(task, worker, |run| run.ended = Some(at));
        if let Some(open) = self.open.get_mut(task) {
            open.retain(|number| self.runs[*number].ended.is_none());
        }
    }
}
