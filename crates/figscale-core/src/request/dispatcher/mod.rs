//! Grants runner slots to requests, at the holder of the runners' shards.
//!
//! Combines the slot table, a fair queue for each service, outlier ejection of
//! failing runners and the measured service times. A submitted request is granted
//! a slot at once, waits, or is refused at once because its deadline cannot be
//! met or the queue is full. Every change of the slots must be followed by
//! [`Dispatcher::poll`], which returns the waiting requests that were granted a
//! slot or are refused.
//!
//! A share of the slots is reserved from best-effort requests while interactive
//! requests arrive, so that an interactive request finds a free slot without
//! waiting for a long run to end. A service without interactive requests has no
//! such reservation.

use std::time;

use figscale_types::catalogue;
use figscale_types::ids;
use indexmap::IndexMap;

mod counts;
mod message;
mod pick;

use super::admission;
use super::outlier;
use super::queue;
use super::service_time;
use super::slots;

pub use message::DispatcherConfig;
pub use message::End;
pub use message::Event;
pub use message::Grant;
pub use message::Refusal;
pub use message::SlotId;
pub use message::Submission;
pub use message::Submitted;

#[derive(Clone, Debug)]
struct InUse {
    runner: ids::InstanceId,
    service: ids::ServiceName,
    entry: ids::EntryName,
    max_run: time::Duration,
}

#[derive(Clone, Debug, Default)]
struct Service {
    queue: queue::FairQueue,
    outliers: outlier::Outliers,
    last_interactive: Option<time::Instant>,
    grant_intervals: [service_time::GrantInterval; 3],
}

/// The slots that this process may grant, and the requests that wait for them.
#[derive(Debug, Default)]
pub struct Dispatcher {
    config: DispatcherConfig,
    table: slots::SlotTable,
    services: IndexMap<ids::ServiceName, Service>,
    times: service_time::ServiceTimes,
    waiting: IndexMap<queue::Ticket, Submission>,
    waiting_by_entry: IndexMap<ids::EntryName, u32>,
    draining: IndexMap<ids::ShardId, ids::Epoch>,
    in_use: IndexMap<SlotId, InUse>,
    last_slot: u64,
}

impl Dispatcher {
    /// Creates a dispatcher without slots.
    pub fn new(config: DispatcherConfig) -> Self {
        Self {
            config,
            table: slots::SlotTable::new(config.slots),
            ..Self::default()
        }
    }

    /// Applies the set of shards that are held; follow with [`Dispatcher::poll`].
    pub fn update(
        &mut self,
        mut held: IndexMap<ids::ShardId, slots::HeldShard>,
        longest_run: impl Fn(&ids::ServiceName) -> time::Duration,
        now: time::Instant,
    ) {
        self.draining
            .retain(|id, epoch| held.get(id).is_some_and(|shard| shard.epoch == *epoch));
        held.retain(|shard, _| !self.draining.contains_key(shard));
        self.table.update(&held, longest_run, now);
        let services: Vec<_> = self.table.services().cloned().collect();
        for name in services {
            self.service_mut(&name);
        }
        let table = &self.table;
        for service in self.services.values_mut() {
            service
                .outliers
                .retain(|runner| table.runner(runner).is_some());
        }
    }

    /// Stops granting slots of a shard that is about to be handed over.
    ///
    /// The shard is used again only when it is held under another epoch.
    pub fn drain(&mut self, shard: &ids::ShardId) {
        let of_shard = self.table.runners().filter(|r| r.shard == *shard);
        let epoch = of_shard.filter_map(|runner| runner.epoch).next();
        if let Some(epoch) = epoch {
            self.draining.insert(shard.clone(), epoch);
            self.table.stop(shard);
        }
    }

    /// Whether no request can be in progress on the runners of a shard.
    pub fn is_shard_idle(&self, shard: &ids::ShardId, now: time::Instant) -> bool {
        self.table.is_shard_idle(shard, now)
    }

    /// Requests a slot: it is granted now, queued or refused.
    pub fn submit(&mut self, submission: Submission, now: time::Instant) -> Submitted {
        let name = submission.service.clone();
        if self.table.of_service(&name).next().is_none() {
            return Submitted::Refused(self.refusal(admission::Reason::NoHolder, &submission, now));
        }
        if submission.urgency == catalogue::Urgency::Interactive {
            self.service_mut(&name).last_interactive = Some(now);
        }
        if self.would_grant(&name, submission.urgency, now)
            && let Some(grant) = self.grant(&submission, now)
        {
            return Submitted::Granted(grant);
        }
        if let Some(reason) = self.queue_refusal(&submission, now) {
            return Submitted::Refused(self.refusal(reason, &submission, now));
        }
        let level = queue::level_of(submission.urgency);
        self.service_mut(&name).grant_intervals[level].record_waiting(now);
        self.enqueue(submission);
        Submitted::Queued
    }

    /// Whether a request of this urgency would be granted a slot at once.
    pub fn would_grant(
        &self,
        name: &ids::ServiceName,
        urgency: catalogue::Urgency,
        now: time::Instant,
    ) -> bool {
        let service = self.services.get(name);
        let ahead = service.map_or(0, |service| service.queue.ahead_of(urgency));
        ahead == 0 && self.usable(name, now) > 0 && self.may_use(name, urgency, now)
    }

    fn queue_refusal(
        &self,
        submission: &Submission,
        now: time::Instant,
    ) -> Option<admission::Reason> {
        let waiting = self.waiting_by_entry.get(&submission.entry);
        if waiting.copied().unwrap_or(0) >= submission.max_queue_len {
            return Some(admission::Reason::QueueFull);
        }
        let needs = self.expected_wait(&submission.service, submission.urgency, now)
            + self.times.of_entry(&submission.entry);
        (now + needs >= submission.deadline).then_some(admission::Reason::Unreachable)
    }

