//! What a home knows of the placers, and which placer an order goes to.
//!
//! When a placer refuses a size for lack of capacity, no order of that size or a
//! larger one is sent to it for a while. Then it is probed with one order at a
//! time, until one is placed or the placer reports free resources. A queue of ten
//! thousand tasks that fit nowhere thus costs each placer one order per probe.
//! With full calls instead of probes, such a queue blocked the control thread for
//! 850 ms at a time on two instances, longer than the margin of their leases. The
//! cost is one more round trip before such a queue moves again.

use std::time;

use figscale_types::ids;
use figscale_types::sizes;
use indexmap::IndexMap;

use crate::job::message;

/// A size that a placer had no capacity for.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    size: sizes::Resources,
    /// Until when no order of this size is sent; from then on it is probed.
    until: time::Instant,
}

/// What a home knows of a placer.
#[derive(Clone, Debug, Default)]
pub(super) struct View {
    /// Whether a call to place tasks is in flight.
    pub(super) call_in_flight: bool,
    summary: message::Summary,
    refusals: Vec<Refusal>,
}

/// How many orders of a size a placer may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Availability {
    /// As many as fit into a call.
    Open,
    /// A single one.
    Probe,
    /// None yet.
    Closed,
}

impl View {
    /// Records that it has no capacity for a size; the empty size stands for all sizes.
    pub(super) fn record_refusal(&mut self, size: sizes::Resources, until: time::Instant) {
        let covered = |refusal: &Refusal| size.holds(&refusal.size) && refusal.until >= until;
        if self.refusals.iter().any(covered) {
            return;
        }
        self.refusals.retain(|refusal| !refusal.size.holds(&size));
        self.refusals.push(Refusal { size, until });
    }

    /// Records that a task of a size was placed.
    pub(super) fn record_placed(&mut self, size: &sizes::Resources) {
        self.refusals.retain(|refusal| !size.holds(&refusal.size));
    }

    /// Sets the summary that came with an answer.
    pub(super) fn set_summary(&mut self, summary: message::Summary) {
        self.summary = summary;
    }

    /// Sets a summary that was pushed because resources may be free again.
    pub(super) fn set_pushed_summary(&mut self, summary: message::Summary) {
        let largest = summary.largest_free;
        self.refusals
            .retain(|refusal| !largest.holds(&refusal.size));
        self.summary = summary;
    }

    fn availability(&self, now: time::Instant, size: &sizes::Resources) -> Availability {
        if self.call_in_flight {
            return Availability::Closed;
        }
        let refused = self
            .refusals
            .iter()
            .filter(|refusal| size.holds(&refusal.size));
        let until = refused.map(|refusal| refusal.until).max();
        match until {
            None => Availability::Open,
            Some(until) if until <= now => Availability::Probe,
            Some(_) => Availability::Closed,
        }
    }
}

/// The orders of one pass over the queue.
pub(super) struct Pass {
    now: time::Instant,
    /// The placer of this process, preferred over others.
    own: Option<ids::MemberKey>,
    /// Most orders in one call.
    max_call_orders: usize,
    orders: IndexMap<ids::MemberKey, Vec<message::TaskOrder>>,
    /// Sizes that no placer accepts now; larger ones are not tried.
    unplaceable: Vec<sizes::Resources>,
}

impl Pass {
    pub(super) fn new(
        now: time::Instant,
        own: Option<ids::MemberKey>,
        max_call_orders: usize,
    ) -> Self {
        Self {
            now,
            own,
            max_call_orders,
            orders: IndexMap::new(),
            unplaceable: Vec::new(),
        }
    }

    /// Whether no placer accepts an order of any size.
    pub(super) fn is_exhausted(&self) -> bool {
        let empty = sizes::Resources::default();
        self.unplaceable.contains(&empty)
    }

    /// Chooses a placer: that of this process first, then the one with the most free CPU.
    pub(super) fn choose(
        &mut self,
        views: &IndexMap<ids::MemberKey, View>,
        size: &sizes::Resources,
    ) -> Option<ids::MemberKey> {
        if self.unplaceable.iter().any(|smaller| size.holds(smaller)) {
            return None;
        }
        let chosen = self.best(views, size);
        if chosen.is_none() {
            self.unplaceable.push(*size);
            let empty = sizes::Resources::default();
            if self.best(views, &empty).is_none() {
                self.unplaceable.push(empty);
            }
        }
        chosen
    }

    fn best(
        &self,
        views: &IndexMap<ids::MemberKey, View>,
        size: &sizes::Resources,
    ) -> Option<ids::MemberKey> {
        let accepts = |(key, view): &(&ids::MemberKey, &View)| self.accepts(key, view, size);
        let rank = |(key, view): &(&ids::MemberKey, &View)| {
            let own = self.own.as_ref() == Some(*key);
            (own, view.summary.free.cpu_millis)
        };
        let best = views.iter().filter(accepts).max_by_key(rank)?;
        Some(best.0.clone())
    }

    fn accepts(&self, key: &ids::MemberKey, view: &View, size: &sizes::Resources) -> bool {
        let orders = self.orders.get(key).map_or(&[][..], Vec::as_slice);
        match view.availability(self.now, size) {
            Availability::Open => orders.len() < self.max_call_orders,
            // The call with the probe may also have orders of sizes that are open.
            Availability::Probe => {
                let probes = |order: &message::TaskOrder| {
                    view.availability(self.now, &order.resources) == Availability::Probe
                };
                orders.len() < self.max_call_orders && !orders.iter().any(probes)
            }
            Availability::Closed => false,
        }
    }

    /// Adds an order to the call to a placer.
    pub(super) fn add(&mut self, placer: ids::MemberKey, order: message::TaskOrder) {
        self.orders.entry(placer).or_default().push(order);
    }

    /// The calls of the pass.
    pub(super) fn into_orders(self) -> IndexMap<ids::MemberKey, Vec<message::TaskOrder>> {
        self.orders
    }
}
