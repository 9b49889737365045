//! Time that passed while the machine let this process run.
//!
//! A bound on real time says something about entry instances only while they
//! get a processor when they want one. A thread that wakes every 5 ms sees by
//! how much it is woken late; a test on the same machine is held up in the same
//! way, at every message. That lateness is not counted. On a quiet machine none
//! is seen, so the bounds are as sharp there as on a clock.

use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

const BETWEEN_LOOKS: time::Duration = time::Duration::from_millis(5);
/// Lateness of a timer on a quiet machine.
const USUAL_LATENESS: time::Duration = time::Duration::from_millis(1);

/// A clock that stands still while the machine is busy with others.
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
                let late = look();
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

/// Microseconds by which a wake-up came late.
fn look() -> u64 {
    let begun = time::Instant::now();
    thread::sleep(BETWEEN_LOOKS);
    let late = begun
        .elapsed()
        .saturating_sub(BETWEEN_LOOKS + USUAL_LATENESS);
    u64::try_from(late.as_micros()).unwrap_or(u64::MAX)
}
