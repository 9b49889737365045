//! What is written, and what hangs on it.

use figscale_core::fleet::RecordKey;
use figscale_types::fleet;

use crate::kit;
use crate::kit::Cell;

#[test]
fn a_job_left_out_of_a_transaction_is_neither_stored_nor_refused() {
    let mut cell = Cell::new(1);
    for number in 1..=20 {
        cell.submit(number, &kit::queue(1), kit::job(vec![kit::step(1, 0)]));
    }
    let records = cell.scheduler.take_records(12);
    cell.keep(&records.records);
    cell.scheduler.records_written(&records);
    let stored = |number: &u64| cell.scheduler.is_stored(kit::job_id(*number));
    let written = (1..=20).filter(stored).count();
    assert!(
        written > 0 && written < 20,
        "{written} of 20 in a transaction of 12 records"
    );
    let kept = |number: &u64| {
        cell.store
            .contains_key(&RecordKey::Job(kit::job_id(*number)))
    };
    for number in 1..=20 {
        assert_eq!(stored(&number), kept(&number), "job {number}");
        assert!(cell.scheduler.state(kit::job_id(number)).is_some());
    }
}

#[test]
fn a_job_whose_write_failed_never_runs() {
    let mut cell = Cell::new(1);
    cell.submit(1, &kit::queue(1), kit::job(vec![kit::step(1, 1)]));
    let records = cell.scheduler.take_records(kit::MOST_RECORDS);
    cell.scheduler.records_not_written(&records);
    cell.settle();
    assert_eq!(cell.state(1), None);
    assert_eq!(cell.starts(), 0);
    assert!(!cell.store.contains_key(&RecordKey::Job(kit::job_id(1))));
}

#[test]
fn ends_are_acknowledged_after_their_write_only() {
    let mut cell = Cell::new(1);
    cell.run(1, &kit::queue(1), vec![kit::step(2, 1)]);
    let id = kit::worker_id(0);
    let (_, attempt) = cell.placed(kit::task(1, 0, 0))[0].clone();
    cell.worker(0)
        .end(kit::task(1, 0, 0), attempt, fleet::End::Done);
    cell.report(&id);
    let acknowledged = |cell: &mut Cell| cell.scheduler.report_due(&id).unwrap().acknowledged;
    assert_eq!(acknowledged(&mut cell), 0);
    let records = cell.scheduler.take_records(kit::MOST_RECORDS);
    assert_eq!(acknowledged(&mut cell), 0);
    cell.scheduler.records_not_written(&records);
    assert_eq!(acknowledged(&mut cell), 0);
    cell.write();
    assert_eq!(acknowledged(&mut cell), 1);
}

/// Several writes are on their way at once and end out of order: an end is
/// acknowledged when the records of all jobs before it are in the store.
#[test]
fn ends_are_acknowledged_after_every_earlier_write() {
    let mut cell = Cell::new(1);
    for number in 1..=2 {
        cell.run(number, &kit::queue(1), vec![kit::step(2, 0)]);
    }
    let id = kit::worker_id(0);
    let acknowledged = |cell: &mut Cell| cell.scheduler.report_due(&id).unwrap().acknowledged;
    let end = |cell: &mut Cell, number: u64| {
        let task = kit::task(number, 0, 0);
        let (_, attempt) = cell.placed(task)[0].clone();
        cell.worker(0).end(task, attempt, fleet::End::Done);
        cell.report(&kit::worker_id(0));
        cell.scheduler.take_records(kit::MOST_RECORDS)
    };
    let first = end(&mut cell, 1);
    let second = end(&mut cell, 2);
    cell.scheduler.records_written(&second);
    assert_eq!(acknowledged(&mut cell), 0);
    cell.scheduler.records_not_written(&first);
    assert_eq!(acknowledged(&mut cell), 0);
    cell.write();
    assert_eq!(acknowledged(&mut cell), 2);
}

/// A job is in one write at a time, so that an older record never comes after
/// a newer one.
#[test]
fn a_job_is_in_one_write_at_a_time() {
    let mut cell = Cell::new(1);
    cell.submit(1, &kit::queue(1), kit::job(vec![kit::step(1, 0)]));
    let created = cell.scheduler.take_records(kit::MOST_RECORDS);
    let now = cell.now;
    cell.scheduler.cancel(kit::job_id(1), now);
    assert!(cell.scheduler.is_being_written(kit::job_id(1)));
    let next = cell.scheduler.take_records(kit::MOST_RECORDS);
    assert!(next.records.is_empty(), "{next:?}");
    cell.scheduler.records_written(&created);
    assert!(cell.scheduler.is_unsaved(kit::job_id(1)));
    let next = cell.scheduler.take_records(kit::MOST_RECORDS);
    assert_eq!(next.records.len(), 1);
    cell.scheduler.records_written(&next);
    assert!(!cell.scheduler.is_unsaved(kit::job_id(1)));
}

