//! Gangs and other work that start although runs exceed their estimates,
//! queries take long, advice channels are busy or submissions are old.

use figscale_types::fleet;
use rstest::rstest;

use crate::helpers;
use crate::helpers::TestCluster;
use crate::slow_advisory::STEP_MS;
use crate::slow_advisory::SlowAdvisory;

/// How long a step may wait beside free capacity.
const MAX_IDLE_MS: u64 = 3_000;

fn advised_queue(priority: u32, base_ms: f64, per_worker_ms: f64, valid_ms: u64) -> fleet::Queue {
    fleet::Queue {
        advice: Some(fleet::AdvicePolicy {
            base_ms,
            per_worker_ms,
            valid_ms,
        }),
        ..helpers::queue(priority)
    }
}

/// Starts one run on each of `count` workers, and lets it exceed its estimate.
fn start_overrunning(cluster: &mut TestCluster, count: u32, cores: u64) {
    let step = fleet::StepDescription {
        max_per_worker: Some(1),
        ..helpers::step(count, cores)
    };
    cluster.run(1_000, &helpers::queue(1), vec![step]);
    cluster.advance(2_000);
}

/// Guards against a gang that waits for the good workers it knows, which run
/// something past its estimate, while the workers it has not queried are idle.
#[test]
fn a_gang_queries_more_workers_while_known_ones_stay_busy() {
    let mut cluster = TestCluster::with_cores(40, 10);
    start_overrunning(&mut cluster, 40, 8);
    let good = |number| !(2..30).contains(&number);
    let mut sim = SlowAdvisory::new(cluster, &good);
    sim.cluster.run(
        1,
        &advised_queue(1, 200.0, 1.0, 2_500),
        vec![helpers::gang(2, 8)],
    );
    sim.simulate(600);
    for number in 30..40 {
        let keys: Vec<_> = sim.cluster.worker(number).running.keys().copied().collect();
        for (task, attempt) in keys {
            sim.cluster
                .worker(number)
                .end(task, attempt, fleet::End::Done);
        }
    }
    sim.simulate(10_000);
    assert_eq!(sim.runs(1), 2, "after {} queries", sim.queries);
}

/// Guards against a gang that is broken and never starts again beside an idle fleet:
/// the workers that it knows to be good would hold it when empty, but run other
/// tasks for long or for good.
#[rstest]
fn a_broken_gang_queries_idle_workers_while_known_ones_are_taken(
    #[values(true, false)] long_running: bool,
) {
    let good = |_| true;
    let mut sim = SlowAdvisory::new(TestCluster::with_cores(10, 10), &good);
    sim.cluster.run(
        1,
        &advised_queue(1, 200.0, 1.0, 2_500),
        vec![helpers::with_estimate(helpers::gang(2, 8), 60_000)],
    );
    sim.simulate(1_000);
    assert_eq!(sim.runs(1), 2);
    let other = fleet::StepDescription {
        long_running,
        max_per_worker: Some(1),
        estimate_ms: 60_000,
        ..helpers::step(8, 8)
    };
    sim.cluster.run(1_000, &helpers::queue(1), vec![other]);
    sim.simulate(6_000);
    assert_eq!(sim.runs(1_000), 8);
    for number in 10..40 {
        sim.cluster.add_worker(number, 10);
    }
    for index in 0..2 {
        let host = sim.cluster.placed(helpers::task(1, 0, index)).pop();
        if let Some((host, _)) = host {
            sim.cluster.crash(&host);
            sim.cluster.replace(&host, 10);
        }
    }
    sim.simulate(MAX_IDLE_MS);
    assert_eq!(sim.runs(1), 2, "after {} queries", sim.queries);
}

/// Guards against a gang on an idle fleet that never starts because it needs
/// more workers than three queries name.
#[test]
fn a_gang_wider_than_three_queries_starts() {
    let mut never = Vec::new();
    for count in [30, 50, 61, 75, 90] {
        let good = |number| number % 5 < 2;
        let mut sim = SlowAdvisory::new(TestCluster::with_cores(250, 40), &good);
        sim.cluster.join_entries(2..=18);
        let step = helpers::with_estimate(helpers::gang(count, 27), 5_000);
        sim.cluster
            .run(1, &advised_queue(1, 559.0, 8.06, 2_000), vec![step]);
        sim.simulate(30_000);
        if sim.runs(1) == 0 {
            never.push((count, sim.queries));
        }
    }
    assert_eq!(
        never,
        [],
        "gangs that never started, with the queries about each"
    );
}

