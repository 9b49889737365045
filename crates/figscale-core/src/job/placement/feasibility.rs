//! Whether a job can ever run, told at submission.
//!
//! A job is judged against the whole cell, as the platform's instance list
//! shows it, not against what is free or held here: what cannot run on an
//! empty cell never runs. Only the distinct sizes of workers are kept, which
//! are few however large the cell is.

use std::error;
use std::fmt;

use figscale_types::catalogue;
use figscale_types::instances;
use figscale_types::jobs;
use figscale_types::sizes;
use indexmap::IndexMap;

/// The sizes of all workers of the cell.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CellShape {
    counts: IndexMap<sizes::Resources, u64>,
    total: sizes::Resources,
}

impl CellShape {
    /// The workers among the platform's instances; leaving ones do not count.
    pub fn of(list: &instances::InstanceList) -> Self {
        Self::of_all(&list.instances)
    }

    /// As [`CellShape::of`], for some of the lines of the list.
    pub fn of_all<'a>(all: impl IntoIterator<Item = &'a instances::Instance>) -> Self {
        let mut shape = Self::default();
        let live = |i: &&instances::Instance| {
            i.role == instances::Role::Worker && i.life == instances::Life::Live
        };
        for instance in all.into_iter().filter(live) {
            *shape.counts.entry(instance.capacity).or_default() += 1;
            shape.total = shape.total.plus(&instance.capacity);
        }
        shape
    }

    /// What all workers hold together.
    pub fn total(&self) -> sizes::Resources {
        self.total
    }

    /// Whether any worker is known.
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }

    /// The larger of `declared` and `learned`, but no more than what one
    /// worker holds, so that a learned size never keeps a task from running.
    pub fn reservation(
        &self,
        declared: &sizes::Resources,
        learned: &sizes::Resources,
    ) -> sizes::Resources {
        let wanted = declared.larger(learned);
        let clipped = |worker: &sizes::Resources| sizes::Resources {
            cpu_millis: wanted.cpu_millis.min(worker.cpu_millis),
            memory_bytes: wanted.memory_bytes.min(worker.memory_bytes),
            accelerators: wanted.accelerators.min(worker.accelerators),
        };
        let roomy = self.counts.keys().filter(|worker| worker.holds(declared));
        roomy
            .map(clipped)
            .max_by_key(|size| (size.memory_bytes, size.cpu_millis, size.accelerators))
            .unwrap_or(*declared)
    }

    /// Largest amount in each dimension, whatever the worker.
    fn largest(&self) -> sizes::Resources {
        let larger = |all: sizes::Resources, one: &sizes::Resources| all.larger(one);
        self.counts.keys().fold(sizes::Resources::default(), larger)
    }

    /// Tasks of one size that run at once on an empty cell.
    fn fit_at_once(&self, size: &sizes::Resources) -> u64 {
        let per_worker = |worker: &sizes::Resources| {
            let times = |whole: u64, part: u64| whole.checked_div(part).unwrap_or(u64::MAX);
            times(worker.cpu_millis.0, size.cpu_millis.0)
                .min(times(worker.memory_bytes.0, size.memory_bytes.0))
                .min(times(worker.accelerators.into(), size.accelerators.into()))
        };
        self.counts.iter().fold(0_u64, |sum, (worker, count)| {
            sum.saturating_add(per_worker(worker).saturating_mul(*count))
        })
    }
}

/// Kind of an [`Infeasible`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum InfeasibleKind {
    /// The job has no task, or more than its entry allows.
    TaskCount,
    /// A task is larger than its entry allows.
    EntryLimit,
    /// No worker of the cell holds a task.
    Worker,
    /// The owner's quota holds no task, or not all that must run at once.
    Quota,
    /// The cell does not hold all tasks that must run at once.
    AllAtOnce,
    /// A run is longer than the entry or the deadline allows.
    RunTime,
}

/// Why a job can never run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Infeasible {
    kind: InfeasibleKind,
    reason: String,
}

impl Infeasible {
    fn new(kind: InfeasibleKind, reason: String) -> Self {
        Self { kind, reason }
    }

    /// Kind.
    pub fn kind(&self) -> InfeasibleKind {
        self.kind
    }
}

impl fmt::Display for Infeasible {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.reason)
    }
}

impl error::Error for Infeasible {}

/// Checks whether a job can ever run.
///
/// # Errors
///
/// The first reason found, with the resource and the limit that it exceeds. A
/// cell without any worker known refuses nothing for its size.
pub fn check(
    spec: &jobs::JobSpec,
    policy: &catalogue::TaskPolicy,
    quota: Option<&sizes::Resources>,
    cell: &CellShape,
) -> Result<(), Infeasible> {
    check_count(spec, policy)?;
    check_run_time(spec, policy)?;
    check_entry_limit(spec, policy)?;
    if !cell.is_empty() {
        check_worker(spec, cell)?;
    }
    if let Some(quota) = quota {
        check_quota(spec, policy.class, quota)?;
    }
    if policy.class != catalogue::JobClass::Batch && !cell.is_empty() {
        check_all_at_once(spec, cell)?;
    }
    Ok(())
}

