//! Gangs: either all tasks get resources, or the reservations of all are released.
//!
//! A home reserves for one gang at a time, so that two of its own gangs cannot
//! starve each other. Gangs of different homes can still compete; a gang that
//! stays incomplete for too long releases all its reservations and retries
//! after a pause that grows and differs between jobs. Reservations also expire
//! at the placers, so that the end of a home's process leaves no resources idle.

use std::time;

use figscale_types::ids;

use super::Action;
use super::Home;
use super::Now;
use super::job;
use crate::job::message;

/// Most doublings of the pause.
const MAX_DOUBLINGS: u32 = 4;
/// Number of different pauses, so that competing jobs rarely have the same one.
const PAUSES: u32 = 8;

impl Home {
    /// Lets the next gang reserve once the current one is complete, paused or ended.
    pub(super) fn update_reserving_gang(&mut self) {
        let Some(id) = &self.gang else {
            return;
        };
        let is_reserving = |job: &job::Job| {
            let open = job.record.ended.is_none() && !job.gang_is_complete();
            open && job.gang_pause_until.is_none()
        };
        if !self.jobs.get(id).is_some_and(is_reserving) {
            self.gang = None;
        }
    }

    /// Whether tasks of the job may be placed now: no other gang reserves, or it is no gang.
    pub(super) fn may_reserve(&self, id: &ids::JobId) -> bool {
        let is_gang = self.jobs.get(id).is_some_and(job::Job::is_gang);
        !is_gang || self.gang.as_ref().is_none_or(|gang| gang == id)
    }

    /// Makes the job the gang that reserves, if it is a gang and no other does.
    pub(super) fn begin_reserving(&mut self, id: &ids::JobId) {
        if self.gang.is_none() && self.jobs.get(id).is_some_and(job::Job::is_gang) {
            self.gang = Some(id.clone());
        }
    }

    /// Releases all reservations of a gang that stayed incomplete for too long.
    pub(super) fn release_gang(&mut self, now: Now, id: &ids::JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let until = now.at + pause(self.config.backoff, id, job.gang_releases);
        job.gang_releases += 1;
        job.gang_pause_until = Some(until);
        let mut held = Vec::new();
        let mut to_queue = Vec::new();
        for (index, task) in &job.tasks {
            let task_id = ids::TaskId {
                job: id.clone(),
                index: *index,
            };
            match &task.stage {
                job::Stage::Held { placer, .. } => held.push((placer.clone(), task_id)),
                job::Stage::Queued { .. } => to_queue.push(task_id),
                _ => {}
            }
        }
        let mut by_placer: indexmap::IndexMap<_, Vec<_>> = indexmap::IndexMap::new();
        for (placer, task) in held {
            to_queue.push(task.clone());
            by_placer.entry(placer).or_default().push(task);
        }
        for (placer, tasks) in by_placer {
            let question = message::Question::Stop(self.key.clone(), tasks);
            self.actions.push(Action::Call(placer, question));
        }
        for task in to_queue {
            self.enqueue(now, &task.job, task.index, until);
        }
    }
}

/// Pause before a gang retries.
fn pause(first: time::Duration, id: &ids::JobId, tries: u32) -> time::Duration {
    let bytes = id.as_str().bytes().map(u32::from);
    let mixed = bytes.fold(tries, |hash, byte| hash.wrapping_mul(31).wrapping_add(byte));
    first * (1 + mixed % PAUSES) * 2_u32.pow(tries.min(MAX_DOUBLINGS))
}