/// Guards against gangs that reserve all the rest of a fleet of which less than
/// half is in use, although they have no capacity until runs end that are past
/// their estimates.
#[test]
fn gangs_that_cannot_start_do_not_reserve_the_whole_fleet() {
    let mut cluster = TestCluster::with_cores(16, 10);
    start_overrunning(&mut cluster, 16, 4);
    let good = |_| true;
    let mut sim = SlowAdvisory::new(cluster, &good);
    sim.cluster.join_entries(2..=12);
    let queue = advised_queue(1, 200.0, 1.0, 2_500);
    for number in 1..=8 {
        let gang = helpers::with_estimate(helpers::gang(2, 8), 5_000);
        sim.cluster.run(number, &queue, vec![gang]);
    }
    sim.simulate(2_000);
    let small = helpers::with_estimate(helpers::step(1, 2), 3_000);
    let lenient_queue = fleet::Queue {
        target_latency_ms: 10_000,
        ..helpers::queue(2)
    };
    sim.cluster.run(9, &lenient_queue, vec![small]);
    sim.simulate(5_000);
    assert_eq!(sim.runs(9), 1);
}

/// Whether job 500 starts within 40 s beside jobs 1 and 2, of one step each,
/// which end in turn while there is always one more such job that can still be
/// in time.
fn starts_beside_a_stream(cluster: &mut TestCluster, single: &fleet::StepDescription) -> bool {
    let mut running = [(1, 20_u32), (2, 10)];
    let mut next = 3;
    for _ in 0..400 {
        cluster.advance(100);
        if !cluster.placed(helpers::task(500, 0, 0)).is_empty() {
            return true;
        }
        for slot in &mut running {
            slot.1 -= 1;
            if slot.1 == 0 {
                cluster.submit(next, &helpers::queue(1), helpers::job(vec![single.clone()]));
                while cluster.scheduler.has_records() {
                    cluster.write();
                }
                cluster.end(helpers::task(slot.0, 0, 0), fleet::End::Done);
                *slot = (next, 20);
                next += 1;
                if cluster.placed(helpers::task(slot.0, 0, 0)).is_empty() {
                    *slot = (slot.0, u32::MAX);
                }
            }
        }
    }
    false
}

/// Two workers are occupied by long-running tasks, two by work that ends.
#[test]
fn a_gang_does_not_wait_for_long_running_tasks() {
    let mut cluster = TestCluster::with_cores(4, 10);
    let forever = fleet::StepDescription {
        long_running: true,
        max_per_worker: Some(1),
        ..helpers::step(2, 8)
    };
    cluster.run(1_000, &helpers::queue(1), vec![forever]);
    let single = helpers::with_estimate(helpers::step(1, 8), 2_000);
    cluster.run(1, &helpers::queue(1), vec![single.clone()]);
    cluster.run(2, &helpers::queue(1), vec![single.clone()]);
    cluster.run(500, &helpers::queue(1), vec![helpers::gang(2, 8)]);
    assert!(starts_beside_a_stream(&mut cluster, &single));
}

/// Guards against a gang that is too large for the fleet, was submitted first,
/// and keeps a smaller gang from its reservation.
#[test]
fn an_infeasible_gang_does_not_block_another_gang() {
    let mut cluster = TestCluster::with_cores(2, 10);
    let single = helpers::with_estimate(helpers::step(1, 8), 2_000);
    cluster.run(1, &helpers::queue(1), vec![single.clone()]);
    cluster.run(2, &helpers::queue(1), vec![single.clone()]);
    cluster.run(400, &helpers::queue(1), vec![helpers::gang(3, 8)]);
    cluster.advance(100);
    cluster.run(500, &helpers::queue(1), vec![helpers::gang(2, 8)]);
    assert!(starts_beside_a_stream(&mut cluster, &single));
}

/// Less urgent small work keeps the only advice channel busy.
#[test]
fn a_gang_is_queried_before_less_urgent_work() {
    let mut cluster = TestCluster::with_cores(3, 10);
    start_overrunning(&mut cluster, 3, 7);
    let good = |_| true;
    let mut sim = SlowAdvisory::new(cluster, &good);
    let small = helpers::with_estimate(helpers::step(1, 1), 200);
    let gang = helpers::with_estimate(helpers::gang(2, 8), 5_000);
    let long = fleet::Queue {
        target_latency_ms: 60_000,
        ..advised_queue(2, 30.0, 1.0, 2_500)
    };
    sim.cluster
        .submit(2, &long, helpers::job(vec![small.clone()]));
    sim.cluster.submit(
        1,
        &advised_queue(1, 30.0, 1.0, 2_500),
        helpers::job(vec![gang]),
    );
    for number in 3..203 {
        sim.cluster
            .submit(number, &long, helpers::job(vec![small.clone()]));
    }
    let mut asked_at = None;
    for at in 0..100 {
        sim.simulate(STEP_MS);
        sim.end_small(4 * STEP_MS);
        let asked = sim
            .pending_queries
            .iter()
            .any(|(_, q)| q.task.job == helpers::job_id(1));
        asked_at = asked_at.or(asked.then_some(at * STEP_MS));
    }
    assert!(
        asked_at.is_some_and(|at| at <= 1_000),
        "first queried at {asked_at:?}"
    );
}

