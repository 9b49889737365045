//! Test helpers: a scheduler with workers, a store and an advisory service
//! simulated in memory.

use std::net;
use std::ops;
use std::time;

use figscale_core::fleet::Action;
use figscale_core::fleet::Admission;
use figscale_core::fleet::AdviceQuery;
use figscale_core::fleet::Config;
use figscale_core::fleet::LogEntry;
use figscale_core::fleet::Record;
use figscale_core::fleet::RecordKey;
use figscale_core::fleet::Records;
use figscale_core::fleet::Scheduler;
use figscale_types::fleet;
use figscale_types::fleet::StartOutcome;
use indexmap::IndexMap;
use indexmap::IndexSet;

pub(crate) const MAX_RECORDS: usize = 30;
const FIRST_CLOCK_MS: u64 = 100_000;
const WALL_MS: u64 = 1_700_000_000_000;

pub(crate) fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

pub(crate) fn job_id(number: u64) -> fleet::JobId {
    fleet::JobId(number)
}

pub(crate) fn task(job: u64, step: u32, index: u32) -> fleet::TaskId {
    fleet::TaskId {
        job: job_id(job),
        occurrence: 0,
        step,
        index,
    }
}

/// Address of a worker's machine, which each incarnation there has.
pub(crate) fn machine_address(number: usize) -> net::SocketAddr {
    let port = 1 + u16::try_from(number % 60_000).unwrap();
    net::SocketAddr::from(([127, 0, 0, 1], port))
}

pub(crate) fn worker_id(number: usize) -> fleet::WorkerId {
    format!("w-{number}").parse().unwrap()
}

pub(crate) fn queue(priority: u32) -> fleet::Queue {
    fleet::Queue {
        name: format!("queue-{priority}"),
        host: "host".to_owned(),
        prefix: "/q/".to_owned(),
        service: "pool".to_owned(),
        priority,
        max_attempts: 2,
        stretch: 2.0,
        target_latency_ms: 1_000,
        advice: None,
    }
}

pub(crate) fn advised_queue(priority: u32) -> fleet::Queue {
    let advice = fleet::AdvicePolicy {
        base_ms: 10.0,
        per_worker_ms: 1.0,
        valid_ms: 2_500,
    };
    fleet::Queue {
        advice: Some(advice),
        ..queue(priority)
    }
}

pub(crate) fn step(count: u32, cores: u64) -> fleet::StepDescription {
    fleet::StepDescription {
        count,
        room: fleet::Room {
            cpu_millis: cores * 1_000,
            memory_mb: 1_024,
            accelerators: 0,
        },
        estimate_ms: 1_000,
        ..Default::default()
    }
}

pub(crate) fn gang(count: u32, cores: u64) -> fleet::StepDescription {
    fleet::StepDescription {
        gang: true,
        ..step(count, cores)
    }
}

pub(crate) fn job(steps: Vec<fleet::StepDescription>) -> fleet::JobDescription {
    fleet::JobDescription {
        spec: "work".to_owned(),
        steps,
        ..Default::default()
    }
}

pub(crate) fn with_estimate(
    step: fleet::StepDescription,
    estimate_ms: u64,
) -> fleet::StepDescription {
    fleet::StepDescription {
        estimate_ms,
        ..step
    }
}

/// Tickets for those workers of a query that may run its step. `good` takes the
/// number of a worker.
pub(crate) fn tickets(query: &AdviceQuery, good: impl Fn(usize) -> bool) -> Vec<fleet::Ticket> {
    tickets_of(query, |id| good(id.name()[2..].parse().unwrap()))
}

fn tickets_of(query: &AdviceQuery, good: impl Fn(&fleet::WorkerId) -> bool) -> Vec<fleet::Ticket> {
    let good = query.workers.iter().filter(|id| good(id));
    let tickets = good.map(|id| fleet::Ticket {
        worker: id.clone(),
        token: format!("t-{id}"),
    });
    tickets.collect()
}

/// Generator of numbers from 0 to 1, the same sequence in each run.
pub(crate) struct Random(pub(crate) u64);

impl Random {
    pub(crate) fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005);
        self.0 = self.0.wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) as f64 / f64::from(1_u32 << 31)
    }
}

