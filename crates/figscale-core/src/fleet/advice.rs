//! Queries to the advisory service, distributed over the entry instances.
//!
//! The service answers one query at a time for each entry instance that sends
//! one, and a long query takes forty times as long as a short one. So each
//! instance is a channel of its own, and some channels are reserved for short
//! queries, which would otherwise wait behind long ones for longer than their
//! jobs take. Channels have no queues: the best query is chosen when a channel
//! is free.

use std::time;

use figscale_types::fleet;
use figscale_types::ids;

use super::action::Action;
use super::action::AdviceQuery;
use super::action::LogEntry;
use super::channels;
use super::job;
use super::pass;
use super::query::Breadth;
use super::query::UnassignedQuery;
use super::scheduler;

/// Longer queries may not use the channels reserved for short ones. Queries for
/// short jobs take about 20 ms, the next longer kind over 100 ms.
const LONG_QUERY: time::Duration = time::Duration::from_millis(60);
/// Part of a ticket's lifetime that is left unused, to cover its transmission
/// to the worker.
const TICKET_MARGIN: time::Duration = time::Duration::from_millis(200);
/// A gang's reservation is dropped if its tickets are later than expected by
/// more than this, which also covers the time to place the gang.
const RESPONSE_SLACK: time::Duration = time::Duration::from_millis(300);
/// Time of a query beyond that of the service: the way there and back, and the pass
/// after it.
pub(crate) const QUERY_OVERHEAD: time::Duration = time::Duration::from_millis(8);
/// An overdue step waits for the only channel for at most this many times the
/// expected duration of its query.
const MAX_CHANNEL_WAIT: u32 = 4;
/// Pause of a step after its query got no response.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(150);
/// After that pause a step waits for the leader's own channel for at most this time.
const MAX_WAIT_FOR_LOCAL: time::Duration = time::Duration::from_millis(200);

impl scheduler::Scheduler {
    /// Adds an entry instance that can query the advisory service.
    pub fn member_joined(&mut self, member: &ids::MemberId) {
        self.channels.add(member);
    }

    /// Adds the leader itself, which queries the advisory service without a peer.
    pub fn leader_joined(&mut self, member: &ids::MemberId) {
        self.channels.add_local(member);
    }

    /// Removes an entry instance, and with it the query that it had in flight.
    pub fn member_left(&mut self, member: &ids::MemberId) {
        if let Some(task) = self.channels.remove(member)
            && let Some(step) = self.step_of(&task)
        {
            step.advice.pending_query = None;
        }
    }

    fn step_of(&mut self, task: &fleet::TaskId) -> Option<&mut job::Step> {
        self.jobs.get_mut(&task.job)?.step_mut(task)
    }

    /// Applies the response to a query; `None` if there was no response.
    pub fn advice_answered(
        &mut self,
        query: &AdviceQuery,
        good: Option<Vec<fleet::Ticket>>,
        now: time::Instant,
    ) {
        if let Some(channel) = self.channels.by_member.get_mut(&query.member)
            && channel.in_flight == Some(query.task)
        {
            channel.in_flight = None;
        }
        match good {
            Some(_) => self.channels.succeeded(&query.member, now),
            None => self.record_channel_failure(query, now),
        }
        let Some(job) = self.jobs.get_mut(&query.task.job) else {
            return;
        };
        let queue = job.queue.clone();
        let Some(step) = job.step_mut(&query.task) else {
            return;
        };
        // The queried instance may have left since, and the step may have sent
        // another query through another one.
        let current = step.advice.pending_query.as_ref();
        if current.is_some_and(|sent| sent.member == query.member) {
            step.advice.pending_query = None;
        } else if good.is_none() {
            return;
        }
        self.channels.record_response(good.is_some());
        let Some(good) = good else {
            step.advice.not_before = Some(now + RETRY_PAUSE);
            step.advice.unanswered = step.advice.unanswered.saturating_add(1);
            step.advice.commitment = None;
            return;
        };
        step.advice.unanswered = 0;
        step.advice.fruitless = match good.is_empty() {
            true => step.advice.fruitless.saturating_add(1),
            false => 0,
        };
        let valid_ms = queue.advice.map_or(0, |advice| advice.valid_ms);
        let valid = time::Duration::from_millis(valid_ms).saturating_sub(TICKET_MARGIN);
        let queried = query.workers.len().max(1) as f64;
        let unknown = query
            .workers
            .iter()
            .filter(|id| !step.advice.verdicts.contains_key(*id));
        let all_unknown = unknown.count() == query.workers.len();
        for worker in &query.workers {
            step.advice.verdicts.insert(worker.clone(), false);
        }
        let fraction = good.len() as f64 / queried;
        let log_entry = LogEntry::AdviceReceived {
            task: query.task,
            member: query.member.clone(),
            asked: query.workers.len(),
            good: good.len(),
        };
        for ticket in good {
            step.advice.verdicts.insert(ticket.worker.clone(), true);
            let held = job::HeldTicket {
                token: ticket.token,
                valid_until: now + valid,
            };
            step.advice.tickets.insert(ticket.worker, held);
        }
        self.actions.push(Action::Log(log_entry));
        if all_unknown {
            self.channels.learn(&queue.name, fraction);
        }
    }

