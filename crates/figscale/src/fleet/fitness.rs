//! Measures whether this instance's machine has turned slow.

use std::hint;
use std::sync;
use std::time;

use figscale_core::fleet;
use figscale_types::mutex;

use super::Context;
use crate::events;

/// Steps of the piece of computing that is timed; 4 us of a core.
const STEPS: u64 = 3_000;
/// Steps before it, so that a processor which was idle is awake.
const WARM_UP_STEPS: u64 = 1_000;

/// What this instance measures of itself.
pub(crate) type Shared = sync::Arc<sync::Mutex<fleet::Fitness>>;

/// Starts to measure.
pub(super) fn start(context: &Context) {
    tokio::spawn(beat(context.clone()));
}

/// Processor with which this instance could lead now, in thousandths of a core.
pub(super) fn cpu_millis(context: &Context) -> u64 {
    mutex::lock(&context.fitness).left_of(context.fleet.cpu_millis())
}

/// The lag for which this instance should not lead on, if another can.
pub(super) fn lasting_lag(context: &Context) -> Option<fleet::Lag> {
    mutex::lock(&context.fitness).lasting_lag(context.clock.now())
}

async fn beat(context: Context) {
    loop {
        let begun = context.clock.now();
        tokio::time::sleep(fleet::BEAT).await;
        let woken = context.clock.now();
        let late = woken.saturating_duration_since(begun + fleet::BEAT);
        compute(WARM_UP_STEPS);
        let computing = context.clock.now();
        compute(STEPS);
        let now = context.clock.now();
        let took = now.saturating_duration_since(computing);
        let turn = mutex::lock(&context.fitness).beat(late, took, now);
        if let Some(turn) = turn {
            log(turn, late, took);
        }
    }
}

fn log(turn: fleet::Turn, late: time::Duration, took: time::Duration) {
    match turn {
        fleet::Turn::Slow(times) => crate::event!(
            events::fleet::INSTANCE_SLOW,
            times = times,
            took_us = took.as_micros(),
            late_us = late.as_micros()
        ),
        fleet::Turn::Well(after) => crate::event!(
            events::fleet::INSTANCE_WELL,
            slow_ms = after.as_millis(),
            took_us = took.as_micros()
        ),
    }
}

/// A chain of multiplications, each of which waits for the one before.
fn compute(steps: u64) {
    const FACTOR: u64 = 6_364_136_223_846_793_005;
    let mut value = 1_u64;
    for step in 0..steps {
        value = hint::black_box(value.wrapping_mul(FACTOR).wrapping_add(step));
    }
}
