//! Calls of workers through other entry instances, by real instances as processes.
//!
//! The platform is a stand-in in the test's process. What must hold is judged
//! by what the workers saw and by what callers were told.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod fleet_support;

use std::time;

use fleet_support::Fleet;

const JOBS: u64 = 12;

/// Starts a fleet whose leader, that is told, uses relays.
async fn relayed(instances: usize, workers: usize) -> (Fleet, usize) {
    let fleet = Fleet::start_relayed(instances, workers).await;
    let leader = fleet.leader().await;
    fleet.wait_until_all_greet(leader).await;
    let used = || fleet.count_events("RELAY_USED") > 0;
    fleet.wait("a relay", used).await;
    (fleet, leader)
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
    let (fleet, leader) = relayed(3, 6).await;
    submit_all(&fleet, leader, "50").await;
    wait_for_all(&fleet, leader).await;
    assert_eq!(fleet.platform.ledger.runs().len() as u64, 2 * JOBS);
    assert_eq!(fleet.count_events("RELAY_LOST"), 0);
    fleet.check();
}

/// What it was asked for is done directly, and nothing runs twice.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_relay_hides_nothing() {
    let (mut fleet, leader) = relayed(3, 6).await;
    submit_all(&fleet, leader, "1500").await;
    fleet.kill((leader + 1) % 3);
    wait_for_all(&fleet, leader).await;
    assert_eq!(fleet.platform.ledger.runs().len() as u64, 2 * JOBS);
    fleet.check();
}

/// A relay that stands still keeps what it was told, and says it late.
#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_relay_does_no_harm_when_it_wakes() {
    let (mut fleet, leader) = relayed(3, 6).await;
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
    // Starts that were on their way arrive by then, and are refused.
    tokio::time::sleep(time::Duration::from_secs(2)).await;
    fleet.check();
}

/// Relays carry on what the killed leader had begun: its tasks go on running.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_leader_is_followed_by_one_with_relays() {
    let (mut fleet, leader) = relayed(4, 6).await;
    submit_all(&fleet, leader, "2500").await;
    fleet.kill(leader);
    let other = (leader + 1) % 4;
    wait_for_all(&fleet, other).await;
    assert_eq!(fleet.platform.ledger.runs().len() as u64, 2 * JOBS);
    fleet.check();
}
