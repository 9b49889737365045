//! A gang over several holders: room with all of them, or with none.
//!
//! The home of the gang asks the holders one after the other, in the order of
//! their ids, to keep room for as many of the tasks as they can. Only when
//! every task has room are all asked to commit; nothing starts before all have
//! done so. Room that is kept expires by the holder's own clock, so a home
//! that dies leaves nothing idle for longer than that.
//!
//! A home never waits for room: if the last holder has too little, everything
//! is released at once and tried again later. Two gangs that want the same
//! room meet at the first holder of both, so neither can hold what the other
//! needs while it waits for the rest: there is no deadlock. Retries are spread
//! by chance, so that the two do not keep meeting.
//!
//! Messages may be late and overtake each other, so every try has a number
//! that grows, also over homes, and a holder ignores what belongs to an
//! earlier try than the one that it keeps room for.

use std::time;

use figscale_types::ids;
use rand::RngExt as _;
use serde::Deserialize;
use serde::Serialize;

use super::cluster;
use super::pass;
use super::work;

/// Timing of a gang over several holders.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GangConfig {
    /// How long a holder keeps room that is not committed. Default 2 s.
    pub hold: time::Duration,
    /// How long a holder keeps committed room until the task starts.
    /// Default 10 s.
    pub start: time::Duration,
    /// Longest wait for all answers of a try; shorter than `hold`, so that no
    /// room expires before its commit arrives. Default 1 s.
    pub patience: time::Duration,
    /// Wait before another try, at least; at most twice that. Default 500 ms.
    pub retry: time::Duration,
}

impl Default for GangConfig {
    fn default() -> Self {
        Self {
            hold: time::Duration::from_secs(2),
            start: time::Duration::from_secs(10),
            patience: time::Duration::from_secs(1),
            retry: time::Duration::from_millis(500),
        }
    }
}

/// A request of a gang's home to a holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The holder.
    pub to: ids::MemberId,
    /// The try that it belongs to.
    pub number: work::TryNumber,
    /// Tasks by their position within the job.
    pub tasks: Vec<u32>,
}

/// What a gang's home learns.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A holder keeps room for these tasks, perhaps for fewer than asked.
    Held(ids::MemberId, Vec<pass::Placement>),
    /// A holder committed all that it kept.
    Committed(ids::MemberId),
    /// A holder cannot do what it was asked, or cannot be reached.
    Refused(ids::MemberId),
    /// Time went by.
    Tick,
}

/// What a gang's home has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Ask a holder to keep room for as many of these tasks as it can.
    Hold(Request),
    /// Ask a holder to commit the room of these tasks.
    Commit(Request),
    /// Tell a holder to release whatever room these tasks have with it.
    Release(Request),
    /// All tasks have room: start them.
    Done(Vec<pass::Placement>),
    /// None has room: try again then.
    Failed(time::Instant),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Holding,
    Committing,
    Ended,
}

/// One holder within a try.
#[derive(Clone, Debug)]
struct Part {
    holder: ids::MemberId,
    /// Tasks that it was asked for; empty before that.
    asked: Vec<u32>,
    held: Vec<pass::Placement>,
    committed: bool,
}

/// One try to find room for a gang.
#[derive(Clone, Debug)]
pub struct Gang {
    config: GangConfig,
    number: work::TryNumber,
    state: State,
    parts: Vec<Part>,
    /// The part that was asked last.
    at: usize,
    /// Tasks without room.
    left: Vec<u32>,
    ends_at: time::Instant,
    jitter: f64,
}

impl Gang {
    /// Begins a try for `tasks` with these holders, in whatever order given.
    pub fn start(
        config: GangConfig,
        number: work::TryNumber,
        tasks: Vec<u32>,
        mut holders: Vec<ids::MemberId>,
        now: time::Instant,
        rng: &mut impl rand::Rng,
    ) -> (Self, Vec<Output>) {
        holders.sort();
        holders.dedup();
        let part = |holder| Part {
            holder,
            asked: Vec::new(),
            held: Vec::new(),
            committed: false,
        };
        let mut gang = Self {
            config,
            number,
            state: State::Holding,
            parts: holders.into_iter().map(part).collect(),
            at: 0,
            left: tasks,
            ends_at: now + config.patience,
            jitter: rng.random(),
        };
        let outputs = gang.ask_next(now);
        (gang, outputs)
    }

    /// Whether the try is over.
    pub fn is_ended(&self) -> bool {
        self.state == State::Ended
    }

    /// When a [`Input::Tick`] is due at the latest.
    pub fn wakes_at(&self) -> Option<time::Instant> {
        (!self.is_ended()).then_some(self.ends_at)
    }

    /// Takes an input over.
    pub fn step(&mut self, input: Input, now: time::Instant) -> Vec<Output> {
        if !self.is_ended() && now >= self.ends_at {
            let mut outputs = self.fail(now);
            outputs.extend(self.step(input, now));
            return outputs;
        }
        match (self.state, input) {
            (State::Holding, Input::Held(from, held)) => self.on_held(&from, held, now),
            (State::Holding | State::Committing, Input::Refused(from)) => {
                self.on_refused(&from, now)
            }
            (State::Committing, Input::Committed(from)) => self.on_committed(&from),
            // Too late: the room must not stay idle until it expires.
            (State::Ended | State::Committing, Input::Held(from, held)) => {
                self.on_late(from, &held)
            }
            _ => Vec::new(),
        }
    }

