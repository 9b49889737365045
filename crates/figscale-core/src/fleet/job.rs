//! State of a job: its occurrences ("rounds"), their steps and tasks.

use std::sync;
use std::time;

use figscale_types::fleet;
use figscale_types::ids;
use indexmap::IndexMap;

use super::crashes;
use super::maps;
use super::reserve;
use super::speed;
use super::unsaved;

/// State of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) enum TaskState {
    /// It is not ordered to any worker.
    #[default]
    Waiting,
    /// It was ordered to a worker, and is not known to have ended there.
    Placed {
        worker: fleet::WorkerId,
        attempt: u32,
    },
    /// It ended successfully.
    Done {
        /// Generation of this change; `None` if the store had it when the term began.
        since: Option<unsaved::Generation>,
    },
}

/// Memory of a task.
const TASK_BYTES: u64 = 200;
/// Occurrences that fall due within this time of a submission count as due.
const SOON_DUE_MS: u64 = 60_000;

/// State of one task of a step.
#[derive(Clone, Debug, Default)]
pub(crate) struct Task {
    pub(crate) state: TaskState,
    /// Attempts that failed. They are kept as a list and not as a count, since
    /// workers report an end to each leader until it is acknowledged, and ends
    /// on different workers arrive in any order.
    pub(crate) failed_attempts: Vec<u32>,
    /// Highest attempt number ordered.
    pub(crate) attempt: u32,
    /// Checkpoint from which it can resume; empty to start from the beginning.
    pub(crate) checkpoint: String,
    /// Worker on which it failed last.
    pub(crate) failed_on: Option<fleet::WorkerId>,
    /// Whether it may still run on a worker that has not reported in this term.
    pub(crate) suspect: bool,
    /// Whether it was stopped for other work, or may have been in an earlier term,
    /// and has made no progress since. It is not stopped again until it has.
    pub(crate) must_progress: bool,
}

impl Task {
    pub(crate) fn is_waiting(&self) -> bool {
        self.state == TaskState::Waiting
    }

    /// Marks it as done by a change of this generation, unless it is done already.
    pub(crate) fn mark_done(&mut self, since: unsaved::Generation) {
        if !self.is_done() {
            self.state = TaskState::Done { since: Some(since) };
        }
    }

    pub(crate) fn is_done(&self) -> bool {
        matches!(self.state, TaskState::Done { .. })
    }

    /// Whether this run is the current one of the task.
    pub(crate) fn is_current_run(&self, worker: &fleet::WorkerId, attempt: u32) -> bool {
        matches!(&self.state, TaskState::Placed { worker: w, attempt: a } if w == worker && *a == attempt)
    }
}

/// A ticket with its expiry.
#[derive(Clone, Debug)]
pub(crate) struct HeldTicket {
    pub(crate) token: String,
    pub(crate) valid_until: time::Instant,
}

/// A query to the advisory service that is in flight.
#[derive(Clone, Debug)]
pub(crate) struct PendingQuery {
    /// Entry instance that sent the query.
    pub(crate) member: ids::MemberId,
    pub(crate) workers: maps::WorkerSet,
    pub(crate) response_due_at: time::Instant,
}

/// Commitment of a reservation to a gang while tickets for its workers are in
/// flight.
#[derive(Clone, Debug)]
pub(crate) struct Commitment {
    pub(crate) reservation: reserve::Reservation,
    pub(crate) until: time::Instant,
}

/// Responses of the advisory service for a step, and the state of its queries.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepAdvice {
    /// Whether a worker may run the step; a verdict never changes.
    pub(crate) verdicts: maps::WorkerMap<bool>,
    /// Tickets held, by worker.
    pub(crate) tickets: maps::WorkerMap<HeldTicket>,
    /// The query in flight.
    pub(crate) pending_query: Option<PendingQuery>,
    /// Workers that stay reserved until the response to the last query is due.
    pub(crate) commitment: Option<Commitment>,
    /// Since when the overdue step has needed a query and found no free advice
    /// channel.
    pub(crate) channel_wanted_since: Option<time::Instant>,
    /// Earliest time of the next query, after one without a response.
    pub(crate) not_before: Option<time::Instant>,
    /// Number of queries without a response since the last response.
    pub(crate) unanswered: u32,
    /// Number of responses in a row that approved no worker.
    pub(crate) fruitless: u32,
}

