//! Access to the store, directly or through another entry instance.
//!
//! The store can refuse calls of single instances, or be cut off from them, while
//! it serves the others. A call that the store does not take from this instance is
//! forwarded by a peer, so that the leader can continue and every instance gets a
//! new configuration. While the store does not answer this instance directly, only
//! peers are called, first the one that forwarded the last call successfully, last
//! those that failed. A peer that cannot reach the store either reports that at
//! once.
//!
//! A peer makes the same call, without deciding or storing anything. A transaction
//! may therefore be sent twice, which its conditions allow. Only the configuration
//! is decoded by the peer, since customers' keys must not be sent between
//! instances.

use std::net;
use std::sync;
use std::time;

use figscale_core::fleet as scheduling;
use figscale_platform::CallError;
use figscale_platform::config;
use figscale_platform::store;
use figscale_types::clock;
use figscale_types::fleet;
use figscale_types::mutex;
use figscale_types::verdict::Verdict;
use indexmap::IndexMap;
use rand::seq::SliceRandom as _;
use serde::Deserialize;
use serde::Serialize;

use super::calls;
use super::direct_store;
use super::keys;
use crate::events;
use crate::metrics;
use crate::peer;

/// Name of the service by which peers forward calls to the store.
const RELAY_SERVICE: &str = "fleet-store";
/// Timeout of a peer's answer; the peer's own call of the store has to fit in.
const RELAY_TIMEOUT: time::Duration = time::Duration::from_millis(650);
/// Most peers tried for one call. The store refuses at most a third of the
/// instances, so all three fail about one time in thirty.
const MAX_RELAYS: usize = 3;

/// Pause after a watch that returned long before its time with nothing new.
const EARLY_WATCH_PAUSE: time::Duration = time::Duration::from_millis(50);

/// A call to the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum Call {
    Get(String),
    List(String),
    Commit(store::Transaction),
    Grant(time::Duration),
    Renew(store::LeaseId),
    Revoke(store::LeaseId),
    /// Reads the configuration, unless it has this revision.
    Configuration(u64),
}

/// The operators' configuration, compared with a known revision.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum Configuration {
    /// It has the known revision.
    Same,
    /// It has another revision.
    Other(Box<Version>),
    /// There is no configuration.
    Gone,
}

/// A version of the configuration, as read from the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Version {
    pub(super) revision: u64,
    /// The decoded configuration, or why it cannot be decoded.
    pub(super) table: Result<fleet::QueueTable, String>,
}

impl Version {
    pub(super) fn read(item: &store::Item) -> Self {
        Self {
            revision: item.revision,
            table: config::decode(&item.value).map_err(|error| error.cause),
        }
    }
}

/// The answer to a call.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum Answer {
    Item(Option<store::Item>),
    Listing(store::Listing),
    Committed(store::Committed),
    Lease(store::LeaseId),
    Renewed(bool),
    Done,
    Configuration(Configuration),
}

/// The store, reached directly or through peers.
pub(crate) struct Access {
    direct_store: sync::Arc<direct_store::DirectStore>,
    peers: sync::Arc<peer::Peers>,
    own_address: net::SocketAddr,
    /// All entry instances known.
    roster: sync::Mutex<Vec<net::SocketAddr>>,
    forwarders: sync::Mutex<scheduling::StoreForwarders>,
    /// Number of rows left out of the last listing of each prefix, if there were any.
    left_out: sync::Mutex<IndexMap<String, u64>>,
    metrics: sync::Arc<metrics::Metrics>,
    clock: clock::SharedClock,
}

impl Access {
    pub(super) fn new(
        direct_store: store::Store,
        peers: sync::Arc<peer::Peers>,
        own_address: net::SocketAddr,
        metrics: sync::Arc<metrics::Metrics>,
        clock: clock::SharedClock,
    ) -> Self {
        Self {
            direct_store: sync::Arc::new(direct_store::DirectStore::new(
                direct_store,
                metrics.clone(),
            )),
            peers,
            own_address,
            roster: sync::Mutex::default(),
            forwarders: sync::Mutex::default(),
            left_out: sync::Mutex::default(),
            metrics,
            clock,
        }
    }

    /// Forwards calls of peers to the store.
    pub(super) fn serve(&self, handlers: &mut peer::Handlers) {
        let direct_store = self.direct_store.clone();
        handlers.on_call(RELAY_SERVICE, move |_from, call: Call| {
            let direct_store = direct_store.clone();
            async move { Ok(forward(&direct_store, &call).await) }
        });
    }

    /// Sets the known entry instances.
    pub(super) fn set_roster(&self, addresses: Vec<net::SocketAddr>) {
        *mutex::lock(&self.roster) = addresses;
    }

    /// Number of known instances, this one included.
    pub(super) fn instances(&self) -> usize {
        mutex::lock(&self.roster).len()
    }

    /// Hash of the known instances, independent of their order.
    pub(super) fn roster_hash(&self) -> calls::RosterHash {
        calls::RosterHash::of(&mutex::lock(&self.roster))
    }

