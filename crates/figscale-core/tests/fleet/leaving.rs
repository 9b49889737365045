//! Workers that are emptied and taken away while long tasks run on them.
//!
//! The pattern: some workers say that they leave within 2 to 9 s; most tasks on
//! them last 6 s, and many save their progress every 2 s. What still runs when
//! such a worker goes is otherwise lost with it and waits for its lease.

use figscale_types::fleet;
use figscale_types::fleet::End;
use figscale_types::fleet::JobState;

use crate::kit;
use crate::kit::Cell;

/// Has a worker say that it leaves.
fn drain(cell: &mut Cell, number: usize, leaves_in_ms: u64) {
    let entry = fleet::WorkerEntry {
        draining: true,
        leaves_in: Some(kit::ms(leaves_in_ms)),
        ..cell.worker(number).entry.clone()
    };
    cell.worker(number).entry = entry.clone();
    cell.scheduler.worker_listed(entry);
    let at = cell.now + kit::ms(leaves_in_ms);
    cell.scheduler.worker_leaves(&kit::worker_id(number), at);
}

/// A cell of two workers with one task on one of them; the number of that one.
fn cell_with_task() -> (Cell, usize) {
    let mut cell = Cell::new(2);
    cell.run(1, &kit::queue(1), vec![kit::step(1, 1)]);
    let home = usize::from(cell.worker(0).running.is_empty());
    (cell, home)
}

#[test]
fn what_would_be_lost_with_its_worker_goes_on_elsewhere() {
    let (mut cell, home) = cell_with_task();
    let key = (kit::task(1, 0, 0), 1);
    cell.worker(home).running[&key].checkpoint = "saved".to_owned();
    drain(&mut cell, home, 5_000);
    cell.pass(2_000);
    assert_eq!(cell.placed(key.0), [(kit::worker_id(home), 1)]);
    cell.pass(2_000);
    assert_eq!(cell.placed(key.0), [(kit::worker_id(1 - home), 2)]);
    assert_eq!(cell.worker(1 - home).orders[0].checkpoint, "saved");
}

#[test]
fn what_ends_before_its_worker_leaves_is_not_disturbed() {
    let (mut cell, home) = cell_with_task();
    drain(&mut cell, home, 5_000);
    cell.pass(3_000);
    cell.end(kit::task(1, 0, 0), End::Done);
    cell.pass(2_000);
    assert!(cell.stops.is_empty());
    assert_eq!(cell.state(1), Some(JobState::Completed));
}

#[test]
fn a_short_notice_is_acted_on_at_once() {
    let (mut cell, home) = cell_with_task();
    drain(&mut cell, home, 1_000);
    cell.pass(100);
    let placed = cell.placed(kit::task(1, 0, 0));
    assert_eq!(placed, [(kit::worker_id(1 - home), 2)]);
}

/// Otherwise whatever the next leader does not find waits for the lease of a
/// worker that has gone.
#[test]
fn the_next_leader_does_not_wait_for_a_worker_that_has_nothing_left() {
    let (mut cell, home) = cell_with_task();
    drain(&mut cell, home, 1_000);
    cell.pass(500);
    cell.worker(home).reachable = false;
    let task = kit::task(1, 0, 0);
    cell.worker(1 - home).end(task, 2, End::Stopped);
    cell.take_over(2);
    cell.pass(300);
    assert_eq!(cell.placed(task), [(kit::worker_id(1 - home), 1_001)]);
}

/// An order that was not answered may still arrive.
#[test]
fn the_next_leader_waits_where_an_order_had_no_answer() {
    let mut cell = Cell::new(1);
    cell.worker(0).answer = Some(fleet::StartOutcome::Unknown);
    cell.run(1, &kit::queue(1), vec![kit::step(1, 1)]);
    drain(&mut cell, 0, 5_000);
    cell.worker(0).answer = None;
    cell.pass(200);
    cell.worker(0).reachable = false;
    cell.add_worker(1, 64);
    cell.take_over(2);
    cell.pass(3_000);
    assert!(cell.placed(kit::task(1, 0, 0)).is_empty());
    cell.pass(3_000);
    assert_eq!(cell.placed(kit::task(1, 0, 0)).len(), 1);
}

#[test]
fn a_worker_that_stays_after_all_is_used_again() {
    let mut cell = Cell::new(1);
    drain(&mut cell, 0, 60_000);
    cell.pass(500);
    let entry = fleet::WorkerEntry {
        draining: false,
        leaves_in: None,
        ..cell.worker(0).entry.clone()
    };
    cell.scheduler.worker_listed(entry);
    cell.run(1, &kit::queue(1), vec![kit::step(1, 1)]);
    assert_eq!(cell.starts(), 1);
    assert!(cell.stops.is_empty());
}
