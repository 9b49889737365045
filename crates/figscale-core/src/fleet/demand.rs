//! Open work and capacity, as admission sees them: pure views, by service,
//! queue priority and customer.
//!
//! Work is the product of resources and time, for each kind of resource, and a
//! worker that takes longer for the same work offers less of each. The time that
//! work takes is that of the kind that is scarcest for it.

use std::fmt;
use std::time;

use figscale_types::fleet;
use figscale_types::fleet::CustomerName;
use indexmap::IndexMap;

use super::job;

/// Resources times the duration for which they are needed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Work {
    core_ms: u64,
    memory_mb_ms: u64,
    accelerator_ms: u64,
}

impl Work {
    /// Work of the tasks of a job that are not done.
    pub(crate) fn remaining(job: &job::Job) -> Self {
        let rounds = job.rounds.iter();
        let steps = rounds.flat_map(|round| round.steps.iter().zip(&job.description.steps));
        steps.fold(Self::default(), |sum, (progress, step)| {
            let left = progress.tasks.iter().filter(|task| !task.is_done()).count();
            sum.plus(&Self::of_tasks(left as u64, step))
        })
    }

    fn of_tasks(count: u64, step: &fleet::StepDescription) -> Self {
        let time_ms = count.saturating_mul(step.estimate_ms);
        Self {
            core_ms: time_ms.saturating_mul(step.room.cpu_millis) / 1_000,
            memory_mb_ms: time_ms.saturating_mul(step.room.memory_mb),
            accelerator_ms: time_ms.saturating_mul(step.room.accelerators),
        }
    }

    pub(crate) fn plus(&self, other: &Self) -> Self {
        Self {
            core_ms: self.core_ms.saturating_add(other.core_ms),
            memory_mb_ms: self.memory_mb_ms.saturating_add(other.memory_mb_ms),
            accelerator_ms: self.accelerator_ms.saturating_add(other.accelerator_ms),
        }
    }

    /// The part of it, from 0 to 1.
    pub(crate) fn part(&self, part: f64) -> Self {
        let of = |amount: u64| (amount as f64 * part) as u64;
        match part {
            part if part >= 1.0 => *self,
            _ => Self {
                core_ms: of(self.core_ms),
                memory_mb_ms: of(self.memory_mb_ms),
                accelerator_ms: of(self.accelerator_ms),
            },
        }
    }

    /// The work in those kinds of resource that `other` needs as well.
    pub(crate) fn competing_with(&self, other: &Self) -> Self {
        let if_needed = |amount, needed| if needed > 0 { amount } else { 0 };
        Self {
            core_ms: if_needed(self.core_ms, other.core_ms),
            memory_mb_ms: if_needed(self.memory_mb_ms, other.memory_mb_ms),
            accelerator_ms: if_needed(self.accelerator_ms, other.accelerator_ms),
        }
    }

    /// Time that it takes on this capacity: the longest over the kinds of
    /// resource. A kind of which nothing is known to exist takes no time.
    pub(crate) fn time_on(&self, capacity: &fleet::Room) -> time::Duration {
        let cpu_ms = self.core_ms.saturating_mul(1_000);
        let memory_ms = self.memory_mb_ms;
        let time_ms = |work: u64, capacity: u64| work.checked_div(capacity).unwrap_or(0);
        let longest_ms = time_ms(cpu_ms, capacity.cpu_millis)
            .max(time_ms(memory_ms, capacity.memory_mb))
            .max(time_ms(self.accelerator_ms, capacity.accelerators));
        time::Duration::from_millis(longest_ms)
    }
}

/// Resources of the workers of one service, each divided by its worker's slowdown.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceCapacity {
    usable: fleet::Room,
    /// Of those too that are not usable now.
    listed: fleet::Room,
}

/// Resources of workers by service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Capacity {
    services: IndexMap<String, ServiceCapacity>,
}

impl Capacity {
    pub(crate) fn add(
        &mut self,
        entry: &fleet::WorkerEntry,
        slowdown: fleet::Slowdown,
        usable: bool,
    ) {
        let percent = u64::from(slowdown.percent());
        let offered = |amount: u64| amount.saturating_mul(100) / percent;
        let room = fleet::Room {
            cpu_millis: offered(entry.room.cpu_millis),
            memory_mb: offered(entry.room.memory_mb),
            accelerators: offered(entry.room.accelerators),
        };
        let known = self.services.get_index_of(&entry.service);
        let position = known.unwrap_or_else(|| {
            let capacity = ServiceCapacity::default();
            self.services.insert_full(entry.service.clone(), capacity).0
        });
        let sums = &mut self.services[position];
        sums.listed = sums.listed.plus(&room);
        if usable {
            sums.usable = sums.usable.plus(&room);
        }
    }

    /// The usable resources of a service, but no less than half of those listed. If
    /// most workers are out of reach at a time, that is probably the leader's own fault
    /// and will pass. If no worker is usable, all listed ones count.
    pub(crate) fn of_service(&self, service: &str) -> fleet::Room {
        let Some(sums) = self.services.get(service) else {
            return fleet::Room::default();
        };
        match sums.usable == fleet::Room::default() {
            true => sums.listed,
            false => sums.usable.most(&sums.listed.halved()),
        }
    }
}

