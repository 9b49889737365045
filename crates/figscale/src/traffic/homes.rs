//! Homes of request ids: the messages around the deduplication in [`dedup`].
//!
//! The low, random bits of a request id select its shard. The holder of the shard
//! is the *home* of the id: it remembers which ids were used, so that a request
//! that is not idempotent is executed at most once.
//!
//! A home answers only while it holds the shard and has authority; both are
//! checked before and after its memory is queried. An entry instance repeats a
//! query with the same attempt id until it gets an answer or its time runs out,
//! so a lost message is not mistaken for a repeated request.

use std::sync;
use std::time;

use figscale_core::request::dedup;
use figscale_types::clock;
use figscale_types::ids;
use figscale_types::mutex;
use figscale_types::verdict::Verdict;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use super::Traffic;
use crate::peer;
use crate::settings;
use crate::state;

/// Name of the service that peers call.
const SERVICE: &str = "once";
/// Time-out of one call to a home.
const TIMEOUT: time::Duration = time::Duration::from_millis(700);
/// Time-out of a peek, for which the error response to a caller has to wait.
const PEEK_TIMEOUT: time::Duration = time::Duration::from_millis(300);
/// Prefix of the shards of request ids.
pub(super) const ID_SHARD_PREFIX: &str = "id/";
/// Epoch of a shard's first holder.
const FIRST_EPOCH: ids::Epoch = ids::Epoch(1);
/// Time that a new home waits for the memory of an earlier one that released the
/// shard cleanly.
const HANDOVER_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
/// Time between two tries of a query.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// A query to a home.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Question {
    id: ids::RequestId,
    attempt: dedup::AttemptId,
    asked: Asked,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
enum Asked {
    Begin,
    Peek,
    End(Verdict),
}

struct Home {
    epoch: ids::Epoch,
    memory: dedup::SeenIds,
}

/// The memory of a home that is handed over to the next home.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Handover {
    pub(super) shard: ids::ShardId,
    /// Epoch under which the shard was released; the next home holds it under the
    /// epoch that follows.
    pub(super) given_up: ids::Epoch,
    kept: dedup::HandoverState,
}

/// When a shard was acquired.
#[derive(Clone, Copy)]
struct Acquired {
    ago: time::Duration,
    unix_ms: u64,
}

/// Memories of the id shards that this process holds, and handovers in progress.
pub(super) struct Homes {
    config: dedup::DedupConfig,
    homes: sync::Mutex<IndexMap<ids::ShardId, Home>>,
    released: sync::Mutex<IndexMap<ids::ShardId, ids::Epoch>>,
    /// Released by this process and not yet received by the next home.
    outgoing: sync::Mutex<IndexMap<ids::ShardId, Handover>>,
    /// Received from an earlier home, perhaps before this process knows that it is
    /// the home.
    received: sync::Mutex<IndexMap<ids::ShardId, Handover>>,
}

impl Homes {
    pub(super) fn new(settings: &settings::TrafficSettings) -> Self {
        let config = dedup::DedupConfig {
            tolerance: time::Duration::from_millis(settings.clock_tolerance_ms),
            capacity: settings.ids_per_home,
            ..dedup::DedupConfig::default()
        };
        Self {
            config,
            homes: sync::Mutex::default(),
            released: sync::Mutex::default(),
            outgoing: sync::Mutex::default(),
            received: sync::Mutex::default(),
        }
    }

    /// Stops answering for a shard under this epoch, and retains its memory for the
    /// next home.
    fn release(&self, shard: &ids::ShardId, epoch: ids::Epoch) {
        mutex::lock(&self.released).insert(shard.clone(), epoch);
        let home = mutex::lock(&self.homes).swap_remove(shard);
        if let Some(home) = home.filter(|home| home.epoch == epoch) {
            let handover = Handover {
                shard: shard.clone(),
                given_up: epoch,
                kept: home.memory.handover_state(),
            };
            mutex::lock(&self.outgoing).insert(shard.clone(), handover);
        }
    }

    /// Memories that the next home has not received yet.
    pub(super) fn outgoing(&self) -> Vec<Handover> {
        mutex::lock(&self.outgoing).values().cloned().collect()
    }

