//! State of a dispatcher as read from outside: expected waits, slot counts and
//! the time of the next poll.

use std::time;

use figscale_types::catalogue;
use figscale_types::ids;
use indexmap::IndexMap;

use super::Dispatcher;
use crate::request::outlier;
use crate::request::queue;
use crate::request::service_time;
use crate::request::slots;
use crate::request::usage_table;

impl Dispatcher {
    /// Time that a new request of this urgency is expected to wait.
    ///
    /// The larger of two estimates: one from the mean run time and the requests
    /// ahead, the other from the recent time between grants to its urgency.
    pub fn expected_wait(
        &self,
        name: &ids::ServiceName,
        urgency: catalogue::Urgency,
        now: time::Instant,
    ) -> time::Duration {
        let Some(service) = self.services.get(name) else {
            return time::Duration::ZERO;
        };
        let slots: u32 = self.table.of_service(name).map(|r| r.instance.slots).sum();
        let ahead = service.queue.ahead_of(urgency);
        let rounds = ahead as f64 / f64::from(slots.max(1));
        let by_runs = self.times.of_service(name).mul_f64(rounds);
        let grant_interval = &service.grant_intervals[queue::level_of(urgency)];
        by_runs.max(grant_interval.expected_wait(service.queue.len_of(urgency), now))
    }

    /// Slot counts of every service with a held runner, to be pushed to the other
    /// holders.
    pub fn counts(&self, now: time::Instant) -> IndexMap<ids::ServiceName, usage_table::Counts> {
        let names = self.table.services();
        names
            .map(|name| (name.clone(), self.counts_of(name, now)))
            .collect()
    }

    /// Slot counts of one service.
    pub fn counts_of(&self, name: &ids::ServiceName, now: time::Instant) -> usage_table::Counts {
        let live = self.table.of_service(name).filter(|r| !r.is_leaving());
        let slots = live.map(|runner| runner.instance.slots).sum();
        let usable = self.usable(name, now);
        let reserve = self.reserve(name, now);
        let queue = self.services.get(name).map(|service| &service.queue);
        let ahead = |urgency| {
            let ahead = queue.map_or(0, |queue| queue.ahead_of(urgency));
            u32::try_from(ahead).unwrap_or(u32::MAX)
        };
        usage_table::Counts {
            slots,
            free: queue::URGENCIES.map(|urgency| match urgency {
                catalogue::Urgency::BestEffort => usable.saturating_sub(reserve),
                _ => usable,
            }),
            ahead: queue::URGENCIES.map(ahead),
        }
    }

    /// Time of the next poll that is due even if nothing changes until then.
    pub fn next_wake(&self, now: time::Instant) -> Option<time::Instant> {
        let services = self.services.values();
        let timers = services.flat_map(|service| {
            let unreserved = service
                .last_interactive
                .map(|at| at + self.config.reserve_for);
            [
                service.queue.next_deadline(),
                service.outliers.next_probe(now),
                unreserved.filter(|at| *at > now && !service.queue.is_empty()),
            ]
        });
        timers.flatten().chain(self.table.next_release(now)).min()
    }

    /// The slot table.
    pub fn table(&self) -> &slots::SlotTable {
        &self.table
    }

    /// The measured service times.
    pub fn times(&self) -> &service_time::ServiceTimes {
        &self.times
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Whether a runner is ejected.
    pub fn is_ejected(&self, runner: &slots::Runner, now: time::Instant) -> bool {
        let service = runner.instance.service.as_ref();
        let service = service.and_then(|name| self.services.get(name));
        service.is_some_and(|service| {
            service.outliers.eligibility(&runner.instance.id, now) == outlier::Eligibility::Ejected
        })
    }
}
