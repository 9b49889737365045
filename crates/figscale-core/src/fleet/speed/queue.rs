//! How far the tasks of a queue differ from their estimates.

use std::time;

use super::RunTimes;
use super::histogram;
use super::step;

/// Half-life of the evidence.
const HALF_LIFE: time::Duration = time::Duration::from_secs(20);
/// Number of steps from which on run times are learned.
const MIN_STEPS: f64 = 20.0;
/// Standard deviation of steps and of the tasks within one, until learned.
const INITIAL_BETWEEN_STEPS: f64 = 0.7;
const INITIAL_WITHIN_STEP: f64 = 0.25;
const MIN_WITHIN_STEP: f64 = 0.1;
/// Mean squared error of progress, in logarithms: until runs have ended, up to which
/// it is evidence on workers, from which on it is not used at all, and of one run at
/// most.
const INITIAL_PROGRESS_ERROR: f64 = 0.15;
const GOOD_PROGRESS_ERROR: f64 = 0.04;
const USELESS_PROGRESS_ERROR: f64 = 0.5;
const MAX_PROGRESS_ERROR: f64 = 1.0;
/// Weight of one more run in that mean: at least this, and more of the first ones. The
/// initial value weighs as much as so many.
const PROGRESS_WEIGHT: f64 = 0.05;
const INITIAL_PROGRESS_RUNS: f64 = 3.0;
/// Nine of ten normally distributed values are below this many standard deviations.
const QUANTILE_OF_NORMAL: f64 = 1.28;
/// Run times are known in multiples of this percentage, and move by more than one
/// and a half of it at a time.
const PERCENT_STEP: u32 = 10;

/// Estimates of one queue, in logarithms.
#[derive(Clone, Debug)]
pub(super) struct QueueSpeed {
    /// Total times beside those of the workers' speed; each step weighs one.
    ratios: histogram::Histogram,
    /// Deviations of tasks from what their steps and workers explain.
    within: histogram::Histogram,
    /// The median; `None` if nothing is known.
    pub(super) median: Option<f64>,
    between_steps: f64,
    within_step: f64,
    pub(super) run_times: RunTimes,
    /// Mean squared error of progress, in logarithms.
    progress_error: f64,
    progress_runs: f64,
}

impl Default for QueueSpeed {
    fn default() -> Self {
        Self {
            ratios: histogram::Histogram::new(HALF_LIFE),
            within: histogram::Histogram::new(HALF_LIFE),
            median: None,
            between_steps: INITIAL_BETWEEN_STEPS,
            within_step: INITIAL_WITHIN_STEP,
            run_times: RunTimes::default(),
            progress_error: INITIAL_PROGRESS_ERROR,
            progress_runs: INITIAL_PROGRESS_RUNS,
        }
    }
}

impl QueueSpeed {
    /// Takes over what an earlier leader knew.
    pub(super) fn known(run_times: RunTimes) -> Self {
        let median = (f64::from(run_times.typical_percent.max(1)) / 100.0).ln();
        Self {
            median: Some(median),
            run_times,
            ..Self::default()
        }
    }

    /// Records the ratio of a run that has ended, one of `count` of its step.
    pub(super) fn record(&mut self, ratio: f64, count: u32, now: time::Instant) {
        self.ratios.add(ratio, 1.0 / f64::from(count.max(1)), now);
    }

    /// Records the squared error of the progress of a run that has ended.
    pub(super) fn record_progress(&mut self, squared_error: f64) {
        let error = squared_error.min(MAX_PROGRESS_ERROR);
        self.progress_runs += 1.0;
        let weight = (1.0 / self.progress_runs).max(PROGRESS_WEIGHT);
        self.progress_error += weight * (error - self.progress_error);
    }

    /// Squared error of progress, if that shows well how long runs take.
    pub(super) fn progress_error(&self) -> Option<f64> {
        Some(self.progress_error).filter(|error| *error <= GOOD_PROGRESS_ERROR)
    }

    /// Whether progress has been found not to show how long runs take.
    pub(super) fn progress_is_useless(&self) -> bool {
        self.progress_error > USELESS_PROGRESS_ERROR
    }

    /// Records by how much a task differs from what its step and worker explain.
    pub(super) fn record_within(&mut self, deviation: f64, now: time::Instant) {
        self.within.add(deviation, 1.0, now);
    }

    /// What is known of a step's ratio from other runs of it or else from the queue,
    /// and the variance of a task relative to that; `None` if nothing is.
    pub(super) fn step_ratio(&self, others: Option<step::Others>) -> Option<(f64, f64)> {
        let within = self.within_step * self.within_step;
        let between = self.between_steps * self.between_steps;
        let of_queue = self.median.map(|median| (median, within + between));
        let of_step = others.map(|others| {
            let variance = others.variance.max(within / others.count);
            (others.median, within + variance)
        });
        match (of_step, of_queue) {
            (Some(of_step), Some(of_queue)) if of_queue.1 < of_step.1 => Some(of_queue),
            (of_step, of_queue) => of_step.or(of_queue),
        }
    }

    /// Renews what is derived from the histograms.
    pub(super) fn review(&mut self) {
        let mut slow_deviation = QUANTILE_OF_NORMAL * self.within_step;
        if self.within.weight() >= MIN_STEPS {
            self.within_step = self.within.deviation().max(MIN_WITHIN_STEP);
            slow_deviation = self.within.quantile(0.9).max(0.0);
        }
        if self.ratios.weight() < MIN_STEPS {
            return;
        }
        let median = self.ratios.quantile(0.5);
        self.median = Some(median);
        self.between_steps = self.ratios.deviation().max(self.within_step);
        let percent = |ratio: f64| ratio.exp() * 100.0;
        let known = &mut self.run_times;
        move_percent(&mut known.typical_percent, percent(median));
        let cautious = percent(median + slow_deviation);
        move_percent(&mut known.cautious_percent, cautious);
    }
}

/// Moves a percentage that differs from `percent` by more than its steps.
fn move_percent(known: &mut u32, percent: f64) {
    let step = f64::from(PERCENT_STEP).max(percent / 10.0);
    if (percent - f64::from(*known)).abs() > step {
        let steps = (percent / f64::from(PERCENT_STEP)).round().max(1.0);
        *known = steps as u32 * PERCENT_STEP;
    }
}
