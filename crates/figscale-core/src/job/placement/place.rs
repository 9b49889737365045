//! Placement of a task: filter the workers, score them, allocate.
//!
//! Workers that cannot run a task are filtered out. The one with the lowest cost
//! among the others gets the task. The cost is a sum of these terms:
//!
//! - best fit: the share of the task's dominant resource that stays free on the
//!   worker;
//! - spread, for services: the number of tasks of the same job in the failure domain
//!   and in the rack;
//! - waste: the worker has accelerators and the task needs none.
//!
//! All workers are scanned. At the largest cell size that is designed for, a scan
//! takes tens of microseconds; an index would have to be updated on every change.

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
/// Cost of placing work that needs no accelerator on a worker that has them.
const WASTE_COST: f64 = 2.0;

/// Why a task cannot be placed now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementError {
    /// The task is placed already.
    AlreadyAllocated,
    /// No worker that may run it has the resources.
    NoCapacity,
    /// The free resources are reserved for more urgent work.
    Reserved,
}

impl fmt::Display for PlacementError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::AlreadyAllocated => "the task is placed already",
            Self::NoCapacity => "no worker has the resources for the task",
            Self::Reserved => "the free resources are reserved for more urgent work",
        })
    }
}

impl error::Error for PlacementError {}

impl cluster::Cluster {
    /// Places a task. Unlike [`cluster::Cluster::place`], reserves nothing for it
    /// if it does not fit.
    pub(super) fn try_place(
        &mut self,
        request: &work::PlacementRequest,
        now: time::Instant,
        expires: Option<time::Instant>,
    ) -> Result<ids::InstanceId, PlacementError> {
        if self.allocations.contains_key(&request.task) {
            return Err(PlacementError::AlreadyAllocated);
        }
        if self.exceeds_best_effort_limit(request) {
            return Err(PlacementError::Reserved);
        }
        let id = self.choose(request).ok_or(PlacementError::NoCapacity)?;
        self.reserve(request.clone(), &id, now, expires)
            .map_err(|_| PlacementError::NoCapacity)?;
        Ok(id)
    }

    /// Places all tasks or none.
    ///
    /// # Errors
    ///
    /// Nothing changes if one of them cannot be placed now.
    pub fn place_all(
        &mut self,
        requests: &[work::PlacementRequest],
        now: time::Instant,
        expires: Option<time::Instant>,
    ) -> Result<Vec<ids::InstanceId>, PlacementError> {
        let mut placed = Vec::with_capacity(requests.len());
        for request in requests {
            match self.try_place(request, now, expires) {
                Ok(id) => placed.push(id),
                Err(error) => {
                    for request in &requests[..placed.len()] {
                        self.release(&request.task);
                    }
                    return Err(error);
                }
            }
        }
        Ok(placed)
    }

    /// Reserves, for the rest of a pass, the worker that lacks the least to run a
    /// task that did not fit; returns whether there is one.
    pub(super) fn reserve_worker_for(&mut self, request: &work::PlacementRequest) -> bool {
        let closest_to_fitting = self
            .closest_to_fitting(request)
            .map(|worker| worker.id.clone());
        match closest_to_fitting.and_then(|id| self.workers.get_mut(&id)) {
            Some(worker) => {
                worker.reserved_for = Some(request.urgency);
                true
            }
            None => false,
        }
    }

    /// Ends the reservations of a pass.
    pub(super) fn clear_reservations(&mut self) {
        for worker in self.workers.values_mut() {
            worker.reserved_for = None;
        }
    }

    /// Whether this is best-effort work that would use resources reserved for
    /// more urgent work.
    fn exceeds_best_effort_limit(&self, request: &work::PlacementRequest) -> bool {
        if request.urgency != catalogue::Urgency::BestEffort {
            return false;
        }
        let after = self.counted.plus(&request.size);
        let share = share_of_asked(&request.size, &after, &self.capacity);
        share > 1.0 - self.config.best_effort_headroom()
    }

    /// Whether a task must leave processors and memory for free accelerators: it
    /// needs no accelerator, is not interactive, and work that is at least as
    /// urgent needs accelerators.
    pub(super) fn must_spare_accelerators(
        &self,
        size: &sizes::Resources,
        urgency: catalogue::Urgency,
    ) -> bool {
        let demand = self.accelerator_demand;
        let yields = demand.is_some_and(|demand| demand.urgency <= urgency);
        let may_wait = urgency != catalogue::Urgency::Interactive;
        yields && may_wait && size.accelerators == 0
    }

    fn choose(&mut self, request: &work::PlacementRequest) -> Option<ids::InstanceId> {
        let mut best: Option<(f64, &worker::Worker)> = None;
        let spread = match request.class {
            catalogue::JobClass::Service => self.spreads.get(&request.task.job),
            _ => None,
        };
        let must_spare_accelerators = self.must_spare_accelerators(&request.size, request.urgency);
        let other_jobs_worker = self.worker_reserved_for_others(request);
        let mut examined = 0;
        for (position, worker) in self.workers.values().enumerate() {
            examined += 1;
            if other_jobs_worker == Some(position)
                || !fits(worker, request, must_spare_accelerators)
            {
                continue;
            }
            let cost = cost(worker, request, spread);
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                best = Some((cost, worker));
            }
        }
        let chosen = best.map(|(_, worker)| worker.id.clone());
        self.examined += examined;
        chosen
    }
}

/// Largest share of `whole` that `part` takes, over the resources that are not
/// zero in `asked`.
///
/// A resource that a task does not need must not prevent its placement, for
/// instance when all accelerators are in use.
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

fn fits(
    worker: &worker::Worker,
    request: &work::PlacementRequest,
    must_spare_accelerators: bool,
) -> bool {
    let open = worker.admits(request) && !worker.is_reserved_against(request);
    let has_capacity = worker.free().holds(&request.size)
        && (!must_spare_accelerators || leaves_accelerators_usable(worker, request));
    open && has_capacity && !request.avoid.contains(&worker.id)
}

/// Whether the task leaves a proportional part of the worker's processors and
/// memory for each free accelerator.
fn leaves_accelerators_usable(worker: &worker::Worker, request: &work::PlacementRequest) -> bool {
    let whole = &worker.capacity;
    let free = worker.free();
    if free.accelerators == 0 || whole.accelerators == 0 {
        return true;
    }
    let left = free.minus(&request.size);
    let part = |all: u64| all / u64::from(whole.accelerators) * u64::from(free.accelerators);
    left.cpu_millis.0 >= part(whole.cpu_millis.0)
        && left.memory_bytes.0 >= part(whole.memory_bytes.0)
}

fn cost(
    worker: &worker::Worker,
    request: &work::PlacementRequest,
    spread: Option<&cluster::Spread>,
) -> f64 {
    let mut cost = leftover(worker, &request.size);
    if request.size.accelerators == 0 && worker.capacity.accelerators > 0 {
        cost += WASTE_COST;
    }
    if let Some(spread) = spread {
        let count = |counts: &[u32], at: usize| f64::from(counts.get(at).copied().unwrap_or(0));
        cost += DOMAIN_COST * count(&spread.by_domain, worker.domain);
        cost += RACK_COST * count(&spread.by_rack, worker.rack);
    }
    cost
}

/// Share of the dominant resource of `size` that stays free on `worker`.
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
