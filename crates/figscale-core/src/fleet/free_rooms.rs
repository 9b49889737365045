//! Free resources on workers that new work could use now, for admission.

use std::sync;
use std::time;

use figscale_types::fleet;

use super::job;
use super::reserve;

/// Free resources of one worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FreeRoom {
    pub(crate) free: fleet::Room,
    /// Set if it is reserved: only work that ends by then may use it.
    pub(crate) reserved_until: Option<time::Instant>,
}

/// Tasks of one step that need room.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TasksInNeed<'a> {
    pub(crate) step: &'a fleet::StepDescription,
    pub(crate) count: u64,
    /// When they end if they start now.
    pub(crate) ends: time::Instant,
}

/// Free resources of the usable workers.
#[derive(Clone, Debug, Default)]
pub(crate) struct FreeRooms {
    /// Shared, since the rooms are copied for each job that is tried.
    workers: sync::Arc<[fleet::WorkerId]>,
    /// Those of the workers, in the same order.
    rooms: Vec<FreeRoom>,
    /// How often a worker was examined, the measure of the cost.
    pub(crate) scans: usize,
}

impl FreeRooms {
    pub(crate) fn new(rooms: impl Iterator<Item = (fleet::WorkerId, FreeRoom)>) -> Self {
        let (workers, rooms): (Vec<fleet::WorkerId>, Vec<FreeRoom>) = rooms.unzip();
        Self {
            workers: workers.into(),
            rooms,
            scans: 0,
        }
    }

    /// Takes room for the tasks of a step; returns whether there was enough for all
    /// of them. A gang takes all or nothing. `approved` gives the probability with
    /// which the step may use a worker, and the room counts in that proportion.
    pub(crate) fn take(
        &mut self,
        tasks: &TasksInNeed<'_>,
        approved: impl Fn(&fleet::WorkerId) -> f64,
    ) -> bool {
        let need = job::occupied(tasks.step);
        let max_members = reserve::max_members_per_worker(tasks.step);
        let count = tasks.count as f64;
        let mut expected = 0.0;
        let mut used = Vec::new();
        for (position, (room, worker)) in self.rooms.iter().zip(&*self.workers).enumerate() {
            if expected >= count {
                break;
            }
            self.scans += 1;
            let open = room.reserved_until.is_none_or(|until| tasks.ends <= until);
            let slots = match open {
                true => room.free.count_fitting(&need, max_members),
                false => 0,
            };
            if slots == 0 {
                continue;
            }
            let approved = approved(worker);
            if approved > 0.0 {
                expected += slots as f64 * approved;
                used.push((position, slots));
            }
        }
        // Sums of fractions such as 0.1 miss a whole number by rounding errors.
        let fitting = (expected + 1e-6) as u64;
        if tasks.step.gang && fitting < tasks.count {
            return false;
        }
        let mut left = fitting.min(tasks.count);
        for (position, slots) in used {
            let taken = slots.min(left);
            left -= taken;
            let free = &mut self.rooms[position].free;
            for _ in 0..taken {
                *free = free.minus(&need);
            }
        }
        fitting >= tasks.count
    }
}
