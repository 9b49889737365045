//! A backlog of gangs must be worked off while there is free capacity.
//!
//! Guards against a fault in which, some time after the end of traffic,
//! accepted jobs of one gang each did not start although most of the workers'
//! capacity was free. For some of these gangs the log showed a query to the
//! advisory service every 0.7 s, about 4, 3, 4, 2 and 7 workers that were known
//! to be good, and no start; for other late gangs there was no query at all for
//! 36 s.
//!
//! The fault followed a peak of wide gangs and a change to a new leader, which has
//! no advice yet. There were two causes. Tickets were requested for workers
//! that were not reserved for the gang, so that other work had taken them when
//! the response came. And late work was ranked longest first, so that a short
//! gang was never served behind longer ones. These simulations showed both,
//! without worker failures and without a store.

use std::thread;

use figscale_core::fleet::Admission;
use figscale_core::fleet::AdviceQuery;
use figscale_core::fleet::LogEntry;
use figscale_types::fleet;
use indexmap::IndexMap;
use rstest::rstest;

use crate::helpers;
use crate::helpers::TestCluster;

/// Half of the workers and of the rates of the site on which the fault was
/// seen.
const WORKERS: usize = 175;
const CORES: u64 = 64;
const MEMBERS: usize = 18;
/// A larger site has more entry instances per worker.
const MANY_MEMBERS: usize = 32;
const SEEDS: [u64; 6] = [1, 2, 3, 5, 12, 13];
const STEP_MS: u64 = 50;
const TRAFFIC_MS: u64 = 60_000;
/// Gangs arrive more often in this interval.
const PEAK_MS: std::ops::Range<u64> = 10_000..14_000;
const PEAK_FACTOR: f64 = 1.9;
/// Time after the end of traffic within which open jobs should have started.
const CATCH_UP_MS: u64 = 14_000;
const OBSERVED_MS: u64 = 20_000;
/// How long a step may wait beside free capacity.
const MAX_IDLE_MS: u64 = 3_000;

/// One kind of job.
struct Kind {
    per_s: f64,
    queue: fleet::Queue,
    step: fleet::StepDescription,
    /// Fraction of the workers that may run a step.
    allowed_part: f64,
}

fn kinds() -> Vec<Kind> {
    let queue = |priority, stretch, target_latency_ms, base_ms, per_worker_ms| fleet::Queue {
        stretch,
        target_latency_ms,
        advice: Some(fleet::AdvicePolicy {
            base_ms,
            per_worker_ms,
            valid_ms: 2_000,
        }),
        ..helpers::queue(priority)
    };
    vec![
        Kind {
            per_s: 2.86,
            queue: queue(1, 2.2, 1_000, 559.0, 8.06),
            step: helpers::with_estimate(helpers::gang(20, 18), 5_000),
            allowed_part: 0.35,
        },
        Kind {
            per_s: 7.4,
            queue: queue(2, 4.0, 3_000, 130.0, 1.82),
            step: helpers::with_estimate(helpers::step(25, 7), 2_700),
            allowed_part: 0.45,
        },
    ]
}

/// An accepted job.
struct AcceptedJob {
    kind: usize,
    step: fleet::StepDescription,
    /// Time for which it has had nothing running beside free capacity.
    idle_ms: u64,
}

struct Backlog {
    cluster: TestCluster,
    kinds: Vec<Kind>,
    accepted: IndexMap<u64, AcceptedJob>,
    /// Accepted gangs.
    gangs: Vec<u64>,
    /// Queries in flight, with the times of their responses.
    pending_queries: Vec<(u64, AdviceQuery)>,
    ends: IndexMap<(fleet::TaskId, u32), u64>,
    /// How much later than expected responses arrive.
    response_delay_ms: u64,
    at_ms: u64,
    submitted: u64,
    random: helpers::Random,
    /// Greatest difference of durations from estimates, as a fraction.
    estimate_error: f64,
    /// Counts free capacity also on workers where the policy forbids the job.
    count_forbidden_workers: bool,
    /// Number of entry instances that can query the advisory service.
    members: usize,
}

