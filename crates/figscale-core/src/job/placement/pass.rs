//! One pass over the waiting work: places what fits, in order.
//!
//! The number of scans of the cluster bounds the cost of a pass. Requirements that
//! could not be met are recorded for the rest of the pass, so that each waiting job
//! that does not fit costs a comparison, not a scan.
//!
//! When urgent or aged work does not fit, a few workers are reserved for it until the
//! pass ends. Without this, smaller work behind it would use all resources that
//! become free, and a large task would never start. The next pass begins with that
//! same work, so no reservation outlives the need for it.

use std::time;

use figscale_types::ids;
use figscale_types::sizes;

use super::cluster;
use super::pass_order;
use super::place;
use super::queue;
use super::shares;
use super::unplaceable;
use super::work;

/// One worker in this number may be reserved for work that did not fit.
const RESERVED_ONE_IN: usize = 8;
/// Most jobs that one pass reports as blocked.
const MAX_BLOCKED: usize = 16;

/// A task that was placed on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The task.
    pub task: ids::TaskId,
    /// Number of the attempt.
    pub attempt: u32,
    /// The worker that it was placed on.
    pub worker: ids::InstanceId,
}

/// Result of a pass.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PassOutcome {
    /// Tasks that were placed and are to be started.
    pub placed: Vec<Placement>,
    /// Interactive and due jobs that did not fit on these workers, in order.
    pub blocked: Vec<ids::JobId>,
    /// Whether the pass reached its limit of scans with work left to try.
    pub more: bool,
    /// Number of scans of the cluster.
    pub scans: usize,
}

/// Inputs of a pass besides the queue.
#[derive(Debug)]
pub struct PassInput<'a> {
    /// Workers to place on.
    pub cluster: &'a mut cluster::Cluster,
    /// Shares and quotas of owners.
    pub shares: &'a shares::Shares,
    /// Current time.
    pub now: time::Instant,
    /// When an allocation that is not confirmed is released; `None`: never.
    pub expires: Option<time::Instant>,
    /// Largest number of scans of the cluster.
    pub max_scans: usize,
}

impl queue::Queue {
    /// Places what fits, in order; placed tasks leave the queue.
    pub fn pass(&mut self, input: PassInput<'_>) -> PassOutcome {
        let order = pass_order::PassOrder::new(self, input.cluster, input.shares, input.now);
        let waiting = self.groups.values().map(|group| &group.work);
        let accelerated = waiting.filter(|work| work.size.accelerators > 0);
        let most_urgent = accelerated.map(|work| work.urgency).min();
        input.cluster.set_accelerator_demand(most_urgent, input.now);
        let mut reservations_left = (input.cluster.workers().len() / RESERVED_ONE_IN).max(1);
        if input.cluster.workers().len() == 1 {
            reservations_left = 0;
        }
        let mut pass = Pass {
            queue: self,
            input,
            order,
            failed_requirements: unplaceable::UnplaceableSet::default(),
            reservations_left,
            outcome: PassOutcome::default(),
        };
        pass.run();
        let outcome = pass.outcome;
        self.drop_empty();
        outcome
    }
}

/// Result of an attempt to place tasks.
enum AttemptOutcome {
    /// All of the tasks were placed.
    Placed,
    /// None of the tasks was placed.
    NoCapacity(place::PlacementError),
    /// The owner's quota does not allow the tasks.
    QuotaExceeded,
}

struct Pass<'a> {
    queue: &'a mut queue::Queue,
    input: PassInput<'a>,
    order: pass_order::PassOrder,
    /// Requirements that could not be met in this pass.
    failed_requirements: unplaceable::UnplaceableSet,
    reservations_left: usize,
    outcome: PassOutcome,
}

