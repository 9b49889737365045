//! A worker as its placer sees it.

use std::time;

use figscale_types::clock;
use figscale_types::ids;
use figscale_types::instances;
use figscale_types::worker;
use indexmap::IndexSet;

/// A reading of a worker's clock and when its answer arrived.
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
    /// A later holder was seen at the worker.
    pub(super) fenced: bool,
    /// Known since it first answered under the shard's epoch.
    reading: Option<Reading>,
    /// When the renewal in flight was sent.
    pub(super) asked_at: Option<time::Instant>,
    /// When the last renewal was sent.
    pub(super) sent_at: Option<time::Instant>,
    /// When it last answered.
    pub(super) heard_at: time::Instant,
    /// Whether it was seen to keep a task running, or end well, since one failed.
    pub(super) proven: bool,
    /// Whether a report is wanted at once.
    pub(super) hurry: bool,
    /// Ended tasks that the worker may forget.
    pub(super) forget: IndexSet<ids::TaskId>,
}

impl Session {
    /// A worker that has not answered yet.
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
            asked_at: None,
            sent_at: None,
            heard_at: now,
            proven: false,
            hurry: true,
            forget: IndexSet::new(),
        }
    }

    /// Takes over its line of the list; a sign of leaving is kept.
    pub(super) fn list(&mut self, instance: &instances::Instance) {
        self.listed = true;
        self.address = instance.address;
        self.leaving |= instance.life == instances::Life::Leaving;
    }

    /// Whether it has answered under the shard's epoch.
    pub(super) fn has_reported(&self) -> bool {
        self.reading.is_some()
    }

    /// Whether it may get new tasks.
    pub(super) fn takes_work(&self, now: time::Instant, silence: time::Duration) -> bool {
        self.has_reported()
            && self.listed
            && !self.leaving
            && !self.fenced
            && now.saturating_duration_since(self.heard_at) < silence
    }

    /// Notes a reading; `false` when it is older than one already seen.
    pub(super) fn read_clock(&mut self, now: time::Instant, clock: worker::WorkerClock) -> bool {
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

    /// The life that last answered.
    pub(super) fn life(&self) -> Option<u64> {
        self.reading.map(|reading| reading.clock.life)
    }

    /// The worker's clock at `bound`, or a little earlier.
    ///
    /// The reading was made before its answer arrived, so counting from the
    /// arrival errs on the early side.
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
