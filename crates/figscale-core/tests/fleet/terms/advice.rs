//! The simulated advisory service and the entry instances that query it.

use figscale_core::fleet::AdviceQuery;
use figscale_types::fleet;
use figscale_types::ids;

use super::Event;
use super::Simulation;
use crate::helpers;

const MEMBERS: usize = 5;
/// Share of the workers that may run a step.
const APPROVED_PERCENT: u64 = 45;
pub(super) const POLICY: fleet::AdvicePolicy = fleet::AdvicePolicy {
    base_ms: 60.0,
    per_worker_ms: 4.0,
    valid_ms: 2_000,
};
/// Added to twice the expected time of a response to get the timeout of a query.
const TIMEOUT_MARGIN_MS: u64 = 500;

fn member(number: usize) -> ids::MemberId {
    format!("entry-{}", number + 1).parse().unwrap()
}

/// Whether a worker may run a step; it never changes.
pub(super) fn is_approved(task: fleet::TaskId, worker: &fleet::WorkerId) -> bool {
    let number: u64 = worker.name()[2..].parse().unwrap();
    let step = task.job.0 * 31 + u64::from(task.step);
    let hash = (step * 1_000 + number).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (hash >> 32) % 100 < APPROVED_PERCENT
}

impl Simulation {
    /// The queue of a job; some queues need advice.
    pub(super) fn queue_of(&self, number: u64) -> fleet::Queue {
        let priority = u32::from(number.is_multiple_of(2));
        let queue = helpers::queue(priority);
        let advised = self.faults.mixed && !number.is_multiple_of(3);
        fleet::Queue {
            advice: advised.then_some(POLICY),
            ..queue
        }
    }

    pub(super) fn join_members(&mut self, leader: usize) {
        if !self.faults.mixed {
            return;
        }
        let scheduler = &mut self.leaders[leader].scheduler;
        scheduler.leader_joined(&member(0));
        for number in 1..MEMBERS {
            scheduler.member_joined(&member(number));
        }
    }

    /// Lets entry instances leave and return.
    pub(super) fn change_members(&mut self, leader: usize) {
        if !self.faults.mixed {
            return;
        }
        let number = 1 + self.random(MEMBERS as u64 - 1) as usize;
        if !self.calm && self.one_in(150) && !self.leaders[leader].absent.contains_key(&number) {
            let until_ms = self.now_ms + self.random(1_500);
            self.leaders[leader].absent.insert(number, until_ms);
            self.leaders[leader].scheduler.member_left(&member(number));
        }
        let (now_ms, leader) = (self.now_ms, &mut self.leaders[leader]);
        let returned = leader.absent.iter().filter(|(_, until)| now_ms >= **until);
        let returned: Vec<usize> = returned.map(|(number, _)| *number).collect();
        for number in returned {
            leader.absent.swap_remove(&number);
            leader.scheduler.member_joined(&member(number));
        }
    }

    pub(super) fn query_advice(&mut self, leader: usize, query: AdviceQuery) {
        let expected_ms = u64::try_from(query.expected.as_millis()).unwrap();
        let response_ms = match self.calm || !self.one_in(10) {
            true => expected_ms * (80 + self.random(40)) / 100,
            false => expected_ms * (100 + self.random(150)) / 100,
        };
        let away = self.now_ms < self.advice_outage_ms;
        if !self.calm && (away || self.one_in(20)) {
            let timeout_ms = 2 * expected_ms + TIMEOUT_MARGIN_MS;
            self.send(timeout_ms, Event::AdviceAnswered(leader, query, None));
            return;
        }
        let expires_ms = self.now_ms + response_ms + POLICY.valid_ms;
        let good = query
            .workers
            .iter()
            .filter(|id| is_approved(query.task, id));
        let tickets = good.map(|id| fleet::Ticket {
            worker: id.clone(),
            token: expires_ms.to_string(),
        });
        let tickets = tickets.collect();
        let delay = self.delay();
        let event = Event::AdviceAnswered(leader, query, Some(tickets));
        self.send(response_ms + delay, event);
    }

    /// Whether a worker has to refuse an order because of its ticket.
    pub(super) fn ticket_is_expired(&self, order: &fleet::StartOrder) -> bool {
        let advised = self.queue_of(order.task.job.0).advice.is_some();
        let expires_ms = order.ticket.as_ref().map(|ticket| ticket.parse().unwrap());
        advised && self.now_ms > expires_ms.unwrap_or(0)
    }
}
