//! Reserves resources for a gang on several holders: on all of them or on none.
//!
//! The home of the gang asks the holders of shards one after the other, in the order
//! of their ids, to reserve resources for as many of the tasks as they can. When
//! every task has a reservation, the home asks all of them to commit. No task is
//! started before all have committed. A reservation expires by the holder's own
//! clock, so if the home fails, no resources stay idle for longer than that.
//!
//! A home never waits for resources: if too few are left at the last holder, it
//! releases everything at once and tries again later. Two gangs that compete for the
//! same resources both ask the first holder that they have in common before any later
//! one, so neither holds what the other needs while it waits for the rest. There is no
//! deadlock. The delay before the next round is random, so that the two do not keep
//! colliding.
//!
//! Messages may be delayed and reordered. Every round has a number that increases,
//! also when another home takes over, and a holder ignores messages of an earlier
//! round than the one that it holds a reservation for.

use std::time;

use figscale_types::ids;
use rand::RngExt as _;
use serde::Deserialize;
use serde::Serialize;

use super::cluster;
use super::pass;
use super::work;

/// Time limits of the reservations of a gang.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GangConfig {
    /// How long a reservation that is not committed lasts. Default 2 s.
    pub reservation_timeout: time::Duration,
    /// How long a committed reservation lasts unless the task starts. Default
    /// 10 s.
    pub start_timeout: time::Duration,
    /// How long to wait for all responses of a round. It is shorter than
    /// `reservation_timeout`, so that no reservation expires before its commit
    /// arrives. Default 1 s.
    pub response_timeout: time::Duration,
    /// Shortest delay before the next round; the longest is twice that. Default
    /// 500 ms.
    pub min_retry_delay: time::Duration,
}

impl Default for GangConfig {
    fn default() -> Self {
        Self {
            reservation_timeout: time::Duration::from_secs(2),
            start_timeout: time::Duration::from_secs(10),
            response_timeout: time::Duration::from_secs(1),
            min_retry_delay: time::Duration::from_millis(500),
        }
    }
}

/// A request from a gang's home to a holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The holder.
    pub to: ids::MemberId,
    /// The round that it belongs to.
    pub number: work::RoundNumber,
    /// Indices of the tasks within the job.
    pub tasks: Vec<u32>,
}

/// Events for a gang's home.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A holder reserved resources for these tasks, possibly fewer than requested.
    Reserved(ids::MemberId, Vec<pass::Placement>),
    /// A holder committed all its reservations.
    Committed(ids::MemberId),
    /// A holder refused the request or cannot be reached.
    Refused(ids::MemberId),
    /// Time has passed; checks for the end of the round.
    Tick,
}

/// Actions for a gang's home to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Ask a holder to reserve resources for as many of these tasks as it can.
    Reserve(Request),
    /// Ask a holder to commit the reservations of these tasks.
    Commit(Request),
    /// Tell a holder to release any reservations that it has for these tasks.
    Release(Request),
    /// All reservations are committed: start the tasks.
    Done(Vec<pass::Placement>),
    /// The round failed and is released: start the next one at this time.
    Failed(time::Instant),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Reserving,
    Committing,
    Ended,
}

/// A holder in a round.
#[derive(Clone, Debug)]
struct Participant {
    holder: ids::MemberId,
    /// Tasks that it was asked to reserve resources for; empty before that.
    requested: Vec<u32>,
    reserved: Vec<pass::Placement>,
    committed: bool,
}

/// One round of reservations for a gang.
#[derive(Clone, Debug)]
pub struct Gang {
    config: GangConfig,
    number: work::RoundNumber,
    state: State,
    participants: Vec<Participant>,
    /// Index of the participant that is asked to reserve.
    current_index: usize,
    /// Tasks without a reservation.
    unplaced: Vec<u32>,
    ends_at: time::Instant,
    jitter: f64,
}

