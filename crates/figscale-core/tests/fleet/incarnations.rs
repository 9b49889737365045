//! Workers that restart under their names, and reports that cannot be read whole.

use std::time;

use figscale_core::fleet::Config;
use figscale_types::fleet;

use crate::helpers;
use crate::helpers::TestCluster;

/// A cluster of one worker, which has a birth.
fn one_worker() -> (TestCluster, fleet::WorkerId) {
    let mut cluster = TestCluster::new(1);
    let born = cluster.restart(&helpers::worker_id(0));
    cluster.settle();
    (cluster, born)
}

/// Guards against ends that are taken for known because the earlier incarnation
/// had reported as many.
#[test]
fn ends_of_a_new_incarnation_count() {
    let (mut cluster, old) = one_worker();
    cluster.run(1, &helpers::queue(1), vec![helpers::step(4, 1)]);
    for index in 0..4 {
        cluster.end(helpers::task(1, 0, index), fleet::End::Done);
    }
    assert_eq!(cluster.state(1), Some(fleet::JobState::Completed));
    let new = cluster.restart(&old);
    cluster.settle();
    cluster.run(2, &helpers::queue(1), vec![helpers::step(1, 1)]);
    assert_eq!(cluster.host_worker(helpers::task(2, 0, 0)), Some(new));
    cluster.end(helpers::task(2, 0, 0), fleet::End::Done);
    assert_eq!(cluster.state(2), Some(fleet::JobState::Completed));
}

/// Guards against waiting for the lease of an incarnation that is certainly gone.
#[test]
fn runs_of_the_earlier_incarnation_are_lost_at_once() {
    let (mut cluster, old) = one_worker();
    let step = helpers::with_estimate(helpers::step(2, 1), 60_000);
    cluster.run(1, &helpers::queue(1), vec![step]);
    cluster.advance(4_000);
    cluster.restart(&old);
    cluster.settle();
    for index in 0..2 {
        let placed = cluster.placed(helpers::task(1, 0, index));
        assert_eq!(placed.len(), 1, "{placed:?}");
        assert_eq!(placed[0].1, 2, "the second attempt");
    }
}

/// Guards against an order that the new incarnation executes although the task
/// was started again elsewhere.
#[test]
fn an_order_without_a_response_has_no_late_effect() {
    let mut cluster = TestCluster::new(2);
    let old: Vec<fleet::WorkerId> = (0..2).map(helpers::worker_id).collect();
    let lives: Vec<fleet::WorkerId> = old.iter().map(|id| cluster.restart(id)).collect();
    cluster.settle();
    for id in &lives {
        let worker = cluster.workers.get_mut(id).unwrap();
        worker.start_outcome = Some(fleet::StartOutcome::Unknown);
    }
    cluster.run(1, &helpers::queue(1), vec![helpers::step(1, 1)]);
    let ordered = |id: &&fleet::WorkerId| !cluster.workers[*id].orders.is_empty();
    let ordered_to = lives.iter().find(ordered).unwrap().clone();
    let order = cluster.workers[&ordered_to].orders[0].clone();
    for id in &lives {
        cluster.workers.get_mut(id).unwrap().start_outcome = None;
    }
    let new = cluster.restart(&ordered_to);
    // The new incarnation does not respond yet, so it may still execute the order.
    cluster.workers.get_mut(&new).unwrap().reachable = false;
    cluster.advance(500);
    assert_eq!(cluster.placed(order.task), Vec::new());
    cluster.workers.get_mut(&new).unwrap().reachable = true;
    cluster.advance(2_000);
    let placed = cluster.placed(order.task);
    assert_eq!(placed.len(), 1, "{placed:?}");
    assert!(placed[0].1 > order.attempt);
    assert!(!cluster.start_late(&new, &order), "executed late");
}

