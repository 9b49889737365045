//! Workers whose room shrinks and grows again while they run.

use figscale_types::fleet;

use crate::kit;
use crate::kit::Cell;

/// Gives a worker so many cores; its entry says so.
fn resize(cell: &mut Cell, number: usize, cores: u64) {
    let worker = cell.worker(number);
    worker.entry.room.cpu_millis = cores * 1_000;
    let entry = worker.entry.clone();
    cell.scheduler.worker_listed(entry);
}

/// Guards against starts on a worker that holds less than it runs.
#[test]
fn nothing_is_started_on_a_worker_that_is_over_its_room() {
    let mut cell = Cell::with_cores(1, 16);
    let long = |cores| kit::lasting(kit::step(1, cores), 30_000);
    cell.run(1, &kit::queue(1), vec![long(8)]);
    resize(&mut cell, 0, 4);
    let memory_only = fleet::StepDescription {
        room: fleet::Room {
            cpu_millis: 0,
            ..kit::step(1, 1).room
        },
        ..long(0)
    };
    cell.run(2, &kit::queue(1), vec![long(1)]);
    cell.run(3, &kit::queue(1), vec![memory_only]);
    assert_eq!(cell.starts(), 1);
    resize(&mut cell, 0, 16);
    cell.pass(100);
    assert_eq!(cell.starts(), 3);
}

/// Guards against a gang for which room is reckoned that a worker has no more.
#[test]
fn a_gang_does_not_wait_for_room_that_has_shrunk() {
    let mut cell = Cell::with_cores(3, 16);
    let filling = kit::lasting(kit::step(1, 16), 1_000);
    cell.run(1, &kit::queue(1), vec![filling]);
    let home = cell.home(kit::task(1, 0, 0)).unwrap();
    let number = home.as_str()[2..].parse().unwrap();
    resize(&mut cell, number, 4);
    cell.run(2, &kit::queue(1), vec![kit::gang(2, 12)]);
    assert_eq!(cell.starts(), 3);
}

/// Guards against starts in room that may have shrunk since the store was last
/// heard.
#[test]
fn nothing_is_started_while_entries_are_too_old() {
    let mut cell = Cell::new(2);
    let quick = |cell: &mut Cell, number| {
        cell.run(
            number,
            &kit::queue(1),
            vec![kit::step(1, 1), kit::step(1, 1)],
        );
    };
    quick(&mut cell, 1);
    assert_eq!(cell.starts(), 2);
    cell.store_answers = false;
    cell.pass(2_000);
    cell.end(kit::task(1, 0, 0), fleet::End::Failed);
    cell.pass(100);
    assert_eq!(cell.starts(), 3, "entries are still good");
    cell.pass(2_000);
    cell.end(kit::task(1, 1, 0), fleet::End::Failed);
    cell.pass(1_000);
    assert_eq!(cell.starts(), 3, "entries are too old");
    cell.store_answers = true;
    cell.pass(100);
    assert_eq!(cell.starts(), 4);
}
