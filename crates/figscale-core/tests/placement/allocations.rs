//! Allocations on workers: capacity is never exceeded, and all sums agree.

use std::time;

use figscale_core::job::placement;
use figscale_types::catalogue;
use figscale_types::ids;
use figscale_types::instances;
use figscale_types::sizes;
use figscale_types::worker as protocol;
use proptest::prelude::*;

use crate::helpers;

const WORKERS: u32 = 5;

#[derive(Clone, Debug)]
enum Step {
    Place(u32, sizes::Resources, catalogue::Urgency),
    Release(u32),
    Report(u32, sizes::Resources),
    Leave(u32, bool),
    Remove(u32),
    Add(u32),
    Expire(u64),
}

fn size() -> impl Strategy<Value = sizes::Resources> {
    (0_u64..40_000, 0_u64..80, 0_u32..4)
        .prop_map(|(cpu, gib, accelerators)| helpers::size(cpu, gib, accelerators))
}

fn step() -> impl Strategy<Value = Step> {
    let urgency = prop_oneof![
        Just(catalogue::Urgency::Interactive),
        Just(catalogue::Urgency::BestEffort)
    ];
    prop_oneof![
        6 => (0_u32..60, size(), urgency).prop_map(|(t, s, u)| Step::Place(t, s, u)),
        2 => (0_u32..60).prop_map(Step::Release),
        2 => (0_u32..60, size()).prop_map(|(t, s)| Step::Report(t, s)),
        1 => (0..WORKERS, any::<bool>()).prop_map(|(w, l)| Step::Leave(w, l)),
        1 => (0..WORKERS).prop_map(Step::Remove),
        1 => (0..WORKERS).prop_map(Step::Add),
        1 => (0_u64..100).prop_map(Step::Expire),
    ]
}

/// The sums of the cluster and of each worker equal the sums over their tasks.
fn check_sums(cluster: &placement::Cluster) {
    let mut total = sizes::Resources::default();
    let mut capacity = sizes::Resources::default();
    let mut tasks = 0;
    for worker in cluster.workers() {
        let mut sum = sizes::Resources::default();
        for task in worker.tasks() {
            let allocation = cluster
                .allocation(task)
                .expect("a task of a worker has an allocation");
            assert_eq!(&allocation.worker, worker.id());
            sum = sum.plus(&allocation.request.size.larger(&allocation.used));
            tasks += 1;
        }
        assert_eq!(sum, worker.counted());
        total = total.plus(&sum);
        capacity = capacity.plus(&worker.capacity());
    }
    assert_eq!(total, cluster.counted());
    assert_eq!(capacity, cluster.capacity());
    assert_eq!(tasks, cluster.allocations().len());
}

/// Reserved resources, without use beyond them, fit on each worker.
fn check_reserved(cluster: &placement::Cluster) {
    for worker in cluster.workers() {
        let mut sum = sizes::Resources::default();
        for task in worker.tasks() {
            let allocation = cluster
                .allocation(task)
                .expect("a task of a worker has an allocation");
            sum = sum.plus(&allocation.request.size);
        }
        assert!(
            worker.capacity().holds(&sum),
            "{} over capacity",
            worker.id()
        );
    }
}

fn run(cluster: &mut placement::Cluster, step: Step, start: time::Instant) {
    match step {
        Step::Place(task, size, urgency) => {
            let request = helpers::request("job", task, size, urgency);
            let expires = start + time::Duration::from_secs(u64::from(task));
            let free: Vec<_> = cluster
                .workers()
                .map(|w| (w.id().clone(), w.free()))
                .collect();
            if let Ok(id) = cluster.place(&request, start, Some(expires)) {
                let (_, free) = free.iter().find(|(w, _)| *w == id).expect("known");
                assert!(
                    free.holds(&size),
                    "task placed on a worker with too few free resources"
                );
                let worker = cluster.worker(&id).expect("known");
                assert!(worker.takes_work());
            }
        }
        Step::Release(task) => {
            cluster.release(&helpers::task("job", task));
        }
        Step::Report(task, used) => {
            let id = helpers::task("job", task);
            let Some(allocation) = cluster.allocation(&id).cloned() else {
                return;
            };
            let worker = cluster.worker(&allocation.worker).expect("known");
            let report = helpers::report(worker, vec![helpers::running(&allocation, used)]);
            cluster.sync(&report, start, start);
        }
        Step::Leave(worker, leaving) => cluster.set_leaving(&helpers::worker_id(worker), leaving),
        Step::Remove(worker) => {
            cluster.remove_worker(&helpers::worker_id(worker));
        }
        Step::Add(worker) => {
            cluster.add_worker(&helpers::instance(worker), placement::Readiness::Ready);
        }
        Step::Expire(after) => {
            cluster.expire(start + time::Duration::from_secs(after));
        }
    }
}

