//! How long a worker may be asked to wait for an end, by the answers lost lately.
//!
//! A call for a report waits at the worker until something ends there. When
//! such a call or its answer is lost, everything that ends on that worker stays
//! unseen until the call is given up, and packing puts the tasks of many jobs on
//! one worker. Shorter waits bound that time and cost more calls, so they are
//! used only while answers get lost.
//!
//! A call counts as lost when a second one, sent later, was answered first: the
//! worker is there and the first call is not coming back. A worker that answers
//! neither is silent, which shorter waits would not help.

use std::time;

/// Wait while nothing gets lost, half of what workers allow. Leases and what is
/// known of a worker are at most this old.
const USUAL_WAIT: time::Duration = time::Duration::from_millis(1_000);
/// Wait while answers get lost: ends are hidden for 0.4 s in place of 1.15 s,
/// for four times the calls of workers that have nothing to tell.
const WARY_WAIT: time::Duration = time::Duration::from_millis(250);
/// Losses come in spells of seconds. With one call in thirty lost, fifty workers
/// show several a second, so a spell is surely over after this time.
const WARY_FOR: time::Duration = time::Duration::from_secs(3);

/// When an answer was last lost.
#[derive(Clone, Copy, Debug, Default)]
pub struct Losses {
    last: Option<time::Instant>,
}

impl Losses {
    /// A call was lost on the way to a worker that answers.
    pub fn note(&mut self, now: time::Instant) {
        self.last = Some(now);
    }

    /// How long the next call for a report may wait.
    pub fn report_wait(&self, now: time::Instant) -> time::Duration {
        match self.last {
            Some(last) if now < last + WARY_FOR => WARY_WAIT,
            _ => USUAL_WAIT,
        }
    }
}