/// State of one step of one occurrence.
#[derive(Clone, Debug, Default)]
pub(crate) struct Step {
    pub(crate) tasks: Vec<Task>,
    pub(crate) advice: StepAdvice,
    /// Failed attempts of the step as a gang.
    pub(crate) gang_failed_attempts: Vec<u32>,
    /// Whether it was logged that, as a gang, it waits for faster workers.
    pub(crate) logged_wait_for_faster: bool,
    /// Losses of its tasks, by index; a gang has the index 0.
    pub(crate) crashes: IndexMap<u32, crashes::History>,
    /// How far its tasks differ from their estimate together.
    pub(crate) ratio: speed::StepRatio,
    /// Whether runs of other steps were stopped for it. That happens once, so that a
    /// gang that fails again and again does not stop others each time.
    pub(crate) had_preemption: bool,
}

impl Step {
    pub(crate) fn is_done(&self) -> bool {
        self.tasks.iter().all(Task::is_done)
    }

    /// Gives all members of a gang the checkpoint of the first that has one. That of any
    /// member is valid for the gang, and all must resume from the same one.
    pub(crate) fn share_checkpoint(&mut self) {
        let mut checkpoints = self.tasks.iter().map(|task| &task.checkpoint);
        let saved = checkpoints.find(|checkpoint| !checkpoint.is_empty());
        let Some(saved) = saved.cloned() else {
            return;
        };
        for task in &mut self.tasks {
            task.checkpoint.clone_from(&saved);
        }
    }

    pub(crate) fn waiting(&self) -> usize {
        self.tasks.iter().filter(|task| task.is_waiting()).count()
    }
}

/// Adds a failed attempt unless it is known.
pub(crate) fn add_failed_attempt(attempts: &mut Vec<u32>, attempt: u32) {
    if !attempts.contains(&attempt) {
        attempts.push(attempt);
    }
}

/// State of one occurrence of a job.
#[derive(Clone, Debug, Default)]
pub(crate) struct Round {
    pub(crate) steps: Vec<Step>,
    /// When it fell due; `None` if that is the submission of its job.
    pub(crate) due_at: Option<time::Instant>,
    /// Whether a worker reported it before it is due by this leader's clock: the
    /// wall clock of an earlier leader was ahead.
    pub(crate) ahead: bool,
}

impl Round {
    pub(crate) fn new(description: &fleet::JobDescription) -> Self {
        let tasks = |step: &fleet::StepDescription| vec![Task::default(); step.count as usize];
        let steps = description.steps.iter();
        Self {
            steps: steps
                .map(|step| Step {
                    tasks: tasks(step),
                    ..Step::default()
                })
                .collect(),
            due_at: None,
            ahead: false,
        }
    }

    /// Marks its unfinished tasks as suspect: an earlier leader may have started
    /// them.
    pub(crate) fn mark_suspect(&mut self) {
        for task in self.steps.iter_mut().flat_map(|step| &mut step.tasks) {
            task.suspect = !task.is_done();
            task.must_progress = task.suspect;
        }
    }

    pub(crate) fn is_done(&self) -> bool {
        self.steps.iter().all(Step::is_done)
    }

    /// Whether a step can run: the occurrence is due and all steps that the step
    /// depends on are done.
    pub(crate) fn is_ready(&self, description: &fleet::JobDescription, step: usize) -> bool {
        let mut after = description.steps[step].after.iter();
        !self.ahead && after.all(|after| self.steps[*after as usize].is_done())
    }

    /// Length of the critical path through the steps that are not done, by their
    /// estimates.
    pub(crate) fn remaining_ms(&self, description: &fleet::JobDescription) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for (progress, step) in self.steps.iter().zip(&description.steps) {
            let start = step
                .after
                .iter()
                .map(|after| ends[*after as usize])
                .max()
                .unwrap_or(0);
            let own = if progress.is_done() {
                0
            } else {
                step.estimate_ms
            };
            ends.push(start + own);
        }
        ends.into_iter().max().unwrap_or(0)
    }
}

