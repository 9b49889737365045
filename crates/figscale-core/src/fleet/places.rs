//! The workers that a step's tasks could run on now, and the choice among them.

use std::time;

use figscale_types::fleet;

use super::crashes;
use super::job;
use super::pass;
use super::scheduler;
use super::worker;

/// Priority-0 work no longer than this may use reserved workers: one such task
/// delays a gang by no more than runs miss their estimates by. A stream of them
/// would delay it forever, so they are kept off the workers reserved for the
/// step that is overdue longest.
const SHORT_WORK_MS: u64 = 1_200;

/// Sort key of the workers for a task; the smallest is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Fit {
    failed_here: bool,
    unproven: bool,
    /// Runs that would be lost with the worker; counted only for a task in need
    /// of quarantine, which may crash it.
    endangered: usize,
    far: bool,
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
    ) -> Vec<Place<'_>> {
        let Some(job) = self.jobs.get(&task.job) else {
            return Vec::new();
        };
        let step = &job.rounds[task.occurrence as usize].steps[task.step as usize];
        let ends = pass.now + time::Duration::from_millis(description.estimate_ms);
        let is_short = rank.class == 0 && description.estimate_ms <= SHORT_WORK_MS;
        let need = job::occupied(description);
        // A gang is exempt: it would rarely find all its workers without
        // recently started runs at the same time.
        let alone = !description.gang && job.needs_quarantine(task);
        let mut places = Vec::new();
        for (id, worker) in self.allowed_workers(job, step, pass) {
            if worker.is_quarantined() || alone && worker.has_younger(crashes::CRASH_WINDOW) {
                continue;
            }
            if !worker.suits(&job.queue, description) || !worker.free().holds(&need) {
                continue;
            }
            let may_use_kept = is_short && !pass.is_closed_to_quick(id);
            let kept_until = pass.kept_for_others_until(task, id);
            let kept_until = kept_until.filter(|_| !may_use_kept);
            if kept_until.is_some_and(|until| ends > until) {
                continue;
            }
            let most = description.max_per_worker.map_or(u64::MAX, u64::from);
            let here = worker.runs_of_step(task) as u64;
            if here >= most || !worker.health.admits(worker.runs.len(), pass.now) {
                continue;
            }
            places.push(Place {
                id,
                free: worker.free(),
                most: most - here,
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
            pass.count_looks(pass.usable.len());
            let usable = pass.usable.iter();
            return usable
                .filter_map(|position| self.workers.get_index(*position))
                .collect();
        }
        pass.count_looks(step.advice.tickets.len());
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
        let alone = job.needs_quarantine(id);
        let places = self.open_workers(id, description, rank, pass);
        let need = job::occupied(description);
        let fit = |place: &Place| Fit {
            failed_here: task.failed_on.as_ref() == Some(place.id),
            unproven: !task.failed_attempts.is_empty() && !place.proven,
            endangered: if alone { place.runs } else { 0 },
            far: description
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
pub(crate) struct Place<'a> {
    pub(crate) id: &'a fleet::WorkerId,
    free: fleet::Room,
    /// Number of further tasks of the step that may be placed there.
    most: u64,
    pub(crate) rack: &'a str,
    proven: bool,
    runs: usize,
}

/// Assigns `count` tasks to the given workers, to the fullest first that has
/// room for one. `None` if they do not all fit.
pub(crate) fn fill(
    mut places: Vec<Place<'_>>,
    description: &fleet::StepDescription,
    count: u32,
) -> Option<Vec<fleet::WorkerId>> {
    let need = job::occupied(description);
    places.sort_by_key(|place| place.free.cpu_millis);
    let mut chosen = Vec::new();
    for place in &mut places {
        while chosen.len() < count as usize && place.most > 0 && place.free.holds(&need) {
            place.free = place.free.minus(&need);
            place.most -= 1;
            chosen.push(place.id.clone());
        }
    }
    (chosen.len() == count as usize).then_some(chosen)
}
