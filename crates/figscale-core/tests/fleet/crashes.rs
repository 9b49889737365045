//! Tasks that crash each worker that starts them, and tasks that run on the
//! same workers.

use std::mem;
use std::time;

use figscale_core::fleet::Records;
use figscale_types::fleet;
use rstest::rstest;

use crate::helpers;
use crate::helpers::Random;
use crate::helpers::TestCluster;

const CORES: u64 = 64;
/// Limit of starts: three crashed workers and three more starts.
const TOO_MANY_STARTS: usize = 6;

/// Crashes each worker of a task, `after_ms` after the start, until the job has
/// failed; returns the number of crashes.
fn crash_until_ended(cluster: &mut TestCluster, task: fleet::TaskId, after_ms: u64) -> usize {
    let mut crashes = 0;
    for _ in 0..200 {
        if let Some(host_worker) = cluster.host_worker(task) {
            cluster.advance(after_ms);
            assert_eq!(cluster.host_worker(task), Some(host_worker.clone()));
            cluster.crash(&host_worker);
            crashes += 1;
            cluster.advance(1_000);
            cluster.replace(&host_worker, CORES);
        }
        if cluster.state(task.job.0) == Some(fleet::JobState::Failed) {
            return crashes;
        }
        assert!(
            crashes < TOO_MANY_STARTS,
            "the task is restarted without end"
        );
        cluster.advance(100);
    }
    panic!("{:?} after {crashes} crashes", cluster.state(task.job.0));
}

/// Guards against a task that is started on one worker after the other and
/// crashes each of them.
#[test]
fn a_task_that_crashes_its_workers_fails_permanently() {
    let mut cluster = TestCluster::new(6);
    cluster.run(1, &helpers::queue(1), vec![helpers::step(1, 1)]);
    let crashes = crash_until_ended(&mut cluster, helpers::task(1, 0, 0), 0);
    assert!(crashes >= 2, "failed permanently after {crashes} crashes");
}

/// Guards against a crash some time after the start, when the run has already
/// been reported.
#[test]
fn a_task_that_crashes_its_workers_late_fails_permanently() {
    for after_ms in [300, 800, 2_000] {
        let mut cluster = TestCluster::new(6);
        let step = helpers::with_estimate(helpers::step(1, 1), 5_000);
        cluster.run(1, &helpers::queue(1), vec![step]);
        crash_until_ended(&mut cluster, helpers::task(1, 0, 0), after_ms);
    }
}

/// Guards against a gang that restarts without end while one member crashes its
/// worker.
#[test]
fn a_gang_that_crashes_workers_fails_permanently() {
    let mut cluster = TestCluster::new(8);
    cluster.run(1, &helpers::queue(1), vec![helpers::gang(4, 32)]);
    crash_until_ended(&mut cluster, helpers::task(1, 0, 0), 0);
}

/// Guards against lost runs that are forgotten at a change of leaders: each
/// leader is replaced as soon as it has written what it observed.
#[test]
fn a_task_that_crashes_its_workers_fails_permanently_across_takeovers() {
    let mut cluster = TestCluster::new(6);
    let crashing = helpers::task(1, 0, 0);
    cluster.run(1, &helpers::queue(1), vec![helpers::step(1, 1)]);
    let mut crashes = 0;
    for epoch in 2..12 {
        while cluster.host_worker(crashing).is_none() {
            if cluster.state(1) == Some(fleet::JobState::Failed) {
                return;
            }
            cluster.advance(100);
        }
        let host_worker = cluster.host_worker(crashing).unwrap();
        cluster.crash(&host_worker);
        crashes += 1;
        assert!(
            crashes < TOO_MANY_STARTS,
            "the task is restarted without end"
        );
        cluster.take_over(epoch);
        cluster.settle();
        cluster.replace(&host_worker, CORES);
    }
    panic!("{:?} after {crashes} crashes", cluster.state(1));
}