/// Simulated worker. It starts what it is ordered to, and its runs end when the
/// test ends them.
pub(crate) struct FakeWorker {
    pub(crate) entry: fleet::WorkerEntry,
    pub(crate) running: IndexMap<(fleet::TaskId, u32), fleet::RunningTask>,
    pub(crate) finished: Vec<fleet::FinishedRun>,
    pub(crate) orders: Vec<fleet::StartOrder>,
    pub(crate) reachable: bool,
    /// Outcome returned for a start order in place of success.
    pub(crate) start_outcome: Option<StartOutcome>,
    /// Whether a stop order ends its run at once; otherwise the test ends the
    /// run.
    pub(crate) stops_at_once: bool,
    /// Runs that it was ordered to stop, and refuses if they have not started.
    pub(crate) refused: IndexSet<(fleet::TaskId, u32)>,
    /// Rows of its reports that cannot be read.
    pub(crate) unreadable_rows: usize,
    /// Maximum number of ended runs in its reports.
    pub(crate) max_ends_listed: usize,
    /// Reading of the cluster's clock at its start.
    begun_clock_ms: u64,
    ended: u64,
}

/// One scheduler with its simulated workers, store and pending queries.
pub(crate) struct TestCluster {
    pub(crate) scheduler: Scheduler,
    pub(crate) now: time::Instant,
    pub(crate) wall_ms: u64,
    pub(crate) workers: IndexMap<fleet::WorkerId, FakeWorker>,
    pub(crate) store: IndexMap<RecordKey, Vec<u8>>,
    pub(crate) queries: Vec<AdviceQuery>,
    pub(crate) log_entries: Vec<LogEntry>,
    pub(crate) stops: Vec<(fleet::WorkerId, fleet::TaskId, u32)>,
    pub(crate) stepped_down: bool,
    /// Whether the store takes records and returns worker entries.
    pub(crate) store_available: bool,
    /// Number of workers ever added; the next one gets this number.
    pub(crate) added: usize,
    begun: time::Instant,
    config: Config,
}

impl TestCluster {
    /// Creates `workers` workers of 64 cores, in racks of four.
    pub(crate) fn new(workers: usize) -> Self {
        Self::with_cores(workers, 64)
    }

    pub(crate) fn with_cores(workers: usize, cores: u64) -> Self {
        Self::with_config(workers, cores, Config::default())
    }

    pub(crate) fn with_config(workers: usize, cores: u64, config: Config) -> Self {
        let now = time::Instant::now();
        let mut cluster = Self {
            scheduler: Scheduler::new(config.clone()),
            now,
            wall_ms: WALL_MS,
            workers: IndexMap::new(),
            store: IndexMap::new(),
            queries: Vec::new(),
            log_entries: Vec::new(),
            stops: Vec::new(),
            stepped_down: false,
            store_available: true,
            added: 0,
            begun: now,
            config,
        };
        cluster.scheduler.member_joined(&"entry-1".parse().unwrap());
        for number in 0..workers {
            cluster.add_worker(number, cores);
        }
        cluster.settle();
        cluster
    }

    pub(crate) fn add_worker(&mut self, number: usize, cores: u64) {
        self.add_incarnation(worker_id(number), number, cores, 0);
    }

    fn add_incarnation(
        &mut self,
        id: fleet::WorkerId,
        number: usize,
        cores: u64,
        begun_clock_ms: u64,
    ) {
        self.added = self.added.max(number + 1);
        let rack = format!("r1-{}", number / 4);
        let entry = fleet::WorkerEntry {
            id: id.clone(),
            service: "pool".to_owned(),
            address: machine_address(number),
            draining: false,
            leaves_in: None,
            room: fleet::Room {
                cpu_millis: cores * 1_000,
                memory_mb: 131_072,
                accelerators: 0,
            },
            labels: vec!["a".to_owned(), rack.clone()],
            rack,
            failure_domain: String::new(),
        };
        self.scheduler.worker_listed(entry.clone(), self.now);
        let worker = FakeWorker {
            entry,
            running: IndexMap::new(),
            finished: Vec::new(),
            orders: Vec::new(),
            reachable: true,
            start_outcome: None,
            stops_at_once: true,
            refused: IndexSet::new(),
            unreadable_rows: 0,
            max_ends_listed: usize::MAX,
            begun_clock_ms,
            ended: 0,
        };
        self.workers.insert(id, worker);
    }