impl Gang {
    /// Starts a round for `tasks` with these holders, given in any order.
    pub fn start(
        config: GangConfig,
        number: work::RoundNumber,
        tasks: Vec<u32>,
        mut holders: Vec<ids::MemberId>,
        now: time::Instant,
        rng: &mut impl rand::Rng,
    ) -> (Self, Vec<Output>) {
        holders.sort();
        holders.dedup();
        let participant = |holder| Participant {
            holder,
            requested: Vec::new(),
            reserved: Vec::new(),
            committed: false,
        };
        let mut gang = Self {
            config,
            number,
            state: State::Reserving,
            participants: holders.into_iter().map(participant).collect(),
            current_index: 0,
            unplaced: tasks,
            ends_at: now + config.response_timeout,
            jitter: rng.random(),
        };
        let outputs = gang.reserve_next(now);
        (gang, outputs)
    }

    /// Whether the round has ended.
    pub fn is_ended(&self) -> bool {
        self.state == State::Ended
    }

    /// Latest time at which an [`Input::Tick`] is due.
    pub fn wakes_at(&self) -> Option<time::Instant> {
        (!self.is_ended()).then_some(self.ends_at)
    }

    /// Processes an event.
    pub fn step(&mut self, input: Input, now: time::Instant) -> Vec<Output> {
        if !self.is_ended() && now >= self.ends_at {
            let mut outputs = self.fail(now);
            outputs.extend(self.step(input, now));
            return outputs;
        }
        match (self.state, input) {
            (State::Reserving, Input::Reserved(from, reserved)) => {
                self.on_reserved(&from, reserved, now)
            }
            (State::Reserving | State::Committing, Input::Refused(from)) => {
                self.on_refused(&from, now)
            }
            (State::Committing, Input::Committed(from)) => self.on_committed(&from),
            // The response came too late. The reservation is released, or the
            // resources would stay idle until it expires.
            (State::Ended | State::Committing, Input::Reserved(from, reserved)) => {
                self.on_late(from, &reserved)
            }
            _ => Vec::new(),
        }
    }

    fn holder_request(&self, to: &ids::MemberId, tasks: Vec<u32>) -> Request {
        Request {
            to: to.clone(),
            number: self.number,
            tasks,
        }
    }

    fn reserve_next(&mut self, now: time::Instant) -> Vec<Output> {
        if self.unplaced.is_empty() {
            return self.commit_all();
        }
        let Some(participant) = self.participants.get_mut(self.current_index) else {
            return self.fail(now);
        };
        participant.requested = self.unplaced.clone();
        let holder_request = Request {
            to: participant.holder.clone(),
            number: self.number,
            tasks: self.unplaced.clone(),
        };
        vec![Output::Reserve(holder_request)]
    }

    fn on_reserved(
        &mut self,
        from: &ids::MemberId,
        reserved: Vec<pass::Placement>,
        now: time::Instant,
    ) -> Vec<Output> {
        let current = self.participants.get_mut(self.current_index);
        let Some(participant) = current.filter(|participant| participant.holder == *from) else {
            return self.on_late(from.clone(), &reserved);
        };
        let is_reserved = |index: &u32| reserved.iter().any(|p| p.task.index == *index);
        self.unplaced.retain(|index| !is_reserved(index));
        participant.reserved = reserved;
        self.current_index += 1;
        self.reserve_next(now)
    }

    /// A refused reservation moves on to the next holder; a refused commit ends
    /// the round.
    fn on_refused(&mut self, from: &ids::MemberId, now: time::Instant) -> Vec<Output> {
        if self.state == State::Committing {
            return self.fail(now);
        }
        self.on_reserved(from, Vec::new(), now)
    }

    fn commit_all(&mut self) -> Vec<Output> {
        self.state = State::Committing;
        let participants = self
            .participants
            .iter()
            .filter(|participant| !participant.reserved.is_empty());
        participants
            .map(|participant| {
                let tasks = participant.reserved.iter().map(|p| p.task.index).collect();
                Output::Commit(self.holder_request(&participant.holder, tasks))
            })
            .collect()
    }

