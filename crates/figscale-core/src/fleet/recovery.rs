//! Records of jobs, and recovery of a new leader from them.
//!
//! Tasks of loaded jobs may still run on any worker. Until every worker of the
//! last term has reported, or its lease is certainly over, a task that was not
//! found is suspect and not started: it may run on a worker that has not reported.
//! Jobs submitted in this term do not wait for that.
//!
//! A leader begins an occurrence without first writing a record of it. So the next
//! leader treats each occurrence that falls due during recovery as begun, and adds
//! those that workers report.

use std::iter;
use std::sync;
use std::time;

use figscale_types::fleet;

use super::action::Action;
use super::action::LogEntry;
use super::durable;
use super::durable::RecordKey;
use super::job;
use super::lost_machines;
use super::scheduler;

impl scheduler::Scheduler {
    /// Adds the records of a job that have to be written or removed.
    pub(crate) fn add_records(&mut self, id: fleet::JobId, records: &mut durable::Records) {
        let left_running = self.room_of_runs(id);
        let Some(job) = self.jobs.get_mut(&id) else {
            for key in [RecordKey::Job(id), RecordKey::Progress(id)] {
                records.records.push(durable::Record { key, bytes: None });
            }
            return;
        };
        if !job.stored {
            records.created.push(id);
        }
        if job.stored && job.is_open() {
            let crashes = crash_records(job);
            let chances = crashes.iter().map(|record| record.history.chances_ppm());
            let chances: Vec<Vec<(u32, u32)>> = chances.collect();
            let machines = crashes.iter().map(|record| record.history.machines());
            let machines: Vec<&lost_machines::LostMachines> = machines.collect();
            let record = (progress_record(job), &crashes, chances, job.started);
            let bytes = Some(match machines.iter().all(|machines| machines.is_empty()) {
                true => durable::encode(&record),
                false => durable::encode(&(record, machines)),
            });
            job.progress_stored = true;
            records.records.push(durable::Record {
                key: RecordKey::Progress(id),
                bytes,
            });
            return;
        }
        let added = durable::CustomerRecord {
            customer: job.customer.clone(),
            left_running,
        };
        let record = job_record(job);
        let bytes = Some(match job.is_open() {
            true => durable::encode(&(record, added)),
            false => durable::encode(&(record, added, Some(job.ended_wall_ms))),
        });
        records.records.push(durable::Record {
            key: RecordKey::Job(id),
            bytes,
        });
        if !job.is_open() {
            records.ended.push(id);
        }
        if job.progress_stored && !job.is_open() {
            job.progress_stored = false;
            records.records.push(durable::Record {
                key: RecordKey::Progress(id),
                bytes: None,
            });
        }
    }

    /// Resources of the runs that an ended job of a customer still has; zero for
    /// other jobs.
    fn room_of_runs(&self, id: fleet::JobId) -> fleet::Room {
        let ended = |job: &&job::Job| !job.is_open() && job.customer.is_some();
        if self.jobs.get(&id).filter(ended).is_none() {
            return fleet::Room::default();
        }
        let runs = self.workers.values().flat_map(|worker| &worker.runs);
        let own = runs.filter(|((task, _), _)| task.job == id);
        own.fold(fleet::Room::default(), |sum, (_, run)| sum.plus(&run.room))
    }

    /// Loads the record of a job that an earlier leader wrote. The store has it at
    /// `revision`.
    pub fn load_job(
        &mut self,
        id: fleet::JobId,
        bytes: &[u8],
        revision: u64,
        now: time::Instant,
        wall_ms: u64,
    ) -> Result<(), durable::RecordError> {
        let (record, added, ended_wall_ms, (), ()) = durable::decode_five(bytes)?;
        let added: durable::CustomerRecord = added;
        let ended_wall_ms: Option<u64> = ended_wall_ms;
        let durable::CustomerRecord {
            customer,
            left_running,
        } = added;
        let job = match record {
            durable::JobRecord::Open {
                queue,
                description,
                submitted_wall_ms,
            } => {
                let age_ms = wall_ms.saturating_sub(submitted_wall_ms);
                let age = time::Duration::from_millis(age_ms);
                let submitted = now.checked_sub(age).unwrap_or(now);
                let queue = sync::Arc::new(queue);
                let description = description.into();
                job::Job::new(
                    id,
                    queue,
                    customer,
                    description,
                    submitted_wall_ms,
                    submitted,
                )
            }
            durable::JobRecord::Ended {
                queue_name,
                state,
                submitted_wall_ms,
                rooms,
            } => {
                let queue = ended_queue(queue_name);
                let description = fleet::JobDescription::default().into();
                let mut job =
                    job::Job::new(id, queue, customer, description, submitted_wall_ms, now);
                // Earlier versions don't record when the job ended.
                job.finish(state, ended_wall_ms.unwrap_or(wall_ms));
                job.end_revision = Some(revision);
                job.left_running = left_running;
                job.rooms = rooms;
                job
            }
        };
        match job.is_open() {
            true => drop(self.open.insert(id)),
            false => self.ended.push_back(id),
        }
        self.jobs.insert(
            id,
            job::Job {
                stored: true,
                loaded: true,
                ..job
            },
        );
        Ok(())
    }

