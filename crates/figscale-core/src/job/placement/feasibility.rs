//! Checks at submission whether a job can ever run.
//!
//! A job is checked against the whole cell, as in the platform's instance list, not
//! against what is free or which shards are held here: a job that does not fit on an
//! empty cell never runs. Only the distinct sizes of workers and their counts are
//! stored; there are few of them even in a large cell.

use std::error;
use std::fmt;

use figscale_types::catalogue;
use figscale_types::instances;
use figscale_types::jobs;
use figscale_types::sizes;
use indexmap::IndexMap;

/// The sizes of all workers of the cell, with the number of workers of each.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CellShape {
    counts: IndexMap<sizes::Resources, u64>,
    total: sizes::Resources,
}

impl CellShape {
    /// Counts the workers in the platform's instance list, except leaving ones.
    pub fn of(list: &instances::InstanceList) -> Self {
        Self::of_all(&list.instances)
    }

    /// As [`CellShape::of`], for some instances of the list.
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

    /// Sum of the capacities of all workers.
    pub fn total(&self) -> sizes::Resources {
        self.total
    }

    /// Whether any worker is known.
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }

    /// Resources to reserve for a task: the larger of `declared` and `learned`,
    /// limited to the capacity of a worker on which `declared` fits, so that a
    /// learned size never prevents a task from running.
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
        let fitting = self.counts.keys().filter(|worker| worker.holds(declared));
        fitting
            .map(clipped)
            .max_by_key(|size| (size.memory_bytes, size.cpu_millis, size.accelerators))
            .unwrap_or(*declared)
    }

    /// Largest amount of each resource that any worker has; no single worker needs
    /// to have all of them.
    fn largest(&self) -> sizes::Resources {
        let larger = |all: sizes::Resources, one: &sizes::Resources| all.larger(one);
        self.counts.keys().fold(sizes::Resources::default(), larger)
    }

    /// Number of tasks of one size that fit on the empty cell at once.
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

/// Kind of reason of an [`Infeasible`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum InfeasibleKind {
    /// The job has no tasks, or more than its entry allows.
    TaskCount,
    /// A task is larger than its entry allows.
    EntryLimit,
    /// A task fits on no worker of the cell.
    Worker,
    /// The owner's quota is too small for a task, or for all tasks that must run
    /// at once.
    Quota,
    /// The cell is too small for all tasks that must run at once.
    AllAtOnce,
    /// The run time of a task exceeds the limit of the entry or the deadline.
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

    /// Kind of reason.
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
/// The first reason found, with the resource and the limit that is exceeded.
/// While no worker of the cell is known, no job is refused for its size.
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

/// Lists the resources of which `size` exceeds `limit`.
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
