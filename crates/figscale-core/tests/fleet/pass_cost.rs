//! Cost of a placement pass beside a backlog of gangs.
//!
//! Guards against passes that become slow with the number of waiting gangs. On
//! a day with a long backlog of gangs, quick jobs earned less than their floor
//! although they had capacity and advice channels of their own. Beside 10 to 20
//! waiting gangs the leader planned 300 times a second and accepted a new job
//! in 20 ms; beside 75 to 90 it planned 50 times a second and took 150 ms, and
//! ends were seen 0.2 s later. A quick job has 0.6 s to spare.
//!
//! It came about after a peak of gangs, when all advice channels for long
//! queries are busy. Each pass computed a reservation and a query for every
//! waiting gang, over all workers, although only three gangs may reserve
//! workers and no channel can take a query. The time of a pass followed the
//! number of gangs, with nothing else waiting, and the number of workers
//! scanned. The test counts the scanned workers, since of two timed passes one
//! may run while the machine is busier.

use std::mem;

use figscale_core::fleet::Admission;
use figscale_core::fleet::AdviceQuery;
use figscale_types::fleet;

use crate::helpers;
use crate::helpers::TestCluster;

const WORKERS: usize = 350;
const CORES: u64 = 64;
const MEMBERS: usize = 35;
const FEW_GANGS: u64 = 30;
const MANY_GANGS: u64 = 150;
/// Rounds of responses before the service stops responding: some gangs then
/// know enough good workers, others wait for their first query.
const ANSWERED_ROUNDS: usize = 3;
/// Beside five times the gangs, a pass may scan at most this many times as many
/// workers.
const MAX_GROWTH: f64 = 2.0;

fn gangs() -> fleet::Queue {
    fleet::Queue {
        stretch: 2.2,
        target_latency_ms: 1_000,
        advice: Some(fleet::AdvicePolicy {
            base_ms: 559.0,
            per_worker_ms: 8.06,
            valid_ms: 2_000,
        }),
        ..helpers::queue(1)
    }
}

/// A full fleet with `gangs_waiting` gangs that wait and all channels for long
/// queries busy.
fn full_fleet(gangs_waiting: u64) -> TestCluster {
    let mut cluster = TestCluster::with_cores(WORKERS, CORES);
    cluster.join_entries(1..=MEMBERS);
    let fill = fleet::StepDescription {
        estimate_ms: 30_000,
        ..helpers::step(WORKERS as u32 * 8, 8)
    };
    cluster.run(0, &helpers::queue(2), vec![fill]);
    assert_eq!(cluster.starts(), WORKERS * 8);
    for number in 1..=gangs_waiting {
        let gang = fleet::StepDescription {
            estimate_ms: 5_000,
            ..helpers::gang(20, 18)
        };
        let answer = cluster.submit(number, &gangs(), helpers::job(vec![gang]));
        assert_eq!(answer, Admission::Accepted);
    }
    for _ in 0..ANSWERED_ROUNDS {
        cluster.settle();
        for query in mem::take(&mut cluster.queries) {
            respond_to(&mut cluster, &query);
        }
    }
    cluster.settle();
    cluster
}

/// Responds that one worker in three may run a gang.
fn respond_to(cluster: &mut TestCluster, query: &AdviceQuery) {
    let job = query.task.job.0;
    let tickets = helpers::tickets(query, |worker| (worker as u64 + job).is_multiple_of(3));
    cluster
        .scheduler
        .advice_answered(query, Some(tickets), cluster.now);
}

/// Number of workers scanned by a pass that finds nothing to do.
fn workers_scanned_by_a_pass(cluster: &mut TestCluster) -> usize {
    cluster.scheduler.plan(cluster.now);
    assert!(cluster.scheduler.take_actions().is_empty());
    cluster.scheduler.counts(cluster.now).pass_scans
}

/// A pass that can start and query nothing costs little, however many gangs
/// wait.
#[test]
fn a_backlog_of_gangs_does_not_slow_placement_passes() {
    let few = workers_scanned_by_a_pass(&mut full_fleet(FEW_GANGS));
    let many = workers_scanned_by_a_pass(&mut full_fleet(MANY_GANGS));
    let growth = many as f64 / few as f64;
    println!(
        "a pass beside {FEW_GANGS} gangs scans {few} workers, beside {MANY_GANGS} gangs {many}"
    );
    assert!(
        growth < MAX_GROWTH,
        "{growth:.1} times as many workers scanned"
    );
}

/// Guards against a query that examines the whole fleet: with 6,000 workers and 85
/// new jobs a second the leader compared half a million workers a second, for
/// queries that name thirty.
#[test]
fn queries_of_short_jobs_examine_few_workers() {
    const FLEET: usize = 2_000;
    const JOBS: u64 = 40;
    let mut cluster = TestCluster::with_cores(FLEET, CORES);
    cluster.join_entries(1..=MEMBERS);
    for number in 1..=JOBS {
        let job = helpers::job(vec![helpers::step(4, 14)]);
        let answer = cluster.submit(number, &helpers::advised_queue(0), job);
        assert_eq!(answer, Admission::Accepted);
    }
    while cluster.scheduler.has_records() {
        cluster.write();
    }
    cluster.scheduler.plan(cluster.now);
    let scans = cluster.scheduler.counts(cluster.now).pass_scans;
    cluster.execute_actions();
    assert!(
        cluster.queries.len() >= MEMBERS,
        "{}",
        cluster.queries.len()
    );
    assert!(
        scans < 5 * FLEET,
        "{scans} scans for {} queries",
        cluster.queries.len()
    );
}

/// Guards against gangs that examine the whole fleet for each query because all the
/// workers with most room are in queries of other gangs.
#[test]
fn queries_of_gangs_examine_few_workers_of_a_large_fleet() {
    const LARGE_FLEET: usize = 6_000;
    const INSTANCES: usize = 200;
    const SCANS_PER_QUERY: usize = 400;
    let mut cluster = TestCluster::with_cores(LARGE_FLEET, CORES);
    cluster.join_entries(1..=INSTANCES);
    for number in 1..=400 {
        let gang = fleet::StepDescription {
            max_per_worker: Some(3),
            ..helpers::gang(39, 14)
        };
        let answer = cluster.submit(number, &gangs(), helpers::job(vec![gang]));
        assert_eq!(answer, Admission::Accepted);
    }
    while cluster.scheduler.has_records() {
        cluster.write();
    }
    cluster.scheduler.plan(cluster.now);
    let scans = cluster.scheduler.counts(cluster.now).pass_scans;
    let most = 2 * LARGE_FLEET + INSTANCES * SCANS_PER_QUERY;
    assert!(scans <= most, "{scans} workers examined, {most} allowed");
}
