//! Final states of jobs: told only once they are in the store.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod fleet_support;

use std::time;

use fleet_support::Fleet;
use fleet_support::stopwatch::Stopwatch;

const JOB: u64 = 0x77;
/// A query whose answer cannot change soon is answered at once.
const MAX_ANSWER_TIME: time::Duration = time::Duration::from_millis(300);
/// Longest time for which a query waits for a write, and some more.
const MAX_WAIT: time::Duration = time::Duration::from_millis(800);

async fn state(fleet: &Fleet, number: usize) -> String {
    let answer = fleet.get(number, &format!("/jobs/{JOB:016x}")).await;
    let body: serde_json::Value = answer.json().unwrap();
    body["state"].as_str().unwrap().to_owned()
}

fn runs(fleet: &Fleet) -> usize {
    fleet.platform.ledger.runs().len()
}

/// Guards against a job that is told as completed while the store is unavailable, and
/// runs again since its leader and its worker are lost before the end is written.
#[tokio::test(flavor = "multi_thread")]
async fn an_end_that_is_lost_with_its_leader_was_not_told() {
    let mut fleet = Fleet::start(3, 1, false).await;
    fleet.submit_until_taken(0, JOB, 1, "600").await;
    fleet.wait("the start", || runs(&fleet) == 1).await;
    let store = fleet.platform.store.clone();
    store.change_faults(|faults| faults.busy = true);
    fleet.wait_for_event_of("JOB_ENDED", JOB).await;
    for number in 0..3 {
        assert_eq!(state(&fleet, number).await, "running");
    }
    let leader = fleet.leader().await;
    fleet.kill(leader);
    fleet.platform.workers[0].kill();
    store.change_faults(|faults| faults.busy = false);
    let other = (leader + 1) % 3;
    fleet.wait_for_state(other, JOB, "completed").await;
    assert_eq!(runs(&fleet), 2);
    fleet.assert_no_violations();
}

/// Guards against queries that are held although the store is known to be unavailable.
#[tokio::test(flavor = "multi_thread")]
async fn a_query_does_not_wait_for_an_unavailable_store() {
    let fleet = Fleet::start(2, 1, false).await;
    fleet.submit_until_taken(0, JOB, 1, "600").await;
    let store = &fleet.platform.store;
    store.change_faults(|faults| faults.busy = true);
    fleet.submit_until(0, 0x1_0000, 503).await;
    fleet.wait_for_event_of("JOB_ENDED", JOB).await;
    let begun = Stopwatch::start();
    assert_eq!(state(&fleet, 0).await, "running");
    assert!(begun.elapsed() < MAX_ANSWER_TIME);
    store.change_faults(|faults| faults.busy = false);
    fleet.wait_for_state(0, JOB, "completed").await;
}

/// Guards against callers that are told `running` by a query between the end of a job
/// and its write, and ask again only later.
#[tokio::test(flavor = "multi_thread")]
async fn a_query_waits_for_the_write_of_an_end() {
    let fleet = Fleet::start(2, 1, false).await;
    fleet.submit_until_taken(0, JOB, 1, "600").await;
    let store = &fleet.platform.store;
    store.change_faults(|faults| faults.slow = time::Duration::from_millis(150));
    fleet.wait_for_event_of("JOB_ENDED", JOB).await;
    assert_eq!(state(&fleet, 0).await, "completed");
}

/// Guards against queries that wait without a limit for a store that does not answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_query_waits_for_a_limited_time() {
    let fleet = Fleet::start(2, 1, false).await;
    fleet.submit_until_taken(0, JOB, 1, "600").await;
    let store = &fleet.platform.store;
    store.change_faults(|faults| faults.transactions_blocked = true);
    fleet.wait_for_event_of("JOB_ENDED", JOB).await;
    let begun = Stopwatch::start();
    assert_eq!(state(&fleet, 0).await, "running");
    assert!(begun.elapsed() < MAX_WAIT);
    store.change_faults(|faults| faults.transactions_blocked = false);
    fleet.wait_for_state(0, JOB, "completed").await;
}
