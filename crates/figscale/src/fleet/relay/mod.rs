//! Calls to workers that other entry instances relay for the leader.
//!
//! The leader of a large fleet does not connect to all workers itself. Each
//! instance that sends it heartbeats relays the calls of some of them. A worker's
//! relay is chosen by rendezvous hashing, among the instances of the worker's
//! failure domain if there are any, so that an instance that joins or leaves moves
//! no workers but its own. Orders and answers are sent in batches over one stream
//! to each instance. The leader thus pays for a few messages between instances in
//! place of one call per order, and a task description that several tasks of a job
//! share is sent once per batch.
//!
//! A relay makes no decisions and holds no state. Each order carries the leader's
//! epoch, a reading of the worker's clock or an attempt number, by which the worker
//! refuses orders that arrive too late. Calls are idempotent at the worker, so the
//! leader may repeat any of them directly.

mod link;
mod orders;
mod serve;

use std::net;
use std::sync;

use figscale_core::fleet as scheduling;
use figscale_types::fleet;
use figscale_types::ids;
use figscale_types::mutex;
use indexmap::IndexMap;

use super::Context;

pub(super) use link::Link;
pub(super) use orders::Answer;
pub(super) use orders::Call;
pub(super) use orders::Order;
pub(super) use serve::start;

/// Name of the peer stream handler.
const STREAM: &str = "fleet-relay";

/// Largest number of workers at which the leader calls the workers of an ejected
/// relay directly. Only direct calls show whether calls to workers get lost; with
/// more workers, direct calls would keep a leader that has fallen behind from
/// catching up.
const MAX_CALLED_DIRECTLY: usize = 1_500;

/// Whether a fleet has too many workers for its leader to call them directly.
pub(super) fn is_large(workers: usize) -> bool {
    workers > MAX_CALLED_DIRECTLY
}

/// The relays to choose from, shared with the links, which eject them.
type SharedTable = sync::Arc<sync::Mutex<scheduling::RelayTable>>;

/// The relays of one term.
pub(super) struct Relays {
    context: Context,
    table: SharedTable,
    links: IndexMap<ids::MemberId, sync::Arc<Link>>,
}

impl Relays {
    pub(super) fn new(context: &Context) -> Self {
        Self {
            context: context.clone(),
            table: SharedTable::default(),
            links: IndexMap::new(),
        }
    }

    /// Adds an instance that has sent a heartbeat, or updates its address.
    pub(super) fn add_or_update(
        &mut self,
        member: &ids::MemberId,
        address: net::SocketAddr,
        failure_domain: ids::FailureDomain,
    ) {
        let known = self.links.get(member);
        if known.is_some_and(|link| link.address() == address) {
            return;
        }
        let link = Link::new(&self.context, member, address, &self.table);
        self.links.insert(member.clone(), sync::Arc::new(link));
        mutex::lock(&self.table).add(member, failure_domain.as_str());
    }

    /// Removes an instance that is gone.
    pub(super) fn remove(&mut self, member: &ids::MemberId) {
        self.links.swap_remove(member);
        mutex::lock(&self.table).remove(member);
    }

    /// The relay for a worker's calls; `None` if the leader makes them itself. In a
    /// large fleet another relay replaces one that is ejected.
    pub(super) fn relay_of(
        &self,
        worker: &fleet::WorkerId,
        failure_domain: &str,
        workers: usize,
    ) -> Option<sync::Arc<Link>> {
        if workers as u64 <= self.context.fleet.own_workers {
            return None;
        }
        let now = self.context.clock.now();
        let table = mutex::lock(&self.table);
        let chosen = table.choose(worker.name(), failure_domain, |member| {
            is_large(workers) && table.is_ejected(member, now)
        })?;
        let link = self.links.get(chosen)?;
        (is_large(workers) || !table.is_ejected(chosen, now)).then(|| link.clone())
    }
}
