//! Queries to the advisory service, distributed over the entry instances.
//!
//! The service answers one query at a time for each entry instance that sends
//! one, and a long query takes forty times as long as a short one. So each
//! instance is a channel of its own, and some channels are reserved for short
//! queries, which would otherwise wait behind long ones for longer than their
//! jobs take. Channels have no queues: the best query is chosen when a channel
//! is free.

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

/// Longer queries may not use the channels reserved for short ones. Queries for
/// short jobs take about 20 ms, the next longer kind over 100 ms.
const LONG_QUESTION: time::Duration = time::Duration::from_millis(60);
/// Part of a ticket's lifetime that is left unused, to cover its transmission
/// to the worker.
const TICKET_MARGIN: time::Duration = time::Duration::from_millis(200);
/// A gang's reservation is dropped if its tickets are later than expected by
/// more than this, which also covers the time to place the gang.
const ANSWER_SLACK: time::Duration = time::Duration::from_millis(300);
/// An overdue step waits for the only channel for at most this many times the
/// expected duration of its query.
const MAX_LANE_WAIT: u32 = 4;
/// Pause of a step after its query got no response.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(150);

impl scheduler::Scheduler {
    /// Adds an entry instance that can query the advisory service.
    pub fn member_joined(&mut self, member: &ids::MemberId) {
        self.lanes.lanes.entry(member.clone()).or_default();
    }

    /// Removes an entry instance, and with it the query that it had in flight.
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

    /// Applies the response to a query; `None` if there was no response.
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
        // The queried instance may have left since, and the step may have sent
        // another query through another one.
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

    /// Sends queries for the best of the steps that need tickets, while
    /// channels are free. Queries that only widen the choice of gangs without
    /// reservations come last.
    pub(crate) fn ask_for(&mut self, pass: &pass::Pass) {
        self.ask_for_overdue(pass);
        self.ask_round(pass, Breadth::Needed);
        self.ask_round(pass, Breadth::Wide);
    }

    /// With a single channel, sends the queries of overdue steps that have
    /// waited long for it before all others, since a stream of other work would
    /// otherwise always take it first. With several channels such steps get one
    /// without this.
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

    /// Sends the query that a step needs, if it may send one and a channel is
    /// free for it.
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
            // Steps other than gangs need the same query in both rounds.
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

    /// Whether a step has no query in flight and a channel is free that its
    /// shortest query could use.
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

/// How long the advisory service takes to answer a query about this many
/// workers.
pub(crate) fn duration(policy: &fleet::AdvicePolicy, workers: usize) -> time::Duration {
    let micros = policy.duration_ms(workers) * 1_000.0;
    time::Duration::from_micros(micros.max(0.0) as u64)
}
