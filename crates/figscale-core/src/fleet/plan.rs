//! The placement pass: ranks all steps that are ready to start and assigns
//! their tasks to workers.
//!
//! Steps are ranked by these keys, in this order: jobs that can still meet
//! their objective, then late ones, then those past the point where they earn
//! anything; queues of priority 0 before others; customers within their
//! weighted share before those above it, least excess first; and last the time left until the step
//! must start, which is negative once that time is past.
//!
//! A task goes to the fullest worker that has the resources for it (best fit),
//! so that large free blocks remain for wide gangs. Workers are reserved for a
//! gang that does not fit yet.

use std::time;

use figscale_types::fleet;
use indexmap::IndexSet;

use super::action::Action;
use super::action::LogEntry;
use super::customers;
use super::job;
use super::maps;
use super::open_workers;
use super::pass;
use super::reserve;
use super::scheduler;
use super::speed;
use super::worker;

/// There may be one gang per this many usable workers that holds reservations
/// on workers while their runs end; more would leave most workers idle. Gangs
/// that wait for nothing but tickets are not counted, since their resources are
/// idle for the time of one response only. While the advisory service is
/// unavailable no response comes, and they are counted too.
const WORKERS_PER_RESERVING_GANG: usize = 16;
/// Lower bound of the number of such gangs, for small fleets.
const MIN_RESERVING_GANGS: usize = 3;
/// One gang per this many advice channels may query the advisory service for a
/// wide choice of workers before there is room for it. More of them would
/// occupy the channels that gangs need which could start with a few tickets.
const CHANNELS_PER_EARLY_GANG: usize = 5;
/// Lower bound of the number of such gangs, for few instances.
const MIN_EARLY_GANGS: usize = 3;
/// Attempt numbers reserved for one term; those of the next term start above
/// them.
const ATTEMPTS_PER_EPOCH: u64 = 1_000;

/// Tasks of one step that were placed in this pass.
#[derive(Clone, Debug, Default)]
struct Placed {
    tasks: usize,
    workers: IndexSet<fleet::WorkerId>,
    attempt: u32,
}

impl Placed {
    fn add(&mut self, worker: fleet::WorkerId, attempt: u32) {
        self.tasks += 1;
        self.workers.insert(worker);
        self.attempt = attempt;
    }
}

impl scheduler::Scheduler {
    /// Places whatever can be placed and queries the advisory service for the
    /// rest.
    pub fn plan(&mut self, now: time::Instant) {
        self.run_pass(now, pass::StepFilter::WithRoom);
    }

    /// Like [`Self::plan`], but also tries steps for which no worker has room.
    /// The decisions are the same at a higher cost; it exists to test that.
    pub fn plan_trying_all(&mut self, now: time::Instant) {
        self.run_pass(now, pass::StepFilter::All);
    }

    fn run_pass(&mut self, now: time::Instant, step_filter: pass::StepFilter) {
        let mut candidates = self.candidates(now);
        if candidates.is_empty() {
            self.pass_scans = 0;
            self.admission.set_reserved(maps::WorkerMap::default());
            return;
        }
        let headroom = self.headroom();
        // Steps held back by their customer's limit reserve no workers, send no
        // queries and block no other step.
        candidates.retain(|candidate| self.startable_tasks(&candidate.task, &headroom) > 0);
        let usable = (0..self.workers.len()).filter(|position| {
            let worker = self.workers.get_index(*position);
            worker.is_some_and(|(_, worker)| self.is_usable(worker, now))
        });
        let usable: Vec<usize> = usable.collect();
        let free_capacity = self.free_capacity(&usable);
        let mut pass = pass::Pass::new(now, headroom, usable, free_capacity, step_filter);
        pass.count_scans(self.workers.len());
        self.reserve_for_beneficiaries(&candidates, &mut pass);
        self.reserve_awaiting_tickets(&candidates, &mut pass);
        self.reserve_for_aging(&candidates, &mut pass);
        for mut candidate in candidates {
            let held = self.startable_tasks(&candidate.task, &pass.headroom) == 0;
            if held {
                continue;
            }
            if !self.may_have_room(&candidate, &pass) {
                if self.config.preemption.is_some() {
                    pass.without_room.push(candidate);
                }
                continue;
            }
            let whole = self.place_step(&mut candidate, &mut pass);
            if !whole {
                pass.unplaced.push(candidate);
            }
        }
        self.preempt(&mut pass);
        self.send_queries(&pass);
        self.pass_scans = pass.scans();
        self.admission.set_reserved(pass.into_reserved());
    }

