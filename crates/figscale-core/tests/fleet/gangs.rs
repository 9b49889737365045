//! Tasks that work only together.

use figscale_types::fleet;
use figscale_types::fleet::End;
use figscale_types::fleet::JobState;
use figscale_types::fleet::StartOutcome;
use figscale_types::fleet::StartRefusal;

use crate::kit;
use crate::kit::Cell;

#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut cell = Cell::with_cores(2, 10);
    cell.run(1, &kit::queue(1), vec![kit::gang(3, 8)]);
    assert_eq!(cell.starts(), 0);
    cell.add_worker(2, 10);
    cell.settle();
    assert_eq!(cell.starts(), 3);
    let attempts = cell
        .workers
        .values()
        .flat_map(|worker| worker.running.keys());
    assert!(attempts.into_iter().all(|(_, attempt)| *attempt == 1));
}

#[test]
fn one_good_end_stands_for_all() {
    let mut cell = Cell::new(1);
    cell.run(1, &kit::queue(1), vec![kit::gang(3, 8)]);
    cell.end(kit::task(1, 0, 1), End::Done);
    assert_eq!(cell.state(1), Some(JobState::Completed));
}

#[test]
fn a_gang_begins_again_together() {
    let mut cell = Cell::new(2);
    cell.run(1, &kit::queue(1), vec![kit::gang(3, 8)]);
    cell.end(kit::task(1, 0, 1), End::Stopped);
    cell.pass(200);
    for index in 0..3 {
        let placed = cell.placed(kit::task(1, 0, index));
        assert_eq!(placed.len(), 1);
        assert_eq!(placed[0].1, 2);
    }
}

#[test]
fn a_gang_fails_once_for_a_run() {
    let mut cell = Cell::new(2);
    cell.run(1, &kit::queue(1), vec![kit::gang(2, 8)]);
    for index in 0..2 {
        let (worker, attempt) = cell.placed(kit::task(1, 0, index))[0].clone();
        cell.workers[&worker].end(kit::task(1, 0, index), attempt, End::Failed);
    }
    cell.pass(200);
    assert_eq!(cell.state(1), Some(JobState::Running));
}

#[test]
fn a_member_that_is_refused_stops_the_others() {
    let mut cell = Cell::with_cores(2, 10);
    cell.worker(1).answer = Some(StartOutcome::Refused(StartRefusal::NoRoom));
    cell.run(1, &kit::queue(1), vec![kit::gang(2, 8)]);
    assert!(!cell.stops.is_empty());
    cell.worker(1).answer = None;
    cell.pass(600);
    let attempts: Vec<u32> = (0..2)
        .map(|index| cell.placed(kit::task(1, 0, index))[0].1)
        .collect();
    assert_eq!(attempts[0], attempts[1]);
    assert!(attempts[0] > 1);
}

#[test]
fn a_gang_prefers_one_rack() {
    let mut cell = Cell::with_cores(8, 10);
    cell.run(1, &kit::queue(1), vec![kit::step(1, 9)]);
    let step = fleet::StepDescription {
        same_rack: true,
        ..kit::gang(4, 8)
    };
    cell.run(2, &kit::queue(1), vec![step]);
    let racks: Vec<String> = (0..4)
        .map(|index| cell.placed(kit::task(2, 0, index))[0].0.clone())
        .map(|worker| cell.workers[&worker].entry.rack.clone())
        .collect();
    assert!(racks.iter().all(|rack| *rack == racks[0]), "{racks:?}");
}

/// Small lasting work keeps coming; without room kept free a wide gang would
/// never find four cores on three workers at once.
#[test]
fn a_wide_gang_is_not_starved_by_small_work() {
    let mut cell = Cell::with_cores(3, 4);
    let small = fleet::StepDescription {
        estimate_ms: 2_000,
        ..kit::step(1, 1)
    };
    for number in 100..112 {
        cell.run(number, &kit::queue(1), vec![small.clone()]);
    }
    cell.run(1, &kit::queue(1), vec![kit::gang(3, 4)]);
    for number in 112..136 {
        cell.submit(number, &kit::queue(1), kit::job(vec![small.clone()]));
        cell.pass(200);
        cell.end(kit::task(number - 12, 0, 0), End::Done);
        if cell.placed(kit::task(1, 0, 0)).len() == 1 {
            return;
        }
    }
    panic!("the gang never started");
}

/// Members that have done their part wait for the slowest without working.
#[test]
fn members_that_wait_for_the_others_do_not_stand_still() {
    let mut cell = Cell::new(2);
    cell.run(1, &kit::queue(1), vec![kit::gang(3, 8)]);
    for index in 0..2 {
        let (worker, attempt) = cell.placed(kit::task(1, 0, index))[0].clone();
        let key = (kit::task(1, 0, index), attempt);
        cell.workers[&worker].running[&key].used_cpu_millis = Some(0);
    }
    cell.pass(4_000);
    assert!(cell.stops.is_empty());
    let (worker, attempt) = cell.placed(kit::task(1, 0, 2))[0].clone();
    let key = (kit::task(1, 0, 2), attempt);
    cell.workers[&worker].running[&key].used_cpu_millis = Some(0);
    cell.pass(2_500);
    assert!(
        !cell.stops.is_empty(),
        "a gang of which nobody works is left alone"
    );
}
