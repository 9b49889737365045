//! Samples the health of the local machine: whether it has become slow.

use std::hint;
use std::sync;
use std::time;

use figscale_core::fleet;
use figscale_types::mutex;

use super::Context;
use crate::events;

/// Steps of the timed computation; 4 us of a core.
const STEPS: u64 = 3_000;
/// Steps before the timed ones, so that an idle CPU leaves its power-saving state.
const WARM_UP_STEPS: u64 = 1_000;

/// The samples of this instance, shared between tasks.
pub(crate) type Shared = sync::Arc<sync::Mutex<fleet::MachineHealth>>;

/// Starts the sampling task.
pub(super) fn start(context: &Context) {
    tokio::spawn(sample_periodically(context.clone()));
}

/// CPU capacity with which this instance could lead now, in thousandths of a core:
/// its configured share, less on a machine that has become slow.
pub(super) fn cpu_millis(context: &Context) -> u64 {
    mutex::lock(&context.machine_health).capacity_left(context.fleet.cpu_millis())
}

/// The lag because of which this instance should hand over leadership, if another
/// instance can take it.
pub(super) fn handover_lag(context: &Context) -> Option<fleet::HandoverLag> {
    mutex::lock(&context.machine_health).handover_lag(context.clock.now())
}

async fn sample_periodically(context: Context) {
    loop {
        let begun = context.clock.now();
        tokio::time::sleep(fleet::SAMPLE_INTERVAL).await;
        let woken = context.clock.now();
        let late = woken.saturating_duration_since(begun + fleet::SAMPLE_INTERVAL);
        compute(WARM_UP_STEPS);
        let computing = context.clock.now();
        compute(STEPS);
        let now = context.clock.now();
        let took = now.saturating_duration_since(computing);
        let change = mutex::lock(&context.machine_health).add_sample(late, took, now);
        if let Some(change) = change {
            log_change(change, late, took);
        }
    }
}

fn log_change(change: fleet::MachineHealthChange, late: time::Duration, took: time::Duration) {
    match change {
        fleet::MachineHealthChange::Slow(times) => crate::event!(
            events::fleet::INSTANCE_SLOW,
            times = times,
            took_us = took.as_micros(),
            late_us = late.as_micros()
        ),
        fleet::MachineHealthChange::Normal(after) => crate::event!(
            events::fleet::INSTANCE_WELL,
            slow_ms = after.as_millis(),
            took_us = took.as_micros()
        ),
    }
}

/// A chain of dependent multiplications, which the CPU cannot run in parallel.
fn compute(steps: u64) {
    const FACTOR: u64 = 6_364_136_223_846_793_005;
    let mut value = 1_u64;
    for step in 0..steps {
        value = hint::black_box(value.wrapping_mul(FACTOR).wrapping_add(step));
    }
}
