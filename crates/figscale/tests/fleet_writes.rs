//! The leader's writes beside a store with faults, by real entry instances as
//! processes.
//!
//! The platform is a stand-in in the test's process. What must hold is judged
//! by what the store and the workers saw and by what callers were told.
//! Bounds on time are on time that the machine gave these processes.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod fleet_support;

use std::time;

use fleet_support::Fleet;
use fleet_support::NEW_LEASE;
use fleet_support::stopwatch::Stopwatch;

/// A burst of quick jobs beside a store that takes a quarter of a second an
/// answer: with one write at a time their records took 1.5 s.
#[tokio::test(flavor = "multi_thread")]
async fn a_burst_beside_a_slow_store_is_taken_by_several_writes() {
    let fleet = Fleet::start(2, 2, false).await;
    fleet.submit_until_taken(0, 0xc50, 1, "20").await;
    let slow = time::Duration::from_millis(250);
    fleet
        .platform
        .store
        .change_faults(|faults| faults.slow = slow);
    let begun = Stopwatch::start();
    let jobs =
        (0..120).map(|job| fleet.submit_until_taken(job as usize % 2, 0xd000 + job, 1, "20"));
    futures_util::future::join_all(jobs).await;
    let took = begun.elapsed();
    assert!(took < slow * 4, "{took:?}");
    fleet.check();
}

/// Transactions are executed without an answer, some of them later.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_of_the_store_run_nothing_twice() {
    let fleet = Fleet::start(2, 3, false).await;
    fleet.platform.store.change_faults(|faults| {
        faults.lost_part = 0.3;
        faults.executed_after = time::Duration::from_millis(1_200);
    });
    for number in 0..8 {
        fleet.submit_until_taken(0, 0x200 + number, 1, "50").await;
    }
    fleet
        .platform
        .store
        .change_faults(|faults| faults.lost_part = 0.0);
    for number in 0..8 {
        fleet.wait_for_state(1, 0x200 + number, "completed").await;
    }
    fleet.check();
}

/// The write that names the leader anew is as full of records as any.
#[tokio::test(flavor = "multi_thread")]
async fn a_full_write_names_the_leader_anew() {
    let fleet = Fleet::start(1, 2, false).await;
    let slow = time::Duration::from_millis(200);
    fleet
        .platform
        .store
        .change_faults(|faults| faults.slow = slow);
    for round in 1..=3 {
        fleet.platform.store.end_leases();
        let jobs = (0..150).map(|job| fleet.submit_until_taken(0, round << 16 | job, 1, "20"));
        futures_util::future::join_all(jobs).await;
    }
    fleet
        .wait("the leader's key", || fleet.names_a_leader())
        .await;
    fleet.check_no_write_was_refused();
    assert_eq!(fleet.count_events("TERM_BEGUN"), 1);
    fleet.check();
}

/// A lease that ends before it was used costs its write a second try, also
/// where the first answer has taken longer than a failed write is tried.
#[tokio::test(flavor = "multi_thread")]
async fn a_write_outlives_the_lease_that_came_with_it() {
    let fleet = Fleet::start(1, 2, false).await;
    let store = &fleet.platform.store;
    store.change_faults(|faults| {
        faults.slow = time::Duration::from_millis(200);
        faults.leases_lost = 1;
    });
    store.end_leases();
    let jobs = (0..60).map(|job| fleet.submit_until_taken(0, 0x7000 + job, 1, "20"));
    futures_util::future::join_all(jobs).await;
    fleet
        .wait("the leader's key", || fleet.names_a_leader())
        .await;
    fleet.check_no_write_was_refused();
    assert_eq!(fleet.count_events("TERM_BEGUN"), 1);
    fleet.check();
}

/// A store that takes no transaction while the leader gets a new lease: the
/// next write that it takes names the leader.
#[tokio::test(flavor = "multi_thread")]
async fn a_lease_outlives_the_write_that_failed() {
    let fleet = Fleet::start(1, 2, false).await;
    let store = &fleet.platform.store;
    store.change_faults(|faults| faults.no_transactions = true);
    store.end_leases();
    tokio::time::sleep(NEW_LEASE).await;
    store.change_faults(|faults| faults.no_transactions = false);
    let begun = Stopwatch::start();
    fleet
        .wait("the leader's key", || fleet.names_a_leader())
        .await;
    assert!(begun.elapsed() < 2 * NEW_LEASE, "{:?}", begun.elapsed());
    fleet.submit_until_taken(0, 0x901, 1, "20").await;
    fleet.wait_for_state(0, 0x901, "completed").await;
    assert_eq!(fleet.count_events("TERM_BEGUN"), 1);
}

/// A write without an answer is sent again once the store answers a later call,
/// and not only when its timeout of 0.5 s is over.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_costs_less_than_a_timeout() {
    let fleet = Fleet::start(1, 2, false).await;
    let store = &fleet.platform.store;
    let rounds = 6;
    let begun = Stopwatch::start();
    for round in 0..rounds {
        store.change_faults(|faults| faults.lost_next = 1);
        fleet.submit_until_taken(0, 0xd00 + round, 1, "20").await;
    }
    let took = begun.elapsed();
    assert!(
        took < time::Duration::from_millis(350) * rounds as u32,
        "{took:?}"
    );
    fleet.check();
}

/// A leader that is cut off from the store takes jobs through a peer that is
/// not, and does not ask again and again one that is.
#[tokio::test(flavor = "multi_thread")]
async fn a_leader_without_the_store_writes_through_a_peer() {
    let fleet = Fleet::start(5, 2, false).await;
    let leader = fleet.leader().await;
    tokio::time::sleep(NEW_LEASE).await;
    for cut in [leader, (leader + 1) % 5] {
        fleet.doors[cut].set_shut(true);
    }
    // The first call finds out.
    fleet
        .submit_until_taken((leader + 2) % 5, 0xf00, 1, "20")
        .await;
    let begun = Stopwatch::start();
    for job in 1..=30 {
        fleet
            .submit_until_taken((leader + 2) % 5, 0xf00 + job, 1, "20")
            .await;
    }
    let took = begun.elapsed();
    assert!(took < time::Duration::from_millis(100) * 30, "{took:?}");
    assert!(fleet.leads(leader).await);
    fleet.check();
}

/// The lease ends while the write that names the leader is without an answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_write_in_doubt_outlives_its_lease() {
    let fleet = Fleet::start(1, 2, false).await;
    // Nothing else is left to write.
    fleet.submit_until_taken(0, 0xa00, 1, "20").await;
    fleet.wait_for_state(0, 0xa00, "completed").await;
    tokio::time::sleep(NEW_LEASE).await;
    let store = &fleet.platform.store;
    store.change_faults(|faults| {
        faults.lost_part = 1.0;
        faults.executed_after = time::Duration::from_secs(60);
    });
    store.end_leases();
    tokio::time::sleep(NEW_LEASE).await;
    store.end_leases();
    store.change_faults(|faults| faults.lost_part = 0.0);
    let begun = Stopwatch::start();
    fleet.submit_until_taken(0, 0xa01, 1, "20").await;
    assert!(begun.elapsed() < 4 * NEW_LEASE, "{:?}", begun.elapsed());
    fleet.wait_for_state(0, 0xa01, "completed").await;
    fleet
        .wait("the leader's key", || fleet.names_a_leader())
        .await;
    fleet.check();
}
