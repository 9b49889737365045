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
}
