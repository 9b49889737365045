//! How long one run takes in total, as its progress and its end imply.

use std::time;

use super::TRANSIENT_THRESHOLD;

/// Least progress between two readings for which the time in between counts; the
/// figure is a whole number.
const MIN_PROGRESS_PERCENT: u32 = 5;
/// The same for a run that may soon be as fast again as before.
const MIN_PROGRESS_IF_SLOWED_PERCENT: u32 = 2;
/// Expected progress above which less than half of it counts as evidence, too.
const MIN_EXPECTED_PERCENT: f64 = 6.0;
/// Shortest time that counts.
const MIN_TIME_MS: u64 = 40;
/// Squared error of progress that showed a change of speed where other runs of the
/// worker showed none.
const ERROR_IF_SLOWED: f64 = 0.25;
/// Error of a clock reading relative to the start, progress or end that it stands
/// for.
const CLOCK_ERROR_MS: f64 = 20.0;
/// Error of a difference of two percentages.
const PROGRESS_ERROR_PERCENT: f64 = 0.4;

/// Total time of a run as implied so far, in logarithms, relative to its estimate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Reading {
    pub(crate) ratio: f64,
    /// Variance of the measurement.
    pub(crate) variance: f64,
    /// Whether the run has ended.
    pub(crate) ended: bool,
    /// By how much the run is now slower than before.
    pub(crate) change: Option<f64>,
}

/// Evidence from one run.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunSpeed {
    estimate_ms: u64,
    resumed: bool,
    /// First known clock reading and progress.
    origin: Option<(u64, u32)>,
    /// Since when it has made progress at its present speed.
    steady_since: Option<(u64, u32)>,
    /// Last reading that counted.
    last: Option<(u64, u32)>,
    /// Whether its progress has fallen, or reached 100 before its end.
    unusable: bool,
    /// Implied ratio before the last reading.
    steady_ratio: Option<f64>,
    /// Ratio of the last two readings alone.
    latest_ratio: Option<f64>,
    /// Transient slowdown of its worker at its first reading.
    pub(super) transient: Option<f64>,
    slowed: bool,
    /// Whether a transient slowdown of its worker was seen while it ran.
    pub(super) transient_seen: bool,
    /// Its number on its worker's list of evidence.
    pub(super) slot: Option<u64>,
    /// Its number among the runs of its step.
    pub(super) of_step: Option<usize>,
}

impl RunSpeed {
    /// A run that has been ordered; `resumed` if from a checkpoint.
    pub(crate) fn ordered(estimate_ms: u64, resumed: bool) -> Self {
        Self {
            estimate_ms,
            resumed,
            ..Self::default()
        }
    }

    /// A run whose start is not known.
    pub(crate) fn adopted(estimate_ms: u64) -> Self {
        Self::ordered(estimate_ms, true)
    }

    /// Records that it runs, by a clock reading of its worker.
    pub(crate) fn confirmed(&mut self, clock_ms: u64) {
        if !self.resumed && self.origin.is_none() {
            self.origin = Some((clock_ms, 0));
            self.steady_since = self.origin;
            self.last = self.origin;
        }
    }

    /// Records its progress; returns what that implies if it has moved enough.
    pub(crate) fn progressed(&mut self, clock_ms: u64, percent: u32) -> Option<Reading> {
        if percent == 0 || self.unusable || self.estimate_ms == 0 {
            return None;
        }
        let fell = self.last.is_some_and(|(_, last)| percent < last);
        if fell || percent >= 100 {
            self.unusable = true;
            return None;
        }
        let Some(last) = self.last else {
            self.origin = Some((clock_ms, percent));
            self.steady_since = self.origin;
            self.last = self.origin;
            return None;
        };
        let done = percent - last.1;
        let least = match self.slowed {
            true => MIN_PROGRESS_IF_SLOWED_PERCENT,
            false => MIN_PROGRESS_PERCENT,
        };
        let enough = done >= least || done > 0 && self.lags(last, clock_ms, done);
        if !enough || clock_ms < last.0 + MIN_TIME_MS {
            return None;
        }
        self.advance((clock_ms, percent))
    }

    /// Whether it has done less than half of what it would have at its speed of
    /// before.
    fn lags(&self, last: (u64, u32), clock_ms: u64, done: u32) -> bool {
        let Some(steady) = self.steady_ratio else {
            return false;
        };
        let total_ms = self.estimate_ms as f64 * steady.exp();
        let expected = 100.0 * clock_ms.saturating_sub(last.0) as f64 / total_ms;
        expected >= MIN_EXPECTED_PERCENT && f64::from(done + 1) < expected / 2.0
    }

