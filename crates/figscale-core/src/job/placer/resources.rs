//! Resources on workers: reservation, preemption, usage, and which workers take tasks.

use std::time;

use figscale_types::catalogue;
use figscale_types::ids;
use figscale_types::worker;

use super::Placer;
use crate::job::message;
use crate::job::placement;

/// Most tasks on a worker that is not proven: one that has not yet run a task properly.
const MAX_UNPROVEN_TASKS: usize = 8;

impl Placer {
    /// Sets the placement weights and the quotas of owners.
    pub fn set_catalogue(&mut self, catalogue: &catalogue::Catalogue) {
        let weights = catalogue.weights;
        self.cluster.set_config(placement::Config { weights });
        self.shares.set_catalogue(catalogue);
    }

    /// Usage of owners on the workers held here, for the other placers.
    pub fn usage(&self) -> placement::UsageByOwner {
        let all = self.cluster.usage_by_owner();
        all.map(|(owner, used)| (owner.clone(), *used)).collect()
    }

    /// Sets the usage of owners on the workers that a peer holds.
    pub fn set_peer_usage(&mut self, peer: ids::MemberId, usage: placement::UsageByOwner) {
        self.shares.set_peer(peer, usage);
    }

    /// Drops the usage of owners at a peer that is gone.
    pub fn remove_peer(&mut self, peer: &ids::MemberId) {
        self.shares.remove_peer(peer);
    }

    /// Whether the order fits into the owner's quota.
    pub(super) fn admits(&self, order: &message::TaskOrder) -> bool {
        self.shares
            .admits(&order.owner, &self.cluster, &order.resources)
    }

    /// Reserves resources for an order on a worker.
    pub(super) fn reserve(
        &mut self,
        now: time::Instant,
        scope: &message::Scope,
        order: &message::TaskOrder,
    ) -> Option<ids::InstanceId> {
        let excluded = self.excluded_workers(scope, order);
        let mut request = self.request_of(order);
        request.avoid.extend(excluded.iter().cloned());
        if let Ok(worker) = self.cluster.place(&request, now, None) {
            return Some(worker);
        }
        if order.avoid.is_empty() {
            return None;
        }
        // A worker on which it failed is still better than none.
        request.avoid = excluded;
        self.cluster.place(&request, now, None).ok()
    }

    /// Preempts or throttles less urgent tasks, so that the order fits when it is repeated.
    pub(super) fn preempt_for(&mut self, scope: &message::Scope, order: &message::TaskOrder) {
        if order.urgency == catalogue::Urgency::BestEffort {
            return;
        }
        let mut request = self.request_of(order);
        request.avoid = self.excluded_workers(scope, order);
        let Some(plan) = self.planner.plan(&mut self.cluster, &request) else {
            return;
        };
        let steps = plan.steps.into_iter();
        self.request_actions(steps.map(|step| (step.task, step.action)).collect());
    }

    /// Applies the description of a task that was found running.
    pub(super) fn describe(&mut self, order: &message::TaskOrder) {
        if let Some(task) = self.tasks.get_mut(&order.attempt.task) {
            task.entry = Some(order.entry.clone());
        }
        self.cluster.describe(self.request_of(order));
    }

    /// Learns the usage of ended tasks, for the reservations of later ones.
    pub(super) fn learn(&mut self, ended: &[(worker::TaskPhase, placement::Allocation)]) {
        for (phase, allocation) in ended {
            let task = self.tasks.get(&allocation.request.task);
            let entry = task.and_then(|task| task.entry.as_ref());
            let (Some(entry), Some(owner)) = (entry, &allocation.request.owner) else {
                continue;
            };
            let done = *phase == worker::TaskPhase::Done;
            let run = done.then(|| time::Duration::from_millis(allocation.ran_ms));
            self.learner.observe(entry, owner, &allocation.peak, run);
        }
    }

    /// The placement request of an order, with the size learned from similar tasks.
    fn request_of(&self, order: &message::TaskOrder) -> placement::PlacementRequest {
        let learned = self.learner.learned(&order.entry, &order.owner);
        let size = self.sizes.reservation(&order.resources, &learned.size);
        placement::PlacementRequest {
            task: order.attempt.task.clone(),
            attempt: order.attempt.number,
            owner: Some(order.owner.clone()),
            class: order.class,
            urgency: order.urgency,
            size,
            declared: order.resources,
            interruptibility: placement::Interruptibility {
                idempotent: order.idempotent,
                checkpointable: order.checkpointable,
                preemptible: order.preemptible,
            },
            avoid: order.avoid.clone(),
        }
    }

