//! Workers that fail tasks, hang, become unresponsive or return as a new
//! incarnation.

use figscale_core::fleet::LogEntry;
use figscale_types::fleet;
use figscale_types::fleet::End;
use figscale_types::fleet::StartOutcome;
use figscale_types::fleet::StartRefusal;
use rstest::rstest;

use crate::helpers;
use crate::helpers::TestCluster;

/// How long a task may wait beside free resources.
const MAX_WAIT_MS: u64 = 6_000;

#[test]
fn an_unanswered_start_reserves_its_capacity_until_it_expires() {
    let mut cluster = TestCluster::with_cores(1, 10);
    cluster.worker(0).start_outcome = Some(StartOutcome::Unknown);
    cluster.run(1, &helpers::queue(1), vec![helpers::step(1, 8)]);
    cluster.worker(0).start_outcome = None;
    cluster.advance(1_300);
    assert_eq!(cluster.starts(), 1);
    cluster.advance(500);
    assert_eq!(cluster.starts(), 2);
    assert_eq!(cluster.worker(0).orders[1].attempt, 2);
}

#[test]
fn an_unanswered_start_that_ran_is_found() {
    let mut cluster = TestCluster::new(1);
    cluster.worker(0).start_outcome = Some(StartOutcome::Unknown);
    cluster.run(1, &helpers::queue(1), vec![helpers::step(1, 8)]);
    let order = cluster.worker(0).orders[0].clone();
    cluster.worker(0).start_run(&order);
    cluster.advance(4_000);
    assert_eq!(cluster.starts(), 1);
    cluster.end(helpers::task(1, 0, 0), End::Done);
    assert_eq!(cluster.state(1), Some(fleet::JobState::Completed));
}

#[test]
fn tasks_of_an_unresponsive_worker_restart_only_after_its_lease() {
    let mut cluster = TestCluster::new(2);
    cluster.run(1, &helpers::queue(1), vec![helpers::step(1, 1)]);
    let (host_worker, _) = cluster.placed(helpers::task(1, 0, 0))[0].clone();
    cluster.workers.get_mut(&host_worker).unwrap().reachable = false;
    cluster.advance(4_400);
    assert_eq!(
        cluster.starts(),
        1,
        "started while its first run may still be running"
    );
    cluster.advance(1_000);
    assert_eq!(cluster.starts(), 2);
}

#[test]
fn a_new_incarnation_proves_that_nothing_runs() {
    let mut cluster = TestCluster::new(2);
    cluster.run(1, &helpers::queue(1), vec![helpers::step(1, 1)]);
    let (host_worker, _) = cluster.placed(helpers::task(1, 0, 0))[0].clone();
    cluster.workers.get_mut(&host_worker).unwrap().reachable = false;
    cluster
        .workers
        .get_mut(&host_worker)
        .unwrap()
        .running
        .clear();
    cluster.scheduler.worker_replaced(&host_worker, cluster.now);
    cluster.settle();
    assert_eq!(cluster.starts(), 2);
    assert_ne!(cluster.placed(helpers::task(1, 0, 0))[0].0, host_worker);
}

#[test]
fn a_worker_that_fails_every_task_is_ejected() {
    let mut cluster = TestCluster::new(2);
    for number in 1..=3 {
        cluster.run(number, &helpers::queue(1), vec![helpers::step(1, 1)]);
    }
    let (host_worker, _) = cluster.placed(helpers::task(1, 0, 0))[0].clone();
    for number in 1..=3 {
        let task = helpers::task(number, 0, 0);
        if cluster.placed(task)[0].0 == host_worker {
            let (_, attempt) = cluster.placed(task)[0].clone();
            cluster.workers[&host_worker].end(task, attempt, End::Failed);
        }
    }
    cluster.settle();
    let ejected = |log_entry: &LogEntry| matches!(log_entry, LogEntry::WorkerEjected { worker, .. } if *worker == host_worker);
    assert!(cluster.log_entries.iter().any(ejected));
    assert!(cluster.workers[&host_worker].running.is_empty());
    cluster.advance(3_100);
    cluster.run(10, &helpers::queue(1), vec![helpers::step(100, 1)]);
    assert_eq!(
        cluster.workers[&host_worker].running.len(),
        1,
        "tested with one task at a time"
    );
}

/// Ejects worker 0 by the failures of three jobs.
fn eject_first_worker(cluster: &mut TestCluster) {
    for number in 1..=3 {
        cluster.run(number, &helpers::queue(1), vec![helpers::step(1, 1)]);
        let task = helpers::task(number, 0, 0);
        assert_eq!(cluster.host_worker(task), Some(helpers::worker_id(0)));
        cluster.end(task, End::Failed);
        cluster
            .scheduler
            .cancel(helpers::job_id(number), cluster.now);
        cluster.settle();
    }
}