    /// Records a failure of a channel. While the service appears to be
    /// unavailable, ejections are not logged: all channels fail.
    fn record_channel_failure(&mut self, query: &AdviceQuery, now: time::Instant) {
        let unanswered = self.unanswered(&query.task);
        let Some(ejection) = self.channels.failed(&query.member, unanswered, now) else {
            return;
        };
        if self.channels.service_is_unavailable() {
            return;
        }
        self.actions
            .push(Action::Log(LogEntry::AdviceChannelEjected {
                member: query.member.clone(),
                failures: ejection.failures,
                duration: ejection.duration,
            }));
    }

    /// Sends queries for the best of the steps that need tickets, while
    /// channels are free. Queries that only widen the choice of gangs without
    /// reservations come last.
    pub(crate) fn send_queries(&mut self, pass: &pass::Pass) {
        self.send_aging_queries(pass);
        self.send_query_round(pass, Breadth::Needed);
        self.send_query_round(pass, Breadth::Wide);
    }

    /// Sends the queries of the steps that are late longest before all others, since
    /// a stream of other work would otherwise always take the channels first. With
    /// several channels one is no loss to the others; a single one is used for this
    /// only if an overdue step has waited long for it.
    fn send_aging_queries(&mut self, pass: &pass::Pass) {
        let several = self.channels.long_query_channels(pass.now) > 1;
        for candidate in &pass.unplaced {
            let is_aging = several && pass.aging_gang == Some(candidate.task);
            let is_overdue = pass.reserved_overdue.contains(&candidate.task);
            if is_aging || is_overdue && (several || self.has_waited_for_channel(candidate, pass)) {
                self.send_query_if_possible(candidate, Breadth::Needed, pass);
            }
        }
    }

    /// Whether an overdue step has needed a query for long without getting a channel.
    fn has_waited_for_channel(&mut self, candidate: &pass::Candidate, pass: &pass::Pass) -> bool {
        let query = self.next_query(candidate, Breadth::Needed, pass);
        let expected = query.map(|query| query.expected);
        let Some(advice) = self.step_of(&candidate.task).map(|step| &mut step.advice) else {
            return false;
        };
        let Some(expected) = expected.filter(|_| advice.pending_query.is_none()) else {
            advice.channel_wanted_since = None;
            return false;
        };
        let since = *advice.channel_wanted_since.get_or_insert(pass.now);
        pass.now >= since + expected * MAX_CHANNEL_WAIT
    }

    /// Sends the query that a step needs, if it may send one and a channel is
    /// free for it.
    fn send_query_if_possible(
        &mut self,
        candidate: &pass::Candidate,
        breadth: Breadth,
        pass: &pass::Pass,
    ) {
        if self.may_query(&candidate.task, pass.now)
            && let Some(query) = self.next_query(candidate, breadth, pass)
            && let Some(member) = self.channel_for(&candidate.task, query.expected, pass.now)
        {
            let (member, expected) = (member.clone(), query.expected);
            if self.is_gang(&candidate.task) {
                pass.record_query_for_gang(&query.workers);
            }
            self.send_query(candidate.task, query, member, pass.now);
            if breadth == Breadth::Needed {
                self.record_use(&candidate.task, expected, pass.now);
            }
        }
    }

