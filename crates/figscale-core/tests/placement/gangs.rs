//! Gangs over several holders: reservations on all or none, no deadlock, and nothing
//! stays reserved.

use std::time;

use figscale_core::job::placement;
use figscale_core::job::placement::gang;
use figscale_types::catalogue;
use figscale_types::ids;
use indexmap::IndexMap;
use proptest::prelude::*;
use rand::SeedableRng as _;
use rand::rngs::StdRng;

use crate::helpers;

const CPU: u64 = 32_000;

fn holder(number: usize) -> ids::MemberId {
    format!("entry-{number}").parse().expect("legal")
}

/// A message in flight.
#[derive(Clone, Debug)]
enum Message {
    ToHolder(usize, gang::Output),
    ToHome(usize, gang::Input),
}

/// Simulated holders, homes of gangs, and the messages in flight between them,
/// which are delivered in random order.
struct Network {
    config: gang::GangConfig,
    now: time::Instant,
    holders: IndexMap<ids::MemberId, placement::Cluster>,
    homes: Vec<gang::Gang>,
    sizes: Vec<u32>,
    done: Vec<Option<Vec<placement::Placement>>>,
    done_at: Vec<time::Instant>,
    retry_at: Vec<Option<time::Instant>>,
    messages: Vec<Message>,
    tries: u32,
    rng: StdRng,
}

impl Network {
    /// Holders with these numbers of workers, each with resources for two tasks.
    fn new(workers: &[u32], gangs: &[u32], seed: u64) -> Self {
        let holders = workers.iter().enumerate();
        let now = time::Instant::now();
        let mut network = Self {
            config: gang::GangConfig::default(),
            now,
            holders: holders
                .map(|(n, w)| (holder(n), helpers::cluster(*w)))
                .collect(),
            homes: Vec::new(),
            sizes: gangs.to_vec(),
            done: vec![None; gangs.len()],
            done_at: vec![now; gangs.len()],
            retry_at: vec![None; gangs.len()],
            messages: Vec::new(),
            tries: 0,
            rng: StdRng::seed_from_u64(seed),
        };
        for home in 0..gangs.len() {
            let (gang, outputs) = network.begin(home);
            network.homes.push(gang);
            network.send(home, outputs);
        }
        network
    }

    fn begin(&mut self, home: usize) -> (gang::Gang, Vec<gang::Output>) {
        self.tries += 1;
        let tasks = (0..self.sizes[home]).collect();
        let holders = self.holders.keys().rev().cloned().collect();
        let number = placement::RoundNumber(self.tries.into());
        gang::Gang::start(self.config, number, tasks, holders, self.now, &mut self.rng)
    }

    fn send(&mut self, home: usize, outputs: Vec<gang::Output>) {
        for output in outputs {
            match output {
                gang::Output::Done(placed) => {
                    self.done[home] = Some(placed);
                    self.done_at[home] = self.now;
                }
                gang::Output::Failed(at) => self.retry_at[home] = Some(at),
                other => self.messages.push(Message::ToHolder(home, other)),
            }
        }
    }

    fn request(home: usize, index: u32) -> placement::PlacementRequest {
        let size = helpers::size(CPU, 1, 0);
        let job = format!("gang-{home}");
        let mut request = helpers::request(&job, index, size, catalogue::Urgency::Deadline);
        request.class = catalogue::JobClass::Gang;
        request
    }

    /// Delivers or loses a message chosen at random.
    fn deliver(&mut self, lost: bool) {
        let at = self.rng.random_range(0..self.messages.len());
        let message = self.messages.swap_remove(at);
        if lost {
            return;
        }
        match message {
            Message::ToHolder(home, output) => self.at_holder(home, output),
            Message::ToHome(home, input) => {
                let outputs = self.homes[home].step(input, self.now);
                self.send(home, outputs);
            }
        }
    }

    fn at_holder(&mut self, home: usize, output: gang::Output) {
        let (now, config) = (self.now, self.config);
        let task = |index: &u32| helpers::task(&format!("gang-{home}"), *index);
        let input = match output {
            gang::Output::Reserve(holder_request) => {
                let requests: Vec<_> = holder_request
                    .tasks
                    .iter()
                    .map(|t| Self::request(home, *t))
                    .collect();
                let cluster = &mut self.holders[&holder_request.to];
                let reserved = cluster.reserve_gang(
                    &requests,
                    holder_request.number,
                    now,
                    now + config.reservation_timeout,
                );
                gang::Input::Reserved(holder_request.to, reserved)
            }
            gang::Output::Commit(holder_request) => {
                let tasks: Vec<_> = holder_request.tasks.iter().map(task).collect();
                let cluster = &mut self.holders[&holder_request.to];
                match cluster.commit_gang(&tasks, holder_request.number, now + config.start_timeout)
                {
                    true => gang::Input::Committed(holder_request.to),
                    false => gang::Input::Refused(holder_request.to),
                }
            }
            gang::Output::Release(holder_request) => {
                let tasks: Vec<_> = holder_request.tasks.iter().map(task).collect();
                self.holders[&holder_request.to].release_gang(&tasks, holder_request.number);
                return;
            }
            _ => return,
        };
        self.messages.push(Message::ToHome(home, input));
    }

    fn advance(&mut self, by: time::Duration) {
        self.now += by;
        for cluster in self.holders.values_mut() {
            cluster.expire(self.now);
        }
        for home in 0..self.homes.len() {
            let outputs = self.homes[home].step(gang::Input::Tick, self.now);
            self.send(home, outputs);
            if self.retry_at[home].is_some_and(|at| at <= self.now) {
                self.retry_at[home] = None;
                let (gang, outputs) = self.begin(home);
                self.homes[home] = gang;
                self.send(home, outputs);
            }
        }
    }

