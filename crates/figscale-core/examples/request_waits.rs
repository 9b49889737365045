//! Waiting times of requests in virtual time: the decisions of
//! `figscale_core::request` against random choice with a fixed limit.
//!
//! Eight entry instances hold 50 runners of 8 slots, in 16 shards. Requests
//! arrive by Poisson processes, unevenly over the entry instances, and run for
//! exponentially distributed times. A hop takes 1.5 ms one way. Nothing here
//! measures this machine: the same seed gives the same figures anywhere.
//!
//! The baseline gives every entry instance one slot of each runner (8 slots, 8
//! entry instances), which keeps the promise as well, picks a free one of its
//! own at random and queues in order of arrival.
//!
//! `cargo run --release -p figscale-core --example request_waits -- [SEED]`

use std::cmp;
use std::collections;
use std::env;
use std::time;

use figscale_core::request::board;
use figscale_core::request::dispatcher;
use figscale_core::request::queue;
use figscale_core::request::slots;
use figscale_types::catalogue::Urgency;
use figscale_types::ids;
use figscale_types::instances;
use figscale_types::sizes;
use indexmap::IndexMap;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs;

const ENTRIES: usize = 8;
const RUNNERS: usize = 50;
const SHARDS: usize = 16;
const SLOTS: u32 = 8;
const HOP: time::Duration = time::Duration::from_micros(1_500);
const PUSH: time::Duration = time::Duration::from_millis(20);
const LOOK: time::Duration = time::Duration::from_millis(20);
const REPORT: time::Duration = time::Duration::from_millis(500);
const SECONDS: u64 = 60;
/// Shares of the arrivals, by entry instance.
const UNEVEN: [f64; ENTRIES] = [8.0, 4.0, 2.0, 2.0, 1.0, 1.0, 1.0, 1.0];
/// Time from the death of a holder to the taking of its shards.
const TAKEOVER: time::Duration = time::Duration::from_millis(6_500);

/// Share, mean run, budget, urgency of the classes.
const CLASSES: [Class; 3] = [
    Class::new("interactive", 0.4, 50, 3_000, Urgency::Interactive),
    Class::new("deadline", 0.3, 200, 20_000, Urgency::Deadline),
    Class::new("best-effort", 0.3, 800, 60_000, Urgency::BestEffort),
];

struct Class {
    name: &'static str,
    share: f64,
    mean_ms: u64,
    budget_ms: u64,
    urgency: Urgency,
}

