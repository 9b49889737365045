//! One pass over the waiting work: places what fits, in order.
//!
//! A pass is bounded by the number of scans of the cluster. A size that found
//! no room is remembered for the rest of the pass, so that a long queue of
//! work that does not fit costs a comparison each, not a scan each.
//!
//! When work of a high level finds no room, a few workers are kept for it
//! until the pass ends: smaller work behind it would otherwise take every bit
//! of room that comes free, and the large task would never start. The next
//! pass begins with that same work, so nothing stays kept for nobody.

use std::time;

use figscale_types::ids;
use figscale_types::sizes;

use super::cluster;
use super::line;
use super::no_room;
use super::place;
use super::queue;
use super::shares;
use super::work;

/// Workers kept for work that found no room: one in so many.
const HELD_ONE_IN: usize = 8;
/// Most jobs reported as blocked by one pass.
const MAX_BLOCKED: usize = 16;

/// A task that was given a place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The task.
    pub task: ids::TaskId,
    /// Attempt.
    pub attempt: u32,
    /// Where.
    pub worker: ids::InstanceId,
}

/// What a pass did.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PassOutcome {
    /// Tasks that have room now and are to be started.
    pub placed: Vec<Placement>,
    /// Interactive and due jobs that found no room here, in order.
    pub blocked: Vec<ids::JobId>,
    /// Whether the pass ended at its limit with work left to try.
    pub more: bool,
    /// Scans of the cluster.
    pub scans: usize,
}

/// The inputs of a pass besides the queue.
#[derive(Debug)]
pub struct PassInput<'a> {
    /// Workers to place on.
    pub cluster: &'a mut cluster::Cluster,
    /// Shares and quotas of owners.
    pub shares: &'a shares::Shares,
    /// The time.
    pub now: time::Instant,
    /// When room is taken back that is not confirmed; `None`: never.
    pub expires: Option<time::Instant>,
    /// Most scans of the cluster.
    pub max_scans: usize,
}

impl queue::Queue {
    /// Places what fits, in order; placed tasks leave the queue.
    pub fn pass(&mut self, input: PassInput<'_>) -> PassOutcome {
        let line = line::Line::new(self, input.cluster, input.shares, input.now);
        let waiting = self.groups.values().map(|group| &group.work);
        let accelerated = waiting.filter(|work| work.size.accelerators > 0);
        let wanted = accelerated.map(|work| work.urgency).min();
        input.cluster.set_accelerators_wanted(wanted, input.now);
        let mut holds_left = (input.cluster.workers().len() / HELD_ONE_IN).max(1);
        if input.cluster.workers().len() == 1 {
            holds_left = 0;
        }
        let mut pass = Pass {
            queue: self,
            input,
            line,
            no_room: no_room::NoRoomList::default(),
            holds_left,
            outcome: PassOutcome::default(),
        };
        pass.run();
        let outcome = pass.outcome;
        self.drop_empty();
        outcome
    }
}

/// How a try went.
enum Tried {
    /// All tasks that were tried have a place.
    Placed,
    /// Not one has a place.
    NoRoom(place::NoPlace),
    /// The owner's quota is used up.
    Quota,
}

struct Pass<'a> {
    queue: &'a mut queue::Queue,
    input: PassInput<'a>,
    line: line::Line,
    /// What found no room in this pass.
    no_room: no_room::NoRoomList,
    holds_left: usize,
    outcome: PassOutcome,
}

