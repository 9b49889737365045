//! The claims machine: its state, and how inputs change it.
//!
//! The decisions made from the state are in the submodules: `observe` (the
//! lease and reads of the store), `promise` and `evict` (promises and
//! releases of witnesses), and `plan` (edits of the document). Decisions
//! depend on the state alone and are made again after each input, so an input
//! only matters for the information that it carries.

mod evict;
mod observe;
mod plan;
mod promise;

use std::net;
use std::sync;
use std::time;

use figscale_types::claims;
use figscale_types::ids;
use figscale_types::instances;
use indexmap::IndexMap;
use indexmap::IndexSet;
use rand::SeedableRng as _;
use rand::rngs;

use super::Action;
use super::Config;
use super::Input;
use super::lease;
use super::missing;
use super::schedule;
use super::schedule::Op;
use super::targets;
use super::witness;

/// Location of a member.
#[derive(Clone, Debug)]
pub struct Site {
    /// Address at which peers reach it.
    pub peer_address: net::SocketAddr,
    /// Failure domain of its instance.
    pub failure_domain: ids::FailureDomain,
}

/// A shard that this member holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    /// Epoch under which it is held.
    pub epoch: ids::Epoch,
    /// When this member learned that it holds the shard.
    pub acquired_at: time::Instant,
    /// Latest time at which an earlier holder can have dispatched work.
    pub last_foreign_dispatch: time::Instant,
    /// Whether the earlier holder left no work in progress.
    pub clean: bool,
}

/// State of a member, for operators and logs.
#[derive(Clone, Debug)]
pub struct Status {
    /// Its lease in the store, if any.
    pub lease: Option<ids::LeaseId>,
    /// Whether the document lists this incarnation of it.
    pub is_member: bool,
    /// Until when its lease is certainly valid.
    pub lease_until: Option<time::Instant>,
    /// Until when the promises of a majority of its witnesses are valid.
    pub promised_until: Option<time::Instant>,
    /// Shards that are being drained and handed over.
    pub giving: Vec<ids::ShardId>,
    /// Members whose lease has expired and that are not yet evicted.
    pub evicting: Vec<ids::MemberKey>,
    /// Number of writes whose outcome is unknown.
    pub unknown_writes: usize,
    /// Whether it has left.
    pub left: bool,
}

/// The document as last read or written.
#[derive(Clone, Debug, Default)]
struct Document {
    revision: ids::Revision,
    claims: claims::Claims,
}

/// State of a shard that is being handed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Handover {
    /// No longer used; work may still be in progress.
    Draining,
    /// Drained, so that the document may be written; whether no work is left
    /// in progress.
    Ready(bool),
}

/// A write that may have taken effect, or may do so later.
#[derive(Clone, Debug)]
struct UnknownWrite {
    base: ids::Revision,
    lease: Option<ids::LeaseId>,
    witnesses: Vec<ids::MemberKey>,
}

/// The claims protocol as run by one entry instance.
#[derive(Debug)]
pub struct Machine {
    config: Config,
    me: ids::MemberKey,
    site: Site,
    started: time::Instant,
    rng: rngs::SmallRng,
    schedule: schedule::Schedule,
    lease: Option<lease::OwnLease>,
    /// Time before the last call that granted or renewed the lease.
    last_renewed: Option<time::Instant>,
    document: Option<Document>,
    /// Whether a write of this member may have changed the document since it was
    /// read.
    stale: bool,
    pending_write: Option<Document>,
    unknown_writes: Vec<UnknownWrite>,
    members_changed_at: time::Instant,
    /// Leases that the document named when the list of keys was requested.
    leases_to_check: Vec<ids::LeaseId>,
    expired: IndexSet<ids::LeaseId>,
    evictions: IndexMap<ids::MemberKey, evict::Eviction>,
    witness_record: witness::WitnessRecord,
    received_promises: witness::ReceivedPromises,
    promises_requested_at: Option<time::Instant>,
    missing_members: missing::MissingMembers,
    /// The platform's instance list as last read.
    instance_list: Option<sync::Arc<instances::InstanceList>>,
    shards: Vec<ids::ShardId>,
    targets: targets::Cache,
    held: IndexMap<ids::ShardId, Held>,
    handovers: IndexMap<ids::ShardId, Handover>,
    leaving: bool,
    left: bool,
}