impl Backlog {
    fn new(seed: u64, response_delay_ms: u64) -> Self {
        let mut backlog = Self {
            cluster: TestCluster::with_cores(WORKERS, CORES),
            kinds: kinds(),
            accepted: IndexMap::new(),
            gangs: Vec::new(),
            pending_queries: Vec::new(),
            ends: IndexMap::new(),
            response_delay_ms,
            at_ms: 0,
            submitted: 0,
            random: helpers::Random(seed),
            estimate_error: 0.0,
            count_forbidden_workers: false,
            members: MEMBERS,
        };
        backlog.join_entries();
        backlog
    }

    fn join_entries(&mut self) {
        self.cluster.join_entries(1..=self.members);
    }

    /// Simulates the traffic, a change of leaders and the time after it;
    /// returns the jobs that waited beside free capacity for too long.
    fn simulate(mut self) -> Vec<u64> {
        while self.at_ms < TRAFFIC_MS {
            self.arrive();
            self.step();
        }
        self.pending_queries.clear();
        self.cluster.queries.clear();
        self.cluster.take_over(2);
        self.join_entries();
        while self.at_ms < TRAFFIC_MS + CATCH_UP_MS {
            self.step();
        }
        let mut starved = Vec::new();
        while self.at_ms < TRAFFIC_MS + CATCH_UP_MS + OBSERVED_MS {
            self.step();
            self.collect_starved(&mut starved);
        }
        starved
    }

    /// Simulates the traffic and the rest of its jobs under one leader; returns
    /// the fraction of the gangs that ended in time.
    fn part_in_time(mut self) -> f64 {
        while self.at_ms < TRAFFIC_MS {
            self.arrive();
            self.step();
        }
        while self.at_ms < TRAFFIC_MS + CATCH_UP_MS + OBSERVED_MS {
            self.step();
        }
        let log_entries = self.cluster.log_entries.iter();
        let ended = log_entries.filter_map(|log_entry| match log_entry {
            LogEntry::JobEnded { job, late, .. } => Some((job.0, *late)),
            _ => None,
        });
        let ended: IndexMap<u64, bool> = ended.collect();
        let in_time = |gang: &&u64| ended.get(*gang) == Some(&false);
        self.gangs.iter().filter(in_time).count() as f64 / self.gangs.len() as f64
    }

    fn arrive(&mut self) {
        for kind in 0..self.kinds.len() {
            let gang = self.kinds[kind].step.gang;
            let count_fitting = match gang && PEAK_MS.contains(&self.at_ms) {
                true => PEAK_FACTOR,
                false => 1.0,
            };
            let mut expected = self.kinds[kind].per_s * count_fitting * STEP_MS as f64 / 1_000.0;
            while expected > 0.0 {
                if self.random.next() < expected {
                    self.submit(kind);
                }
                expected -= 1.0;
            }
        }
    }

    /// Submits a job of a kind; durations, widths and sizes vary about the
    /// mean.
    fn submit(&mut self, kind: usize) {
        let mean = self.kinds[kind].step.clone();
        let queue = self.kinds[kind].queue.clone();
        let mut about = |mean: f64| mean * (0.4 + 1.8 * self.random.next().powi(2));
        let step = fleet::StepDescription {
            count: about(f64::from(mean.count)).round() as u32,
            estimate_ms: about(mean.estimate_ms as f64) as u64,
            room: fleet::Room {
                cpu_millis: about(mean.room.cpu_millis as f64) as u64,
                ..mean.room
            },
            ..mean
        };
        let number = self.submitted;
        self.submitted += 1;
        let answer = self
            .cluster
            .submit(number, &queue, helpers::job(vec![step.clone()]));
        if answer == Admission::Accepted && step.gang {
            self.gangs.push(number);
        }
        if answer == Admission::Accepted {
            let accepted = AcceptedJob {
                kind,
                step,
                idle_ms: 0,
            };
            self.accepted.insert(number, accepted);
        }
    }

    fn step(&mut self) {
        self.at_ms += STEP_MS;
        self.cluster.now += helpers::ms(STEP_MS);
        self.cluster.wall_ms += STEP_MS;
        let wall_ms = self.cluster.wall_ms;
        self.cluster.scheduler.tick(self.cluster.now, wall_ms);
        self.end_due();
        self.cluster.report_all();
        while self.cluster.scheduler.has_records() {
            self.cluster.write();
        }
        self.deliver_due_responses();
        self.cluster.scheduler.plan(self.cluster.now);
        self.cluster.execute_actions();
        for query in std::mem::take(&mut self.cluster.queries) {
            let expected_ms = query.expected.as_millis() as u64;
            let response_ms = self.at_ms + expected_ms + self.response_delay_ms;
            self.pending_queries.push((response_ms, query));
        }
        self.accepted.retain(|number, _| {
            let state = self.cluster.scheduler.state(helpers::job_id(*number));
            state.is_some_and(|state| !state.is_final())
        });
    }

