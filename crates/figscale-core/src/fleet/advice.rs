//! Questions to the advisory service, spread over the entry instances.
//!
//! The service answers one question at a time for each entry instance that
//! asks, and a long question takes forty times as long as a short one. So each
//! instance is a lane of its own, and some lanes are kept for short questions,
//! which would otherwise wait behind long ones for longer than their jobs
//! take. Nothing queues in a lane: the best question is chosen when one is free.

use std::time;

use figscale_types::fleet;
use figscale_types::ids;
use indexmap::IndexMap;

use super::job;
use super::plan;
use super::scheduler;
use super::scheduler::Action;

/// A longer question may not use the lanes kept for short ones. Quick jobs'
/// questions take about 20 ms, the next longer kind's over 100 ms.
const LONG_QUESTION: time::Duration = time::Duration::from_millis(60);
/// One lane in so many is kept for short questions.
const LANES_PER_SHORT_LANE: usize = 3;
/// Workers that one question names at most.
const MAX_ASKED: usize = 30;
/// Workers that one question names at least, if there are so many.
const MIN_ASKED: usize = 4;
/// Slots asked about for each slot needed, over the part expected good.
const ASK_FACTOR: f64 = 1.6;
/// Part of workers assumed good before any answer came.
const FIRST_GOOD_PART: f64 = 0.5;
/// Weight of the newest answer in the part learned.
const LEARNING_WEIGHT: f64 = 0.1;
/// Part of a ticket's life left unused, for the way to the worker.
const TICKET_MARGIN: time::Duration = time::Duration::from_millis(200);
/// Pause after a question that was not answered.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(150);

/// One entry instance's way to the service.
#[derive(Clone, Debug, Default)]
struct Lane {
    asked: Option<fleet::TaskId>,
}

/// A question without the lane that it will take.
struct Draft {
    workers: Vec<fleet::WorkerId>,
    expected: time::Duration,
}

/// All ways to the service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lanes {
    lanes: IndexMap<ids::MemberId, Lane>,
    /// Part of the workers that may run a step, by queue.
    good_parts: IndexMap<String, f64>,
}

impl Lanes {
    fn good_part(&self, queue: &str) -> f64 {
        self.good_parts
            .get(queue)
            .copied()
            .unwrap_or(FIRST_GOOD_PART)
    }

    fn learn(&mut self, queue: &str, part: f64) {
        let known = self.good_part(queue);
        let learned = known + (part - known) * LEARNING_WEIGHT;
        self.good_parts.insert(queue.to_owned(), learned.max(0.05));
    }

    /// A free lane for a question, if there is one that it may use.
    fn free(&self, long: bool) -> Option<ids::MemberId> {
        let kept = match self.lanes.len() {
            0 | 1 => 0,
            all => all.div_ceil(LANES_PER_SHORT_LANE),
        };
        // The first lanes are for long questions; short ones take the last
        // first, and any when those are busy.
        let free = |lane: &&(usize, (&ids::MemberId, &Lane))| lane.1.1.asked.is_none();
        let lanes: Vec<_> = self.lanes.iter().enumerate().collect();
        let found = match long {
            true => lanes[..lanes.len() - kept].iter().find(free),
            false => lanes.iter().rev().find(free),
        };
        found.map(|(_, (member, _))| (*member).clone())
    }
}

impl scheduler::Scheduler {
    /// An entry instance can ask the advisory service.
    pub fn member_joined(&mut self, member: &ids::MemberId) {
        self.lanes.lanes.entry(member.clone()).or_default();
    }

    /// An entry instance is gone, with what it was asking.
    pub fn member_left(&mut self, member: &ids::MemberId) {
        let lane = self.lanes.lanes.shift_remove(member);
        if let Some(task) = lane.and_then(|lane| lane.asked)
            && let Some(step) = self.step_of(&task)
        {
            step.advice.asking = false;
        }
    }

    fn step_of(&mut self, task: &fleet::TaskId) -> Option<&mut job::Step> {
        self.jobs.get_mut(&task.job)?.step_mut(task)
    }

