//! Feeds the estimates of speed from reports, and passes them on to the workers.

use std::mem;
use std::time;

use figscale_types::fleet;

use super::action::Action;
use super::action::LogEntry;
use super::durable;
use super::job;
use super::scheduler;
use super::speed;
use super::worker;

impl scheduler::Scheduler {
    /// Takes over what an earlier leader knew of speeds.
    pub fn set_speeds(&mut self, speeds: &speed::Speeds) {
        self.speeds.load(speeds);
        for worker in self.workers.values_mut() {
            worker.set_speed(self.speeds.initial(&worker.entry));
        }
    }

    /// What is known of speeds: the workers that are not of ordinary speed, and the
    /// run times of queues that are not as estimated.
    pub fn known_speeds(&self) -> speed::Speeds {
        self.speeds_by(|worker| worker.slowdown)
    }

    fn speeds_by(&self, slowdown: impl Fn(&worker::Worker) -> fleet::Slowdown) -> speed::Speeds {
        let workers = self.workers.iter();
        let workers = workers.map(|(id, worker)| (id, slowdown(worker)));
        let workers = workers.filter(|(_, slowdown)| *slowdown != fleet::Slowdown::ORDINARY);
        speed::Speeds {
            workers: workers
                .map(|(id, slowdown)| (id.clone(), slowdown))
                .collect(),
            queues: self.speeds.known_run_times(),
        }
    }

    /// Takes over the record that an earlier leader wrote. One that is outdated does
    /// little harm, since it counts no more after a few runs on each worker.
    pub fn load_speeds(&mut self, bytes: &[u8]) -> Result<(), durable::RecordError> {
        let speeds: speed::Speeds = durable::decode(bytes)?;
        self.set_speeds(&speeds);
        Ok(())
    }

    /// Run times of a queue's tasks.
    pub(crate) fn run_times(&self, queue_name: &str) -> speed::RunTimes {
        self.speeds.run_times(queue_name)
    }