    /// The other known entry instances, in random order.
    pub(super) fn roster(&self) -> Vec<net::SocketAddr> {
        let mut others = mutex::lock(&self.roster).clone();
        others.retain(|address| *address != self.own_address);
        others.shuffle(&mut rand::rng());
        others
    }

    /// Whether the store answered this instance's last direct call.
    pub(super) fn answers_directly(&self) -> bool {
        self.direct_store.is_available()
    }

    /// Sends the store a read directly; returns whether it answered.
    pub(super) async fn probe(&self) -> bool {
        self.direct_store.probe().await
    }

    /// Reads a key.
    pub(super) async fn get(&self, key: &str) -> Result<Option<store::Item>, CallError> {
        match self.call(Call::Get(key.to_owned())).await? {
            Answer::Item(item) => Ok(item),
            other => Err(unexpected(&other)),
        }
    }

    /// Reads all keys of a prefix.
    pub(super) async fn list(&self, prefix: &str) -> Result<store::Listing, CallError> {
        match self.call(Call::List(prefix.to_owned())).await? {
            Answer::Listing(listing) => {
                self.record_left_out(prefix, listing.left_out);
                Ok(listing)
            }
            other => Err(unexpected(&other)),
        }
    }

    /// Logs how many rows a listing left out, if that has changed.
    fn record_left_out(&self, prefix: &str, rows: u64) {
        let mut known = mutex::lock(&self.left_out);
        if known.get(prefix).copied().unwrap_or(0) == rows {
            return;
        }
        known.insert(prefix.to_owned(), rows);
        let all = known.values().sum();
        self.metrics.fleet_rows_left_out(all);
        crate::event!(events::fleet::ROWS_LEFT_OUT, prefix = prefix, rows = rows);
    }

    /// Executes a transaction, which must be safe to send twice.
    pub(super) async fn commit(
        &self,
        transaction: &store::Transaction,
    ) -> Result<store::Committed, CallError> {
        match self.call(Call::Commit(transaction.clone())).await? {
            Answer::Committed(committed) => Ok(committed),
            other => Err(unexpected(&other)),
        }
    }

    /// Requests a lease.
    pub(super) async fn grant(&self, ttl: time::Duration) -> Result<store::LeaseId, CallError> {
        match self.call(Call::Grant(ttl)).await? {
            Answer::Lease(lease) => Ok(lease),
            other => Err(unexpected(&other)),
        }
    }

    /// Renews a lease; false if it has ended.
    pub(super) async fn renew(&self, lease: store::LeaseId) -> Result<bool, CallError> {
        match self.call(Call::Renew(lease)).await? {
            Answer::Renewed(renewed) => Ok(renewed),
            other => Err(unexpected(&other)),
        }
    }

    /// Ends a lease.
    pub(super) async fn revoke(&self, lease: store::LeaseId) -> Result<(), CallError> {
        self.call(Call::Revoke(lease)).await.map(|_| ())
    }

    /// Reads the configuration, unless it has the known revision.
    pub(super) async fn configuration(&self, known: u64) -> Result<Configuration, CallError> {
        match self.call(Call::Configuration(known)).await? {
            Answer::Configuration(configuration) => Ok(configuration),
            other => Err(unexpected(&other)),
        }
    }

    /// Follows a key, in watches that last for `wait` at most: `on_change` gets the
    /// current item and the item after each change, or `None` if the key does not
    /// exist. Returns an error if a call fails, and `Ok` if the store no longer has
    /// the history of changes; in both cases it is to be called again.
    ///
    /// The first read may go through a peer, so repeated calls replace the watch
    /// while the store does not answer this instance directly.
    pub(super) async fn follow_key(
        &self,
        key: &str,
        wait: impl Fn() -> time::Duration,
        mut on_change: impl FnMut(Option<&store::Item>),
    ) -> Result<(), CallError> {
        let listing = self.list(key).await?;
        let item = listing.items.iter().find(|item| item.key == key);
        if item.is_none() && listing.left_out > 0 {
            // One of the rows left out may be the key's.
            return Err(CallError::not_run(format!("{key}: a row cannot be read")));
        }
        on_change(item);
        let mut revision = listing.revision;
        loop {
            let wait = wait();
            let begun = self.clock.now();
            let watched = self.watch(key, revision, wait).await?;
            let took = self.clock.now().saturating_duration_since(begun);
            if !watched.is_after(revision) && took < wait / 2 {
                // Without a pause, a store that returns at once would be called again
                // and again.
                tokio::time::sleep(EARLY_WATCH_PAUSE).await;
            }
            match watched {
                store::WatchResult::Compacted => return Ok(()),
                store::WatchResult::Events {
                    events,
                    revision: newer,
                } => {
                    for event in &events {
                        match event {
                            store::Event::Written(item) if item.key == key => on_change(Some(item)),
                            store::Event::Removed { key: removed, .. } if removed == key => {
                                on_change(None);
                            }
                            _ => (),
                        }
                    }
                    revision = revision.max(newer);
                }
            }
        }
    }

