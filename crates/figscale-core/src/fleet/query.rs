//! Choice of the workers that a query to the advisory service names.
//!
//! A step of single tasks queries for the workers that may run most of its tasks
//! beside what runs there, and never for one that runs as many of them as it may. A
//! gang first queries which workers are approved for it at all, and then for
//! tickets of the workers reserved for it.
//!
//! Of the workers with room those come first on which the step is predicted to end
//! in time, by the order of [`predicted::SpeedOrder`]. So work with little slack gets
//! tickets for fast workers, and work with more leaves these to it.

use std::cmp;
use std::time;

use figscale_types::fleet;

use super::advice;
use super::job;
use super::maps;
use super::pass;
use super::predicted;
use super::reserve;
use super::scheduler;
use super::worker;

/// Maximum number of workers in one query.
pub(crate) const MAX_QUERIED: usize = 30;
/// Maximum number of workers among which a gang chooses those of a query. In a large
/// fleet with many queries in flight it would otherwise examine most workers to find
/// some that are in none.
const MAX_RANKED: usize = 10 * MAX_QUERIED;
/// Maximum number of workers in one query that the service accepts.
const MAX_ACCEPTED: usize = 100;
/// Maximum number of workers in a query for a gang's tickets. If the tickets were
/// spread over several queries, the first would expire before the last arrive, and
/// a gang on 61 workers would never start.
const MAX_QUERIED_FOR_TICKETS: usize = MAX_ACCEPTED;
/// Minimum number of workers in one query, if there are that many.
const MIN_QUERIED: usize = 4;
/// A query names more workers than needed while that adds no more than this
/// fraction to its duration. Often the free resources are taken by the time the
/// response arrives; queries about few workers then had to be repeated, up to
/// 400 times a second on a busy day.
const CHEAP_FRACTION: f64 = 1.0 / 3.0;
/// Expected number of approved slots on the workers of a query, for each slot
/// needed.
const QUERY_FACTOR: f64 = 1.6;
/// Slots wanted on approved workers for each member of a gang, so that it can
/// choose those that become free first.
const GANG_CHOICE_FACTOR: f64 = 1.5;
/// Used instead of [`GANG_CHOICE_FACTOR`] for a gang that would wait longer than
/// [`MAX_GANG_WAIT`] for workers that are known to be approved.
const GANG_WIDE_CHOICE_FACTOR: f64 = 4.0;
/// Up to this time, it is better for a gang to wait for room than to query more
/// workers.
const MAX_GANG_WAIT: time::Duration = time::Duration::from_millis(600);
/// Tickets for a gang are queried this long before they are needed.
const TICKET_LEAD_TIME: time::Duration = time::Duration::from_millis(100);

/// How wide a choice of workers is queried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Breadth {
    /// As many as a step needs to start.
    Needed,
    /// More, on advice channels that no other query needs.
    Wide,
}

/// A query that is not yet assigned to an advice channel.
pub(crate) struct UnassignedQuery {
    pub(crate) workers: Vec<fleet::WorkerId>,
    /// Set for a query for a gang's tickets: these workers stay reserved until
    /// the response arrives.
    pub(crate) reservation: Option<reserve::Reservation>,
    pub(crate) expected: time::Duration,
}

/// Minimum and maximum number of workers in a query.
#[derive(Clone, Copy, Debug)]
struct QueryLimits {
    least: usize,
    most: usize,
}

impl QueryLimits {
    /// The limits after as many responses in a row that approved no worker. Each
    /// doubles the minimum: of the workers that a step has not queried fewer are
    /// approved than of all, if those that run its tasks are left out.
    fn after(fruitless: u32, queue: &fleet::Queue) -> Self {
        let cheap = queue.advice.as_ref().map_or(MIN_QUERIED, cheap_workers);
        let least = cheap.saturating_mul(2_usize.saturating_pow(fruitless));
        let least = least.min(MAX_ACCEPTED);
        Self {
            least,
            most: least.max(MAX_QUERIED),
        }
    }
}

impl scheduler::Scheduler {
    /// Whether a gang with reserved workers could start as soon as it has
    /// tickets.
    fn needs_only_tickets(&self, candidate: &pass::Candidate, now: time::Instant) -> bool {
        let reservation = candidate.reservation.as_ref();
        let reservation = reservation.filter(|reservation| reservation.active);
        reservation.is_some_and(|reservation| self.starts_soon(&candidate.task, reservation, now))
    }

