//! Room on workers, which the cluster gives away.

use std::time;

use figscale_types::catalogue;
use figscale_types::ids;
use figscale_types::worker;

use super::Placer;
use crate::job::message;
use crate::job::placement;

/// Tasks on a worker that has not yet kept one running.
const MAX_UNPROVEN_TASKS: usize = 8;

impl Placer {
    /// Takes over what placement weighs and what owners may use.
    pub fn set_catalogue(&mut self, catalogue: &catalogue::Catalogue) {
        let weights = catalogue.weights;
        self.cluster.set_config(placement::Config { weights });
        self.shares.set_catalogue(catalogue);
    }

    /// What owners use on the workers held here, for the other placers.
    pub fn usage(&self) -> placement::UsageByOwner {
        let all = self.cluster.usage_by_owner();
        all.map(|(owner, used)| (owner.clone(), *used)).collect()
    }

    /// Takes over what owners use on the workers that a peer holds.
    pub fn set_peer_usage(&mut self, peer: ids::MemberId, usage: placement::UsageByOwner) {
        self.shares.set_peer(peer, usage);
    }

    /// Forgets what owners use at a peer that is gone.
    pub fn remove_peer(&mut self, peer: &ids::MemberId) {
        self.shares.remove_peer(peer);
    }

    /// Whether the owner's quota has room for the order.
    pub(super) fn admits(&self, order: &message::TaskOrder) -> bool {
        self.shares
            .admits(&order.owner, &self.cluster, &order.resources)
    }

    /// Gives an order room on a worker.
    pub(super) fn find_room(
        &mut self,
        now: time::Instant,
        scope: &message::Scope,
        order: &message::TaskOrder,
    ) -> Option<ids::InstanceId> {
        let barred = self.barred(scope, order);
        let mut ask = self.ask(order);
        ask.avoid.extend(barred.iter().cloned());
        if let Ok(worker) = self.cluster.place(&ask, now, None) {
            return Some(worker);
        }
        if order.avoid.is_empty() {
            return None;
        }
        // Better on a worker where it failed than nowhere.
        ask.avoid = barred;
        self.cluster.place(&ask, now, None).ok()
    }

    /// Ends or slows less urgent tasks, so that the order fits when it comes again.
    pub(super) fn make_room(&mut self, scope: &message::Scope, order: &message::TaskOrder) {
        if order.urgency == catalogue::Urgency::BestEffort {
            return;
        }
        let mut ask = self.ask(order);
        ask.avoid = self.barred(scope, order);
        let Some(plan) = self.planner.plan(&mut self.cluster, &ask) else {
            return;
        };
        let steps = plan.steps.into_iter();
        self.relieve(steps.map(|step| (step.task, step.action)).collect());
    }

    /// Takes over what a task is that was found running.
    pub(super) fn describe(&mut self, order: &message::TaskOrder) {
        if let Some(task) = self.tasks.get_mut(&order.attempt.task) {
            task.entry = Some(order.entry.clone());
        }
        self.cluster.describe(self.ask(order));
    }

    /// Takes over what ended tasks used, for those that are placed later.
    pub(super) fn learn(&mut self, ended: &[(worker::TaskPhase, placement::Holding)]) {
        for (phase, holding) in ended {
            let task = self.tasks.get(&holding.ask.task);
            let entry = task.and_then(|task| task.entry.as_ref());
            let (Some(entry), Some(owner)) = (entry, &holding.ask.owner) else {
                continue;
            };
            let done = *phase == worker::TaskPhase::Done;
            let run = done.then(|| time::Duration::from_millis(holding.ran_ms));
            self.learner.observe(entry, owner, &holding.peak, run);
        }
    }

    /// What an order wants, by what was learned of the like.
    fn ask(&self, order: &message::TaskOrder) -> placement::Ask {
        let learned = self.learner.learned(&order.entry, &order.owner);
        let size = self.sizes.reservation(&order.resources, &learned.size);
        placement::Ask {
            task: order.attempt.task.clone(),
            attempt: order.attempt.number,
            owner: Some(order.owner.clone()),
            class: order.class,
            urgency: order.urgency,
            size,
            declared: order.resources,
            guard: placement::Guard {
                idempotent: order.idempotent,
                checkpointable: order.checkpointable,
                preemptible: order.preemptible,
            },
            avoid: order.avoid.clone(),
        }
    }

    /// Moves tasks off workers that are leaving: what can be saved is saved,
    /// services are started elsewhere, the rest runs to its end.
    pub(super) fn empty_leaving(&mut self) {
        let mut wanted = Vec::new();
        for (id, task) in &self.tasks {
            let session = self.sessions.get(&task.worker);
            let leaving = session.is_some_and(|session| session.leaving);
            if !leaving || task.state != message::TaskState::Running || task.action.is_some() {
                continue;
            }
            let Some(holding) = self.cluster.holding(id) else {
                continue;
            };
            if holding.ask.guard.checkpointable {
                wanted.push((id.clone(), worker::TaskAction::Checkpoint));
            } else if holding.ask.class == catalogue::JobClass::Service {
                wanted.push((id.clone(), worker::TaskAction::Stop));
            }
        }
        self.relieve(wanted);
    }

    /// Workers that the order may not use, though they take work.
    fn barred(&self, scope: &message::Scope, order: &message::TaskOrder) -> Vec<ids::InstanceId> {
        let named = |id: &ids::ShardId| {
            let epoch = self.shards.get(id).map(|shard| shard.epoch);
            epoch.is_some_and(|epoch| {
                scope
                    .shards
                    .iter()
                    .any(|known| *known == (id.clone(), epoch))
            })
        };
        let unnamed: indexmap::IndexSet<_> = self.shards.keys().filter(|id| !named(id)).collect();
        // A worker that fails everything would lose all that fits on it before
        // the first report of a failure.
        let tried_enough = |id: &ids::InstanceId, session: &super::session::Session| {
            let tasks = self.cluster.worker(id).map_or(0, |w| w.tasks().count());
            !session.proven && tasks >= MAX_UNPROVEN_TASKS
        };
        self.sessions
            .iter()
            .filter(|(id, session)| {
                unnamed.contains(&session.shard)
                    || session.forget.contains(&order.attempt.task)
                    || tried_enough(id, session)
            })
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Opens workers to new tasks, or closes them.
    pub(super) fn open_workers(&mut self, now: time::Instant) {
        let silence = self.config.lease;
        for (id, session) in &mut self.sessions {
            let shard = self.shards.get(&session.shard);
            let draining = shard.is_none_or(|shard| shard.draining);
            let open = !draining && session.takes_work(now, silence);
            self.cluster.set_leaving(id, !open);
        }
    }

    /// Takes over whom failures and successes speak against.
    pub(super) fn take_blame(&mut self, blame: placement::fault::Blame) {
        for (worker, standing) in blame.workers {
            self.cluster.set_standing(&worker, standing);
        }
    }

    /// Tries workers again that were set aside.
    pub(super) fn probe_workers(&mut self, now: time::Instant) {
        for worker in self.faults.probes(now) {
            self.cluster
                .set_standing(&worker, placement::Standing::Probing);
        }
    }

    /// Acts on tasks that use more than they may, before their neighbours suffer.
    pub(super) fn relieve(&mut self, relief: Vec<(ids::TaskId, worker::TaskAction)>) {
        for (id, action) in relief {
            let Some(task) = self.tasks.get_mut(&id) else {
                continue;
            };
            if task.action.is_none() && task.may_run() {
                task.action = Some(action);
                self.send_action(&id);
            }
        }
    }

    /// Free room, for homes.
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
