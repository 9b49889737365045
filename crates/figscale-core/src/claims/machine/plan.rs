//! Edits of the document: its intended content, and when to write it.

use std::rc;
use std::time;

use figscale_types::claims;
use figscale_types::ids;
use indexmap::IndexMap;

use super::super::Action;
use super::super::StoreFailure;
use super::super::edit;
use super::super::schedule::Op;
use super::Document;
use super::Handover;
use super::Machine;
use super::UnknownWrite;

/// Minimum time between two writes of one member, so that changes that occur
/// together are combined into one write.
const WRITE_SPACING: time::Duration = time::Duration::from_millis(50);

impl Machine {
    /// Processes the result of a write.
    pub(super) fn written(
        &mut self,
        now: time::Instant,
        result: Result<ids::Revision, StoreFailure>,
    ) {
        let write = self.pending_write.take();
        match result {
            Ok(revision) => {
                self.schedule.succeeded(Op::Write, now + WRITE_SPACING);
                if let Some(Document { claims, .. }) = write {
                    self.adopt(now, Document { revision, claims });
                }
            }
            Err(failure) => {
                self.schedule.failed(Op::Write, now, &mut self.rng);
                if failure != StoreFailure::MayHaveRun {
                    // The last element belongs to this write.
                    self.unknown_writes.pop();
                }
                if failure.is_answer() || failure == StoreFailure::MayHaveRun {
                    self.stale = true;
                    self.schedule.make_due(Op::Read, now);
                }
            }
        }
    }

    /// Whether this member has handed over all shards and the document no longer
    /// lists it.
    pub(super) fn has_finished_leaving(&self) -> bool {
        let absent = self.document.is_some() && self.my_member().is_none();
        self.leaving && absent && !self.stale && self.unknown_writes.is_empty()
    }

    /// Starts to drain the shards that other members should hold; all shards when
    /// this member is leaving.
    pub(super) fn start_handovers(&mut self, now: time::Instant, actions: &mut Vec<Action>) {
        let settled = now >= self.members_changed_at + self.config.settle;
        let may_move = settled && !self.is_store_unavailable(now);
        let Some(document) = &self.document else {
            return;
        };
        if !(may_move || self.leaving) || self.my_member().is_none() {
            return;
        }
        let targets = self.targets(&document.claims);
        // A member whose lease expired during an outage of the store may get a
        // new one, so a shard moves only if its target is the same with and
        // without such members.
        let listed = self.targets_among(&document.claims, |_| true);
        for shard in self.held.keys() {
            let target = targets.get(shard);
            let same_target = target == listed.get(shard);
            let stays = target.is_none_or(|target| *target == self.me.id) || !same_target;
            if (!stays || self.leaving) && !self.handovers.contains_key(shard) {
                self.handovers.insert(shard.clone(), Handover::Draining);
                actions.push(Action::Drain {
                    shard: shard.clone(),
                });
            }
        }
    }

    /// Writes the document if its content should change.
    pub(super) fn write(&mut self, now: time::Instant, actions: &mut Vec<Action>) {
        let announced = self.lease.as_ref().is_some_and(|lease| lease.announced);
        if !announced || self.stale || self.schedule.is_running(Op::Write) {
            return;
        }
        let Some(document) = &self.document else {
            return;
        };
        let base = document.revision;
        let claims = self.plan(now, &document.claims);
        if claims == document.claims || !self.schedule.start(Op::Write, now) {
            return;
        }
        let member = claims.members.get(&self.me.id);
        self.unknown_writes.push(UnknownWrite {
            base,
            lease: member.map(|member| member.lease),
            witnesses: super::promise::witnesses_of(&claims, &self.me),
        });
        self.pending_write = Some(Document {
            revision: base,
            claims: claims.clone(),
        });
        actions.push(Action::Write { base, claims });
    }

    /// Computes the intended content of the document.
    fn plan(&self, now: time::Instant, document: &claims::Claims) -> claims::Claims {
        let mut claims = document.clone();
        for holder in self.ready_evictions(now) {
            edit::evict(&mut claims, &holder);
        }
        let other_incarnation = claims.key_of(&self.me.id).is_some_and(|key| key != self.me);
        let absent = !claims.members.contains_key(&self.me.id);
        if other_incarnation || (self.leaving && absent) {
            return claims;
        }
        self.put_member(&mut claims);
        let targets = self.targets(&claims);
        self.complete_handovers(now, &mut claims, &targets);
        let has_changes = claims != *document;
        self.assign_free(&mut claims, &targets, has_changes);
        self.put_witnesses(now, &mut claims, document);
        let holds = claims.shards_of(&self.me).next().is_some();
        if self.leaving && !holds {
            edit::remove(&mut claims, &self.me.id);
        }
        claims
    }

