//! Carries out the actions of the claims machine: calls to the store and to
//! peers, each a task that ends in one input.

use std::net;
use std::sync;
use std::time;

use figscale_core::claims as core;
use figscale_core::claims::StoreFailure;
use figscale_types::claims;
use figscale_types::ids;
use figscale_types::verdict::Verdict;
use rand::SeedableRng as _;
use rand::rngs;
use serde::Serialize;
use tokio::sync::mpsc;

use crate::events::claims as events;
use crate::kernel;
use crate::state;
use crate::store;
use crate::store::StoreError;
use crate::store::StoreErrorKind;

/// Time that one watch of the document waits.
const WATCH_MS: u64 = 20_000;
/// Shortest delay bound after a failed watch or read of the instance list.
const FIRST_DELAY_MS: u64 = 100;
/// Longest one.
const LONGEST_DELAY_MS: u64 = 2_000;
/// Longest wait for a peer's answer.
const PEER_TIMEOUT_MS: u64 = 1_000;

/// Value of the key under a member's lease; for people, nobody reads it back.
#[derive(Serialize)]
struct MemberRecord {
    incarnation: ids::Incarnation,
    peer_address: net::SocketAddr,
}

#[derive(Clone)]
pub(super) struct Calls {
    context: state::Context,
    inputs: mpsc::Sender<core::Input>,
}

impl Calls {
    pub(super) fn new(context: state::Context, inputs: mpsc::Sender<core::Input>) -> Self {
        Self { context, inputs }
    }

    /// Starts what an action asks for.
    pub(super) fn carry_out(&self, action: core::Action) {
        let calls = self.clone();
        tokio::task::spawn_local(async move {
            if let Some(input) = calls.input_of(action).await {
                let _ = calls.inputs.send(input).await;
            }
        });
    }

    async fn input_of(&self, action: core::Action) -> Option<core::Input> {
        let store = &self.context.store;
        let sent_at = self.context.clock.now();
        let input = match action {
            core::Action::Grant => {
                let ttl = time::Duration::from_millis(self.context.settings.claims.lease_ms);
                let result = store.grant(ttl).await.map_err(|e| failure(&e));
                core::Input::Granted { sent_at, result }
            }
            core::Action::Announce { lease } => {
                let result = self.announce(lease).await;
                core::Input::Announced { lease, result }
            }
            core::Action::Renew { lease } => {
                let result = store.renew(lease).await.map_err(|e| failure(&e));
                core::Input::Renewed {
                    lease,
                    sent_at,
                    result,
                }
            }
            core::Action::Read => {
                let result = self.read().await;
                core::Input::Read {
                    result,
                    asked: true,
                }
            }
            core::Action::List => {
                let result = self.list().await;
                core::Input::Listed { result }
            }
            core::Action::Write { base, claims } => {
                let result = self.write(base, claims).await;
                core::Input::Written { result }
            }
            core::Action::Drain { shard } => {
                let drained = self.context.kernel.drain(shard.clone()).await;
                let clean = drained == kernel::Drained::Clean;
                core::Input::Drained { shard, clean }
            }
            core::Action::Ask { address, question } => {
                let answer = self.ask(address, &question).await;
                core::Input::Answered {
                    question,
                    sent_at,
                    answer,
                }
            }
            core::Action::Revoke { lease } => {
                // It lapses by itself if this fails.
                let _ = store.revoke(lease).await;
                return None;
            }
        };
        Some(input)
    }

    async fn announce(&self, lease: ids::LeaseId) -> Result<(), StoreFailure> {
        let me = self.context.me();
        let key = format!("{}{}/{lease}", super::MEMBER_PREFIX, me.id);
        let record = MemberRecord {
            incarnation: me.incarnation,
            peer_address: self.context.settings.peer_address,
        };
        let value = serde_json::to_vec(&record).map_err(|_| StoreFailure::NotRun)?;
        let absent = ids::Revision(0);
        let written = self.context.store.put(&key, absent, value, Some(lease));
        written.await.map(|_| ()).map_err(|e| failure(&e))
    }

    async fn read(&self) -> Result<(ids::Revision, claims::Claims), StoreFailure> {
        match self.context.store.get(super::DOCUMENT_KEY).await {
            Ok(Some(found)) => parse(&found).ok_or(StoreFailure::NotRun),
            Ok(None) => Ok((ids::Revision(0), claims::Claims::default())),
            Err(error) => Err(failure(&error)),
        }
    }

    async fn list(&self) -> Result<Vec<ids::LeaseId>, StoreFailure> {
        let list = self.context.store.keys(super::MEMBER_PREFIX).await;
        let keys = list.map_err(|e| failure(&e))?.keys;
        let lease_of = |line: &figscale_types::platform::KeyLine| {
            let (_, lease) = line.key.rsplit_once('/')?;
            lease.parse().ok()
        };
        Ok(keys.iter().filter_map(lease_of).collect())
    }

