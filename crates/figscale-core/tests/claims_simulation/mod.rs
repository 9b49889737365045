//! Discrete-event simulation of claims machines: a store, network paths that can
//! be blocked, clocks that drift, and processes that pause and die. Time is
//! simulated, so nothing sleeps.
//!
//! After every event the simulation checks that no two members use a shard.

#![expect(clippy::unwrap_used, reason = "a test may panic")]
#![expect(dead_code, reason = "each test binary uses a part")]
#![expect(unreachable_pub, reason = "a module of test binaries")]

mod store;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net;
use std::sync;
use std::time;

use figscale_core::claims as core;
use figscale_types::claims;
use figscale_types::ids;
use figscale_types::instances;
use figscale_types::sizes;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs;

use store::Store;

pub const LEASE_MS: u64 = 2_000;
pub const LAG_MS: u64 = 1_000;
/// Time after which a caller takes a call as unanswered.
const TIMEOUT_MS: u64 = 500;
/// Maximum drift of a clock, in parts per thousand; the drift of two clocks
/// together stays within the margin.
pub const MAX_CLOCK_DRIFT: i64 = 45;
const TICK_MS: u64 = 100;
const LIST_MS: u64 = 400;

/// The shards of the simulation.
pub fn shards(_: &instances::InstanceList) -> Vec<ids::ShardId> {
    ["id/00", "job/00"].map(|name| name.parse().unwrap()).into()
}

pub fn config() -> core::Config {
    let millis = time::Duration::from_millis;
    core::Config {
        shards_of: shards,
        ..core::Config::new(millis(LEASE_MS), millis(500), millis(200))
    }
}

/// Several members that use the same shard at the same time.
#[derive(Debug)]
pub struct Violation {
    pub at_ms: u64,
    pub shard: ids::ShardId,
    pub users: Vec<ids::MemberKey>,
}

#[derive(Clone, Debug)]
enum Event {
    Tick(usize, u64),
    List(usize, u64),
    AtStore {
        call: Call,
        action: core::Action,
    },
    AtPeer {
        call: Call,
        to: usize,
        question: claims::WitnessRequest,
    },
    Answer {
        call: Call,
        input: core::Input,
    },
    TimedOut {
        call: Call,
        input: core::Input,
    },
}

/// A call made by one incarnation of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Call {
    node: usize,
    incarnation: u64,
    number: u64,
}

pub struct Node {
    pub id: ids::MemberId,
    pub incarnation: u64,
    pub machine: Option<core::Machine>,
    pub paused: bool,
    /// Drift of its clock in parts per thousand; positive if it runs fast.
    pub clock_drift: i64,
    /// Events that arrived while the node was paused.
    deferred: Vec<Event>,
    /// Simulated time at which it died; `None` while it runs, or if the
    /// platform's instance list never drops it.
    died_ms: Option<u64>,
    started_ms: u64,
}

pub struct Simulation {
    pub now_ms: u64,
    pub nodes: Vec<Node>,
    pub store: Store,
    /// Directed paths that drop every message; `None` is the store.
    pub blocked_paths: HashSet<(Option<usize>, Option<usize>)>,
    /// Maximum delay of a message.
    pub max_delay_ms: u64,
    pub violation: Option<Violation>,
    pub rng: rngs::SmallRng,
    shards: Vec<ids::ShardId>,
    base: time::Instant,
    config: core::Config,
    queue: BTreeMap<(u64, u64), Event>,
    queued: u64,
    calls: u64,
    /// Pending calls, with the time before each call.
    pending: HashMap<Call, time::Instant>,
    /// Node, incarnation, shard and epoch of every drain.
    drained: HashSet<(usize, u64, ids::ShardId, ids::Epoch)>,
}

impl Simulation {
    pub fn new(seed: u64, config: core::Config) -> Self {
        Self {
            now_ms: 0,
            nodes: Vec::new(),
            store: Store::default(),
            blocked_paths: HashSet::new(),
            max_delay_ms: 10,
            violation: None,
            rng: rngs::SmallRng::seed_from_u64(seed),
            shards: shards(&instances::InstanceList::default()),
            base: time::Instant::now(),
            config,
            queue: BTreeMap::new(),
            queued: 0,
            calls: 0,
            pending: HashMap::new(),
            drained: HashSet::new(),
        }
    }