    /// Whether there is room for a gang by the time that its tickets could
    /// arrive.
    pub(crate) fn starts_soon(
        &self,
        task: &fleet::TaskId,
        reservation: &reserve::Reservation,
        now: time::Instant,
    ) -> bool {
        let policy = self.jobs.get(&task.job).and_then(|job| job.queue.advice);
        let response = policy.map(|policy| advice::duration(&policy, reservation.workers.len()));
        reservation.ready_at <= now + response.unwrap_or_default() + TICKET_LEAD_TIME
    }

    /// The query that a step needs now, if any.
    pub(crate) fn next_query(
        &self,
        candidate: &pass::Candidate,
        breadth: Breadth,
        pass: &pass::Pass,
    ) -> Option<UnassignedQuery> {
        let now = pass.now;
        let job = self.jobs.get(&candidate.task.job)?;
        let policy = job.queue.advice?;
        let step = job.step(&candidate.task)?;
        if step.advice.not_before.is_some_and(|at| now < at) {
            return None;
        }
        let description = job.step_description(&candidate.task)?;
        let mut reservation = None;
        let workers = match description.gang {
            true => {
                let tickets = match self.needs_only_tickets(candidate, now) {
                    true => tickets_to_query(candidate, step, &policy, now),
                    false => Vec::new(),
                };
                match tickets.is_empty() {
                    true => self.choice_to_query(candidate, job, description, breadth, pass),
                    false => {
                        reservation = candidate.reservation.clone();
                        tickets
                    }
                }
            }
            false => self.workers_to_query(candidate, job, description, pass),
        };
        if workers.is_empty() {
            return None;
        }
        let expected = advice::duration(&policy, workers.len());
        Some(UnassignedQuery {
            workers,
            reservation,
            expected,
        })
    }

    /// The workers that may run most further tasks of a step, as many as make tickets
    /// for all waiting tasks likely.
    fn workers_to_query(
        &self,
        candidate: &pass::Candidate,
        job: &job::Job,
        description: &fleet::StepDescription,
        pass: &pass::Pass,
    ) -> Vec<fleet::WorkerId> {
        let Some(step) = job.step(&candidate.task) else {
            return Vec::new();
        };
        let max_members = reserve::max_members_per_worker(description);
        let limits = QueryLimits::after(step.advice.fruitless, &job.queue);
        let order = self.order_after_query(candidate, job, description, limits, pass);
        let slots = |worker: &worker::Worker| worker.free_slots(&candidate.task, description);
        let is_full =
            |worker: &worker::Worker| worker.tasks_left(&candidate.task, description) == 0;
        let mut workers: Vec<(u64, bool, predicted::Preference, &fleet::WorkerId)> = Vec::new();
        let (mut ample, mut full) = (0, 0);
        for (id, worker) in self.usable_by_speed(order, pass) {
            let slots = slots(worker);
            // Enough of those without room are known.
            if slots == 0 && (full >= limits.most || is_full(worker))
                || step.advice.verdicts.contains_key(id)
                || !is_queryable(id, worker, job, step, description, pass.now)
            {
                continue;
            }
            workers.push((slots, false, order.preference(worker.slowdown), id));
            ample += usize::from(slots >= max_members);
            full += usize::from(slots == 0);
            // None of the workers that follow would be preferred.
            if ample >= limits.most {
                break;
            }
        }
        for (id, worker) in self.approved_for_query(job, step, description, pass) {
            let slots = slots(worker);
            if slots > 0 || !is_full(worker) {
                workers.push((slots, true, order.preference(worker.slowdown), id));
            }
        }
        if workers.iter().all(|(slots, ..)| *slots == 0) {
            return Vec::new();
        }
        let wanted_slots = step.waiting() as f64 * QUERY_FACTOR;
        let approved_fraction = self.channels.approved_fraction(&job.queue.name);
        // With this many on each, the largest query gives as many as are wanted. A
        // preferred worker with fewer doesn't come before one that has them.
        let sufficient = wanted_slots / (limits.most as f64 * approved_fraction).max(1.0);
        // Among equals those listed first, so that steps share the workers that they
        // use and leave others whole for wide gangs.
        workers.sort_by_key(|(slots, approved, preference, _)| {
            let sufficient = *slots as f64 >= sufficient;
            let room = cmp::Reverse((*approved, sufficient));
            let no_room = *slots == 0;
            let by_speed = preference.by_speed;
            (
                no_room,
                preference.late,
                room,
                by_speed,
                cmp::Reverse(*slots),
            )
        });
        let workers = workers.into_iter();
        let workers = workers.map(|(slots, approved, _, id)| (slots, approved, id));
        self.take_enough(workers.collect(), wanted_slots, limits, &job.queue)
    }

