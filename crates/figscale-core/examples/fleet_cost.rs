//! What the scheduler of a fleet costs its leader, by the number of workers.
//!
//! Quick jobs of two steps of ten tasks come under advice. Printed are
//! microseconds for one look at what is to be written, which the leader takes
//! after each batch of messages, for one pass of placement over 40 waiting jobs
//! for which no worker has room, and for one tick over these jobs: an ordinary
//! one, and one 2 s after the last, which looks for steps that wait long.
//!
//! Then, for one pass over a backlog of 1,200 of these jobs, microseconds and
//! looks at workers: with and without advice, where no worker has processor left,
//! and where workers have processor but no memory.
//!
//! Run with `cargo run --release -p figscale-core --example fleet_cost`.

use std::error;
use std::hint;
use std::time;

use figscale_core::fleet::Action;
use figscale_core::fleet::Config;
use figscale_core::fleet::Scheduler;
use figscale_types::fleet;

const ROUNDS: u32 = 200;
const WAITING_JOBS: u64 = 40;
const BACKLOG_JOBS: u64 = 1_200;
const MEMORY_MB: u64 = 32_768;
const TASKS: u32 = 10;
const CLOCK_MS: u64 = 100_000;

type Result<T> = std::result::Result<T, Box<dyn error::Error>>;

fn main() -> Result<()> {
    println!("workers  look_us  pass_without_room_us  tick_us  tick_after_2_s_us");
    for workers in [50, 350, 1_000] {
        let look = micros(
            &mut cell(&fleet_of(workers, 16_000))?,
            |_| (),
            |cell| {
                hint::black_box(cell.0.has_urgent_records());
                hint::black_box(cell.0.has_records());
            },
        );
        let pass = micros(&mut cell(&fleet_of(workers, 0))?, |_| (), plan);
        let tick = |cell: &mut Cell| cell.0.tick(cell.1, 0);
        let ticks = micros(&mut cell(&fleet_of(workers, 0))?, |_| (), tick);
        let later = micros(&mut cell(&fleet_of(workers, 0))?, two_seconds_later, tick);
        println!("{workers:7}  {look:7.1}  {pass:20.1}  {ticks:7.1}  {later:17.1}");
    }
    println!("\nworkers  advice  free_cores  pass_over_backlog_us  looks");
    for workers in [50, 350, 1_000] {
        for (advised, cpu_millis) in [(true, 0), (true, 16_000), (false, 0), (false, 16_000)] {
            let played = Fleet {
                memory_mb: 0,
                jobs: BACKLOG_JOBS,
                advised,
                ..fleet_of(workers, cpu_millis)
            };
            let mut cell = cell(&played)?;
            let pass = micros(&mut cell, |_| (), plan);
            let looks = cell.0.counts(cell.1).pass_looks;
            let cores = cpu_millis / 1_000;
            println!("{workers:7}  {advised:6}  {cores:10}  {pass:20.1}  {looks:5}");
        }
    }
    Ok(())
}

fn plan(cell: &mut Cell) {
    cell.0.plan(cell.1);
}

/// Workers, and the jobs that wait.
struct Fleet {
    workers: usize,
    cpu_millis: u64,
    memory_mb: u64,
    jobs: u64,
    advised: bool,
}

fn fleet_of(workers: usize, cpu_millis: u64) -> Fleet {
    Fleet {
        workers,
        cpu_millis,
        memory_mb: MEMORY_MB,
        jobs: WAITING_JOBS,
        advised: true,
    }
}

type Cell = (Scheduler, time::Instant);

/// Mean time of a call; what comes before each is not counted.
fn micros(
    cell: &mut Cell,
    mut before: impl FnMut(&mut Cell),
    mut call: impl FnMut(&mut Cell),
) -> f64 {
    let mut spent = time::Duration::ZERO;
    for _ in 0..ROUNDS {
        before(cell);
        let begun = time::Instant::now();
        call(cell);
        spent += begun.elapsed();
    }
    spent.as_secs_f64() * 1e6 / f64::from(ROUNDS)
}

