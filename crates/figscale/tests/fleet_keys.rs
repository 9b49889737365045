//! Customers' keys, with real entry instances as processes: which calls are
//! authorized, and that a revoked key is refused everywhere once the proof of the old
//! configuration is too old.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod fleet_support;

use std::time;

use fleet_support::Fleet;

/// Maximum age of the proof of a configuration in these tests.
const MAX_CONFIG_AGE: time::Duration = time::Duration::from_millis(2_500);
const KEY: &str = "key-of-a-customer";
const OTHER_KEY: &str = "key-of-another-one";

/// Starts a fleet with two customers, the first with this limit on cores (0 for
/// none).
async fn start(instances: usize, cores: u64) -> Fleet {
    let mut fleet = Fleet::start_with_config_age(instances, 2, MAX_CONFIG_AGE).await;
    configure(&fleet, 20, &[KEY], cores);
    let in_force = |fleet: &Fleet| {
        let lines = fleet.log_lines();
        let of_version = |line: &&serde_json::Value| line["version"] == "20";
        let lines = lines.iter().filter(of_version);
        lines
            .filter(|line| line["name"] == "CONFIG_IN_FORCE")
            .count()
    };
    fleet
        .wait("the customers to be known to all instances", || {
            in_force(&fleet) == instances
        })
        .await;
    fleet.set_key(KEY);
    fleet.submit_until_taken(0, 0xa0, 1, "10").await;
    fleet.wait_for_state(0, 0xa0, "completed").await;
    fleet
}

fn configure(fleet: &Fleet, version: u64, keys: &[&str], cores: u64) {
    let customers = [("one", keys, cores), ("two", &[OTHER_KEY], 0)];
    fleet
        .platform
        .configure_customers(version, "pool", "/jobs/", &customers);
}

/// Statuses of every kind of call: submission of a job, its state, its cancellation,
/// and the length of the queue.
async fn statuses(fleet: &Fleet, instance: usize, job: u64) -> [u16; 4] {
    let path = format!("/jobs/{job:016x}");
    [
        fleet.submit(instance, job, 1, "10").await,
        fleet.get(instance, &path).await.status.as_u16(),
        fleet.cancel(instance, job).await,
        fleet.get(instance, "/jobs/").await.status.as_u16(),
    ]
}

fn are_all_refused(statuses: [u16; 4]) -> bool {
    statuses.iter().all(|status| *status >= 400)
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_without_a_known_key_are_refused_at_once() {
    let mut fleet = start(2, 0).await;
    for key in ["", "never-heard-of"] {
        fleet.set_key(key);
        for instance in 0..2 {
            assert_eq!(statuses(&fleet, instance, 0xb0).await, [401; 4], "{key}");
        }
    }
    assert!(!fleet.log_has(KEY) && !fleet.log_has("never-heard-of"));
    fleet.assert_no_violations();
}

/// Guards against a customer that sees, cancels or takes over another one's job.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_is_visible_to_its_customer_only() {
    let mut fleet = start(2, 0).await;
    assert_eq!(fleet.submit(0, 0xc0, 1, "60000").await, 200);
    fleet.set_key(OTHER_KEY);
    assert_eq!(statuses(&fleet, 1, 0xc0).await, [409, 410, 410, 200]);
    fleet.set_key(KEY);
    fleet.wait_for_state(1, 0xc0, "running").await;
    assert_eq!(fleet.cancel(1, 0xc0).await, 200);
    fleet.assert_no_violations();
}

/// Guards against a revoked key that is accepted by an instance which was cut off from
/// the store before it learned of the change, and whose leader is cut off as well.
#[tokio::test(flavor = "multi_thread")]
async fn a_revoked_key_is_refused_everywhere_after_the_maximum_age() {
    let fleet = start(3, 0).await;
    let leader = fleet.leader().await;
    for proxy in &fleet.store_proxies {
        proxy.set_blocked(true);
    }
    configure(&fleet, 30, &[], 0);
    tokio::time::sleep(MAX_CONFIG_AGE).await;
    for instance in 0..3 {
        let statuses = statuses(&fleet, instance, 0xd0).await;
        assert!(are_all_refused(statuses), "leader {leader}: {statuses:?}");
    }
    for proxy in &fleet.store_proxies {
        proxy.set_blocked(false);
    }
    for instance in 0..3 {
        fleet.wait_for_status(instance, "/jobs/", 401).await;
    }
    fleet.assert_no_violations();
}