    /// Adds the entry instances with these numbers; each can query the advisory
    /// service.
    pub(crate) fn join_entries(&mut self, numbers: ops::RangeInclusive<usize>) {
        for number in numbers {
            let member = format!("entry-{number}").parse().unwrap();
            self.scheduler.member_joined(&member);
        }
    }

    pub(crate) fn worker(&mut self, number: usize) -> &mut FakeWorker {
        self.workers.get_mut(&worker_id(number)).unwrap()
    }

    pub(crate) fn clock_ms(&self) -> u64 {
        let passed = self.now.duration_since(self.begun);
        FIRST_CLOCK_MS + u64::try_from(passed.as_millis()).unwrap()
    }

    fn worker_clock_ms(&self, id: &fleet::WorkerId) -> u64 {
        FIRST_CLOCK_MS + self.clock_ms() - FIRST_CLOCK_MS.max(self.workers[id].begun_clock_ms)
    }

    pub(crate) fn submit(
        &mut self,
        number: u64,
        queue: &fleet::Queue,
        description: fleet::JobDescription,
    ) -> Admission {
        self.scheduler
            .submit(job_id(number), queue, description, self.now, self.wall_ms)
    }

    /// Submits a job, which must be accepted, writes its record and places its
    /// tasks.
    pub(crate) fn run(
        &mut self,
        number: u64,
        queue: &fleet::Queue,
        steps: Vec<fleet::StepDescription>,
    ) {
        assert_eq!(self.submit(number, queue, job(steps)), Admission::Accepted);
        self.settle();
    }

    pub(crate) fn state(&self, number: u64) -> Option<fleet::JobState> {
        self.scheduler.state(job_id(number))
    }

    pub(crate) fn write(&mut self) -> Records {
        let records = self.scheduler.take_records(MAX_RECORDS);
        self.apply_records(&records.records);
        self.scheduler.records_written(&records, 1);
        records
    }

    pub(crate) fn apply_records(&mut self, records: &[Record]) {
        for record in records {
            match &record.bytes {
                Some(bytes) => {
                    self.store.insert(record.key, bytes.clone());
                }
                None => {
                    self.store.swap_remove(&record.key);
                }
            }
        }
    }

    /// Delivers reports, writes records, plans and executes actions until no
    /// action is left, for eight rounds at most.
    pub(crate) fn settle(&mut self) {
        for _ in 0..8 {
            self.report_all();
            while self.store_available && self.scheduler.has_records() {
                self.write();
            }
            self.scheduler.plan(self.now);
            if !self.execute_actions() {
                break;
            }
        }
    }

    /// Advances time in steps of 100 ms, with a tick and all reports at each
    /// step.
    pub(crate) fn advance(&mut self, time_ms: u64) {
        for _ in 0..time_ms.div_ceil(100) {
            self.now += ms(100);
            self.wall_ms += 100;
            self.scheduler.tick(self.now, self.wall_ms);
            self.settle();
        }
    }

    /// Reads the worker entries, unless the store is unavailable, and delivers
    /// a report of each worker.
    pub(crate) fn report_all(&mut self) {
        let ids: Vec<fleet::WorkerId> = self.workers.keys().cloned().collect();
        if self.store_available {
            self.scheduler.entries_read(&ids, self.now);
        }
        for id in ids {
            self.report(&id);
        }
    }

    pub(crate) fn report(&mut self, id: &fleet::WorkerId) {
        let clock_ms = self.worker_clock_ms(id);
        let due = self.scheduler.report_due(id);
        let worker = self.workers.get_mut(id).unwrap();
        if !worker.reachable {
            return;
        }
        if let Some(due) = due {
            worker.finished.retain(|run| run.number > due.acknowledged);
        }
        let report = fleet::WorkerReport {
            clock_ms,
            running: worker.running.values().cloned().collect(),
            finished: worker.listed_ends(),
            unreadable_rows: worker.unreadable_rows,
            finished_truncated: worker.finished.len() >= worker.max_ends_listed,
        };
        self.scheduler.worker_reported(id, &report, self.now);
    }