#[test]
fn ends_beyond_a_full_transaction_are_not_acknowledged() {
    let mut cell = Cell::new(1);
    for number in 1..=20 {
        cell.run(number, &kit::queue(1), vec![kit::step(2, 0)]);
    }
    for number in 1..=20 {
        let (_, attempt) = cell.placed(kit::task(number, 0, 0))[0].clone();
        cell.worker(0)
            .end(kit::task(number, 0, 0), attempt, fleet::End::Done);
    }
    cell.report_all();
    let records = cell.scheduler.take_records(10);
    cell.scheduler.records_written(&records);
    let due = cell.scheduler.report_due(&kit::worker_id(0)).unwrap();
    assert_eq!(due.acknowledged, 0);
}

#[test]
fn a_worker_is_recorded_before_it_gets_work() {
    let mut cell = Cell::new(0);
    cell.run(1, &kit::queue(1), vec![kit::step(1, 1)]);
    cell.add_worker(0, 64);
    cell.report_all();
    cell.scheduler.plan(cell.now);
    cell.carry_out();
    assert_eq!(cell.starts(), 0);
    cell.settle();
    assert_eq!(cell.starts(), 1);
    assert!(cell.store.contains_key(&RecordKey::Workers));
}

/// A burst brings more new jobs than the store takes. An end that stays out of
/// the store is lost with its worker, and its task runs again under the next
/// leader.
#[test]
fn ends_are_written_beside_a_flood_of_new_jobs() {
    let mut cell = Cell::new(1);
    cell.run(1, &kit::queue(1), vec![kit::step(2, 1)]);
    let task = kit::task(1, 0, 0);
    let (id, attempt) = cell.placed(task)[0].clone();
    let mut number = 1;
    let mut flood = |cell: &mut Cell| {
        for _ in 0..2 * kit::MOST_RECORDS {
            number += 1;
            cell.submit(number, &kit::queue(0), kit::job(vec![kit::step(1, 1)]));
        }
    };
    flood(&mut cell);
    cell.worker(0).end(task, attempt, fleet::End::Done);
    cell.report(&id);
    for _ in 0..3 {
        flood(&mut cell);
        cell.write();
    }
    assert!(
        cell.store
            .contains_key(&RecordKey::Progress(kit::job_id(1))),
        "the end waits for new jobs"
    );
    assert_eq!(cell.scheduler.report_due(&id).unwrap().acknowledged, 1);
}

/// Nothing of a new job can have run, so no end's effect is in its record.
#[test]
fn ends_do_not_wait_for_the_records_of_new_jobs() {
    let mut cell = Cell::new(1);
    cell.run(1, &kit::queue(1), vec![kit::step(2, 1)]);
    let task = kit::task(1, 0, 0);
    let (id, attempt) = cell.placed(task)[0].clone();
    cell.submit(2, &kit::queue(0), kit::job(vec![kit::step(1, 1)]));
    let slow = cell.scheduler.take_records(kit::MOST_RECORDS);
    assert_eq!(slow.records.len(), 1);
    cell.worker(0).end(task, attempt, fleet::End::Done);
    cell.report(&id);
    cell.write();
    assert_eq!(cell.scheduler.report_due(&id).unwrap().acknowledged, 1);
}

/// What a worker told can be told again, but not once it has left.
#[test]
fn ends_of_workers_that_leave_are_written_first() {
    let mut cell = Cell::new(2);
    for number in 1..=20 {
        cell.run(number, &kit::queue(1), vec![kit::step(2, 3)]);
    }
    let last = kit::task(20, 0, 0);
    let (leaving, _) = cell.placed(last)[0].clone();
    for number in 1..=20 {
        let task = kit::task(number, 0, 0);
        let (id, attempt) = cell.placed(task)[0].clone();
        if number == 20 || id != leaving {
            cell.workers[&id].end(task, attempt, fleet::End::Done);
            cell.report(&id);
        }
    }
    let mut entry = cell.workers[&leaving].entry.clone();
    entry.draining = true;
    cell.scheduler.worker_listed(entry);
    let records = cell.scheduler.take_records(6);
    let written = |number| {
        let key = RecordKey::Progress(kit::job_id(number));
        records.records.iter().any(|record| record.key == key)
    };
    assert!(written(20), "{:?}", records.records);
    assert!(!written(19), "the transaction is not full");
}
