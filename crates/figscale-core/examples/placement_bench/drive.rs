//! Event loop in virtual time: takes arrivals and ends of tasks, decides
//! placements and measures them.

use std::cmp;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::time;

use figscale_core::job::placement;
use figscale_core::job::placement::preempt;
use figscale_types::catalogue;
use figscale_types::ids;
use figscale_types::worker as protocol;
use indexmap::IndexMap;
use rand::SeedableRng as _;
use rand::rngs::StdRng;

use crate::baseline::Choice;
use crate::mix;
use crate::stats;

const WORKERS: u32 = 50;
const LOAD: f64 = 1.15;
/// Duration of the arrivals.
const ARRIVALS_S: f64 = 4.0 * 3_600.0;
/// Time from which packing is measured; the cell is full by then.
const PACKING_FROM_S: f64 = 3_600.0;
/// Time that a task takes to save its state, and again to resume from it.
const CHECKPOINT_S: f64 = 5.0;
const STOP_S: f64 = 1.0;
/// Events within this time are handled before one pass decides on them.
const TICK_S: f64 = 0.1;

/// A scheduling policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    /// figscale with the weights of the user.
    Figscale,
    /// figscale with the weights of the other user.
    Swapped,
    /// Strict order of arrival: a job that does not fit blocks all jobs behind it.
    Fifo,
    /// Order of arrival, skipping jobs that do not fit; first worker that fits.
    FirstFit,
    /// Like [`Policy::FirstFit`], with a random worker that fits.
    Random,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    /// Job, task and attempt.
    End(usize, u32, u32),
    Evicted(usize, u32, u32),
}

#[derive(Debug, Default)]
struct Report {
    waits: IndexMap<&'static str, stats::Sample>,
    heavy: stats::Sample,
    light: stats::Sample,
    late: u32,
    late_gangs: u32,
    with_deadline: u32,
    cpu: f64,
    memory: f64,
    accelerators: f64,
    lost_core_s: f64,
    preempted: u32,
    scans: u64,
    placed: u64,
}

/// A running attempt of a task.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    number: u32,
    started_s: f64,
    left_s: f64,
    first: bool,
}

struct Driver<'a> {
    policy: Policy,
    jobs: &'a [mix::Job],
    base: time::Instant,
    now_s: f64,
    cluster: placement::Cluster,
    queue: placement::Queue,
    shares: placement::Shares,
    fifo: VecDeque<(usize, Vec<u32>)>,
    events: BinaryHeap<cmp::Reverse<(u64, Event)>>,
    attempts: IndexMap<ids::TaskId, Attempt>,
    unfinished: Vec<usize>,
    rng: StdRng,
    report: Report,
}

fn micros(seconds: f64) -> u64 {
    (seconds * 1e6) as u64
}

impl<'a> Driver<'a> {
    fn new(policy: Policy, user: mix::User, jobs: &'a [mix::Job], seed: u64) -> Self {
        let config = placement::Config {
            weights: match policy {
                Policy::Figscale => user.weights(),
                Policy::Swapped => user.other().weights(),
                // With a waiting weight of 0, baselines reserve nothing for urgent work.
                _ => catalogue::Weights {
                    waiting: 0.0,
                    packing: 1.0,
                },
            },
        };
        let mut cluster = placement::Cluster::new(config);
        for number in 0..WORKERS {
            cluster.add_worker(&user.worker(number), placement::Readiness::Ready);
        }
        let mut shares = placement::Shares::default();
        shares.set_total(cluster.capacity());
        let arrivals = jobs.iter().enumerate();
        Self {
            policy,
            jobs,
            base: time::Instant::now(),
            now_s: 0.0,
            cluster,
            queue: placement::Queue::new(placement::QueueConfig::default()),
            shares,
            fifo: VecDeque::new(),
            events: arrivals
                .map(|(n, job)| cmp::Reverse((micros(job.at_s), Event::Arrival(n))))
                .collect(),
            attempts: IndexMap::new(),
            unfinished: jobs.iter().map(|job| job.run_s.len()).collect(),
            rng: StdRng::seed_from_u64(seed),
            report: Report::default(),
        }
    }

