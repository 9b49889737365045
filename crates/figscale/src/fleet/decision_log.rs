//! Logs the scheduler's decisions, and counts them in the metrics.

use figscale_core::fleet::LogEntry;
use figscale_types::fleet;

use crate::events::fleet as events;
use crate::metrics;

/// Updates the metrics for a decision of the scheduler.
pub(super) fn count(metrics: &metrics::Metrics, log_entry: &LogEntry) {
    match log_entry {
        LogEntry::JobEnded {
            state, after, late, ..
        } => {
            metrics.fleet_job_ended(state_label(*state), *late, *after);
        }
        LogEntry::StepPlaced {
            tasks,
            predicted_late,
            ..
        } => {
            if *predicted_late {
                metrics.fleet_step_placed_late();
            }
            for _ in 0..*tasks {
                metrics.task_start_sent();
            }
        }
        LogEntry::RunsPreempted { victims, .. } => metrics.runs_preempted(victims.len()),
        LogEntry::PreemptionUnused { .. } => metrics.preemption_unused(),
        LogEntry::RunDone {
            length, predicted, ..
        } => metrics.fleet_run_done(*length, *predicted),
        LogEntry::GangAwaitsFaster { .. } => metrics.fleet_gang_awaits_faster(),
        _ => (),
    }
}

/// Maximum number of victims that the log line of a preemption names. The end of each is
/// logged too.
const MAX_VICTIMS_LOGGED: usize = 8;

fn state_label(state: fleet::JobState) -> &'static str {
    match state {
        fleet::JobState::Completed => "completed",
        fleet::JobState::Failed => "failed",
        fleet::JobState::Cancelled => "cancelled",
        fleet::JobState::Queued | fleet::JobState::Running => "open",
    }
}

/// Most values of a list that a log line contains.
const MAX_LISTED: usize = 32;

/// The first values of a list, for a field of a log line.
pub(super) fn joined<T: ToString>(values: impl IntoIterator<Item = T>) -> String {
    if !log::log_enabled!(target: "figscale", log::Level::Debug) {
        return String::new();
    }
    let values = values.into_iter().take(MAX_LISTED);
    values
        .map(|value| value.to_string())
        .collect::<Vec<_>>()
        .join(" ")
}

