//! Defined loads on a fleet: requests, task starts, running tasks and changes of
//! the catalogue.

use std::time;

use figscale_types::ids;
use figscale_types::jobs;
use figscale_types::sizes;
use tokio::task;

use super::catalogue;
use super::fleet;
use crate::cell::Operator;
use crate::load;

/// Largest number of owners that make requests.
const CALLERS: usize = 10;
/// Mean run time of a request.
const REQUEST_RUN_MS: f64 = 10.0;
/// Interval of the submissions of jobs.
const SUBMIT_EVERY: time::Duration = time::Duration::from_millis(250);
/// Number of tasks of a job of long tasks.
const JOB_LEN: usize = 50;
/// Run time of a task that ends during a measurement.
const SHORT_RUN_MS: u64 = 1_000;
/// Run time of a task that outlasts the measurements.
const LONG_RUN_MS: u64 = 3_600_000;
/// Run time of an urgent task.
const URGENT_RUN_MS: u64 = 500;
/// Time limit for the start of an urgent task.
const URGENT_LIMIT: time::Duration = time::Duration::from_secs(10);
/// Interval of the checks.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(5);

/// Makes requests through all entry instances for `duration`.
pub(super) fn requests(
    fleet: &fleet::Fleet,
    rate_per_s: f64,
    duration: time::Duration,
) -> eyre::Result<task::JoinHandle<load::Report>> {
    let target = |address| load::Target {
        address,
        weight: 1.0,
    };
    let class = |owner| -> eyre::Result<load::Class> {
        Ok(load::Class {
            entry: catalogue::request_entry(owner)?,
            owner: catalogue::owner(owner)?,
            weight: 1.0,
            mean_run_ms: REQUEST_RUN_MS,
            idempotent: owner % 2 == 0,
            budget_ms: None,
            body_bytes: load::DEFAULT_BODY_BYTES,
            answer_bytes: load::DEFAULT_ANSWER_BYTES,
        })
    };
    let callers = CALLERS.min(fleet.size.owners);
    let config = load::Config {
        targets: fleet.caller_addresses().into_iter().map(target).collect(),
        classes: (0..callers).map(class).collect::<eyre::Result<_>>()?,
        rate_per_s,
        duration,
        response_timeout: time::Duration::from_secs(15),
        seed: 1,
    };
    Ok(tokio::spawn(async move { load::run(&config).await }))
}

/// Operator clients of all entry instances.
fn operators(fleet: &fleet::Fleet) -> Vec<Operator> {
    let addresses = fleet.entries.iter().map(|entry| entry.addresses.operator);
    addresses.map(Operator::new).collect()
}

fn job(number: usize, owners: usize, tasks: usize, run_ms: u64) -> eyre::Result<jobs::JobSpec> {
    let owner = number % owners;
    Ok(jobs::JobSpec {
        entry: catalogue::batch_entry(owner)?,
        owner: catalogue::owner(owner)?,
        tasks: u32::try_from(tasks)?,
        task: sizes::Resources {
            cpu_millis: sizes::CpuMillis(500),
            memory_bytes: sizes::Bytes(1_024 * sizes::MIB),
            accelerators: 0,
        },
        run_ms,
        deadline_ms: None,
        idempotent: true,
        checkpointable: true,
        command: String::new(),
    })
}

fn new_id() -> eyre::Result<ids::JobId> {
    Ok(format!("job-{}", uuid::Uuid::now_v7()).parse()?)
}

/// Numbers of accepted and refused submissions.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Submitted {
    pub(super) accepted: usize,
    pub(super) refused: usize,
}

/// Submits jobs of short tasks at a constant rate for `duration`.
pub(super) fn starts(
    fleet: &fleet::Fleet,
    rate_per_s: f64,
    duration: time::Duration,
) -> task::JoinHandle<Submitted> {
    let operators = operators(fleet);
    let owners = fleet.size.owners;
    let tasks = (rate_per_s * SUBMIT_EVERY.as_secs_f64()).ceil() as usize;
    tokio::spawn(async move {
        let mut calls = task::JoinSet::new();
        let mut ticks = tokio::time::interval(SUBMIT_EVERY);
        let end = time::Instant::now() + duration;
        let mut number = 0;
        while time::Instant::now() < end {
            ticks.tick().await;
            let operator = operators[number % operators.len()].clone();
            calls
                .spawn(async move { submit(&operator, number, owners, tasks, SHORT_RUN_MS).await });
            number += 1;
        }
        let mut sum = Submitted::default();
        for result in calls.join_all().await {
            count(&mut sum, &result);
        }
        sum
    })
}

async fn submit(
    operator: &Operator,
    number: usize,
    owners: usize,
    tasks: usize,
    run_ms: u64,
) -> eyre::Result<()> {
    let spec = job(number, owners, tasks, run_ms)?;
    operator.submit(&new_id()?, &spec).await?;
    Ok(())
}

fn count(sum: &mut Submitted, result: &eyre::Result<()>) {
    match result {
        Ok(()) => sum.accepted += 1,
        Err(error) => {
            if sum.refused == 0 {
                eprintln!("job not accepted: {error:#}");
            }
            sum.refused += 1;
        }
    }
}