    /// Executes pending actions; returns whether there were any.
    pub(crate) fn execute_actions(&mut self) -> bool {
        let actions = self.scheduler.take_actions();
        let any = !actions.is_empty();
        for action in actions {
            match action {
                Action::Start { worker, order } => self.start(&worker, order),
                Action::Stop {
                    worker,
                    task,
                    attempt,
                } => self.stop(worker, task, attempt),
                Action::QueryAdvice(query) => self.queries.push(query),
                Action::StepDown => self.stepped_down = true,
                Action::Log(note) => self.log_entries.push(note),
            }
        }
        any
    }

    fn start(&mut self, id: &fleet::WorkerId, order: fleet::StartOrder) {
        let clock_ms = self.worker_clock_ms(id);
        let worker = self.workers.get_mut(id).unwrap();
        worker.orders.push(order.clone());
        let outcome = match (worker.reachable, worker.start_outcome) {
            (false, _) => StartOutcome::Unknown,
            (true, Some(outcome)) => outcome,
            (true, None) => StartOutcome::Started { clock_ms },
        };
        if matches!(outcome, StartOutcome::Started { .. }) {
            worker.start_run(&order);
        }
        self.scheduler
            .start_answered(id, order.task, order.attempt, outcome, self.now);
    }

    fn stop(&mut self, id: fleet::WorkerId, task: fleet::TaskId, attempt: u32) {
        self.stops.push((id.clone(), task, attempt));
        let clock_ms = self.worker_clock_ms(&id);
        let worker = self.workers.get_mut(&id).unwrap();
        if !worker.reachable {
            return;
        }
        if worker.stops_at_once {
            worker.end(task, attempt, fleet::End::Stopped);
        }
        worker.refused.insert((task, attempt));
        self.scheduler.stop_answered(&id, task, attempt, clock_ms);
    }

    /// The worker on which a task runs; `None` if it runs nowhere. Panics if it
    /// runs more than once.
    pub(crate) fn host_worker(&self, task: fleet::TaskId) -> Option<fleet::WorkerId> {
        let placed = self.placed(task);
        assert!(placed.len() <= 1, "{task} runs at {placed:?}");
        placed.into_iter().next().map(|(worker, _)| worker)
    }

    /// Crashes a worker: calls to it fail, and nothing runs there any more.
    pub(crate) fn crash(&mut self, id: &fleet::WorkerId) {
        self.crash_unnoticed(id);
        self.scheduler.worker_call_failed(id, self.now);
        self.settle();
    }

    /// Crashes a worker before any call to it has failed.
    pub(crate) fn crash_unnoticed(&mut self, id: &fleet::WorkerId) {
        let worker = self.workers.get_mut(id).unwrap();
        worker.reachable = false;
        worker.running.clear();
        worker.finished.clear();
    }

    /// Replaces a crashed worker by a new one.
    pub(crate) fn replace(&mut self, id: &fleet::WorkerId, cores: u64) {
        self.workers.swap_remove(id);
        self.scheduler.worker_replaced(id, self.now);
        self.scheduler.worker_unlisted(id, self.now);
        let number = self.added;
        self.add_worker(number, cores);
        self.settle();
    }

    /// Restarts a worker under its name: it knows nothing of before. Returns the
    /// id of the new incarnation, which is listed.
    pub(crate) fn restart(&mut self, id: &fleet::WorkerId) -> fleet::WorkerId {
        self.workers.swap_remove(id);
        if id.born_ms().is_none() {
            self.scheduler.worker_replaced(id, self.now);
            self.scheduler.worker_unlisted(id, self.now);
        }
        let number = id.name()[2..].parse().unwrap();
        let born_ms = id.born_ms().unwrap_or(0) + 1_000;
        let next = fleet::WorkerId::new(id.name(), Some(born_ms)).unwrap();
        let begun_clock_ms = self.clock_ms();
        self.add_incarnation(next.clone(), number, 64, begun_clock_ms);
        next
    }

    /// Delivers a start order late, to whichever incarnation there is now; returns
    /// whether it was executed.
    pub(crate) fn start_late(&mut self, id: &fleet::WorkerId, order: &fleet::StartOrder) -> bool {
        let worker = self.workers.get_mut(id).unwrap();
        let accepted = !worker.refused.contains(&(order.task, order.attempt));
        if accepted {
            worker.start_run(order);
        }
        accepted
    }

