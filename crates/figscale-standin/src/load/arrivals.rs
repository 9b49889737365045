//! The arrival times and parameters of requests, determined by the seed.

use std::time;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs;

use super::Config;

/// A scheduled request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Time since the start of the load.
    pub at: time::Duration,
    /// Index of its class.
    pub class: usize,
    /// Index of its entry instance.
    pub target: usize,
    /// Requested run time.
    pub run_ms: u64,
    /// Makes its body unique.
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
    let uniform: f64 = random.random();
    -mean * (1.0 - uniform).ln()
}

/// Chooses an index with a probability proportional to its weight; `None` if there
/// are no weights.
fn pick(random: &mut rngs::StdRng, weights: &[f64]) -> Option<usize> {
    let total: f64 = weights.iter().sum();
    let mut remaining = random.random::<f64>() * total;
    for (index, weight) in weights.iter().enumerate() {
        remaining -= weight;
        if remaining < 0.0 {
            return Some(index);
        }
    }
    weights.len().checked_sub(1)
}
