//! Preemption: stops runs that save their progress, so that a step of a queue of
//! lower number starts in time; see [`super::preemption`] for the choice of the runs.
//!
//! A step benefits only if it would miss its objective by waiting and meets it after
//! the stops: its workers are usable, not reserved for others and approved, a ticket
//! for each is held or arrives soon enough, and its customer's limit admits it. A
//! gang benefits as a whole. The workers stay reserved until the step has started,
//! or for a limited time. All of this is in memory. To everybody else a victim is a
//! task whose run was stopped: it waits and resumes from its checkpoint.

use std::time;

use figscale_types::fleet;
use indexmap::IndexMap;

use super::action::Action;
use super::action::LogEntry;
use super::advice;
use super::job;
use super::pass;
use super::preemption;
use super::query;
use super::reserve;
use super::scheduler;
use super::worker;

/// Time between two searches for steps that need preemption, for each worker of the
/// fleet and in addition to [`MIN_INTERVAL`]. A pass follows each message, while a
/// search may examine the runs of all workers.
const INTERVAL_PER_WORKER: time::Duration = time::Duration::from_micros(100);
const MIN_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Maximum number of steps for which a search chooses victims.
const MAX_EXAMINED_STEPS: usize = 4;
/// Maximum number of workers on which victims are chosen where any worker may run
/// the step.
const MAX_EXAMINED_WORKERS: usize = 400;
/// Time for a stop order to reach a worker and for the end to be reported.
const STOP_MARGIN: time::Duration = time::Duration::from_millis(100);
/// A ticket that was received has to be valid for this time after the stops are
/// over, else it is queried again.
const TICKET_MARGIN: time::Duration = time::Duration::from_millis(300);
/// How long after the expected start the workers stay reserved. A stop without an
/// answer is repeated after 0.7 s.
const RESERVATION_MARGIN: time::Duration = time::Duration::from_millis(1_000);
/// A step whose start can't be predicted, since the workers that it waits for are
/// reserved for others, benefits only when its time left is less than this multiple of the
/// time that the preemption takes: until then it may still start by waiting.
const LAST_CHANCE_FACTOR: u32 = 2;
/// At most one part in this many of the processors of a service is freed in a
/// second. A stopped run loses about as much processor time as it would use in one to two
/// seconds, so that a tenth costs no more than a fifth of the service even if the
/// predictions are wrong.
const SHARE_DIVISOR: u64 = 10;

/// Workers that are reserved for a step for which runs were stopped.
#[derive(Clone, Debug)]
struct Beneficiary {
    reservation: reserve::Reservation,
    until: time::Instant,
}

/// State of preemption.
#[derive(Clone, Debug, Default)]
pub(crate) struct Preemptions {
    /// By the first task of the step.
    beneficiaries: IndexMap<fleet::TaskId, Beneficiary>,
    searched_at: Option<time::Instant>,
    /// By service, when the next runs may be stopped.
    next_at: IndexMap<String, time::Instant>,
}

/// A step that may benefit.
struct Need<'a> {
    task: fleet::TaskId,
    job: &'a job::Job,
    step: &'a job::Step,
    /// With the number of tasks that wait.
    description: fleet::StepDescription,
    objective_at: time::Instant,
    /// How long its tasks take on a worker of ordinary speed, by their estimates.
    length: time::Duration,
    /// How long the steps take that come after it.
    tail: time::Duration,
    /// When the runs that are stopped now have ended.
    stops_over: time::Instant,
    /// When the response to a query that is sent as soon as possible arrives.
    response_at: Option<time::Instant>,
}

impl Need<'_> {
    /// When its job ends if the step starts at `start`.
    fn end(&self, start: time::Instant, slowdown: fleet::Slowdown) -> time::Instant {
        start + slowdown.of(self.length) + self.tail
    }

    fn worth(&self) -> preemption::Worth {
        worth(self.job, &self.job.rounds[self.task.occurrence as usize])
    }
}

