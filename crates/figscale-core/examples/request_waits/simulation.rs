//! The simulation: entry instances, runners and requests in virtual time.

use std::cmp;
use std::collections;
use std::time;

use figscale_core::request::dispatcher;
use figscale_core::request::queue;
use figscale_core::request::slots;
use figscale_core::request::usage_table;
use figscale_types::ids;
use figscale_types::instances;
use figscale_types::sizes;
use indexmap::IndexMap;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs;

use crate::setting;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Event {
    Arrive,
    /// The head of a request reaches a holder.
    Forwarded(usize, usize),
    /// A refusal by a holder reaches the entry instance.
    Refused(usize, usize),
    /// A run ends: holder, slot, runner.
    Done(usize, u64, usize),
    /// A waiting request checks for a holder with a free slot.
    Recheck(usize, u32),
    Push(usize),
    CountsReceived(usize, usize),
    Report,
    Kill,
    TakeOver,
}

pub(crate) struct Request {
    pub(crate) class: usize,
    pub(crate) entry: usize,
    pub(crate) arrived: time::Instant,
    pub(crate) deadline: time::Instant,
    pub(crate) run: time::Duration,
    pub(crate) excluded: Vec<ids::MemberKey>,
    /// Holder where it waits, and a number that grows when it leaves that holder.
    pub(crate) at: Option<usize>,
    pub(crate) moves: u32,
    pub(crate) refusals: u32,
    pub(crate) attempts: u32,
    pub(crate) avoid: Option<ids::InstanceId>,
}

pub(crate) struct Entry {
    pub(crate) alive: bool,
    pub(crate) dispatcher: dispatcher::Dispatcher,
    pub(crate) usage_table: usage_table::UsageTable,
    pub(crate) pushed: IndexMap<ids::ServiceName, usage_table::Counts>,
    pub(crate) tickets: IndexMap<queue::Ticket, usize>,
    /// For the baseline: own slots in use, by runner, and the queue.
    pub(crate) used: Vec<u32>,
    pub(crate) queue: collections::VecDeque<usize>,
}

#[derive(Default)]
pub(crate) struct Outcome {
    pub(crate) waits_us: [Vec<u64>; 3],
    pub(crate) refused: [u64; 3],
    pub(crate) failed: [u64; 3],
    pub(crate) arrived_by_class: [u64; 3],
    pub(crate) forwarded: u64,
    pub(crate) busy_s: f64,
    pub(crate) max_at_runner: u32,
}

pub(crate) struct Simulation {
    pub(crate) policy: setting::Policy,
    pub(crate) fault: setting::Fault,
    pub(crate) base: time::Instant,
    pub(crate) now: time::Instant,
    pub(crate) events: collections::BinaryHeap<cmp::Reverse<(time::Instant, u64, Event)>>,
    pub(crate) count: u64,
    pub(crate) rng: rngs::StdRng,
    pub(crate) entries: Vec<Entry>,
    pub(crate) holder_of_shard: Vec<usize>,
    pub(crate) requests: Vec<Request>,
    pub(crate) running: IndexMap<(usize, u64), (usize, usize, time::Duration)>,
    pub(crate) at_runner: Vec<u32>,
    pub(crate) outcome: Outcome,
    pub(crate) rate_per_s: f64,
}

pub(crate) fn service() -> ids::ServiceName {
    "hullrate".parse().expect("a name")
}

pub(crate) fn key(entry: usize, incarnation: u64) -> ids::MemberKey {
    ids::MemberKey {
        id: format!("entry-{entry}").parse().expect("a name"),
        incarnation: ids::Incarnation(incarnation),
    }
}

pub(crate) fn runner_id(number: usize) -> ids::InstanceId {
    format!("runner-{number}").parse().expect("a name")
}

pub(crate) fn shard_id(shard: usize) -> ids::ShardId {
    format!("runner/hullrate/d/r{shard}")
        .parse()
        .expect("a name")
}

pub(crate) fn instance(number: usize) -> instances::Instance {
    instances::Instance {
        id: runner_id(number),
        role: instances::Role::Runner,
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
        failure_domain: "d".parse().expect("a name"),
        rack: format!("r{}", number % setting::SHARDS)
            .parse()
            .expect("a name"),
        service: Some(service()),
        capacity: sizes::Resources::default(),
        slots: setting::SLOTS,
        connections: 60,
        life: instances::Life::Live,
    }
}