/// The response to a query of an instance that has left arrives late.
#[test]
fn a_late_response_does_not_end_the_next_query() {
    let mut cluster = TestCluster::new(4);
    for member in ["entry-2", "entry-3"] {
        cluster.scheduler.member_joined(&member.parse().unwrap());
    }
    cluster.run(1, &helpers::advised_queue(1), vec![helpers::step(1, 1)]);
    let first = cluster.queries.remove(0);
    cluster.scheduler.member_left(&first.member);
    cluster.settle();
    assert_eq!(cluster.queries.len(), 1);
    cluster.scheduler.advice_answered(&first, None, cluster.now);
    cluster.advance(300);
    assert_eq!(
        cluster.queries.len(),
        1,
        "two queries for a step at the same time"
    );
}

/// Guards against a long-running task that is ranked by its submission: it was
/// submitted long ago, but has ended just now.
#[test]
fn a_long_running_task_restarts_before_late_work_of_lower_priority() {
    let mut cluster = TestCluster::with_cores(1, 10);
    let forever = fleet::StepDescription {
        long_running: true,
        ..helpers::step(1, 8)
    };
    cluster.run(1, &helpers::queue(1), vec![forever]);
    cluster.advance(60_000);
    cluster.run(2, &helpers::queue(2), vec![helpers::step(1, 8)]);
    cluster.advance(4_000);
    cluster.end(helpers::task(1, 0, 0), fleet::End::Failed);
    assert_eq!(cluster.placed(helpers::task(1, 0, 0)).len(), 1);
}

/// The lateness of an occurrence counts from its due time, not from the
/// submission.
#[test]
fn a_due_occurrence_starts_before_late_work_of_lower_priority() {
    let mut cluster = TestCluster::with_cores(1, 10);
    let repeated = fleet::JobDescription {
        occurrences: 3,
        interval_ms: 30_000,
        first_due_ms: cluster.wall_ms,
        ..helpers::job(vec![helpers::step(1, 8)])
    };
    let answer = cluster.submit(1, &helpers::queue(1), repeated);
    assert_eq!(answer, figscale_core::fleet::Admission::Accepted);
    let occurrence = |occurrence| fleet::TaskId {
        occurrence,
        ..helpers::task(1, 0, 0)
    };
    cluster.advance(1_000);
    cluster.end(occurrence(0), fleet::End::Done);
    cluster.run(2, &helpers::queue(1), vec![helpers::step(1, 8)]);
    cluster.advance(25_000);
    cluster.run(3, &helpers::queue(2), vec![helpers::step(1, 8)]);
    cluster.advance(5_000);
    cluster.end(helpers::task(2, 0, 0), fleet::End::Done);
    assert_eq!(cluster.placed(occurrence(1)).len(), 1);
}

/// Guards against a gang that keeps workers for ever from other gangs, since tasks
/// that last are expected to end.
#[test]
fn a_gang_without_room_beside_tasks_that_last_reserves_no_workers() {
    let mut cluster = TestCluster::with_cores(4, 8);
    let lasting = fleet::StepDescription {
        long_running: true,
        ..helpers::step(1, 1)
    };
    cluster.run(1, &helpers::queue(1), vec![lasting]);
    let queue = helpers::advised_queue(1);
    let respond_for = |cluster: &mut TestCluster, time_ms: u64| {
        for _ in 0..time_ms / 100 {
            while !cluster.queries.is_empty() {
                cluster.respond(|_| true);
            }
            cluster.advance(100);
        }
    };
    cluster.run(2, &queue, vec![helpers::gang(4, 8)]);
    respond_for(&mut cluster, 10_000);
    assert_eq!(cluster.host_worker(helpers::task(2, 0, 0)), None);
    cluster.run(3, &queue, vec![helpers::gang(2, 8)]);
    respond_for(&mut cluster, 10_000);
    assert!(
        cluster.host_worker(helpers::task(3, 0, 0)).is_some(),
        "waits for a gang that cannot start"
    );
}

/// Guards against a gang that does not query for workers which are reserved for
/// another gang, although it ends long before that can start.
#[test]
fn a_gang_queries_for_workers_that_are_reserved_for_later() {
    let mut cluster = TestCluster::with_cores(4, 8);
    let long = helpers::with_estimate(helpers::step(1, 1), 60_000);
    cluster.run(1, &helpers::queue(1), vec![long]);
    let queue = helpers::advised_queue(1);
    let respond_for = |cluster: &mut TestCluster, time_ms: u64| {
        for _ in 0..time_ms / 100 {
            while !cluster.queries.is_empty() {
                cluster.respond(|_| true);
            }
            cluster.advance(100);
        }
    };
    cluster.run(2, &queue, vec![helpers::gang(4, 8)]);
    respond_for(&mut cluster, 10_000);
    assert_eq!(cluster.host_worker(helpers::task(2, 0, 0)), None);
    cluster.run(3, &queue, vec![helpers::gang(2, 8)]);
    respond_for(&mut cluster, 5_000);
    assert!(
        cluster.host_worker(helpers::task(3, 0, 0)).is_some(),
        "waits although it would end before the other gang starts"
    );
}
