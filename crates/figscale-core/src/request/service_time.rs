//! Measured service times.
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
        if self.by_entry.len() < MAX_ENTRIES {
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
