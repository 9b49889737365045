//! Preemption: frees resources for urgent work at the expense of less urgent work.
//!
//! A plan names one worker and what to do to tasks on it, in this order of preference:
//! checkpoint (little work is lost), throttle to the declared share of processor time
//! (only time is lost), stop (the run so far is lost). Each step has a cost in core
//! seconds. The stops of one plan may not cost more than a budget that follows from the
//! catalogue's weights: the higher a cell weighs waiting against packing, the more work
//! may be lost by stops. Work that may not run twice and cannot save its state is never
//! preempted.
//!
//! Tasks that were ordered to end before count as ended, so that resources are not freed
//! twice for one task.

use figscale_types::catalogue;
use figscale_types::ids;
use figscale_types::sizes;
use figscale_types::worker as protocol;
use indexmap::IndexMap;

use super::cluster;
use super::work;
use super::worker;

/// Time lost by a checkpoint and the restart on another worker, in seconds.
const CHECKPOINT_S: f64 = 30.0;
/// Time for which a throttled task is assumed to run slower, in seconds.
const THROTTLE_S: f64 = 60.0;
/// Most core seconds that the stops of one plan may cost when waiting and packing
/// have equal weights: ten hours of one core.
const STOP_BUDGET_CORE_S: f64 = 36_000.0;
/// Millicores per core, and milliseconds per second.
const MILLIS: f64 = 1_000.0;

/// One step of a plan.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// The task.
    pub task: ids::TaskId,
    /// What to do to it.
    pub action: protocol::TaskAction,
    /// Its cost, in core seconds.
    pub cost_core_s: f64,
    freed: sizes::Resources,
}

/// How to free the resources for a task.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The worker on which the task will fit.
    pub worker: ids::InstanceId,
    /// What to do, in order; empty if tasks that are ending already free enough.
    pub steps: Vec<Step>,
}

impl Plan {
    /// Cost of all steps, in core seconds.
    pub fn cost_core_s(&self) -> f64 {
        self.steps.iter().map(|step| step.cost_core_s).sum()
    }

    fn stops(&self) -> usize {
        let stops = |step: &&Step| step.action == protocol::TaskAction::Stop;
        self.steps.iter().filter(stops).count()
    }
}

/// Makes plans for several tasks at one time; no two plans use the same
/// resources.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    planned: IndexMap<ids::InstanceId, sizes::Resources>,
}

impl Planner {
    /// Finds the cheapest plan for a task, and marks its victims as ending.
    ///
    /// `None` if no allowed steps free enough for it.
    pub fn plan(
        &mut self,
        cluster: &mut cluster::Cluster,
        request: &work::PlacementRequest,
    ) -> Option<Plan> {
        let plan = self.cheapest(cluster, request)?;
        let planned = self.planned.entry(plan.worker.clone()).or_default();
        *planned = planned.plus(&request.size);
        for step in &plan.steps {
            cluster.mark_ending(&step.task, step.action);
        }
        Some(plan)
    }

    fn cheapest(
        &self,
        cluster: &cluster::Cluster,
        request: &work::PlacementRequest,
    ) -> Option<Plan> {
        let budget = stop_budget(&cluster.config.weights);
        let mut cheapest: Option<((usize, f64), Plan)> = None;
        for worker in cluster.workers.values() {
            let usable = worker.takes_work() && worker.capacity.holds(&request.size);
            if !usable || request.avoid.contains(&worker.id) {
                continue;
            }
            let Some(plan) = self.plan_on(cluster, worker, request, budget) else {
                continue;
            };
            let rank = (plan.stops(), plan.cost_core_s());
            if cheapest.as_ref().is_none_or(|(lowest, _)| rank < *lowest) {
                cheapest = Some((rank, plan));
            }
        }
        cheapest.map(|(_, plan)| plan)
    }

