//! Measured service times, and the time between grants of a queue.
//!
//! Keeps an exponentially weighted mean of the time from dispatch to the end of
//! the response, for each catalogue entry and each service. It is used to decide
//! whether a request that has to wait can still meet its deadline. A mean is
//! sufficient for that and costs one number per key. It ignores the tail of the
//! distribution, so an admitted request may still miss its deadline.

use std::time;

use figscale_types::ids;
use indexmap::IndexMap;

/// Weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Maximum number of entries with a mean; in practice the catalogue bounds them.
const MAX_ENTRIES: usize = 10_000;

/// Mean run times by entry and by service.
#[derive(Clone, Debug, Default)]
pub struct ServiceTimes {
    by_entry: IndexMap<ids::EntryName, f64>,
    by_service: IndexMap<ids::ServiceName, f64>,
}

impl ServiceTimes {
    /// Adds the run time of one request that ran to completion.
    pub fn add(&mut self, service: &ids::ServiceName, entry: &ids::EntryName, ran: time::Duration) {
        let secs = ran.as_secs_f64();
        if self.by_entry.len() < MAX_ENTRIES || self.by_entry.contains_key(entry) {
            update_mean(self.by_entry.entry(entry.clone()).or_insert(secs), secs);
        }
        update_mean(self.by_service.entry(service.clone()).or_insert(secs), secs);
    }

    /// Mean run time of an entry; zero before the first sample.
    pub fn of_entry(&self, entry: &ids::EntryName) -> time::Duration {
        seconds(self.by_entry.get(entry))
    }

    /// Mean run time over all entries of a service; zero before the first sample.
    pub fn of_service(&self, service: &ids::ServiceName) -> time::Duration {
        seconds(self.by_service.get(service))
    }
}

fn update_mean(mean: &mut f64, sample: f64) {
    *mean += (sample - *mean) * SAMPLE_WEIGHT;
}

fn seconds(mean: Option<&f64>) -> time::Duration {
    time::Duration::from_secs_f64(mean.copied().unwrap_or(0.0))
}

/// Mean time between two grants to one urgency while requests wait.
///
/// Unlike the mean run time, it accounts for the slots that more urgent requests
/// take.
#[derive(Clone, Copy, Debug, Default)]
pub struct GrantInterval {
    mean_s: Option<f64>,
    waiting_since: Option<time::Instant>,
}

impl GrantInterval {
    /// Records a grant; `waiting` is the number of requests that still wait.
    pub fn record_grant(&mut self, waiting: usize, now: time::Instant) {
        if let Some(waiting_since) = self.waiting_since {
            let mean_s = now.saturating_duration_since(waiting_since).as_secs_f64();
            update_mean(self.mean_s.get_or_insert(mean_s), mean_s);
        }
        self.waiting_since = (waiting > 0).then_some(now);
    }

    /// Records that a request waits.
    pub fn record_waiting(&mut self, now: time::Instant) {
        self.waiting_since.get_or_insert(now);
    }

    /// Expected time until a request with `ahead` requests before it is granted a
    /// slot. The time since the last grant counts if it is longer than the mean.
    pub fn expected_wait(&self, ahead: usize, now: time::Instant) -> time::Duration {
        let stalled = self
            .waiting_since
            .map(|waiting_since| now.saturating_duration_since(waiting_since));
        let mean_s = seconds(self.mean_s.as_ref()).max(stalled.unwrap_or_default());
        mean_s.mul_f64(ahead as f64)
    }
}
