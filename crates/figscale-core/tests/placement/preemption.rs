//! Preemption for urgent work, never of work that may not run twice.

use std::time;

use figscale_core::job::placement;
use figscale_core::job::placement::preempt;
use figscale_types::catalogue;
use figscale_types::worker as protocol;
use proptest::prelude::*;

use crate::helpers;

/// A task that uses part of a worker before the urgent task arrives.
#[derive(Clone, Debug)]
struct Filler {
    cpu: u64,
    urgency: catalogue::Urgency,
    interruptibility: placement::Interruptibility,
    ran_s: u64,
}

fn interruptibility(
    idempotent: bool,
    checkpointable: bool,
    preemptible: bool,
) -> placement::Interruptibility {
    placement::Interruptibility {
        idempotent,
        checkpointable,
        preemptible,
    }
}

fn filler(cpu: u64, interruptibility: placement::Interruptibility, ran_s: u64) -> Filler {
    Filler {
        cpu,
        urgency: catalogue::Urgency::BestEffort,
        interruptibility,
        ran_s,
    }
}

/// A cluster on which these tasks run, with the use that they declared.
fn filled_cluster(workers: u32, fillers: &[Filler]) -> placement::Cluster {
    let now = time::Instant::now();
    let mut cluster = helpers::cluster(workers);
    let weights = catalogue::Weights {
        waiting: 1.0,
        packing: 1.0,
    };
    for (index, filler) in fillers.iter().enumerate() {
        let size = helpers::size(filler.cpu, 1, 0);
        let index = u32::try_from(index).expect("few");
        let mut request = helpers::request("fill", index, size, catalogue::Urgency::Interactive);
        request.interruptibility = filler.interruptibility;
        let placed = cluster.place(&request, now, None);
        request.urgency = filler.urgency;
        cluster.describe(request.clone());
        if placed.is_err() {
            continue;
        }
        let allocation = cluster.allocation(&request.task).expect("placed").clone();
        let mut task = helpers::running(&allocation, size);
        task.ran_ms = filler.ran_s * 1_000;
        let worker = cluster.worker(&allocation.worker).expect("known");
        let report = helpers::report(worker, vec![task]);
        cluster.sync(&report, now, now);
    }
    cluster.set_config(placement::Config { weights });
    cluster
}

fn plan(cluster: &mut placement::Cluster, cpu: u64) -> Option<Vec<(u32, protocol::TaskAction)>> {
    let request = helpers::request(
        "urgent",
        0,
        helpers::size(cpu, 1, 0),
        catalogue::Urgency::Interactive,
    );
    let plan = preempt::Planner::default().plan(cluster, &request)?;
    let steps = plan.steps.iter();
    Some(steps.map(|step| (step.task.index, step.action)).collect())
}

#[test]
fn a_checkpoint_is_preferred_to_a_stop() {
    let fillers = [
        filler(32_000, interruptibility(true, false, true), 1),
        filler(32_000, interruptibility(false, true, true), 9_000),
    ];
    let mut cluster = filled_cluster(1, &fillers);
    assert_eq!(
        plan(&mut cluster, 20_000),
        Some(vec![(1, protocol::TaskAction::Checkpoint)])
    );
}

#[test]
fn excess_use_is_throttled_before_any_task_is_stopped() {
    let now = time::Instant::now();
    let mut cluster = filled_cluster(
        1,
        &[filler(30_000, interruptibility(true, false, true), 10)],
    );
    let allocation = cluster
        .allocation(&helpers::task("fill", 0))
        .expect("placed")
        .clone();
    let worker = cluster.worker(&allocation.worker).expect("known");
    let report = helpers::report(
        worker,
        vec![helpers::running(&allocation, helpers::size(60_000, 1, 0))],
    );
    cluster.sync(&report, now, now);
    assert_eq!(
        plan(&mut cluster, 20_000),
        Some(vec![(0, protocol::TaskAction::Throttle)])
    );
}

#[test]
fn the_task_with_the_shortest_run_is_stopped() {
    let fillers = [
        filler(32_000, interruptibility(true, false, true), 500),
        filler(32_000, interruptibility(true, false, true), 5),
    ];
    let mut cluster = filled_cluster(1, &fillers);
    assert_eq!(
        plan(&mut cluster, 32_000),
        Some(vec![(1, protocol::TaskAction::Stop)])
    );
}

#[test]
fn stops_cost_no_more_than_the_weights_allow() {
    let fillers = [filler(64_000, interruptibility(true, false, true), 1_000)];
    assert_eq!(plan(&mut filled_cluster(1, &fillers), 8_000), None);
    let mut waiting = filled_cluster(1, &fillers);
    waiting.set_config(placement::Config {
        weights: catalogue::Weights {
            waiting: 0.9,
            packing: 0.1,
        },
    });
    assert_eq!(
        plan(&mut waiting, 8_000),
        Some(vec![(0, protocol::TaskAction::Stop)])
    );
}

#[test]
fn resources_of_ending_tasks_are_used_for_one_plan_only() {
    let fillers = [filler(64_000, interruptibility(false, true, true), 10)];
    let mut cluster = filled_cluster(1, &fillers);
    let request = |index| {
        helpers::request(
            "urgent",
            index,
            helpers::size(40_000, 1, 0),
            catalogue::Urgency::Interactive,
        )
    };
    let first = preempt::Planner::default()
        .plan(&mut cluster, &request(0))
        .expect("a plan");
    assert_eq!(first.steps.len(), 1);
    let mut planner = preempt::Planner::default();
    let again = planner
        .plan(&mut cluster, &request(0))
        .expect("tasks are ending already");
    assert_eq!(again.steps.len(), 0);
    assert_eq!(planner.plan(&mut cluster, &request(1)), None);
}

proptest! {
    #![proptest_config(helpers::proptest_config(256))]

    /// Tasks in a plan are less urgent and may be preempted, and the plan frees
    /// enough for the urgent task.
    #[test]
    fn protected_work_is_never_preempted(
        fillers in prop::collection::vec(
            (1_000_u64..40_000, 0_u8..3, any::<[bool; 3]>(), 0_u64..100),
            1..20,
        ),
        cpu in 1_000_u64..64_000,
        urgency in 0_u8..3,
    ) {
        let urgency_of = |number: u8| [
            catalogue::Urgency::Interactive,
            catalogue::Urgency::Deadline,
            catalogue::Urgency::BestEffort,
        ][usize::from(number)];
        let fillers: Vec<_> = fillers
            .into_iter()
            .map(|(cpu, urgency, [a, b, c], ran_s)| Filler {
                cpu,
                urgency: urgency_of(urgency),
                interruptibility: interruptibility(a, b, c),
                ran_s,
            })
            .collect();
        let mut cluster = filled_cluster(3, &fillers);
        let request = helpers::request("urgent", 0, helpers::size(cpu, 1, 0), urgency_of(urgency));
        let before = cluster.clone();
        if let Some(plan) = preempt::Planner::default().plan(&mut cluster, &request) {
            let worker = before.worker(&plan.worker).expect("known");
            let mut freed = worker.free();
            for step in &plan.steps {
                let victim = before.allocation(&step.task).expect("has an allocation");
                prop_assert_eq!(&victim.worker, &plan.worker);
                prop_assert!(victim.request.urgency > request.urgency);
                prop_assert!(victim.request.interruptibility.preemptible);
                let may_end = victim.request.interruptibility.idempotent || victim.request.interruptibility.checkpointable;
                prop_assert!(may_end, "protected work preempted");
                freed = freed.plus(&victim.counted());
            }
            prop_assert!(freed.holds(&request.size));
        }
    }
}
