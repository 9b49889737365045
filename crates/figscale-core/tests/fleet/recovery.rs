//! Recovery of a new leader from the records and workers of the last one.

use figscale_core::fleet::RecordKey;
use figscale_core::fleet::Scheduler;
use figscale_types::fleet;
use figscale_types::fleet::End;
use figscale_types::fleet::JobState;

use crate::helpers;
use crate::helpers::TestCluster;

#[test]
fn running_tasks_go_on_under_the_next_leader() {
    let mut cluster = TestCluster::new(3);
    cluster.run(1, &helpers::queue(1), vec![helpers::step(4, 1)]);
    cluster.take_over(2);
    cluster.settle();
    cluster.advance(500);
    assert_eq!(cluster.starts(), 4);
    for index in 0..4 {
        cluster.end(helpers::task(1, 0, index), End::Done);
    }
    assert_eq!(cluster.state(1), Some(JobState::Completed));
}

#[test]
fn a_done_task_never_starts_again() {
    let mut cluster = TestCluster::new(1);
    cluster.run(1, &helpers::queue(1), vec![helpers::step(2, 1)]);
    cluster.end(helpers::task(1, 0, 0), End::Done);
    cluster.take_over(2);
    cluster.advance(6_000);
    assert_eq!(cluster.starts(), 2);
    cluster.end(helpers::task(1, 0, 1), End::Done);
    assert_eq!(cluster.state(1), Some(JobState::Completed));
}

/// Makes the worker of a task, which was started once, unresponsive to the next
/// leader; the task must wait until its lease is over.
fn assert_waits_for_every_lease(cluster: &mut TestCluster, task: fleet::TaskId) {
    let (host_worker, _) = cluster.placed(task)[0].clone();
    cluster.workers.get_mut(&host_worker).unwrap().reachable = false;
    cluster.take_over(2);
    cluster.advance(4_000);
    assert_eq!(
        cluster.starts(),
        1,
        "started while its first run may still be running"
    );
    cluster.advance(1_500);
    assert_eq!(cluster.starts(), 2);
}

/// The worker that runs the task does not respond to the new leader.
#[test]
fn a_task_that_is_not_found_waits_for_every_lease() {
    let mut cluster = TestCluster::new(3);
    cluster.run(1, &helpers::queue(1), vec![helpers::step(1, 1)]);
    assert_waits_for_every_lease(&mut cluster, helpers::task(1, 0, 0));
}

#[test]
fn new_jobs_do_not_wait_for_unresponsive_workers() {
    let mut cluster = TestCluster::new(3);
    cluster.run(1, &helpers::queue(1), vec![helpers::step(1, 1)]);
    cluster.worker(0).reachable = false;
    cluster.take_over(2);
    cluster.settle();
    cluster.run(2, &helpers::queue(1), vec![helpers::step(1, 1)]);
    assert_eq!(cluster.placed(helpers::task(2, 0, 0)).len(), 1);
}

#[test]
fn a_new_leader_uses_higher_attempts() {
    let mut cluster = TestCluster::new(1);
    cluster.run(1, &helpers::queue(1), vec![helpers::step(1, 1)]);
    cluster.take_over(2);
    cluster.settle();
    cluster.end(helpers::task(1, 0, 0), End::Stopped);
    assert_eq!(cluster.attempts_at(0), [1, 1_001]);
}

#[test]
fn a_partly_running_gang_restarts_together() {
    let mut cluster = TestCluster::with_cores(2, 10);
    cluster.run(1, &helpers::queue(1), vec![helpers::gang(2, 8)]);
    let lost = cluster.placed(helpers::task(1, 0, 1))[0].clone();
    cluster.workers[&lost.0].running.clear();
    cluster.take_over(2);
    cluster.advance(1_000);
    let attempts: Vec<u32> = (0..2)
        .map(|index| cluster.placed(helpers::task(1, 0, index))[0].1)
        .collect();
    assert_eq!(attempts, [1_001, 1_001]);
}

/// Runs of an unknown job are stopped, and occupy the whole worker until they
/// have ended.
#[test]
fn runs_of_unknown_jobs_are_stopped() {
    let mut cluster = TestCluster::new(1);
    cluster.run(1, &helpers::queue(1), vec![helpers::step(1, 1)]);
    cluster
        .store
        .shift_remove(&figscale_core::fleet::RecordKey::Job(helpers::job_id(1)));
    cluster
        .store
        .shift_remove(&figscale_core::fleet::RecordKey::Progress(helpers::job_id(
            1,
        )));
    cluster.take_over(2);
    cluster.settle();
    assert_eq!(cluster.stops.len(), 1);
    assert!(cluster.placed(helpers::task(1, 0, 0)).is_empty());
}

