//! Tasks with reserved resources: when they may start, and the calls to start or
//! release them.

use figscale_types::ids;

use super::Action;
use super::Home;
use super::Now;
use super::job;
use crate::job::message;

impl Home {
    /// Whether a reserved task may start now.
    ///
    /// The end of its last attempt must be written first. Otherwise, if this home
    /// died in between, there would be no record of that end, and its successor
    /// would receive it again and start the task a second time. This costs a
    /// retry one write, 0.2 s at most.
    pub(super) fn may_start(&self, id: &ids::TaskId, marked: bool) -> bool {
        let Some(job) = self.jobs.get(&id.job) else {
            return false;
        };
        if !job.may_repeat() && !marked || self.document.has_end_of(id) {
            return false;
        }
        !job.is_gang() || job.gang_is_complete()
    }

    /// Whether a reserved task waits only for its start mark, which is not recorded yet.
    pub(super) fn needs_start_mark(&self, id: &ids::TaskId) -> bool {
        self.jobs.get(&id.job).is_some_and(|job| {
            !job.may_repeat()
                && (!job.is_gang() || job.gang_is_complete())
                && !job.record.tasks.get(&id.index).is_some_and(|record| {
                    record.started
                        && job
                            .tasks
                            .get(&id.index)
                            .is_some_and(|task| task.attempt == record.attempts)
                })
        })
    }

    pub(super) fn write_start_marks(&mut self, marks: Vec<ids::TaskId>) {
        for id in marks {
            let Some(job) = self.jobs.get_mut(&id.job) else {
                continue;
            };
            let attempt = job.tasks.get(&id.index).map_or(0, |task| task.attempt);
            let record = job.task_record(id.index);
            record.started = true;
            record.attempts = attempt;
            self.document.mark(id);
        }
    }

    pub(super) fn send_go(
        &mut self,
        now: Now,
        placer: &ids::MemberKey,
        attempts: Vec<message::Attempt>,
    ) {
        for attempt in &attempts {
            let Some(task) = self.task_mut(&attempt.task) else {
                continue;
            };
            if let job::Stage::Held { place, .. } | job::Stage::Going { place, .. } = &task.stage {
                task.stage = job::Stage::Going {
                    placer: placer.clone(),
                    place: place.clone(),
                    asked_at: now.at,
                    in_flight: true,
                };
            }
        }
        let question = message::Question::Go(self.key.clone(), attempts);
        self.actions.push(Action::Call(placer.clone(), question));
    }

    /// Releases a reservation that was never started.
    pub(super) fn release(&mut self, now: Now, placer: &ids::MemberKey, id: &ids::TaskId) {
        if self.placers.contains_key(placer) {
            let question = message::Question::Stop(self.key.clone(), vec![id.clone()]);
            self.actions.push(Action::Call(placer.clone(), question));
        }
        self.on_end(now, id, message::End::NotStarted);
    }
}
