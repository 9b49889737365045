//! Filter, score, commit.
//!
//! Workers that cannot take a task are filtered out; of the others the one
//! with the lowest cost gets it. The cost is a sum of shares, so that a
//! newcomer can read off why a worker won:
//!
//! - best fit: the share of the task's dominant resource left over afterwards;
//! - spread, for services: tasks of the same job in the failure domain, in the
//!   rack and on the worker;
//! - waste: a worker with accelerators for a task that needs none.
//!
//! All workers are scanned: at the largest size aimed for the scan takes tens
//! of microseconds, and an index would have to be kept right at every change.

use std::error;
use std::fmt;
use std::time;

use figscale_types::catalogue;
use figscale_types::ids;
use figscale_types::sizes;

use super::cluster;
use super::work;
use super::worker;

/// Cost of each task of the same service in the same failure domain.
const DOMAIN_COST: f64 = 16.0;
/// Cost of each task of the same service in the same rack.
const RACK_COST: f64 = 4.0;
/// Cost of putting work that needs no accelerator beside one.
const WASTE_COST: f64 = 2.0;

/// Why a task got no place for now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoPlace {
    /// The task has a place already.
    Known,
    /// No worker has room for it.
    NoRoom,
    /// The room that is left is kept for more urgent work.
    Kept,
}

impl fmt::Display for NoPlace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Known => "the task has a place already",
            Self::NoRoom => "no worker has room for the task",
            Self::Kept => "the room that is left is kept for more urgent work",
        })
    }
}

impl error::Error for NoPlace {}

impl cluster::Cluster {
    /// Places a task without keeping anything for it if there is no room.
    pub(super) fn try_place(
        &mut self,
        ask: &work::Ask,
        now: time::Instant,
        expires: Option<time::Instant>,
    ) -> Result<ids::InstanceId, NoPlace> {
        if self.holdings.contains_key(&ask.task) {
            return Err(NoPlace::Known);
        }
        if self.is_kept(ask) {
            return Err(NoPlace::Kept);
        }
        let id = self.choose(ask).ok_or(NoPlace::NoRoom)?;
        self.reserve(ask.clone(), &id, now, expires)
            .map_err(|_| NoPlace::NoRoom)?;
        Ok(id)
    }

    /// Places all tasks or none.
    ///
    /// # Errors
    ///
    /// Nothing changes if one of them cannot be placed for now.
    pub fn place_all(
        &mut self,
        asks: &[work::Ask],
        now: time::Instant,
        expires: Option<time::Instant>,
    ) -> Result<Vec<ids::InstanceId>, NoPlace> {
        let mut placed = Vec::with_capacity(asks.len());
        for ask in asks {
            match self.try_place(ask, now, expires) {
                Ok(id) => placed.push(id),
                Err(error) => {
                    for ask in &asks[..placed.len()] {
                        self.release(&ask.task);
                    }
                    return Err(error);
                }
            }
        }
        Ok(placed)
    }

    /// Keeps, for the rest of a pass, the worker on which a task that found no
    /// room will fit soonest; returns whether there is one.
    pub(super) fn hold_for(&mut self, ask: &work::Ask) -> bool {
        let soonest = self.soonest(ask).map(|worker| worker.id.clone());
        match soonest.and_then(|id| self.workers.get_mut(&id)) {
            Some(worker) => {
                worker.held = Some(ask.urgency);
                true
            }
            None => false,
        }
    }

    /// Gives all held workers free again.
    pub(super) fn clear_holds(&mut self) {
        for worker in self.workers.values_mut() {
            worker.held = None;
        }
    }

    /// Whether the room left is kept from this task.
    fn is_kept(&self, ask: &work::Ask) -> bool {
        if ask.urgency != catalogue::Urgency::BestEffort {
            return false;
        }
        let after = self.counted.plus(&ask.size);
        let share = share_of_asked(&ask.size, &after, &self.capacity);
        share > 1.0 - self.config.kept_share()
    }

    /// Whether a task must leave room beside free accelerators: it needs none,
    /// and work that does waits and is as urgent.
    pub(super) fn keeps_accelerators(
        &self,
        size: &sizes::Resources,
        urgency: catalogue::Urgency,
    ) -> bool {
        let wanted = self.accelerators_wanted;
        let yields = wanted.is_some_and(|wanted| wanted.urgency <= urgency);
        let may_wait = urgency != catalogue::Urgency::Interactive;
        yields && may_wait && size.accelerators == 0
    }