/// Guards against a start after a lost run that is not yet recorded: the next
/// leader would not know of the loss.
#[test]
fn a_task_with_a_lost_run_waits_for_the_store() {
    let mut cluster = TestCluster::new(6);
    let crashing = helpers::task(1, 0, 0);
    cluster.run(1, &helpers::queue(1), vec![helpers::step(1, 1)]);
    let host_worker = cluster.host_worker(crashing).unwrap();
    cluster.store_available = false;
    cluster.crash(&host_worker);
    cluster.advance(1_000);
    cluster.replace(&host_worker, CORES);
    cluster.advance(10_000);
    assert_eq!(cluster.host_worker(crashing), None);
    cluster.store_available = true;
    cluster.advance(300);
    assert!(cluster.host_worker(crashing).is_some());
}

/// Guards against the permanent failure of a task that was lost several times
/// because other tasks crashed its workers.
#[test]
fn a_task_beside_crashing_ones_does_not_fail_permanently() {
    let mut cluster = TestCluster::new(3);
    let step = helpers::with_estimate(helpers::step(1, 1), 60_000);
    cluster.run(1, &helpers::queue(1), vec![step.clone()]);
    let beside = helpers::task(1, 0, 0);
    for number in 2..14 {
        cluster.advance(700);
        // Each new run crashes its worker; some of these workers also run the
        // task that is checked.
        cluster.run(number, &helpers::queue(1), vec![step.clone()]);
        let host_worker = cluster.host_worker(helpers::task(number, 0, 0)).unwrap();
        cluster.crash(&host_worker);
        cluster.advance(1_000);
        cluster.replace(&host_worker, CORES);
        cluster
            .scheduler
            .cancel(helpers::job_id(number), cluster.now);
        cluster.advance(1_000);
    }
    assert_eq!(cluster.state(1), Some(fleet::JobState::Running));
    assert!(cluster.host_worker(beside).is_some());
}

/// Guards against a second task that is started beside one which may crash the
/// worker: the crash would count against both.
#[test]
fn nothing_is_started_beside_a_task_in_quarantine() {
    let mut cluster = TestCluster::new(3);
    let crashing = helpers::task(1, 0, 0);
    let step = helpers::with_estimate(helpers::step(1, 1), 20_000);
    cluster.run(1, &helpers::queue(1), vec![step.clone()]);
    let host_worker = cluster.host_worker(crashing).unwrap();
    cluster.crash(&host_worker);
    cluster.advance(1_000);
    cluster.replace(&host_worker, CORES);
    let host_worker = cluster.host_worker(crashing).unwrap();
    cluster.run(2, &helpers::queue(1), vec![helpers::step(200, 1)]);
    assert_eq!(cluster.workers[&host_worker].running.len(), 1);
    cluster.advance(1_000);
    assert!(
        cluster.workers[&host_worker].running.len() > 1,
        "the worker stays isolated after the quarantine"
    );
}

/// Guards against lost runs that are counted while a worker only failed to
/// respond for a time.
#[test]
fn a_worker_that_reports_again_has_not_crashed() {
    let mut cluster = TestCluster::new(2);
    let step = helpers::with_estimate(helpers::step(1, 1), 20_000);
    cluster.run(1, &helpers::queue(1), vec![step]);
    let task = helpers::task(1, 0, 0);
    let host_worker = cluster.host_worker(task).unwrap();
    for _ in 0..6 {
        cluster
            .scheduler
            .worker_call_failed(&host_worker, cluster.now);
        cluster.settle();
    }
    cluster.crash(&host_worker);
    cluster.advance(1_000);
    cluster.replace(&host_worker, CORES);
    assert_eq!(cluster.state(1), Some(fleet::JobState::Running));
    assert!(cluster.host_worker(task).is_some());
}

/// Time in which a task with losses starts again although workers are free and
/// no other worker is lost: a calm stretch has 7 s.
const CALM_MS: u64 = 7_000;

