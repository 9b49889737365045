//! The leader's links to workers: a long poll for reports on each, and orders in
//! parallel to it.
//!
//! One call for a report extends the worker's lease, acknowledges ended tasks and
//! waits for the next task to end. After a report with ended tasks, the next call is
//! delayed until their records are in the store, since a worker repeats at once
//! whatever was not acknowledged.

mod hedged;
mod listing;
mod paths;

use std::sync;
use std::time;

use figscale_core::fleet::CallSchedule;
use figscale_core::fleet::LostAnswers;
use figscale_core::fleet::Scheduler;
use figscale_platform::CallError;
use figscale_platform::workers;
use figscale_types::fleet;
use figscale_types::verdict::Verdict;
use indexmap::IndexMap;
use tokio::sync::Semaphore;

use super::Context;
use super::message;
use super::message::Message;
use super::relay;
use crate::events;

pub(super) use listing::follow;

/// Timeout of a worker's answer, on top of the wait asked for.
pub(super) const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(800);
/// Pause after two calls in a row without an answer, or after a worker refused.
const UNRESPONSIVE_PAUSE: time::Duration = time::Duration::from_millis(200);
/// Pause after another incarnation of a worker answered.
const REPLACED_PAUSE: time::Duration = time::Duration::from_secs(3);
/// Interval of calls without acknowledgement while the store is unavailable.
const UNACKNOWLEDGED_INTERVAL: time::Duration = time::Duration::from_millis(600);
/// Largest number of direct second calls in flight in a fleet that uses relays.
const MAX_SECOND_CALLS: usize = 32;
/// Attempts to deliver a stop order; the scheduler repeats it as well.
const STOP_ATTEMPTS: u32 = 2;

/// The link to one worker.
struct Link {
    address: workers::WorkerAddress,
    failure_domain: String,
    /// Whether the last call was answered.
    responsive: bool,
    /// Whether no call has ended yet.
    first_call: bool,
    /// Highest number of an end that a call has acknowledged.
    acknowledged: u64,
}

/// The links of one term.
pub(super) struct Links {
    context: Context,
    calls: workers::Workers,
    epoch: fleet::Epoch,
    messages: message::Messages,
    links: IndexMap<fleet::WorkerId, Link>,
    schedule: CallSchedule,
    lost_answers: LostAnswers,
    second_calls: sync::Arc<Semaphore>,
    /// The entry instances that relay calls.
    pub(super) relays: relay::Relays,
}

impl Links {
    pub(super) fn new(context: &Context, epoch: fleet::Epoch, messages: message::Messages) -> Self {
        Self {
            context: context.clone(),
            calls: workers::Workers::new(context.client.clone(), CALL_TIMEOUT),
            epoch,
            messages,
            links: IndexMap::new(),
            schedule: CallSchedule::default(),
            lost_answers: LostAnswers::default(),
            second_calls: sync::Arc::new(Semaphore::new(MAX_SECOND_CALLS)),
            relays: relay::Relays::new(context),
        }
    }

    /// The paths for calls to a worker.
    fn paths(&self, link: &Link) -> paths::CallPaths {
        let (id, domain) = (&link.address.id, &link.failure_domain);
        let large = relay::is_large(self.links.len());
        paths::CallPaths {
            direct: self.calls.clone(),
            relay: self.relays.relay_of(id, domain, self.links.len()),
            second_calls: large.then(|| self.second_calls.clone()),
            clock: self.context.clock.clone(),
        }
    }

    /// Adds a worker, which is polled for reports from now on.
    pub(super) fn add(&mut self, entry: &fleet::WorkerEntry) {
        let address = workers::WorkerAddress {
            id: entry.id.clone(),
            address: entry.address,
        };
        let now = self.context.clock.now();
        let link = Link {
            address,
            failure_domain: entry.failure_domain.clone(),
            responsive: true,
            first_call: true,
            acknowledged: 0,
        };
        if !self.links.contains_key(&entry.id) {
            self.links.insert(entry.id.clone(), link);
            self.schedule.call_at(&entry.id, now);
        }
    }

    /// Makes all calls for reports that are due, and removes the links to workers
    /// that the scheduler does not know.
    pub(super) fn make_due_calls(&mut self, scheduler: &mut Scheduler, now: time::Instant) {
        let is_acknowledged = |id: &fleet::WorkerId| !scheduler.has_unacknowledged(id);
        for id in self.schedule.take_due(now, is_acknowledged) {
            self.call(&id, scheduler, now);
        }
    }

    /// Records that a call or its answer was lost although the worker responds, so
    /// that calls for reports wait for a shorter time.
    pub(super) fn record_lost_answer(&mut self, now: time::Instant) {
        self.lost_answers.record_lost_answer(now);
    }