    fn end_due(&mut self) {
        for worker in self.cluster.workers.values() {
            for key in worker.running.keys() {
                if let Some(job) = self.accepted.get(&key.0.job.0) {
                    let length_ms = job.step.estimate_ms as f64 * self.duration_factor(key.0.job);
                    let end_ms = self.at_ms + length_ms as u64;
                    self.ends.entry(*key).or_insert(end_ms);
                }
            }
        }
        let at_ms = self.at_ms;
        let due = self.ends.extract_if(.., |_, end_ms| *end_ms <= at_ms);
        for ((task, attempt), _) in due {
            for worker in self.cluster.workers.values_mut() {
                worker.end(task, attempt, fleet::End::Done);
            }
        }
    }

    /// Ratio of a job's task duration to its estimate, the same in each run.
    fn duration_factor(&self, job: fleet::JobId) -> f64 {
        let mixed = (job.0 + 7).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let part = (mixed >> 40) as f64 / f64::from(1_u32 << 24);
        1.0 + self.estimate_error * (2.0 * part - 1.0)
    }

    fn deliver_due_responses(&mut self) {
        let at_ms = self.at_ms;
        let due = self
            .pending_queries
            .extract_if(.., |(due_ms, _)| *due_ms <= at_ms);
        for (_, query) in due.collect::<Vec<_>>() {
            let job = query.task.job.0;
            let kind = self.accepted.get(&job).map_or(0, |job| job.kind);
            let part = self.kinds[kind].allowed_part;
            let tickets = helpers::tickets(&query, |worker| is_allowed(job, worker, part));
            self.cluster
                .scheduler
                .advice_answered(&query, Some(tickets), self.cluster.now);
        }
    }

    /// Adds to `starved` the jobs that have had nothing running for too long.
    /// Time counts while less than half of the processors are in use and the
    /// workers that may run the job have twice the capacity it needs.
    fn collect_starved(&mut self, starved: &mut Vec<u64>) {
        let mut running = IndexMap::<u64, u32>::new();
        for worker in self.cluster.workers.values() {
            for (task, _) in worker.running.keys() {
                *running.entry(task.job.0).or_default() += 1;
            }
        }
        let workers = self.cluster.workers.values();
        let free: Vec<fleet::Room> = workers.map(|worker| self.free(worker)).collect();
        let free_millis: u64 = free.iter().map(|room| room.cpu_millis).sum();
        let half_free = free_millis * 2 > WORKERS as u64 * CORES * 1_000;
        for (number, job) in &mut self.accepted {
            let count = u64::from(job.step.count);
            let part = self.kinds[job.kind].allowed_part;
            let anywhere = self.count_forbidden_workers;
            let allowed = |worker: &usize| anywhere || is_allowed(*number, *worker, part);
            let slots = (0..WORKERS).filter(allowed);
            let slots = slots.map(|worker| free[worker].count_fitting(&job.step.room, 2 * count));
            let twice = slots.sum::<u64>() >= 2 * count;
            let idle = half_free && twice && !running.contains_key(number);
            job.idle_ms = if idle { job.idle_ms + STEP_MS } else { 0 };
            if job.idle_ms > MAX_IDLE_MS && !starved.contains(number) {
                starved.push(*number);
            }
        }
    }

    fn free(&self, worker: &helpers::FakeWorker) -> fleet::Room {
        let used = worker.running.keys().filter_map(|(task, _)| {
            let job = self.accepted.get(&task.job.0);
            job.map(|job| job.step.room)
        });
        used.fold(worker.entry.room, |free, room| free.minus(&room))
    }
}

