//! Promises while the store is unavailable, and answers to questions of peers.

use std::time;

use figscale_types::claims;
use figscale_types::claims::WitnessRequest;
use figscale_types::claims::WitnessResponse;
use figscale_types::ids;

use super::super::Action;
use super::Machine;

impl Machine {
    /// Answers a question of a peer.
    ///
    /// A promise is refused while this member can reach the store: a holder
    /// that alone is cut off from the store cannot do work that needs it, and
    /// should lose its shards to a member that can. This is a policy, not
    /// needed for safety.
    pub fn answer(
        &mut self,
        now: time::Instant,
        from: &ids::MemberKey,
        question: &WitnessRequest,
    ) -> WitnessResponse {
        let yes = match question {
            WitnessRequest::Promise {
                witness,
                holder,
                leases,
            } => {
                *witness == self.me
                    && from == holder
                    && !leases.is_empty()
                    && self.is_store_unavailable(now)
                    && self
                        .witness_record
                        .promise(holder, leases, now, &self.config)
            }
            WitnessRequest::Release {
                witness,
                holder,
                lease,
            } => self.answer_release(now, witness, holder, *lease),
        };
        match yes {
            true => WitnessResponse::Yes,
            false => WitnessResponse::No,
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
            return self
                .witness_record
                .release(holder, lease, now, &self.config);
        }
        let is_earlier_incarnation =
            witness.id == self.me.id && witness.incarnation < self.me.incarnation;
        let age = now.saturating_duration_since(self.started);
        let waited = age > self.longest_promise() || !self.config.guards.new_incarnations_wait;
        is_earlier_incarnation && waited
    }

    /// Processes the answer of a peer.
    pub(super) fn answered(
        &mut self,
        question: WitnessRequest,
        sent_at: time::Instant,
        answer: Option<WitnessResponse>,
    ) {
        if answer != Some(WitnessResponse::Yes) {
            return;
        }
        match question {
            WitnessRequest::Promise { witness, .. } => {
                self.received_promises.add(witness, sent_at, &self.config);
            }
            WitnessRequest::Release {
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

    /// Asks the witnesses for promises while the store is unavailable.
    pub(super) fn request_promises(&mut self, now: time::Instant, actions: &mut Vec<Action>) {
        let retry_interval = self.config.heartbeat / 2;
        let pending = self
            .promises_requested_at
            .is_some_and(|at| now < at + retry_interval);
        if pending || self.held.is_empty() || !self.is_store_unavailable(now) {
            return;
        }
        let leases = self.possible_leases();
        if leases.is_empty() {
            return;
        }
        self.promises_requested_at = Some(now);
        let mut witnesses: Vec<_> = self.witness_lists().concat();
        witnesses.sort();
        witnesses.dedup();
        for witness in witnesses {
            let question = WitnessRequest::Promise {
                witness: witness.clone(),
                holder: self.me.clone(),
                leases: leases.clone(),
            };
            self.ask(now, &witness, question, actions);
        }
    }

    /// Asks a witness; if that is this member itself, it answers immediately.
    pub(super) fn ask(
        &mut self,
        now: time::Instant,
        witness: &ids::MemberKey,
        question: WitnessRequest,
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

    /// Until when the received promises are valid, whatever the outcome of writes
    /// that are still unknown.
    pub(super) fn promised_until(&self) -> Option<time::Instant> {
        self.my_member()?;
        if !self.config.guards.need_promises {
            return self.promises_requested_at.map(|at| at + self.config.lease);
        }
        let ends = self
            .witness_lists()
            .into_iter()
            .map(|list| self.received_promises.majority_until(&list));
        ends.min().flatten()
    }

    /// The witness lists that the document in the store may have for this member.
    fn witness_lists(&self) -> Vec<Vec<ids::MemberKey>> {
        let Some(document) = &self.document else {
            return Vec::new();
        };
        let written = witnesses_of(&document.claims, &self.me);
        let unknown_lists = self
            .unknown_writes
            .iter()
            .map(|write| write.witnesses.clone());
        [written].into_iter().chain(unknown_lists).collect()
    }

    /// The leases that the document in the store may name for this member.
    fn possible_leases(&self) -> Vec<ids::LeaseId> {
        let named = self.my_member().map(|member| member.lease);
        let unknown_leases = self.unknown_writes.iter().filter_map(|write| write.lease);
        named.into_iter().chain(unknown_leases).collect()
    }
}

/// The witnesses that a member has listed; the member itself if it listed none.
pub(super) fn witnesses_of(claims: &claims::Claims, key: &ids::MemberKey) -> Vec<ids::MemberKey> {
    match claims.witnesses.get(&key.id) {
        Some(list) if !list.is_empty() => list.clone(),
        _ => vec![key.clone()],
    }
}