/// Runs to stop for a step.
struct Decision {
    task: fleet::TaskId,
    choice: preemption::Choice,
    start_at: time::Instant,
    /// Time by which the step's job ends earlier, if its end is known without
    /// preemption.
    time_gained: Option<time::Duration>,
    /// Time left at its end.
    slack: time::Duration,
}

impl scheduler::Scheduler {
    /// Reserves the workers of steps for which runs were stopped, and drops the
    /// reservations of steps that have started, can't start any more, or have waited too long.
    pub(crate) fn reserve_for_beneficiaries(
        &mut self,
        candidates: &[pass::Candidate],
        pass: &mut pass::Pass,
    ) {
        if self.preemptions.beneficiaries.is_empty() {
            return;
        }
        let waits = |task: &fleet::TaskId| candidates.iter().any(|step| step.task == *task);
        let beneficiaries = std::mem::take(&mut self.preemptions.beneficiaries);
        for (task, beneficiary) in beneficiaries {
            if !waits(&task) {
                continue;
            }
            if pass.now >= beneficiary.until {
                let log_entry = LogEntry::PreemptionUnused {
                    task,
                    workers: beneficiary.reservation.workers.len(),
                };
                self.actions.push(Action::Log(log_entry));
                continue;
            }
            pass.reserve_alone(task, &beneficiary.reservation);
            self.preemptions.beneficiaries.insert(task, beneficiary);
        }
    }

    /// The workers that are reserved for a step for which runs were stopped.
    pub(crate) fn beneficiary_reservation(
        &self,
        task: &fleet::TaskId,
    ) -> Option<reserve::Reservation> {
        let beneficiary = self.preemptions.beneficiaries.get(task)?;
        Some(beneficiary.reservation.clone())
    }

    /// Stops runs for the first of the unplaced steps whose gain exceeds the cost.
    pub(crate) fn preempt(&mut self, pass: &mut pass::Pass) {
        let Some(costs) = self.config.preemption else {
            return;
        };
        let workers = u32::try_from(self.workers.len()).unwrap_or(u32::MAX);
        let interval = MIN_INTERVAL + INTERVAL_PER_WORKER * workers;
        let recent = |at| pass.now < at + interval;
        if self.preemptions.searched_at.is_some_and(recent) {
            return;
        }
        self.preemptions.searched_at = Some(pass.now);
        let Some(decision) = self.find_preemption(&costs, pass) else {
            return;
        };
        self.carry_out(decision, pass);
    }

    fn find_preemption(
        &self,
        costs: &preemption::PreemptionCosts,
        pass: &pass::Pass,
    ) -> Option<Decision> {
        let highest = self.highest_number_to_preempt()?;
        let mut steps: Vec<&pass::Candidate> =
            pass.unplaced.iter().chain(&pass.without_room).collect();
        steps.sort_by_key(|candidate| candidate.rank);
        let slowdowns = self.workers.values().map(|worker| worker.slowdown);
        let fastest = slowdowns.min()?;
        let needs = steps.into_iter().filter_map(|candidate| {
            let need = self.need(candidate, highest, pass)?;
            // Short steps are often late before a stop is over. They come first, and
            // would use up the search before a gang is examined.
            let may_be_in_time = need.end(need.stops_over, fastest) <= need.objective_at;
            may_be_in_time.then_some((candidate, need))
        });
        let mut examined = needs.take(MAX_EXAMINED_STEPS);
        examined.find_map(|(candidate, need)| self.decide(candidate, &need, costs, pass))
    }

    /// The highest number of the queues that may have runs to stop.
    fn highest_number_to_preempt(&self) -> Option<u32> {
        let open = self.open.iter().filter_map(|id| self.jobs.get(id));
        let with_victims = open.filter(|job| {
            let mut steps = job.description.steps.iter();
            job.started && steps.any(can_be_stopped)
        });
        with_victims.map(|job| job.queue.priority).max()
    }

