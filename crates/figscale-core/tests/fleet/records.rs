//! Records in the store, and what must wait for their writes.

use figscale_core::fleet::RecordKey;
use figscale_types::fleet;

use crate::helpers;
use crate::helpers::TestCluster;

#[test]
fn a_job_left_out_of_a_transaction_is_neither_stored_nor_refused() {
    let mut cluster = TestCluster::new(1);
    for number in 1..=20 {
        cluster.submit(
            number,
            &helpers::queue(1),
            helpers::job(vec![helpers::step(1, 0)]),
        );
    }
    let records = cluster.scheduler.take_records(12);
    cluster.apply_records(&records.records);
    cluster.scheduler.records_written(&records, 1);
    let stored = |number: &u64| cluster.scheduler.is_stored(helpers::job_id(*number));
    let written = (1..=20).filter(stored).count();
    assert!(
        written > 0 && written < 20,
        "{written} of 20 in a transaction of 12 records"
    );
    let in_store = |number: &u64| {
        cluster
            .store
            .contains_key(&RecordKey::Job(helpers::job_id(*number)))
    };
    for number in 1..=20 {
        assert_eq!(stored(&number), in_store(&number), "job {number}");
        assert!(cluster.scheduler.state(helpers::job_id(number)).is_some());
    }
}

#[test]
fn a_job_whose_write_failed_never_runs() {
    let mut cluster = TestCluster::new(1);
    cluster.submit(
        1,
        &helpers::queue(1),
        helpers::job(vec![helpers::step(1, 1)]),
    );
    let records = cluster.scheduler.take_records(helpers::MAX_RECORDS);
    cluster.scheduler.records_not_written(&records);
    cluster.settle();
    assert_eq!(cluster.state(1), None);
    assert_eq!(cluster.starts(), 0);
    assert!(
        !cluster
            .store
            .contains_key(&RecordKey::Job(helpers::job_id(1)))
    );
}

#[test]
fn ends_are_not_acknowledged_before_their_write() {
    let mut cluster = TestCluster::new(1);
    cluster.run(1, &helpers::queue(1), vec![helpers::step(2, 1)]);
    let id = helpers::worker_id(0);
    let (_, attempt) = cluster.placed(helpers::task(1, 0, 0))[0].clone();
    cluster
        .worker(0)
        .end(helpers::task(1, 0, 0), attempt, fleet::End::Done);
    cluster.report(&id);
    let acknowledged =
        |cluster: &mut TestCluster| cluster.scheduler.report_due(&id).unwrap().acknowledged;
    assert_eq!(acknowledged(&mut cluster), 0);
    let records = cluster.scheduler.take_records(helpers::MAX_RECORDS);
    assert_eq!(acknowledged(&mut cluster), 0);
    cluster.scheduler.records_not_written(&records);
    assert_eq!(acknowledged(&mut cluster), 0);
    cluster.write();
    assert_eq!(acknowledged(&mut cluster), 1);
}

/// Several writes are in flight at once and complete out of order. An end is
/// acknowledged once the records of all jobs before it are in the store.
#[test]
fn ends_are_acknowledged_after_every_earlier_write() {
    let mut cluster = TestCluster::new(1);
    for number in 1..=2 {
        cluster.run(number, &helpers::queue(1), vec![helpers::step(2, 0)]);
    }
    let id = helpers::worker_id(0);
    let acknowledged =
        |cluster: &mut TestCluster| cluster.scheduler.report_due(&id).unwrap().acknowledged;
    let end = |cluster: &mut TestCluster, number: u64| {
        let task = helpers::task(number, 0, 0);
        let (_, attempt) = cluster.placed(task)[0].clone();
        cluster.worker(0).end(task, attempt, fleet::End::Done);
        cluster.report(&helpers::worker_id(0));
        cluster.scheduler.take_records(helpers::MAX_RECORDS)
    };
    let first = end(&mut cluster, 1);
    let second = end(&mut cluster, 2);
    cluster.scheduler.records_written(&second, 1);
    assert_eq!(acknowledged(&mut cluster), 0);
    cluster.scheduler.records_not_written(&first);
    assert_eq!(acknowledged(&mut cluster), 0);
    cluster.write();
    assert_eq!(acknowledged(&mut cluster), 2);
}

/// A job is in one write at a time, so that an older record never comes after
/// a newer one.
#[test]
fn a_job_is_in_one_write_at_a_time() {
    let mut cluster = TestCluster::new(1);
    cluster.submit(
        1,
        &helpers::queue(1),
        helpers::job(vec![helpers::step(1, 0)]),
    );
    let created = cluster.scheduler.take_records(helpers::MAX_RECORDS);
    let now = cluster.now;
    cluster.scheduler.cancel(helpers::job_id(1), now);
    assert!(cluster.scheduler.is_being_written(helpers::job_id(1)));
    let next = cluster.scheduler.take_records(helpers::MAX_RECORDS);
    assert!(next.records.is_empty(), "{next:?}");
    cluster.scheduler.records_written(&created, 1);
    assert!(cluster.scheduler.is_unsaved(helpers::job_id(1)));
    let next = cluster.scheduler.take_records(helpers::MAX_RECORDS);
    assert_eq!(next.records.len(), 1);
    cluster.scheduler.records_written(&next, 1);
    assert!(!cluster.scheduler.is_unsaved(helpers::job_id(1)));
}