/// All workers have reported again, and what was told is taken.
fn two_seconds_later(cell: &mut Cell) {
    let (scheduler, now) = cell;
    *now += time::Duration::from_secs(2);
    let workers = scheduler.listed_workers();
    for worker in workers {
        let last = scheduler.report_due(&worker);
        let lease_ms = last.and_then(|due| due.lease_until_clock_ms);
        let report = fleet::WorkerReport {
            clock_ms: lease_ms.unwrap_or(CLOCK_MS),
            ..Default::default()
        };
        scheduler.worker_reported(&worker, &report, *now);
    }
    scheduler.take_actions();
}

/// A scheduler with workers, and jobs that have tickets where they need any.
fn cell(played: &Fleet) -> Result<Cell> {
    let now = time::Instant::now();
    let mut scheduler = Scheduler::new(Config {
        // The backlog is taken whole.
        max_of_objective_percent: 1_000_000,
        ..Config::default()
    });
    for number in 0..40 {
        scheduler.member_joined(&format!("entry-{number}").parse()?);
    }
    for number in 0..played.workers {
        let id: fleet::WorkerId = format!("i-{number:010x}").parse()?;
        scheduler.worker_listed(fleet::WorkerEntry {
            id: id.clone(),
            service: "pool".to_owned(),
            address: "127.0.0.1:1".parse()?,
            draining: false,
            leaves_in: None,
            room: fleet::Room {
                cpu_millis: played.cpu_millis,
                memory_mb: played.memory_mb,
                accelerators: 0,
            },
            labels: vec!["a".to_owned()],
            rack: format!("r1-{}", number / 8),
            failure_domain: String::new(),
        });
        let report = fleet::WorkerReport {
            clock_ms: CLOCK_MS,
            ..Default::default()
        };
        scheduler.entries_read(std::slice::from_ref(&id), now);
        scheduler.worker_reported(&id, &report, now);
    }
    for job in 0..played.jobs {
        submit(&mut scheduler, job, played.advised, now);
    }
    while scheduler.has_records() {
        let records = scheduler.take_records(29);
        scheduler.records_written(&records);
    }
    for _ in 0..WAITING_JOBS {
        scheduler.plan(now);
        answer_questions(&mut scheduler, now);
    }
    Ok((scheduler, now))
}

fn submit(scheduler: &mut Scheduler, job: u64, advised: bool, now: time::Instant) {
    let step = fleet::StepDescription {
        count: TASKS,
        room: fleet::Room {
            cpu_millis: 2_200,
            memory_mb: 1_024,
            accelerators: 0,
        },
        estimate_ms: 640,
        ..Default::default()
    };
    let second = fleet::StepDescription {
        after: vec![0],
        ..step.clone()
    };
    let description = fleet::JobDescription {
        steps: vec![step, second],
        ..Default::default()
    };
    let queue = fleet::Queue {
        name: "quick".to_owned(),
        host: "host".to_owned(),
        prefix: "/q/".to_owned(),
        service: "pool".to_owned(),
        priority: 0,
        max_attempts: 4,
        stretch: 1.5,
        target_latency_ms: 250,
        advice: advised.then_some(fleet::AdvicePolicy {
            base_ms: 17.0,
            per_worker_ms: 0.24,
            valid_ms: 2_500,
        }),
    };
    scheduler.submit(fleet::JobId(job), &queue, description, now, 0);
}

/// Answers that two workers in three may run a step.
fn answer_questions(scheduler: &mut Scheduler, now: time::Instant) {
    for action in scheduler.take_actions() {
        let Action::Ask(question) = action else {
            continue;
        };
        let good = question.workers.iter().enumerate();
        let good = good.filter(|(number, _)| number % 3 != 0);
        let tickets = good.map(|(_, worker)| fleet::Ticket {
            worker: worker.clone(),
            token: "ticket".to_owned(),
        });
        let tickets = tickets.collect();
        scheduler.advice_answered(&question, Some(tickets), now);
    }
}
