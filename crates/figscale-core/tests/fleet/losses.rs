//! Calls of workers that get lost, and workers that fall silent.
//!
//! The pattern: for some seconds one order in thirty gets no answer, the calls
//! that wait for ends among them. Packing has put the tasks of many quick jobs
//! on one worker, so one lost call hides the ends of many jobs. Measured on whole
//! days with such spells, five seeds, shorter waits and no new work for
//! workers whose calls are overdue took the worth of the day from 0.892 to 0.911
//! where the spell met a peak of quick jobs, and from 0.766 to 0.772 where an
//! outage weighs more.

use std::time;

use figscale_core::fleet::Losses;

use crate::kit;
use crate::kit::Cell;

#[test]
fn waits_are_short_while_answers_get_lost() {
    let now = time::Instant::now();
    let mut losses = Losses::default();
    let usual = losses.report_wait(now);
    losses.note(now);
    assert!(losses.report_wait(now + kit::ms(1_000)) * 3 < usual);
    losses.note(now + kit::ms(2_000));
    assert!(losses.report_wait(now + kit::ms(4_000)) < usual);
    assert_eq!(losses.report_wait(now + kit::ms(6_000)), usual);
}

#[test]
fn a_worker_with_an_overdue_call_gets_nothing_new_until_it_is_heard() {
    let mut cell = Cell::new(2);
    cell.scheduler.worker_doubted(&kit::worker_id(0), cell.now);
    let queue = kit::queue(0);
    assert_eq!(
        cell.submit(1, &queue, kit::job(vec![kit::step(4, 1)])),
        figscale_core::fleet::Admission::Accepted
    );
    while cell.scheduler.has_records() {
        cell.write();
    }
    cell.scheduler.plan(cell.now);
    cell.carry_out();
    assert!(cell.worker(0).running.is_empty());
    assert_eq!(cell.worker(1).running.len(), 4);

    cell.report_all();
    cell.worker(1).reachable = false;
    cell.scheduler.worker_doubted(&kit::worker_id(1), cell.now);
    cell.run(2, &queue, vec![kit::step(4, 1)]);
    assert_eq!(cell.worker(0).running.len(), 4);
}
