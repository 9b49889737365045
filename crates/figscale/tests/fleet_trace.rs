//! From the id of a failed request to its cause, by the logs alone.
//!
//! docs/OPERATIONS.md shows the same steps with `grep`. The logs are those of
//! real processes, recorded while the fault was there.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod fleet_support;

use std::time;

use fleet_support::Fleet;
use serde_json::Value;

/// Lines that name a job, in the order of their times.
fn of_job(lines: &[Value], job: u64) -> Vec<Value> {
    let id = format!("{job:016x}");
    let names = |line: &&Value| {
        let task = line["task"].as_str().unwrap_or_default();
        line["job"] == id.as_str() || task.starts_with(&id)
    };
    let mut found: Vec<Value> = lines.iter().filter(names).cloned().collect();
    found.sort_by_key(|line| line["time"].as_str().unwrap().to_owned());
    found
}

fn named<'a>(lines: &'a [Value], name: &str) -> &'a Value {
    let found = lines.iter().find(|line| line["name"] == name);
    found.unwrap_or_else(|| panic!("no {name} in {lines:#?}"))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refused_job_leads_to_the_store() {
    let fleet = Fleet::start(2, 1, false).await;
    fleet
        .platform
        .store
        .change_faults(|faults| faults.busy = true);
    assert_eq!(fleet.submit(0, 0x701, 1, "50").await, 503);
    // Lines are written by a thread of their own, after the answer perhaps.
    fleet
        .wait("a line of the refusal", || {
            fleet.count_events("JOB_REFUSED") == 1
        })
        .await;
    let lines = fleet.log_lines();
    let mut of_job = of_job(&lines, 0x701);
    let refused = of_job.pop().expect("nothing is logged of the job");
    assert_eq!(refused["name"], "JOB_REFUSED");
    assert_eq!(refused["cause"], "the store is unavailable");
    assert!(of_job.is_empty(), "something else was done: {of_job:#?}");
    let cause = &lines
        .iter()
        .find(|line| line["name"] == "RECORDS_NOT_WRITTEN")
        .unwrap()["error"];
    assert!(cause.as_str().unwrap().contains("503"), "{cause}");
    named(&lines, "STORE_LOST");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_late_job_leads_to_its_wait() {
    let fleet = Fleet::start(1, 1, false).await;
    assert_eq!(fleet.submit(0, 0x801, 8, "2500").await, 200);
    assert_eq!(fleet.submit(0, 0x802, 1, "2500").await, 200);
    fleet.wait_for_state(0, 0x802, "completed").await;
    // Lines are written by a thread of their own, after the answer perhaps.
    fleet.wait_for_event_of("JOB_ENDED", 0x802).await;
    let lines = of_job(&fleet.log_lines(), 0x802);
    assert_eq!(named(&lines, "JOB_ENDED")["late"], "true");
    let placed = named(&lines, "STEP_PLACED");
    let waited_ms: u64 = placed["after_ms"].as_str().unwrap().parse().unwrap();
    assert!(waited_ms > 1_500, "{placed}");
    let accepted = named(&lines, "JOB_ACCEPTED");
    assert_eq!(accepted["shape"], "1x1");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_taken_late_leads_to_a_slow_store() {
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
    // Lines are written by a thread of their own, after the answer perhaps.
    fleet
        .wait("a line of the job", || {
            fleet.count_events("JOB_ACCEPTED") == 1
        })
        .await;
    let accepted = of_job(&fleet.log_lines(), 0x901);
    let waited_ms: u128 = named(&accepted, "JOB_ACCEPTED")["waited_ms"]
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
async fn a_job_lost_to_a_worker_leads_to_that_worker() {
    let fleet = Fleet::start(1, 2, false).await;
    let home = fleet.silence_the_worker_of(0x901, "4000").await;
    fleet.wait_for_state(0, 0x901, "completed").await;
    let lines = fleet.log_lines();
    let given_up = of_job(&lines, 0x901);
    let given_up = named(&given_up, "RUN_GIVEN_UP");
    assert_eq!(given_up["worker"], home.as_str());
    assert_eq!(given_up["begun"], "true");
    let silent = lines
        .iter()
        .find(|line| line["name"] == "WORKER_SILENT" && line["worker"] == home.as_str());
    assert!(
        silent.unwrap()["error"]
            .as_str()
            .unwrap()
            .contains("no answer")
    );
}
