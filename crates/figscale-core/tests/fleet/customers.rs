//! Limits of customers: what counts against a limit, which jobs are held back,
//! changes of limits, changes of leaders.

use figscale_core::fleet::Admission;
use figscale_types::fleet;
use figscale_types::fleet::End;
use figscale_types::fleet::JobState;
use figscale_types::fleet::StartOutcome;

use crate::helpers;
use crate::helpers::TestCluster;

fn name(text: &str) -> fleet::CustomerName {
    text.parse().unwrap()
}

/// Customers with limits in cores; 0 stands for no limit.
fn customers(limits: &[(&str, u64)]) -> fleet::Customers {
    let mut customers = fleet::Customers::default();
    for (customer, cores) in limits {
        let cpu_millis = if *cores == 0 { u64::MAX } else { cores * 1_000 };
        let terms = fleet::CustomerTerms {
            weight_millis: 1_000,
            limit: fleet::Room {
                cpu_millis,
                memory_mb: u64::MAX,
                accelerators: u64::MAX,
            },
        };
        customers.add(name(customer), terms, []).unwrap();
    }
    customers
}

/// A test cluster with these limits of customers.
fn cluster(workers: usize, limits: &[(&str, u64)]) -> TestCluster {
    let mut cluster = TestCluster::new(workers);
    cluster.scheduler.set_customers(Some(&customers(limits)));
    cluster
}

fn submit(
    cluster: &mut TestCluster,
    customer: &str,
    number: u64,
    queue: &fleet::Queue,
    step: fleet::StepDescription,
) -> Admission {
    let description = helpers::job(vec![step]);
    let (id, now, wall_ms) = (helpers::job_id(number), cluster.now, cluster.wall_ms);
    let customer = Some(name(customer));
    cluster
        .scheduler
        .submit_for(customer, id, queue, description, now, wall_ms)
}

fn run(cluster: &mut TestCluster, customer: &str, number: u64, step: fleet::StepDescription) {
    let taken = submit(cluster, customer, number, &helpers::queue(1), step);
    assert_eq!(taken, Admission::Accepted);
    cluster.settle();
}

fn running(cluster: &TestCluster, job: u64) -> usize {
    let runs = cluster
        .workers
        .values()
        .flat_map(|worker| worker.running.keys());
    runs.filter(|(task, _)| task.job == helpers::job_id(job))
        .count()
}

#[test]
fn a_customer_runs_no_more_than_its_limit() {
    let mut cluster = cluster(4, &[("a", 10)]);
    run(&mut cluster, "a", 1, helpers::step(8, 2));
    run(&mut cluster, "a", 2, helpers::step(8, 2));
    assert_eq!((running(&cluster, 1), running(&cluster, 2)), (5, 0));
    cluster.end(helpers::task(1, 0, 0), End::Done);
    assert_eq!(running(&cluster, 1), 5);
    run(&mut cluster, "b", 3, helpers::step(8, 2));
    assert_eq!(
        running(&cluster, 3),
        8,
        "a customer without an entry has no limit"
    );
}

/// Guards against capacity that is used again while a run being stopped there
/// still runs.
#[test]
fn runs_being_stopped_count_against_the_limit_until_they_end() {
    let mut cluster = cluster(2, &[("a", 4)]);
    run(&mut cluster, "a", 1, helpers::step(4, 1));
    for worker in cluster.workers.values_mut() {
        worker.stops_at_once = false;
    }
    cluster.scheduler.cancel(helpers::job_id(1), cluster.now);
    run(&mut cluster, "a", 2, helpers::step(4, 1));
    assert_eq!(running(&cluster, 2), 0);
    for index in 0..4 {
        cluster.end(helpers::task(1, 0, index), End::Stopped);
    }
    assert_eq!(running(&cluster, 2), 4);
}

/// Guards against unanswered orders that are executed late, beside what was
/// started in their place.
#[test]
fn an_unanswered_order_counts_against_the_limit() {
    let mut cluster = cluster(1, &[("a", 4)]);
    cluster.worker(0).start_outcome = Some(StartOutcome::Unknown);
    run(&mut cluster, "a", 1, helpers::step(4, 1));
    cluster.worker(0).start_outcome = None;
    run(&mut cluster, "a", 2, helpers::step(4, 1));
    assert_eq!(cluster.starts(), 4);
    cluster.advance(2_000);
    assert_eq!(running(&cluster, 1) + running(&cluster, 2), 4);
}