    fn enqueue(&mut self, submission: Submission) {
        let waiting = queue::Waiting {
            ticket: submission.ticket,
            owner: submission.owner.clone(),
            weight: submission.weight,
            urgency: submission.urgency,
            deadline: submission.deadline,
        };
        self.service_mut(&submission.service).queue.push(&waiting);
        let count = self.waiting_by_entry.entry(submission.entry.clone());
        *count.or_insert(0) += 1;
        self.waiting.insert(submission.ticket, submission);
    }

    /// Removes a waiting request whose caller has cancelled it.
    pub fn cancel(&mut self, ticket: queue::Ticket) {
        if let Some(submission) = self.remove_waiting(ticket) {
            self.service_mut(&submission.service).queue.cancel(ticket);
        }
    }

    fn remove_waiting(&mut self, ticket: queue::Ticket) -> Option<Submission> {
        let submission = self.waiting.swap_remove(&ticket)?;
        if let Some(count) = self.waiting_by_entry.get_mut(&submission.entry) {
            *count -= 1;
            if *count == 0 {
                self.waiting_by_entry.swap_remove(&submission.entry);
            }
        }
        Some(submission)
    }

    /// Ends the use of a slot; follow with [`Dispatcher::poll`].
    ///
    /// Returns the runner if this end caused its ejection.
    pub fn finish(
        &mut self,
        slot: SlotId,
        end: End,
        now: time::Instant,
    ) -> Option<ids::InstanceId> {
        let used = self.in_use.swap_remove(&slot)?;
        match end {
            End::Lost => self.table.mark_lost(&used.runner, used.max_run, now),
            _ => self.table.free(&used.runner),
        }
        if let End::Answered { ran, .. } = end {
            self.times.add(&used.service, &used.entry, ran);
        }
        let runners = self.table.of_service(&used.service).count();
        let outliers = &mut self.service_mut(&used.service).outliers;
        let ejected = match end {
            End::Answered { good: true, .. } => {
                outliers.record_success(&used.runner);
                false
            }
            End::NotSent => {
                outliers.record_neutral(&used.runner);
                false
            }
            _ => outliers.record_failure(&used.runner, runners, now),
        };
        ejected.then_some(used.runner)
    }

    /// Applies a runner's report of its busy slots, taken at `taken` or later.
    pub fn report(
        &mut self,
        runner: &ids::InstanceId,
        busy: u32,
        taken: time::Instant,
        now: time::Instant,
    ) {
        self.table.report(runner, busy, taken, now);
    }

    /// Records that a runner has announced that it is leaving.
    pub fn mark_leaving(&mut self, runner: &ids::InstanceId) {
        self.table.mark_leaving(runner);
    }

    /// Grants slots to waiting requests, and refuses those whose deadline has
    /// passed or whose service has no held runner any more.
    pub fn poll(&mut self, now: time::Instant) -> Vec<Event> {
        let mut events = Vec::new();
        let names: Vec<_> = (self.services.iter())
            .filter(|(_, service)| !service.queue.is_empty())
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            self.poll_service(&name, now, &mut events);
        }
        events
    }

    fn poll_service(
        &mut self,
        name: &ids::ServiceName,
        now: time::Instant,
        events: &mut Vec<Event>,
    ) {
        for ticket in self.service_mut(name).queue.expire(now) {
            self.refuse_waiting(ticket, admission::Reason::Expired, now, events);
        }
        let held = self.table.of_service(name).next().is_some();
        while let Some(ticket) = self.next_waiting(name, held, now) {
            if !held {
                self.refuse_waiting(ticket, admission::Reason::NoHolder, now, events);
                continue;
            }
            let Some(submission) = self.remove_waiting(ticket) else {
                continue;
            };
            match self.grant(&submission, now) {
                Some(grant) => {
                    self.record_grant(&submission, now);
                    events.push(Event::Granted(ticket, grant));
                }
                None => {
                    self.enqueue(submission);
                    break;
                }
            }
        }
    }

    fn record_grant(&mut self, submission: &Submission, now: time::Instant) {
        let service = self.service_mut(&submission.service);
        let left = service.queue.len_of(submission.urgency);
        service.grant_intervals[queue::level_of(submission.urgency)].record_grant(left, now);
    }

    fn next_waiting(
        &mut self,
        name: &ids::ServiceName,
        held: bool,
        now: time::Instant,
    ) -> Option<queue::Ticket> {
        if !held {
            return self.service_mut(name).queue.pop(|_| true);
        }
        if self.usable(name, now) == 0 {
            return None;
        }
        let best_effort = self.may_use(name, catalogue::Urgency::BestEffort, now);
        let allowed = |urgency| urgency != catalogue::Urgency::BestEffort || best_effort;
        self.service_mut(name).queue.pop(allowed)
    }

    fn refuse_waiting(
        &mut self,
        ticket: queue::Ticket,
        reason: admission::Reason,
        now: time::Instant,
        events: &mut Vec<Event>,
    ) {
        if let Some(submission) = self.remove_waiting(ticket) {
            let refusal = self.refusal(reason, &submission, now);
            events.push(Event::Refused(ticket, refusal));
        }
    }

    fn refusal(
        &self,
        reason: admission::Reason,
        submission: &Submission,
        now: time::Instant,
    ) -> Refusal {
        Refusal {
            reason,
            backlog: self.expected_wait(&submission.service, submission.urgency, now),
        }
    }
}
