//! Admission control: refuses jobs that would end so late that accepting them
//! costs other jobs more than their own callers gain.
//!
//! A job that misses its latency objective is worth a fifth of its value to its
//! caller, and nothing after three times the objective. So a job is refused at
//! once, with a time after which to retry, if the work queued ahead of it would
//! make it end after twice its objective. The work ahead is the remaining work
//! of all open jobs of the same or a higher priority, divided by the resources
//! of the usable workers. This overestimates the delay, since work that can no
//! longer meet its objective yields to work that can.
//!
//! Where customers have weights, the work of each other customer counts no
//! further than its weight admits, so that the excess of one customer is refused
//! and the others are not affected. Callers that were refused earlier come first.
//! A job that fits in room that no earlier work waits for is never refused.
//!
//! Where queries to the advisory service are scarcer than room, a job is refused as well
//! if the queries ahead of it last too long; see [`advice_backlog`].
//!
//! Work is taken by its estimates, like the objectives that it is compared with: both
//! are off together.
//!
//! Under load this is computed on each of hundreds of submissions a second, so
//! it uses sums that are up to [`MAX_WORK_AGE`] old, with what was accepted since.

use std::time;

use figscale_types::fleet;

use super::advice_backlog;
use super::customers;
use super::demand;
use super::free_rooms;
use super::job;
use super::maps;
use super::pass;
use super::scheduler;
use super::turns;

/// Maximum age of the sums of open work. Within it no more work ends than the
/// fleet does in that time, so waits are overestimated by as much.
const MAX_WORK_AGE: time::Duration = time::Duration::from_millis(25);
/// Maximum age of the sum of capacity. Workers come and go less often than jobs, and
/// there are thousands of them on a large site.
const MAX_CAPACITY_AGE: time::Duration = time::Duration::from_millis(100);
/// How many workers are examined at most to find out whether a job fits now. Beyond
/// that it counts as one that does not, which bounds the cost of a refusal.
const MAX_SCANS: usize = 20_000;
/// A customer is refused for its own excess when it has more than this percentage
/// of its share of the work.
const OVER_SHARE_PERCENT: u32 = 125;

/// Time after which a job may be submitted again for which there was no memory. The jobs
/// that take so much end late.
const JOB_MEMORY_RETRY_AFTER: time::Duration = time::Duration::from_secs(5);

/// Why a job was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalCause {
    /// The open work ahead of it lasts too long.
    Backlog,
    /// The same, and its customer has more than its share of it.
    OverShare,
    /// With the work of callers that were refused before it.
    EarlierRefusals,
    /// The queries to the advisory service ahead of it last too long.
    AdviceBacklog,
    /// There is no memory for it beside the open jobs.
    JobMemory,
}

impl RefusalCause {
    /// Label in metrics and log lines.
    pub fn label(self) -> &'static str {
        match self {
            Self::Backlog => "backlog",
            Self::OverShare => "over_share",
            Self::EarlierRefusals => "earlier_refusals",
            Self::AdviceBacklog => "advice_backlog",
            Self::JobMemory => "job_memory",
        }
    }
}

/// Outcome of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is accepted once its record is written.
    Accepted,
    /// It was accepted earlier.
    Known,
    /// Its id belongs to a job of another customer.
    IdTaken,
    /// Its id was cancelled before it was submitted. It is not accepted and never runs.
    Cancelled,
    /// One of its gangs needs more resources than its customer may ever use.
    TooLarge,
    /// It is not accepted and never runs.
    Refused {
        /// Time after which a retry may be accepted, in whole seconds.
        retry_after: time::Duration,
        /// Estimated duration of the work ahead of it.
        wait: time::Duration,
        /// Longest wait with which it would have been accepted.
        bound: time::Duration,
        /// Why it was refused.
        cause: RefusalCause,
        /// Its customer's part of the work ahead, if customers have weights.
        share: Option<demand::CustomerShare>,
    },
}

