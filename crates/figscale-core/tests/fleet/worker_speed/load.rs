//! A load of gangs, wide steps and short jobs on workers whose speed the test sets.

use std::time;

use figscale_core::fleet::RecordKey;
use figscale_core::fleet::Records;
use figscale_core::fleet::RunTimes;
use figscale_types::fleet;
use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::helpers;
use crate::helpers::Random;
use crate::helpers::TestCluster;

/// Time between two steps of the simulation.
const STEP_MS: u64 = 25;

/// Kind of job: jobs a second and worker, and what one consists of.
#[derive(Clone, Copy)]
pub(super) struct Kind {
    pub(super) priority: u32,
    pub(super) rate: f64,
    pub(super) tasks: u32,
    pub(super) cores: u64,
    pub(super) length_ms: u64,
    /// Standard deviation of a job's true length from its estimate, as a logarithm.
    pub(super) error: f64,
    pub(super) gang_fraction: f64,
    /// True length of all its tasks relative to their estimates.
    pub(super) bias: f64,
}

/// The load of 2 to 3 ends a second and worker that the design page gives for K.
pub(super) const KINDS: [Kind; 3] = [
    Kind {
        priority: 1,
        rate: 0.018,
        tasks: 16,
        cores: 9,
        length_ms: 6_200,
        error: 0.8,
        gang_fraction: 1.0,
        bias: 1.0,
    },
    Kind {
        priority: 2,
        rate: 0.085,
        tasks: 25,
        cores: 3,
        length_ms: 2_700,
        error: 0.5,
        gang_fraction: 0.0,
        bias: 1.0,
    },
    Kind {
        priority: 0,
        rate: 0.3,
        tasks: 3,
        cores: 5,
        length_ms: 1_000,
        error: 0.2,
        gang_fraction: 0.3,
        bias: 1.0,
    },
];

/// What the reports say of progress, by the true percentage.
pub(super) type Progress = fn(u32) -> u32;

struct Running {
    work_ms: f64,
    done_ms: f64,
}

pub(super) struct Load {
    pub(super) cluster: TestCluster,
    pub(super) kinds: Vec<Kind>,
    /// Slowdown of a worker, by its number and the time in milliseconds.
    pub(super) slowdown: fn(usize, u64) -> f64,
    pub(super) progress: Progress,
    random: Random,
    /// Length of each job's tasks on an ordinary worker, and its gang's size.
    jobs: IndexMap<u64, (f64, u32)>,
    running: IndexMap<(usize, fleet::TaskId, u32), Running>,
    next_job: u64,
    pub(super) elapsed_ms: u64,
    /// Time for which each worker had runs other than of gangs.
    pub(super) loaded_ms: Vec<u64>,
    /// Times of the writes of the record of speeds.
    pub(super) speeds_written_ms: Vec<u64>,
    stored: IndexSet<RecordKey>,
}

impl Load {
    pub(super) fn new(workers: usize, slowdown: fn(usize, u64) -> f64, seed: u64) -> Self {
        Self {
            cluster: TestCluster::with_cores(workers, 32),
            kinds: KINDS.to_vec(),
            slowdown,
            progress: |percent| percent,
            random: Random(seed),
            jobs: IndexMap::new(),
            running: IndexMap::new(),
            next_job: 1,
            elapsed_ms: 0,
            loaded_ms: vec![0; workers],
            speeds_written_ms: Vec::new(),
            stored: IndexSet::new(),
        }
    }

    fn normal(&mut self) -> f64 {
        (0..12).map(|_| self.random.next()).sum::<f64>() - 6.0
    }

    pub(super) fn run_for(&mut self, seconds: u64) {
        for _ in 0..seconds * 1_000 / STEP_MS {
            self.step();
        }
    }

    fn step(&mut self) {
        self.elapsed_ms += STEP_MS;
        self.cluster.now += time::Duration::from_millis(STEP_MS);
        self.cluster.wall_ms += STEP_MS;
        self.submit_jobs();
        let ended = self.work();
        let (now, wall_ms) = (self.cluster.now, self.cluster.wall_ms);
        if self.elapsed_ms.is_multiple_of(100) {
            self.cluster.scheduler.tick(now, wall_ms);
        }
        let ids: Vec<fleet::WorkerId> = self.cluster.workers.keys().cloned().collect();
        self.cluster.scheduler.entries_read(&ids, now);
        for (number, id) in ids.iter().enumerate() {
            let due = (self.elapsed_ms / STEP_MS + number as u64).is_multiple_of(1_000 / STEP_MS);
            if due || ended.contains(&number) {
                self.cluster.report(id);
            }
        }
        while self.cluster.scheduler.has_records() {
            let records = self.cluster.write();
            self.check_write(&records);
        }
        self.cluster.scheduler.plan(now);
        self.cluster.execute_actions();
        self.note_starts();
    }

