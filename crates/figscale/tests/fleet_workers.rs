//! Orders to workers that are lost, late or not answered, with real entry instances as
//! processes.
//!
//! The platform is a stand-in in the test's process. The tests check what the
//! workers saw and what callers were answered.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod fleet_support;

use std::time;

use fleet_support::Fleet;

/// Guards against tasks that run twice because a worker executes an unanswered start
/// long after it was abandoned.
#[tokio::test(flavor = "multi_thread")]
async fn orders_executed_late_run_nothing_twice() {
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
    fleet.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn tasks_of_an_unresponsive_worker_start_elsewhere() {
    let fleet = Fleet::start(1, 2, false).await;
    fleet
        .submit_and_make_worker_unresponsive(0x401, "3000")
        .await;
    fleet.wait_for_state(0, 0x401, "completed").await;
    assert!(fleet.platform.ledger.runs().len() >= 2);
    fleet.assert_no_violations();
}

/// Guards against a lost start that is repeated only after its timeout, which would be
/// logged: it is ordered again unchanged before that. If the first order is executed
/// late, it is refused.
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
    fleet.assert_no_violations();
    let runs = fleet.platform.ledger.runs();
    assert_eq!(runs.len(), rounds as usize, "{runs:#?}");
    // On a busy machine some timeouts may expire nevertheless.
    let unanswered = fleet.count_events("START_UNANSWERED");
    assert!(unanswered * 2 < rounds as usize, "{unanswered}");
}

/// Guards against a lost call for a report that is repeated only after its timeout,
/// which would be logged: ended tasks of the worker must be seen little later than
/// the call's wait of 1 s.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_report_is_requested_again() {
    let fleet = Fleet::start(1, 1, false).await;
    let rounds = 4;
    for round in 0..rounds {
        // The call after the end of the first job is the one that is lost.
        fleet.platform.workers[0].change_faults(|faults| faults.lost_reports = 1);
        fleet.submit_until_taken(0, 0x9100 + round, 1, "20").await;
        fleet.wait_for_state(0, 0x9100 + round, "completed").await;
        tokio::time::sleep(time::Duration::from_millis(100)).await;
        fleet.submit_until_taken(0, 0x9200 + round, 1, "20").await;
        fleet.wait_for_state(0, 0x9200 + round, "completed").await;
    }
    let runs = fleet.platform.ledger.runs();
    assert_eq!(runs.len(), 2 * rounds as usize, "{runs:#?}");
    // On a busy machine some timeouts may expire nevertheless.
    let silent = fleet.count_events("WORKER_SILENT");
    assert!(silent * 2 < rounds as usize, "{silent}");
    fleet.assert_no_violations();
}
