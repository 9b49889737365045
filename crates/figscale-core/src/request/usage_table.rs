//! Free slots last reported by the other holders, and the choice among holders.
//!
//! Holders push their slot counts to each other on change, at a bounded rate. A
//! count is out of date when it arrives. Every request that is sent because of it
//! is therefore subtracted at once, and the counts of a holder that have not been
//! refreshed for [`UsageTableConfig::stale_after`] are taken to have no free slot.
//!
//! Of two holders drawn at random, the one with more free capacity is chosen.
//! Many entry instances decide at the same moment on the same counts: the random
//! draw spreads their requests, whereas choosing the best of all holders would
//! send everything to one.

use std::time;

use figscale_types::catalogue;
use figscale_types::ids;
use indexmap::IndexMap;
use rand::RngExt as _;
use serde::Deserialize;
use serde::Serialize;

use super::queue;

/// Settings of the table.
#[derive(Clone, Copy, Debug)]
pub struct UsageTableConfig {
    /// Age above which the free slots of a holder count as taken. Default 1,500 ms.
    pub stale_after: time::Duration,
}

impl Default for UsageTableConfig {
    fn default() -> Self {
        Self {
            stale_after: time::Duration::from_millis(1_500),
        }
    }
}

/// Slot counts of one holder for one service; arrays are indexed by urgency, the
/// most urgent first.
///
/// A slot that is reserved for more urgent requests is not free for best-effort
/// ones, and less urgent requests in the queue are not ahead of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// All slots that the holder may grant, free or not.
    pub slots: u32,
    /// Slots that a request of each urgency could get now.
    pub free: [u32; 3],
    /// Queued requests that would be served before a request of each urgency.
    pub ahead: [u32; 3],
}

impl Counts {
    /// Free capacity relative to the number of slots: positive with free slots,
    /// negative with a queue. `sent_since` is the number of requests sent to the
    /// holder since it reported.
    pub fn room(&self, urgency: catalogue::Urgency, sent_since: u32) -> f64 {
        if self.slots == 0 {
            return f64::NEG_INFINITY;
        }
        let level = queue::level_of(urgency);
        let left =
            f64::from(self.free[level]) - f64::from(self.ahead[level]) - f64::from(sent_since);
        left / f64::from(self.slots)
    }
}

#[derive(Clone, Debug)]
struct HolderCounts {
    counts: Counts,
    received_at: time::Instant,
    sent_since: u32,
}

/// Slot counts of the other holders.
#[derive(Clone, Debug, Default)]
pub struct UsageTable {
    config: UsageTableConfig,
    by_service: IndexMap<ids::ServiceName, IndexMap<ids::MemberKey, HolderCounts>>,
    last_report: IndexMap<ids::MemberKey, time::Instant>,
}

/// A holder that was chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The holder.
    pub member: ids::MemberKey,
    /// Its free capacity, relative to its number of slots.
    pub room: f64,
}

impl UsageTable {
    /// Creates an empty table.
    pub fn new(config: UsageTableConfig) -> Self {
        Self {
            config,
            ..Self::default()
        }
    }

    /// Replaces all counts of a holder by the ones that it reported.
    pub fn record_counts(
        &mut self,
        member: &ids::MemberKey,
        counts: &IndexMap<ids::ServiceName, Counts>,
        now: time::Instant,
    ) {
        self.last_report.insert(member.clone(), now);
        for (service, holders) in &mut self.by_service {
            if !counts.contains_key(service) {
                holders.swap_remove(member);
            }
        }
        for (service, counts) in counts {
            let holder = HolderCounts {
                counts: *counts,
                received_at: now,
                sent_since: 0,
            };
            let holders = self.by_service.entry(service.clone()).or_default();
            holders.insert(member.clone(), holder);
        }
    }

    /// Removes the counts of members that are not live.
    pub fn retain(&mut self, is_live: impl Fn(&ids::MemberKey) -> bool) {
        self.last_report.retain(|member, _| is_live(member));
        for holders in self.by_service.values_mut() {
            holders.retain(|member, _| is_live(member));
        }
    }

    /// Whether a holder has never reported, or not within
    /// [`UsageTableConfig::stale_after`].
    pub fn is_unresponsive(&self, member: &ids::MemberKey, now: time::Instant) -> bool {
        let last = self.last_report.get(member);
        last.is_none_or(|last| now.saturating_duration_since(*last) > self.config.stale_after)
    }

    /// Records that a request was sent to a holder because of its counts.
    pub fn record_sent(&mut self, service: &ids::ServiceName, member: &ids::MemberKey) {
        if let Some(holder) = self.counts_mut(service, member) {
            holder.sent_since += 1;
        }
    }

    /// Records that a holder refused a request for lack of free slots.
    pub fn record_refusal(&mut self, service: &ids::ServiceName, member: &ids::MemberKey) {
        if let Some(holder) = self.counts_mut(service, member) {
            holder.sent_since = holder.sent_since.max(holder.counts.free[0]);
        }
    }

    /// Chooses the better of two holders drawn at random; `None` if there is no
    /// holder with slots that is not excluded.
    pub fn choose(
        &self,
        service: &ids::ServiceName,
        urgency: catalogue::Urgency,
        excluded: &[ids::MemberKey],
        now: time::Instant,
        rng: &mut impl rand::Rng,
    ) -> Option<Choice> {
        let holders = self.by_service.get(service)?;
        let open: Vec<_> = holders
            .iter()
            .filter(|(member, holder)| holder.counts.slots > 0 && !excluded.contains(member))
            .collect();
        if open.is_empty() {
            return None;
        }
        let first = rng.random_range(0..open.len());
        let mut second = rng.random_range(0..open.len());
        if second == first {
            second = (first + 1) % open.len();
        }
        let best = [open[first], open[second]]
            .into_iter()
            .map(|(member, holder)| (member, self.room(holder, urgency, now)))
            .reduce(|a, b| if b.1 > a.1 { b } else { a })?;
        Some(Choice {
            member: best.0.clone(),
            room: best.1,
        })
    }

    /// Members that have reported, including those that hold nothing.
    pub fn reporting_members(&self) -> impl Iterator<Item = &ids::MemberKey> {
        self.last_report.keys()
    }

    /// All counts, by service and holder.
    pub fn all_counts(&self) -> impl Iterator<Item = (&ids::ServiceName, &ids::MemberKey, Counts)> {
        self.by_service.iter().flat_map(|(service, holders)| {
            holders
                .iter()
                .map(move |(member, holder)| (service, member, holder.counts))
        })
    }

    fn room(&self, holder: &HolderCounts, urgency: catalogue::Urgency, now: time::Instant) -> f64 {
        let stale = now.saturating_duration_since(holder.received_at) > self.config.stale_after;
        let counts = match stale {
            true => Counts {
                free: [0; 3],
                ..holder.counts
            },
            false => holder.counts,
        };
        counts.room(urgency, holder.sent_since)
    }

    fn counts_mut(
        &mut self,
        service: &ids::ServiceName,
        member: &ids::MemberKey,
    ) -> Option<&mut HolderCounts> {
        self.by_service.get_mut(service)?.get_mut(member)
    }
}