    /// Loads the record of a loaded job's progress.
    pub fn load_progress(
        &mut self,
        id: fleet::JobId,
        bytes: &[u8],
    ) -> Result<(), durable::RecordError> {
        let (record, crashes, chances, started, machines) = durable::decode_five(bytes)?;
        let record: durable::ProgressRecord = record;
        let crashes: Vec<durable::CrashRecord> = crashes;
        let chances: Vec<Vec<(u32, u32)>> = chances;
        let machines: Vec<lost_machines::LostMachines> = machines;
        let Some(job) = self.jobs.get_mut(&id) else {
            return Ok(());
        };
        job.progress_stored = true;
        if !job.is_open() {
            return Ok(());
        }
        job.started = started;
        for (number, steps) in record.rounds.into_iter().enumerate() {
            if job.rounds.len() <= number {
                job.rounds.push(job::Round::new(&job.description));
            }
            for (step, progress) in job.rounds[number].steps.iter_mut().zip(steps) {
                load_step(step, progress);
            }
        }
        let chances = chances.into_iter().chain(iter::repeat_with(Vec::new));
        let machines = machines.into_iter();
        let machines = machines.chain(iter::repeat_with(Default::default));
        for ((mut record, chances), machines) in crashes.into_iter().zip(chances).zip(machines) {
            record.history.load_chances(chances);
            record.history.load_machines(machines);
            let rounds = job.rounds.get_mut(record.round as usize);
            let step = rounds.and_then(|round| round.steps.get_mut(record.step as usize));
            if let Some(step) = step {
                step.crashes.insert(record.index, record.history);
            }
        }
        // Earlier versions don't record whether the job has started.
        job.started |= job.shows_start();
        Ok(())
    }

    /// Loads a record of cancelled ids.
    pub fn load_cancelled_ids(
        &mut self,
        batch: u64,
        bytes: &[u8],
    ) -> Result<(), durable::RecordError> {
        self.cancelled_ids.load(batch, durable::decode(bytes)?);
        Ok(())
    }

    /// Decodes the record of workers that may have runs.
    pub fn recorded_workers(bytes: &[u8]) -> Result<Vec<fleet::WorkerId>, durable::RecordError> {
        durable::decode(bytes)
    }

    /// Begins recovery after all records are loaded: tasks that have not ended
    /// may run on any of `workers`, each until its lease of the last term is
    /// over.
    pub fn begin_recovery(&mut self, workers: Vec<fleet::WorkerId>, now: time::Instant) {
        let until = now + super::lease::time_to_expire(self.config.lease, self.config.stop_limit);
        self.set_recorded(workers.iter().cloned().collect());
        self.not_yet_reported = workers.into_iter().map(|worker| (worker, until)).collect();
        self.recovering = true;
        let ended_wall_ms = |id: &fleet::JobId| self.jobs.get(id).map(|job| job.ended_wall_ms);
        self.ended
            .make_contiguous()
            .sort_by_cached_key(ended_wall_ms);
        for id in &self.open {
            let Some(job) = self.jobs.get_mut(id) else {
                continue;
            };
            for round in &mut job.rounds {
                // The records don't contain when an occurrence fell due.
                round.due_at = (job.description.occurrences > 0).then_some(now);
                round.mark_suspect();
                let histories = round
                    .steps
                    .iter_mut()
                    .flat_map(|step| step.crashes.values_mut());
                histories.for_each(|history| history.begin_hold(now));
            }
        }
    }

    /// Postpones the end of the recovery: the last leader may have proven its leadership
    /// until `now`, and have extended leases at workers that have not reported.
    pub fn extend_recovery(&mut self, now: time::Instant) {
        let until = now + super::lease::time_to_expire(self.config.lease, self.config.stop_limit);
        for known in self.not_yet_reported.values_mut() {
            *known = until.max(*known);
        }
    }

    /// Completes recovery once each worker of the last term has reported or its
    /// lease is over: tasks that were not found certainly run nowhere then, and
    /// may be started.
    ///
    /// A later leader may have extended the leases since the last proof of leadership, so
    /// that has to be later than their end.
    pub(crate) fn check_recovery(&mut self, now: time::Instant) {
        let now = self.proven_at.map_or(now, |proven_at| proven_at.min(now));
        let over = |(id, until): (&fleet::WorkerId, &time::Instant)| {
            (now >= *until && !self.has_unlisted_ends(id, now)).then(|| id.clone())
        };
        let waited_for: Vec<fleet::WorkerId> =
            self.not_yet_reported.iter().filter_map(over).collect();
        for worker in waited_for {
            self.not_yet_reported.swap_remove(&worker);
            self.actions
                .push(Action::Log(LogEntry::WorkerNeverReported { worker }));
        }
        self.complete_recovery(now);
    }

