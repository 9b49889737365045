//! Former leaders that go on after the next election at a worker that later leaders
//! cannot reach, and the proofs of leadership that bound their orders.
//!
//! Each leader sends a call for a proof about twice a second. It is answered if no later
//! term had begun when it was executed, and then proves leadership for the time at which
//! it was sent. While the store is unavailable the other instances answer for a limited
//! time. A paused leader sends no call; one that reaches only workers gets no answer.

use figscale_core::fleet::MAX_TIME_WITHOUT_STORE;
use figscale_types::fleet::WorkerId;

use super::Event;
use super::Simulation;
use crate::helpers;

const PROOF_INTERVAL_MS: u64 = 450;
/// Length of a run that outlasts the wait of the next leader.
const MIN_LONG_RUN_MS: u64 = 3_000;
/// Time that a worker takes to stop what runs there once its lease is over.
pub(super) const STOP_MS: u64 = 400;

/// How a leader's process runs, and the proofs of its leadership.
#[derive(Clone, Copy)]
pub(super) struct Process {
    /// Rate of its clock.
    clock_percent: u64,
    /// Time until which it handles no messages and makes no decisions.
    paused_until_ms: u64,
    /// Time until which it reaches neither the store nor other instances.
    isolated_until_ms: u64,
    /// Latest time for which its leadership is proven.
    proven_ms: u64,
    /// Latest time for which the store has proven it.
    store_proven_ms: u64,
    next_proof_ms: u64,
}

impl Process {
    /// One with an exact clock, elected at this time.
    fn new(elected_ms: u64) -> Self {
        Self {
            clock_percent: 100,
            paused_until_ms: 0,
            isolated_until_ms: 0,
            proven_ms: elected_ms,
            store_proven_ms: elected_ms,
            next_proof_ms: 0,
        }
    }

    /// The reading of its clock.
    pub(super) fn clock_ms(&self, now_ms: u64) -> u64 {
        now_ms * self.clock_percent / 100
    }

    pub(super) fn is_paused(&self, now_ms: u64) -> bool {
        now_ms < self.paused_until_ms
    }

    pub(super) fn paused_until_ms(&self) -> u64 {
        self.paused_until_ms
    }
}

impl Simulation {
    pub(super) fn new_process(&mut self) -> Process {
        let mut process = Process::new(self.now_ms);
        if self.faults.unreachable_workers {
            process.clock_percent = 98 + self.random(5);
        }
        process
    }

    /// Rate of a worker's clock.
    pub(super) fn worker_clock_percent(&mut self) -> u64 {
        match self.faults.unreachable_workers {
            true => 98 + self.random(5),
            false => 98 + self.random(4),
        }
    }

    /// Decides, at an election, whether the former leader goes on beside the next one.
    pub(super) fn former_leader_goes_on(&mut self) -> bool {
        let now_ms = self.now_ms;
        let leads = self.leaders.last().is_some_and(|leader| {
            leader.alive && now_ms >= leader.begins_ms && !leader.links.is_empty()
        });
        self.faults.unreachable_workers && leads && !self.one_in(3)
    }

    /// Puts a worker that the former leader knows out of reach of the leader that was just
    /// elected and of later ones, for longer than their wait at times. The former leader
    /// still reaches it; it may be paused, and cut off from all others.
    pub(super) fn isolate_worker_with_former_leader(&mut self) {
        let now_ms = self.now_ms;
        let former = self.leaders.len() - 2;
        let known = self.leaders[former].links.keys();
        let known: Vec<WorkerId> = known.cloned().collect();
        let busy = |id: &&WorkerId| {
            let worker = &self.workers[*id];
            worker.up && !worker.running.is_empty()
        };
        let busy: Vec<WorkerId> = known.iter().filter(busy).cloned().collect();
        let candidates = if busy.is_empty() { &known } else { &busy };
        let chosen = self.random(candidates.len() as u64) as usize;
        let chosen = candidates[chosen].clone();
        let until_ms = now_ms + 3_000 + self.random(11_001);
        let pause_ms = match self.one_in(2) {
            true => 1_000 + self.random(8_001),
            false => 0,
        };
        let (reaches_others, reaches_store) = (self.one_in(2), self.one_in(3));
        let leader = &mut self.leaders[former];
        leader.process.paused_until_ms = leader.process.paused_until_ms.max(now_ms + pause_ms);
        if !reaches_store {
            leader.process.isolated_until_ms = until_ms;
        }
        if !reaches_others {
            let others = self.workers.keys().cloned();
            leader.cut_off.extend(others.map(|id| (id, until_ms)));
        }
        leader.cut_off.shift_remove(&chosen);
        self.unreachable.push((chosen, until_ms));
        if self.one_in(2) {
            // The next leader stays for longer than its wait.
            self.next_election_ms = now_ms + 6_000 + self.random(6_000);
        }
    }

