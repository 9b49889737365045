//! Whose fault a failure is: the worker's or the job's.
//!
//! A worker is blamed for the failures since its last success, but only for
//! those of jobs that nothing else speaks against: a job that succeeded
//! somewhere, or failed nowhere else. A job is blamed when one of its tasks
//! fails on several workers that nothing else speaks against, or when all it
//! ever did was fail on many. When a job is found at fault, the workers that
//! it had brought into doubt are cleared.
//!
//! A blamed worker is set aside and probed with one task after a wait that
//! doubles each time. Never more than a share of all workers is set aside:
//! when so many fail at once, the cause is elsewhere.

use std::time;

use figscale_types::ids;
use indexmap::IndexMap;
use indexmap::IndexSet;

use super::worker;

/// Jobs remembered for one worker.
const MAX_JOBS_PER_WORKER: usize = 64;

/// How blame is found.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FaultConfig {
    /// Failures without a success between for which a worker is set aside.
    /// Default 3.
    pub worker_losses: u32,
    /// Workers on which a task fails before its job is at fault. Default 3.
    pub task_workers: usize,
    /// Workers on which a job that never succeeded fails before it is at
    /// fault. Default 6.
    pub job_workers: usize,
    /// Wait before the first probe. Default 10 s.
    pub probe_after: time::Duration,
    /// Longest wait before a probe. Default 10 min.
    pub max_probe_after: time::Duration,
    /// Largest share of all workers set aside. Default 1/3.
    pub max_aside_share: f64,
    /// Most jobs remembered. Default 16,384.
    pub max_jobs: usize,
}

impl Default for FaultConfig {
    fn default() -> Self {
        Self {
            worker_losses: 3,
            task_workers: 3,
            job_workers: 6,
            probe_after: time::Duration::from_secs(10),
            max_probe_after: time::Duration::from_secs(600),
            max_aside_share: 1.0 / 3.0,
            max_jobs: 16_384,
        }
    }
}

/// What follows from an outcome.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Blame {
    /// Workers whose standing changed.
    pub workers: Vec<(ids::InstanceId, worker::Standing)>,
    /// Whether the job is at fault and is not to be tried again.
    pub job: bool,
}

#[derive(Clone, Debug, Default)]
struct WorkerRecord {
    /// Failures since the last success, by job.
    losses: IndexMap<ids::JobId, u32>,
    standing: worker::Standing,
    probe_at: Option<time::Instant>,
    probe_after: time::Duration,
}

#[derive(Clone, Debug, Default)]
struct JobRecord {
    succeeded: bool,
    at_fault: bool,
    failed_on: IndexSet<ids::InstanceId>,
    /// Workers on which each task failed.
    tasks: IndexMap<u32, IndexSet<ids::InstanceId>>,
}

/// Failures and successes, by worker and by job.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    config: FaultConfig,
    total_workers: usize,
    workers: IndexMap<ids::InstanceId, WorkerRecord>,
    jobs: IndexMap<ids::JobId, JobRecord>,
}

impl Faults {
    /// Nothing seen yet.
    pub fn new(config: FaultConfig) -> Self {
        Self {
            config,
            ..Self::default()
        }
    }

    /// Takes over how many workers there are.
    pub fn set_total_workers(&mut self, total: usize) {
        self.total_workers = total;
    }

