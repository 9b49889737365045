//! The tasks of a stand-in worker: a state machine that is passed the time.
//!
//! [`Tasks::advance`] brings it up to date: a task ends at the earliest of the
//! expiry of its lease, its run-time limit and its own end. While the worker is
//! frozen nothing ends; when it resumes, leases that expired in the meantime are
//! processed before anything else, as the watchdog of a real worker would do.

use std::time;

use figscale_types::clock;
use figscale_types::ids;
use figscale_types::sizes;
use figscale_types::worker;
use figscale_types::worker::TaskPhase;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use super::Behaviour;
use super::Faults;
use super::ledger;
use super::task;

/// Counters of the calls of holders to a worker, and of its utilization.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Tasks started.
    pub starts: u64,
    /// Starts requested while it was leaving.
    pub starts_while_leaving: u64,
    /// Starts refused because they would have exceeded its capacity.
    pub over_capacity: u64,
    /// Number of times that the usage of its tasks rose above its capacity.
    pub overused: u64,
    /// Calls with an epoch lower than the highest one received before.
    pub stale_calls: u64,
    /// Calls received after the time given in their `not_after`.
    pub late_calls: u64,
    /// Largest amount of each resource reserved at once.
    pub most_reserved: sizes::Resources,
}

pub(super) struct Tasks {
    id: ids::InstanceId,
    capacity: sizes::Resources,
    usage_lag: time::Duration,
    ledger: ledger::TaskLedger,
    life: u64,
    started: time::Instant,
    epoch: ids::Epoch,
    tasks: IndexMap<ids::TaskId, task::Task>,
    faults: Faults,
    frozen_at: Option<time::Instant>,
    overused: bool,
    record: Record,
}

impl Tasks {
    pub(super) fn new(
        id: ids::InstanceId,
        capacity: sizes::Resources,
        usage_lag: time::Duration,
        ledger: ledger::TaskLedger,
        started: time::Instant,
    ) -> Self {
        Self {
            id,
            capacity,
            usage_lag,
            ledger,
            life: rand::random(),
            started,
            epoch: ids::Epoch(0),
            tasks: IndexMap::new(),
            faults: Faults::default(),
            frozen_at: None,
            overused: false,
            record: Record::default(),
        }
    }

    pub(super) fn record(&self) -> Record {
        self.record.clone()
    }

    /// Ends the tasks whose end is not after `now`.
    pub(super) fn advance(&mut self, now: time::Instant) {
        if self.frozen_at.is_some() {
            return;
        }
        for (id, task) in &mut self.tasks {
            let (at, phase) = task.next_end();
            if task.is_running() && at <= now {
                task.phase = phase;
                task.stopped = Some(at);
                self.ledger.ended(id, &self.id, at);
            }
        }
        self.check_usage();
    }

    pub(super) fn set_faults(&mut self, faults: Faults, now: time::Instant) {
        match (self.frozen_at, faults.freeze) {
            (None, true) => self.freeze(now),
            (Some(since), false) => self.thaw(since, now),
            _ => {}
        }
        self.faults = faults;
    }

    fn freeze(&mut self, now: time::Instant) {
        self.frozen_at = Some(now);
        for (id, task) in &self.tasks {
            if task.is_running() {
                self.ledger.ended(id, &self.id, now);
            }
        }
    }

    fn thaw(&mut self, since: time::Instant, now: time::Instant) {
        self.frozen_at = None;
        let frozen_for = now.saturating_duration_since(since);
        for (id, task) in &mut self.tasks {
            if !task.is_running() {
                continue;
            }
            task.ends += frozen_for;
            if task.lease_until <= now {
                task.phase = TaskPhase::Lapsed;
                task.stopped = Some(since);
            } else {
                self.ledger.began(task.run(id, &self.id, now));
            }
        }
        self.advance(now);
    }

    /// Ends all tasks, as a crash does.
    pub(super) fn crash(&mut self, now: time::Instant) {
        for (id, task) in &self.tasks {
            if task.is_running() {
                self.ledger.ended(id, &self.id, now);
            }
        }
        self.tasks.clear();
        self.life = rand::random();
        self.started = now;
    }

    /// Whether calls with this epoch are accepted; records the highest epoch.
    fn accept_epoch(&mut self, epoch: ids::Epoch) -> bool {
        let current = epoch >= self.epoch;
        if current {
            self.epoch = epoch;
        } else {
            self.record.stale_calls += 1;
        }
        current
    }

    fn clock(&self, now: time::Instant) -> worker::WorkerClock {
        worker::WorkerClock {
            life: self.life,
            elapsed_ms: clock::millis(now.saturating_duration_since(self.started)),
        }
    }

    fn is_in_time(&mut self, not_after: Option<worker::WorkerClock>, now: time::Instant) -> bool {
        let clock = self.clock(now);
        let in_time = not_after.is_none_or(|not_after| clock.is_within(&not_after));
        self.record.late_calls += u64::from(!in_time);
        in_time
    }

    pub(super) fn start(
        &mut self,
        request: &worker::StartTask,
        now: time::Instant,
    ) -> worker::StartAnswer {
        if !self.accept_epoch(request.epoch) {
            return worker::StartAnswer::Refused(worker::StartRefusal::StaleEpoch);
        }
        let known = self.tasks.get(&request.task);
        if known.is_some_and(|task| task.attempt == request.attempt) {
            return worker::StartAnswer::Known;
        }
        if !self.is_in_time(request.not_after, now) {
            return worker::StartAnswer::Refused(worker::StartRefusal::Late);
        }
        if let Some(refusal) = self.refusal(request) {
            return worker::StartAnswer::Refused(refusal);
        }
        self.run(request, now);
        worker::StartAnswer::Started
    }

