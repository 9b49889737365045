//! What workers answer.

use std::time;

use figscale_types::ids;
use figscale_types::jobs;
use figscale_types::worker;

use super::Placer;
use super::Target;
use super::task;
use crate::job::message;

/// Time for which a task must run before its worker counts as proven.
const PROVEN_AFTER_MS: u64 = 1_000;

/// What became of a start.
#[derive(Clone, Debug, PartialEq)]
pub enum StartOutcome {
    /// The worker answered.
    Answered(worker::StartAnswer),
    /// No byte of it was written.
    NotSent,
    /// Nobody can tell.
    Unknown,
}

impl Placer {
    /// Takes a worker's answer to a start.
    pub fn on_start(
        &mut self,
        now: time::Instant,
        target: &Target,
        attempt: &message::Attempt,
        outcome: StartOutcome,
    ) {
        if !self.is_current(target) {
            return;
        }
        let Some(task) = self.tasks.get_mut(&attempt.task) else {
            return;
        };
        if task.attempt != attempt.number || task.state != message::TaskState::Starting {
            return;
        }
        match outcome {
            StartOutcome::Answered(worker::StartAnswer::Refused(refusal)) => {
                self.on_refusal(target, refusal);
                self.end(&attempt.task, message::End::NotStarted);
            }
            StartOutcome::Answered(_) => {
                task.state = message::TaskState::Running;
                task.known_at = Some(now);
                task.noted = false;
                task.told_at = None;
            }
            StartOutcome::NotSent => self.end(&attempt.task, message::End::NotStarted),
            StartOutcome::Unknown => {
                if let Some(session) = self.sessions.get_mut(&target.worker) {
                    session.hurry = true;
                }
            }
        }
    }

    fn on_refusal(&mut self, target: &Target, refusal: worker::StartRefusal) {
        let Some(session) = self.sessions.get_mut(&target.worker) else {
            return;
        };
        match refusal {
            worker::StartRefusal::StaleEpoch => session.fenced = true,
            worker::StartRefusal::Leaving => session.leaving = true,
            worker::StartRefusal::RunsAlready
            | worker::StartRefusal::Full
            | worker::StartRefusal::Late => session.hurry = true,
        }
    }

    /// Notes that a renewal or an action got no answer.
    pub fn on_no_report(&mut self, target: &Target, asked_at: time::Instant) {
        if let Some(session) = self.sessions.get_mut(&target.worker)
            && session.asked_at == Some(asked_at)
        {
            session.asked_at = None;
        }
    }

    /// Takes a worker's report, asked for at `asked_at` under the target's epoch.
    pub fn on_report(
        &mut self,
        now: time::Instant,
        target: &Target,
        asked_at: time::Instant,
        forgotten: &[ids::TaskId],
        report: &worker::WorkerReport,
    ) {
        self.on_no_report(target, asked_at);
        if !self.is_current(target) {
            return;
        }
        let Some(session) = self.sessions.get_mut(&target.worker) else {
            return;
        };
        if report.stale || report.epoch > target.epoch {
            session.fenced = true;
            return;
        }
        let earlier_life = session.life().filter(|life| *life != report.clock.life);
        if !session.read_clock(now, report.clock) {
            return;
        }
        session.heard_at = now;
        session.leaving |= report.leaving;
        for task in forgotten {
            session.forget.swap_remove(task);
        }
        if let Some(proven) = proof(report) {
            session.proven = proven;
        }
        let outcome = self.cluster.sync(report, asked_at, now);
        self.learn(&outcome.ended);
        for line in &report.tasks {
            self.on_line(now, target, line);
        }
        self.relieve(outcome.relief);
        self.find_missing(target, asked_at, earlier_life.is_some(), report);
        self.open_workers(now);
    }

    /// Whether the shard is still held under the epoch that a call carried.
    fn is_current(&self, target: &Target) -> bool {
        self.sessions
            .get(&target.worker)
            .and_then(|session| self.shards.get(&session.shard))
            .is_some_and(|shard| shard.epoch == target.epoch)
    }

    fn on_line(&mut self, now: time::Instant, target: &Target, line: &worker::TaskReport) {
        match self.tasks.get(&line.task) {
            Some(known) if known.worker == target.worker && known.attempt == line.attempt => {
                self.on_known(now, line);
            }
            Some(known) if known.is_active() || known.attempt > line.attempt => {
                self.on_duplicate(target, line);
            }
            _ => self.adopt(now, target, line),
        }
    }

    fn on_known(&mut self, now: time::Instant, line: &worker::TaskReport) {
        let Some(task) = self.tasks.get_mut(&line.task) else {
            return;
        };
        let ended = end_of(line.phase);
        match (task.state, ended) {
            // It had been given up, yet runs: it must not go on.
            (message::TaskState::Ended(_), None) => {
                task.action = Some(worker::TaskAction::Stop);
                self.send_action(&line.task);
            }
            // What was given up as lost turns out to have ended.
            (message::TaskState::Ended(message::End::Lost), Some(end)) => {
                self.end(&line.task, end);
            }
            (message::TaskState::Ended(_), Some(_)) => {}
            (_, Some(end)) => {
                let worker = task.worker.clone();
                self.judge(now, &worker, &line.task, end);
                self.end(&line.task, end);
            }
            (message::TaskState::Running, None) => {}
            (_, None) => {
                task.state = message::TaskState::Running;
                task.known_at = Some(now);
                task.noted = false;
                task.told_at = None;
            }
        }
    }

