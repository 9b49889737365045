//! Promises while the store is away, and the answers to peers.

use std::time;

use figscale_types::claims;
use figscale_types::claims::PeerAnswer;
use figscale_types::claims::PeerQuestion;
use figscale_types::ids;

use super::super::Action;
use super::Machine;

impl Machine {
    /// Answers a peer.
    ///
    /// A promise is refused while this member has the store: a holder that
    /// alone is cut off from it cannot do what needs the store, and should
    /// lose its shards to one that can. That is policy, not safety.
    pub fn answer(
        &mut self,
        now: time::Instant,
        from: &ids::MemberKey,
        question: &PeerQuestion,
    ) -> PeerAnswer {
        let yes = match question {
            PeerQuestion::Promise {
                witness,
                holder,
                leases,
            } => {
                *witness == self.me
                    && from == holder
                    && !leases.is_empty()
                    && self.misses_store(now)
                    && self.granted.promise(holder, leases, now, &self.config)
            }
            PeerQuestion::Release {
                witness,
                holder,
                lease,
            } => self.answer_release(now, witness, holder, *lease),
        };
        match yes {
            true => PeerAnswer::Yes,
            false => PeerAnswer::No,
        }
    }

    fn answer_release(
        &mut self,
        now: time::Instant,
        witness: &ids::MemberKey,
        holder: &ids::MemberKey,
        lease: ids::LeaseId,
    ) -> bool {
        if *witness == self.me {
            return self.granted.release(holder, lease, now, &self.config);
        }
        let is_earlier_life = witness.id == self.me.id && witness.incarnation < self.me.incarnation;
        let age = now.saturating_duration_since(self.started);
        let waited = age > self.longest_promise() || !self.config.guards.new_lives_wait;
        is_earlier_life && waited
    }

    /// Takes in the answer of a peer.
    pub(super) fn answered(
        &mut self,
        question: PeerQuestion,
        sent_at: time::Instant,
        answer: Option<PeerAnswer>,
    ) {
        if answer != Some(PeerAnswer::Yes) {
            return;
        }
        match question {
            PeerQuestion::Promise { witness, .. } => {
                self.promises.add(witness, sent_at, &self.config);
            }
            PeerQuestion::Release {
                witness,
                holder,
                lease,
            } => {
                let eviction = self.evictions.get_mut(&holder);
                if let Some(eviction) = eviction.filter(|eviction| eviction.lease == lease) {
                    eviction.released.insert(witness);
                }
            }
        }
    }

    /// Asks the witnesses for promises while the store is away.
    pub(super) fn keep_promises(&mut self, now: time::Instant, actions: &mut Vec<Action>) {
        let again = self.config.heartbeat / 2;
        let asked = self.promises_asked_at.is_some_and(|at| now < at + again);
        if asked || self.held.is_empty() || !self.misses_store(now) {
            return;
        }
        let leases = self.leases_in_question();
        if leases.is_empty() {
            return;
        }
        self.promises_asked_at = Some(now);
        let mut witnesses: Vec<_> = self.witness_lists().concat();
        witnesses.sort();
        witnesses.dedup();
        for witness in witnesses {
            let question = PeerQuestion::Promise {
                witness: witness.clone(),
                holder: self.me.clone(),
                leases: leases.clone(),
            };
            self.ask(now, &witness, question, actions);
        }
    }

    /// Asks a witness; this member itself is asked at once.
    pub(super) fn ask(
        &mut self,
        now: time::Instant,
        witness: &ids::MemberKey,
        question: PeerQuestion,
        actions: &mut Vec<Action>,
    ) {
        if witness.id == self.me.id {
            let me = self.me.clone();
            let answer = self.answer(now, &me, &question);
            self.answered(question, now, Some(answer));
        } else if let Some(address) = self.address_of(&witness.id) {
            actions.push(Action::Ask { address, question });
        }
    }

    fn address_of(&self, id: &ids::MemberId) -> Option<std::net::SocketAddr> {
        let members = &self.document.as_ref()?.claims.members;
        Some(members.get(id)?.peer_address)
    }

    /// Until when promises are good, whatever came of unknown writes.
    pub(super) fn promised_until(&self) -> Option<time::Instant> {
        self.my_member()?;
        if !self.config.guards.need_promises {
            return self.promises_asked_at.map(|at| at + self.config.lease);
        }
        let ends = self
            .witness_lists()
            .into_iter()
            .map(|list| self.promises.majority_until(&list));
        ends.min().flatten()
    }

    /// The lists of witnesses that the document may give this member.
    fn witness_lists(&self) -> Vec<Vec<ids::MemberKey>> {
        let Some(document) = &self.document else {
            return Vec::new();
        };
        let written = witnesses_of(&document.claims, &self.me);
        let unknown = self.unknown.iter().map(|write| write.witnesses.clone());
        [written].into_iter().chain(unknown).collect()
    }

    /// The leases under which the document may name this member.
    fn leases_in_question(&self) -> Vec<ids::LeaseId> {
        let named = self.my_member().map(|member| member.lease);
        let unknown = self.unknown.iter().filter_map(|write| write.lease);
        named.into_iter().chain(unknown).collect()
    }
}

/// The witnesses that a member listed, itself if it listed none.
pub(super) fn witnesses_of(claims: &claims::Claims, key: &ids::MemberKey) -> Vec<ids::MemberKey> {
    match claims.witnesses.get(&key.id) {
        Some(list) if !list.is_empty() => list.clone(),
        _ => vec![key.clone()],
    }
}
