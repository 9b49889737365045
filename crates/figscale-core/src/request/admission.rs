//! Admission against the catalogue, at the entry instance that received a request.
//!
//! The limits of an owner apply to the whole cell. Each entry instance enforces
//! an equal part of them, so that admission needs no message to other instances.
//! Parts of whole numbers are rounded up, so the sum of the parts may exceed the
//! limit by less than one per entry instance. An owner whose callers all connect
//! to one entry instance gets only the part of that instance.
//!
//! A refused caller is told when to retry. The time is drawn from a range that
//! grows with the backlog, so that callers that are refused together do not
//! retry together.

use std::time;

use figscale_types::catalogue;
use figscale_types::ids;
use indexmap::IndexMap;
use rand::RngExt as _;

/// Upper end of the range of retry times, as a multiple of its lower end.
const RETRY_AFTER_SPREAD: u32 = 3;

/// Settings of admission.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionConfig {
    /// Burst that is allowed at once, in seconds of the owner's rate. Default 1.
    pub burst_s: f64,
    /// Shortest time after which a refused caller is told to retry. Default 1 s.
    pub min_retry_after: time::Duration,
    /// Longest time after which a refused caller is told to retry. Default 30 s.
    pub max_retry_after: time::Duration,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self {
            burst_s: 1.0,
            min_retry_after: time::Duration::from_secs(1),
            max_retry_after: time::Duration::from_secs(30),
        }
    }
}

/// Why a request was not admitted, or was dropped before it got a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The catalogue has no such entry.
    UnknownEntry,
    /// The catalogue has no such owner.
    UnknownOwner,
    /// The owner may not use the entry.
    OwnerNotAllowed,
    /// The entry is for jobs, not for requests.
    NotForRequests,
    /// The owner's rate limit is exceeded.
    OverRate,
    /// The owner's limit of requests in progress is reached.
    OverConcurrency,
    /// The queue is full.
    QueueFull,
    /// The deadline cannot be met.
    Unreachable,
    /// The deadline passed while the request waited.
    Expired,
    /// No instance holds a runner of the service.
    NoHolder,
}

impl Reason {
    /// Name of the reason in responses, logs and metrics.
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

    /// Whether a later retry may succeed.
    pub fn is_transient(self) -> bool {
        !matches!(
            self,
            Self::UnknownEntry | Self::UnknownOwner | Self::OwnerNotAllowed | Self::NotForRequests
        )
    }
}

/// A request that was admitted.
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
    refilled_at: time::Instant,
    in_progress: u32,
}

/// Usage of the limits by owner, at this entry instance.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    config: AdmissionConfig,
    owners: IndexMap<ids::OwnerName, Bucket>,
}

impl Admission {
    /// Creates a state with no request in progress.
    pub fn new(config: AdmissionConfig) -> Self {
        Self {
            config,
            ..Self::default()
        }
    }

    /// Admits a request, which counts as in progress until [`Admission::release_request`],
    /// or returns the reason for refusing it.
    ///
    /// `parts` is the number of entry instances that share the owner's limits.
    pub fn admit_request(
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
        self.charge(owner, limits, parts.max(1), now)?;
        Ok(Admitted {
            policy: policy.clone(),
            weight: limits.weight,
        })
    }

    fn charge(
        &mut self,
        owner: &ids::OwnerName,
        limits: &catalogue::Owner,
        parts: u32,
        now: time::Instant,
    ) -> Result<(), Reason> {
        let rate = limits.rate_per_s.map(|rate| rate / f64::from(parts));
        let burst = rate.map(|rate| (rate * self.config.burst_s).max(1.0));
        let bucket = self.owners.entry(owner.clone()).or_insert(Bucket {
            tokens: burst.unwrap_or(0.0),
            refilled_at: now,
            in_progress: 0,
        });
        if let Some(concurrency) = limits.concurrency
            && bucket.in_progress >= concurrency.div_ceil(parts)
        {
            return Err(Reason::OverConcurrency);
        }
        if let (Some(rate), Some(burst)) = (rate, burst) {
            let passed = now
                .saturating_duration_since(bucket.refilled_at)
                .as_secs_f64();
            bucket.tokens = (bucket.tokens + passed * rate).min(burst);
            bucket.refilled_at = now;
            if bucket.tokens < 1.0 {
                return Err(Reason::OverRate);
            }
            bucket.tokens -= 1.0;
        }
        bucket.in_progress += 1;
        Ok(())
    }

    /// Removes an admitted request from the requests in progress.
    pub fn release_request(&mut self, owner: &ids::OwnerName) {
        if let Some(bucket) = self.owners.get_mut(owner) {
            bucket.in_progress = bucket.in_progress.saturating_sub(1);
        }
    }

    /// Requests in progress by owner.
    pub fn in_progress(&self) -> impl Iterator<Item = (&ids::OwnerName, u32)> {
        let owners = self.owners.iter();
        owners.map(|(owner, bucket)| (owner, bucket.in_progress))
    }

    /// Time after which a refused caller should retry, given the time that it
    /// takes to work off the backlog.
    ///
    /// The lower end of the range is capped, so that a backlog near or above the
    /// longest retry time still leaves a range to draw from, and callers are not
    /// all told the same time.
    pub fn retry_after(&self, backlog: time::Duration, rng: &mut impl rand::Rng) -> time::Duration {
        let longest = self.config.max_retry_after;
        let least = self
            .config
            .min_retry_after
            .max(backlog)
            .min(longest / RETRY_AFTER_SPREAD);
        let spread: f64 = rng.random_range(1.0..f64::from(RETRY_AFTER_SPREAD));
        least.mul_f64(spread).min(longest)
    }
}
