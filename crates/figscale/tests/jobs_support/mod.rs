//! A cell with short leases and a catalogue for jobs, and an invariant checker.

#![allow(
    dead_code,
    clippy::allow_attributes,
    reason = "Each test binary uses a part."
)]

use std::time;

use figscale_types::ids;
use figscale_types::jobs;
use figscale_types::operator;
use serde_json::json;

use crate::harness;

/// Leases short enough for a test, in the proportions of the defaults.
pub(crate) fn plan(entries: usize, workers: usize) -> harness::Plan {
    harness::Plan {
        entries,
        workers,
        settings: json!({
            "claims": { "lease_ms": 2_000, "heartbeat_ms": 500, "margin_ms": 200, "instances_ms": 200 },
            "jobs": { "lease_ms": 2_000, "renew_ms": 500, "window_ms": 500, "margin_ms": 200 },
        }),
        ..harness::Plan::default()
    }
}

pub(crate) fn catalogue() -> serde_json::Value {
    let policy = |class: &str| json!({ "owner": "council", "policy": { "tasks": { "class": class, "urgency": "deadline" } } });
    json!({
        "owners": { "council": {} },
        "entries": {
            "tides": policy("batch"),
            "cliffs": policy("gang"),
            "gauges": policy("service"),
        },
    })
}

pub(crate) async fn start(plan: harness::Plan) -> harness::Cell {
    let entries: Vec<usize> = (0..plan.entries).collect();
    let cell = harness::Cell::start(plan).await;
    let request = operator::ApplyRequest {
        base: ids::Revision(0),
        change: ids::ChangeId(uuid::Uuid::now_v7()),
        author: "test".to_owned(),
        note: String::new(),
        catalogue: serde_json::from_value(catalogue()).unwrap(),
    };
    harness::wait_until("accepted catalogue", || async {
        let answer = cell.operator(0).apply(&request).await;
        answer.is_ok()
    })
    .await;
    cell.wait_for_revision(&entries, 1).await;
    cell
}

pub(crate) fn spec(entry: &str, tasks: u32, run_ms: u64, idempotent: bool) -> jobs::JobSpec {
    serde_json::from_value(json!({
        "entry": entry,
        "owner": "council",
        "tasks": tasks,
        "task": { "cpu_millis": 1_000, "memory_bytes": 1 << 30 },
        "run_ms": run_ms,
        "idempotent": idempotent,
    }))
    .unwrap()
}

pub(crate) fn id(text: &str) -> ids::JobId {
    text.parse().unwrap()
}

/// Submits a job, retrying with the same id until it is accepted.
pub(crate) async fn accept(cell: &harness::Cell, entry: usize, name: &str, spec: &jobs::JobSpec) {
    harness::wait_until(&format!("acceptance of {name}"), || async {
        cell.operator(entry).submit(&id(name), spec).await.is_ok()
    })
    .await;
}

pub(crate) async fn state(
    cell: &harness::Cell,
    entry: usize,
    name: &str,
) -> Option<jobs::JobState> {
    let status = cell.operator(entry).job(&id(name)).await.ok()?;
    Some(status.state)
}

pub(crate) async fn wait_for(
    cell: &harness::Cell,
    entry: usize,
    name: &str,
    wanted: jobs::JobState,
) {
    let began = time::Instant::now();
    while state(cell, entry, name).await != Some(wanted) {
        if began.elapsed() >= harness::CONDITION_TIMEOUT {
            let status = cell.operator(entry).job(&id(name)).await;
            let dumps = dumps(cell).await;
            panic!("{name} is not {wanted:?} but {status:?}\n{dumps}");
        }
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
}

/// Dumps of the jobs service of the entry instances that answer.
async fn dumps(cell: &harness::Cell) -> String {
    let mut all = String::new();
    for index in 0..cell.len() {
        let dump = cell.operator(index).dump().await;
        let jobs = dump.map(|dump| dump["jobs"].clone());
        all += &format!("entry-{index}: {jobs:#?}\n");
    }
    all
}

/// Checks what must hold after any fault: no violation in the ledger, and no worker
/// ever asked for more than its capacity.
pub(crate) fn judge(cell: &harness::Cell) {
    assert_eq!(cell.tasks.violations(), Vec::new(), "{}", cell.logs());
    for worker in &cell.workers {
        let report = worker.report();
        let running = report
            .tasks
            .iter()
            .filter(|task| task.phase == figscale_types::worker::TaskPhase::Running);
        let sum = running.fold(figscale_types::sizes::Resources::default(), |sum, task| {
            sum.plus(&task.reserved)
        });
        assert!(report.capacity.holds(&sum), "{} holds {sum}", report.worker);
        let record = worker.record();
        assert_eq!(
            record.over_capacity, 0,
            "{} was asked for too much",
            report.worker
        );
        assert!(
            report.capacity.holds(&record.most_reserved),
            "{} held {}",
            report.worker,
            record.most_reserved
        );
    }
}

pub(crate) fn starts(cell: &harness::Cell, name: &str) -> u32 {
    let all = cell.tasks.all_starts();
    let of = |(task, count): (&ids::TaskId, &u32)| (task.job == id(name)).then_some(*count);
    all.iter().filter_map(of).sum()
}