    /// Adds a node and starts it.
    pub fn add(&mut self) -> usize {
        let index = self.nodes.len();
        self.nodes.push(Node {
            id: format!("m{index}").parse().unwrap(),
            incarnation: 0,
            machine: None,
            paused: false,
            clock_drift: self.rng.random_range(-MAX_CLOCK_DRIFT..=MAX_CLOCK_DRIFT),
            deferred: Vec::new(),
            died_ms: Some(0),
            started_ms: 0,
        });
        self.start(index);
        index
    }

    /// Starts a node that is not running, as a new incarnation.
    pub fn start(&mut self, index: usize) {
        let incarnation = self.nodes[index].incarnation + 1;
        let now = self.local(index);
        let me = ids::MemberKey {
            id: self.nodes[index].id.clone(),
            incarnation: ids::Incarnation(incarnation),
        };
        let site = core::Site {
            peer_address: address(index),
            failure_domain: "d0".parse().unwrap(),
        };
        let seed = self.rng.random();
        let machine = core::Machine::new(self.config.clone(), me, site, seed, now);
        let started_ms = self.now_ms;
        let node = &mut self.nodes[index];
        node.incarnation = incarnation;
        node.machine = Some(machine);
        node.paused = false;
        node.deferred.clear();
        node.died_ms = None;
        node.started_ms = started_ms;
        self.push(0, Event::Tick(index, incarnation));
        self.push(0, Event::List(index, incarnation));
    }

    pub fn kill(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let node = &mut self.nodes[index];
        node.machine = None;
        node.deferred.clear();
        node.died_ms.get_or_insert(now_ms);
    }

    /// Kills a node that the platform's instance list keeps listing.
    pub fn kill_listed(&mut self, index: usize) {
        self.kill(index);
        self.nodes[index].died_ms = None;
    }

    pub fn is_running(&self, index: usize) -> bool {
        self.nodes[index].machine.is_some()
    }

    pub fn pause(&mut self, index: usize) {
        self.nodes[index].paused = true;
    }

    pub fn resume(&mut self, index: usize) {
        self.nodes[index].paused = false;
        self.check();
        let deferred = std::mem::take(&mut self.nodes[index].deferred);
        for event in deferred {
            self.process(event);
            self.check();
        }
    }

    /// Makes a node hand over its shards and leave.
    pub fn leave(&mut self, index: usize) {
        self.input(index, core::Input::Leave);
    }

    /// Blocks or unblocks a path in both directions.
    pub fn set_blocked(&mut self, one: Option<usize>, other: Option<usize>, blocked: bool) {
        for path in [(one, other), (other, one)] {
            match blocked {
                true => self.blocked_paths.insert(path),
                false => self.blocked_paths.remove(&path),
            };
        }
    }

    /// Blocks or unblocks the paths between two groups, and those between the
    /// second group and the store.
    pub fn set_partitioned(&mut self, rest: &[usize], group: &[usize], blocked: bool) {
        for &member in group {
            self.set_blocked(Some(member), None, blocked);
            for &other in rest {
                self.set_blocked(Some(member), Some(other), blocked);
            }
        }
    }

    /// Runs for the given time, or until there is a violation.
    pub fn run(&mut self, for_ms: u64) {
        let end_ms = self.now_ms + for_ms;
        while let Some(entry) = self.queue.first_entry() {
            let at_ms = entry.key().0;
            if at_ms > end_ms || self.violation.is_some() {
                break;
            }
            let event = entry.remove();
            self.now_ms = self.now_ms.max(at_ms);
            self.store.expire(self.now_ms);
            self.process(event);
            self.check();
        }
        self.now_ms = self.now_ms.max(end_ms);
    }

    /// Members that may use a shard now.
    pub fn users(&self, shard: &ids::ShardId) -> Vec<usize> {
        let uses = |index: &usize| {
            let node = &self.nodes[*index];
            let machine = node.machine.as_ref().filter(|_| !node.paused);
            machine.is_some_and(|machine| machine.may_use(shard, self.local(*index)))
        };
        (0..self.nodes.len()).filter(uses).collect()
    }

    fn record_drain(&mut self, index: usize, shard: &ids::ShardId) {
        let node = &self.nodes[index];
        let held = node.machine.iter().flat_map(core::Machine::all_held);
        let found = held.filter(|(id, _)| *id == shard);
        let drains: Vec<_> = found
            .map(|(id, held)| (index, node.incarnation, id.clone(), held.epoch))
            .collect();
        self.drained.extend(drains);
    }

