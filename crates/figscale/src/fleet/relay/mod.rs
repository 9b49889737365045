//! Calls of workers through other entry instances.
//!
//! The leader of a large fleet does not hold the links to all workers. Each
//! instance that greets it carries the calls of some of them: those of its own
//! failure domain where there are any, spread by rendezvous hashing, so that an
//! instance that comes or goes moves no workers but its own. Orders and answers
//! go in batches over one stream to each instance. So the leader pays for a few
//! messages between instances in place of a call each, and a text that the tasks
//! of a job share crosses its link once a batch.
//!
//! A relay decides nothing and keeps nothing. Whatever it is told carries the
//! leader's epoch, a reading of the worker's clock or an attempt, by which the
//! worker itself refuses what comes too late. The leader may make any call again
//! directly: a worker that gets a call twice does no more than once.

mod link;
mod orders;
mod serve;

use std::net;
use std::sync;
use std::time;

use figscale_core::fleet as scheduling;
use figscale_types::fleet;
use figscale_types::hash;
use figscale_types::ids;
use indexmap::IndexMap;

use super::Context;

pub(super) use link::Link;
pub(super) use orders::Answer;
pub(super) use orders::Call;
pub(super) use orders::Order;
pub(super) use serve::start;

/// Name of the stream's handler among peers.
const STREAM: &str = "fleet-relay";
/// A relay whose call was overtaken by a direct one is left out for so long.
const SET_ASIDE: time::Duration = time::Duration::from_secs(2);

/// Workers up to which the leader calls them itself while their relay is set aside.
/// Only direct calls show that calls of workers get lost; with more workers they
/// would keep a late leader late.
const MAX_CALLED_DIRECTLY: usize = 1_500;

/// Whether a fleet has more workers than its leader could call directly.
pub(super) fn is_large(workers: usize) -> bool {
    workers > MAX_CALLED_DIRECTLY
}

/// An instance that can carry calls.
struct Relay {
    failure_domain: ids::FailureDomain,
    link: sync::Arc<Link>,
}

/// The instances that carry calls in one term.
pub(super) struct Relays {
    context: Context,
    relays: IndexMap<ids::MemberId, Relay>,
}

impl Relays {
    pub(super) fn new(context: &Context) -> Self {
        Self {
            context: context.clone(),
            relays: IndexMap::new(),
        }
    }

    /// An instance greets the leader.
    pub(super) fn joined(
        &mut self,
        member: &ids::MemberId,
        address: net::SocketAddr,
        failure_domain: ids::FailureDomain,
    ) {
        let known = self.relays.get(member);
        if known.is_some_and(|relay| relay.link.address() == address) {
            return;
        }
        let link = Link::new(&self.context, address);
        let relay = Relay {
            failure_domain,
            link: sync::Arc::new(link),
        };
        self.relays.insert(member.clone(), relay);
    }

    /// An instance is gone.
    pub(super) fn left(&mut self, member: &ids::MemberId) {
        self.relays.swap_remove(member);
    }

    /// The instance that carries the calls of a worker; `None` for the leader
    /// itself. In a large fleet another relay stands in for one that is set aside.
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
        let carriers = self
            .relays
            .iter()
            .map(|(member, relay)| scheduling::Carrier {
                near: relay.failure_domain.as_str() == failure_domain,
                set_aside: is_large(workers) && relay.link.is_set_aside(now),
                hash: hash::hash(&[member.as_str(), worker.as_str()]),
            });
        let position = scheduling::choose_carrier(carriers)?;
        let (_, relay) = self.relays.get_index(position)?;
        (is_large(workers) || !relay.link.is_set_aside(now)).then(|| relay.link.clone())
    }
}