/// Guards against a revoked key that is accepted by an instance whose watch reports no
/// change, or by one that was paused while the key was revoked.
#[tokio::test(flavor = "multi_thread")]
async fn a_revoked_key_is_refused_despite_an_unresponsive_watch_or_a_pause() {
    let mut fleet = start(3, 0).await;
    let leader = fleet.leader().await;
    let paused = (leader + 1) % 3;
    fleet
        .platform
        .store
        .change_faults(|faults| faults.watches_without_events = true);
    fleet.signal(paused, "STOP");
    configure(&fleet, 30, &[], 0);
    tokio::time::sleep(MAX_CONFIG_AGE).await;
    fleet.store_proxies[paused].set_blocked(true);
    fleet.signal(paused, "CONT");
    for instance in [paused, leader, (leader + 2) % 3] {
        let statuses = statuses(&fleet, instance, 0xe0).await;
        assert!(are_all_refused(statuses), "{instance}: {statuses:?}");
    }
    fleet.assert_no_violations();
}

/// Guards against an instance that is cut off from the store and refuses its
/// customers although its leader has the proof.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_cut_off_from_the_store_serves_with_its_leaders_proof() {
    let fleet = start(3, 0).await;
    let leader = fleet.leader().await;
    let cut = (leader + 1) % 3;
    fleet.store_proxies[cut].set_blocked(true);
    tokio::time::sleep(MAX_CONFIG_AGE * 2).await;
    fleet.submit_until_taken(cut, 0xf0, 1, "10").await;
    fleet.wait_for_state(cut, 0xf0, "completed").await;
    // It learns of the change through the other instances.
    configure(&fleet, 30, &[], 0);
    fleet.wait_for_status(cut, "/jobs/", 401).await;
    assert!(!fleet.log_has(KEY) && !fleet.log_has(OTHER_KEY));
    fleet.assert_no_violations();
}

/// Guards against an invalid configuration that replaces the last valid one.
#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_that_cannot_be_read_leaves_the_last_one_in_force() {
    let fleet = start(2, 0).await;
    let customers: [(&str, &[&str], u64); 2] = [("one", &[KEY], 0), ("two", &[KEY], 0)];
    fleet
        .platform
        .configure_customers(30, "pool", "/jobs/", &customers);
    tokio::time::sleep(MAX_CONFIG_AGE * 2).await;
    assert_eq!(fleet.submit(1, 0xa1, 1, "10").await, 200);
    fleet.wait_for_state(0, 0xa1, "completed").await;
    assert_eq!(fleet.count_events("CONFIG_INVALID"), 2, "once per instance");
    assert!(!fleet.log_has(KEY));
    fleet.assert_no_violations();
}

/// Guards against a customer's limit that is forgotten when the leader changes.
#[tokio::test(flavor = "multi_thread")]
async fn a_customers_limit_holds_across_leaders() {
    let mut fleet = start(3, 3).await;
    assert_eq!(fleet.submit(0, 0xa2, 8, "60000").await, 200);
    let started = |fleet: &Fleet| {
        let runs = fleet.platform.ledger.runs();
        let id = format!("{:016x}", 0xa2);
        runs.iter().filter(|run| run.task.starts_with(&id)).count()
    };
    fleet.wait("three tasks", || started(&fleet) == 3).await;
    let leader = fleet.leader().await;
    fleet.kill(leader);
    let other = (leader + 1) % 3;
    fleet.submit_until_taken(other, 0xa3, 1, "10").await;
    tokio::time::sleep(MAX_CONFIG_AGE).await;
    assert_eq!(started(&fleet), 3);
    assert_eq!(fleet.cancel(other, 0xa2).await, 200);
    fleet.wait_for_state(other, 0xa3, "completed").await;
    fleet.assert_no_violations();
}
