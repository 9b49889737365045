//! A histogram of logarithms that forgets.

use std::time;

const LOWEST: f64 = -3.0;
const WIDTH: f64 = 0.04;
/// From a twentieth to 20 times.
const BINS: usize = 150;
/// Above this the weights are scaled down.
const MAX_SCALE: f64 = 1e9;

/// Weighted values in bins. Their weight halves with each half-life.
#[derive(Clone, Debug)]
pub(super) struct Histogram {
    half_life: time::Duration,
    /// Weight of a new value; it grows, in place of the others' shrinking.
    scale: f64,
    scaled_at: Option<time::Instant>,
    total: f64,
    bins: Vec<f64>,
}

impl Histogram {
    pub(super) fn new(half_life: time::Duration) -> Self {
        Self {
            half_life,
            scale: 1.0,
            scaled_at: None,
            total: 0.0,
            bins: vec![0.0; BINS],
        }
    }

    pub(super) fn add(&mut self, value: f64, weight: f64, now: time::Instant) {
        let passed = self
            .scaled_at
            .map_or(time::Duration::ZERO, |at| now.saturating_duration_since(at));
        self.scaled_at = Some(now);
        self.scale *= (passed.as_secs_f64() / self.half_life.as_secs_f64()).exp2();
        if self.scale > MAX_SCALE {
            let scale = self.scale;
            self.bins.iter_mut().for_each(|bin| *bin /= scale);
            self.total /= scale;
            self.scale = 1.0;
        }
        let bin = ((value - LOWEST) / WIDTH).clamp(0.0, (BINS - 1) as f64);
        self.bins[bin as usize] += weight * self.scale;
        self.total += weight * self.scale;
    }

    /// Sum of the weights, as of the last value.
    pub(super) fn weight(&self) -> f64 {
        self.total / self.scale
    }

    /// The value that this share of the weight does not exceed.
    pub(super) fn quantile(&self, share: f64) -> f64 {
        let mut left = self.total * share;
        for (bin, weight) in self.bins.iter().enumerate() {
            if *weight >= left && *weight > 0.0 {
                return LOWEST + WIDTH * (bin as f64 + left / weight);
            }
            left -= weight;
        }
        0.0
    }

    /// Half the width of the middle two thirds, which is the standard deviation of
    /// normally distributed values; outliers do not count.
    pub(super) fn deviation(&self) -> f64 {
        (self.quantile(0.84) - self.quantile(0.16)) / 2.0
    }
}
