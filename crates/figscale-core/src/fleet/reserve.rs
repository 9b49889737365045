//! Room kept free for gangs that need many workers at once.
//!
//! A wide gang never finds room on a full fleet by waiting: whatever becomes
//! free is taken by smaller work at once. So the slots that become free first
//! are reckoned from the expected ends of what runs, over the workers that may
//! run the gang, until there are enough. The workers with these slots are kept:
//! other work may use them only if it is over by the time that the gang is
//! expected to start. Tickets are asked for shortly before that time.
//!
//! A slot is of use once there is a ticket for its worker, so a worker with a
//! ticket, or with one on its way, comes before one that would have to be asked
//! about. Without that the workers chosen change with each run that ends, the
//! tickets fetched are for the last choice and not for this one, and a gang asks
//! again and again beside free room.

use std::time;

use figscale_types::fleet;

use super::advice;
use super::job;
use super::pass;
use super::scheduler;
use super::worker;

/// A run that is over its estimate is taken to end after this time, or after as
/// long again as it is over. A gang that waits for one that goes on and on would
/// otherwise seem to start soon for good, and keep its workers all the while.
const OVERDUE: time::Duration = time::Duration::from_millis(300);

/// Workers for a gang, reckoned; `pass::Pass` knows which are kept.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    /// In the order in which they become free.
    pub(crate) workers: Vec<fleet::WorkerId>,
    /// When there should be room, and tickets, for all members.
    pub(crate) ready_at: time::Instant,
    /// The workers are kept, so other work keeps off them and tickets are of use.
    pub(crate) kept: bool,
}

impl scheduler::Scheduler {
    /// The slots of a gang that become free first; `None` if the workers known
    /// to be good never have enough. Slots on workers that are kept for others
    /// count if the gang is over by the time that those start.
    pub(crate) fn reserve(
        &self,
        task: &fleet::TaskId,
        description: &fleet::StepDescription,
        pass: &pass::Pass,
    ) -> Option<Reservation> {
        let now = pass.now;
        let length = time::Duration::from_millis(description.estimate_ms);
        let job = self.jobs.get(&task.job)?;
        let step = job.step(task)?;
        let advised = job.queue.advice.is_some();
        let tickets = Tickets::of(job, step, now);
        let mut slots: Vec<(time::Instant, &fleet::WorkerId)> = Vec::new();
        for (id, worker) in self.possible_workers(step, advised, pass) {
            let usable = self.is_usable(worker, now);
            if usable && worker.suits(&job.queue, description) {
                let ticket_at = tickets.ready_at(id);
                let kept_until = pass.kept_for_others_until(task, id);
                let times = slot_times(worker, description, now).into_iter();
                let times = times.map(|time| time.max(ticket_at));
                let open = times.filter(|at| kept_until.is_none_or(|until| *at + length <= until));
                slots.extend(open.map(|time| (time, id)));
            }
        }
        slots.sort();
        let taken = slots.get(..description.count as usize)?;
        let mut workers: Vec<fleet::WorkerId> = Vec::new();
        for (_, id) in taken {
            if !workers.contains(id) {
                workers.push((*id).clone());
            }
        }
        let ready_at = taken.last()?.0;
        Some(Reservation {
            workers,
            ready_at,
            kept: false,
        })
    }

    /// Members of a gang that the empty workers known to be good could hold;
    /// those that are kept for others are of no use to it.
    pub(crate) fn good_slots(
        &self,
        task: &fleet::TaskId,
        description: &fleet::StepDescription,
        pass: &pass::Pass,
    ) -> u64 {
        let Some(job) = self.jobs.get(&task.job) else {
            return 0;
        };
        let Some(step) = job.step(task) else {
            return 0;
        };
        let usable = |worker: &worker::Worker| self.is_usable(worker, pass.now);
        let open = |id: &fleet::WorkerId| pass.kept_for_others_until(task, id).is_none();
        let workers = self.possible_workers(step, true, pass).into_iter();
        workers
            .filter(|(id, worker)| usable(worker) && open(id))
            .map(|(_, worker)| whole_slots(worker, description))
            .sum()
    }

