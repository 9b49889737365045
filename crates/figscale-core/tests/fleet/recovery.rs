//! A new leader over what the last one left.

use figscale_core::fleet::RecordKey;
use figscale_core::fleet::Scheduler;
use figscale_types::fleet;
use figscale_types::fleet::End;
use figscale_types::fleet::JobState;

use crate::kit;
use crate::kit::Cell;

#[test]
fn running_tasks_go_on_under_the_next_leader() {
    let mut cell = Cell::new(3);
    cell.run(1, &kit::queue(1), vec![kit::step(4, 1)]);
    cell.take_over(2);
    cell.settle();
    cell.pass(500);
    assert_eq!(cell.starts(), 4);
    for index in 0..4 {
        cell.end(kit::task(1, 0, index), End::Done);
    }
    assert_eq!(cell.state(1), Some(JobState::Completed));
}

#[test]
fn a_done_task_never_starts_again() {
    let mut cell = Cell::new(1);
    cell.run(1, &kit::queue(1), vec![kit::step(2, 1)]);
    cell.end(kit::task(1, 0, 0), End::Done);
    cell.take_over(2);
    cell.pass(6_000);
    assert_eq!(cell.starts(), 2);
    cell.end(kit::task(1, 0, 1), End::Done);
    assert_eq!(cell.state(1), Some(JobState::Completed));
}

/// The worker of a task, started once, does not answer the next leader.
fn waits_for_every_lease(cell: &mut Cell, task: fleet::TaskId) {
    let (home, _) = cell.placed(task)[0].clone();
    cell.workers.get_mut(&home).unwrap().reachable = false;
    cell.take_over(2);
    cell.pass(4_000);
    assert_eq!(cell.starts(), 1, "started while its first run may go on");
    cell.pass(1_500);
    assert_eq!(cell.starts(), 2);
}

/// The worker that runs the task does not answer the new leader.
#[test]
fn a_task_that_is_not_found_waits_for_every_lease() {
    let mut cell = Cell::new(3);
    cell.run(1, &kit::queue(1), vec![kit::step(1, 1)]);
    waits_for_every_lease(&mut cell, kit::task(1, 0, 0));
}

#[test]
fn new_jobs_do_not_wait_for_silent_workers() {
    let mut cell = Cell::new(3);
    cell.run(1, &kit::queue(1), vec![kit::step(1, 1)]);
    cell.worker(0).reachable = false;
    cell.take_over(2);
    cell.settle();
    cell.run(2, &kit::queue(1), vec![kit::step(1, 1)]);
    assert_eq!(cell.placed(kit::task(2, 0, 0)).len(), 1);
}

#[test]
fn attempts_rise_over_terms() {
    let mut cell = Cell::new(1);
    cell.run(1, &kit::queue(1), vec![kit::step(1, 1)]);
    cell.take_over(2);
    cell.settle();
    cell.end(kit::task(1, 0, 0), End::Stopped);
    assert_eq!(cell.attempts_at(0), [1, 1_001]);
}

#[test]
fn a_gang_started_in_part_begins_again() {
    let mut cell = Cell::with_cores(2, 10);
    cell.run(1, &kit::queue(1), vec![kit::gang(2, 8)]);
    let lost = cell.placed(kit::task(1, 0, 1))[0].clone();
    cell.workers[&lost.0].running.clear();
    cell.take_over(2);
    cell.pass(1_000);
    let attempts: Vec<u32> = (0..2)
        .map(|index| cell.placed(kit::task(1, 0, index))[0].1)
        .collect();
    assert_eq!(attempts, [1_001, 1_001]);
}

/// What ran for a job that nobody knows is stopped, and takes all room until
/// it has ended.
#[test]
fn runs_of_unknown_jobs_are_stopped() {
    let mut cell = Cell::new(1);
    cell.run(1, &kit::queue(1), vec![kit::step(1, 1)]);
    cell.store
        .shift_remove(&figscale_core::fleet::RecordKey::Job(kit::job_id(1)));
    cell.store
        .shift_remove(&figscale_core::fleet::RecordKey::Progress(kit::job_id(1)));
    cell.take_over(2);
    cell.settle();
    assert_eq!(cell.stops.len(), 1);
    assert!(cell.placed(kit::task(1, 0, 0)).is_empty());
}

