//! What an operator may set of placement.

use figscale_types::catalogue;

/// Largest share of the capacity kept from best-effort work.
const MAX_KEPT_SHARE: f64 = 0.2;

/// What placement weighs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Config {
    /// Waiting against packing, from the catalogue.
    pub weights: catalogue::Weights,
}

impl Config {
    /// Share of the capacity that best-effort work leaves free.
    pub fn kept_share(&self) -> f64 {
        let sum = self.weights.waiting + self.weights.packing;
        if sum <= 0.0 {
            return 0.0;
        }
        MAX_KEPT_SHARE * (self.weights.waiting / sum)
    }
}