/// Guards against a worker that gets no work for good after its ejection: the one
/// run beside which nothing else was tried there was of a long-running step, and such
/// a run never ends with success.
#[rstest]
fn an_ejected_worker_is_tried_beside_long_running_tasks(#[values(false, true)] before: bool) {
    let long_running = fleet::StepDescription {
        long_running: true,
        ..helpers::step(1, 1)
    };
    let mut cluster = TestCluster::new(1);
    if before {
        cluster.run(10, &helpers::queue(1), vec![long_running.clone()]);
    }
    eject_first_worker(&mut cluster);
    cluster.advance(3_100);
    if !before {
        cluster.run(10, &helpers::queue(1), vec![long_running]);
    }
    assert_eq!(cluster.placed(helpers::task(10, 0, 0)).len(), 1);
    cluster.run(11, &helpers::queue(1), vec![helpers::step(1, 1)]);
    cluster.advance(MAX_WAIT_MS);
    assert_eq!(cluster.placed(helpers::task(11, 0, 0)).len(), 1);
}

#[test]
fn failures_of_one_job_do_not_eject_a_worker() {
    let mut cluster = TestCluster::new(1);
    let queue = fleet::Queue {
        max_attempts: 10,
        ..helpers::queue(1)
    };
    cluster.run(1, &queue, vec![helpers::step(1, 1)]);
    for _ in 0..6 {
        cluster.end(helpers::task(1, 0, 0), End::Failed);
    }
    assert!(
        !cluster
            .log_entries
            .iter()
            .any(|log_entry| matches!(log_entry, LogEntry::WorkerEjected { .. }))
    );
}

#[test]
fn a_stalled_task_is_moved() {
    let mut cluster = TestCluster::new(2);
    cluster.run(1, &helpers::queue(1), vec![helpers::step(1, 1)]);
    let (host_worker, attempt) = cluster.placed(helpers::task(1, 0, 0))[0].clone();
    let key = (helpers::task(1, 0, 0), attempt);
    cluster.workers[&host_worker]
        .running
        .get_mut(&key)
        .unwrap()
        .used_cpu_millis = Some(0);
    cluster.advance(1_000);
    assert_eq!(cluster.starts(), 1);
    cluster.advance(1_500);
    assert_eq!(cluster.starts(), 2);
    assert_ne!(cluster.placed(helpers::task(1, 0, 0))[0].0, host_worker);
}

#[test]
fn a_leader_steps_down_on_a_later_epoch() {
    let mut cluster = TestCluster::new(1);
    cluster.worker(0).start_outcome = Some(StartOutcome::Refused(StartRefusal::StaleEpoch));
    cluster.run(1, &helpers::queue(1), vec![helpers::step(1, 1)]);
    assert!(cluster.stepped_down);
}

#[test]
fn a_stop_is_repeated_until_the_run_has_ended() {
    let mut cluster = TestCluster::new(1);
    cluster.run(1, &helpers::queue(1), vec![helpers::step(1, 1)]);
    cluster.worker(0).reachable = false;
    cluster.scheduler.cancel(helpers::job_id(1), cluster.now);
    cluster.settle();
    cluster.advance(1_600);
    assert!(cluster.stops.len() >= 3, "{} stops", cluster.stops.len());
    cluster.worker(0).reachable = true;
    cluster.advance(1_000);
    assert!(cluster.placed(helpers::task(1, 0, 0)).is_empty());
}

#[test]
fn a_worker_whose_entry_lapsed_is_used_while_it_responds() {
    let mut cluster = TestCluster::new(1);
    cluster.run(1, &helpers::queue(1), vec![helpers::step(1, 1)]);
    cluster
        .scheduler
        .worker_unlisted(&helpers::worker_id(0), cluster.now);
    cluster.run(2, &helpers::queue(1), vec![helpers::step(1, 1)]);
    assert_eq!(cluster.starts(), 2);
    cluster.advance(2_600);
    cluster.run(3, &helpers::queue(1), vec![helpers::step(1, 1)]);
    assert_eq!(cluster.starts(), 2);
}

/// Guards against a worker that stays on probation, and takes no second task, for as
/// long as the task there lasts.
#[test]
fn a_task_that_lasts_proves_its_worker() {
    let mut cluster = TestCluster::new(1);
    for number in 1..=3 {
        cluster.run(number, &helpers::queue(1), vec![helpers::step(1, 1)]);
        cluster.end(helpers::task(number, 0, 0), End::Failed);
    }
    let ejected = |log_entry: &LogEntry| matches!(log_entry, LogEntry::WorkerEjected { .. });
    assert!(cluster.log_entries.iter().any(ejected));
    for number in 1..=3 {
        cluster
            .scheduler
            .cancel(helpers::job_id(number), cluster.now);
    }
    let lasting = fleet::StepDescription {
        long_running: true,
        ..helpers::step(2, 1)
    };
    cluster.run(10, &helpers::queue(1), vec![lasting]);
    cluster.advance(20_000);
    assert_eq!(cluster.worker(0).running.len(), 2);
}
