//! Failures are attributed to the worker or to the job.

use std::time;

use figscale_core::job::placement;
use figscale_core::job::placement::fault;
use figscale_types::catalogue;

use crate::helpers;

#[derive(serde::Deserialize)]
struct Case {
    name: String,
    /// Each event, and the expected consequence.
    steps: Vec<(String, String)>,
}

fn describe_blame(blame: &fault::Blame) -> String {
    let word = |ejection_state: &placement::EjectionState| match ejection_state {
        placement::EjectionState::InUse => "use",
        placement::EjectionState::Probing => "probe",
        placement::EjectionState::Ejected => "aside",
    };
    let workers = blame.workers.iter();
    let mut words: Vec<_> = workers.map(|(id, s)| format!("{id} {}", word(s))).collect();
    if blame.job {
        words.push("job".to_owned());
    }
    words.join(", ")
}

fn run(
    faults: &mut fault::Faults,
    step: &str,
    start: time::Instant,
    now: &mut time::Instant,
) -> String {
    let words: Vec<_> = step.split(' ').collect();
    if let ["probe", second] = words[..] {
        *now = start + time::Duration::from_secs(second.parse().expect("a number"));
        let due = faults.take_due_probes(*now);
        let due: Vec<_> = due.iter().map(|id| format!("{id} probe")).collect();
        return due.join(", ");
    }
    let task = words[1].parse().expect("a task");
    let worker = words[2].parse().expect("a worker");
    describe_blame(&match words[0] {
        "fail" => faults.failed(&task, &worker, *now),
        _ => faults.succeeded(&task, &worker, *now),
    })
}

#[test]
fn failures_are_attributed_to_the_worker_or_the_job() {
    let text = include_str!("../data/placement/faults.json");
    let cases: Vec<Case> = serde_json::from_str(text).expect("legal cases");
    let start = time::Instant::now();
    for case in cases {
        let mut faults = fault::Faults::new(fault::FaultConfig::default());
        faults.set_total_workers(9);
        let mut now = start;
        for (number, (step, expected)) in case.steps.iter().enumerate() {
            let actual = run(&mut faults, step, start, &mut now);
            assert_eq!(&actual, expected, "{}: step {number}: {step}", case.name);
        }
    }
}

#[test]
fn a_probed_worker_gets_one_task_that_may_run_again() {
    let now = time::Instant::now();
    let mut cluster = helpers::cluster(1);
    let id = helpers::worker_id(0);
    let size = helpers::size(1_000, 1, 0);
    let request = |index| helpers::request("job", index, size, catalogue::Urgency::Interactive);
    cluster.set_ejection_state(&id, placement::EjectionState::Ejected);
    assert!(cluster.place(&request(0), now, None).is_err());
    cluster.set_ejection_state(&id, placement::EjectionState::Probing);
    let mut once = request(1);
    once.interruptibility.idempotent = false;
    assert!(cluster.place(&once, now, None).is_err());
    assert!(cluster.place(&request(2), now, None).is_ok());
    assert!(cluster.place(&request(3), now, None).is_err());
    cluster.set_ejection_state(&id, placement::EjectionState::InUse);
    assert!(cluster.place(&request(3), now, None).is_ok());
}