/// Attempts that a task which crashes its workers may take in a calm fleet.
const MAX_CRASHES_IN_CALM: usize = 5;

/// Starts a gang of one member a worker and crashes one of its workers 200 ms after
/// the start, `losses` times; each crashed worker is replaced.
fn gang_with_losses(workers: usize, members: u32, losses: usize) -> TestCluster {
    let mut cluster = TestCluster::new(workers);
    let gang = helpers::with_estimate(helpers::gang(members, CORES), 5_000);
    cluster.run(1, &helpers::queue(1), vec![gang]);
    let last = helpers::task(1, 0, members - 1);
    for _ in 0..losses {
        advance_until_placed(&mut cluster, last, CALM_MS);
        cluster.advance(200);
        let host_worker = cluster.host_worker(last).unwrap();
        cluster.crash(&host_worker);
        cluster.advance(300);
        cluster.replace(&host_worker, CORES);
    }
    cluster
}

/// Advances until a task runs, which must be within `limit_ms`.
fn advance_until_placed(cluster: &mut TestCluster, task: fleet::TaskId, limit_ms: u64) {
    for _ in 0..limit_ms / 100 {
        if cluster.host_worker(task).is_some() {
            return;
        }
        cluster.advance(100);
    }
    assert!(
        cluster.host_worker(task).is_some(),
        "{task} is not started within {limit_ms} ms"
    );
}

/// Guards against a wide gang that is held for good after two lost attempts, since a
/// third could meet a coincidence in a calm fleet too.
#[test]
fn a_wide_gang_with_losses_is_started_again_in_a_calm_fleet() {
    for members in [18, 24, 36, 48] {
        let mut cluster = gang_with_losses(48, members, 2);
        let task = helpers::task(1, 0, 0);
        advance_until_placed(&mut cluster, task, CALM_MS);
        cluster.advance(5_000);
        cluster.end(task, fleet::End::Done);
        assert_eq!(cluster.state(1), Some(fleet::JobState::Completed));
    }
}

/// Guards against a wide gang that crashes one of its workers at each start, for ever: in a
/// calm fleet its losses must show it as the cause, however many workers it spans.
#[test]
fn a_wide_gang_that_crashes_its_workers_fails_in_a_calm_fleet() {
    for members in [18, 36, 48] {
        let mut cluster = gang_with_losses(48, members, MAX_CRASHES_IN_CALM);
        // The last loss is judged once simultaneous ones would be known.
        cluster.advance(2_000);
        assert_eq!(
            cluster.state(1),
            Some(fleet::JobState::Failed),
            "{members} members"
        );
    }
}

/// Guards against a worker that is out of use for good, since the losses of the task in
/// quarantine there were cleared by another run of the task.
#[test]
fn a_quarantine_ends_with_the_losses_of_its_task() {
    let mut cluster = TestCluster::new(2);
    let step = helpers::with_estimate(helpers::step(1, 1), 60_000);
    cluster.run(1, &helpers::queue(1), vec![step]);
    let task = helpers::task(1, 0, 0);
    let first = cluster.host_worker(task).unwrap();
    cluster.worker(first.name()[2..].parse().unwrap()).reachable = false;
    cluster.scheduler.worker_call_failed(&first, cluster.now);
    for _ in 0..100 {
        if cluster.placed(task).len() > 1 {
            break;
        }
        cluster.advance(100);
    }
    // The first run is still there when its worker responds, and stops late. Meanwhile
    // the second worker does not respond.
    let mut placed = cluster.placed(task).into_iter();
    let (second, _) = placed.find(|(id, _)| *id != first).unwrap();
    cluster.workers.get_mut(&second).unwrap().reachable = false;
    cluster.scheduler.worker_call_failed(&second, cluster.now);
    let worker = cluster.workers.get_mut(&first).unwrap();
    worker.reachable = true;
    worker.stops_at_once = false;
    cluster.advance(2_000);
    let worker = cluster.workers.get_mut(&first).unwrap();
    worker.end(task, 1, fleet::End::LeaseExpired);
    cluster.workers.get_mut(&second).unwrap().reachable = true;
    cluster.advance(4_000);
    assert_eq!(cluster.host_worker(task), Some(second.clone()));
    cluster.run(2, &helpers::queue(1), vec![helpers::step(100, 1)]);
    assert!(
        cluster.workers[&second].running.len() > 1,
        "the worker stays isolated"
    );
}

