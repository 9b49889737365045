//! When each worker is to be called for its report.
//!
//! A leader asks for what is due after each batch of messages. So the schedule is
//! kept in the order of time, and only calls that are due, or wait for an
//! acknowledgement, are examined.

use std::collections::BTreeSet;
use std::time;

use figscale_types::fleet;

use super::maps;

/// The next call of each worker that has none in flight.
#[derive(Clone, Debug, Default)]
pub struct CallSchedule {
    due: BTreeSet<(time::Instant, fleet::WorkerId)>,
    times: maps::WorkerMap<time::Instant>,
    /// Workers whose ends are to be acknowledged first; each is called without that
    /// at the time in `times`.
    awaiting: maps::WorkerSet,
}

impl CallSchedule {
    /// Schedules the next call of a worker.
    pub fn call_at(&mut self, id: &fleet::WorkerId, at: time::Instant) {
        self.cancel(id);
        self.due.insert((at, id.clone()));
        self.times.insert(id.clone(), at);
    }

    /// Schedules the next call of a worker for when its ends are acknowledged, at
    /// `latest` in any case.
    pub fn call_when_acknowledged(&mut self, id: &fleet::WorkerId, latest: time::Instant) {
        self.call_at(id, latest);
        self.awaiting.insert(id.clone());
    }

    /// Cancels the next call of a worker.
    pub fn cancel(&mut self, id: &fleet::WorkerId) {
        if let Some(at) = self.times.swap_remove(id) {
            self.due.remove(&(at, id.clone()));
            self.awaiting.swap_remove(id);
        }
    }

    /// Takes the workers to call now. `is_acknowledged` is asked only about those
    /// whose ends are to be acknowledged first.
    pub fn take_due(
        &mut self,
        now: time::Instant,
        is_acknowledged: impl Fn(&fleet::WorkerId) -> bool,
    ) -> Vec<fleet::WorkerId> {
        let due = self.due.iter().take_while(|(at, _)| *at <= now);
        let mut ids: Vec<fleet::WorkerId> = due.map(|(_, id)| id.clone()).collect();
        let ready = |id: &&fleet::WorkerId| self.times[*id] > now && is_acknowledged(id);
        ids.extend(self.awaiting.iter().filter(ready).cloned());
        for id in &ids {
            self.cancel(id);
        }
        ids
    }
}
