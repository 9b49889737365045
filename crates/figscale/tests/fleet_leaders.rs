//! Who leads, and how leadership moves, by real entry instances as processes.
//!
//! The platform is a stand-in in the test's process. What must hold is judged
//! by what the workers saw and by what callers were told.
//! Bounds on time are on time that the machine gave these processes.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod fleet_support;

use std::sync;
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

/// Nobody waits for the lease of a leader whose address another process has,
/// nor for the time that a winner has to begin.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_leader_is_known_to_be_another_life() {
    let mut fleet = Fleet::start(3, 2, false).await;
    // From here on no term can begin because a lease has ended.
    fleet
        .platform
        .store
        .change_faults(|faults| faults.leases_stand = true);
    for instance in 0..3 {
        fleet.kill(instance);
    }
    for instance in 0..3 {
        fleet.launch(instance);
    }
    fleet
        .wait("a second term", || fleet.count_events("TERM_BEGUN") >= 2)
        .await;
    assert_eq!(causes_of_the_first_end(&fleet), ["its process is gone"]);
}

/// A leader without power refuses nothing; its peers agree that it is lost
/// before its lease ends.
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_leader_is_replaced_before_its_lease_ends() {
    let mut fleet = Fleet::start(4, 2, false).await;
    let leader = fleet.leader().await;
    fleet.wait_until_all_greet(leader).await;
    // From here on no term can begin because a lease has ended. How soon peers
    // agree is a matter of `figscale_core::fleet`, with a test there.
    fleet
        .platform
        .store
        .change_faults(|faults| faults.leases_stand = true);
    fleet.signal(leader, "STOP");
    fleet
        .wait("a second term", || fleet.count_events("TERM_BEGUN") >= 2)
        .await;
    let causes = causes_of_the_first_end(&fleet);
    fleet.signal(leader, "CONT");
    assert_eq!(causes, ["most peers miss it"]);
}

/// Why instances have held the first term for over, each cause once.
fn causes_of_the_first_end(fleet: &Fleet) -> Vec<String> {
    let mut ends = fleet.log_lines();
    ends.retain(|line| line["name"] == "LEADER_ENDED" && line["epoch"] == "1");
    let causes = ends.iter().map(|line| line["cause"].as_str().unwrap());
    let mut causes: Vec<String> = causes.map(str::to_owned).collect();
    causes.sort_unstable();
    causes.dedup();
    causes
}

/// The records are read while the election is decided: their first page is
/// asked for beside the lease, and the last one beside the transaction.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_store_is_read_while_it_elects() {
    let mut fleet = Fleet::start(3, 2, false).await;
    for job in 0..10 {
        fleet.submit_until_taken(0, 0xc00 + job, 1, "20").await;
    }
    for job in 0..10 {
        fleet.wait_for_state(0, 0xc00 + job, "completed").await;
    }
    let leader = fleet.leader().await;
    fleet.wait_until_all_greet(leader).await;
    // Nothing is left to write, so a held transaction is one of an election.
    tokio::time::sleep(NEW_LEASE).await;
    let store = fleet.platform.store.clone();
    let pages = || store.pages_asked("figscale/jobs/");
    let before = pages();
    store.change_faults(|faults| {
        faults.grants_held = true;
        faults.transactions_held = true;
    });
    fleet.signal(leader, "TERM");
    fleet
        .wait("a page of records, beside the lease", || pages() > before)
        .await;
    store.change_faults(|faults| faults.grants_held = false);
    fleet
        .wait("two pages, beside the election", || pages() > before + 1)
        .await;
    assert_eq!(fleet.count_events("TERM_BEGUN"), 1);
    store.change_faults(|faults| faults.transactions_held = false);
    fleet
        .wait("a second term", || fleet.count_events("TERM_BEGUN") >= 2)
        .await;
}

/// A lease lasts 1.5 s, and beside a slow store eight pages of records take 2 s.
/// A winner that let its lease end meanwhile was deposed as it began, and so
/// was the next one: nobody led for 30 s.
#[tokio::test(flavor = "multi_thread")]
async fn a_winner_renews_its_lease_while_it_reads() {
    let mut fleet = Fleet::start(2, 2, false).await;
    kill_the_leader_beside_records(&mut fleet, 40).await;
    let store = fleet.platform.store.clone();
    let before = store.renewals();
    let begun = || fleet.count_events("TERM_BEGUN") >= 2;
    fleet.wait("a second term", begun).await;
    assert!(store.renewals() > before, "none before the term began");
}