    /// What a step needs, if it is one that may benefit.
    fn need<'a>(
        &'a self,
        candidate: &pass::Candidate,
        highest: u32,
        pass: &pass::Pass,
    ) -> Option<Need<'a>> {
        let task = candidate.task;
        let job = self.jobs.get(&task.job)?;
        let round = job.rounds.get(task.occurrence as usize)?;
        let step = job.step(&task)?;
        let described = job.step_description(&task)?;
        let next_at = self.preemptions.next_at.get(&job.queue.service);
        let possible = job.stored
            && job.queue.priority < highest
            && candidate.rank.lateness == pass::Lateness::InTime
            && !candidate.lost_workers
            && !described.long_running
            && !step.had_preemption
            && next_at.is_none_or(|at| *at <= pass.now);
        if !possible || self.hold(&task, pass.now).is_some() {
            return None;
        }
        let ready = |task: &&job::Task| task.is_waiting() && !task.suspect;
        let count = step.tasks.iter().filter(ready).count();
        let description = fleet::StepDescription {
            count: u32::try_from(count).ok()?,
            ..described.clone()
        };
        if self.startable_tasks(&task, &pass.headroom) < count as u64 {
            return None;
        }
        let estimate = time::Duration::from_millis(described.estimate_ms);
        let stops_over = pass.now + self.config.stop_limit + STOP_MARGIN;
        let need = Need {
            task,
            job,
            step,
            response_at: self.response_at(&task, job, &description, stops_over, pass.now),
            description,
            objective_at: worth(job, round).objective_at,
            length: self
                .run_times(&job.queue.name)
                .cautious_by_objective(estimate),
            tail: time_after(job, round, task.step as usize),
            stops_over,
        };
        Some(need)
    }

    fn decide(
        &self,
        candidate: &pass::Candidate,
        need: &Need<'_>,
        costs: &preemption::PreemptionCosts,
        pass: &pass::Pass,
    ) -> Option<Decision> {
        let end_without = self.end_by_waiting(candidate, need, pass);
        if end_without.is_some_and(|end| end <= need.objective_at) {
            return None;
        }
        let takes = need.stops_over - pass.now;
        let last_chance = need.end(
            pass.now + takes * LAST_CHANCE_FACTOR,
            fleet::Slowdown::ORDINARY,
        ) > need.objective_at;
        if end_without.is_none() && !last_chance || self.may_fit_by_query(candidate, need, pass) {
            return None;
        }
        let hosts = self.hosts(need, costs, pass);
        let room = job::occupied(&need.description);
        let choice = preemption::choose(&hosts, &room, u64::from(need.description.count))?;
        if choice.victims.is_empty() {
            return None;
        }
        let ticket_at = |id| self.ticket_at(need, id, pass);
        let tickets = choice.workers.iter().filter_map(ticket_at);
        let start_at = tickets.fold(need.stops_over, time::Instant::max);
        let end = need.end(start_at, self.slowest(&choice.workers));
        let worth = need.worth();
        let late_worth = end_without.map_or(need.objective_at + MIN_INTERVAL, |end| end);
        let gain = worth.at(end).saturating_sub(worth.at(late_worth));
        (gain > choice.cost()).then(|| Decision {
            task: need.task,
            choice,
            start_at,
            time_gained: end_without.map(|without| without.saturating_duration_since(end)),
            slack: need.objective_at.saturating_duration_since(end),
        })
    }

    /// When the step's job ends if the step waits for runs to end; `None` if that is
    /// not known.
    fn end_by_waiting(
        &self,
        candidate: &pass::Candidate,
        need: &Need<'_>,
        pass: &pass::Pass,
    ) -> Option<time::Instant> {
        // For a gang it was computed in this pass already.
        let reservation = match need.description.gang {
            true => candidate.reservation.clone(),
            false => self.reserve(&need.task, &need.description, pass),
        }?;
        Some(need.end(reservation.ready_at, self.slowest(&reservation.workers)))
    }

    fn slowest(&self, workers: &[fleet::WorkerId]) -> fleet::Slowdown {
        let workers = workers.iter().filter_map(|id| self.workers.get(id));
        let slowdowns = workers.map(|worker| worker.slowdown);
        slowdowns.max().unwrap_or(fleet::Slowdown::ORDINARY)
    }

    /// Whether a gang would likely fit now if it knew more approved workers, and has the time
    /// to query for them and for tickets.
    fn may_fit_by_query(
        &self,
        candidate: &pass::Candidate,
        need: &Need<'_>,
        pass: &pass::Pass,
    ) -> bool {
        let Some(policy) = need.job.queue.advice.as_ref() else {
            return false;
        };
        let queries = advice::duration(policy, query::MAX_QUERIED) * 2;
        need.description.gang
            && need.end(pass.now + queries, fleet::Slowdown::ORDINARY) <= need.objective_at
            && self.may_fit_now(candidate, need.job, &need.description, pass)
    }

    /// When the step can have a ticket for a worker; `None` if the worker is not approved or
    /// a ticket can't be expected.
    fn ticket_at(
        &self,
        need: &Need<'_>,
        id: &fleet::WorkerId,
        pass: &pass::Pass,
    ) -> Option<time::Instant> {
        if need.job.queue.advice.is_none() {
            return Some(pass.now);
        }
        let known = &need.step.advice;
        if known.verdicts.get(id) != Some(&true) {
            return None;
        }
        let needed_until = need.stops_over + TICKET_MARGIN;
        let ticket = known.tickets.get(id);
        if ticket.is_some_and(|ticket| ticket.valid_until > needed_until) {
            return Some(pass.now);
        }
        need.response_at
    }

    /// When the response to a query about a step that is sent as soon as possible
    /// arrives; `None` if no query can be expected to be answered.
    fn response_at(
        &self,
        task: &fleet::TaskId,
        job: &job::Job,
        description: &fleet::StepDescription,
        stops_over: time::Instant,
        now: time::Instant,
    ) -> Option<time::Instant> {
        let policy = job.queue.advice.as_ref()?;
        let known = &job.step(task)?.advice;
        if self.channels.service_is_unavailable() {
            return None;
        }
        let in_flight = known.pending_query.as_ref();
        let free_at = in_flight.map(|query| query.response_due_at.max(now));
        let free_at = match description.gang {
            true => free_at.or_else(|| self.may_query(task, now).then_some(now))?,
            // Single tasks query for workers with room, after the stops.
            false => free_at.unwrap_or(now).max(stops_over),
        };
        let not_before = known.not_before.unwrap_or(now);
        Some(free_at.max(not_before) + advice::duration(policy, description.count as usize))
    }

    /// The workers on which the step would end in time, with the runs that could be
    /// stopped there.
    fn hosts(
        &self,
        need: &Need<'_>,
        costs: &preemption::PreemptionCosts,
        pass: &pass::Pass,
    ) -> Vec<preemption::Host> {
        let allowed = self.workers_to_preempt(need, pass);
        let hosts = allowed.into_iter().filter_map(|(id, worker)| {
            pass.count_scans(1);
            let start = need.stops_over.max(self.ticket_at(need, id, pass)?);
            let open = self.is_usable(worker, pass.now)
                && worker.suits(&need.job.queue, &need.description)
                && pass.reserved_for_others_until(&need.task, id).is_none()
                && need.end(start, worker.slowdown) <= need.objective_at;
            open.then(|| self.host(id, worker, start, need, costs, pass.now))
        });
        hosts.collect()
    }

    /// The workers that are approved for a step. Where the queue needs no advice, some of all
    /// workers, others for each job.
    fn workers_to_preempt<'a>(
        &'a self,
        need: &'a Need<'_>,
        pass: &'a pass::Pass,
    ) -> Vec<(&'a fleet::WorkerId, &'a worker::Worker)> {
        if need.job.queue.advice.is_some() {
            let verdicts = need.step.advice.verdicts.iter();
            let approved = verdicts.filter(|(_, approved)| **approved);
            return approved
                .filter_map(|(id, _)| self.workers.get_key_value(id))
                .collect();
        }
        let workers = pass.usable.len().max(1);
        let first = (need.task.job.0 % workers as u64) as usize;
        let positions = pass.usable.iter().cycle().skip(first);
        positions
            .take(workers.min(MAX_EXAMINED_WORKERS).min(pass.usable.len()))
            .filter_map(|position| self.workers.get_index(*position))
            .collect()
    }

    fn host(
        &self,
        id: &fleet::WorkerId,
        worker: &worker::Worker,
        start: time::Instant,
        need: &Need<'_>,
        costs: &preemption::PreemptionCosts,
        now: time::Instant,
    ) -> preemption::Host {
        let stopping = worker
            .stopping_runs()
            .filter_map(|key| worker.runs.get(key));
        let used = stopping.fold(worker.used(), |used, run| used.minus(&run.room));
        let resumes_at = start + worker.slowdown.of(need.length);
        let runs = worker.runs.iter();
        let victims =
            runs.filter_map(|(key, run)| self.victim(id, key, run, resumes_at, need, costs, now));
        let count = u64::from(need.description.count);
        preemption::Host {
            worker: id.clone(),
            free: worker.free_beside(&used),
            max_tasks: count.min(worker.tasks_left(&need.task, &need.description)),
            victims: victims.collect(),
        }
    }

    /// A run as a victim that resumes at `resumes_at`; `None` if it may not be stopped or
    /// ends by itself before the step could start.
    #[expect(
        clippy::too_many_arguments,
        reason = "a view of one run beside the step"
    )]
    fn victim(
        &self,
        id: &fleet::WorkerId,
        key: &worker::RunKey,
        run: &worker::Run,
        resumes_at: time::Instant,
        need: &Need<'_>,
        costs: &preemption::PreemptionCosts,
        now: time::Instant,
    ) -> Option<preemption::Victim> {
        let job = self.jobs.get(&key.0.job).filter(|job| job.is_open())?;
        let round = job.rounds.get(key.0.occurrence as usize)?;
        let task = job.task(&key.0)?;
        let ends_at = reserve::probable_end(run, now);
        let may_be_stopped = job.queue.priority > need.job.queue.priority
            && job.step_description(&key.0).is_some_and(can_be_stopped)
            && task.is_current_run(id, key.1)
            && !task.must_progress
            && run.is_confirmed()
            && run.stop_ordered.is_none()
            && !run.quarantined
            && ends_at > need.stops_over;
        if !may_be_stopped {
            return None;
        }
        let lost = costs.lost_work(run.age_at(Some(now))) + costs.restore;
        let ends_in = ends_at - now;
        let tail = time_after(job, round, key.0.step as usize);
        let worth = worth(job, round);
        let late_end = resumes_at + ends_in + lost + tail;
        let idle = need.stops_over - now;
        Some(preemption::Victim {
            key: *key,
            room: run.room,
            lost_core_ms: run.room.cpu_millis * super::lease::millis(lost + idle) / 1_000,
            lost_worth: worth.at(ends_at + tail).saturating_sub(worth.at(late_end)),
            ends_in,
        })
    }

    fn carry_out(&mut self, decision: Decision, pass: &mut pass::Pass) {
        let Decision { task, choice, .. } = decision;
        self.limit_next(&task, choice.freed_cpu_millis, pass);
        for (worker, key) in &choice.victims {
            self.order_stop(worker, *key, Some(pass.now));
            let job = self.jobs.get_mut(&key.0.job);
            if let Some(task) = job.and_then(|job| job.task_mut(&key.0)) {
                task.must_progress = true;
            }
        }
        if let Some(step) = self
            .jobs
            .get_mut(&task.job)
            .and_then(|job| job.step_mut(&task))
        {
            step.had_preemption = true;
        }
        let reservation = reserve::Reservation {
            workers: choice.workers.clone(),
            ready_at: decision.start_at,
            active: true,
        };
        pass.reserve_alone(task, &reservation);
        let mut unplaced = pass.unplaced.iter_mut();
        if let Some(candidate) = unplaced.find(|candidate| candidate.task == task) {
            candidate.reservation = Some(reservation.clone());
        }
        let beneficiary = Beneficiary {
            reservation,
            until: decision.start_at + RESERVATION_MARGIN,
        };
        self.preemptions.beneficiaries.insert(task, beneficiary);
        self.actions.push(Action::Log(LogEntry::RunsPreempted {
            task,
            workers: choice.workers.len(),
            lost_core_ms: choice.lost_core_ms,
            lost_worth: choice.lost_worth,
            time_gained: decision.time_gained,
            slack: decision.slack,
            victims: choice.victims.into_iter().map(|(_, key)| key).collect(),
        }));
    }

    /// Sets the time of the next preemption in the step's service.
    fn limit_next(&mut self, task: &fleet::TaskId, freed_cpu_millis: u64, pass: &pass::Pass) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let service = &job.queue.service;
        let usable = pass
            .usable
            .iter()
            .filter_map(|position| self.workers.get_index(*position));
        let entries = usable.map(|(_, worker)| &worker.entry);
        let of_service = entries.filter(|entry| entry.service == *service);
        let total: u64 = of_service.map(|entry| entry.room.cpu_millis).sum();
        let pause_ms = freed_cpu_millis * SHARE_DIVISOR * 1_000 / total.max(1);
        let next_at = pass.now + time::Duration::from_millis(pause_ms);
        self.preemptions.next_at.insert(service.clone(), next_at);
    }
}