    /// Records its end; returns what that implies. A change of speed that only its
    /// end shows does not count, since progress may not be even.
    pub(crate) fn ended(&mut self, clock_ms: u64) -> Option<Reading> {
        // A change of speed that no other run shares is an error of its progress.
        let unconfirmed = self.slowed && !self.transient_seen;
        let start = match self.unusable || unconfirmed {
            true => self.origin.filter(|(_, percent)| *percent == 0),
            false => self.steady_since,
        };
        self.reading(start?, (clock_ms, 100), None)
    }

    /// Square of the distance, in logarithms, of its end from where its progress let
    /// expect it; `None` if there was no progress.
    pub(super) fn progress_error(&self, whole: &Reading) -> Option<f64> {
        let implied = self.steady_ratio?;
        match self.slowed {
            true if self.transient_seen => None,
            true => Some(ERROR_IF_SLOWED),
            false => Some((implied - whole.ratio).powi(2)),
        }
    }

    /// Time since its start; `None` if that is not known, or if it resumed.
    pub(crate) fn length_ms(&self, clock_ms: u64) -> Option<u64> {
        let (start_ms, _) = self.origin.filter(|(_, percent)| *percent == 0)?;
        Some(clock_ms.saturating_sub(start_ms))
    }

    /// Its step's estimate; zero if the run is no evidence.
    pub(crate) fn estimate(&self) -> time::Duration {
        time::Duration::from_millis(self.estimate_ms)
    }

    /// Total time that its whole known course implies once it has ended.
    pub(super) fn whole(&self, clock_ms: u64) -> Option<Reading> {
        self.reading(self.origin?, (clock_ms, 100), None)
    }

    /// Whether its progress has been evidence.
    pub(crate) fn is_observed(&self) -> bool {
        self.transient.is_some()
    }

    /// Whether its speed has changed while it ran.
    pub(super) fn spans_transient(&self) -> bool {
        self.slowed && self.transient_seen
            || self.transient.is_some_and(|transient| transient != 0.0)
    }

    fn advance(&mut self, at: (u64, u32)) -> Option<Reading> {
        let (last, since) = (self.last?, self.steady_since?);
        self.last = Some(at);
        let latest = self.reading(last, at, None);
        self.latest_ratio = latest.map(|latest| latest.ratio).or(self.latest_ratio);
        let change = latest.zip(self.steady_ratio);
        let change = change.map(|(latest, steady)| latest.ratio - steady);
        let slowed = change.is_some_and(|change| change.abs() >= TRANSIENT_THRESHOLD);
        if slowed {
            // The time at another speed says nothing about the worker's usual speed.
            self.steady_since = Some(at);
            self.slowed = true;
            return latest
                .zip(self.steady_ratio)
                .map(|(latest, steady)| Reading {
                    ratio: steady,
                    variance: latest.variance,
                    ended: false,
                    change,
                });
        }
        let reading = self.reading(since, at, change)?;
        self.steady_ratio = Some(reading.ratio);
        Some(reading)
    }

    fn reading(&self, from: (u64, u32), to: (u64, u32), change: Option<f64>) -> Option<Reading> {
        let time_ms = to.0.checked_sub(from.0)?.max(1) as f64;
        let done = f64::from(to.1.checked_sub(from.1).filter(|done| *done > 0)?);
        if self.estimate_ms == 0 {
            return None;
        }
        let total_ms = time_ms * 100.0 / done;
        let of_progress = match (from.1, to.1) {
            (0, 100) => 0.0,
            _ => PROGRESS_ERROR_PERCENT / done,
        };
        let of_time = CLOCK_ERROR_MS / time_ms;
        Some(Reading {
            ratio: (total_ms / self.estimate_ms as f64).ln(),
            variance: of_progress * of_progress + of_time * of_time,
            ended: to.1 == 100,
            change,
        })
    }

    /// Time that it will still take at its present speed, by the worker's clock;
    /// `None` without a usable reading of its progress.
    pub(crate) fn remaining_ms(&self) -> Option<u64> {
        let ratio = self.latest_ratio.filter(|_| !self.unusable)?;
        let (_, percent) = self.last?;
        let total_ms = self.estimate_ms as f64 * ratio.exp();
        Some((total_ms * f64::from(100 - percent.min(100)) / 100.0) as u64)
    }
}
