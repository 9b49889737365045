//! Choice of workers for a step's tasks among those that could run them now.

use std::cmp;
use std::time;

use figscale_types::fleet;
use indexmap::IndexMap;

use super::advice;
use super::crashes;
use super::job;
use super::pass;
use super::predicted;
use super::reserve;
use super::scheduler;
use super::worker;

/// Priority-0 work no longer than this may use reserved workers: one such task
/// delays a gang by no more than the usual error of a run's estimate. A stream
/// of them would delay it forever, so they are kept off the workers reserved
/// for the step that is overdue longest.
const SHORT_WORK: time::Duration = time::Duration::from_millis(1_200);

/// Time after its last loss for which a task that needs quarantine waits for a worker
/// without young runs before one is reserved for it. While workers are lost in masses
/// an earlier start shows less.
const QUARANTINE_WAIT: time::Duration = time::Duration::from_secs(3);

/// One usable worker of this many may be reserved for tasks in quarantine, so that
/// mass crashes don't keep other work off the fleet.
const WORKERS_PER_QUARANTINE: usize = 8;

/// Sort key of the workers for a task; the smallest is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Fit {
    failed_here: bool,
    unproven: bool,
    /// Whether its machine was lost lately and may be lost again; only for a task that
    /// needs quarantine.
    unsettled: bool,
    /// Runs that would be lost if the task crashed the worker; counted only for
    /// a task that needs quarantine.
    runs_at_risk: usize,
    /// Whether it is predicted to end too late there.
    late: bool,
    outside_data_rack: bool,
    by_speed: u32,
    left_cpu_millis: u64,
}