/// Writes a decision of the scheduler to the log.
pub(super) fn log(log_entry: &LogEntry) {
    match log_entry {
        LogEntry::JobEnded {
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
        LogEntry::StepPlaced {
            task,
            tasks,
            workers,
            attempt,
            after,
            slack,
            slowdown,
            predicted_late,
        } => {
            crate::event!(
                events::STEP_PLACED,
                task = task,
                tasks = tasks,
                workers = workers,
                attempt = attempt,
                after_ms = after.as_millis(),
                slack_ms = slack.map_or(0, |slack| slack.as_millis()),
                slowdown = slowdown,
                predicted_late = predicted_late
            );
        }
        LogEntry::GangAwaitsFaster {
            task,
            slowdown_now,
            slowdown,
            ready_in,
        } => {
            crate::event!(
                events::GANG_AWAITS_FASTER,
                task = task,
                slowdown_now = slowdown_now,
                slowdown = slowdown,
                ready_ms = ready_in.as_millis()
            );
        }
        LogEntry::StepStarved {
            task,
            waits,
            tasks,
            on_workers,
            suspect,
            good_slots,
            ticket_slots,
            free_slots,
            asking,
            unanswered,
            hold,
        } => {
            crate::event!(
                events::STEP_WAITS,
                task = task,
                after_ms = waits.as_millis(),
                tasks = tasks,
                on_workers = on_workers,
                suspect = suspect,
                good_slots = good_slots,
                ticket_slots = ticket_slots,
                free_slots = free_slots,
                asking = asking,
                unanswered = unanswered,
                hold = hold.map_or_else(|| "none".to_owned(), |hold| hold.to_string())
            );
        }
        LogEntry::AdviceReceived {
            task,
            member,
            asked,
            good,
        } => {
            crate::event!(
                events::ADVICE_GIVEN,
                task = task,
                member = member,
                asked = asked,
                good = good
            );
        }
        LogEntry::AdviceChannelEjected {
            member,
            failures,
            duration,
        } => {
            crate::event!(
                events::ADVICE_CHANNEL_EJECTED,
                member = member,
                failures = failures,
                duration_ms = duration.as_millis()
            );
        }
        LogEntry::RunAbandoned {
            task,
            attempt,
            worker,
            silent,
            begun,
            age,
        } => {
            crate::event!(
                events::RUN_GIVEN_UP,
                task = task,
                attempt = attempt,
                worker = worker,
                silent_ms = silent.as_millis(),
                begun = begun,
                age_ms = age.as_millis()
            );
        }
        LogEntry::TaskCrashesWorkers { task, losses } => {
            crate::event!(events::TASK_CRASHES_WORKERS, task = task, losses = losses);
        }
        LogEntry::RunEnded {
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
        LogEntry::RunDone {
            task,
            attempt,
            worker,
            length,
            predicted,
        } => {
            crate::event!(
                events::RUN_DONE,
                task = task,
                attempt = attempt,
                worker = worker,
                length_ms = length.as_millis(),
                predicted_ms = predicted.as_millis()
            );
        }
        LogEntry::WorkerSpeedChanged {
            worker,
            previous,
            slowdown,
            lasting,
            runs,
        } => {
            crate::event!(
                events::WORKER_SPEED,
                worker = worker,
                previous = previous,
                slowdown = slowdown,
                lasting = lasting,
                runs = runs
            );
        }
        LogEntry::StartRefused {
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
        LogEntry::WorkerEjected { worker, cause } => {
            crate::event!(events::WORKER_SET_ASIDE, worker = worker, cause = cause);
        }
        LogEntry::WorkerEvacuated {
            worker,
            runs,
            leaves_in,
        } => {
            crate::event!(
                events::WORKER_EVACUATED,
                worker = worker,
                runs = runs,
                leaves_in_ms = leaves_in.as_millis()
            );
        }
        LogEntry::RunsPreempted {
            task,
            workers,
            lost_core_ms,
            lost_worth,
            time_gained,
            slack,
            victims,
        } => {
            let named = victims.iter().take(MAX_VICTIMS_LOGGED);
            let named: Vec<String> = named.map(|(task, _)| task.to_string()).collect();
            crate::event!(
                events::RUNS_PREEMPTED,
                task = task,
                workers = workers,
                runs = victims.len(),
                lost_core_ms = lost_core_ms,
                lost_worth_core_ms = lost_worth,
                gained_ms = time_gained.map_or_else(
                    || "unknown".to_owned(),
                    |gained| gained.as_millis().to_string()
                ),
                slack_ms = slack.as_millis(),
                victims = named.join(",")
            );
        }
        LogEntry::PreemptionUnused { task, workers } => {
            crate::event!(events::PREEMPTION_UNUSED, task = task, workers = workers);
        }
        LogEntry::WorkerLost { worker, runs } => {
            crate::event!(events::WORKER_LOST, worker = worker, runs = runs);
        }
        LogEntry::OrphanRun {
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
        LogEntry::WorkerRestarted {
            worker,
            previous,
            orders,
        } => {
            crate::event!(
                events::WORKER_RESTARTED,
                worker = worker,
                previous = previous,
                orders = orders
            );
        }
        LogEntry::WorkerNeverReported { worker } => {
            crate::event!(events::WORKER_UNHEARD, worker = worker);
        }
        LogEntry::RunsMissing {
            worker,
            example: (task, attempt),
            runs,
            running,
            finished,
            clock_ms,
        } => {
            crate::event!(
                events::RUNS_MISSING,
                worker = worker,
                task = task,
                attempt = attempt,
                runs = runs,
                running = running,
                finished = finished,
                clock_ms = clock_ms
            );
        }
        LogEntry::Recovered { open_jobs, runs } => {
            crate::event!(events::RECOVERED, open_jobs = open_jobs, runs = runs);
        }
    }
}
