//! Guards against tasks that stop because their holder was killed. The default
//! lease of tasks is longer than a takeover, so they must continue to run.

#![expect(clippy::unwrap_used, reason = "A test may panic.")]

mod harness;
mod jobs_support;

use figscale_types::jobs;

use jobs_support::accept;
use jobs_support::judge;
use jobs_support::spec;
use jobs_support::start;
use jobs_support::starts;
use jobs_support::wait_for;

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_holder_stops_no_task() {
    let mut plan = jobs_support::plan(3, 4);
    // Use the default leases of members and tasks.
    plan.settings = serde_json::json!({});
    let mut cell = start(plan).await;
    for number in 0..8 {
        let spec = spec("tides", 5, 12_000, true);
        accept(&cell, 0, &format!("job-{number}"), &spec).await;
    }
    harness::wait_until("40 running tasks", || async {
        cell.tasks.runs().len() == 40
    })
    .await;
    cell.kill(1).await;
    for number in 0..8 {
        let name = format!("job-{number}");
        wait_for(&cell, 0, &name, jobs::JobState::Done).await;
        assert_eq!(starts(&cell, &name), 5, "{name} began again");
    }
    judge(&cell);
}
