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
use super::job;
use super::pass;
use super::reserve;
use super::scheduler;
use super::worker;

/// A longer question may not use the lanes kept for short ones. Quick jobs'
/// questions take about 20 ms, the next longer kind's over 100 ms.
const LONG_QUESTION: time::Duration = time::Duration::from_millis(60);
/// Workers that one question names at most.
const MAX_ASKED: usize = 30;
/// The same of a question that fetches tickets for a gang, as many as the service
/// takes: in several questions the first tickets would be over before the last
/// are there, and a gang on 61 workers would never start.
const MAX_TICKETS: usize = 100;
/// Workers that one question names at least, if there are so many.
const MIN_ASKED: usize = 4;
/// A question names more than it needs while that adds no more than this part
/// to its time. Room is often gone when the answer comes; a question about few
/// workers is then asked again, up to 400 times a second on a busy day.
const CHEAP_PART: f64 = 1.0 / 3.0;
/// Slots asked about for each slot needed, over the part expected good.
const ASK_FACTOR: f64 = 1.6;
/// Part of a ticket's life left unused, for the way to the worker.
const TICKET_MARGIN: time::Duration = time::Duration::from_millis(200);
/// Slots wanted on good workers for each member of a gang, so that there is a
/// choice of the ones that become free first.
const GANG_CHOICE: f64 = 1.5;
/// The same for a gang that would wait longer than this for those known.
const GANG_CHOICE_WAITING: f64 = 4.0;
/// Wait for room that is not worth another question.
const GANG_PATIENCE: time::Duration = time::Duration::from_millis(600);
/// Tickets for a gang are asked for so long before they are needed.
const TICKET_LEAD: time::Duration = time::Duration::from_millis(100);
/// How much later than expected an answer may be, and its gang placed, before
/// the workers kept for it are given up.
const ANSWER_SLACK: time::Duration = time::Duration::from_millis(300);
/// Pause after a question that was not answered.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(150);

/// How wide a choice of workers is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Breadth {
    /// What a step needs to start.
    Needed,
    /// More, with lanes that nobody needs.
    Wide,
}

