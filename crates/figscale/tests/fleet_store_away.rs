//! Submissions while the store is unavailable: refused at once, and never run.
//!
//! A refusal says that the job was not accepted and never runs. So none may be given
//! while another call of the same job is in flight to the store, and no refused job
//! may run unless it is submitted again.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod fleet_support;

use std::time;

use fleet_support::Fleet;
use fleet_support::stopwatch::Stopwatch;
use rstest::rstest;

/// A refusal takes two messages and does not wait for the store to recover.
const MAX_REFUSAL_TIME: time::Duration = time::Duration::from_millis(200);
/// A store that does not answer counts as unavailable after 0.4 s.
const TIME_TO_UNAVAILABLE: time::Duration = time::Duration::from_millis(600);
/// A write begins every 20 ms, so some jobs are in none when the first one fails.
const SUBMIT_INTERVAL: time::Duration = time::Duration::from_millis(4);

/// Longer than a worker's lease, for which the store proves that its leader leads.
const LONG_OUTAGE: time::Duration = time::Duration::from_secs(9);
/// Time for instances to exchange heartbeats before an outage.
const SETTLE: time::Duration = time::Duration::from_secs(1);

/// Whether a job was ever started.
fn ran(fleet: &Fleet, job: u64) -> bool {
    runs_of(fleet, job) > 0
}

/// Runs of a job's tasks.
fn runs_of(fleet: &Fleet, job: u64) -> usize {
    let id = format!("{job:016x}");
    let runs = fleet.platform.ledger.runs();
    runs.iter().filter(|run| run.task.starts_with(&id)).count()
}

/// Submits a job that has to be refused at once, with the time to retry.
async fn assert_refused_at_once(fleet: &Fleet, instance: usize, job: u64) {
    let begun = Stopwatch::start();
    let answer = fleet.submit_answer(instance, job, 1, "50").await;
    let took = begun.elapsed();
    assert_eq!(answer.status, 503, "job {job:x}");
    assert_eq!(answer.header("retry-after"), "1", "job {job:x}");
    assert!(
        took < MAX_REFUSAL_TIME,
        "job {job:x} was refused after {took:?}"
    );
    assert!(answer.text().contains("never runs"), "{}", answer.text());
}

