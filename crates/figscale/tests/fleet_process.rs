//! Jobs on the users' platform, with real entry instances as processes.
//!
//! The platform is a stand-in in the test's process; entry instances are
//! `figscale serve` with the `fleet` section. The tests check what the workers saw
//! and what callers were answered. Time bounds apply to the time during which the
//! machine ran these processes (see `Stopwatch`).

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod fleet_support;

use std::time;

use fleet_support::Fleet;
use fleet_support::NEW_LEASE;
use fleet_support::stopwatch::Stopwatch;

#[tokio::test(flavor = "multi_thread")]
async fn a_job_runs_through_any_instance() {
    let fleet = Fleet::start(3, 2, true).await;
    assert_eq!(fleet.submit(0, 0xa1, 2, "50").await, 200);
    assert_eq!(
        fleet.submit(1, 0xa1, 2, "50").await,
        200,
        "a repeat is the same job"
    );
    fleet.wait_for_state(2, 0xa1, "completed").await;
    assert_eq!(fleet.platform.ledger.done(), 2);
    assert_eq!(fleet.platform.ledger.runs().len(), 2);
    assert!(fleet.platform.advice.questions() > 0);
    fleet.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_get_the_status_for_their_path_and_body() {
    let fleet = Fleet::start(2, 1, false).await;
    assert_eq!(fleet.get(0, "/jobs/00000000000000ff").await.status, 410);
    assert_eq!(fleet.get(0, "/other/00000000000000ff").await.status, 404);
    assert_eq!(fleet.get(0, "/jobs/not-an-id").await.status, 404);
    assert_eq!(fleet.get(0, "/jobs/").await.text(), r#"{"pending":0}"#);
    assert_eq!(
        fleet.post(0, "/jobs/00000000000000ff", "{").await.status,
        400
    );
    let filling = r#"{"spec":"1","phases":[{"count":1,"cpu":100,"fills":true}]}"#;
    let refused = fleet.post(0, "/jobs/00000000000000fe", filling).await;
    assert_eq!(refused.status, 400);
    assert!(
        refused.text().contains("not supported"),
        "{}",
        refused.text()
    );
    assert_eq!(fleet.submit(0, 0xb1, 1, "60000").await, 200);
    fleet.wait_for_state(1, 0xb1, "running").await;
    assert_eq!(fleet.cancel(1, 0xb1).await, 200);
    fleet.wait_for_state(0, 0xb1, "cancelled").await;
    fleet
        .wait("the run to be stopped", || {
            fleet
                .platform
                .ledger
                .runs()
                .iter()
                .all(|run| run.end.as_deref() == Some("stopped"))
        })
        .await;
    fleet.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failing_job_fails_after_its_attempts() {
    let fleet = Fleet::start(1, 3, false).await;
    assert_eq!(fleet.submit(0, 0xc1, 1, "fail").await, 200);
    fleet.wait_for_state(0, 0xc1, "failed").await;
    assert_eq!(fleet.platform.ledger.runs().len(), 2);
    fleet.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn without_the_store_jobs_are_refused_and_running_work_goes_on() {
    let fleet = Fleet::start(2, 2, false).await;
    assert_eq!(fleet.submit(0, 0x101, 1, "2000").await, 200);
    fleet.wait_for_state(0, 0x101, "running").await;
    fleet
        .platform
        .store
        .change_faults(|faults| faults.busy = true);
    let refused = fleet.submit_answer(0, 0x102, 1, "50").await;
    assert_eq!(refused.status, 503);
    assert!(!refused.header("retry-after").is_empty());
    fleet
        .wait("the running task to end", || {
            fleet.platform.ledger.done() == 1
        })
        .await;
    fleet
        .platform
        .store
        .change_faults(|faults| faults.busy = false);
    fleet.wait_for_state(0, 0x101, "completed").await;
    let never = fleet
        .platform
        .ledger
        .runs()
        .iter()
        .all(|run| !run.task.contains("102."));
    assert!(never, "a refused job ran");
    fleet.submit_until_taken(0, 0x103, 1, "50").await;
    fleet.wait_for_state(1, 0x103, "completed").await;
    fleet.assert_no_violations();
}

/// Guards against an instance that refuses a caller because of its short time
/// limit: an answer takes only some 10 ms.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_with_a_short_time_limit_is_served() {
    let fleet = Fleet::start(2, 2, false).await;
    let wait = time::Duration::from_millis(100);
    for job in 0x130..0x150 {
        if fleet.submit_within(1, job, wait).await == 200 {
            return;
        }
    }
    panic!("32 callers with a time limit of {wait:?} were refused");
}

/// Guards against a refusal by an instance that finds no leader: it cannot know the
/// outcome of an earlier attempt, so it must not say that the job never runs.
#[tokio::test(flavor = "multi_thread")]
async fn without_a_leader_no_caller_is_told_that_its_job_was_refused() {
    let mut fleet = Fleet::start(2, 2, false).await;
    assert_eq!(fleet.submit(0, 0x150, 1, "1500").await, 200);
    let store = fleet.platform.store.clone();
    let leader = fleet.leader().await;
    // No leader can be elected.
    store.change_faults(|faults| faults.busy = true);
    fleet.kill(leader);
    let again = fleet.submit(1 - leader, 0x150, 1, "1500").await;
    assert_eq!(again, 504, "the job runs");
    store.change_faults(|faults| faults.busy = false);
    fleet.wait_for_state(1 - leader, 0x150, "completed").await;
    fleet.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_reaches_all_instances_and_no_older_one_replaces_it() {
    let fleet = Fleet::start(3, 1, false).await;
    fleet.platform.configure(20, "pool", "/renamed/", false);
    for instance in 0..3 {
        fleet.wait_for_status(instance, "/renamed/", 200).await;
        assert_eq!(fleet.get(instance, "/jobs/").await.status, 404);
    }
    fleet.platform.store.compact();
    fleet.platform.configure(15, "pool", "/jobs/", false);
    tokio::time::sleep(time::Duration::from_secs(2)).await;
    for instance in 0..3 {
        assert_eq!(fleet.get(instance, "/jobs/").await.status, 404);
    }
}

/// Guards against a recovery of the store that instances notice only late.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_are_accepted_as_soon_as_an_unresponsive_store_recovers() {
    let fleet = Fleet::start(3, 2, false).await;
    fleet.submit_until_taken(0, 0xe00, 1, "20").await;
    let mut waited = time::Duration::ZERO;
    let rounds = 3;
    for round in 0..rounds {
        let store = &fleet.platform.store;
        store.change_faults(|faults| faults.slow = time::Duration::from_secs(30));
        let lost = fleet.submit(0, 0xe10 + round, 1, "20").await;
        assert_ne!(lost, 200);
        tokio::time::sleep(NEW_LEASE).await;
        store.change_faults(|faults| faults.slow = time::Duration::ZERO);
        let begun = Stopwatch::start();
        fleet.submit_until_taken(0, 0xe20 + round, 1, "20").await;
        waited += begun.elapsed();
    }
    assert!(
        waited < time::Duration::from_millis(400) * rounds as u32,
        "{waited:?}"
    );
    fleet.assert_no_violations();
}
