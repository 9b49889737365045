//! Grants slots to requests: the holder's side.
//!
//! Put together from the slot table, a fair queue for each service, the records
//! of failing runners and the measured service times. A request is submitted,
//! and is granted a slot at once, waits, or is refused at once because its
//! deadline cannot be met or the queue is full. Whatever changes the slots is
//! followed by [`Dispatcher::poll`], which answers with the waiting requests
//! that got a slot or have to go.
//!
//! Part of the slots is kept free of best-effort work while interactive requests
//! are about, so that an interactive one finds a slot without waiting for a
//! long run to end; a service that nobody asks interactively loses nothing by
//! it.

use std::net;
use std::time;

use figscale_types::catalogue;
use figscale_types::ids;
use indexmap::IndexMap;

use super::admission;
use super::board;
use super::outlier;
use super::queue;
use super::service_time;
use super::slots;

/// Settings of the dispatcher.
#[derive(Clone, Copy, Debug)]
pub struct DispatcherConfig {
    /// Settings of the queues.
    pub queue: queue::QueueConfig,
    /// Settings of the ejection of runners.
    pub outlier: outlier::OutlierConfig,
    /// Settings of the slot table.
    pub slots: slots::SlotConfig,
    /// Share of the slots that best-effort work leaves free. Default 0.1.
    pub reserve_share: f64,
    /// Time after an interactive request for which the share is kept. Default 30 s.
    pub reserve_for: time::Duration,
}

impl Default for DispatcherConfig {
    fn default() -> Self {
        Self {
            queue: queue::QueueConfig::default(),
            outlier: outlier::OutlierConfig::default(),
            slots: slots::SlotConfig::default(),
            reserve_share: 0.1,
            reserve_for: time::Duration::from_secs(30),
        }
    }
}

/// A request that asks for a slot.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Its name at this dispatcher.
    pub ticket: queue::Ticket,
    /// Catalogue entry.
    pub entry: ids::EntryName,
    /// Service whose runner it needs.
    pub service: ids::ServiceName,
    /// Owner on whose behalf it is asked.
    pub owner: ids::OwnerName,
    /// The owner's weight.
    pub weight: u32,
    /// Urgency.
    pub urgency: catalogue::Urgency,
    /// When its caller stops waiting.
    pub deadline: time::Instant,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Runner that just failed it, if any.
    pub avoid: Option<ids::InstanceId>,
    /// Most requests of its entry that may wait here.
    pub max_queue_len: u32,
    /// Longest run of a request of its entry.
    pub max_run: time::Duration,
}

/// Names a granted slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SlotId(pub u64);

/// A slot granted to one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Its name.
    pub slot: SlotId,
    /// The runner.
    pub runner: ids::InstanceId,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Most connections to it.
    pub connections: u32,
    /// Its shard.
    pub shard: ids::ShardId,
    /// Epoch under which the shard is held.
    pub epoch: ids::Epoch,
}

/// A request that was refused, with the time that the backlog needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: admission::Reason,
    /// Time until the present backlog is done.
    pub backlog: time::Duration,
}

/// What became of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Submitted {
    /// It has a slot.
    Granted(Grant),
    /// It waits.
    Queued,
    /// It was refused.
    Refused(Refusal),
}

/// What became of a waiting request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// It has a slot.
    Granted(queue::Ticket, Grant),
    /// It has to go.
    Refused(queue::Ticket, Refusal),
}

/// How the use of a slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The runner answered in full.
    Answered {
        /// Time that it took.
        ran: time::Duration,
        /// Whether the answer speaks for the runner.
        good: bool,
    },
    /// The runner refused the request without running it.
    RefusedByRunner,
    /// Nothing reached the runner, and the fault may be its own.
    Unreachable,
    /// Nothing was sent, for a reason that has nothing to do with the runner.
    NotSent,
    /// The request may still run.
    Lost,
}

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
    paces: [service_time::Pace; 3],
}

