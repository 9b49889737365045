//! A gang over several holders: all or none, no deadlock, nothing left idle.

use std::time;

use figscale_core::job::placement;
use figscale_core::job::placement::gang;
use figscale_types::catalogue;
use figscale_types::ids;
use indexmap::IndexMap;
use proptest::prelude::*;
use rand::SeedableRng as _;
use rand::rngs::StdRng;

use crate::kit;

const CPU: u64 = 32_000;

fn holder(number: usize) -> ids::MemberId {
    format!("entry-{number}").parse().expect("legal")
}

/// A message under way.
#[derive(Clone, Debug)]
enum Message {
    ToHolder(usize, gang::Output),
    ToHome(usize, gang::Input),
}

/// Holders, homes of gangs, and messages between them in any order.
struct Net {
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

impl Net {
    /// Holders with these numbers of workers, two tasks to a worker.
    fn new(workers: &[u32], gangs: &[u32], seed: u64) -> Self {
        let holders = workers.iter().enumerate();
        let now = time::Instant::now();
        let mut net = Self {
            config: gang::GangConfig::default(),
            now,
            holders: holders
                .map(|(n, w)| (holder(n), kit::cluster(*w)))
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
            let (gang, outputs) = net.begin(home);
            net.homes.push(gang);
            net.send(home, outputs);
        }
        net
    }