    /// Whether a worker may list further ends of an earlier term once those that it has
    /// listed are acknowledged.
    fn has_unlisted_ends(&self, id: &fleet::WorkerId, now: time::Instant) -> bool {
        let worker = self.workers.get(id);
        worker.is_some_and(|worker| worker.finished_truncated && !self.is_lease_over(worker, now))
    }

    /// Completes recovery if no worker is waited for any more.
    pub(crate) fn complete_recovery(&mut self, now: time::Instant) {
        if !self.recovering || !self.not_yet_reported.is_empty() {
            return;
        }
        self.recovering = false;
        let open: Vec<fleet::JobId> = self.open.iter().copied().collect();
        for id in &open {
            if let Some(job) = self.jobs.get_mut(id) {
                let steps = job.rounds.iter_mut().flat_map(|round| &mut round.steps);
                for task in steps.flat_map(|step| &mut step.tasks) {
                    task.suspect = false;
                }
            }
        }
        let runs = self.workers.values().map(|worker| worker.runs.len()).sum();
        let log_entry = LogEntry::Recovered {
            open_jobs: open.len(),
            runs,
        };
        self.actions.push(Action::Log(log_entry));
        self.fail_jobs_over_recorded_limit(now);
        self.stop_partial_gangs(now);
    }

    /// Stops the running members of gangs that the last leader had started only
    /// in part, so that all members are started together again.
    fn stop_partial_gangs(&mut self, now: time::Instant) {
        let mut partial = Vec::new();
        for id in &self.open {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            let steps = job
                .rounds
                .iter()
                .flat_map(|round| round.steps.iter().zip(&job.description.steps));
            let gangs = steps
                .filter(|(_, description)| description.gang)
                .map(|(step, _)| step);
            for step in gangs {
                let placed = step.tasks.iter().filter_map(|task| match &task.state {
                    job::TaskState::Placed { worker, attempt } => Some((worker.clone(), *attempt)),
                    _ => None,
                });
                let placed: Vec<_> = placed.collect();
                if !placed.is_empty() && placed.len() < step.tasks.len() {
                    partial.extend(
                        placed
                            .into_iter()
                            .map(|(worker, attempt)| (*id, worker, attempt)),
                    );
                }
            }
        }
        for (id, worker, attempt) in partial {
            let runs = self
                .workers
                .get(&worker)
                .map(|worker| worker.runs.keys().copied());
            let keys: Vec<_> = runs.into_iter().flatten().collect();
            for key in keys
                .into_iter()
                .filter(|(task, number)| task.job == id && *number == attempt)
            {
                self.order_stop(&worker, key, Some(now));
            }
        }
    }
}

fn ended_queue(name: String) -> sync::Arc<fleet::Queue> {
    sync::Arc::new(fleet::Queue {
        name,
        host: String::new(),
        prefix: String::new(),
        service: String::new(),
        priority: 0,
        max_attempts: 1,
        stretch: 1.0,
        target_latency_ms: 0,
        advice: None,
    })
}

fn job_record(job: &job::Job) -> durable::JobRecord {
    match job.end {
        Some(state) => durable::JobRecord::Ended {
            queue_name: job.queue.name.clone(),
            state,
            submitted_wall_ms: job.submitted_wall_ms,
            rooms: job.rooms.clone(),
        },
        None => durable::JobRecord::Open {
            queue: (*job.queue).clone(),
            description: (*job.description).clone(),
            submitted_wall_ms: job.submitted_wall_ms,
        },
    }
}

fn progress_record(job: &job::Job) -> durable::ProgressRecord {
    let task = |task: &job::Task| durable::TaskProgress {
        done: task.is_done(),
        failed_attempts: task.failed_attempts.clone(),
        checkpoint: if task.is_done() {
            String::new()
        } else {
            task.checkpoint.clone()
        },
    };
    let step = |step: &job::Step| durable::StepProgress {
        tasks: step.tasks.iter().map(task).collect(),
        gang_failed_attempts: step.gang_failed_attempts.clone(),
    };
    let rounds = job.rounds.iter();
    durable::ProgressRecord {
        rounds: rounds
            .map(|round| round.steps.iter().map(step).collect())
            .collect(),
    }
}

fn crash_records(job: &job::Job) -> Vec<durable::CrashRecord> {
    let number = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
    let mut records = Vec::new();
    for (round, progress) in job.rounds.iter().enumerate() {
        for (step, progress) in progress.steps.iter().enumerate() {
            let known = progress.crashes.iter();
            records.extend(known.map(|(index, history)| durable::CrashRecord {
                round: number(round),
                step: number(step),
                index: *index,
                history: history.clone(),
            }));
        }
    }
    records
}

fn load_step(step: &mut job::Step, progress: durable::StepProgress) {
    step.gang_failed_attempts = progress.gang_failed_attempts;
    for (task, known) in step.tasks.iter_mut().zip(progress.tasks) {
        task.failed_attempts = known.failed_attempts;
        task.checkpoint = known.checkpoint;
        if known.done {
            task.state = job::TaskState::Done { since: None };
        }
    }
}
