//! Homes of request ids: the messages around [`once`].
//!
//! A home answers only while it holds the id's shard and has authority, checked
//! before and after the memory was asked. Each entry instance asks again with
//! the same attempt until it has an answer or gives up, so a lost message is no
//! repeat.

use std::sync;
use std::time;

use figscale_core::request::once;
use figscale_types::ids;
use figscale_types::verdict::Verdict;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use super::Traffic;
use crate::peer;
use crate::settings;

/// Name of the service towards peers.
const CALL: &str = "once";
/// Time to wait for one answer.
const TIMEOUT: time::Duration = time::Duration::from_millis(700);
/// Time to wait for what a home knows, when a refusal waits for it.
const PEEK_TIMEOUT: time::Duration = time::Duration::from_millis(300);
/// Time between two tries.
const PAUSE: time::Duration = time::Duration::from_millis(50);

/// What a home is asked.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Question {
    id: ids::RequestId,
    attempt: once::AttemptId,
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
    memory: once::Memory,
}

/// Memories of the id shards that this process holds.
pub(super) struct Homes {
    config: once::OnceConfig,
    homes: sync::Mutex<IndexMap<ids::ShardId, Home>>,
    given_up: sync::Mutex<IndexMap<ids::ShardId, ids::Epoch>>,
}

impl Homes {
    pub(super) fn new(settings: &settings::TrafficSettings) -> Self {
        let config = once::OnceConfig {
            tolerance: time::Duration::from_millis(settings.clock_tolerance_ms),
            capacity: settings.ids_per_home,
            ..once::OnceConfig::default()
        };
        Self {
            config,
            homes: sync::Mutex::default(),
            given_up: sync::Mutex::default(),
        }
    }

    /// Lets no id through any more under the present holding of a shard.
    pub(super) fn give_up(&self, shard: &ids::ShardId, epoch: ids::Epoch) {
        lock(&self.given_up).insert(shard.clone(), epoch);
        lock(&self.homes).swap_remove(shard);
    }

    /// Ids remembered by shard, for a dump.
    pub(super) fn sizes(&self) -> Vec<(ids::ShardId, usize, u64)> {
        let homes = lock(&self.homes);
        homes
            .iter()
            .map(|(shard, home)| (shard.clone(), home.memory.len(), home.memory.floor_ms()))
            .collect()
    }
}

impl Traffic {
    /// Answers for a home that is here, or says that it is not.
    fn ask_here(&self, question: Question) -> once::Begin {
        let Some(shard) = once::home_of(question.id) else {
            return once::Begin::NotHome;
        };
        let Some(epoch) = self.home_epoch(&shard) else {
            return once::Begin::NotHome;
        };
        let answer = self.ask_memory(&shard, epoch, question);
        // Whoever took over meanwhile knows nothing of this id.
        match self.home_epoch(&shard) == Some(epoch) {
            true => answer,
            false => once::Begin::NotHome,
        }
    }

    fn home_epoch(&self, shard: &ids::ShardId) -> Option<ids::Epoch> {
        let epoch = self.context.shared.claims.borrow().held.get(shard)?.epoch;
        let given_up = lock(&self.homes.given_up).get(shard) == Some(&epoch);
        (self.has_authority() && !given_up).then_some(epoch)
    }

    fn ask_memory(
        &self,
        shard: &ids::ShardId,
        epoch: ids::Epoch,
        question: Question,
    ) -> once::Begin {
        let now_ms = self.unix_ms();
        let mut homes = lock(&self.homes.homes);
        let known = homes.get(shard).is_some_and(|home| home.epoch == epoch);
        if !known {
            let memory = once::Memory::new(self.homes.config, self.taken_unix_ms(shard, now_ms));
            homes.insert(shard.clone(), Home { epoch, memory });
        }
        let memory = &mut homes[shard].memory;
        match question.asked {
            Asked::Begin => memory.begin(question.id, question.attempt, now_ms),
            Asked::Peek => memory.peek(question.id, question.attempt, now_ms),
            Asked::End(verdict) => {
                memory.end(question.id, question.attempt, verdict);
                once::Begin::Fresh
            }
        }
    }

    fn taken_unix_ms(&self, shard: &ids::ShardId, now_ms: u64) -> u64 {
        let claims = self.context.shared.claims.borrow();
        let taken = claims.held.get(shard).map(|held| held.taken_at);
        let ago = taken.map(|taken| self.now().saturating_duration_since(taken));
        let ago_ms = u64::try_from(ago.unwrap_or_default().as_millis()).unwrap_or(0);
        now_ms.saturating_sub(ago_ms)
    }

    fn unix_ms(&self) -> u64 {
        let since = self.context.clock.wall().duration_since(time::UNIX_EPOCH);
        u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
    }

    /// Asks the home of an id to let it through, within `limit`.
    pub(super) async fn begin_once(
        &self,
        id: ids::RequestId,
        attempt: once::AttemptId,
        limit: time::Instant,
    ) -> once::Begin {
        let question = Question {
            id,
            attempt,
            asked: Asked::Begin,
        };
        loop {
            let answer = self.ask(question).await;
            if let Some(answer) = answer
                && answer != once::Begin::NotHome
            {
                return answer;
            }
            if self.now() + PAUSE >= limit {
                return once::Begin::NotHome;
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// What the home knows of an id, apart from this attempt.
    pub(super) async fn peek_once(
        &self,
        id: ids::RequestId,
        attempt: once::AttemptId,
    ) -> once::Begin {
        let question = Question {
            id,
            attempt,
            asked: Asked::Peek,
        };
        let asked = tokio::time::timeout(PEEK_TIMEOUT, self.ask(question)).await;
        asked.ok().flatten().unwrap_or(once::Begin::NotHome)
    }

    /// Tells the home how an attempt ended; a loss leaves `MayHaveRun` there.
    pub(super) async fn end_once(
        &self,
        id: ids::RequestId,
        attempt: once::AttemptId,
        verdict: Verdict,
    ) {
        let question = Question {
            id,
            attempt,
            asked: Asked::End(verdict),
        };
        let _ = self.ask(question).await;
    }

    async fn ask(&self, question: Question) -> Option<once::Begin> {
        let shard = once::home_of(question.id)?;
        let view = self.context.shared.claims_now();
        let (holder, member) = view.holder(&shard)?;
        if *holder == view.me {
            return Some(self.ask_here(question));
        }
        let peers = &self.context.peers;
        let call = peers.call(member.peer_address, CALL, &question, TIMEOUT);
        call.await.ok()
    }
}

/// Answers the questions of other entry instances.
pub(super) fn register(traffic: &sync::Arc<Traffic>, handlers: &mut peer::Handlers) {
    let traffic = traffic.clone();
    handlers.on_call(CALL, move |_from, question: Question| {
        let traffic = traffic.clone();
        async move { Ok(traffic.ask_here(question)) }
    });
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