    /// Takes the progress of a run as evidence, and refines its expected end.
    pub(crate) fn learn_from_progress(
        &mut self,
        id: &fleet::WorkerId,
        running: &fleet::RunningTask,
        clock_ms: u64,
        now: time::Instant,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let key = (running.task, running.attempt);
        let Some(run) = worker.runs.get_mut(&key) else {
            return;
        };
        let reading = run.speed.progressed(clock_ms, running.progress_percent);
        let Some(reading) = reading else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&running.task.job) else {
            return;
        };
        let remaining_ms = run.speed.remaining_ms();
        if let Some(remaining_ms) = remaining_ms
            && self.speeds.trusts_progress(&job.queue.name)
        {
            run.expected_end = now + time::Duration::from_millis(remaining_ms);
        }
        let observed = observed(job, &running.task, &mut worker.speed, &mut run.speed);
        if let Some(observed) = observed {
            self.speeds.observe(observed, reading, now);
        }
    }

    /// Takes the successful end of a run as evidence.
    pub(crate) fn learn_from_end(
        &mut self,
        id: &fleet::WorkerId,
        key: &worker::RunKey,
        mut run: worker::Run,
        now: time::Instant,
    ) {
        let task = &key.0;
        if self.is_gang(task) {
            self.learn_from_gang(id, key, &run, now);
            return;
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let Some(clock_ms) = worker.speed.prompt_report_ms() else {
            return;
        };
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let Some(count) = job.step_description(task).map(|step| step.count) else {
            return;
        };
        let slowdown = worker.slowdown;
        self.report_length(id, key, &run, (clock_ms, slowdown));
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(reading) = run.speed.ended(clock_ms) else {
            return;
        };
        let Some(mut observed) = observed(job, task, &mut worker.speed, &mut run.speed) else {
            return;
        };
        self.speeds.observe(observed.reborrow(), reading, now);
        self.speeds.observe_end(&observed, (clock_ms, count), now);
    }

    /// Takes the end of the first member of a gang as that of all.
    fn learn_from_gang(
        &mut self,
        id: &fleet::WorkerId,
        (task, attempt): &worker::RunKey,
        run: &worker::Run,
        now: time::Instant,
    ) {
        let report_ms = self.workers.get(id).map(|worker| &worker.speed);
        let Some(clock_ms) = report_ms.and_then(speed::WorkerSpeed::prompt_report_ms) else {
            return;
        };
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let first = job.task(task);
        let first = first.is_some_and(|task| task.is_current_run(id, *attempt));
        let Some(step) = job.step(task).filter(|_| first) else {
            return;
        };
        let slowdowns = step.tasks.iter().filter_map(|member| match &member.state {
            job::TaskState::Placed { worker, .. } => {
                self.workers.get(worker).map(|worker| worker.slowdown)
            }
            _ => None,
        });
        let slowest = slowdowns.max().unwrap_or_default();
        let queue = job.queue.clone();
        let end = (clock_ms, slowest);
        self.report_length(id, &(*task, *attempt), run, end);
        self.speeds.observe_gang(&queue, &run.speed, end, now);
    }

    /// Logs how long a run took, and how long it was predicted to take.
    fn report_length(
        &mut self,
        id: &fleet::WorkerId,
        (task, attempt): &worker::RunKey,
        run: &worker::Run,
        (clock_ms, slowdown): (u64, fleet::Slowdown),
    ) {
        let estimate = run.speed.estimate();
        let length_ms = run.speed.length_ms(clock_ms);
        let (Some(length_ms), Some(job)) = (length_ms, self.jobs.get(&task.job)) else {
            return;
        };
        if estimate.is_zero() {
            return;
        }
        let run_times = self.run_times(&job.queue.name);
        self.actions.push(Action::Log(LogEntry::RunDone {
            task: *task,
            attempt: *attempt,
            worker: id.clone(),
            length: time::Duration::from_millis(length_ms),
            predicted: slowdown.of(run_times.typical(estimate)),
        }));
    }

    /// Derives the slowdown of a worker that has reported.
    pub(crate) fn update_slowdown(&mut self, id: &fleet::WorkerId, now: time::Instant) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let service = &worker.entry.service;
        let runs = worker.runs.values();
        let observed = runs.filter(|run| run.speed.is_observed()).count();
        let moved = self
            .speeds
            .update(service, &mut worker.speed, observed, now);
        let Some(slowdown) = moved else {
            return;
        };
        let previous = mem::replace(&mut worker.slowdown, slowdown);
        if self.speeds.may_log_change() {
            self.actions.push(Action::Log(LogEntry::WorkerSpeedChanged {
                worker: id.clone(),
                previous,
                slowdown,
                lasting: worker.speed.lasting_slowdown(),
                runs: worker.speed.runs(),
            }));
        }
    }

    /// Renews what workers and queues have in common, if that is due.
    pub(crate) fn review_speeds(&mut self, now: time::Instant) {
        if !self.speeds.review_is_due(now) {
            return;
        }
        let workers = self.workers.values();
        let workers = workers.map(|worker| (&worker.entry, &worker.speed));
        self.speeds.review(workers, now);
        // Workers that are not listed yet would be left out of it.
        if self.recovering {
            return;
        }
        let mut record = mem::take(&mut self.speeds.record);
        // A transient slowdown is over before it would be of use to another leader.
        let lasting = || self.speeds_by(|worker| worker.speed.lasting_slowdown());
        record.check(lasting, now);
        self.speeds.record = record;
    }
}

/// A run as evidence; `None` for a member of a gang, which runs at the pace of the
/// slowest.
fn observed<'a>(
    job: &'a mut job::Job,
    task: &fleet::TaskId,
    worker: &'a mut speed::WorkerSpeed,
    run: &'a mut speed::RunSpeed,
) -> Option<speed::Observed<'a>> {
    let gang = job.step_description(task)?.gang;
    let queue = &job.queue;
    let round = job.rounds.get_mut(task.occurrence as usize)?;
    let step = round.steps.get_mut(task.step as usize)?;
    (!gang).then_some(speed::Observed {
        task: *task,
        queue,
        step: &mut step.ratio,
        worker,
        run,
    })
}
