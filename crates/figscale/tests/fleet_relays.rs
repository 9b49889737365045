//! Calls to workers that other entry instances relay, with real instances as
//! processes.
//!
//! The platform is a stand-in in the test's process. The tests check what the
//! workers saw and what callers were answered.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod fleet_support;

use std::time;

use figscale_platform_standin as standin;
use fleet_support::Fleet;
use fleet_support::stopwatch::Stopwatch;

const JOBS: u64 = 12;
/// Longest time for which a task may wait beside free room.
const MAX_WAIT: time::Duration = time::Duration::from_secs(3);
/// Delay of a start that a worker executes late: longer than a refusal takes, shorter
/// than the order is valid.
const LATE_BY: time::Duration = time::Duration::from_millis(700);
/// Interval at which a test looks for a start that has arrived.
const ARRIVAL_POLL: time::Duration = time::Duration::from_millis(1);
/// Timeout for a relay to be used again, in wall-clock time on a machine that may be
/// busy.
const REUSE_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// Starts a fleet whose leader uses relays; returns it with the leader's number.
async fn start_with_relays(instances: usize, workers: usize) -> (Fleet, usize) {
    let fleet = Fleet::start_relayed(instances, workers).await;
    let leader = wait_for_relays(&fleet).await;
    (fleet, leader)
}

/// Waits until the leader uses a relay; returns the leader's number.
async fn wait_for_relays(fleet: &Fleet) -> usize {
    let leader = fleet.leader().await;
    fleet.wait_for_all_heartbeats(leader).await;
    let used = || fleet.count_events("RELAY_USED") > 0;
    fleet.wait("a relay", used).await;
    leader
}

async fn submit_all(fleet: &Fleet, entry: usize, spec: &str) {
    for number in 0..JOBS {
        fleet
            .submit_until_taken(entry, 0x7700 + number, 2, spec)
            .await;
    }
}

