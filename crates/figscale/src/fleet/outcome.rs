//! Log lines for what the scheduler decided.

use figscale_core::fleet::Note;

use crate::events::fleet as events;

/// Logs a note of the scheduler.
pub(super) fn log(note: &Note) {
    match note {
        Note::JobEnded {
            job,
            state,
            after,
            late,
        } => {
            crate::event!(
                events::JOB_ENDED,
                job = job,
                state = format_args!("{state:?}"),
                after_ms = after.as_millis(),
                late = late
            );
        }
        Note::RunEnded {
            task,
            attempt,
            worker,
            end,
        } => {
            crate::event!(
                events::RUN_ENDED,
                task = task,
                attempt = attempt,
                worker = worker,
                end = format_args!("{end:?}")
            );
        }
        Note::StartRefused {
            task,
            attempt,
            worker,
            refusal,
        } => {
            crate::event!(
                events::START_REFUSED,
                task = task,
                attempt = attempt,
                worker = worker,
                refusal = format_args!("{refusal:?}")
            );
        }
        Note::WorkerSetAside { worker, cause } => {
            crate::event!(events::WORKER_SET_ASIDE, worker = worker, cause = cause);
        }
        Note::WorkerLost { worker, runs } => {
            crate::event!(events::WORKER_LOST, worker = worker, runs = runs);
        }
        Note::StrayRun {
            task,
            attempt,
            worker,
        } => {
            crate::event!(
                events::STRAY_RUN,
                task = task,
                attempt = attempt,
                worker = worker
            );
        }
        Note::Recovered { open_jobs, runs } => {
            crate::event!(events::RECOVERED, open_jobs = open_jobs, runs = runs);
        }
    }
}