    /// Takes over that a task failed on a worker.
    pub fn failed(
        &mut self,
        task: &ids::TaskId,
        worker: &ids::InstanceId,
        now: time::Instant,
    ) -> Blame {
        self.note_failure(task, worker);
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

    /// Takes over that a task ended well on a worker.
    pub fn succeeded(
        &mut self,
        task: &ids::TaskId,
        worker: &ids::InstanceId,
        now: time::Instant,
    ) -> Blame {
        let mut blame = Blame::default();
        if let Some(record) = self.workers.swap_remove(worker)
            && record.standing != worker::Standing::InUse
        {
            blame
                .workers
                .push((worker.clone(), worker::Standing::InUse));
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

    /// Workers that may be tried again with one task.
    pub fn probes(&mut self, now: time::Instant) -> Vec<ids::InstanceId> {
        let mut due = Vec::new();
        for (id, record) in &mut self.workers {
            if record.probe_at.is_some_and(|at| at <= now) {
                record.probe_at = None;
                record.standing = worker::Standing::Probing;
                due.push(id.clone());
            }
        }
        due
    }

    /// Forgets a job that is final.
    pub fn forget_job(&mut self, job: &ids::JobId) {
        self.jobs.swap_remove(job);
        for record in self.workers.values_mut() {
            record.losses.shift_remove(job);
        }
    }

    /// Forgets a worker that is gone.
    pub fn forget_worker(&mut self, worker: &ids::InstanceId) {
        self.workers.swap_remove(worker);
    }

    /// Workers that are set aside.
    pub fn set_aside(&self) -> impl Iterator<Item = &ids::InstanceId> {
        let aside = |record: &WorkerRecord| record.standing == worker::Standing::SetAside;
        let all = self.workers.iter();
        all.filter(move |(_, r)| aside(r)).map(|(id, _)| id)
    }

    fn job(&mut self, id: &ids::JobId) -> &mut JobRecord {
        if !self.jobs.contains_key(id) && self.jobs.len() >= self.config.max_jobs {
            self.jobs.shift_remove_index(0);
        }
        self.jobs.entry(id.clone()).or_default()
    }

    fn note_failure(&mut self, task: &ids::TaskId, worker: &ids::InstanceId) {
        let job = self.job(&task.job);
        job.failed_on.insert(worker.clone());
        let on = job.tasks.entry(task.index).or_default();
        on.insert(worker.clone());
        if job.at_fault {
            return;
        }
        let record = self.workers.entry(worker.clone()).or_default();
        if record.losses.len() < MAX_JOBS_PER_WORKER || record.losses.contains_key(&task.job) {
            *record.losses.entry(task.job.clone()).or_default() += 1;
        }
    }

    fn is_job_at_fault(&self, task: &ids::TaskId) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        let credible = |on: &IndexSet<ids::InstanceId>| {
            let witnesses = on.iter().filter(|w| self.is_credible(w, &task.job));
            witnesses.count()
        };
        let task_on = job.tasks.get(&task.index).map_or(0, credible);
        let never = !job.succeeded && credible(&job.failed_on) >= self.config.job_workers;
        job.at_fault || never || task_on >= self.config.task_workers
    }

    /// Whether only failures of this job speak against a worker.
    fn is_credible(&self, worker: &ids::InstanceId, job: &ids::JobId) -> bool {
        let Some(record) = self.workers.get(worker) else {
            return true;
        };
        let others = record.losses.keys().filter(|other| *other != job);
        others.count() == 0 && record.standing == worker::Standing::InUse
    }

    /// A job at fault speaks against no worker.
    fn clear_job(&mut self, id: &ids::JobId) {
        self.job(id).at_fault = true;
        for record in self.workers.values_mut() {
            record.losses.shift_remove(id);
        }
    }

    /// A probe that failed sends the worker back for twice as long.
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
        if record.standing != worker::Standing::Probing || job_at_fault {
            return;
        }
        record.probe_after = (record.probe_after * 2).min(max);
        record.probe_at = Some(now + record.probe_after);
        record.standing = worker::Standing::SetAside;
        blame.workers.push((id.clone(), worker::Standing::SetAside));
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
        let guilty = self.losses(id) >= self.config.worker_losses;
        let may_set_aside = self.may_set_aside();
        let probe_after = self.config.probe_after;
        let Some(record) = self.workers.get_mut(id) else {
            return;
        };
        match (record.standing, guilty) {
            (worker::Standing::InUse, true) if may_set_aside => {
                record.standing = worker::Standing::SetAside;
                record.probe_after = probe_after;
                record.probe_at = Some(now + probe_after);
            }
            (worker::Standing::SetAside, false) => {
                record.standing = worker::Standing::InUse;
                record.probe_at = None;
            }
            _ => return,
        }
        blame.workers.push((id.clone(), record.standing));
    }

    /// Failures on a worker of jobs that nothing else speaks against.
    fn losses(&self, id: &ids::InstanceId) -> u32 {
        let Some(record) = self.workers.get(id) else {
            return 0;
        };
        let counts = |job: &ids::JobId| {
            let known = self.jobs.get(job);
            known.is_none_or(|job| !job.at_fault && (job.succeeded || job.failed_on.len() == 1))
        };
        let losses = record.losses.iter().filter(|(job, _)| counts(job));
        losses.map(|(_, count)| count).sum()
    }

    fn may_set_aside(&self) -> bool {
        let most = self.total_workers as f64 * self.config.max_aside_share;
        self.set_aside().count() < (most as usize).max(1)
    }
}
