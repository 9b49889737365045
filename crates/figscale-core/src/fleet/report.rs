//! Reports of workers: their runs, and the runs that have ended.

use std::time;

use figscale_types::fleet;
use indexmap::IndexSet;

use super::action::Action;
use super::action::LogEntry;
use super::job;
use super::scheduler;
use super::speed;
use super::worker;

impl scheduler::Scheduler {
    /// Returns what the next call for a worker's report has to carry; `None` if
    /// the worker is unknown or replaced. The lease counts as sent from then on.
    ///
    /// The lease starts at the last reading of the worker's clock and not now, or at the
    /// last proof of leadership if that is earlier. So the lease of an unresponsive
    /// worker is not extended by calls that might still reach it, and its runs can be
    /// abandoned in the end, by this leader or the next one.
    pub fn report_due(&mut self, id: &fleet::WorkerId) -> Option<worker::ReportDue> {
        let (lease, proven_at) = (self.config.lease, self.proven_at);
        let worker = self.workers.get_mut(id)?;
        if worker.replaced {
            return None;
        }
        if worker.may_have_restarted() {
            return Some(worker::ReportDue::without_effect());
        }
        let lease_until_clock_ms = worker.lease.latest_end_ms(lease, proven_at);
        if let Some(until) = lease_until_clock_ms {
            worker.lease.record_sent(until);
        }
        Some(worker::ReportDue {
            acknowledged: worker.acknowledged,
            lease_until_clock_ms,
        })
    }

    /// Applies a worker's report.
    pub fn worker_reported(
        &mut self,
        id: &fleet::WorkerId,
        report: &fleet::WorkerReport,
        now: time::Instant,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.unresponsive_since.is_some() {
            self.lost_workers.retract(id);
            let address = worker.entry.address;
            self.unsettled_machines.retract(address, id);
        }
        worker.record_truncation(report);
        worker.record_contact(report.clock_ms, now);
        worker.speed.record_report(report.clock_ms);
        let replaced = worker.replaced;
        let complete = report.is_complete();
        let first = !worker.reported;
        let first_complete = complete && !worker.reported_completely;
        worker.reported = true;
        worker.reported_completely |= complete;
        if first {
            // Runs of earlier terms may continue until the end of any lease that
            // was sent to the worker.
            let lease = match worker.may_have_foreign_lease {
                true => self.config.max_lease,
                false => self.config.lease,
            };
            let lease_ms = super::lease::millis(lease);
            worker.lease.record_sent(report.clock_ms + lease_ms);
        }
        // A run of an earlier term may be in an unreadable row, or beyond the limit of
        // the list.
        if first_complete {
            self.end_wait_for_predecessors(id);
        }
        for run in &report.finished {
            self.apply_finished_run(id, run, now);
        }
        // A late report of a replaced worker says nothing about what runs now.
        if !replaced {
            self.apply_running(id, report, now);
        }
        // The same holds for a run that this term has ordered.
        if !replaced && complete {
            self.remove_missing_runs(id, report);
        }
        self.update_slowdown(id, now);
        let awaited = complete && self.not_yet_reported.swap_remove(id).is_some();
        if awaited || first {
            self.complete_recovery(now);
        }
    }

    fn apply_finished_run(
        &mut self,
        id: &fleet::WorkerId,
        run: &fleet::FinishedRun,
        now: time::Instant,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if run.number <= worker.applied {
            return;
        }
        worker.record_end(run.number, run.task.job);
        self.unacknowledged.insert(id.clone());
        let key = (run.task, run.attempt);
        let removed = worker.remove_run(&key);
        if let Some(removed) = removed.filter(|_| run.end == fleet::End::Done) {
            self.learn_from_end(id, &key, removed, now);
        }
        self.retract_loss(id, &key);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        match run.end {
            fleet::End::Done => worker.health.succeeded(),
            fleet::End::Failed if worker.health.failed(run.task.job, now) => {
                let log_entry = LogEntry::WorkerEjected {
                    worker: id.clone(),
                    cause: "consecutive failures",
                };
                self.actions.push(Action::Log(log_entry));
            }
            _ => (),
        }
        if run.end != fleet::End::Done {
            self.actions.push(Action::Log(LogEntry::RunEnded {
                task: run.task,
                attempt: run.attempt,
                worker: id.clone(),
                end: run.end,
            }));
        }
        self.apply_end_to_job(id, run, now);
    }

    fn apply_end_to_job(
        &mut self,
        id: &fleet::WorkerId,
        run: &fleet::FinishedRun,
        now: time::Instant,
    ) {
        self.add_rounds_ahead(&run.task, now);
        let Some(job) = self.jobs.get_mut(&run.task.job).filter(|job| job.is_open()) else {
            return;
        };
        let Some(description) = job.step_description(&run.task) else {
            return;
        };
        let (is_gang, long_running) = (description.gang, description.long_running);
        job.started = true;
        store_checkpoint(job, run, is_gang);
        self.unsaved.change(run.task.job);
        match run.end {
            fleet::End::Done if !long_running => self.task_done(id, run, is_gang, now),
            fleet::End::Failed if !long_running => self.task_failed(id, run, is_gang, now),
            _ => self.requeue_task(id, &(run.task, run.attempt)),
        }
    }

