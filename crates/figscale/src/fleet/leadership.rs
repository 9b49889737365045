//! What an instance knows about the current leader, and whether it may run for
//! leader itself.

use std::net;
use std::time;

use figscale_core::fleet as scheduling;
use figscale_types::fleet;
use figscale_types::ids;
use serde::Deserialize;
use serde::Serialize;

use super::Context;
use super::ledger;
use crate::events;

/// The leader, as recorded under the leader's key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Leader {
    /// The entry instance that leads, and its incarnation.
    pub(crate) member: ids::MemberKey,
    /// Its address for peers.
    pub(crate) address: net::SocketAddr,
    /// Its term.
    pub(crate) epoch: fleet::Epoch,
}

/// What this instance knows about the current leader.
#[derive(Clone, Debug, Default)]
pub(crate) struct Leadership {
    /// The leader of the latest term known.
    pub(crate) leader: Option<Leader>,
    /// When that leader became known.
    pub(crate) leader_known_at: Option<time::Instant>,
    /// Revision of the leader's key; 0 while there is none.
    pub(crate) key_revision: u64,
    /// The key has been read.
    pub(crate) key_known: bool,
    /// This instance leads, and its scheduler takes calls.
    pub(crate) leading: bool,
    /// This instance has won a term and is reading the records.
    pub(crate) beginning: bool,
    /// Revision of the leader's key of a term that is known to be over.
    pub(crate) ended_revision: Option<u64>,
    /// When the leader last answered a heartbeat as the leader.
    pub(crate) answered_as_leader_at: Option<time::Instant>,
    /// When the leader's process last answered at all.
    pub(crate) last_contact_at: Option<time::Instant>,
    /// The heads as the last leader left them, if it announced its end.
    pub(super) last_heads: Option<ledger::Heads>,
    /// A read of the leader's key has failed since a leader's key was last seen.
    pub(crate) store_was_unavailable: bool,
    /// Since when there has been no leader's key.
    pub(crate) vacant_since: Option<time::Instant>,
    /// Most processor capacity that an instance could lead with, as the last
    /// leader reported it, in thousandths of a core.
    pub(crate) strongest_millis: u64,
    /// Stamp of the last answer of this leader to a heartbeat.
    pub(super) stamp_ms: Option<u64>,
    /// This instance does not run for leader before that time.
    pub(crate) no_candidacy_until: Option<time::Instant>,
}

/// Records a leader if its term is later than the one known; returns whether it
/// is.
pub(super) fn record_leader(known: &mut Leadership, leader: Leader, now: time::Instant) -> bool {
    let older = known
        .leader
        .as_ref()
        .is_some_and(|old| old.epoch >= leader.epoch);
    if older {
        return false;
    }
    crate::event!(
        events::fleet::LEADER_KNOWN,
        leader = leader.member,
        address = leader.address,
        epoch = leader.epoch
    );
    known.leader = Some(leader);
    known.leader_known_at = Some(now);
    known.answered_as_leader_at = None;
    known.last_contact_at = None;
    known.stamp_ms = None;
    true
}

/// Records the stamp in an answer of a leader to a heartbeat.
pub(super) fn record_stamp(context: &Context, leader: &Leader, stamp_ms: u64) {
    update_silently(context, |known| {
        if known.leader.as_ref() == Some(leader) {
            known.stamp_ms = known.stamp_ms.max(Some(stamp_ms));
        }
    });
}

/// The last stamp of a leader, if this instance knows of no later leader. An instance that
/// has not read the leader's key since it started may have known of one before.
pub(super) fn stamp_of(context: &Context, leader: &Leader) -> Option<u64> {
    let known = context.leadership.borrow();
    let latest = known.key_known && known.leader.as_ref() == Some(leader);
    known.stamp_ms.filter(|_| latest)
}

/// How long this instance has been without contact with the leader; `None` if it
/// leads itself, or if a new leader may still be about to respond.
pub(super) fn time_without_contact(
    context: &Context,
    known: &Leadership,
) -> Option<time::Duration> {
    let leader = known.leader.as_ref()?;
    if leader.member == context.own_member {
        return None;
    }
    let now = context.clock.now();
    let ago = |at: time::Instant| now.saturating_duration_since(at);
    let known_for = known.leader_known_at.map(ago)?;
    let answered_ago = known.last_contact_at.map(ago);
    scheduling::time_without_contact(answered_ago, known_for, context.store.instances())
}

/// Changes what is known without waking the tasks that wait for changes.
pub(super) fn update_silently(context: &Context, change: impl FnOnce(&mut Leadership)) {
    context.leadership.send_if_modified(|known| {
        change(known);
        false
    });
}

/// Whether this instance may run for leader when there is none.
pub(super) fn may_run_for_leader(context: &Context) -> bool {
    let now = context.clock.now();
    let known = context.leadership.borrow();
    let paused = known.no_candidacy_until.is_some_and(|until| now < until);
    let may_run = !paused || scheduling::may_return(known.vacant_since, now);
    may_run && !*context.leaving.borrow()
}
