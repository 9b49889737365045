//! What a home knows of the placers, and which of them one pass may ask.
//!
//! A size that a placer had no room for is left alone for a while and then
//! probed: one order at a time, until one gets a place or the placer tells of
//! room. A line of ten thousand tasks that fit nowhere thus costs each placer
//! one order a probe; asked for by the whole call it held up the control
//! thread for 850 ms at a time on two instances, longer than their lease's
//! margin. The price is one more round trip before a line moves again.

use std::time;

use figscale_types::ids;
use figscale_types::sizes;
use indexmap::IndexMap;

use crate::job::message;

/// A size without room.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    size: sizes::Resources,
    /// Until when it is not asked for; from then on it is probed.
    until: time::Instant,
}

/// A placer as a home sees it.
#[derive(Clone, Debug, Default)]
pub(super) struct View {
    /// Whether it was asked for places and has not answered.
    pub(super) asking: bool,
    summary: message::Summary,
    refusals: Vec<Refusal>,
}

/// What a placer may be asked for a size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Openness {
    /// As many tasks as a call takes.
    Open,
    /// A single task.
    Probe,
    /// Nothing yet.
    Shut,
}

impl View {
    /// Notes that it has no room for a size, or for any with the empty one.
    pub(super) fn refuse(&mut self, size: sizes::Resources, until: time::Instant) {
        let covered = |refusal: &Refusal| size.holds(&refusal.size) && refusal.until >= until;
        if self.refusals.iter().any(covered) {
            return;
        }
        self.refusals.retain(|refusal| !refusal.size.holds(&size));
        self.refusals.push(Refusal { size, until });
    }

    /// Notes that a task of a size got a place.
    pub(super) fn take_place(&mut self, size: &sizes::Resources) {
        self.refusals.retain(|refusal| !size.holds(&refusal.size));
    }

    /// Takes what came with an answer.
    pub(super) fn set_summary(&mut self, summary: message::Summary) {
        self.summary = summary;
    }

    /// Takes a summary that was pushed because there may be room again.
    pub(super) fn on_news(&mut self, summary: message::Summary) {
        let largest = summary.largest_free;
        self.refusals
            .retain(|refusal| !largest.holds(&refusal.size));
        self.summary = summary;
    }

    fn openness(&self, now: time::Instant, size: &sizes::Resources) -> Openness {
        if self.asking {
            return Openness::Shut;
        }
        let refused = self
            .refusals
            .iter()
            .filter(|refusal| size.holds(&refusal.size));
        let until = refused.map(|refusal| refusal.until).max();
        match until {
            None => Openness::Open,
            Some(until) if until <= now => Openness::Probe,
            Some(_) => Openness::Shut,
        }
    }
}

/// The orders of one pass over the queue.
pub(super) struct Pass {
    now: time::Instant,
    /// The placer of this process, asked first.
    own: Option<ids::MemberKey>,
    /// Most orders in one call.
    call_len: usize,
    orders: IndexMap<ids::MemberKey, Vec<message::TaskOrder>>,
    /// Sizes that found no placer; larger ones need not look.
    in_vain: Vec<sizes::Resources>,
}

impl Pass {
    pub(super) fn new(now: time::Instant, own: Option<ids::MemberKey>, call_len: usize) -> Self {
        Self {
            now,
            own,
            call_len,
            orders: IndexMap::new(),
            in_vain: Vec::new(),
        }
    }

    /// Whether no placer would take an order of any size.
    pub(super) fn is_over(&self) -> bool {
        let nothing = sizes::Resources::default();
        self.in_vain.contains(&nothing)
    }

    /// The placer of this process first, then the one with the most free room.
    pub(super) fn choose(
        &mut self,
        views: &IndexMap<ids::MemberKey, View>,
        size: &sizes::Resources,
    ) -> Option<ids::MemberKey> {
        if self.in_vain.iter().any(|vain| size.holds(vain)) {
            return None;
        }
        let chosen = self.best(views, size);
        if chosen.is_none() {
            self.in_vain.push(*size);
            let nothing = sizes::Resources::default();
            if self.best(views, &nothing).is_none() {
                self.in_vain.push(nothing);
            }
        }
        chosen
    }

    fn best(
        &self,
        views: &IndexMap<ids::MemberKey, View>,
        size: &sizes::Resources,
    ) -> Option<ids::MemberKey> {
        let takes = |(key, view): &(&ids::MemberKey, &View)| self.takes(key, view, size);
        let rank = |(key, view): &(&ids::MemberKey, &View)| {
            let own = self.own.as_ref() == Some(*key);
            (own, view.summary.free.cpu_millis)
        };
        let best = views.iter().filter(takes).max_by_key(rank)?;
        Some(best.0.clone())
    }

    fn takes(&self, key: &ids::MemberKey, view: &View, size: &sizes::Resources) -> bool {
        let orders = self.orders.get(key).map_or(&[][..], Vec::as_slice);
        match view.openness(self.now, size) {
            Openness::Open => orders.len() < self.call_len,
            // Orders for what has room may go along with the probe.
            Openness::Probe => {
                let probes = |order: &message::TaskOrder| {
                    view.openness(self.now, &order.resources) == Openness::Probe
                };
                orders.len() < self.call_len && !orders.iter().any(probes)
            }
            Openness::Shut => false,
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
