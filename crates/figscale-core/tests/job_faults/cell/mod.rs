//! A simulated cell: entry instances, workers, a store and a faulty network, in one
//! process and on a clock that only the test advances.

mod claims;
mod faults;
mod invariants;
mod network;

use std::time;

use figscale_core::job::home;
use figscale_core::job::message;
use figscale_core::job::placer;
use figscale_types::ids;
use figscale_types::jobs;
use figscale_types::sizes;
use figscale_types::worker as protocol;
use indexmap::IndexMap;
use indexmap::IndexSet;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs;

use crate::worker;

const STEP: time::Duration = time::Duration::from_millis(10);
const RPC_TIMEOUT: time::Duration = time::Duration::from_millis(600);
const ENTRY_LEASE: time::Duration = time::Duration::from_millis(2_000);
const ENTRY_MARGIN: time::Duration = time::Duration::from_millis(200);
const ENTRY_RENEW: time::Duration = time::Duration::from_millis(400);

/// Probability of each fault, per step, message or answer.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    pub(crate) lose_message: f64,
    pub(crate) kill_entry: f64,
    pub(crate) freeze_entry: f64,
    pub(crate) freeze_worker: f64,
    pub(crate) cut_worker: f64,
    pub(crate) restart_worker: f64,
    pub(crate) store_outage: f64,
    pub(crate) lose_store_answer: f64,
    pub(crate) hand_over: f64,
}

struct Entry {
    key: ids::MemberKey,
    alive: bool,
    frozen_until: Option<time::Instant>,
    valid_until: time::Instant,
    renewed_at: time::Instant,
    placer: placer::Placer,
    homes: IndexMap<ids::ShardId, home::Home>,
}

#[derive(Clone)]
struct Shard {
    holder: usize,
    epoch: ids::Epoch,
    last_foreign_dispatch: time::Instant,
    /// Entry instance that gets the shard once its holder has drained it.
    draining_to: Option<usize>,
}

/// A call in flight.
#[derive(Clone)]
enum Call {
    Start(placer::StartCall),
    Renew(time::Instant, placer::RenewCall),
    Act(time::Instant, placer::ActCall),
    Peer {
        home: message::HomeKey,
        to: ids::MemberKey,
        asked_at: time::Instant,
        question: message::Question,
    },
    NotifyHome(usize, Vec<message::TaskEvent>, ids::ShardId),
    Read(message::HomeKey),
    Write(message::HomeKey, home::WriteCall),
}

enum Reply {
    Start(protocol::StartAnswer),
    Report(protocol::WorkerReport),
    Peer(message::Answer),
    Read(home::ReadOutcome),
    Write(home::WriteOutcome),
}

struct Pending {
    caller: ids::MemberKey,
    call: Call,
}

enum Delivery {
    Request(u64),
    Reply(u64, Reply),
    Timeout(u64),
    View(usize),
}

/// The state of a submission as its caller knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Submitted {
    Waiting,
    Accepted,
    Refused,
    Unknown,
}

pub(crate) struct Cell {
    pub(crate) now: time::Instant,
    start: time::Instant,
    rng: rngs::StdRng,
    pub(crate) faults: Faults,
    entries: Vec<Entry>,
    pub(crate) workers: Vec<worker::Worker>,
    shards: IndexMap<ids::ShardId, Shard>,
    documents: IndexMap<ids::ShardId, (ids::Revision, jobs::JobDocument)>,
    store_down_until: Option<time::Instant>,
    revision: u64,
    pending: IndexMap<u64, Pending>,
    requests: IndexMap<u64, Pending>,
    deliveries: Vec<(time::Instant, Delivery)>,
    next_call: u64,
    next_incarnation: u64,
    reply_tos: IndexMap<home::ReplyTo, ids::JobId>,
    pub(crate) submitted: IndexMap<ids::JobId, Submitted>,
    pub(crate) specs: IndexMap<ids::JobId, jobs::JobSpec>,
    pub(crate) starts: IndexMap<ids::TaskId, u32>,
    started_on: Vec<usize>,
    pub(crate) violations: Vec<String>,
    pub(crate) writes: u64,
    /// Number of orders that homes sent to placers, repeats included.
    pub(crate) orders: usize,
}

pub(crate) fn placer_config() -> placer::Config {
    let millis = time::Duration::from_millis;
    placer::Config {
        lease: millis(2_000),
        renew: millis(400),
        dispatch_window: millis(400),
        margin: millis(200),
        hold_timeout: millis(2_000),
        notify_interval: millis(400),
    }
}

impl Cell {
    pub(crate) fn new(seed: u64, entries: usize, workers: usize) -> Self {
        let start = time::Instant::now() + time::Duration::from_secs(100);
        let mut cell = Self {
            now: start,
            start,
            rng: rngs::StdRng::seed_from_u64(seed),
            faults: Faults::default(),
            entries: Vec::new(),
            workers: Vec::new(),
            shards: IndexMap::new(),
            documents: IndexMap::new(),
            store_down_until: None,
            revision: 0,
            pending: IndexMap::new(),
            requests: IndexMap::new(),
            deliveries: Vec::new(),
            next_call: 0,
            next_incarnation: 0,
            reply_tos: IndexMap::new(),
            submitted: IndexMap::new(),
            specs: IndexMap::new(),
            starts: IndexMap::new(),
            started_on: vec![0; workers],
            violations: Vec::new(),
            writes: 0,
            orders: 0,
        };
        for index in 0..entries {
            let entry = cell.new_entry(index, 1);
            cell.entries.push(entry);
        }
        for index in 0..workers {
            cell.add_worker(index);
        }
        for number in 0..4 {
            let shard = figscale_types::claims::job_shard(number).expect("a legal name");
            cell.add_shard(shard, number as usize % entries);
        }
        for entry in 0..entries {
            cell.update_view(entry);
        }
        cell
    }

