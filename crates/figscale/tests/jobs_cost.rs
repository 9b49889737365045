//! Store writes per task by scheme, and the time until a killed holder is replaced.
//!
//! Run with `--nocapture` to see the figures. The writes of schemes that
//! figscale does not use are computed from the jobs, tasks and attempts of the
//! same run.

#![expect(clippy::unwrap_used, reason = "A test may panic.")]

mod harness;

use std::time;

use figscale_types::ids;
use figscale_types::jobs;
use figscale_types::operator;
use serde_json::json;

const JOBS: u32 = 200;
const TASKS: u32 = 10;
/// Concurrent submissions.
const SUBMITTERS: usize = 20;

async fn start(settings: serde_json::Value, entries: usize, workers: usize) -> harness::Cell {
    let plan = harness::Plan {
        entries,
        workers,
        settings,
        ..harness::Plan::default()
    };
    let cell = harness::Cell::start(plan).await;
    let catalogue = json!({
        "owners": { "council": {} },
        "entries": { "tides": {
            "owner": "council",
            "policy": { "tasks": { "class": "batch", "urgency": "deadline" } },
        } },
    });
    let request = operator::ApplyRequest {
        base: ids::Revision(0),
        change: ids::ChangeId(uuid::Uuid::now_v7()),
        author: "test".to_owned(),
        note: String::new(),
        catalogue: serde_json::from_value(catalogue).unwrap(),
    };
    harness::wait_until("accepted catalogue", || async {
        cell.operator(0).apply(&request).await.is_ok()
    })
    .await;
    let all: Vec<usize> = (0..entries).collect();
    cell.wait_for_revision(&all, 1).await;
    cell
}

fn spec(run_ms: u64, idempotent: bool) -> jobs::JobSpec {
    serde_json::from_value(json!({
        "entry": "tides",
        "owner": "council",
        "tasks": TASKS,
        "task": { "cpu_millis": 250, "memory_bytes": 64 << 20 },
        "run_ms": run_ms,
        "idempotent": idempotent,
    }))
    .unwrap()
}

/// The dumps of the homes of these entry instances.
async fn homes(cell: &harness::Cell, entries: &[usize]) -> Vec<serde_json::Value> {
    let mut all = Vec::new();
    for entry in entries {
        let Ok(dump) = cell.operator(*entry).dump().await else {
            continue;
        };
        if let Some(homes) = dump["jobs"]["homes"].as_object() {
            all.extend(homes.values().cloned());
        }
    }
    all
}

async fn writes(cell: &harness::Cell) -> u64 {
    let homes = homes(cell, &[0, 1]).await;
    homes
        .iter()
        .filter_map(|home| home["writes"].as_u64())
        .sum()
}

async fn submit_all(cell: &harness::Cell, prefix: &str, spec: &jobs::JobSpec) {
    let one = |number: u32| async move {
        let id: ids::JobId = format!("{prefix}-{number}").parse().unwrap();
        let operator = cell.operator(number as usize % 2);
        harness::wait_until("acceptance", || async {
            operator.submit(&id, spec).await.is_ok()
        })
        .await;
    };
    let numbers: Vec<u32> = (0..JOBS).collect();
    for chunk in numbers.chunks(SUBMITTERS) {
        futures_util::future::join_all(chunk.iter().map(|number| one(*number))).await;
    }
    harness::wait_until("end of all jobs", || async {
        let list: Result<Vec<jobs::JobStatus>, _> = cell.operator(0).get("/v1/jobs").await;
        list.is_ok_and(|list| {
            let of = |job: &&jobs::JobStatus| job.id.as_str().starts_with(prefix);
            let done = |job: &&jobs::JobStatus| job.state == jobs::JobState::Done;
            list.iter().filter(of).filter(done).count() == JOBS as usize
        })
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn grouped_documents_write_less_than_any_step_by_step_scheme() {
    let cell = start(json!({}), 2, 6).await;
    harness::wait_until("homes", || async {
        let homes = homes(&cell, &[0, 1]).await;
        homes.len() == 16 && homes.iter().all(|home| home["recovered"] == true)
    })
    .await;
    for idempotent in [true, false] {
        let prefix = if idempotent { "again" } else { "once" };
        let (writes_before, starts_before) = (writes(&cell).await, cell.tasks.runs().len());
        let began = time::Instant::now();
        submit_all(&cell, prefix, &spec(200, idempotent)).await;
        let took = began.elapsed();
        let grouped = writes(&cell).await - writes_before;
        let starts = (cell.tasks.runs().len() - starts_before) as u64;
        let (jobs, tasks) = (u64::from(JOBS), u64::from(JOBS * TASKS));
        // Two writes per job: accepted, ended. Three per start of a task: placed,
        // started, ended.
        let every_step = 2 * jobs + 3 * starts;
        // Four writes: the instance and a delayed check at the start, completion
        // at the end, and the deletion of the check, which finds nothing to do.
        let around_job = 4 * jobs;
        let around_task = 4 * tasks;
        println!(
            "idempotent {idempotent}: {jobs} jobs, {tasks} tasks, {starts} starts in {took:.2?}; \
             store writes per task: grouped {:.3} ({grouped}), every step {:.3} ({every_step}), \
             two around and a check per job {:.3} ({around_job}), per task {:.3} ({around_task})",
            grouped as f64 / tasks as f64,
            every_step as f64 / tasks as f64,
            around_job as f64 / tasks as f64,
            around_task as f64 / tasks as f64,
        );
        assert_eq!(starts, tasks);
        assert!(grouped < every_step);
    }
    assert_eq!(cell.tasks.violations(), Vec::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_holder_is_replaced_with_default_leases() {
    let mut cell = start(json!({}), 3, 6).await;
    harness::wait_until("homes", || async {
        let homes = homes(&cell, &[0, 1, 2]).await;
        homes.len() == 16 && homes.iter().all(|home| home["recovered"] == true)
    })
    .await;
    for number in 0..30 {
        let id: ids::JobId = format!("long-{number}").parse().unwrap();
        harness::wait_until("acceptance", || async {
            cell.operator(0)
                .submit(&id, &spec(600_000, true))
                .await
                .is_ok()
        })
        .await;
    }
    harness::wait_until("running tasks", || async { cell.tasks.runs().len() == 300 }).await;
    cell.kill(2).await;
    let began = time::Instant::now();
    harness::wait_until("all homes held", || async {
        homes(&cell, &[0, 1]).await.len() == 16
    })
    .await;
    let held = began.elapsed();
    harness::wait_until("all homes recovered", || async {
        let homes = homes(&cell, &[0, 1]).await;
        homes.len() == 16 && homes.iter().all(|home| home["recovered"] == true)
    })
    .await;
    let recovered = began.elapsed();
    let runs = cell.tasks.runs();
    let ended = runs.iter().filter(|run| run.ended.is_some()).count();
    println!(
        "killed holder: its shards held by others after {held:.2?}, every task accounted for \
         after {recovered:.2?}; {ended} of 300 running tasks ended by it, {} starts",
        runs.len()
    );
    assert_eq!(cell.tasks.violations(), Vec::new());
}