    /// Moves tasks off workers that are leaving: checkpointable tasks are
    /// checkpointed, tasks of services are stopped to be started elsewhere, and
    /// all others run to their end.
    pub(super) fn vacate_leaving_workers(&mut self) {
        let mut wanted = Vec::new();
        for (id, task) in &self.tasks {
            let session = self.sessions.get(&task.worker);
            let leaving = session.is_some_and(|session| session.leaving);
            if !leaving || task.state != message::TaskState::Running || task.action.is_some() {
                continue;
            }
            let Some(allocation) = self.cluster.allocation(id) else {
                continue;
            };
            if allocation.request.interruptibility.checkpointable {
                wanted.push((id.clone(), worker::TaskAction::Checkpoint));
            } else if allocation.request.class == catalogue::JobClass::Service {
                wanted.push((id.clone(), worker::TaskAction::Stop));
            }
        }
        self.request_actions(wanted);
    }

    /// Workers that take tasks but must not be used for the order.
    fn excluded_workers(
        &self,
        scope: &message::Scope,
        order: &message::TaskOrder,
    ) -> Vec<ids::InstanceId> {
        let in_scope = |id: &ids::ShardId| {
            let epoch = self.shards.get(id).map(|shard| shard.epoch);
            epoch.is_some_and(|epoch| {
                scope
                    .shards
                    .iter()
                    .any(|known| *known == (id.clone(), epoch))
            })
        };
        let out_of_scope: indexmap::IndexSet<_> =
            self.shards.keys().filter(|id| !in_scope(id)).collect();
        // A worker on which every task fails would otherwise be filled, and fail
        // all these tasks, before the first failure is reported.
        let at_unproven_limit = |id: &ids::InstanceId, session: &super::session::Session| {
            let tasks = self.cluster.worker(id).map_or(0, |w| w.tasks().count());
            !session.proven && tasks >= MAX_UNPROVEN_TASKS
        };
        self.sessions
            .iter()
            .filter(|(id, session)| {
                out_of_scope.contains(&session.shard)
                    || session.forget.contains(&order.attempt.task)
                    || at_unproven_limit(id, session)
            })
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Updates which workers take new tasks.
    pub(super) fn update_open_workers(&mut self, now: time::Instant) {
        let max_contact_age = self.config.lease;
        for (id, session) in &mut self.sessions {
            let shard = self.shards.get(&session.shard);
            let draining = shard.is_none_or(|shard| shard.draining);
            let open = !draining && session.takes_work(now, max_contact_age);
            self.cluster.set_leaving(id, !open);
        }
    }

    /// Applies the workers' standings that follow from failures and successes.
    pub(super) fn apply_blame(&mut self, blame: placement::fault::Blame) {
        for (worker, ejection_state) in blame.workers {
            self.cluster.set_ejection_state(&worker, ejection_state);
        }
    }

    /// Starts to probe ejected workers that are due for it.
    pub(super) fn probe_workers(&mut self, now: time::Instant) {
        for worker in self.faults.take_due_probes(now) {
            self.cluster
                .set_ejection_state(&worker, placement::EjectionState::Probing);
        }
    }

    /// Requests actions on tasks: on those that use more than they may, before others
    /// on the worker suffer, on preempted ones and on those of leaving workers. An
    /// action requested earlier stays.
    pub(super) fn request_actions(&mut self, requests: Vec<(ids::TaskId, worker::TaskAction)>) {
        for (id, action) in requests {
            let Some(task) = self.tasks.get_mut(&id) else {
                continue;
            };
            if task.action.is_none() && task.may_run() {
                task.action = Some(action);
                self.send_action(&id);
            }
        }
    }

    /// Free resources, for homes.
    pub fn summary(&self) -> message::Summary {
        let mut summary = message::Summary::default();
        for worker in self.cluster.workers().filter(|worker| worker.takes_work()) {
            let free = worker.free();
            summary.largest_free = summary.largest_free.larger(&free);
            summary.free = summary.free.plus(&free);
            summary.workers += 1;
        }
        summary
    }
}
