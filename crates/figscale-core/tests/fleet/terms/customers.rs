//! Simulated customers, their limits, and the check that the limits hold.

use figscale_types::fleet;

use super::Simulation;

/// First limit of each customer.
pub(super) const FIRST_LIMIT_CORES: u64 = 14;
/// Limits that are set during the simulation; tasks need one core each.
const LIMITS_CORES: [u64; 4] = [14, 10, 7, 20];
/// A leader has received a change within this time.
const APPLY_MS: u64 = 3_000;
const CUSTOMERS: u64 = 2;

/// The customer that a job belongs to.
pub(super) fn customer_of(job: fleet::JobId) -> fleet::CustomerName {
    format!("customer-{}", job.0 % CUSTOMERS).parse().unwrap()
}

impl Simulation {
    /// Changes limits at random times; leaders receive them some time later.
    pub(super) fn change_limits(&mut self) {
        if !self.faults.customers {
            return;
        }
        if self.one_in(400) {
            let chosen = self.random(LIMITS_CORES.len() as u64) as usize;
            self.limits.push((self.now_ms, LIMITS_CORES[chosen]));
        }
        for leader in 0..self.leaders.len() {
            if self.leaders[leader].alive && self.one_in(10) {
                let (_, cores) = self.limits[self.limits.len() - 1];
                let customers = terms(cores);
                self.leaders[leader]
                    .scheduler
                    .set_customers(Some(&customers));
                self.leaders[leader].limits_known_ms = Some(self.now_ms);
            }
            // A configuration received long ago is no proof that it is still in
            // force.
            let known_ms = self.leaders[leader].limits_known_ms;
            if known_ms.is_some_and(|known| self.now_ms >= known + APPLY_MS) {
                self.leaders[leader].scheduler.forget_customers();
            }
        }
    }

    /// Checks the limit of a job's customer after a task of the job was
    /// started.
    pub(super) fn check_limit(&mut self, job: fleet::JobId) {
        if !self.faults.customers {
            return;
        }
        let customer = customer_of(job);
        let up = self.workers.values().filter(|worker| worker.up);
        let runs = up.flat_map(|worker| worker.running.keys());
        let own = runs.filter(|(task, _)| customer_of(task.job) == customer);
        let running = own.count() as u64;
        let now_ms = self.now_ms;
        let ends = self.limits.iter().skip(1).map(|(from, _)| *from);
        let ends = ends.chain([u64::MAX]);
        let in_force = self.limits.iter().zip(ends);
        let in_force = in_force.filter(|(_, end)| now_ms <= end.saturating_add(APPLY_MS));
        let limit = in_force.map(|((_, cores), _)| *cores).max().unwrap();
        if running * 10 > limit * 11 + 10 {
            let violation =
                format!("{now_ms}: {customer} has {running} tasks running, limit is {limit}");
            self.violations.push(violation);
        }
    }
}

fn terms(cores: u64) -> fleet::Customers {
    let mut customers = fleet::Customers::default();
    for number in 0..CUSTOMERS {
        let terms = fleet::CustomerTerms {
            weight_millis: 1_000,
            limit: fleet::Room {
                cpu_millis: cores * 1_000,
                memory_mb: u64::MAX,
                accelerators: u64::MAX,
            },
        };
        let customer = customer_of(fleet::JobId(number));
        customers.add(customer, terms, []).unwrap();
    }
    customers
}
