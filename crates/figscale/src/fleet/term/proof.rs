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
//!
//! Leases and orders for workers are stricter, since a worker that its successor has not
//! called yet does not refuse them: they end with the last proof of leadership, which is
//! kept here (see [`scheduling::LeadershipProof`]). For as long as its predecessor may
//! have such a proof, a new leader does not take workers that have not reported for idle.

use std::mem;
use std::net;
use std::time;

use figscale_core::fleet as scheduling;
use figscale_types::fleet;
use figscale_types::ids;
use indexmap::IndexSet;

use super::Ended;
use super::LeaderMessage;
use super::Message;
use super::Term;
use super::Won;
use crate::events;
use crate::fleet::Context;
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
/// Shortest time between reads of a head that renew the proof of leadership.
const RENEWAL_PAUSE: time::Duration = time::Duration::from_millis(250);
/// Timeout of such a read, which takes several times as long with a slow store.
const RENEWAL_TIMEOUT: time::Duration = time::Duration::from_secs(1);

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
    /// What leases and orders are based on.
    pub(super) leadership: scheduling::LeadershipProof,
    predecessors: scheduling::Predecessors,
    /// Addresses of the other instances before the election; empty if none was known.
    roster: IndexSet<net::SocketAddr>,
    /// Number of other instances that were known before the election.
    others_before: usize,
    /// Whether the predecessors were ruled out at the last check.
    ruled_out: bool,
    /// Whether the store has that.
    settled_in_store: bool,
    /// When the last read that renews the proof was sent.
    renewal: Option<time::Duration>,
    /// Whether such a read is in flight.
    renewing: bool,
    /// Whether the proof was new enough for orders when that was last checked.
    may_order: bool,
}

impl Proof {
    pub(super) fn new(won: &Won, context: &Context) -> Self {
        let now = context.clock.since_boot();
        let last = won.predecessor.clone();
        let own = &context.own_member.id;
        Self {
            in_doubt: false,
            ran_at: now,
            unanswered_at: None,
            reading: false,
            waiting: Vec::new(),
            leadership: scheduling::LeadershipProof::new(won.elected_after),
            predecessors: scheduling::Predecessors::new(last, won.settled, own, won.instances, now),
            roster: won.roster.iter().copied().collect(),
            others_before: won.instances.saturating_sub(1),
            ruled_out: false,
            settled_in_store: false,
            renewal: None,
            renewing: false,
            may_order: true,
        }
    }

    /// Whether no leader of an earlier term can lead any more.
    pub(super) fn is_settled(&self) -> bool {
        self.ruled_out
    }

    /// Whether the store does not say so yet.
    pub(super) fn is_unsettled_in_store(&self) -> bool {
        self.ruled_out && !self.settled_in_store
    }

    /// Records a write that was executed, and whether it says so.
    pub(super) fn record_settled(&mut self, settles: bool) {
        self.settled_in_store |= settles;
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

    /// Passes the latest proof of leadership to the scheduler; false if a later leader is
    /// known, and the term is over.
    pub(super) fn apply_proof(&mut self, now: time::Instant) -> bool {
        let known = self.context.leadership.borrow().leader.clone();
        if known.is_some_and(|known| known.epoch > self.leader.epoch) {
            self.ended = Some(Ended::Deposed);
            return false;
        }
        let since_boot = self.context.clock.since_boot();
        let proven_at = self.proof.leadership.proven_at(since_boot);
        let age = since_boot.saturating_sub(proven_at);
        if let Some(at) = now.checked_sub(age) {
            self.scheduler.set_proven(at);
        }
        self.log_proof_change(now, age);
        true
    }

    /// Logs that the proof of leadership has become too old for orders, or is new enough
    /// again.
    fn log_proof_change(&mut self, now: time::Instant, age: time::Duration) {
        let may_order = self.scheduler.may_order(now);
        if may_order == mem::replace(&mut self.proof.may_order, may_order) {
            return;
        }
        let (epoch, age_ms) = (self.leader.epoch, age.as_millis());
        match may_order {
            true => crate::event!(
                events::fleet::LEADERSHIP_PROVEN,
                epoch = epoch,
                age_ms = age_ms
            ),
            false => crate::event!(
                events::fleet::LEADERSHIP_UNPROVEN,
                epoch = epoch,
                age_ms = age_ms,
                members = self.members.len(),
                others = self.other_instances()
            ),
        }
    }

    /// Age of the proof of leadership, for a gauge.
    pub(super) fn proof_age(&self) -> time::Duration {
        let now = self.context.clock.since_boot();
        now.saturating_sub(self.proof.leadership.proven_at(now))
    }

    /// Finds what the heartbeats applied last prove.
    pub(super) fn count_stamps(&mut self) {
        let others = self.other_instances();
        self.proof.leadership.count_stamps(others);
    }

    /// Largest number of other instances that this leader knows to have been there.
    pub(super) fn other_instances(&self) -> usize {
        self.isolation.most().max(self.proof.others_before)
    }

    /// Reads a head if the proof of leadership is too old.
    pub(super) fn renew_proof_if_due(&mut self) {
        let now = self.context.clock.since_boot();
        let lately = self
            .proof
            .renewal
            .is_some_and(|at| now < at + RENEWAL_PAUSE);
        let due = self.proof.leadership.is_renewal_due(now);
        if !due || lately || self.proof.renewing {
            return;
        }
        self.proof.renewing = true;
        self.proof.renewal = Some(now);
        let store = self.context.store.clone();
        let messages = self.messages.clone();
        tokio::spawn(async move {
            let key = keys::head(0);
            let read = tokio::time::timeout(RENEWAL_TIMEOUT, store.get(&key)).await;
            let item = read.ok().and_then(Result::ok).flatten();
            let epoch = item.as_ref().and_then(ledger::epoch_of);
            let _ = messages.send(Message::ProofRead(epoch, now)).await;
        });
    }

    /// Handles the epoch in a head that was read, by a call sent at `sent_at`, to renew
    /// the proof of leadership.
    pub(super) fn on_proof_read(&mut self, epoch: Option<fleet::Epoch>, sent_at: time::Duration) {
        self.proof.renewing = false;
        match epoch {
            Some(epoch) if epoch > self.leader.epoch => self.ended = Some(Ended::Deposed),
            Some(_) => self.proof.leadership.record_store_call(sent_at),
            None => (),
        }
    }

    /// Postpones the end of the recovery while a predecessor may prove its leadership.
    pub(super) fn allow_for_predecessor(&mut self, now: time::Instant) {
        if self.proof.ruled_out {
            return;
        }
        self.scheduler.extend_recovery(now);
        let since_boot = self.context.clock.since_boot();
        if !self.proof.predecessors.may_lead(since_boot) {
            self.proof.ruled_out = true;
            crate::event!(
                events::fleet::PREDECESSOR_RULED_OUT,
                epoch = self.leader.epoch,
                after_ms = now.saturating_duration_since(self.begun).as_millis()
            );
        }
    }

    /// Records an instance that knows this term.
    pub(super) fn record_follower(&mut self, id: &ids::MemberId, address: net::SocketAddr) {
        if self.proof.ruled_out {
            return;
        }
        let roster = &self.proof.roster;
        let was_there = roster.is_empty() || roster.contains(&address);
        self.proof.predecessors.record_follower(id, was_there);
    }

    /// Redirects the calls that wait for a proof to the next leader; nothing was done
    /// for them.
    pub(super) fn redirect_unproven_calls(&mut self) {
        for message in mem::take(&mut self.proof.waiting) {
            message.reply.send(LeaderAnswer::NotLeader);
        }
    }
}