impl Pass<'_> {
    fn run(&mut self) {
        while let Some(head) = self.line.next() {
            if self.outcome.scans >= self.input.max_scans {
                self.outcome.more = true;
                break;
            }
            let Some(asks) = self.asks(head.group) else {
                self.advance(head);
                continue;
            };
            match self.attempt(&asks) {
                Tried::Placed => self.after_placed(head, &asks),
                Tried::Quota => self.advance(head),
                Tried::NoRoom(reason) => {
                    self.after_no_room(head, &asks, reason);
                    self.advance(head);
                }
            }
        }
        self.input.cluster.clear_holds();
    }

    /// Moves on, past groups that cannot find room and are not to be reported
    /// or to have workers kept for them.
    fn advance(&mut self, head: line::Head) {
        let (queue, cluster) = (&*self.queue, &*self.input.cluster);
        let no_room = &self.no_room;
        let reports = is_urgent(head.level) && self.outcome.blocked.len() < MAX_BLOCKED;
        let holds = head.level == queue::Level::Aged && self.holds_left > 0;
        self.line.advance(head, |position| {
            let group = queue.groups.get_index(position);
            let skips = |(_, group): (_, &queue::Group)| {
                let hopeless = no_room.rules_out(&no_room::Wish::of_work(&group.work, cluster));
                group.pending.is_empty() || (hopeless && !reports && !holds)
            };
            group.is_none_or(skips)
        });
    }

    /// The next task of a group, or all of a gang; `None` if none is left.
    fn asks(&self, group: usize) -> Option<Vec<work::Ask>> {
        let (_, group) = self.queue.groups.get_index(group)?;
        let count = match group.work.class {
            figscale_types::catalogue::JobClass::Gang => group.pending.len(),
            _ => 1,
        };
        let next = group.pending.iter().rev().take(count);
        let asks: Vec<_> = next.map(|pending| group.work.ask(pending)).collect();
        (!asks.is_empty()).then_some(asks)
    }

    fn attempt(&mut self, asks: &[work::Ask]) -> Tried {
        let Some(first) = asks.first() else {
            return Tried::Placed;
        };
        let together = asks
            .iter()
            .fold(sizes::Resources::default(), |sum, ask| sum.plus(&ask.size));
        let admits = |owner| {
            let PassInput {
                cluster, shares, ..
            } = &self.input;
            shares.admits(owner, cluster, &together)
        };
        if !first.owner.as_ref().is_none_or(admits) {
            return Tried::Quota;
        }
        let wish = no_room::Wish::of_ask(first, self.input.cluster);
        if self.no_room.rules_out(&wish) {
            return Tried::NoRoom(place::NoPlace::NoRoom);
        }
        self.outcome.scans += asks.len();
        let (now, expires) = (self.input.now, self.input.expires);
        match self.input.cluster.place_all(asks, now, expires) {
            Ok(workers) => {
                let placed = asks.iter().zip(workers);
                self.outcome
                    .placed
                    .extend(placed.map(|(ask, worker)| Placement {
                        task: ask.task.clone(),
                        attempt: ask.attempt,
                        worker,
                    }));
                Tried::Placed
            }
            Err(reason) => Tried::NoRoom(reason),
        }
    }

    fn after_placed(&mut self, head: line::Head, asks: &[work::Ask]) {
        self.queue.take_at(head.group, asks.len());
        let Some((_, group)) = self.queue.groups.get_index(head.group) else {
            return;
        };
        let none = sizes::Resources::default();
        let owner = &group.work.owner;
        let share = self.input.shares.share(owner, self.input.cluster, &none);
        self.line.count_placed(group.owner, share);
    }

    fn after_no_room(&mut self, head: line::Head, asks: &[work::Ask], reason: place::NoPlace) {
        let (Some(first), place::NoPlace::NoRoom) = (asks.first(), reason) else {
            return;
        };
        // A gang or a task that avoids workers says nothing of others.
        if asks.len() == 1 && first.avoid.is_empty() {
            let wish = no_room::Wish::of_ask(first, self.input.cluster);
            self.no_room.add(wish);
        }
        let urgent = is_urgent(head.level);
        if urgent && self.outcome.blocked.len() < MAX_BLOCKED {
            self.outcome.blocked.push(first.task.job.clone());
        }
        if urgent || head.level == queue::Level::Aged {
            self.hold(asks);
        }
    }

    /// Keeps workers for tasks that found no room, as far as any are left.
    fn hold(&mut self, asks: &[work::Ask]) {
        for ask in asks {
            if self.holds_left == 0 || !self.input.cluster.hold_for(ask) {
                return;
            }
            self.holds_left -= 1;
        }
    }
}

/// Whether other work is ended for work of this level, if need be.
fn is_urgent(level: queue::Level) -> bool {
    matches!(level, queue::Level::Interactive | queue::Level::Due)
}