impl Simulation {
    pub(crate) fn new(
        policy: setting::Policy,
        fault: setting::Fault,
        load: f64,
        seed: u64,
    ) -> Self {
        let base = time::Instant::now();
        let mean_s: f64 = (setting::CLASSES.iter())
            .map(|class| class.share * class.mean_ms as f64 / 1_000.0)
            .sum();
        let entries = (0..setting::ENTRIES)
            .map(|_| Entry {
                alive: true,
                dispatcher: dispatcher::Dispatcher::default(),
                usage_table: usage_table::UsageTable::new(usage_table::UsageTableConfig::default()),
                pushed: IndexMap::new(),
                tickets: IndexMap::new(),
                used: vec![0; setting::RUNNERS],
                queue: collections::VecDeque::new(),
            })
            .collect();
        let mut sim = Self {
            policy,
            fault,
            base,
            now: base,
            events: collections::BinaryHeap::new(),
            count: 0,
            rng: rngs::StdRng::seed_from_u64(seed),
            entries,
            holder_of_shard: (0..setting::SHARDS)
                .map(|shard| shard % setting::ENTRIES)
                .collect(),
            requests: Vec::new(),
            running: IndexMap::new(),
            at_runner: vec![0; setting::RUNNERS],
            outcome: Outcome::default(),
            rate_per_s: load * (setting::RUNNERS as f64) * f64::from(setting::SLOTS) / mean_s,
        };
        for entry in 0..setting::ENTRIES {
            sim.update_shards(entry, None);
            sim.after(time::Duration::ZERO, Event::Push(entry));
        }
        sim.after(time::Duration::from_millis(100), Event::Arrive);
        sim.after(setting::REPORT_INTERVAL, Event::Report);
        if fault == setting::Fault::KilledEntry {
            sim.after(
                time::Duration::from_secs(setting::DURATION_S / 2),
                Event::Kill,
            );
        }
        sim
    }

    pub(crate) fn after(&mut self, wait: time::Duration, event: Event) {
        self.count += 1;
        let timed = (self.now + wait, self.count, event);
        self.events.push(cmp::Reverse(timed));
    }

    /// Applies the shards of an entry instance to its slot table. `taken` are the
    /// shards that it takes over from an instance that died.
    pub(crate) fn update_shards(&mut self, entry: usize, taken: Option<&[usize]>) {
        let now = self.now;
        let held = (0..setting::SHARDS).filter(|shard| self.holder_of_shard[*shard] == entry);
        let held = held
            .map(|shard| {
                let foreign = taken.is_some_and(|taken| taken.contains(&shard));
                let held_shard = slots::HeldShard {
                    epoch: ids::Epoch(1 + u64::from(foreign)),
                    last_foreign_dispatch: foreign.then_some(now),
                    runners: (shard..setting::RUNNERS)
                        .step_by(setting::SHARDS)
                        .map(instance)
                        .collect(),
                };
                (shard_id(shard), held_shard)
            })
            .collect();
        let longest = |_: &ids::ServiceName| time::Duration::from_secs(30);
        self.entries[entry].dispatcher.update(held, longest, now);
    }

    pub(crate) fn run(mut self) -> Outcome {
        let end = self.base + time::Duration::from_secs(setting::DURATION_S);
        while let Some(cmp::Reverse((at, _, event))) = self.events.pop() {
            if at > end {
                break;
            }
            let passed = at - self.now;
            let busy: u32 = self.at_runner.iter().sum();
            self.outcome.busy_s += f64::from(busy) * passed.as_secs_f64();
            self.now = at;
            self.handle(event);
        }
        self.outcome
    }

    pub(crate) fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Forwarded(request, holder) => self.submit(request, holder, true),
            Event::Refused(request, holder) => self.refused(request, holder),
            Event::Done(holder, slot, _) => self.done(holder, slot),
            Event::Recheck(request, moves) => self.recheck(request, moves),
            Event::Push(entry) => self.push(entry),
            Event::CountsReceived(from, to) => {
                let counts = self.entries[from].pushed.clone();
                let now = self.now;
                self.entries[to]
                    .usage_table
                    .record_counts(&key(from, 1), &counts, now);
            }
            Event::Report => self.report(),
            Event::Kill => self.kill(),
            Event::TakeOver => self.take_over(),
        }
    }

    pub(crate) fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.random::<f64>()).ln()
    }

    pub(crate) fn arrive(&mut self) {
        let gap = self.exponential(1.0 / self.rate_per_s);
        self.after(time::Duration::from_secs_f64(gap), Event::Arrive);
        let class = self.draw(&setting::CLASSES.map(|class| class.share));
        let mut entry = self.draw(&setting::ARRIVAL_SHARES);
        if !self.entries[entry].alive {
            entry = (entry + 1 + self.rng.random_range(0..setting::ENTRIES - 1)) % setting::ENTRIES;
        }
        let mean_s = setting::CLASSES[class].mean_ms as f64 / 1_000.0;
        let run = time::Duration::from_secs_f64(self.exponential(mean_s));
        self.outcome.arrived_by_class[class] += 1;
        self.requests.push(Request {
            class,
            entry,
            arrived: self.now,
            deadline: self.now + time::Duration::from_millis(setting::CLASSES[class].budget_ms),
            run,
            excluded: Vec::new(),
            at: None,
            moves: 0,
            refusals: 0,
            attempts: 0,
            avoid: None,
        });
        self.choose(self.requests.len() - 1);
    }

    pub(crate) fn draw(&mut self, shares: &[f64]) -> usize {
        let mut left = self.rng.random::<f64>() * shares.iter().sum::<f64>();
        for (index, share) in shares.iter().enumerate() {
            left -= share;
            if left < 0.0 {
                return index;
            }
        }
        shares.len() - 1
    }
}

pub(crate) fn number_of(member: &ids::MemberKey) -> usize {
    member.id.as_str()[6..].parse().expect("a number")
}
