//! What a job must meet before its home is asked to accept it.

use figscale_types::catalogue;
use figscale_types::instances;
use figscale_types::jobs;
use figscale_types::operator;
use figscale_types::sizes;

use crate::state;

/// The terms of a job that may be accepted.
///
/// # Errors
///
/// The job breaks a limit of its entry, or can never run here.
pub(super) fn check(
    shared: &state::Shared,
    spec: &jobs::JobSpec,
) -> Result<jobs::JobTerms, operator::OperatorError> {
    let accepted = shared.catalogue_now();
    let entry = accepted.catalogue.entries.get(&spec.entry);
    let Some(entry) = entry else {
        let message = format!("the catalogue has no entry {}", spec.entry);
        return Err(error(operator::ErrorKind::NotFound, message));
    };
    let allowed = match &entry.callers {
        Some(owners) => owners.contains(&spec.owner) || entry.owner == spec.owner,
        None => true,
    };
    if !allowed {
        let message = format!("owner {} may not use entry {}", spec.owner, spec.entry);
        return Err(invalid(message));
    }
    let catalogue::Policy::Tasks(policy) = &entry.policy else {
        return Err(invalid(format!("entry {} is not for jobs", spec.entry)));
    };
    check_limits(spec, policy)?;
    check_feasible(spec, &shared.claims_now().instances)?;
    Ok(policy.into())
}

fn check_limits(
    spec: &jobs::JobSpec,
    policy: &catalogue::TaskPolicy,
) -> Result<(), operator::OperatorError> {
    if spec.tasks == 0 || spec.tasks > policy.max_tasks {
        return Err(invalid(format!(
            "tasks is {}: expected 1 to {}",
            spec.tasks, policy.max_tasks
        )));
    }
    if let Some(largest) = policy.max_task
        && !largest.holds(&spec.task)
    {
        return Err(invalid(format!(
            "task is {}: the entry allows at most {largest}",
            spec.task
        )));
    }
    if let Some(deadline_ms) = spec.deadline_ms
        && spec.run_ms > deadline_ms
    {
        return Err(invalid(format!(
            "run_ms is {}: longer than deadline_ms, {deadline_ms}",
            spec.run_ms
        )));
    }
    Ok(())
}

/// Refuses what no worker can hold, naming the resource.
fn check_feasible(
    spec: &jobs::JobSpec,
    list: &instances::InstanceList,
) -> Result<(), operator::OperatorError> {
    let workers = || {
        let lines = list.instances.iter();
        lines.filter(|line| line.role == instances::Role::Worker)
    };
    if workers().next().is_none() || workers().any(|line| line.capacity.holds(&spec.task)) {
        return Ok(());
    }
    let largest = workers().fold(sizes::Resources::default(), |largest, line| {
        largest.larger(&line.capacity)
    });
    let task = &spec.task;
    let reason = if task.cpu_millis > largest.cpu_millis {
        format!(
            "cpu_millis is {}, the largest worker has {}",
            task.cpu_millis, largest.cpu_millis
        )
    } else if task.memory_bytes > largest.memory_bytes {
        format!(
            "memory_bytes is {}, the largest worker has {}",
            task.memory_bytes, largest.memory_bytes
        )
    } else if task.accelerators > largest.accelerators {
        format!(
            "accelerators is {}, the largest worker has {}",
            task.accelerators, largest.accelerators
        )
    } else {
        "no single worker has all that it asks for".to_owned()
    };
    Err(invalid(format!("a task can never run: {reason}")))
}

fn invalid(message: String) -> operator::OperatorError {
    error(operator::ErrorKind::Invalid, message)
}

fn error(kind: operator::ErrorKind, message: String) -> operator::OperatorError {
    operator::OperatorError::new(kind, message)
}
