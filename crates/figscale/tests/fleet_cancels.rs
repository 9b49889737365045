//! Cancels that overtake the submission of their job.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod fleet_support;

use std::time;

use fleet_support::Fleet;
use rstest::rstest;

const JOB: u64 = 0xc1;
/// Another job, which shows that the fleet goes on.
const NEXT_JOB: u64 = 0xc2;
/// Jobs whose callers do not wait for the answer.
const LEFT_JOBS: [u64; 8] = [0xd1, 0xd2, 0xd3, 0xd4, 0xd5, 0xd6, 0xd7, 0xd8];
/// Time for a call to reach the socket of a paused process.
const ARRIVAL: time::Duration = time::Duration::from_millis(300);
/// Time in which a job that was accepted would start.
const START: time::Duration = time::Duration::from_secs(2);

/// What happens between the cancel and the late submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Between {
    Nothing,
    /// The leader is killed.
    LeaderKilled,
    /// All instances are killed and started again.
    AllRestarted,
    /// Nothing; but the store is unavailable when the cancel arrives.
    StoreAway,
}

/// Number of runs of a job.
fn runs(fleet: &Fleet, job: u64) -> usize {
    let prefix = format!("{job:016x}.");
    let runs = fleet.platform.ledger.runs();
    runs.iter()
        .filter(|run| run.task.starts_with(&prefix))
        .count()
}

/// Cancels a job until that is acknowledged.
async fn cancel_until_acknowledged(fleet: &Fleet, number: usize, job: u64) {
    let status = fleet.cancel_until_answered(number, job).await;
    assert_eq!(status, 410);
}

/// Guards against a job that runs although its client was told that it is cancelled:
/// its submission arrives after the cancel, at any instance, under any leader.
#[rstest]
#[case::nothing(Between::Nothing)]
#[case::leader_killed(Between::LeaderKilled)]
#[case::all_restarted(Between::AllRestarted)]
#[case::store_away(Between::StoreAway)]
#[tokio::test(flavor = "multi_thread")]
async fn a_submission_after_its_cancel_never_runs(#[case] between: Between) {
    let mut fleet = Fleet::start(3, 2, false).await;
    let leader = fleet.leader().await;
    let (first, second) = ((leader + 1) % 3, (leader + 2) % 3);
    if between == Between::StoreAway {
        let store = &fleet.platform.store;
        store.change_faults(|faults| faults.busy = true);
        assert_eq!(fleet.cancel(first, JOB).await, 503);
        store.change_faults(|faults| faults.busy = false);
    }
    cancel_until_acknowledged(&fleet, first, JOB).await;
    match between {
        Between::Nothing | Between::StoreAway => (),
        Between::LeaderKilled => fleet.kill(leader),
        Between::AllRestarted => {
            for number in 0..3 {
                fleet.kill(number);
            }
            for number in 0..3 {
                fleet.launch(number);
            }
            for number in 0..3 {
                fleet.wait_until_ready(number).await;
            }
        }
    }
    fleet.submit_until_taken(second, NEXT_JOB, 1, "50").await;
    assert_eq!(fleet.submit(second, JOB, 1, "50").await, 410);
    fleet.wait_for_state(second, NEXT_JOB, "completed").await;
    tokio::time::sleep(START).await;
    assert_eq!(runs(&fleet, JOB), 0);
    assert_eq!(
        fleet.get(second, &fleet_support::path_of(JOB)).await.status,
        410
    );
    assert_eq!(runs(&fleet, NEXT_JOB), 1);
}

/// Guards against a job that runs although its client was told that it is cancelled:
/// an instance was paused while its submission lay in the socket.
#[tokio::test(flavor = "multi_thread")]
async fn a_submission_in_a_paused_instance_never_runs_after_its_cancel() {
    let mut fleet = Fleet::start(3, 2, false).await;
    let leader = fleet.leader().await;
    let (paused, other) = ((leader + 1) % 3, (leader + 2) % 3);
    fleet.signal(paused, "STOP");
    let caller = fleet.caller();
    let waiting = tokio::spawn(async move { caller.submit(paused, JOB, 1, "50").await });
    tokio::time::sleep(ARRIVAL).await;
    cancel_until_acknowledged(&fleet, other, JOB).await;
    fleet.signal(paused, "CONT");
    assert_eq!(waiting.await.unwrap(), Some(410));
    tokio::time::sleep(START).await;
    assert_eq!(runs(&fleet, JOB), 0);
}

/// Guards against work that is taken from a caller that has left: its submission lay in
/// the socket of a paused instance, and it closed the connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_submission_of_a_caller_that_has_left_is_not_forwarded() {
    let mut fleet = Fleet::start(3, 2, false).await;
    let leader = fleet.leader().await;
    let (paused, other) = ((leader + 1) % 3, (leader + 2) % 3);
    fleet.signal(paused, "STOP");
    let caller = fleet.caller();
    for job in LEFT_JOBS {
        caller.submit_and_leave(paused, job, ARRIVAL / 10).await;
    }
    fleet.signal(paused, "CONT");
    fleet.submit_until_taken(paused, NEXT_JOB, 1, "50").await;
    tokio::time::sleep(START).await;
    for job in LEFT_JOBS {
        let path = fleet_support::path_of(job);
        assert_eq!(fleet.get(other, &path).await.status, 410, "job {job:x}");
    }
}
