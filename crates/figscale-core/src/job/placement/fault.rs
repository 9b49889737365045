//! Attributes failures to a worker or to a job.
//!
//! A worker is blamed for the failures since its last success. Only the failures of
//! some jobs count: those that succeeded somewhere or failed on no other worker. A
//! job is blamed when one of its tasks fails on several workers that no other job
//! failed on, or when it never succeeded and failed on many such workers. When a job
//! is found at fault, its failures no longer count against workers.
//!
//! A blamed worker is ejected and tested with one task after a delay, which doubles
//! with each failed test. The share of workers that may be ejected is limited: when
//! many workers fail at once, the cause is not the workers.

use std::time;

use figscale_types::ids;
use indexmap::IndexMap;
use indexmap::IndexSet;

use super::worker;

/// Most jobs whose failures are recorded for one worker.
const MAX_JOBS_PER_WORKER: usize = 64;

/// Thresholds and delays of fault attribution.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FaultConfig {
    /// Failures since the last success after which a worker is ejected. Default
    /// 3.
    pub worker_failures: u32,
    /// Number of workers on which a task must fail for its job to be at fault.
    /// Default 3.
    pub task_failed_workers: usize,
    /// Number of workers on which a job that never succeeded must fail to be at
    /// fault. Default 6.
    pub job_failed_workers: usize,
    /// Delay before an ejected worker is first tested. Default 10 s.
    pub probe_after: time::Duration,
    /// Longest delay before a test. Default 10 min.
    pub max_probe_after: time::Duration,
    /// Largest share of all workers that may be ejected; one worker may always
    /// be. Default 1/3.
    pub max_ejected_share: f64,
    /// Most jobs that are recorded. Default 16,384.
    pub max_jobs: usize,
}

impl Default for FaultConfig {
    fn default() -> Self {
        Self {
            worker_failures: 3,
            task_failed_workers: 3,
            job_failed_workers: 6,
            probe_after: time::Duration::from_secs(10),
            max_probe_after: time::Duration::from_secs(600),
            max_ejected_share: 1.0 / 3.0,
            max_jobs: 16_384,
        }
    }
}

/// Consequences of the end of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Blame {
    /// Workers whose ejection state changed, with the new state.
    pub workers: Vec<(ids::InstanceId, worker::EjectionState)>,
    /// Whether the job is at fault and must not be retried.
    pub job: bool,
}

#[derive(Clone, Debug, Default)]
struct WorkerRecord {
    /// Number of failures since the last success, by job.
    failures: IndexMap<ids::JobId, u32>,
    ejection_state: worker::EjectionState,
    probe_at: Option<time::Instant>,
    probe_after: time::Duration,
}

#[derive(Clone, Debug, Default)]
struct JobRecord {
    succeeded: bool,
    at_fault: bool,
    failed_on: IndexSet<ids::InstanceId>,
    /// Workers on which each task failed, by index of the task.
    tasks: IndexMap<u32, IndexSet<ids::InstanceId>>,
}

/// Records failures and successes by worker and by job.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    config: FaultConfig,
    total_workers: usize,
    workers: IndexMap<ids::InstanceId, WorkerRecord>,
    jobs: IndexMap<ids::JobId, JobRecord>,
}

impl Faults {
    /// Creates an empty record.
    pub fn new(config: FaultConfig) -> Self {
        Self {
            config,
            ..Self::default()
        }
    }

    /// Sets the number of workers, to which the limit of ejected workers applies.
    pub fn set_total_workers(&mut self, total: usize) {
        self.total_workers = total;
    }

    /// Records that a task failed on a worker.
    pub fn failed(
        &mut self,
        task: &ids::TaskId,
        worker: &ids::InstanceId,
        now: time::Instant,
    ) -> Blame {
        self.record_failure(task, worker);
        let mut blame = Blame {
            job: self.is_job_at_fault(task),
            ..Blame::default()
        };
        if blame.job {
            self.clear_job(&task.job);
        }
        self.review_probe(worker, blame.job, now, &mut blame);
        self.review_workers_of(&task.job, now, &mut blame);
        blame
    }

