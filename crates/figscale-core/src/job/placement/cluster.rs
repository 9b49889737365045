//! The workers of the shards that an entry instance holds, and their allocations.
//!
//! Every change of an allocation goes through [`Cluster::reserve`],
//! [`Cluster::release`] and [`Cluster::sync`]. They maintain one sum per worker:
//! over its tasks, the larger of what was reserved and what was last reported as
//! used. A lagging report can thus only reduce a worker's free resources; it never
//! makes reserved resources appear free.

use std::error;
use std::fmt;
use std::time;

use figscale_types::claims;
use figscale_types::ids;
use figscale_types::instances;
use figscale_types::sizes;
use figscale_types::worker as protocol;
use indexmap::IndexMap;
use indexmap::IndexSet;

use super::config;
use super::reservation;
use super::work;
use super::worker;

/// Why no resources were allocated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReserveError {
    /// The worker does not belong to a shard held by this entry instance.
    UnknownWorker,
    /// The task has an allocation already.
    AlreadyAllocated,
    /// The worker does not accept this task.
    NotAccepting,
    /// The worker has too few free resources.
    NoCapacity,
}

impl fmt::Display for ReserveError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::UnknownWorker => "the worker belongs to no shard of this entry instance",
            Self::AlreadyAllocated => "the task has an allocation already",
            Self::NotAccepting => "the worker does not accept the task",
            Self::NoCapacity => "the worker has too few free resources",
        })
    }
}

impl error::Error for ReserveError {}

/// Number of a job's tasks by failure domain and by rack.
#[derive(Clone, Debug, Default)]
pub(super) struct Spread {
    pub(super) by_domain: Vec<u32>,
    pub(super) by_rack: Vec<u32>,
    total: u32,
}

/// The workers of the shards held here, with their allocations.
#[derive(Clone, Debug, Default)]
pub struct Cluster {
    pub(super) config: config::Config,
    pub(super) workers: IndexMap<ids::InstanceId, worker::Worker>,
    pub(super) allocations: IndexMap<ids::TaskId, work::Allocation>,
    pub(super) spreads: IndexMap<ids::JobId, Spread>,
    usage: IndexMap<ids::OwnerName, sizes::Resources>,
    domains: IndexSet<ids::FailureDomain>,
    racks: IndexSet<(ids::FailureDomain, ids::RackName)>,
    pub(super) capacity: sizes::Resources,
    pub(super) counted: sizes::Resources,
    pub(super) examined: u64,
    /// The most urgent work that needs accelerators and has none.
    pub(super) accelerator_demand: Option<reservation::AcceleratorDemand>,
    /// The worker reserved for a job between requests for placement.
    pub(super) worker_reservation: Option<reservation::WorkerReservation>,
}

impl Cluster {
    /// A cluster without workers.
    pub fn new(config: config::Config) -> Self {
        Self {
            config,
            ..Self::default()
        }
    }

    /// Replaces the settings; the catalogue may change at any time.
    pub fn set_config(&mut self, config: config::Config) {
        self.config = config;
    }

    /// Adds a worker. If it is known, only updates whether it is leaving.
    ///
    /// Instances that are not workers are ignored.
    pub fn add_worker(&mut self, instance: &instances::Instance, readiness: worker::Readiness) {
        let leaving = instance.life == instances::Life::Leaving;
        if let Some(known) = self.workers.get_mut(&instance.id) {
            known.leaving = leaving;
            return;
        }
        let Some(shard) = claims::shard_of(instance) else {
            return;
        };
        let domain = &instance.failure_domain;
        let rack = (domain.clone(), instance.rack.clone());
        let added = worker::Worker {
            id: instance.id.clone(),
            shard,
            domain: self.domains.insert_full(domain.clone()).0,
            rack: self.racks.insert_full(rack).0,
            capacity: instance.capacity,
            counted: sizes::Resources::default(),
            readiness,
            leaving,
            ejection_state: worker::EjectionState::InUse,
            reserved_for: None,
            tasks: IndexSet::new(),
        };
        self.capacity = self.capacity.plus(&added.capacity);
        self.workers.insert(added.id.clone(), added);
    }

    /// Removes a worker; returns the allocations of its tasks.
    pub fn remove_worker(&mut self, id: &ids::InstanceId) -> Vec<work::Allocation> {
        let Some(worker) = self.workers.get(id) else {
            return Vec::new();
        };
        let tasks: Vec<_> = worker.tasks.iter().cloned().collect();
        let lost = tasks.iter().filter_map(|task| self.release(task)).collect();
        if let Some(worker) = self.workers.swap_remove(id) {
            self.capacity = self.capacity.minus(&worker.capacity);
        }
        lost
    }