/// Whether a worker may run a job's step; the same at any time.
fn is_allowed(job: u64, worker: usize, part: f64) -> bool {
    let mixed = (job * 1_000 + worker as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    ((mixed >> 40) as f64 / f64::from(1_u32 << 24)) < part
}

/// Accepted jobs start as soon as there is free capacity for them, also where
/// responses take longer than the service expects.
#[rstest]
fn no_job_starves_beside_free_capacity(#[values(0, 100)] response_delay_ms: u64) {
    let simulate = move |seed| Backlog::new(seed, response_delay_ms).simulate();
    let simulations = SEEDS.map(|seed| thread::spawn(move || simulate(seed)));
    let starved = simulations.map(|simulation| simulation.join().unwrap());
    assert!(
        starved.iter().all(Vec::is_empty),
        "starved jobs by seed: {starved:?}"
    );
}

/// The same with as many entry instances per worker as a larger site has.
#[test]
fn no_job_starves_beside_free_capacity_with_many_instances() {
    let simulate = |seed| {
        let mut backlog = Backlog::new(seed, 0);
        backlog.members = MANY_MEMBERS;
        backlog.join_entries();
        backlog.simulate()
    };
    let simulations = SEEDS.map(|seed| thread::spawn(move || simulate(seed)));
    let starved = simulations.map(|simulation| simulation.join().unwrap());
    assert!(
        starved.iter().all(Vec::is_empty),
        "starved jobs by seed: {starved:?}"
    );
}

/// The strictest form, on the seeds that showed the fault first: free capacity
/// counts also on workers where a job may not run.
#[test]
fn no_job_starves_beside_free_capacity_on_any_worker() {
    let simulate = |seed| {
        let mut backlog = Backlog::new(seed, 0);
        backlog.count_forbidden_workers = true;
        backlog.simulate()
    };
    let simulations = [1, 2, 3].map(|seed| thread::spawn(move || simulate(seed)));
    let starved = simulations.map(|simulation| simulation.join().unwrap());
    assert!(
        starved.iter().all(Vec::is_empty),
        "starved jobs by seed: {starved:?}"
    );
}

/// Durations differ from estimates by up to nine tenths; only capacity that the
/// policy allows counts.
#[test]
fn no_job_starves_beside_free_capacity_with_inaccurate_estimates() {
    let simulate = |seed| {
        let mut backlog = Backlog::new(seed, 0);
        backlog.estimate_error = 0.9;
        backlog.simulate()
    };
    let simulations = [4, 12, 14].map(|seed| thread::spawn(move || simulate(seed)));
    let starved = simulations.map(|simulation| simulation.join().unwrap());
    assert!(
        starved.iter().all(Vec::is_empty),
        "starved jobs by seed: {starved:?}"
    );
}

/// Many gangs wait at once on a large fleet, and over nine in ten of them must
/// end in time.
#[test]
fn gangs_that_wait_together_end_in_time() {
    let simulate = |seed| {
        let mut backlog = Backlog::new(seed, 0);
        backlog.members = MANY_MEMBERS;
        backlog.join_entries();
        backlog.part_in_time()
    };
    let simulations = SEEDS.map(|seed| thread::spawn(move || simulate(seed)));
    let in_time = simulations.map(|simulation| simulation.join().unwrap());
    let mean = in_time.iter().sum::<f64>() / in_time.len() as f64;
    assert!(mean > 0.9, "fraction in time by seed: {in_time:?}");
}

/// Guards against late gangs that are ranked by length: the one that has waited
/// longest goes first, however short it is.
#[test]
fn a_late_gang_is_not_overtaken_by_a_later_longer_one() {
    let mut cluster = TestCluster::with_cores(2, 10);
    cluster.run(1, &helpers::queue(1), vec![helpers::gang(2, 8)]);
    cluster.run(2, &helpers::queue(1), vec![helpers::gang(2, 8)]);
    let longer = fleet::StepDescription {
        estimate_ms: 5_000,
        ..helpers::gang(2, 8)
    };
    cluster.advance(3_000);
    cluster.run(3, &helpers::queue(1), vec![longer]);
    cluster.advance(20_000);
    for index in 0..2 {
        let (worker, attempt) = cluster.placed(helpers::task(1, 0, index))[0].clone();
        cluster.workers[&worker].end(helpers::task(1, 0, index), attempt, fleet::End::Done);
    }
    cluster.settle();
    assert_eq!(cluster.placed(helpers::task(3, 0, 0)), []);
    assert_eq!(cluster.placed(helpers::task(2, 0, 0)).len(), 1);
}
