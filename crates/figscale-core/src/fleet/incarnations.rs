//! Workers that restart under their names.
//!
//! To the scheduler each incarnation is a worker of its own: its clock, the numbers
//! of its ends and its fence start anew. The runs of the earlier incarnation have
//! ended. Orders to it are the difficulty, since a call names only the worker: an
//! order may be executed seconds later, by the new incarnation, which knows neither
//! the epoch nor the attempt, and whose clock makes the order's expiry meaningless.
//!
//! Orders of an earlier epoch are refused from the first call of the present leader
//! on, and what they started before is in the response to it. Against orders of the
//! present epoch, the new incarnation is ordered to stop the same runs, and refuses
//! them from then on. A task whose start was not confirmed waits for that: its run
//! moves to the new incarnation, where the response to the stop, and then a report,
//! show what became of it.
//!
//! Calls for reports have effects too: an acknowledgement would make the new
//! incarnation forget ends of its own, and a lease would be by the earlier clock. So
//! a worker that has not responded is called without either until it reports, and
//! its report states which incarnation it is.

use std::sync;
use std::time;

use figscale_types::fleet;
use indexmap::IndexMap;
use rustc_hash::FxBuildHasher;

use super::action::Action;
use super::action::LogEntry;
use super::job;
use super::scheduler;
use super::worker;

/// For how long an order without a response may still be executed.
const LATE_ORDER_WINDOW: time::Duration = time::Duration::from_secs(15);

/// Clock reading of an expiry that the present incarnation cannot check.
pub(crate) const NO_EXPIRY_MS: u64 = u64::MAX;

/// The latest incarnation under each name, and orders that may still arrive there.
#[derive(Clone, Debug, Default)]
pub(crate) struct Incarnations {
    latest: IndexMap<sync::Arc<str>, fleet::WorkerId, FxBuildHasher>,
    /// Abandoned runs whose start was never confirmed, by the name of their worker.
    late_orders: IndexMap<sync::Arc<str>, Vec<(worker::RunKey, time::Instant)>, FxBuildHasher>,
}

impl Incarnations {
    /// Whether a later incarnation under the same name is known.
    fn is_outdated(&self, id: &fleet::WorkerId) -> bool {
        let latest = self.latest.get(id.name());
        latest.is_some_and(|latest| latest.succeeds(id))
    }

    /// Records a listed incarnation; returns the one that it succeeds.
    fn record(&mut self, id: &fleet::WorkerId) -> Option<fleet::WorkerId> {
        // Without a birth no name is ever used again.
        id.born_ms()?;
        let known = self.latest.insert(id.name().into(), id.clone());
        known.filter(|known| id.succeeds(known))
    }

    /// Forgets an incarnation that has left the list.
    fn forget(&mut self, id: &fleet::WorkerId) {
        if self.latest.get(id.name()) == Some(id) {
            self.latest.swap_remove(id.name());
        }
    }

    fn add_late_order(&mut self, id: &fleet::WorkerId, key: worker::RunKey, now: time::Instant) {
        if id.born_ms().is_some() {
            let orders = self.late_orders.entry(id.name().into()).or_default();
            orders.push((key, now));
        }
    }

    /// Takes the orders that may still arrive at a worker of this name.
    fn take_late_orders(&mut self, name: &str) -> Vec<worker::RunKey> {
        let orders = self.late_orders.swap_remove(name).unwrap_or_default();
        orders.into_iter().map(|(key, _)| key).collect()
    }

    fn drop_old_orders(&mut self, now: time::Instant) {
        for orders in self.late_orders.values_mut() {
            orders.retain(|(_, at)| now < *at + LATE_ORDER_WINDOW);
        }
        self.late_orders.retain(|_, orders| !orders.is_empty());
    }
}

impl scheduler::Scheduler {
    /// Whether an entry is of an earlier incarnation than the one that is known
    /// under its name, as an outdated listing may contain it.
    pub fn is_outdated(&self, id: &fleet::WorkerId) -> bool {
        self.incarnations.is_outdated(id)
    }