/// A worker that left under the last leader would never respond to the next.
#[test]
fn a_worker_that_left_is_not_waited_for() {
    let mut cluster = TestCluster::new(3);
    cluster.run(1, &helpers::queue(1), vec![helpers::step(2, 1)]);
    let idle = (0..3)
        .find(|number| cluster.worker(*number).running.is_empty())
        .unwrap();
    let left = helpers::worker_id(idle);
    cluster.worker(idle).reachable = false;
    cluster.scheduler.worker_unlisted(&left, cluster.now);
    cluster.workers.swap_remove(&left);
    cluster.settle();
    let (host_worker, attempt) = cluster.placed(helpers::task(1, 0, 0))[0].clone();
    cluster.workers[&host_worker]
        .running
        .swap_remove(&(helpers::task(1, 0, 0), attempt));
    cluster.take_over(2);
    cluster.advance(500);
    assert_eq!(
        cluster.placed(helpers::task(1, 0, 0)).len(),
        1,
        "waits for the lease of a worker that has left"
    );
}

/// The worker is unlisted for a while, and the record of its last end is still
/// to be written. The next leader would take it for gone, start the task again,
/// and receive the end afterwards.
#[test]
fn a_worker_stays_recorded_until_its_ends_are_written() {
    let mut cluster = TestCluster::new(2);
    cluster.run(1, &helpers::queue(1), vec![helpers::step(1, 1)]);
    let task = helpers::task(1, 0, 0);
    let (host_worker, attempt) = cluster.placed(task)[0].clone();
    cluster.workers[&host_worker].end(task, attempt, End::Done);
    cluster.report(&host_worker);
    let outcome = cluster.scheduler.take_records(helpers::MAX_RECORDS);
    assert_eq!(outcome.records.len(), 1);
    cluster.scheduler.worker_unlisted(&host_worker, cluster.now);
    cluster.scheduler.tick(cluster.now, cluster.wall_ms);
    cluster.write();
    let recorded = Scheduler::recorded_workers(&cluster.store[&RecordKey::Workers]).unwrap();
    assert!(recorded.contains(&host_worker), "{recorded:?}");
    cluster.apply_records(&outcome.records);
    cluster.scheduler.records_written(&outcome, 1);
    cluster.scheduler.tick(cluster.now, cluster.wall_ms);
    cluster.write();
    let recorded = Scheduler::recorded_workers(&cluster.store[&RecordKey::Workers]).unwrap();
    assert!(!recorded.contains(&host_worker), "{recorded:?}");
}

fn occurrence(occurrence: u32) -> fleet::TaskId {
    fleet::TaskId {
        occurrence,
        ..helpers::task(1, 0, 0)
    }
}

/// A test cluster whose leader has started an occurrence that is in no record.
fn cluster_with_an_unrecorded_occurrence() -> TestCluster {
    let mut cluster = TestCluster::new(3);
    let repeated = fleet::JobDescription {
        occurrences: 2,
        first_due_ms: cluster.wall_ms + 500,
        interval_ms: 60_000,
        ..helpers::job(vec![helpers::step(1, 1)])
    };
    cluster.submit(1, &helpers::queue(1), repeated);
    cluster.settle();
    cluster.now += helpers::ms(600);
    cluster.wall_ms += 600;
    cluster.scheduler.tick(cluster.now, cluster.wall_ms);
    cluster.scheduler.plan(cluster.now);
    cluster.execute_actions();
    assert_eq!(cluster.starts(), 1);
    assert!(
        !cluster
            .store
            .contains_key(&RecordKey::Progress(helpers::job_id(1)))
    );
    cluster
}

#[test]
fn an_unrecorded_occurrence_waits_for_every_lease() {
    let mut cluster = cluster_with_an_unrecorded_occurrence();
    assert_waits_for_every_lease(&mut cluster, occurrence(0));
}

/// By the next leader's wall clock the occurrence is not due yet.
#[test]
fn an_occurrence_started_early_is_not_started_again() {
    let mut cluster = cluster_with_an_unrecorded_occurrence();
    let (host_worker, attempt) = cluster.placed(occurrence(0))[0].clone();
    cluster.workers[&host_worker].end(occurrence(0), attempt, End::Done);
    cluster.take_over(2);
    cluster.wall_ms -= 2_000;
    cluster.advance(6_000);
    assert_eq!(
        cluster.starts(),
        1,
        "a completed occurrence is started again"
    );
}
