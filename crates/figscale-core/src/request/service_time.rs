//! Measured service times, and the pace at which a queue moves.
//!
//! An exponentially weighted mean of the time from dispatch to the end of the
//! answer, for each catalogue entry and for each service. It answers one
//! question: is there any point in letting a request wait? A mean is enough for
//! that and costs two numbers a key; it trades away the tail, so a request that
//! is let in may still run out of time.

use std::time;

use figscale_types::ids;
use indexmap::IndexMap;

/// Weight of a new sample.
const WEIGHT: f64 = 0.1;
/// Most entries remembered; the catalogue bounds them in practice.
const MAX_ENTRIES: usize = 10_000;

/// Means by entry and by service.
#[derive(Clone, Debug, Default)]
pub struct ServiceTimes {
    by_entry: IndexMap<ids::EntryName, f64>,
    by_service: IndexMap<ids::ServiceName, f64>,
}

impl ServiceTimes {
    /// Takes in the run time of one request that ran to its end.
    pub fn add(&mut self, service: &ids::ServiceName, entry: &ids::EntryName, ran: time::Duration) {
        let secs = ran.as_secs_f64();
        if self.by_entry.len() < MAX_ENTRIES || self.by_entry.contains_key(entry) {
            blend(self.by_entry.entry(entry.clone()).or_insert(secs), secs);
        }
        blend(self.by_service.entry(service.clone()).or_insert(secs), secs);
    }

    /// Mean run time of an entry; zero while nothing is known.
    pub fn of_entry(&self, entry: &ids::EntryName) -> time::Duration {
        seconds(self.by_entry.get(entry))
    }

    /// Mean run time over all entries of a service; zero while nothing is known.
    pub fn of_service(&self, service: &ids::ServiceName) -> time::Duration {
        seconds(self.by_service.get(service))
    }
}

fn blend(mean: &mut f64, sample: f64) {
    *mean += (sample - *mean) * WEIGHT;
}

fn seconds(mean: Option<&f64>) -> time::Duration {
    time::Duration::from_secs_f64(mean.copied().unwrap_or(0.0))
}

/// How fast the requests of one urgency leave a queue.
///
/// The mean time between two grants while somebody waits. It already contains
/// what more urgent requests take away, which the mean run time does not.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    gap: Option<f64>,
    last: Option<time::Instant>,
}

impl Pace {
    /// Notes a grant; `waiting` is how many are left.
    pub fn granted(&mut self, waiting: usize, now: time::Instant) {
        if let Some(last) = self.last {
            let gap = now.saturating_duration_since(last).as_secs_f64();
            blend(self.gap.get_or_insert(gap), gap);
        }
        self.last = (waiting > 0).then_some(now);
    }

    /// Notes that somebody waits.
    pub fn waits(&mut self, now: time::Instant) {
        self.last.get_or_insert(now);
    }

    /// Time until a request with so many before it is granted a slot.
    pub fn expect(&self, ahead: usize, now: time::Instant) -> time::Duration {
        let stalled = self.last.map(|last| now.saturating_duration_since(last));
        let gap = seconds(self.gap.as_ref()).max(stalled.unwrap_or_default());
        gap.mul_f64(ahead as f64)
    }
}