    /// Holds an end for or against the worker.
    fn judge(
        &mut self,
        now: time::Instant,
        worker: &ids::InstanceId,
        task: &ids::TaskId,
        end: message::End,
    ) {
        let blame = match end {
            message::End::Done => self.faults.succeeded(task, worker, now),
            message::End::Failed => self.faults.failed(task, worker, now),
            _ => return,
        };
        self.take_blame(blame);
    }

    /// The task has room on another worker, or a later attempt of it is known.
    fn on_duplicate(&mut self, target: &Target, line: &worker::TaskReport) {
        if end_of(line.phase).is_some() {
            if let Some(session) = self.sessions.get_mut(&target.worker) {
                session.forget.insert(line.task.clone());
            }
            return;
        }
        self.duplicates += 1;
        let Some(session) = self.sessions.get(&target.worker) else {
            return;
        };
        self.actions.push(super::Action::Act(super::ActCall {
            target: Target {
                worker: target.worker.clone(),
                address: session.address,
                epoch: target.epoch,
            },
            act: worker::ActOnTask {
                epoch: target.epoch,
                task: line.task.clone(),
                action: worker::TaskAction::Stop,
            },
        }));
    }

    /// Takes over a task of an earlier holder, or one that was given up.
    fn adopt(&mut self, now: time::Instant, target: &Target, line: &worker::TaskReport) {
        let Some(home) = jobs::shard_of(&line.task.job) else {
            return;
        };
        let Some(session) = self.sessions.get(&target.worker) else {
            return;
        };
        let Some(shard) = self.shards.get(&session.shard) else {
            return;
        };
        if session.forget.contains(&line.task) && end_of(line.phase).is_some() {
            return;
        }
        // After the lapse its home may have placed it elsewhere.
        let too_late = now >= shard.lapsed_at;
        let state = match end_of(line.phase) {
            Some(end) => message::TaskState::Ended(end),
            None => message::TaskState::Running,
        };
        let task = task::Task {
            attempt: line.attempt,
            home,
            home_epoch: line.home_epoch,
            shard: session.shard.clone(),
            worker: target.worker.clone(),
            state,
            entry: None,
            order: None,
            hold_until: None,
            start_bound: None,
            known_at: Some(now),
            ends_at: None,
            may_run_until: now + self.config.window + self.config.lease,
            action: (too_late && state == message::TaskState::Running)
                .then_some(worker::TaskAction::Stop),
            told_at: None,
            noted: false,
        };
        self.tasks.insert(line.task.clone(), task);
        self.send_action(&line.task);
    }

    /// Ends tasks that the worker should list, but does not.
    fn find_missing(
        &mut self,
        target: &Target,
        asked_at: time::Instant,
        reborn: bool,
        report: &worker::WorkerReport,
    ) {
        let listed: indexmap::IndexSet<_> = report.tasks.iter().map(|line| &line.task).collect();
        let missing: Vec<_> = self
            .tasks
            .iter()
            .filter(|(id, task)| {
                task.worker == target.worker && task.may_run() && !listed.contains(id)
            })
            .filter_map(|(id, task)| {
                let end = missing_end(task, asked_at, reborn, report)?;
                Some((id.clone(), end))
            })
            .collect();
        for (id, end) in missing {
            self.end(&id, end);
        }
    }
}

/// What the absence of a task from a report tells, if anything.
fn missing_end(
    task: &task::Task,
    asked_at: time::Instant,
    reborn: bool,
    report: &worker::WorkerReport,
) -> Option<message::End> {
    match (task.state, task.start_bound) {
        (message::TaskState::Starting, Some(bound)) if bound.life == report.clock.life => {
            // Later than its bound the worker refuses the start.
            (report.clock.elapsed_ms > bound.elapsed_ms).then_some(message::End::NotStarted)
        }
        (message::TaskState::Starting, _) => Some(message::End::Lost),
        _ if reborn => Some(message::End::Lost),
        // A report asked for earlier may have been made before the start.
        _ => task
            .known_at
            .is_some_and(|known_at| asked_at >= known_at)
            .then_some(message::End::Lost),
    }
}

/// What a report tells of whether the worker does its work; failures weigh more.
fn proof(report: &worker::WorkerReport) -> Option<bool> {
    let failed = |task: &worker::TaskReport| task.phase == worker::TaskPhase::Failed;
    let well = |task: &worker::TaskReport| match task.phase {
        worker::TaskPhase::Done => true,
        worker::TaskPhase::Running => task.ran_ms >= PROVEN_AFTER_MS,
        _ => false,
    };
    let tasks = &report.tasks;
    match (tasks.iter().any(failed), tasks.iter().any(well)) {
        (true, false) => Some(false),
        (_, true) => Some(true),
        (false, false) => None,
    }
}

fn end_of(phase: worker::TaskPhase) -> Option<message::End> {
    match phase {
        worker::TaskPhase::Running => None,
        worker::TaskPhase::Done => Some(message::End::Done),
        worker::TaskPhase::Failed => Some(message::End::Failed),
        worker::TaskPhase::Stopped => Some(message::End::Stopped),
        worker::TaskPhase::Checkpointed => Some(message::End::Checkpointed),
        worker::TaskPhase::Lapsed => Some(message::End::Lapsed),
    }
}
