//! Snapshots that control services publish and traffic threads read.
//!
//! A snapshot is immutable and replaced as a whole, so a reader never sees a
//! partial change and never blocks. The [`Authority`] must hold at the moment of
//! a dispatch; it is therefore not part of a snapshot but an atomic that is read
//! immediately before and after each dispatch.

use std::sync;
use std::sync::atomic;
use std::time;

pub use figscale_core::claims::Held;
use figscale_types::catalogue;
use figscale_types::claims;
use figscale_types::ids;
use figscale_types::instances;
use indexmap::IndexMap;
use tokio::sync::watch;

/// The time until which this process may use the shards that it holds.
///
/// Written by the claims service, read before and after every dispatch. Stored
/// as nanoseconds since the start of the process; zero means no authority.
#[derive(Debug)]
pub struct Authority {
    base: time::Instant,
    valid_until_ns: atomic::AtomicU64,
}

impl Authority {
    /// Creates it without authority; `base` is the start of the process.
    pub fn new(base: time::Instant) -> Self {
        Self {
            base,
            valid_until_ns: atomic::AtomicU64::new(0),
        }
    }

    /// Extends or shortens the authority.
    pub fn set_valid_until(&self, until: time::Instant) {
        let nanos = until.saturating_duration_since(self.base).as_nanos();
        let nanos = u64::try_from(nanos).unwrap_or(u64::MAX);
        self.valid_until_ns.store(nanos, atomic::Ordering::SeqCst);
    }

    /// Ends the authority at once.
    pub fn revoke(&self) {
        self.valid_until_ns.store(0, atomic::Ordering::SeqCst);
    }

    /// When the authority ends.
    pub fn valid_until(&self) -> time::Instant {
        let nanos = self.valid_until_ns.load(atomic::Ordering::SeqCst);
        self.base + time::Duration::from_nanos(nanos)
    }

    /// Whether a dispatch may be written at `now`.
    pub fn is_valid(&self, now: time::Instant) -> bool {
        now < self.valid_until()
    }
}

/// Snapshot published by the claims service.
#[derive(Clone, Debug)]
pub struct ClaimsView {
    /// This process.
    pub me: ids::MemberKey,
    /// Revision of the document in the store.
    pub revision: ids::Revision,
    /// The document: members, shards and their holders.
    pub claims: claims::Claims,
    /// Shards that this process holds and may use while it has authority.
    pub held: IndexMap<ids::ShardId, Held>,
    /// The platform's instance list, as last read.
    pub instances: sync::Arc<instances::InstanceList>,
    /// Runners and workers by shard, leaving ones included.
    pub by_shard: IndexMap<ids::ShardId, Vec<instances::Instance>>,
}

impl ClaimsView {
    /// The view before the first read.
    pub fn empty(me: ids::MemberKey) -> Self {
        Self {
            me,
            revision: ids::Revision(0),
            claims: claims::Claims::default(),
            held: IndexMap::new(),
            instances: sync::Arc::default(),
            by_shard: IndexMap::new(),
        }
    }

    /// The holder of a shard with the address of its peer link.
    pub fn holder(&self, shard: &ids::ShardId) -> Option<(&ids::MemberKey, &claims::Member)> {
        let key = self.claims.shards.get(shard)?.holder.as_ref()?;
        let member = self.claims.members.get(&key.id)?;
        (member.incarnation == key.incarnation).then_some((key, member))
    }
}

/// State shared with the traffic threads.
#[derive(Debug)]
pub struct Shared {
    /// Right to use held shards.
    pub authority: Authority,
    /// Members, shards and instances.
    pub claims: watch::Sender<sync::Arc<ClaimsView>>,
    /// The catalogue in force.
    pub catalogue: watch::Sender<sync::Arc<catalogue::Accepted>>,
    /// Set when shutdown begins: not ready, no new work.
    pub leaving: watch::Sender<bool>,
}

impl Shared {
    /// Creates empty snapshots without authority.
    pub fn new(me: ids::MemberKey, now: time::Instant) -> Self {
        let view = sync::Arc::new(ClaimsView::empty(me));
        Self {
            authority: Authority::new(now),
            claims: watch::Sender::new(view),
            catalogue: watch::Sender::new(sync::Arc::default()),
            leaving: watch::Sender::new(false),
        }
    }

    /// The claims as last published.
    pub fn claims_now(&self) -> sync::Arc<ClaimsView> {
        self.claims.borrow().clone()
    }

    /// The catalogue in force.
    pub fn catalogue_now(&self) -> sync::Arc<catalogue::Accepted> {
        self.catalogue.borrow().clone()
    }
}

/// Resources that every service of a process receives at its start.
#[derive(Clone)]
pub struct Context {
    /// The registry of services.
    pub kernel: sync::Arc<crate::kernel::Kernel>,
    /// Snapshots and authority.
    pub shared: sync::Arc<Shared>,
    /// The validated settings.
    pub settings: sync::Arc<crate::settings::Settings>,
    /// The clock.
    pub clock: figscale_types::clock::SharedClock,
    /// Links to other entry instances.
    pub peers: sync::Arc<crate::peer::Peers>,
    /// The client of the platform's key-value service and instance list.
    pub store: sync::Arc<crate::store::Store>,
    /// Counters, gauges and histograms.
    pub metrics: sync::Arc<crate::metrics::Metrics>,
    /// The runtime on which connections and requests are handled.
    pub traffic: tokio::runtime::Handle,
}

impl Context {
    /// This process's name and incarnation.
    pub fn me(&self) -> ids::MemberKey {
        self.shared.claims.borrow().me.clone()
    }
}