impl Class {
    const fn new(
        name: &'static str,
        share: f64,
        mean_ms: u64,
        budget_ms: u64,
        urgency: Urgency,
    ) -> Self {
        Self {
            name,
            share,
            mean_ms,
            budget_ms,
            urgency,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    /// The decisions of this crate.
    Shared,
    /// As [`Policy::Shared`], but a request stays where it first queued.
    Staying,
    /// Random choice with a fixed limit.
    Fixed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    SlowRunner,
    FailingRunner,
    KilledEntry,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    /// A request's head reaches a holder.
    Reach(usize, usize),
    /// A refusal comes back from a holder.
    Refused(usize, usize),
    /// A runner is done, at this holder, in this slot.
    Done(usize, u64, usize),
    /// A waiting request looks for a better place.
    Look(usize, u32),
    Push(usize),
    Heard(usize, usize),
    Report,
    Kill,
    TakeOver,
}

struct Request {
    class: usize,
    entry: usize,
    arrived: time::Instant,
    deadline: time::Instant,
    run: time::Duration,
    excluded: Vec<ids::MemberKey>,
    /// Where it waits, and a number that grows when it leaves there.
    at: Option<usize>,
    moves: u32,
    refusals: u32,
    attempts: u32,
    avoid: Option<ids::InstanceId>,
}

struct Entry {
    alive: bool,
    dispatcher: dispatcher::Dispatcher,
    board: board::Board,
    pushed: IndexMap<ids::ServiceName, board::Counts>,
    tickets: IndexMap<queue::Ticket, usize>,
    /// For the baseline: own slots in use by runner, and the queue.
    used: Vec<u32>,
    line: collections::VecDeque<usize>,
}

#[derive(Default)]
struct Outcome {
    waits_us: [Vec<u64>; 3],
    refused: [u64; 3],
    failed: [u64; 3],
    asked: [u64; 3],
    forwarded: u64,
    busy_s: f64,
    most_at_runner: u32,
}

struct World {
    policy: Policy,
    fault: Fault,
    base: time::Instant,
    now: time::Instant,
    events: collections::BinaryHeap<cmp::Reverse<(time::Instant, u64, Event)>>,
    count: u64,
    rng: rngs::StdRng,
    entries: Vec<Entry>,
    holder_of_shard: Vec<usize>,
    requests: Vec<Request>,
    running: IndexMap<(usize, u64), (usize, usize, time::Duration)>,
    at_runner: Vec<u32>,
    outcome: Outcome,
    rate_per_s: f64,
}

fn service() -> ids::ServiceName {
    "hullrate".parse().expect("a name")
}

fn key(entry: usize, life: u64) -> ids::MemberKey {
    ids::MemberKey {
        id: format!("entry-{entry}").parse().expect("a name"),
        incarnation: ids::Incarnation(life),
    }
}

fn runner_id(number: usize) -> ids::InstanceId {
    format!("runner-{number}").parse().expect("a name")
}

fn shard_id(shard: usize) -> ids::ShardId {
    format!("runner/hullrate/d/r{shard}")
        .parse()
        .expect("a name")
}

fn instance(number: usize) -> instances::Instance {
    instances::Instance {
        id: runner_id(number),
        role: instances::Role::Runner,
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
        failure_domain: "d".parse().expect("a name"),
        rack: format!("r{}", number % SHARDS).parse().expect("a name"),
        service: Some(service()),
        capacity: sizes::Resources::default(),
        slots: SLOTS,
        connections: 60,
        life: instances::Life::Live,
    }
}

impl World {
    fn new(policy: Policy, fault: Fault, load: f64, seed: u64) -> Self {
        let base = time::Instant::now();
        let mean_s: f64 = (CLASSES.iter())
            .map(|class| class.share * class.mean_ms as f64 / 1_000.0)
            .sum();
        let entries = (0..ENTRIES)
            .map(|_| Entry {
                alive: true,
                dispatcher: dispatcher::Dispatcher::default(),
                board: board::Board::new(board::BoardConfig::default()),
                pushed: IndexMap::new(),
                tickets: IndexMap::new(),
                used: vec![0; RUNNERS],
                line: collections::VecDeque::new(),
            })
            .collect();
        let mut world = Self {
            policy,
            fault,
            base,
            now: base,
            events: collections::BinaryHeap::new(),
            count: 0,
            rng: rngs::StdRng::seed_from_u64(seed),
            entries,
            holder_of_shard: (0..SHARDS).map(|shard| shard % ENTRIES).collect(),
            requests: Vec::new(),
            running: IndexMap::new(),
            at_runner: vec![0; RUNNERS],
            outcome: Outcome::default(),
            rate_per_s: load * (RUNNERS as f64) * f64::from(SLOTS) / mean_s,
        };
        for entry in 0..ENTRIES {
            world.hold(entry, None);
            world.after(time::Duration::ZERO, Event::Push(entry));
        }
        world.after(time::Duration::from_millis(100), Event::Arrive);
        world.after(REPORT, Event::Report);
        if fault == Fault::KilledEntry {
            world.after(time::Duration::from_secs(SECONDS / 2), Event::Kill);
        }
        world
    }

    fn after(&mut self, wait: time::Duration, event: Event) {
        self.count += 1;
        let line = (self.now + wait, self.count, event);
        self.events.push(cmp::Reverse(line));
    }

    /// Brings the shards of an entry instance into its table.
    fn hold(&mut self, entry: usize, taken: Option<&[usize]>) {
        let now = self.now;
        let held = (0..SHARDS).filter(|shard| self.holder_of_shard[*shard] == entry);
        let held = held
            .map(|shard| {
                let foreign = taken.is_some_and(|taken| taken.contains(&shard));
                let line = slots::HeldShard {
                    epoch: ids::Epoch(1 + u64::from(foreign)),
                    last_foreign_dispatch: foreign.then_some(now),
                    runners: (shard..RUNNERS).step_by(SHARDS).map(instance).collect(),
                };
                (shard_id(shard), line)
            })
            .collect();
        let longest = |_: &ids::ServiceName| time::Duration::from_secs(30);
        self.entries[entry].dispatcher.update(held, longest, now);
    }

    fn run(mut self) -> Outcome {
        let end = self.base + time::Duration::from_secs(SECONDS);
        while let Some(cmp::Reverse((at, _, event))) = self.events.pop() {
            if at > end {
                break;
            }
            let passed = at - self.now;
            let busy: u32 = self.at_runner.iter().sum();
            self.outcome.busy_s += f64::from(busy) * passed.as_secs_f64();
            self.now = at;
            self.step(event);
        }
        self.outcome
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Reach(request, holder) => self.submit(request, holder, true),
            Event::Refused(request, holder) => self.refused(request, holder),
            Event::Done(holder, slot, _) => self.done(holder, slot),
            Event::Look(request, moves) => self.look(request, moves),
            Event::Push(entry) => self.push(entry),
            Event::Heard(from, to) => {
                let counts = self.entries[from].pushed.clone();
                let now = self.now;
                self.entries[to].board.hear(&key(from, 1), &counts, now);
            }
            Event::Report => self.report(),
            Event::Kill => self.kill(),
            Event::TakeOver => self.take_over(),
        }
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.random::<f64>()).ln()
    }