    /// Records the use of a channel for a query that its step needs.
    fn record_use(&mut self, task: &fleet::TaskId, expected: time::Duration, now: time::Instant) {
        let job = self.jobs.get(&task.job);
        let is_first_class = job.is_some_and(|job| job.queue.priority == 0);
        let time = expected + QUERY_OVERHEAD;
        self.channels.record_use(is_first_class, time, now);
    }

    fn send_query_round(&mut self, pass: &pass::Pass, breadth: Breadth) {
        let first_short = channels::QueryKind {
            long: false,
            unanswered: 0,
            awaits_local: false,
        };
        // Whether the free channels are ejected, so that few steps may use them.
        let mut only_ejected = false;
        for candidate in &pass.unplaced {
            if !only_ejected && self.channels.free(first_short, pass.now).is_none() {
                if !self.channels.any_free() {
                    return;
                }
                only_ejected = true;
            }
            if only_ejected && !channels::ignores_ejections(self.unanswered(&candidate.task)) {
                continue;
            }
            // Steps other than gangs need the same query in both rounds.
            let same_as_before = breadth == Breadth::Wide && !self.is_gang(&candidate.task);
            if same_as_before && pass.step_filter == pass::StepFilter::WithRoom {
                continue;
            }
            self.send_query_if_possible(candidate, breadth, pass);
        }
    }

    pub(crate) fn is_gang(&self, task: &fleet::TaskId) -> bool {
        let job = self.jobs.get(&task.job);
        let step = job.and_then(|job| job.step_description(task));
        step.is_some_and(|step| step.gang)
    }

    fn send_query(
        &mut self,
        task: fleet::TaskId,
        query: UnassignedQuery,
        member: ids::MemberId,
        now: time::Instant,
    ) {
        if let Some(channel) = self.channels.by_member.get_mut(&member) {
            channel.in_flight = Some(task);
        }
        let response_due_at = now + query.expected;
        if let Some(step) = self.step_of(&task) {
            step.advice.channel_wanted_since = None;
            step.advice.pending_query = Some(job::PendingQuery {
                member: member.clone(),
                workers: query.workers.iter().cloned().collect(),
                response_due_at,
            });
            step.advice.commitment = query.reservation.map(|reservation| job::Commitment {
                reservation,
                until: response_due_at + RESPONSE_SLACK,
            });
        }
        self.actions.push(Action::QueryAdvice(AdviceQuery {
            member,
            task,
            workers: query.workers,
            expected: query.expected,
        }));
    }

    /// Whether a step has no query in flight and a channel is free that its
    /// shortest query could use.
    pub(crate) fn may_query(&self, task: &fleet::TaskId, now: time::Instant) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        let in_flight = job
            .step(task)
            .is_some_and(|step| step.advice.pending_query.is_some());
        job.queue.advice.is_some_and(|policy| {
            let expected = duration(&policy, 1);
            !in_flight && self.channel_for(task, expected, now).is_some()
        })
    }

    /// A free channel for a query of a step, if any.
    fn channel_for(
        &self,
        task: &fleet::TaskId,
        expected: time::Duration,
        now: time::Instant,
    ) -> Option<&ids::MemberId> {
        let query = channels::QueryKind {
            long: expected > LONG_QUERY,
            unanswered: self.unanswered(task),
            awaits_local: self.awaits_local(task, now),
        };
        self.channels.free(query, now)
    }

    /// Whether the pause of a step after a failed query has just ended.
    fn awaits_local(&self, task: &fleet::TaskId, now: time::Instant) -> bool {
        let step = self.jobs.get(&task.job).and_then(|job| job.step(task));
        let not_before = step.and_then(|step| step.advice.not_before);
        not_before.is_some_and(|at| now < at + MAX_WAIT_FOR_LOCAL)
    }

    /// Number of queries of a step without a response since the last response.
    fn unanswered(&self, task: &fleet::TaskId) -> u32 {
        let step = self.jobs.get(&task.job).and_then(|job| job.step(task));
        step.map_or(0, |step| step.advice.unanswered)
    }
}

/// How long the advisory service takes to answer a query about this many
/// workers.
pub(crate) fn duration(policy: &fleet::AdvicePolicy, workers: usize) -> time::Duration {
    let micros = policy.duration_ms(workers) * 1_000.0;
    time::Duration::from_micros(micros.max(0.0) as u64)
}
