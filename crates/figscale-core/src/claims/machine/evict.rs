//! Evictions: members whose lease lapsed while they held shards.

use std::time;

use figscale_types::claims;
use figscale_types::claims::PeerQuestion;
use figscale_types::hash;
use figscale_types::ids;
use indexmap::IndexMap;
use indexmap::IndexSet;

use super::super::Action;
use super::super::Config;
use super::super::release_quorum;
use super::Machine;
use super::promise;

/// What was gathered to evict a holder.
#[derive(Debug)]
pub(super) struct Eviction {
    /// The lease that lapsed.
    pub(super) lease: ids::LeaseId,
    /// Witnesses that released it.
    pub(super) released: IndexSet<ids::MemberKey>,
    start: time::Instant,
    asked_at: IndexMap<ids::MemberKey, time::Instant>,
}

impl Machine {
    /// Asks the witnesses of lapsed holders for releases.
    pub(super) fn ask_releases(&mut self, now: time::Instant, actions: &mut Vec<Action>) {
        self.notice_lapsed(now);
        let mut questions = Vec::new();
        for (holder, eviction) in &mut self.evictions {
            let Some(document) = &self.document else {
                continue;
            };
            if now < eviction.start {
                continue;
            }
            let again = self.config.heartbeat / 2;
            for witness in counted_witnesses(&document.claims, holder, &self.config) {
                let asked = eviction.asked_at.get(&witness);
                let wait = asked.is_some_and(|at| now < *at + again);
                if wait || eviction.released.contains(&witness) {
                    continue;
                }
                eviction.asked_at.insert(witness.clone(), now);
                questions.push((holder.clone(), eviction.lease, witness));
            }
        }
        for (holder, lease, witness) in questions {
            let question = PeerQuestion::Release {
                witness: witness.clone(),
                holder,
                lease,
            };
            self.ask(now, &witness, question, actions);
        }
    }

    /// Starts an eviction for each lapsed holder, the nearest member first.
    fn notice_lapsed(&mut self, now: time::Instant) {
        let Some(document) = &self.document else {
            return;
        };
        for (id, member) in &document.claims.members {
            let key = ids::MemberKey {
                id: id.clone(),
                incarnation: member.incarnation,
            };
            let lapsed = self.lapsed.contains(&member.lease) && key != self.me;
            if lapsed && !self.evictions.contains_key(&key) {
                let rank = u32::try_from(self.rank(id)).unwrap_or(u32::MAX);
                let eviction = Eviction {
                    lease: member.lease,
                    released: IndexSet::new(),
                    start: now + self.config.settle * rank,
                    asked_at: IndexMap::new(),
                };
                self.evictions.insert(key, eviction);
            }
        }
    }

    /// How many live members come before this one in evicting `holder`.
    fn rank(&self, holder: &ids::MemberId) -> usize {
        let Some(document) = &self.document else {
            return 0;
        };
        let order = |id: &ids::MemberId| hash::hash(&[holder.as_str(), id.as_str()]);
        let mine = match self.my_member() {
            Some(_) => order(&self.me.id),
            // Members go first.
            None => u64::MAX,
        };
        let members = document.claims.members.iter();
        let live = members.filter(|(_, member)| !self.lapsed.contains(&member.lease));
        live.filter(|(id, _)| order(id) < mine).count()
    }

    /// Holders that no majority of their witnesses can promise to any more.
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
            eviction.released.contains(*witness) || self.gone.is_gone(&witness.id, longest)
        });
        released.count() >= release_quorum(witnesses.len())
    }
}

/// The witnesses over whom releases from `holder` count.
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