    fn plan_on(
        &self,
        cluster: &cluster::Cluster,
        worker: &worker::Worker,
        request: &work::PlacementRequest,
        budget: f64,
    ) -> Option<Plan> {
        let allocations = worker
            .tasks
            .iter()
            .filter_map(|t| cluster.allocations.get(t));
        let mut steps = Vec::new();
        // Resources in use once all tasks that are ending have ended, with those
        // that earlier plans use for their tasks.
        let mut counted = self.planned.get(&worker.id).copied().unwrap_or_default();
        for allocation in allocations {
            if allocation.ending {
                continue;
            }
            counted = counted.plus(&allocation.counted());
            if may_preempt(allocation, request) {
                steps.extend(steps_for(allocation));
            }
        }
        steps.sort_by(|a, b| {
            let order = (a.action as u8).cmp(&(b.action as u8));
            order.then(a.cost_core_s.total_cmp(&b.cost_core_s))
        });
        let steps = choose_steps(steps, &counted, &worker.capacity, &request.size)?;
        let plan = Plan {
            worker: worker.id.clone(),
            steps,
        };
        let stops = |step: &&Step| step.action == protocol::TaskAction::Stop;
        let cost: f64 = plan.steps.iter().filter(stops).map(|s| s.cost_core_s).sum();
        (cost <= budget).then_some(plan)
    }
}

fn stop_budget(weights: &catalogue::Weights) -> f64 {
    if weights.packing <= 0.0 {
        return f64::INFINITY;
    }
    STOP_BUDGET_CORE_S * (weights.waiting / weights.packing)
}

/// Whether a task may be preempted for `request`: it is less urgent, confirmed, and
/// allows preemption.
fn may_preempt(allocation: &work::Allocation, request: &work::PlacementRequest) -> bool {
    let less_urgent = allocation.request.urgency > request.urgency;
    less_urgent
        && allocation.expires.is_none()
        && allocation.request.interruptibility.may_be_preempted()
}

/// The possible steps for one task; a plan contains at most one of them.
fn steps_for(allocation: &work::Allocation) -> Vec<Step> {
    let counted = allocation.counted();
    let cores = counted.cpu_millis.0 as f64 / MILLIS;
    let step = |action, cost_core_s, freed| Step {
        task: allocation.request.task.clone(),
        action,
        cost_core_s,
        freed,
    };
    let ran_s = allocation.ran_ms as f64 / MILLIS;
    let mut steps = Vec::new();
    if allocation.request.interruptibility.checkpointable {
        let cost = CHECKPOINT_S * cores;
        steps.push(step(protocol::TaskAction::Checkpoint, cost, counted));
        return steps;
    }
    let over = counted
        .cpu_millis
        .0
        .saturating_sub(allocation.request.declared.cpu_millis.0);
    if over > 0 {
        let freed = sizes::Resources {
            cpu_millis: sizes::CpuMillis(over),
            ..sizes::Resources::default()
        };
        let cost = THROTTLE_S * over as f64 / MILLIS;
        steps.push(step(protocol::TaskAction::Throttle, cost, freed));
    }
    steps.push(step(protocol::TaskAction::Stop, ran_s * cores, counted));
    steps
}

/// Adds steps in order until the size fits, then removes those not needed.
fn choose_steps(
    steps: Vec<Step>,
    counted: &sizes::Resources,
    capacity: &sizes::Resources,
    size: &sizes::Resources,
) -> Option<Vec<Step>> {
    let mut chosen: Vec<Step> = Vec::new();
    for step in steps {
        if fits(&chosen, counted, capacity, size) {
            break;
        }
        // A stop replaces a throttle of the same task.
        chosen.retain(|known| known.task != step.task);
        chosen.push(step);
    }
    if !fits(&chosen, counted, capacity, size) {
        return None;
    }
    // The costliest actions come last and are removed first where possible.
    for at in (0..chosen.len()).rev() {
        let dropped = chosen.remove(at);
        if !fits(&chosen, counted, capacity, size) {
            chosen.insert(at, dropped);
        }
    }
    Some(chosen)
}

fn fits(
    steps: &[Step],
    counted: &sizes::Resources,
    capacity: &sizes::Resources,
    size: &sizes::Resources,
) -> bool {
    let left = steps.iter().fold(*counted, |left, s| left.minus(&s.freed));
    capacity.holds(&left.plus(size))
}