/// Submits urgent jobs of one task one after the other for `duration`; returns
/// the times from submission until each was no longer queued.
pub(super) fn urgent(
    fleet: &fleet::Fleet,
    duration: time::Duration,
) -> task::JoinHandle<eyre::Result<Vec<time::Duration>>> {
    let operators = operators(fleet);
    let owners = fleet.size.owners;
    tokio::spawn(async move {
        let end = time::Instant::now() + duration;
        let mut times = Vec::new();
        while time::Instant::now() < end {
            let number = times.len();
            let operator = &operators[number % operators.len()];
            times.push(urgent_start(operator, number % owners).await?);
            tokio::time::sleep(SUBMIT_EVERY).await;
        }
        Ok(times)
    })
}

async fn urgent_start(operator: &Operator, owner: usize) -> eyre::Result<time::Duration> {
    let mut spec = job(owner, owner + 1, 1, URGENT_RUN_MS)?;
    spec.entry = catalogue::urgent_entry(owner)?;
    let id = new_id()?;
    let began = time::Instant::now();
    operator.submit(&id, &spec).await?;
    while operator.job(&id).await?.state == jobs::JobState::Queued {
        eyre::ensure!(
            began.elapsed() < URGENT_LIMIT,
            "urgent task did not start within {URGENT_LIMIT:?}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(began.elapsed())
}

/// Submits jobs of long tasks until `wanted` tasks run or `limit` has passed;
/// returns the number of running tasks.
pub(super) async fn run_tasks(
    fleet: &fleet::Fleet,
    wanted: usize,
    limit: time::Duration,
) -> eyre::Result<usize> {
    let operators = operators(fleet);
    let mut missing = wanted.saturating_sub(running(fleet));
    let mut number = 0;
    let mut sum = Submitted::default();
    let began = time::Instant::now();
    while missing > 0 && began.elapsed() < limit {
        let len = missing.min(JOB_LEN);
        let operator = &operators[number % operators.len()];
        let result = submit(operator, number, fleet.size.owners, len, LONG_RUN_MS).await;
        if result.is_ok() {
            missing -= len;
        }
        count(&mut sum, &result);
        number += 1;
    }
    while running(fleet) < wanted && began.elapsed() < limit {
        tokio::time::sleep(POLL_INTERVAL * 20).await;
    }
    Ok(running(fleet))
}

/// Number of running tasks.
pub(super) fn running(fleet: &fleet::Fleet) -> usize {
    let of_worker = |worker: &crate::worker::Handle| {
        let report = worker.report();
        let runs = |task: &&figscale_types::worker::TaskReport| {
            task.phase == figscale_types::worker::TaskPhase::Running
        };
        report.tasks.iter().filter(runs).count()
    };
    fleet.workers.iter().map(of_worker).sum()
}

/// Number of tasks started since the fleet was started.
pub(super) fn started(fleet: &fleet::Fleet) -> u64 {
    fleet.workers.iter().map(|w| w.record().starts).sum()
}

/// Waits until no task runs, at most for `limit`.
pub(super) async fn wait_until_idle(fleet: &fleet::Fleet, limit: time::Duration) {
    let began = time::Instant::now();
    while running(fleet) > 0 && began.elapsed() < limit {
        tokio::time::sleep(POLL_INTERVAL * 20).await;
    }
}

/// Applies a change of the catalogue; returns the time from its acceptance until
/// it was in force at all entry instances, `None` if that took longer than `limit`.
pub(super) async fn change(
    fleet: &mut fleet::Fleet,
    owners: usize,
    version: usize,
    limit: time::Duration,
) -> eyre::Result<Option<time::Duration>> {
    let wanted = catalogue::of(owners, version)?;
    let request = catalogue::change(fleet.revision, wanted);
    let answer = fleet.operator.apply(&request).await?;
    let accepted = time::Instant::now();
    fleet.revision = answer.revision;
    while accepted.elapsed() < limit {
        let status = fleet.operator.catalogue_status().await?;
        let in_force = |found: &&Option<ids::Revision>| **found >= Some(answer.revision);
        if status.in_force.values().filter(in_force).count() == fleet.size.entries {
            return Ok(Some(accepted.elapsed()));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(None)
}

/// Applies changes of the catalogue at a constant rate for `duration`, without
/// checking where they are in force; returns the number of accepted changes.
pub(super) async fn changes(
    fleet: &mut fleet::Fleet,
    rate_per_s: f64,
    duration: time::Duration,
) -> usize {
    let mut ticks = tokio::time::interval(time::Duration::from_secs_f64(1.0 / rate_per_s));
    let end = time::Instant::now() + duration;
    let mut accepted = 0;
    let mut version = 0;
    loop {
        ticks.tick().await;
        if time::Instant::now() >= end {
            return accepted;
        }
        version += 1;
        let Ok(wanted) = catalogue::of(fleet.size.owners, version) else {
            return accepted;
        };
        let request = catalogue::change(fleet.revision, wanted);
        if let Ok(answer) = fleet.operator.apply(&request).await {
            fleet.revision = answer.revision;
            accepted += 1;
        }
    }
}
