//! What customers may start: their limits against what they have in use.
//!
//! A customer's use is all that may run for it on any worker: what was ordered,
//! what runs, what is being stopped and has not ended, and what is on a worker out
//! of reach until its lease is surely over. That is what the books hold as runs.
//! After a change of leaders there is more that no report has shown yet; it is
//! bounded from above by what the records say may run, and by the room of the
//! workers that were not heard.
//!
//! When all is full they share by weight: work of a customer that uses more than its
//! part comes after that of the others, as late and as urgent.
//!
//! Where the terms of customers are not known, or not proven to be in force, no
//! customer may start anything.

use figscale_types::fleet;
use figscale_types::fleet::CustomerName;
use indexmap::IndexMap;
use indexmap::IndexSet;

use super::job;
use super::scheduler;

/// A customer is over its share with so many percent of it.
const OVER_SHARE_PERCENT: u32 = 125;

/// What the operators say of customers, as far as known.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) enum Terms {
    /// Nothing was read yet, or it may be out of date.
    #[default]
    Unknown,
    /// Nobody is limited.
    Unlimited,
    /// Each customer's own.
    Limited(fleet::Customers),
}

/// Room in use by customer, and what is left to each during one pass.
#[derive(Clone, Debug, Default)]
pub(crate) struct Headroom {
    /// Of customers with a limit.
    left: IndexMap<CustomerName, Left>,
    closed: bool,
}

#[derive(Clone, Copy, Debug)]
struct Left {
    limit: fleet::Room,
    used: fleet::Room,
}

impl Headroom {
    /// How many tasks of a size a customer may start now, `most` at most.
    ///
    /// One that alone is more than the limit may run by itself.
    pub(crate) fn times(
        &self,
        customer: Option<&CustomerName>,
        need: &fleet::Room,
        most: u64,
    ) -> u64 {
        let Some(customer) = customer else {
            return most;
        };
        if self.closed {
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
            true => left.limit.minus(&left.used).times(need, most),
            false => 0,
        }
    }

    /// A customer starts a task of that size.
    pub(crate) fn take(&mut self, customer: Option<&CustomerName>, room: &fleet::Room) {
        let left = customer.and_then(|customer| self.left.get_mut(customer));
        if let Some(left) = left {
            left.used = left.used.plus(room);
        }
    }
}

impl scheduler::Scheduler {
    /// The terms of customers are these; `None` where nobody is limited.
    pub fn set_customers(&mut self, customers: Option<&fleet::Customers>) {
        self.terms = match customers {
            Some(customers) => Terms::Limited(customers.clone()),
            None => Terms::Unlimited,
        };
    }

    /// The terms of customers are not known any more: no customer may start
    /// anything until they are.
    pub fn forget_customers(&mut self) {
        self.terms = Terms::Unknown;
    }

    /// Whether a job may be shown to a customer, or cancelled by it.
    pub fn is_open_to(&self, id: fleet::JobId, customer: Option<&CustomerName>) -> bool {
        let owner = self.jobs.get(&id).and_then(|job| job.customer.as_ref());
        owner.is_none() || owner == customer
    }

    /// Customers that use clearly more of the processors than their part by weight
    /// among those that have work. Beside free room it changes nothing who goes first.
    pub(crate) fn customers_over_share(&self) -> IndexSet<CustomerName> {
        let Terms::Limited(customers) = &self.terms else {
            return IndexSet::new();
        };
        let mut used: IndexMap<&CustomerName, u64> = IndexMap::new();
        let open = self.open.iter().filter_map(|id| self.jobs.get(id));
        for customer in open.filter_map(|job| job.customer.as_ref()) {
            used.entry(customer).or_default();
        }
        let runs = self
            .workers
            .values()
            .flat_map(|worker| worker.runs.values());
        for run in runs {
            if let Some(customer) = &run.customer {
                *used.entry(customer).or_default() += run.room.cpu_millis;
            }
        }
        let weight =
            |name: &CustomerName| customers.terms(name).map_or(0, |terms| terms.weight_millis);
        let all_used: u64 = used.values().sum();
        let all_weights: u64 = used.keys().map(|name| weight(name)).sum();
        let is_over = |(name, used): &(&&CustomerName, &u64)| {
            let part = u128::from(all_used) * u128::from(weight(name));
            let used = u128::from(**used) * u128::from(all_weights);
            used * 100 > part * u128::from(OVER_SHARE_PERCENT)
        };
        let over = used.iter().filter(is_over);
        over.map(|(name, _)| (*name).clone()).collect()
    }

    /// What each customer may start in a pass that begins now.
    pub(crate) fn headroom(&self) -> Headroom {
        let customers = match &self.terms {
            Terms::Unlimited => return Headroom::default(),
            Terms::Unknown => {
                return Headroom {
                    closed: true,
                    ..Headroom::default()
                };
            }
            Terms::Limited(customers) => customers,
        };
        let unlimited = |terms: &fleet::CustomerTerms| terms.limit == NO_LIMIT;
        let limited = customers.iter().filter(|(_, terms)| !unlimited(terms));
        let mut left: IndexMap<CustomerName, Left> = limited
            .map(|(name, terms)| {
                let used = fleet::Room::default();
                let limit = terms.limit;
                (name.clone(), Left { limit, used })
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
        if !self.unheard.is_empty() {
            self.add_unheard(&mut left);
        }
        Headroom {
            left,
            closed: false,
        }
    }

    /// Adds what may run on workers that were not heard in this term.
    fn add_unheard(&self, left: &mut IndexMap<CustomerName, Left>) {
        let unheard = self.unheard_room();
        let mut recorded: IndexMap<&CustomerName, fleet::Room> = IndexMap::new();
        for job in self.jobs.values().filter(|job| job.loaded) {
            if let Some(customer) = &job.customer {
                let room = recorded.entry(customer).or_default();
                *room = room.plus(&room_unheard_of(job));
            }
        }
        for (customer, room) in recorded {
            if let Some(left) = left.get_mut(customer) {
                left.used = left.used.plus(&room.least(&unheard));
            }
        }
    }

    /// All room of the workers that were not heard; one without an entry may be as
    /// large as any.
    fn unheard_room(&self) -> fleet::Room {
        let rooms = self.workers.values().map(|worker| worker.entry.room);
        let largest = rooms.fold(fleet::Room::default(), |largest, room| largest.most(&room));
        let unheard = self.unheard.keys().map(|id| {
            let worker = self.workers.get(id);
            worker.map_or(largest, |worker| worker.entry.room)
        });
        unheard.fold(fleet::Room::default(), |sum, room| sum.plus(&room))
    }

    /// Whether a gang of a job needs more than its customer may ever have running.
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
            terms.limit.times(&job::occupied(step), count) < count
        })
    }
}

/// The limit of a customer that has none.
const NO_LIMIT: fleet::Room = fleet::Room {
    cpu_millis: u64::MAX,
    memory_mb: u64::MAX,
    accelerators: u64::MAX,
};

/// What may run of a loaded job without having been found on a worker.
fn room_unheard_of(job: &job::Job) -> fleet::Room {
    let mut room = job.left_running;
    for round in &job.rounds {
        for (step, occupied) in round.steps.iter().zip(&job.rooms) {
            let suspects = step.tasks.iter().filter(|task| task.suspect);
            let unheard = suspects.filter(|task| task.is_waiting());
            room = unheard.fold(room, |room, _| room.plus(occupied));
        }
    }
    room
}