proptest! {
    #![proptest_config(helpers::proptest_config(256))]

    #[test]
    fn sums_agree_and_no_worker_is_overcommitted(steps in prop::collection::vec(step(), 1..120)) {
        let start = time::Instant::now();
        let mut cluster = helpers::cluster(WORKERS);
        for step in steps {
            run(&mut cluster, step, start);
            check_sums(&cluster);
            check_reserved(&cluster);
        }
    }
}

#[test]
fn tenfold_use_closes_the_worker_and_stops_the_task() {
    let now = time::Instant::now();
    let mut cluster = helpers::cluster(1);
    let big = helpers::request(
        "big",
        0,
        helpers::size(8_000, 12, 0),
        catalogue::Urgency::Deadline,
    );
    let small = helpers::request(
        "small",
        0,
        helpers::size(4_000, 10, 0),
        catalogue::Urgency::Deadline,
    );
    cluster.place(&big, now, None).expect("resources are free");
    cluster
        .place(&small, now, None)
        .expect("resources are free");
    let allocation = cluster.allocation(&big.task).expect("placed").clone();
    let neighbour = cluster.allocation(&small.task).expect("placed").clone();
    let worker = cluster.worker(&allocation.worker).expect("known");
    let report = helpers::report(
        worker,
        vec![
            helpers::running(&allocation, helpers::size(64_000, 125, 0)),
            helpers::running(&neighbour, helpers::size(4_000, 10, 0)),
        ],
    );
    let outcome = cluster.sync(&report, now, now);
    assert_eq!(
        outcome.overload_actions,
        [(big.task.clone(), protocol::TaskAction::Stop)]
    );
    let next = helpers::request(
        "next",
        0,
        helpers::size(1, 0, 0),
        catalogue::Urgency::Interactive,
    );
    assert_eq!(
        cluster.place(&next, now, None),
        Err(placement::PlacementError::NoCapacity)
    );
}

#[test]
fn an_acquired_worker_gets_nothing_before_it_reports() {
    let now = time::Instant::now();
    let mut cluster = placement::Cluster::new(placement::Config::default());
    cluster.add_worker(&helpers::instance(0), placement::Readiness::Unreported);
    let request = helpers::request(
        "job",
        0,
        helpers::size(1_000, 1, 0),
        catalogue::Urgency::Interactive,
    );
    assert_eq!(
        cluster.place(&request, now, None),
        Err(placement::PlacementError::NoCapacity)
    );
    let old = helpers::running_task(helpers::task("old", 3), helpers::size(63_500, 1, 0));
    let worker = cluster.worker(&helpers::worker_id(0)).expect("known");
    let mut refused = helpers::report(worker, vec![]);
    refused.stale = true;
    cluster.sync(&refused, now, now);
    let tiny = helpers::request(
        "job",
        2,
        helpers::size(1, 0, 0),
        catalogue::Urgency::Interactive,
    );
    assert!(
        cluster.place(&tiny, now, None).is_err(),
        "the worker belongs to another holder"
    );
    let worker = cluster.worker(&helpers::worker_id(0)).expect("known");
    let report = helpers::report(worker, vec![old]);
    let outcome = cluster.sync(&report, now, now);
    assert_eq!(outcome.adopted, [helpers::task("old", 3)]);
    assert_eq!(
        cluster.place(&request, now, None),
        Err(placement::PlacementError::NoCapacity)
    );
    let small = helpers::request(
        "job",
        1,
        helpers::size(500, 1, 0),
        catalogue::Urgency::Interactive,
    );
    assert!(cluster.place(&small, now, None).is_ok());
}