#[test]
fn ends_beyond_a_full_transaction_are_not_acknowledged() {
    let mut cluster = TestCluster::new(1);
    for number in 1..=20 {
        cluster.run(number, &helpers::queue(1), vec![helpers::step(2, 0)]);
    }
    for number in 1..=20 {
        let (_, attempt) = cluster.placed(helpers::task(number, 0, 0))[0].clone();
        cluster
            .worker(0)
            .end(helpers::task(number, 0, 0), attempt, fleet::End::Done);
    }
    cluster.report_all();
    let records = cluster.scheduler.take_records(10);
    cluster.scheduler.records_written(&records, 1);
    let due = cluster
        .scheduler
        .report_due(&helpers::worker_id(0))
        .unwrap();
    assert_eq!(due.acknowledged, 0);
}

#[test]
fn a_worker_is_recorded_before_it_gets_work() {
    let mut cluster = TestCluster::new(0);
    cluster.run(1, &helpers::queue(1), vec![helpers::step(1, 1)]);
    cluster.add_worker(0, 64);
    cluster.report_all();
    cluster.scheduler.plan(cluster.now);
    cluster.execute_actions();
    assert_eq!(cluster.starts(), 0);
    cluster.settle();
    assert_eq!(cluster.starts(), 1);
    assert!(cluster.store.contains_key(&RecordKey::Workers));
}

/// A burst of more new jobs than one write takes must not delay the records of
/// ends. An end that is not in the store is lost with its worker, and its task
/// runs again under the next leader.
#[test]
fn ends_are_written_during_a_burst_of_new_jobs() {
    let mut cluster = TestCluster::new(1);
    cluster.run(1, &helpers::queue(1), vec![helpers::step(2, 1)]);
    let task = helpers::task(1, 0, 0);
    let (id, attempt) = cluster.placed(task)[0].clone();
    let mut number = 1;
    let mut submit_burst = |cluster: &mut TestCluster| {
        for _ in 0..2 * helpers::MAX_RECORDS {
            number += 1;
            cluster.submit(
                number,
                &helpers::queue(0),
                helpers::job(vec![helpers::step(1, 1)]),
            );
        }
    };
    submit_burst(&mut cluster);
    cluster.worker(0).end(task, attempt, fleet::End::Done);
    cluster.report(&id);
    for _ in 0..3 {
        submit_burst(&mut cluster);
        cluster.write();
    }
    assert!(
        cluster
            .store
            .contains_key(&RecordKey::Progress(helpers::job_id(1))),
        "the end is written after the new jobs"
    );
    assert_eq!(cluster.scheduler.report_due(&id).unwrap().acknowledged, 1);
}

/// Nothing of a new job can have run, so its record contains no effect of an
/// end.
#[test]
fn ends_do_not_wait_for_the_records_of_new_jobs() {
    let mut cluster = TestCluster::new(1);
    cluster.run(1, &helpers::queue(1), vec![helpers::step(2, 1)]);
    let task = helpers::task(1, 0, 0);
    let (id, attempt) = cluster.placed(task)[0].clone();
    cluster.submit(
        2,
        &helpers::queue(0),
        helpers::job(vec![helpers::step(1, 1)]),
    );
    let slow = cluster.scheduler.take_records(helpers::MAX_RECORDS);
    assert_eq!(slow.records.len(), 1);
    cluster.worker(0).end(task, attempt, fleet::End::Done);
    cluster.report(&id);
    cluster.write();
    assert_eq!(cluster.scheduler.report_due(&id).unwrap().acknowledged, 1);
}

/// A worker can repeat its report, but not once it has left.
#[test]
fn ends_of_workers_that_leave_are_written_first() {
    let mut cluster = TestCluster::new(2);
    for number in 1..=20 {
        cluster.run(number, &helpers::queue(1), vec![helpers::step(2, 3)]);
    }
    let last = helpers::task(20, 0, 0);
    let (leaving, _) = cluster.placed(last)[0].clone();
    for number in 1..=20 {
        let task = helpers::task(number, 0, 0);
        let (id, attempt) = cluster.placed(task)[0].clone();
        if number == 20 || id != leaving {
            cluster.workers[&id].end(task, attempt, fleet::End::Done);
            cluster.report(&id);
        }
    }
    let mut entry = cluster.workers[&leaving].entry.clone();
    entry.draining = true;
    cluster.scheduler.worker_listed(entry, cluster.now);
    let records = cluster.scheduler.take_records(6);
    let written = |number| {
        let key = RecordKey::Progress(helpers::job_id(number));
        records.records.iter().any(|record| record.key == key)
    };
    assert!(written(20), "{:?}", records.records);
    assert!(!written(19), "the transaction is not full");
}
