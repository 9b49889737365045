//! Case 2: more than 500 ends wait on a runner while the store is down.

use std::time;

use review_standin::check;
use review_standin::deployment;
use serde_json::json;

/// Jobs, sent one after the other, and tasks of each: a tenth of a core for 1.5 to 2.0 s.
const JOBS: u64 = 11;
const TASKS: u64 = 58;
const PAUSE: time::Duration = time::Duration::from_millis(100);
const SPEC: &str = "1500+5";
/// How long the store is down; the site's longest `platform_down` takes 4.5 s.
const DOWN: time::Duration = time::Duration::from_millis(4_000);

#[tokio::main]
async fn main() {
    deployment::main("TWICE", run).await
}

async fn run(deployment: deployment::Deployment, trouble: bool) -> Result<Vec<String>, String> {
    let record = deployment.record.clone();
    let step = json!({"count": TASKS, "cpu": 100, "mem_mb": 64, "estimate_ms": 1750});
    let body = json!({"spec": SPEC, "phases": [step]}).to_string();
    let jobs = 1..=JOBS;
    let paths: Vec<String> = jobs
        .map(|job| deployment::Deployment::path(0x5c0e_7a21_d94b_0000 + job))
        .collect();
    for (number, path) in paths.iter().enumerate() {
        deployment
            .submit(number % deployment.entries.len(), path, &body)
            .await?;
        tokio::time::sleep(PAUSE).await;
    }
    let begun = time::Instant::now();
    while deployment.starts() < JOBS * TASKS && begun.elapsed() < time::Duration::from_secs(5) {
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
    let starts = deployment.starts();
    record.line(format_args!(
        "driver   {starts} of {} tasks have started",
        JOBS * TASKS
    ));
    if trouble {
        record.line("platform store down: answers 503 to every call");
        deployment.store.change_faults(|faults| faults.busy = true);
    }
    tokio::time::sleep(DOWN).await;
    if trouble {
        record.line("platform store up again");
        deployment.store.change_faults(|faults| faults.busy = false);
    }
    let begun = time::Instant::now();
    for path in &paths {
        while deployment.state(1, path).await != "completed" {
            if begun.elapsed() > time::Duration::from_secs(30) {
                return Err(format!("{path} did not complete"));
            }
            tokio::time::sleep(time::Duration::from_millis(500)).await;
        }
    }
    // The last ends are taken note of by then.
    tokio::time::sleep(time::Duration::from_secs(4)).await;
    let starts = deployment.starts();
    record.line(format_args!(
        "driver   {starts} starts of {} tasks",
        JOBS * TASKS
    ));
    let events = deployment.events.lock().unwrap();
    Ok(check::twice(&events))
}
