//! Admission by the catalogue, at the entry instance that received a request.
//!
//! Limits of an owner are for the whole cell; each entry instance enforces its
//! equal part, so that no message is needed on the way of a request. Parts of
//! whole numbers are rounded up, so the parts together may exceed the limit by
//! less than one for each entry instance; and an owner whose callers all come
//! to one entry instance gets only that one's part.
//!
//! Whoever is refused is told when to come back. Times are drawn from a range
//! that grows with the backlog, so that those refused together do not return
//! together.

use std::time;

use figscale_types::catalogue;
use figscale_types::ids;
use indexmap::IndexMap;
use rand::RngExt as _;

/// Times to come back are drawn from one to so many times the shortest.
const SPREAD: u32 = 3;

/// Settings of admission.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionConfig {
    /// Seconds' worth of an owner's rate that may come at once. Default 1.
    pub burst_s: f64,
    /// Shortest time that a refused caller is told to stay away. Default 1 s.
    pub shortest_return: time::Duration,
    /// Longest such time. Default 30 s.
    pub longest_return: time::Duration,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self {
            burst_s: 1.0,
            shortest_return: time::Duration::from_secs(1),
            longest_return: time::Duration::from_secs(30),
        }
    }
}

/// Why a request was not let in, or let go before it had a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The catalogue has no such entry.
    UnknownEntry,
    /// The catalogue has no such owner.
    UnknownOwner,
    /// The owner may not use the entry.
    OwnerNotAllowed,
    /// The entry is for jobs.
    NotForRequests,
    /// Over the owner's rate.
    OverRate,
    /// Over the owner's number of requests in progress.
    OverConcurrency,
    /// The queue is full.
    QueueFull,
    /// The deadline cannot be met.
    Unreachable,
    /// The deadline came while the request waited.
    Expired,
    /// Nobody holds a runner of the service.
    NoHolder,
}

impl Reason {
    /// The word for it in answers, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::UnknownEntry => "unknown-entry",
            Self::UnknownOwner => "unknown-owner",
            Self::OwnerNotAllowed => "owner-not-allowed",
            Self::NotForRequests => "not-for-requests",
            Self::OverRate => "over-rate",
            Self::OverConcurrency => "over-concurrency",
            Self::QueueFull => "queue-full",
            Self::Unreachable => "deadline-unreachable",
            Self::Expired => "deadline-passed",
            Self::NoHolder => "no-runner",
        }
    }

    /// Whether asking again later may help.
    pub fn is_transient(self) -> bool {
        !matches!(
            self,
            Self::UnknownEntry | Self::UnknownOwner | Self::OwnerNotAllowed | Self::NotForRequests
        )
    }
}

/// A request that was let in.
#[derive(Clone, Debug, PartialEq)]
pub struct Admitted {
    /// Limits of its entry.
    pub policy: catalogue::RequestPolicy,
    /// Weight of its owner.
    pub weight: u32,
}

#[derive(Clone, Debug)]
struct Bucket {
    tokens: f64,
    filled: time::Instant,
    in_progress: u32,
}

/// What owners use at this entry instance.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    config: AdmissionConfig,
    owners: IndexMap<ids::OwnerName, Bucket>,
}

impl Admission {
    /// Nothing in use.
    pub fn new(config: AdmissionConfig) -> Self {
        Self {
            config,
            ..Self::default()
        }
    }

    /// Lets a request in, counting it until [`Admission::leave`], or says why not.
    ///
    /// `parts` is the number of entry instances that share the owner's limits.
    pub fn enter(
        &mut self,
        catalogue: &catalogue::Catalogue,
        entry: &ids::EntryName,
        owner: &ids::OwnerName,
        parts: u32,
        now: time::Instant,
    ) -> Result<Admitted, Reason> {
        let found = catalogue.entries.get(entry).ok_or(Reason::UnknownEntry)?;
        let limits = catalogue.owners.get(owner).ok_or(Reason::UnknownOwner)?;
        if let Some(callers) = &found.callers
            && *owner != found.owner
            && !callers.contains(owner)
        {
            return Err(Reason::OwnerNotAllowed);
        }
        let catalogue::Policy::Requests(policy) = &found.policy else {
            return Err(Reason::NotForRequests);
        };
        self.count(owner, limits, parts.max(1), now)?;
        Ok(Admitted {
            policy: policy.clone(),
            weight: limits.weight,
        })
    }

    fn count(
        &mut self,
        owner: &ids::OwnerName,
        limits: &catalogue::Owner,
        parts: u32,
        now: time::Instant,
    ) -> Result<(), Reason> {
        let rate = limits.rate_per_s.map(|rate| rate / f64::from(parts));
        let most = rate.map(|rate| (rate * self.config.burst_s).max(1.0));
        let bucket = self.owners.entry(owner.clone()).or_insert(Bucket {
            tokens: most.unwrap_or(0.0),
            filled: now,
            in_progress: 0,
        });
        if let Some(concurrency) = limits.concurrency
            && bucket.in_progress >= concurrency.div_ceil(parts)
        {
            return Err(Reason::OverConcurrency);
        }
        if let (Some(rate), Some(most)) = (rate, most) {
            let passed = now.saturating_duration_since(bucket.filled).as_secs_f64();
            bucket.tokens = (bucket.tokens + passed * rate).min(most);
            bucket.filled = now;
            if bucket.tokens < 1.0 {
                return Err(Reason::OverRate);
            }
            bucket.tokens -= 1.0;
        }
        bucket.in_progress += 1;
        Ok(())
    }

    /// Ends the counting of a request that was let in.
    pub fn leave(&mut self, owner: &ids::OwnerName) {
        if let Some(bucket) = self.owners.get_mut(owner) {
            bucket.in_progress = bucket.in_progress.saturating_sub(1);
        }
    }

    /// Requests in progress by owner.
    pub fn in_progress(&self) -> impl Iterator<Item = (&ids::OwnerName, u32)> {
        let owners = self.owners.iter();
        owners.map(|(owner, bucket)| (owner, bucket.in_progress))
    }

    /// When a refused caller should come back, given the time that the backlog
    /// needs.
    ///
    /// A backlog near the longest return or above it still leaves a range to
    /// draw from, so that nobody is told the same time as everybody else.
    pub fn come_back(&self, backlog: time::Duration, rng: &mut impl rand::Rng) -> time::Duration {
        let longest = self.config.longest_return;
        let least = self
            .config
            .shortest_return
            .max(backlog)
            .min(longest / SPREAD);
        let spread: f64 = rng.random_range(1.0..f64::from(SPREAD));
        least.mul_f64(spread).min(longest)
    }
}
