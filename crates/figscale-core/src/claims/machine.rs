//! The claims machine: its state, and what its inputs do to it.
//!
//! What it decides from the state is in the submodules, one a concern: the
//! lease and the reading of the store, promises and releases, and the edits of
//! the document. Decisions depend on the state alone and are taken anew after
//! each input, so no input is needed for anything but what it tells.

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
use super::gone;
use super::lease;
use super::schedule;
use super::schedule::Op;
use super::targets;
use super::witness;

/// Where a member is.
#[derive(Clone, Debug)]
pub struct Site {
    /// Where peers reach it.
    pub peer_address: net::SocketAddr,
    /// Where it stands.
    pub failure_domain: ids::FailureDomain,
}

/// A shard that this member holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    /// Epoch under which it is held.
    pub epoch: ids::Epoch,
    /// When this member came to know that it holds it.
    pub taken_at: time::Instant,
    /// Latest moment at which an earlier holder can have dispatched.
    pub last_foreign_dispatch: time::Instant,
    /// Whether the earlier holder left nothing in progress.
    pub clean: bool,
}

/// What a member shows of its state.
#[derive(Clone, Debug)]
pub struct Status {
    /// Its lease in the store, if any.
    pub lease: Option<ids::LeaseId>,
    /// Whether the document names it in this life.
    pub is_member: bool,
    /// Until when its lease is surely valid.
    pub lease_until: Option<time::Instant>,
    /// Until when a majority of its witnesses has promised.
    pub promised_until: Option<time::Instant>,
    /// Shards that are being given up.
    pub giving: Vec<ids::ShardId>,
    /// Members seen to have lapsed and not yet evicted.
    pub evicting: Vec<ids::MemberKey>,
    /// Writes whose outcome is not known.
    pub unknown_writes: usize,
    /// Whether it has left.
    pub left: bool,
}

/// The document as last seen.
#[derive(Clone, Debug, Default)]
struct Document {
    revision: ids::Revision,
    claims: claims::Claims,
}

/// A shard on its way out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Giving {
    /// Its use was stopped; work may be in progress.
    Draining,
    /// Ready for the document; whether nothing is in progress.
    Ready(bool),
}

/// A write that may have taken effect, or may yet.
#[derive(Clone, Debug)]
struct UnknownWrite {
    base: ids::Revision,
    lease: Option<ids::LeaseId>,
    witnesses: Vec<ids::MemberKey>,
}

/// The claims of one entry instance.
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
    /// Whether the document may have changed by our own doing.
    stale: bool,
    writing: Option<Document>,
    unknown: Vec<UnknownWrite>,
    members_changed_at: time::Instant,
    /// Leases that the document named when the keys were asked for.
    listing: Vec<ids::LeaseId>,
    lapsed: IndexSet<ids::LeaseId>,
    evictions: IndexMap<ids::MemberKey, evict::Eviction>,
    granted: witness::Granted,
    promises: witness::Promises,
    promises_asked_at: Option<time::Instant>,
    gone: gone::Gone,
    /// The platform's list as last read.
    list: Option<sync::Arc<instances::InstanceList>>,
    shards: Vec<ids::ShardId>,
    targets: targets::Memo,
    held: IndexMap<ids::ShardId, Held>,
    giving: IndexMap<ids::ShardId, Giving>,
    leaving: bool,
    left: bool,
}

