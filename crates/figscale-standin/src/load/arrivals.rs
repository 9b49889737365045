//! When requests arrive, and which: the same for the same seed.

use std::time;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs;

use super::Config;

/// A request to come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Time from the beginning.
    pub at: time::Duration,
    /// Number of its class.
    pub class: usize,
    /// Number of its entry instance.
    pub target: usize,
    /// Run time that it asks for, in whole milliseconds.
    pub run_ms: u64,
    /// Makes its body unlike every other.
    pub nonce: u64,
}

/// The arrivals of a load, in order.
pub fn arrivals(config: &Config) -> impl Iterator<Item = Arrival> {
    let mut random = rngs::StdRng::seed_from_u64(config.seed);
    let classes: Vec<f64> = config.classes.iter().map(|class| class.weight).collect();
    let targets: Vec<f64> = config.targets.iter().map(|target| target.weight).collect();
    let means: Vec<f64> = config.classes.iter().map(|c| c.mean_run_ms).collect();
    let mean_gap_s = 1.0 / config.rate_per_s;
    let end = config.duration;
    let mut at = time::Duration::ZERO;
    std::iter::from_fn(move || {
        at += time::Duration::from_secs_f64(exponential(&mut random, mean_gap_s));
        let class = pick(&mut random, &classes)?;
        let target = pick(&mut random, &targets)?;
        let run_ms = exponential(&mut random, means[class]).round() as u64;
        let nonce = random.random();
        let arrival = Arrival {
            at,
            class,
            target,
            run_ms,
            nonce,
        };
        (at < end).then_some(arrival)
    })
}

fn exponential(random: &mut rngs::StdRng, mean: f64) -> f64 {
    let chance: f64 = random.random();
    -mean * (1.0 - chance).ln()
}

/// An index with a chance by its weight; `None` when there is none to pick.
fn pick(random: &mut rngs::StdRng, weights: &[f64]) -> Option<usize> {
    let total: f64 = weights.iter().sum();
    let mut left = random.random::<f64>() * total;
    for (index, weight) in weights.iter().enumerate() {
        left -= weight;
        if left < 0.0 {
            return Some(index);
        }
    }
    weights.len().checked_sub(1)
}
