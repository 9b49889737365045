//! Homes and placers under faults, on a simulated clock.
//!
//! Invariants, checked at the simulated workers: no task runs on two of them, none
//! runs more than its capacity, a task that must not run twice starts once, a
//! refused job never starts, an accepted one ends. Seeds are fixed;
//! `JOB_FAULTS_SEEDS=A..B` runs others.

mod cell;
mod worker;

use std::time;

use figscale_core::job::home;
use figscale_types::catalogue;
use figscale_types::ids;
use figscale_types::jobs;
use rstest::rstest;

use cell::Cell;
use cell::Faults;

const SECOND: time::Duration = time::Duration::from_secs(1);

fn spec(tasks: u32, cpu_millis: u64, run_ms: u64, idempotent: bool) -> jobs::JobSpec {
    jobs::JobSpec {
        entry: "tides".parse().expect("a legal name"),
        owner: "council".parse().expect("a legal name"),
        tasks,
        task: cell::resources(cpu_millis),
        run_ms,
        deadline_ms: None,
        idempotent,
        checkpointable: false,
        command: String::new(),
    }
}

fn terms(class: catalogue::JobClass) -> jobs::JobTerms {
    jobs::JobTerms {
        class,
        ..jobs::JobTerms::default()
    }
}

/// A job id whose job shard is one of the four in use.
fn job_name(prefix: &str, number: u64) -> String {
    (0..)
        .map(|salt| format!("{prefix}-{number}-{salt}"))
        .find(|name| {
            let id: ids::JobId = name.parse().expect("a legal name");
            let shard = jobs::shard_of(&id).expect("a shard");
            ["job/00", "job/01", "job/02", "job/03"].contains(&shard.as_str())
        })
        .expect("a name")
}

/// A job id whose job shard is that of another job.
fn job_name_in_shard_of(prefix: &str, other: &str) -> String {
    let shard = |name: &str| jobs::shard_of(&name.parse().expect("a legal name"));
    (0..)
        .map(|salt| format!("{prefix}-{salt}"))
        .find(|name| shard(name) == shard(other))
        .expect("a name")
}

fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("JOB_FAULTS_SEEDS") else {
        return (1..=4).collect();
    };
    let (low, high) = text.split_once("..").expect("JOB_FAULTS_SEEDS=A..B");
    (low.parse().expect("a number")..high.parse().expect("a number")).collect()
}

#[test]
fn a_job_is_written_placed_run_and_done() {
    let mut cell = Cell::new(1, 2, 4);
    cell.run(SECOND);
    let id = job_name("job", 1);
    cell.submit(
        &id,
        spec(8, 1_000, 500, true),
        terms(catalogue::JobClass::Batch),
    );
    cell.run(4 * SECOND);
    let id = id.parse().expect("a legal name");
    let status = cell.status(&id).expect("a status");
    assert_eq!(status.state, jobs::JobState::Done, "{status:?}");
    assert_eq!(cell.starts.len(), 8);
    assert_eq!(cell.violations, Vec::<String>::new());
}

/// Thousands of tasks of a size that no worker has capacity for. After the first
/// refusal each home sends one order at a time, so that a long queue costs the
/// control thread as little as a short one. With full calls, five seconds of this
/// queue were over 20,000 orders.
#[test]
fn a_size_that_fits_nowhere_is_probed_one_order_at_a_time() {
    let mut cell = Cell::new(1, 1, 4);
    cell.run(SECOND);
    for number in 0..20 {
        let large = spec(100, 60_000, 1_000, true);
        cell.submit(
            &job_name("large", number),
            large,
            terms(catalogue::JobClass::Batch),
        );
    }
    cell.run(5 * SECOND);
    let probes = 4 * 10 * 5;
    let calls = 4 * home::Config::default().max_call_orders;
    assert!(
        cell.orders <= calls + probes,
        "{} orders for a size that fits nowhere",
        cell.orders
    );
    let small = job_name("small", 1);
    let fits = spec(40, 1_000, 200, true);
    cell.submit(&small, fits, terms(catalogue::JobClass::Batch));
    cell.run(6 * SECOND);
    assert_eq!(state(&cell, &small), Some(jobs::JobState::Done));
    assert_eq!(cell.violations, Vec::<String>::new());
}

fn state(cell: &Cell, name: &str) -> Option<jobs::JobState> {
    let id: ids::JobId = name.parse().expect("a legal name");
    cell.status(&id).map(|status| status.state)
}