    /// Removes the workers of a shard; returns the allocations of their tasks.
    pub fn remove_shard(&mut self, shard: &ids::ShardId) -> Vec<work::Allocation> {
        let of_shard = |worker: &&worker::Worker| worker.shard == *shard;
        let ids: Vec<_> = self.workers.values().filter(of_shard).collect();
        let ids: Vec<_> = ids.into_iter().map(|worker| worker.id.clone()).collect();
        ids.iter().flat_map(|id| self.remove_worker(id)).collect()
    }

    /// Opens a worker to new work, once all tasks of earlier holders are known
    /// or have lapsed.
    pub fn set_ready(&mut self, id: &ids::InstanceId) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.readiness = worker::Readiness::Ready;
        }
    }

    /// Sets whether a worker is leaving.
    pub fn set_leaving(&mut self, id: &ids::InstanceId, leaving: bool) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.leaving = leaving;
        }
    }

    /// Sets whether a worker is ejected, probed or in use.
    pub fn set_ejection_state(
        &mut self,
        id: &ids::InstanceId,
        ejection_state: worker::EjectionState,
    ) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.ejection_state = ejection_state;
        }
    }

    /// All workers.
    pub fn workers(&self) -> impl ExactSizeIterator<Item = &worker::Worker> {
        self.workers.values()
    }

    /// The worker with this id, if known.
    pub fn worker(&self, id: &ids::InstanceId) -> Option<&worker::Worker> {
        self.workers.get(id)
    }

    /// The allocation of a task.
    pub fn allocation(&self, task: &ids::TaskId) -> Option<&work::Allocation> {
        self.allocations.get(task)
    }

    /// The allocations of all tasks.
    pub fn allocations(&self) -> impl ExactSizeIterator<Item = &work::Allocation> {
        self.allocations.values()
    }

    /// Sum of the capacities of all workers.
    pub fn capacity(&self) -> sizes::Resources {
        self.capacity
    }

    /// Sum of [`work::Allocation::counted`] over all tasks.
    pub fn counted(&self) -> sizes::Resources {
        self.counted
    }

    /// Sum of [`work::Allocation::counted`] over an owner's tasks on these workers.
    pub fn usage(&self, owner: &ids::OwnerName) -> sizes::Resources {
        self.usage.get(owner).copied().unwrap_or_default()
    }

    /// The same for every owner that has tasks on these workers.
    pub fn usage_by_owner(&self) -> impl Iterator<Item = (&ids::OwnerName, &sizes::Resources)> {
        self.usage.iter()
    }

    /// Number of workers examined by all placement decisions so far.
    pub fn examined(&self) -> u64 {
        self.examined
    }

    /// Allocates resources for a task on a worker.
    ///
    /// With `expires`, [`Cluster::expire`] releases the allocation unless it is
    /// confirmed before.
    ///
    /// # Errors
    ///
    /// Nothing changes if the resources cannot be allocated.
    pub fn reserve(
        &mut self,
        request: work::PlacementRequest,
        id: &ids::InstanceId,
        now: time::Instant,
        expires: Option<time::Instant>,
    ) -> Result<(), ReserveError> {
        if self.allocations.contains_key(&request.task) {
            return Err(ReserveError::AlreadyAllocated);
        }
        let worker = self.workers.get(id).ok_or(ReserveError::UnknownWorker)?;
        if !worker.admits(&request) {
            return Err(ReserveError::NotAccepting);
        }
        if !worker.free().holds(&request.size) {
            return Err(ReserveError::NoCapacity);
        }
        self.insert(work::Allocation {
            request,
            worker: id.clone(),
            used: sizes::Resources::default(),
            peak: sizes::Resources::default(),
            since: now,
            expires,
            ran_ms: 0,
            ending: false,
            gang_round: None,
        });
        Ok(())
    }

    /// Releases the allocation of a task.
    pub fn release(&mut self, task: &ids::TaskId) -> Option<work::Allocation> {
        let allocation = self.allocations.swap_remove(task)?;
        let counted = allocation.counted();
        self.counted = self.counted.minus(&counted);
        self.charge(
            &allocation.request.owner,
            &counted,
            &sizes::Resources::default(),
        );
        if let Some(worker) = self.workers.get_mut(&allocation.worker) {
            worker.counted = worker.counted.minus(&counted);
            worker.tasks.swap_remove(task);
            let (domain, rack) = (worker.domain, worker.rack);
            self.count_spread(&task.job, domain, rack, false);
        }
        Some(allocation)
    }

    /// Confirms a task: its allocation no longer expires. Returns whether the task
    /// has an allocation.
    pub fn confirm(&mut self, task: &ids::TaskId) -> bool {
        match self.allocations.get_mut(task) {
            Some(allocation) => {
                allocation.expires = None;
                true
            }
            None => false,
        }
    }

    /// Postpones the expiry of a task's allocation unless it is confirmed. Returns
    /// whether the task has an allocation.
    pub fn extend(&mut self, task: &ids::TaskId, expires: time::Instant) -> bool {
        match self.allocations.get_mut(task) {
            Some(allocation) if allocation.expires.is_some() => {
                allocation.expires = Some(expires);
                true
            }
            Some(_) => true,
            None => false,
        }
    }

    /// Records that a task was ordered to end or to use less processor time. A
    /// throttled task reserves no more processor time than it declared.
    pub(super) fn mark_ending(&mut self, task: &ids::TaskId, action: protocol::TaskAction) {
        let Some(allocation) = self.allocations.get_mut(task) else {
            return;
        };
        if action == protocol::TaskAction::Throttle {
            let before = allocation.counted();
            let declared = allocation.request.declared.cpu_millis;
            allocation.request.size.cpu_millis = allocation.request.size.cpu_millis.min(declared);
            let after = allocation.counted();
            self.recount(task, &before, &after);
        } else {
            allocation.ending = true;
        }
    }

    /// Releases the allocations that have expired, and returns them.
    pub fn expire(&mut self, now: time::Instant) -> Vec<work::Allocation> {
        let late = |allocation: &work::Allocation| allocation.expires.is_some_and(|at| at <= now);
        let tasks: Vec<_> = self
            .allocations
            .iter()
            .filter(|(_, allocation)| late(allocation))
            .map(|(task, _)| task.clone())
            .collect();
        tasks.iter().filter_map(|task| self.release(task)).collect()
    }

    pub(super) fn insert(&mut self, allocation: work::Allocation) {
        let counted = allocation.counted();
        let task = allocation.request.task.clone();
        if let Some(worker) = self.workers.get_mut(&allocation.worker) {
            worker.counted = worker.counted.plus(&counted);
            worker.tasks.insert(task.clone());
            let (domain, rack) = (worker.domain, worker.rack);
            self.count_spread(&task.job, domain, rack, true);
        }
        self.counted = self.counted.plus(&counted);
        self.charge(
            &allocation.request.owner,
            &sizes::Resources::default(),
            &counted,
        );
        self.allocations.insert(task, allocation);
    }

    /// Updates the use of a task from a report.
    pub(super) fn set_used(&mut self, task: &ids::TaskId, used: sizes::Resources, ran_ms: u64) {
        let Some(allocation) = self.allocations.get_mut(task) else {
            return;
        };
        let before = allocation.counted();
        allocation.used = used;
        allocation.peak = allocation.peak.larger(&used);
        allocation.ran_ms = ran_ms;
        let after = allocation.counted();
        self.recount(task, &before, &after);
    }

    /// Replaces `before` by `after` in the sums that a task is part of.
    fn recount(&mut self, task: &ids::TaskId, before: &sizes::Resources, after: &sizes::Resources) {
        let Some(allocation) = self.allocations.get(task) else {
            return;
        };
        self.counted = self.counted.minus(before).plus(after);
        if let Some(worker) = self.workers.get_mut(&allocation.worker) {
            worker.counted = worker.counted.minus(before).plus(after);
        }
        let owner = allocation.request.owner.clone();
        self.charge(&owner, before, after);
    }

    /// Replaces `before` by `after` in the use of an owner.
    pub(super) fn charge(
        &mut self,
        owner: &Option<ids::OwnerName>,
        before: &sizes::Resources,
        after: &sizes::Resources,
    ) {
        let Some(owner) = owner else {
            return;
        };
        let used = self.usage(owner).minus(before).plus(after);
        if used == sizes::Resources::default() {
            self.usage.swap_remove(owner);
        } else if let Some(known) = self.usage.get_mut(owner) {
            *known = used;
        } else {
            self.usage.insert(owner.clone(), used);
        }
    }

    fn count_spread(&mut self, job: &ids::JobId, domain: usize, rack: usize, more: bool) {
        let domains = self.domains.len();
        let racks = self.racks.len();
        if !self.spreads.contains_key(job) {
            self.spreads.insert(job.clone(), Spread::default());
        }
        let Some(spread) = self.spreads.get_mut(job) else {
            return;
        };
        spread.by_domain.resize(domains, 0);
        spread.by_rack.resize(racks, 0);
        if more {
            spread.by_domain[domain] += 1;
            spread.by_rack[rack] += 1;
            spread.total += 1;
            return;
        }
        spread.by_domain[domain] -= 1;
        spread.by_rack[rack] -= 1;
        spread.total -= 1;
        if spread.total == 0 {
            self.spreads.swap_remove(job);
        }
    }
}
