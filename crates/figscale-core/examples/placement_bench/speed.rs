//! Times of single decisions and of whole passes, sizes of summaries, and the
//! time to cancel jobs.

use std::time;

use figscale_core::job::placement;
use figscale_core::job::placement::summary;
use figscale_types::catalogue;
use figscale_types::ids;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;

use crate::baseline::Choice;
use crate::mix;
use crate::stats;

const DECISIONS: usize = 20_000;
/// Share of the processors in use while decisions are timed.
const UTILIZATION: f64 = 0.85;
const WAITING_JOBS: u32 = 10_000;
const PASSES: usize = 200;

pub(crate) fn run(seed: u64) {
    println!("single decisions at {UTILIZATION} of the processors in use, seed {seed}");
    println!("workers  choice     median_us  p99_us  placements_per_s  examined_per_decision");
    for workers in [50, 200, 930] {
        for choice in [Choice::Scored, Choice::FirstFit, Choice::Random] {
            decisions(workers, choice, seed);
        }
    }
    println!("passes with {WAITING_JOBS} jobs waiting on a full cell, one task ending before each");
    println!("workers  median_us  p99_us  scans_per_pass  placed_per_pass");
    for workers in [50, 200, 930] {
        passes(workers, seed);
    }
    println!(
        "bytes of a summary, as peers encode it, of 930 workers divided among the entry instances"
    );
    println!("entries  whole  all_92_owners_changed  10_owners_changed  bytes_per_s_to_all_peers");
    for entries in [8, 16] {
        summaries(entries, seed);
    }
    println!("cancelling {WAITING_JOBS} jobs");
    cancellations(seed);
}

fn cluster(workers: u32) -> placement::Cluster {
    let mut cluster = placement::Cluster::new(placement::Config::default());
    for number in 0..workers {
        let instance = mix::User::Fraser.worker(number);
        cluster.add_worker(&instance, placement::Readiness::Ready);
    }
    cluster
}

fn request(index: u32, rng: &mut StdRng) -> placement::PlacementRequest {
    let size = mix::size(rng.random_range(1..=8), rng.random_range(1..=16), 0);
    let service = rng.random_range(0..5) == 0;
    placement::PlacementRequest {
        task: ids::TaskId {
            job: format!("job-{}", index / 20).parse().expect("legal"),
            index,
        },
        attempt: 1,
        owner: Some(format!("team-{}", index % 92).parse().expect("legal")),
        class: match service {
            true => catalogue::JobClass::Service,
            false => catalogue::JobClass::Batch,
        },
        urgency: catalogue::Urgency::Deadline,
        size,
        declared: size,
        interruptibility: placement::Interruptibility::PROTECTED,
        avoid: Vec::new(),
    }
}

fn decisions(workers: u32, choice: Choice, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut cluster = cluster(workers);
    let now = time::Instant::now();
    let mut tasks: Vec<ids::TaskId> = Vec::new();
    let mut times = stats::Sample::default();
    let mut examined = 0;
    let mut placed = 0_u32;
    let mut index = 0;
    while times.len() < DECISIONS {
        let cpu = cluster.counted().cpu_millis.0 as f64;
        let full = cpu > UTILIZATION * cluster.capacity().cpu_millis.0 as f64;
        if full {
            let at = rng.random_range(0..tasks.len());
            cluster.release(&tasks.swap_remove(at));
            continue;
        }
        let request = request(index, &mut rng);
        index += 1;
        let before = (time::Instant::now(), cluster.examined());
        let chosen = choice.place(&mut cluster, &request, now, &mut rng);
        let took = before.0.elapsed();
        // Decisions that fill the cluster at first are not timed.
        if index > workers * 20 {
            times.add(took.as_secs_f64() * 1e6);
            examined += cluster.examined() - before.1;
            placed += u32::from(chosen.is_some());
        }
        if chosen.is_some() {
            tasks.push(request.task);
        }
    }
    let per_s = f64::from(placed) / (times.mean() * times.len() as f64 / 1e6);
    let per_decision = examined as f64 / times.len() as f64;
    println!(
        "{workers:7}  {:9}  {:9.1}  {:6.1}  {per_s:16.0}  {per_decision:21.0}",
        format!("{choice:?}"),
        times.quantile(0.5),
        times.quantile(0.99),
    );
}

