//! How old the proof is that a configuration is still the operators' newest.
//!
//! A key that the operators take away must not be good for longer than a bound,
//! at any instance: also at one that the store turns away, whose watch is silent,
//! or whose machine stood still. So what counts is not what was heard last but
//! when the store was last asked and named this revision. A proof is as old as
//! the moment at which its question began.
//!
//! An instance that has such a proof can pass it on: the one that asks for it
//! reckons it as older by the time since its own question. Times are those since
//! the machine started, which go on while it is suspended.

use std::time;

use serde::Deserialize;
use serde::Serialize;

/// Part of the bound, in percent, that is used; the clocks of the two machines
/// that a proof passes may each be 2% slow.
const USED_PERCENT: u32 = 94;

/// A proof on its way to another instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProofStamp {
    /// Revision that the store named.
    pub revision: u64,
    /// Time since the store was asked, milliseconds.
    pub age_ms: u64,
}

/// What a stamp says of the configuration known here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// There is no newer one, as of the stamp.
    Confirmed,
    /// There is a newer one.
    Outdated,
}

/// Revision of the configuration known here, and since when it is proven.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigProof {
    revision: u64,
    proven_at: Option<time::Duration>,
}

impl ConfigProof {
    /// Revision that is known; 0 for none.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The store named a revision after it was asked at `asked_at`.
    pub fn read(&mut self, revision: u64, asked_at: time::Duration) {
        self.revision = self.revision.max(revision);
        self.confirm(asked_at);
    }

    /// A watch brought a revision. That it is newer proves nothing about now.
    pub fn seen(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Another instance, asked at `asked_at`, passed its proof on.
    pub fn told(&mut self, stamp: ProofStamp, asked_at: time::Duration) -> Told {
        if stamp.revision > self.revision {
            return Told::Outdated;
        }
        let age = time::Duration::from_millis(stamp.age_ms);
        if let Some(proven_at) = asked_at.checked_sub(age) {
            self.confirm(proven_at);
        }
        Told::Confirmed
    }

    /// The proof, to be passed on; `None` where there is none.
    pub fn stamp(&self, now: time::Duration) -> Option<ProofStamp> {
        let age = self.age(now)?;
        Some(ProofStamp {
            revision: self.revision,
            age_ms: u64::try_from(age.as_millis()).map_or(u64::MAX, |age_ms| age_ms + 1),
        })
    }

    /// Age of the proof.
    pub fn age(&self, now: time::Duration) -> Option<time::Duration> {
        let proven_at = self.proven_at?;
        Some(now.saturating_sub(proven_at))
    }

    /// Whether the proof is young enough where it must be younger than a bound.
    pub fn holds(&self, bound: Option<time::Duration>, now: time::Duration) -> bool {
        bound.is_none_or(|bound| {
            let age = self.age(now);
            age.is_some_and(|age| age < bound * USED_PERCENT / 100)
        })
    }

    fn confirm(&mut self, at: time::Duration) {
        self.proven_at = Some(self.proven_at.map_or(at, |known| known.max(at)));
    }
}