    /// Finds a shard that is in use under an epoch that was already drained.
    pub fn used_after_drain(&self) -> Option<(usize, ids::ShardId)> {
        self.nodes.iter().enumerate().find_map(|(index, node)| {
            let mut held = node.machine.as_ref()?.held();
            let used = held.find(|(id, held)| {
                let drain = (index, node.incarnation, (*id).clone(), held.epoch);
                self.drained.contains(&drain)
            });
            used.map(|(id, _)| (index, id.clone()))
        })
    }

    /// Whether every shard is in use by some member.
    pub fn all_in_use(&self) -> bool {
        self.shards
            .iter()
            .all(|shard| !self.users(shard).is_empty())
    }

    /// Ends all faults except dead nodes and lost responses of the store.
    pub fn end_faults(&mut self) {
        self.blocked_paths.clear();
        self.store.down = false;
        self.max_delay_ms = 10;
        for index in 0..self.nodes.len() {
            if self.nodes[index].paused {
                self.resume(index);
            }
        }
    }

    fn check(&mut self) {
        if self.violation.is_some() {
            return;
        }
        for shard in self.shards.clone() {
            let users = self.users(&shard);
            if users.len() > 1 {
                let key = |index: usize| ids::MemberKey {
                    id: self.nodes[index].id.clone(),
                    incarnation: ids::Incarnation(self.nodes[index].incarnation),
                };
                self.violation = Some(Violation {
                    at_ms: self.now_ms,
                    shard,
                    users: users.into_iter().map(key).collect(),
                });
                return;
            }
        }
    }

    /// Reports to a node that its monotonic clock has stood still.
    pub fn clock_jumped(&mut self, index: usize) {
        self.input(index, core::Input::ClockJumped);
    }

    /// The time by a node's own clock.
    fn local(&self, index: usize) -> time::Instant {
        let skew = self.now_ms as i64 * self.nodes[index].clock_drift / 1_000;
        // An offset from the base, so that a slow clock never precedes it.
        let millis = 1_000_000 + self.now_ms as i64 + skew;
        self.base + time::Duration::from_millis(millis as u64)
    }

    fn push(&mut self, after_ms: u64, event: Event) {
        self.queued += 1;
        self.queue
            .insert((self.now_ms + after_ms, self.queued), event);
    }

    fn delay_ms(&mut self) -> u64 {
        self.rng.random_range(1..=self.max_delay_ms)
    }

    fn process(&mut self, event: Event) {
        let (node, incarnation) = match &event {
            Event::Tick(node, incarnation) | Event::List(node, incarnation) => {
                (*node, *incarnation)
            }
            Event::Answer { call, .. } | Event::TimedOut { call, .. } => {
                (call.node, call.incarnation)
            }
            Event::AtPeer { to, .. } => (*to, self.nodes[*to].incarnation),
            Event::AtStore { call, action } => return self.at_store(*call, action.clone()),
        };
        if self.nodes[node].incarnation != incarnation || self.nodes[node].machine.is_none() {
            return;
        }
        if self.nodes[node].paused {
            self.nodes[node].deferred.push(event);
            return;
        }
        match event {
            Event::Tick(node, incarnation) => {
                self.push(TICK_MS, Event::Tick(node, incarnation));
                self.input(node, core::Input::Tick);
            }
            Event::List(node, incarnation) => {
                self.push(LIST_MS, Event::List(node, incarnation));
                if !self.store.down && !self.is_blocked(Some(node), None) {
                    let list = sync::Arc::new(self.instance_list());
                    self.input(node, core::Input::Instances(list));
                    self.watch(node);
                }
            }
            Event::Answer { call, input } | Event::TimedOut { call, input } => {
                if self.pending.remove(&call).is_some() {
                    self.input(call.node, input);
                }
            }
            Event::AtPeer { call, to, question } => self.at_peer(call, to, question),
            Event::AtStore { .. } => {}
        }
    }

    /// Sends a node the document, as a watch would; it may arrive late.
    fn watch(&mut self, node: usize) {
        self.calls += 1;
        let call = Call {
            node,
            incarnation: self.nodes[node].incarnation,
            number: self.calls,
        };
        self.pending.insert(call, self.base);
        let document = (
            ids::Revision(self.store.revision),
            self.store.claims.clone(),
        );
        let input = core::Input::Read {
            result: Ok(document),
            asked: false,
        };
        let delay_ms = self.delay_ms();
        self.push(delay_ms, Event::Answer { call, input });
    }