/// Makes the store refuse everything, and waits until the leader has detected it.
async fn make_store_unavailable(fleet: &Fleet) {
    fleet
        .platform
        .store
        .change_faults(|faults| faults.busy = true);
    fleet.submit_until(0, 0x1_0000, 503).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_is_refused_at_once_and_accepted_when_submitted_again() {
    let fleet = Fleet::start(2, 2, false).await;
    make_store_unavailable(&fleet).await;
    let jobs = 0x110..0x120;
    for job in jobs.clone() {
        assert_refused_at_once(&fleet, job as usize % 2, job).await;
    }
    fleet
        .platform
        .store
        .change_faults(|faults| faults.busy = false);
    // Half of them are submitted again.
    for job in jobs.clone().filter(|job| job % 2 == 0) {
        assert!(
            !ran(&fleet, job),
            "job {job:x} ran before it was submitted again"
        );
        fleet.submit_until_taken(1, job, 1, "50").await;
    }
    for job in jobs.clone().filter(|job| job % 2 == 0) {
        fleet.wait_for_state(0, job, "completed").await;
        assert_eq!(runs_of(&fleet, job), 1);
    }
    for job in jobs.filter(|job| job % 2 == 1) {
        let asked = fleet.get(0, &format!("/jobs/{job:016x}")).await;
        assert_eq!(asked.status, 410, "job {job:x} was refused");
        assert!(!ran(&fleet, job), "job {job:x} was refused");
    }
    fleet.assert_no_violations();
}

/// Guards against calls of one job with different outcomes: several share the write
/// that fails, or arrive while it is in flight. All are refused, and the job is not
/// accepted later.
#[tokio::test(flavor = "multi_thread")]
async fn calls_of_one_job_are_refused_together() {
    let fleet = Fleet::start(2, 2, false).await;
    fleet
        .platform
        .store
        .change_faults(|faults| faults.busy = true);
    let jobs = 0x130..0x138;
    let calls = jobs.clone().flat_map(|job| [(0, job), (1, job), (0, job)]);
    let calls = calls.map(|(instance, job)| fleet.submit_answer(instance, job, 1, "50"));
    for answer in futures_util::future::join_all(calls).await {
        assert_eq!(answer.status, 503);
        assert_eq!(answer.header("retry-after"), "1");
    }
    fleet
        .platform
        .store
        .change_faults(|faults| faults.busy = false);
    fleet.submit_until_taken(0, 0x140, 1, "50").await;
    fleet.wait_for_state(1, 0x140, "completed").await;
    for job in jobs {
        let asked = fleet.get(0, &format!("/jobs/{job:016x}")).await;
        assert_eq!(asked.status, 410, "job {job:x} was refused");
        assert!(!ran(&fleet, job), "job {job:x} was refused");
    }
    fleet.assert_no_violations();
}

/// Guards against refused jobs that run after all. Jobs keep arriving when the store
/// fails, and it recovers at the first refusal: some jobs are in a write that fails,
/// some in one that is retried, some in none yet.
#[tokio::test(flavor = "multi_thread")]
async fn no_refused_job_runs_when_the_store_recovers_at_once() {
    let fleet = Fleet::start(2, 4, false).await;
    let store = &fleet.platform.store;
    let set_busy = |busy| store.change_faults(|faults| faults.busy = busy);
    let mut refused = Vec::new();
    for round in 0..4 {
        set_busy(true);
        let calls = (0..80).map(|number| {
            let (fleet, job) = (&fleet, 0x2000 + 0x100 * round + number);
            async move {
                tokio::time::sleep(SUBMIT_INTERVAL * number as u32).await;
                let status = fleet.submit(number as usize % 2, job, 1, "20").await;
                if status == 503 {
                    set_busy(false);
                }
                (job, status)
            }
        });
        for (job, status) in futures_util::future::join_all(calls).await {
            match status {
                200 => fleet.wait_for_state(0, job, "completed").await,
                503 => refused.push(job),
                status => panic!("job {job:x}: {status}"),
            }
        }
    }
    assert!(!refused.is_empty());
    // All pending writes have been made once this job is completed.
    fleet.submit_until_taken(0, 0x3000, 1, "20").await;
    fleet.wait_for_state(1, 0x3000, "completed").await;
    for job in refused {
        let asked = fleet.get(0, &format!("/jobs/{job:016x}")).await;
        assert_eq!(asked.status, 410, "job {job:x} was refused");
        assert!(!ran(&fleet, job), "job {job:x} was refused");
    }
    fleet.assert_no_violations();
}

/// Guards against a refusal while an earlier call of the same job is in flight: its
/// write was not answered and may have been executed. Other jobs are refused.
#[tokio::test(flavor = "multi_thread")]
async fn no_call_is_refused_while_another_of_its_job_is_in_flight() {
    let fleet = Fleet::start(2, 2, false).await;
    let store = &fleet.platform.store;
    // Only reads are answered.
    store.change_faults(|faults| faults.lost_part = 1.0);
    let (in_flight, again, other) = (0x150, 2 * TIME_TO_UNAVAILABLE, 0x151);
    let first = fleet.submit_within(0, in_flight, 2 * TIME_TO_UNAVAILABLE);
    let others = async {
        tokio::time::sleep(TIME_TO_UNAVAILABLE).await;
        assert_refused_at_once(&fleet, 1, other).await;
        let instances = [0, 1].map(|instance| fleet.submit_within(instance, in_flight, again));
        futures_util::future::join_all(instances).await
    };
    let (first, others) = tokio::join!(first, others);
    assert_eq!(first, 504, "the outcome is unknown");
    assert_eq!(others, [504, 504], "the outcome is unknown");
    assert_refused_at_once(&fleet, 0, other).await;
    store.change_faults(|faults| faults.lost_part = 0.0);
    fleet.wait_for_state(1, in_flight, "completed").await;
    assert!(!ran(&fleet, other), "it was refused");
    assert_eq!(fleet.submit(1, in_flight, 1, "50").await, 200);
    fleet.submit_until_taken(0, other, 1, "50").await;
    fleet.wait_for_state(1, other, "completed").await;
    assert_eq!(runs_of(&fleet, in_flight), 1);
    assert_eq!(runs_of(&fleet, other), 1);
    fleet.assert_no_violations();
}

/// Guards against the cancel of a refused job that is acknowledged while the store takes
/// no writes, and so does not outlive the leader. Once it is acknowledged the job never
/// runs, even if it is submitted again.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_job_that_is_cancelled_never_runs() {
    let fleet = Fleet::start(2, 2, false).await;
    let store = &fleet.platform.store;
    store.change_faults(|faults| faults.lost_part = 1.0);
    let cancelled = async {
        tokio::time::sleep(TIME_TO_UNAVAILABLE).await;
        assert_refused_at_once(&fleet, 1, 0x161).await;
        let status = fleet.cancel(0, 0x161).await;
        store.change_faults(|faults| faults.lost_part = 0.0);
        status
    };
    let (_, cancelled) = tokio::join!(fleet.submit(0, 0x160, 1, "50"), cancelled);
    assert_eq!(cancelled, 503, "its record cannot be written");
    assert_eq!(fleet.cancel_until_answered(0, 0x161).await, 410);
    fleet.submit_until_taken(0, 0x162, 1, "50").await;
    fleet.wait_for_state(1, 0x162, "completed").await;
    assert_eq!(fleet.submit(1, 0x161, 1, "50").await, 410);
    assert!(!ran(&fleet, 0x161), "it was refused and cancelled");
    fleet.assert_no_violations();
}

/// Guards against leases that end in an outage of the store, although heartbeats prove
/// that the leader still leads: their tasks would be started a second time.
#[rstest]
#[case::that_refuses_calls(false)]
#[case::that_cannot_be_reached(true)]
#[tokio::test(flavor = "multi_thread")]
async fn tasks_go_on_in_an_outage_longer_than_their_leases(#[case] blocked: bool) {
    let fleet = Fleet::start(3, 3, false).await;
    fleet.wait_for_all_heartbeats(fleet.leader().await).await;
    let (job, tasks) = (0x170, 4);
    fleet.submit_until_taken(0, job, tasks, "12000").await;
    let started = || runs_of(&fleet, job) == tasks as usize;
    fleet.wait("all tasks to start", started).await;
    tokio::time::sleep(SETTLE).await;
    let set_away = |away| {
        let proxies = fleet.store_proxies.iter().filter(|_| blocked);
        proxies.for_each(|proxy| proxy.set_blocked(away));
        let busy = away && !blocked;
        let store = &fleet.platform.store;
        store.change_faults(|faults| faults.busy = busy);
    };
    set_away(true);
    tokio::time::sleep(LONG_OUTAGE).await;
    let runs = fleet.platform.ledger.runs();
    assert!(runs.iter().all(|run| run.end.is_none()), "{runs:#?}");
    set_away(false);
    fleet.wait_for_state(1, job, "completed").await;
    assert_eq!(runs_of(&fleet, job), tasks as usize);
    fleet.assert_no_violations();
}
