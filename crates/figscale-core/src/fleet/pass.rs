//! State of one placement pass: the steps that could start, their order, and
//! the workers that may have room.

use std::cell;
use std::cmp;
use std::time;

use figscale_types::fleet;

use super::customers;
use super::job;
use super::maps;
use super::predicted;
use super::reserve;

/// A job that ends later than this multiple of its objective earns nothing.
pub(crate) const EARNS_NOTHING_AFTER_OBJECTIVES: u32 = 3;

/// What a job can still earn, by its expected end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Lateness {
    /// It can still meet its objective.
    InTime,
    /// It earns a part.
    Late,
    /// It earns nothing, but must still be done.
    Overdue,
}

/// Sort key of steps; the smallest is placed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    pub(crate) lateness: Lateness,
    pub(crate) class: u8,
    /// How far its customer's use exceeds its weighted share.
    pub(crate) excess: customers::Excess,
    /// Time left until the step must start; negative once that time is past. It
    /// keeps falling while the step waits, so that of late work the step that
    /// has waited longest comes first. If it stopped at zero, a short gang
    /// would stay behind every longer one and starve.
    pub(crate) slack_ms: i64,
}

/// A step with tasks that are ready to start.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    /// First task of the step.
    pub(crate) task: fleet::TaskId,
    pub(crate) rank: Rank,
    /// Whether some of its tasks ran on workers that were lost.
    pub(crate) lost_workers: bool,
    /// Whether this is one of the few gangs that may query for workers before
    /// there is room for them, and for a wide choice if their wait is long.
    pub(crate) may_query_early: bool,
    /// Set for a gang that waits for free resources.
    pub(crate) reservation: Option<reserve::Reservation>,
}

impl Candidate {
    pub(crate) fn new(task: fleet::TaskId, rank: Rank) -> Self {
        Self {
            task,
            rank,
            lost_workers: false,
            may_query_early: false,
            reservation: None,
        }
    }

    /// Whether it comes before a newer step with this rank that lost no workers.
    pub(crate) fn is_before(&self, rank: Rank) -> bool {
        self.lost_workers || self.rank <= rank
    }
}

/// A reservation of one worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkerReservation {
    /// First task of the step that it is reserved for.
    owner: fleet::TaskId,
    /// When that step should start.
    pub(crate) until: time::Instant,
}

/// Free resources of the usable workers at the start of a pass: for each
/// service, the maximal elements, that is, those that fit in no other worker's
/// free resources. Free resources only shrink in a pass, so a task that fits in
/// none of them can neither start nor yield a worker to query for.
///
/// With this a backlog costs a pass nothing but its ranking where the fleet is
/// full in one dimension, such as memory, or where only workers of another
/// service have room.
#[derive(Clone, Debug, Default)]
pub(crate) struct FreeCapacity {
    services: Vec<(String, Vec<fleet::Room>)>,
}

impl FreeCapacity {
    pub(crate) fn add(&mut self, service: &str, free: fleet::Room) {
        let known = self.services.iter().position(|(name, _)| name == service);
        let Some(known) = known else {
            self.services.push((service.to_owned(), vec![free]));
            return;
        };
        let rooms = &mut self.services[known].1;
        if rooms.iter().any(|room| room.holds(&free)) {
            return;
        }
        rooms.retain(|room| !free.holds(room));
        rooms.push(free);
    }

    /// Whether some worker of a service may have this much free.
    pub(crate) fn holds(&self, service: &str, need: &fleet::Room) -> bool {
        let mut services = self.services.iter();
        let rooms = services.find(|(name, _)| name == service);
        rooms.is_some_and(|(_, rooms)| rooms.iter().any(|room| room.holds(need)))
    }
}

/// Which steps a pass tries to place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StepFilter {
    /// Those for which a worker may have room, and gangs.
    WithRoom,
    /// All of them.
    All,
}