fn enqueue_jobs(queue: &mut placement::Queue, now: time::Instant, rng: &mut StdRng) {
    for number in 0..WAITING_JOBS {
        let request = request(number * 20, rng);
        let work = placement::Work {
            job: request.task.job,
            owner: request.owner.expect("given"),
            class: catalogue::JobClass::Batch,
            urgency: match number % 3 {
                0 => catalogue::Urgency::Deadline,
                _ => catalogue::Urgency::BestEffort,
            },
            size: request.size,
            declared: request.size,
            interruptibility: request.interruptibility,
            queued_at: now,
            deadline: None,
            run: time::Duration::from_secs(60),
        };
        queue.push(work, [placement::Pending::first(0)]);
    }
}

fn passes(workers: u32, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut cluster = cluster(workers);
    let now = time::Instant::now();
    let mut shares = placement::Shares::default();
    shares.set_total(cluster.capacity());
    let mut running: Vec<ids::TaskId> = Vec::new();
    // Fill the cluster, so that the queued jobs have to wait.
    for index in 0..workers * 40 {
        let request = request(WAITING_JOBS * 20 + index, &mut rng);
        if cluster.place(&request, now, None).is_ok() {
            running.push(request.task);
        }
    }
    let mut queue = placement::Queue::new(placement::QueueConfig::default());
    enqueue_jobs(&mut queue, now, &mut rng);
    let mut times = stats::Sample::default();
    let (mut scans, mut placed) = (0, 0);
    for _ in 0..PASSES {
        let at = rng.random_range(0..running.len());
        cluster.release(&running.swap_remove(at));
        let start = time::Instant::now();
        let outcome = queue.pass(placement::PassInput {
            cluster: &mut cluster,
            shares: &shares,
            now,
            expires: None,
            max_scans: usize::MAX,
        });
        times.add(start.elapsed().as_secs_f64() * 1e6);
        scans += outcome.scans;
        placed += outcome.placed.len();
        running.extend(outcome.placed.into_iter().map(|p| p.task));
    }
    println!(
        "{workers:7}  {:9.0}  {:6.0}  {:14.1}  {:15.1}",
        times.quantile(0.5),
        times.quantile(0.99),
        scans as f64 / PASSES as f64,
        placed as f64 / PASSES as f64,
    );
}

fn cancellations(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut queue = placement::Queue::new(placement::QueueConfig::default());
    enqueue_jobs(&mut queue, time::Instant::now(), &mut rng);
    let jobs: Vec<_> = queue.jobs().map(|(work, _)| work.job.clone()).collect();
    let start = time::Instant::now();
    for job in &jobs {
        queue.cancel(job);
    }
    println!("took {:.0} us", start.elapsed().as_secs_f64() * 1e6);
}

/// Sizes of encoded summaries, of which one per second goes to every peer: a
/// complete one, and changes with all 92 or with 10 owners changed. The rate
/// assumes that every tenth summary is complete and the others have 10 changes.
fn summaries(entries: u32, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut cluster = cluster(930 / entries);
    let now = time::Instant::now();
    let mut tasks = Vec::new();
    for index in 0..92 * 4 {
        let request = request(index, &mut rng);
        if cluster.place(&request, now, None).is_ok() {
            tasks.push(request.task);
        }
    }
    let mut summarizer = summary::Summarizer::default();
    let mut len = |cluster: &placement::Cluster| {
        let summary = summarizer.next(cluster, 1_000);
        let config = bincode::config::standard();
        let bytes = bincode::serde::encode_to_vec(&summary, config);
        bytes.map_or(0, |bytes| bytes.len())
    };
    let whole = len(&cluster);
    let mut change = |cluster: &mut placement::Cluster, owners: usize| {
        for task in tasks.drain(..owners) {
            cluster.release(&task);
        }
    };
    change(&mut cluster, 92);
    let all = len(&cluster);
    change(&mut cluster, 10);
    let some = len(&cluster);
    let per_s = (whole as f64 * 0.1 + some as f64 * 0.9) * f64::from(entries - 1);
    println!("{entries:7}  {whole:5}  {all:21}  {some:17}  {per_s:24.0}");
}
