//! Stopping of runs: by order, with the rest of their gang, and where they make no
//! progress.

use std::time;

use figscale_types::fleet;

use super::action::Action;
use super::action::LogEntry;
use super::job;
use super::scheduler;
use super::worker;

/// Time after which a stop that has not taken effect is repeated.
const STOP_REPEAT: time::Duration = time::Duration::from_millis(700);
/// How long a run may use no processor time before it counts as stalled. Tasks
/// start up within half a second, and reports come each second.
const MAX_IDLE: time::Duration = time::Duration::from_millis(1_600);

impl scheduler::Scheduler {
    /// Makes a task startable again after a run that ended without finishing it.
    /// The rest of its gang is stopped.
    pub(crate) fn requeue_task(&mut self, worker: &fleet::WorkerId, key: &worker::RunKey) {
        let (id, attempt) = key;
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let is_gang = job.step_description(id).is_some_and(|step| step.gang);
        if let Some(task) = job.task_mut(id)
            && task.is_current_run(worker, *attempt)
        {
            task.state = job::TaskState::Waiting;
        }
        if is_gang {
            self.stop_rest_of_gang(id, *attempt);
        }
    }

    /// Stops the remaining runs of a gang attempt that has lost a member.
    fn stop_rest_of_gang(&mut self, id: &fleet::TaskId, attempt: u32) {
        let mut rest = Vec::new();
        for (worker_id, worker) in &self.workers {
            for (run, number) in worker.runs.keys() {
                if run.is_of_same_step(id) && *number == attempt {
                    rest.push((worker_id.clone(), (*run, *number)));
                }
            }
        }
        for (worker, key) in rest {
            self.order_stop(&worker, key, None);
        }
    }

    /// Orders a stop unless one was ordered within [`STOP_REPEAT`]. Without a
    /// time, only the first stop is ordered.
    pub(crate) fn order_stop(
        &mut self,
        worker: &fleet::WorkerId,
        key: worker::RunKey,
        now: Option<time::Instant>,
    ) {
        let Some(host) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(run) = host.runs.get(&key) else {
            return;
        };
        let at = now.unwrap_or(run.ordered_at);
        let lately = run.stop_ordered.is_some_and(|last| at < last + STOP_REPEAT);
        if lately {
            return;
        }
        host.record_stop(&key, at);
        let (task, attempt) = key;
        self.actions.push(Action::Stop {
            worker: worker.clone(),
            task,
            attempt,
        });
    }

    /// Repeats stops that have not taken effect.
    pub(crate) fn repeat_stops(&mut self, now: time::Instant) {
        let mut again = Vec::new();
        for (id, worker) in &self.workers {
            again.extend(worker.stopping_runs().map(|key| (id.clone(), *key)));
        }
        for (worker, key) in again {
            self.order_stop(&worker, key, Some(now));
        }
    }

    /// Orders stops for all runs of a job.
    pub(crate) fn stop_job(&mut self, job: fleet::JobId, now: time::Instant) {
        let mut runs = Vec::new();
        for (id, worker) in &self.workers {
            let of_job = worker.runs.keys().filter(|(task, _)| task.job == job);
            runs.extend(of_job.map(|key| (id.clone(), *key)));
        }
        for (worker, key) in runs {
            self.order_stop(&worker, key, Some(now));
        }
    }

    /// Checks the processor use that a worker reported for a run. If the run is
    /// stalled, its task is moved and the worker ejected.
    pub(crate) fn check_processor_use(
        &mut self,
        id: &fleet::WorkerId,
        key: worker::RunKey,
        used_cpu_millis: u64,
        now: time::Instant,
    ) {
        let run = self
            .workers
            .get_mut(id)
            .and_then(|worker| worker.runs.get_mut(&key));
        let Some(run) = run else {
            return;
        };
        if used_cpu_millis > 0 || run.stop_ordered.is_some() {
            run.idle_since = None;
            return;
        }
        let since = *run.idle_since.get_or_insert(now);
        if now < since + MAX_IDLE || !self.gang_is_idle(&key, now) {
            return;
        }
        self.order_stop(id, key, Some(now));
        self.eject_worker(id, "tasks use no processor time", now);
    }

    /// Whether all members of a run's gang are stalled; true for other runs.
    ///
    /// A member that has done its part waits for the others without using a
    /// processor. When that counted as stalled, 1,600 core-seconds of finished
    /// work were thrown away on a day without trouble.
    fn gang_is_idle(&self, key: &worker::RunKey, now: time::Instant) -> bool {
        let (task, attempt) = key;
        let step = self
            .jobs
            .get(&task.job)
            .and_then(|job| job.step_description(task));
        if !step.is_some_and(|step| step.gang) {
            return true;
        }
        let runs = self.workers.values().flat_map(|worker| &worker.runs);
        let mut members =
            runs.filter(|((other, number), _)| other.is_of_same_step(task) && number == attempt);
        members.all(|(_, run)| run.idle_since.is_some_and(|since| now >= since + MAX_IDLE))
    }

    /// Ejects a worker: it receives no new work for a while.
    pub(crate) fn eject_worker(
        &mut self,
        id: &fleet::WorkerId,
        cause: &'static str,
        now: time::Instant,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.health.is_out_of_use(now) {
            return;
        }
        worker.health.eject(now);
        let log_entry = LogEntry::WorkerEjected {
            worker: id.clone(),
            cause,
        };
        self.actions.push(Action::Log(log_entry));
    }
}