impl Machine {
    /// Creates a machine without any knowledge of the store; `seed` determines
    /// its jitter.
    pub fn new(
        config: Config,
        me: ids::MemberKey,
        site: Site,
        seed: u64,
        now: time::Instant,
    ) -> Self {
        Self {
            schedule: schedule::Schedule::new(now, config.heartbeat),
            config,
            me,
            site,
            started: now,
            rng: rngs::SmallRng::seed_from_u64(seed),
            lease: None,
            last_renewed: None,
            document: None,
            stale: false,
            pending_write: None,
            unknown_writes: Vec::new(),
            members_changed_at: now,
            leases_to_check: Vec::new(),
            expired: IndexSet::new(),
            evictions: IndexMap::new(),
            witness_record: witness::WitnessRecord::default(),
            received_promises: witness::ReceivedPromises::default(),
            promises_requested_at: None,
            missing_members: missing::MissingMembers::default(),
            shards: Vec::new(),
            instance_list: None,
            targets: targets::Cache::default(),
            held: IndexMap::new(),
            handovers: IndexMap::new(),
            leaving: false,
            left: false,
        }
    }

    /// Processes an input and returns the actions to execute, in order.
    pub fn handle(&mut self, now: time::Instant, input: Input) -> Vec<Action> {
        self.apply_input(now, input);
        let mut actions = Vec::new();
        if self.left {
            return actions;
        }
        if self.has_finished_leaving() {
            self.left = true;
            let lease = self.lease.take().map(|lease| lease.id);
            actions.extend(lease.map(|lease| Action::Revoke { lease }));
            return actions;
        }
        self.maintain_lease(now, &mut actions);
        self.refresh_document(now, &mut actions);
        self.request_promises(now, &mut actions);
        self.request_releases(now, &mut actions);
        self.start_handovers(now, &mut actions);
        self.write(now, &mut actions);
        actions
    }

    /// Until when the held shards may be used.
    pub fn authority_until(&self) -> Option<time::Instant> {
        self.lease_until().max(self.promised_until())
    }

    /// Shards that may be used until [`Machine::authority_until`].
    pub fn held(&self) -> impl Iterator<Item = (&ids::ShardId, &Held)> {
        self.held.iter().filter(|(id, _)| self.is_usable(id))
    }

    /// All shards that the document assigns to this member, including those
    /// that are being handed over.
    pub fn all_held(&self) -> impl Iterator<Item = (&ids::ShardId, &Held)> {
        self.held.iter()
    }

    /// Whether a shard may be used at `now`.
    pub fn may_use(&self, shard: &ids::ShardId, now: time::Instant) -> bool {
        self.held.contains_key(shard)
            && self.is_usable(shard)
            && self.authority_until().is_some_and(|until| now < until)
    }

    fn is_usable(&self, shard: &ids::ShardId) -> bool {
        !self.config.guards.stop_before_handover || !self.handovers.contains_key(shard)
    }

    /// The latest known document, with its revision.
    pub fn document(&self) -> Option<(ids::Revision, &claims::Claims)> {
        let document = self.document.as_ref()?;
        Some((document.revision, &document.claims))
    }

    /// Whether this member has handed over all shards and left.
    pub fn has_left(&self) -> bool {
        self.left
    }

    /// Summary of the state, for operators and logs.
    pub fn status(&self) -> Status {
        Status {
            lease: self.lease.as_ref().map(|lease| lease.id),
            is_member: self.my_member().is_some(),
            lease_until: self.lease_until(),
            promised_until: self.promised_until(),
            giving: self.handovers.keys().cloned().collect(),
            evicting: self.evictions.keys().cloned().collect(),
            unknown_writes: self.unknown_writes.len(),
            left: self.left,
        }
    }

