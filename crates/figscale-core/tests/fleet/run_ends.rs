//! Ends of runs and their effect on tasks and jobs.

use figscale_types::fleet;
use figscale_types::fleet::End;
use figscale_types::fleet::JobState;
use rstest::rstest;

use crate::helpers;
use crate::helpers::TestCluster;

#[test]
fn a_step_waits_for_all_tasks_before_it() {
    let mut cluster = TestCluster::new(1);
    let second = fleet::StepDescription {
        after: vec![0],
        ..helpers::step(1, 1)
    };
    cluster.run(1, &helpers::queue(1), vec![helpers::step(2, 1), second]);
    cluster.end(helpers::task(1, 0, 0), End::Done);
    assert!(cluster.placed(helpers::task(1, 1, 0)).is_empty());
    cluster.end(helpers::task(1, 0, 1), End::Done);
    assert_eq!(cluster.placed(helpers::task(1, 1, 0)).len(), 1);
    cluster.end(helpers::task(1, 1, 0), End::Done);
    assert_eq!(cluster.state(1), Some(JobState::Completed));
}

#[test]
fn a_job_fails_after_the_maximum_attempts_of_a_task() {
    let mut cluster = TestCluster::new(2);
    cluster.run(1, &helpers::queue(1), vec![helpers::step(1, 1)]);
    cluster.end(helpers::task(1, 0, 0), End::Failed);
    assert_eq!(cluster.state(1), Some(JobState::Running));
    cluster.end(helpers::task(1, 0, 0), End::Failed);
    assert_eq!(cluster.state(1), Some(JobState::Failed));
    cluster.advance(500);
    assert_eq!(cluster.starts(), 2);
}

#[rstest]
#[case::stopped(End::Stopped)]
#[case::lease(End::LeaseExpired)]
fn stops_and_expired_leases_use_no_attempt(#[case] end: End) {
    let mut cluster = TestCluster::new(1);
    cluster.run(1, &helpers::queue(1), vec![helpers::step(1, 1)]);
    for _ in 0..5 {
        cluster.end(helpers::task(1, 0, 0), end);
    }
    assert_eq!(cluster.state(1), Some(JobState::Running));
    assert_eq!(cluster.placed(helpers::task(1, 0, 0)).len(), 1);
}

#[test]
fn a_restarted_task_gets_a_higher_attempt() {
    let mut cluster = TestCluster::new(1);
    cluster.run(1, &helpers::queue(1), vec![helpers::step(1, 1)]);
    cluster.end(helpers::task(1, 0, 0), End::Stopped);
    assert_eq!(cluster.attempts_at(0), [1, 2]);
}

#[test]
fn a_start_resumes_from_the_last_checkpoint() {
    let mut cluster = TestCluster::new(1);
    cluster.run(1, &helpers::queue(1), vec![helpers::step(1, 1)]);
    let key = (helpers::task(1, 0, 0), 1);
    cluster.worker(0).running.get_mut(&key).unwrap().checkpoint = "half".to_owned();
    cluster.end(helpers::task(1, 0, 0), End::Stopped);
    assert_eq!(cluster.worker(0).orders.last().unwrap().checkpoint, "half");
}

/// A worker reports an end to each leader until it is acknowledged.
#[test]
fn a_failure_reported_to_two_leaders_counts_once() {
    let mut cluster = TestCluster::new(1);
    cluster.run(1, &helpers::queue(1), vec![helpers::step(1, 1)]);
    let id = helpers::worker_id(0);
    cluster
        .worker(0)
        .end(helpers::task(1, 0, 0), 1, End::Failed);
    cluster.report(&id);
    cluster.write();
    cluster.take_over(2);
    cluster.settle();
    assert_eq!(cluster.state(1), Some(JobState::Running));
    cluster.end(helpers::task(1, 0, 0), End::Done);
    assert_eq!(cluster.state(1), Some(JobState::Completed));
}

/// The failure of an earlier run may be reported after that of a later one.
#[test]
fn failures_reported_out_of_order_all_count() {
    let mut cluster = TestCluster::new(2);
    cluster.run(1, &helpers::queue(1), vec![helpers::step(1, 1)]);
    let (first, _) = cluster.placed(helpers::task(1, 0, 0))[0].clone();
    let unreachable = cluster.workers.get_mut(&first).unwrap();
    unreachable.reachable = false;
    unreachable.end(helpers::task(1, 0, 0), 1, End::Failed);
    cluster.advance(6_000);
    cluster.end(helpers::task(1, 0, 0), End::Failed);
    cluster.workers.get_mut(&first).unwrap().reachable = true;
    cluster.advance(1_000);
    assert_eq!(cluster.state(1), Some(JobState::Failed));
}

#[test]
fn a_long_running_task_starts_again_however_it_ended() {
    let mut cluster = TestCluster::new(2);
    let step = fleet::StepDescription {
        long_running: true,
        ..helpers::step(1, 1)
    };
    cluster.run(1, &helpers::queue(1), vec![step]);
    for end in [
        End::Done,
        End::Failed,
        End::Failed,
        End::Failed,
        End::Stopped,
    ] {
        cluster.end(helpers::task(1, 0, 0), end);
        cluster.advance(200);
    }
    assert_eq!(cluster.state(1), Some(JobState::Running));
    assert_eq!(cluster.placed(helpers::task(1, 0, 0)).len(), 1);
    cluster.scheduler.cancel(helpers::job_id(1), cluster.now);
    cluster.settle();
    assert!(cluster.placed(helpers::task(1, 0, 0)).is_empty());
}

#[test]
fn occurrences_start_when_they_are_due() {
    let mut cluster = TestCluster::new(1);
    let repeated = fleet::JobDescription {
        occurrences: 2,
        first_due_ms: cluster.wall_ms + 1_000,
        interval_ms: 2_000,
        ..helpers::job(vec![helpers::step(1, 1)])
    };
    cluster.submit(1, &helpers::queue(1), repeated);
    cluster.advance(800);
    assert_eq!(cluster.starts(), 0);
    cluster.advance(400);
    assert_eq!(cluster.starts(), 1);
    cluster.advance(2_000);
    assert_eq!(cluster.starts(), 2);
    for occurrence in 0..2 {
        let task = fleet::TaskId {
            occurrence,
            ..helpers::task(1, 0, 0)
        };
        assert_eq!(cluster.state(1), Some(JobState::Running));
        cluster.end(task, End::Done);
    }
    assert_eq!(cluster.state(1), Some(JobState::Completed));
}