impl scheduler::Scheduler {
    /// Workers that may run a step now, with their free resources.
    pub(crate) fn open_workers(
        &self,
        task: &fleet::TaskId,
        description: &fleet::StepDescription,
        rank: pass::Rank,
        pass: &pass::Pass,
    ) -> Vec<OpenWorker<'_>> {
        let Some(job) = self.jobs.get(&task.job) else {
            return Vec::new();
        };
        let step = &job.rounds[task.occurrence as usize].steps[task.step as usize];
        let prediction = self.prediction(job, task, description);
        let need = job::occupied(description);
        // A gang is exempt: there are rarely enough workers for it at one time
        // that have no recently started runs.
        let quarantined = !description.gang && job.needs_quarantine(task);
        let history = job.crashes(task).filter(|_| quarantined);
        let mut places = Vec::new();
        for (id, worker) in self.allowed_workers(job, step, pass) {
            if worker.is_quarantined()
                || quarantined && worker.has_run_younger_than(crashes::CRASH_WINDOW)
                || self.avoids_machine(history, worker, pass.now)
            {
                continue;
            }
            if !worker.suits(&job.queue, description) || !worker.free().holds(&need) {
                continue;
            }
            let length = || prediction.length_on(worker.slowdown);
            let is_short = || rank.class == 0 && length() <= SHORT_WORK;
            let may_use_reserved = || is_short() && !pass.is_closed_to_short_work(id);
            let reserved_until = pass.reserved_for_others_until(task, id);
            if reserved_until
                .is_some_and(|until| pass.now + length() > until && !may_use_reserved())
            {
                continue;
            }
            let tasks_left = worker.tasks_left(task, description);
            if tasks_left == 0 || !worker.admits(pass.now) {
                continue;
            }
            places.push(OpenWorker {
                id,
                free: worker.free(),
                tasks_left,
                slowdown: worker.slowdown,
                rack: &worker.entry.rack,
                proven: worker.health.is_proven(),
                unsettled: quarantined
                    && self
                        .unsettled_machines
                        .contains(worker.entry.address, pass.now),
                runs: worker.runs.len(),
            });
        }
        places
    }

    /// Reserves a worker for a task that needs quarantine and finds none without young
    /// runs: the one whose youngest run is oldest. Without other work that run is soon
    /// old enough; beside a stream of short work it would never be.
    pub(crate) fn reserve_for_quarantine(
        &self,
        task: &fleet::TaskId,
        description: &fleet::StepDescription,
        pass: &mut pass::Pass,
    ) {
        let most = (pass.usable.len() / WORKERS_PER_QUARANTINE).max(1);
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let step = &job.rounds[task.occurrence as usize].steps[task.step as usize];
        let history = job.crashes(task);
        let has_waited = |history: &crashes::History| {
            history.needs_quarantine() && history.has_waited(QUARANTINE_WAIT, pass.now)
        };
        if !history.is_some_and(has_waited) || pass.reserved_for_quarantine >= most {
            return;
        }
        let need = job::occupied(description);
        let suitable = |(id, worker): &(&fleet::WorkerId, &worker::Worker)| {
            !worker.is_quarantined()
                && worker.suits(&job.queue, description)
                && worker.free().holds(&need)
                && worker.tasks_left(task, description) > 0
                && worker.admits(pass.now)
                && !self.avoids_machine(history, worker, pass.now)
                && pass.reserved_for_others_until(task, id).is_none()
        };
        let youngest = |worker: &worker::Worker| {
            let orders = worker.runs.values().map(|run| run.ordered_at);
            orders.max()
        };
        let workers = self.allowed_workers(job, step, pass).into_iter();
        let chosen = workers
            .filter(suitable)
            .min_by_key(|(_, worker)| youngest(worker));
        let Some((id, _)) = chosen else {
            return;
        };
        let reservation = reserve::Reservation {
            workers: vec![id.clone()],
            ready_at: pass.now,
            active: true,
        };
        pass.reserve_alone(fleet::TaskId { index: 0, ..*task }, &reservation);
        pass.reserved_for_quarantine += 1;
    }

    /// Predicted length of a step, and when it has to end: at the objective of its
    /// job less the later steps of its critical path and their queries.
    pub(crate) fn prediction(
        &self,
        job: &job::Job,
        task: &fleet::TaskId,
        description: &fleet::StepDescription,
    ) -> predicted::Prediction {
        let run_times = self.run_times(&job.queue.name);
        let policy = job.queue.advice.as_ref();
        let query = policy.map_or(time::Duration::ZERO, |policy| advice::duration(policy, 1));
        let length = |step: &fleet::StepDescription| {
            query + run_times.typical(time::Duration::from_millis(step.estimate_ms))
        };
        let later = predicted::later_steps(&job.description, task.step as usize, length);
        let due_at = job
            .rounds
            .get(task.occurrence as usize)
            .and_then(|round| round.due_at);
        let objective = job.objective_at.saturating_duration_since(job.submitted);
        let objective_at = due_at.unwrap_or(job.submitted) + objective;
        let ends_by = objective_at.checked_sub(later).unwrap_or(job.submitted);
        predicted::Prediction::new(description, run_times, ends_by)
    }

    /// Usable workers that the queue's policy allows for a step. At most a few
    /// dozen hold tickets, while a fleet has hundreds of workers, so the
    /// tickets are iterated and not the workers.
    fn allowed_workers<'a>(
        &'a self,
        job: &job::Job,
        step: &'a job::Step,
        pass: &pass::Pass,
    ) -> Vec<(&'a fleet::WorkerId, &'a worker::Worker)> {
        if job.queue.advice.is_none() {
            pass.count_scans(pass.usable.len());
            let usable = pass.usable.iter();
            return usable
                .filter_map(|position| self.workers.get_index(*position))
                .collect();
        }
        pass.count_scans(step.advice.tickets.len());
        let tickets = step.advice.tickets.iter();
        let valid = tickets.filter(|(_, ticket)| ticket.valid_until > pass.now);
        let known = valid.filter_map(|(id, _)| self.workers.get_key_value(id));
        known
            .filter(|(_, worker)| self.is_usable(worker, pass.now))
            .collect()
    }

    pub(crate) fn best_worker(
        &self,
        id: &fleet::TaskId,
        description: &fleet::StepDescription,
        rank: pass::Rank,
        pass: &pass::Pass,
    ) -> Option<fleet::WorkerId> {
        let job = self.jobs.get(&id.job)?;
        let task = job.task(id)?;
        let quarantined = job.needs_quarantine(id);
        let places = self.open_workers(id, description, rank, pass);
        let need = job::occupied(description);
        let order = self.prediction(job, id, description).order_at(pass.now);
        let fit = |place: &OpenWorker| {
            let preference = order.preference(place.slowdown);
            Fit {
                failed_here: task.failed_on.as_ref() == Some(place.id),
                unproven: !task.failed_attempts.is_empty() && !place.proven,
                unsettled: place.unsettled,
                runs_at_risk: if quarantined { place.runs } else { 0 },
                late: preference.late,
                outside_data_rack: description
                    .data_rack
                    .as_ref()
                    .is_some_and(|rack| *rack != place.rack),
                by_speed: preference.by_speed,
                left_cpu_millis: place.free.minus(&need).cpu_millis,
            }
        };
        places
            .into_iter()
            .min_by_key(fit)
            .map(|place| place.id.clone())
    }
}