/// Open work of one service at one priority.
#[derive(Clone, Debug)]
struct OpenWork {
    service: String,
    priority: u32,
    by_customer: IndexMap<Option<CustomerName>, Work>,
}

/// Open work of all services.
#[derive(Clone, Debug, Default)]
pub(crate) struct Demand {
    open: Vec<OpenWork>,
    memory_bytes: u64,
}

impl Demand {
    pub(crate) fn add(&mut self, job: &job::Job, work: &Work) {
        self.memory_bytes = self.memory_bytes.saturating_add(job.memory_bytes());
        let queue = &job.queue;
        let same =
            |open: &OpenWork| open.priority == queue.priority && open.service == queue.service;
        let known = self.open.iter().position(same);
        let position = known.unwrap_or_else(|| {
            self.open.push(OpenWork {
                service: queue.service.clone(),
                priority: queue.priority,
                by_customer: IndexMap::new(),
            });
            self.open.len() - 1
        });
        let by_customer = &mut self.open[position].by_customer;
        match by_customer.get_mut(&job.customer) {
            Some(sum) => *sum = sum.plus(work),
            None => {
                by_customer.insert(job.customer.clone(), *work);
            }
        }
    }

    /// Approximate memory that all open jobs take.
    pub(crate) fn memory_bytes(&self) -> u64 {
        self.memory_bytes
    }

    /// Work that comes before a job's in a queue, by customer: that of its service
    /// with the same or a higher priority, in the kinds of resource that the job
    /// needs.
    pub(crate) fn ahead_of(&self, queue: &fleet::Queue, job: &Work) -> WorkByCustomer<'_> {
        let mut ahead = WorkByCustomer::default();
        let of_service = self
            .open
            .iter()
            .filter(|open| open.priority <= queue.priority && open.service == queue.service);
        for (customer, work) in of_service.flat_map(|open| &open.by_customer) {
            ahead.add(customer.as_ref(), &work.competing_with(job));
        }
        ahead
    }
}

/// Work that comes before that of a new job, by customer.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkByCustomer<'a> {
    by_customer: IndexMap<Option<&'a CustomerName>, Work>,
}

/// A customer's part of the work that competes with a job of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CustomerShare {
    /// Its part of the work, in percent.
    pub used_percent: u32,
    /// Its weight, in percent of those of all customers with work.
    pub due_percent: u32,
}

impl fmt::Display for CustomerShare {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%, due {}%", self.used_percent, self.due_percent)
    }
}

impl<'a> WorkByCustomer<'a> {
    pub(crate) fn add(&mut self, customer: Option<&'a CustomerName>, work: &Work) {
        let sum = self.by_customer.entry(customer).or_default();
        *sum = sum.plus(work);
    }

    /// All of it.
    pub(crate) fn total(&self) -> Work {
        let all = self.by_customer.values();
        all.fold(Work::default(), |sum, work| sum.plus(work))
    }

    /// The part of it that is done before a new job of a customer, if each customer
    /// gets resources in proportion to its weight as long as it has work: all of
    /// this customer's, and of each other's no more than its weight admits by the
    /// time at which this customer's work and the job are done. Customers
    /// without a weight are not restrained.
    pub(crate) fn before(
        &self,
        customer: Option<&CustomerName>,
        job: &Work,
        capacity: &fleet::Room,
        weight_millis: impl Fn(&CustomerName) -> Option<u64>,
    ) -> Work {
        let Some(own_weight) = customer.and_then(&weight_millis).filter(|own| *own > 0) else {
            return self.total();
        };
        let own = self.by_customer.get(&customer).copied().unwrap_or_default();
        let own_time = own.plus(job).time_on(capacity);
        let all = self.by_customer.iter();
        all.fold(Work::default(), |sum, (other, work)| {
            let weight = other.filter(|other| customer != Some(*other));
            let part = match weight.and_then(&weight_millis) {
                None => 1.0,
                Some(weight) => {
                    let allowed = own_time.as_secs_f64() * weight as f64 / own_weight as f64;
                    let time = work.time_on(capacity).as_secs_f64();
                    if time > allowed { allowed / time } else { 1.0 }
                }
            };
            sum.plus(&work.part(part))
        })
    }

    /// A customer's part of the work, beside the part that its weight admits.
    pub(crate) fn share(
        &self,
        customer: &CustomerName,
        capacity: &fleet::Room,
        weight_millis: impl Fn(&CustomerName) -> Option<u64>,
    ) -> Option<CustomerShare> {
        let own_weight = weight_millis(customer)?;
        let time = |work: &Work| super::lease::millis(work.time_on(capacity));
        let own = self.by_customer.get(&Some(customer)).map_or(0, time);
        let all: u64 = self.by_customer.values().map(time).sum();
        let others = self.by_customer.keys().flatten();
        let others = others.filter(|other| **other != customer);
        let other_weights: u64 = others.filter_map(|other| weight_millis(other)).sum();
        let percent = |part: u64, all: u64| {
            let percent = part.saturating_mul(100).checked_div(all).unwrap_or(0);
            u32::try_from(percent).unwrap_or(u32::MAX)
        };
        Some(CustomerShare {
            used_percent: percent(own, all),
            due_percent: percent(own_weight, own_weight.saturating_add(other_weights)),
        })
    }
}