    fn arrive(&mut self) {
        let gap = self.exponential(1.0 / self.rate_per_s);
        self.after(time::Duration::from_secs_f64(gap), Event::Arrive);
        let class = self.draw(&CLASSES.map(|class| class.share));
        let mut entry = self.draw(&UNEVEN);
        if !self.entries[entry].alive {
            entry = (entry + 1 + self.rng.random_range(0..ENTRIES - 1)) % ENTRIES;
        }
        let mean_s = CLASSES[class].mean_ms as f64 / 1_000.0;
        let run = time::Duration::from_secs_f64(self.exponential(mean_s));
        self.outcome.asked[class] += 1;
        self.requests.push(Request {
            class,
            entry,
            arrived: self.now,
            deadline: self.now + time::Duration::from_millis(CLASSES[class].budget_ms),
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

    fn draw(&mut self, shares: &[f64]) -> usize {
        let mut left = self.rng.random::<f64>() * shares.iter().sum::<f64>();
        for (index, share) in shares.iter().enumerate() {
            left -= share;
            if left < 0.0 {
                return index;
            }
        }
        shares.len() - 1
    }

    fn choose(&mut self, number: usize) {
        let entry = self.requests[number].entry;
        if self.policy == Policy::Fixed {
            self.entries[entry].line.push_back(number);
            return self.serve_line(entry);
        }
        let urgency = CLASSES[self.requests[number].class].urgency;
        let request = &self.requests[number];
        let me = key(entry, 1);
        let here = !request.excluded.contains(&me);
        let state = &mut self.entries[entry];
        let own = state.dispatcher.counts_of(&service(), self.now);
        if here && state.dispatcher.would_grant(&service(), urgency, self.now) {
            return self.submit(number, entry, false);
        }
        let chosen = (state.board).choose(
            &service(),
            urgency,
            &request.excluded,
            self.now,
            &mut self.rng,
        );
        match chosen {
            Some(choice) if !here || choice.room > own.room(urgency, 0) => {
                state.board.sent(&service(), &choice.member);
                self.outcome.forwarded += 1;
                self.after(HOP, Event::Reach(number, number_of(&choice.member)));
            }
            _ if here && own.slots > 0 => self.submit(number, entry, false),
            _ => self.outcome.refused[request.class] += 1,
        }
    }

    fn submit(&mut self, number: usize, holder: usize, forwarded: bool) {
        if !self.entries[holder].alive {
            // The link breaks; nothing was sent but the head.
            let request = &mut self.requests[number];
            request.excluded.push(key(holder, 1));
            return self.choose(number);
        }
        let ticket = queue::Ticket(self.count);
        self.count += 1;
        let request = &mut self.requests[number];
        let class = &CLASSES[request.class];
        let submission = dispatcher::Submission {
            ticket,
            entry: class.name.parse().expect("a name"),
            service: service(),
            owner: "owner".parse().expect("a name"),
            weight: 1,
            urgency: class.urgency,
            deadline: request.deadline,
            idempotent: true,
            avoid: request.avoid.clone(),
            max_queue_len: 2_000,
            max_run: time::Duration::from_secs(30),
        };
        request.at = Some(holder);
        let submitted = self.entries[holder].dispatcher.submit(submission, self.now);
        match submitted {
            dispatcher::Submitted::Granted(grant) => self.start(number, holder, &grant),
            dispatcher::Submitted::Queued => {
                let moves = self.requests[number].moves;
                self.entries[holder].tickets.insert(ticket, number);
                if self.policy == Policy::Shared {
                    self.after(LOOK, Event::Look(number, moves));
                }
            }
            dispatcher::Submitted::Refused(_) if forwarded => {
                self.after(HOP, Event::Refused(number, holder));
            }
            dispatcher::Submitted::Refused(_) => self.refused(number, holder),
        }
    }

    fn refused(&mut self, number: usize, holder: usize) {
        let entry = self.requests[number].entry;
        self.entries[entry]
            .board
            .refused(&service(), &key(holder, 1));
        let request = &mut self.requests[number];
        request.excluded.push(key(holder, 1));
        request.refusals += 1;
        if request.refusals >= 3 {
            self.outcome.refused[request.class] += 1;
            return;
        }
        self.choose(number);
    }

    /// A request that waits moves to a holder with a free slot.
    fn look(&mut self, number: usize, moves: u32) {
        let request = &self.requests[number];
        let (Some(holder), true) = (request.at, request.moves == moves) else {
            return;
        };
        let entry = request.entry;
        let excluded = request.excluded.clone();
        let now = self.now;
        let urgency = CLASSES[request.class].urgency;
        let state = &mut self.entries[entry];
        let own = holder != entry && state.dispatcher.would_grant(&service(), urgency, now);
        let chosen = state
            .board
            .choose(&service(), urgency, &excluded, now, &mut self.rng);
        let better = chosen.filter(|c| c.room > 0.0 && number_of(&c.member) != holder);
        if !own && better.is_none() {
            return self.after(LOOK, Event::Look(number, moves));
        }
        let ticket = self.entries[holder]
            .tickets
            .iter()
            .find(|(_, n)| **n == number);
        let Some(ticket) = ticket.map(|(ticket, _)| *ticket) else {
            return;
        };
        self.entries[holder].tickets.swap_remove(&ticket);
        self.entries[holder].dispatcher.cancel(ticket);
        self.requests[number].moves += 1;
        match better {
            _ if own => self.submit(number, entry, false),
            Some(choice) => {
                self.entries[entry].board.sent(&service(), &choice.member);
                self.after(HOP, Event::Reach(number, number_of(&choice.member)));
            }
            None => {}
        }
    }

    fn start(&mut self, number: usize, holder: usize, grant: &dispatcher::Grant) {
        let runner: usize = grant.runner.as_str()[7..].parse().expect("a number");
        self.requests[number].moves += 1;
        self.requests[number].at = None;
        self.begin(number, holder, grant.slot.0, runner);
    }

    fn begin(&mut self, number: usize, holder: usize, slot: u64, runner: usize) {
        let slow = self.fault == Fault::SlowRunner && runner == 0;
        let request = &mut self.requests[number];
        request.attempts += 1;
        if request.attempts == 1 {
            let wait = self.now - request.arrived;
            self.outcome.waits_us[request.class].push(wait.as_micros() as u64);
        }
        let run = match slow {
            true => request.run * 10,
            false => request.run,
        };
        let failing = self.fault == Fault::FailingRunner && runner == 0;
        let run = match failing {
            true => time::Duration::from_millis(1),
            false => run,
        };
        self.at_runner[runner] += 1;
        let most = self.outcome.most_at_runner.max(self.at_runner[runner]);
        self.outcome.most_at_runner = most;
        self.running.insert((holder, slot), (number, runner, run));
        self.after(run, Event::Done(holder, slot, runner));
    }

    fn done(&mut self, holder: usize, slot: u64) {
        let Some((number, runner, ran)) = self.running.swap_remove(&(holder, slot)) else {
            return;
        };
        self.at_runner[runner] -= 1;
        if !self.entries[holder].alive {
            return;
        }
        let failing = self.fault == Fault::FailingRunner && runner == 0;
        if self.policy == Policy::Fixed {
            self.entries[holder].used[runner] -= 1;
            if failing {
                self.outcome.failed[self.requests[number].class] += 1;
            }
            return self.serve_line(holder);
        }
        let end = match failing {
            true => dispatcher::End::Lost,
            false => dispatcher::End::Answered { ran, good: true },
        };
        let id = dispatcher::SlotId(slot);
        self.entries[holder].dispatcher.finish(id, end, self.now);
        if failing {
            let request = &mut self.requests[number];
            request.avoid = Some(runner_id(runner));
            if request.attempts < 3 {
                self.choose(number);
            } else {
                self.outcome.failed[request.class] += 1;
            }
        }
        self.poll(holder);
    }

    fn poll(&mut self, holder: usize) {
        for event in self.entries[holder].dispatcher.poll(self.now) {
            match event {
                dispatcher::Event::Granted(ticket, grant) => {
                    if let Some(number) = self.entries[holder].tickets.swap_remove(&ticket) {
                        self.start(number, holder, &grant);
                    }
                }
                dispatcher::Event::Refused(ticket, _) => {
                    if let Some(number) = self.entries[holder].tickets.swap_remove(&ticket) {
                        self.outcome.refused[self.requests[number].class] += 1;
                    }
                }
            }
        }
    }

    fn serve_line(&mut self, entry: usize) {
        let free: Vec<_> = (0..RUNNERS)
            .filter(|runner| self.entries[entry].used[*runner] == 0)
            .collect();
        if free.is_empty() {
            return;
        }
        while let Some(number) = self.entries[entry].line.pop_front() {
            if self.requests[number].deadline < self.now {
                self.outcome.refused[self.requests[number].class] += 1;
                continue;
            }
            let runner = free[self.rng.random_range(0..free.len())];
            self.entries[entry].used[runner] = 1;
            self.count += 1;
            let slot = self.count;
            return self.begin(number, entry, slot, runner);
        }
    }

    fn push(&mut self, entry: usize) {
        if !self.entries[entry].alive {
            return;
        }
        self.poll(entry);
        let counts = self.entries[entry].dispatcher.counts(self.now);
        self.entries[entry].pushed = counts;
        for other in (0..ENTRIES).filter(|other| *other != entry) {
            self.after(HOP, Event::Heard(entry, other));
        }
        self.after(PUSH, Event::Push(entry));
    }

    fn report(&mut self) {
        self.after(REPORT, Event::Report);
        for entry in 0..ENTRIES {
            let now = self.now;
            let dispatcher = &mut self.entries[entry].dispatcher;
            let worth: Vec<_> = (dispatcher.table().worth_asking(now))
                .map(|runner| runner.instance.id.clone())
                .collect();
            for id in worth {
                let runner: usize = id.as_str()[7..].parse().expect("a number");
                let busy = self.at_runner[runner];
                self.entries[entry].dispatcher.report(&id, busy, now, now);
            }
            self.poll(entry);
        }
    }

    fn kill(&mut self) {
        self.entries[0].alive = false;
        let lost: Vec<_> = self.entries[0].tickets.drain(..).map(|(_, n)| n).collect();
        let line: Vec<_> = self.entries[0].line.drain(..).collect();
        for number in lost.into_iter().chain(line) {
            if self.requests[number].entry == 0 {
                self.outcome.failed[self.requests[number].class] += 1;
            } else {
                self.requests[number].excluded.push(key(0, 1));
                self.choose(number);
            }
        }
        for entry in 1..ENTRIES {
            self.entries[entry]
                .board
                .retain(|member| *member != key(0, 1));
        }
        self.after(TAKEOVER, Event::TakeOver);
    }

    fn take_over(&mut self) {
        let mut next = 1;
        let mut taken = Vec::new();
        for shard in 0..SHARDS {
            if self.holder_of_shard[shard] == 0 {
                self.holder_of_shard[shard] = next;
                taken.push(shard);
                next += 1;
            }
        }
        for entry in 1..ENTRIES {
            self.hold(entry, Some(&taken));
        }
    }
}

fn number_of(member: &ids::MemberKey) -> usize {
    member.id.as_str()[6..].parse().expect("a number")
}

fn at(waits: &mut [u64], quantile: f64) -> f64 {
    if waits.is_empty() {
        return f64::NAN;
    }
    waits.sort_unstable();
    let index = ((waits.len() - 1) as f64 * quantile).round() as usize;
    waits[index] as f64 / 1_000.0
}

fn line(policy: Policy, fault: Fault, load: f64, seed: u64) {
    let mut outcome = World::new(policy, fault, load, seed).run();
    let slot_s = SECONDS as f64 * RUNNERS as f64 * f64::from(SLOTS);
    let used = outcome.busy_s / slot_s;
    print!("| {load} | {fault:?} | {policy:?} |");
    for class in 0..CLASSES.len() {
        let waits = &mut outcome.waits_us[class];
        print!(" {:.1} / {:.1} |", at(waits, 0.5), at(waits, 0.99));
    }
    let share = |counts: [u64; 3]| {
        let asked: u64 = outcome.asked.iter().sum();
        counts.iter().sum::<u64>() as f64 / asked as f64 * 100.0
    };
    let interactive = outcome.refused[0] as f64 / outcome.asked[0] as f64 * 100.0;
    println!(
        " {:.1} ({interactive:.1}) | {:.2} | {:.3} | {} |",
        share(outcome.refused),
        share(outcome.failed),
        used,
        outcome.most_at_runner
    );
}

fn main() {
    let seed = env::args()
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(1);
    println!("seed {seed}, {SECONDS} s of virtual time");
    println!(
        "| load | fault | policy | interactive p50 / p99 ms | deadline | best-effort \
         | refused % (interactive) | failed % | slots used | most at a runner |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let policies = [Policy::Fixed, Policy::Staying, Policy::Shared];
    for load in [0.5, 0.8, 0.95, 1.5] {
        for policy in policies {
            line(policy, Fault::None, load, seed);
        }
    }
    for fault in [Fault::SlowRunner, Fault::FailingRunner, Fault::KilledEntry] {
        for policy in policies {
            line(policy, fault, 0.8, seed);
        }
    }
}