/// Guards against a limit that is lowered while its customer uses far more:
/// nothing more starts, and nothing that runs is stopped for it.
#[test]
fn a_lowered_limit_starts_nothing_and_stops_nothing() {
    let mut cluster = cluster(2, &[("a", 20)]);
    run(&mut cluster, "a", 1, helpers::step(40, 1));
    assert_eq!(running(&cluster, 1), 20);
    cluster
        .scheduler
        .set_customers(Some(&customers(&[("a", 3)])));
    cluster.advance(1_000);
    assert_eq!((running(&cluster, 1), cluster.stops.len()), (20, 0));
    for index in 0..18 {
        cluster.end(helpers::task(1, 0, index), End::Done);
    }
    assert_eq!(running(&cluster, 1), 3);
}

/// Guards against a gang that waits for its customer's limit and meanwhile
/// keeps workers reserved, or occupies advice channels.
#[test]
fn a_gang_held_by_a_limit_does_not_block_others() {
    let mut cluster = cluster(2, &[("a", 64), ("b", 0)]);
    run(
        &mut cluster,
        "a",
        1,
        helpers::with_estimate(helpers::step(40, 1), 20_000),
    );
    let lenient_queue = fleet::Queue {
        target_latency_ms: 60_000,
        ..helpers::advised_queue(1)
    };
    let taken = submit(&mut cluster, "a", 2, &lenient_queue, helpers::gang(40, 1));
    assert_eq!(taken, Admission::Accepted);
    cluster.settle();
    assert!(
        cluster.queries.is_empty(),
        "queried for a gang that may not start"
    );
    run(
        &mut cluster,
        "b",
        3,
        helpers::with_estimate(helpers::step(88, 1), 20_000),
    );
    assert_eq!(
        running(&cluster, 3),
        88,
        "workers are reserved for a gang that may not start"
    );
}

#[test]
fn a_gang_that_never_fits_its_limit_is_refused_at_once() {
    let mut cluster = cluster(2, &[("a", 8)]);
    let answer = submit(
        &mut cluster,
        "a",
        1,
        &helpers::queue(1),
        helpers::gang(9, 1),
    );
    assert_eq!(answer, Admission::TooLarge);
    let answer = submit(
        &mut cluster,
        "a",
        2,
        &helpers::queue(1),
        helpers::gang(8, 1),
    );
    assert_eq!(answer, Admission::Accepted);
}

/// Guards against a task that never starts because it alone exceeds the limit.
#[test]
fn a_task_over_the_limit_runs_alone() {
    let mut cluster = cluster(2, &[("a", 2)]);
    run(&mut cluster, "a", 1, helpers::step(2, 5));
    assert_eq!(running(&cluster, 1), 1);
    cluster.end(helpers::task(1, 0, 0), End::Done);
    assert_eq!(running(&cluster, 1), 1);
}

/// Guards against a leader that starts tasks without limits because it has read
/// no configuration, or none that is proven to be in force.
#[test]
fn nothing_starts_for_customers_with_unknown_limits() {
    let mut cluster = TestCluster::new(1);
    run(&mut cluster, "a", 1, helpers::step(1, 1));
    cluster.run(2, &helpers::queue(1), vec![helpers::step(1, 1)]);
    assert_eq!((running(&cluster, 1), running(&cluster, 2)), (0, 1));
    cluster
        .scheduler
        .set_customers(Some(&customers(&[("a", 1)])));
    cluster.settle();
    assert_eq!(running(&cluster, 1), 1);
    cluster.scheduler.forget_customers();
    run(&mut cluster, "b", 3, helpers::step(1, 1));
    assert_eq!(running(&cluster, 3), 0);
}

