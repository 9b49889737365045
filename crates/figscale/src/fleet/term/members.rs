//! Entry instances that greet the leader.
//!
//! A leader that most of its peers cannot reach serves nobody, although its
//! lease at the store goes on; it gives up and lets another lead.

use std::net;
use std::time;

use figscale_types::ids;

use super::Ended;
use super::Term;

/// An instance that has not greeted for so long is gone.
const MEMBER_SILENCE: time::Duration = time::Duration::from_millis(1_600);
/// A leader without most of its peers for so long gives up.
const OUT_OF_REACH: time::Duration = time::Duration::from_millis(900);

/// An entry instance that greets.
pub(super) struct Member {
    pub(super) address: net::SocketAddr,
    pub(super) heard: time::Instant,
}

impl Term {
    pub(super) fn on_hello(&mut self, member: ids::MemberId, address: net::SocketAddr) {
        let heard = self.now();
        self.scheduler.member_joined(&member);
        self.members.insert(member, Member { address, heard });
        let known = self.members.values().map(|member| member.address);
        self.context.store.set_roster(known.collect());
    }

    /// An instance is gone until it greets again; nothing is asked through it.
    pub(super) fn drop_member(&mut self, id: &ids::MemberId) {
        self.members.swap_remove(id);
        self.scheduler.member_left(id);
    }

    pub(super) fn drop_silent_members(&mut self, now: time::Instant) {
        let silent = |member: &Member| now > member.heard + MEMBER_SILENCE;
        let gone: Vec<ids::MemberId> = self
            .members
            .iter()
            .filter(|(_, member)| silent(member))
            .map(|(id, _)| id.clone())
            .collect();
        for id in gone {
            self.drop_member(&id);
        }
        self.most_members = self.most_members.max(self.members.len());
        let enough = self.members.len() * 2 >= self.most_members;
        if enough {
            self.alone_since = None;
            return;
        }
        let since = *self.alone_since.get_or_insert(now);
        if self.most_members > 1 && now > since + OUT_OF_REACH {
            self.ended = Some(Ended::OutOfReach);
        }
    }
}
