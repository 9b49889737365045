//! Measures what the fleet scheduler costs its leader, by the number of
//! workers.
//!
//! The load consists of quick jobs of two steps of ten tasks, on a queue with
//! advice.
//! The first table gives microseconds for: one check for records to write,
//! which the leader does after each batch of messages; one placement pass over
//! 40 waiting jobs for which no worker has free capacity; and one tick over
//! these jobs, an ordinary one and one 2 s after the last, which also scans for
//! steps that wait long.
//!
//! The second table gives, for one pass over a backlog of 1,200 of these jobs,
//! microseconds and the number of workers scanned: with and without advice,
//! where no worker has processor left, and where workers have processor but no
//! memory.
//!
//! The third table gives microseconds for the refusal of one of 200 submissions a
//! second, beside a backlog of 1,200 of these jobs: with and without room for some
//! of them.
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
    for workers in [50, 350, 1_000, 6_000] {
        let record_check = micros(
            &mut bench(&setup_of(workers, 16_000))?,
            |_| (),
            |bench| {
                hint::black_box(bench.0.has_urgent_records());
                hint::black_box(bench.0.has_records());
            },
        );
        let pass = micros(&mut bench(&setup_of(workers, 0))?, |_| (), plan);
        let tick = |bench: &mut Bench| bench.0.tick(bench.1, 0);
        let ticks = micros(&mut bench(&setup_of(workers, 0))?, |_| (), tick);
        let tick_after_2_s = micros(
            &mut bench(&setup_of(workers, 0))?,
            advance_two_seconds,
            tick,
        );
        println!(
            "{workers:7}  {record_check:7.1}  {pass:20.1}  {ticks:7.1}  {tick_after_2_s:17.1}"
        );
    }
    println!("\nworkers  advice  free_cores  pass_over_backlog_us  looks");
    for workers in [50, 350, 1_000, 6_000] {
        for (advised, cpu_millis) in [(true, 0), (true, 16_000), (false, 0), (false, 16_000)] {
            let setup = BenchSetup {
                memory_mb: 0,
                jobs: BACKLOG_JOBS,
                advised,
                ..setup_of(workers, cpu_millis)
            };
            let mut bench = bench(&setup)?;
            let pass = micros(&mut bench, |_| (), plan);
            let scanned = bench.0.counts(bench.1).pass_scans;
            let cores = cpu_millis / 1_000;
            println!("{workers:7}  {advised:6}  {cores:10}  {pass:20.1}  {scanned:5}");
        }
    }
    println!("\nworkers  free_room  refusal_us");
    for workers in [50, 350, 1_000, 6_000] {
        for (free_room, memory_mb) in [(false, 0), (true, MEMORY_MB)] {
            let setup = BenchSetup {
                memory_mb,
                jobs: 0,
                advised: false,
                ..setup_of(workers, 16_000)
            };
            let mut bench = bench(&setup)?;
            for job in 0..BACKLOG_JOBS {
                submit(&mut bench.0, job, false, bench.1);
            }
            let mut next = BACKLOG_JOBS;
            let refusal = micros(
                &mut bench,
                |bench| bench.1 += time::Duration::from_millis(5),
                |bench| {
                    submit_hopeless(&mut bench.0, next, bench.1);
                    next += 1;
                },
            );
            println!("{workers:7}  {free_room:9}  {refusal:10.1}");
        }
    }
    Ok(())
}

fn plan(bench: &mut Bench) {
    bench.0.plan(bench.1);
}

/// Workers of a measured fleet and its waiting jobs.
struct BenchSetup {
    workers: usize,
    cpu_millis: u64,
    memory_mb: u64,
    jobs: u64,
    advised: bool,
}

fn setup_of(workers: usize, cpu_millis: u64) -> BenchSetup {
    BenchSetup {
        workers,
        cpu_millis,
        memory_mb: MEMORY_MB,
        jobs: WAITING_JOBS,
        advised: true,
    }
}

