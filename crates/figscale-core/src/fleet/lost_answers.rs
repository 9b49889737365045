//! How long a call for a report may wait at a worker, depending on whether answers
//! were lost recently.
//!
//! A call for a report is a long poll: it waits at the worker until a run ends
//! there. When such a call or its answer is lost, all ends on that worker stay
//! unknown until the call times out, and packing puts the tasks of many jobs on
//! one worker. Shorter waits bound that time but cost more calls, so they are used
//! only while answers get lost.
//!
//! A call counts as lost when a second one, sent later, was answered first: the
//! worker responds, and the first call will not return. A worker that answers
//! neither is unresponsive, and shorter waits would not help then.

use std::time;

/// Wait while no answers get lost: half of what workers allow. It bounds the age
/// of leases and of what is known of a worker.
const NORMAL_WAIT: time::Duration = time::Duration::from_millis(1_000);
/// Wait while answers get lost: ends stay unknown for 0.4 s instead of 1.15 s, at
/// the price of four times the calls to workers that have nothing to report.
const LOSSY_WAIT: time::Duration = time::Duration::from_millis(250);
/// Time without a lost answer after which answers count as no longer lost.
/// Answers are lost in periods of seconds. With one call in thirty lost, fifty
/// workers show several losses a second, so a period is certainly over after this
/// time.
const LOSSY_PERIOD: time::Duration = time::Duration::from_secs(3);

/// Tracks when an answer of any worker was last lost.
#[derive(Clone, Copy, Debug, Default)]
pub struct LostAnswers {
    last: Option<time::Instant>,
}

impl LostAnswers {
    /// Records that a call to a responsive worker, or its answer, was lost.
    pub fn record_lost_answer(&mut self, now: time::Instant) {
        self.last = Some(now);
    }

    /// How long the next call for a report may wait.
    pub fn report_wait(&self, now: time::Instant) -> time::Duration {
        match self.last {
            Some(last) if now < last + LOSSY_PERIOD => LOSSY_WAIT,
            _ => NORMAL_WAIT,
        }
    }
}