    fn request(&self, to: &ids::MemberId, tasks: Vec<u32>) -> Request {
        Request {
            to: to.clone(),
            number: self.number,
            tasks,
        }
    }

    fn ask_next(&mut self, now: time::Instant) -> Vec<Output> {
        if self.left.is_empty() {
            return self.commit_all();
        }
        let Some(part) = self.parts.get_mut(self.at) else {
            return self.fail(now);
        };
        part.asked = self.left.clone();
        let request = Request {
            to: part.holder.clone(),
            number: self.number,
            tasks: self.left.clone(),
        };
        vec![Output::Hold(request)]
    }

    fn on_held(
        &mut self,
        from: &ids::MemberId,
        held: Vec<pass::Placement>,
        now: time::Instant,
    ) -> Vec<Output> {
        let current = self.parts.get_mut(self.at);
        let Some(part) = current.filter(|part| part.holder == *from) else {
            return self.on_late(from.clone(), &held);
        };
        let has_room = |index: &u32| held.iter().any(|p| p.task.index == *index);
        self.left.retain(|index| !has_room(index));
        part.held = held;
        self.at += 1;
        self.ask_next(now)
    }

    /// A holder that has no room is passed over; a commit that fails ends all.
    fn on_refused(&mut self, from: &ids::MemberId, now: time::Instant) -> Vec<Output> {
        if self.state == State::Committing {
            return self.fail(now);
        }
        self.on_held(from, Vec::new(), now)
    }

    fn commit_all(&mut self) -> Vec<Output> {
        self.state = State::Committing;
        let parts = self.parts.iter().filter(|part| !part.held.is_empty());
        parts
            .map(|part| {
                let tasks = part.held.iter().map(|p| p.task.index).collect();
                Output::Commit(self.request(&part.holder, tasks))
            })
            .collect()
    }

    fn on_committed(&mut self, from: &ids::MemberId) -> Vec<Output> {
        for part in &mut self.parts {
            part.committed |= part.holder == *from;
        }
        let mut needed = self.parts.iter().filter(|part| !part.held.is_empty());
        if !needed.all(|part| part.committed) {
            return Vec::new();
        }
        self.state = State::Ended;
        let held = self.parts.iter().flat_map(|part| part.held.clone());
        vec![Output::Done(held.collect())]
    }

    /// Releases all that was asked for, answered or not.
    fn fail(&mut self, now: time::Instant) -> Vec<Output> {
        let asked = self.parts.iter().filter(|part| !part.asked.is_empty());
        let release = |part: &Part| Output::Release(self.request(&part.holder, part.asked.clone()));
        let mut outputs: Vec<_> = asked.map(release).collect();
        let wait = self.config.retry.mul_f64(1.0 + self.jitter);
        outputs.push(Output::Failed(now + wait));
        self.state = State::Ended;
        outputs
    }

    fn on_late(&self, from: ids::MemberId, held: &[pass::Placement]) -> Vec<Output> {
        let known = |placement: &&pass::Placement| {
            let mut parts = self.parts.iter();
            parts.any(|part| part.holder == from && part.held.contains(placement))
        };
        let late = held.iter().filter(|placement| !known(placement));
        let tasks: Vec<_> = late.map(|p| p.task.index).collect();
        if tasks.is_empty() {
            return Vec::new();
        }
        vec![Output::Release(self.request(&from, tasks))]
    }
}

impl cluster::Cluster {
    /// Keeps room for as many of a gang's tasks as there is, until `expires`.
    ///
    /// Room of an earlier try passes to this one; that of a later one stays.
    pub fn hold_gang(
        &mut self,
        asks: &[work::Ask],
        number: work::TryNumber,
        now: time::Instant,
        expires: time::Instant,
    ) -> Vec<pass::Placement> {
        let mut held = Vec::new();
        for ask in asks {
            let _ = self.try_place(ask, now, Some(expires));
            let Some(holding) = self.holdings.get_mut(&ask.task) else {
                continue;
            };
            let earlier = holding.gang_try.is_none_or(|known| known <= number);
            if holding.expires.is_none() || !earlier {
                continue;
            }
            holding.gang_try = Some(number);
            holding.expires = Some(expires);
            held.push(pass::Placement {
                task: ask.task.clone(),
                attempt: ask.attempt,
                worker: holding.worker.clone(),
            });
        }
        held
    }

    /// Commits the room of a gang's tasks until they start; all or none.
    pub fn commit_gang(
        &mut self,
        tasks: &[ids::TaskId],
        number: work::TryNumber,
        expires: time::Instant,
    ) -> bool {
        let of_try = |task: &ids::TaskId| {
            let holding = self.holdings.get(task);
            holding.is_some_and(|holding| holding.gang_try == Some(number))
        };
        let all = tasks.iter().all(of_try);
        if all {
            for task in tasks {
                self.extend(task, expires);
            }
        }
        all
    }

    /// Releases the room of a gang's tasks unless a later try has it.
    pub fn release_gang(&mut self, tasks: &[ids::TaskId], number: work::TryNumber) {
        for task in tasks {
            let holding = self.holdings.get(task);
            if holding.is_some_and(|h| h.gang_try.is_some_and(|known| known <= number)) {
                self.release(task);
            }
        }
    }
}
