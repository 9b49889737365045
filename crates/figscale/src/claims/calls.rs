//! Executes the actions of the claims state machine: calls to the store and to
//! peers. Each is a task of its own that produces at most one input of the machine.

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

/// Longest time that one watch of the claims document waits for a change.
const WATCH_TIMEOUT_MS: u64 = 20_000;
/// Initial backoff after a failed watch or read of the instance list.
const MIN_BACKOFF_MS: u64 = 100;
/// Maximum of this backoff.
const MAX_BACKOFF_MS: u64 = 2_000;
/// Timeout of a call to a peer.
const PEER_TIMEOUT_MS: u64 = 1_000;

/// Value of the key under a member's lease. It is only for operators to
/// inspect; no code reads it.
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

    /// Starts a task that executes an action.
    pub(super) fn execute(&self, action: core::Action) {
        let calls = self.clone();
        tokio::task::spawn_local(async move {
            if let Some(input) = calls.perform(action).await {
                let _ = calls.inputs.send(input).await;
            }
        });
    }

    async fn perform(&self, action: core::Action) -> Option<core::Input> {
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
                let answer = self.call_peer(address, &question).await;
                core::Input::Answered {
                    question,
                    sent_at,
                    answer,
                }
            }
            core::Action::Revoke { lease } => {
                // If this fails, the lease expires by itself.
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
        let lease_of = |line: &figscale_types::platform::KeyRevision| {
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

    async fn call_peer(
        &self,
        address: net::SocketAddr,
        question: &claims::WitnessRequest,
    ) -> Option<claims::WitnessResponse> {
        let timeout = time::Duration::from_millis(PEER_TIMEOUT_MS);
        let peers = &self.context.peers;
        let answer = peers.call(address, super::NAME, question, timeout);
        answer.await.ok()
    }

    /// Watches the claims document.
    pub(super) fn watch_document(&self) {
        let calls = self.clone();
        tokio::task::spawn_local(async move {
            let mut delays = RetryDelays::new(&calls.context);
            loop {
                let after = calls.context.shared.claims_now().revision;
                let wait = time::Duration::from_millis(WATCH_TIMEOUT_MS);
                let store = &calls.context.store;
                let began = calls.context.clock.now();
                match store.watch(super::DOCUMENT_KEY, after, wait).await {
                    Ok(Some(found)) => {
                        delays.reset();
                        calls.on_document(&found).await;
                    }
                    // No change during the whole wait.
                    Ok(None) if calls.context.clock.now() >= began + wait => delays.reset(),
                    // Returned before the wait was over: the key was deleted.
                    Ok(None) => delays.pause().await,
                    Err(error) => delays.wait(&error).await,
                }
            }
        });
    }

    async fn on_document(&self, found: &store::Versioned) {
        if let Some(document) = parse(found) {
            let input = core::Input::Read {
                result: Ok(document),
                asked: false,
            };
            let mut view = self.context.shared.claims.subscribe();
            let _ = self.inputs.send(input).await;
            // The next watch must ask for revisions after this one, so wait
            // until the view has it.
            let later = |view: &sync::Arc<state::ClaimsView>| view.revision >= found.revision;
            let _ = view.wait_for(later).await;
        }
    }

    /// Polls the instance list.
    pub(super) fn poll_instances(&self) {
        let calls = self.clone();
        tokio::task::spawn_local(async move {
            let mut delays = RetryDelays::new(&calls.context);
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

/// Backoff of one loop, which logs the first of consecutive failures.
struct RetryDelays {
    backoff: store::Backoff,
    rng: rngs::SmallRng,
    failed: bool,
}

impl RetryDelays {
    fn new(context: &state::Context) -> Self {
        let millis = time::Duration::from_millis;
        Self {
            backoff: store::Backoff::new(millis(MIN_BACKOFF_MS), millis(MAX_BACKOFF_MS)),
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
