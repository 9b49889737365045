//! Submissions while the store is away: refused at once, and truly not run.
//!
//! A refusal says that the job was not taken and never runs, so none may be
//! given beside a call of the same job that is on its way to the store, and no
//! refused job may run unless it is submitted again.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod fleet_support;

use std::time;

use fleet_support::Fleet;
use fleet_support::stopwatch::Stopwatch;

/// Nothing waits for the store's return: a refusal takes two messages.
const AT_ONCE: time::Duration = time::Duration::from_millis(200);
/// A store without an answer counts as away after 0.4 s.
const UNTIL_AWAY: time::Duration = time::Duration::from_millis(600);
/// Writes begin each 20 ms, so some jobs are in none when the first one fails.
const BETWEEN_JOBS: time::Duration = time::Duration::from_millis(4);

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

/// Submits a job that has to be refused at once, with the time to come back.
async fn refused_at_once(fleet: &Fleet, instance: usize, job: u64) {
    let begun = Stopwatch::start();
    let answer = fleet.submit_answer(instance, job, 1, "50").await;
    let took = begun.elapsed();
    assert_eq!(answer.status, 503, "job {job:x}");
    assert_eq!(answer.header("retry-after"), "1", "job {job:x}");
    assert!(took < AT_ONCE, "job {job:x} was refused after {took:?}");
    assert!(answer.text().contains("never runs"), "{}", answer.text());
}

/// Makes the leader find out that the store refuses everything.
async fn find_the_store_away(fleet: &Fleet) {
    fleet
        .platform
        .store
        .change_faults(|faults| faults.busy = true);
    fleet.submit_until(0, 0x1_0000, 503).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_is_refused_at_once_and_taken_when_it_comes_again() {
    let fleet = Fleet::start(2, 2, false).await;
    find_the_store_away(&fleet).await;
    let jobs = 0x110..0x120;
    for job in jobs.clone() {
        refused_at_once(&fleet, job as usize % 2, job).await;
    }
    fleet
        .platform
        .store
        .change_faults(|faults| faults.busy = false);
    // Half of them come again.
    for job in jobs.clone().filter(|job| job % 2 == 0) {
        assert!(!ran(&fleet, job), "job {job:x} ran before it came again");
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
    fleet.check();
}

/// Several calls of each job share the write that fails, or come while it is on
/// its way: all of them are refused, and none is taken in later.
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
    fleet.check();
}

/// Jobs keep coming when the store goes, and it returns at the first refusal:
/// some jobs are in a write that fails then, some in one that is tried again,
/// some in none yet. Each call was told the truth.
#[tokio::test(flavor = "multi_thread")]
async fn refusals_are_true_when_the_store_returns_at_once() {
    let fleet = Fleet::start(2, 4, false).await;
    let store = &fleet.platform.store;
    let set_busy = |busy| store.change_faults(|faults| faults.busy = busy);
    let mut refused = Vec::new();
    for round in 0..4 {
        set_busy(true);
        let calls = (0..80).map(|number| {
            let (fleet, job) = (&fleet, 0x2000 + 0x100 * round + number);
            async move {
                tokio::time::sleep(BETWEEN_JOBS * number as u32).await;
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
    // Whatever was left to write is written by now.
    fleet.submit_until_taken(0, 0x3000, 1, "20").await;
    fleet.wait_for_state(1, 0x3000, "completed").await;
    for job in refused {
        let asked = fleet.get(0, &format!("/jobs/{job:016x}")).await;
        assert_eq!(asked.status, 410, "job {job:x} was refused");
        assert!(!ran(&fleet, job), "job {job:x} was refused");
    }
    fleet.check();
}

/// The write of a job's first call is without an answer and may have been
/// executed, so no later call of that job hears that it never runs; others do.
#[tokio::test(flavor = "multi_thread")]
async fn no_call_is_refused_beside_one_on_its_way_to_the_store() {
    let fleet = Fleet::start(2, 2, false).await;
    let store = &fleet.platform.store;
    // Writes are not answered, reads are.
    store.change_faults(|faults| faults.lost_part = 1.0);
    let (on_its_way, again, other) = (0x150, 2 * UNTIL_AWAY, 0x151);
    let first = fleet.submit_within(0, on_its_way, 2 * UNTIL_AWAY);
    let others = async {
        tokio::time::sleep(UNTIL_AWAY).await;
        refused_at_once(&fleet, 1, other).await;
        let instances = [0, 1].map(|instance| fleet.submit_within(instance, on_its_way, again));
        futures_util::future::join_all(instances).await
    };
    let (first, others) = tokio::join!(first, others);
    assert_eq!(first, 504, "nobody knows");
    assert_eq!(others, [504, 504], "nobody knows");
    refused_at_once(&fleet, 0, other).await;
    store.change_faults(|faults| faults.lost_part = 0.0);
    fleet.wait_for_state(1, on_its_way, "completed").await;
    assert!(!ran(&fleet, other), "it was refused");
    assert_eq!(fleet.submit(1, on_its_way, 1, "50").await, 200);
    fleet.submit_until_taken(0, other, 1, "50").await;
    fleet.wait_for_state(1, other, "completed").await;
    assert_eq!(runs_of(&fleet, on_its_way), 1);
    assert_eq!(runs_of(&fleet, other), 1);
    fleet.check();
}

/// Whoever cancels a refused job is told that there is none, and it never runs.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_job_that_is_cancelled_never_runs() {
    let fleet = Fleet::start(2, 2, false).await;
    let store = &fleet.platform.store;
    store.change_faults(|faults| faults.lost_part = 1.0);
    let cancelled = async {
        tokio::time::sleep(UNTIL_AWAY).await;
        refused_at_once(&fleet, 1, 0x161).await;
        let status = fleet.cancel(0, 0x161).await;
        store.change_faults(|faults| faults.lost_part = 0.0);
        status
    };
    let (_, cancelled) = tokio::join!(fleet.submit(0, 0x160, 1, "50"), cancelled);
    assert_eq!(cancelled, 410);
    fleet.submit_until_taken(0, 0x162, 1, "50").await;
    fleet.wait_for_state(1, 0x162, "completed").await;
    assert!(!ran(&fleet, 0x161), "it was refused and cancelled");
    fleet.check();
}
