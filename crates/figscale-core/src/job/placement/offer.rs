//! A pass of a home that holds no workers itself: it offers waiting tasks, in order,
//! to placers.
//!
//! The order, the quotas and the turns of owners are those of
//! [`super::Queue::pass`]. The caller decides which placer may have resources for a
//! task, from the placers' summaries. What a placer accepts is charged to the owner at
//! once; the placer's next summary replaces that charge.

use std::time;

use figscale_types::ids;
use figscale_types::sizes;

use super::cluster;
use super::pass_order;
use super::queue;
use super::shares;
use super::unplaceable;

/// Result of offering a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Offer {
    /// This placer accepted it; it leaves the queue.
    Accepted(ids::MemberId),
    /// No placer seems to have resources for it, or for anything larger.
    NoCapacity,
    /// It waits, for a reason that does not apply to other work.
    Deferred,
}

impl queue::Queue {
    /// Offers at most `max_offers` waiting tasks, in order; returns how many were
    /// accepted.
    pub fn offer(
        &mut self,
        shares: &mut shares::Shares,
        now: time::Instant,
        max_offers: usize,
        mut to: impl FnMut(&queue::Work, &queue::Pending) -> Offer,
    ) -> usize {
        // All use is known through summaries, also that of the placer in this
        // process.
        let nothing_held = cluster::Cluster::default();
        let mut order = pass_order::PassOrder::new(self, &nothing_held, shares, now);
        let mut failed_requirements = unplaceable::UnplaceableSet::default();
        let mut taken = 0;
        for _ in 0..max_offers {
            let Some(head) = order.next() else {
                break;
            };
            let Some((_, group)) = self.groups.get_index(head.group) else {
                break;
            };
            let work = &group.work;
            let admitted = shares.admits(&work.owner, &nothing_held, &work.size);
            let offer = match group.pending.last() {
                Some(pending) if admitted => to(work, pending),
                _ => Offer::Deferred,
            };
            match offer {
                Offer::Accepted(placer) => {
                    taken += 1;
                    shares.charge_peer(&placer, &work.owner, &work.size);
                    let none = sizes::Resources::default();
                    let share = shares.share(&work.owner, &nothing_held, &none);
                    order.count_placed(group.owner, share);
                    self.take_at(head.group, 1);
                    continue;
                }
                Offer::NoCapacity => {
                    failed_requirements.add(unplaceable::Requirements::of_work(work, &nothing_held))
                }
                Offer::Deferred => {}
            }
            order.advance(head, |position| {
                let group = self.groups.get_index(position);
                group.is_none_or(|(_, group)| {
                    let requirements =
                        unplaceable::Requirements::of_work(&group.work, &nothing_held);
                    group.pending.is_empty() || failed_requirements.rules_out(&requirements)
                })
            });
        }
        self.drop_empty();
        taken
    }
}
