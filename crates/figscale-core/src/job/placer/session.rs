//! What a placer knows of a worker.

use std::time;

use figscale_types::clock;
use figscale_types::ids;
use figscale_types::instances;
use figscale_types::worker;
use indexmap::IndexSet;

/// A reading of a worker's clock and when the answer with it arrived.
#[derive(Clone, Copy, Debug)]
struct Reading {
    clock: worker::WorkerClock,
    answered_at: time::Instant,
}

/// A worker of a held shard.
#[derive(Clone, Debug)]
pub(super) struct Session {
    pub(super) shard: ids::ShardId,
    pub(super) address: std::net::SocketAddr,
    pub(super) listed: bool,
    pub(super) leaving: bool,
    /// Whether the worker has seen a later holder of the shard.
    pub(super) fenced: bool,
    /// Latest clock reading; set once it has answered under the shard's epoch.
    reading: Option<Reading>,
    /// When the renewal in flight was sent.
    pub(super) in_flight_since: Option<time::Instant>,
    /// When the last renewal was sent.
    pub(super) sent_at: Option<time::Instant>,
    /// When its last report arrived.
    pub(super) last_report_at: time::Instant,
    /// Whether a task has succeeded or run for long enough on it since one failed.
    pub(super) proven: bool,
    /// Whether a report is needed before the next regular renewal.
    pub(super) report_wanted: bool,
    /// Ended tasks that the worker may drop.
    pub(super) forget: IndexSet<ids::TaskId>,
}

impl Session {
    /// Creates the state of a worker that has not answered yet.
    pub(super) fn new(
        now: time::Instant,
        shard: ids::ShardId,
        instance: &instances::Instance,
    ) -> Self {
        Self {
            shard,
            address: instance.address,
            listed: true,
            leaving: instance.life == instances::Life::Leaving,
            fenced: false,
            reading: None,
            in_flight_since: None,
            sent_at: None,
            last_report_at: now,
            proven: false,
            report_wanted: true,
            forget: IndexSet::new(),
        }
    }

    /// Updates it from the list of workers; once leaving, it stays so.
    pub(super) fn update_listing(&mut self, instance: &instances::Instance) {
        self.listed = true;
        self.address = instance.address;
        self.leaving |= instance.life == instances::Life::Leaving;
    }

    /// Whether it has answered under the shard's epoch.
    pub(super) fn has_reported(&self) -> bool {
        self.reading.is_some()
    }

    /// Whether it may get new tasks; not if its last report is `max_contact_age` old.
    pub(super) fn takes_work(&self, now: time::Instant, max_contact_age: time::Duration) -> bool {
        self.has_reported()
            && self.listed
            && !self.leaving
            && !self.fenced
            && now.saturating_duration_since(self.last_report_at) < max_contact_age
    }

    /// Records a reading; returns `false` if it is older than the latest one.
    pub(super) fn record_clock(&mut self, now: time::Instant, clock: worker::WorkerClock) -> bool {
        if let Some(known) = self.reading
            && known.clock.life == clock.life
            && known.clock.elapsed_ms > clock.elapsed_ms
        {
            return false;
        }
        self.reading = Some(Reading {
            clock,
            answered_at: now,
        });
        true
    }

    /// The incarnation that last answered.
    pub(super) fn incarnation(&self) -> Option<u64> {
        self.reading.map(|reading| reading.clock.life)
    }

    /// The time on the worker's clock at `bound`, or slightly earlier.
    ///
    /// The reading was taken before its answer arrived, so extrapolating from
    /// the arrival gives a time that is too early rather than too late.
    pub(super) fn clock_at(&self, bound: time::Instant) -> Option<worker::WorkerClock> {
        let reading = self.reading?;
        let ahead = bound.saturating_duration_since(reading.answered_at);
        let ahead_ms = clock::millis(ahead);
        Some(worker::WorkerClock {
            life: reading.clock.life,
            elapsed_ms: reading.clock.elapsed_ms.saturating_add(ahead_ms),
        })
    }
}
