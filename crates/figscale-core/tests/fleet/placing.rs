//! Where tasks go, and which go first.

use figscale_types::fleet;
use figscale_types::fleet::End;
use rstest::rstest;

use crate::kit;
use crate::kit::Cell;

#[test]
fn no_worker_gets_more_than_it_holds() {
    let mut cell = Cell::with_cores(3, 10);
    cell.run(1, &kit::queue(1), vec![kit::step(20, 4)]);
    for worker in cell.workers.values() {
        assert!(worker.running.len() <= 2);
    }
    assert_eq!(cell.starts(), 6);
}

#[test]
fn what_is_being_stopped_still_takes_room() {
    let mut cell = Cell::with_cores(1, 10);
    cell.run(1, &kit::queue(1), vec![kit::step(1, 8)]);
    cell.scheduler.cancel(kit::job_id(1), cell.now);
    cell.write();
    cell.submit(2, &kit::queue(1), kit::job(vec![kit::step(1, 8)]));
    cell.write();
    cell.scheduler.plan(cell.now);
    assert_eq!(cell.starts(), 1);
    cell.settle();
    cell.pass(100);
    assert_eq!(cell.starts(), 2);
}

/// A new leader finds a run of a job that has ended, still being stopped.
#[test]
fn a_stray_run_takes_its_room() {
    let mut cell = Cell::with_cores(1, 10);
    cell.run(1, &kit::queue(1), vec![kit::step(1, 8)]);
    cell.scheduler.cancel(kit::job_id(1), cell.now);
    cell.write();
    cell.take_over(2);
    let id = kit::worker_id(0);
    cell.report(&id);
    cell.submit(2, &kit::queue(1), kit::job(vec![kit::step(1, 8)]));
    cell.write();
    cell.scheduler.plan(cell.now);
    let free = 10 - 8;
    assert!(
        free < 8 && cell.starts() == 1,
        "started beside a run that takes the room"
    );
}

#[rstest]
#[case::unlisted_label("b", 0)]
#[case::listed_label("a", 1)]
fn a_required_label_is_kept(#[case] label: &str, #[case] starts: usize) {
    let mut cell = Cell::new(1);
    let step = fleet::StepDescription {
        required_label: Some(label.to_owned()),
        ..kit::step(1, 1)
    };
    cell.run(1, &kit::queue(1), vec![step]);
    assert_eq!(cell.starts(), starts);
}

#[rstest]
#[case::of_its_service("pool", 1)]
#[case::of_another_service("other-pool", 0)]
fn a_queue_runs_on_its_service_only(#[case] service: &str, #[case] starts: usize) {
    let mut cell = Cell::new(1);
    let queue = fleet::Queue {
        service: service.to_owned(),
        ..kit::queue(1)
    };
    cell.run(1, &queue, vec![kit::step(1, 1)]);
    assert_eq!(cell.starts(), starts);
}

#[test]
fn tasks_that_must_be_apart_are() {
    let mut cell = Cell::new(3);
    let step = fleet::StepDescription {
        max_per_worker: Some(1),
        ..kit::step(5, 1)
    };
    cell.run(1, &kit::queue(1), vec![step]);
    assert_eq!(cell.starts(), 3);
    assert!(
        cell.workers
            .values()
            .all(|worker| worker.running.len() == 1)
    );
}

#[test]
fn data_draws_tasks_to_its_rack_while_there_is_room() {
    let mut cell = Cell::with_cores(8, 2);
    let step = fleet::StepDescription {
        data_rack: Some("r1-1".to_owned()),
        ..kit::step(10, 1)
    };
    cell.run(1, &kit::queue(1), vec![step]);
    let near: usize = (4..8).map(|number| cell.worker(number).running.len()).sum();
    assert_eq!(near, 8);
    assert_eq!(cell.starts(), 10);
}

#[test]
fn a_draining_worker_gets_nothing_new() {
    let mut cell = Cell::new(2);
    let entry = fleet::WorkerEntry {
        draining: true,
        ..cell.worker(0).entry.clone()
    };
    cell.scheduler.worker_listed(entry);
    cell.run(1, &kit::queue(1), vec![kit::step(4, 1)]);
    assert!(cell.worker(0).running.is_empty());
    assert_eq!(cell.worker(1).running.len(), 4);
}

#[test]
fn small_work_leaves_large_holes() {
    let mut cell = Cell::new(4);
    cell.run(1, &kit::queue(1), vec![kit::step(8, 4)]);
    let empty = cell
        .workers
        .values()
        .filter(|worker| worker.running.is_empty())
        .count();
    assert_eq!(empty, 3);
}

#[test]
fn quick_queues_go_first() {
    let mut cell = Cell::with_cores(1, 1);
    cell.run(1, &kit::queue(1), vec![kit::step(1, 1)]);
    cell.run(2, &kit::queue(1), vec![kit::step(1, 1)]);
    cell.run(3, &kit::queue(0), vec![kit::step(1, 1)]);
    cell.end(kit::task(1, 0, 0), End::Done);
    assert_eq!(cell.placed(kit::task(3, 0, 0)).len(), 1);
    assert!(cell.placed(kit::task(2, 0, 0)).is_empty());
}

/// What is late earns less than what can still be in time.
#[test]
fn what_can_be_in_time_goes_before_what_is_late() {
    let mut cell = Cell::with_cores(1, 1);
    cell.run(1, &kit::queue(1), vec![kit::step(1, 1)]);
    cell.run(2, &kit::queue(1), vec![kit::step(1, 1)]);
    cell.pass(4_000);
    cell.run(3, &kit::queue(1), vec![kit::step(1, 1)]);
    cell.end(kit::task(1, 0, 0), End::Done);
    assert_eq!(cell.placed(kit::task(3, 0, 0)).len(), 1);
}
