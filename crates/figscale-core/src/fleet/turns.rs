//! Turns of late work, which would otherwise wait for good.
//!
//! Late work comes after whatever can still be in time, and there is always some
//! of that. Small tasks find room all the same. A gang, or a task that needs over
//! half a worker, would never run: whatever becomes free is taken by smaller work
//! at once. So one gang has a turn, the one that is late longest, and one wide
//! task, of those that earn nothing any more. Workers are kept for them first;
//! others use these until they start. What the workers there are could not hold
//! has no turn.

use figscale_types::fleet;

use super::job;
use super::pass;
use super::scheduler;

impl scheduler::Scheduler {
    /// Keeps workers for late work whose turn it is, before all else but what is
    /// promised.
    pub(crate) fn keep_for_latest(&self, candidates: &[pass::Candidate], pass: &mut pass::Pass) {
        let gang = |step: &fleet::StepDescription| step.gang;
        pass.gang_in_turn = self.keep_for_latest_of(candidates, pass::Lateness::Late, gang, pass);
        // On most passes nothing is overdue, and then no worker is looked at.
        let overdue = |step: &pass::Candidate| step.rank.lateness == pass::Lateness::Overdue;
        if !candidates.iter().any(overdue) {
            return;
        }
        let largest = self.largest_room(pass);
        let wide = |step: &fleet::StepDescription| {
            !step.gang && largest.times(&job::occupied(step), 2) < 2
        };
        self.keep_for_latest_of(candidates, pass::Lateness::Overdue, wide, pass);
    }

    /// Keeps workers for the step that is late longest of those meant and at least
    /// so late: for all members of a gang, for one task of another step.
    fn keep_for_latest_of(
        &self,
        candidates: &[pass::Candidate],
        least: pass::Lateness,
        meant: impl Fn(&fleet::StepDescription) -> bool,
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
            meant(step).then_some((candidate, step))
        });
        let mut steps: Vec<_> = steps.collect();
        steps.sort_by_key(|(candidate, _)| candidate.rank.slack_ms);
        let (candidate, together) = steps.into_iter().find_map(|(candidate, step)| {
            let together = fleet::StepDescription {
                count: if step.gang { step.count } else { 1 },
                ..step.clone()
            };
            let fits = self.could_fit(&candidate.task, &together, pass);
            fits.then_some((candidate, together))
        })?;
        if let Some(reservation) = self.reserve(&candidate.task, &together, pass) {
            pass.keep(candidate.task, &reservation);
        }
        if candidate.rank.lateness == pass::Lateness::Overdue {
            pass.overdue.push(candidate.task);
        }
        Some(candidate.task)
    }

    /// The most that some usable worker has of each kind of room.
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
