//! Workers that fail, hang, go silent or come back as another life.

use figscale_core::fleet::Note;
use figscale_types::fleet;
use figscale_types::fleet::End;
use figscale_types::fleet::StartOutcome;
use figscale_types::fleet::StartRefusal;

use crate::kit;
use crate::kit::Cell;

#[test]
fn a_start_without_an_answer_keeps_its_room_until_it_has_expired() {
    let mut cell = Cell::with_cores(1, 10);
    cell.worker(0).answer = Some(StartOutcome::Unknown);
    cell.run(1, &kit::queue(1), vec![kit::step(1, 8)]);
    cell.worker(0).answer = None;
    cell.pass(1_300);
    assert_eq!(cell.starts(), 1);
    cell.pass(500);
    assert_eq!(cell.starts(), 2);
    assert_eq!(cell.worker(0).orders[1].attempt, 2);
}

#[test]
fn a_start_without_an_answer_that_ran_is_found() {
    let mut cell = Cell::new(1);
    cell.worker(0).answer = Some(StartOutcome::Unknown);
    cell.run(1, &kit::queue(1), vec![kit::step(1, 8)]);
    let order = cell.worker(0).orders[0].clone();
    cell.worker(0).begin(&order);
    cell.pass(4_000);
    assert_eq!(cell.starts(), 1);
    cell.end(kit::task(1, 0, 0), End::Done);
    assert_eq!(cell.state(1), Some(fleet::JobState::Completed));
}

#[test]
fn work_on_a_silent_worker_starts_elsewhere_after_its_lease() {
    let mut cell = Cell::new(2);
    cell.run(1, &kit::queue(1), vec![kit::step(1, 1)]);
    let (home, _) = cell.placed(kit::task(1, 0, 0))[0].clone();
    cell.workers.get_mut(&home).unwrap().reachable = false;
    cell.pass(4_400);
    assert_eq!(cell.starts(), 1, "started while its first run may go on");
    cell.pass(1_000);
    assert_eq!(cell.starts(), 2);
}

#[test]
fn another_life_proves_that_nothing_runs() {
    let mut cell = Cell::new(2);
    cell.run(1, &kit::queue(1), vec![kit::step(1, 1)]);
    let (home, _) = cell.placed(kit::task(1, 0, 0))[0].clone();
    cell.workers.get_mut(&home).unwrap().reachable = false;
    cell.workers.get_mut(&home).unwrap().running.clear();
    cell.scheduler.worker_replaced(&home, cell.now);
    cell.settle();
    assert_eq!(cell.starts(), 2);
    assert_ne!(cell.placed(kit::task(1, 0, 0))[0].0, home);
}

#[test]
fn a_worker_that_fails_everything_is_set_aside() {
    let mut cell = Cell::new(2);
    for number in 1..=3 {
        cell.run(number, &kit::queue(1), vec![kit::step(1, 1)]);
    }
    let (home, _) = cell.placed(kit::task(1, 0, 0))[0].clone();
    for number in 1..=3 {
        let task = kit::task(number, 0, 0);
        if cell.placed(task)[0].0 == home {
            let (_, attempt) = cell.placed(task)[0].clone();
            cell.workers[&home].end(task, attempt, End::Failed);
        }
    }
    cell.settle();
    let set_aside =
        |note: &Note| matches!(note, Note::WorkerSetAside { worker, .. } if *worker == home);
    assert!(cell.notes.iter().any(set_aside));
    assert!(cell.workers[&home].running.is_empty());
    cell.pass(3_100);
    cell.run(10, &kit::queue(1), vec![kit::step(100, 1)]);
    assert_eq!(
        cell.workers[&home].running.len(),
        1,
        "tried with one task at a time"
    );
}

#[test]
fn failures_of_one_job_say_little_of_a_worker() {
    let mut cell = Cell::new(1);
    let queue = fleet::Queue {
        max_attempts: 10,
        ..kit::queue(1)
    };
    cell.run(1, &queue, vec![kit::step(1, 1)]);
    for _ in 0..6 {
        cell.end(kit::task(1, 0, 0), End::Failed);
    }
    assert!(
        !cell
            .notes
            .iter()
            .any(|note| matches!(note, Note::WorkerSetAside { .. }))
    );
}

#[test]
fn a_task_that_stands_still_is_moved() {
    let mut cell = Cell::new(2);
    cell.run(1, &kit::queue(1), vec![kit::step(1, 1)]);
    let (home, attempt) = cell.placed(kit::task(1, 0, 0))[0].clone();
    let key = (kit::task(1, 0, 0), attempt);
    cell.workers[&home]
        .running
        .get_mut(&key)
        .unwrap()
        .used_cpu_millis = Some(0);
    cell.pass(1_000);
    assert_eq!(cell.starts(), 1);
    cell.pass(1_500);
    assert_eq!(cell.starts(), 2);
    assert_ne!(cell.placed(kit::task(1, 0, 0))[0].0, home);
}

#[test]
fn a_later_epoch_ends_the_term() {
    let mut cell = Cell::new(1);
    cell.worker(0).answer = Some(StartOutcome::Refused(StartRefusal::StaleEpoch));
    cell.run(1, &kit::queue(1), vec![kit::step(1, 1)]);
    assert!(cell.stepped_down);
}

#[test]
fn a_stop_is_repeated_until_the_run_has_ended() {
    let mut cell = Cell::new(1);
    cell.run(1, &kit::queue(1), vec![kit::step(1, 1)]);
    cell.worker(0).reachable = false;
    cell.scheduler.cancel(kit::job_id(1), cell.now);
    cell.settle();
    cell.pass(1_600);
    assert!(cell.stops.len() >= 3, "{} stops", cell.stops.len());
    cell.worker(0).reachable = true;
    cell.pass(1_000);
    assert!(cell.placed(kit::task(1, 0, 0)).is_empty());
}

#[test]
fn a_worker_whose_entry_lapsed_is_used_while_it_answers() {
    let mut cell = Cell::new(1);
    cell.run(1, &kit::queue(1), vec![kit::step(1, 1)]);
    cell.scheduler.worker_unlisted(&kit::worker_id(0), cell.now);
    cell.run(2, &kit::queue(1), vec![kit::step(1, 1)]);
    assert_eq!(cell.starts(), 2);
    cell.pass(2_600);
    cell.run(3, &kit::queue(1), vec![kit::step(1, 1)]);
    assert_eq!(cell.starts(), 2);
}
