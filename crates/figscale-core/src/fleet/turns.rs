//! Turns of refused callers: when each may retry, and the work that it will
//! bring.
//!
//! A refused job gets the time at which it would be accepted, behind the jobs
//! that were refused before it. Its work counts against later jobs until then.
//! So callers return spread out, and one that returns at its turn is accepted
//! before newcomers. A caller is known by its job's id.
//!
//! Many callers don't return, since they leave before their turn or find
//! another way. Their work would keep others out in vain. So a turn counts in the
//! proportion in which callers that were told the same time have returned.
//!
//! The ledger is in the leader's memory only. A new leader begins without turns
//! and spreads the first refusals by the same rule.

use std::sync;
use std::time;

use figscale_types::fleet;
use indexmap::IndexMap;

use super::demand;
use super::job;

/// Bounds of the retry time given to callers, in seconds, as `Retry-After` has
/// them: short enough that they do retry, long enough that they don't overload
/// the leader with repeats.
const MIN_RETRY_S: u64 = 1;
const MAX_RETRY_S: u64 = 8;
/// Callers whose turn is later than the longest retry time are spread over this
/// many seconds before it. Otherwise those refused together would return
/// together.
const LATE_RETRY_SPREAD_S: u64 = 4;
/// How long after its time a turn is kept. Callers return late by their own delays
/// and by the way to the leader.
const RETURN_GRACE: time::Duration = time::Duration::from_millis(500);
/// Maximum number of turns. At up to 200 submissions a second it holds those of the
/// longest retry time, and takes a few hundred kilobytes.
const MAX_TURNS: usize = 2_000;
/// Weight of the newest observation in a return rate (exponential moving average).
const LEARNING_WEIGHT: f64 = 0.1;
/// Return rate before the first observation. If fewer callers return, the fleet has
/// a shorter queue until that is learned, but is not idle: jobs that fit at once
/// are accepted whatever the turns.
const INITIAL_RETURN_RATE: f64 = 1.0;

/// The turn of a refused caller.
#[derive(Clone, Debug)]
pub(crate) struct Turn {
    /// Position in the order of first refusals.
    number: u64,
    queue: sync::Arc<fleet::Queue>,
    customer: Option<fleet::CustomerName>,
    work: demand::Work,
    /// The time that the caller was told last, in seconds.
    told_s: u64,
    returns_at: time::Instant,
}

impl Turn {
    /// Whether it is over. While the store refuses callers, and until the last of them
    /// may retry, no turn ends.
    fn is_expired(&self, suspended_until: Option<time::Instant>, now: time::Instant) -> bool {
        let until = suspended_until.map_or(self.returns_at, |until| until.max(self.returns_at));
        now > until + RETURN_GRACE
    }
}

/// Turns of refused callers.
#[derive(Clone, Debug)]
pub(crate) struct TurnLedger {
    turns: IndexMap<fleet::JobId, Turn>,
    next_number: u64,
    /// When callers may retry that were refused last because of the store.
    suspended_until: Option<time::Instant>,
    /// Fraction of the callers that returned, by the seconds that they were told.
    return_rates: [f64; MAX_RETRY_S as usize + 1],
}

impl Default for TurnLedger {
    fn default() -> Self {
        Self {
            turns: IndexMap::new(),
            next_number: 0,
            suspended_until: None,
            return_rates: [INITIAL_RETURN_RATE; MAX_RETRY_S as usize + 1],
        }
    }
}

impl TurnLedger {
    pub(crate) fn len(&self) -> usize {
        self.turns.len()
    }

    /// Work of the turns that come before a job, each with its customer: of the
    /// same service, with the same or a higher priority, and refused before it.
    pub(crate) fn ahead_of<'a>(
        &'a self,
        job: &'a job::Job,
        now: time::Instant,
    ) -> impl Iterator<Item = (Option<&'a fleet::CustomerName>, demand::Work)> {
        let number = self.turns.get(&job.id).map_or(u64::MAX, |turn| turn.number);
        let turns = self.turns.values().filter(move |turn| {
            turn.number < number
                && turn.queue.priority <= job.queue.priority
                && turn.queue.service == job.queue.service
                && !turn.is_expired(self.suspended_until, now)
        });
        turns.map(|turn| {
            let rate = self.return_rates[turn.told_s as usize];
            (turn.customer.as_ref(), turn.work.part(rate))
        })
    }

    /// Records that callers are refused because of the store, and told to retry at
    /// `retry_at`.
    pub(crate) fn suspend(&mut self, retry_at: time::Instant) {
        self.suspended_until = Some(retry_at);
    }

    /// Records that a caller submits a job, perhaps again. A caller whose turn is
    /// over is a newcomer.
    pub(crate) fn submitted(&mut self, job: fleet::JobId, now: time::Instant) {
        let Some(turn) = self.turns.get(&job) else {
            return;
        };
        let told_s = turn.told_s;
        let returned = !turn.is_expired(self.suspended_until, now);
        self.learn(told_s, returned);
        if !returned {
            self.turns.swap_remove(&job);
        }
    }

    /// Records that a job is refused and would be accepted after `turn_in`. Returns
    /// the time after which its caller is to retry, in whole seconds.
    pub(crate) fn refuse(
        &mut self,
        job: &job::Job,
        work: demand::Work,
        turn_in: time::Duration,
        now: time::Instant,
    ) -> time::Duration {
        let known = self.turns.get(&job.id).map(|turn| turn.number);
        let number = known.unwrap_or(self.next_number);
        let told_s = match turn_in.as_millis().div_ceil(1_000) {
            late if late > u128::from(MAX_RETRY_S) => MAX_RETRY_S - number % LATE_RETRY_SPREAD_S,
            told_s => (told_s as u64).max(MIN_RETRY_S),
        };
        let told = time::Duration::from_secs(told_s);
        if known.is_none() {
            self.next_number += 1;
        }
        if known.is_some() || self.turns.len() < MAX_TURNS {
            let turn = Turn {
                number,
                queue: job.queue.clone(),
                customer: job.customer.clone(),
                work,
                told_s,
                returns_at: now + told,
            };
            self.turns.insert(job.id, turn);
        }
        told
    }

    /// Frees the turn of a job that was accepted or cancelled.
    pub(crate) fn remove(&mut self, job: fleet::JobId) {
        self.turns.swap_remove(&job);
    }

    /// Frees the turns that were not taken.
    pub(crate) fn expire(&mut self, now: time::Instant) {
        let mut untaken = Vec::new();
        let suspended_until = self.suspended_until;
        self.turns.retain(|_, turn| {
            let expired = turn.is_expired(suspended_until, now);
            // Callers whose turn fell into an outage were told another time there.
            if expired && suspended_until.is_none_or(|until| until < turn.returns_at) {
                untaken.push(turn.told_s);
            }
            !expired
        });
        for told_s in untaken {
            self.learn(told_s, false);
        }
    }

    /// Learns from a caller that returned, or did not. One that waited as long as it
    /// was told would have waited for less, and one that did not would not have
    /// waited for more.
    fn learn(&mut self, told_s: u64, returned: bool) {
        let told_s = told_s as usize;
        let (rates, observed) = match returned {
            true => (&mut self.return_rates[..=told_s], 1.0),
            false => (&mut self.return_rates[told_s..], 0.0),
        };
        for rate in rates {
            *rate += (observed - *rate) * LEARNING_WEIGHT;
        }
    }
}
