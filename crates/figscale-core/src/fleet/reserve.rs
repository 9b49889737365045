//! Room kept free for gangs that need many workers at once.
//!
//! A wide gang never finds room on a full fleet by waiting: whatever becomes
//! free is taken by smaller work at once. So the slots that become free first
//! are reckoned from the expected ends of what runs, over the workers that may
//! run the gang, until there are enough. The workers with these slots are kept:
//! other work may use them only if it is over by the time that the gang is
//! expected to start. Tickets are asked for shortly before that time.

use std::time;

use figscale_types::fleet;

use super::job;
use super::scheduler;
use super::worker;

/// A run that is over its estimate is taken to end after this time.
const OVERDUE: time::Duration = time::Duration::from_millis(300);

/// Workers kept for a gang.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    /// In the order in which they become free.
    pub(crate) workers: Vec<fleet::WorkerId>,
    /// When there should be room for all members.
    pub(crate) ready_at: time::Instant,
}

impl scheduler::Scheduler {
    /// The slots of a gang that become free first, on workers that nobody else
    /// keeps; `None` if the workers known to be good never have enough.
    pub(crate) fn reserve(
        &self,
        task: &fleet::TaskId,
        description: &fleet::StepDescription,
        is_kept: impl Fn(&fleet::WorkerId) -> bool,
        now: time::Instant,
    ) -> Option<Reservation> {
        let job = self.jobs.get(&task.job)?;
        let step = job.step(task)?;
        let advised = job.queue.advice.is_some();
        let mut slots: Vec<(time::Instant, &fleet::WorkerId)> = Vec::new();
        for (id, worker) in &self.workers {
            let good = !advised || step.advice.verdicts.get(id) == Some(&true);
            let usable = self.is_usable(worker, now);
            if good && usable && worker.suits(&job.queue, description) && !is_kept(id) {
                let times = slot_times(worker, description, now);
                slots.extend(times.into_iter().map(|time| (time, id)));
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
        Some(Reservation { workers, ready_at })
    }

    /// Members of a gang that the empty workers known to be good could hold.
    pub(crate) fn good_slots(
        &self,
        task: &fleet::TaskId,
        description: &fleet::StepDescription,
        now: time::Instant,
    ) -> u64 {
        let Some(job) = self.jobs.get(&task.job) else {
            return 0;
        };
        let good = |id: &fleet::WorkerId| {
            let step = job.step(task);
            step.is_some_and(|step| step.advice.verdicts.get(id) == Some(&true))
        };
        let usable = |worker: &worker::Worker| self.is_usable(worker, now);
        let workers = self
            .workers
            .iter()
            .filter(|(id, worker)| good(id) && usable(worker));
        workers
            .map(|(_, worker)| whole_slots(worker, description))
            .sum()
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
        .map(|run| (run.expected_end.max(now + OVERDUE), run.room))
        .collect();
    ends.sort_by_key(|(end, _)| *end);
    let mut free = worker.free();
    let mut times = vec![now; free.times(&need, most) as usize];
    for (end, room) in ends {
        free = free.plus(&room);
        times.resize(free.times(&need, most) as usize, end);
    }
    times
}
