//! The leader's writes to a faulty store, with real entry instances as processes.
//!
//! The platform is a stand-in in the test's process. The tests check what the store
//! and the workers saw and what callers were answered. Time bounds apply to the time
//! during which the machine ran these processes (see `Stopwatch`).

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod fleet_support;

use std::time;

use figscale_platform_standin as standin;
use fleet_support::Fleet;
use fleet_support::NEW_LEASE;

use fleet_support::stopwatch::Stopwatch;

/// Guards against writes that wait for each other's answers. The store takes a
/// quarter of a second for each answer. With one write at a time the records of half
/// this number of short jobs took 1.5 s; these fill nine writes.
#[tokio::test(flavor = "multi_thread")]
async fn a_burst_of_jobs_is_written_in_parallel_to_a_slow_store() {
    let fleet = Fleet::start(2, 2, false).await;
    fleet.submit_until_taken(0, 0xc50, 1, "20").await;
    fleet.wait_for_state(0, 0xc50, "completed").await;
    let store = &fleet.platform.store;
    store.change_faults(|faults| {
        faults.slow = time::Duration::from_millis(250);
        // On a busy machine there may be another term, which this test is not about;
        // its records are then read in one page.
        faults.whole_pages = true;
    });
    store.take_max_in_flight();
    let jobs =
        (0..240).map(|job| fleet.submit_until_taken(job as usize % 2, 0xd000 + job, 1, "20"));
    futures_util::future::join_all(jobs).await;
    let at_once = store.take_max_in_flight();
    assert!(at_once >= 4, "{at_once}");
    fleet.assert_no_violations();
}

/// Guards against tasks that run twice because transactions are executed late and
/// without an answer.
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
    fleet.assert_no_violations();
}

/// Guards against a write that exceeds the size limit because it also restores the
/// leader's key. Such a write is full: its lease is granted while all write chains
/// are busy and more records are queued.
#[tokio::test(flavor = "multi_thread")]
async fn a_full_write_can_restore_the_leader_key() {
    let fleet = Fleet::start(1, 2, false).await;
    let store = &fleet.platform.store;
    // On a busy machine the lease may be granted too early or too late in a round.
    for round in 1..=MAX_ROUNDS {
        let renewed_late = fleet.count_events("LEASE_RENEWED_LATE");
        store.change_faults(|faults| faults.grants_blocked = true);
        store.end_leases();
        let noticed = || fleet.count_events("LEASE_RENEWED_LATE") > renewed_late;
        fleet.wait("the end of the lease", noticed).await;
        store.change_faults(|faults| faults.transactions_blocked = true);
        let jobs = (0..400).map(|job| fleet.submit_until_taken(0, round << 16 | job, 1, "20"));
        let lease = async {
            tokio::time::sleep(HOLD_TIME).await;
            store.change_faults(|faults| faults.grants_blocked = false);
            tokio::time::sleep(HOLD_TIME).await;
            store.change_faults(|faults| faults.transactions_blocked = false);
        };
        tokio::join!(futures_util::future::join_all(jobs), lease);
        fleet
            .wait("the leader's key", || fleet.has_leader_key())
            .await;
        if store.max_leased_entries() >= FULL_WRITE_ENTRIES {
            break;
        }
    }
    fleet.assert_no_write_refused();
    assert!(
        store.max_leased_entries() >= FULL_WRITE_ENTRIES,
        "no write was full"
    );
    assert_eq!(fleet.count_events("TERM_BEGUN"), 1);
    fleet.assert_no_violations();
}

/// Entries of a full write: space is reserved for two records of a job, and a new job
/// has only one.
const FULL_WRITE_ENTRIES: usize = standin::store::MAX_ENTRIES - 1;
const MAX_ROUNDS: u64 = 12;
/// Eight writes begin within this time, and none of them times out.
const HOLD_TIME: time::Duration = time::Duration::from_millis(180);

/// Guards against a write that fails permanently because its lease ended before it was
/// used: the write is tried a second time, even if the first answer has taken longer
/// than the time in which a failed write is retried.
#[tokio::test(flavor = "multi_thread")]
async fn a_write_is_retried_when_its_new_lease_has_ended() {
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
        .wait("the leader's key", || fleet.has_leader_key())
        .await;
    fleet.assert_no_write_refused();
    assert_eq!(fleet.count_events("TERM_BEGUN"), 1);
    fleet.assert_no_violations();
}

