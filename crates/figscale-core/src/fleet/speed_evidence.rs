//! Feeds the estimates of speed from reports, and passes them on to the workers.

use std::time;

use figscale_types::fleet;

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
        let differs = |slowdown: fleet::Slowdown| slowdown != fleet::Slowdown::ORDINARY;
        let workers = self.workers.iter();
        let workers = workers.filter(|(_, worker)| differs(worker.slowdown));
        speed::Speeds {
            workers: workers
                .map(|(id, worker)| (id.clone(), worker.slowdown))
                .collect(),
            queues: self.speeds.known_run_times(),
        }
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
        if let Some(remaining_ms) = run.speed.remaining_ms() {
            run.expected_end = now + time::Duration::from_millis(remaining_ms);
        }
        let Some(job) = self.jobs.get_mut(&running.task.job) else {
            return;
        };
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
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(count) = job.step_description(task).map(|step| step.count) else {
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
        self.speeds.observe_gang(&queue, &run.speed, end, now);
    }

    /// Derives the slowdown of a worker that has reported.
    pub(crate) fn update_slowdown(&mut self, id: &fleet::WorkerId, now: time::Instant) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let service = &worker.entry.service;
        let moved = self.speeds.update(service, &mut worker.speed, now);
        if let Some(slowdown) = moved {
            worker.slowdown = slowdown;
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