    fn call(&mut self, id: &fleet::WorkerId, scheduler: &mut Scheduler, now: time::Instant) {
        let Some(due) = scheduler.report_due(id) else {
            self.links.swap_remove(id);
            return;
        };
        let Some(link) = self.links.get_mut(id) else {
            return;
        };
        if due.acknowledged > link.acknowledged {
            link.acknowledged = due.acknowledged;
            crate::event!(
                events::fleet::CALL_ACKNOWLEDGES,
                worker = id,
                epoch = self.epoch,
                number = due.acknowledged
            );
        }
        let immediate = link.first_call || !link.responsive || scheduler.has_unacknowledged(id);
        let request = workers::ReportRequest {
            epoch: self.epoch,
            acknowledged: due.acknowledged,
            lease_until_clock_ms: due.lease_until_clock_ms,
            wait: if immediate {
                time::Duration::ZERO
            } else {
                self.lost_answers.report_wait(now)
            },
        };
        let address = link.address.clone();
        let Some(paths) = self.links.get(id).map(|link| self.paths(link)) else {
            return;
        };
        let messages = self.messages.clone();
        tokio::spawn(async move {
            let report = hedged::report(&paths, &address, request, &messages).await;
            let _ = messages.send(Message::Reported(address.id, report)).await;
        });
    }

    /// Schedules the next call after one has ended. `unacknowledged` says whether
    /// reported ends are not acknowledged yet.
    pub(super) fn schedule_next_call(
        &mut self,
        id: &fleet::WorkerId,
        report: &Result<workers::ReportOutcome, CallError>,
        unacknowledged: bool,
        now: time::Instant,
    ) {
        let Some(link) = self.links.get_mut(id) else {
            return;
        };
        link.first_call = false;
        // The first failure may be just a reset connection, so the call is repeated
        // at once; the worker gets no work until it reports.
        let pause = match link.responsive {
            true => time::Duration::ZERO,
            false => UNRESPONSIVE_PAUSE,
        };
        if report.is_ok() != link.responsive {
            link.responsive = report.is_ok();
            match report {
                Ok(_) => crate::event!(events::fleet::WORKER_ANSWERS, worker = id),
                Err(error) => {
                    crate::event!(events::fleet::WORKER_SILENT, worker = id, error = error);
                }
            }
        }
        if matches!(report, Ok(workers::ReportOutcome::Report(_))) && unacknowledged {
            let latest = now + UNACKNOWLEDGED_INTERVAL;
            self.schedule.call_when_acknowledged(id, latest);
            return;
        }
        let pause = match report {
            Ok(workers::ReportOutcome::Report(_)) => time::Duration::ZERO,
            Ok(workers::ReportOutcome::OtherLife) => REPLACED_PAUSE,
            Ok(_) => UNRESPONSIVE_PAUSE,
            Err(_) => pause,
        };
        self.schedule.call_at(id, now + pause);
    }

    /// Orders the start of a task.
    pub(super) fn start(&self, worker: fleet::WorkerId, order: fleet::StartOrder) {
        let messages = self.messages.clone();
        let (task, attempt) = (order.task, order.attempt);
        let Some(link) = self.links.get(&worker) else {
            return;
        };
        let (paths, address, epoch) = (self.paths(link), link.address.clone(), self.epoch);
        tokio::spawn(async move {
            let ordered = hedged::start(&paths, &address, epoch, &order, &messages);
            let outcome = match ordered.await {
                Ok(outcome) => outcome,
                Err(error) => outcome_of_unanswered(&worker, task, attempt, &error),
            };
            if let fleet::StartOutcome::Started { clock_ms } = outcome {
                crate::event!(
                    events::fleet::TASK_STARTED,
                    task = task,
                    attempt = attempt,
                    worker = worker,
                    clock_ms = clock_ms
                );
            }
            let answer = Message::StartAnswered {
                worker,
                task,
                attempt,
                outcome,
            };
            let _ = messages.send(answer).await;
        });
    }

    /// Orders the stop of a task.
    pub(super) fn stop(&self, worker: fleet::WorkerId, task: fleet::TaskId, attempt: u32) {
        let Some(link) = self.links.get(&worker) else {
            return;
        };
        let (calls, address, epoch) = (self.calls.clone(), link.address.clone(), self.epoch);
        let messages = self.messages.clone();
        tokio::spawn(async move {
            for _ in 0..STOP_ATTEMPTS {
                let Ok(accepted) = calls.stop(&address, epoch, task, attempt).await else {
                    continue;
                };
                if let Some(clock_ms) = accepted {
                    let answer = Message::StopAnswered {
                        worker,
                        task,
                        attempt,
                        clock_ms,
                    };
                    let _ = messages.send(answer).await;
                }
                return;
            }
        });
    }
}

/// The outcome of a start that was not answered. One that certainly did not reach
/// the worker counts as refused.
fn outcome_of_unanswered(
    worker: &fleet::WorkerId,
    task: fleet::TaskId,
    attempt: u32,
    error: &CallError,
) -> fleet::StartOutcome {
    crate::event!(
        events::fleet::START_UNANSWERED,
        task = task,
        attempt = attempt,
        worker = worker,
        error = error
    );
    match error.verdict {
        Verdict::NotRun => fleet::StartOutcome::Refused(fleet::StartRefusal::Unhealthy),
        _ => fleet::StartOutcome::Unknown,
    }
}