/// A worker that left under the last leader would never answer the next.
#[test]
fn a_worker_that_left_is_not_waited_for() {
    let mut cell = Cell::new(3);
    cell.run(1, &kit::queue(1), vec![kit::step(2, 1)]);
    let idle = (0..3)
        .find(|number| cell.worker(*number).running.is_empty())
        .unwrap();
    let left = kit::worker_id(idle);
    cell.worker(idle).reachable = false;
    cell.scheduler.worker_unlisted(&left, cell.now);
    cell.workers.swap_remove(&left);
    cell.settle();
    let (home, attempt) = cell.placed(kit::task(1, 0, 0))[0].clone();
    cell.workers[&home]
        .running
        .swap_remove(&(kit::task(1, 0, 0), attempt));
    cell.take_over(2);
    cell.pass(500);
    assert_eq!(
        cell.placed(kit::task(1, 0, 0)).len(),
        1,
        "waits for a lease that is long over"
    );
}

/// Its entry is off the list for a while, and the record of its last end is
/// still to be written. The next leader would take it for gone, start the task
/// again, and hear of the end afterwards.
#[test]
fn a_worker_stays_on_the_record_until_its_ends_are_written() {
    let mut cell = Cell::new(2);
    cell.run(1, &kit::queue(1), vec![kit::step(1, 1)]);
    let task = kit::task(1, 0, 0);
    let (home, attempt) = cell.placed(task)[0].clone();
    cell.workers[&home].end(task, attempt, End::Done);
    cell.report(&home);
    let outcome = cell.scheduler.take_records(kit::MOST_RECORDS);
    assert_eq!(outcome.records.len(), 1);
    cell.scheduler.worker_unlisted(&home, cell.now);
    cell.scheduler.tick(cell.now, cell.wall_ms);
    cell.write();
    let recorded = Scheduler::recorded_workers(&cell.store[&RecordKey::Workers]).unwrap();
    assert!(recorded.contains(&home), "{recorded:?}");
    cell.keep(&outcome.records);
    cell.scheduler.records_written(&outcome);
    cell.scheduler.tick(cell.now, cell.wall_ms);
    cell.write();
    let recorded = Scheduler::recorded_workers(&cell.store[&RecordKey::Workers]).unwrap();
    assert!(!recorded.contains(&home), "{recorded:?}");
}

fn occurrence(occurrence: u32) -> fleet::TaskId {
    fleet::TaskId {
        occurrence,
        ..kit::task(1, 0, 0)
    }
}

/// A cell whose leader has started an occurrence that no record tells of.
fn with_an_unwritten_occurrence() -> Cell {
    let mut cell = Cell::new(3);
    let repeated = fleet::JobDescription {
        occurrences: 2,
        first_due_ms: cell.wall_ms + 500,
        interval_ms: 60_000,
        ..kit::job(vec![kit::step(1, 1)])
    };
    cell.submit(1, &kit::queue(1), repeated);
    cell.settle();
    cell.now += kit::ms(600);
    cell.wall_ms += 600;
    cell.scheduler.tick(cell.now, cell.wall_ms);
    cell.scheduler.plan(cell.now);
    cell.carry_out();
    assert_eq!(cell.starts(), 1);
    assert!(
        !cell
            .store
            .contains_key(&RecordKey::Progress(kit::job_id(1)))
    );
    cell
}

#[test]
fn an_occurrence_that_no_record_tells_of_waits_for_every_lease() {
    let mut cell = with_an_unwritten_occurrence();
    waits_for_every_lease(&mut cell, occurrence(0));
}

/// By the next leader's time of day the occurrence is not due yet.
#[test]
fn an_occurrence_that_was_begun_early_is_not_begun_again() {
    let mut cell = with_an_unwritten_occurrence();
    let (home, attempt) = cell.placed(occurrence(0))[0].clone();
    cell.workers[&home].end(occurrence(0), attempt, End::Done);
    cell.take_over(2);
    cell.wall_ms -= 2_000;
    cell.pass(6_000);
    assert_eq!(cell.starts(), 1, "a done occurrence is started again");
}
