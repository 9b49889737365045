//! Room for urgent work, taken from less urgent work.
//!
//! A plan names one worker and what to do to tasks on it, in this order:
//! checkpoint (little is lost), throttle to the declared share (nothing is
//! lost but time), stop (the run so far is lost). Each step has a cost in core
//! seconds, and stops together may not cost more than what the catalogue's
//! weights allow: a cell that weighs waiting gives up more work than one that
//! weighs packing. Work that may not run twice and cannot save its state is
//! never touched, whatever the plan.
//!
//! Room that is on its way, because its tasks were asked to end before, is
//! counted first, so that one need is not met twice.

use figscale_types::catalogue;
use figscale_types::ids;
use figscale_types::sizes;
use figscale_types::worker as protocol;
use indexmap::IndexMap;

use super::cluster;
use super::work;
use super::worker;

/// Time that a checkpoint and going on elsewhere cost, in seconds.
const CHECKPOINT_S: f64 = 30.0;
/// Time for which a throttled task is counted as slowed, in seconds.
const THROTTLE_S: f64 = 60.0;
/// Core seconds that stops of one plan may cost when waiting and packing
/// weigh the same: ten hours of a core.
const STOP_BUDGET_CORE_S: f64 = 36_000.0;
/// Thousandths in a core.
const MILLIS: f64 = 1_000.0;

/// One step of a plan.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// The task.
    pub task: ids::TaskId,
    /// What to do to it.
    pub action: protocol::TaskAction,
    /// What it costs, in core seconds.
    pub cost_core_s: f64,
    frees: sizes::Resources,
}

/// How room for a task comes about.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Where the room will be.
    pub worker: ids::InstanceId,
    /// What to do, in order; empty if the room is on its way already.
    pub steps: Vec<Step>,
}

impl Plan {
    /// What all steps cost, in core seconds.
    pub fn cost_core_s(&self) -> f64 {
        self.steps.iter().map(|step| step.cost_core_s).sum()
    }

    fn stops(&self) -> usize {
        let stops = |step: &&Step| step.action == protocol::TaskAction::Stop;
        self.steps.iter().filter(stops).count()
    }
}

/// Plans for several tasks of one moment, which do not count on the same room.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    promised: IndexMap<ids::InstanceId, sizes::Resources>,
}

impl Planner {
    /// Finds the cheapest plan for a task, and marks its victims as ending.
    ///
    /// `None` if no allowed step makes room for it.
    pub fn plan(&mut self, cluster: &mut cluster::Cluster, ask: &work::Ask) -> Option<Plan> {
        let plan = self.best(cluster, ask)?;
        let promised = self.promised.entry(plan.worker.clone()).or_default();
        *promised = promised.plus(&ask.size);
        for step in &plan.steps {
            cluster.mark_ending(&step.task, step.action);
        }
        Some(plan)
    }

    fn best(&self, cluster: &cluster::Cluster, ask: &work::Ask) -> Option<Plan> {
        let budget = stop_budget(&cluster.config.weights);
        let mut best: Option<((usize, f64), Plan)> = None;
        for worker in cluster.workers.values() {
            let usable = worker.takes_work() && worker.capacity.holds(&ask.size);
            if !usable || ask.avoid.contains(&worker.id) {
                continue;
            }
            let Some(plan) = self.plan_on(cluster, worker, ask, budget) else {
                continue;
            };
            let rank = (plan.stops(), plan.cost_core_s());
            if best.as_ref().is_none_or(|(lowest, _)| rank < *lowest) {
                best = Some((rank, plan));
            }
        }
        best.map(|(_, plan)| plan)
    }

    fn plan_on(
        &self,
        cluster: &cluster::Cluster,
        worker: &worker::Worker,
        ask: &work::Ask,
        budget: f64,
    ) -> Option<Plan> {
        let holdings = worker.tasks.iter().filter_map(|t| cluster.holdings.get(t));
        let mut steps = Vec::new();
        // What counts against the worker once all that ends has ended.
        let mut counted = self.promised.get(&worker.id).copied().unwrap_or_default();
        for holding in holdings {
            if holding.ending {
                continue;
            }
            counted = counted.plus(&holding.counted());
            if may_take_from(holding, ask) {
                steps.extend(steps_for(holding));
            }
        }
        steps.sort_by(|a, b| {
            let order = (a.action as u8).cmp(&(b.action as u8));
            order.then(a.cost_core_s.total_cmp(&b.cost_core_s))
        });
        let steps = choose(steps, &counted, &worker.capacity, &ask.size)?;
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

/// Only from less urgent work, and only where that may be ended.
fn may_take_from(holding: &work::Holding, ask: &work::Ask) -> bool {
    let less_urgent = holding.ask.urgency > ask.urgency;
    less_urgent && holding.expires.is_none() && holding.ask.guard.may_be_preempted()
}

/// The steps possible for one task; at most one of them is taken.
fn steps_for(holding: &work::Holding) -> Vec<Step> {
    let counted = holding.counted();
    let cores = counted.cpu_millis.0 as f64 / MILLIS;
    let step = |action, cost_core_s, frees| Step {
        task: holding.ask.task.clone(),
        action,
        cost_core_s,
        frees,
    };
    let ran_s = holding.ran_ms as f64 / MILLIS;
    let mut steps = Vec::new();
    if holding.ask.guard.checkpointable {
        let cost = CHECKPOINT_S * cores;
        steps.push(step(protocol::TaskAction::Checkpoint, cost, counted));
        return steps;
    }
    let over = counted
        .cpu_millis
        .0
        .saturating_sub(holding.ask.declared.cpu_millis.0);
    if over > 0 {
        let frees = sizes::Resources {
            cpu_millis: sizes::CpuMillis(over),
            ..sizes::Resources::default()
        };
        let cost = THROTTLE_S * over as f64 / MILLIS;
        steps.push(step(protocol::TaskAction::Throttle, cost, frees));
    }
    steps.push(step(protocol::TaskAction::Stop, ran_s * cores, counted));
    steps
}

/// Takes steps in order until the size fits, then drops those not needed.
fn choose(
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
        // A stop takes the place of a throttle of the same task.
        chosen.retain(|known| known.task != step.task);
        chosen.push(step);
    }
    if !fits(&chosen, counted, capacity, size) {
        return None;
    }
    // The costliest kinds come last and are dropped first where they can be.
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
    let left = steps.iter().fold(*counted, |left, s| left.minus(&s.frees));
    capacity.holds(&left.plus(size))
}
