//! One pass of a home that holds no workers itself: offers what waits, in
//! order, to whoever places it.
//!
//! The order, the quotas and the turns of owners are those of
//! [`super::Queue::pass`]. Where a task may find room is for the caller to
//! say, from the summaries of the placers; what a placer takes is charged at
//! once and replaced by its next summary.

use std::time;

use figscale_types::ids;
use figscale_types::sizes;

use super::cluster;
use super::line;
use super::no_room;
use super::queue;
use super::shares;

/// What became of a task that was offered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Offer {
    /// It leaves the queue for this placer.
    Taken(ids::MemberId),
    /// No placer seems to have room for it or for anything larger.
    NoRoom,
    /// It is to wait, for a reason that says nothing of other work.
    NotNow,
}

impl queue::Queue {
    /// Offers waiting tasks in order, at most `max_offers`; returns how many
    /// were taken.
    pub fn offer(
        &mut self,
        shares: &mut shares::Shares,
        now: time::Instant,
        max_offers: usize,
        mut to: impl FnMut(&queue::Work, &queue::Pending) -> Offer,
    ) -> usize {
        // All use is known through summaries here, that of the own placer too.
        let nothing_held = cluster::Cluster::default();
        let mut line = line::Line::new(self, &nothing_held, shares, now);
        let mut no_room = no_room::NoRoomList::default();
        let mut taken = 0;
        for _ in 0..max_offers {
            let Some(head) = line.next() else {
                break;
            };
            let Some((_, group)) = self.groups.get_index(head.group) else {
                break;
            };
            let work = &group.work;
            let admitted = shares.admits(&work.owner, &nothing_held, &work.size);
            let offer = match group.pending.last() {
                Some(pending) if admitted => to(work, pending),
                _ => Offer::NotNow,
            };
            match offer {
                Offer::Taken(placer) => {
                    taken += 1;
                    shares.charge_peer(&placer, &work.owner, &work.size);
                    let none = sizes::Resources::default();
                    let share = shares.share(&work.owner, &nothing_held, &none);
                    line.count_placed(group.owner, share);
                    self.take_at(head.group, 1);
                    continue;
                }
                Offer::NoRoom => no_room.add(no_room::Wish::of_work(work, &nothing_held)),
                Offer::NotNow => {}
            }
            line.advance(head, |position| {
                let group = self.groups.get_index(position);
                group.is_none_or(|(_, group)| {
                    let wish = no_room::Wish::of_work(&group.work, &nothing_held);
                    group.pending.is_empty() || no_room.rules_out(&wish)
                })
            });
        }
        self.drop_empty();
        taken
    }
}
