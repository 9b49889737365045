//! The edits of the document: what it should say, and when to write it.

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
use super::Giving;
use super::Machine;
use super::UnknownWrite;

/// Shortest time between two writes of one member, so that changes that come
/// together go into one.
const WRITE_SPACING: time::Duration = time::Duration::from_millis(50);

impl Machine {
    /// Takes in the outcome of a write.
    pub(super) fn written(
        &mut self,
        now: time::Instant,
        result: Result<ids::Revision, StoreFailure>,
    ) {
        let writing = self.writing.take();
        match result {
            Ok(revision) => {
                self.schedule.succeeded(Op::Write, now + WRITE_SPACING);
                if let Some(Document { claims, .. }) = writing {
                    self.learn(now, Document { revision, claims });
                }
            }
            Err(failure) => {
                self.schedule.failed(Op::Write, now, &mut self.rng);
                if failure != StoreFailure::MayHaveRun {
                    // The newest entry is the one of this write.
                    self.unknown.pop();
                }
                if failure.is_answer() || failure == StoreFailure::MayHaveRun {
                    self.stale = true;
                    self.schedule.hurry(Op::Read, now);
                }
            }
        }
    }

    /// Whether everything is given up and the document says so.
    pub(super) fn is_out(&self) -> bool {
        let absent = self.document.is_some() && self.my_member().is_none();
        self.leaving && absent && !self.stale && self.unknown.is_empty()
    }

    /// Stops the use of shards that other members should hold.
    pub(super) fn give_up_shards(&mut self, now: time::Instant, actions: &mut Vec<Action>) {
        let settled = now >= self.members_changed_at + self.config.settle;
        let moves = settled && !self.misses_store(now);
        let Some(document) = &self.document else {
            return;
        };
        if !(moves || self.leaving) || self.my_member().is_none() {
            return;
        }
        let targets = self.targets(&document.claims);
        // A lease that lapsed in an outage may come back with its member, so a
        // shard moves only where the target is the same with and without it.
        let listed = self.targets_among(&document.claims, |_| true);
        for shard in self.held.keys() {
            let target = targets.get(shard);
            let agreed = target == listed.get(shard);
            let stays = target.is_none_or(|target| *target == self.me.id) || !agreed;
            if (!stays || self.leaving) && !self.giving.contains_key(shard) {
                self.giving.insert(shard.clone(), Giving::Draining);
                actions.push(Action::Drain {
                    shard: shard.clone(),
                });
            }
        }
    }

    /// Writes the document when it should say something else.
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
        self.unknown.push(UnknownWrite {
            base,
            lease: member.map(|member| member.lease),
            witnesses: super::promise::witnesses_of(&claims, &self.me),
        });
        self.writing = Some(Document {
            revision: base,
            claims: claims.clone(),
        });
        actions.push(Action::Write { base, claims });
    }

    /// What the document should say.
    fn plan(&self, now: time::Instant, document: &claims::Claims) -> claims::Claims {
        let mut claims = document.clone();
        for holder in self.ready_evictions(now) {
            edit::evict(&mut claims, &holder);
        }
        let other_life = claims.key_of(&self.me.id).is_some_and(|key| key != self.me);
        let absent = !claims.members.contains_key(&self.me.id);
        if other_life || (self.leaving && absent) {
            return claims;
        }
        self.put_member(&mut claims);
        let targets = self.targets(&claims);
        self.hand_over(now, &mut claims, &targets);
        let writes_anyway = claims != *document;
        self.assign_free(&mut claims, &targets, writes_anyway);
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

    /// Keeps the list of witnesses: with any other change, or after a while.
    fn put_witnesses(
        &self,
        now: time::Instant,
        claims: &mut claims::Claims,
        document: &claims::Claims,
    ) {
        let members = claims.keys();
        // One after another, since all members have this to write.
        let mine = members.iter().position(|key| *key == self.me).unwrap_or(0);
        let turn = self.config.settle * u32::try_from(mine).unwrap_or(u32::MAX);
        let late = now >= self.members_changed_at + self.config.heartbeat + turn;
        // Nobody can release a member that has no witness but itself: should it
        // die, its shards would wait until the platform no more lists it.
        let written = super::promise::witnesses_of(document, &self.me);
        let alone = members.len() > 1 && written.iter().all(|key| *key == self.me);
        if *claims != *document || late || alone {
            claims.witnesses.insert(self.me.id.clone(), members);
            claims.witnesses.sort_keys();
        }
    }

    /// Passes on drained shards, all in one write where that is soon possible.
    fn hand_over(
        &self,
        now: time::Instant,
        claims: &mut claims::Claims,
        targets: &IndexMap<ids::ShardId, ids::MemberId>,
    ) {
        let draining = self.giving.values().any(|g| *g == Giving::Draining);
        let patient = now < self.members_changed_at + self.config.heartbeat;
        if draining && patient && !self.leaving {
            return;
        }
        for (shard, giving) in &self.giving {
            let Giving::Ready(clean) = giving else {
                continue;
            };
            let to = targets.get(shard).and_then(|id| claims.key_of(id));
            // Whoever drained it uses it again under a new epoch only, so a
            // shard that is to stay after all is passed on to this member.
            let keeper = (!self.leaving).then(|| self.me.clone());
            edit::hand_over(claims, shard, to.or(keeper), *clean);
        }
    }

    /// Gives free shards to their targets: to this member at once, to others
    /// when there is something to write anyway.
    fn assign_free(
        &self,
        claims: &mut claims::Claims,
        targets: &IndexMap<ids::ShardId, ids::MemberId>,
        writes_anyway: bool,
    ) {
        for (shard, target) in targets {
            let due = *target == self.me.id || writes_anyway;
            if !due || !edit::is_free(claims, shard) {
                continue;
            }
            if let Some(holder) = claims.key_of(target) {
                edit::assign(claims, shard, holder);
            }
        }
    }

    /// The member that should hold each shard.
    fn targets(&self, claims: &claims::Claims) -> rc::Rc<IndexMap<ids::ShardId, ids::MemberId>> {
        self.targets_among(claims, |member| !self.lapsed.contains(&member.lease))
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