/// A job in progress, or an ended one whose outcome is kept for callers.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) id: fleet::JobId,
    pub(crate) queue: sync::Arc<fleet::Queue>,
    /// Its customer, if calls carry keys.
    pub(crate) customer: Option<fleet::CustomerName>,
    pub(crate) description: sync::Arc<fleet::JobDescription>,
    /// Unix time of the submission; part of its record.
    pub(crate) submitted_wall_ms: u64,
    pub(crate) submitted: time::Instant,
    /// End of its latency objective: the job is worth less if it ends later.
    pub(crate) objective_at: time::Instant,
    pub(crate) rounds: Vec<Round>,
    /// Whether a worker has confirmed that a task started. An order, or its
    /// announcement in the store, is no confirmation.
    pub(crate) started: bool,
    pub(crate) end: Option<fleet::JobState>,
    /// Unix time of the end; part of its record.
    pub(crate) ended_wall_ms: u64,
    /// Resources that a task of each step occupies. Kept after the job's end,
    /// since runs that are being stopped still occupy them.
    pub(crate) rooms: Vec<fleet::Room>,
    /// Resources of the runs that had not ended when the job did, according to
    /// the record of its end.
    pub(crate) left_running: fleet::Room,
    /// Whether its record is in the store. Only then is it reported as accepted
    /// and may its tasks start.
    pub(crate) stored: bool,
    /// Revision at which the store has the record of its end; `None` if it is not
    /// known to have it.
    pub(crate) end_revision: Option<u64>,
    /// Whether the store holds a record of its progress.
    pub(crate) progress_stored: bool,
    /// Whether an earlier leader accepted it. That leader may have started tasks
    /// that are in no record.
    pub(crate) loaded: bool,
}

impl Job {
    pub(crate) fn new(
        id: fleet::JobId,
        queue: sync::Arc<fleet::Queue>,
        customer: Option<fleet::CustomerName>,
        description: sync::Arc<fleet::JobDescription>,
        submitted_wall_ms: u64,
        submitted: time::Instant,
    ) -> Self {
        let objective_at = submitted + objective(&queue, &description);
        let rounds = match description.occurrences {
            0 => vec![Round::new(&description)],
            _ => Vec::new(),
        };
        let rooms = description.steps.iter().map(occupied).collect();
        Self {
            id,
            rooms,
            left_running: fleet::Room::default(),
            queue,
            customer,
            description,
            submitted_wall_ms,
            submitted,
            objective_at,
            rounds,
            started: false,
            end: None,
            ended_wall_ms: 0,
            stored: false,
            end_revision: None,
            progress_stored: false,
            loaded: false,
        }
    }

    /// Approximate memory that it takes, with the tasks of its occurrences so far and of
    /// those that were due soon after its submission.
    pub(crate) fn memory_bytes(&self) -> u64 {
        let soon_ms = self.submitted_wall_ms.saturating_add(SOON_DUE_MS);
        let soon_due = u64::from(self.description.occurrences_due_by(soon_ms));
        let rounds = soon_due.max(self.rounds.len() as u64).max(1);
        let tasks = rounds.saturating_mul(self.description.tasks());
        let tasks_bytes = tasks.saturating_mul(TASK_BYTES);
        tasks_bytes.saturating_add(self.description.description_bytes())
    }

    pub(crate) fn state(&self) -> fleet::JobState {
        match self.end {
            Some(end) => end,
            None if self.started => fleet::JobState::Running,
            None => fleet::JobState::Queued,
        }
    }

    /// Its state as the next leader would know it: the end counts once its record is
    /// in the store.
    pub(crate) fn durable_state(&self) -> fleet::JobState {
        match self.end.filter(|_| self.end_revision.is_some()) {
            Some(end) => end,
            None if self.started => fleet::JobState::Running,
            None => fleet::JobState::Queued,
        }
    }

    pub(crate) fn is_open(&self) -> bool {
        self.end.is_none()
    }

    /// Whether all occurrences have fallen due and are done.
    pub(crate) fn all_done(&self) -> bool {
        let occurrences = self.description.occurrences.max(1) as usize;
        self.rounds.len() >= occurrences && self.rounds.iter().all(Round::is_done)
    }

    /// Adds the occurrences that are due; returns how many were added.
    pub(crate) fn add_due_rounds(&mut self, now: time::Instant, wall_ms: u64) -> usize {
        let mut added = 0;
        for number in 0..self.description.occurrences as usize {
            let passed = self.description.interval_ms.saturating_mul(number as u64);
            if wall_ms < self.description.first_due_ms.saturating_add(passed) {
                break;
            }
            match self.rounds.get_mut(number) {
                Some(round) => round.ahead = false,
                None => {
                    self.add_round(now);
                    added += 1;
                }
            }
        }
        added
    }

