//! A trial, not a case: the entry `starvation::a_task_whose_worker_crashed_...` of
//! KNOWN-RED.txt with processes. A runner crashes once under a job; beside a stream of
//! short jobs of which each runner of its rack always has a new run, the job has nothing
//! running until the stream ends.

use std::sync;
use std::sync::atomic;
use std::time;

use review_standin::deployment;
use review_standin::runner;
use serde_json::json;

const RACK: &str = "r1-3";
const STREAM: u64 = 0x5c0e_7a21_d94c_0000;
const JOB: u64 = 0x5c0e_7a21_d94d_0001;
const STREAM_PAUSE: time::Duration = time::Duration::from_millis(150);
/// Age of the job's run at the crash, and how long its runner is down.
const RUN_AGE: time::Duration = time::Duration::from_millis(200);
const DOWN: time::Duration = time::Duration::from_millis(1_400);
/// How long the stream goes on after the runner is back.
const WATCHED: time::Duration = time::Duration::from_secs(60);
/// 4 s of calm, and 3 s without a run.
const ALLOWED: time::Duration = time::Duration::from_secs(7);

#[tokio::main]
async fn main() {
    deployment::main("LOST", run).await
}

async fn run(deployment: deployment::Deployment, trouble: bool) -> Result<Vec<String>, String> {
    let deployment = sync::Arc::new(deployment);
    let record = deployment.record.clone();
    let over = sync::Arc::new(atomic::AtomicBool::new(false));
    let stream = tokio::spawn(send_stream(deployment.clone(), over.clone()));
    tokio::time::sleep(time::Duration::from_secs(2)).await;
    let path = deployment::Deployment::path(JOB);
    let step = json!({
        "count": 1, "cpu": 4_000, "mem_mb": 64, "estimate_ms": 20_000, "constraints": RACK,
    });
    let body = json!({"spec": "20000", "phases": [step]}).to_string();
    deployment.submit(0, &path, &body).await?;
    let host = loop {
        if let Some(host) = hosts(&deployment).first() {
            break host.clone();
        }
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    };
    tokio::time::sleep(RUN_AGE).await;
    if trouble {
        let crashed = deployment.runners.iter().find(|runner| runner.id == host);
        let crashed = crashed.ok_or("the runner is not known")?;
        crashed.crash();
        tokio::time::sleep(DOWN).await;
        let restarted = crashed.restart("run-again1").await;
        restarted.map_err(|error| error.to_string())?;
    }
    let begun = time::Instant::now();
    let watched = if trouble { WATCHED } else { ALLOWED };
    while begun.elapsed() < watched && hosts(&deployment).len() < 2 {
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    let waited = begun.elapsed();
    over.store(true, atomic::Ordering::Relaxed);
    let _ = stream.await;
    record.line(format_args!(
        "driver   {} starts of the job, {} ms after the runner was back",
        hosts(&deployment).len(),
        waited.as_millis()
    ));
    let starved = trouble && waited > ALLOWED;
    let text = format!("{path} had nothing running for {} ms", waited.as_millis());
    Ok(if starved { vec![text] } else { Vec::new() })
}

async fn send_stream(
    deployment: sync::Arc<deployment::Deployment>,
    over: sync::Arc<atomic::AtomicBool>,
) {
    let step = json!({
        "count": 6, "cpu": 1_000, "mem_mb": 64, "estimate_ms": 400, "constraints": RACK,
        "anti_affinity": 1,
    });
    let body = json!({"spec": "400", "phases": [step]}).to_string();
    for number in 0.. {
        if over.load(atomic::Ordering::Relaxed) {
            return;
        }
        let (deployment, body) = (deployment.clone(), body.clone());
        tokio::spawn(async move {
            let path = deployment::Deployment::path(STREAM + number);
            deployment
                .call((number % 6) as usize, "POST", &path, &body)
                .await;
        });
        tokio::time::sleep(STREAM_PAUSE).await;
    }
}

/// Runners on which the job was started, in order.
fn hosts(deployment: &deployment::Deployment) -> Vec<String> {
    let name = format!("{JOB:016x}.");
    let events = deployment.events.lock().unwrap();
    let starts = events.iter().filter_map(|event| match event {
        runner::Event::Start { task, runner, .. } if task.starts_with(&name) => {
            Some(runner.clone())
        }
        _ => None,
    });
    starts.collect()
}
