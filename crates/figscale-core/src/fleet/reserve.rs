//! Reservations of workers for gangs that need many of them at once.
//!
//! On a full fleet a wide gang never fits by waiting, since smaller work takes
//! whatever becomes free at once. So the slots that become free first on the
//! workers that may run the gang are computed from the expected ends of current
//! runs, until there are enough. Where workers differ in speed, those slots are
//! taken on which the gang ends first. Their workers are reserved: other work may use
//! them only if it ends before the gang is expected to start. Tickets are
//! queried shortly before that time.
//!
//! A slot can be used only with a ticket for its worker, so a worker with a
//! ticket, or with one in flight, is preferred to one that has yet to be
//! queried. Without this preference the chosen workers change with each run
//! that ends, the fetched tickets belong to the previous choice, and a gang
//! keeps sending queries although there is room.

use std::cmp;
use std::time;

use figscale_types::fleet;

use super::advice;
use super::job;
use super::pass;
use super::predicted;
use super::scheduler;
use super::worker;

/// A run that exceeds its estimate is expected to end after this time, or after
/// as long again as it is already over, whichever is longer. Without the latter
/// a gang waiting for a run that never ends would seem about to start forever,
/// and hold its reservation all that time.
const MIN_OVERRUN: time::Duration = time::Duration::from_millis(300);

/// The computed workers for a gang. Which workers are in fact reserved in a
/// pass is recorded in [`pass::Pass`].
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    /// In the order in which they become free.
    pub(crate) workers: Vec<fleet::WorkerId>,
    /// When there should be room and tickets for all members.
    pub(crate) ready_at: time::Instant,
    /// Whether the workers are reserved in this pass: other work is kept off
    /// them, so tickets for them can be used.
    pub(crate) active: bool,
}

/// When a slot becomes free, how slow its worker is, and the worker; slots that are
/// sorted have the slower workers first.
type Slot<'a> = (
    time::Instant,
    cmp::Reverse<fleet::Slowdown>,
    &'a fleet::WorkerId,
);

impl scheduler::Scheduler {
    /// The slots for a gang that become free first; `None` if the workers known
    /// to be approved can never hold it. Slots on workers reserved for others
    /// count only if the gang would end before those start.
    pub(crate) fn reserve(
        &self,
        task: &fleet::TaskId,
        description: &fleet::StepDescription,
        pass: &pass::Pass,
    ) -> Option<Reservation> {
        let reserved = self.reserve_on(task, description, |_| true, pass);
        reserved.map(|(reservation, _)| reservation)
    }

    /// Like [`Self::reserve`] on the workers that `selects` selects, with the slowdown
    /// of the slowest.
    pub(crate) fn reserve_on(
        &self,
        task: &fleet::TaskId,
        description: &fleet::StepDescription,
        selects: impl Fn(&worker::Worker) -> bool,
        pass: &pass::Pass,
    ) -> Option<(Reservation, fleet::Slowdown)> {
        let now = pass.now;
        let job = self.jobs.get(&task.job)?;
        let step = job.step(task)?;
        let advised = job.queue.advice.is_some();
        let tickets = TicketTimes::of(job, step, now);
        let prediction = self.prediction(job, task, description);
        let mut slots: Vec<Slot<'_>> = Vec::new();
        for (id, worker) in self.approved_workers(step, advised, pass) {
            let usable = selects(worker) && self.is_usable(worker, now);
            if usable && worker.suits(&job.queue, description) {
                let ticket_at = tickets.ready_at(id);
                let reserved_until = pass.reserved_for_others_until(task, id);
                let times = slot_times(worker, description, now).into_iter();
                let times = times.map(|time| time.max(ticket_at));
                let slowdown = worker.slowdown;
                let length = prediction.length_on(slowdown);
                let open =
                    times.filter(|at| reserved_until.is_none_or(|until| *at + length <= until));
                slots.extend(open.map(|time| (time, cmp::Reverse(slowdown), id)));
            }
        }
        slots.sort();
        let known = slots.iter().map(|(at, slowdown, _)| (*at, slowdown.0));
        let slowest = predicted::earliest_ending(known, description.count, &prediction)?;
        let fast = slots
            .iter()
            .filter(|(_, slowdown, _)| slowdown.0 <= slowest);
        let mut workers: Vec<fleet::WorkerId> = Vec::new();
        let mut ready_at = now;
        for (at, _, id) in fast.take(description.count as usize) {
            if !workers.contains(id) {
                workers.push((*id).clone());
            }
            ready_at = *at;
        }
        let reservation = Reservation {
            workers,
            ready_at,
            active: false,
        };
        Some((reservation, slowest))
    }