    /// Drops a memory retained for the next home.
    pub(super) fn remove_outgoing(&self, handover: &Handover) {
        let mut outgoing = mutex::lock(&self.outgoing);
        let same = outgoing.get(&handover.shard).map(|p| p.given_up) == Some(handover.given_up);
        if same {
            outgoing.swap_remove(&handover.shard);
        }
    }

    /// Stores a memory that an earlier home handed over.
    pub(super) fn receive(&self, handover: Handover) {
        mutex::lock(&self.received).insert(handover.shard.clone(), handover);
    }

    /// The home of a newly acquired shard; `None` while an earlier home may still
    /// hand over its memory.
    fn initial_home(
        &self,
        shard: &ids::ShardId,
        held: &state::Held,
        acquired: Acquired,
    ) -> Option<Home> {
        let epoch = held.epoch;
        let memory = if epoch == FIRST_EPOCH {
            dedup::SeenIds::first(self.config)
        } else if let Some(handover) = self.take_received(shard, epoch) {
            dedup::SeenIds::from_handover(self.config, handover.kept)
        } else if held.clean && acquired.ago < HANDOVER_TIMEOUT {
            return None;
        } else {
            dedup::SeenIds::new(self.config, acquired.unix_ms)
        };
        Some(Home { epoch, memory })
    }

    fn take_received(&self, shard: &ids::ShardId, epoch: ids::Epoch) -> Option<Handover> {
        let mut received = mutex::lock(&self.received);
        let fits = received.get(shard)?.given_up.next() == epoch;
        fits.then(|| received.swap_remove(shard)).flatten()
    }

    /// Shard, number of ids and time floor of each home, for the dump.
    pub(super) fn sizes(&self) -> Vec<(ids::ShardId, usize, u64)> {
        let homes = mutex::lock(&self.homes);
        homes
            .iter()
            .map(|(shard, home)| (shard.clone(), home.memory.len(), home.memory.floor_ms()))
            .collect()
    }
}

impl Traffic {
    /// Answers a query if this process is the home, else with `NotHome`.
    fn answer_locally(&self, question: Question) -> dedup::Begin {
        let Some(shard) = dedup::home_of(question.id) else {
            return dedup::Begin::NotHome;
        };
        let Some(epoch) = self.home_epoch(&shard) else {
            return dedup::Begin::NotHome;
        };
        let answer = self.query_memory(&shard, epoch, question);
        // A process that acquired the shard meanwhile does not know this id.
        match self.home_epoch(&shard) == Some(epoch) {
            true => answer,
            false => dedup::Begin::NotHome,
        }
    }

    fn home_epoch(&self, shard: &ids::ShardId) -> Option<ids::Epoch> {
        let epoch = self.context.shared.claims.borrow().held.get(shard)?.epoch;
        let is_released = mutex::lock(&self.homes.released).get(shard) == Some(&epoch);
        (self.has_authority() && !is_released).then_some(epoch)
    }

    fn query_memory(
        &self,
        shard: &ids::ShardId,
        epoch: ids::Epoch,
        question: Question,
    ) -> dedup::Begin {
        let now_ms = self.unix_ms();
        let mut homes = mutex::lock(&self.homes.homes);
        let Some(home) = self.open_home(&mut homes, shard, epoch, now_ms) else {
            return dedup::Begin::NotHome;
        };
        let memory = &mut home.memory;
        match question.asked {
            Asked::Begin => memory.begin(question.id, question.attempt, now_ms),
            Asked::Peek => memory.peek(question.id, question.attempt, now_ms),
            Asked::End(verdict) => {
                memory.end(question.id, question.attempt, verdict);
                dedup::Begin::Fresh
            }
        }
    }