/// Guards against a new leader that starts the full limit again while a worker
/// that it cannot reach still runs tasks of the customer.
#[test]
fn a_new_leader_counts_runs_on_unresponsive_workers() {
    let limits = [("a", 6), ("b", 100)];
    let mut cluster = cluster(3, &limits);
    run(
        &mut cluster,
        "a",
        1,
        helpers::with_estimate(helpers::step(6, 1), 20_000),
    );
    let host_worker = cluster.placed(helpers::task(1, 0, 0))[0].0.clone();
    let unreachable_runs = cluster.workers[&host_worker].running.len();
    cluster.workers[&host_worker].reachable = false;
    cluster.take_over(2);
    cluster.scheduler.set_customers(Some(&customers(&limits)));
    cluster.settle();
    run(&mut cluster, "a", 2, helpers::step(6, 1));
    assert_eq!(
        running(&cluster, 2),
        0,
        "{unreachable_runs} of 6 run on the unreachable worker"
    );
    run(&mut cluster, "b", 3, helpers::step(40, 1));
    assert_eq!(
        running(&cluster, 3),
        40,
        "little of b can run on the unreachable worker"
    );
    // The worker's lease expires, and what ran there ends with it.
    cluster.advance(4_600);
    cluster.workers[&host_worker].running.clear();
    cluster.advance(2_000);
    assert_eq!(running(&cluster, 1) + running(&cluster, 2), 6);
}

/// Guards against a leader that does not count the tasks of a cancelled job that
/// still run on a worker it cannot reach.
#[test]
fn a_new_leader_counts_what_a_cancelled_job_left_running() {
    let limits = [("a", 4)];
    let mut cluster = cluster(1, &limits);
    run(
        &mut cluster,
        "a",
        1,
        helpers::with_estimate(helpers::step(4, 1), 20_000),
    );
    cluster.worker(0).reachable = false;
    cluster.scheduler.cancel(helpers::job_id(1), cluster.now);
    cluster.settle();
    assert_eq!(
        running(&cluster, 1),
        4,
        "the stop order does not reach the worker"
    );
    cluster.add_worker(1, 64);
    cluster.take_over(2);
    cluster.scheduler.set_customers(Some(&customers(&limits)));
    cluster.settle();
    run(&mut cluster, "a", 2, helpers::step(4, 1));
    assert_eq!(running(&cluster, 2), 0);
}

/// Guards against a job that another customer's key can read, cancel or submit
/// again.
#[test]
fn a_job_is_not_accessible_to_other_customers() {
    let mut cluster = cluster(1, &[("a", 4), ("b", 4)]);
    run(&mut cluster, "a", 1, helpers::step(1, 1));
    for term in [2, 3] {
        let (a, b) = (name("a"), name("b"));
        assert!(cluster.scheduler.is_open_to(helpers::job_id(1), Some(&a)));
        assert!(!cluster.scheduler.is_open_to(helpers::job_id(1), Some(&b)));
        assert!(!cluster.scheduler.is_open_to(helpers::job_id(1), None));
        let answer = submit(
            &mut cluster,
            "b",
            1,
            &helpers::queue(1),
            helpers::step(1, 1),
        );
        assert_eq!(answer, Admission::IdTaken);
        let answer = submit(
            &mut cluster,
            "a",
            1,
            &helpers::queue(1),
            helpers::step(1, 1),
        );
        assert_eq!(answer, Admission::Known);
        if term == 2 {
            cluster.end(helpers::task(1, 0, 0), End::Done);
            assert_eq!(cluster.state(1), Some(JobState::Completed));
        }
        cluster.take_over(term);
        cluster.settle();
    }
}

/// Guards against a customer that sends many times its usual load and makes the
/// others late: its jobs came first, and are as urgent as theirs.
#[test]
fn a_customer_over_its_share_does_not_delay_the_others() {
    let mut cluster = cluster(2, &[("hot", 0), ("quiet", 0)]);
    for number in 1..=3 {
        run(&mut cluster, "hot", number, helpers::step(64, 1));
    }
    assert_eq!(
        (
            running(&cluster, 1),
            running(&cluster, 2),
            running(&cluster, 3)
        ),
        (64, 64, 0)
    );
    run(&mut cluster, "quiet", 4, helpers::step(8, 1));
    for index in 0..8 {
        cluster.end(helpers::task(1, 0, index), End::Done);
    }
    assert_eq!((running(&cluster, 3), running(&cluster, 4)), (0, 8));
}