    /// Adopts a new incarnation that has just been listed: the runs of the earlier
    /// one have ended, and orders to it must have no effect at the new one.
    pub(crate) fn succeed_incarnation(&mut self, id: &fleet::WorkerId, now: time::Instant) {
        let previous = self.incarnations.record(id);
        let mut late = self.incarnations.take_late_orders(id.name());
        if let Some(previous) = previous {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.may_have_foreign_lease = true;
            }
            let runs = self.workers.get(&previous).map(|worker| &worker.runs);
            late.extend(runs.into_iter().flat_map(IndexMap::keys).copied());
            self.actions.push(Action::Log(LogEntry::WorkerRestarted {
                worker: id.clone(),
                previous: previous.clone(),
                orders: late.len(),
            }));
            self.move_unconfirmed_runs(&previous, id);
            self.worker_replaced(&previous, now);
        }
        for (task, attempt) in late {
            self.actions.push(Action::Stop {
                worker: id.clone(),
                task,
                attempt,
            });
        }
    }

    /// Moves runs whose start was not confirmed to the next incarnation, which may
    /// start them late.
    fn move_unconfirmed_runs(&mut self, from: &fleet::WorkerId, to: &fleet::WorkerId) {
        let Some(worker) = self.workers.get_mut(from) else {
            return;
        };
        let moved = worker.take_runs(|run| !run.is_confirmed());
        for (key, run) in moved {
            let job = self.jobs.get_mut(&key.0.job);
            if let Some(task) = job.and_then(|job| job.task_mut(&key.0))
                && task.is_current_run(from, key.1)
            {
                task.state = job::TaskState::Placed {
                    worker: to.clone(),
                    attempt: key.1,
                };
            }
            let run = worker::Run {
                expires_clock_ms: NO_EXPIRY_MS,
                stop_ordered: Some(run.ordered_at),
                ..run
            };
            if let Some(worker) = self.workers.get_mut(to) {
                worker.add_run(key, run);
            }
        }
    }

    /// Whether a worker without any contact certainly runs nothing any more; true if it
    /// has no runs. Its only runs are orders to an earlier incarnation, which gave it
    /// the longest lease at most when they arrived.
    pub(crate) fn is_late_order_over(&self, worker: &worker::Worker, now: time::Instant) -> bool {
        let lease = super::lease::time_to_expire(self.config.max_lease, self.config.stop_limit);
        let is_over = |run: &worker::Run| now > run.ordered_at + LATE_ORDER_WINDOW + lease;
        worker.lease.read_at().is_none() && worker.runs.values().all(is_over)
    }

    /// Applies a worker's acceptance of a stop: a run that has not started there
    /// will be refused.
    pub fn stop_answered(
        &mut self,
        id: &fleet::WorkerId,
        task: fleet::TaskId,
        attempt: u32,
        clock_ms: u64,
    ) {
        let worker = self.workers.get_mut(id);
        let run = worker.and_then(|worker| worker.runs.get_mut(&(task, attempt)));
        if let Some(run) = run.filter(|run| !run.is_confirmed()) {
            run.expires_clock_ms = run.expires_clock_ms.min(clock_ms);
        }
    }

    /// Whether the response to a start order came from a later incarnation: its clock
    /// is behind what that of the one that was called showed at the order.
    pub(crate) fn is_of_other_incarnation(
        &self,
        id: &fleet::WorkerId,
        key: &worker::RunKey,
        clock_ms: u64,
    ) -> bool {
        let worker = self.workers.get(id).filter(|_| id.born_ms().is_some());
        let run = worker.and_then(|worker| worker.runs.get(key));
        let expiry_ms = super::lease::millis(self.config.start_expiry);
        run.is_some_and(|run| {
            !run.is_confirmed() && clock_ms < run.expires_clock_ms.saturating_sub(expiry_ms)
        })
    }

    /// Records an abandoned run whose order may still be executed.
    pub(crate) fn record_late_order(
        &mut self,
        id: &fleet::WorkerId,
        key: worker::RunKey,
        now: time::Instant,
    ) {
        self.incarnations.add_late_order(id, key, now);
    }

    /// Handles the first report of an incarnation in this term: from now on it
    /// refuses orders of earlier terms, and the report shows what they started, so
    /// there is no need to wait for an earlier incarnation.
    pub(crate) fn end_wait_for_predecessors(&mut self, id: &fleet::WorkerId) {
        if id.born_ms().is_some() && !self.not_yet_reported.contains_key(id) {
            self.not_yet_reported.retain(|known, _| !id.succeeds(known));
        }
    }

    pub(crate) fn forget_incarnation(&mut self, id: &fleet::WorkerId) {
        self.incarnations.forget(id);
    }

    pub(crate) fn drop_old_late_orders(&mut self, now: time::Instant) {
        self.incarnations.drop_old_orders(now);
    }
}