    /// The home under this epoch, created on first use; `None` while it has to wait
    /// for the memory of an earlier one.
    fn open_home<'a>(
        &self,
        homes: &'a mut IndexMap<ids::ShardId, Home>,
        shard: &ids::ShardId,
        epoch: ids::Epoch,
        now_ms: u64,
    ) -> Option<&'a mut Home> {
        let known = homes.get(shard).is_some_and(|home| home.epoch == epoch);
        if !known {
            homes.insert(shard.clone(), self.new_home(shard, epoch, now_ms)?);
        }
        homes.get_mut(shard)
    }

    fn new_home(&self, shard: &ids::ShardId, epoch: ids::Epoch, now_ms: u64) -> Option<Home> {
        let view = self.context.shared.claims_now();
        let held = view.held.get(shard).filter(|held| held.epoch == epoch)?;
        let ago = self.now().saturating_duration_since(held.acquired_at);
        let ago_ms = u64::try_from(ago.as_millis()).unwrap_or(0);
        let acquired = Acquired {
            ago,
            unix_ms: now_ms.saturating_sub(ago_ms),
        };
        self.homes.initial_home(shard, held, acquired)
    }

    /// Creates the homes of newly held shards, so that even one that is never
    /// queried can hand over its time floor; returns how many still wait for a
    /// memory.
    pub(super) fn open_homes(&self) -> usize {
        let view = self.context.shared.claims_now();
        let now_ms = self.unix_ms();
        let ids = (view.held.iter()).filter(|(id, _)| id.as_str().starts_with(ID_SHARD_PREFIX));
        let mut waiting = 0;
        let mut homes = mutex::lock(&self.homes.homes);
        for (shard, held) in ids {
            let opened = self.open_home(&mut homes, shard, held.epoch, now_ms);
            waiting += usize::from(opened.is_none());
        }
        waiting
    }

    /// Releases a home and retains its memory for the next one.
    ///
    /// The epoch is read from the claims, since the shard is removed from the held
    /// ones of the snapshot before its drain is requested.
    pub(super) fn release_home(&self, shard: &ids::ShardId) {
        let view = self.context.shared.claims_now();
        let mine = view.claims.shards.get(shard);
        let mine = mine.filter(|line| line.holder.as_ref() == Some(&view.me));
        if let Some(line) = mine {
            self.homes.release(shard, line.epoch);
        }
    }

    fn unix_ms(&self) -> u64 {
        let since = self.context.clock.wall().duration_since(time::UNIX_EPOCH);
        clock::millis(since.unwrap_or_default())
    }

    /// Asks the home of an id whether the request may run, retrying until `limit`.
    pub(super) async fn begin_once(
        &self,
        id: ids::RequestId,
        attempt: dedup::AttemptId,
        limit: time::Instant,
    ) -> dedup::Begin {
        let question = Question {
            id,
            attempt,
            asked: Asked::Begin,
        };
        loop {
            let answer = self.ask(question).await;
            if let Some(answer) = answer
                && answer != dedup::Begin::NotHome
            {
                return answer;
            }
            if self.now() + RETRY_INTERVAL >= limit {
                return dedup::Begin::NotHome;
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    /// What the home knows of an id from attempts other than this one.
    pub(super) async fn peek_once(
        &self,
        id: ids::RequestId,
        attempt: dedup::AttemptId,
    ) -> dedup::Begin {
        let question = Question {
            id,
            attempt,
            asked: Asked::Peek,
        };
        let asked = tokio::time::timeout(PEEK_TIMEOUT, self.ask(question)).await;
        asked.ok().flatten().unwrap_or(dedup::Begin::NotHome)
    }

    /// Reports to the home how an attempt ended. If the message is lost, the home
    /// keeps `MayHaveRun`.
    pub(super) async fn end_once(
        &self,
        id: ids::RequestId,
        attempt: dedup::AttemptId,
        verdict: Verdict,
    ) {
        let question = Question {
            id,
            attempt,
            asked: Asked::End(verdict),
        };
        let _ = self.ask(question).await;
    }

    async fn ask(&self, question: Question) -> Option<dedup::Begin> {
        let shard = dedup::home_of(question.id)?;
        let view = self.context.shared.claims_now();
        let (holder, member) = view.holder(&shard)?;
        if *holder == view.me {
            return Some(self.answer_locally(question));
        }
        let peers = &self.context.peers;
        let call = peers.call(member.peer_address, SERVICE, &question, TIMEOUT);
        call.await.ok()
    }
}

/// Answers the queries of other entry instances.
pub(super) fn register(traffic: &sync::Arc<Traffic>, handlers: &mut peer::Handlers) {
    let traffic = traffic.clone();
    handlers.on_call(SERVICE, move |_from, question: Question| {
        let traffic = traffic.clone();
        async move { Ok(traffic.answer_locally(question)) }
    });
}
