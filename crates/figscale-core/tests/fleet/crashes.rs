//! Tasks that crash each worker that starts them, and tasks that run beside them.

use figscale_types::fleet;

use crate::kit;
use crate::kit::Cell;

const CORES: u64 = 64;
/// Starts after which three workers have crashed and three more starts followed.
const TOO_MANY_STARTS: usize = 6;

/// Lets a task crash its workers, each some time after its start, until its job
/// has ended; how many crashed.
fn crash_until_ended(cell: &mut Cell, task: fleet::TaskId, after_ms: u64) -> usize {
    let mut crashes = 0;
    for _ in 0..200 {
        if let Some(home) = cell.home(task) {
            cell.pass(after_ms);
            assert_eq!(cell.home(task), Some(home.clone()));
            cell.crash(&home);
            crashes += 1;
            cell.pass(1_000);
            cell.replace(&home, CORES);
        }
        if cell.state(task.job.0) == Some(fleet::JobState::Failed) {
            return crashes;
        }
        assert!(crashes < TOO_MANY_STARTS, "started again and again");
        cell.pass(100);
    }
    panic!("{:?} after {crashes} crashes", cell.state(task.job.0));
}

/// Guards against a task that is started on one worker after the other, each of
/// which crashes under it.
#[test]
fn a_task_that_crashes_its_workers_is_given_up() {
    let mut cell = Cell::new(6);
    cell.run(1, &kit::queue(1), vec![kit::step(1, 1)]);
    let crashes = crash_until_ended(&mut cell, kit::task(1, 0, 0), 0);
    assert!(crashes >= 2, "given up after {crashes} crashes");
}

/// Guards against a crash that comes some time after the start, when the run has
/// been seen at work.
#[test]
fn a_task_that_crashes_its_workers_late_is_given_up() {
    for after_ms in [300, 800, 2_000] {
        let mut cell = Cell::new(6);
        let step = kit::lasting(kit::step(1, 1), 5_000);
        cell.run(1, &kit::queue(1), vec![step]);
        crash_until_ended(&mut cell, kit::task(1, 0, 0), after_ms);
    }
}

/// Guards against a gang of which one member crashes its worker, and which begins
/// again for good.
#[test]
fn a_gang_that_crashes_workers_is_given_up() {
    let mut cell = Cell::new(8);
    cell.run(1, &kit::queue(1), vec![kit::gang(4, 32)]);
    crash_until_ended(&mut cell, kit::task(1, 0, 0), 0);
}

/// Guards against losses that are forgotten with the leader that saw them: each
/// leader is replaced as soon as it has written what it saw.
#[test]
fn a_task_that_crashes_its_workers_is_given_up_through_takeovers() {
    let mut cell = Cell::new(6);
    let crashing = kit::task(1, 0, 0);
    cell.run(1, &kit::queue(1), vec![kit::step(1, 1)]);
    let mut crashes = 0;
    for epoch in 2..12 {
        while cell.home(crashing).is_none() {
            if cell.state(1) == Some(fleet::JobState::Failed) {
                return;
            }
            cell.pass(100);
        }
        let home = cell.home(crashing).unwrap();
        cell.crash(&home);
        crashes += 1;
        assert!(crashes < TOO_MANY_STARTS, "started again and again");
        cell.take_over(epoch);
        cell.settle();
        cell.replace(&home, CORES);
    }
    panic!("{:?} after {crashes} crashes", cell.state(1));
}

/// Guards against starts whose losses would be forgotten with the leader.
#[test]
fn a_task_under_which_a_worker_was_lost_waits_for_the_store() {
    let mut cell = Cell::new(6);
    let crashing = kit::task(1, 0, 0);
    cell.run(1, &kit::queue(1), vec![kit::step(1, 1)]);
    let home = cell.home(crashing).unwrap();
    cell.store_answers = false;
    cell.crash(&home);
    cell.pass(1_000);
    cell.replace(&home, CORES);
    cell.pass(10_000);
    assert_eq!(cell.home(crashing), None);
    cell.store_answers = true;
    cell.pass(300);
    assert!(cell.home(crashing).is_some());
}

/// Guards against giving up a task that was lost beside several others which
/// crash their workers.
#[test]
fn a_task_that_runs_beside_crashing_ones_is_not_given_up() {
    let mut cell = Cell::new(3);
    let step = kit::lasting(kit::step(1, 1), 60_000);
    cell.run(1, &kit::queue(1), vec![step.clone()]);
    let beside = kit::task(1, 0, 0);
    for number in 2..14 {
        cell.pass(700);
        // Each worker gets a run that crashes it, some of them at once with the
        // task that is watched.
        cell.run(number, &kit::queue(1), vec![step.clone()]);
        let home = cell.home(kit::task(number, 0, 0)).unwrap();
        cell.crash(&home);
        cell.pass(1_000);
        cell.replace(&home, CORES);
        cell.scheduler.cancel(kit::job_id(number), cell.now);
        cell.pass(1_000);
    }
    assert_eq!(cell.state(1), Some(fleet::JobState::Running));
    assert!(cell.home(beside).is_some());
}

/// Guards against a second task that is started beside one which may crash the
/// worker: the crash would count against both.
#[test]
fn nothing_is_started_beside_a_task_in_quarantine() {
    let mut cell = Cell::new(3);
    let crashing = kit::task(1, 0, 0);
    let step = kit::lasting(kit::step(1, 1), 20_000);
    cell.run(1, &kit::queue(1), vec![step.clone()]);
    let home = cell.home(crashing).unwrap();
    cell.crash(&home);
    cell.pass(1_000);
    cell.replace(&home, CORES);
    let home = cell.home(crashing).unwrap();
    cell.run(2, &kit::queue(1), vec![kit::step(200, 1)]);
    assert_eq!(cell.workers[&home].running.len(), 1);
    cell.pass(1_000);
    assert!(cell.workers[&home].running.len() > 1, "kept apart for good");
}

/// Guards against holding a silence against the tasks of a worker that lives.
#[test]
fn a_worker_that_is_heard_again_has_not_crashed() {
    let mut cell = Cell::new(2);
    let step = kit::lasting(kit::step(1, 1), 20_000);
    cell.run(1, &kit::queue(1), vec![step]);
    let task = kit::task(1, 0, 0);
    let home = cell.home(task).unwrap();
    for _ in 0..6 {
        cell.scheduler.worker_doubted(&home, cell.now);
        cell.settle();
    }
    cell.crash(&home);
    cell.pass(1_000);
    cell.replace(&home, CORES);
    assert_eq!(cell.state(1), Some(fleet::JobState::Running));
    assert!(cell.home(task).is_some());
}