/// Ends of an independent step come at this interval.
const END_INTERVAL_MS: u64 = 100;
/// Time that a slow store takes for a write.
const SLOW_WRITE_MS: u64 = 300;

/// Advances by 100 ms with a slow store. `write` holds the write in flight and the
/// time at which it ends.
fn advance_with_slow_store(
    cluster: &mut TestCluster,
    write: &mut Option<(Records, time::Instant)>,
) {
    cluster.now += helpers::ms(100);
    cluster.wall_ms += 100;
    cluster.scheduler.tick(cluster.now, cluster.wall_ms);
    if let Some((records, _)) = write.take_if(|(_, ends_at)| cluster.now >= *ends_at) {
        cluster.apply_records(&records.records);
        cluster.scheduler.records_written(&records, 1);
    }
    cluster.report_all();
    let ids: Vec<fleet::WorkerId> = cluster.workers.keys().cloned().collect();
    cluster.scheduler.entries_read(&ids, cluster.now);
    cluster.scheduler.plan(cluster.now);
    if write.is_none() && cluster.scheduler.has_records() {
        let records = cluster.scheduler.take_records(helpers::MAX_RECORDS);
        let ends_at = cluster.now + helpers::ms(SLOW_WRITE_MS);
        *write = Some((records, ends_at));
    }
    cluster.execute_actions();
}

/// Guards against a lost task that is not started as long as another step of its job
/// changes more often than the store writes.
#[test]
fn a_task_with_losses_starts_beside_frequent_changes_of_its_job() {
    let mut cluster = TestCluster::new(6);
    let lasting = fleet::StepDescription {
        long_running: true,
        ..helpers::with_estimate(helpers::step(20, 4), 600_000)
    };
    let step = helpers::with_estimate(helpers::step(1, CORES), 20_000);
    cluster.run(1, &helpers::queue(1), vec![step, lasting]);
    let task = helpers::task(1, 0, 0);
    let host_worker = cluster.host_worker(task).unwrap();
    cluster.store_available = false;
    cluster.crash(&host_worker);
    cluster.replace(&host_worker, CORES);
    let mut write = None;
    for number in 0..CALM_MS / END_INTERVAL_MS {
        advance_with_slow_store(&mut cluster, &mut write);
        if cluster.host_worker(task).is_some() {
            return;
        }
        let ended = helpers::task(1, 1, (number % 20) as u32);
        if let Some((id, attempt)) = cluster.placed(ended).pop() {
            let worker = cluster.workers.get_mut(&id).unwrap();
            worker.end(ended, attempt, fleet::End::Stopped);
        }
    }
    panic!("not started within {CALM_MS} ms");
}

/// Guards against a start after a lost run whose record was refused by the store.
#[test]
fn a_task_with_a_lost_run_waits_for_a_write_that_succeeds() {
    let mut cluster = TestCluster::new(6);
    let crashing = helpers::task(1, 0, 0);
    cluster.run(1, &helpers::queue(1), vec![helpers::step(1, 1)]);
    let host_worker = cluster.host_worker(crashing).unwrap();
    cluster.store_available = false;
    cluster.crash(&host_worker);
    cluster.replace(&host_worker, CORES);
    for _ in 0..3 {
        let records = cluster.scheduler.take_records(helpers::MAX_RECORDS);
        cluster.scheduler.records_not_written(&records);
        cluster.advance(100);
        assert_eq!(cluster.host_worker(crashing), None);
    }
    cluster.store_available = true;
    cluster.advance(300);
    assert!(cluster.host_worker(crashing).is_some());
}

