//! Answers of workers: starts and reports.

use std::time;

use figscale_types::ids;
use figscale_types::jobs;
use figscale_types::worker;

use super::Placer;
use super::Target;
use super::task;
use crate::job::message;

/// Run time of a task after which its worker counts as proven.
const PROVEN_AFTER_MS: u64 = 1_000;

/// The result of a start.
#[derive(Clone, Debug, PartialEq)]
pub enum StartOutcome {
    /// The worker answered.
    Answered(worker::StartAnswer),
    /// Nothing of it was sent.
    NotSent,
    /// The answer was lost; the worker may have received the start.
    Unknown,
}

impl Placer {
    /// Applies the result of a start.
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
                task.seen_running_at = Some(now);
                task.home_informed = false;
                task.notified_at = None;
            }
            StartOutcome::NotSent => self.end(&attempt.task, message::End::NotStarted),
            StartOutcome::Unknown => {
                if let Some(session) = self.sessions.get_mut(&target.worker) {
                    session.report_wanted = true;
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
            | worker::StartRefusal::Late => session.report_wanted = true,
        }
    }

    /// Records that the renewal sent at `asked_at` is no longer in flight; called when
    /// it got no answer.
    pub fn on_no_report(&mut self, target: &Target, asked_at: time::Instant) {
        if let Some(session) = self.sessions.get_mut(&target.worker)
            && session.in_flight_since == Some(asked_at)
        {
            session.in_flight_since = None;
        }
    }

    /// Applies a worker's report to a call sent at `asked_at` under the target's epoch.
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
        let earlier_incarnation = session
            .incarnation()
            .filter(|known| *known != report.clock.life);
        if !session.record_clock(now, report.clock) {
            return;
        }
        session.last_report_at = now;
        session.leaving |= report.leaving;
        for task in forgotten {
            session.forget.swap_remove(task);
        }
        if let Some(proven) = proven_by_report(report) {
            session.proven = proven;
        }
        let outcome = self.cluster.sync(report, asked_at, now);
        self.learn(&outcome.ended);
        for reported in &report.tasks {
            self.on_task_report(now, target, reported);
        }
        self.request_actions(outcome.overload_actions);
        self.end_missing(target, asked_at, earlier_incarnation.is_some(), report);
        self.update_open_workers(now);
    }

    /// Whether the shard is still held under the epoch that a call carried.
    fn is_current(&self, target: &Target) -> bool {
        self.sessions
            .get(&target.worker)
            .and_then(|session| self.shards.get(&session.shard))
            .is_some_and(|shard| shard.epoch == target.epoch)
    }

    fn on_task_report(
        &mut self,
        now: time::Instant,
        target: &Target,
        reported: &worker::TaskReport,
    ) {
        match self.tasks.get(&reported.task) {
            Some(known) if known.worker == target.worker && known.attempt == reported.attempt => {
                self.on_known_task(now, reported);
            }
            Some(known) if known.is_active() || known.attempt > reported.attempt => {
                self.on_duplicate(target, reported);
            }
            _ => self.adopt(now, target, reported),
        }
    }

    fn on_known_task(&mut self, now: time::Instant, reported: &worker::TaskReport) {
        let Some(task) = self.tasks.get_mut(&reported.task) else {
            return;
        };
        let ended = end_of(reported.phase);
        match (task.state, ended) {
            // It was taken as ended but still runs: it must be stopped.
            (message::TaskState::Ended(_), None) => {
                task.action = Some(worker::TaskAction::Stop);
                self.send_action(&reported.task);
            }
            // It was taken as lost, and the worker now reports how it ended.
            (message::TaskState::Ended(message::End::Lost), Some(end)) => {
                self.end(&reported.task, end);
            }
            (message::TaskState::Ended(_), Some(_)) => {}
            (_, Some(end)) => {
                let worker = task.worker.clone();
                self.record_worker_outcome(now, &worker, &reported.task, end);
                self.end(&reported.task, end);
            }
            (message::TaskState::Running, None) => {}
            (_, None) => {
                task.state = message::TaskState::Running;
                task.seen_running_at = Some(now);
                task.home_informed = false;
                task.notified_at = None;
            }
        }
    }

    /// Counts a success or a failure for the worker.
    fn record_worker_outcome(
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
        self.apply_blame(blame);
    }

    /// Stops a task that is placed on another worker or has a later attempt.
    fn on_duplicate(&mut self, target: &Target, reported: &worker::TaskReport) {
        if end_of(reported.phase).is_some() {
            if let Some(session) = self.sessions.get_mut(&target.worker) {
                session.forget.insert(reported.task.clone());
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
                task: reported.task.clone(),
                action: worker::TaskAction::Stop,
            },
        }));
    }

    /// Adds a task that is not known here: one of an earlier holder, or one that was dropped.
    fn adopt(&mut self, now: time::Instant, target: &Target, reported: &worker::TaskReport) {
        let Some(home) = jobs::shard_of(&reported.task.job) else {
            return;
        };
        let Some(session) = self.sessions.get(&target.worker) else {
            return;
        };
        let Some(shard) = self.shards.get(&session.shard) else {
            return;
        };
        if session.forget.contains(&reported.task) && end_of(reported.phase).is_some() {
            return;
        }
        // After that time its home may have placed it elsewhere.
        let too_late = now >= shard.lapsed_at;
        let state = match end_of(reported.phase) {
            Some(end) => message::TaskState::Ended(end),
            None => message::TaskState::Running,
        };
        let task = task::Task {
            attempt: reported.attempt,
            home,
            home_epoch: reported.home_epoch,
            shard: session.shard.clone(),
            worker: target.worker.clone(),
            state,
            entry: None,
            order: None,
            hold_until: None,
            start_bound: None,
            seen_running_at: Some(now),
            ends_at: None,
            may_run_until: now + self.config.dispatch_window + self.config.lease,
            action: (too_late && state == message::TaskState::Running)
                .then_some(worker::TaskAction::Stop),
            notified_at: None,
            home_informed: false,
        };
        self.tasks.insert(reported.task.clone(), task);
        self.send_action(&reported.task);
    }

    /// Ends tasks that are missing from a report that should list them.
    fn end_missing(
        &mut self,
        target: &Target,
        asked_at: time::Instant,
        restarted: bool,
        report: &worker::WorkerReport,
    ) {
        let listed: indexmap::IndexSet<_> =
            report.tasks.iter().map(|reported| &reported.task).collect();
        let missing: Vec<_> = self
            .tasks
            .iter()
            .filter(|(id, task)| {
                task.worker == target.worker && task.may_run() && !listed.contains(id)
            })
            .filter_map(|(id, task)| {
                let end = missing_end(task, asked_at, restarted, report)?;
                Some((id.clone(), end))
            })
            .collect();
        for (id, end) in missing {
            self.end(&id, end);
        }
    }
}

