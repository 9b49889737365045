//! What one pass of placement knows: steps that could start, in which order, and
//! where there may be room.

use std::cell;
use std::time;

use figscale_types::fleet;

use super::customers;
use super::job;
use super::maps;
use super::reserve;

/// A job that ends later than so many times its objective earns nothing.
const WORTHLESS_AFTER_OBJECTIVES: u32 = 3;

/// What a job is still worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Lateness {
    /// It can still meet its objective.
    InTime,
    /// It earns a part.
    Late,
    /// It earns nothing, and must be done all the same.
    Overdue,
}

/// Order of steps; less goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    pub(crate) lateness: Lateness,
    pub(crate) class: u8,
    /// Its customer uses more than its share by weight.
    pub(crate) over_share: bool,
    /// Time until the step must start; of late ones the time since. It goes on
    /// falling, so that what has waited longest goes first among late work. A
    /// short gang would otherwise stay behind every longer one for good.
    pub(crate) slack_ms: i64,
}

/// A step with tasks that could start.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    /// First task of the step.
    pub(crate) task: fleet::TaskId,
    pub(crate) rank: Rank,
    /// Workers were lost under some of its tasks.
    pub(crate) lost_workers: bool,
    /// One of the few gangs that may keep workers however long they wait.
    pub(crate) goes_first: bool,
    /// Of a gang that waits for room.
    pub(crate) reservation: Option<reserve::Reservation>,
}

/// A worker that is kept free for a gang.
#[derive(Clone, Copy, Debug)]
struct Keep {
    /// First task of the gang.
    owner: fleet::TaskId,
    /// When the gang should start.
    until: time::Instant,
}

/// Free room of the usable workers when a pass began: of each service that which
/// no other worker's holds. Room only shrinks in a pass, so what none of these
/// holds can neither start nor name a worker to ask about.
///
/// So a backlog beside a fleet that is full in one way, be it memory, or beside
/// another service with room, costs a pass nothing but its ranking.
#[derive(Clone, Debug, Default)]
pub(crate) struct Widest {
    services: Vec<(String, Vec<fleet::Room>)>,
}

impl Widest {
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

    /// Whether a worker of a service may hold so much.
    pub(crate) fn holds(&self, service: &str, need: &fleet::Room) -> bool {
        let mut services = self.services.iter();
        let rooms = services.find(|(name, _)| name == service);
        rooms.is_some_and(|(_, rooms)| rooms.iter().any(|room| room.holds(need)))
    }
}

/// Which steps a pass tries to place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Tried {
    /// Those for which a worker may have room, and gangs.
    WithRoom,
    /// All of them.
    All,
}

/// State of one pass.
pub(crate) struct Pass {
    pub(crate) now: time::Instant,
    /// What customers may start.
    pub(crate) headroom: customers::Headroom,
    /// Positions of the workers that may get new work.
    pub(crate) usable: Vec<usize>,
    kept: maps::WorkerMap<Keep>,
    /// The late gang for which workers were kept before all else.
    pub(crate) gang_in_turn: Option<fleet::TaskId>,
    /// Overdue steps for which workers were kept before all else. Quick work keeps
    /// off these like all other; a stream of it would put them off for good.
    pub(crate) overdue: Vec<fleet::TaskId>,
    pub(crate) widest: Widest,
    pub(crate) tried: Tried,
    pub(crate) reserving: usize,
    pub(crate) wanting: Vec<Candidate>,
    /// Times that a worker was looked at, which is what a pass costs.
    looks: cell::Cell<usize>,
}

impl Pass {
    pub(crate) fn new(
        now: time::Instant,
        headroom: customers::Headroom,
        usable: Vec<usize>,
        widest: Widest,
        tried: Tried,
    ) -> Self {
        Self {
            now,
            headroom,
            usable,
            kept: maps::WorkerMap::default(),
            gang_in_turn: None,
            overdue: Vec::new(),
            widest,
            tried,
            reserving: 0,
            wanting: Vec::new(),
            looks: cell::Cell::new(0),
        }
    }

    /// So many workers are looked at.
    pub(crate) fn count_looks(&self, workers: usize) {
        self.looks.set(self.looks.get() + workers);
    }

    pub(crate) fn looks(&self) -> usize {
        self.looks.get()
    }

    /// Keeps workers for a gang, but for those that another keeps already.
    pub(crate) fn keep(&mut self, owner: fleet::TaskId, reservation: &reserve::Reservation) {
        let until = reservation.ready_at;
        for worker in &reservation.workers {
            let keep = Keep { owner, until };
            self.kept.entry(worker.clone()).or_insert(keep);
        }
    }

    /// Until when a worker is kept for another step than that of a task. Work
    /// that is over by then may use it.
    pub(crate) fn kept_for_others_until(
        &self,
        task: &fleet::TaskId,
        worker: &fleet::WorkerId,
    ) -> Option<time::Instant> {
        let keep = self.kept.get(worker)?;
        let own = keep.owner == fleet::TaskId { index: 0, ..*task };
        (!own).then_some(keep.until)
    }

    /// Whether also quick work that would be over soon keeps off a worker.
    pub(crate) fn is_closed_to_quick(&self, worker: &fleet::WorkerId) -> bool {
        let keep = self.kept.get(worker);
        keep.is_some_and(|keep| self.overdue.contains(&keep.owner))
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

/// Whether some task of a step could start; of a gang, all of them.
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
    over_share: bool,
    now: time::Instant,
) -> Rank {
    let since = round.due_at.unwrap_or(job.submitted);
    let ends = now + time::Duration::from_millis(round.remaining_ms(&job.description));
    let objective = job.objective_at.saturating_duration_since(job.submitted);
    let objective_at = since + objective;
    let worthless_at = since + objective * WORTHLESS_AFTER_OBJECTIVES;
    let lasts = job.description.steps.iter().any(|step| step.long_running);
    let lateness = match ends {
        // It is of use whenever it runs, however long ago it was submitted.
        _ if lasts => Lateness::InTime,
        ends if ends <= objective_at => Lateness::InTime,
        ends if ends <= worthless_at => Lateness::Late,
        _ => Lateness::Overdue,
    };
    Rank {
        lateness,
        class: u8::from(job.queue.priority > 0),
        over_share,
        slack_ms: signed_millis(ends, objective_at),
    }
}

/// Milliseconds from one time to another, below zero if that is over.
fn signed_millis(from: time::Instant, to: time::Instant) -> i64 {
    let millis = |time| i64::try_from(super::lease::millis(time)).unwrap_or(i64::MAX);
    match to.checked_duration_since(from) {
        Some(left) => millis(left),
        None => -millis(from.saturating_duration_since(to)),
    }
}