/// A minute in which other workers are lost all the time. A task with losses must start
/// before it is over.
const UNDER_LOSSES_MS: u64 = 60_000;

/// Loses a worker other than the host workers of a job each second, until `task`
/// runs. It has to run within [`UNDER_LOSSES_MS`].
fn lose_workers_until_placed(cluster: &mut TestCluster, task: fleet::TaskId) {
    for _ in 0..UNDER_LOSSES_MS / 1_000 {
        if cluster.host_worker(task).is_some() {
            return;
        }
        let idle = cluster.workers.iter();
        let idle = idle.filter(|(_, worker)| worker.running.is_empty());
        let id = idle.map(|(id, _)| id).next().unwrap().clone();
        cluster.crash(&id);
        cluster.advance(500);
        cluster.replace(&id, CORES);
        cluster.advance(500);
    }
    let waits = cluster.host_worker(task).is_none();
    assert!(!waits, "{task} is held for {UNDER_LOSSES_MS} ms");
}

/// Guards against a wide gang that waits as long as any worker of a large fleet is
/// lost every second.
#[test]
fn a_wide_gang_with_losses_does_not_wait_for_the_end_of_all_losses() {
    let mut cluster = gang_with_losses(60, 24, 2);
    lose_workers_until_placed(&mut cluster, helpers::task(1, 0, 0));
}

/// Crashes the host worker of a task together with some other workers, `losses`
/// times.
fn lose_in_mass_crashes(cluster: &mut TestCluster, task: fleet::TaskId, losses: usize) {
    for _ in 0..losses {
        advance_until_placed(cluster, task, CALM_MS);
        cluster.advance(200);
        let host_worker = cluster.host_worker(task).unwrap();
        let others = cluster.workers.keys().filter(|id| **id != host_worker);
        let mut hit: Vec<_> = others.take(8).cloned().collect();
        hit.push(host_worker);
        for id in &hit {
            cluster.crash(id);
        }
        cluster.advance(500);
        for id in &hit {
            cluster.replace(id, CORES);
        }
    }
}

/// A long-running task that was lost in three mass crashes.
fn long_running_task_with_losses() -> (TestCluster, fleet::TaskId) {
    let mut cluster = TestCluster::new(16);
    let step = fleet::StepDescription {
        long_running: true,
        ..helpers::with_estimate(helpers::step(1, 4), 600_000)
    };
    cluster.run(1, &helpers::queue(1), vec![step]);
    let task = helpers::task(1, 0, 0);
    lose_in_mass_crashes(&mut cluster, task, 3);
    (cluster, task)
}

/// Guards against a long-running task that waits as long as any worker is lost every
/// second, after it was lost in three mass crashes.
#[test]
fn a_long_running_task_with_losses_does_not_wait_for_the_end_of_all_losses() {
    let (mut cluster, task) = long_running_task_with_losses();
    lose_workers_until_placed(&mut cluster, task);
    assert_eq!(cluster.state(1), Some(fleet::JobState::Running));
}

/// Guards against a hold without end after a takeover: recorded losses have no times.
#[test]
fn a_hold_of_a_long_running_task_ends_after_a_takeover_too() {
    let (mut cluster, task) = long_running_task_with_losses();
    cluster.take_over(2);
    lose_workers_until_placed(&mut cluster, task);
}

/// Tasks that crash their workers in a small fleet, beside short work.
struct Crashers {
    cluster: TestCluster,
    /// Each with the time from its start to the crash.
    crashing: Vec<(fleet::TaskId, u64)>,
    /// Starts that were not followed by a crash yet, with the times of the crashes.
    due: Vec<(fleet::WorkerId, u64)>,
}