/// Sixteen pages take 4 s, and peers hold a winner for over that says for 2.5 s
/// that it does not lead. The next one reads no faster, so terms follow each
/// other and none lasts.
#[tokio::test(flavor = "multi_thread")]
async fn a_winner_that_reads_long_is_not_deposed() {
    let mut fleet = Fleet::start(3, 2, false).await;
    kill_the_leader_beside_records(&mut fleet, 80).await;
    let begun = || fleet.count_events("TERM_BEGUN") >= 2;
    fleet.wait("a second term", begun).await;
    let mut won = fleet.log_lines();
    won.retain(|line| line["name"] == "ELECTION_ENDED" && line["won"] == "true");
    assert_eq!(won.len(), 2, "{won:#?}");
}

/// Leaves the records of so many jobs behind a slow store, and no leader.
async fn kill_the_leader_beside_records(fleet: &mut Fleet, jobs: u64) {
    let taken = (0..jobs).map(|job| fleet.submit_until_taken(0, 0xc00 + job, 1, "20"));
    futures_util::future::join_all(taken).await;
    for job in 0..jobs {
        fleet.wait_for_state(0, 0xc00 + job, "completed").await;
    }
    let leader = fleet.leader().await;
    fleet.wait_until_all_greet(leader).await;
    let slow = time::Duration::from_millis(250);
    let store = &fleet.platform.store;
    store.change_faults(|faults| faults.slow = slow);
    fleet.kill(leader);
}

/// A caller's request that waits for a leader that was lost goes to the next
/// one as soon as there is one: those that come then do not overtake it.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_does_not_wait_for_a_leader_that_was_lost() {
    let mut fleet = Fleet::start(4, 2, false).await;
    let leader = fleet.leader().await;
    fleet.wait_until_all_greet(leader).await;
    fleet.signal(leader, "STOP");
    let other = (leader + 1) % 4;
    let answered = sync::Mutex::new(Vec::new());
    let submit = async |job: u64| {
        let status = fleet.submit_within(other, job, LONG).await;
        assert_eq!(status, 200, "{job:x}");
        answered.lock().unwrap().push(job);
    };
    let earlier: Vec<u64> = (0xb00..0xb06).collect();
    let waiting = earlier.iter().map(async |job| {
        // One after the other, so that some have waited for a short time only.
        tokio::time::sleep(BETWEEN_CALLS * (*job - 0xb00) as u32).await;
        submit(*job).await;
    });
    let later = async {
        let known = || {
            let mut lines = fleet.log_of(other);
            lines.retain(|line| line["name"] == "LEADER_KNOWN" && line["epoch"] == "2");
            !lines.is_empty()
        };
        fleet.wait("a new leader", known).await;
        for job in 0..OVERTAKING {
            submit(0xc00 + job).await;
        }
    };
    tokio::join!(futures_util::future::join_all(waiting), later);
    fleet.signal(leader, "CONT");
    let answered = answered.into_inner().unwrap();
    let last = answered
        .iter()
        .position(|job| *job == 0xc00 + OVERTAKING - 1);
    let overtaken = earlier
        .iter()
        .filter(|job| answered.iter().position(|other| other == *job) > last);
    assert_eq!(overtaken.count(), 0, "{answered:x?}");
    fleet.check();
}

/// For a caller who does not give up, on a machine that may be busy.
const LONG: time::Duration = time::Duration::from_secs(30);
/// Six of these are 0.5 s, which a leader without power needs to be missed.
const BETWEEN_CALLS: time::Duration = time::Duration::from_millis(90);
/// So many calls in a row are not all answered before one that came first. A
/// call that waits on for the old leader is answered up to 0.9 s after it came.
const OVERTAKING: u64 = 6;

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

/// While callers keep coming there is always something being written. The
/// others hear of the end from the leader, and not from its process, which ends
/// some seconds later.
#[tokio::test(flavor = "multi_thread")]
async fn a_leader_under_load_hands_over_at_once() {
    let mut fleet = Fleet::start(2, 4, false).await;
    let leader = fleet.leader().await;
    let other = 1 - leader;
    fleet.wait_until_all_greet(leader).await;
    fleet
        .platform
        .store
        .change_faults(|faults| faults.leases_stand = true);
    fleet.signal(leader, "TERM");
    let begun = time::Instant::now();
    let mut number = 0;
    while !fleet.leads(other).await {
        number += 1;
        let job = 0x1000 + number;
        let _ = tokio::join!(
            fleet.submit(other, job, 1, "20"),
            fleet.submit(other, 0x2000 + number, 1, "20"),
        );
        assert!(begun.elapsed() < LONG, "no hand-over");
    }
    assert_eq!(causes_of_the_first_end(&fleet), ["it said so"]);
    assert_eq!(fleet.exit_code(leader), Some(0));
    fleet.check();
}