    fn on_committed(&mut self, from: &ids::MemberId) -> Vec<Output> {
        for participant in &mut self.participants {
            participant.committed |= participant.holder == *from;
        }
        let mut needed = self
            .participants
            .iter()
            .filter(|participant| !participant.reserved.is_empty());
        if !needed.all(|participant| participant.committed) {
            return Vec::new();
        }
        self.state = State::Ended;
        let reserved = self
            .participants
            .iter()
            .flat_map(|participant| participant.reserved.clone());
        vec![Output::Done(reserved.collect())]
    }

    /// Ends the round and releases all that was requested, including requests
    /// without a response.
    fn fail(&mut self, now: time::Instant) -> Vec<Output> {
        let requested = self
            .participants
            .iter()
            .filter(|participant| !participant.requested.is_empty());
        let release = |participant: &Participant| {
            Output::Release(self.holder_request(&participant.holder, participant.requested.clone()))
        };
        let mut outputs: Vec<_> = requested.map(release).collect();
        let wait = self.config.min_retry_delay.mul_f64(1.0 + self.jitter);
        outputs.push(Output::Failed(now + wait));
        self.state = State::Ended;
        outputs
    }

    fn on_late(&self, from: ids::MemberId, reserved: &[pass::Placement]) -> Vec<Output> {
        let known = |placement: &&pass::Placement| {
            let mut participants = self.participants.iter();
            participants.any(|participant| {
                participant.holder == from && participant.reserved.contains(placement)
            })
        };
        let late = reserved.iter().filter(|placement| !known(placement));
        let tasks: Vec<_> = late.map(|p| p.task.index).collect();
        if tasks.is_empty() {
            return Vec::new();
        }
        vec![Output::Release(self.holder_request(&from, tasks))]
    }
}

impl cluster::Cluster {
    /// Reserves resources until `expires` for as many of a gang's tasks as fit.
    ///
    /// Reservations of an earlier round become part of this one; those of a later
    /// round stay as they are.
    pub fn reserve_gang(
        &mut self,
        requests: &[work::PlacementRequest],
        number: work::RoundNumber,
        now: time::Instant,
        expires: time::Instant,
    ) -> Vec<pass::Placement> {
        let mut reserved = Vec::new();
        for request in requests {
            let _ = self.try_place(request, now, Some(expires));
            let Some(allocation) = self.allocations.get_mut(&request.task) else {
                continue;
            };
            let earlier = allocation.gang_round.is_none_or(|known| known <= number);
            if allocation.expires.is_none() || !earlier {
                continue;
            }
            allocation.gang_round = Some(number);
            allocation.expires = Some(expires);
            reserved.push(pass::Placement {
                task: request.task.clone(),
                attempt: request.attempt,
                worker: allocation.worker.clone(),
            });
        }
        reserved
    }

    /// Commits the reservations of a gang's tasks, all or none: they last until
    /// `expires`.
    pub fn commit_gang(
        &mut self,
        tasks: &[ids::TaskId],
        number: work::RoundNumber,
        expires: time::Instant,
    ) -> bool {
        let of_try = |task: &ids::TaskId| {
            let allocation = self.allocations.get(task);
            allocation.is_some_and(|allocation| allocation.gang_round == Some(number))
        };
        let all = tasks.iter().all(of_try);
        if all {
            for task in tasks {
                self.extend(task, expires);
            }
        }
        all
    }

    /// Releases the reservations of a gang's tasks except those of a later round.
    pub fn release_gang(&mut self, tasks: &[ids::TaskId], number: work::RoundNumber) {
        for task in tasks {
            let allocation = self.allocations.get(task);
            if allocation.is_some_and(|h| h.gang_round.is_some_and(|known| known <= number)) {
                self.release(task);
            }
        }
    }
}
