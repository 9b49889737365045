//! Whether a worker can be trusted with work.
//!
//! A worker that fails several jobs in a row, or on which tasks stand still,
//! is set aside and then tried with one task at a time. Jobs can fail by their
//! own fault, so one failure says little; the failures of different jobs do.

use std::time;

use figscale_types::fleet;

/// Failures of different jobs in a row after which a worker is set aside. One
/// task in twenty fails by its own fault, so three in a row by chance are rare.
const MAX_FAILURES_IN_A_ROW: usize = 3;
/// First time out of use; doubled with each relapse. Faulty workers recover
/// within 5 to 7 s.
const SET_ASIDE: time::Duration = time::Duration::from_secs(3);
/// Longest time out of use.
const MAX_SET_ASIDE: time::Duration = time::Duration::from_secs(12);

/// How often the pause after a refusal is doubled at most, from 0.25 s to 1 s
/// without room. Of a gang that one worker refuses the other members are free
/// again 0.9 s after their stops were ordered; by then a shorter pause is over and
/// the gang goes to the same worker again.
const MAX_DOUBLINGS: u32 = 2;

/// Record of a worker's results.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    failed_jobs: Vec<fleet::JobId>,
    set_aside_until: Option<time::Instant>,
    /// On trial: one task at a time until one ends well.
    on_trial: bool,
    relapses: u32,
    /// Pauses since a start was last taken.
    pauses: u32,
    /// Some task has ended well here.
    proven: bool,
}

impl Health {
    /// A task ended well.
    pub(crate) fn succeeded(&mut self) {
        self.failed_jobs.clear();
        self.set_aside_until = None;
        self.on_trial = false;
        self.relapses = 0;
        self.proven = true;
    }

    /// A task failed; true if the worker is set aside for it.
    pub(crate) fn failed(&mut self, job: fleet::JobId, now: time::Instant) -> bool {
        if !self.failed_jobs.contains(&job) {
            self.failed_jobs.push(job);
        }
        let enough = if self.on_trial {
            1
        } else {
            MAX_FAILURES_IN_A_ROW
        };
        if self.failed_jobs.len() < enough || self.is_set_aside(now) {
            return false;
        }
        self.set_aside(now);
        true
    }

    /// Takes the worker out of use for a while.
    pub(crate) fn set_aside(&mut self, now: time::Instant) {
        let time = SET_ASIDE * 2_u32.saturating_pow(self.relapses.min(4));
        self.set_aside_until = Some(now + time.min(MAX_SET_ASIDE));
        self.relapses += 1;
        self.on_trial = true;
        self.proven = false;
        self.failed_jobs.clear();
    }

    /// A start was taken.
    pub(crate) fn started(&mut self) {
        self.pauses = 0;
    }

    /// No orders for a moment, without a judgement; longer with each in a row.
    pub(crate) fn pause(&mut self, time: time::Duration, now: time::Instant) {
        // Starts refused at the same time count as one.
        if !self.is_set_aside(now) {
            self.pauses = self.pauses.saturating_add(1);
        }
        let doublings = self.pauses.saturating_sub(1).min(MAX_DOUBLINGS);
        let until = now + time * 2_u32.pow(doublings);
        if self.set_aside_until.is_none_or(|known| known < until) {
            self.set_aside_until = Some(until);
        }
    }

    pub(crate) fn is_set_aside(&self, now: time::Instant) -> bool {
        self.set_aside_until.is_some_and(|until| now < until)
    }

    /// Whether another task may be sent beside `running` others.
    pub(crate) fn admits(&self, running: usize, now: time::Instant) -> bool {
        !self.is_set_aside(now) && (!self.on_trial || running == 0)
    }

    /// Whether tasks have ended well here lately.
    pub(crate) fn is_proven(&self) -> bool {
        self.proven && self.failed_jobs.is_empty()
    }
}
