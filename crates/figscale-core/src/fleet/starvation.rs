//! Starvation reports: ready steps with tasks that wait for long, for the log.
//!
//! Placements, queries and abandoned runs are logged as they happen, but a step
//! that merely waits causes no event. So all open jobs are scanned at intervals
//! for steps that are ready and have nothing running. Of a long-running step each
//! task counts for itself, and a gang waits as long as one member does: some of
//! their tasks may be on workers. All of these steps are counted. For those that
//! have waited longest the log also says what is available to them: free
//! resources, approved workers and tickets, and what holds them back. A step of an
//! old job may have become ready just now, so only steps with a task that the
//! previous scan also found waiting are reported.

use std::time;

use figscale_types::fleet;
use indexmap::IndexMap;

use super::action::Action;
use super::action::LogEntry;
use super::job;
use super::pass;
use super::reserve;
use super::scheduler;
use super::worker;

/// Minimum time between two scans. With [`MAX_REPORTED`] it limits the log to
/// three lines in 2 s. A scan takes about 25 us with 350 workers and 40 waiting
/// steps, where each of the 80 ticks in that time takes 20 us.
const SCAN_INTERVAL: time::Duration = time::Duration::from_secs(2);
/// Only steps of jobs submitted longer ago than this are reported. The lease of
/// a lost worker and the stop after it take 4.9 s by default, so a first step
/// is not reported for a wait that ends by itself.
const LONG_WAIT: time::Duration = time::Duration::from_secs(5);
/// Maximum number of steps reported by one scan. Whatever blocks these mostly
/// blocks the others too.
const MAX_REPORTED: usize = 3;

/// Result of the last scan.
#[derive(Clone, Debug, Default)]
pub(crate) struct Starvation {
    scanned_at: Option<time::Instant>,
    /// Waiting tasks of the starved steps.
    waiting: WaitingTasks,
    /// Number of these steps that had waited long.
    pub(crate) steps: usize,
}

/// Indices of the waiting tasks of steps, by their first tasks.
type WaitingTasks = IndexMap<fleet::TaskId, Vec<u32>>;

/// A worker that may get new work.
type Usable<'a> = (&'a fleet::WorkerId, &'a worker::Worker);

/// Number of tasks of a step that workers could hold.
#[derive(Clone, Copy, Debug, Default)]
struct Slots {
    /// On approved workers, when empty.
    good: u64,
    /// In the free resources of workers with a valid ticket.
    ticket: u64,
    /// In the free resources of all suitable workers.
    free: u64,
}

impl scheduler::Scheduler {
    /// Counts the starved steps and reports the oldest of them, if a scan is
    /// due.
    pub(crate) fn report_starvation(&mut self, now: time::Instant) {
        let recent = |scanned_at| now < scanned_at + SCAN_INTERVAL;
        if self.starvation.scanned_at.is_some_and(recent) {
            return;
        }
        let waiting = self.waiting_tasks();
        let mut starved = self.waiting_long(&waiting, now);
        self.starvation = Starvation {
            scanned_at: Some(now),
            waiting,
            steps: starved.len(),
        };
        starved.sort_unstable();
        starved.truncate(MAX_REPORTED);
        let log_entries = self.starvation_entries(&starved, now);
        self.actions
            .extend(log_entries.into_iter().map(Action::Log));
    }

    fn starvation_entries(
        &self,
        waiting: &[(time::Instant, fleet::TaskId)],
        now: time::Instant,
    ) -> Vec<LogEntry> {
        if waiting.is_empty() {
            return Vec::new();
        }
        let usable = |(_, worker): &(_, &worker::Worker)| self.is_usable(worker, now);
        let usable: Vec<_> = self.workers.iter().filter(usable).collect();
        let log_entries = waiting.iter();
        log_entries
            .filter_map(|(_, task)| self.starvation_entry(task, &usable, now))
            .collect()
    }