impl Crashers {
    fn new(seed: u64) -> Self {
        let mut random = Random(seed.wrapping_mul(77_003) + 5);
        random.next();
        let mut cluster = TestCluster::new(6);
        let count = 2 + (random.next() * 3.0) as u64;
        let mut crashing = Vec::new();
        for number in 1..=count {
            let step = match random.next() < 0.3 {
                true => helpers::gang(2, 32),
                false => helpers::step(1, 4),
            };
            cluster.run(number, &helpers::queue(1), vec![step]);
            let after_ms = (random.next() * 8.0) as u64 * 100;
            crashing.push((helpers::task(number, 0, 0), after_ms));
        }
        Self {
            cluster,
            crashing,
            due: Vec::new(),
        }
    }

    /// Crashes the workers whose time has come, and replaces them.
    fn crash_due(&mut self, time_ms: u64) {
        for (task, after_ms) in &self.crashing {
            let host_worker = self.cluster.host_worker(*task);
            if let Some(id) = host_worker.filter(|id| self.due.iter().all(|due| due.0 != *id)) {
                self.due.push((id, time_ms + after_ms));
            }
        }
        for (id, due_ms) in mem::take(&mut self.due) {
            if time_ms < due_ms {
                self.due.push((id, due_ms));
                continue;
            }
            self.cluster.crash(&id);
            self.cluster.replace(&id, CORES);
        }
    }

    /// Runs short work, of which each run ends within 100 ms.
    fn run_short_work(&mut self, time_ms: u64) {
        if time_ms.is_multiple_of(1_000) {
            let step = helpers::with_estimate(helpers::step(4, 4), 1_000);
            let description = helpers::job(vec![step]);
            let queue = helpers::queue(0);
            self.cluster.submit(100 + time_ms, &queue, description);
        }
        self.cluster.advance(100);
        for worker in self.cluster.workers.values_mut() {
            let keys: Vec<_> = worker.running.keys().copied().collect();
            let keys = keys.into_iter().filter(|(task, _)| task.job.0 >= 100);
            for (task, attempt) in keys {
                worker.end(task, attempt, fleet::End::Done);
            }
        }
    }

    /// The jobs that have not failed.
    fn open(&self) -> Vec<u64> {
        let jobs = self.crashing.iter().map(|(task, _)| task.job.0);
        let failed = Some(fleet::JobState::Failed);
        jobs.filter(|number| self.cluster.state(*number) != failed)
            .collect()
    }
}

/// Guards against tasks that crash their workers, and whose losses hold each other
/// without end in a small fleet.
#[test]
fn tasks_that_crash_their_workers_do_not_hold_each_other_without_end() {
    let most = std::env::var("FIGSCALE_SEEDS").ok();
    let most = most.map_or(12, |text| text.parse::<u64>().unwrap());
    let mut found = Vec::new();
    for seed in 0..most {
        let mut crashers = Crashers::new(seed);
        let mut time_ms = 0;
        while !crashers.open().is_empty() && time_ms < 120_000 {
            crashers.crash_due(time_ms);
            crashers.run_short_work(time_ms);
            time_ms += 100;
        }
        if !crashers.open().is_empty() {
            found.push((seed, crashers.open(), crashers.crashing));
        }
    }
    let count = found.len();
    assert!(
        found.is_empty(),
        "{count} (seed, open jobs, tasks): {found:#?}"
    );
}

/// Time for which a machine that goes up and down is up.
const UP_MS: u64 = 1_100;

/// A cluster with one worker that has room for the task of job 1; the others are full.
fn cluster_with_one_free_worker() -> TestCluster {
    let mut cluster = TestCluster::new(12);
    let filling = helpers::with_estimate(helpers::step(11, CORES), 600_000);
    cluster.run(2, &helpers::queue(1), vec![filling]);
    let step = helpers::with_estimate(helpers::step(1, 6), 3_000);
    cluster.run(1, &helpers::queue(1), vec![step]);
    cluster
}

