//! Measures placement decisions and compares them with baselines.
//!
//! `placement_bench speed [SEED]` times single decisions and whole passes at
//! 50, 200 and 930 workers. `placement_bench policy [SEED...]` runs the mix of
//! each user through an event loop in virtual time and prints waits by urgency,
//! packing, missed deadlines and lost work. The loop models neither the network
//! nor failures, so it is not a simulator of a cell.
//!
//! The figures of the loop depend only on the seed. Times of `speed` are
//! wall-clock times of a machine that may be busy, so counts of examined workers
//! and of scans are printed with them.

mod baseline;
mod drive;
mod mix;
mod speed;
mod stats;

use std::env;

/// Seeds that no constant was tuned with.
const FRESH_SEEDS: [u64; 3] = [101, 102, 103];

fn main() {
    let mut words = env::args().skip(1);
    let command = words.next().unwrap_or_default();
    let seeds: Vec<u64> = words.filter_map(|word| word.parse().ok()).collect();
    match command.as_str() {
        "speed" => speed::run(seeds.first().copied().unwrap_or(FRESH_SEEDS[0])),
        "policy" if seeds.is_empty() => drive::run(&FRESH_SEEDS),
        "policy" => drive::run(&seeds),
        _ => eprintln!("usage: placement_bench speed [SEED] | policy [SEED...]"),
    }
}