impl Machine {
    /// A machine that knows nothing yet; `seed` feeds its jitter.
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
            writing: None,
            unknown: Vec::new(),
            members_changed_at: now,
            listing: Vec::new(),
            lapsed: IndexSet::new(),
            evictions: IndexMap::new(),
            granted: witness::Granted::default(),
            promises: witness::Promises::default(),
            promises_asked_at: None,
            gone: gone::Gone::default(),
            shards: Vec::new(),
            list: None,
            targets: targets::Memo::default(),
            held: IndexMap::new(),
            giving: IndexMap::new(),
            leaving: false,
            left: false,
        }
    }

    /// Takes in what happened and returns what to do, in order.
    pub fn handle(&mut self, now: time::Instant, input: Input) -> Vec<Action> {
        self.take_in(now, input);
        let mut actions = Vec::new();
        if self.left {
            return actions;
        }
        if self.is_out() {
            self.left = true;
            let lease = self.lease.take().map(|lease| lease.id);
            actions.extend(lease.map(|lease| Action::Revoke { lease }));
            return actions;
        }
        self.keep_lease(now, &mut actions);
        self.keep_reading(now, &mut actions);
        self.keep_promises(now, &mut actions);
        self.ask_releases(now, &mut actions);
        self.give_up_shards(now, &mut actions);
        self.write(now, &mut actions);
        actions
    }

    /// Until when held shards may be used.
    pub fn authority_until(&self) -> Option<time::Instant> {
        self.lease_until().max(self.promised_until())
    }

    /// Shards that may be used while there is authority.
    pub fn held(&self) -> impl Iterator<Item = (&ids::ShardId, &Held)> {
        self.held.iter().filter(|(id, _)| self.is_usable(id))
    }

    /// Shards that the document gives to this member, drained ones included.
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
        !self.config.guards.stop_before_handover || !self.giving.contains_key(shard)
    }

    /// The document as last seen, with its revision.
    pub fn document(&self) -> Option<(ids::Revision, &claims::Claims)> {
        let document = self.document.as_ref()?;
        Some((document.revision, &document.claims))
    }

    /// Whether it gave up everything and left.
    pub fn has_left(&self) -> bool {
        self.left
    }

    /// What people want to see of the state.
    pub fn status(&self) -> Status {
        Status {
            lease: self.lease.as_ref().map(|lease| lease.id),
            is_member: self.my_member().is_some(),
            lease_until: self.lease_until(),
            promised_until: self.promised_until(),
            giving: self.giving.keys().cloned().collect(),
            evicting: self.evictions.keys().cloned().collect(),
            unknown_writes: self.unknown.len(),
            left: self.left,
        }
    }

    /// Until when the lease that the document names is surely valid.
    fn lease_until(&self) -> Option<time::Instant> {
        let member = self.my_member()?;
        let lease = self.lease.as_ref()?;
        (member.lease == lease.id).then_some(lease.valid_until)?
    }

    /// This life's entry in the document as last seen.
    fn my_member(&self) -> Option<&claims::Member> {
        let member = self.document.as_ref()?.claims.members.get(&self.me.id)?;
        (member.incarnation == self.me.incarnation).then_some(member)
    }

    fn take_in(&mut self, now: time::Instant, input: Input) {
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
                self.gone.read(&list, &self.me.id, now);
                let known = self.list.as_ref();
                // An unchanged list comes as the very same one.
                if !known.is_some_and(|known| sync::Arc::ptr_eq(known, &list)) {
                    self.shards = (self.config.shards_of)(&list);
                    self.list = Some(list);
                }
            }
            Input::ClockJumped => self.clock_jumped(),
            Input::Leave => self.leaving = true,
        }
    }

    fn drained(&mut self, shard: ids::ShardId, clean: bool) {
        if let Some(giving) = self.giving.get_mut(&shard) {
            *giving = Giving::Ready(clean);
        }
    }

    fn clock_jumped(&mut self) {
        self.promises.clear();
        if let Some(lease) = &mut self.lease {
            lease.valid_until = None;
        }
        self.schedule.hurry(Op::Renew, self.started);
    }

    /// Takes in a document that was seen, unless a later one was.
    fn learn(&mut self, now: time::Instant, seen: Document) {
        let known = self.document.as_ref();
        if known.is_some_and(|known| known.revision >= seen.revision) {
            return;
        }
        let old_keys = known.map(|known| known.claims.keys());
        if old_keys != Some(seen.claims.keys()) {
            self.members_changed_at = now;
        }
        self.unknown.retain(|write| write.base >= seen.revision);
        self.update_held(now, &seen.claims);
        let named = |lease: &ids::LeaseId| seen.claims.members.values().any(|m| m.lease == *lease);
        self.lapsed.retain(named);
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
                taken_at: now,
                last_foreign_dispatch: now,
                clean: shard.clean,
            });
            held.insert(id.clone(), entry);
        }
        self.giving.retain(|id, _| {
            let old = self.held.get(id).map(|held| held.epoch);
            old.is_some() && old == held.get(id).map(|held| held.epoch)
        });
        self.held = held;
    }

    /// Time for which a grant or promise can bind, by any clock.
    fn longest_promise(&self) -> time::Duration {
        self.config.lease + self.config.margin
    }
}

/// The document of an answer to a read.
impl From<(ids::Revision, claims::Claims)> for Document {
    fn from((revision, claims): (ids::Revision, claims::Claims)) -> Self {
        Self { revision, claims }
    }
}
