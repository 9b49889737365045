//! Jobs that can never run are refused at submission, with the resource that is
//! missing.

use figscale_core::job::placement::feasibility;
use figscale_types::catalogue;
use figscale_types::instances;
use figscale_types::jobs;
use figscale_types::sizes;

use crate::helpers;

#[derive(serde::Deserialize)]
struct Case {
    name: String,
    spec: jobs::JobSpec,
    class: catalogue::JobClass,
    quota: Option<sizes::Resources>,
    max_task: Option<sizes::Resources>,
    kind: Option<String>,
    reason: Option<String>,
}

/// Four workers without accelerators, two smaller ones with accelerators, and a
/// large one that is leaving and must not count.
fn cell() -> feasibility::CellShape {
    let mut list = instances::InstanceList::default();
    for number in 0..6 {
        let mut instance = helpers::instance(number);
        instance.capacity = match number {
            0..4 => helpers::size(64_000, 128, 0),
            _ => helpers::size(32_000, 64, 4),
        };
        list.instances.push(instance);
    }
    let mut leaving = helpers::instance(6);
    leaving.capacity = helpers::size(640_000, 1_280, 40);
    leaving.life = instances::Life::Leaving;
    list.instances.push(leaving);
    feasibility::CellShape::of(&list)
}

#[test]
fn jobs_that_can_never_run_are_refused_with_the_reason() {
    let text = include_str!("../data/placement/feasibility.json");
    let cases: Vec<Case> = serde_json::from_str(text).expect("legal cases");
    let cell = cell();
    for case in cases {
        let policy = catalogue::TaskPolicy {
            class: case.class,
            urgency: catalogue::Urgency::BestEffort,
            max_tasks: 1_000,
            max_task: case.max_task,
            max_run_ms: 86_400_000,
            max_attempts: 3,
            preemptible: false,
        };
        let result = feasibility::check(&case.spec, &policy, case.quota.as_ref(), &cell);
        let kind = result.as_ref().err().map(|e| format!("{:?}", e.kind()));
        let reason = result.err().map(|e| e.to_string());
        assert_eq!(kind, case.kind, "{}", case.name);
        assert_eq!(reason, case.reason, "{}", case.name);
    }
}

#[test]
fn a_learned_size_never_exceeds_the_worker_that_holds_the_declared_one() {
    let cell = cell();
    let declared = helpers::size(4_000, 8, 2);
    let learned = helpers::size(40_000, 80, 2);
    let reserved = cell.reservation(&declared, &learned);
    assert_eq!(reserved, helpers::size(32_000, 64, 2));
    let smaller = helpers::size(1_000, 1, 0);
    assert_eq!(cell.reservation(&declared, &smaller), declared);
}
