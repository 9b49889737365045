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

use super::action::Action;
use super::action::Note;
use super::action::Question;
use super::draft::Breadth;
use super::draft::Draft;
use super::job;
use super::pass;
use super::scheduler;

/// A longer question may not use the lanes kept for short ones. Quick jobs'
/// questions take about 20 ms, the next longer kind's over 100 ms.
const LONG_QUESTION: time::Duration = time::Duration::from_millis(60);
/// Part of a ticket's life left unused, for the way to the worker.
const TICKET_MARGIN: time::Duration = time::Duration::from_millis(200);
/// How much later than expected an answer may be, and its gang placed, before
/// the workers kept for it are given up.
const ANSWER_SLACK: time::Duration = time::Duration::from_millis(300);
/// An overdue step in turn waits for a lane for so many times the length of its
/// question at most.
const MAX_LANE_WAIT: u32 = 4;
/// Pause after a question that was not answered.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(150);

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
            step.advice.asking = None;
        }
    }

    fn step_of(&mut self, task: &fleet::TaskId) -> Option<&mut job::Step> {
        self.jobs.get_mut(&task.job)?.step_mut(task)
    }

    /// A question was answered, or not (`None`).
    pub fn advice_answered(
        &mut self,
        question: &Question,
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
        // The instance that was asked may have left, and another have been asked.
        let current = step.advice.asking.as_ref();
        if current.is_some_and(|asking| asking.member == question.member) {
            step.advice.asking = None;
        } else if good.is_none() {
            return;
        }
        self.lanes.note_answer(good.is_some());
        let Some(good) = good else {
            step.advice.not_before = Some(now + RETRY_PAUSE);
            step.advice.promise = None;
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
        let note = Note::AdviceGiven {
            task: question.task,
            member: question.member.clone(),
            asked: question.workers.len(),
            good: good.len(),
        };
        for ticket in good {
            step.advice.verdicts.insert(ticket.worker.clone(), true);
            let held = job::HeldTicket {
                token: ticket.token,
                valid_until: now + valid,
            };
            step.advice.tickets.insert(ticket.worker, held);
        }
        self.actions.push(Action::Tell(note));
        if fresh {
            self.lanes.learn(&queue.name, part);
        }
    }

    /// Asks for the best of the steps that need tickets, while lanes are free.
    /// What only widens the choice of gangs that keep no workers comes last.
    pub(crate) fn ask_for(&mut self, pass: &pass::Pass) {
        self.ask_for_overdue(pass);
        self.ask_round(pass, Breadth::Needed);
        self.ask_round(pass, Breadth::Wide);
    }

    /// Asks for overdue steps in turn that have waited long for the only lane, before
    /// all others; a stream of other work would always take it first otherwise.
    /// Beside several lanes they come to their turn by themselves.
    fn ask_for_overdue(&mut self, pass: &pass::Pass) {
        if self.lanes.long_lanes() > 1 {
            return;
        }
        let overdue = pass.wanting.iter();
        for candidate in overdue.filter(|candidate| pass.overdue.contains(&candidate.task)) {
            let draft = self.draft(candidate, Breadth::Needed, pass);
            let expected = draft.map(|draft| draft.expected);
            let Some(advice) = self.step_of(&candidate.task).map(|step| &mut step.advice) else {
                continue;
            };
            let Some(expected) = expected.filter(|_| advice.asking.is_none()) else {
                advice.lane_wanted_since = None;
                continue;
            };
            let since = *advice.lane_wanted_since.get_or_insert(pass.now);
            if pass.now >= since + expected * MAX_LANE_WAIT {
                self.ask_now(candidate, Breadth::Needed, pass);
            }
        }
    }

    /// Sends the question that a step needs, if it may and a lane is free for it.
    fn ask_now(&mut self, candidate: &pass::Candidate, breadth: Breadth, pass: &pass::Pass) {
        if self.may_ask(&candidate.task)
            && let Some(draft) = self.draft(candidate, breadth, pass)
            && let Some(member) = self.lanes.free(draft.expected > LONG_QUESTION)
        {
            self.send_question(candidate.task, draft, member, pass.now);
        }
    }

    fn ask_round(&mut self, pass: &pass::Pass, breadth: Breadth) {
        for candidate in &pass.wanting {
            if self.lanes.free(false).is_none() {
                return;
            }
            // What is not a gang asks alike in both rounds.
            let again = breadth == Breadth::Wide && !self.is_gang(&candidate.task);
            if again && pass.tried == pass::Tried::WithRoom {
                continue;
            }
            self.ask_now(candidate, breadth, pass);
        }
    }

    fn is_gang(&self, task: &fleet::TaskId) -> bool {
        let job = self.jobs.get(&task.job);
        let step = job.and_then(|job| job.step_description(task));
        step.is_some_and(|step| step.gang)
    }

    fn send_question(
        &mut self,
        task: fleet::TaskId,
        draft: Draft,
        member: ids::MemberId,
        now: time::Instant,
    ) {
        if let Some(lane) = self.lanes.lanes.get_mut(&member) {
            lane.asked = Some(task);
        }
        let answered_at = now + draft.expected;
        if let Some(step) = self.step_of(&task) {
            step.advice.lane_wanted_since = None;
            step.advice.asking = Some(job::Asking {
                member: member.clone(),
                workers: draft.workers.iter().cloned().collect(),
                answered_at,
            });
            step.advice.promise = draft.reservation.map(|reservation| job::Promise {
                reservation,
                until: answered_at + ANSWER_SLACK,
            });
        }
        self.actions.push(Action::Ask(Question {
            member,
            task,
            workers: draft.workers,
            expected: draft.expected,
        }));
    }

    /// Whether a step has no question on its way, and a lane is free that the
    /// shortest one may use.
    pub(crate) fn may_ask(&self, task: &fleet::TaskId) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        let asks = job
            .step(task)
            .is_some_and(|step| step.advice.asking.is_some());
        job.queue.advice.is_some_and(|policy| {
            let long = duration(&policy, 1) > LONG_QUESTION;
            !asks && self.lanes.free(long).is_some()
        })
    }
}

/// How long the advisory service thinks about so many workers.
pub(crate) fn duration(policy: &fleet::AdvicePolicy, workers: usize) -> time::Duration {
    let micros = policy.duration_ms(workers) * 1_000.0;
    time::Duration::from_micros(micros.max(0.0) as u64)
}
