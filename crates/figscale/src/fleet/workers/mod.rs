//! Links to workers: one waiting call for a report each, and orders beside it.
//!
//! A call for a report extends the lease, acknowledges ends and waits for the
//! next end, all in one. After ends came, the next call waits until they are in
//! the store, since a worker repeats at once what was not acknowledged.

mod hedged;
mod listing;
mod ways;

use std::sync;
use std::time;

use figscale_core::fleet::Losses;
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

/// Time for a worker's answer, on top of the wait asked for.
pub(super) const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(800);
/// Pause after a worker did not answer twice.
const SILENCE_PAUSE: time::Duration = time::Duration::from_millis(200);
/// Pause after another life of a worker answered.
const REPLACED_PAUSE: time::Duration = time::Duration::from_secs(3);
/// With the store away, a worker is asked this often without acknowledgement.
const UNACKNOWLEDGED_PAUSE: time::Duration = time::Duration::from_millis(600);
/// Second calls, made directly, that go on at the same time beside those of relays.
const MAX_SECOND_CALLS: usize = 32;
/// Tries of a stop order; the scheduler repeats it as well.
const STOP_TRIES: u32 = 2;

#[derive(Clone, Copy, Debug)]
enum Next {
    /// A call is on its way.
    Calling,
    /// Call at this time.
    At(time::Instant),
    /// Call once ends are acknowledged, or at this time.
    Acknowledged(time::Instant),
}

struct Link {
    address: workers::WorkerAddress,
    failure_domain: String,
    next: Next,
    answers: bool,
    first: bool,
}

/// Links of one term.
pub(super) struct Links {
    context: Context,
    calls: workers::Workers,
    epoch: fleet::Epoch,
    messages: message::Messages,
    links: IndexMap<fleet::WorkerId, Link>,
    losses: Losses,
    second_calls: sync::Arc<Semaphore>,
    /// The instances that carry calls.
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
            losses: Losses::default(),
            second_calls: sync::Arc::new(Semaphore::new(MAX_SECOND_CALLS)),
            relays: relay::Relays::new(context),
        }
    }

    /// How the calls of a worker go.
    fn ways(&self, link: &Link) -> ways::Ways {
        let (id, domain) = (&link.address.id, &link.failure_domain);
        let large = relay::is_large(self.links.len());
        ways::Ways {
            direct: self.calls.clone(),
            relay: self.relays.relay_of(id, domain, self.links.len()),
            second_calls: large.then(|| self.second_calls.clone()),
            clock: self.context.clock.clone(),
        }
    }

    /// A worker is to be asked from now on.
    pub(super) fn add(&mut self, entry: &fleet::WorkerEntry) {
        let address = workers::WorkerAddress {
            id: entry.id.clone(),
            address: entry.address,
        };
        let now = self.context.clock.now();
        let link = Link {
            address,
            failure_domain: entry.failure_domain.clone(),
            next: Next::At(now),
            answers: true,
            first: true,
        };
        self.links.entry(entry.id.clone()).or_insert(link);
    }

    /// Calls every worker whose turn it is; forgets those that are unknown.
    pub(super) fn call_due(&mut self, scheduler: &mut Scheduler, now: time::Instant) {
        let due = |(id, link): (&fleet::WorkerId, &Link)| match link.next {
            Next::Calling => None,
            Next::At(at) => (now >= at).then(|| id.clone()),
            Next::Acknowledged(latest) => {
                let ready = now >= latest || !scheduler.has_unacknowledged(id);
                ready.then(|| id.clone())
            }
        };
        let ids: Vec<fleet::WorkerId> = self.links.iter().filter_map(due).collect();
        for id in ids {
            self.call(&id, scheduler, now);
        }
    }

    /// A call was lost on the way to a worker that answers.
    pub(super) fn answer_lost(&mut self, now: time::Instant) {
        self.losses.note(now);
    }

    fn call(&mut self, id: &fleet::WorkerId, scheduler: &mut Scheduler, now: time::Instant) {
        let Some(due) = scheduler.report_due(id) else {
            self.links.swap_remove(id);
            return;
        };
        let Some(link) = self.links.get_mut(id) else {
            return;
        };
        link.next = Next::Calling;
        let quick = link.first || !link.answers || scheduler.has_unacknowledged(id);
        let request = workers::ReportRequest {
            epoch: self.epoch,
            acknowledged: due.acknowledged,
            lease_until_clock_ms: due.lease_until_clock_ms,
            wait: if quick {
                time::Duration::ZERO
            } else {
                self.losses.report_wait(now)
            },
        };
        let address = link.address.clone();
        let Some(ways) = self.links.get(id).map(|link| self.ways(link)) else {
            return;
        };
        let messages = self.messages.clone();
        tokio::spawn(async move {
            let report = hedged::report(&ways, &address, request, &messages).await;
            let _ = messages.send(Message::Reported(address.id, report)).await;
        });
    }

    /// A call for a report has ended; ends may wait to be acknowledged.
    pub(super) fn reported(
        &mut self,
        id: &fleet::WorkerId,
        report: &Result<workers::ReportOutcome, CallError>,
        unacknowledged: bool,
        now: time::Instant,
    ) {
        let Some(link) = self.links.get_mut(id) else {
            return;
        };
        link.first = false;
        // A connection may have been reset and nothing else; the worker gets no
        // work until it is heard.
        let pause = match link.answers {
            true => time::Duration::ZERO,
            false => SILENCE_PAUSE,
        };
        if report.is_ok() != link.answers {
            link.answers = report.is_ok();
            match report {
                Ok(_) => crate::event!(events::fleet::WORKER_ANSWERS, worker = id),
                Err(error) => {
                    crate::event!(events::fleet::WORKER_SILENT, worker = id, error = error);
                }
            }
        }
        link.next = match report {
            Ok(workers::ReportOutcome::Report(_)) if unacknowledged => {
                Next::Acknowledged(now + UNACKNOWLEDGED_PAUSE)
            }
            Ok(workers::ReportOutcome::Report(_)) => Next::At(now),
            Ok(workers::ReportOutcome::OtherLife) => Next::At(now + REPLACED_PAUSE),
            Ok(_) => Next::At(now + SILENCE_PAUSE),
            Err(_) => Next::At(now + pause),
        };
    }

    /// Orders a start.
    pub(super) fn start(&self, worker: fleet::WorkerId, order: fleet::StartOrder) {
        let messages = self.messages.clone();
        let (task, attempt) = (order.task, order.attempt);
        let Some(link) = self.links.get(&worker) else {
            return;
        };
        let (ways, address, epoch) = (self.ways(link), link.address.clone(), self.epoch);
        tokio::spawn(async move {
            let ordered = hedged::start(&ways, &address, epoch, &order, &messages);
            let outcome = match ordered.await {
                Ok(outcome) => outcome,
                Err(error) => unanswered(&worker, task, attempt, &error),
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

    /// Orders a stop.
    pub(super) fn stop(&self, worker: fleet::WorkerId, task: fleet::TaskId, attempt: u32) {
        let Some(link) = self.links.get(&worker) else {
            return;
        };
        let (calls, address, epoch) = (self.calls.clone(), link.address.clone(), self.epoch);
        tokio::spawn(async move {
            for _ in 0..STOP_TRIES {
                if calls.stop(&address, epoch, task, attempt).await.is_ok() {
                    return;
                }
            }
        });
    }
}

/// A start that surely did not reach the worker was refused, in effect.
fn unanswered(
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