/// Guards against an order that the new incarnation executes before it receives
/// the stop: the run is the task's only one, and ends.
#[test]
fn an_order_that_is_executed_late_does_not_run_twice() {
    let mut cluster = TestCluster::new(1);
    let old = cluster.restart(&helpers::worker_id(0));
    cluster.settle();
    cluster.workers.get_mut(&old).unwrap().start_outcome = Some(fleet::StartOutcome::Unknown);
    cluster.run(1, &helpers::queue(1), vec![helpers::step(1, 1)]);
    let order = cluster.workers[&old].orders[0].clone();
    let new = cluster.restart(&old);
    assert!(cluster.start_late(&new, &order));
    for _ in 0..30 {
        // `host_worker` panics if the task runs twice.
        cluster.host_worker(order.task);
        cluster.advance(100);
    }
    assert!(cluster.host_worker(order.task).is_some());
    assert!(cluster.stops.contains(&(new, order.task, order.attempt)));
}

/// Guards against an abandoned order that a worker executes after its restart.
#[test]
fn an_abandoned_order_is_refused_after_a_restart() {
    let mut cluster = TestCluster::new(1);
    let old = cluster.restart(&helpers::worker_id(0));
    cluster.settle();
    cluster.workers.get_mut(&old).unwrap().start_outcome = Some(fleet::StartOutcome::Unknown);
    cluster.run(1, &helpers::queue(1), vec![helpers::step(1, 1)]);
    let order = cluster.workers[&old].orders[0].clone();
    cluster.crash(&old);
    cluster.scheduler.worker_unlisted(&old, cluster.now);
    cluster.advance(6_000);
    let new = cluster.restart(&old);
    cluster.settle();
    assert!(!cluster.start_late(&new, &order), "executed late");
}

/// Guards against a listing that is behind: the earlier incarnation must not
/// come back.
#[test]
fn an_outdated_entry_is_ignored() {
    let (mut cluster, old) = one_worker();
    let entry = cluster.workers[&old].entry.clone();
    let new = cluster.restart(&old);
    cluster.settle();
    cluster.scheduler.worker_unlisted(&old, cluster.now);
    cluster.scheduler.worker_listed(entry, cluster.now);
    assert!(!cluster.scheduler.knows_worker(&old));
    cluster.run(1, &helpers::queue(1), vec![helpers::step(1, 1)]);
    assert_eq!(cluster.host_worker(helpers::task(1, 0, 0)), Some(new));
}

/// Guards against a leader that waits for the lease of a recorded incarnation
/// whose successor has reported.
#[test]
fn a_new_leader_does_not_wait_for_an_earlier_incarnation() {
    let (mut cluster, old) = one_worker();
    let step = helpers::with_estimate(helpers::step(1, 1), 60_000);
    cluster.run(1, &helpers::queue(1), vec![step]);
    cluster.restart(&old);
    cluster.take_over(2);
    cluster.settle();
    let placed = cluster.placed(helpers::task(1, 0, 0));
    assert_eq!(placed.len(), 1, "waits for {old}");
}

/// Guards against a lease for the earlier incarnation that arrives late: it lasts
/// for as long as the worker accepts, by its new clock.
#[test]
fn the_lease_of_a_new_incarnation_may_be_the_longest() {
    let config = Config {
        max_lease: time::Duration::from_secs(9),
        ..Config::default()
    };
    let mut cluster = TestCluster::with_config(2, 64, config);
    let old = cluster.restart(&helpers::worker_id(0));
    cluster.settle();
    let new = cluster.restart(&old);
    cluster.worker(1).entry.draining = true;
    let entry = cluster.worker(1).entry.clone();
    cluster.scheduler.worker_listed(entry, cluster.now);
    cluster.settle();
    let step = helpers::with_estimate(helpers::step(1, 1), 60_000);
    cluster.run(1, &helpers::queue(1), vec![step]);
    assert_eq!(
        cluster.host_worker(helpers::task(1, 0, 0)),
        Some(new.clone())
    );
    cluster.workers.get_mut(&new).unwrap().reachable = false;
    cluster.worker(1).entry.draining = false;
    let entry = cluster.worker(1).entry.clone();
    cluster.scheduler.worker_listed(entry, cluster.now);
    cluster.advance(8_500);
    assert_eq!(cluster.placed(helpers::task(1, 0, 0)).len(), 1);
    cluster.advance(1_500);
    assert_eq!(cluster.placed(helpers::task(1, 0, 0)).len(), 2);
}