    /// Workers to query for approval for a gang, as many as are likely to give it a
    /// choice among approved ones. Those with room come first, among them those on
    /// which it can end in time, and among these those that are in the fewest queries for other gangs: the first gang with tickets
    /// takes its workers, and those that queried the same ones have to query again.
    /// Among equals those with most free resources come first.
    fn choice_to_query(
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
        let first = candidate.may_query_early;
        let count = u64::from(description.count);
        let empty = |worker: &worker::Worker| reserve::empty_slots(worker, description);
        let free = |worker: &worker::Worker| worker.free_slots(&candidate.task, description);
        let ready_at = candidate
            .reservation
            .as_ref()
            .map(|reservation| reservation.ready_at);
        let waits_long = ready_at.is_none_or(|at| at > now + MAX_GANG_WAIT);
        let choice = match breadth == Breadth::Wide || first && waits_long {
            true => GANG_WIDE_CHOICE_FACTOR,
            false => GANG_CHOICE_FACTOR,
        };
        let may_fit_now = || self.may_fit_now(candidate, job, description, pass);
        let missing = |approved_slots: u64| count as f64 * choice - approved_slots as f64;
        let mut missing_slots = missing(self.approved_slots(&candidate.task, empty, pass));
        // What the known workers run may last, while others are idle.
        if missing_slots <= 0.0 && waits_long && may_fit_now() {
            missing_slots = missing(self.approved_slots(&candidate.task, free, pass));
        }
        let speculative = breadth == Breadth::Needed && !first;
        if missing_slots <= 0.0 || speculative && !may_fit_now() {
            return Vec::new();
        }
        let need = job::occupied(description);
        let limits = QueryLimits::after(0, &job.queue);
        let order = self.order_after_query(candidate, job, description, limits, pass);
        let ends = self.earliest_ends(candidate, job, description, pass);
        let unknown = self
            .most_free_by_speed(order, need.cpu_millis, pass)
            .filter(|(_, id, worker)| {
                let open = pass.is_open_until(&candidate.task, id, ends(worker));
                let known = step.advice.verdicts.contains_key(*id);
                open && !known && is_queryable(id, worker, job, step, description, now)
            });
        let queried = pass.queried_for_gangs(|| self.queried_for_gangs());
        let mut ranked = Vec::new();
        let mut best = 0;
        for (free_millis, id, worker) in unknown {
            let slots = reserve::empty_slots(worker, description);
            let free = worker.free();
            let fitting = free.count_fitting(&need, count);
            let others = queried.get(id).copied().unwrap_or(0);
            if slots > 0 {
                let preference = order.preference(worker.slowdown);
                let speed = (preference.late, others, preference.by_speed);
                let room = cmp::Reverse((fitting, free.cpu_millis, slots));
                ranked.push(((fitting == 0, speed, room), id));
            }
            // Those that follow are no better in speed, and of the same speed have
            // no more free and hold no more members.
            let most = (free_millis / need.cpu_millis.max(1)).min(count);
            best += usize::from(slots > 0 && fitting >= most && others == 0);
            if best >= MAX_QUERIED || ranked.len() >= MAX_RANKED {
                break;
            }
        }
        ranked.sort_by_key(|(rank, _)| *rank);
        let ranked = ranked.into_iter();
        let workers = ranked.map(|((.., cmp::Reverse((.., slots))), id)| (slots, false, id));
        self.take_enough(workers.collect(), missing_slots, limits, &job.queue)
    }

    /// Workers in the queries in flight for gangs, with the number of these queries.
    fn queried_for_gangs(&self) -> maps::WorkerMap<u32> {
        let channels = self.channels.by_member.values();
        let tasks = channels.filter_map(|channel| channel.in_flight);
        let pending = tasks.filter(|task| self.is_gang(task)).filter_map(|task| {
            let step = self.jobs.get(&task.job)?.step(&task)?;
            step.advice.pending_query.as_ref()
        });
        let mut queried = maps::WorkerMap::default();
        for id in pending.flat_map(|pending| &pending.workers) {
            *queried.entry(id.clone()).or_insert(0) += 1;
        }
        queried
    }