impl Pass<'_> {
    fn run(&mut self) {
        while let Some(head) = self.order.next() {
            if self.outcome.scans >= self.input.max_scans {
                self.outcome.more = true;
                break;
            }
            let Some(requests) = self.requests(head.group) else {
                self.advance(head);
                continue;
            };
            match self.attempt(&requests) {
                AttemptOutcome::Placed => self.on_placed(head, &requests),
                AttemptOutcome::QuotaExceeded => self.advance(head),
                AttemptOutcome::NoCapacity(reason) => {
                    self.on_no_capacity(head, &requests, reason);
                    self.advance(head);
                }
            }
        }
        self.input.cluster.clear_reservations();
    }

    /// Moves on to the next group. Groups that cannot be placed are skipped unless
    /// they are to be reported as blocked or to get a reservation.
    fn advance(&mut self, head: pass_order::Head) {
        let (queue, cluster) = (&*self.queue, &*self.input.cluster);
        let failed_requirements = &self.failed_requirements;
        let reports = is_urgent(head.level) && self.outcome.blocked.len() < MAX_BLOCKED;
        let may_reserve = head.level == queue::Level::Aged && self.reservations_left > 0;
        self.order.advance(head, |position| {
            let group = queue.groups.get_index(position);
            let skips = |(_, group): (_, &queue::Group)| {
                let infeasible = failed_requirements
                    .rules_out(&unplaceable::Requirements::of_work(&group.work, cluster));
                group.pending.is_empty() || (infeasible && !reports && !may_reserve)
            };
            group.is_none_or(skips)
        });
    }

    /// The next task of a group, or all tasks of a gang; `None` if none is left.
    fn requests(&self, group: usize) -> Option<Vec<work::PlacementRequest>> {
        let (_, group) = self.queue.groups.get_index(group)?;
        let count = match group.work.class {
            figscale_types::catalogue::JobClass::Gang => group.pending.len(),
            _ => 1,
        };
        let next = group.pending.iter().rev().take(count);
        let requests: Vec<_> = next.map(|pending| group.work.request(pending)).collect();
        (!requests.is_empty()).then_some(requests)
    }

    fn attempt(&mut self, requests: &[work::PlacementRequest]) -> AttemptOutcome {
        let Some(first) = requests.first() else {
            return AttemptOutcome::Placed;
        };
        let together = requests
            .iter()
            .fold(sizes::Resources::default(), |sum, request| {
                sum.plus(&request.size)
            });
        let admits = |owner| {
            let PassInput {
                cluster, shares, ..
            } = &self.input;
            shares.admits(owner, cluster, &together)
        };
        if !first.owner.as_ref().is_none_or(admits) {
            return AttemptOutcome::QuotaExceeded;
        }
        let requirements = unplaceable::Requirements::of_request(first, self.input.cluster);
        if self.failed_requirements.rules_out(&requirements) {
            return AttemptOutcome::NoCapacity(place::PlacementError::NoCapacity);
        }
        self.outcome.scans += requests.len();
        let (now, expires) = (self.input.now, self.input.expires);
        match self.input.cluster.place_all(requests, now, expires) {
            Ok(workers) => {
                let placed = requests.iter().zip(workers);
                self.outcome
                    .placed
                    .extend(placed.map(|(request, worker)| Placement {
                        task: request.task.clone(),
                        attempt: request.attempt,
                        worker,
                    }));
                AttemptOutcome::Placed
            }
            Err(reason) => AttemptOutcome::NoCapacity(reason),
        }
    }

    fn on_placed(&mut self, head: pass_order::Head, requests: &[work::PlacementRequest]) {
        self.queue.take_at(head.group, requests.len());
        let Some((_, group)) = self.queue.groups.get_index(head.group) else {
            return;
        };
        let none = sizes::Resources::default();
        let owner = &group.work.owner;
        let share = self.input.shares.share(owner, self.input.cluster, &none);
        self.order.count_placed(group.owner, share);
    }

    fn on_no_capacity(
        &mut self,
        head: pass_order::Head,
        requests: &[work::PlacementRequest],
        reason: place::PlacementError,
    ) {
        let (Some(first), place::PlacementError::NoCapacity) = (requests.first(), reason) else {
            return;
        };
        // The failure of a gang, or of a task that avoids workers, says nothing
        // about other work.
        if requests.len() == 1 && first.avoid.is_empty() {
            let requirements = unplaceable::Requirements::of_request(first, self.input.cluster);
            self.failed_requirements.add(requirements);
        }
        let urgent = is_urgent(head.level);
        if urgent && self.outcome.blocked.len() < MAX_BLOCKED {
            self.outcome.blocked.push(first.task.job.clone());
        }
        if urgent || head.level == queue::Level::Aged {
            self.reserve_workers(requests);
        }
    }

    /// Reserves workers for tasks that did not fit, up to the limit of the pass.
    fn reserve_workers(&mut self, requests: &[work::PlacementRequest]) {
        for request in requests {
            if self.reservations_left == 0 || !self.input.cluster.reserve_worker_for(request) {
                return;
            }
            self.reservations_left -= 1;
        }
    }
}

/// Whether other work may be preempted for work of this level.
fn is_urgent(level: queue::Level) -> bool {
    matches!(level, queue::Level::Interactive | queue::Level::Due)
}