/// Open work at some time.
#[derive(Clone, Debug)]
struct WorkView {
    at: time::Instant,
    demand: demand::Demand,
    /// Computed for the first job that would be refused otherwise.
    maxima: Option<pass::FreeCapacity>,
    /// Computed for the first such job for whose tasks a worker has room.
    room: Option<RoomView>,
    /// Computed for the first job that comes while the channels are busy.
    advice: Option<advice_backlog::AdviceBacklog>,
}

/// Free room and the steps that wait for it.
#[derive(Clone, Debug)]
struct RoomView {
    rooms: free_rooms::FreeRooms,
    /// In the order of placement.
    waiting: Vec<pass::Candidate>,
    headroom: customers::Headroom,
    excesses: customers::Excesses,
    /// The job that took room last and is not yet recorded as accepted.
    placed: Option<fleet::JobId>,
}

impl RoomView {
    /// Adds the first steps of an accepted job, unless it was accepted because they
    /// fit; then their room is taken already.
    fn add_waiting(&mut self, job: &job::Job, now: time::Instant) {
        if self.placed.take() == Some(job.id) {
            return;
        }
        let Some(round) = job.rounds.first() else {
            return;
        };
        let customer = job.customer.as_ref();
        let excess = customers::excess_of(customer, &self.excesses);
        let rank = pass::rank(job, round, excess, now);
        let steps = job.description.steps.iter().enumerate();
        for (number, _) in steps.filter(|(_, step)| step.after.is_empty()) {
            let task = pass::first_task(job.id, 0, number);
            self.waiting.push(pass::Candidate::new(task, rank));
        }
    }
}

/// The wait of a new job.
#[derive(Clone, Copy, Debug)]
struct WaitEstimate {
    /// The job's own work.
    work: demand::Work,
    wait: time::Duration,
    /// Without the work of refused callers that may return.
    wait_for_open: time::Duration,
    share: Option<demand::CustomerShare>,
}

/// What admission remembers between submissions.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdmissionState {
    capacity: Option<(time::Instant, demand::Capacity)>,
    work: Option<WorkView>,
    /// Workers that the last placement pass reserved.
    reserved: maps::WorkerMap<pass::WorkerReservation>,
    pub(crate) turns: turns::TurnLedger,
}

impl AdmissionState {
    /// Takes over the reservations of a placement pass.
    pub(crate) fn set_reserved(&mut self, reserved: maps::WorkerMap<pass::WorkerReservation>) {
        self.reserved = reserved;
    }

    fn is_current(at: time::Instant, max_age: time::Duration, now: time::Instant) -> bool {
        now.saturating_duration_since(at) < max_age
    }
}

impl scheduler::Scheduler {
    /// Returns the refusal of a job that would end too late, or for which there is no
    /// memory; `None` if it is to be accepted. Jobs with occurrences or
    /// long-running steps never end too late.
    pub(crate) fn refusal(&mut self, job: &job::Job, now: time::Instant) -> Option<Admission> {
        self.refresh_admission(now);
        if self.exceeds_memory(job) {
            return Some(Admission::Refused {
                retry_after: JOB_MEMORY_RETRY_AFTER,
                wait: time::Duration::ZERO,
                bound: time::Duration::ZERO,
                cause: RefusalCause::JobMemory,
                share: None,
            });
        }
        if job.description.occurrences > 0
            || job.description.steps.iter().any(|step| step.long_running)
        {
            return None;
        }
        self.admission.turns.submitted(job.id, now);
        let estimate = self.wait_estimate(job, now);
        let bound = self.max_queueing_time(job, now);
        let advice_wait = self.advice_wait_beyond(bound, job, now);
        if let Some(wait) = advice_wait.filter(|wait| *wait > estimate.wait_for_open) {
            let bound = bound.min(advice_backlog::MAX_ADVICE_WAIT);
            let turns = &mut self.admission.turns;
            return Some(Admission::Refused {
                retry_after: turns.refuse(job, estimate.work, wait - bound, now),
                wait,
                bound,
                cause: RefusalCause::AdviceBacklog,
                share: estimate.share,
            });
        }
        if estimate.wait <= bound || self.fits_now(job, now) {
            return None;
        }
        let turn_in = estimate.wait - bound;
        let turns = &mut self.admission.turns;
        let is_over = |share: demand::CustomerShare| {
            u64::from(share.used_percent) * 100
                > u64::from(share.due_percent) * u64::from(OVER_SHARE_PERCENT)
        };
        let cause = match estimate.share {
            Some(share) if is_over(share) => RefusalCause::OverShare,
            _ if estimate.wait_for_open <= bound => RefusalCause::EarlierRefusals,
            _ => RefusalCause::Backlog,
        };
        Some(Admission::Refused {
            retry_after: turns.refuse(job, estimate.work, turn_in, now),
            wait: estimate.wait,
            bound,
            cause,
            share: estimate.share,
        })
    }