    fn run(mut self) -> Report {
        let mut last_s = PACKING_FROM_S;
        while let Some(cmp::Reverse((at, event))) = self.events.pop() {
            let at_s = at as f64 / 1e6;
            if at_s > PACKING_FROM_S && at_s < ARRIVALS_S {
                self.count_packing(at_s - last_s);
                last_s = at_s;
            }
            self.now_s = at_s;
            self.handle(event);
            let until = micros(at_s + TICK_S);
            while let Some(cmp::Reverse((next, _))) = self.events.peek()
                && *next <= until
            {
                if let Some(cmp::Reverse((_, event))) = self.events.pop() {
                    self.handle(event);
                }
            }
            self.decide();
        }
        let full_s = ARRIVALS_S - PACKING_FROM_S;
        self.report.cpu /= full_s;
        self.report.memory /= full_s;
        self.report.accelerators /= full_s;
        self.report
    }

    fn count_packing(&mut self, span_s: f64) {
        let (used, whole) = (self.cluster.counted(), self.cluster.capacity());
        let share = |part: u64, all: u64| part as f64 / all as f64;
        self.report.cpu += span_s * share(used.cpu_millis.0, whole.cpu_millis.0);
        self.report.memory += span_s * share(used.memory_bytes.0, whole.memory_bytes.0);
        let (used, whole) = (used.accelerators.into(), whole.accelerators.into());
        self.report.accelerators += span_s * share(used, whole);
    }