    /// Marks a task as done; the end of one member of a gang counts for all of
    /// them.
    fn task_done(
        &mut self,
        id: &fleet::WorkerId,
        run: &fleet::FinishedRun,
        is_gang: bool,
        now: time::Instant,
    ) {
        let Some(job) = self.jobs.get_mut(&run.task.job) else {
            return;
        };
        let Some(task) = job.task_mut(&run.task) else {
            return;
        };
        let runs_elsewhere = matches!(task.state, job::TaskState::Placed { .. })
            && !task.is_current_run(id, run.attempt);
        if runs_elsewhere {
            // This run was abandoned when its worker's lease was over; the later
            // run counts.
            return;
        }
        let since = self.unsaved.generation();
        task.mark_done(since);
        if is_gang && let Some(step) = job.step_mut(&run.task) {
            for member in &mut step.tasks {
                member.mark_done(since);
            }
        }
        if job.all_done() {
            self.end_job(run.task.job, fleet::JobState::Completed, now);
        }
    }

    fn task_failed(
        &mut self,
        id: &fleet::WorkerId,
        run: &fleet::FinishedRun,
        is_gang: bool,
        now: time::Instant,
    ) {
        let Some(job) = self.jobs.get_mut(&run.task.job) else {
            return;
        };
        let max_attempts = job.queue.max_attempts;
        let mut failures = 0;
        if let Some(task) = job.task_mut(&run.task) {
            job::add_failed_attempt(&mut task.failed_attempts, run.attempt);
            task.failed_on = Some(id.clone());
            failures = task.failed_attempts.len();
        }
        if is_gang && let Some(step) = job.step_mut(&run.task) {
            job::add_failed_attempt(&mut step.gang_failed_attempts, run.attempt);
            failures = failures.max(step.gang_failed_attempts.len());
        }
        self.requeue_task(id, &(run.task, run.attempt));
        if failures >= max_attempts as usize {
            self.end_job(run.task.job, fleet::JobState::Failed, now);
        }
    }

    /// Confirms known runs, adopts those of an earlier term and stops orphans.
    fn apply_running(
        &mut self,
        id: &fleet::WorkerId,
        report: &fleet::WorkerReport,
        now: time::Instant,
    ) {
        for running in &report.running {
            let key = (running.task, running.attempt);
            let known = self
                .workers
                .get_mut(id)
                .and_then(|worker| worker.runs.get_mut(&key));
            match known {
                Some(run) => {
                    let confirmed = run.confirmed_clock_ms.unwrap_or(0);
                    run.confirmed_clock_ms = Some(confirmed.max(report.clock_ms));
                    self.apply_progress(id, running, now);
                    self.learn_from_progress(id, running, report.clock_ms, now);
                    self.check_outlived(&key);
                }
                None => self.adopt_run(id, running, report.clock_ms, now),
            }
            // A run in quarantine has to outlive the lost ones first.
            if !self.is_quarantined(id, &key) {
                self.retract_loss(id, &key);
            }
            if !self.is_wanted(id, key) {
                self.order_stop(id, key, Some(now));
            }
        }
    }

    fn apply_progress(
        &mut self,
        id: &fleet::WorkerId,
        running: &fleet::RunningTask,
        now: time::Instant,
    ) {
        let run = self
            .workers
            .get(id)
            .and_then(|worker| worker.runs.get(&(running.task, running.attempt)));
        let stopping = run.is_some_and(|run| run.stop_ordered.is_some());
        let Some(job) = self.jobs.get_mut(&running.task.job) else {
            return;
        };
        job.started = true;
        let watched = job
            .step_description(&running.task)
            .is_some_and(|step| !step.long_running && !step.filler && step.room.cpu_millis > 0);
        if !running.checkpoint.is_empty()
            && let Some(task) = job.task_mut(&running.task)
            && task.is_current_run(id, running.attempt)
        {
            // The first checkpoint that is known may be the one that the run resumed
            // from. A run that is being stopped makes no use of its progress.
            let known = task.checkpoint.is_empty() || task.checkpoint == running.checkpoint;
            task.must_progress &= stopping || known;
            task.checkpoint.clone_from(&running.checkpoint);
        }
        if watched && let Some(used) = running.used_cpu_millis {
            self.check_processor_use(id, (running.task, running.attempt), used, now);
        }
    }

