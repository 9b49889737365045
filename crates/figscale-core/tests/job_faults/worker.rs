//! A worker that keeps the protocol to the letter, and writes down what ran.

use std::time;

use figscale_types::ids;
use figscale_types::sizes;
use figscale_types::worker;
use indexmap::IndexMap;

/// A task on the worker.
pub(crate) struct Task {
    pub(crate) attempt: u32,
    pub(crate) phase: worker::TaskPhase,
    pub(crate) reserved: sizes::Resources,
    pub(crate) home_epoch: ids::Epoch,
    pub(crate) ends_at: time::Instant,
    pub(crate) lease_until: time::Instant,
}

/// A worker.
pub(crate) struct Worker {
    pub(crate) id: ids::InstanceId,
    pub(crate) capacity: sizes::Resources,
    pub(crate) life: u64,
    pub(crate) born_at: time::Instant,
    /// Thousandths by which its clock runs fast or slow.
    pub(crate) clock_skew: i64,
    pub(crate) epoch: ids::Epoch,
    pub(crate) leaving: bool,
    /// Whether every task fails soon after its start.
    pub(crate) fails: bool,
    pub(crate) frozen_until: Option<time::Instant>,
    pub(crate) cut_until: Option<time::Instant>,
    pub(crate) tasks: IndexMap<ids::TaskId, Task>,
}

impl Worker {
    /// Its own clock, whose rate is a little wrong.
    pub(crate) fn clock(&self, now: time::Instant) -> worker::WorkerClock {
        let real = now.saturating_duration_since(self.born_at).as_millis() as i64;
        worker::WorkerClock {
            life: self.life,
            elapsed_ms: (real + real * self.clock_skew / 1_000) as u64,
        }
    }

    fn lease_end(&self, now: time::Instant, lease_ms: u64) -> time::Instant {
        // A slow clock makes the lease longer.
        let real = lease_ms as i64 - lease_ms as i64 * self.clock_skew / 1_000;
        now + time::Duration::from_millis(real as u64)
    }

    /// Ends what is over and stops what has lapsed.
    pub(crate) fn tick(&mut self, now: time::Instant) {
        for task in self.tasks.values_mut() {
            if task.phase != worker::TaskPhase::Running {
                continue;
            }
            if now >= task.lease_until {
                task.phase = worker::TaskPhase::Lapsed;
            } else if now >= task.ends_at {
                task.phase = match self.fails {
                    true => worker::TaskPhase::Failed,
                    false => worker::TaskPhase::Done,
                };
            }
        }
    }

    /// Whether a task of it may be running.
    pub(crate) fn runs(&self, id: &ids::TaskId, now: time::Instant) -> bool {
        self.tasks.get(id).is_some_and(|task| {
            task.phase == worker::TaskPhase::Running && now < task.lease_until && now < task.ends_at
        })
    }

    /// Room of what runs.
    pub(crate) fn used(&self, now: time::Instant) -> sizes::Resources {
        self.tasks
            .iter()
            .filter(|(id, _)| self.runs(id, now))
            .fold(sizes::Resources::default(), |sum, (_, task)| {
                sum.plus(&task.reserved)
            })
    }

    pub(crate) fn start(
        &mut self,
        now: time::Instant,
        call: &worker::StartTask,
    ) -> worker::StartAnswer {
        use worker::StartRefusal as Refusal;
        if call.epoch < self.epoch {
            return worker::StartAnswer::Refused(Refusal::StaleEpoch);
        }
        self.epoch = call.epoch;
        let clock = self.clock(now);
        if call.not_after.is_some_and(|bound| !clock.is_within(&bound)) {
            return worker::StartAnswer::Refused(Refusal::Late);
        }
        match self.tasks.get(&call.task) {
            Some(known) if known.attempt == call.attempt => return worker::StartAnswer::Known,
            Some(known) if known.phase == worker::TaskPhase::Running => {
                return worker::StartAnswer::Refused(Refusal::RunsAlready);
            }
            _ => {}
        }
        if self.leaving {
            return worker::StartAnswer::Refused(Refusal::Leaving);
        }
        let task = Task {
            attempt: call.attempt,
            phase: worker::TaskPhase::Running,
            reserved: call.resources,
            home_epoch: call.home_epoch,
            ends_at: now + time::Duration::from_millis(if self.fails { 20 } else { call.run_ms }),
            lease_until: self.lease_end(now, call.lease_ms),
        };
        self.tasks.insert(call.task.clone(), task);
        worker::StartAnswer::Started
    }

    pub(crate) fn renew(
        &mut self,
        now: time::Instant,
        call: &worker::Renew,
    ) -> worker::WorkerReport {
        if call.epoch < self.epoch {
            return self.report(now, true);
        }
        self.epoch = call.epoch;
        let clock = self.clock(now);
        if call.not_after.is_none_or(|bound| clock.is_within(&bound)) {
            let until = self.lease_end(now, call.lease_ms);
            for id in &call.tasks {
                if let Some(task) = self.tasks.get_mut(id)
                    && task.phase == worker::TaskPhase::Running
                {
                    task.lease_until = until;
                }
            }
        }
        for id in &call.forget {
            let ended = |task: &Task| task.phase != worker::TaskPhase::Running;
            if self.tasks.get(id).is_some_and(ended) {
                self.tasks.swap_remove(id);
            }
        }
        self.report(now, false)
    }

    pub(crate) fn act(
        &mut self,
        now: time::Instant,
        call: &worker::ActOnTask,
    ) -> worker::WorkerReport {
        if call.epoch < self.epoch {
            return self.report(now, true);
        }
        self.epoch = call.epoch;
        if let Some(task) = self.tasks.get_mut(&call.task)
            && task.phase == worker::TaskPhase::Running
        {
            match call.action {
                worker::TaskAction::Stop => task.phase = worker::TaskPhase::Stopped,
                worker::TaskAction::Checkpoint => task.phase = worker::TaskPhase::Checkpointed,
                worker::TaskAction::Throttle => {}
            }
        }
        self.report(now, false)
    }

    fn report(&self, now: time::Instant, stale: bool) -> worker::WorkerReport {
        let line = |(id, task): (&ids::TaskId, &Task)| worker::TaskReport {
            task: id.clone(),
            attempt: task.attempt,
            phase: task.phase,
            reserved: task.reserved,
            used: task.reserved,
            ran_ms: 0,
            home_epoch: task.home_epoch,
        };
        worker::WorkerReport {
            worker: self.id.clone(),
            epoch: self.epoch,
            stale,
            capacity: self.capacity,
            leaving: self.leaving,
            tasks: self.tasks.iter().map(line).collect(),
            clock: self.clock(now),
        }
    }
}