    /// Waiting tasks of the steps of stored jobs that are ready and could run.
    fn waiting_tasks(&self) -> WaitingTasks {
        let mut waiting = WaitingTasks::new();
        let jobs = self.open.iter().filter_map(|id| self.jobs.get(id));
        for job in jobs.filter(|job| job.stored) {
            for (occurrence, round) in job.rounds.iter().enumerate() {
                let steps = round.steps.iter().zip(&job.description.steps);
                for (number, (step, description)) in steps.enumerate() {
                    if is_starved(step, description) && round.is_ready(&job.description, number) {
                        let first = pass::first_task(job.id, occurrence, number);
                        waiting.insert(first, waiting_indices(step));
                    }
                }
            }
        }
        waiting
    }

    /// The steps with a task that also waited at the last scan and whose jobs are
    /// old, with the times of submission.
    fn waiting_long(
        &self,
        waiting: &WaitingTasks,
        now: time::Instant,
    ) -> Vec<(time::Instant, fleet::TaskId)> {
        let still = waiting.iter().filter(|(task, indices)| {
            let before = self.starvation.waiting.get(*task);
            before.is_some_and(|before| {
                indices
                    .iter()
                    .any(|index| before.binary_search(index).is_ok())
            })
        });
        let submitted = still.filter_map(|(task, _)| {
            let job = self.jobs.get(&task.job)?;
            Some((job.submitted, *task))
        });
        submitted
            .filter(|(submitted, _)| now.saturating_duration_since(*submitted) > LONG_WAIT)
            .collect()
    }

    fn starvation_entry(
        &self,
        task: &fleet::TaskId,
        usable: &[Usable<'_>],
        now: time::Instant,
    ) -> Option<LogEntry> {
        let job = self.jobs.get(&task.job)?;
        let step = job.step(task)?;
        let description = job.step_description(task)?;
        let slots = slots_for(task, job, step, description, usable, now);
        Some(LogEntry::StepStarved {
            task: *task,
            waits: now.saturating_duration_since(job.submitted),
            tasks: step.waiting(),
            on_workers: step.tasks.iter().filter(|task| is_on_worker(task)).count(),
            suspect: step.tasks.iter().filter(|task| task.suspect).count(),
            good_slots: slots.good,
            ticket_slots: slots.ticket,
            free_slots: slots.free,
            asking: step.advice.pending_query.is_some(),
            unanswered: step.advice.unanswered,
            hold: self.hold(task, now),
        })
    }
}

/// Where a queue needs no advice, every suitable worker is approved and needs no
/// ticket.
fn slots_for(
    task: &fleet::TaskId,
    job: &job::Job,
    step: &job::Step,
    description: &fleet::StepDescription,
    usable: &[Usable<'_>],
    now: time::Instant,
) -> Slots {
    let advised = job.queue.advice.is_some();
    let mut slots = Slots::default();
    let suits = |(_, worker): &&Usable<'_>| worker.suits(&job.queue, description);
    for (id, worker) in usable.iter().filter(suits) {
        let free = worker.free_slots(task, description);
        slots.free += free;
        if advised && step.advice.verdicts.get(*id) != Some(&true) {
            continue;
        }
        slots.good += reserve::empty_slots(worker, description);
        let ticket = step.advice.tickets.get(*id);
        if !advised || ticket.is_some_and(|ticket| ticket.valid_until > now) {
            slots.ticket += free;
        }
    }
    slots
}

/// Whether a step has tasks that wait and is not making progress with others. That
/// some tasks run says nothing of a gang, which needs all of them, or of a
/// long-running step, where none has to end before another starts.
fn is_starved(step: &job::Step, description: &fleet::StepDescription) -> bool {
    let needs_all = description.gang || description.long_running;
    step.tasks.iter().any(job::Task::is_waiting)
        && (needs_all || !step.tasks.iter().any(is_on_worker))
}

fn is_on_worker(task: &job::Task) -> bool {
    !task.is_waiting() && !task.is_done()
}

fn waiting_indices(step: &job::Step) -> Vec<u32> {
    let tasks = (0..).zip(&step.tasks);
    let waiting = tasks.filter(|(_, task)| task.is_waiting());
    waiting.map(|(index, _)| index).collect()
}
