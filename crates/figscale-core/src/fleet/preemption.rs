//! Which runs to stop so that a step of a queue of lower number can start in time:
//! the choice, with its costs and its gain.
//!
//! Both are in core-milliseconds, so that they can be compared. A job that ends
//! within its objective is worth the processor time that it is estimated to take, a
//! late one a fifth of that, and one that is late by three objectives nothing. The
//! gain is the difference for the job that benefits. The cost of a victim is the
//! work since its last checkpoint, the time to restore it, and the time that its
//! resources are idle while it stops. If the victim's job would miss its objective
//! for it, the worth that it loses is added, once for each job.

use std::cmp;
use std::time;

use figscale_types::fleet;
use indexmap::IndexMap;

use super::worker;

/// Part of its worth that a job keeps if it ends late: one in this many.
const LATE_DIVISOR: u64 = 5;

/// What it takes to stop a task that saves its progress and to resume it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PreemptionCosts {
    /// Time between two checkpoints of a task.
    pub checkpoint_interval: time::Duration,
    /// Time for a task to resume from a checkpoint.
    pub restore: time::Duration,
}

impl PreemptionCosts {
    /// Time of a run whose work is lost if it is stopped at this age. When it saved
    /// its progress last is not known, since reports come a second apart. On average it
    /// is half an interval ago.
    pub(crate) fn lost_work(&self, age: time::Duration) -> time::Duration {
        match age < self.checkpoint_interval {
            true => age,
            false => self.checkpoint_interval / 2,
        }
    }
}

/// What a job is worth, by the time of its end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Worth {
    /// Processor time that its tasks are estimated to take, in core-milliseconds.
    pub(crate) core_ms: u64,
    pub(crate) objective_at: time::Instant,
    pub(crate) earns_nothing_at: time::Instant,
}

impl Worth {
    pub(crate) fn at(&self, end: time::Instant) -> u64 {
        match end {
            end if end <= self.objective_at => self.core_ms,
            end if end <= self.earns_nothing_at => self.core_ms / LATE_DIVISOR,
            _ => 0,
        }
    }
}

/// A run that could be stopped.
#[derive(Clone, Debug)]
pub(crate) struct Victim {
    pub(crate) key: worker::RunKey,
    pub(crate) room: fleet::Room,
    /// Processor time lost by stopping it, in core-milliseconds.
    pub(crate) lost_core_ms: u64,
    /// Worth that its job would lose, in core-milliseconds.
    pub(crate) lost_worth: u64,
    /// Time until it is expected to end by itself.
    pub(crate) ends_in: time::Duration,
}

impl Victim {
    fn cost(&self) -> u64 {
        self.lost_core_ms.saturating_add(self.lost_worth)
    }
}

/// A worker that may run the step, with the runs that could be stopped there.
#[derive(Clone, Debug)]
pub(crate) struct Host {
    pub(crate) worker: fleet::WorkerId,
    /// Resources that are free once the stops ordered before have taken effect.
    pub(crate) free: fleet::Room,
    /// Maximum number of further tasks of the step there.
    pub(crate) max_tasks: u64,
    pub(crate) victims: Vec<Victim>,
}

/// The runs to stop, and the workers on which the step can then start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Choice {
    pub(crate) workers: Vec<fleet::WorkerId>,
    pub(crate) victims: Vec<(fleet::WorkerId, worker::RunKey)>,
    pub(crate) lost_core_ms: u64,
    pub(crate) lost_worth: u64,
    pub(crate) freed_cpu_millis: u64,
}

impl Choice {
    /// All that is lost, in core-milliseconds.
    pub(crate) fn cost(&self) -> u64 {
        self.lost_core_ms.saturating_add(self.lost_worth)
    }
}

/// Runs of one worker whose end makes room for further tasks.
struct Bundle<'a> {
    /// Their cost, but not less than that of the bundles before it on the worker,
    /// since it can't be taken without them.
    cost: u64,
    host: &'a Host,
    tasks: u64,
    victims: Vec<&'a Victim>,
}

/// Chooses the cheapest runs whose end makes room for `count` tasks that need
/// `need` each; `None` if all of them together don't make enough.
pub(crate) fn choose(hosts: &[Host], need: &fleet::Room, count: u64) -> Option<Choice> {
    let mut bundles: Vec<Bundle<'_>> = hosts.iter().flat_map(|host| bundles(host, need)).collect();
    bundles.sort_by_key(|bundle| bundle.cost);
    let mut choice = Choice::default();
    let mut lost_worth: IndexMap<fleet::JobId, u64> = IndexMap::new();
    let mut missing = count;
    for bundle in bundles {
        if missing == 0 {
            break;
        }
        missing = missing.saturating_sub(bundle.tasks);
        if !choice.workers.contains(&bundle.host.worker) {
            choice.workers.push(bundle.host.worker.clone());
        }
        for victim in bundle.victims {
            let worker = bundle.host.worker.clone();
            choice.victims.push((worker, victim.key));
            choice.lost_core_ms += victim.lost_core_ms;
            choice.freed_cpu_millis += victim.room.cpu_millis;
            let of_job = lost_worth.entry(victim.key.0.job).or_default();
            *of_job = victim.lost_worth.max(*of_job);
        }
    }
    choice.lost_worth = lost_worth.values().sum();
    (missing == 0).then_some(choice)
}

/// The bundles of a worker in the order in which they can be taken, first the one
/// without victims.
fn bundles<'a>(host: &'a Host, need: &fleet::Room) -> Vec<Bundle<'a>> {
    let mut victims: Vec<&Victim> = host.victims.iter().collect();
    victims.sort_by_key(|victim| (victim.cost(), cmp::Reverse(victim.ends_in)));
    let fitting = |free: &fleet::Room| free.count_fitting(need, host.max_tasks);
    let mut free = host.free;
    let mut cost = 0;
    let mut bundles = Vec::new();
    if fitting(&free) > 0 {
        bundles.push(Bundle {
            cost,
            host,
            tasks: fitting(&free),
            victims: Vec::new(),
        });
    }
    let mut pending: Vec<&Victim> = Vec::new();
    for victim in victims {
        pending.push(victim);
        let tasks = fitting(&plus_all(&free, &pending)) - fitting(&free);
        if tasks == 0 {
            continue;
        }
        let (needed, rest) = split_needed(pending, |victims| {
            fitting(&plus_all(&free, victims)) - fitting(&free) == tasks
        });
        free = plus_all(&free, &needed);
        cost = cost.max(needed.iter().map(|victim| victim.cost()).sum());
        bundles.push(Bundle {
            cost,
            host,
            tasks,
            victims: needed,
        });
        pending = rest;
    }
    bundles
}

/// Splits off the victims without which the others suffice, the most costly first.
fn split_needed<'a>(
    mut needed: Vec<&'a Victim>,
    suffice: impl Fn(&[&'a Victim]) -> bool,
) -> (Vec<&'a Victim>, Vec<&'a Victim>) {
    let mut rest = Vec::new();
    for index in (0..needed.len()).rev() {
        let victim = needed.remove(index);
        match suffice(&needed) {
            true => rest.insert(0, victim),
            false => needed.insert(index, victim),
        }
    }
    (needed, rest)
}

fn plus_all(free: &fleet::Room, victims: &[&Victim]) -> fleet::Room {
    let rooms = victims.iter().map(|victim| &victim.room);
    rooms.fold(*free, |sum, room| sum.plus(room))
}