/// A question without the lane that it will take.
struct Draft {
    workers: Vec<fleet::WorkerId>,
    /// Workers that are kept for the step until the answer is there.
    keeps: Option<reserve::Reservation>,
    expected: time::Duration,
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
        self.ask_round(pass, Breadth::Needed);
        self.ask_round(pass, Breadth::Wide);
    }

    fn ask_round(&mut self, pass: &pass::Pass, breadth: Breadth) {
        for candidate in &pass.wanting {
            if self.lanes.free(false).is_none() {
                return;
            }
            // What is not a gang asks alike in both rounds.
            let again = breadth == Breadth::Wide && !self.is_gang(&candidate.task);
            if again && pass.tried == pass::Tried::WithRoom || !self.may_ask(&candidate.task) {
                continue;
            }
            if let Some(draft) = self.draft(candidate, breadth, pass)
                && let Some(member) = self.lanes.free(draft.expected > LONG_QUESTION)
            {
                self.send_question(candidate.task, draft, member, pass.now);
            }
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
            step.advice.asking = Some(job::Asking {
                member: member.clone(),
                workers: draft.workers.iter().cloned().collect(),
                answered_at,
            });
            step.advice.promise = draft.keeps.map(|reservation| job::Promise {
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

    /// Whether a gang that holds workers could start as soon as it has tickets.
    fn awaits_tickets(&self, candidate: &pass::Candidate, now: time::Instant) -> bool {
        let reservation = candidate.reservation.as_ref();
        let held = reservation.filter(|reservation| reservation.held);
        held.is_some_and(|held| self.starts_soon(&candidate.task, held, now))
    }

    /// Whether there is room for a gang by the time that its tickets could be
    /// there.
    pub(crate) fn starts_soon(
        &self,
        task: &fleet::TaskId,
        reservation: &reserve::Reservation,
        now: time::Instant,
    ) -> bool {
        let policy = self.jobs.get(&task.job).and_then(|job| job.queue.advice);
        let answer = policy.map(|policy| duration(&policy, reservation.workers.len()));
        reservation.ready_at <= now + answer.unwrap_or_default() + TICKET_LEAD
    }

    /// The question that a step needs now, if any.
    fn draft(
        &self,
        candidate: &pass::Candidate,
        breadth: Breadth,
        pass: &pass::Pass,
    ) -> Option<Draft> {
        let now = pass.now;
        let job = self.jobs.get(&candidate.task.job)?;
        let policy = job.queue.advice?;
        let step = job.step(&candidate.task)?;
        if step.advice.not_before.is_some_and(|at| now < at) {
            return None;
        }
        let description = job.step_description(&candidate.task)?;
        let mut keeps = None;
        let workers = match description.gang {
            true => {
                let tickets = match self.awaits_tickets(candidate, now) {
                    true => tickets_to_ask(candidate, step, &policy, now),
                    false => Vec::new(),
                };
                match tickets.is_empty() {
                    true => self.choice_to_ask(candidate, job, description, breadth, pass),
                    false => {
                        keeps = candidate.reservation.clone();
                        tickets
                    }
                }
            }
            false => self.workers_to_ask(candidate, job, description, pass),
        };
        if workers.is_empty() {
            return None;
        }
        let expected = duration(&policy, workers.len());
        Some(Draft {
            workers,
            keeps,
            expected,
        })
    }

    /// The workers with most room, enough to make tickets for all waiting tasks
    /// likely.
    fn workers_to_ask(
        &self,
        candidate: &pass::Candidate,
        job: &job::Job,
        description: &fleet::StepDescription,
        pass: &pass::Pass,
    ) -> Vec<fleet::WorkerId> {
        let Some(step) = job.step(&candidate.task) else {
            return Vec::new();
        };
        let most = reserve::most_per_worker(description);
        let mut workers: Vec<(u64, bool, &fleet::WorkerId)> = Vec::new();
        for (id, worker) in self.askable(job, step, description, pass) {
            let slots = worker.free().times(&job::occupied(description), most);
            workers.push((slots, step.advice.verdicts.contains_key(id), id));
        }
        if workers.iter().all(|(slots, ..)| *slots == 0) {
            return Vec::new();
        }
        workers.sort_by_key(|(slots, good, _)| std::cmp::Reverse((*slots > 0, *good, *slots)));
        self.enough(workers, step.waiting() as f64 * ASK_FACTOR, &job.queue)
    }

    /// Who may run a gang at all, by the room that workers have, until there is
    /// a choice among those that are good.
    fn choice_to_ask(
        &self,
        candidate: &pass::Candidate,
        job: &job::Job,
        description: &fleet::StepDescription,
        breadth: Breadth,
        pass: &pass::Pass,
    ) -> Vec<fleet::WorkerId> {
        let now = pass.now;
        let Some(step) = job.step(&candidate.task) else {
            return Vec::new();
        };
        let first = candidate.goes_first;
        let count = u64::from(description.count);
        let good_slots = self.good_slots(&candidate.task, description, pass);
        let ready_at = candidate.reservation.as_ref().map(|kept| kept.ready_at);
        let waits_long = ready_at.is_none_or(|at| at > now + GANG_PATIENCE);
        let choice = match breadth == Breadth::Wide || first && waits_long {
            true => GANG_CHOICE_WAITING,
            false => GANG_CHOICE,
        };
        let missing = count as f64 * choice - good_slots as f64;
        let speculative = breadth == Breadth::Needed && !first;
        if missing <= 0.0 || speculative && !self.may_start_now(candidate, job, description, pass) {
            return Vec::new();
        }
        let need = job::occupied(description);
        let unknown = self
            .askable(job, step, description, pass)
            .filter(|(id, _)| {
                let open = pass.kept_for_others_until(&candidate.task, id).is_none();
                open && !step.advice.verdicts.contains_key(*id)
            });
        let mut workers: Vec<(u64, bool, &fleet::WorkerId)> = unknown
            .map(|(id, worker)| (reserve::whole_slots(worker, description), false, id))
            .filter(|(slots, ..)| *slots > 0)
            .collect();
        let free = |id: &fleet::WorkerId| {
            let worker = self.workers.get(id);
            worker.map(|worker| (worker.free().times(&need, count), worker.free().cpu_millis))
        };
        workers.sort_by_key(|(slots, _, id)| std::cmp::Reverse((free(id), *slots)));
        self.enough(workers, missing, &job.queue)
    }

    /// Whether a gang would find room now on workers that nobody keeps, if as
    /// many of the unknown ones are good as usual.
    fn may_start_now(
        &self,
        candidate: &pass::Candidate,
        job: &job::Job,
        description: &fleet::StepDescription,
        pass: &pass::Pass,
    ) -> bool {
        let Some(step) = job.step(&candidate.task) else {
            return false;
        };
        let need = job::occupied(description);
        let most = reserve::most_per_worker(description);
        let good_part = self.lanes.good_part(&job.queue.name);
        pass.count_looks(pass.usable.len());
        let usable = pass.usable.iter();
        let usable = usable.filter_map(|position| self.workers.get_index(*position));
        let open = usable.filter(|(id, worker)| {
            worker.suits(&job.queue, description)
                && pass.kept_for_others_until(&candidate.task, id).is_none()
        });
        let expected = open.map(|(id, worker)| {
            let part = match step.advice.verdicts.get(id) {
                Some(true) => 1.0,
                Some(false) => 0.0,
                None => good_part,
            };
            part * worker.free().times(&need, most) as f64
        });
        expected.sum::<f64>() >= f64::from(description.count)
    }

    /// Usable workers that may be good for a step and hold no ticket for it.
    fn askable<'a>(
        &'a self,
        job: &'a job::Job,
        step: &'a job::Step,
        description: &'a fleet::StepDescription,
        pass: &pass::Pass,
    ) -> impl Iterator<Item = (&'a fleet::WorkerId, &'a worker::Worker)> {
        pass.count_looks(self.workers.len());
        let now = pass.now;
        self.workers.iter().filter(move |(id, worker)| {
            let bad = step.advice.verdicts.get(*id) == Some(&false);
            let ticket = step.advice.tickets.get(*id);
            let holds = ticket.is_some_and(|ticket| ticket.valid_until > now);
            let usable = self.is_usable(worker, now);
            !bad && !holds && usable && worker.suits(&job.queue, description)
        })
    }

    /// So many of the workers, in order, that the slots wanted are likely; a
    /// worker that is known to be good counts whole.
    fn enough(
        &self,
        workers: Vec<(u64, bool, &fleet::WorkerId)>,
        wanted_slots: f64,
        queue: &fleet::Queue,
    ) -> Vec<fleet::WorkerId> {
        let good_part = self.lanes.good_part(&queue.name);
        let at_least = queue.advice.as_ref().map_or(MIN_ASKED, cheap_workers);
        let mut asked = Vec::new();
        let mut expected_slots = 0.0;
        for (slots, good, id) in workers {
            let enough = expected_slots >= wanted_slots && asked.len() >= at_least;
            if enough || asked.len() >= MAX_ASKED {
                break;
            }
            expected_slots += slots as f64 * if good { 1.0 } else { good_part };
            asked.push(id.clone());
        }
        asked
    }
}

/// Workers that a gang holds and has no lasting ticket for.
fn tickets_to_ask(
    candidate: &pass::Candidate,
    step: &job::Step,
    policy: &fleet::AdvicePolicy,
    now: time::Instant,
) -> Vec<fleet::WorkerId> {
    let Some(reservation) = &candidate.reservation else {
        return Vec::new();
    };
    let asked = reservation.workers.len().min(MAX_TICKETS);
    let answered_at = now + duration(policy, asked);
    let needed_until = reservation.ready_at.max(answered_at);
    let covered = |id: &fleet::WorkerId| {
        let ticket = step.advice.tickets.get(id);
        ticket.is_some_and(|ticket| ticket.valid_until > needed_until)
    };
    let workers = reservation.workers.iter().filter(|id| !covered(id));
    workers.take(MAX_TICKETS).cloned().collect()
}

/// Workers that a question may name for little more than its base time.
fn cheap_workers(policy: &fleet::AdvicePolicy) -> usize {
    let workers = policy.base_ms * CHEAP_PART / policy.per_worker_ms.max(f64::MIN_POSITIVE);
    (workers as usize).clamp(MIN_ASKED, MAX_ASKED)
}

/// How long the advisory service thinks about so many workers.
pub(crate) fn duration(policy: &fleet::AdvicePolicy, workers: usize) -> time::Duration {
    let micros = policy.duration_ms(workers) * 1_000.0;
    time::Duration::from_micros(micros.max(0.0) as u64)
}