    /// Records that a task succeeded on a worker. This clears the worker.
    pub fn succeeded(
        &mut self,
        task: &ids::TaskId,
        worker: &ids::InstanceId,
        now: time::Instant,
    ) -> Blame {
        let mut blame = Blame::default();
        if let Some(record) = self.workers.swap_remove(worker)
            && record.ejection_state != worker::EjectionState::InUse
        {
            blame
                .workers
                .push((worker.clone(), worker::EjectionState::InUse));
        }
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.succeeded = true;
            job.tasks.swap_remove(&task.index);
            self.review_workers_of(&task.job, now, &mut blame);
        } else {
            let job = self.job(&task.job);
            job.succeeded = true;
        }
        blame
    }

    /// Puts the ejected workers whose delay has passed into the probing state, and
    /// returns them.
    pub fn take_due_probes(&mut self, now: time::Instant) -> Vec<ids::InstanceId> {
        let mut due = Vec::new();
        for (id, record) in &mut self.workers {
            if record.probe_at.is_some_and(|at| at <= now) {
                record.probe_at = None;
                record.ejection_state = worker::EjectionState::Probing;
                due.push(id.clone());
            }
        }
        due
    }

    /// Removes the record of a job that has ended.
    pub fn forget_job(&mut self, job: &ids::JobId) {
        self.jobs.swap_remove(job);
        for record in self.workers.values_mut() {
            record.failures.shift_remove(job);
        }
    }

    /// Removes the record of a worker that is gone.
    pub fn forget_worker(&mut self, worker: &ids::InstanceId) {
        self.workers.swap_remove(worker);
    }

    /// Workers that are ejected.
    pub fn ejected(&self) -> impl Iterator<Item = &ids::InstanceId> {
        let is_ejected =
            |record: &WorkerRecord| record.ejection_state == worker::EjectionState::Ejected;
        let all = self.workers.iter();
        all.filter(move |(_, r)| is_ejected(r)).map(|(id, _)| id)
    }

    fn job(&mut self, id: &ids::JobId) -> &mut JobRecord {
        if !self.jobs.contains_key(id) && self.jobs.len() >= self.config.max_jobs {
            self.jobs.shift_remove_index(0);
        }
        self.jobs.entry(id.clone()).or_default()
    }

    fn record_failure(&mut self, task: &ids::TaskId, worker: &ids::InstanceId) {
        let job = self.job(&task.job);
        job.failed_on.insert(worker.clone());
        let on = job.tasks.entry(task.index).or_default();
        on.insert(worker.clone());
        if job.at_fault {
            return;
        }
        let record = self.workers.entry(worker.clone()).or_default();
        if record.failures.len() < MAX_JOBS_PER_WORKER || record.failures.contains_key(&task.job) {
            *record.failures.entry(task.job.clone()).or_default() += 1;
        }
    }

    fn is_job_at_fault(&self, task: &ids::TaskId) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        let credible = |on: &IndexSet<ids::InstanceId>| {
            let credible_workers = on.iter().filter(|w| self.is_credible(w, &task.job));
            credible_workers.count()
        };
        let task_on = job.tasks.get(&task.index).map_or(0, credible);
        let never_succeeded =
            !job.succeeded && credible(&job.failed_on) >= self.config.job_failed_workers;
        job.at_fault || never_succeeded || task_on >= self.config.task_failed_workers
    }

    /// Whether a failure of the job on this worker is evidence against the job:
    /// the worker is in use and no other job failed on it since its last
    /// success.
    fn is_credible(&self, worker: &ids::InstanceId, job: &ids::JobId) -> bool {
        let Some(record) = self.workers.get(worker) else {
            return true;
        };
        let others = record.failures.keys().filter(|other| *other != job);
        others.count() == 0 && record.ejection_state == worker::EjectionState::InUse
    }

    /// Marks a job as at fault, so that its failures count against no worker.
    fn clear_job(&mut self, id: &ids::JobId) {
        self.job(id).at_fault = true;
        for record in self.workers.values_mut() {
            record.failures.shift_remove(id);
        }
    }

    /// After a failed test, ejects the worker for twice as long, unless the job
    /// was at fault.
    fn review_probe(
        &mut self,
        id: &ids::InstanceId,
        job_at_fault: bool,
        now: time::Instant,
        blame: &mut Blame,
    ) {
        let max = self.config.max_probe_after;
        let Some(record) = self.workers.get_mut(id) else {
            return;
        };
        if record.ejection_state != worker::EjectionState::Probing || job_at_fault {
            return;
        }
        record.probe_after = (record.probe_after * 2).min(max);
        record.probe_at = Some(now + record.probe_after);
        record.ejection_state = worker::EjectionState::Ejected;
        blame
            .workers
            .push((id.clone(), worker::EjectionState::Ejected));
    }

    fn review_workers_of(&mut self, job: &ids::JobId, now: time::Instant, blame: &mut Blame) {
        let Some(record) = self.jobs.get(job) else {
            return;
        };
        let failed_on: Vec<_> = record.failed_on.iter().cloned().collect();
        for id in failed_on {
            self.review_worker(&id, now, blame);
        }
    }

    fn review_worker(&mut self, id: &ids::InstanceId, now: time::Instant, blame: &mut Blame) {
        let too_many_failures = self.failures(id) >= self.config.worker_failures;
        let may_eject = self.may_eject();
        let probe_after = self.config.probe_after;
        let Some(record) = self.workers.get_mut(id) else {
            return;
        };
        match (record.ejection_state, too_many_failures) {
            (worker::EjectionState::InUse, true) if may_eject => {
                record.ejection_state = worker::EjectionState::Ejected;
                record.probe_after = probe_after;
                record.probe_at = Some(now + probe_after);
            }
            (worker::EjectionState::Ejected, false) => {
                record.ejection_state = worker::EjectionState::InUse;
                record.probe_at = None;
            }
            _ => return,
        }
        blame.workers.push((id.clone(), record.ejection_state));
    }

    /// Number of failures on a worker that count against it: those of jobs that
    /// succeeded somewhere, failed on one worker only, or are no longer
    /// recorded.
    fn failures(&self, id: &ids::InstanceId) -> u32 {
        let Some(record) = self.workers.get(id) else {
            return 0;
        };
        let counts = |job: &ids::JobId| {
            let known = self.jobs.get(job);
            known.is_none_or(|job| !job.at_fault && (job.succeeded || job.failed_on.len() == 1))
        };
        let failures = record.failures.iter().filter(|(job, _)| counts(job));
        failures.map(|(_, count)| count).sum()
    }

    fn may_eject(&self) -> bool {
        let most = self.total_workers as f64 * self.config.max_ejected_share;
        self.ejected().count() < (most as usize).max(1)
    }
}
