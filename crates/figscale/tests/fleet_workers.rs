//! Orders to workers that are lost, late or unanswered, by real entry instances
//! as processes.
//!
//! The platform is a stand-in in the test's process. What must hold is judged
//! by what the workers saw and by what callers were told.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod fleet_support;

use std::time;

use fleet_support::Fleet;

/// Starts are left unanswered and carried out when they are long given up.
#[tokio::test(flavor = "multi_thread")]
async fn orders_carried_out_late_run_nothing_twice() {
    let fleet = Fleet::start(1, 4, false).await;
    for worker in &fleet.platform.workers {
        worker.change_faults(|faults| {
            faults.late_part = 0.3;
            faults.late_by = time::Duration::from_millis(2_500);
        });
    }
    for number in 0..10 {
        fleet.submit_until_taken(0, 0x300 + number, 2, "100").await;
    }
    for number in 0..10 {
        fleet.wait_for_state(0, 0x300 + number, "completed").await;
    }
    tokio::time::sleep(time::Duration::from_secs(3)).await;
    fleet.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn tasks_of_a_silent_worker_start_elsewhere() {
    let fleet = Fleet::start(1, 2, false).await;
    fleet.silence_the_worker_of(0x401, "3000").await;
    fleet.wait_for_state(0, 0x401, "completed").await;
    assert!(fleet.platform.ledger.runs().len() >= 2);
    fleet.check();
}

/// A start without an answer is ordered again as it was, before its own time is
/// over, which would be told of; carried out late, the first one is refused.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_start_is_ordered_again() {
    let fleet = Fleet::start(1, 1, false).await;
    let late_by = time::Duration::from_secs(1);
    let rounds = 4;
    for round in 0..rounds {
        fleet.platform.workers[0].change_faults(|faults| {
            faults.late_next = 1;
            faults.late_by = late_by;
        });
        fleet.submit_until_taken(0, 0x9300 + round, 1, "20").await;
        fleet.wait_for_state(0, 0x9300 + round, "completed").await;
    }
    tokio::time::sleep(2 * late_by).await;
    fleet.check();
    let runs = fleet.platform.ledger.runs();
    assert_eq!(runs.len(), rounds as usize, "{runs:#?}");
    // A busy machine may let a time limit pass all the same.
    let unanswered = fleet.count_events("START_UNANSWERED");
    assert!(unanswered * 2 < rounds as usize, "{unanswered}");
}

/// A call for a report that is lost hides a worker's ends for little more than
/// its wait of 1 s: it is sent again then, and not when its time is over, which
/// would be told of.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_report_is_asked_for_again() {
    let fleet = Fleet::start(1, 1, false).await;
    let rounds = 4;
    for round in 0..rounds {
        // The end of the first job brings the call that is lost.
        fleet.platform.workers[0].change_faults(|faults| faults.lost_reports = 1);
        fleet.submit_until_taken(0, 0x9100 + round, 1, "20").await;
        fleet.wait_for_state(0, 0x9100 + round, "completed").await;
        tokio::time::sleep(time::Duration::from_millis(100)).await;
        fleet.submit_until_taken(0, 0x9200 + round, 1, "20").await;
        fleet.wait_for_state(0, 0x9200 + round, "completed").await;
    }
    let runs = fleet.platform.ledger.runs();
    assert_eq!(runs.len(), 2 * rounds as usize, "{runs:#?}");
    // A busy machine may let a time limit pass all the same.
    let silent = fleet.count_events("WORKER_SILENT");
    assert!(silent * 2 < rounds as usize, "{silent}");
    fleet.check();
}
