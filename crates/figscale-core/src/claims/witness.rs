//! Promises and releases: what a member grants to others, and what it was
//! granted itself.

use std::time;

use figscale_types::ids;
use indexmap::IndexMap;
use indexmap::IndexSet;

use super::Config;
use super::lease;

/// What this member has granted to others as their witness.
#[derive(Debug, Default)]
pub(super) struct Granted {
    promised_until: IndexMap<ids::MemberKey, time::Instant>,
    /// Never forgotten within a life; a lease is eight bytes, and one is added
    /// for each holder that died.
    released: IndexSet<ids::LeaseId>,
}

impl Granted {
    /// Promises not to release `holder` for the life of a lease, if none of
    /// its leases was released.
    pub(super) fn promise(
        &mut self,
        holder: &ids::MemberKey,
        leases: &[ids::LeaseId],
        now: time::Instant,
        config: &Config,
    ) -> bool {
        self.promised_until.retain(|_, until| *until > now);
        let released = leases.iter().any(|lease| self.released.contains(lease));
        if released && config.guards.releases_last {
            return false;
        }
        let until = now + config.lease;
        self.promised_until.insert(holder.clone(), until);
        true
    }

    /// Releases a lapsed lease of `holder`, unless a promise to it lasts.
    pub(super) fn release(
        &mut self,
        holder: &ids::MemberKey,
        lease: ids::LeaseId,
        now: time::Instant,
        config: &Config,
    ) -> bool {
        let promised = self
            .promised_until
            .get(holder)
            .is_some_and(|until| *until > now);
        if promised && config.guards.promises_bind {
            return false;
        }
        self.released.insert(lease);
        true
    }
}

/// Promises that this member holds from its witnesses.
#[derive(Debug, Default)]
pub(super) struct Promises {
    valid_until: IndexMap<ids::MemberKey, time::Instant>,
}

impl Promises {
    /// Notes a promise that was asked for at `sent_at`.
    pub(super) fn add(&mut self, witness: ids::MemberKey, sent_at: time::Instant, config: &Config) {
        let until = lease::valid_until(sent_at, config);
        let known = self.valid_until.entry(witness).or_insert(until);
        *known = until.max(*known);
    }

    /// Forgets all, since their ends can no longer be told.
    pub(super) fn clear(&mut self) {
        self.valid_until.clear();
    }

    /// Until when a majority of `witnesses` has promised.
    pub(super) fn majority_until(&self, witnesses: &[ids::MemberKey]) -> Option<time::Instant> {
        let mut ends: Vec<_> = witnesses
            .iter()
            .filter_map(|witness| self.valid_until.get(witness).copied())
            .collect();
        ends.sort_unstable_by(|a, b| b.cmp(a));
        ends.get(super::majority(witnesses.len()) - 1).copied()
    }
}