    /// A question was answered, or not (`None`).
    pub fn advice_answered(
        &mut self,
        question: &scheduler::Question,
        good: Option<Vec<fleet::Ticket>>,
        now: time::Instant,
    ) {
        if let Some(lane) = self.lanes.lanes.get_mut(&question.member)
            && lane.asked == Some(question.task)
        {
            lane.asked = None;
        }
        let Some(job) = self.jobs.get_mut(&question.task.job) else {
            return;
        };
        let queue = job.queue.clone();
        let Some(step) = job.step_mut(&question.task) else {
            return;
        };
        step.advice.asking = false;
        let Some(good) = good else {
            step.advice.not_before = Some(now + RETRY_PAUSE);
            return;
        };
        let valid_ms = queue.advice.map_or(0, |advice| advice.valid_ms);
        let valid = time::Duration::from_millis(valid_ms).saturating_sub(TICKET_MARGIN);
        let asked = question.workers.len().max(1) as f64;
        let unknown = question
            .workers
            .iter()
            .filter(|id| !step.advice.verdicts.contains_key(*id));
        let fresh = unknown.count() == question.workers.len();
        for worker in &question.workers {
            step.advice.verdicts.insert(worker.clone(), false);
        }
        let part = good.len() as f64 / asked;
        for ticket in good {
            step.advice.verdicts.insert(ticket.worker.clone(), true);
            let held = job::HeldTicket {
                token: ticket.token,
                valid_until: now + valid,
            };
            step.advice.tickets.insert(ticket.worker, held);
        }
        if fresh {
            self.lanes.learn(&queue.name, part);
        }
    }

    /// Asks for the best of the steps that need tickets, while lanes are free.
    pub(crate) fn ask_for(&mut self, wanting: &[plan::Candidate], now: time::Instant) {
        for candidate in wanting {
            if self.lanes.free(false).is_none() {
                return;
            }
            if let Some(draft) = self.draft(candidate, now)
                && let Some(member) = self.lanes.free(draft.expected > LONG_QUESTION)
            {
                self.send_question(scheduler::Question {
                    member,
                    task: candidate.task,
                    workers: draft.workers,
                    expected: draft.expected,
                });
            }
        }
    }

    fn send_question(&mut self, question: scheduler::Question) {
        if let Some(lane) = self.lanes.lanes.get_mut(&question.member) {
            lane.asked = Some(question.task);
        }
        if let Some(step) = self.step_of(&question.task) {
            step.advice.asking = true;
        }
        self.actions.push(Action::Ask(question));
    }

    /// A question about the workers with most room, enough to make tickets for
    /// all waiting tasks likely.
    fn draft(&self, candidate: &plan::Candidate, now: time::Instant) -> Option<Draft> {
        let job = self.jobs.get(&candidate.task.job)?;
        let policy = job.queue.advice?;
        let step =
            &job.rounds[candidate.task.occurrence as usize].steps[candidate.task.step as usize];
        if step.advice.asking || step.advice.not_before.is_some_and(|at| now < at) {
            return None;
        }
        let description = job.step_description(&candidate.task)?;
        let most = description
            .max_per_worker
            .map_or(u64::from(description.count), u64::from);
        let mut workers: Vec<(u64, bool, &fleet::WorkerId)> = Vec::new();
        for (id, worker) in &self.workers {
            let verdict = step.advice.verdicts.get(id).copied();
            let holds = step
                .advice
                .tickets
                .get(id)
                .is_some_and(|ticket| ticket.valid_until > now);
            if verdict == Some(false) || holds || !plan::suits(worker, &job.queue, description) {
                continue;
            }
            if !worker.is_usable(self.config.max_silence, now) {
                continue;
            }
            let slots = worker.free().times(&job::occupied(description), most);
            workers.push((slots, verdict == Some(true), id));
        }
        workers.sort_by_key(|(slots, good, _)| std::cmp::Reverse((*slots > 0, *good, *slots)));
        let good_part = self.lanes.good_part(&job.queue.name);
        let wanted = step.waiting() as f64 * ASK_FACTOR;
        let mut asked = Vec::new();
        let mut expected_slots = 0.0;
        for (slots, good, id) in workers {
            let enough = expected_slots >= wanted && asked.len() >= MIN_ASKED;
            if enough || asked.len() >= MAX_ASKED || slots == 0 {
                break;
            }
            expected_slots += slots as f64 * if good { 1.0 } else { good_part };
            asked.push(id.clone());
        }
        if asked.is_empty() {
            return None;
        }
        let expected_ms = policy.duration_ms(asked.len());
        let expected = time::Duration::from_micros((expected_ms * 1_000.0) as u64);
        Some(Draft {
            workers: asked,
            expected,
        })
    }
}