    fn now(&self) -> time::Instant {
        self.base + time::Duration::from_secs_f64(self.now_s)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(job) => {
                let tasks = 0..u32::try_from(self.jobs[job].run_s.len()).expect("few");
                self.enqueue(job, tasks.collect());
            }
            Event::End(job, index, number) => self.end(job, index, number),
            Event::Evicted(job, index, number) => self.evict(job, index, number),
        }
    }

    fn enqueue(&mut self, job: usize, tasks: Vec<u32>) {
        if !matches!(self.policy, Policy::Figscale | Policy::Swapped) {
            self.fifo.push_back((job, tasks));
            return;
        }
        let work = self.work(job);
        let pending = tasks.into_iter().map(placement::Pending::first);
        self.queue.push(work, pending);
    }

    fn work(&self, number: usize) -> placement::Work {
        let job = &self.jobs[number];
        let at = |s: f64| self.base + time::Duration::from_secs_f64(s);
        let longest = job.run_s.iter().copied().fold(0.0, f64::max);
        placement::Work {
            job: format!("j-{number}").parse().expect("legal"),
            owner: format!("owner-{}", job.owner).parse().expect("legal"),
            class: job.class,
            urgency: job.urgency,
            size: job.size,
            declared: job.size,
            interruptibility: placement::Interruptibility {
                idempotent: true,
                checkpointable: job.checkpointable,
                preemptible: job.preemptible,
            },
            queued_at: at(job.at_s),
            deadline: job.deadline_s.map(|s| at(job.at_s + s)),
            run: time::Duration::from_secs_f64(longest),
        }
    }

    fn end(&mut self, job: usize, index: u32, number: u32) {
        let task = task(job, index);
        if self.attempts.get(&task).is_none_or(|a| a.number != number) {
            return;
        }
        if self.cluster.release(&task).is_none() {
            return;
        }
        self.unfinished[job] -= 1;
        let Some(deadline_s) = self.jobs[job].deadline_s else {
            return;
        };
        if self.unfinished[job] == 0 {
            self.report.with_deadline += 1;
            let late = self.now_s > self.jobs[job].at_s + deadline_s;
            self.report.late += u32::from(late);
            let gang = self.jobs[job].class == catalogue::JobClass::Gang;
            self.report.late_gangs += u32::from(late && gang);
        }
    }

    /// Releases the resources of a preempted task and queues it again.
    fn evict(&mut self, job: usize, index: u32, number: u32) {
        let task = task(job, index);
        let Some(attempt) = self.attempts.get_mut(&task) else {
            return;
        };
        if attempt.number != number || self.cluster.release(&task).is_none() {
            return;
        }
        attempt.number += 1;
        if self.jobs[job].checkpointable {
            let ran_s = self.now_s - attempt.started_s - CHECKPOINT_S;
            attempt.left_s = (attempt.left_s - ran_s.max(0.0)).max(1.0) + CHECKPOINT_S;
        }
        self.enqueue(job, vec![index]);
    }

    fn started(&mut self, job: usize, index: u32) {
        let id = task(job, index);
        let spec = &self.jobs[job];
        let attempt = self.attempts.entry(id).or_insert(Attempt {
            number: 1,
            started_s: 0.0,
            left_s: spec.run_s[index as usize],
            first: true,
        });
        attempt.started_s = self.now_s;
        let ends = micros(self.now_s + attempt.left_s);
        let event = Event::End(job, index, attempt.number);
        self.events.push(cmp::Reverse((ends, event)));
        self.report.placed += 1;
        if !attempt.first {
            return;
        }
        attempt.first = false;
        let wait_s = (self.now_s - spec.at_s).max(0.0);
        let name = match (spec.class, spec.urgency) {
            (catalogue::JobClass::Gang, _) => "gang",
            (_, catalogue::Urgency::Interactive) => "interactive",
            (_, catalogue::Urgency::Deadline) => "deadline",
            (_, catalogue::Urgency::BestEffort) => "best-effort",
        };
        self.report.waits.entry(name).or_default().add(wait_s);
        if name == "best-effort" {
            match spec.owner {
                0 => self.report.heavy.add(wait_s),
                _ => self.report.light.add(wait_s),
            }
        }
    }

    fn decide(&mut self) {
        match self.policy {
            Policy::Figscale | Policy::Swapped => self.decide_by_pass(),
            Policy::Fifo => self.decide_in_order(Choice::Scored, true),
            Policy::FirstFit => self.decide_in_order(Choice::FirstFit, false),
            Policy::Random => self.decide_in_order(Choice::Random, false),
        }
    }

    fn decide_by_pass(&mut self) {
        let now = self.now();
        let outcome = self.queue.pass(placement::PassInput {
            cluster: &mut self.cluster,
            shares: &self.shares,
            now,
            expires: None,
            max_scans: usize::MAX,
        });
        self.report.scans += outcome.scans as u64;
        for placed in outcome.placed {
            self.started(number(&placed.task.job), placed.task.index);
        }
        let mut planner = preempt::Planner::default();
        for job in outcome.blocked {
            let Some(work) = self.queue.work(&job).cloned() else {
                continue;
            };
            if work.class == catalogue::JobClass::Gang {
                continue;
            }
            self.refresh_ran();
            let request = work.request(&placement::Pending::first(0));
            if let Some(plan) = planner.plan(&mut self.cluster, &request) {
                self.execute(plan);
            }
        }
    }

    /// Updates how long tasks have run, which workers report in a real cell.
    fn refresh_ran(&mut self) {
        let workers: Vec<_> = self.cluster.workers().map(|w| w.id().clone()).collect();
        let now = self.now();
        for id in workers {
            let Some(worker) = self.cluster.worker(&id) else {
                continue;
            };
            let tasks = worker.tasks().filter_map(|t| self.cluster.allocation(t));
            let reports = tasks.map(|allocation| protocol::TaskReport {
                task: allocation.request.task.clone(),
                attempt: allocation.request.attempt,
                phase: protocol::TaskPhase::Running,
                reserved: allocation.request.size,
                used: allocation.request.size,
                ran_ms: self
                    .attempts
                    .get(&allocation.request.task)
                    .map_or(0, |a| ((self.now_s - a.started_s) * 1e3) as u64),
                home_epoch: ids::Epoch(1),
            });
            let report = protocol::WorkerReport {
                worker: id.clone(),
                epoch: ids::Epoch(1),
                stale: false,
                capacity: worker.capacity(),
                leaving: false,
                tasks: reports.collect(),
                clock: protocol::WorkerClock::default(),
            };
            self.cluster.sync(&report, now, now);
        }
    }

    fn execute(&mut self, plan: preempt::Plan) {
        for step in plan.steps {
            let takes_s = match step.action {
                protocol::TaskAction::Checkpoint => CHECKPOINT_S,
                _ => STOP_S,
            };
            let job = number(&step.task.job);
            let Some(attempt) = self.attempts.get(&step.task) else {
                continue;
            };
            self.report.preempted += 1;
            self.report.lost_core_s += match step.action {
                protocol::TaskAction::Checkpoint => {
                    2.0 * CHECKPOINT_S * self.jobs[job].size.cpu_millis.0 as f64 / 1e3
                }
                _ => step.cost_core_s,
            };
            let event = Event::Evicted(job, step.task.index, attempt.number);
            let at = micros(self.now_s + takes_s);
            self.events.push(cmp::Reverse((at, event)));
        }
    }

    fn decide_in_order(&mut self, choice: Choice, strict: bool) {
        let mut waiting = std::mem::take(&mut self.fifo);
        let mut left = VecDeque::new();
        while let Some((job, mut tasks)) = waiting.pop_front() {
            self.place_in_order(choice, job, &mut tasks);
            if !tasks.is_empty() {
                left.push_back((job, tasks));
                if strict {
                    break;
                }
            }
        }
        left.extend(waiting);
        self.fifo = left;
    }

    fn place_in_order(&mut self, choice: Choice, job: usize, tasks: &mut Vec<u32>) {
        let work = self.work(job);
        let now = self.now();
        let mut placed = Vec::new();
        for index in tasks.iter() {
            let request = work.request(&placement::Pending::first(*index));
            self.report.scans += 1;
            if choice
                .place(&mut self.cluster, &request, now, &mut self.rng)
                .is_none()
            {
                break;
            }
            placed.push(*index);
        }
        if work.class == catalogue::JobClass::Gang && placed.len() < tasks.len() {
            for index in placed {
                self.cluster.release(&task(job, index));
            }
            return;
        }
        tasks.drain(..placed.len());
        for index in placed {
            self.started(job, index);
        }
    }
}