/// A leaving worker gets no new tasks. Its checkpointable tasks are checkpointed
/// and resumed elsewhere, and its tasks of services are started elsewhere.
#[test]
fn tasks_are_moved_off_a_leaving_worker() {
    let mut cell = Cell::new(2, 1, 2);
    cell.run(SECOND);
    let (saved, served) = (job_name("saved", 1), job_name("served", 1));
    let mut job = spec(2, 1_000, 60_000, false);
    job.checkpointable = true;
    cell.submit(&saved, job, terms(catalogue::JobClass::Batch));
    let service = spec(2, 500, 1_000_000, true);
    cell.submit(&served, service, terms(catalogue::JobClass::Service));
    cell.run(3 * SECOND);
    let busy = (0..2).find(|index| cell.workers[*index].used(cell.now).cpu_millis.0 > 0);
    let busy = busy.expect("a busy worker");
    cell.workers[busy].leaving = true;
    cell.run(SECOND);
    let before = cell.starts_on(busy);
    cell.run(10 * SECOND);
    assert_eq!(cell.starts_on(busy), before);
    assert_eq!(cell.workers[busy].used(cell.now).cpu_millis.0, 0);
    assert_eq!(cell.workers[1 - busy].used(cell.now).cpu_millis.0, 3_000);
}

/// Tasks of a service are started again whenever they end, until it is cancelled.
#[test]
fn service_tasks_are_restarted_until_cancelled() {
    let mut cell = Cell::new(3, 2, 4);
    cell.run(SECOND);
    let served = job_name("served", 1);
    cell.submit(
        &served,
        spec(3, 500, 2_000, true),
        terms(catalogue::JobClass::Service),
    );
    cell.run(20 * SECOND);
    assert_eq!(state(&cell, &served), Some(jobs::JobState::Running));
    assert!(
        cell.starts.values().all(|starts| *starts >= 4),
        "{:?}",
        cell.starts
    );
    cell.cancel(&served);
    cell.run(3 * SECOND);
    assert_eq!(state(&cell, &served), Some(jobs::JobState::Cancelled));
    assert_eq!(cell.violations, Vec::<String>::new());
}

/// Urgent tasks preempt less urgent ones that are preemptible.
#[test]
fn urgent_tasks_preempt_preemptible_ones() {
    let mut cell = Cell::new(4, 1, 2);
    cell.run(SECOND);
    let preemptible_terms = jobs::JobTerms {
        preemptible: true,
        ..jobs::JobTerms::default()
    };
    let (low, high) = (job_name("low", 1), job_name("high", 1));
    cell.submit(&low, spec(7, 1_000, 20_000, true), preemptible_terms);
    cell.run(2 * SECOND);
    let urgent = jobs::JobTerms {
        urgency: catalogue::Urgency::Interactive,
        ..jobs::JobTerms::default()
    };
    cell.submit(&high, spec(1, 3_000, 1_000, true), urgent);
    cell.run(6 * SECOND);
    assert_eq!(state(&cell, &high), Some(jobs::JobState::Done));
    cell.run(60 * SECOND);
    assert_eq!(state(&cell, &low), Some(jobs::JobState::Done));
    assert_eq!(cell.violations, Vec::<String>::new());
}

/// A worker on which every task fails is ejected after few failures, and the jobs
/// affected are done elsewhere.
#[test]
fn a_worker_that_fails_everything_is_ejected() {
    let mut cell = Cell::new(5, 1, 4);
    cell.run(SECOND);
    cell.workers[0].fails = true;
    let names: Vec<_> = (0..40).map(|number| job_name("job", number)).collect();
    for name in &names {
        cell.submit(
            name,
            spec(2, 1_000, 300, true),
            terms(catalogue::JobClass::Batch),
        );
        cell.run(SECOND / 10);
    }
    cell.run(20 * SECOND);
    for name in &names {
        assert_eq!(state(&cell, name), Some(jobs::JobState::Done), "{name}");
    }
    assert!(
        cell.starts_on(0) < 20,
        "{} starts on the failing worker",
        cell.starts_on(0)
    );
}

/// Tasks use ten times what they declare, so that a worker can run only one. This
/// is learned from a first job; a second one is placed by the learned size and
/// starts each task once.
#[test]
fn usage_above_the_declared_size_is_learned() {
    let mut cell = Cell::new(8, 1, 2);
    cell.run(SECOND);
    for worker in &mut cell.workers {
        worker.use_factor = 10;
    }
    let batch = || terms(catalogue::JobClass::Batch);
    let (first, second) = (job_name("first", 1), job_name("second", 1));
    cell.submit(&first, spec(12, 300, 1_000, true), batch());
    cell.run(40 * SECOND);
    assert_eq!(state(&cell, &first), Some(jobs::JobState::Done));
    let before: u32 = cell.starts.values().sum();
    cell.submit(&second, spec(12, 300, 1_000, true), batch());
    cell.run(20 * SECOND);
    assert_eq!(state(&cell, &second), Some(jobs::JobState::Done));
    let starts = cell.starts.values().sum::<u32>() - before;
    assert_eq!(starts, 12, "after {before} starts of the first job");
    assert_eq!(cell.violations, Vec::<String>::new());
}

