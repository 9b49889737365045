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
