//! A simulated worker that follows the protocol exactly and records what ran.

use std::time;

use figscale_types::ids;
use figscale_types::sizes;
use figscale_types::worker;
use indexmap::IndexMap;

/// Run time after which a task uses `use_factor` times its reservation.
const WARM_UP: time::Duration = time::Duration::from_millis(300);

/// A task on the worker.
pub(crate) struct Task {
    pub(crate) attempt: u32,
    pub(crate) phase: worker::TaskPhase,
    pub(crate) reserved: sizes::Resources,
    pub(crate) home_epoch: ids::Epoch,
    started_at: time::Instant,
    pub(crate) ends_at: time::Instant,
    pub(crate) lease_until: time::Instant,
}

/// A simulated worker.
pub(crate) struct Worker {
    pub(crate) id: ids::InstanceId,
    pub(crate) capacity: sizes::Resources,
    pub(crate) incarnation: u64,
    pub(crate) booted_at: time::Instant,
    /// Clock drift in thousandths; positive is fast.
    pub(crate) clock_skew: i64,
    pub(crate) epoch: ids::Epoch,
    pub(crate) leaving: bool,
    /// Whether every task fails soon after its start.
    pub(crate) fails: bool,
    /// Usage of warmed-up tasks, as a multiple of their reservation.
    pub(crate) use_factor: u64,
    pub(crate) frozen_until: Option<time::Instant>,
    pub(crate) cut_until: Option<time::Instant>,
    pub(crate) tasks: IndexMap<ids::TaskId, Task>,
}

impl Worker {
    /// The worker's own clock, with its drift.
    pub(crate) fn clock(&self, now: time::Instant) -> worker::WorkerClock {
        let real = now.saturating_duration_since(self.booted_at).as_millis() as i64;
        worker::WorkerClock {
            life: self.incarnation,
            elapsed_ms: (real + real * self.clock_skew / 1_000) as u64,
        }
    }

    fn lease_end(&self, now: time::Instant, lease_ms: u64) -> time::Instant {
        // A slow clock makes the lease longer.
        let real = lease_ms as i64 - lease_ms as i64 * self.clock_skew / 1_000;
        now + time::Duration::from_millis(real as u64)
    }

    /// Ends tasks that have reached their run time, and those whose lease has lapsed.
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

    /// Whether the task is running on this worker.
    pub(crate) fn runs(&self, id: &ids::TaskId, now: time::Instant) -> bool {
        self.tasks.get(id).is_some_and(|task| {
            task.phase == worker::TaskPhase::Running && now < task.lease_until && now < task.ends_at
        })
    }

    /// Resources reserved for running tasks.
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
            started_at: now,
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

    fn use_of(&self, task: &Task, now: time::Instant) -> sizes::Resources {
        let factor = match ran(task, now) >= WARM_UP {
            true => self.use_factor,
            false => 1,
        };
        sizes::Resources {
            cpu_millis: sizes::CpuMillis(task.reserved.cpu_millis.0 * factor),
            memory_bytes: sizes::Bytes(task.reserved.memory_bytes.0 * factor),
            ..task.reserved
        }
    }

    fn report(&self, now: time::Instant, stale: bool) -> worker::WorkerReport {
        let to_report = |(id, task): (&ids::TaskId, &Task)| worker::TaskReport {
            task: id.clone(),
            attempt: task.attempt,
            phase: task.phase,
            reserved: task.reserved,
            used: self.use_of(task, now),
            ran_ms: ran(task, now).as_millis() as u64,
            home_epoch: task.home_epoch,
        };
        worker::WorkerReport {
            worker: self.id.clone(),
            epoch: self.epoch,
            stale,
            capacity: self.capacity,
            leaving: self.leaving,
            tasks: self.tasks.iter().map(to_report).collect(),
            clock: self.clock(now),
        }
    }
}

fn ran(task: &Task, now: time::Instant) -> time::Duration {
    now.saturating_duration_since(task.started_at)
}
