//! When the record of speeds has to be written.

use std::time;

use super::Speeds;

/// Shortest time between two versions of the record. A new leader learns anew within
/// seconds what the last one did not write.
const INTERVAL: time::Duration = time::Duration::from_secs(5);

/// State of the record in the store.
#[derive(Clone, Debug, Default)]
pub(crate) struct SpeedsRecord {
    /// What the record in the store holds.
    stored: Speeds,
    /// What is to be written.
    due: Option<Speeds>,
    in_flight: bool,
    checked_at: Option<time::Instant>,
}

impl SpeedsRecord {
    /// Records what an earlier leader wrote.
    pub(super) fn loaded(&mut self, speeds: Speeds) {
        self.stored = speeds;
    }

    /// Notes that the record has to be written if it differs from what is known now.
    pub(crate) fn check(&mut self, known: impl FnOnce() -> Speeds, now: time::Instant) {
        let age = |at| now.saturating_duration_since(at);
        if self.in_flight || self.checked_at.is_some_and(|at| age(at) < INTERVAL) {
            return;
        }
        self.checked_at = Some(now);
        let known = known();
        self.due = (known != self.stored).then_some(known);
    }

    /// Whether there is something to write.
    pub(crate) fn is_due(&self) -> bool {
        self.due.is_some()
    }

    /// Takes what is to be written.
    pub(crate) fn take(&mut self) -> Option<Speeds> {
        let due = self.due.take()?;
        self.in_flight = true;
        Some(due)
    }

    /// Records that this is in the store.
    pub(crate) fn written(&mut self, speeds: Speeds) {
        self.stored = speeds;
        self.in_flight = false;
    }

    /// Records that the write failed. What is known by then is written later.
    pub(crate) fn not_written(&mut self) {
        self.in_flight = false;
    }
}
