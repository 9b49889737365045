//! How runs end, and what follows.

use figscale_types::fleet;
use figscale_types::fleet::End;
use figscale_types::fleet::JobState;
use rstest::rstest;

use crate::kit;
use crate::kit::Cell;

#[test]
fn a_step_waits_for_all_tasks_before_it() {
    let mut cell = Cell::new(1);
    let second = fleet::StepDescription {
        after: vec![0],
        ..kit::step(1, 1)
    };
    cell.run(1, &kit::queue(1), vec![kit::step(2, 1), second]);
    cell.end(kit::task(1, 0, 0), End::Done);
    assert!(cell.placed(kit::task(1, 1, 0)).is_empty());
    cell.end(kit::task(1, 0, 1), End::Done);
    assert_eq!(cell.placed(kit::task(1, 1, 0)).len(), 1);
    cell.end(kit::task(1, 1, 0), End::Done);
    assert_eq!(cell.state(1), Some(JobState::Completed));
}

#[test]
fn a_task_fails_as_often_as_it_may() {
    let mut cell = Cell::new(2);
    cell.run(1, &kit::queue(1), vec![kit::step(1, 1)]);
    cell.end(kit::task(1, 0, 0), End::Failed);
    assert_eq!(cell.state(1), Some(JobState::Running));
    cell.end(kit::task(1, 0, 0), End::Failed);
    assert_eq!(cell.state(1), Some(JobState::Failed));
    cell.pass(500);
    assert_eq!(cell.starts(), 2);
}

#[rstest]
#[case::stopped(End::Stopped)]
#[case::lease(End::LeaseExpired)]
fn other_ends_cost_no_attempt(#[case] end: End) {
    let mut cell = Cell::new(1);
    cell.run(1, &kit::queue(1), vec![kit::step(1, 1)]);
    for _ in 0..5 {
        cell.end(kit::task(1, 0, 0), end);
    }
    assert_eq!(cell.state(1), Some(JobState::Running));
    assert_eq!(cell.placed(kit::task(1, 0, 0)).len(), 1);
}

#[test]
fn attempts_rise() {
    let mut cell = Cell::new(1);
    cell.run(1, &kit::queue(1), vec![kit::step(1, 1)]);
    cell.end(kit::task(1, 0, 0), End::Stopped);
    assert_eq!(cell.attempts_at(0), [1, 2]);
}

#[test]
fn a_start_resumes_from_the_last_checkpoint() {
    let mut cell = Cell::new(1);
    cell.run(1, &kit::queue(1), vec![kit::step(1, 1)]);
    let key = (kit::task(1, 0, 0), 1);
    cell.worker(0).running.get_mut(&key).unwrap().checkpoint = "half".to_owned();
    cell.end(kit::task(1, 0, 0), End::Stopped);
    assert_eq!(cell.worker(0).orders.last().unwrap().checkpoint, "half");
}

/// A worker tells an end to each leader until it is acknowledged.
#[test]
fn a_failure_counts_once_over_terms() {
    let mut cell = Cell::new(1);
    cell.run(1, &kit::queue(1), vec![kit::step(1, 1)]);
    let id = kit::worker_id(0);
    cell.worker(0).end(kit::task(1, 0, 0), 1, End::Failed);
    cell.report(&id);
    cell.write();
    cell.take_over(2);
    cell.settle();
    assert_eq!(cell.state(1), Some(JobState::Running));
    cell.end(kit::task(1, 0, 0), End::Done);
    assert_eq!(cell.state(1), Some(JobState::Completed));
}

/// The failure of an earlier run may be told after that of a later one.
#[test]
fn failures_count_in_any_order() {
    let mut cell = Cell::new(2);
    cell.run(1, &kit::queue(1), vec![kit::step(1, 1)]);
    let (first, _) = cell.placed(kit::task(1, 0, 0))[0].clone();
    let silent = cell.workers.get_mut(&first).unwrap();
    silent.reachable = false;
    silent.end(kit::task(1, 0, 0), 1, End::Failed);
    cell.pass(6_000);
    cell.end(kit::task(1, 0, 0), End::Failed);
    cell.workers.get_mut(&first).unwrap().reachable = true;
    cell.pass(1_000);
    assert_eq!(cell.state(1), Some(JobState::Failed));
}

#[test]
fn a_long_running_task_starts_again_however_it_ended() {
    let mut cell = Cell::new(2);
    let lasting = fleet::StepDescription {
        long_running: true,
        ..kit::step(1, 1)
    };
    cell.run(1, &kit::queue(1), vec![lasting]);
    for end in [
        End::Done,
        End::Failed,
        End::Failed,
        End::Failed,
        End::Stopped,
    ] {
        cell.end(kit::task(1, 0, 0), end);
        cell.pass(200);
    }
    assert_eq!(cell.state(1), Some(JobState::Running));
    assert_eq!(cell.placed(kit::task(1, 0, 0)).len(), 1);
    cell.scheduler.cancel(kit::job_id(1), cell.now);
    cell.settle();
    assert!(cell.placed(kit::task(1, 0, 0)).is_empty());
}

#[test]
fn occurrences_start_when_they_are_due() {
    let mut cell = Cell::new(1);
    let repeated = fleet::JobDescription {
        occurrences: 2,
        first_due_ms: cell.wall_ms + 1_000,
        interval_ms: 2_000,
        ..kit::job(vec![kit::step(1, 1)])
    };
    cell.submit(1, &kit::queue(1), repeated);
    cell.pass(800);
    assert_eq!(cell.starts(), 0);
    cell.pass(400);
    assert_eq!(cell.starts(), 1);
    cell.pass(2_000);
    assert_eq!(cell.starts(), 2);
    for occurrence in 0..2 {
        let task = fleet::TaskId {
            occurrence,
            ..kit::task(1, 0, 0)
        };
        assert_eq!(cell.state(1), Some(JobState::Running));
        cell.end(task, End::Done);
    }
    assert_eq!(cell.state(1), Some(JobState::Completed));
}