    fn free_capacity(&self, usable: &[usize]) -> pass::FreeCapacity {
        let mut free_capacity = pass::FreeCapacity::default();
        for position in usable {
            if let Some((_, worker)) = self.workers.get_index(*position) {
                free_capacity.add(&worker.entry.service, worker.free());
            }
        }
        free_capacity
    }

    /// How many tasks of a step its customer may start now. A gang may start
    /// whole or not at all.
    pub(crate) fn startable_tasks(
        &self,
        task: &fleet::TaskId,
        headroom: &customers::Headroom,
    ) -> u64 {
        let Some(job) = self.jobs.get(&task.job) else {
            return 0;
        };
        let Some(step) = job.step_description(task) else {
            return 0;
        };
        let count = u64::from(step.count);
        let allowed = headroom.startable(job.customer.as_ref(), &job::occupied(step), count);
        match step.gang && allowed < count {
            true => 0,
            false => allowed,
        }
    }

    /// Whether some worker may have room for a task of a step. Always true of
    /// gangs, since workers are reserved for those that do not fit.
    fn may_have_room(&self, candidate: &pass::Candidate, pass: &pass::Pass) -> bool {
        let Some(job) = self.jobs.get(&candidate.task.job) else {
            return false;
        };
        let Some(step) = job.step_description(&candidate.task) else {
            return false;
        };
        let room = || {
            pass.free_capacity
                .holds(&job.queue.service, &job::occupied(step))
        };
        step.gang || pass.step_filter == pass::StepFilter::All || room()
    }

    /// Reserves the workers for which tickets are in flight.
    fn reserve_awaiting_tickets(&self, candidates: &[pass::Candidate], pass: &mut pass::Pass) {
        for candidate in candidates {
            let job = self.jobs.get(&candidate.task.job);
            let step = job.and_then(|job| job.step(&candidate.task));
            let commitment = step.and_then(|step| step.advice.commitment.as_ref());
            if let Some(commitment) = commitment.filter(|commitment| commitment.until > pass.now) {
                pass.reserve(candidate.task, &commitment.reservation);
            }
        }
    }

    pub(crate) fn candidates(&self, now: time::Instant) -> Vec<pass::Candidate> {
        let mut all = Vec::new();
        let excesses = self.customer_excesses();
        for id in &self.open {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            let excess = customers::excess_of(job.customer.as_ref(), &excesses);
            for (occurrence, round) in job.rounds.iter().enumerate() {
                // The rank is computed on demand, since most jobs of a busy
                // fleet have no step that is ready.
                let mut known_rank = None;
                for (step, progress) in round.steps.iter().enumerate() {
                    let description = &job.description.steps[step];
                    if pass::may_start(progress, description)
                        && round.is_ready(&job.description, step)
                        && !self.has_unsaved_losses(*id, progress)
                    {
                        let rank =
                            *known_rank.get_or_insert_with(|| pass::rank(job, round, excess, now));
                        let task = pass::first_task(*id, occurrence, step);
                        all.push(pass::Candidate {
                            lost_workers: !progress.crashes.is_empty(),
                            ..pass::Candidate::new(task, rank)
                        });
                    }
                }
            }
        }
        // Steps with tasks that lost a worker come first: a task in quarantine
        // needs a worker to itself, which a stream of other work would
        // otherwise always take first.
        all.sort_by_key(|candidate| (!candidate.lost_workers, candidate.rank));
        all
    }

    /// A task is not started while its lost runs are not in the store: neither
    /// they nor this start would be known to the next leader.
    pub(crate) fn has_unsaved_losses(&self, id: fleet::JobId, step: &job::Step) -> bool {
        !step.crashes.is_empty() && self.unsaved.contains_losses(id)
    }

