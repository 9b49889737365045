//! Aging of late work, so that it is not starved.
//!
//! Late work ranks after everything that can still meet its objective, and
//! there is always some of that. Small tasks find room anyway. A gang, or a
//! task that needs more than half a worker, would never run, since smaller work
//! takes whatever becomes free at once. So workers are reserved, before those
//! of all other steps, for the one gang that has been late longest and for the
//! one wide task that is overdue longest. Other work may use these workers as
//! long as it ends before the start of the step that they are reserved for. A
//! step that would not fit on all workers when empty gets no such reservation.

use figscale_types::fleet;

use super::job;
use super::pass;
use super::scheduler;

impl scheduler::Scheduler {
    /// Makes the reservations of late work, which come after only those that
    /// await tickets.
    pub(crate) fn reserve_for_aging(&self, candidates: &[pass::Candidate], pass: &mut pass::Pass) {
        let gang = |step: &fleet::StepDescription| step.gang;
        pass.aging_gang = self.reserve_for_latest(candidates, pass::Lateness::Late, gang, pass);
        // In most passes nothing is overdue, so the scan of all workers below
        // is skipped.
        let overdue = |step: &pass::Candidate| step.rank.lateness == pass::Lateness::Overdue;
        if !candidates.iter().any(overdue) {
            return;
        }
        let largest = self.largest_room(pass);
        let wide = |step: &fleet::StepDescription| {
            !step.gang && largest.count_fitting(&job::occupied(step), 2) < 2
        };
        self.reserve_for_latest(candidates, pass::Lateness::Overdue, wide, pass);
    }

    /// Reserves workers for the step that is late longest, among those for which
    /// `selects` is true and that are at least as late as `least`. The
    /// reservation is for all members of a gang, and for one task of another
    /// step.
    fn reserve_for_latest(
        &self,
        candidates: &[pass::Candidate],
        least: pass::Lateness,
        selects: impl Fn(&fleet::StepDescription) -> bool,
        pass: &mut pass::Pass,
    ) -> Option<fleet::TaskId> {
        let late = candidates
            .iter()
            .filter(|candidate| candidate.rank.lateness >= least);
        let steps = late.filter_map(|candidate| {
            let job = self
                .jobs
                .get(&candidate.task.job)
                .filter(|job| job.stored)?;
            let step = job.step_description(&candidate.task)?;
            selects(step).then_some((candidate, step))
        });
        let mut steps: Vec<_> = steps.collect();
        steps.sort_by_key(|(candidate, _)| candidate.rank.slack_ms);
        let (candidate, reserved_part) = steps.into_iter().find_map(|(candidate, step)| {
            let reserved_part = fleet::StepDescription {
                count: if step.gang { step.count } else { 1 },
                ..step.clone()
            };
            let fits = self.could_fit(&candidate.task, &reserved_part, pass);
            fits.then_some((candidate, reserved_part))
        })?;
        if let Some(reservation) = self.reserve(&candidate.task, &reserved_part, pass) {
            pass.reserve(candidate.task, &reservation);
        }
        if candidate.rank.lateness == pass::Lateness::Overdue {
            pass.reserved_overdue.push(candidate.task);
        }
        Some(candidate.task)
    }

    /// For each kind of resource, the most that any usable worker has in total.
    fn largest_room(&self, pass: &pass::Pass) -> fleet::Room {
        let workers = pass
            .usable
            .iter()
            .filter_map(|position| self.workers.get_index(*position));
        workers.fold(fleet::Room::default(), |largest, (_, worker)| {
            largest.most(&worker.entry.room)
        })
    }
}
