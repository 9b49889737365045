//! Schedule of the store calls, by kind of call.
//!
//! At most one call of a kind is in progress. A failed call is retried after an
//! exponential backoff with jitter of at most one heartbeat.

use std::time;

use indexmap::IndexMap;
use rand::rngs;

use crate::backoff;

/// Upper bound of the retry delay after the first failure.
const FIRST_DELAY_MS: u64 = 50;

/// Kinds of store call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Op {
    Grant,
    Announce,
    Renew,
    Read,
    List,
    Write,
}

#[derive(Debug)]
struct State {
    running: bool,
    due: time::Instant,
    backoff: backoff::Backoff,
}

/// The calls in progress and the due times of the next ones.
#[derive(Debug)]
pub(super) struct Schedule {
    start: time::Instant,
    longest_delay: time::Duration,
    states: IndexMap<Op, State>,
}

impl Schedule {
    pub(super) fn new(start: time::Instant, longest_delay: time::Duration) -> Self {
        Self {
            start,
            longest_delay,
            states: IndexMap::new(),
        }
    }

    fn state(&mut self, op: Op) -> &mut State {
        let first = time::Duration::from_millis(FIRST_DELAY_MS);
        self.states.entry(op).or_insert(State {
            running: false,
            due: self.start,
            backoff: backoff::Backoff::new(first, self.longest_delay.max(first)),
        })
    }

    /// Whether a call is in progress.
    pub(super) fn is_running(&self, op: Op) -> bool {
        self.states.get(&op).is_some_and(|state| state.running)
    }

    /// Marks a call as started if it is due and none of its kind is in progress;
    /// returns whether it was.
    pub(super) fn start(&mut self, op: Op, now: time::Instant) -> bool {
        let state = self.state(op);
        let start = !state.running && state.due <= now;
        state.running |= start;
        start
    }

    /// Records a success; the next call is due at `next`.
    pub(super) fn succeeded(&mut self, op: Op, next: time::Instant) {
        let state = self.state(op);
        state.running = false;
        state.due = next;
        state.backoff.reset();
    }

    /// Records a failure; the next call is due after the backoff delay.
    pub(super) fn failed(&mut self, op: Op, now: time::Instant, rng: &mut rngs::SmallRng) {
        let state = self.state(op);
        state.running = false;
        state.due = now + state.backoff.next_delay(rng);
    }

    /// Makes a call due immediately.
    pub(super) fn make_due(&mut self, op: Op, now: time::Instant) {
        let state = self.state(op);
        state.due = state.due.min(now);
    }
}