async fn wait_for_all(fleet: &Fleet, entry: usize) {
    for number in 0..JOBS {
        fleet
            .wait_for_state(entry, 0x7700 + number, "completed")
            .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn work_runs_through_relays() {
    let (fleet, leader) = start_with_relays(3, 6).await;
    submit_all(&fleet, leader, "50").await;
    wait_for_all(&fleet, leader).await;
    assert_eq!(fleet.platform.ledger.runs().len() as u64, 2 * JOBS);
    assert_eq!(fleet.count_events("RELAY_LOST"), 0);
    fleet.assert_no_violations();
}

/// The leader makes the calls of a killed relay directly, and no task runs twice.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_relay_loses_no_orders_or_reports() {
    let (mut fleet, leader) = start_with_relays(3, 6).await;
    submit_all(&fleet, leader, "1500").await;
    fleet.kill((leader + 1) % 3);
    wait_for_all(&fleet, leader).await;
    assert_eq!(fleet.platform.ledger.runs().len() as u64, 2 * JOBS);
    fleet.assert_no_violations();
}

/// A frozen relay holds its orders and sends them late, when workers must refuse
/// them.
#[tokio::test(flavor = "multi_thread")]
async fn orders_delayed_by_a_frozen_relay_run_nothing_twice() {
    let (mut fleet, leader) = start_with_relays(3, 6).await;
    let relay = (leader + 1) % 3;
    submit_all(&fleet, leader, "1000").await;
    fleet.signal(relay, "STOP");
    for number in 0..JOBS {
        let job = 0x7800 + number;
        fleet.submit_until_taken(leader, job, 1, "50").await;
    }
    wait_for_all(&fleet, leader).await;
    fleet.signal(relay, "CONT");
    for number in 0..JOBS {
        fleet
            .wait_for_state(leader, 0x7800 + number, "completed")
            .await;
    }
    // Starts that were in flight arrive by then, and are refused.
    tokio::time::sleep(time::Duration::from_secs(2)).await;
    fleet.assert_no_violations();
}

/// Tasks that a killed leader started through relays keep running under the next
/// leader.
#[tokio::test(flavor = "multi_thread")]
async fn tasks_keep_running_when_a_leader_with_relays_is_killed() {
    let (mut fleet, leader) = start_with_relays(4, 6).await;
    submit_all(&fleet, leader, "2500").await;
    fleet.kill(leader);
    let other = (leader + 1) % 4;
    wait_for_all(&fleet, other).await;
    assert_eq!(fleet.platform.ledger.runs().len() as u64, 2 * JOBS);
    fleet.assert_no_violations();
}

/// Guards against tasks that wait beside free room while the leader's streams to its
/// relays no longer respond.
#[tokio::test(flavor = "multi_thread")]
async fn tasks_start_although_the_streams_to_relays_are_silent() {
    let fleet = Fleet::start_relayed_with_peer_proxies(3, 6).await;
    let leader = wait_for_relays(&fleet).await;
    submit_all(&fleet, leader, "50").await;
    wait_for_all(&fleet, leader).await;
    for job in [0x7901, 0x7902] {
        fleet.silence_peer_connections_of(leader);
        let waited = Stopwatch::start();
        assert_eq!(fleet.submit(leader, job, 1, "50").await, 200);
        fleet.expect_start_within(job, MAX_WAIT, &waited).await;
        fleet.wait_for_state(leader, job, "completed").await;
    }
    fleet.assert_no_violations();
}

/// Guards against a leader that never uses a relay again whose stream no longer
/// responds.
#[tokio::test(flavor = "multi_thread")]
async fn a_relay_is_used_again_after_its_stream_went_silent() {
    let fleet = Fleet::start_relayed_with_peer_proxies(3, 6).await;
    let leader = wait_for_relays(&fleet).await;
    submit_all(&fleet, leader, "50").await;
    wait_for_all(&fleet, leader).await;
    fleet.silence_peer_connections_of(leader);
    let used = fleet.count_events("RELAY_USED");
    let connections = || fleet.peer_connections_of(leader).iter().sum::<u64>();
    let opened = connections();
    let used_again = || fleet.count_events("RELAY_USED") > used && connections() > opened;
    let begun = time::Instant::now();
    for job in 0x7a00.. {
        if used_again() {
            break;
        }
        assert!(begun.elapsed() < REUSE_TIMEOUT, "no new stream to a relay");
        fleet.submit_until_taken(leader, job, 2, "50").await;
        fleet.wait_for_state(leader, job, "completed").await;
    }
    assert!(fleet.is_leader(leader).await);
    fleet.assert_no_violations();
}

/// Guards against a start that is taken as refused although the same order may still be
/// executed: it went through a relay whose stream broke, and the worker refused only
/// the direct order after it.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_after_a_broken_stream_does_not_show_that_a_task_does_not_run() {
    let fleet = Fleet::start_relayed_with_peer_proxies(3, 6).await;
    let leader = wait_for_relays(&fleet).await;
    submit_all(&fleet, leader, "50").await;
    wait_for_all(&fleet, leader).await;
    let workers = &fleet.platform.workers;
    for worker in workers {
        worker.change_faults(|faults| {
            faults.late_next = 1;
            faults.late_by = LATE_BY;
            faults.unhealthy_next = 1;
        });
    }
    assert_eq!(fleet.submit(leader, 0x7b00, 1, "2000").await, 200);
    let has_arrived = || workers.iter().any(|worker| worker.faults().late_next == 0);
    while !has_arrived() {
        tokio::time::sleep(ARRIVAL_POLL).await;
    }
    fleet.reset_peer_connections_of(leader);
    for worker in workers.iter().filter(|each| each.faults().late_next > 0) {
        worker.change_faults(|faults| *faults = standin::worker::Faults::default());
    }
    fleet.wait_for_state(leader, 0x7b00, "completed").await;
    fleet.assert_no_violations();
}
