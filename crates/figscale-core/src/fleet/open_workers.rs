//! Choice of workers for a step's tasks among those that could run them now.

use std::time;

use figscale_types::fleet;

use super::crashes;
use super::job;
use super::pass;
use super::scheduler;
use super::worker;

/// Priority-0 work no longer than this may use reserved workers: one such task
/// delays a gang by no more than the usual error of a run's estimate. A stream
/// of them would delay it forever, so they are kept off the workers reserved
/// for the step that is overdue longest.
const SHORT_WORK_MS: u64 = 1_200;

/// Sort key of the workers for a task; the smallest is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Fit {
    failed_here: bool,
    unproven: bool,
    /// Runs that would be lost if the task crashed the worker; counted only for
    /// a task that needs quarantine.
    runs_at_risk: usize,
    outside_data_rack: bool,
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
        let ends = pass.now + time::Duration::from_millis(description.estimate_ms);
        let is_short = rank.class == 0 && description.estimate_ms <= SHORT_WORK_MS;
        let need = job::occupied(description);
        // A gang is exempt: there are rarely enough workers for it at one time
        // that have no recently started runs.
        let quarantined = !description.gang && job.needs_quarantine(task);
        let mut places = Vec::new();
        for (id, worker) in self.allowed_workers(job, step, pass) {
            if worker.is_quarantined()
                || quarantined && worker.has_run_younger_than(crashes::CRASH_WINDOW)
            {
                continue;
            }
            if !worker.suits(&job.queue, description) || !worker.free().holds(&need) {
                continue;
            }
            let may_use_reserved = is_short && !pass.is_closed_to_short_work(id);
            let reserved_until = pass.reserved_for_others_until(task, id);
            let reserved_until = reserved_until.filter(|_| !may_use_reserved);
            if reserved_until.is_some_and(|until| ends > until) {
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
                rack: &worker.entry.rack,
                proven: worker.health.is_proven(),
                runs: worker.runs.len(),
            });
        }
        places
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
        let fit = |place: &OpenWorker| Fit {
            failed_here: task.failed_on.as_ref() == Some(place.id),
            unproven: !task.failed_attempts.is_empty() && !place.proven,
            runs_at_risk: if quarantined { place.runs } else { 0 },
            outside_data_rack: description
                .data_rack
                .as_ref()
                .is_some_and(|rack| *rack != place.rack),
            left_cpu_millis: place.free.minus(&need).cpu_millis,
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
    pub(crate) rack: &'a str,
    proven: bool,
    runs: usize,
}

/// Assigns `count` tasks to the given workers, each to the fullest worker that has
/// room for it. `None` if they do not all fit.
pub(crate) fn assign_fullest_first(
    mut places: Vec<OpenWorker<'_>>,
    description: &fleet::StepDescription,
    count: u32,
) -> Option<Vec<fleet::WorkerId>> {
    let need = job::occupied(description);
    places.sort_by_key(|place| place.free.cpu_millis);
    let mut chosen = Vec::new();
    for place in &mut places {
        while chosen.len() < count as usize && place.tasks_left > 0 && place.free.holds(&need) {
            place.free = place.free.minus(&need);
            place.tasks_left -= 1;
            chosen.push(place.id.clone());
        }
    }
    (chosen.len() == count as usize).then_some(chosen)
}