    fn exceeds_memory(&self, job: &job::Job) -> bool {
        let view = self.admission.work.as_ref();
        let open_bytes = view.map_or(0, |view| view.demand.memory_bytes());
        open_bytes.saturating_add(job.memory_bytes()) > self.config.job_memory_bytes
    }

    /// Time that the queries ahead of a job last, if that is longer than it may wait.
    fn advice_wait_beyond(
        &mut self,
        bound: time::Duration,
        job: &job::Job,
        now: time::Instant,
    ) -> Option<time::Duration> {
        let applies = job.queue.advice.is_some() && self.channels.are_busy(now);
        if !applies || self.channels.service_is_unavailable() {
            return None;
        }
        let mut view = self.admission.work.take()?;
        let backlog = *view.advice.get_or_insert_with(|| self.advice_backlog(now));
        self.admission.work = Some(view);
        let wait = self.advice_wait(job, &backlog, now);
        (wait > bound.min(advice_backlog::MAX_ADVICE_WAIT)).then_some(wait)
    }

    /// Takes an accepted job into the sums, and frees its turn.
    pub(crate) fn record_admitted(&mut self, job: &job::Job, now: time::Instant) {
        self.admission.turns.remove(job.id);
        let work = demand::Work::remaining(job);
        if let Some(view) = &mut self.admission.work {
            view.demand.add(job, &work);
            if let Some(room) = &mut view.room {
                room.add_waiting(job, now);
            }
            if let Some(backlog) = &mut view.advice {
                backlog.add_first_queries(job);
            }
        }
    }

    /// Records that a submission was refused because of the store, and its caller told
    /// to retry at `retry_at`. The turns of earlier refusals stay until then.
    pub fn refused_by_store(&mut self, retry_at: time::Instant) {
        self.admission.turns.suspend(retry_at);
    }

    /// Number of refused callers that may return.
    pub fn turns(&self) -> usize {
        self.admission.turns.len()
    }

    /// Longest time that a job may wait for other work and still be accepted.
    fn max_queueing_time(&self, job: &job::Job, now: time::Instant) -> time::Duration {
        let objective = job.objective_at.saturating_duration_since(job.submitted);
        let longest = objective * self.config.max_percent_of_objective / 100;
        let end_by = job.submitted + longest;
        let rounds = job.rounds.iter();
        let remaining = rounds.map(|round| round.remaining_ms(&job.description));
        let own = time::Duration::from_millis(remaining.max().unwrap_or(0));
        end_by.saturating_duration_since(now).saturating_sub(own)
    }