/// Guards against a row that cannot be read: its run must not count as missing.
#[test]
fn a_run_in_an_unreadable_row_is_not_started_again() {
    let mut cluster = TestCluster::new(1);
    let step = helpers::with_estimate(helpers::step(1, 1), 60_000);
    cluster.run(1, &helpers::queue(1), vec![step]);
    let worker = cluster.worker(0);
    let running = std::mem::take(&mut worker.running);
    worker.unreadable_rows = 1;
    cluster.advance(3_000);
    assert_eq!(cluster.starts(), 1);
    let worker = cluster.worker(0);
    worker.running = running;
    worker.unreadable_rows = 0;
    cluster.advance(300);
    cluster.end(helpers::task(1, 0, 0), fleet::End::Done);
    assert_eq!(cluster.state(1), Some(fleet::JobState::Completed));
}

/// Guards against a run that a new leader starts again because it is in a row that
/// cannot be read.
#[test]
fn a_run_in_an_unreadable_row_is_awaited_by_the_next_leader() {
    let mut cluster = TestCluster::new(2);
    let step = helpers::with_estimate(helpers::step(1, 1), 60_000);
    cluster.run(1, &helpers::queue(1), vec![step]);
    let host = cluster.host_worker(helpers::task(1, 0, 0)).unwrap();
    cluster.take_over(2);
    let worker = cluster.workers.get_mut(&host).unwrap();
    let running = std::mem::take(&mut worker.running);
    worker.unreadable_rows = 1;
    cluster.advance(1_000);
    assert_eq!(cluster.starts(), 1);
    let worker = cluster.workers.get_mut(&host).unwrap();
    worker.running = running;
    worker.unreadable_rows = 0;
    cluster.advance(5_000);
    assert_eq!(cluster.starts(), 1);
}

/// Guards against a task that stays ordered for ever to an incarnation that never
/// responds, whether that is still listed or not.
#[test]
fn a_task_ordered_to_an_incarnation_that_never_responds_starts_elsewhere() {
    for stays_listed in [true, false] {
        let mut cluster = TestCluster::new(2);
        let old: Vec<fleet::WorkerId> = (0..2).map(helpers::worker_id).collect();
        let lives: Vec<fleet::WorkerId> = old.iter().map(|id| cluster.restart(id)).collect();
        cluster.settle();
        for id in &lives {
            let worker = cluster.workers.get_mut(id).unwrap();
            worker.start_outcome = Some(fleet::StartOutcome::Unknown);
        }
        cluster.run(1, &helpers::queue(1), vec![helpers::step(1, 1)]);
        let ordered = |id: &&fleet::WorkerId| !cluster.workers[*id].orders.is_empty();
        let ordered_to = lives.iter().find(ordered).unwrap().clone();
        for id in &lives {
            cluster.workers.get_mut(id).unwrap().start_outcome = None;
        }
        let new = cluster.restart(&ordered_to);
        cluster.workers.get_mut(&new).unwrap().reachable = false;
        cluster.advance(1_000);
        if !stays_listed {
            cluster.scheduler.worker_unlisted(&new, cluster.now);
        }
        // An order may take 15 s to arrive, and the longest lease is 10 s.
        cluster.advance(27_000);
        let placed = cluster.placed(helpers::task(1, 0, 0));
        assert_eq!(placed.len(), 1, "stays listed: {stays_listed}, {placed:?}");
        assert_ne!(placed[0].0, new);
    }
}