/// Guards against a leader's key that is missing after the store took no transactions
/// while the leader got a new lease: the next successful write must restore it.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_lease_is_used_after_a_failed_write() {
    let fleet = Fleet::start(1, 2, false).await;
    let store = &fleet.platform.store;
    store.change_faults(|faults| faults.no_transactions = true);
    store.end_leases();
    fleet
        .wait("the lease's write", || {
            store.leased_transactions_refused() > 0
        })
        .await;
    // It is retried for a short time before it fails.
    let failed = || fleet.count_events("RECORDS_NOT_WRITTEN");
    let before = failed();
    fleet
        .wait("two failed writes", || failed() >= before + 2)
        .await;
    assert!(!fleet.has_leader_key());
    let before = store.transactions();
    store.change_faults(|faults| faults.no_transactions = false);
    fleet
        .wait("a write", || store.transactions() > before)
        .await;
    assert!(
        fleet.has_leader_key(),
        "the first write did not restore the leader's key"
    );
    fleet.submit_until_taken(0, 0x901, 1, "20").await;
    fleet.wait_for_state(0, 0x901, "completed").await;
    assert_eq!(fleet.count_events("TERM_BEGUN"), 1);
}

/// Guards against a write that waits for its timeout of 0.5 s, which would be logged:
/// it is sent again once the store answers a later call.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_costs_less_than_a_timeout() {
    let fleet = Fleet::start(1, 2, false).await;
    let store = &fleet.platform.store;
    let rounds = 6;
    for round in 0..rounds {
        store.change_faults(|faults| faults.lost_next = 1);
        fleet.submit_until_taken(0, 0xd00 + round, 1, "20").await;
    }
    // On a busy machine some timeouts may expire nevertheless.
    let timeouts = fleet.count_events("STORE_LOST");
    assert!(timeouts * 2 < rounds as usize, "{timeouts} of {rounds}");
    fleet.assert_no_violations();
}

/// Guards against a leader that is cut off from the store and keeps trying a path that
/// cannot succeed: it must write through a peer that reaches the store.
#[tokio::test(flavor = "multi_thread")]
async fn a_leader_without_the_store_writes_through_a_peer() {
    let fleet = Fleet::start(5, 2, false).await;
    let leader = fleet.leader().await;
    fleet.wait_for_all_heartbeats(leader).await;
    let cut = [leader, (leader + 1) % 5];
    for instance in cut {
        fleet.store_proxies[instance].set_blocked(true);
    }
    // The first call detects the cut; watches that began before it are still answered.
    fleet
        .submit_until_taken((leader + 2) % 5, 0xf00, 1, "20")
        .await;
    tokio::time::sleep(2 * NEW_LEASE).await;
    let shut_out =
        || cut.map(|instance| fleet.store_proxies[instance].transactions_while_blocked());
    let before = shut_out();
    let taken = fleet.platform.store.transactions();
    for job in 1..=30 {
        fleet
            .submit_until_taken((leader + 2) % 5, 0xf00 + job, 1, "20")
            .await;
    }
    assert!(fleet.platform.store.transactions() >= taken + 30);
    assert_eq!(shut_out(), before, "attempts on a path that is cut off");
    assert!(fleet.is_leader(leader).await);
    fleet.assert_no_violations();
}

/// Guards against a write that counts as executed because the one before it in its
/// chain was, although the store had refused that one: the ends in it would be
/// acknowledged and lost, and their tasks started again by the next leader.
#[tokio::test(flavor = "multi_thread")]
async fn a_write_is_not_taken_for_an_earlier_one_that_was_refused() {
    let mut fleet = Fleet::start(1, 2, false).await;
    let (first, second) = (0xb00, 0xb01);
    fleet.submit_until_taken(0, first, 1, "1000").await;
    fleet.submit_until_taken(0, second, 1, "4000").await;
    tokio::time::sleep(NEW_LEASE / 5).await;
    let set_refused = |refused| {
        let store = &fleet.platform.store;
        store.change_faults(|faults| faults.refused_after_execution = refused);
    };
    set_refused(true);
    fleet.wait_for_event_of("JOB_ENDED", first).await;
    fleet.wait_for_event_of("JOB_ENDED", second).await;
    // The write that is under way then contains the second end.
    let failed = || fleet.count_events("RECORDS_NOT_WRITTEN");
    let before = failed();
    fleet
        .wait("two failed writes", || failed() >= before + 2)
        .await;
    set_refused(false);
    let is_over = || fleet.count_events("CALL_ACKNOWLEDGES") + fleet.count_events("TERM_ENDED") > 0;
    fleet
        .wait("an acknowledgement or another term", is_over)
        .await;
    tokio::time::sleep(NEW_LEASE).await;
    fleet.kill(0);
    fleet.launch(0);
    fleet.wait_for_state(0, second, "completed").await;
    fleet.assert_no_violations();
}

/// Guards against a leader that stops writing because its lease ended while the write
/// of the leader's key was not answered.
#[tokio::test(flavor = "multi_thread")]
async fn a_leader_recovers_from_an_unanswered_write_whose_lease_ended() {
    let fleet = Fleet::start(1, 2, false).await;
    // No other writes are pending.
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
        .wait("the leader's key", || fleet.has_leader_key())
        .await;
    fleet.assert_no_violations();
}