    fn is_blocked(&self, one: Option<usize>, other: Option<usize>) -> bool {
        self.blocked_paths.contains(&(one, other)) || self.blocked_paths.contains(&(other, one))
    }

    fn input(&mut self, index: usize, input: core::Input) {
        let now = self.local(index);
        let Some(machine) = &mut self.nodes[index].machine else {
            return;
        };
        for action in machine.handle(now, input) {
            self.execute(index, action);
        }
    }

    fn execute(&mut self, index: usize, action: core::Action) {
        self.calls += 1;
        let call = Call {
            node: index,
            incarnation: self.nodes[index].incarnation,
            number: self.calls,
        };
        let sent_at = self.local(index);
        self.pending.insert(call, sent_at);
        if let core::Action::Drain { shard } = action {
            self.record_drain(index, &shard);
            let input = core::Input::Drained { shard, clean: true };
            let delay_ms = self.rng.random_range(0..300);
            self.push(delay_ms, Event::Answer { call, input });
            return;
        }
        if let core::Action::Ask { address, question } = action {
            let to = usize::from(address.port()) - 1;
            let input = core::Input::Answered {
                question: question.clone(),
                sent_at,
                answer: None,
            };
            self.push(TIMEOUT_MS, Event::TimedOut { call, input });
            if !self.blocked_paths.contains(&(Some(index), Some(to))) {
                let delay_ms = self.delay_ms();
                self.push(delay_ms, Event::AtPeer { call, to, question });
            }
            return;
        }
        if let Some(input) = store::timed_out_input(&action, sent_at) {
            self.push(TIMEOUT_MS, Event::TimedOut { call, input });
        }
        if !self.blocked_paths.contains(&(Some(index), None)) {
            let delay_ms = self.delay_ms();
            self.push(delay_ms, Event::AtStore { call, action });
        }
    }

    /// Executes a call at the store, even if its caller no longer runs.
    fn at_store(&mut self, call: Call, action: core::Action) {
        // The response to a call that has timed out is ignored.
        let sent_at = self.pending.get(&call).copied().unwrap_or(self.base);
        let Some(input) = self.store.execute(self.now_ms, &action, sent_at) else {
            return;
        };
        let lost = self.store.lose_response_one_in > 0
            && self.rng.random_ratio(1, self.store.lose_response_one_in);
        if !lost && !self.blocked_paths.contains(&(None, Some(call.node))) {
            let delay_ms = self.delay_ms();
            self.push(delay_ms, Event::Answer { call, input });
        }
    }

    fn at_peer(&mut self, call: Call, to: usize, question: claims::WitnessRequest) {
        let now = self.local(to);
        let from = ids::MemberKey {
            id: self.nodes[call.node].id.clone(),
            incarnation: ids::Incarnation(call.incarnation),
        };
        let Some(machine) = &mut self.nodes[to].machine else {
            return;
        };
        let answer = machine.answer(now, &from, &question);
        if self.blocked_paths.contains(&(Some(to), Some(call.node))) {
            return;
        }
        let input = core::Input::Answered {
            question,
            sent_at: self.pending.get(&call).copied().unwrap_or(self.base),
            answer: Some(answer),
        };
        let delay_ms = self.delay_ms();
        self.push(delay_ms, Event::Answer { call, input });
    }

    /// The platform's instance list: new nodes appear and dead ones disappear
    /// after the lag.
    fn instance_list(&self) -> instances::InstanceList {
        let shown = |node: &&Node| {
            let dead = node
                .died_ms
                .is_some_and(|died| died + LAG_MS <= self.now_ms);
            let new = node.started_ms > 0
                && node.started_ms + LAG_MS > self.now_ms
                && node.incarnation == 1;
            !dead && !new
        };
        let nodes = self.nodes.iter().filter(shown);
        instances::InstanceList {
            revision: ids::Revision(1),
            lag_ms: LAG_MS,
            instances: nodes.map(|node| entry_instance(&node.id)).collect(),
        }
    }
}

fn address(index: usize) -> net::SocketAddr {
    let port = u16::try_from(index + 1).unwrap();
    net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, port))
}

fn entry_instance(id: &ids::MemberId) -> instances::Instance {
    instances::Instance {
        id: id.as_str().parse().unwrap(),
        role: instances::Role::Entry,
        address: address(0),
        failure_domain: "d0".parse().unwrap(),
        rack: "r0".parse().unwrap(),
        service: None,
        capacity: sizes::Resources::default(),
        slots: 0,
        connections: 0,
        life: instances::Life::Live,
    }
}
