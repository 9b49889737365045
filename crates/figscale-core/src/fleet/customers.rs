//! What customers may start: their limits, compared with the resources that
//! they have in use.
//!
//! A customer's use is everything that may be running for it on any worker:
//! runs that were ordered, that are in progress, that are being stopped and
//! have not ended, and those on unreachable workers until their lease is surely
//! over. All these are recorded as runs. After a change of leaders there may be
//! more runs that no report has shown yet. They are bounded from above by what
//! the job records say may run, and by the total resources of the workers that
//! have not reported.
//!
//! On a full fleet customers share by weight: work of a customer above its
//! share comes after equally late and urgent work of the others.
//!
//! While the limits and weights of customers are unknown, or not proven to be
//! current, no customer may start anything.

use figscale_types::fleet;
use figscale_types::fleet::CustomerName;
use indexmap::IndexMap;

use super::job;
use super::scheduler;

/// A customer is over its share when it uses more than this percentage of it.
const OVER_SHARE_PERCENT: u128 = 125;

/// How far a customer's use exceeds its weighted share: 0 up to 125 percent of it,
/// and then one more for each doubling. Work of a customer far above its share
/// comes after that of one just above it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Excess(u8);

impl Excess {
    const MAX: u8 = 8;

    /// The excess of a use over a share, both in the same unit.
    fn of(used: u128, share: u128) -> Self {
        let exceeds = |excess: &u8| used * 100 > (share * OVER_SHARE_PERCENT) << *excess;
        Self((0..Self::MAX).take_while(exceeds).count() as u8)
    }
}

/// Customers above their share.
pub(crate) type Excesses = IndexMap<CustomerName, Excess>;

/// The excess of a customer; none for work without a customer.
pub(crate) fn excess_of(customer: Option<&CustomerName>, excesses: &Excesses) -> Excess {
    let excess = customer.and_then(|customer| excesses.get(customer));
    excess.copied().unwrap_or_default()
}

/// The operators' limits and weights of customers, as far as known.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) enum Terms {
    /// Not read yet, or possibly out of date.
    #[default]
    Unknown,
    /// No customer is limited.
    Unlimited,
    /// Each customer has limits of its own.
    Limited(fleet::Customers),
}

/// What each customer may still start during one pass.
#[derive(Clone, Debug, Default)]
pub(crate) struct Headroom {
    /// Limit and use of the customers that have a limit.
    left: IndexMap<CustomerName, LimitAndUse>,
    limits_unknown: bool,
}

#[derive(Clone, Copy, Debug)]
struct LimitAndUse {
    limit: fleet::Room,
    used: fleet::Room,
}

impl Headroom {
    /// How many tasks that need `need` each a customer may start now, at most
    /// `most`.
    ///
    /// A task that alone exceeds the limit may run as the customer's only one.
    pub(crate) fn startable(
        &self,
        customer: Option<&CustomerName>,
        need: &fleet::Room,
        most: u64,
    ) -> u64 {
        let Some(customer) = customer else {
            return most;
        };
        if self.limits_unknown {
            return 0;
        }
        let Some(left) = self.left.get(customer) else {
            return most;
        };
        let idle = left.used == fleet::Room::default();
        if idle && !left.limit.holds(need) {
            return most.min(1);
        }
        match left.limit.holds(&left.used) {
            true => left.limit.minus(&left.used).count_fitting(need, most),
            false => 0,
        }
    }

    /// Records that a customer starts a task with these resources.
    pub(crate) fn record_start(&mut self, customer: Option<&CustomerName>, room: &fleet::Room) {
        let left = customer.and_then(|customer| self.left.get_mut(customer));
        if let Some(left) = left {
            left.used = left.used.plus(room);
        }
    }
}

impl scheduler::Scheduler {
    /// Sets the limits and weights of customers; `None` if no customer is
    /// limited.
    pub fn set_customers(&mut self, customers: Option<&fleet::Customers>) {
        self.terms = match customers {
            Some(customers) => Terms::Limited(customers.clone()),
            None => Terms::Unlimited,
        };
    }

    /// Discards the limits and weights of customers. Until they are set again
    /// no customer may start anything.
    pub fn forget_customers(&mut self) {
        self.terms = Terms::Unknown;
    }

    /// Whether a customer may see and cancel a job.
    pub fn is_open_to(&self, id: fleet::JobId, customer: Option<&CustomerName>) -> bool {
        let owner = self.jobs.get(&id).and_then(|job| job.customer.as_ref());
        owner.is_none() || owner == customer
    }

    /// A customer's weight; `None` if it has none.
    pub(crate) fn weight_millis(&self, customer: &CustomerName) -> Option<u64> {
        match &self.terms {
            Terms::Limited(customers) => customers.terms(customer).map(|terms| terms.weight_millis),
            Terms::Unknown | Terms::Unlimited => None,
        }
    }

