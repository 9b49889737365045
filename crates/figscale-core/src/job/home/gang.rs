//! Gangs: all tasks get room, or those that have it give it back.
//!
//! A home reserves for one gang at a time, so that two of its own never starve
//! each other. Gangs of different homes can still meet; whoever lacks room for
//! too long gives back all that it has and comes again after a pause that
//! grows and differs between jobs. Reservations also expire at the placers, so
//! that a home that dies leaves no room idle.

use std::time;

use figscale_types::ids;

use super::Action;
use super::Home;
use super::Now;
use super::job;
use crate::job::message;

/// Doublings of the pause at most.
const MAX_DOUBLINGS: u32 = 4;
/// Different pauses of jobs that meet.
const PAUSES: u32 = 8;

impl Home {
    /// Ends the turn of a gang that has its room, or has given it back.
    pub(super) fn end_gang_turn(&mut self) {
        let Some(id) = &self.gang else {
            return;
        };
        let reserves = |job: &job::Job| {
            let open = job.record.ended.is_none() && !job.gang_is_complete();
            open && job.gang_pause_until.is_none()
        };
        if !self.jobs.get(id).is_some_and(reserves) {
            self.gang = None;
        }
    }

    /// Whether tasks of the job may reserve room now.
    pub(super) fn is_gangs_turn(&self, id: &ids::JobId) -> bool {
        let is_gang = self.jobs.get(id).is_some_and(job::Job::is_gang);
        !is_gang || self.gang.as_ref().is_none_or(|gang| gang == id)
    }

    /// Gives the turn to a gang, if none has it.
    pub(super) fn take_gang_turn(&mut self, id: &ids::JobId) {
        if self.gang.is_none() && self.jobs.get(id).is_some_and(job::Job::is_gang) {
            self.gang = Some(id.clone());
        }
    }

    /// Gives back all room of a gang that waited too long for the rest.
    pub(super) fn disband(&mut self, now: Now, id: &ids::JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let until = now.at + pause(self.config.backoff, id, job.gang_tries);
        job.gang_tries += 1;
        job.gang_pause_until = Some(until);
        let mut held = Vec::new();
        let mut waiting = Vec::new();
        for (index, task) in &job.tasks {
            let task_id = ids::TaskId {
                job: id.clone(),
                index: *index,
            };
            match &task.life {
                job::Life::Held { placer, .. } => held.push((placer.clone(), task_id)),
                job::Life::Queued { .. } => waiting.push(task_id),
                _ => {}
            }
        }
        let mut by_placer: indexmap::IndexMap<_, Vec<_>> = indexmap::IndexMap::new();
        for (placer, task) in held {
            waiting.push(task.clone());
            by_placer.entry(placer).or_default().push(task);
        }
        for (placer, tasks) in by_placer {
            let question = message::Question::Stop(self.key.clone(), tasks);
            self.actions.push(Action::Call(placer, question));
        }
        for task in waiting {
            self.enqueue(now, &task.job, task.index, until);
        }
    }
}

/// Pause before a gang tries again.
fn pause(first: time::Duration, id: &ids::JobId, tries: u32) -> time::Duration {
    let bytes = id.as_str().bytes().map(u32::from);
    let mixed = bytes.fold(tries, |hash, byte| hash.wrapping_mul(31).wrapping_add(byte));
    first * (1 + mixed % PAUSES) * 2_u32.pow(tries.min(MAX_DOUBLINGS))
}
