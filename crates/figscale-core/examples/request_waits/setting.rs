//! The cell that is imagined: sizes, classes of requests, policies, faults.

use std::time;

use figscale_types::catalogue::Urgency;

pub(crate) const ENTRIES: usize = 8;
pub(crate) const RUNNERS: usize = 50;
pub(crate) const SHARDS: usize = 16;
pub(crate) const SLOTS: u32 = 8;
pub(crate) const HOP: time::Duration = time::Duration::from_micros(1_500);
pub(crate) const PUSH: time::Duration = time::Duration::from_millis(20);
pub(crate) const LOOK: time::Duration = time::Duration::from_millis(20);
pub(crate) const REPORT: time::Duration = time::Duration::from_millis(500);
pub(crate) const SECONDS: u64 = 60;
/// Shares of the arrivals, by entry instance.
pub(crate) const UNEVEN: [f64; ENTRIES] = [8.0, 4.0, 2.0, 2.0, 1.0, 1.0, 1.0, 1.0];
/// Time from the death of a holder to the taking of its shards.
pub(crate) const TAKEOVER: time::Duration = time::Duration::from_millis(6_500);

/// Share, mean run, budget, urgency of the classes.
pub(crate) const CLASSES: [Class; 3] = [
    Class::new("interactive", 0.4, 50, 3_000, Urgency::Interactive),
    Class::new("deadline", 0.3, 200, 20_000, Urgency::Deadline),
    Class::new("best-effort", 0.3, 800, 60_000, Urgency::BestEffort),
];

pub(crate) struct Class {
    pub(crate) name: &'static str,
    pub(crate) share: f64,
    pub(crate) mean_ms: u64,
    pub(crate) budget_ms: u64,
    pub(crate) urgency: Urgency,
}

impl Class {
    const fn new(
        name: &'static str,
        share: f64,
        mean_ms: u64,
        budget_ms: u64,
        urgency: Urgency,
    ) -> Self {
        Self {
            name,
            share,
            mean_ms,
            budget_ms,
            urgency,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Policy {
    /// The decisions of this crate.
    Shared,
    /// As [`Policy::Shared`], but a request stays where it first queued.
    Staying,
    /// Random choice with a fixed limit.
    Fixed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    SlowRunner,
    FailingRunner,
    KilledEntry,
}
