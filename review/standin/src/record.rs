//! The record of a run: what was sent, answered and run, in order of time.

use std::fs;
use std::io::Write as _;
use std::path;
use std::sync;
use std::time;

/// A shared record, written to a file as it grows.
#[derive(Clone)]
pub struct Record {
    begun: time::Instant,
    file: sync::Arc<sync::Mutex<fs::File>>,
}

impl Record {
    pub fn create(path: &path::Path) -> std::io::Result<Self> {
        Ok(Self {
            begun: time::Instant::now(),
            file: sync::Arc::new(sync::Mutex::new(fs::File::create(path)?)),
        })
    }

    /// Milliseconds since the record began.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.begun.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    pub fn line(&self, text: impl std::fmt::Display) {
        let now = self.now_ms();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{now:>7} {text}");
    }
}