    /// Places as many tasks of a step as possible. Returns false if some are left
    /// that need a worker or a ticket.
    fn place_step(&mut self, candidate: &mut pass::Candidate, pass: &mut pass::Pass) -> bool {
        let Some(job) = self.jobs.get(&candidate.task.job) else {
            return true;
        };
        if !job.stored {
            return false;
        }
        let Some(description) = job.step_description(&candidate.task).cloned() else {
            return true;
        };
        match description.gang {
            true => self.place_gang(candidate, &description, pass),
            false => self.place_tasks(candidate, &description, pass),
        }
    }

    fn place_tasks(
        &mut self,
        candidate: &pass::Candidate,
        description: &fleet::StepDescription,
        pass: &mut pass::Pass,
    ) -> bool {
        let customer = self.customer_of(&candidate.task);
        let room = job::occupied(description);
        let mut placed = Placed::default();
        for index in 0..description.count {
            let id = fleet::TaskId {
                index,
                ..candidate.task
            };
            let task = self.jobs.get(&id.job).and_then(|job| job.task(&id));
            let ready = task.is_some_and(|task| task.is_waiting() && !task.suspect);
            if !ready {
                continue;
            }
            if pass.headroom.startable(customer.as_ref(), &room, 1) == 0 {
                break;
            }
            let Some(worker) = self.best_worker(&id, description, candidate.rank, pass) else {
                self.reserve_for_quarantine(&id, description, pass);
                self.report_placed(&candidate.task, &placed, pass.now);
                return false;
            };
            let attempt = self.next_attempt(&id);
            if !self.announce_start(&id, attempt, pass.now) {
                continue;
            }
            self.start(&id, &worker, attempt, pass.now);
            pass.headroom.record_start(customer.as_ref(), &room);
            placed.add(worker, attempt);
        }
        self.report_placed(&candidate.task, &placed, pass.now);
        true
    }

    fn customer_of(&self, task: &fleet::TaskId) -> Option<fleet::CustomerName> {
        self.jobs.get(&task.job)?.customer.clone()
    }

    fn report_placed(&mut self, task: &fleet::TaskId, placed: &Placed, now: time::Instant) {
        let Some(job) = self.jobs.get(&task.job).filter(|_| placed.tasks > 0) else {
            return;
        };
        let workers = placed.workers.iter();
        let workers = workers.filter_map(|id| self.workers.get(id));
        let slowest = workers.map(|worker| worker.slowdown).max();
        let slowdown = slowest.unwrap_or_default();
        let predicted_late = job.step_description(task).is_some_and(|description| {
            let prediction = self.prediction(job, task, description);
            !prediction.order_at(now).is_in_time(slowdown)
        });
        let log_entry = LogEntry::StepPlaced {
            task: *task,
            tasks: placed.tasks,
            workers: placed.workers.len(),
            attempt: placed.attempt,
            after: now.saturating_duration_since(job.submitted),
            slack: job.objective_at.checked_duration_since(now),
            slowdown,
            predicted_late,
        };
        self.actions.push(Action::Log(log_entry));
    }

    fn place_gang(
        &mut self,
        candidate: &mut pass::Candidate,
        description: &fleet::StepDescription,
        pass: &mut pass::Pass,
    ) -> bool {
        let Some(chosen) = self.gang_workers(candidate, description, pass) else {
            self.reserve_for_gang(candidate, description, pass);
            return false;
        };
        if self.reserve_faster(candidate, description, chosen.slowest, pass) {
            return false;
        }
        let members = (0..description.count).map(|index| fleet::TaskId {
            index,
            ..candidate.task
        });
        let members: Vec<fleet::TaskId> = members.collect();
        let attempt = members
            .iter()
            .map(|id| self.next_attempt(id))
            .max()
            .unwrap_or(1);
        if !self.announce_start(&candidate.task, attempt, pass.now) {
            return true;
        }
        let job = self.jobs.get_mut(&candidate.task.job);
        if let Some(step) = job.and_then(|job| job.step_mut(&candidate.task)) {
            step.share_checkpoint();
        }
        let customer = self.customer_of(&candidate.task);
        let room = job::occupied(description);
        let mut placed = Placed::default();
        for (id, worker) in members.iter().zip(chosen.workers) {
            self.start(id, &worker, attempt, pass.now);
            pass.headroom.record_start(customer.as_ref(), &room);
            placed.add(worker, attempt);
        }
        self.report_placed(&candidate.task, &placed, pass.now);
        true
    }