    fn put_member(&self, claims: &mut claims::Claims) {
        let Some(lease) = &self.lease else {
            return;
        };
        let member = claims::Member {
            incarnation: self.me.incarnation,
            peer_address: self.site.peer_address,
            failure_domain: self.site.failure_domain.clone(),
            lease: lease.id,
            leaving: self.leaving,
        };
        claims.members.insert(self.me.id.clone(), member);
        claims.members.sort_keys();
    }

    /// Updates the witness list of this member: along with any other change, or
    /// after a delay.
    fn put_witnesses(
        &self,
        now: time::Instant,
        claims: &mut claims::Claims,
        document: &claims::Claims,
    ) {
        let members = claims.keys();
        // Staggered, since all members have to write their lists.
        let position = members.iter().position(|key| *key == self.me).unwrap_or(0);
        let stagger = self.config.settle * u32::try_from(position).unwrap_or(u32::MAX);
        let due = now >= self.members_changed_at + self.config.heartbeat + stagger;
        // No other member can release the lease of a member whose only witness
        // is itself: if it died, its shards would stay unused until the
        // platform's instance list drops it.
        let written = super::promise::witnesses_of(document, &self.me);
        let only_self = members.len() > 1 && written.iter().all(|key| *key == self.me);
        if *claims != *document || due || only_self {
            claims.witnesses.insert(self.me.id.clone(), members);
            claims.witnesses.sort_keys();
        }
    }

    /// Hands over drained shards, all in one write if the rest are drained soon.
    fn complete_handovers(
        &self,
        now: time::Instant,
        claims: &mut claims::Claims,
        targets: &IndexMap<ids::ShardId, ids::MemberId>,
    ) {
        let draining = self
            .handovers
            .values()
            .any(|handover| *handover == Handover::Draining);
        let wait = now < self.members_changed_at + self.config.heartbeat;
        if draining && wait && !self.leaving {
            return;
        }
        for (shard, handover) in &self.handovers {
            let Handover::Ready(clean) = handover else {
                continue;
            };
            let to = targets.get(shard).and_then(|id| claims.key_of(id));
            // A member uses a shard that it has drained again only under a new
            // epoch, so a shard that is to stay after all is handed over to this
            // same member.
            let fallback = (!self.leaving).then(|| self.me.clone());
            edit::hand_over(claims, shard, to.or(fallback), *clean);
        }
    }

    /// Assigns free shards to their targets: to this member immediately, to
    /// others only along with another change of the document.
    fn assign_free(
        &self,
        claims: &mut claims::Claims,
        targets: &IndexMap<ids::ShardId, ids::MemberId>,
        has_changes: bool,
    ) {
        for (shard, target) in targets {
            let due = *target == self.me.id || has_changes;
            if !due || !edit::is_free(claims, shard) {
                continue;
            }
            if let Some(holder) = claims.key_of(target) {
                edit::assign(claims, shard, holder);
            }
        }
    }

    /// The member that should hold each shard, among those whose lease has not
    /// expired.
    fn targets(&self, claims: &claims::Claims) -> rc::Rc<IndexMap<ids::ShardId, ids::MemberId>> {
        self.targets_among(claims, |member| !self.expired.contains(&member.lease))
    }

    fn targets_among(
        &self,
        claims: &claims::Claims,
        counts: impl Fn(&claims::Member) -> bool,
    ) -> rc::Rc<IndexMap<ids::ShardId, ids::MemberId>> {
        let live = claims
            .members
            .iter()
            .filter(|(_, member)| !member.leaving && counts(member))
            .filter(|(id, _)| !(self.leaving && **id == self.me.id));
        let members: Vec<_> = live
            .map(|(id, member)| (id.clone(), member.failure_domain.clone()))
            .collect();
        let mut shards: Vec<_> = self.shards.iter().chain(claims.shards.keys()).collect();
        shards.sort();
        shards.dedup();
        self.targets.targets(&shards, &members)
    }
}
