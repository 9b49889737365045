//! Entry instances that greet the leader.
//!
//! A greeting is answered at once from what the term has told last, and taken in
//! with the next tick. So a leader with a full mailbox or a long pass still shows
//! that it is there: whoever takes its place would have as much to do, and would
//! read all records before.
//!
//! A leader that most of its peers cannot reach serves nobody, although its
//! lease at the store goes on; it gives up and lets another lead.

use std::mem;
use std::net;
use std::time;

use figscale_core::fleet;
use figscale_types::ids;
use figscale_types::mutex;
use indexmap::IndexMap;

use super::Ended;
use super::Term;
use crate::events;
use crate::fleet::Context;
use crate::fleet::calls;
use crate::fleet::calls::LeaderAnswer;
use crate::fleet::calls::LeaderCall;
use crate::fleet::fitness;

/// A leader without most of its peers for so long gives up.
const OUT_OF_REACH: time::Duration = time::Duration::from_millis(900);

/// A term that has lasted so long may be handed over to a stronger instance;
/// where the stronger one cannot win, leadership moves no more often than this.
const SETTLED_AFTER: time::Duration = time::Duration::from_secs(3);

/// An entry instance that greets.
pub(super) struct Member {
    pub(super) address: net::SocketAddr,
    pub(super) heard: time::Instant,
    /// Processor that it could lead with, in thousandths of a core.
    pub(super) cpu_millis: u64,
}

/// A greeting that the term has not taken in.
struct Greeting {
    address: net::SocketAddr,
    failure_domain: ids::FailureDomain,
    cpu_millis: u64,
    heard: time::Instant,
}

/// Greetings between a term and those who answer them.
#[derive(Default)]
pub(in crate::fleet) struct Greetings {
    /// By instance, the last of each.
    new: IndexMap<ids::MemberId, Greeting>,
    /// The instances that the term knows.
    peers: Vec<net::SocketAddr>,
    roster: calls::RosterHash,
    strongest_millis: u64,
}

/// Answers a greeting while this instance leads.
pub(super) fn welcome(context: &Context, call: LeaderCall) -> LeaderAnswer {
    let LeaderCall::Hello {
        member,
        address,
        failure_domain,
        cpu_millis,
        roster,
        ..
    } = call
    else {
        return LeaderAnswer::NotLeader;
    };
    let mut greetings = mutex::lock(&context.greetings);
    let greeting = Greeting {
        address,
        failure_domain,
        cpu_millis,
        heard: context.clock.now(),
    };
    greetings.new.insert(member, greeting);
    LeaderAnswer::Welcome {
        peers: (roster != greetings.roster).then(|| greetings.peers.clone()),
        strongest_millis: greetings.strongest_millis,
        config: context
            .config_proof
            .proof()
            .stamp(context.clock.since_boot()),
    }
}

impl Term {
    /// Takes in the greetings since the last time, and tells whom it knows.
    pub(super) fn take_in_greetings(&mut self) {
        let new = mem::take(&mut mutex::lock(&self.context.greetings).new);
        for (id, greeting) in new {
            self.on_hello(id, greeting);
        }
        let peers: Vec<_> = self.members.values().map(|member| member.address).collect();
        self.context.store.set_roster(peers.clone());
        let mut greetings = mutex::lock(&self.context.greetings);
        if greetings.peers != peers {
            // With the leader's own address, as those who greet know it.
            let mut known = peers.clone();
            known.push(self.context.settings.peer_address);
            greetings.roster = calls::RosterHash::of(&known);
            greetings.peers = peers;
        }
        greetings.strongest_millis = self.strongest_millis();
    }

    fn on_hello(&mut self, id: ids::MemberId, greeting: Greeting) {
        let Greeting {
            address,
            failure_domain,
            cpu_millis,
            heard,
        } = greeting;
        self.workers.relays.joined(&id, address, failure_domain);
        self.scheduler.member_joined(&id);
        self.yield_to_stronger(&id, cpu_millis);
        let member = Member {
            address,
            heard,
            cpu_millis,
        };
        self.members.insert(id, member);
    }

    /// Most processor that a member, or this instance, leads with.
    pub(super) fn strongest_millis(&self) -> u64 {
        let members = self.members.values().map(|member| member.cpu_millis);
        let own = fitness::cpu_millis(&self.context);
        members.max().unwrap_or(0).max(own)
    }

    /// Hands over in order if a member would lead clearly better.
    fn yield_to_stronger(&mut self, id: &ids::MemberId, cpu_millis: u64) {
        let lag = fitness::lasting_lag(&self.context);
        // A machine that has turned slow counts with less only where it lags.
        let own_millis = match lag {
            Some(_) => fitness::cpu_millis(&self.context),
            None => self.context.fleet.cpu_millis(),
        };
        let settled = self.now() >= self.begun + SETTLED_AFTER;
        if self.closing || !settled || !fleet::is_clearly_stronger(cpu_millis, own_millis) {
            return;
        }
        crate::event!(
            events::fleet::LEADER_YIELDS,
            epoch = self.leader.epoch,
            own_millis = own_millis,
            stronger = id,
            stronger_millis = cpu_millis,
            lag_ms = lag.map_or(0, |lag| lag.late.as_millis()),
            slow_ms = lag.map_or(0, |lag| lag.age.as_millis())
        );
        self.close(Ended::Yielded);
    }

    /// An instance is gone until it greets again; nothing is asked through it.
    pub(super) fn drop_member(&mut self, id: &ids::MemberId) {
        self.members.swap_remove(id);
        self.workers.relays.left(id);
        self.scheduler.member_left(id);
    }

    pub(super) fn drop_silent_members(&mut self, now: time::Instant) {
        let silence = fleet::member_silence(self.members.len());
        let silent = |member: &Member| now > member.heard + silence;
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