    fn reserved(&self) -> usize {
        self.holders.values().map(|c| c.allocations().len()).sum()
    }
}

/// Two gangs of four compete for resources that suffice for one: both must run, one
/// after the other.
#[test]
fn two_gangs_that_compete_for_resources_do_not_deadlock() {
    for seed in 0..20 {
        let mut network = Network::new(&[1, 1], &[4, 4], seed);
        let mut finished = 0;
        for _ in 0..2_000 {
            match network.messages.is_empty() {
                true => network.advance(time::Duration::from_millis(50)),
                false => network.deliver(false),
            }
            for home in 0..2 {
                if let Some(placed) = network.done[home].take() {
                    assert_eq!(placed.len(), 4);
                    finished += 1;
                    for placed in placed {
                        for cluster in network.holders.values_mut() {
                            cluster.release(&placed.task);
                        }
                    }
                }
            }
            if finished == 2 {
                break;
            }
        }
        assert_eq!(finished, 2, "seed {seed}, {} tries", network.tries);
    }
}

#[test]
fn an_earlier_round_commits_nothing_of_a_later_one() {
    let now = time::Instant::now();
    let later = now + time::Duration::from_secs(2);
    let mut cluster = helpers::cluster(1);
    let requests = [Network::request(0, 0), Network::request(0, 1)];
    let tasks = [requests[0].task.clone(), requests[1].task.clone()];
    let (first, second) = (placement::RoundNumber(1), placement::RoundNumber(2));
    assert_eq!(cluster.reserve_gang(&requests, first, now, later).len(), 2);
    assert_eq!(cluster.reserve_gang(&requests, second, now, later).len(), 2);
    assert_eq!(cluster.reserve_gang(&requests, first, now, later).len(), 0);
    assert!(!cluster.commit_gang(&tasks, first, later));
    assert!(cluster.commit_gang(&tasks, second, later));
}

#[test]
fn a_gang_that_does_not_fit_leaves_nothing_reserved() {
    let mut network = Network::new(&[1, 1], &[5], 1);
    while !network.messages.is_empty() {
        network.deliver(false);
    }
    assert_eq!(network.reserved(), 0);
    assert!(network.retry_at[0].is_some());
}

/// A release of an earlier round arrives after the commit of a later one.
#[test]
fn a_late_release_does_not_affect_a_later_round() {
    let mut network = Network::new(&[1, 1], &[4], 1);
    let other = helpers::request(
        "other",
        0,
        helpers::size(CPU, 1, 0),
        catalogue::Urgency::Deadline,
    );
    let now = network.now;
    network.holders[1]
        .place(&other, now, None)
        .expect("resources are free");
    let is_release = |m: &Message| matches!(m, Message::ToHolder(_, gang::Output::Release(..)));
    let mut late = Vec::new();
    while !network.messages.is_empty() {
        network.deliver(false);
        let (held_up, rest) = network.messages.drain(..).partition(is_release);
        network.messages = rest;
        late.extend::<Vec<_>>(held_up);
    }
    assert_eq!(late.len(), 2);
    network.holders[1].release(&other.task);
    while network.done[0].is_none() {
        match network.messages.is_empty() {
            true => network.advance(time::Duration::from_millis(100)),
            false => network.deliver(false),
        }
    }
    network.messages = late;
    while !network.messages.is_empty() {
        network.deliver(false);
    }
    assert_eq!(network.reserved(), 4);
}

proptest! {
    #![proptest_config(helpers::proptest_config(2_000))]

    /// With lost, late and reordered messages: a gang that is done has
    /// reservations for all its tasks, no worker exceeds its capacity, and
    /// reservations of all other gangs end with their expiry.
    #[test]
    fn all_or_none_under_losses(
        seed in any::<u64>(),
        gangs in prop::collection::vec(1_u32..7, 1..4),
        steps in prop::collection::vec((0_u8..10, 0_u64..400), 1..120),
    ) {
        let mut network = Network::new(&[1, 2, 1], &gangs, seed);
        for (kind, ms) in steps {
            match (kind, network.messages.is_empty()) {
                (0, _) | (_, true) => network.advance(time::Duration::from_millis(ms)),
                (1, false) => network.deliver(true),
                (_, false) => network.deliver(false),
            }
            for cluster in network.holders.values() {
                for worker in cluster.workers() {
                    prop_assert!(worker.capacity().holds(&worker.counted()));
                }
            }
            for (home, done) in network.done.iter().enumerate() {
                let Some(placed) = done else { continue };
                prop_assert_eq!(placed.len(), gangs[home] as usize);
                let tasks: std::collections::HashSet<_> = placed.iter().map(|p| &p.task).collect();
                prop_assert_eq!(tasks.len(), placed.len());
                // A committed reservation lasts until its expiry, whatever arrives
                // late.
                if network.now < network.done_at[home] + network.config.start_timeout - network.config.response_timeout {
                    let is_reserved = |task| network.holders.values().any(|c| c.allocation(task).is_some());
                    prop_assert!(tasks.into_iter().all(is_reserved), "reservation lost after the commit");
                }
            }
        }
        // All homes stop: no further message arrives and no round starts.
        let idle = network.config.start_timeout + network.config.reservation_timeout;
        network.now += idle;
        let now = network.now;
        for cluster in network.holders.values_mut() {
            cluster.expire(now);
        }
        prop_assert_eq!(network.reserved(), 0, "reservations of tasks that never started must expire");
    }
}