    /// Whether a gang would fit now on workers that are not reserved for
    /// others before it ends, if the usual fraction of those not yet queried is approved.
    pub(crate) fn may_fit_now(
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
        let max_members = reserve::max_members_per_worker(description);
        let approved_fraction = self.channels.approved_fraction(&job.queue.name);
        let with_room = self.most_free_workers(pass);
        let with_room = with_room.take_while(|(free_millis, ..)| *free_millis >= need.cpu_millis);
        let ends = self.earliest_ends(candidate, job, description, pass);
        let open = with_room.filter(|(_, id, worker)| {
            let ends = ends(worker);
            worker.suits(&job.queue, description) && pass.is_open_until(&candidate.task, id, ends)
        });
        let mut missing = f64::from(description.count);
        let mut expected = open.map(|(_, id, worker)| {
            let fraction = match step.advice.verdicts.get(id) {
                Some(true) => 1.0,
                Some(false) => 0.0,
                None => approved_fraction,
            };
            fraction * worker.free().count_fitting(&need, max_members) as f64
        });
        expected.any(|slots| {
            missing -= slots;
            missing <= 0.0
        })
    }

    /// Usable workers with the processors that they had free at some time in the
    /// pass, in thousandths of a core, those with most first. Callers stop when they
    /// have enough, so that a query doesn't examine the whole fleet.
    fn most_free_workers<'a>(
        &'a self,
        pass: &'a pass::Pass,
    ) -> impl Iterator<Item = (u64, &'a fleet::WorkerId, &'a worker::Worker)> {
        let indices = pass.most_free_first(|index| self.free_cpu_at(index)).iter();
        indices.filter_map(move |entry| self.usable_at(entry, pass))
    }

    /// When a step could end at the earliest on a worker if it has to query for
    /// tickets first.
    fn earliest_ends(
        &self,
        candidate: &pass::Candidate,
        job: &job::Job,
        description: &fleet::StepDescription,
        pass: &pass::Pass,
    ) -> impl Fn(&worker::Worker) -> time::Instant + use<> {
        let policy = job.queue.advice.as_ref();
        let response = policy.map(|policy| advice::duration(policy, 1));
        let start = pass.now + response.unwrap_or_default();
        let prediction = self.prediction(job, &candidate.task, description);
        move |worker| start + prediction.length_on(worker.slowdown)
    }

    /// Usable workers with room for `cpu_millis` before others, and among these those
    /// of the preferred speed first. Otherwise like [`Self::most_free_workers`].
    fn most_free_by_speed<'a>(
        &'a self,
        order: predicted::SpeedOrder,
        cpu_millis: u64,
        pass: &'a pass::Pass,
    ) -> impl Iterator<Item = (u64, &'a fleet::WorkerId, &'a worker::Worker)> {
        let free = |index| self.free_cpu_at(index);
        let groups = order.sorted(pass.most_free_by_speed(free, |index| self.slowdown_at(index)));
        let split = groups.into_iter().map(move |group| {
            let with_room = |(free_millis, _): &(u64, usize)| *free_millis >= cpu_millis;
            let split = group.members.partition_point(with_room);
            group.members.split_at(split)
        });
        let (with_room, without): (Vec<_>, Vec<_>) = split.unzip();
        let indices = with_room.into_iter().chain(without).flatten();
        indices.filter_map(move |entry| self.usable_at(entry, pass))
    }

    fn usable_at<'a>(
        &'a self,
        (free_millis, index): &(u64, usize),
        pass: &pass::Pass,
    ) -> Option<(u64, &'a fleet::WorkerId, &'a worker::Worker)> {
        pass.count_scans(1);
        let (id, worker) = self.workers.get_index(*index)?;
        let usable = self.is_usable(worker, pass.now);
        usable.then_some((*free_millis, id, worker))
    }

    fn free_cpu_at(&self, index: usize) -> u64 {
        let worker = self.workers.get_index(index);
        worker.map_or(0, |(_, worker)| worker.free().cpu_millis)
    }

    /// The order of workers by their speed for a step that starts after a query.
    fn order_after_query(
        &self,
        candidate: &pass::Candidate,
        job: &job::Job,
        description: &fleet::StepDescription,
        limits: QueryLimits,
        pass: &pass::Pass,
    ) -> predicted::SpeedOrder {
        let policy = job.queue.advice.as_ref();
        let response = policy.map(|policy| advice::duration(policy, limits.least));
        let start = pass.now + response.unwrap_or_default();
        self.prediction(job, &candidate.task, description)
            .order_at(start)
    }

    pub(crate) fn slowdown_at(&self, index: usize) -> fleet::Slowdown {
        let worker = self.workers.get_index(index);
        worker.map_or(fleet::Slowdown::ORDINARY, |(_, worker)| worker.slowdown)
    }

    /// Usable workers, those of the preferred speed first, and among equals in the
    /// order in which they are listed.
    fn usable_by_speed<'a>(
        &'a self,
        order: predicted::SpeedOrder,
        pass: &'a pass::Pass,
    ) -> impl Iterator<Item = (&'a fleet::WorkerId, &'a worker::Worker)> {
        let groups = pass.usable_by_speed(|index| self.slowdown_at(index));
        let sorted = order.sorted(groups).into_iter();
        let indices = sorted.flat_map(|group| &group.members);
        indices.filter_map(move |index| {
            pass.count_scans(1);
            let (id, worker) = self.workers.get_index(*index)?;
            self.is_usable(worker, pass.now).then_some((id, worker))
        })
    }

    /// Workers known to be approved for a step that could be queried again.
    fn approved_for_query<'a>(
        &'a self,
        job: &'a job::Job,
        step: &'a job::Step,
        description: &'a fleet::StepDescription,
        pass: &'a pass::Pass,
    ) -> impl Iterator<Item = (&'a fleet::WorkerId, &'a worker::Worker)> {
        let verdicts = step.advice.verdicts.iter();
        let approved = verdicts.filter(|(_, approved)| **approved);
        let known = approved.filter_map(|(id, _)| self.workers.get_key_value(id));
        known.filter(move |(id, worker)| {
            pass.count_scans(1);
            let usable = self.is_usable(worker, pass.now);
            usable && is_queryable(id, worker, job, step, description, pass.now)
        })
    }

    /// The first of the given workers, as many as make the wanted number of
    /// approved slots likely. A worker known to be approved counts fully, others
    /// by the fraction learned for the queue.
    fn take_enough(
        &self,
        workers: Vec<(u64, bool, &fleet::WorkerId)>,
        wanted_slots: f64,
        limits: QueryLimits,
        queue: &fleet::Queue,
    ) -> Vec<fleet::WorkerId> {
        let approved_fraction = self.channels.approved_fraction(&queue.name);
        let mut queried = Vec::new();
        let mut expected_slots = 0.0;
        for (slots, approved, id) in workers {
            let enough = expected_slots >= wanted_slots && queried.len() >= limits.least;
            if enough || queried.len() >= limits.most {
                break;
            }
            expected_slots += slots as f64 * if approved { 1.0 } else { approved_fraction };
            queried.push(id.clone());
        }
        queried
    }
}