    /// Computes the sums anew that are too old.
    fn refresh_admission(&mut self, now: time::Instant) {
        let is_current = AdmissionState::is_current;
        let capacity = self.admission.capacity.as_ref();
        if !capacity.is_some_and(|(at, _)| is_current(*at, MAX_CAPACITY_AGE, now)) {
            self.admission.capacity = Some((now, self.capacity(now)));
        }
        let work = self.admission.work.as_ref();
        if !work.is_some_and(|view| is_current(view.at, MAX_WORK_AGE, now)) {
            self.admission.turns.expire(now);
            self.admission.work = Some(WorkView {
                at: now,
                demand: self.demand(),
                maxima: None,
                room: None,
                advice: None,
            });
        }
    }

    fn capacity(&self, now: time::Instant) -> demand::Capacity {
        let mut capacity = demand::Capacity::default();
        for worker in self.workers.values() {
            if worker.unlisted_at.is_none() && !worker.entry.draining {
                let usable = worker.offers_capacity(now);
                capacity.add(&worker.entry, worker.slowdown, usable);
            }
        }
        capacity
    }

    fn demand(&self) -> demand::Demand {
        let mut demand = demand::Demand::default();
        for job in self.open.iter().filter_map(|id| self.jobs.get(id)) {
            demand.add(job, &demand::Work::remaining(job));
        }
        demand
    }

