//! The leader's writes beside a store with faults, by real entry instances as
//! processes.
//!
//! The platform is a stand-in in the test's process. What must hold is judged
//! by what the store and the workers saw and by what callers were told.
//! Bounds on time are on time that the machine gave these processes.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod fleet_support;

use std::time;

use figscale_platform_standin as standin;
use fleet_support::Fleet;
use fleet_support::NEW_LEASE;

use fleet_support::stopwatch::Stopwatch;

/// A burst of quick jobs beside a store that takes a quarter of a second an
/// answer: with one write at a time the records of half as many took 1.5 s. They
/// fill nine writes, and none of these waits for another's answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_burst_beside_a_slow_store_is_taken_by_several_writes() {
    let fleet = Fleet::start(2, 2, false).await;
    fleet.submit_until_taken(0, 0xc50, 1, "20").await;
    fleet.wait_for_state(0, 0xc50, "completed").await;
    let store = &fleet.platform.store;
    store.change_faults(|faults| {
        faults.slow = time::Duration::from_millis(250);
        // A busy machine may need another term, which is not what is looked at.
        faults.whole_pages = true;
    });
    store.take_most_at_once();
    let jobs =
        (0..240).map(|job| fleet.submit_until_taken(job as usize % 2, 0xd000 + job, 1, "20"));
    futures_util::future::join_all(jobs).await;
    let at_once = store.take_most_at_once();
    assert!(at_once >= 4, "{at_once}");
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

/// The write that names the leader anew is as full of records as any: its lease
/// comes while all chains are busy and more records wait.
#[tokio::test(flavor = "multi_thread")]
async fn a_full_write_names_the_leader_anew() {
    let fleet = Fleet::start(1, 2, false).await;
    let store = &fleet.platform.store;
    // On a busy machine the lease may come too soon or too late in a round.
    for round in 1..=MOST_ROUNDS {
        let renewed_late = fleet.count_events("LEASE_RENEWED_LATE");
        store.change_faults(|faults| faults.grants_held = true);
        store.end_leases();
        let noticed = || fleet.count_events("LEASE_RENEWED_LATE") > renewed_late;
        fleet.wait("the end of the lease", noticed).await;
        store.change_faults(|faults| faults.transactions_held = true);
        let jobs = (0..400).map(|job| fleet.submit_until_taken(0, round << 16 | job, 1, "20"));
        let lease = async {
            tokio::time::sleep(MOMENT).await;
            store.change_faults(|faults| faults.grants_held = false);
            tokio::time::sleep(MOMENT).await;
            store.change_faults(|faults| faults.transactions_held = false);
        };
        tokio::join!(futures_util::future::join_all(jobs), lease);
        fleet
            .wait("the leader's key", || fleet.names_a_leader())
            .await;
        if store.fullest_under_lease() >= FULL {
            break;
        }
    }
    fleet.check_no_write_was_refused();
    assert!(store.fullest_under_lease() >= FULL, "no write was full");
    assert_eq!(fleet.count_events("TERM_BEGUN"), 1);
    fleet.check();
}

/// Room is kept for two records of a job, and a new one has but one.
const FULL: usize = standin::store::MAX_ENTRIES - 1;
const MOST_ROUNDS: u64 = 12;
/// Eight writes begin within this time, and none is given up for its answer.
const MOMENT: time::Duration = time::Duration::from_millis(180);

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
    fleet
        .wait("the lease's write", || store.leases_turned_away() > 0)
        .await;
    // It is tried for a moment before it is given up.
    let failed = || fleet.count_events("RECORDS_NOT_WRITTEN");
    let before = failed();
    fleet
        .wait("the end of it and of another", || failed() >= before + 2)
        .await;
    assert!(!fleet.names_a_leader());
    let before = store.transactions();
    store.change_faults(|faults| faults.no_transactions = false);
    fleet
        .wait("a write", || store.transactions() > before)
        .await;
    assert!(fleet.names_a_leader(), "the first write did not name it");
    fleet.submit_until_taken(0, 0x901, 1, "20").await;
    fleet.wait_for_state(0, 0x901, "completed").await;
    assert_eq!(fleet.count_events("TERM_BEGUN"), 1);
}

/// A write without an answer is sent again once the store answers a later call,
/// and not only when its timeout of 0.5 s is over, which would be told of.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_costs_less_than_a_timeout() {
    let fleet = Fleet::start(1, 2, false).await;
    let store = &fleet.platform.store;
    let rounds = 6;
    for round in 0..rounds {
        store.change_faults(|faults| faults.lost_next = 1);
        fleet.submit_until_taken(0, 0xd00 + round, 1, "20").await;
    }
    // A busy machine may let a timeout pass all the same.
    let timeouts = fleet.count_events("STORE_LOST");
    assert!(timeouts * 2 < rounds as usize, "{timeouts} of {rounds}");
    fleet.check();
}

/// A leader that is cut off from the store takes jobs through a peer that is
/// not, and does not ask again and again one that is.
#[tokio::test(flavor = "multi_thread")]
async fn a_leader_without_the_store_writes_through_a_peer() {
    let fleet = Fleet::start(5, 2, false).await;
    let leader = fleet.leader().await;
    fleet.wait_until_all_greet(leader).await;
    let cut = [leader, (leader + 1) % 5];
    for instance in cut {
        fleet.doors[instance].set_shut(true);
    }
    // The first call finds out; watches that began before are answered yet.
    fleet
        .submit_until_taken((leader + 2) % 5, 0xf00, 1, "20")
        .await;
    tokio::time::sleep(2 * NEW_LEASE).await;
    let shut_out = || cut.map(|instance| fleet.doors[instance].transactions_shut_out());
    let before = shut_out();
    let taken = fleet.platform.store.transactions();
    for job in 1..=30 {
        fleet
            .submit_until_taken((leader + 2) % 5, 0xf00 + job, 1, "20")
            .await;
    }
    assert!(fleet.platform.store.transactions() >= taken + 30);
    assert_eq!(shut_out(), before, "tries where none can succeed");
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