    fn begin(&mut self, home: usize) -> (gang::Gang, Vec<gang::Output>) {
        self.tries += 1;
        let tasks = (0..self.sizes[home]).collect();
        let holders = self.holders.keys().rev().cloned().collect();
        let number = placement::TryNumber(self.tries.into());
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

    fn ask(home: usize, index: u32) -> placement::Ask {
        let size = kit::size(CPU, 1, 0);
        let job = format!("gang-{home}");
        let mut ask = kit::ask(&job, index, size, catalogue::Urgency::Deadline);
        ask.class = catalogue::JobClass::Gang;
        ask
    }

    /// Delivers or loses a message drawn by chance.
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
        let task = |index: &u32| kit::task(&format!("gang-{home}"), *index);
        let input = match output {
            gang::Output::Hold(request) => {
                let asks: Vec<_> = request.tasks.iter().map(|t| Self::ask(home, *t)).collect();
                let cluster = &mut self.holders[&request.to];
                let held = cluster.hold_gang(&asks, request.number, now, now + config.hold);
                gang::Input::Held(request.to, held)
            }
            gang::Output::Commit(request) => {
                let tasks: Vec<_> = request.tasks.iter().map(task).collect();
                let cluster = &mut self.holders[&request.to];
                match cluster.commit_gang(&tasks, request.number, now + config.start) {
                    true => gang::Input::Committed(request.to),
                    false => gang::Input::Refused(request.to),
                }
            }
            gang::Output::Release(request) => {
                let tasks: Vec<_> = request.tasks.iter().map(task).collect();
                self.holders[&request.to].release_gang(&tasks, request.number);
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

    fn held(&self) -> usize {
        self.holders.values().map(|c| c.holdings().len()).sum()
    }
}

/// Room for one gang of four, wanted by two: both go through, one by one.
#[test]
fn two_gangs_that_want_the_same_room_do_not_block_each_other() {
    for seed in 0..20 {
        let mut net = Net::new(&[1, 1], &[4, 4], seed);
        let mut finished = 0;
        for _ in 0..2_000 {
            match net.messages.is_empty() {
                true => net.advance(time::Duration::from_millis(50)),
                false => net.deliver(false),
            }
            for home in 0..2 {
                if let Some(placed) = net.done[home].take() {
                    assert_eq!(placed.len(), 4);
                    finished += 1;
                    for placed in placed {
                        for cluster in net.holders.values_mut() {
                            cluster.release(&placed.task);
                        }
                    }
                }
            }
            if finished == 2 {
                break;
            }
        }
        assert_eq!(finished, 2, "seed {seed}, {} tries", net.tries);
    }
}

#[test]
fn an_earlier_try_commits_nothing_of_a_later_one() {
    let now = time::Instant::now();
    let later = now + time::Duration::from_secs(2);
    let mut cluster = kit::cluster(1);
    let asks = [Net::ask(0, 0), Net::ask(0, 1)];
    let tasks = [asks[0].task.clone(), asks[1].task.clone()];
    let (first, second) = (placement::TryNumber(1), placement::TryNumber(2));
    assert_eq!(cluster.hold_gang(&asks, first, now, later).len(), 2);
    assert_eq!(cluster.hold_gang(&asks, second, now, later).len(), 2);
    assert_eq!(cluster.hold_gang(&asks, first, now, later).len(), 0);
    assert!(!cluster.commit_gang(&tasks, first, later));
    assert!(cluster.commit_gang(&tasks, second, later));
}

#[test]
fn a_gang_without_room_leaves_nothing_held() {
    let mut net = Net::new(&[1, 1], &[5], 1);
    while !net.messages.is_empty() {
        net.deliver(false);
    }
    assert_eq!(net.held(), 0);
    assert!(net.retry_at[0].is_some());
}

/// A release of an earlier try arrives after the commit of a later one.
#[test]
fn a_late_release_takes_nothing_from_a_later_try() {
    let mut net = Net::new(&[1, 1], &[4], 1);
    let other = kit::ask(
        "other",
        0,
        kit::size(CPU, 1, 0),
        catalogue::Urgency::Deadline,
    );
    let now = net.now;
    net.holders[1].place(&other, now, None).expect("room");
    let is_release = |m: &Message| matches!(m, Message::ToHolder(_, gang::Output::Release(..)));
    let mut late = Vec::new();
    while !net.messages.is_empty() {
        net.deliver(false);
        let (held_up, rest) = net.messages.drain(..).partition(is_release);
        net.messages = rest;
        late.extend::<Vec<_>>(held_up);
    }
    assert_eq!(late.len(), 2);
    net.holders[1].release(&other.task);
    while net.done[0].is_none() {
        match net.messages.is_empty() {
            true => net.advance(time::Duration::from_millis(100)),
            false => net.deliver(false),
        }
    }
    net.messages = late;
    while !net.messages.is_empty() {
        net.deliver(false);
    }
    assert_eq!(net.held(), 4);
}

proptest! {
    #![proptest_config(kit::proptest_config(2_000))]

    /// Whatever is lost, late or reordered: what is done is whole and no room
    /// is given twice; what is not done is free again after the expiry.
    #[test]
    fn all_or_none_under_losses(
        seed in any::<u64>(),
        gangs in prop::collection::vec(1_u32..7, 1..4),
        steps in prop::collection::vec((0_u8..10, 0_u64..400), 1..120),
    ) {
        let mut net = Net::new(&[1, 2, 1], &gangs, seed);
        for (kind, ms) in steps {
            match (kind, net.messages.is_empty()) {
                (0, _) | (_, true) => net.advance(time::Duration::from_millis(ms)),
                (1, false) => net.deliver(true),
                (_, false) => net.deliver(false),
            }
            for cluster in net.holders.values() {
                for worker in cluster.workers() {
                    prop_assert!(worker.capacity().holds(&worker.counted()));
                }
            }
            for (home, done) in net.done.iter().enumerate() {
                let Some(placed) = done else { continue };
                prop_assert_eq!(placed.len(), gangs[home] as usize);
                let tasks: std::collections::HashSet<_> = placed.iter().map(|p| &p.task).collect();
                prop_assert_eq!(tasks.len(), placed.len());
                // Committed room lasts until its expiry, whatever comes late.
                if net.now < net.done_at[home] + net.config.start - net.config.patience {
                    let has_room = |task| net.holders.values().any(|c| c.holding(task).is_some());
                    prop_assert!(tasks.into_iter().all(has_room), "room lost after the commit");
                }
            }
        }
        // Everything stops: no message arrives any more, no gang tries again.
        let idle = net.config.start + net.config.hold;
        net.now += idle;
        let now = net.now;
        for cluster in net.holders.values_mut() {
            cluster.expire(now);
        }
        prop_assert_eq!(net.held(), 0, "nothing unstarted outlives its expiry");
    }
}
