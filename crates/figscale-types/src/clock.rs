//! The clock, passed in as an interface.
//!
//! Decisions never read a clock: they are given an [`time::Instant`]. Adapters
//! read one through [`Clock`], so that a test can hold time still. The
//! monotonic clock decides everything on one process; the wall clock is only
//! for request ids and for what people read.

use std::sync;
use std::time;

use crate::mutex;

/// Whole milliseconds of a time, as messages and settings have them; the
/// largest number for one that is too long.
pub fn millis(time: time::Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Source of monotonic and wall-clock time.
pub trait Clock: Send + Sync {
    /// Monotonic time; goes on while the process is stopped.
    fn now(&self) -> time::Instant;

    /// Wall-clock time; may jump.
    fn wall(&self) -> time::SystemTime;

    /// Time since the machine started. Unlike [`Clock::now`] it goes on while the
    /// machine is suspended, so the age of what was learnt before is told by it.
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

    /// Falls back on the time of day where the kernel has no such clock; it goes on
    /// while the machine is suspended as well.
    fn since_boot(&self) -> time::Duration {
        let read = nix::time::clock_gettime(nix::time::ClockId::CLOCK_BOOTTIME);
        let since_epoch = || self.wall().duration_since(time::UNIX_EPOCH);
        read.map_or_else(|_| since_epoch().unwrap_or_default(), time::Duration::from)
    }
}

/// A clock that moves only when told to, for tests.
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
