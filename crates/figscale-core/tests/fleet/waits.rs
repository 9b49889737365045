//! What is told of steps that could run and do not.

use figscale_core::fleet::Note;
use figscale_types::fleet;
use figscale_types::fleet::End;

use crate::kit;
use crate::kit::Cell;

/// A step that waits, without how long, as it was told.
#[derive(Debug, PartialEq, Eq)]
struct Told {
    task: fleet::TaskId,
    tasks: usize,
    suspect: usize,
    good_slots: u64,
    ticket_slots: u64,
    free_slots: u64,
    asking: bool,
}

/// Steps told of since the last call, with milliseconds since submission.
fn told(cell: &mut Cell) -> Vec<(u64, Told)> {
    let notes = std::mem::take(&mut cell.notes);
    let waits = notes.into_iter().filter_map(|note| match note {
        Note::StepWaits {
            task,
            waits,
            tasks,
            suspect,
            good_slots,
            ticket_slots,
            free_slots,
            asking,
        } => {
            let step = Told {
                task,
                tasks,
                suspect,
                good_slots,
                ticket_slots,
                free_slots,
                asking,
            };
            Some((waits.as_millis() as u64, step))
        }
        _ => None,
    });
    waits.collect()
}

fn jobs_told(cell: &mut Cell) -> Vec<u64> {
    let told = told(cell).into_iter();
    told.map(|(_, step)| step.task.job.0).collect()
}

fn waiting_steps(cell: &Cell) -> usize {
    cell.scheduler.counts(cell.now).waiting_steps
}

#[test]
fn a_step_that_waits_for_advice_is_told_after_five_seconds() {
    let mut cell = Cell::with_cores(4, 10);
    cell.run(1, &kit::advised(1), vec![kit::gang(3, 4)]);
    cell.pass(5_000);
    assert_eq!(told(&mut cell), []);
    assert_eq!(waiting_steps(&cell), 0);
    cell.pass(2_000);
    let told = told(&mut cell);
    assert_eq!(told.len(), 1);
    assert!((5_001..=7_000).contains(&told[0].0), "{told:?}");
    let expected = Told {
        task: kit::task(1, 0, 0),
        tasks: 3,
        suspect: 0,
        good_slots: 0,
        ticket_slots: 0,
        free_slots: 8,
        asking: true,
    };
    assert_eq!(told[0].1, expected);
    assert_eq!(waiting_steps(&cell), 1);
}

#[test]
fn a_step_is_not_told_again_within_two_seconds() {
    let mut cell = Cell::new(1);
    cell.run(1, &kit::advised(1), vec![kit::step(1, 1)]);
    cell.pass(20_000);
    let times: Vec<u64> = told(&mut cell).iter().map(|(at_ms, _)| *at_ms).collect();
    assert_eq!(times.len(), 7, "{times:?}");
    let apart = times.windows(2).map(|pair| pair[1] - pair[0]);
    assert_eq!(apart.min(), Some(2_000), "{times:?}");
}

#[test]
fn a_step_with_something_running_is_not_told() {
    let mut cell = Cell::with_cores(1, 10);
    cell.run(1, &kit::queue(1), vec![kit::step(2, 8)]);
    assert_eq!(cell.starts(), 1);
    cell.pass(20_000);
    assert_eq!(told(&mut cell), []);
    assert_eq!(waiting_steps(&cell), 0);
}

/// The oldest by submission, whatever their ids.
#[test]
fn at_most_three_steps_are_told_the_oldest_first() {
    let mut cell = Cell::new(1);
    for number in [5, 4, 3, 2, 1] {
        cell.run(number, &kit::advised(1), vec![kit::step(1, 1)]);
        cell.pass(200);
    }
    cell.pass(6_000);
    told(&mut cell);
    for _ in 0..4 {
        cell.pass(2_000);
        assert_eq!(jobs_told(&mut cell), [5, 4, 3]);
        assert_eq!(waiting_steps(&cell), 5);
    }
}