    fn refusal(&mut self, request: &worker::StartTask) -> Option<worker::StartRefusal> {
        let other_attempt = self.tasks.get(&request.task);
        if other_attempt.is_some_and(task::Task::is_running) {
            return Some(worker::StartRefusal::RunsAlready);
        }
        if self.faults.leaving {
            self.record.starts_while_leaving += 1;
            return Some(worker::StartRefusal::Leaving);
        }
        let wanted = self.reserved().plus(&request.resources);
        if !self.capacity.holds(&wanted) {
            self.record.over_capacity += 1;
            return Some(worker::StartRefusal::Full);
        }
        None
    }

    fn run(&mut self, request: &worker::StartTask, now: time::Instant) {
        let behaviour: Behaviour = request.command.parse().unwrap_or_default();
        let saved = if request.resume {
            self.ledger.saved(&request.task)
        } else {
            time::Duration::ZERO
        };
        let declared = time::Duration::from_millis(request.run_ms);
        let total = declared.mul_f64(behaviour.run_factor);
        let remaining = if self.faults.fail_everything {
            time::Duration::ZERO
        } else {
            total.saturating_sub(saved)
        };
        let task = task::Task {
            attempt: request.attempt,
            home_epoch: request.home_epoch,
            phase: TaskPhase::Running,
            reserved: request.resources,
            use_factor: behaviour.use_factor * self.faults.use_factor,
            fail: behaviour.fail || self.faults.fail_everything,
            started: now,
            lease_until: now + time::Duration::from_millis(request.lease_ms),
            ends: now + remaining,
            run_limit: now + time::Duration::from_millis(request.max_run_ms),
            saved,
            stopped: None,
        };
        self.ledger.started(&request.task);
        self.ledger.began(task.run(&request.task, &self.id, now));
        self.tasks.insert(request.task.clone(), task);
        self.record.starts += 1;
        let reserved = self.reserved();
        let max_reserved = &mut self.record.most_reserved;
        *max_reserved = sizes::Resources::max(max_reserved, &reserved);
        self.check_usage();
    }

    pub(super) fn renew(
        &mut self,
        request: &worker::Renew,
        now: time::Instant,
    ) -> worker::WorkerReport {
        if !self.accept_epoch(request.epoch) {
            return self.report(now, true);
        }
        if !self.is_in_time(request.not_after, now) {
            return self.report(now, false);
        }
        let until = now + time::Duration::from_millis(request.lease_ms);
        for id in &request.tasks {
            if let Some(task) = self.tasks.get_mut(id).filter(|task| task.is_running()) {
                task.lease_until = until;
                self.ledger.renewed(id, &self.id, until);
            }
        }
        for id in &request.forget {
            if self.tasks.get(id).is_some_and(|task| !task.is_running()) {
                self.tasks.shift_remove(id);
            }
        }
        self.report(now, false)
    }

    pub(super) fn act(
        &mut self,
        request: &worker::ActOnTask,
        now: time::Instant,
    ) -> worker::WorkerReport {
        if !self.accept_epoch(request.epoch) {
            return self.report(now, true);
        }
        let running = self.tasks.get_mut(&request.task);
        if let Some(task) = running.filter(|task| task.is_running()) {
            match request.action {
                worker::TaskAction::Throttle => task.use_factor = task.use_factor.min(1.0),
                worker::TaskAction::Stop => task.phase = TaskPhase::Stopped,
                worker::TaskAction::Checkpoint => {
                    let ran = task.saved + now.saturating_duration_since(task.started);
                    self.ledger.save(&request.task, ran);
                    task.phase = TaskPhase::Checkpointed;
                }
            }
            if !task.is_running() {
                task.stopped = Some(now);
                self.ledger.ended(&request.task, &self.id, now);
            }
        }
        self.check_usage();
        self.report(now, false)
    }

    pub(super) fn report(&self, now: time::Instant, stale: bool) -> worker::WorkerReport {
        let tasks = self.tasks.iter().map(|(id, task)| worker::TaskReport {
            task: id.clone(),
            attempt: task.attempt,
            phase: task.phase,
            reserved: task.reserved,
            used: task.reported_use(now, self.usage_lag),
            ran_ms: clock::millis(
                task.stopped
                    .unwrap_or(now)
                    .saturating_duration_since(task.started),
            ),
            home_epoch: task.home_epoch,
        });
        worker::WorkerReport {
            worker: self.id.clone(),
            epoch: self.epoch,
            stale,
            capacity: self.capacity,
            leaving: self.faults.leaving,
            tasks: tasks.collect(),
            clock: self.clock(now),
        }
    }

    fn reserved(&self) -> sizes::Resources {
        let running = self.tasks.values().filter(|task| task.is_running());
        running.fold(sizes::Resources::default(), |sum, task| {
            sum.plus(&task.reserved)
        })
    }

    /// Counts each time that usage rises above the capacity of the worker.
    fn check_usage(&mut self) {
        let running = self.tasks.values().filter(|task| task.is_running());
        let used = running.fold(sizes::Resources::default(), |sum, task| {
            sum.plus(&task.used())
        });
        let overused = !self.capacity.holds(&used);
        if overused && !self.overused {
            self.record.overused += 1;
        }
        self.overused = overused;
    }
}