/// One owner's long queue must not delay another owner's first tasks.
#[test]
fn a_long_queue_of_one_owner_does_not_delay_another() {
    let mut cell = Cell::new(7, 1, 2);
    cell.run(SECOND);
    let many = job_name("many", 1);
    cell.submit(
        &many,
        spec(400, 1_000, 1_000, true),
        terms(catalogue::JobClass::Batch),
    );
    cell.run(3 * SECOND);
    let few = job_name_in_shard_of("few", &many);
    let mut other = spec(4, 1_000, 1_000, true);
    other.owner = "harbour".parse().expect("a legal name");
    cell.submit(&few, other, terms(catalogue::JobClass::Batch));
    cell.run(6 * SECOND);
    assert_eq!(state(&cell, &few), Some(jobs::JobState::Done));
    assert_eq!(state(&cell, &many), Some(jobs::JobState::Running));
}

/// Cancelling 10,000 tasks costs a few batched writes, and a job submitted after
/// it runs at once.
#[test]
fn ten_thousand_cancellations_do_not_delay_placements() {
    let mut cell = Cell::new(6, 2, 4);
    cell.run(SECOND);
    let names: Vec<_> = (0..100).map(|number| job_name("wave", number)).collect();
    for name in &names {
        cell.submit(
            name,
            spec(100, 4_000, 600_000, true),
            terms(catalogue::JobClass::Batch),
        );
    }
    cell.run(2 * SECOND);
    let writes = cell.writes;
    for name in &names {
        cell.cancel(name);
    }
    let after = job_name("after", 1);
    cell.submit(
        &after,
        spec(4, 500, 100, true),
        terms(catalogue::JobClass::Batch),
    );
    cell.run(3 * SECOND);
    assert_eq!(state(&cell, &after), Some(jobs::JobState::Done));
    for name in &names {
        assert_eq!(
            state(&cell, name),
            Some(jobs::JobState::Cancelled),
            "{name}"
        );
    }
    assert!(cell.writes - writes < 80, "{} writes", cell.writes - writes);
}

#[rstest]
#[case::lost_messages(Faults { lose_message: 0.05, ..Faults::default() })]
#[case::killed_entries(Faults { kill_entry: 0.001, ..Faults::default() })]
#[case::frozen_entries(Faults { freeze_entry: 0.002, ..Faults::default() })]
#[case::frozen_workers(Faults { freeze_worker: 0.003, ..Faults::default() })]
#[case::cut_workers(Faults { cut_worker: 0.003, ..Faults::default() })]
#[case::restarted_workers(Faults { restart_worker: 0.002, ..Faults::default() })]
#[case::store_outages(Faults { store_outage: 0.002, lose_store_answer: 0.1, ..Faults::default() })]
#[case::hand_overs(Faults { hand_over: 0.005, lose_message: 0.01, ..Faults::default() })]
#[case::all_together(Faults {
    lose_message: 0.02,
    kill_entry: 0.0005,
    freeze_entry: 0.001,
    freeze_worker: 0.001,
    cut_worker: 0.001,
    restart_worker: 0.0005,
    store_outage: 0.0005,
    lose_store_answer: 0.05,
    hand_over: 0.002,
})]
fn invariants_hold_under(#[case] faults: Faults) {
    for seed in seeds() {
        run_under(seed, faults);
    }
}

fn run_under(seed: u64, faults: Faults) {
    let mut cell = Cell::new(seed, 3, 6);
    cell.run(SECOND);
    cell.faults = faults;
    for number in 0..60 {
        let kind = cell.draw(4);
        let tasks = 1 + cell.draw(5) as u32;
        let cpu_millis = 250 * (1 + cell.draw(8));
        let run_ms = 100 + cell.draw(4_000);
        let class = match kind {
            0 => catalogue::JobClass::Gang,
            _ => catalogue::JobClass::Batch,
        };
        let spec = spec(tasks, cpu_millis, run_ms, kind != 1);
        cell.submit(&job_name("job", number), spec, terms(class));
        cell.run(SECOND / 3);
    }
    cell.faults = Faults::default();
    cell.run(90 * SECOND);
    assert_eq!(cell.violations, Vec::<String>::new(), "seed {seed}");
    let accepted = cell.accepted();
    assert!(
        accepted.len() >= 5,
        "seed {seed}: {} accepted",
        accepted.len()
    );
    for id in &accepted {
        let status = cell.status(id);
        let ended = status.as_ref().is_some_and(|status| match status.state {
            jobs::JobState::Done => true,
            jobs::JobState::MayHaveRun => !cell.specs[id].idempotent,
            _ => false,
        });
        assert!(ended, "seed {seed}: {id} is {status:?}");
    }
}
