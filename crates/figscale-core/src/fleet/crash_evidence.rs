//! How likely it is that a task lost its workers by coincidence.
//!
//! A worker that is lost under a task proves little while many others are lost at
//! the same time. The share of the other workers that were lost around that moment
//! estimates the chance that a given worker is lost without the task being the
//! cause; an attempt on several workers meets it as many times. The chances of a
//! task's lost attempts are multiplied: only if their product is small is the task
//! taken for the cause.

use std::collections::VecDeque;
use std::time;

use figscale_types::fleet;

/// Losses at most this far apart count as simultaneous. An unresponsive worker is
/// noticed within 1.15 s, when its call for a report is overdue.
pub(crate) const SIMULTANEOUS: time::Duration = time::Duration::from_millis(1_200);
/// A task under suspicion is not started again while losses within this time make
/// another coincidence likely.
const RECENT: time::Duration = time::Duration::from_millis(3_000);
/// Longest time that a task under suspicion waits after its last loss for fewer
/// workers to be lost. A shorter one lets a crashing task start too often while
/// workers crash in masses.
pub(crate) const MAX_HOLD: time::Duration = time::Duration::from_secs(30);
/// How long losses are remembered.
const MEMORY: time::Duration = time::Duration::from_secs(6);
/// A chance that is certain, in millionths.
pub(crate) const CERTAIN_PPM: u32 = 1_000_000;
/// Chance of a coincidence, in millionths, up to which a task is the cause.
const CAUSE_PPM: f64 = 2_000.0;
/// Lost attempts after which another one has to settle the matter.
const MAX_UNSETTLED: usize = 3;
/// Chance of a coincidence, in millionths, above which an attempt would show nothing.
const TURBULENT_PPM: u32 = 250_000;

/// Workers that were lost recently, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct LostWorkers {
    lost: VecDeque<(time::Instant, fleet::WorkerId)>,
}

impl LostWorkers {
    pub(crate) fn record(&mut self, id: &fleet::WorkerId, now: time::Instant) {
        while self.lost.front().is_some_and(|(at, _)| now > *at + MEMORY) {
            self.lost.pop_front();
        }
        self.lost.push_back((now, id.clone()));
    }

    /// Forgets a worker that responds again.
    pub(crate) fn retract(&mut self, id: &fleet::WorkerId) {
        self.lost.retain(|(_, lost)| lost != id);
    }

    /// Number of workers lost about when another was lost at `at`.
    fn around(&self, at: time::Instant) -> usize {
        let end = self
            .lost
            .partition_point(|(lost, _)| *lost <= at + SIMULTANEOUS);
        let begin = self
            .lost
            .partition_point(|(lost, _)| *lost + SIMULTANEOUS < at);
        end - begin
    }

    fn since(&self, from: time::Instant) -> usize {
        self.lost.len() - self.lost.partition_point(|(lost, _)| *lost < from)
    }
}

/// The chance, in millionths, that at least one of `hosts` workers is lost by
/// coincidence, if `others` of the other workers of a fleet were.
pub(crate) fn chance_ppm(hosts: usize, others: usize, fleet: usize) -> u32 {
    let rest = fleet.saturating_sub(hosts).max(others).max(1) as f64;
    // Half a loss stands for what is too rare to be seen.
    let share = ((others as f64 + 0.5) / (rest + 1.0)).min(1.0);
    let chance = 1.0 - (1.0 - share).powf(hosts as f64);
    (chance * f64::from(CERTAIN_PPM)) as u32
}

/// A lost attempt of a task, with what speaks for a coincidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Chance {
    /// Workers that the attempt ran on.
    pub(crate) hosts: usize,
    /// Number of these that were lost.
    pub(crate) lost: usize,
    /// When the first of them stopped responding, and when the last was found lost;
    /// `None` if an earlier leader observed it. The two are apart if a worker crashes
    /// just after an answer was late.
    pub(crate) between: Option<(time::Instant, time::Instant)>,
    pub(crate) ppm: u32,
}

impl Chance {
    /// As recorded by an earlier leader.
    pub(crate) fn recorded(ppm: u32) -> Self {
        Self {
            hosts: 1,
            lost: 1,
            between: None,
            ppm,
        }
    }

    /// Takes account of losses that were noticed since. They only make a
    /// coincidence more likely. `own` of the simultaneous losses are of the task's
    /// attempts.
    pub(crate) fn update(&mut self, known: &LostWorkers, own: usize, fleet: usize) {
        if let Some((first, last)) = self.between {
            let others = known.around(first).max(known.around(last));
            let others = others.saturating_sub(own);
            let ppm = chance_ppm(self.hosts, others, fleet);
            // The estimate for losses too rare to be seen grows with the number of
            // hosts. Without a limit a task on most of the fleet would never be
            // shown to be the cause.
            let ppm = match others {
                0 => ppm.min(TURBULENT_PPM),
                _ => ppm,
            };
            self.ppm = self.ppm.max(ppm);
        }
    }

    /// Whether it was lost about when another attempt was.
    pub(crate) fn is_simultaneous(&self, other: &Self) -> bool {
        let times = self.between.zip(other.between);
        times.is_some_and(|(own, other)| {
            own.0 <= other.1 + SIMULTANEOUS && other.0 <= own.1 + SIMULTANEOUS
        })
    }

    /// Whether simultaneous losses may still be unnoticed.
    pub(crate) fn is_open(&self, now: time::Instant) -> bool {
        let last = self.between.map(|(_, last)| last);
        last.is_some_and(|last| now <= last + SIMULTANEOUS)
    }
}

/// Whether lost attempts with these chances are no coincidence.
pub(crate) fn shows_cause(chances: impl Iterator<Item = u32>) -> bool {
    let certain = f64::from(CERTAIN_PPM);
    let product = chances.fold(certain, |product, ppm| product * f64::from(ppm) / certain);
    product <= CAUSE_PPM
}

/// Whether another attempt would show something, if it were lost, or as much as it
/// ever will: while no worker is being lost, waiting cannot make it show more.
pub(crate) fn would_show(
    known: &LostWorkers,
    chances: impl Iterator<Item = u32>,
    hosts: usize,
    fleet: usize,
    now: time::Instant,
) -> bool {
    let from = now.checked_sub(RECENT).unwrap_or(now);
    let others = known.since(from);
    if others == 0 {
        return true;
    }
    let next_ppm = chance_ppm(hosts, others, fleet);
    let chances: Vec<u32> = chances.collect();
    match chances.len() >= MAX_UNSETTLED {
        true => shows_cause(chances.into_iter().chain([next_ppm])),
        false => next_ppm <= TURBULENT_PPM,
    }
}