    /// Notes a write of the record of speeds; no caller may wait for it.
    fn check_write(&mut self, records: &Records) {
        let keys = records.records.iter().map(|record| record.key);
        let jobs = keys.clone().filter(|key| matches!(key, RecordKey::Job(_)));
        let new = jobs.filter(|key| self.stored.insert(*key)).count();
        if keys.clone().any(|key| key == RecordKey::Speeds) {
            assert_eq!(new, 0, "new jobs in a write of the record of speeds");
            self.speeds_written_ms.push(self.elapsed_ms);
        }
    }

    fn submit_jobs(&mut self) {
        let workers = self.cluster.workers.len() as f64;
        for kind in self.kinds.clone() {
            let expected = kind.rate * workers * STEP_MS as f64 / 1_000.0;
            if self.random.next() >= expected {
                continue;
            }
            let length = kind.length_ms as f64 * kind.bias * (kind.error * self.normal()).exp();
            let is_gang = self.random.next() < kind.gang_fraction;
            let step = match is_gang {
                true => helpers::gang(kind.tasks, kind.cores),
                false => helpers::step(kind.tasks, kind.cores),
            };
            let step = helpers::with_estimate(step, kind.length_ms);
            let queue = fleet::Queue {
                stretch: 20.0,
                ..helpers::queue(kind.priority)
            };
            let number = self.next_job;
            self.next_job += 1;
            self.jobs
                .insert(number, (length, if is_gang { kind.tasks } else { 0 }));
            let _ = self
                .cluster
                .submit(number, &queue, helpers::job(vec![step]));
        }
    }

    /// Advances all runs and ends those that are done; returns their workers.
    fn work(&mut self) -> Vec<usize> {
        let mut ended = Vec::new();
        let mut loaded = IndexSet::new();
        let mut members: IndexMap<u64, u32> = IndexMap::new();
        for (_, task, _) in self.running.keys() {
            *members.entry(task.job.0).or_default() += 1;
        }
        let mut slowest: IndexMap<u64, f64> = IndexMap::new();
        for (number, task, _) in self.running.keys() {
            let slowdown = (self.slowdown)(*number, self.elapsed_ms);
            let known = slowest.entry(task.job.0).or_insert(slowdown);
            *known = known.max(slowdown);
        }
        for ((number, task, attempt), run) in &mut self.running {
            let gang = self.jobs[&task.job.0].1;
            if gang > members[&task.job.0] {
                continue;
            }
            if gang == 0 && loaded.insert(*number) {
                self.loaded_ms[*number] += STEP_MS;
            }
            let slowdown = match gang {
                0 => (self.slowdown)(*number, self.elapsed_ms),
                _ => slowest[&task.job.0],
            };
            run.done_ms += STEP_MS as f64 / slowdown;
            let worker = &mut self.cluster.workers[*number];
            let percent = (100.0 * run.done_ms / run.work_ms) as u32;
            if run.done_ms >= run.work_ms {
                worker.end(*task, *attempt, fleet::End::Done);
                ended.push(*number);
            } else if let Some(running) = worker.running.get_mut(&(*task, *attempt)) {
                running.progress_percent = (self.progress)(percent);
            }
        }
        self.running.retain(|_, run| run.done_ms < run.work_ms);
        ended
    }

    fn note_starts(&mut self) {
        let mut started = Vec::new();
        for (number, worker) in self.cluster.workers.values().enumerate() {
            for (task, attempt) in worker.running.keys() {
                let key = (number, *task, *attempt);
                if !self.running.contains_key(&key) {
                    started.push(key);
                }
            }
        }
        for key in started {
            let (length, gang) = self.jobs[&key.1.job.0];
            // Tasks of a gang are equal; of the others one in thirty takes longer.
            let draw = self.random.next();
            let outlier = if gang == 0 && draw < 0.03 { 7.0 } else { 1.0 };
            let work_ms = length * outlier;
            self.running.insert(
                key,
                Running {
                    work_ms,
                    done_ms: 0.0,
                },
            );
            let worker = &mut self.cluster.workers[key.0];
            if let Some(running) = worker.running.get_mut(&(key.1, key.2)) {
                running.progress_percent = (self.progress)(0);
            }
        }
        // Runs that were stopped are gone.
        let workers = &self.cluster.workers;
        self.running.retain(|(number, task, attempt), _| {
            workers[*number].running.contains_key(&(*task, *attempt))
        });
    }

    /// Slowdowns in percent, by the number of the worker.
    pub(super) fn slowdowns(&self) -> Vec<u32> {
        let known = self.cluster.scheduler.known_speeds().workers;
        let known: IndexMap<fleet::WorkerId, fleet::Slowdown> = known.into_iter().collect();
        let ids = self.cluster.workers.keys();
        ids.map(|id| known.get(id).copied().unwrap_or_default().percent())
            .collect()
    }

    pub(super) fn run_times(&self, priority: u32) -> RunTimes {
        let name = helpers::queue(priority).name;
        let known = self.cluster.scheduler.known_speeds().queues;
        let known = known.into_iter().find(|(queue, _)| *queue == name);
        known.map(|(_, known)| known).unwrap_or_default()
    }
}