#[test]
fn a_service_is_spread_over_failure_domains_then_racks() {
    let now = time::Instant::now();
    let mut cluster = helpers::cluster(16);
    let mut domains: indexmap::IndexMap<ids::FailureDomain, u32> = indexmap::IndexMap::new();
    let mut racks: indexmap::IndexMap<ids::ShardId, u32> = indexmap::IndexMap::new();
    for index in 0..8 {
        let mut request = helpers::request(
            "web",
            index,
            helpers::size(2_000, 4, 0),
            catalogue::Urgency::Interactive,
        );
        request.class = catalogue::JobClass::Service;
        let id = cluster
            .place(&request, now, None)
            .expect("resources are free");
        let shard = cluster.worker(&id).expect("known").shard().clone();
        let instance = helpers::instance(helpers::worker_number(&id));
        *domains.entry(instance.failure_domain).or_default() += 1;
        *racks.entry(shard).or_default() += 1;
        let most = index / 4 + 1;
        assert!(
            domains.values().all(|count| *count <= most),
            "tasks must be spread over failure domains first: {domains:?}"
        );
    }
    assert!(
        domains.len() == 4 && domains.values().all(|count| *count == 2),
        "{domains:?}"
    );
    assert!(racks.len() == 8, "{racks:?}");
}

#[test]
fn work_without_accelerators_uses_other_workers_first() {
    let now = time::Instant::now();
    let mut cluster = helpers::cluster(16);
    for index in 0..12 {
        let request = helpers::request(
            "plain",
            index,
            helpers::size(60_000, 8, 0),
            catalogue::Urgency::Deadline,
        );
        let id = cluster
            .place(&request, now, None)
            .expect("resources are free");
        let worker = cluster.worker(&id).expect("known");
        assert_eq!(worker.capacity().accelerators, 0, "task {index}");
    }
    let request = helpers::request(
        "plain",
        12,
        helpers::size(60_000, 8, 0),
        catalogue::Urgency::Deadline,
    );
    assert!(
        cluster.place(&request, now, None).is_ok(),
        "a worker with accelerators must be used rather than left idle"
    );
}

#[test]
fn a_leaving_worker_gets_nothing() {
    let now = time::Instant::now();
    let mut cluster = helpers::cluster(1);
    let mut leaving = helpers::instance(0);
    leaving.life = instances::Life::Leaving;
    cluster.add_worker(&leaving, placement::Readiness::Ready);
    let request = helpers::request(
        "job",
        0,
        helpers::size(1_000, 1, 0),
        catalogue::Urgency::Interactive,
    );
    assert_eq!(
        cluster.place(&request, now, None),
        Err(placement::PlacementError::NoCapacity)
    );
}

/// When all accelerators are in use, best-effort work that needs none must still be
/// placed.
#[test]
fn only_resources_that_a_task_needs_are_reserved_from_it() {
    let now = time::Instant::now();
    let mut cluster = helpers::cluster(4);
    let all = helpers::request(
        "gang",
        0,
        helpers::size(1_000, 1, 4),
        catalogue::Urgency::Deadline,
    );
    cluster.place(&all, now, None).expect("resources are free");
    let plain = helpers::request(
        "plain",
        0,
        helpers::size(1_000, 1, 0),
        catalogue::Urgency::BestEffort,
    );
    assert!(cluster.place(&plain, now, None).is_ok());
    let more = helpers::request(
        "more",
        0,
        helpers::size(1_000, 1, 1),
        catalogue::Urgency::BestEffort,
    );
    assert_eq!(
        cluster.place(&more, now, None),
        Err(placement::PlacementError::Reserved)
    );
}