    async fn write(
        &self,
        base: ids::Revision,
        claims: claims::Claims,
    ) -> Result<ids::Revision, StoreFailure> {
        let value = serde_json::to_vec(&claims).map_err(|_| StoreFailure::NotRun)?;
        let written = self
            .context
            .store
            .put(super::DOCUMENT_KEY, base, value, None);
        written.await.map_err(|e| failure(&e))
    }

    async fn ask(
        &self,
        address: net::SocketAddr,
        question: &claims::PeerQuestion,
    ) -> Option<claims::PeerAnswer> {
        let timeout = time::Duration::from_millis(PEER_TIMEOUT_MS);
        let peers = &self.context.peers;
        let answer = peers.call(address, super::NAME, question, timeout).await;
        if answer.is_err() {
            // The link may lead nowhere without saying so.
            peers.forget(address);
        }
        answer.ok()
    }

    /// Keeps a watch on the document.
    pub(super) fn watch_document(&self) {
        let calls = self.clone();
        tokio::task::spawn_local(async move {
            let mut delays = Delays::new(&calls.context);
            loop {
                let after = calls.context.shared.claims_now().revision;
                let wait = time::Duration::from_millis(WATCH_MS);
                let store = &calls.context.store;
                let began = calls.context.clock.now();
                match store.watch(super::DOCUMENT_KEY, after, wait).await {
                    Ok(Some(found)) => {
                        delays.reset();
                        calls.seen(&found).await;
                    }
                    // Nothing new in all that time.
                    Ok(None) if calls.context.clock.now() >= began + wait => delays.reset(),
                    // Too early: the key is gone.
                    Ok(None) => delays.pause().await,
                    Err(error) => delays.wait(&error).await,
                }
            }
        });
    }

    async fn seen(&self, found: &store::Versioned) {
        if let Some(document) = parse(found) {
            let input = core::Input::Read {
                result: Ok(document),
                asked: false,
            };
            let mut view = self.context.shared.claims.subscribe();
            let _ = self.inputs.send(input).await;
            // The next watch has to ask for what comes after this.
            let later = |view: &sync::Arc<state::ClaimsView>| view.revision >= found.revision;
            let _ = view.wait_for(later).await;
        }
    }

    /// Reads the instance list again and again.
    pub(super) fn poll_instances(&self) {
        let calls = self.clone();
        tokio::task::spawn_local(async move {
            let mut delays = Delays::new(&calls.context);
            let pause = time::Duration::from_millis(calls.context.settings.claims.instances_ms);
            loop {
                match calls.context.store.instances().await {
                    Ok(list) => {
                        delays.reset();
                        let input = core::Input::Instances(list);
                        let _ = calls.inputs.send(input).await;
                        tokio::time::sleep(pause).await;
                    }
                    Err(error) => delays.wait(&error).await,
                }
            }
        });
    }
}

/// Growing delays of one loop.
struct Delays {
    backoff: store::Backoff,
    rng: rngs::SmallRng,
    failed: bool,
}

impl Delays {
    fn new(context: &state::Context) -> Self {
        let millis = time::Duration::from_millis;
        Self {
            backoff: store::Backoff::new(millis(FIRST_DELAY_MS), millis(LONGEST_DELAY_MS)),
            rng: rngs::SmallRng::seed_from_u64(context.me().incarnation.0),
            failed: false,
        }
    }

    fn reset(&mut self) {
        self.backoff.reset();
        self.failed = false;
    }

    async fn wait(&mut self, error: &StoreError) {
        if !self.failed {
            crate::event!(events::STORE_AWAY, error = error);
        }
        self.failed = true;
        self.pause().await;
    }

    async fn pause(&mut self) {
        tokio::time::sleep(self.backoff.next_delay(&mut self.rng)).await;
    }
}

fn failure(error: &StoreError) -> StoreFailure {
    crate::event!(events::STORE_CALL_FAILED, error = error);
    match (&error.kind, error.verdict) {
        (StoreErrorKind::Conflict(_), _) => StoreFailure::Conflict,
        (StoreErrorKind::LeaseGone, _) => StoreFailure::LeaseGone,
        (_, Verdict::NotRun) => StoreFailure::NotRun,
        _ => StoreFailure::MayHaveRun,
    }
}

fn parse(found: &store::Versioned) -> Option<(ids::Revision, claims::Claims)> {
    match serde_json::from_slice(&found.value) {
        Ok(claims) => Some((found.revision, claims)),
        Err(error) => {
            crate::event!(events::CLAIMS_UNREADABLE, error = error);
            None
        }
    }
}