    /// Adds a run that this term did not order.
    fn adopt_run(
        &mut self,
        id: &fleet::WorkerId,
        running: &fleet::RunningTask,
        clock_ms: u64,
        now: time::Instant,
    ) {
        self.add_rounds_ahead(&running.task, now);
        let step = running.task.step as usize;
        let known_room = self
            .jobs
            .get(&running.task.job)
            .and_then(|job| job.rooms.get(step));
        let all = self.workers.get(id).map(|worker| worker.entry.room);
        // If the job is unknown, so is what the run occupies: it counts as the
        // whole worker, which gets no other work until the run has ended.
        let room = known_room.copied().or(all).unwrap_or_default();
        let slowdown = self.workers.get(id).map(|worker| worker.slowdown);
        let slowdown = slowdown.unwrap_or_default();
        let queue = self.jobs.get(&running.task.job).map(|job| &job.queue);
        let run_times = queue.map_or_else(Default::default, |queue| self.run_times(&queue.name));
        let job = self.jobs.get_mut(&running.task.job);
        let mut estimate = time::Duration::ZERO;
        if let Some(job) = job.filter(|job| job.is_open()) {
            let estimate_ms = job
                .step_description(&running.task)
                .map(|step| step.estimate_ms);
            estimate = time::Duration::from_millis(estimate_ms.unwrap_or_default());
            estimate = run_times.typical(estimate);
            job.started = true;
            if let Some(task) = job.task_mut(&running.task)
                && task.is_waiting()
                && running.attempt >= task.attempt
            {
                task.attempt = running.attempt;
                task.state = job::TaskState::Placed {
                    worker: id.clone(),
                    attempt: running.attempt,
                };
            }
        }
        let job = self.jobs.get(&running.task.job);
        let quarantined = job.is_some_and(|job| job.needs_quarantine(&running.task));
        let step = job.and_then(|job| job.step_description(&running.task));
        let run = worker::Run {
            room,
            customer: job.and_then(|job| job.customer.clone()),
            expires_clock_ms: 0,
            confirmed_clock_ms: Some(clock_ms),
            ordered_at: now,
            expected_end: now + slowdown.of(estimate),
            long_running: step.is_some_and(|step| step.long_running),
            stop_ordered: None,
            idle_since: None,
            quarantined,
            speed: speed::RunSpeed::adopted(step.map_or(0, speed::measured_ms)),
        };
        let key = (running.task, running.attempt);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.add_run(key, run);
        }
        if !self.is_wanted(id, key) {
            self.actions.push(Action::Log(LogEntry::OrphanRun {
                task: running.task,
                attempt: running.attempt,
                worker: id.clone(),
            }));
        }
    }

    fn is_quarantined(&self, id: &fleet::WorkerId, key: &worker::RunKey) -> bool {
        let run = self.workers.get(id).and_then(|worker| worker.runs.get(key));
        run.is_some_and(|run| run.quarantined)
    }

    /// Whether a run is the current one of a task of an open job.
    pub(crate) fn is_wanted(&self, id: &fleet::WorkerId, key: worker::RunKey) -> bool {
        let job = self.jobs.get(&key.0.job).filter(|job| job.is_open());
        let task = job.and_then(|job| job.task(&key.0));
        task.is_some_and(|task| task.is_current_run(id, key.1))
    }

    /// Removes runs that are missing in a report: they have ended, or were never
    /// started.
    ///
    /// A start order may overtake an older report. So a run only counts as
    /// missing once the report's clock reading is past the run's confirmation,
    /// or past the expiry of its order if it is not confirmed.
    fn remove_missing_runs(&mut self, id: &fleet::WorkerId, report: &fleet::WorkerReport) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let running: IndexSet<worker::RunKey> = report
            .running
            .iter()
            .map(|run| (run.task, run.attempt))
            .collect();
        let missing = |(key, run): (&worker::RunKey, &worker::Run)| {
            let known_clock_ms = run.confirmed_clock_ms.unwrap_or(run.expires_clock_ms);
            (!running.contains(key) && report.clock_ms > known_clock_ms).then_some(*key)
        };
        let keys: Vec<worker::RunKey> = worker.runs.iter().filter_map(missing).collect();
        for key in &keys {
            worker.remove_run(key);
        }
        if let Some(example) = keys.first() {
            self.actions.push(Action::Log(LogEntry::RunsMissing {
                worker: id.clone(),
                example: *example,
                runs: keys.len(),
                running: report.running.len(),
                finished: report.finished.len(),
                clock_ms: report.clock_ms,
            }));
        }
        for key in &keys {
            self.retract_loss(id, key);
            self.requeue_task(id, key);
        }
    }
}

/// Stores the newest checkpoint; that of one member is valid for its whole gang.
fn store_checkpoint(job: &mut job::Job, run: &fleet::FinishedRun, is_gang: bool) {
    if run.checkpoint.is_empty() {
        return;
    }
    let Some(step) = job.step_mut(&run.task) else {
        return;
    };
    for (index, task) in step.tasks.iter_mut().enumerate() {
        if is_gang || index == run.task.index as usize {
            task.checkpoint.clone_from(&run.checkpoint);
        }
    }
}
