//! Admission check of a job, made before it is sent to its home.

use figscale_core::job::placement::feasibility;
use figscale_types::catalogue;
use figscale_types::jobs;
use figscale_types::operator;

use crate::state;

/// Returns the terms under which a job may be accepted.
///
/// # Errors
///
/// The job names an unknown entry, breaks a limit of its entry, or can never
/// run in this cell.
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
    let owner = accepted.catalogue.owners.get(&spec.owner);
    let quota = owner.and_then(|owner| owner.quota.as_ref());
    let cell = feasibility::CellShape::of(&shared.claims_now().instances);
    match feasibility::check(spec, policy, quota, &cell) {
        Ok(()) => Ok(policy.into()),
        Err(infeasible) => Err(invalid(infeasible.to_string())),
    }
}

fn invalid(message: String) -> operator::OperatorError {
    error(operator::ErrorKind::Invalid, message)
}

fn error(kind: operator::ErrorKind, message: String) -> operator::OperatorError {
    operator::OperatorError::new(kind, message)
}
