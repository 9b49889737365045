//! Steps of which each worker may run only a part, and so has free resources that
//! are of no use to them.
//!
//! Guards against tasks of a long-running step that wait for good beside workers
//! that could run them: queries named those workers over and over that ran as many
//! tasks of the step as they may, since they were known to be approved and had
//! resources left.

use figscale_types::fleet;
use rstest::rstest;

use crate::helpers;
use crate::helpers::TestCluster;
use crate::slow_advisory::SlowAdvisory;

const WORKERS: usize = 350;
const CORES: u64 = 16;
const MEMBERS: usize = 17;
const JOB: u64 = 1;
/// A long-running task runs again within this time of its last run.
const MAX_GAP_MS: u64 = 6_000;
/// A query names thirty workers and takes less than a second.
const START_MS: u64 = 2_000 * (WORKERS as u64 / 30);

/// Seven workers of 20 are approved.
fn is_good(number: usize) -> bool {
    number % 20 < 7
}

fn queue() -> fleet::Queue {
    fleet::Queue {
        advice: Some(fleet::AdvicePolicy {
            base_ms: 585.0,
            per_worker_ms: 8.45,
            valid_ms: 2_500,
        }),
        ..helpers::queue(1)
    }
}

/// A long-running step with at most one task on a worker.
fn spread_step(count: u32) -> fleet::StepDescription {
    fleet::StepDescription {
        long_running: true,
        max_per_worker: Some(1),
        ..helpers::step(count, 2)
    }
}

fn submitted(count: u32) -> SlowAdvisory<'static> {
    let mut cluster = TestCluster::with_cores(WORKERS, CORES);
    cluster.join_entries(1..=MEMBERS);
    let mut sim = SlowAdvisory::new(cluster, &is_good);
    sim.cluster.run(JOB, &queue(), vec![spread_step(count)]);
    sim
}

fn assert_none_waits(sim: &SlowAdvisory<'_>, count: u32) {
    let waits = |index: &u32| {
        let task = helpers::task(JOB, 0, *index);
        sim.cluster.placed(task).is_empty()
    };
    let waiting: Vec<u32> = (0..count).filter(waits).collect();
    assert!(
        waiting.is_empty(),
        "waiting: {waiting:?} of {count}, after {} queries",
        sim.queries
    );
}

/// Queries named only workers that ran a task of the step already.
#[rstest]
#[case(80)]
#[case(95)]
#[case(100)]
#[case(120)]
fn all_tasks_of_a_spread_long_running_step_start(#[case] count: u32) {
    let mut sim = submitted(count);
    sim.simulate(START_MS);
    assert_none_waits(&sim, count);
}

/// Tasks of a spread step whose workers crashed, or which failed, waited while
/// queries named the workers that run the others.
#[rstest]
fn lost_tasks_of_a_spread_long_running_step_run_again(
    #[values(40, 80, 110)] count: u32,
    #[values(1, 4)] lost: u32,
    #[values(false, true)] crashes: bool,
) {
    let mut sim = submitted(count);
    sim.simulate(2 * START_MS);
    assert_none_waits(&sim, count);
    for index in 0..lost {
        let task = helpers::task(JOB, 0, index * (count / lost));
        match crashes {
            true => {
                let host = sim.cluster.host_worker(task).unwrap();
                sim.cluster.crash(&host);
                sim.cluster.replace(&host, CORES);
            }
            false => sim.cluster.end(task, fleet::End::Failed),
        }
    }
    sim.simulate(MAX_GAP_MS);
    assert_none_waits(&sim, count);
}

/// A new leader knows none of the approved workers.
#[rstest]
fn lost_tasks_of_a_spread_long_running_step_run_again_under_a_new_leader(
    #[values(40, 80, 110, 120)] count: u32,
    #[values(1, 4)] lost: u32,
) {
    let mut sim = submitted(count);
    sim.simulate(2 * START_MS);
    assert_none_waits(&sim, count);
    sim.pending_queries.clear();
    sim.cluster.take_over(2);
    sim.cluster.join_entries(1..=MEMBERS);
    sim.simulate(MAX_GAP_MS);
    for index in 0..lost {
        let task = helpers::task(JOB, 0, index * (count / lost));
        let host = sim.cluster.host_worker(task).unwrap();
        sim.cluster.crash(&host);
        sim.cluster.replace(&host, CORES);
    }
    sim.simulate(MAX_GAP_MS);
    assert_none_waits(&sim, count);
}
