//! Choice of the relay that forwards the calls of a worker.
//!
//! Workers are spread over the relays of their failure domain by rendezvous
//! hashing, so that a relay that joins or leaves moves no workers but its own. The
//! relays are kept by failure domain, with the hashes of their names: a leader
//! chooses a relay for each call, so a choice must not examine all instances.
//!
//! A leader that falls behind processes the responses of its relays late. Its
//! own hedged calls are then answered first, and one relay after another
//! appears to be slow. If the workers of such relays were called directly, the
//! leader would make more calls the further it fell behind, and never catch up.
//! So in a large fleet the workers of an ejected relay move to the next relay,
//! and hedged calls have a budget.

use std::time;

use figscale_types::hash;
use figscale_types::ids;
use indexmap::IndexMap;

/// For how long a relay is ejected.
const EJECTION_TIME: time::Duration = time::Duration::from_secs(2);

/// Relays of one failure domain, with the hashes of their names.
type Domain = IndexMap<ids::MemberId, u64>;

/// The instances that can relay calls, by failure domain.
#[derive(Clone, Debug, Default)]
pub struct RelayTable {
    domains: IndexMap<String, Domain>,
    /// When the ejections of relays end. A relay is often removed because it failed
    /// and added again by its next heartbeat, so ejections outlive the removal.
    ejected_until: IndexMap<ids::MemberId, time::Instant>,
}

impl RelayTable {
    /// Adds a relay, or moves it to another failure domain.
    pub fn add(&mut self, member: &ids::MemberId, failure_domain: &str) {
        let known = self.domains.get(failure_domain);
        if known.is_some_and(|domain| domain.contains_key(member)) {
            return;
        }
        self.remove(member);
        let domain = self.domains.entry(failure_domain.to_owned()).or_default();
        domain.insert(member.clone(), hash::hash(&[member.as_str()]));
    }

    /// Removes a relay that is gone.
    pub fn remove(&mut self, member: &ids::MemberId) {
        for domain in self.domains.values_mut() {
            domain.swap_remove(member);
        }
    }

    /// Ejects a relay for `EJECTION_TIME`.
    pub fn eject(&mut self, member: &ids::MemberId, now: time::Instant) {
        self.ejected_until.retain(|_, until| now < *until);
        self.ejected_until
            .insert(member.clone(), now + EJECTION_TIME);
    }

    /// Whether a relay is ejected.
    pub fn is_ejected(&self, member: &ids::MemberId, now: time::Instant) -> bool {
        let until = self.ejected_until.get(member);
        until.is_some_and(|until| now < *until)
    }

    /// The relay for a worker: one of its failure domain if possible, and one that
    /// is not ejected before all others. `is_ejected` is asked only about relays
    /// that would be chosen otherwise.
    pub fn choose(
        &self,
        worker: &str,
        failure_domain: &str,
        is_ejected: impl Fn(&ids::MemberId) -> bool,
    ) -> Option<&ids::MemberId> {
        let worker = hash::hash(&[worker]);
        let own = || self.domains.get(failure_domain).into_iter().flatten();
        let all = || self.domains.values().flatten();
        let accepted = |member: &ids::MemberId| !is_ejected(member);
        let best = best_of(own(), worker, accepted).or_else(|| best_of(all(), worker, accepted));
        let best = best.or_else(|| best_of(own(), worker, |_| true));
        best.or_else(|| best_of(all(), worker, |_| true))
    }
}

/// The accepted relay with the highest hash for a worker.
fn best_of<'a>(
    relays: impl Iterator<Item = (&'a ids::MemberId, &'a u64)>,
    worker: u64,
    accepts: impl Fn(&ids::MemberId) -> bool,
) -> Option<&'a ids::MemberId> {
    let mut best: Option<(u64, &ids::MemberId)> = None;
    for (member, relay) in relays {
        let weight = hash::combine(*relay, worker);
        if best.is_none_or(|(known, _)| weight > known) && accepts(member) {
            best = Some((weight, member));
        }
    }
    best.map(|(_, member)| member)
}