/// Whether a worker may be approved for a step and holds no valid ticket for it.
fn is_queryable(
    id: &fleet::WorkerId,
    worker: &worker::Worker,
    job: &job::Job,
    step: &job::Step,
    description: &fleet::StepDescription,
    now: time::Instant,
) -> bool {
    let bad = step.advice.verdicts.get(id) == Some(&false);
    let ticket = step.advice.tickets.get(id);
    let holds = ticket.is_some_and(|ticket| ticket.valid_until > now);
    !bad && !holds && worker.suits(&job.queue, description)
}

/// Workers reserved for a gang without a ticket that is valid until the gang
/// can start.
fn tickets_to_query(
    candidate: &pass::Candidate,
    step: &job::Step,
    policy: &fleet::AdvicePolicy,
    now: time::Instant,
) -> Vec<fleet::WorkerId> {
    let Some(reservation) = &candidate.reservation else {
        return Vec::new();
    };
    let queried = reservation.workers.len().min(MAX_QUERIED_FOR_TICKETS);
    let response_at = now + advice::duration(policy, queried);
    let needed_until = reservation.ready_at.max(response_at);
    let covered = |id: &fleet::WorkerId| {
        let ticket = step.advice.tickets.get(id);
        ticket.is_some_and(|ticket| ticket.valid_until > needed_until)
    };
    let workers = reservation.workers.iter().filter(|id| !covered(id));
    workers.take(MAX_QUERIED_FOR_TICKETS).cloned().collect()
}

/// Number of workers that a query may name at little more than its base
/// duration.
pub(crate) fn cheap_workers(policy: &fleet::AdvicePolicy) -> usize {
    let workers = policy.base_ms * CHEAP_FRACTION / policy.per_worker_ms.max(f64::MIN_POSITIVE);
    (workers as usize).clamp(MIN_QUERIED, MAX_QUERIED)
}
