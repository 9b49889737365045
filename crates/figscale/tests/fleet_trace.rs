//! Tracing a failed job from its id to the cause, using only the logs.
//!
//! docs/OPERATIONS.md shows the same steps with `grep`. The logs are those of real
//! processes with the fault injected.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod fleet_support;

use std::time;

use fleet_support::Fleet;
use serde_json::Value;

/// The log lines that name a job, in order of time.
fn lines_of_job(lines: &[Value], job: u64) -> Vec<Value> {
    let id = format!("{job:016x}");
    let names = |line: &&Value| {
        let task = line["task"].as_str().unwrap_or_default();
        line["job"] == id.as_str() || task.starts_with(&id)
    };
    let mut found: Vec<Value> = lines.iter().filter(names).cloned().collect();
    found.sort_by_key(|line| line["time"].as_str().unwrap().to_owned());
    found
}

fn find_event<'a>(lines: &'a [Value], name: &str) -> &'a Value {
    let found = lines.iter().find(|line| line["name"] == name);
    found.unwrap_or_else(|| panic!("no {name} in {lines:#?}"))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refused_job_is_traced_to_the_store() {
    let fleet = Fleet::start(2, 1, false).await;
    fleet
        .platform
        .store
        .change_faults(|faults| faults.busy = true);
    assert_eq!(fleet.submit(0, 0x701, 1, "50").await, 503);
    // A separate thread writes the log, perhaps only after the answer.
    fleet
        .wait("a line of the refusal", || {
            fleet.count_events("JOB_REFUSED") == 1
        })
        .await;
    let lines = fleet.log_lines();
    let mut lines_of_job = lines_of_job(&lines, 0x701);
    let refused = lines_of_job
        .pop()
        .expect("nothing was logged about the job");
    assert_eq!(refused["name"], "JOB_REFUSED");
    assert_eq!(refused["cause"], "the store is away");
    assert!(
        lines_of_job.is_empty(),
        "something else was logged: {lines_of_job:#?}"
    );
    let cause = &lines
        .iter()
        .find(|line| line["name"] == "RECORDS_NOT_WRITTEN")
        .unwrap()["error"];
    assert!(cause.as_str().unwrap().contains("503"), "{cause}");
    find_event(&lines, "STORE_LOST");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_late_job_is_traced_to_its_queueing_time() {
    let fleet = Fleet::start(1, 1, false).await;
    assert_eq!(fleet.submit(0, 0x801, 8, "2500").await, 200);
    assert_eq!(fleet.submit(0, 0x802, 1, "2500").await, 200);
    fleet.wait_for_state(0, 0x802, "completed").await;
    // A separate thread writes the log, perhaps only after the answer.
    fleet.wait_for_event_of("JOB_ENDED", 0x802).await;
    let lines = lines_of_job(&fleet.log_lines(), 0x802);
    assert_eq!(find_event(&lines, "JOB_ENDED")["late"], "true");
    let placed = find_event(&lines, "STEP_PLACED");
    let waited_ms: u64 = placed["after_ms"].as_str().unwrap().parse().unwrap();
    assert!(waited_ms > 1_500, "{placed}");
    let accepted = find_event(&lines, "JOB_ACCEPTED");
    assert_eq!(accepted["shape"], "1x1");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_late_acceptance_is_traced_to_a_slow_store() {
    let fleet = Fleet::start(1, 1, false).await;
    let slow = time::Duration::from_millis(250);
    fleet
        .platform
        .store
        .change_faults(|faults| faults.slow = slow);
    fleet
        .wait("a line of the slow store", || {
            fleet.count_events("STORE_SLOW") == 1
        })
        .await;
    fleet.submit_until_taken(0, 0x901, 1, "20").await;
    // A separate thread writes the log, perhaps only after the answer.
    fleet
        .wait("a line of the job", || {
            fleet.count_events("JOB_ACCEPTED") == 1
        })
        .await;
    let accepted = lines_of_job(&fleet.log_lines(), 0x901);
    let waited_ms: u128 = find_event(&accepted, "JOB_ACCEPTED")["waited_ms"]
        .as_str()
        .unwrap()
        .parse()
        .unwrap();
    assert!(waited_ms >= slow.as_millis(), "{waited_ms}");
    fleet
        .platform
        .store
        .change_faults(|faults| faults.slow = time::Duration::ZERO);
    fleet
        .wait("a line of its return", || {
            fleet.count_events("STORE_QUICK") >= 1
        })
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_run_is_traced_to_its_worker() {
    let fleet = Fleet::start(1, 2, false).await;
    let worker_id = fleet
        .submit_and_make_worker_unresponsive(0x901, "4000")
        .await;
    fleet.wait_for_state(0, 0x901, "completed").await;
    let lines = fleet.log_lines();
    let abandoned = lines_of_job(&lines, 0x901);
    let abandoned = find_event(&abandoned, "RUN_GIVEN_UP");
    assert_eq!(abandoned["worker"], worker_id.as_str());
    assert_eq!(abandoned["begun"], "true");
    let silent = lines
        .iter()
        .find(|line| line["name"] == "WORKER_SILENT" && line["worker"] == worker_id.as_str());
    assert!(
        silent.unwrap()["error"]
            .as_str()
            .unwrap()
            .contains("no answer")
    );
}