/// A worker with room for a task of the step.
#[derive(Clone, Debug)]
pub(crate) struct OpenWorker<'a> {
    pub(crate) id: &'a fleet::WorkerId,
    free: fleet::Room,
    /// Number of further tasks of the step that may be placed there.
    tasks_left: u64,
    slowdown: fleet::Slowdown,
    rack: &'a str,
    proven: bool,
    unsettled: bool,
    runs: usize,
}

/// Workers for all members of a gang.
#[derive(Clone, Debug)]
pub(crate) struct GangWorkers {
    /// One for each member.
    pub(crate) workers: Vec<fleet::WorkerId>,
    /// Slowdown of the slowest of them.
    pub(crate) slowest: fleet::Slowdown,
}

/// Assigns `count` tasks to the given workers, as a gang that is as fast as possible.
/// Among the workers that it needs for that the slowest come first, so that its
/// members are of like speed, and then the fullest. `None` if they do not all fit.
pub(crate) fn assign_fullest_first(
    mut places: Vec<OpenWorker<'_>>,
    description: &fleet::StepDescription,
    count: u32,
) -> Option<GangWorkers> {
    let need = job::occupied(description);
    let slots = places.iter().map(|place| {
        let fitting = place.free.count_fitting(&need, u64::from(count));
        (place.slowdown, fitting.min(place.tasks_left))
    });
    let slowest = predicted::fastest_fit(slots, u64::from(count))?;
    places.retain(|place| place.slowdown <= slowest);
    places.sort_by_key(|place| (cmp::Reverse(place.slowdown), place.free.cpu_millis));
    let mut workers = Vec::new();
    for place in &mut places {
        while workers.len() < count as usize && place.tasks_left > 0 && place.free.holds(&need) {
            place.free = place.free.minus(&need);
            place.tasks_left -= 1;
            workers.push(place.id.clone());
        }
    }
    (workers.len() == count as usize).then_some(GangWorkers { workers, slowest })
}

/// Like [`assign_fullest_first`] on the workers of one rack: the first on which the
/// gang is as fast as on any.
pub(crate) fn assign_in_one_rack(
    places: &[OpenWorker<'_>],
    description: &fleet::StepDescription,
    count: u32,
) -> Option<GangWorkers> {
    let mut by_rack: IndexMap<&str, Vec<OpenWorker<'_>>> = IndexMap::new();
    for place in places {
        by_rack.entry(place.rack).or_default().push(place.clone());
    }
    let fastest = places.iter().map(|place| place.slowdown).min()?;
    let mut best: Option<GangWorkers> = None;
    for rack in by_rack.into_values() {
        let found = assign_fullest_first(rack, description, count);
        let better = |found: &GangWorkers| {
            let best = best.as_ref();
            best.is_none_or(|best| found.slowest < best.slowest)
        };
        best = found.filter(better).or(best);
        if best.as_ref().is_some_and(|best| best.slowest == fastest) {
            break;
        }
    }
    best
}
