//! Validation of job descriptions.
//!
//! Sizes that callers send are bounded before anything is allocated for them:
//! the leader keeps an entry for each task, and a single job must not exhaust
//! its memory.

use figscale_types::fleet;

/// Most tasks of a job, over all occurrences. An entry takes about 200 bytes, so
/// one job takes 4 MB at most.
pub const MAX_TASKS: u32 = 20_000;

/// Returns a message about the first fault of a job description, for its caller;
/// `None` if it is valid.
pub fn validation_error(job: &fleet::JobDescription) -> Option<String> {
    if job.steps.is_empty() || job.steps.len() > fleet::MAX_STEPS {
        let steps = job.steps.len();
        return Some(format!("{steps} steps: expected 1 to {}", fleet::MAX_STEPS));
    }
    let numbered_steps = job.steps.iter().enumerate();
    let of_step = numbered_steps
        .filter_map(|(number, step)| fault_of_step(number, step))
        .next();
    of_step.or_else(|| too_many_tasks(job))
}

fn fault_of_step(number: usize, step: &fleet::StepDescription) -> Option<String> {
    if step.count == 0 {
        return Some(format!("step {number} has no tasks"));
    }
    let earlier = |after: &u32| usize::try_from(*after).is_ok_and(|after| after < number);
    if !step.after.iter().all(earlier) {
        return Some(format!(
            "step {number} waits for a step that is not before it"
        ));
    }
    // Filler tasks run on processor time that other tasks leave unused. They
    // disturb tasks that serve requests, and would have to be throttled from
    // one moment to the next.
    step.filler
        .then(|| format!("step {number}: tasks that fill are not supported"))
}

fn too_many_tasks(job: &fleet::JobDescription) -> Option<String> {
    let occurrences = u64::from(job.occurrences.max(1));
    let tasks = job.tasks().saturating_mul(occurrences);
    (tasks > u64::from(MAX_TASKS)).then(|| format!("{tasks} tasks: expected {MAX_TASKS} at most"))
}