    /// Cuts a leader that was just elected off from the workers out of its reach.
    pub(super) fn cut_off_unreachable(&mut self) {
        let now_ms = self.now_ms;
        self.unreachable.retain(|(_, until_ms)| now_ms < *until_ms);
        let unreachable = self.unreachable.iter().cloned();
        if let Some(leader) = self.leaders.last_mut() {
            leader.cut_off.extend(unreachable);
        }
    }

    /// Pauses a leader, at times, so that its recovery or its orders are late.
    pub(super) fn pause_leader(&mut self) {
        if !self.faults.unreachable_workers || !self.one_in(1_000) {
            return;
        }
        let until_ms = self.now_ms + 1_000 + self.random(8_001);
        if let Some(leader) = self.leaders.last_mut() {
            leader.process.paused_until_ms = until_ms;
        }
    }

    /// Delay until a message between a leader and the store arrives.
    pub(super) fn delay_over_isolation(&self, number: usize, delay_ms: u64) -> u64 {
        let until_ms = self.leaders[number].process.isolated_until_ms;
        delay_ms.max(until_ms.saturating_sub(self.now_ms))
    }

    /// Length of a run: at times longer than the wait of the next leader.
    pub(super) fn lengthen_run(&mut self, length_ms: u64) -> u64 {
        match self.faults.unreachable_workers && self.one_in(3) {
            true => MIN_LONG_RUN_MS + self.random(9_000),
            false => length_ms,
        }
    }

    /// Passes the latest proof of leadership to a leader's scheduler.
    pub(super) fn apply_proof(&mut self, number: usize) {
        if !self.faults.unreachable_workers {
            return;
        }
        let leader = &mut self.leaders[number];
        let proven_ms = leader.process.clock_ms(leader.process.proven_ms);
        let proven_at = self.begun + helpers::ms(proven_ms);
        leader.scheduler.set_proven(proven_at);
    }

    /// Sends a call for a proof of leadership, if one is due.
    pub(super) fn send_proof_call(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let due = now_ms >= self.leaders[number].process.next_proof_ms;
        if !self.faults.unreachable_workers || !due {
            return;
        }
        let pause_ms = PROOF_INTERVAL_MS + self.random(100);
        let process = &mut self.leaders[number].process;
        process.next_proof_ms = now_ms + pause_ms;
        if now_ms >= process.isolated_until_ms {
            let delay = self.delay();
            self.send(delay, Event::ProofCallArrives(number, now_ms));
        }
    }

    /// Answers a call for a proof, sent at this time, if no later term has begun.
    pub(super) fn prove(&mut self, number: usize, sent_ms: u64) {
        let leader = &self.leaders[number];
        let isolated = self.now_ms < leader.process.isolated_until_ms;
        if leader.epoch != self.epoch || isolated {
            return;
        }
        let by_store = self.now_ms >= self.outage_until_ms;
        let delay = self.delay_to(number);
        self.send(delay, Event::ProofAnswered(number, sent_ms, by_store));
    }

    /// Records a proof for this time.
    pub(super) fn record_proof(&mut self, number: usize, sent_ms: u64, by_store: bool) {
        let process = &mut self.leaders[number].process;
        let proven_ms = match by_store {
            true => {
                process.store_proven_ms = process.store_proven_ms.max(sent_ms);
                sent_ms
            }
            false => {
                let longest_ms = MAX_TIME_WITHOUT_STORE.as_millis() as u64;
                sent_ms.min(process.store_proven_ms + longest_ms)
            }
        };
        process.proven_ms = process.proven_ms.max(proven_ms);
    }
}
