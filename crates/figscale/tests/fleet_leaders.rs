//! Who leads, and how leadership moves, by real entry instances as processes.
//!
//! The platform is a stand-in in the test's process. What must hold is judged
//! by what the workers saw and by what callers were told.
//! Bounds on time are on time that the machine gave these processes.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod fleet_support;

use std::time;

use fleet_support::Fleet;
use fleet_support::NEW_LEASE;
use fleet_support::stopwatch::Stopwatch;

#[tokio::test(flavor = "multi_thread")]
async fn work_goes_on_after_the_leader_was_killed() {
    let mut fleet = Fleet::start(3, 3, true).await;
    for number in 0..6 {
        assert_eq!(fleet.submit(0, 0xd00 + number, 2, "1500").await, 200);
    }
    let leader = fleet.leader().await;
    fleet.kill(leader);
    let other = (leader + 1) % 3;
    let begun = Stopwatch::start();
    fleet.submit_until_taken(other, 0xdff, 1, "50").await;
    assert!(
        begun.elapsed() < time::Duration::from_secs(10),
        "{:?}",
        begun.elapsed()
    );
    for number in 0..6 {
        fleet
            .wait_for_state(other, 0xd00 + number, "completed")
            .await;
    }
    fleet.wait_for_state(other, 0xdff, "completed").await;
    fleet.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_leader_does_no_harm_when_it_wakes() {
    let mut fleet = Fleet::start(3, 3, false).await;
    for number in 0..6 {
        assert_eq!(fleet.submit(0, 0xe00 + number, 2, "1000").await, 200);
    }
    let leader = fleet.leader().await;
    fleet.signal(leader, "STOP");
    let other = (leader + 1) % 3;
    fleet.submit_until_taken(other, 0xeff, 1, "50").await;
    fleet.signal(leader, "CONT");
    for number in 0..6 {
        fleet
            .wait_for_state(leader, 0xe00 + number, "completed")
            .await;
    }
    fleet.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn all_instances_killed_lose_no_job() {
    let mut fleet = Fleet::start(2, 2, false).await;
    for number in 0..4 {
        assert_eq!(fleet.submit(0, 0xf00 + number, 1, "800").await, 200);
    }
    for instance in 0..2 {
        fleet.kill(instance);
    }
    for instance in 0..2 {
        fleet.launch(instance);
    }
    for number in 0..4 {
        fleet.wait_for_state(1, 0xf00 + number, "completed").await;
    }
    fleet.check();
}

/// Nobody waits for the lease of a leader whose address another process has.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_leader_is_known_to_be_another_life() {
    let mut fleet = Fleet::start(3, 2, false).await;
    for instance in 0..3 {
        fleet.kill(instance);
    }
    let begun = Stopwatch::start();
    for instance in 0..3 {
        fleet.launch(instance);
    }
    fleet
        .wait("a second term", || fleet.count_events("TERM_BEGUN") == 2)
        .await;
    // The lease of the first leader lasts 1.1 s at least after its death.
    let took = begun.elapsed();
    assert!(took < time::Duration::from_millis(900), "{took:?}");
}

/// A leader without power refuses nothing; its peers agree that it is lost
/// before its lease ends.
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_leader_is_replaced_before_its_lease_ends() {
    let mut fleet = Fleet::start(4, 2, false).await;
    let leader = fleet.leader().await;
    // All have greeted it.
    tokio::time::sleep(NEW_LEASE).await;
    fleet.signal(leader, "STOP");
    let begun = Stopwatch::start();
    fleet
        .wait("a second term", || fleet.count_events("TERM_BEGUN") == 2)
        .await;
    let took = begun.elapsed();
    fleet.signal(leader, "CONT");
    assert!(took < time::Duration::from_millis(1_000), "{took:?}");
}

/// Beside a slow store the records are read while the election is decided.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_store_is_read_while_it_elects() {
    let mut fleet = Fleet::start(3, 2, false).await;
    for job in 0..10 {
        fleet.submit_until_taken(0, 0xc00 + job, 1, "20").await;
    }
    let leader = fleet.leader().await;
    tokio::time::sleep(NEW_LEASE).await;
    let slow = time::Duration::from_millis(300);
    fleet
        .platform
        .store
        .change_faults(|faults| faults.slow = slow);
    let begun = Stopwatch::start();
    fleet.signal(leader, "TERM");
    fleet
        .wait("a second term", || fleet.count_events("TERM_BEGUN") == 2)
        .await;
    // One answer for the lease and one for the election; the two pages of
    // records come meanwhile.
    let took = begun.elapsed();
    assert!(took < slow * 10 / 3, "{took:?}");
}

