//! Entries that other writers put among those of the workers in the store, with real
//! entry instances as processes.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod fleet_support;

use fleet_support::Fleet;
use serde_json::json;

#[tokio::test(flavor = "multi_thread")]
async fn entries_of_other_writers_are_ignored_and_real_workers_are_used() {
    let fleet = Fleet::start(2, 2, false).await;
    let store = &fleet.platform.store;
    store.put("servers/i-bytes", &[0xff, 0xfe, 0x00, 0x80]);
    store.put("servers/i-words", b"nothing to read");
    let like_a_worker = json!({
        "service": "no-such-pool", "address": "127.0.0.1:9", "zone": "z-1", "version": "v1",
        "capacity": 8, "state": "ready", "cold_left_ms": 0, "labels": ["a", "r1-0"],
        "available": {"cpu": 64_000, "mem_mb": 65_536, "gpu": 0}, "sequence": 1,
    });
    store.put("servers/i-pool", like_a_worker.to_string().as_bytes());
    let mut unknown_state = like_a_worker.clone();
    unknown_state["service"] = "pool".into();
    unknown_state["state"] = "dreaming".into();
    store.put("servers/i-state", unknown_state.to_string().as_bytes());
    fleet
        .wait("three entries to be logged", || {
            fleet.count_events("RECORD_INVALID") >= 3
        })
        .await;

    assert_eq!(fleet.submit(0, 0x901, 4, "50").await, 200);
    fleet.wait_for_state(1, 0x901, "completed").await;
    let lines = fleet.log_lines();
    let listed = lines.iter().filter(|line| line["name"] == "WORKER_LISTED");
    let mut workers: Vec<&str> = listed.filter_map(|line| line["worker"].as_str()).collect();
    workers.sort_unstable();
    workers.dedup();
    assert_eq!(workers, ["i-0", "i-1"]);
    fleet.assert_no_violations();
}
