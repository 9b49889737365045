//! Evictions of members whose lease expired while they held shards.

use std::time;

use figscale_types::claims;
use figscale_types::claims::WitnessRequest;
use figscale_types::hash;
use figscale_types::ids;
use indexmap::IndexMap;
use indexmap::IndexSet;

use super::super::Action;
use super::super::Config;
use super::super::release_quorum;
use super::Machine;
use super::promise;

/// Progress of the eviction of a holder.
#[derive(Debug)]
pub(super) struct Eviction {
    /// The lease that expired.
    pub(super) lease: ids::LeaseId,
    /// Witnesses that have released it.
    pub(super) released: IndexSet<ids::MemberKey>,
    start: time::Instant,
    requested_at: IndexMap<ids::MemberKey, time::Instant>,
}

impl Machine {
    /// Asks the witnesses of holders with an expired lease for releases.
    pub(super) fn request_releases(&mut self, now: time::Instant, actions: &mut Vec<Action>) {
        self.start_evictions(now);
        let mut questions = Vec::new();
        for (holder, eviction) in &mut self.evictions {
            let Some(document) = &self.document else {
                continue;
            };
            if now < eviction.start {
                continue;
            }
            let retry_interval = self.config.heartbeat / 2;
            for witness in counted_witnesses(&document.claims, holder, &self.config) {
                let last_request = eviction.requested_at.get(&witness);
                let pending = last_request.is_some_and(|at| now < *at + retry_interval);
                if pending || eviction.released.contains(&witness) {
                    continue;
                }
                eviction.requested_at.insert(witness.clone(), now);
                questions.push((holder.clone(), eviction.lease, witness));
            }
        }
        for (holder, lease, witness) in questions {
            let question = WitnessRequest::Release {
                witness: witness.clone(),
                holder,
                lease,
            };
            self.ask(now, &witness, question, actions);
        }
    }

    /// Starts an eviction for each holder with an expired lease. Members start
    /// one after another, in an order that depends on the holder.
    fn start_evictions(&mut self, now: time::Instant) {
        let Some(document) = &self.document else {
            return;
        };
        for (id, member) in &document.claims.members {
            let key = ids::MemberKey {
                id: id.clone(),
                incarnation: member.incarnation,
            };
            let expired = self.expired.contains(&member.lease) && key != self.me;
            if expired && !self.evictions.contains_key(&key) {
                let rank = u32::try_from(self.rank(id)).unwrap_or(u32::MAX);
                let eviction = Eviction {
                    lease: member.lease,
                    released: IndexSet::new(),
                    start: now + self.config.settle * rank,
                    requested_at: IndexMap::new(),
                };
                self.evictions.insert(key, eviction);
            }
        }
    }

    /// Number of live members that start evicting `holder` before this one.
    fn rank(&self, holder: &ids::MemberId) -> usize {
        let Some(document) = &self.document else {
            return 0;
        };
        let order = |id: &ids::MemberId| hash::hash(&[holder.as_str(), id.as_str()]);
        let mine = match self.my_member() {
            Some(_) => order(&self.me.id),
            // This instance is not yet a member; members go first.
            None => u64::MAX,
        };
        let members = document.claims.members.iter();
        let live = members.filter(|(_, member)| !self.expired.contains(&member.lease));
        live.filter(|(id, _)| order(id) < mine).count()
    }

    /// Holders to which no majority of their witnesses can promise any more.
    pub(super) fn ready_evictions(&self, now: time::Instant) -> Vec<ids::MemberKey> {
        let ready = |(holder, eviction): &(&ids::MemberKey, &Eviction)| {
            now >= eviction.start && self.is_released(holder, eviction)
        };
        let ready = self.evictions.iter().filter(ready);
        ready.map(|(holder, _)| holder.clone()).collect()
    }

    fn is_released(&self, holder: &ids::MemberKey, eviction: &Eviction) -> bool {
        let Some(document) = &self.document else {
            return false;
        };
        let holds = document.claims.shards_of(holder).next().is_some();
        if !holds || !self.config.guards.need_releases {
            return true;
        }
        let witnesses = counted_witnesses(&document.claims, holder, &self.config);
        let longest = self.longest_promise();
        let released = witnesses.iter().filter(|witness| {
            eviction.released.contains(*witness)
                || self.missing_members.is_gone(&witness.id, longest)
        });
        released.count() >= release_quorum(witnesses.len())
    }
}

/// The witnesses whose releases count for the eviction of `holder`.
fn counted_witnesses(
    claims: &claims::Claims,
    holder: &ids::MemberKey,
    config: &Config,
) -> Vec<ids::MemberKey> {
    match config.guards.count_over_written_list {
        true => promise::witnesses_of(claims, holder),
        false => claims.keys(),
    }
}
