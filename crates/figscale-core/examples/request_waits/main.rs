//! Compares waits of requests under the decisions of `figscale_core::request`
//! with random choice under a fixed limit, in virtual time.
//!
//! Eight entry instances hold 50 runners of 8 slots, in 16 shards. Requests
//! arrive by Poisson processes, unevenly over the entry instances, and run for
//! exponentially distributed times. A message takes 1.5 ms one way. The figures
//! depend only on the seed, not on the machine.
//!
//! In the baseline every entry instance has one slot of each runner (8 slots, 8
//! entry instances), which also guarantees that no runner has more requests than
//! slots. It chooses one of its free slots at random and queues requests in order
//! of arrival.
//!
//! `cargo run --release -p figscale-core --example request_waits -- [SEED]`

mod faults;
mod serve;
mod setting;
mod simulation;

use std::env;

fn quantile_ms(waits: &mut [u64], quantile: f64) -> f64 {
    if waits.is_empty() {
        return f64::NAN;
    }
    waits.sort_unstable();
    let index = ((waits.len() - 1) as f64 * quantile).round() as usize;
    waits[index] as f64 / 1_000.0
}

fn print_row(policy: setting::Policy, fault: setting::Fault, load: f64, seed: u64) {
    let mut outcome = simulation::Simulation::new(policy, fault, load, seed).run();
    let slot_s = setting::DURATION_S as f64 * setting::RUNNERS as f64 * f64::from(setting::SLOTS);
    let used = outcome.busy_s / slot_s;
    print!("| {load} | {fault:?} | {policy:?} |");
    for class in 0..setting::CLASSES.len() {
        let waits = &mut outcome.waits_us[class];
        print!(
            " {:.1} / {:.1} |",
            quantile_ms(waits, 0.5),
            quantile_ms(waits, 0.99)
        );
    }
    let share = |counts: [u64; 3]| {
        let arrived_by_class: u64 = outcome.arrived_by_class.iter().sum();
        counts.iter().sum::<u64>() as f64 / arrived_by_class as f64 * 100.0
    };
    let interactive = outcome.refused[0] as f64 / outcome.arrived_by_class[0] as f64 * 100.0;
    println!(
        " {:.1} ({interactive:.1}) | {:.2} | {:.3} | {} |",
        share(outcome.refused),
        share(outcome.failed),
        used,
        outcome.max_at_runner
    );
}

fn main() {
    let seed = env::args()
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(1);
    println!("seed {seed}, {} s of virtual time", setting::DURATION_S);
    println!(
        "| load | fault | policy | interactive p50 / p99 ms | deadline | best-effort \
         | refused % (interactive) | failed % | slots used | most at a runner |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let policies = [
        setting::Policy::Fixed,
        setting::Policy::Staying,
        setting::Policy::Shared,
    ];
    for load in [0.5, 0.8, 0.95, 1.5] {
        for policy in policies {
            print_row(policy, setting::Fault::None, load, seed);
        }
    }
    for fault in [
        setting::Fault::SlowRunner,
        setting::Fault::FailingRunner,
        setting::Fault::KilledEntry,
    ] {
        for policy in policies {
            print_row(policy, fault, 0.8, seed);
        }
    }
}
