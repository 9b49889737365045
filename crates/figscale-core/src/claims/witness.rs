//! Promises and releases: those that a member gives to others as their witness,
//! and the promises that it has received from its own witnesses.

use std::time;

use figscale_types::ids;
use indexmap::IndexMap;
use indexmap::IndexSet;

use super::Config;
use super::lease;

/// Promises and releases that this member has given as a witness.
#[derive(Debug, Default)]
pub(super) struct WitnessRecord {
    promised_until: IndexMap<ids::MemberKey, time::Instant>,
    /// Never removed while the process runs; a lease is eight bytes, and one is
    /// added for each holder that died.
    released: IndexSet<ids::LeaseId>,
}

impl WitnessRecord {
    /// Promises not to release `holder` for the duration of a lease, unless one
    /// of its leases was released. Returns whether it promised.
    pub(super) fn promise(
        &mut self,
        holder: &ids::MemberKey,
        leases: &[ids::LeaseId],
        now: time::Instant,
        config: &Config,
    ) -> bool {
        self.promised_until.retain(|_, until| *until > now);
        let released = leases.iter().any(|lease| self.released.contains(lease));
        if released && config.guards.releases_are_final {
            return false;
        }
        let until = now + config.lease;
        self.promised_until.insert(holder.clone(), until);
        true
    }

    /// Releases an expired lease of `holder`, unless a promise to it is still
    /// valid. Returns whether it released.
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
        if promised && config.guards.promises_block_releases {
            return false;
        }
        self.released.insert(lease);
        true
    }
}

/// Promises that this member has received from its witnesses.
#[derive(Debug, Default)]
pub(super) struct ReceivedPromises {
    valid_until: IndexMap<ids::MemberKey, time::Instant>,
}

impl ReceivedPromises {
    /// Records a promise whose request was sent at `sent_at`.
    pub(super) fn add(&mut self, witness: ids::MemberKey, sent_at: time::Instant, config: &Config) {
        let until = lease::valid_until(sent_at, config);
        let known = self.valid_until.entry(witness).or_insert(until);
        *known = until.max(*known);
    }

    /// Drops all promises, since their ends are no longer known.
    pub(super) fn clear(&mut self) {
        self.valid_until.clear();
    }

    /// Until when promises of a majority of `witnesses` are valid.
    pub(super) fn majority_until(&self, witnesses: &[ids::MemberKey]) -> Option<time::Instant> {
        let mut ends: Vec<_> = witnesses
            .iter()
            .filter_map(|witness| self.valid_until.get(witness).copied())
            .collect();
        ends.sort_unstable_by(|a, b| b.cmp(a));
        ends.get(super::majority(witnesses.len()) - 1).copied()
    }
}