fn check_count(spec: &jobs::JobSpec, policy: &catalogue::TaskPolicy) -> Result<(), Infeasible> {
    let (tasks, most) = (spec.tasks, policy.max_tasks);
    if tasks == 0 || tasks > most {
        let reason = format!("the job has {tasks} tasks; its entry allows 1 to {most}");
        return Err(Infeasible::new(InfeasibleKind::TaskCount, reason));
    }
    Ok(())
}

fn check_run_time(spec: &jobs::JobSpec, policy: &catalogue::TaskPolicy) -> Result<(), Infeasible> {
    let run_ms = spec.run_ms;
    let limits = [
        ("its entry's limit", Some(policy.max_run_ms)),
        ("its deadline", spec.deadline_ms),
    ];
    for (name, limit_ms) in limits {
        if let Some(limit_ms) = limit_ms
            && policy.class != catalogue::JobClass::Service
            && run_ms > limit_ms
        {
            let reason = format!("a task runs {run_ms} ms, longer than {name} of {limit_ms} ms");
            return Err(Infeasible::new(InfeasibleKind::RunTime, reason));
        }
    }
    Ok(())
}

fn check_entry_limit(
    spec: &jobs::JobSpec,
    policy: &catalogue::TaskPolicy,
) -> Result<(), Infeasible> {
    match &policy.max_task {
        Some(limit) if !limit.holds(&spec.task) => {
            let excess = excess(&spec.task, limit);
            let reason = format!("a task is larger than its entry allows: {excess}");
            Err(Infeasible::new(InfeasibleKind::EntryLimit, reason))
        }
        _ => Ok(()),
    }
}

fn check_worker(spec: &jobs::JobSpec, cell: &CellShape) -> Result<(), Infeasible> {
    if cell.counts.keys().any(|worker| worker.holds(&spec.task)) {
        return Ok(());
    }
    let largest = cell.largest();
    let reason = if largest.holds(&spec.task) {
        let task = &spec.task;
        format!("no worker has all that a task needs at once: {task}")
    } else {
        let excess = excess(&spec.task, &largest);
        format!("a task is larger than the largest worker: {excess}")
    };
    Err(Infeasible::new(InfeasibleKind::Worker, reason))
}

fn check_quota(
    spec: &jobs::JobSpec,
    class: catalogue::JobClass,
    quota: &sizes::Resources,
) -> Result<(), Infeasible> {
    let (at_once, what) = match class {
        catalogue::JobClass::Batch => (1, "a task is"),
        _ => (spec.tasks, "all tasks at once are"),
    };
    let needed = times(&spec.task, at_once);
    if quota.holds(&needed) {
        return Ok(());
    }
    let excess = excess(&needed, quota);
    let reason = format!("{what} larger than the owner's quota: {excess}");
    Err(Infeasible::new(InfeasibleKind::Quota, reason))
}

fn check_all_at_once(spec: &jobs::JobSpec, cell: &CellShape) -> Result<(), Infeasible> {
    let most = cell.fit_at_once(&spec.task);
    if u64::from(spec.tasks) <= most {
        return Ok(());
    }
    let (tasks, size) = (spec.tasks, &spec.task);
    let reason = format!("{tasks} tasks of {size} must run at once; the empty cell holds {most}");
    Err(Infeasible::new(InfeasibleKind::AllAtOnce, reason))
}

fn times(size: &sizes::Resources, count: u32) -> sizes::Resources {
    sizes::Resources {
        cpu_millis: sizes::CpuMillis(size.cpu_millis.0.saturating_mul(count.into())),
        memory_bytes: sizes::Bytes(size.memory_bytes.0.saturating_mul(count.into())),
        accelerators: size.accelerators.saturating_mul(count),
    }
}

/// The dimensions in which `size` exceeds `limit`, in words.
fn excess(size: &sizes::Resources, limit: &sizes::Resources) -> String {
    let mut parts = Vec::new();
    if size.cpu_millis > limit.cpu_millis {
        parts.push(format!("cpu {} of {}", size.cpu_millis, limit.cpu_millis));
    }
    if size.memory_bytes > limit.memory_bytes {
        let (asked, limit) = (size.memory_bytes, limit.memory_bytes);
        parts.push(format!("memory {asked} of {limit}"));
    }
    if size.accelerators > limit.accelerators {
        let (asked, limit) = (size.accelerators, limit.accelerators);
        parts.push(format!("accelerators {asked} of {limit}"));
    }
    parts.join(", ")
}