    /// Until when the lease that the document names is certainly valid.
    fn lease_until(&self) -> Option<time::Instant> {
        let member = self.my_member()?;
        let lease = self.lease.as_ref()?;
        (member.lease == lease.id).then_some(lease.valid_until)?
    }

    /// The entry of this incarnation in the latest known document.
    fn my_member(&self) -> Option<&claims::Member> {
        let member = self.document.as_ref()?.claims.members.get(&self.me.id)?;
        (member.incarnation == self.me.incarnation).then_some(member)
    }

    fn apply_input(&mut self, now: time::Instant, input: Input) {
        match input {
            Input::Tick => {}
            Input::Granted { sent_at, result } => self.granted(now, sent_at, result),
            Input::Announced { lease, result } => self.announced(now, lease, result),
            Input::Renewed {
                lease,
                sent_at,
                result,
            } => self.renewed(now, lease, sent_at, result),
            Input::Read { result, asked } => self.read(now, result, asked),
            Input::Listed { result } => self.listed(now, result),
            Input::Written { result } => self.written(now, result),
            Input::Drained { shard, clean } => self.drained(shard, clean),
            Input::Answered {
                question,
                sent_at,
                answer,
            } => self.answered(question, sent_at, answer),
            Input::Instances(list) => {
                self.missing_members.read(&list, &self.me.id, now);
                let known = self.instance_list.as_ref();
                // An unchanged list arrives as the same `Arc`.
                if !known.is_some_and(|known| sync::Arc::ptr_eq(known, &list)) {
                    self.shards = (self.config.shards_of)(&list);
                    self.instance_list = Some(list);
                }
            }
            Input::ClockJumped => self.clock_jumped(),
            Input::Leave => self.leaving = true,
        }
    }

    fn drained(&mut self, shard: ids::ShardId, clean: bool) {
        if let Some(handover) = self.handovers.get_mut(&shard) {
            *handover = Handover::Ready(clean);
        }
    }

    fn clock_jumped(&mut self) {
        self.received_promises.clear();
        if let Some(lease) = &mut self.lease {
            lease.valid_until = None;
        }
        self.schedule.make_due(Op::Renew, self.started);
    }

    /// Adopts a document that was read or written, unless a later one is known.
    fn adopt(&mut self, now: time::Instant, seen: Document) {
        let known = self.document.as_ref();
        if known.is_some_and(|known| known.revision >= seen.revision) {
            return;
        }
        let old_keys = known.map(|known| known.claims.keys());
        if old_keys != Some(seen.claims.keys()) {
            self.members_changed_at = now;
        }
        self.unknown_writes
            .retain(|write| write.base >= seen.revision);
        self.update_held(now, &seen.claims);
        let named = |lease: &ids::LeaseId| seen.claims.members.values().any(|m| m.lease == *lease);
        self.expired.retain(named);
        self.evictions.retain(|key, eviction| {
            let member = seen.claims.members.get(&key.id);
            member.is_some_and(|m| m.incarnation == key.incarnation && m.lease == eviction.lease)
        });
        self.document = Some(seen);
    }

    fn update_held(&mut self, now: time::Instant, claims: &claims::Claims) {
        let mut held = IndexMap::new();
        for (id, shard) in claims.shards_of(&self.me) {
            let same = self.held.get(id).filter(|held| held.epoch == shard.epoch);
            let entry = same.cloned().unwrap_or(Held {
                epoch: shard.epoch,
                acquired_at: now,
                last_foreign_dispatch: now,
                clean: shard.clean,
            });
            held.insert(id.clone(), entry);
        }
        self.handovers.retain(|id, _| {
            let old = self.held.get(id).map(|held| held.epoch);
            old.is_some() && old == held.get(id).map(|held| held.epoch)
        });
        self.held = held;
    }

    /// Longest time for which a lease or promise can be valid, by any clock.
    fn longest_promise(&self) -> time::Duration {
        self.config.lease + self.config.margin
    }
}

impl From<(ids::Revision, claims::Claims)> for Document {
    fn from((revision, claims): (ids::Revision, claims::Claims)) -> Self {
        Self { revision, claims }
    }
}