fn task(job: usize, index: u32) -> ids::TaskId {
    ids::TaskId {
        job: format!("j-{job}").parse().expect("legal"),
        index,
    }
}

fn number(job: &ids::JobId) -> usize {
    job.as_str()[2..].parse().expect("made by task()")
}

pub(crate) fn run(seeds: &[u64]) {
    println!("load {LOAD} of {WORKERS} workers for {ARRIVALS_S} s; waits in seconds, p50/p99");
    for user in [mix::User::Fraser, mix::User::Firth] {
        for seed in seeds {
            println!("{user:?}, seed {seed}, weights {:?}", user.weights());
            let mut rng = StdRng::seed_from_u64(*seed);
            let jobs = mix::draw(user, WORKERS, LOAD, ARRIVALS_S, &mut rng);
            for policy in [
                Policy::Figscale,
                Policy::Swapped,
                Policy::Fifo,
                Policy::FirstFit,
                Policy::Random,
            ] {
                let report = Driver::new(policy, user, &jobs, *seed).run();
                print(policy, report);
            }
        }
    }
}

fn print(policy: Policy, mut report: Report) {
    let mut line = format!("  {:8}", format!("{policy:?}"));
    for name in ["interactive", "deadline", "gang", "best-effort"] {
        let waits = report.waits.entry(name).or_default();
        let (p50, p99) = (waits.quantile(0.5), waits.quantile(0.99));
        line += &format!(" | {name} {p50:.1}/{p99:.1}");
    }
    let Report {
        late,
        late_gangs,
        with_deadline,
        cpu,
        memory,
        accelerators,
        lost_core_s,
        preempted,
        ..
    } = report;
    line += &format!(
        " | late {late}/{with_deadline} ({late_gangs} gangs) | cpu {cpu:.3} mem {memory:.3} acc {accelerators:.3}"
    );
    let (heavy, light) = (report.heavy.mean(), report.light.mean());
    line += &format!(" | heavy/light mean wait {heavy:.0}/{light:.0}");
    let scans = report.scans as f64 / report.placed.max(1) as f64;
    line +=
        &format!(" | preempted {preempted} lost {lost_core_s:.0} core-s | scans/placed {scans:.1}");
    println!("{line}");
}