    /// One worker for each member, or `None` if any member does not fit.
    fn gang_workers(
        &self,
        candidate: &pass::Candidate,
        description: &fleet::StepDescription,
        pass: &pass::Pass,
    ) -> Option<open_workers::GangWorkers> {
        let open = self.open_workers(&candidate.task, description, candidate.rank, pass);
        if !description.same_rack {
            return open_workers::assign_fullest_first(open, description, description.count);
        }
        let in_one = open_workers::assign_in_one_rack(&open, description, description.count);
        in_one.or_else(|| open_workers::assign_fullest_first(open, description, description.count))
    }

    /// Reserves the workers that become free first until a gang fits.
    ///
    /// In a backlog most gangs may neither reserve workers nor send a query,
    /// and nothing is computed for these. When it was computed for all, a pass
    /// took 10 ms with 150 waiting gangs and 350 workers, which delayed new jobs
    /// and reports of ended tasks.
    fn reserve_for_gang(
        &self,
        candidate: &mut pass::Candidate,
        description: &fleet::StepDescription,
        pass: &mut pass::Pass,
    ) {
        candidate.reservation = self.beneficiary_reservation(&candidate.task);
        if candidate.reservation.is_some() {
            return;
        }
        let may_reserve = may_reserve(pass);
        if !may_reserve && !self.may_query(&candidate.task, pass.now) {
            return;
        }
        let is_aging = pass.aging_gang == Some(candidate.task);
        let reservation = self.reserve(&candidate.task, description, pass);
        if may_reserve
            && reservation.is_none()
            && !self.could_fit(&candidate.task, description, pass)
        {
            return;
        }
        let max_early_queries =
            (self.channels.by_member.len() / CHANNELS_PER_EARLY_GANG).max(MIN_EARLY_GANGS);
        candidate.may_query_early = pass.reserving_gangs < max_early_queries || is_aging;
        pass.reserving_gangs += usize::from(reservation.is_none());
        candidate.reservation = reservation.map(|mut reservation| {
            let soon = !self.channels.service_is_unavailable()
                && self.starts_soon(&candidate.task, &reservation, pass.now);
            if soon || is_aging || may_reserve {
                pass.reserve(candidate.task, &reservation);
                pass.reserving_gangs += usize::from(!soon);
                reservation.active = true;
            }
            reservation
        });
    }

    /// Reserves faster workers for a gang that would be late on those that have room
    /// now, if it is predicted to end in time on them in spite of the wait. The wait
    /// ends as soon as this no longer holds, and the gang takes what has room.
    fn reserve_faster(
        &mut self,
        candidate: &mut pass::Candidate,
        description: &fleet::StepDescription,
        slowdown_now: fleet::Slowdown,
        pass: &mut pass::Pass,
    ) -> bool {
        let faster = self.faster_reservation(&candidate.task, description, slowdown_now, pass);
        let Some((mut reservation, slowdown)) = faster else {
            return false;
        };
        pass.reserve(candidate.task, &reservation);
        pass.reserving_gangs += 1;
        reservation.active = true;
        let ready_at = reservation.ready_at;
        candidate.reservation = Some(reservation);
        let job = self.jobs.get_mut(&candidate.task.job);
        let step = job.and_then(|job| job.step_mut(&candidate.task));
        if let Some(step) = step.filter(|step| !step.logged_wait_for_faster) {
            step.logged_wait_for_faster = true;
            self.actions.push(Action::Log(LogEntry::GangAwaitsFaster {
                task: candidate.task,
                slowdown_now,
                slowdown,
                ready_in: ready_at.saturating_duration_since(pass.now),
            }));
        }
        true
    }