/// The slots that this process may grant, and who waits for them.
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
    /// A dispatcher without slots.
    pub fn new(config: DispatcherConfig) -> Self {
        Self {
            config,
            table: slots::SlotTable::new(config.slots),
            ..Self::default()
        }
    }

    /// Takes in which shards are held; follow with [`Dispatcher::poll`].
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
    /// The shard is used again only under another epoch.
    pub fn drain(&mut self, shard: &ids::ShardId) {
        let of_shard = self.table.runners().filter(|r| r.shard == *shard);
        let epoch = of_shard.filter_map(|runner| runner.epoch).next();
        if let Some(epoch) = epoch {
            self.draining.insert(shard.clone(), epoch);
            self.table.stop(shard);
        }
    }

    /// Whether nothing of a shard can be in progress.
    pub fn is_shard_idle(&self, shard: &ids::ShardId, now: time::Instant) -> bool {
        self.table.is_shard_idle(shard, now)
    }

    /// Asks for a slot.
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
        if let Some(reason) = self.cannot_wait(&submission, now) {
            return Submitted::Refused(self.refusal(reason, &submission, now));
        }
        let level = queue::level_of(submission.urgency);
        self.service_mut(&name).paces[level].waits(now);
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

    fn cannot_wait(
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

    /// Takes out a waiting request whose caller gave up.
    pub fn cancel(&mut self, ticket: queue::Ticket) {
        if let Some(submission) = self.forget(ticket) {
            self.service_mut(&submission.service).queue.cancel(ticket);
        }
    }

    fn forget(&mut self, ticket: queue::Ticket) -> Option<Submission> {
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
    /// Answers the runner when it was ejected by this.
    pub fn finish(
        &mut self,
        slot: SlotId,
        end: End,
        now: time::Instant,
    ) -> Option<ids::InstanceId> {
        let used = self.in_use.swap_remove(&slot)?;
        match end {
            End::Lost => self.table.lose(&used.runner, used.max_run, now),
            _ => self.table.free(&used.runner),
        }
        if let End::Answered { ran, .. } = end {
            self.times.add(&used.service, &used.entry, ran);
        }
        let runners = self.table.of_service(&used.service).count();
        let outliers = &mut self.service_mut(&used.service).outliers;
        let ejected = match end {
            End::Answered { good: true, .. } => {
                outliers.good(&used.runner);
                false
            }
            End::NotSent => {
                outliers.neutral(&used.runner);
                false
            }
            _ => outliers.bad(&used.runner, runners, now),
        };
        ejected.then_some(used.runner)
    }

    /// Takes in a runner's report that tells of the moment `taken`, or a later one.
    pub fn report(
        &mut self,
        runner: &ids::InstanceId,
        busy: u32,
        taken: time::Instant,
        now: time::Instant,
    ) {
        self.table.report(runner, busy, taken, now);
    }

    /// Notes that a runner said itself that it is leaving.
    pub fn says_leaving(&mut self, runner: &ids::InstanceId) {
        self.table.says_leaving(runner);
    }

    /// Grants slots to waiting requests and lets go of those that cannot stay.
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
            let Some(submission) = self.forget(ticket) else {
                continue;
            };
            match self.grant(&submission, now) {
                Some(grant) => {
                    self.note_pace(&submission, now);
                    events.push(Event::Granted(ticket, grant));
                }
                None => {
                    self.enqueue(submission);
                    break;
                }
            }
        }
    }

    fn note_pace(&mut self, submission: &Submission, now: time::Instant) {
        let service = self.service_mut(&submission.service);
        let left = service.queue.len_of(submission.urgency);
        service.paces[queue::level_of(submission.urgency)].granted(left, now);
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
        if let Some(submission) = self.forget(ticket) {
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

    /// Time that a request of this urgency would wait behind those before it.
    ///
    /// The larger of two estimates: what the run times allow, and the pace at
    /// which requests of its urgency were granted slots of late.
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
        let pace = &service.paces[queue::level_of(urgency)];
        by_runs.max(pace.expect(service.queue.len_of(urgency), now))
    }

    /// Counts of every service with a held runner, for the other holders.
    pub fn counts(&self, now: time::Instant) -> IndexMap<ids::ServiceName, board::Counts> {
        let names = self.table.services();
        names
            .map(|name| (name.clone(), self.counts_of(name, now)))
            .collect()
    }

    /// Counts of one service.
    pub fn counts_of(&self, name: &ids::ServiceName, now: time::Instant) -> board::Counts {
        let live = self.table.of_service(name).filter(|r| !r.is_leaving());
        let slots = live.map(|runner| runner.instance.slots).sum();
        let usable = self.usable(name, now);
        let reserve = self.reserve(name, now);
        let queue = self.services.get(name).map(|service| &service.queue);
        let ahead = |urgency| {
            let ahead = queue.map_or(0, |queue| queue.ahead_of(urgency));
            u32::try_from(ahead).unwrap_or(u32::MAX)
        };
        board::Counts {
            slots,
            free: queue::URGENCIES.map(|urgency| match urgency {
                catalogue::Urgency::BestEffort => usable.saturating_sub(reserve),
                _ => usable,
            }),
            ahead: queue::URGENCIES.map(ahead),
        }
    }

    /// When to poll next though nothing has changed.
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

    /// Whether a runner is set aside.
    pub fn is_ejected(&self, runner: &slots::Runner, now: time::Instant) -> bool {
        let service = runner.instance.service.as_ref();
        let service = service.and_then(|name| self.services.get(name));
        service.is_some_and(|service| {
            service.outliers.use_of(&runner.instance.id, now) == outlier::Use::Ejected
        })
    }

    fn service_mut(&mut self, name: &ids::ServiceName) -> &mut Service {
        let config = self.config;
        if !self.services.contains_key(name) {
            let service = Service {
                queue: queue::FairQueue::new(config.queue),
                outliers: outlier::Outliers::new(config.outlier),
                last_interactive: None,
                paces: Default::default(),
            };
            self.services.insert(name.clone(), service);
        }
        &mut self.services[name]
    }

    /// Free slots of runners that are not set aside.
    fn usable(&self, name: &ids::ServiceName, now: time::Instant) -> u32 {
        let Some(service) = self.services.get(name) else {
            return 0;
        };
        let usable =
            |runner: &slots::Runner| match service.outliers.use_of(&runner.instance.id, now) {
                outlier::Use::Open => runner.free(now),
                outlier::Use::Probe => runner.free(now).min(1),
                outlier::Use::Ejected => 0,
            };
        self.table.of_service(name).map(usable).sum()
    }

    /// Whether a request of this urgency may take a free slot, if there is one.
    fn may_use(
        &self,
        name: &ids::ServiceName,
        urgency: catalogue::Urgency,
        now: time::Instant,
    ) -> bool {
        urgency != catalogue::Urgency::BestEffort
            || self.usable(name, now) > self.reserve(name, now)
    }

    /// Free slots that best-effort work leaves to others.
    fn reserve(&self, name: &ids::ServiceName, now: time::Instant) -> u32 {
        let service = self.services.get(name);
        let last = service.and_then(|service| service.last_interactive);
        let kept =
            last.is_some_and(|last| now.saturating_duration_since(last) < self.config.reserve_for);
        if !kept {
            return 0;
        }
        let slots: u32 = self.table.of_service(name).map(|r| r.instance.slots).sum();
        // A share of a number of slots, rounded down.
        (f64::from(slots) * self.config.reserve_share) as u32
    }

    fn grant(&mut self, submission: &Submission, now: time::Instant) -> Option<Grant> {
        let id = self.pick(submission, now)?;
        if !self.table.take(&id, now) {
            return None;
        }
        self.service_mut(&submission.service).outliers.sent(&id);
        let runner = self.table.runner(&id)?;
        self.last_slot += 1;
        let grant = Grant {
            slot: SlotId(self.last_slot),
            runner: id.clone(),
            address: runner.instance.address,
            connections: runner.connections(),
            shard: runner.shard.clone(),
            epoch: runner.epoch?,
        };
        let in_use = InUse {
            runner: id,
            service: submission.service.clone(),
            entry: submission.entry.clone(),
            max_run: submission.max_run,
        };
        self.in_use.insert(grant.slot, in_use);
        Some(grant)
    }

    /// The runner for a request: a probe where it does no harm, else the one
    /// with the largest share of its slots free; the one that just failed it
    /// only when there is no other.
    fn pick(&self, submission: &Submission, now: time::Instant) -> Option<ids::InstanceId> {
        let service = self.services.get(&submission.service)?;
        let rank = |runner: &slots::Runner| {
            let free = runner.free(now);
            if free == 0 {
                return None;
            }
            let share = u64::from(free) * 1_000 / u64::from(runner.instance.slots.max(1));
            let avoided = submission.avoid.as_ref() == Some(&runner.instance.id);
            let rank = match service.outliers.use_of(&runner.instance.id, now) {
                outlier::Use::Ejected => return None,
                _ if avoided => 1,
                outlier::Use::Probe if submission.idempotent => 10_000,
                outlier::Use::Probe => 2,
                outlier::Use::Open => 10 + share,
            };
            Some((rank, runner.instance.id.clone()))
        };
        let ranked = self.table.of_service(&submission.service).filter_map(rank);
        // The first of equals wins, so rotate by the last slot's number.
        let ranked: Vec<_> = ranked.collect();
        let best = ranked.iter().map(|(rank, _)| *rank).max()?;
        let equals: Vec<_> = ranked.iter().filter(|(rank, _)| *rank == best).collect();
        let turn = usize::try_from(self.last_slot).unwrap_or(0) % equals.len();
        Some(equals[turn].1.clone())
    }
}
