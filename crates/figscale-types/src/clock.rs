//! The clock, passed in as an interface.
//!
//! Code that makes decisions never reads a clock; it is given a
//! [`time::Instant`]. Adapters read the time through [`Clock`], so that tests can
//! control it. All decisions within a process use the monotonic clock; the wall
//! clock is used only for request ids and for output that people read.

use std::sync;
use std::time;

use crate::mutex;

/// Whole milliseconds of a duration, the unit of messages and settings; saturates
/// at the largest value.
pub fn millis(time: time::Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Source of monotonic and wall-clock time.
pub trait Clock: Send + Sync {
    /// Monotonic time; advances while the process is stopped.
    fn now(&self) -> time::Instant;

    /// Wall-clock time; may jump.
    fn wall(&self) -> time::SystemTime;

    /// Time since the machine started. Unlike [`Clock::now`] it also advances while
    /// the machine is suspended, so it gives the age of information that was
    /// received before a suspension.
    fn since_boot(&self) -> time::Duration;
}

/// A clock shared by the services of a process.
pub type SharedClock = sync::Arc<dyn Clock>;

/// The operating system's clocks.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> time::Instant {
        time::Instant::now()
    }

    fn wall(&self) -> time::SystemTime {
        time::SystemTime::now()
    }

    /// Falls back to wall-clock time, which also advances while the machine is
    /// suspended, where the kernel has no such clock.
    fn since_boot(&self) -> time::Duration {
        let read = nix::time::clock_gettime(nix::time::ClockId::CLOCK_BOOTTIME);
        let since_epoch = || self.wall().duration_since(time::UNIX_EPOCH);
        read.map_or_else(|_| since_epoch().unwrap_or_default(), time::Duration::from)
    }
}

/// A clock that advances only by [`ManualClock::advance`], for tests.
#[derive(Debug)]
pub struct ManualClock {
    start: time::Instant,
    elapsed: sync::Mutex<time::Duration>,
}

impl Default for ManualClock {
    fn default() -> Self {
        Self {
            start: time::Instant::now(),
            elapsed: sync::Mutex::default(),
        }
    }
}

impl ManualClock {
    /// Moves the clock forward.
    pub fn advance(&self, by: time::Duration) {
        *self.elapsed() += by;
    }

    fn elapsed(&self) -> sync::MutexGuard<'_, time::Duration> {
        mutex::lock(&self.elapsed)
    }
}

impl Clock for ManualClock {
    fn now(&self) -> time::Instant {
        self.start + *self.elapsed()
    }

    fn wall(&self) -> time::SystemTime {
        time::SystemTime::UNIX_EPOCH + *self.elapsed()
    }

    fn since_boot(&self) -> time::Duration {
        *self.elapsed()
    }
}
