//! Former leaders that go on while their successor cannot reach a worker.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod fleet_support;

use std::time;

use figscale_platform_standin::worker;
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
/// Time from the start of the pause or cut until the successor reaches the worker again.
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
    pause_leader(Fleet::start(3, 3, false).await, pause_ms).await;
}

/// Guards against a successor that takes itself for a majority of two instances, and
/// starts tasks that a former leader keeps running after a pause.
#[tokio::test(flavor = "multi_thread")]
async fn no_task_runs_twice_at_once_after_a_pause_of_one_of_two_instances() {
    pause_leader(Fleet::start(2, 3, false).await, 3_500).await;
}

/// Guards against a leader that restarts and takes leases of its earlier life for ended,
/// or never ends its wait for a worker that later leaders cannot reach.
#[rstest]
#[case::at_once(0)]
#[case::after_2_seconds(2_000)]
#[tokio::test(flavor = "multi_thread")]
async fn no_task_runs_twice_at_once_after_a_restart(#[case] down_ms: u64) {
    let mut fleet = Fleet::start(3, 3, false).await;
    let (leader, worker) = run_tasks_out_of_reach_of_later_leaders(&fleet).await;
    let killed_at = tokio::time::Instant::now();
    fleet.kill(leader);
    tokio::time::sleep(time::Duration::from_millis(down_ms)).await;
    fleet.launch(leader);
    tokio::time::sleep_until(killed_at + CUT).await;
    end_job(&fleet, leader, &worker).await;
}

/// Guards against a former leader that renews leases while it is cut off, so that its
/// successor starts tasks that still run on a worker it cannot reach.
#[rstest]
#[case::of_calls_to_it(false, false)]
#[case::of_calls_to_it_and_the_store(false, true)]
#[case::of_calls_from_and_to_it(true, false)]
#[case::of_all_calls_but_to_workers(true, true)]
#[tokio::test(flavor = "multi_thread")]
async fn no_task_runs_twice_at_once_after_a_cut(#[case] both_ways: bool, #[case] store: bool) {
    let fleet = Fleet::start_with_peer_proxies(3, 3, false).await;
    let (leader, worker) = run_tasks_out_of_reach_of_later_leaders(&fleet).await;
    fleet.store_proxies[leader].set_blocked(store);
    fleet.cut_paths_to(leader);
    if both_ways {
        fleet.cut_paths_from(leader);
    }
    tokio::time::sleep(CUT).await;
    fleet.store_proxies[leader].set_blocked(false);
    end_job(&fleet, leader, &worker).await;
}

/// Guards against a former leader that renews leases while it is cut off together with
/// a worker, so that its successor starts tasks that still run there.
#[rstest]
#[case::that_has_the_store(false)]
#[case::without_the_store(true)]
#[tokio::test(flavor = "multi_thread")]
async fn no_task_runs_twice_at_once_in_a_partition(#[case] store_cut: bool) {
    let fleet = Fleet::start_with_peer_proxies(3, 3, false).await;
    let (leader, worker) = run_tasks_out_of_reach_of_later_leaders(&fleet).await;
    let workers = fleet.platform.workers.iter();
    let others = workers.filter(|other| other.plan.id != worker.plan.id);
    for other in others {
        other.change_faults(|faults| faults.min_epoch = worker.fence() + 1);
    }
    fleet.store_proxies[leader].set_blocked(store_cut);
    fleet.cut_paths_to(leader);
    fleet.cut_paths_from(leader);
    tokio::time::sleep(CUT).await;
    fleet.store_proxies[leader].set_blocked(false);
    end_job(&fleet, leader, &worker).await;
}

/// Pauses the leader while a worker is out of reach of its successor.
async fn pause_leader(mut fleet: Fleet, pause_ms: u64) {
    let (leader, worker) = run_tasks_out_of_reach_of_later_leaders(&fleet).await;
    let paused_at = tokio::time::Instant::now();
    fleet.signal(leader, "STOP");
    tokio::time::sleep(time::Duration::from_millis(pause_ms)).await;
    assert!(fleet.is_stopped(leader), "something else has resumed it");
    fleet.signal(leader, "CONT");
    tokio::time::sleep_until(paused_at + CUT).await;
    end_job(&fleet, leader, &worker).await;
}

/// Starts the job's tasks, and makes a worker that runs some of them unreachable for
/// later leaders; returns the leader and the worker.
async fn run_tasks_out_of_reach_of_later_leaders(fleet: &Fleet) -> (usize, worker::Handle) {
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
    let epoch = worker.fence();
    worker.change_faults(|faults| faults.max_epoch = Some(epoch));
    (leader, worker.clone())
}

/// Makes the worker reachable for the successor of `leader`, and waits for the end of
/// the job.
async fn end_job(fleet: &Fleet, leader: usize, worker: &worker::Handle) {
    assert!(fleet.count_events("TERM_BEGUN") > 1, "no successor");
    let max_epoch = worker.faults().max_epoch;
    assert_eq!(Some(worker.fence()), max_epoch, "the worker was reached");
    worker.change_faults(|faults| faults.max_epoch = None);
    let other = (leader + 1) % fleet.store_proxies.len();
    fleet.wait_for_state(other, JOB, "completed").await;
    fleet.assert_no_violations();
}