#[test]
fn a_step_that_begins_to_run_is_not_told_again() {
    let mut cell = Cell::new(1);
    cell.run(1, &kit::advised(1), vec![kit::step(1, 1)]);
    cell.pass(8_000);
    assert_eq!(waiting_steps(&cell), 1);
    told(&mut cell);
    cell.advise(|_| true);
    cell.pass(4_000);
    assert_eq!(told(&mut cell), []);
    assert_eq!(waiting_steps(&cell), 0);
}

/// The second step of an old job becomes ready at the moment of a look.
#[test]
fn a_step_that_has_just_become_ready_is_not_told() {
    let mut cell = Cell::new(1);
    let second = fleet::StepDescription {
        after: vec![0],
        ..kit::step(1, 1)
    };
    cell.run(1, &kit::advised(1), vec![kit::step(1, 1), second]);
    cell.advise(|_| true);
    cell.pass(8_100);
    assert_eq!(told(&mut cell), []);
    cell.end(kit::task(1, 0, 0), End::Done);
    cell.pass(2_000);
    assert_eq!(told(&mut cell), []);
    cell.pass(2_000);
    assert_eq!(jobs_told(&mut cell), [1]);
}

/// Of four workers with two slots each two are good, and one of these holds
/// other work.
fn cell_with_half_of_the_room_good() -> Cell {
    let mut cell = Cell::with_cores(4, 10);
    cell.run(1, &kit::queue(1), vec![kit::step(1, 8)]);
    let (held, _) = cell.placed(kit::task(1, 0, 0))[0].clone();
    let good = [held, kit::worker_id(3)];
    assert_ne!(good[0], good[1]);
    cell.run(2, &kit::advised(1), vec![kit::gang(4, 4)]);
    cell.pass(5_900);
    let asked = cell.advise(|id| good.contains(id));
    assert_eq!(asked.workers.len(), 4);
    cell
}

#[test]
fn room_good_workers_and_tickets_are_told() {
    let mut cell = cell_with_half_of_the_room_good();
    cell.pass(300);
    let told = told(&mut cell);
    let expected = Told {
        task: kit::task(2, 0, 0),
        tasks: 4,
        suspect: 0,
        good_slots: 4,
        ticket_slots: 2,
        free_slots: 6,
        asking: false,
    };
    assert_eq!(told.len(), 1, "{told:?}");
    assert_eq!(told[0].1, expected);
}

/// The other work outlasts the tickets.
#[test]
fn tickets_that_have_ended_are_not_told_as_held() {
    let mut cell = cell_with_half_of_the_room_good();
    cell.pass(4_500);
    let told = told(&mut cell);
    let (_, step) = &told.last().unwrap();
    assert_eq!((step.good_slots, step.ticket_slots), (4, 0), "{told:?}");
    assert_eq!(step.free_slots, 6);
}

/// Without advice nothing is asked, so each worker that suits is good.
#[test]
fn without_advice_the_room_decides() {
    let mut cell = Cell::with_cores(3, 10);
    cell.run(1, &kit::queue(1), vec![kit::gang(4, 8)]);
    cell.pass(7_000);
    let expected = Told {
        task: kit::task(1, 0, 0),
        tasks: 4,
        suspect: 0,
        good_slots: 3,
        ticket_slots: 3,
        free_slots: 3,
        asking: false,
    };
    let told: Vec<Told> = told(&mut cell).into_iter().map(|(_, step)| step).collect();
    assert_eq!(told, [expected]);
}

/// A new leader has not heard of the worker on which the task may run.
#[test]
fn tasks_that_may_still_run_somewhere_are_told() {
    let mut cell = Cell::new(2);
    cell.run(1, &kit::queue(1), vec![kit::step(1, 1)]);
    let (home, _) = cell.placed(kit::task(1, 0, 0))[0].clone();
    cell.workers.get_mut(&home).unwrap().reachable = false;
    cell.pass(1_000);
    cell.take_over(2);
    cell.pass(5_200);
    let told = told(&mut cell);
    assert_eq!(told.len(), 1, "{told:?}");
    assert_eq!((told[0].1.tasks, told[0].1.suspect), (1, 1));
    assert_eq!(told[0].1.free_slots, 1);
}
