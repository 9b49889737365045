//! Measures elapsed time without the delays of a busy machine.
//!
//! A bound on wall-clock time says something about entry instances only while they
//! get CPU time when they need it. A thread that wakes every 5 ms measures by how much
//! it is woken late; a test on the same machine is delayed in the same way at every
//! message. That lateness is subtracted. On an idle machine there is none, so the
//! bounds are as strict as with a wall clock.

use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

const SAMPLE_INTERVAL: time::Duration = time::Duration::from_millis(5);
/// Lateness of a timer on an idle machine.
const USUAL_LATENESS: time::Duration = time::Duration::from_millis(1);

/// A stopwatch that excludes the time for which wake-ups are late.
pub(crate) struct Stopwatch {
    begun: time::Instant,
    late_us: sync::Arc<atomic::AtomicU64>,
    ended: sync::Arc<atomic::AtomicBool>,
}

impl Stopwatch {
    pub(crate) fn start() -> Self {
        let stopwatch = Self {
            begun: time::Instant::now(),
            late_us: sync::Arc::default(),
            ended: sync::Arc::default(),
        };
        let late_us = stopwatch.late_us.clone();
        let ended = stopwatch.ended.clone();
        thread::spawn(move || {
            while !ended.load(atomic::Ordering::Relaxed) {
                let late = measure_lateness();
                late_us.fetch_add(late, atomic::Ordering::Relaxed);
            }
        });
        stopwatch
    }

    pub(crate) fn elapsed(&self) -> time::Duration {
        let late = self.late_us.load(atomic::Ordering::Relaxed);
        let passed = self.begun.elapsed();
        passed.saturating_sub(time::Duration::from_micros(late))
    }
}

impl Drop for Stopwatch {
    fn drop(&mut self) {
        self.ended.store(true, atomic::Ordering::Relaxed);
    }
}

/// Sleeps once, and returns by how many microseconds the wake-up was late.
fn measure_lateness() -> u64 {
    let begun = time::Instant::now();
    thread::sleep(SAMPLE_INTERVAL);
    let late = begun
        .elapsed()
        .saturating_sub(SAMPLE_INTERVAL + USUAL_LATENESS);
    u64::try_from(late.as_micros()).unwrap_or(u64::MAX)
}
