//! Workers with more ended runs than a report lists.

use figscale_types::fleet;
use figscale_types::fleet::End;
use figscale_types::fleet::JobState;

use crate::helpers;
use crate::helpers::TestCluster;

const MAX_ENDS_LISTED: usize = 3;
const TASKS: u32 = 8;

/// A worker with more ended runs than it lists, none of them acknowledged since the
/// store is unavailable.
fn cluster_with_unlisted_ends() -> TestCluster {
    let mut cluster = TestCluster::new(1);
    cluster.worker(0).max_ends_listed = MAX_ENDS_LISTED;
    let step = helpers::with_estimate(helpers::step(TASKS, 1), 60_000);
    cluster.run(1, &helpers::queue(1), vec![step]);
    assert_eq!(cluster.starts(), TASKS as usize);
    cluster.store_available = false;
    let attempts = cluster.attempts_at(0);
    for (index, attempt) in (0..TASKS).zip(attempts) {
        let task = helpers::task(1, 0, index);
        cluster.worker(0).end(task, attempt, End::Done);
    }
    cluster
}

/// The ends that are not in the store are listed again, and become known.
fn assert_completes_without_another_start(cluster: &mut TestCluster) {
    cluster.store_available = true;
    cluster.advance(2_000);
    assert_eq!(cluster.starts(), TASKS as usize);
    assert_eq!(cluster.state(1), Some(JobState::Completed));
}

/// Guards against runs that count as missing because their ends are beyond the limit
/// of a list.
#[test]
fn ends_beyond_a_truncated_list_are_not_started_again() {
    let mut cluster = cluster_with_unlisted_ends();
    cluster.advance(5_000);
    assert_eq!(cluster.starts(), TASKS as usize);
    assert_completes_without_another_start(&mut cluster);
}

/// Guards against a new leader that takes a truncated list for the account of an
/// earlier term, or gives up waiting for the rest while the worker responds.
#[test]
fn a_new_leader_waits_for_the_rest_of_a_truncated_list() {
    let mut cluster = cluster_with_unlisted_ends();
    cluster.take_over(2);
    cluster.advance(12_000);
    assert_eq!(cluster.starts(), TASKS as usize);
    assert_completes_without_another_start(&mut cluster);
}

/// Guards against tasks that wait for ever for a worker that stops responding after
/// a truncated list: its runs are over with its lease.
#[test]
fn a_new_leader_stops_waiting_when_the_lease_is_over() {
    let mut cluster = cluster_with_unlisted_ends();
    cluster.take_over(2);
    cluster.advance(1_000);
    cluster.worker(0).reachable = false;
    cluster.store_available = true;
    cluster.add_worker(1, 64);
    cluster.advance(12_000);
    let again = cluster.attempts_at(1).len();
    assert_eq!(again, TASKS as usize - MAX_ENDS_LISTED);
}

/// Guards against a leader that forgets a worker, or leaves it out of the record for
/// the next leader, while ends on it are not listed yet.
#[test]
fn a_leaving_worker_with_unlisted_ends_is_not_forgotten() {
    let mut cluster = cluster_with_unlisted_ends();
    cluster.take_over(2);
    cluster.worker(0).entry.draining = true;
    let entry = cluster.worker(0).entry.clone();
    cluster.scheduler.worker_listed(entry, cluster.now);
    let id = helpers::worker_id(0);
    cluster.report(&id);
    // The ends that the list had are acknowledged; the others are not known yet.
    while cluster.scheduler.has_records() {
        cluster.write();
    }
    cluster.scheduler.worker_unlisted(&id, cluster.now);
    assert!(cluster.scheduler.knows_worker(&id));
    cluster.take_over(3);
    assert_completes_without_another_start(&mut cluster);
}

/// Guards against a wait for an earlier incarnation that ends although late orders to
/// it may be among the ends that the next one has not listed.
#[test]
fn a_truncated_list_does_not_end_the_wait_for_an_earlier_incarnation() {
    let mut cluster = TestCluster::new(1);
    let first = cluster.restart(&helpers::worker_id(0));
    cluster.settle();
    let step = helpers::with_estimate(helpers::step(1, 1), 60_000);
    cluster.run(1, &helpers::queue(1), vec![step]);
    let order = cluster.workers[&first].orders[0].clone();
    let second = cluster.restart(&first);
    cluster.start_late(&second, &order);
    let worker = cluster.workers.get_mut(&second).unwrap();
    worker.end(order.task, order.attempt, End::Done);
    worker.max_ends_listed = 0;
    cluster.take_over(2);
    cluster.advance(1_000);
    assert!(cluster.workers[&second].orders.is_empty());
    let worker = cluster.workers.get_mut(&second).unwrap();
    worker.max_ends_listed = usize::MAX;
    cluster.advance(1_000);
    assert_eq!(cluster.state(1), Some(JobState::Completed));
    assert!(cluster.workers[&second].orders.is_empty());
}

/// Guards against a job that waits for ever for runs without effect on a worker whose
/// list is full: it empties once its ends are acknowledged.
#[test]
fn a_lost_order_is_repeated_once_the_list_is_complete() {
    let mut cluster = cluster_with_unlisted_ends();
    cluster.store_available = true;
    cluster.worker(0).start_outcome = Some(fleet::StartOutcome::Unknown);
    cluster.run(2, &helpers::queue(1), vec![helpers::step(1, 1)]);
    cluster.worker(0).start_outcome = None;
    cluster.advance(4_000);
    assert_eq!(cluster.placed(helpers::task(2, 0, 0)).len(), 1);
}
