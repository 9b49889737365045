//! Case 3: a runner goes down and up by turns; a job that was lost with it is failed.

use std::time;

use review_standin::deployment;
use review_standin::runner;
use serde_json::json;

/// A job that keeps all runners but one busy: one task of 60 cores on each.
const LARGE: u64 = 0x5c0e_7a21_d94b_0001;
const LARGE_MS: u64 = 40_000;
/// A job of one task of 6 cores for 3 s.
const SMALL: u64 = 0x5c0e_7a21_d94b_0002;
const SMALL_MS: u64 = 3_000;
/// Time from the start of the small job to the first crash.
const FIRST_AFTER: time::Duration = time::Duration::from_millis(500);
/// The runner is down and up for this long by turns, for 5.5 s in all: three crashes.
const GAP: time::Duration = time::Duration::from_millis(1_100);
const CRASHES: usize = 3;

#[tokio::main]
async fn main() {
    deployment::main("LOST", run).await
}

async fn run(deployment: deployment::Deployment, trouble: bool) -> Result<Vec<String>, String> {
    let record = deployment.record.clone();
    let large = deployment::Deployment::path(LARGE);
    let count = deployment.runners.len() - 1;
    let step = json!({"count": count, "cpu": 60_000, "mem_mb": 64_000, "estimate_ms": LARGE_MS});
    let body = json!({"spec": LARGE_MS.to_string(), "phases": [step]}).to_string();
    deployment.submit(0, &large, &body).await?;
    let begun = time::Instant::now();
    while deployment.starts() < count as u64 {
        if begun.elapsed() > time::Duration::from_secs(5) {
            return Err("the large job has not started".to_owned());
        }
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    let small = deployment::Deployment::path(SMALL);
    let step = json!({"count": 1, "cpu": 6_000, "mem_mb": 12_000, "estimate_ms": SMALL_MS});
    let body = json!({"spec": SMALL_MS.to_string(), "phases": [step]}).to_string();
    let free = deployment.runners.iter().find(|runner| runner.runs() == 0);
    let mut flapping = free.ok_or("no runner is free")?.clone();
    deployment.submit(1, &small, &body).await?;
    let begun = time::Instant::now();
    while flapping.runs() == 0 {
        if begun.elapsed() > time::Duration::from_secs(2) {
            return Err("the small job has not started".to_owned());
        }
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
    tokio::time::sleep(FIRST_AFTER).await;
    if trouble {
        for crash in 1..=CRASHES {
            flapping.crash();
            tokio::time::sleep(GAP).await;
            let next = flapping.restart(&format!("run-again{crash}")).await;
            flapping = next.map_err(|error| error.to_string())?;
            if crash < CRASHES {
                tokio::time::sleep(GAP).await;
            }
        }
    }
    let begun = time::Instant::now();
    let mut state = String::new();
    while begun.elapsed() < time::Duration::from_secs(20) {
        state = deployment.state(2, &small).await;
        if state == "completed" || state == "failed" {
            break;
        }
        tokio::time::sleep(time::Duration::from_millis(500)).await;
    }
    let name = small.rsplit('/').next().unwrap_or_default().to_owned();
    let events = deployment.events.lock().unwrap();
    let failed = events.iter().filter(|event| {
        matches!(event, runner::Event::End { task, how, .. } if task.starts_with(&name) && *how == "failed")
    });
    let failed = failed.count();
    record.line(format_args!(
        "driver   the small job is {state}; {failed} of its runs ended failed"
    ));
    match state.as_str() {
        "completed" => Ok(Vec::new()),
        "failed" if failed == 0 => Ok(vec![format!(
            "{small} is shown as failed, though none of its runs ended failed and nobody cancelled it"
        )]),
        _ => Err(format!("the small job is {state}")),
    }
}