    fn new_entry(&mut self, index: usize, incarnation: u64) -> Entry {
        Entry {
            key: ids::MemberKey {
                id: format!("entry-{index}").parse().expect("a legal name"),
                incarnation: ids::Incarnation(incarnation),
            },
            alive: true,
            frozen_until: None,
            valid_until: self.now + ENTRY_LEASE - ENTRY_MARGIN,
            renewed_at: self.now,
            placer: placer::Placer::new(placer_config()),
            homes: IndexMap::new(),
        }
    }

    fn add_worker(&mut self, index: usize) {
        self.next_incarnation += 1;
        let id: ids::InstanceId = format!("worker-{index}").parse().expect("a legal name");
        self.workers.push(worker::Worker {
            id,
            capacity: resources(4_000),
            incarnation: self.next_incarnation,
            booted_at: self.now,
            clock_skew: self.rng.random_range(-5..=5),
            epoch: ids::Epoch(0),
            leaving: false,
            fails: false,
            use_factor: 1,
            frozen_until: None,
            cut_until: None,
            tasks: IndexMap::new(),
        });
        let shard: ids::ShardId = shard_of_worker(index);
        if !self.shards.contains_key(&shard) {
            let holder = (index / 2) % self.entries.len();
            self.add_shard(shard, holder);
        }
    }

    fn add_shard(&mut self, id: ids::ShardId, holder: usize) {
        let shard = Shard {
            holder,
            epoch: ids::Epoch(1),
            last_foreign_dispatch: self.now - time::Duration::from_secs(60),
            draining_to: None,
        };
        self.shards.insert(id, shard);
    }

    fn chance(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.rng.random_bool(probability)
    }

    fn millis(&mut self, low: u64, high: u64) -> time::Duration {
        time::Duration::from_millis(self.rng.random_range(low..=high))
    }

    fn unix_ms(&self) -> u64 {
        (self.now - self.start).as_millis() as u64 + 1
    }

    fn home_now(&self) -> home::Now {
        home::Now {
            at: self.now,
            unix_ms: self.unix_ms(),
        }
    }

    /// Submits a job to the current holder of its shard.
    pub(crate) fn submit(&mut self, id: &str, spec: jobs::JobSpec, terms: jobs::JobTerms) {
        let id: ids::JobId = id.parse().expect("a legal name");
        let now = self.home_now();
        self.specs.insert(id.clone(), spec.clone());
        let shard = self.shard_of_job(&id);
        let entry = &mut self.entries[self.shards[&shard].holder];
        let reachable = entry.alive && entry.frozen_until.is_none();
        let Some(home) = entry.homes.get_mut(&shard).filter(|_| reachable) else {
            self.submitted.insert(id, Submitted::Refused);
            return;
        };
        let reply_to = home::ReplyTo(self.reply_tos.len() as u64 + 1);
        self.reply_tos.insert(reply_to, id.clone());
        self.submitted.insert(id.clone(), Submitted::Waiting);
        home.submit(now, reply_to, home::Submission { id, spec, terms });
    }

    /// Cancels a job at the current holder of its shard.
    pub(crate) fn cancel(&mut self, id: &str) {
        let id: ids::JobId = id.parse().expect("a legal name");
        let now = self.home_now();
        let shard = self.shard_of_job(&id);
        let entry = &mut self.entries[self.shards[&shard].holder];
        let home = entry.homes.get_mut(&shard).expect("a home");
        home.cancel(now, home::ReplyTo(u64::MAX), &id);
    }

    /// Number of starts that a worker has accepted.
    pub(crate) fn starts_on(&self, index: usize) -> usize {
        self.started_on[index]
    }

    /// Only the first four job shards are in use; names are chosen to match.
    fn shard_of_job(&self, id: &ids::JobId) -> ids::ShardId {
        let shard = jobs::shard_of(id).expect("a shard");
        assert!(self.shards.contains_key(&shard), "{shard} is not in use");
        shard
    }

    /// The status of a job, from its current home.
    pub(crate) fn status(&self, id: &ids::JobId) -> Option<jobs::JobStatus> {
        let shard = self.shard_of_job(id);
        let entry = &self.entries[self.shards[&shard].holder];
        entry.homes.get(&shard)?.status(id).ok()
    }

    pub(crate) fn run(&mut self, time: time::Duration) {
        let until = self.now + time;
        while self.now < until {
            self.step();
        }
    }

    pub(crate) fn step(&mut self) {
        self.now += STEP;
        self.cause_faults();
        self.end_faults();
        self.step_claims();
        self.deliver();
        for worker in &mut self.workers {
            if worker.frozen_until.is_none() {
                worker.tick(self.now);
            }
        }
        for index in 0..self.entries.len() {
            self.poll_entry(index);
        }
        self.check_capacity();
    }

    /// Jobs that were accepted.
    pub(crate) fn accepted(&self) -> IndexSet<ids::JobId> {
        self.submitted
            .iter()
            .filter(|(_, state)| **state == Submitted::Accepted)
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Draws a random number below `limit`.
    pub(crate) fn draw(&mut self, limit: u64) -> u64 {
        self.rng.random_range(0..limit)
    }
}

pub(crate) fn resources(cpu_millis: u64) -> sizes::Resources {
    sizes::Resources {
        cpu_millis: sizes::CpuMillis(cpu_millis),
        memory_bytes: sizes::Bytes(cpu_millis * sizes::MIB / 4),
        accelerators: 0,
    }
}

fn shard_of_worker(index: usize) -> ids::ShardId {
    format!("worker/fd/rack-{}", index / 2)
        .parse()
        .expect("a legal name")
}