    /// Number of members that the approved workers could hold, by the number that
    /// `slots` gives for each. Workers reserved for others are left out.
    pub(crate) fn approved_slots(
        &self,
        task: &fleet::TaskId,
        slots: impl Fn(&worker::Worker) -> u64,
        pass: &pass::Pass,
    ) -> u64 {
        let Some(job) = self.jobs.get(&task.job) else {
            return 0;
        };
        let Some(step) = job.step(task) else {
            return 0;
        };
        let usable = |worker: &worker::Worker| self.is_usable(worker, pass.now);
        let open = |id: &fleet::WorkerId| pass.reserved_for_others_until(task, id).is_none();
        let workers = self.approved_workers(step, true, pass).into_iter();
        workers
            .filter(|(id, worker)| usable(worker) && open(id))
            .map(|(_, worker)| slots(worker))
            .sum()
    }

    /// Whether all usable workers together could hold a gang when empty,
    /// assuming that those not yet queried are approved.
    pub(crate) fn could_fit(
        &self,
        task: &fleet::TaskId,
        description: &fleet::StepDescription,
        pass: &pass::Pass,
    ) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        let Some(step) = job.step(task) else {
            return false;
        };
        let usable = pass.usable.iter();
        let workers = usable.filter_map(|position| self.workers.get_index(*position));
        let suitable = workers.filter(|(id, worker)| {
            let bad = step.advice.verdicts.get(*id) == Some(&false);
            !bad && worker.suits(&job.queue, description)
        });
        let mut missing = u64::from(description.count);
        let mut slots = suitable.map(|(_, worker)| empty_slots(worker, description));
        slots.any(|slots| {
            pass.count_scans(1);
            missing = missing.saturating_sub(slots);
            missing == 0
        })
    }

    /// Workers known to be approved for a step; all workers where the queue
    /// needs no advice.
    fn approved_workers(
        &self,
        step: &job::Step,
        advised: bool,
        pass: &pass::Pass,
    ) -> Vec<(&fleet::WorkerId, &worker::Worker)> {
        if !advised {
            pass.count_scans(self.workers.len());
            return self.workers.iter().collect();
        }
        pass.count_scans(step.advice.verdicts.len());
        let approved = step
            .advice
            .verdicts
            .iter()
            .filter(|(_, approved)| **approved);
        approved
            .filter_map(|(id, _)| self.workers.get_key_value(id))
            .collect()
    }
}

/// When a step could have tickets for workers.
struct TicketTimes<'a> {
    advice: &'a job::StepAdvice,
    now: time::Instant,
    /// For a worker that is in the next query.
    next_query_at: time::Instant,
}

impl<'a> TicketTimes<'a> {
    fn of(job: &job::Job, step: &'a job::Step, now: time::Instant) -> Self {
        let in_flight = step.advice.pending_query.as_ref();
        let free_at = in_flight.map_or(now, |in_flight| in_flight.response_due_at.max(now));
        let policy = job.queue.advice.as_ref();
        let response = policy.map(|policy| advice::duration(policy, 1));
        Self {
            advice: &step.advice,
            now,
            next_query_at: free_at + response.unwrap_or_default(),
        }
    }

    fn ready_at(&self, worker: &fleet::WorkerId) -> time::Instant {
        let ticket = self.advice.tickets.get(worker);
        if ticket.is_some_and(|ticket| ticket.valid_until > self.now) {
            return self.now;
        }
        let in_flight = self.advice.pending_query.as_ref();
        match in_flight.filter(|in_flight| in_flight.workers.contains(worker)) {
            Some(in_flight) => in_flight.response_due_at.max(self.now),
            None => self.next_query_at,
        }
    }
}

/// Number of members that a worker holds once only long-running tasks run there.
pub(crate) fn empty_slots(worker: &worker::Worker, description: &fleet::StepDescription) -> u64 {
    worker.free_beside_long_running().count_fitting(
        &job::occupied(description),
        max_members_per_worker(description),
    )
}

/// Maximum number of members on one worker.
pub(crate) fn max_members_per_worker(description: &fleet::StepDescription) -> u64 {
    let all = description.count;
    u64::from(
        description
            .max_per_worker
            .map_or(all, |max_members| max_members.min(all)),
    )
}

pub(crate) fn probable_end(run: &worker::Run, now: time::Instant) -> time::Instant {
    let over = now.saturating_duration_since(run.expected_end);
    run.expected_end.max(now + over.max(MIN_OVERRUN))
}

/// When slots for a step become free on a worker, as its runs end.
fn slot_times(
    worker: &worker::Worker,
    description: &fleet::StepDescription,
    now: time::Instant,
) -> Vec<time::Instant> {
    let need = job::occupied(description);
    let max_members = max_members_per_worker(description);
    let mut ends: Vec<(time::Instant, fleet::Room)> = worker
        .runs
        .values()
        .filter(|run| !run.runs_until_stopped())
        .map(|run| (probable_end(run, now), run.room))
        .collect();
    ends.sort_by_key(|(end, _)| *end);
    let mut used = worker.used();
    let slots =
        |used: &fleet::Room| worker.free_beside(used).count_fitting(&need, max_members) as usize;
    let mut times = vec![now; slots(&used)];
    for (end, room) in ends {
        used = used.minus(&room);
        times.resize(slots(&used), end);
    }
    times
}