    /// Adds the occurrences up to one that a worker reported; returns how many
    /// were added.
    pub(crate) fn add_rounds_ahead(&mut self, occurrence: u32, now: time::Instant) -> usize {
        let known = self.rounds.len();
        if occurrence < self.description.occurrences {
            while self.rounds.len() <= occurrence as usize {
                self.add_round(now).ahead = true;
            }
        }
        self.rounds.len() - known
    }

    fn add_round(&mut self, now: time::Instant) -> &mut Round {
        let mut round = Round::new(&self.description);
        round.due_at = Some(now);
        let number = self.rounds.len();
        self.rounds.push(round);
        &mut self.rounds[number]
    }

    /// Marks the last `rounds` occurrences as suspect: an earlier leader may have
    /// begun them.
    pub(crate) fn mark_last_suspect(&mut self, rounds: usize) {
        for round in self.rounds.iter_mut().rev().take(rounds) {
            round.mark_suspect();
        }
    }

    /// Whether its progress shows that a task started: an end, a checkpoint, or a
    /// lost run whose start was confirmed.
    pub(crate) fn shows_start(&self) -> bool {
        let ran = |task: &Task| {
            task.is_done() || !task.failed_attempts.is_empty() || !task.checkpoint.is_empty()
        };
        let shows = |step: &Step| {
            let mut losses = step.crashes.values();
            step.tasks.iter().any(ran) || losses.any(crashes::History::has_confirmed_start)
        };
        self.rounds.iter().flat_map(|round| &round.steps).any(shows)
    }

    pub(crate) fn step(&self, id: &fleet::TaskId) -> Option<&Step> {
        let round = self.rounds.get(id.occurrence as usize)?;
        round.steps.get(id.step as usize)
    }

    pub(crate) fn task(&self, id: &fleet::TaskId) -> Option<&Task> {
        let round = self.rounds.get(id.occurrence as usize)?;
        round
            .steps
            .get(id.step as usize)?
            .tasks
            .get(id.index as usize)
    }

    pub(crate) fn task_mut(&mut self, id: &fleet::TaskId) -> Option<&mut Task> {
        self.step_mut(id)?.tasks.get_mut(id.index as usize)
    }

    pub(crate) fn step_mut(&mut self, id: &fleet::TaskId) -> Option<&mut Step> {
        let round = self.rounds.get_mut(id.occurrence as usize)?;
        round.steps.get_mut(id.step as usize)
    }

    pub(crate) fn step_description(&self, id: &fleet::TaskId) -> Option<&fleet::StepDescription> {
        self.description.steps.get(id.step as usize)
    }

    /// Ends the job and drops its occurrences. The caller has to stop its runs.
    /// Ends the job at a Unix time.
    pub(crate) fn finish(&mut self, end: fleet::JobState, wall_ms: u64) {
        self.end = Some(end);
        self.ended_wall_ms = wall_ms;
        self.rounds = Vec::new();
        self.description = sync::Arc::default();
    }
}

/// Resources that a task of a step occupies on a worker; a filler takes no
/// processor.
pub(crate) fn occupied(step: &fleet::StepDescription) -> fleet::Room {
    match step.filler {
        true => fleet::Room {
            cpu_millis: 0,
            ..step.room
        },
        false => step.room,
    }
}

/// Workers in a step's query for which the objective allows time.
const ADVISED_WORKERS: usize = 30;

/// Latency objective of a job, from its first submission: its critical path,
/// including a query to the advisory service for each step, times the queue's
/// stretch factor, plus the queue's constant part.
pub(crate) fn objective(queue: &fleet::Queue, job: &fleet::JobDescription) -> time::Duration {
    let advice_ms = queue
        .advice
        .map_or(0.0, |advice| advice.duration_ms(ADVISED_WORKERS));
    let mut ends: Vec<f64> = Vec::with_capacity(job.steps.len());
    for step in &job.steps {
        let start = step
            .after
            .iter()
            .map(|after| ends[*after as usize])
            .fold(0.0, f64::max);
        ends.push(start + advice_ms + step.estimate_ms as f64);
    }
    let chain_ms = ends.into_iter().fold(0.0, f64::max);
    time::Duration::from_millis((queue.stretch * chain_ms) as u64 + queue.target_latency_ms)
}