/// Crashes the worker of job 1's task a second after its start and lets the machine
/// come back, `times` times.
fn crash_machine(cluster: &mut TestCluster, times: usize, takes_over: bool) {
    let task = helpers::task(1, 0, 0);
    for round in 0..times {
        for _ in 0..400 {
            if cluster.host_worker(task).is_some() {
                break;
            }
            cluster.advance(100);
        }
        let host = cluster.host_worker(task).unwrap();
        cluster.advance(UP_MS);
        if cluster.host_worker(task).is_none() {
            continue;
        }
        cluster.crash(&host);
        cluster.advance(UP_MS);
        cluster.restart(&host);
        if takes_over {
            cluster.take_over(round as u64 + 2);
        }
        cluster.settle();
    }
}

/// Guards against a job that fails because the only machine with room goes down again
/// and again under it, under one leader or several.
#[rstest]
#[case::one_leader(false)]
#[case::a_leader_for_each_crash(true)]
fn a_task_on_a_machine_that_goes_up_and_down_is_not_the_cause(#[case] takes_over: bool) {
    let mut cluster = cluster_with_one_free_worker();
    crash_machine(&mut cluster, 3, takes_over);
    for _ in 0..400 {
        if cluster.host_worker(helpers::task(1, 0, 0)).is_some() {
            break;
        }
        cluster.advance(100);
    }
    assert_eq!(cluster.state(1), Some(fleet::JobState::Running));
    cluster.end(helpers::task(1, 0, 0), fleet::End::Done);
    assert_eq!(cluster.state(1), Some(fleet::JobState::Completed));
}

/// Guards against a task that crashes the only machine with room without end: once that
/// has been up for a while, another crash counts.
#[test]
fn a_task_that_crashes_its_only_machine_fails_permanently() {
    let mut cluster = cluster_with_one_free_worker();
    let task = helpers::task(1, 0, 0);
    let mut crashes = 0;
    for _ in 0..1_200 {
        if let Some(host) = cluster.host_worker(task) {
            cluster.crash(&host);
            crashes += 1;
            cluster.advance(UP_MS);
            cluster.restart(&host);
            cluster.settle();
        }
        cluster.advance(100);
    }
    assert_eq!(cluster.state(1), Some(fleet::JobState::Failed));
    assert!(crashes < TOO_MANY_STARTS, "{crashes} crashes");
}

/// Guards against a task under suspicion that is started on the machine that has just
/// come back, although another one has room.
#[test]
fn a_task_that_lost_its_worker_prefers_a_machine_that_was_not_lost() {
    let mut cluster = TestCluster::new(2);
    let other = helpers::with_estimate(helpers::step(2, 1), 60_000);
    let other = fleet::StepDescription {
        max_per_worker: Some(1),
        ..other
    };
    cluster.run(2, &helpers::queue(1), vec![other]);
    cluster.advance(1_000);
    let step = helpers::with_estimate(helpers::step(1, 6), 3_000);
    cluster.run(1, &helpers::queue(1), vec![step]);
    let task = helpers::task(1, 0, 0);
    let host = cluster.host_worker(task).unwrap();
    // Nothing else may start until the machine is back, which then has fewer runs.
    let number = usize::from(host == helpers::worker_id(0));
    cluster.worker(number).entry.draining = true;
    let entry = cluster.worker(number).entry.clone();
    cluster.scheduler.worker_listed(entry, cluster.now);
    cluster.crash(&host);
    cluster.advance(500);
    let next = cluster.restart(&host);
    cluster.worker(number).entry.draining = false;
    let entry = cluster.worker(number).entry.clone();
    cluster.scheduler.worker_listed(entry, cluster.now);
    cluster.advance(1_000);
    let placed = cluster.host_worker(task).unwrap();
    assert_ne!(placed, next);
}
