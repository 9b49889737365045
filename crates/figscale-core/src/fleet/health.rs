//! Outlier ejection of workers.
//!
//! A worker on which several jobs in a row fail, or on which tasks make no
//! progress, is ejected and then tried with one task at a time. A job may fail
//! through its own fault, so one failure says little; failures of different
//! jobs do.

use std::time;

use figscale_types::fleet;

/// Consecutive failures of different jobs after which a worker is ejected. One
/// task in twenty fails through its own fault, so three in a row by chance are
/// rare.
const MAX_FAILURES_IN_A_ROW: usize = 3;
/// First duration of an ejection, doubled with each relapse. Faulty workers
/// recover within 5 to 7 s.
const FIRST_EJECTION: time::Duration = time::Duration::from_secs(3);
/// Maximum duration of an ejection.
const MAX_EJECTION: time::Duration = time::Duration::from_secs(12);

/// Maximum number of doublings of the pause after a refusal; for lack of room
/// it grows from 0.25 s to 1 s. When one worker refuses a member of a gang, the
/// other members are free again 0.9 s after their stops were ordered. A shorter
/// pause is over by then, and the gang would go to the same worker again.
const MAX_DOUBLINGS: u32 = 2;

/// The recent results of a worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    failed_jobs: Vec<fleet::JobId>,
    out_of_use_until: Option<time::Instant>,
    /// On probation: one task at a time until one succeeds.
    on_probation: bool,
    relapses: u32,
    /// Consecutive pauses since a start was last accepted.
    pauses: u32,
    /// Whether a task has succeeded here since the last ejection.
    proven: bool,
}

impl Health {
    /// Records that a task succeeded.
    pub(crate) fn succeeded(&mut self) {
        self.failed_jobs.clear();
        self.out_of_use_until = None;
        self.on_probation = false;
        self.relapses = 0;
        self.proven = true;
    }

    /// Records that a task failed. Returns true if the worker is ejected for
    /// it.
    pub(crate) fn failed(&mut self, job: fleet::JobId, now: time::Instant) -> bool {
        if !self.failed_jobs.contains(&job) {
            self.failed_jobs.push(job);
        }
        let needed = if self.on_probation {
            1
        } else {
            MAX_FAILURES_IN_A_ROW
        };
        if self.failed_jobs.len() < needed || self.is_out_of_use(now) {
            return false;
        }
        self.eject(now);
        true
    }

    /// Ejects the worker for a while.
    pub(crate) fn eject(&mut self, now: time::Instant) {
        let time = FIRST_EJECTION * 2_u32.saturating_pow(self.relapses.min(4));
        self.out_of_use_until = Some(now + time.min(MAX_EJECTION));
        self.relapses += 1;
        self.on_probation = true;
        self.proven = false;
        self.failed_jobs.clear();
    }

    /// Records that a start was accepted.
    pub(crate) fn started(&mut self) {
        self.pauses = 0;
    }

    /// Pauses new orders for a short time, without an ejection; longer with
    /// each consecutive pause.
    pub(crate) fn pause(&mut self, time: time::Duration, now: time::Instant) {
        // Starts refused at the same time count as one.
        if !self.is_out_of_use(now) {
            self.pauses = self.pauses.saturating_add(1);
        }
        let doublings = self.pauses.saturating_sub(1).min(MAX_DOUBLINGS);
        let until = now + time * 2_u32.pow(doublings);
        if self.out_of_use_until.is_none_or(|known| known < until) {
            self.out_of_use_until = Some(until);
        }
    }

    pub(crate) fn is_out_of_use(&self, now: time::Instant) -> bool {
        self.out_of_use_until.is_some_and(|until| now < until)
    }

    /// Whether another task may be sent. `any_on_trial` tells whether one runs there
    /// whose end would show how the worker is.
    pub(crate) fn admits(&self, any_on_trial: impl Fn() -> bool, now: time::Instant) -> bool {
        !self.is_out_of_use(now) && (!self.on_probation || !any_on_trial())
    }

    /// Whether tasks have succeeded here lately and none has failed since.
    pub(crate) fn is_proven(&self) -> bool {
        self.proven && self.failed_jobs.is_empty()
    }
}