    /// Whether the workers there are could hold a gang when they are empty, if all
    /// that were not asked about are good.
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
        pass.count_looks(pass.usable.len());
        let usable = pass.usable.iter();
        let workers = usable.filter_map(|position| self.workers.get_index(*position));
        let suitable = workers.filter(|(id, worker)| {
            let bad = step.advice.verdicts.get(*id) == Some(&false);
            !bad && worker.suits(&job.queue, description)
        });
        let slots = suitable.map(|(_, worker)| whole_slots(worker, description));
        slots.sum::<u64>() >= u64::from(description.count)
    }

    /// Workers known to be good for a step; all of a queue without advice.
    fn possible_workers(
        &self,
        step: &job::Step,
        advised: bool,
        pass: &pass::Pass,
    ) -> Vec<(&fleet::WorkerId, &worker::Worker)> {
        if !advised {
            pass.count_looks(self.workers.len());
            return self.workers.iter().collect();
        }
        pass.count_looks(step.advice.verdicts.len());
        let good = step.advice.verdicts.iter().filter(|(_, good)| **good);
        good.filter_map(|(id, _)| self.workers.get_key_value(id))
            .collect()
    }
}

/// When a step could have tickets for workers.
struct Tickets<'a> {
    advice: &'a job::StepAdvice,
    now: time::Instant,
    /// For a worker that is asked about next.
    asked_next: time::Instant,
}

impl<'a> Tickets<'a> {
    fn of(job: &job::Job, step: &'a job::Step, now: time::Instant) -> Self {
        let asking = step.advice.asking.as_ref();
        let free_at = asking.map_or(now, |asking| asking.answered_at.max(now));
        let policy = job.queue.advice.as_ref();
        let answer = policy.map(|policy| advice::duration(policy, 1));
        Self {
            advice: &step.advice,
            now,
            asked_next: free_at + answer.unwrap_or_default(),
        }
    }

    fn ready_at(&self, worker: &fleet::WorkerId) -> time::Instant {
        let ticket = self.advice.tickets.get(worker);
        if ticket.is_some_and(|ticket| ticket.valid_until > self.now) {
            return self.now;
        }
        let asking = self.advice.asking.as_ref();
        match asking.filter(|asking| asking.workers.contains(worker)) {
            Some(asking) => asking.answered_at.max(self.now),
            None => self.asked_next,
        }
    }
}

/// Members that an empty worker holds.
pub(crate) fn whole_slots(worker: &worker::Worker, description: &fleet::StepDescription) -> u64 {
    worker
        .entry
        .room
        .times(&job::occupied(description), most_per_worker(description))
}

/// Members that a worker may run at most.
pub(crate) fn most_per_worker(description: &fleet::StepDescription) -> u64 {
    let all = description.count;
    u64::from(description.max_per_worker.map_or(all, |most| most.min(all)))
}

fn probable_end(run: &worker::Run, now: time::Instant) -> time::Instant {
    let over = now.saturating_duration_since(run.expected_end);
    run.expected_end.max(now + over.max(OVERDUE))
}

/// When slots of a step become free on a worker, as its runs end.
fn slot_times(
    worker: &worker::Worker,
    description: &fleet::StepDescription,
    now: time::Instant,
) -> Vec<time::Instant> {
    let need = job::occupied(description);
    let most = most_per_worker(description);
    let mut ends: Vec<(time::Instant, fleet::Room)> = worker
        .runs
        .values()
        .map(|run| (probable_end(run, now), run.room))
        .collect();
    ends.sort_by_key(|(end, _)| *end);
    let mut used = worker.used();
    let slots = |used: &fleet::Room| worker.free_beside(used).times(&need, most) as usize;
    let mut times = vec![now; slots(&used)];
    for (end, room) in ends {
        used = used.minus(&room);
        times.resize(slots(&used), end);
    }
    times
}