/// How a task that is missing from a report ended; `None` if that is still open.
fn missing_end(
    task: &task::Task,
    asked_at: time::Instant,
    restarted: bool,
    report: &worker::WorkerReport,
) -> Option<message::End> {
    match (task.state, task.start_bound) {
        (message::TaskState::Starting, Some(bound)) if bound.life == report.clock.life => {
            // After the bound of the start the worker refuses it.
            (report.clock.elapsed_ms > bound.elapsed_ms).then_some(message::End::NotStarted)
        }
        (message::TaskState::Starting, _) => Some(message::End::Lost),
        _ if restarted => Some(message::End::Lost),
        // A report requested earlier may have been made before the start.
        _ => task
            .seen_running_at
            .is_some_and(|seen_running_at| asked_at >= seen_running_at)
            .then_some(message::End::Lost),
    }
}

/// Whether a report shows that tasks run properly on the worker.
///
/// Any task that succeeded or has run for long enough shows that it does;
/// failures without such a task show that it does not. Otherwise the report
/// shows neither.
fn proven_by_report(report: &worker::WorkerReport) -> Option<bool> {
    let failed = |task: &worker::TaskReport| task.phase == worker::TaskPhase::Failed;
    let is_proof = |task: &worker::TaskReport| match task.phase {
        worker::TaskPhase::Done => true,
        worker::TaskPhase::Running => task.ran_ms >= PROVEN_AFTER_MS,
        _ => false,
    };
    let tasks = &report.tasks;
    match (tasks.iter().any(failed), tasks.iter().any(is_proof)) {
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