/// State of one pass.
pub(crate) struct Pass {
    pub(crate) now: time::Instant,
    /// What customers may still start.
    pub(crate) headroom: customers::Headroom,
    /// Indices of the workers that may get new work.
    pub(crate) usable: Vec<usize>,
    /// The same with their free processors at the start of the pass, most first.
    /// Sorted when a step needs it, which most passes don't.
    most_free_first: cell::OnceCell<Vec<(u64, usize)>>,
    /// The same by speed, grouped when a gang needs it.
    most_free_by_speed: cell::OnceCell<Vec<predicted::SpeedGroup<(u64, usize)>>>,
    /// Indices of the usable workers by speed, grouped when a step needs it.
    usable_by_speed: cell::OnceCell<Vec<predicted::SpeedGroup<usize>>>,
    /// Workers in queries for gangs, with the number of these queries. Counted when a
    /// gang chooses workers to query, which most passes don't do.
    queried_for_gangs: cell::OnceCell<cell::RefCell<maps::WorkerMap<u32>>>,
    reserved: maps::WorkerMap<WorkerReservation>,
    /// The late gang for which workers were reserved before all other steps.
    pub(crate) aging_gang: Option<fleet::TaskId>,
    /// Overdue steps for which workers were reserved before all other steps.
    /// Short work is kept off these workers too, since a stream of it would
    /// delay such a step forever.
    pub(crate) reserved_overdue: Vec<fleet::TaskId>,
    /// Steps for which runs were stopped.
    reserved_alone: Vec<fleet::TaskId>,
    pub(crate) free_capacity: FreeCapacity,
    pub(crate) step_filter: StepFilter,
    pub(crate) reserving_gangs: usize,
    /// Workers that are reserved for tasks in quarantine.
    pub(crate) reserved_for_quarantine: usize,
    pub(crate) unplaced: Vec<Candidate>,
    /// Steps that no worker has room for; left empty where there is no preemption.
    pub(crate) without_room: Vec<Candidate>,
    /// Number of times that a worker was examined; the measure of a pass's
    /// cost.
    scans: cell::Cell<usize>,
}

impl Pass {
    pub(crate) fn new(
        now: time::Instant,
        headroom: customers::Headroom,
        usable: Vec<usize>,
        free_capacity: FreeCapacity,
        step_filter: StepFilter,
    ) -> Self {
        Self {
            now,
            headroom,
            usable,
            most_free_first: cell::OnceCell::new(),
            most_free_by_speed: cell::OnceCell::new(),
            usable_by_speed: cell::OnceCell::new(),
            queried_for_gangs: cell::OnceCell::new(),
            reserved: maps::WorkerMap::default(),
            aging_gang: None,
            reserved_overdue: Vec::new(),
            reserved_alone: Vec::new(),
            free_capacity,
            step_filter,
            reserving_gangs: 0,
            reserved_for_quarantine: 0,
            unplaced: Vec::new(),
            without_room: Vec::new(),
            scans: cell::Cell::new(0),
        }
    }

    /// Records that this many workers are examined.
    pub(crate) fn count_scans(&self, workers: usize) {
        self.scans.set(self.scans.get() + workers);
    }

    pub(crate) fn scans(&self) -> usize {
        self.scans.get()
    }

    /// Reserves workers for a step. Workers that are already reserved for
    /// another stay so.
    pub(crate) fn reserve(&mut self, owner: fleet::TaskId, reservation: &reserve::Reservation) {
        let until = reservation.ready_at;
        for worker in &reservation.workers {
            let reservation = WorkerReservation { owner, until };
            self.reserved.entry(worker.clone()).or_insert(reservation);
        }
    }

    /// Reserves workers for a step for which runs were stopped there. No other work
    /// may use them, however short: it would take what the stops have freed.
    pub(crate) fn reserve_alone(
        &mut self,
        owner: fleet::TaskId,
        reservation: &reserve::Reservation,
    ) {
        let from_now = reserve::Reservation {
            ready_at: self.now,
            ..reservation.clone()
        };
        self.reserve(owner, &from_now);
        self.reserved_alone.push(owner);
    }

    /// The reserved workers, at the end of the pass.
    pub(crate) fn into_reserved(self) -> maps::WorkerMap<WorkerReservation> {
        self.reserved
    }

    /// The time until which a worker is reserved for a step other than that of
    /// `task`. Work that ends by then may still use the worker.
    pub(crate) fn reserved_for_others_until(
        &self,
        task: &fleet::TaskId,
        worker: &fleet::WorkerId,
    ) -> Option<time::Instant> {
        let reservation = self.reserved.get(worker)?;
        let own = reservation.owner == fleet::TaskId { index: 0, ..*task };
        (!own).then_some(reservation.until)
    }

    /// Whether work for the step of `task` that ends at `ends` may use a worker.
    pub(crate) fn is_open_until(
        &self,
        task: &fleet::TaskId,
        worker: &fleet::WorkerId,
        ends: time::Instant,
    ) -> bool {
        let reserved_until = self.reserved_for_others_until(task, worker);
        reserved_until.is_none_or(|until| ends <= until)
    }

    /// Indices of the usable workers with their free processors, in thousandths of a
    /// core, those with most first. `free` is asked once in a pass; what is placed
    /// after that only makes less free.
    pub(crate) fn most_free_first(&self, free: impl Fn(usize) -> u64) -> &[(u64, usize)] {
        self.most_free_first.get_or_init(|| {
            let usable = self.usable.iter();
            let mut sorted: Vec<(u64, usize)> =
                usable.map(|index| (free(*index), *index)).collect();
            sorted.sort_unstable_by_key(|(free, index)| (cmp::Reverse(*free), *index));
            sorted
        })
    }