/// Whether runs of a step may be stopped for others. Members of gangs are not, since
/// all members would lose their work for the resources of one. Long-running tasks are not,
/// since they provide a service.
fn can_be_stopped(step: &fleet::StepDescription) -> bool {
    step.saves_progress && !step.gang && !step.long_running
}

/// Worth of one occurrence of a job.
fn worth(job: &job::Job, round: &job::Round) -> preemption::Worth {
    let since = round.due_at.unwrap_or(job.submitted);
    let objective = job.objective_at.saturating_duration_since(job.submitted);
    let steps = job.description.steps.iter();
    let core_ms = |step: &fleet::StepDescription| {
        let cpu_millis = u64::from(step.count).saturating_mul(step.room.cpu_millis);
        cpu_millis.saturating_mul(step.estimate_ms) / 1_000
    };
    preemption::Worth {
        core_ms: steps.map(core_ms).fold(0, u64::saturating_add),
        objective_at: since + objective,
        earns_nothing_at: since + objective * pass::EARNS_NOTHING_AFTER_OBJECTIVES,
    }
}

/// Length of the longest chain of steps that come after a step, by their estimates.
fn time_after(job: &job::Job, round: &job::Round, step: usize) -> time::Duration {
    let mut ends: Vec<Option<u64>> = Vec::with_capacity(round.steps.len());
    for (number, description) in job.description.steps.iter().enumerate() {
        let before = description
            .after
            .iter()
            .filter_map(|after| ends[*after as usize]);
        let start = before.max();
        ends.push(match number == step {
            true => Some(0),
            false => start.map(|start: u64| start.saturating_add(description.estimate_ms)),
        });
    }
    let last = ends.into_iter().flatten().max().unwrap_or(0);
    time::Duration::from_millis(last)
}
