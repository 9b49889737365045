//! Leaders that go on after a pause in which another instance was elected.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod fleet_support;

use std::time;

use fleet_support::Fleet;

/// Jobs, and connections on which a caller asks about each.
const JOBS: [u64; 3] = [0x71, 0x72, 0x73];
const QUERIES: usize = 4;
/// Time for the queries to reach the sockets of a paused process.
const ARRIVAL: time::Duration = time::Duration::from_millis(300);

/// Guards against a leader that answers from its memory after a pause: its successor
/// has told callers that the jobs are completed, and it would tell them as running.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_leader_does_not_contradict_its_successor() {
    let mut fleet = Fleet::start(3, 2, false).await;
    for job in JOBS {
        fleet.submit_until_taken(0, job, 1, "500").await;
        fleet.wait_for_state(0, job, "running").await;
    }
    let paused = fleet.leader().await;
    fleet.signal(paused, "STOP");
    let other = (paused + 1) % 3;
    for job in JOBS {
        fleet.wait_for_state(other, job, "completed").await;
    }
    let caller = fleet.caller();
    let queries = JOBS.iter().flat_map(|job| [*job; QUERIES]).map(|job| {
        let caller = caller.clone();
        tokio::spawn(async move { caller.state(paused, job).await })
    });
    let queries: Vec<_> = queries.collect();
    tokio::time::sleep(ARRIVAL).await;
    fleet.signal(paused, "CONT");
    for query in queries {
        assert_eq!(query.await.unwrap().as_deref(), Some("completed"));
    }
    fleet.assert_no_violations();
}
