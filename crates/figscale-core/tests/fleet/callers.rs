//! What callers are told.

use figscale_core::fleet::Admission;
use figscale_core::fleet::fault_of;
use figscale_types::fleet::JobState;
use figscale_types::fleet::StepDescription;
use rstest::rstest;

use crate::kit;
use crate::kit::Cell;

#[test]
fn a_job_starts_only_once_it_is_written() {
    let mut cell = Cell::new(1);
    cell.submit(1, &kit::queue(1), kit::job(vec![kit::step(1, 1)]));
    cell.scheduler.plan(cell.now);
    cell.carry_out();
    assert_eq!(cell.starts(), 0);
    cell.settle();
    assert_eq!(cell.starts(), 1);
}

#[test]
fn the_same_id_is_the_same_job() {
    let mut cell = Cell::new(1);
    cell.run(1, &kit::queue(1), vec![kit::step(1, 1)]);
    let again = cell.submit(1, &kit::queue(1), kit::job(vec![kit::step(5, 1)]));
    assert_eq!(again, Admission::Known);
    cell.settle();
    assert_eq!(cell.starts(), 1);
}

#[test]
fn states_follow_the_tasks() {
    let mut cell = Cell::with_cores(1, 1);
    cell.run(1, &kit::queue(1), vec![kit::step(1, 1)]);
    cell.run(2, &kit::queue(1), vec![kit::step(1, 1)]);
    assert_eq!(cell.state(1), Some(JobState::Running));
    assert_eq!(cell.state(2), Some(JobState::Queued));
    assert_eq!(cell.scheduler.pending("queue-1"), 1);
    cell.end(kit::task(1, 0, 0), figscale_types::fleet::End::Done);
    assert_eq!(cell.state(1), Some(JobState::Completed));
    assert_eq!(cell.state(2), Some(JobState::Running));
    assert_eq!(cell.state(3), None);
}

#[test]
fn a_cancelled_job_stops_and_stays_cancelled() {
    let mut cell = Cell::new(2);
    cell.run(1, &kit::queue(1), vec![kit::step(4, 1)]);
    assert_eq!(
        cell.scheduler.cancel(kit::job_id(1), cell.now),
        Some(JobState::Cancelled)
    );
    cell.settle();
    assert_eq!(cell.stops.len(), 4);
    assert_eq!(cell.state(1), Some(JobState::Cancelled));
    cell.take_over(2);
    cell.settle();
    assert_eq!(cell.state(1), Some(JobState::Cancelled));
}

#[test]
fn a_completed_job_is_not_cancelled() {
    let mut cell = Cell::new(1);
    cell.run(1, &kit::queue(1), vec![kit::step(1, 1)]);
    cell.end(kit::task(1, 0, 0), figscale_types::fleet::End::Done);
    assert_eq!(
        cell.scheduler.cancel(kit::job_id(1), cell.now),
        Some(JobState::Completed)
    );
}

#[test]
fn what_cannot_be_done_in_time_is_refused_with_a_time_to_return() {
    let mut cell = Cell::with_cores(1, 8);
    for number in 0..20 {
        let admission = cell.submit(number, &kit::queue(1), kit::job(vec![kit::step(8, 8)]));
        if let Admission::Refused { retry_after, .. } = admission {
            assert!(number > 0, "an empty cell refused");
            assert!(retry_after >= kit::ms(1_000));
            assert_eq!(cell.state(number), None);
            return;
        }
    }
    panic!("twenty times what fits was taken");
}

#[test]
fn an_outcome_is_forgotten_after_its_time() {
    let mut cell = Cell::new(1);
    cell.run(1, &kit::queue(1), vec![kit::step(1, 1)]);
    cell.end(kit::task(1, 0, 0), figscale_types::fleet::End::Done);
    cell.pass(140_000);
    assert_eq!(cell.state(1), Some(JobState::Completed));
    cell.pass(15_000);
    assert_eq!(cell.state(1), None);
    assert!(
        !cell
            .store
            .contains_key(&figscale_core::fleet::RecordKey::Job(kit::job_id(1)))
    );
}

#[rstest]
#[case::no_steps(vec![], "0 steps")]
#[case::no_tasks(vec![kit::step(0, 1)], "no tasks")]
#[case::waits_for_itself(vec![after(0)], "not before it")]
#[case::waits_for_none(vec![kit::step(1, 1), after(4)], "not before it")]
#[case::too_many_steps(vec![kit::step(1, 1); 65], "65 steps")]
#[case::too_many_tasks(vec![kit::step(u32::MAX, 1)], "4294967295 tasks")]
#[case::fills(vec![StepDescription { filler: true, ..kit::step(1, 1) }], "not supported")]
fn a_wrong_job_is_told_why(#[case] steps: Vec<StepDescription>, #[case] why: &str) {
    let fault = fault_of(&kit::job(steps)).unwrap();
    assert!(fault.contains(why), "{fault}");
}

#[test]
fn a_job_that_repeats_for_ever_is_refused() {
    let repeated = figscale_types::fleet::JobDescription {
        occurrences: u32::MAX,
        ..kit::job(vec![kit::step(1, 1)])
    };
    assert!(fault_of(&repeated).is_some());
    assert!(fault_of(&kit::job(vec![kit::step(60, 1), after(0)])).is_none());
}

fn after(step: u32) -> StepDescription {
    StepDescription {
        after: vec![step],
        ..kit::step(1, 1)
    }
}
