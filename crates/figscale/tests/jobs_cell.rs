//! Jobs on real entry instances under faults, checked against the ledger shared
//! by the workers.

#![expect(clippy::unwrap_used, reason = "A test may panic.")]

mod harness;
mod jobs_support;

use std::time;

use figscale_types::jobs;
use figscale_types::operator;
use nix::sys::signal;

use jobs_support::accept;
use jobs_support::id;
use jobs_support::judge;
use jobs_support::plan;
use jobs_support::spec;
use jobs_support::start;
use jobs_support::starts;
use jobs_support::state;
use jobs_support::wait_for;

/// Guards against jobs that do not complete, or that one of two entry instances
/// does not report as done, whichever instance they were submitted to.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_run_to_their_end_over_two_entries() {
    let cell = start(plan(2, 4)).await;
    for number in 0..8 {
        let name = format!("job-{number}");
        accept(
            &cell,
            number % 2,
            &name,
            &spec("tides", 3, 200, number % 3 != 0),
        )
        .await;
    }
    accept(&cell, 0, "cliff", &spec("cliffs", 6, 200, true)).await;
    for entry in 0..2 {
        for number in 0..8 {
            wait_for(&cell, entry, &format!("job-{number}"), jobs::JobState::Done).await;
        }
        wait_for(&cell, entry, "cliff", jobs::JobState::Done).await;
    }
    judge(&cell);
    assert_eq!(cell.tasks.runs().len(), 8 * 3 + 6, "{}", cell.logs());
}

/// Guards against accepted jobs lost when an entry instance is killed, tasks that
/// run twice concurrently, and tasks that are not idempotent run again.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_entry_loses_no_job() {
    let mut cell = start(plan(3, 4)).await;
    for number in 0..12 {
        let name = format!("job-{number}");
        let spec = spec("tides", 4, 3_000, number % 2 == 0);
        accept(&cell, number % 3, &name, &spec).await;
    }
    harness::wait_until("running tasks", || async { cell.tasks.runs().len() > 20 }).await;
    cell.kill(2).await;
    for number in 0..12 {
        let name = format!("job-{number}");
        harness::wait_until(&format!("end of {name}"), || async {
            state(&cell, 0, &name)
                .await
                .is_some_and(jobs::JobState::is_final)
        })
        .await;
        let ended = state(&cell, 0, &name).await;
        match number % 2 {
            0 => assert_eq!(ended, Some(jobs::JobState::Done), "{name}\n{}", cell.logs()),
            _ => assert!(starts(&cell, &name) <= 4, "{name} ran again"),
        }
    }
    judge(&cell);
}

/// Guards against tasks started a second time by an entry instance that resumes
/// after being frozen for longer than its leases.
#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_entry_runs_nothing_twice() {
    let cell = start(plan(3, 4)).await;
    for number in 0..12 {
        let name = format!("job-{number}");
        accept(&cell, number % 3, &name, &spec("tides", 4, 2_500, true)).await;
    }
    harness::wait_until("running tasks", || async { !cell.tasks.runs().is_empty() }).await;
    cell.signal(1, signal::Signal::SIGSTOP);
    tokio::time::sleep(time::Duration::from_secs(6)).await;
    cell.signal(1, signal::Signal::SIGCONT);
    for number in 0..12 {
        wait_for(&cell, 0, &format!("job-{number}"), jobs::JobState::Done).await;
    }
    judge(&cell);
}

/// Guards against jobs that hang, or tasks that run in two places, when a worker
/// is frozen past its tasks' leases, one is cut off, and one loses starts.
#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_or_cut_worker_runs_nothing_twice() {
    let cell = start(plan(2, 4)).await;
    for number in 0..6 {
        let name = format!("job-{number}");
        accept(&cell, number % 2, &name, &spec("tides", 8, 2_000, true)).await;
    }
    harness::wait_until("running tasks", || async { cell.tasks.runs().len() > 10 }).await;
    cell.workers[0].change_faults(|faults| faults.freeze = true);
    cell.workers[1].change_faults(|faults| faults.cut_off = true);
    cell.workers[2].change_faults(|faults| faults.lose_next_starts = 10);
    tokio::time::sleep(time::Duration::from_secs(5)).await;
    cell.workers[0].change_faults(|faults| faults.freeze = false);
    cell.workers[1].change_faults(|faults| faults.cut_off = false);
    for number in 0..6 {
        wait_for(&cell, 0, &format!("job-{number}"), jobs::JobState::Done).await;
    }
    judge(&cell);
}

/// Guards against tasks stopped by an outage of the store, jobs accepted during
/// it, refusals without a retry time, and refused jobs that run later.
#[tokio::test(flavor = "multi_thread")]
async fn a_store_outage_stops_no_task() {
    let cell = start(plan(2, 2)).await;
    accept(&cell, 0, "before", &spec("tides", 4, 4_000, false)).await;
    harness::wait_until("running tasks", || async { cell.tasks.runs().len() == 4 }).await;
    cell.platform.change_faults(|faults| faults.outage = true);
    // The first submission detects the outage; later ones are refused at once.
    let mut refused = Vec::new();
    for number in 0..40 {
        let name = format!("during-{number}");
        let answer = cell
            .operator(0)
            .submit(&id(&name), &spec("tides", 1, 100, false))
            .await;
        let error = answer.expect_err("nothing is accepted in an outage");
        if error.kind == operator::ErrorKind::Unavailable {
            assert!(error.retry_after_ms.is_some(), "{error:?}");
            refused.push(name);
        }
    }
    assert!(!refused.is_empty());
    tokio::time::sleep(time::Duration::from_secs(5)).await;
    cell.platform.change_faults(|faults| faults.outage = false);
    wait_for(&cell, 1, "before", jobs::JobState::Done).await;
    accept(&cell, 0, "after", &spec("tides", 1, 100, true)).await;
    wait_for(&cell, 0, "after", jobs::JobState::Done).await;
    for name in refused {
        assert_eq!(starts(&cell, &name), 0, "{name} was refused and ran");
    }
    assert_eq!(starts(&cell, "before"), 4);
    judge(&cell);
}

/// Guards against accepting a job that can never run, and against such a job
/// blocking others.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_that_can_never_run_is_refused() {
    let cell = start(plan(2, 2)).await;
    let mut large = spec("tides", 1, 100, true);
    large.task.cpu_millis.0 = 10_000_000;
    harness::wait_until("refusal", || async {
        match cell.operator(0).submit(&id("large"), &large).await {
            Err(error) => error.kind == operator::ErrorKind::Invalid,
            Ok(_) => false,
        }
    })
    .await;
    accept(&cell, 0, "small", &spec("tides", 1, 100, true)).await;
    wait_for(&cell, 1, "small", jobs::JobState::Done).await;
    judge(&cell);
}

/// Guards against a planned stop that ends or restarts running tasks instead of
/// handing over its shards.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_off_no_task() {
    let mut cell = start(plan(3, 4)).await;
    for number in 0..12 {
        let spec = spec("tides", 4, 3_000, number % 2 == 0);
        accept(&cell, number % 3, &format!("job-{number}"), &spec).await;
    }
    harness::wait_until("running tasks", || async { cell.tasks.runs().len() == 48 }).await;
    cell.stop(1).await;
    for number in 0..12 {
        wait_for(&cell, 0, &format!("job-{number}"), jobs::JobState::Done).await;
    }
    assert_eq!(cell.tasks.runs().len(), 48, "{}", cell.logs());
    judge(&cell);
}
