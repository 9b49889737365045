//! Settings of placement that an operator can change.

use figscale_types::catalogue;

/// Largest share of the capacity that best-effort work may not use.
const MAX_BEST_EFFORT_HEADROOM: f64 = 0.2;

/// Settings of placement.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Config {
    /// Weight of short waiting times against dense packing, from the catalogue.
    pub weights: catalogue::Weights,
}

impl Config {
    /// Share of the capacity that best-effort work must leave free.
    pub fn best_effort_headroom(&self) -> f64 {
        let sum = self.weights.waiting + self.weights.packing;
        if sum <= 0.0 {
            return 0.0;
        }
        MAX_BEST_EFFORT_HEADROOM * (self.weights.waiting / sum)
    }
}
