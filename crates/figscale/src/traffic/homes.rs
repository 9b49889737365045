//! Homes of request ids: the messages around [`once`].
//!
//! A home answers only while it holds the id's shard and has authority, checked
//! before and after the memory was asked. Each entry instance asks again with
//! the same attempt until it has an answer or gives up, so a lost message is no
//! repeat.

use std::sync;
use std::time;

use figscale_core::request::once;
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

/// Name of the service towards peers.
const CALL: &str = "once";
/// Time to wait for one answer.
const TIMEOUT: time::Duration = time::Duration::from_millis(700);
/// Time to wait for what a home knows, when a refusal waits for it.
const PEEK_TIMEOUT: time::Duration = time::Duration::from_millis(300);
/// Prefix of homes of request ids.
pub(super) const HOMES: &str = "id/";
/// Epoch of a shard's first holder.
const FIRST_EPOCH: ids::Epoch = ids::Epoch(1);
/// Time that a new home waits for the memory of an earlier one that left in order.
const PASS_ON_WAIT: time::Duration = time::Duration::from_millis(1_500);
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

/// A memory on its way to the next home.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Passed {
    pub(super) shard: ids::ShardId,
    /// Epoch under which it was given up; the next home holds the next one.
    pub(super) given_up: ids::Epoch,
    kept: once::Kept,
}

/// When a home was taken over.
#[derive(Clone, Copy)]
struct Taken {
    ago: time::Duration,
    unix_ms: u64,
}

/// Memories of the id shards that this process holds.
pub(super) struct Homes {
    config: once::OnceConfig,
    homes: sync::Mutex<IndexMap<ids::ShardId, Home>>,
    given_up: sync::Mutex<IndexMap<ids::ShardId, ids::Epoch>>,
    /// Given up here and not yet with the next home.
    leaving: sync::Mutex<IndexMap<ids::ShardId, Passed>>,
    /// Passed on to this process, perhaps before it knows that it is the home.
    arrived: sync::Mutex<IndexMap<ids::ShardId, Passed>>,
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
            leaving: sync::Mutex::default(),
            arrived: sync::Mutex::default(),
        }
    }

    /// Lets no id through any more under the present holding of a shard, and
    /// keeps its memory for the next home.
    fn give_up(&self, shard: &ids::ShardId, epoch: ids::Epoch) {
        mutex::lock(&self.given_up).insert(shard.clone(), epoch);
        let home = mutex::lock(&self.homes).swap_remove(shard);
        if let Some(home) = home.filter(|home| home.epoch == epoch) {
            let passed = Passed {
                shard: shard.clone(),
                given_up: epoch,
                kept: home.memory.pass_on(),
            };
            mutex::lock(&self.leaving).insert(shard.clone(), passed);
        }
    }

    /// Memories that are not yet with the next home.
    pub(super) fn leaving(&self) -> Vec<Passed> {
        mutex::lock(&self.leaving).values().cloned().collect()
    }

    /// Keeps a memory no longer for the next home.
    pub(super) fn forget_leaving(&self, passed: &Passed) {
        let mut leaving = mutex::lock(&self.leaving);
        let same = leaving.get(&passed.shard).map(|p| p.given_up) == Some(passed.given_up);
        if same {
            leaving.swap_remove(&passed.shard);
        }
    }

    /// Takes in a memory that an earlier home passed on.
    pub(super) fn arrive(&self, passed: Passed) {
        mutex::lock(&self.arrived).insert(passed.shard.clone(), passed);
    }

    /// The memory to begin with under a new holding; `None` while an earlier
    /// home may still pass its own on.
    fn begin_with(&self, shard: &ids::ShardId, held: &state::Held, taken: Taken) -> Option<Home> {
        let epoch = held.epoch;
        let memory = if epoch == FIRST_EPOCH {
            once::Memory::first(self.config)
        } else if let Some(passed) = self.take_arrived(shard, epoch) {
            once::Memory::from_kept(self.config, passed.kept)
        } else if held.clean && taken.ago < PASS_ON_WAIT {
            return None;
        } else {
            once::Memory::new(self.config, taken.unix_ms)
        };
        Some(Home { epoch, memory })
    }

    fn take_arrived(&self, shard: &ids::ShardId, epoch: ids::Epoch) -> Option<Passed> {
        let mut arrived = mutex::lock(&self.arrived);
        let fits = arrived.get(shard)?.given_up.next() == epoch;
        fits.then(|| arrived.swap_remove(shard)).flatten()
    }

    /// Ids remembered by shard, for a dump.
    pub(super) fn sizes(&self) -> Vec<(ids::ShardId, usize, u64)> {
        let homes = mutex::lock(&self.homes);
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
        let given_up = mutex::lock(&self.homes.given_up).get(shard) == Some(&epoch);
        (self.has_authority() && !given_up).then_some(epoch)
    }

    fn ask_memory(
        &self,
        shard: &ids::ShardId,
        epoch: ids::Epoch,
        question: Question,
    ) -> once::Begin {
        let now_ms = self.unix_ms();
        let mut homes = mutex::lock(&self.homes.homes);
        let Some(home) = self.open_home(&mut homes, shard, epoch, now_ms) else {
            return once::Begin::NotHome;
        };
        let memory = &mut home.memory;
        match question.asked {
            Asked::Begin => memory.begin(question.id, question.attempt, now_ms),
            Asked::Peek => memory.peek(question.id, question.attempt, now_ms),
            Asked::End(verdict) => {
                memory.end(question.id, question.attempt, verdict);
                once::Begin::Fresh
            }
        }
    }

    /// The home under this epoch, opened if need be; `None` while it has to wait
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
        let ago = self.now().saturating_duration_since(held.taken_at);
        let ago_ms = u64::try_from(ago.as_millis()).unwrap_or(0);
        let taken = Taken {
            ago,
            unix_ms: now_ms.saturating_sub(ago_ms),
        };
        self.homes.begin_with(shard, held, taken)
    }

    /// Opens the homes of newly held shards, so that even one that is never
    /// asked can pass its floor on; returns how many still wait for a memory.
    pub(super) fn open_homes(&self) -> usize {
        let view = self.context.shared.claims_now();
        let now_ms = self.unix_ms();
        let ids = (view.held.iter()).filter(|(id, _)| id.as_str().starts_with(HOMES));
        let mut waiting = 0;
        let mut homes = mutex::lock(&self.homes.homes);
        for (shard, held) in ids {
            let opened = self.open_home(&mut homes, shard, held.epoch, now_ms);
            waiting += usize::from(opened.is_none());
        }
        waiting
    }

    /// Gives up a home, its memory for the next one.
    ///
    /// The shard is not among the held ones any more: it is asked to be drained
    /// after it was taken off the snapshot.
    pub(super) fn give_up_home(&self, shard: &ids::ShardId) {
        let view = self.context.shared.claims_now();
        let mine = view.claims.shards.get(shard);
        let mine = mine.filter(|line| line.holder.as_ref() == Some(&view.me));
        if let Some(line) = mine {
            self.homes.give_up(shard, line.epoch);
        }
    }

    fn unix_ms(&self) -> u64 {
        let since = self.context.clock.wall().duration_since(time::UNIX_EPOCH);
        clock::millis(since.unwrap_or_default())
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
