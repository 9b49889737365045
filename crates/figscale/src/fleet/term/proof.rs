//! Proof that no other instance has been elected, after events that make it possible.
//!
//! A process that was paused goes on as the leader although another instance may have
//! been elected meanwhile. Its writes fail and workers refuse its orders, but its
//! answers would be out of date: it would show a job as running that its successor has
//! told as completed, or refuse one that its successor has accepted.
//!
//! So after a pause, or after the end of its lease, calls wait until a head was read. If
//! the store does not answer, they are answered nevertheless, since callers need the
//! states of their jobs during an outage too.

use std::mem;
use std::time;

use figscale_core::fleet as scheduling;
use figscale_types::fleet;

use super::Ended;
use super::LeaderMessage;
use super::Message;
use super::Term;
use crate::events;
use crate::fleet::calls::LeaderAnswer;
use crate::fleet::keys;
use crate::fleet::ledger;

/// Time without an iteration of the term's loop that counts as a pause: peers may elect
/// another leader after this time without a response. A leader with much work takes
/// shorter times for an iteration, and calls that wait for a proof would add to it.
const MIN_PAUSE: time::Duration = scheduling::UNRESPONSIVE_AFTER;
/// Timeout of the read of a head.
const READ_TIMEOUT: time::Duration = time::Duration::from_millis(100);
/// Time between reads of a head while the store does not answer them.
const UNANSWERED_PAUSE: time::Duration = time::Duration::from_secs(1);

/// What is known of other leaders, and the calls that wait for a proof. Times are since
/// the machine started, as suspensions count.
pub(super) struct Proof {
    /// Whether another instance may have been elected.
    in_doubt: bool,
    /// When the term's loop was last seen to run.
    ran_at: time::Duration,
    /// When a read of a head last ended without an answer.
    unanswered_at: Option<time::Duration>,
    /// Whether a read of a head is in flight.
    reading: bool,
    waiting: Vec<LeaderMessage>,
}

impl Proof {
    pub(super) fn new(now: time::Duration) -> Self {
        Self {
            in_doubt: false,
            ran_at: now,
            unanswered_at: None,
            reading: false,
            waiting: Vec::new(),
        }
    }

    /// Records that another instance may have been elected.
    pub(super) fn doubt(&mut self) {
        self.in_doubt = true;
        self.unanswered_at = None;
    }
}

impl Term {
    /// Detects a pause of the process since the last call.
    pub(super) fn detect_pause(&mut self) {
        let now = self.context.clock.since_boot();
        let before = mem::replace(&mut self.proof.ran_at, now);
        if now.saturating_sub(before) >= MIN_PAUSE {
            self.proof.doubt();
        }
    }

    /// Returns a call that can be answered now; otherwise it waits.
    pub(super) fn admit(&mut self, message: LeaderMessage) -> Option<LeaderMessage> {
        self.detect_pause();
        let now = self.context.clock.since_boot();
        let unanswered = self.proof.unanswered_at;
        let lately = unanswered.is_some_and(|at| now < at + UNANSWERED_PAUSE);
        if !self.proof.in_doubt || lately {
            return Some(message);
        }
        self.proof.waiting.push(message);
        self.read_head();
        None
    }

    fn read_head(&mut self) {
        if mem::replace(&mut self.proof.reading, true) {
            return;
        }
        let store = self.context.store.clone();
        let messages = self.messages.clone();
        tokio::spawn(async move {
            let key = keys::head(0);
            let read = tokio::time::timeout(READ_TIMEOUT, store.get(&key)).await;
            let item = read.ok().and_then(Result::ok).flatten();
            let epoch = item.as_ref().and_then(ledger::epoch_of);
            let _ = messages.send(Message::HeadRead(epoch)).await;
        });
    }

    /// Handles the epoch in a head; `None` if it was not read.
    pub(super) fn on_head_read(&mut self, epoch: Option<fleet::Epoch>) {
        self.proof.reading = false;
        crate::event!(
            events::fleet::LEADERSHIP_CHECKED,
            epoch = self.leader.epoch,
            head_epoch = epoch.map_or_else(|| "none".to_owned(), |epoch| epoch.to_string()),
            calls = self.proof.waiting.len()
        );
        match epoch {
            Some(epoch) if epoch > self.leader.epoch => self.ended = Some(Ended::Deposed),
            Some(_) => self.proof.in_doubt = false,
            None => self.proof.unanswered_at = Some(self.context.clock.since_boot()),
        }
        for message in mem::take(&mut self.proof.waiting) {
            self.answer(message);
        }
    }

    /// Redirects the calls that wait for a proof to the next leader; nothing was done
    /// for them.
    pub(super) fn redirect_unproven_calls(&mut self) {
        for message in mem::take(&mut self.proof.waiting) {
            message.reply.send(LeaderAnswer::NotLeader);
        }
    }
}
