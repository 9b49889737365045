//! The simulated cell: sizes, classes of requests, policies and faults.

use std::time;

use figscale_types::catalogue::Urgency;

pub(crate) const ENTRIES: usize = 8;
pub(crate) const RUNNERS: usize = 50;
pub(crate) const SHARDS: usize = 16;
pub(crate) const SLOTS: u32 = 8;
pub(crate) const HOP_LATENCY: time::Duration = time::Duration::from_micros(1_500);
pub(crate) const PUSH_INTERVAL: time::Duration = time::Duration::from_millis(20);
pub(crate) const RECHECK_INTERVAL: time::Duration = time::Duration::from_millis(20);
pub(crate) const REPORT_INTERVAL: time::Duration = time::Duration::from_millis(500);
pub(crate) const DURATION_S: u64 = 60;
/// Relative rates of arrivals, by entry instance.
pub(crate) const ARRIVAL_SHARES: [f64; ENTRIES] = [8.0, 4.0, 2.0, 2.0, 1.0, 1.0, 1.0, 1.0];
/// Time from the death of a holder until other instances acquire its shards.
pub(crate) const TAKEOVER_DELAY: time::Duration = time::Duration::from_millis(6_500);

/// Classes of requests: share of the arrivals, mean run time, time until the
/// deadline, urgency.
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
    /// The decisions of `figscale_core::request`.
    Shared,
    /// Like [`Policy::Shared`], but a request stays in the first queue that it joins.
    Staying,
    /// The baseline: random choice under a fixed limit.
    Fixed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    SlowRunner,
    FailingRunner,
    KilledEntry,
}
