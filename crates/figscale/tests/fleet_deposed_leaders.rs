//! Former leaders that go on after a pause while their successor cannot reach a worker.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod fleet_support;

use std::time;

use fleet_support::Fleet;
use rstest::rstest;

const JOB: u64 = 0x68;
const TASKS: usize = 4;
/// Length of each task in milliseconds: longer than a leader waits for the leases
/// of its predecessor.
const TASK_MS: &str = "9000";
/// Time for the peers of a leader to exchange heartbeats, so that they can agree at once
/// that they have lost it.
const SETTLE: time::Duration = time::Duration::from_secs(1);
/// Time from the start of the pause until the successor reaches the worker again.
const CUT: time::Duration = time::Duration::from_secs(12);

/// Guards against a former leader that renews leases after a pause, so that its
/// successor starts tasks that still run on a worker it cannot reach.
#[rstest]
#[case::of_2_seconds(2_000)]
#[case::of_2_and_a_half_seconds(2_500)]
#[case::of_3_and_a_half_seconds(3_500)]
#[case::of_4_seconds(4_000)]
#[case::of_8_seconds(8_000)]
#[tokio::test(flavor = "multi_thread")]
async fn no_task_runs_twice_at_once_after_a_pause(#[case] pause_ms: u64) {
    let mut fleet = Fleet::start(3, 3, false).await;
    fleet.wait_for_all_heartbeats(fleet.leader().await).await;
    tokio::time::sleep(SETTLE).await;
    fleet
        .submit_until_taken(0, JOB, TASKS as u32, TASK_MS)
        .await;
    fleet.wait_for_state(0, JOB, "running").await;
    let started = || fleet.platform.ledger.runs().len() == TASKS;
    fleet.wait("all tasks to start", started).await;
    let leader = fleet.leader().await;
    let worker_id = fleet.platform.ledger.runs()[0].worker.clone();
    let mut workers = fleet.platform.workers.iter();
    let worker = workers.find(|worker| worker.plan.id == worker_id).unwrap();
    let worker = worker.clone();
    let epoch = worker.fence();
    worker.change_faults(|faults| faults.max_epoch = Some(epoch));

    let paused_at = tokio::time::Instant::now();
    fleet.signal(leader, "STOP");
    tokio::time::sleep(time::Duration::from_millis(pause_ms)).await;
    fleet.signal(leader, "CONT");
    tokio::time::sleep_until(paused_at + CUT).await;
    assert!(fleet.count_events("TERM_BEGUN") > 1, "no successor");
    assert_eq!(worker.fence(), epoch, "the successor reached the worker");
    worker.change_faults(|faults| faults.max_epoch = None);

    fleet.wait_for_state(0, JOB, "completed").await;
    fleet.assert_no_violations();
}
