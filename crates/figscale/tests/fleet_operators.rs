//! figscale's command line against entry instances on the users' platform.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod fleet_support;

use std::fs;

use fleet_support::Fleet;

const JOB: &str = r#"{
  // A task of the stand-in runs for the number of milliseconds in its command.
  "entry": "r-1", "owner": "pool", "tasks": 2, "command": "50", "idempotent": true,
  "task": {"cpu_millis": 1000, "memory_bytes": 67108864}, "run_ms": 200
}"#;

/// Writes a job file with `from` replaced by `to`, and returns its path.
fn job_file(directory: &tempfile::TempDir, from: &str, to: &str) -> String {
    assert!(JOB.contains(from), "{from}");
    let file = directory.path().join("job.jsonc");
    fs::write(&file, JOB.replace(from, to)).unwrap();
    file.to_str().unwrap().to_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn the_catalogue_shows_owner_class_and_limits() {
    let fleet = Fleet::start(1, 1, false).await;
    let (code, shown) = fleet.command(0, &["catalogue", "show"]).await;
    assert_eq!(code, 0, "{shown}");
    for part in [
        "r-1",
        "\"owner\": \"pool\"",
        "\"class\": \"batch\"",
        "\"max_attempts\": 2",
    ] {
        assert!(shown.contains(part), "no {part} in {shown}");
    }
    let (code, status) = fleet.command(0, &["catalogue", "status"]).await;
    assert_eq!(code, 0, "{status}");
    assert!(status.contains("10"), "{status}");
    let (code, refused) = fleet.command(0, &["catalogue", "history"]).await;
    assert_eq!(code, 2, "{refused}");
    assert!(refused.contains("platform's store"), "{refused}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_submitted_by_an_operator_runs() {
    let fleet = Fleet::start(2, 2, false).await;
    let directory = tempfile::tempdir().unwrap();
    let file = job_file(&directory, "\"50\"", "\"50\"");
    let submit = ["job", "submit", &file, "--id", "my-first-job"];
    let (code, id) = fleet.command(0, &submit).await;
    assert_eq!(code, 0, "{id}");
    let (code, again) = fleet.command(1, &submit).await;
    assert_eq!((code, &again), (0, &id), "a repeat is the same job");
    let job = u64::from_str_radix(id.trim(), 16).unwrap();
    fleet.wait_for_state(0, job, "completed").await;
    for name in ["my-first-job", id.trim()] {
        let (code, status) = fleet.command(1, &["job", "status", name]).await;
        assert_eq!(code, 0, "{status}");
        assert!(status.contains("done r-1 of pool (ran)"), "{status}");
    }
    assert_eq!(fleet.platform.ledger.runs().len(), 2);
    fleet.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_is_shown_with_its_tasks_and_cancelled() {
    let fleet = Fleet::start(1, 1, false).await;
    assert_eq!(fleet.submit(0, 0xa1, 1, "60000").await, 200);
    fleet.wait_for_state(0, 0xa1, "running").await;
    let id = format!("{:016x}", 0xa1);
    let (code, status) = fleet.command(0, &["job", "status", &id]).await;
    assert_eq!(code, 0, "{status}");
    assert!(status.contains("task 0 running on "), "{status}");
    let (code, listed) = fleet.command(0, &["job", "list", "--owner", "pool"]).await;
    assert_eq!(code, 0, "{listed}");
    assert!(listed.contains(&id), "{listed}");
    let (code, cancelled) = fleet.command(0, &["job", "cancel", &id]).await;
    assert_eq!(code, 0, "{cancelled}");
    assert!(cancelled.contains("cancelled"), "{cancelled}");
    let (code, _) = fleet.command(0, &["job", "list"]).await;
    assert_eq!(code, 0);
    let (code, missing) = fleet.command(0, &["job", "status", "none"]).await;
    assert_eq!(code, 1, "{missing}");
    fleet.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn unsupported_jobs_are_refused() {
    let fleet = Fleet::start(1, 1, false).await;
    let directory = tempfile::tempdir().unwrap();
    let cases = [
        (
            "\"idempotent\": true",
            "\"idempotent\": false",
            "idempotent: expected true",
        ),
        ("\"r-1\"", "\"r-9\"", "entry: there is no r-9"),
        ("\"pool\"", "\"others\"", "owner: r-1 belongs to pool"),
        (
            "\"run_ms\"",
            "\"deadline_ms\": 9, \"run_ms\"",
            "deadline_ms: not supported",
        ),
        ("\"tasks\": 2", "\"tasks\": 0", "step 0 has no tasks"),
    ];
    for (from, to, expected) in cases {
        let file = job_file(&directory, from, to);
        let (code, refused) = fleet.command(0, &["job", "submit", &file]).await;
        assert_eq!(code, 2, "{to}: {refused}");
        assert!(refused.contains(expected), "{to}: {refused}");
    }
    assert!(fleet.platform.ledger.runs().is_empty());
}
