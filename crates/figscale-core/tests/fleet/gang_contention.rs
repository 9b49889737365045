//! Many gangs that query the advisory service at the same time.

use figscale_types::fleet;

use crate::helpers;
use crate::helpers::Random;
use crate::helpers::TestCluster;
use crate::slow_advisory::SlowAdvisory;

const WORKERS: usize = 350;
/// Members of a gang that one worker holds.
const MEMBERS_PER_WORKER: u32 = 3;
/// Time for which a gang may wait while less than half of the fleet is in use: a
/// query about 30 workers and 3 s.
const MAX_WAIT_MS: u64 = 3_850;

/// About one worker in three is approved, others for each step.
fn is_good(task: fleet::TaskId, worker: usize) -> bool {
    let mut random = Random(task.job.0 * 1_000 + worker as u64);
    random.next();
    random.next() < 0.35
}

fn queue() -> fleet::Queue {
    fleet::Queue {
        advice: Some(fleet::AdvicePolicy {
            base_ms: 559.0,
            per_worker_ms: 8.06,
            valid_ms: 2_000,
        }),
        ..helpers::queue(1)
    }
}

/// A gang of 2 to 60 members, small ones more often.
fn random_gang(random: &mut Random) -> fleet::StepDescription {
    let count = 2 + (random.next() * random.next() * 58.0) as u32;
    fleet::StepDescription {
        max_per_worker: Some(MEMBERS_PER_WORKER),
        ..helpers::with_estimate(helpers::gang(count, 13), 20_000)
    }
}

/// Gangs that queried the same workers took them from each other, and waited beside
/// a fleet that was mostly idle.
#[test]
fn gangs_submitted_together_do_not_wait_beside_a_mostly_idle_fleet() {
    for seed in 1..=6 {
        let mut cluster = TestCluster::with_cores(WORKERS, 64);
        cluster.join_entries(1..=33);
        let mut sim = SlowAdvisory::by_step(cluster, is_good);
        let mut random = Random(seed);
        let mut members = 0;
        for number in 1..=60 {
            let gang = random_gang(&mut random);
            members += gang.count as usize;
            sim.cluster.run(number, &queue(), vec![gang]);
        }
        sim.simulate(MAX_WAIT_MS);
        let running: usize = (1..=60).map(|number| sim.runs(number)).sum();
        let half = WORKERS * MEMBERS_PER_WORKER as usize / 2;
        assert!(
            running >= half.min(members),
            "seed {seed}: {running} of {members} members run, half of the fleet is {half}"
        );
    }
}