    /// [`Self::most_free_first`] by speed. `slowdown` is asked once in a pass.
    pub(crate) fn most_free_by_speed(
        &self,
        free: impl Fn(usize) -> u64,
        slowdown: impl Fn(usize) -> fleet::Slowdown,
    ) -> &[predicted::SpeedGroup<(u64, usize)>] {
        self.most_free_by_speed.get_or_init(|| {
            let workers = self.most_free_first(free).iter();
            predicted::group_by_speed(workers.map(|worker| (slowdown(worker.1), *worker)))
        })
    }

    /// Indices of the usable workers by speed, in the order in which they are listed.
    /// `slowdown` is asked once in a pass.
    pub(crate) fn usable_by_speed(
        &self,
        slowdown: impl Fn(usize) -> fleet::Slowdown,
    ) -> &[predicted::SpeedGroup<usize>] {
        self.usable_by_speed.get_or_init(|| {
            let workers = self.usable.iter();
            predicted::group_by_speed(workers.map(|index| (slowdown(*index), *index)))
        })
    }

    /// Workers in queries for gangs, with the number of these queries. `in_flight` is
    /// asked once in a pass; queries sent in it are added.
    pub(crate) fn queried_for_gangs(
        &self,
        in_flight: impl FnOnce() -> maps::WorkerMap<u32>,
    ) -> cell::Ref<'_, maps::WorkerMap<u32>> {
        let queried = self
            .queried_for_gangs
            .get_or_init(|| cell::RefCell::new(in_flight()));
        queried.borrow()
    }

    /// Records that a query for a gang is sent in this pass.
    pub(crate) fn record_query_for_gang(&self, workers: &[fleet::WorkerId]) {
        let Some(queried) = self.queried_for_gangs.get() else {
            return;
        };
        let mut queried = queried.borrow_mut();
        for id in workers {
            *queried.entry(id.clone()).or_insert(0) += 1;
        }
    }

    /// Whether a worker is closed even to short work, which may use other
    /// reserved workers.
    pub(crate) fn is_closed_to_short_work(&self, worker: &fleet::WorkerId) -> bool {
        let reservation = self.reserved.get(worker);
        reservation.is_some_and(|reservation| {
            self.reserved_overdue.contains(&reservation.owner)
                || self.reserved_alone.contains(&reservation.owner)
        })
    }
}

pub(crate) fn first_task(job: fleet::JobId, occurrence: usize, step: usize) -> fleet::TaskId {
    let number = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
    fleet::TaskId {
        job,
        occurrence: number(occurrence),
        step: number(step),
        index: 0,
    }
}

/// Whether some task of a step is ready to start; of a gang, whether all are.
pub(crate) fn may_start(step: &job::Step, description: &fleet::StepDescription) -> bool {
    let ready = |task: &job::Task| task.is_waiting() && !task.suspect;
    match description.gang {
        true => step.tasks.iter().all(ready),
        false => step.tasks.iter().any(ready),
    }
}

pub(crate) fn rank(
    job: &job::Job,
    round: &job::Round,
    excess: customers::Excess,
    now: time::Instant,
) -> Rank {
    let since = round.due_at.unwrap_or(job.submitted);
    // By the estimates, like the objective: both are off together.
    let ends = now + time::Duration::from_millis(round.remaining_ms(&job.description));
    let objective = job.objective_at.saturating_duration_since(job.submitted);
    let objective_at = since + objective;
    let earns_nothing_at = since + objective * EARNS_NOTHING_AFTER_OBJECTIVES;
    let has_long_running = job.description.steps.iter().any(|step| step.long_running);
    let lateness = match ends {
        // Long-running work is useful whenever it runs, however long ago it was
        // submitted.
        _ if has_long_running => Lateness::InTime,
        ends if ends <= objective_at => Lateness::InTime,
        ends if ends <= earns_nothing_at => Lateness::Late,
        _ => Lateness::Overdue,
    };
    Rank {
        lateness,
        class: u8::from(job.queue.priority > 0),
        excess,
        slack_ms: signed_millis(ends, objective_at),
    }
}

/// Milliseconds from one time to another; negative if `to` is before `from`.
fn signed_millis(from: time::Instant, to: time::Instant) -> i64 {
    let millis = |time| i64::try_from(super::lease::millis(time)).unwrap_or(i64::MAX);
    match to.checked_duration_since(from) {
        Some(left) => millis(left),
        None => -millis(from.saturating_duration_since(to)),
    }
}