    /// Customers that use clearly more than their weighted share among the customers
    /// with open jobs. This affects the order of steps only, so it changes nothing
    /// while there is room for all.
    ///
    /// Of the resources that a customer uses, the kind counts of which it uses the
    /// largest part of the fleet. Otherwise a customer that fills the memory would be
    /// below its share as long as it leaves processors idle.
    pub(crate) fn customer_excesses(&self) -> Excesses {
        if !matches!(self.terms, Terms::Limited(_)) {
            return Excesses::new();
        }
        let mut used: IndexMap<&CustomerName, fleet::Room> = IndexMap::new();
        let open = self.open.iter().filter_map(|id| self.jobs.get(id));
        for customer in open.filter_map(|job| job.customer.as_ref()) {
            used.entry(customer).or_default();
        }
        let mut total = fleet::Room::default();
        for worker in self.workers.values() {
            total = total.plus(&worker.entry.room);
            for run in worker.runs.values() {
                if let Some(customer) = &run.customer {
                    let used = used.entry(customer).or_default();
                    *used = used.plus(&run.room);
                }
            }
        }
        let weight = |name: &CustomerName| u128::from(self.weight_millis(name).unwrap_or(0));
        let parts = used
            .iter()
            .map(|(name, used)| (*name, largest_part(used, &total)));
        let parts: Vec<(&CustomerName, u128)> = parts.collect();
        let all_used: u128 = parts.iter().map(|(_, used)| used).sum();
        let all_weights: u128 = parts.iter().map(|(name, _)| weight(name)).sum();
        let excesses = parts.into_iter().map(|(name, used)| {
            let excess = Excess::of(used * all_weights, all_used * weight(name));
            (name.clone(), excess)
        });
        excesses
            .filter(|(_, excess)| *excess > Excess::default())
            .collect()
    }

    /// What each customer may start in a pass that begins now.
    pub(crate) fn headroom(&self) -> Headroom {
        let customers = match &self.terms {
            Terms::Unlimited => return Headroom::default(),
            Terms::Unknown => {
                return Headroom {
                    limits_unknown: true,
                    ..Headroom::default()
                };
            }
            Terms::Limited(customers) => customers,
        };
        let unlimited = |terms: &fleet::CustomerTerms| terms.limit == NO_LIMIT;
        let limited = customers.iter().filter(|(_, terms)| !unlimited(terms));
        let mut left: IndexMap<CustomerName, LimitAndUse> = limited
            .map(|(name, terms)| {
                let used = fleet::Room::default();
                let limit = terms.limit;
                (name.clone(), LimitAndUse { limit, used })
            })
            .collect();
        let runs = self
            .workers
            .values()
            .flat_map(|worker| worker.runs.values());
        for run in runs {
            let customer = run.customer.as_ref();
            if let Some(left) = customer.and_then(|customer| left.get_mut(customer)) {
                left.used = left.used.plus(&run.room);
            }
        }
        if !self.not_yet_reported.is_empty() {
            self.add_unreported(&mut left);
        }
        Headroom {
            left,
            limits_unknown: false,
        }
    }

    /// Adds what may be running on workers that have not reported in this term.
    fn add_unreported(&self, left: &mut IndexMap<CustomerName, LimitAndUse>) {
        let unreported_room = self.unreported_room();
        let mut recorded: IndexMap<&CustomerName, fleet::Room> = IndexMap::new();
        for job in self.jobs.values().filter(|job| job.loaded) {
            if let Some(customer) = &job.customer {
                let room = recorded.entry(customer).or_default();
                *room = room.plus(&unfound_room(job));
            }
        }
        for (customer, room) in recorded {
            if let Some(left) = left.get_mut(customer) {
                left.used = left.used.plus(&room.least(&unreported_room));
            }
        }
    }

    /// Total resources of the workers that have not reported. One without an
    /// entry is counted as large as the largest known worker.
    fn unreported_room(&self) -> fleet::Room {
        let rooms = self.workers.values().map(|worker| worker.entry.room);
        let largest = rooms.fold(fleet::Room::default(), |largest, room| largest.most(&room));
        let unreported_rooms = self.not_yet_reported.keys().map(|id| {
            let worker = self.workers.get(id);
            worker.map_or(largest, |worker| worker.entry.room)
        });
        unreported_rooms.fold(fleet::Room::default(), |sum, room| sum.plus(&room))
    }

    /// Whether a gang of a job needs more than its customer's limit.
    pub(crate) fn is_beyond_limit(&self, job: &job::Job) -> bool {
        let Terms::Limited(customers) = &self.terms else {
            return false;
        };
        let terms = job.customer.as_ref().and_then(|name| customers.terms(name));
        let Some(terms) = terms else {
            return false;
        };
        let gangs = job.description.steps.iter().filter(|step| step.gang);
        gangs.into_iter().any(|step| {
            let count = u64::from(step.count);
            terms.limit.count_fitting(&job::occupied(step), count) < count
        })
    }
}

/// Marks a customer without a limit.
const NO_LIMIT: fleet::Room = fleet::Room {
    cpu_millis: u64::MAX,
    memory_mb: u64::MAX,
    accelerators: u64::MAX,
};

/// The largest part that `used` is of `total` in any kind of resource, in millionths.
fn largest_part(used: &fleet::Room, total: &fleet::Room) -> u128 {
    let part = |used: u64, total: u64| u128::from(used) * 1_000_000 / u128::from(total.max(1));
    part(used.cpu_millis, total.cpu_millis)
        .max(part(used.memory_mb, total.memory_mb))
        .max(part(used.accelerators, total.accelerators))
}

/// Resources of the tasks of a loaded job that may be running but were not
/// found on a worker.
fn unfound_room(job: &job::Job) -> fleet::Room {
    let mut room = job.left_running;
    for round in &job.rounds {
        for (step, occupied) in round.steps.iter().zip(&job.rooms) {
            let suspects = step.tasks.iter().filter(|task| task.suspect);
            let not_found = suspects.filter(|task| task.is_waiting());
            room = not_found.fold(room, |room, _| room.plus(occupied));
        }
    }
    room
}
