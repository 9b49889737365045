//! Proof that the configuration known here is still the operators' newest, and
//! the age of that proof.
//!
//! A key that the operators revoke must be invalid at every instance within a
//! bounded time, including an instance that the store refuses, whose watch
//! delivers nothing, or whose machine was suspended. The time of the last update
//! does not show that no newer one was missed. A read of the store does: it
//! proves that the revision it returned was the newest when the read was
//! started, so the age of the proof is the time since then.
//!
//! An instance that has such a proof can forward it to others as a stamp. The
//! receiver adds the time since its own request to the age. All times are
//! measured from the start of the machine by a clock that also runs while the
//! machine is suspended.

use std::time;

use serde::Deserialize;
use serde::Serialize;

use super::leader_loss;

/// Percentage of the bound that is used: the clocks of the two machines that a
/// proof passes through may each be 2% slow.
const USABLE_PERCENT: u32 = 94;

/// An instance that does not lead needs no watch of its own while its proof is no
/// older than this and the time between two heartbeats: the leader's answers then
/// arrive and report changes.
const MAX_AGE_WITHOUT_WATCH: time::Duration = time::Duration::from_millis(1_000);
/// Age of the proof, besides the time between two heartbeats, at which an instance
/// that does not lead queries the store itself.
const FOLLOWER_RENEWAL_AGE: time::Duration = time::Duration::from_millis(1_250);
/// Percentage of the bound up to which these ages may grow with the number of
/// instances.
const GROWTH_PERCENT: u32 = 70;

/// Age of the proof from which one of this many instances watches for changes
/// itself, if it does not lead. `bound` is the maximum age of a proof, if there is
/// one.
pub fn max_age_without_watch(instances: usize, bound: Option<time::Duration>) -> time::Duration {
    with_heartbeat(MAX_AGE_WITHOUT_WATCH, instances, bound)
}

/// Age of the proof at which one of this many instances queries the store itself, if
/// it does not lead.
pub fn follower_renewal_age(instances: usize, bound: Option<time::Duration>) -> time::Duration {
    with_heartbeat(FOLLOWER_RENEWAL_AGE, instances, bound)
}

fn with_heartbeat(
    age: time::Duration,
    instances: usize,
    bound: Option<time::Duration>,
) -> time::Duration {
    let least = age + leader_loss::HEARTBEAT_INTERVAL;
    let most = bound.map(|bound| least.max(bound * GROWTH_PERCENT / 100));
    let age = age + leader_loss::heartbeat_interval(instances);
    most.map_or(age, |most| age.min(most))
}

/// A proof in the form in which it is sent to another instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProofStamp {
    /// Revision that the read of the store returned.
    pub revision: u64,
    /// Time since the read of the store was started, in milliseconds.
    pub age_ms: u64,
}

/// What a stamp shows about the configuration known here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StampOutcome {
    /// It was still the newest at the time that the stamp proves.
    Confirmed,
    /// There is a newer one.
    Outdated,
}

/// Revision of the configuration known here, and the time as of which it is
/// proven to be the newest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigProof {
    revision: u64,
    proven_at: Option<time::Duration>,
}

impl ConfigProof {
    /// Known revision; 0 if there is none.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Records that a read of the store, started at `asked_at`, returned this
    /// revision.
    pub fn read(&mut self, revision: u64, asked_at: time::Duration) {
        self.revision = self.revision.max(revision);
        self.confirm(asked_at);
    }

    /// Records a revision delivered by a watch. It becomes the known revision, but
    /// a watch does not prove that it is still the newest.
    pub fn record_watched(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Applies a stamp that another instance returned for a request sent at
    /// `asked_at`.
    pub fn apply_stamp(&mut self, stamp: ProofStamp, asked_at: time::Duration) -> StampOutcome {
        if stamp.revision > self.revision {
            return StampOutcome::Outdated;
        }
        let age = time::Duration::from_millis(stamp.age_ms);
        if let Some(proven_at) = asked_at.checked_sub(age) {
            self.confirm(proven_at);
        }
        StampOutcome::Confirmed
    }

    /// The proof to forward to another instance; `None` if there is none.
    pub fn stamp(&self, now: time::Duration) -> Option<ProofStamp> {
        let age = self.age(now)?;
        Some(ProofStamp {
            revision: self.revision,
            age_ms: u64::try_from(age.as_millis()).map_or(u64::MAX, |age_ms| age_ms + 1),
        })
    }

    /// Age of the proof; `None` if there is none.
    pub fn age(&self, now: time::Duration) -> Option<time::Duration> {
        let proven_at = self.proven_at?;
        Some(now.saturating_sub(proven_at))
    }

    /// Whether the proof is recent enough. `bound` is its maximum age; `None` if no
    /// proof is needed.
    pub fn holds(&self, bound: Option<time::Duration>, now: time::Duration) -> bool {
        bound.is_none_or(|bound| {
            let age = self.age(now);
            age.is_some_and(|age| age < bound * USABLE_PERCENT / 100)
        })
    }

    fn confirm(&mut self, at: time::Duration) {
        self.proven_at = Some(self.proven_at.map_or(at, |known| known.max(at)));
    }
}
