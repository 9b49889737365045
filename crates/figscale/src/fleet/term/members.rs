//! Entry instances that send heartbeats to the leader.
//!
//! A heartbeat is answered at once from the state that the term published last,
//! and applied at the next tick. So a leader with a full mailbox or in a long pass
//! still shows that it is alive: a successor would have as much to do, and would
//! have to read all records first.
//!
//! A leader that most of its peers cannot reach serves no callers, even though
//! its lease at the store is still renewed; it gives up leadership so that another
//! instance can lead.

use std::mem;
use std::net;
use std::time;

use figscale_core::fleet;
use figscale_types::clock;
use figscale_types::fleet as types;
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
use crate::fleet::machine_health;

/// Shortest duration of a term before it may be handed over to a stronger
/// instance; it bounds how often leadership changes if the stronger one cannot
/// win.
const SETTLED_AFTER: time::Duration = time::Duration::from_secs(3);

/// An entry instance that sends heartbeats.
pub(super) struct Member {
    pub(super) address: net::SocketAddr,
    /// When its last heartbeat arrived.
    pub(super) heartbeat_at: time::Instant,
    /// Processor capacity that it could lead with, in thousandths of a core; 0 if it
    /// could not.
    pub(super) cpu_millis: u64,
}

/// A heartbeat that the term has not applied yet.
struct Heartbeat {
    address: net::SocketAddr,
    failure_domain: ids::FailureDomain,
    cpu_millis: u64,
    heartbeat_at: time::Instant,
    stamp: Option<time::Duration>,
    epoch: types::Epoch,
}

/// State shared between a term and the handler that answers heartbeats.
#[derive(Default)]
pub(in crate::fleet) struct Heartbeats {
    /// The last heartbeat of each instance that the term has not applied.
    pending: IndexMap<ids::MemberId, Heartbeat>,
    /// The instances that the term knows.
    peers: Vec<net::SocketAddr>,
    /// Hash of these and the leader.
    roster: calls::RosterHash,
    strongest_millis: u64,
}

/// Answers a heartbeat while this instance leads.
pub(super) fn answer_heartbeat(context: &Context, call: LeaderCall) -> LeaderAnswer {
    let LeaderCall::Hello {
        member,
        address,
        failure_domain,
        cpu_millis,
        roster,
        stamp_ms,
        epoch,
        ..
    } = call
    else {
        return LeaderAnswer::NotLeader;
    };
    let mut heartbeats = mutex::lock(&context.heartbeats);
    let heartbeat = Heartbeat {
        address,
        failure_domain,
        cpu_millis,
        heartbeat_at: context.clock.now(),
        stamp: stamp_ms.map(time::Duration::from_millis),
        epoch,
    };
    heartbeats.pending.insert(member, heartbeat);
    LeaderAnswer::Welcome {
        peers: (roster != heartbeats.roster).then(|| heartbeats.peers.clone()),
        strongest_millis: heartbeats.strongest_millis,
        config: context
            .config_proof
            .proof()
            .stamp(context.clock.since_boot()),
        stamp_ms: clock::millis(context.clock.since_boot()),
    }
}

impl Term {
    /// Applies the heartbeats received since the last call, and publishes the
    /// known instances for the answers to the next ones.
    pub(super) fn apply_heartbeats(&mut self) {
        let pending = mem::take(&mut mutex::lock(&self.context.heartbeats).pending);
        for (id, heartbeat) in pending {
            self.on_heartbeat(id, heartbeat);
        }
        let peers: Vec<_> = self.members.values().map(|member| member.address).collect();
        self.context.store.set_roster(peers.clone());
        let mut heartbeats = mutex::lock(&self.context.heartbeats);
        if heartbeats.peers != peers {
            // With the leader's own address, which the senders' rosters contain.
            let mut known = peers.clone();
            known.push(self.context.settings.peer_address);
            heartbeats.roster = calls::RosterHash::of(&known);
            heartbeats.peers = peers;
        }
        heartbeats.strongest_millis = self.strongest_millis();
    }

    fn on_heartbeat(&mut self, id: ids::MemberId, heartbeat: Heartbeat) {
        let Heartbeat {
            address,
            failure_domain,
            cpu_millis,
            heartbeat_at,
            stamp,
            epoch,
        } = heartbeat;
        // One of an earlier term of this instance shows nothing about this term.
        if epoch == self.leader.epoch {
            if let Some(stamp) = stamp {
                self.proof.leadership.record_stamp(&id, stamp);
            }
            self.record_follower(&id, address);
        }
        self.workers
            .relays
            .add_or_update(&id, address, failure_domain);
        self.scheduler.member_joined(&id);
        self.yield_to_stronger(&id, cpu_millis);
        let member = Member {
            address,
            heartbeat_at,
            cpu_millis,
        };
        self.members.insert(id, member);
    }

    /// Most processor capacity that a member or this instance could lead with, in
    /// thousandths of a core.
    pub(super) fn strongest_millis(&self) -> u64 {
        let members = self.members.values().map(|member| member.cpu_millis);
        let own = machine_health::cpu_millis(&self.context);
        members.max().unwrap_or(0).max(own)
    }

    /// Starts a hand-over if a member is clearly stronger than this instance.
    fn yield_to_stronger(&mut self, id: &ids::MemberId, cpu_millis: u64) {
        let lag = machine_health::handover_lag(&self.context);
        // The capacity of a slow machine is reduced only if it also lags.
        let own_millis = match lag {
            Some(_) => machine_health::cpu_millis(&self.context),
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

    /// Removes an instance until its next heartbeat; until then no advisory queries
    /// or calls of workers are sent through it.
    pub(super) fn drop_member(&mut self, id: &ids::MemberId) {
        self.members.swap_remove(id);
        self.workers.relays.remove(id);
        self.scheduler.member_left(id);
    }

    /// Removes the instances whose heartbeats stopped, and ends the term if most of
    /// them have been missing for too long.
    pub(super) fn drop_unresponsive_members(&mut self, now: time::Instant) {
        let max_contact_age = fleet::member_timeout(self.members.len());
        let unresponsive = |member: &Member| now > member.heartbeat_at + max_contact_age;
        let lost: Vec<ids::MemberId> = self
            .members
            .iter()
            .filter(|(_, member)| unresponsive(member))
            .map(|(id, _)| id.clone())
            .collect();
        for id in lost {
            self.drop_member(&id);
        }
        if self.isolation.is_over(self.members.len(), now) {
            self.ended = Some(Ended::OutOfReach);
        }
    }
}