/// At a placer, which gets one request at a time, a steady stream of small tasks
/// must not starve a large one. The worker reserved for the large task must not stay
/// idle when the requests for it end.
#[test]
fn a_placer_does_not_starve_a_large_task_or_leave_its_reservation_idle() {
    let mut now = time::Instant::now();
    let mut cluster = helpers::cluster(4);
    let urgency = catalogue::Urgency::Deadline;
    let large = helpers::request("large", 0, helpers::size(60_000, 1, 0), urgency);
    let mut running = std::collections::VecDeque::new();
    let mut started = false;
    for round in 0..400_u32 {
        if round >= 10 && cluster.place(&large, now, None).is_ok() {
            started = true;
            break;
        }
        for index in 0..40 {
            let job = format!("small-{round}");
            let small = helpers::request(&job, index, helpers::size(4_000, 1, 0), urgency);
            if cluster.place(&small, now, None).is_err() {
                break;
            }
            running.push_back(small.task);
        }
        for _ in 0..4 {
            let ended = running.pop_front().expect("many run");
            cluster.release(&ended);
        }
        now += time::Duration::from_millis(100);
    }
    assert!(started, "the large task starved");
    let again = helpers::request("again", 0, helpers::size(64_000, 1, 0), urgency);
    cluster
        .place(&again, now, None)
        .expect_err("no worker is empty");
    now += time::Duration::from_secs(2);
    let small = |index| helpers::request("more", index, helpers::size(4_000, 1, 0), urgency);
    let more = (0..64).filter(|index| cluster.place(&small(*index), now, None).is_ok());
    assert!(more.count() > 0, "resources were free");
    let full = |worker: &placement::Worker| worker.free().cpu_millis.0 < 4_000;
    assert!(
        cluster.workers().all(full),
        "a worker stays reserved for a task that is no longer requested"
    );
}

/// After a task found no accelerators, work without accelerators leaves processors and
/// memory for them.
#[test]
fn a_placer_reserves_processors_for_accelerators_in_demand() {
    let now = time::Instant::now();
    let mut cluster = placement::Cluster::new(placement::Config::default());
    cluster.add_worker(&helpers::instance(3), placement::Readiness::Ready);
    let urgency = catalogue::Urgency::Deadline;
    let fill = helpers::request("fill", 0, helpers::size(40_000, 1, 1), urgency);
    cluster.place(&fill, now, None).expect("resources are free");
    let gang = helpers::request("gang", 0, helpers::size(40_000, 1, 2), urgency);
    cluster
        .place(&gang, now, None)
        .expect_err("no processors left");
    cluster.release(&fill.task);
    let plain = |index| helpers::request("plain", index, helpers::size(20_000, 1, 0), urgency);
    assert!(cluster.place(&plain(0), now, None).is_err());
    assert!(cluster.place(&gang, now, None).is_ok());
    cluster.release(&gang.task);
    let later = now + time::Duration::from_secs(6);
    assert!(cluster.place(&plain(0), later, None).is_ok());
}

/// All tasks use ten times what they declare, and the worker has the capacity for one
/// such task. After each report the tasks that do not fit are stopped, and new ones
/// are placed. Tasks that are alike must be
/// stopped newest first: stopped in turn, none would ever finish.
#[test]
fn tasks_finish_one_by_one_when_all_exceed_their_size() {
    const ROUND_MS: u64 = 250;
    const RUN_MS: u64 = 1_000;
    const ROUNDS: u32 = 40;
    let used = helpers::size(40_000, 40, 0);
    let mut now = time::Instant::now();
    let mut cluster = helpers::cluster(1);
    let mut running: Vec<(ids::TaskId, u64)> = Vec::new();
    let mut ended = 0;
    for index in 0..ROUNDS {
        for slot in 0..16 {
            let index = index * 16 + slot;
            let size = helpers::size(4_000, 4, 0);
            let request = helpers::request("greedy", index, size, catalogue::Urgency::Deadline);
            if cluster.place(&request, now, None).is_ok() {
                running.push((request.task, 0));
            }
        }
        now += time::Duration::from_millis(ROUND_MS);
        let lines = running.iter_mut().map(|(task, ran_ms)| {
            *ran_ms += ROUND_MS;
            let allocation = cluster.allocation(task).expect("placed");
            let phase = match *ran_ms >= RUN_MS {
                true => protocol::TaskPhase::Done,
                false => protocol::TaskPhase::Running,
            };
            protocol::TaskReport {
                phase,
                ran_ms: *ran_ms,
                ..helpers::running(allocation, used)
            }
        });
        let lines = lines.collect();
        let worker = cluster.workers().next().expect("a worker");
        let report = helpers::report(worker, lines);
        let outcome = cluster.sync(&report, now, now);
        ended += outcome.ended.len();
        for (task, action) in &outcome.overload_actions {
            assert_eq!(*action, protocol::TaskAction::Stop);
            cluster.release(task);
        }
        running.retain(|(task, _)| cluster.allocation(task).is_some());
    }
    // One at a time, for 1 s of the 10 s each.
    assert!(ended >= 9, "{ended} ended in {ROUNDS} rounds");
}