    /// Watches a prefix; never through a peer, which has watches of its own.
    pub(super) async fn watch(
        &self,
        prefix: &str,
        after_revision: u64,
        wait: time::Duration,
    ) -> Result<store::WatchResult, CallError> {
        let store = self.direct_store.store();
        let watched = store.watch(prefix, after_revision, wait).await;
        self.direct_store.record_result(&watched);
        watched
    }

    async fn call(&self, call: Call) -> Result<Answer, CallError> {
        let mut direct_error = None;
        let failure = self.direct_store.failure();
        if failure.is_none() {
            match call_directly(&self.direct_store, &call).await {
                Ok(answer) => return Ok(answer),
                Err(error) => direct_error = Some(error),
            }
        }
        let relay_error = match self.relay(&call).await {
            Ok(answer) => return Ok(answer),
            Err(error) => error,
        };
        let Some(mut error) = direct_error else {
            // The fault of the store is the cause; peers may not be known yet.
            let failure = failure.unwrap_or_default();
            let cause = format!("{failure}; through a peer: {}", relay_error.cause);
            return Err(CallError {
                cause,
                ..relay_error
            });
        };
        // If either path may have executed the call, its outcome is unknown.
        if relay_error.verdict != Verdict::NotRun {
            error.verdict = Verdict::MayHaveRun;
        }
        Err(error)
    }

    /// Makes a call through a peer.
    async fn relay(&self, call: &Call) -> Result<Answer, CallError> {
        let mut verdict = Verdict::NotRun;
        let mut cause = "no peer is known".to_owned();
        let mut untried = self.roster();
        for _ in 0..MAX_RELAYS {
            let sent_at = self.clock.now();
            let next = mutex::lock(&self.forwarders).take_next(&mut untried, sent_at);
            let Some(address) = next else {
                break;
            };
            let service = RELAY_SERVICE;
            let answer: Result<Result<Answer, CallError>, peer::PeerError> =
                self.peers.call(address, service, call, RELAY_TIMEOUT).await;
            let now = self.clock.now();
            let (failed, why) = match answer {
                Ok(Ok(answer)) => {
                    mutex::lock(&self.forwarders).record_success(address, now);
                    return Ok(answer);
                }
                Ok(Err(error)) => (error.verdict, error.cause),
                Err(error) => (error.verdict, error.to_string()),
            };
            mutex::lock(&self.forwarders).record_failure(address, sent_at, now);
            if failed != Verdict::NotRun {
                verdict = failed;
            }
            cause = why;
        }
        Err(CallError::new(verdict, cause))
    }
}

/// Makes a peer's call, unless the store does not answer this instance either:
/// then the call could only time out.
async fn forward(
    direct_store: &sync::Arc<direct_store::DirectStore>,
    call: &Call,
) -> Result<Answer, CallError> {
    if let Some(failure) = direct_store.failure() {
        let cause = format!("the store does not answer the peer either: {failure}");
        return Err(CallError::not_run(cause));
    }
    call_directly(direct_store, call).await
}

/// Makes a call directly, and records its outcome and duration.
async fn call_directly(
    direct_store: &sync::Arc<direct_store::DirectStore>,
    call: &Call,
) -> Result<Answer, CallError> {
    let begun = tokio::time::Instant::now();
    let answer = execute(direct_store.store(), call).await;
    direct_store.record_result(&answer);
    if answer.is_ok() {
        direct_store.record_latency(begun.elapsed());
    }
    answer
}

async fn execute(store: &store::Store, call: &Call) -> Result<Answer, CallError> {
    match call {
        Call::Get(key) => store.get(key).await.map(Answer::Item),
        Call::List(prefix) => {
            let listing = store.list_if(prefix, keys::filter_of(prefix)).await;
            listing.map(Answer::Listing)
        }
        Call::Commit(transaction) => store.commit(transaction).await.map(Answer::Committed),
        Call::Grant(ttl) => store.grant(*ttl).await.map(Answer::Lease),
        Call::Renew(lease) => store.renew(*lease).await.map(Answer::Renewed),
        Call::Revoke(lease) => store.revoke(*lease).await.map(|()| Answer::Done),
        Call::Configuration(known) => {
            let compared = store.compare(config::KEY, *known).await?;
            Ok(Answer::Configuration(match compared {
                store::Comparison::Same => Configuration::Same,
                store::Comparison::Other(item) => {
                    Configuration::Other(Box::new(Version::read(&item)))
                }
                store::Comparison::Gone => Configuration::Gone,
            }))
        }
    }
}

/// The error for an answer of the wrong kind, as from a peer of another version.
fn unexpected(answer: &Answer) -> CallError {
    let kind = match answer {
        Answer::Item(_) => "an item",
        Answer::Listing(_) => "a listing",
        Answer::Committed(_) => "the outcome of a transaction",
        Answer::Lease(_) => "a lease",
        Answer::Renewed(_) => "a renewal",
        Answer::Done => "nothing",
        Answer::Configuration(_) => "a configuration",
    };
    CallError::may_have_run(format!("a peer answered with {kind}"))
}