    /// All runs of a task: worker and attempt.
    pub(crate) fn placed(&self, task: fleet::TaskId) -> Vec<(fleet::WorkerId, u32)> {
        let mut found = Vec::new();
        for (id, worker) in &self.workers {
            let runs = worker
                .running
                .keys()
                .filter(|(running, _)| *running == task);
            found.extend(runs.map(|(_, attempt)| (id.clone(), *attempt)));
        }
        found
    }

    /// Ends the only run of a task, on whichever worker it is.
    pub(crate) fn end(&mut self, task: fleet::TaskId, end: fleet::End) {
        let placed = self.placed(task);
        assert_eq!(placed.len(), 1, "{task} runs at {placed:?}");
        let (worker, attempt) = placed[0].clone();
        self.workers
            .get_mut(&worker)
            .unwrap()
            .end(task, attempt, end);
        self.settle();
    }

    /// Attempts of the start orders that a worker has received.
    pub(crate) fn attempts_at(&mut self, number: usize) -> Vec<u32> {
        let orders = self.worker(number).orders.iter();
        orders.map(|order| order.attempt).collect()
    }

    pub(crate) fn starts(&self) -> usize {
        self.workers
            .values()
            .map(|worker| worker.orders.len())
            .sum()
    }

    /// Responds to the oldest query; `good` decides which workers may run the
    /// step.
    pub(crate) fn respond(&mut self, good: impl Fn(&fleet::WorkerId) -> bool) -> AdviceQuery {
        let query = self.queries.remove(0);
        let tickets = tickets_of(&query, good);
        self.scheduler
            .advice_answered(&query, Some(tickets), self.now);
        self.settle();
        query
    }

    /// Replaces the scheduler by that of a new leader, with the same store and
    /// workers.
    pub(crate) fn take_over(&mut self, epoch: u64) {
        let config = Config {
            epoch: fleet::Epoch(epoch),
            ..self.config.clone()
        };
        let mut scheduler = Scheduler::new(config);
        for (key, bytes) in &self.store {
            if let RecordKey::Job(id) = key {
                scheduler
                    .load_job(*id, bytes, 1, self.now, self.wall_ms)
                    .unwrap();
            }
        }
        let mut recorded = Vec::new();
        for (key, bytes) in &self.store {
            match key {
                RecordKey::Progress(id) => scheduler.load_progress(*id, bytes).unwrap(),
                RecordKey::Workers => recorded = Scheduler::recorded_workers(bytes).unwrap(),
                RecordKey::Speeds => scheduler.load_speeds(bytes).unwrap(),
                RecordKey::CancelledIds(batch) => {
                    scheduler.load_cancelled_ids(*batch, bytes).unwrap();
                }
                RecordKey::Job(_) => (),
            }
        }
        scheduler.begin_recovery(recorded, self.now);
        scheduler.member_joined(&"entry-2".parse().unwrap());
        for worker in self.workers.values() {
            scheduler.worker_listed(worker.entry.clone(), self.now);
        }
        self.scheduler = scheduler;
    }
}

impl FakeWorker {
    pub(crate) fn start_run(&mut self, order: &fleet::StartOrder) {
        let running = fleet::RunningTask {
            task: order.task,
            attempt: order.attempt,
            checkpoint: order.checkpoint.clone(),
            progress_percent: 100,
            used_cpu_millis: Some(1_000),
        };
        self.running.insert((order.task, order.attempt), running);
    }

    fn listed_ends(&self) -> Vec<fleet::FinishedRun> {
        let listed = self.finished.iter().take(self.max_ends_listed);
        listed.cloned().collect()
    }

    pub(crate) fn end(&mut self, task: fleet::TaskId, attempt: u32, end: fleet::End) {
        let Some(running) = self.running.swap_remove(&(task, attempt)) else {
            return;
        };
        self.ended += 1;
        self.finished.push(fleet::FinishedRun {
            number: self.ended,
            task,
            attempt,
            end,
            checkpoint: running.checkpoint,
        });
    }
}
