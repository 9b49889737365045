//! What an instance knows of leadership, and whether it would lead.

use std::net;
use std::time;

use figscale_types::fleet;
use figscale_types::ids;
use serde::Deserialize;
use serde::Serialize;

use super::Context;
use super::ledger;
use crate::events;

/// The leader, as its key names it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Leader {
    /// The life of the entry instance that leads.
    pub(crate) member: ids::MemberKey,
    /// Where peers reach it.
    pub(crate) address: net::SocketAddr,
    /// Its term.
    pub(crate) epoch: fleet::Epoch,
}

/// What this instance knows of leadership.
#[derive(Clone, Debug, Default)]
pub(crate) struct Leadership {
    /// Who leads, as far as known.
    pub(crate) leader: Option<Leader>,
    /// Revision of the leader's key; 0 while there is none.
    pub(crate) key_revision: u64,
    /// The key has been read.
    pub(crate) key_known: bool,
    /// This instance leads and its scheduler answers.
    pub(crate) leading: bool,
    /// This instance has won a term and reads the records.
    pub(crate) beginning: bool,
    /// Revision of a leader's key whose process has ended.
    pub(crate) ended_revision: Option<u64>,
    /// When the leader last answered.
    pub(crate) answered_at: Option<time::Instant>,
    /// When the leader's process was last heard at all.
    pub(crate) heard_at: Option<time::Instant>,
    /// The heads as a leader left them that ended in order.
    pub(super) last_heads: Option<ledger::Heads>,
    /// The store did not answer since a leader was last known.
    pub(crate) store_was_away: bool,
    /// Since when the leader's key is gone.
    pub(crate) vacant_since: Option<time::Instant>,
    /// Most processor that an instance could lead with, as the last leader
    /// told, in thousandths of a core.
    pub(crate) strongest_millis: u64,
    /// This instance does not stand before that time.
    pub(crate) stands_off_until: Option<time::Instant>,
}

/// Takes note of a leader of a later term than the one known; whether it is.
pub(super) fn adopt(known: &mut Leadership, leader: Leader) -> bool {
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
    known.answered_at = None;
    known.heard_at = None;
    true
}

/// Changes what is known, in a part whose changes nobody waits for.
pub(super) fn note(context: &Context, change: impl FnOnce(&mut Leadership)) {
    context.leadership.send_if_modified(|known| {
        change(known);
        false
    });
}

/// Whether this instance would lead if nobody else did.
pub(super) fn may_stand(context: &Context) -> bool {
    let stands_off_until = context.leadership.borrow().stands_off_until;
    let stands_off = stands_off_until.is_some_and(|until| context.clock.now() < until);
    !stands_off && !*context.leaving.borrow()
}