    fn choose(&mut self, ask: &work::Ask) -> Option<ids::InstanceId> {
        let mut best: Option<(f64, &worker::Worker)> = None;
        let spread = match ask.class {
            catalogue::JobClass::Service => self.spreads.get(&ask.task.job),
            _ => None,
        };
        let keeps_accelerators = self.keeps_accelerators(&ask.size, ask.urgency);
        let promised = self.promised_from(ask);
        let mut examined = 0;
        for (position, worker) in self.workers.values().enumerate() {
            examined += 1;
            if promised == Some(position) || !fits(worker, ask, keeps_accelerators) {
                continue;
            }
            let cost = cost(worker, ask, spread);
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                best = Some((cost, worker));
            }
        }
        let chosen = best.map(|(_, worker)| worker.id.clone());
        self.examined += examined;
        chosen
    }
}

/// Largest share of `whole` that `part` takes of a resource in `asked`.
///
/// A resource that a task does not need, such as accelerators that are all in
/// use, keeps nothing from it.
fn share_of_asked(
    asked: &sizes::Resources,
    part: &sizes::Resources,
    whole: &sizes::Resources,
) -> f64 {
    let mut part = *part;
    if asked.cpu_millis.0 == 0 {
        part.cpu_millis.0 = 0;
    }
    if asked.memory_bytes.0 == 0 {
        part.memory_bytes.0 = 0;
    }
    if asked.accelerators == 0 {
        part.accelerators = 0;
    }
    part.dominant_share(whole)
}

fn fits(worker: &worker::Worker, ask: &work::Ask, keeps_accelerators: bool) -> bool {
    let open = worker.admits(ask) && !worker.is_held_from(ask);
    let roomy = worker.free().holds(&ask.size)
        && (!keeps_accelerators || leaves_accelerators_usable(worker, ask));
    open && roomy && !ask.avoid.contains(&worker.id)
}

/// Whether each free accelerator is left its part of the worker's processors
/// and memory.
fn leaves_accelerators_usable(worker: &worker::Worker, ask: &work::Ask) -> bool {
    let whole = &worker.capacity;
    let free = worker.free();
    if free.accelerators == 0 || whole.accelerators == 0 {
        return true;
    }
    let left = free.minus(&ask.size);
    let part = |all: u64| all / u64::from(whole.accelerators) * u64::from(free.accelerators);
    left.cpu_millis.0 >= part(whole.cpu_millis.0)
        && left.memory_bytes.0 >= part(whole.memory_bytes.0)
}

fn cost(worker: &worker::Worker, ask: &work::Ask, spread: Option<&cluster::Spread>) -> f64 {
    let mut cost = leftover(worker, &ask.size);
    if ask.size.accelerators == 0 && worker.capacity.accelerators > 0 {
        cost += WASTE_COST;
    }
    if let Some(spread) = spread {
        let count = |counts: &[u32], at: usize| f64::from(counts.get(at).copied().unwrap_or(0));
        cost += DOMAIN_COST * count(&spread.by_domain, worker.domain);
        cost += RACK_COST * count(&spread.by_rack, worker.rack);
    }
    cost
}

/// Share of the dominant resource of `size` left over on `worker`.
fn leftover(worker: &worker::Worker, size: &sizes::Resources) -> f64 {
    let left = worker.free().minus(size);
    let capacity = &worker.capacity;
    let share = |part: u64, all: u64| part as f64 / all.max(1) as f64;
    let dimensions = [
        (size.cpu_millis.0, left.cpu_millis.0, capacity.cpu_millis.0),
        (
            size.memory_bytes.0,
            left.memory_bytes.0,
            capacity.memory_bytes.0,
        ),
        (
            u64::from(size.accelerators),
            u64::from(left.accelerators),
            u64::from(capacity.accelerators),
        ),
    ];
    let mut dominant = (0.0, 0.0);
    for (asked, left, whole) in dimensions {
        let asked = share(asked, whole);
        if asked > dominant.0 {
            dominant = (asked, share(left, whole));
        }
    }
    dominant.1
}
