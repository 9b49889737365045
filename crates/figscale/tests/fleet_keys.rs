//! Customers' keys over real entry instances: who is let in, and that a key that
//! was taken away is good nowhere after its bound.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod fleet_support;

use std::time;

use fleet_support::Fleet;

/// How old the proof of a configuration may be in these tests.
const MAX_CONFIG_AGE: time::Duration = time::Duration::from_millis(2_500);
const KEY: &str = "key-of-a-customer";
const OTHER_KEY: &str = "key-of-another-one";

/// A fleet with two customers, of which the first may have so many cores.
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
        .wait("customers everywhere", || in_force(&fleet) == instances)
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

/// Statuses of every kind of call: of a new job, its state, its end, and the
/// queue.
async fn statuses(fleet: &Fleet, instance: usize, job: u64) -> [u16; 4] {
    let path = format!("/jobs/{job:016x}");
    [
        fleet.submit(instance, job, 1, "10").await,
        fleet.get(instance, &path).await.status.as_u16(),
        fleet.cancel(instance, job).await,
        fleet.get(instance, "/jobs/").await.status.as_u16(),
    ]
}

fn never_succeeds(statuses: [u16; 4]) -> bool {
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
    fleet.check();
}

/// Guards against a customer that sees, ends or takes over another one's job.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_is_there_for_its_customer_alone() {
    let mut fleet = start(2, 0).await;
    assert_eq!(fleet.submit(0, 0xc0, 1, "60000").await, 200);
    fleet.set_key(OTHER_KEY);
    assert_eq!(statuses(&fleet, 1, 0xc0).await, [409, 410, 410, 200]);
    fleet.set_key(KEY);
    fleet.wait_for_state(1, 0xc0, "running").await;
    assert_eq!(fleet.cancel(1, 0xc0).await, 200);
    fleet.check();
}

/// Guards against a revoked key at an instance that the store turned away before
/// it could hear of that, and whose leader cannot be asked either.
#[tokio::test(flavor = "multi_thread")]
async fn a_revoked_key_is_good_nowhere_after_its_bound() {
    let fleet = start(3, 0).await;
    let leader = fleet.leader().await;
    for door in &fleet.doors {
        door.set_shut(true);
    }
    configure(&fleet, 30, &[], 0);
    tokio::time::sleep(MAX_CONFIG_AGE).await;
    for instance in 0..3 {
        let statuses = statuses(&fleet, instance, 0xd0).await;
        assert!(never_succeeds(statuses), "leader {leader}: {statuses:?}");
    }
    for door in &fleet.doors {
        door.set_shut(false);
    }
    for instance in 0..3 {
        fleet.wait_for_status(instance, "/jobs/", 401).await;
    }
    fleet.check();
}

/// Guards against an instance whose watch is silent, and one that stood still
/// while the key was taken away.
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_watch_and_a_pause_prove_nothing() {
    let mut fleet = start(3, 0).await;
    let leader = fleet.leader().await;
    let paused = (leader + 1) % 3;
    fleet
        .platform
        .store
        .change_faults(|faults| faults.watches_silent = true);
    fleet.signal(paused, "STOP");
    configure(&fleet, 30, &[], 0);
    tokio::time::sleep(MAX_CONFIG_AGE).await;
    fleet.doors[paused].set_shut(true);
    fleet.signal(paused, "CONT");
    for instance in [paused, leader, (leader + 2) % 3] {
        let statuses = statuses(&fleet, instance, 0xe0).await;
        assert!(never_succeeds(statuses), "{instance}: {statuses:?}");
    }
    fleet.check();
}

/// Guards against an instance that is cut from the store and refuses its customers,
/// although its leader has the proof.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_cut_from_the_store_serves_on_its_leaders_proof() {
    let fleet = start(3, 0).await;
    let leader = fleet.leader().await;
    let cut = (leader + 1) % 3;
    fleet.doors[cut].set_shut(true);
    tokio::time::sleep(MAX_CONFIG_AGE * 2).await;
    fleet.submit_until_taken(cut, 0xf0, 1, "10").await;
    fleet.wait_for_state(cut, 0xf0, "completed").await;
    // It hears of the change through the others.
    configure(&fleet, 30, &[], 0);
    fleet.wait_for_status(cut, "/jobs/", 401).await;
    assert!(!fleet.log_has(KEY) && !fleet.log_has(OTHER_KEY));
    fleet.check();
}

/// Guards against a configuration that the operators cannot have meant: the last
/// one stays in force.
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
    assert_eq!(fleet.count_events("CONFIG_INVALID"), 2, "once an instance");
    assert!(!fleet.log_has(KEY));
    fleet.check();
}

/// Guards against a limit that is forgotten with its leader.
#[tokio::test(flavor = "multi_thread")]
async fn a_limit_holds_over_leaders() {
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
    fleet.check();
}