    /// Time that the work queued ahead of a job takes on all usable workers.
    fn wait_estimate(&self, job: &job::Job, now: time::Instant) -> WaitEstimate {
        let work = demand::Work::remaining(job);
        let mut estimate = WaitEstimate {
            work,
            wait: time::Duration::ZERO,
            wait_for_open: time::Duration::ZERO,
            share: None,
        };
        let (Some((_, capacity)), Some(view)) = (&self.admission.capacity, &self.admission.work)
        else {
            return estimate;
        };
        let capacity = capacity.of_service(&job.queue.service);
        let customer = job.customer.as_ref();
        let weight = |customer: &fleet::CustomerName| self.weight_millis(customer);
        let mut ahead = view.demand.ahead_of(&job.queue, &work);
        let wait = |ahead: &demand::WorkByCustomer<'_>| {
            let before = ahead.before(customer, &work, &capacity, weight);
            before.time_on(&capacity)
        };
        estimate.wait_for_open = wait(&ahead);
        for (customer, of_turn) in self.admission.turns.ahead_of(job, now) {
            ahead.add(customer, &of_turn.competing_with(&work));
        }
        estimate.wait = wait(&ahead);
        estimate.share = customer.and_then(|name| ahead.share(name, &capacity, weight));
        estimate
    }

    /// Whether the first step of a job fits in free room that no step with an
    /// earlier place could use. Takes the room if so.
    fn fits_now(&mut self, job: &job::Job, now: time::Instant) -> bool {
        let Some(mut view) = self.admission.work.take() else {
            return false;
        };
        let fits = self.fits_in(&mut view, job, now);
        self.admission.work = Some(view);
        fits
    }

    fn fits_in(&self, view: &mut WorkView, job: &job::Job, now: time::Instant) -> bool {
        let maxima = view.maxima.get_or_insert_with(|| self.free_maxima(now));
        let first_steps = || {
            let steps = (0..).zip(&job.description.steps);
            steps.filter(|(_, step)| step.after.is_empty())
        };
        let may_fit = |(_, step): (usize, &fleet::StepDescription)| {
            maxima.holds(&job.queue.service, &job::occupied(step))
        };
        if !first_steps().all(may_fit) {
            return false;
        }
        let room = view.room.get_or_insert_with(|| self.room_view(now));
        let Some(round) = job.rounds.first() else {
            return false;
        };
        let rank = pass::rank(
            job,
            round,
            customers::excess_of(job.customer.as_ref(), &room.excesses),
            now,
        );
        let mut rooms = room.rooms.clone();
        rooms.scans = 0;
        for candidate in room.waiting.iter().filter(|step| step.is_before(rank)) {
            self.take_for(&candidate.task, &room.headroom, &mut rooms, now);
            if rooms.scans > MAX_SCANS {
                return false;
            }
        }
        let customer = job.customer.as_ref();
        let fits = first_steps().all(|(number, step)| {
            let count = u64::from(step.count);
            let allowed = room
                .headroom
                .startable(customer, &job::occupied(step), count);
            allowed >= count && self.take_tasks(job, number, count, &mut rooms, now)
        });
        if fits {
            // The room that earlier steps would take stays theirs. What the job takes
            // is beside it, so taking it first changes nothing for them.
            for (number, step) in first_steps() {
                self.take_tasks(job, number, u64::from(step.count), &mut room.rooms, now);
            }
            room.placed = Some(job.id);
        }
        fits
    }

    fn free_maxima(&self, now: time::Instant) -> pass::FreeCapacity {
        let mut maxima = pass::FreeCapacity::default();
        let usable = self.workers.values();
        for worker in usable.filter(|worker| self.is_usable(worker, now)) {
            maxima.add(&worker.entry.service, worker.free());
        }
        maxima
    }

    fn room_view(&self, now: time::Instant) -> RoomView {
        let workers = self.workers.iter();
        let usable = workers.filter(|(_, worker)| self.is_usable(worker, now));
        let rooms = usable.map(|(id, worker)| {
            let reservation = self.admission.reserved.get(id);
            let room = free_rooms::FreeRoom {
                free: worker.free(),
                reserved_until: reservation.map(|reservation| reservation.until),
            };
            (id.clone(), room)
        });
        let rooms = rooms.filter(|(_, room)| room.free != fleet::Room::default());
        let headroom = self.headroom();
        let mut waiting = self.candidates(now);
        waiting.retain(|candidate| self.startable_tasks(&candidate.task, &headroom) > 0);
        RoomView {
            rooms: free_rooms::FreeRooms::new(rooms),
            waiting,
            excesses: self.customer_excesses(),
            headroom,
            placed: None,
        }
    }

    /// Takes the room that a waiting step would take.
    fn take_for(
        &self,
        task: &fleet::TaskId,
        headroom: &customers::Headroom,
        rooms: &mut free_rooms::FreeRooms,
        now: time::Instant,
    ) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let Some(step) = job.step(task) else {
            return;
        };
        let ready = step
            .tasks
            .iter()
            .filter(|task| task.is_waiting() && !task.suspect);
        let startable = self.startable_tasks(task, headroom);
        let count = startable.min(ready.count() as u64);
        self.take_tasks(job, task.step as usize, count, rooms, now);
    }

    /// Takes room for tasks of a step; returns whether there was enough.
    fn take_tasks(
        &self,
        job: &job::Job,
        number: usize,
        count: u64,
        rooms: &mut free_rooms::FreeRooms,
        now: time::Instant,
    ) -> bool {
        let Some(step) = job.description.steps.get(number) else {
            return false;
        };
        let verdicts = job
            .rounds
            .first()
            .and_then(|round| round.steps.get(number))
            .map(|step| &step.advice.verdicts);
        let advised = job.queue.advice.is_some();
        let unknown = match self.channels.service_is_unavailable() {
            true => 0.0,
            false => self.channels.approved_fraction(&job.queue.name),
        };
        let approved = |id: &fleet::WorkerId| {
            let worker = self.workers.get(id);
            let suits = worker.is_some_and(|worker| worker.suits(&job.queue, step));
            let verdict = verdicts.and_then(|verdicts| verdicts.get(id));
            match verdict {
                _ if !suits => 0.0,
                _ if !advised => 1.0,
                Some(true) => 1.0,
                Some(false) => 0.0,
                None => unknown,
            }
        };
        let length = time::Duration::from_millis(step.estimate_ms);
        let tasks = free_rooms::TasksInNeed {
            step,
            count,
            ends: now + self.run_times(&job.queue.name).typical(length),
        };
        rooms.take(&tasks, approved)
    }
}