    fn faster_reservation(
        &self,
        task: &fleet::TaskId,
        description: &fleet::StepDescription,
        slowdown_now: fleet::Slowdown,
        pass: &pass::Pass,
    ) -> Option<(reserve::Reservation, fleet::Slowdown)> {
        let job = self.jobs.get(&task.job)?;
        let prediction = self.prediction(job, task, description);
        if prediction.order_at(pass.now).is_in_time(slowdown_now) || !may_reserve(pass) {
            return None;
        }
        let groups = pass.usable_by_speed(|index| self.slowdown_at(index));
        if groups.iter().all(|group| group.slowdown >= slowdown_now) {
            return None;
        }
        let faster = |worker: &worker::Worker| worker.slowdown < slowdown_now;
        let reserved = self.reserve_on(task, description, faster, pass);
        reserved.filter(|(reservation, slowdown)| {
            let order = prediction.order_at(reservation.ready_at);
            order.is_in_time(*slowdown)
        })
    }

    fn next_attempt(&self, id: &fleet::TaskId) -> u32 {
        let first = self.config.epoch.0.saturating_sub(1) * ATTEMPTS_PER_EPOCH + 1;
        let first = u32::try_from(first).unwrap_or(u32::MAX);
        let task = self.jobs.get(&id.job).and_then(|job| job.task(id));
        task.map_or(first, |task| first.max(task.attempt + 1))
    }

    fn start(
        &mut self,
        id: &fleet::TaskId,
        worker_id: &fleet::WorkerId,
        attempt: u32,
        now: time::Instant,
    ) {
        let expiry_ms = super::lease::millis(self.config.start_expiry);
        let (lease, proven_at) = (self.config.lease, self.proven_at);
        let Some(queue_name) = self.jobs.get(&id.job).map(|job| &job.queue.name) else {
            return;
        };
        let run_times = self.run_times(queue_name);
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let Some(description) = job.description.steps.get(id.step as usize) else {
            return;
        };
        let room = job::occupied(description);
        let estimate = time::Duration::from_millis(description.estimate_ms);
        let expected = worker.slowdown.of(run_times.typical(estimate));
        let long_running = description.long_running;
        let measured_ms = speed::measured_ms(description);
        let quarantined = job.needs_quarantine(id);
        let customer = job.customer.clone();
        let spec = job.description.spec.clone();
        let Some(step) = job.step_mut(id) else {
            return;
        };
        let ticket = step
            .advice
            .tickets
            .get(worker_id)
            .map(|ticket| ticket.token.clone());
        let Some(task) = step.tasks.get_mut(id.index as usize) else {
            return;
        };
        let expires_clock_ms = worker.lease.clock_ms(now).unwrap_or(0) + expiry_ms;
        let latest_ms = worker.lease.latest_end_ms(lease, proven_at);
        let expires_clock_ms = latest_ms.map_or(0, |latest_ms| latest_ms.min(expires_clock_ms));
        worker.lease.record_sent(expires_clock_ms);
        let resumed = !task.checkpoint.is_empty();
        task.attempt = attempt;
        task.state = job::TaskState::Placed {
            worker: worker_id.clone(),
            attempt,
        };
        let order = fleet::StartOrder {
            task: *id,
            attempt,
            spec,
            expires_clock_ms,
            checkpoint: task.checkpoint.clone(),
            ticket,
        };
        let run = worker::Run {
            room,
            customer,
            expires_clock_ms,
            confirmed_clock_ms: None,
            ordered_at: now,
            expected_end: now + expected,
            long_running,
            stop_ordered: None,
            idle_since: None,
            quarantined,
            speed: speed::RunSpeed::ordered(measured_ms, resumed),
        };
        worker.add_run((*id, attempt), run);
        self.actions.push(Action::Start {
            worker: worker_id.clone(),
            order,
        });
    }
}

/// Whether one more gang may hold reservations while runs end.
fn may_reserve(pass: &pass::Pass) -> bool {
    let max_reserving = (pass.usable.len() / WORKERS_PER_RESERVING_GANG).max(MIN_RESERVING_GANGS);
    pass.reserving_gangs < max_reserving
}
