//! Room kept at a placer that is asked for one task at a time.
//!
//! A placer has no queue: homes ask it again and again. Small tasks would take
//! every bit of room that comes free before a large one fits, so the worker on
//! which a task that found no room fits soonest is promised to its job: work
//! that is no more urgent passes it over. There is one promise at a time, it
//! goes to more urgent work, and it lapses soon after its job stops asking.
//! Gangs get none, since the rest of a gang may wait elsewhere.
//!
//! In the same way a placer remembers for a while that work found no
//! accelerator, and has plain work leave room beside free ones.

use std::time;

use figscale_types::catalogue;
use figscale_types::ids;

use super::cluster;
use super::kept;
use super::place;
use super::work;
use super::worker;

/// Time that a promise lasts after its job asked last.
const PROMISE: time::Duration = time::Duration::from_secs(1);
/// Time for which accelerators count as wanted after work found none.
const WANTED: time::Duration = time::Duration::from_secs(5);

impl cluster::Cluster {
    /// Places a task: filter, score, commit.
    ///
    /// # Errors
    ///
    /// No room is given if no worker can take the task for now; one may be
    /// kept for it for about a second.
    pub fn place(
        &mut self,
        ask: &work::Ask,
        now: time::Instant,
        expires: Option<time::Instant>,
    ) -> Result<ids::InstanceId, place::NoPlace> {
        self.forget_lapsed(now);
        let placed = self.try_place(ask, now, expires);
        match placed {
            Ok(_) if self.promise.as_ref().is_some_and(|p| p.job == ask.task.job) => {
                self.promise = None;
            }
            Err(place::NoPlace::NoRoom) => {
                self.want_accelerators(ask, now);
                self.promise_worker(ask, now);
            }
            _ => {}
        }
        placed
    }

    /// Position of the worker that is promised to others than this task.
    pub(super) fn promised_from(&self, ask: &work::Ask) -> Option<usize> {
        let promise = self.promise.as_ref().filter(|promise| promise.binds(ask))?;
        self.workers.get_index_of(&promise.worker)
    }

    fn forget_lapsed(&mut self, now: time::Instant) {
        self.promise = self.promise.take().filter(|promise| promise.until > now);
        self.accelerators_wanted = self.accelerators_wanted.filter(|wanted| wanted.until > now);
    }

    pub(super) fn set_accelerators_wanted(
        &mut self,
        urgency: Option<catalogue::Urgency>,
        now: time::Instant,
    ) {
        let until = now + WANTED;
        self.accelerators_wanted = urgency.map(|urgency| kept::Wanted { urgency, until });
    }

    fn want_accelerators(&mut self, ask: &work::Ask, now: time::Instant) {
        if ask.size.accelerators == 0 {
            return;
        }
        let known = self.accelerators_wanted.map(|wanted| wanted.urgency);
        let urgency = known.map_or(ask.urgency, |known| known.min(ask.urgency));
        self.set_accelerators_wanted(Some(urgency), now);
    }

    fn promise_worker(&mut self, ask: &work::Ask, now: time::Instant) {
        let free = match &self.promise {
            None => true,
            Some(known) => known.job == ask.task.job || ask.urgency < known.urgency,
        };
        if !free || ask.class == catalogue::JobClass::Gang {
            return;
        }
        let soonest = self.soonest(ask).map(|worker| worker.id.clone());
        self.promise = soonest.map(|worker| kept::Promise {
            job: ask.task.job.clone(),
            urgency: ask.urgency,
            worker,
            until: now + PROMISE,
        });
    }

    /// The full worker on which a task will fit soonest, by what is missing.
    pub(super) fn soonest(&self, ask: &work::Ask) -> Option<&worker::Worker> {
        let open = |worker: &&worker::Worker| {
            let usable = worker.takes_work() && worker.held.is_none();
            // A worker with room for it is closed to it for another reason.
            let full = !worker.free().holds(&ask.size);
            let fits_empty = worker.capacity.holds(&ask.size);
            usable && full && fits_empty && !ask.avoid.contains(&worker.id)
        };
        let missing = |worker: &worker::Worker| {
            let missing = ask.size.minus(&worker.free());
            missing.dominant_share(&worker.capacity)
        };
        let workers = self.workers.values().filter(open);
        workers.min_by(|a, b| missing(a).total_cmp(&missing(b)))
    }
}
