//! Allocation of the slots of runners that this process holds.
//!
//! A granted slot is a guard. Dropping it without reporting how its use ended
//! returns it as unused, so that a slot is not leaked when a caller disconnects
//! or a task is cancelled.

use std::sync;
use std::time;

use figscale_core::request::admission;
use figscale_core::request::dispatcher;
use figscale_core::request::queue;
use tokio::sync::oneshot;

use super::Decisions;
use super::Traffic;

/// Channel on which a queued request receives its slot or refusal.
pub(super) type Waiter = oneshot::Sender<Result<Slot, dispatcher::Refusal>>;

/// A granted slot.
pub(super) struct Slot {
    traffic: sync::Arc<Traffic>,
    /// The grant of the dispatcher.
    pub(super) grant: dispatcher::Grant,
    ended: bool,
}

impl Slot {
    fn new(traffic: &sync::Arc<Traffic>, grant: dispatcher::Grant) -> Self {
        Self {
            traffic: traffic.clone(),
            grant,
            ended: false,
        }
    }

    /// Reports how the use of the slot ended.
    pub(super) fn end(mut self, end: dispatcher::End) {
        self.ended = true;
        self.traffic.finish(&self.grant, end);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if !self.ended {
            self.traffic.finish(&self.grant, dispatcher::End::NotSent);
        }
    }
}

/// Removes a request from the queue when its task ends or is cancelled.
struct QueueGuard {
    traffic: sync::Arc<Traffic>,
    ticket: queue::Ticket,
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        let mut decisions = self.traffic.decide();
        decisions.dispatcher.cancel(self.ticket);
        let waiter = decisions.waiters.swap_remove(&self.ticket);
        drop(decisions);
        drop(waiter);
        self.traffic.changed.notify_one();
    }
}

impl Traffic {
    /// Waits for a slot of a runner that this process holds, and records the wait.
    pub(super) async fn acquire(
        self: &sync::Arc<Self>,
        make: impl FnOnce(queue::Ticket) -> dispatcher::Submission,
    ) -> Result<Slot, dispatcher::Refusal> {
        let arrived = self.now();
        let mut asked = None;
        let make = |ticket| {
            let submission = make(ticket);
            asked = Some((submission.entry.clone(), submission.urgency));
            submission
        };
        let slot = self.wait_for_slot(make).await?;
        if let Some((entry, urgency)) = asked {
            let waited = self.now().saturating_duration_since(arrived);
            let metrics = &self.context.metrics;
            metrics.request_dispatched(&entry, urgency, waited);
        }
        Ok(slot)
    }

    async fn wait_for_slot(
        self: &sync::Arc<Self>,
        make: impl FnOnce(queue::Ticket) -> dispatcher::Submission,
    ) -> Result<Slot, dispatcher::Refusal> {
        if !self.has_authority() {
            return Err(no_holder());
        }
        let (ticket, waiting) = {
            let now = self.now();
            let mut decisions = self.decide();
            decisions.last_ticket += 1;
            let ticket = queue::Ticket(decisions.last_ticket);
            let submitted = decisions.dispatcher.submit(make(ticket), now);
            match submitted {
                dispatcher::Submitted::Granted(grant) => {
                    drop(decisions);
                    self.changed.notify_one();
                    return Ok(Slot::new(self, grant));
                }
                dispatcher::Submitted::Refused(refusal) => return Err(refusal),
                dispatcher::Submitted::Queued => {
                    let (sender, receiver) = oneshot::channel();
                    decisions.waiters.insert(ticket, sender);
                    (ticket, receiver)
                }
            }
        };
        self.changed.notify_one();
        let _guard = QueueGuard {
            traffic: self.clone(),
            ticket,
        };
        waiting.await.unwrap_or_else(|_| Err(no_holder()))
    }

    fn finish(self: &sync::Arc<Self>, grant: &dispatcher::Grant, end: dispatcher::End) {
        let now = self.now();
        let mut decisions = self.decide();
        let ejected = decisions.dispatcher.finish(grant.slot, end, now);
        drop(decisions);
        if let Some(runner) = ejected {
            crate::event!(
                crate::events::requests::RUNNER_EJECTED,
                runner = runner,
                shard = grant.shard
            );
        }
        if end == dispatcher::End::Lost {
            crate::event!(
                crate::events::requests::SLOT_LOST,
                runner = grant.runner,
                shard = grant.shard
            );
        }
        self.poll();
    }

    /// Grants the slots, and sends the refusals, that are due now.
    pub(super) fn poll(self: &sync::Arc<Self>) {
        let now = self.now();
        let mut decisions = self.decide();
        let events = decisions.dispatcher.poll(now);
        let outcomes = take_waiters(&mut decisions, events);
        drop(decisions);
        // Done without the lock, since dropping a slot locks the decisions again.
        for (waiter, event) in outcomes {
            let result = match event {
                dispatcher::Event::Granted(_, grant) => Ok(Slot::new(self, grant)),
                dispatcher::Event::Refused(_, refusal) => Err(refusal),
            };
            if let Some(waiter) = waiter {
                let _ = waiter.send(result);
            }
        }
        self.changed.notify_one();
    }
}

fn take_waiters(
    decisions: &mut Decisions,
    events: Vec<dispatcher::Event>,
) -> Vec<(Option<Waiter>, dispatcher::Event)> {
    let mut outcomes = Vec::new();
    for event in events {
        let ticket = match &event {
            dispatcher::Event::Granted(ticket, _) | dispatcher::Event::Refused(ticket, _) => ticket,
        };
        let waiter = decisions.waiters.swap_remove(ticket);
        outcomes.push((waiter, event));
    }
    outcomes
}

fn no_holder() -> dispatcher::Refusal {
    dispatcher::Refusal {
        reason: admission::Reason::NoHolder,
        backlog: time::Duration::ZERO,
    }
}

/// Polls when a deadline, a probe or the end of a quarantine is due.
pub(super) async fn keep_polling(traffic: sync::Arc<Traffic>) {
    /// Time between two checks of the next timer.
    const MAX_POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);
    let mut tick = tokio::time::interval(MAX_POLL_INTERVAL);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        let now = traffic.now();
        let next = traffic.decide().dispatcher.next_wake(now);
        if next.is_some_and(|next| next <= now + MAX_POLL_INTERVAL) {
            if let Some(next) = next {
                tokio::time::sleep(next.saturating_duration_since(now)).await;
            }
            traffic.poll();
        }
    }
}