/// A caller's request that waits for a leader that was lost goes to the next
/// one as soon as there is one.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_does_not_wait_for_a_leader_that_was_lost() {
    let mut fleet = Fleet::start(4, 2, false).await;
    let leader = fleet.leader().await;
    tokio::time::sleep(NEW_LEASE).await;
    fleet.signal(leader, "STOP");
    let begun = Stopwatch::start();
    let other = (leader + 1) % 4;
    let status = fleet.submit(other, 0xb01, 1, "20").await;
    let took = begun.elapsed();
    fleet.signal(leader, "CONT");
    assert_eq!(status, 200);
    assert!(took < time::Duration::from_millis(850), "{took:?}");
    fleet.check();
}

/// The leader hands over, callers are served to the end, and the stop fits
/// into the time that the platform gives.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_hands_over() {
    let mut fleet = Fleet::start(2, 2, false).await;
    assert_eq!(fleet.submit(0, 0x501, 1, "4000").await, 200);
    let leader = fleet.leader().await;
    let begun = Stopwatch::start();
    fleet.signal(leader, "TERM");
    fleet.wait_until_not_ready(leader).await;
    let through_the_leaving = fleet.submit_answer(leader, 0x502, 1, "50").await;
    assert_eq!(through_the_leaving.status, 200);
    assert_eq!(fleet.exit_code(leader), Some(0));
    assert!(
        begun.elapsed() < time::Duration::from_secs(6),
        "{:?}",
        begun.elapsed()
    );
    let other = 1 - leader;
    fleet.wait_for_state(other, 0x501, "completed").await;
    fleet.wait_for_state(other, 0x502, "completed").await;
    assert_eq!(
        fleet.platform.ledger.runs().len(),
        2,
        "the hand-over stopped a task"
    );
    fleet.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leader_whose_lease_was_taken_leads_on_or_is_replaced() {
    let fleet = Fleet::start(3, 2, false).await;
    assert_eq!(fleet.submit(0, 0x601, 4, "1500").await, 200);
    for _ in 0..3 {
        fleet.platform.store.end_leases();
        tokio::time::sleep(time::Duration::from_millis(400)).await;
    }
    fleet.wait_for_state(0, 0x601, "completed").await;
    fleet.submit_until_taken(1, 0x602, 1, "50").await;
    fleet.wait_for_state(2, 0x602, "completed").await;
    fleet.check();
}

/// While callers keep coming there is always something being written.
#[tokio::test(flavor = "multi_thread")]
async fn a_leader_under_load_hands_over_at_once() {
    let mut fleet = Fleet::start(2, 4, false).await;
    let leader = fleet.leader().await;
    let other = 1 - leader;
    let begun = Stopwatch::start();
    fleet.signal(leader, "TERM");
    let mut number = 0;
    while !fleet.leads(other).await {
        number += 1;
        let job = 0x1000 + number;
        let _ = tokio::join!(
            fleet.submit(other, job, 1, "20"),
            fleet.submit(other, 0x2000 + number, 1, "20"),
        );
        assert!(
            begun.elapsed() < time::Duration::from_millis(2_000),
            "no hand-over in 2 s"
        );
    }
    assert_eq!(fleet.exit_code(leader), Some(0));
    fleet.check();
}