type Bench = (Scheduler, time::Instant);

/// Mean time of `call` in microseconds; the time of `before` is not counted.
fn micros(
    bench: &mut Bench,
    mut before: impl FnMut(&mut Bench),
    mut call: impl FnMut(&mut Bench),
) -> f64 {
    let mut spent = time::Duration::ZERO;
    for _ in 0..ROUNDS {
        before(bench);
        let begun = time::Instant::now();
        call(bench);
        spent += begun.elapsed();
    }
    spent.as_secs_f64() * 1e6 / f64::from(ROUNDS)
}

/// Advances the clock by 2 s, delivers a report of each worker and discards the
/// actions.
fn advance_two_seconds(bench: &mut Bench) {
    let (scheduler, now) = bench;
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

/// Creates a scheduler with its workers and with waiting jobs, which hold
/// tickets where they need any.
fn bench(setup: &BenchSetup) -> Result<Bench> {
    let now = time::Instant::now();
    let mut scheduler = Scheduler::new(Config {
        // Accept the whole backlog.
        max_percent_of_objective: 1_000_000,
        ..Config::default()
    });
    for number in 0..40 {
        scheduler.member_joined(&format!("entry-{number}").parse()?);
    }
    for number in 0..setup.workers {
        let id: fleet::WorkerId = format!("i-{number:010x}").parse()?;
        let entry = fleet::WorkerEntry {
            id: id.clone(),
            service: "pool".to_owned(),
            address: "127.0.0.1:1".parse()?,
            draining: false,
            leaves_in: None,
            room: fleet::Room {
                cpu_millis: setup.cpu_millis,
                memory_mb: setup.memory_mb,
                accelerators: 0,
            },
            labels: vec!["a".to_owned()],
            rack: format!("r1-{}", number / 8),
            failure_domain: String::new(),
        };
        scheduler.worker_listed(entry, now);
        let report = fleet::WorkerReport {
            clock_ms: CLOCK_MS,
            ..Default::default()
        };
        scheduler.entries_read(std::slice::from_ref(&id), now);
        scheduler.worker_reported(&id, &report, now);
    }
    for job in 0..setup.jobs {
        submit(&mut scheduler, job, setup.advised, now);
    }
    while scheduler.has_records() {
        let records = scheduler.take_records(29);
        scheduler.records_written(&records, 1);
    }
    for _ in 0..WAITING_JOBS {
        scheduler.plan(now);
        respond_to_queries(&mut scheduler, now);
    }
    Ok((scheduler, now))
}

fn submit(scheduler: &mut Scheduler, job: u64, advised: bool, now: time::Instant) {
    let (queue, description) = quick_job(advised);
    scheduler.submit(fleet::JobId(job), &queue, description, now, 0);
}

/// Submits a job that is refused if it has to wait at all.
fn submit_hopeless(scheduler: &mut Scheduler, job: u64, now: time::Instant) {
    let (queue, description) = quick_job(false);
    let queue = fleet::Queue {
        stretch: 0.0,
        target_latency_ms: 0,
        ..queue
    };
    scheduler.submit(fleet::JobId(job), &queue, description, now, 0);
}

fn quick_job(advised: bool) -> (fleet::Queue, fleet::JobDescription) {
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
    (queue, description)
}

/// Responds to each query that two workers in three may run the step.
fn respond_to_queries(scheduler: &mut Scheduler, now: time::Instant) {
    for action in scheduler.take_actions() {
        let Action::QueryAdvice(query) = action else {
            continue;
        };
        let good = query.workers.iter().enumerate();
        let good = good.filter(|(number, _)| number % 3 != 0);
        let tickets = good.map(|(_, worker)| fleet::Ticket {
            worker: worker.clone(),
            token: "ticket".to_owned(),
        });
        let tickets = tickets.collect();
        scheduler.advice_answered(&query, Some(tickets), now);
    }
}
