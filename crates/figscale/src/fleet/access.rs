//! The store, directly or through another entry instance.
//!
//! The store can turn single instances away, or be cut off from them, while it
//! serves the others. A call that it does not take from here is passed on by a
//! peer, so that the leader goes on and every instance hears of a new
//! configuration. While the store does not answer here only peers are asked,
//! the one that served last before others; a peer that does not reach it
//! either says so at once.
//!
//! Nothing is decided or kept on the way: the peer makes the very same call.
//! A transaction may so be sent twice, which its conditions allow. Only the
//! configuration is decoded by the peer, since customers' keys must not travel.

use std::net;
use std::sync;
use std::time;

use figscale_platform::CallError;
use figscale_platform::config;
use figscale_platform::store;
use figscale_types::fleet;
use figscale_types::mutex;
use figscale_types::verdict::Verdict;
use rand::seq::SliceRandom as _;
use serde::Deserialize;
use serde::Serialize;

use super::calls;
use super::direct;
use crate::metrics;
use crate::peer;

/// Name of the service that passes calls on, among peers.
const RELAY_SERVICE: &str = "fleet-store";
/// Time for a peer's answer; its own call of the store has to fit.
const RELAY_TIMEOUT: time::Duration = time::Duration::from_millis(650);
/// Peers asked for one call. The store turns a third of the instances away at
/// most, so three of them fail together about one time in thirty.
const MAX_RELAYS: usize = 3;

/// A call of the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum Call {
    Get(String),
    List(String),
    Commit(store::Transaction),
    Grant(time::Duration),
    Renew(store::LeaseId),
    Revoke(store::LeaseId),
    /// The configuration, unless it has this revision.
    Configuration(u64),
}

/// The operators' configuration, compared with the revision known.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum Configuration {
    /// It has the revision that was known.
    Same,
    /// It has another one.
    Other(Box<Version>),
    /// There is none.
    Gone,
}

/// A version of the configuration, as it was read.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Version {
    pub(super) revision: u64,
    /// What it says, or why it cannot be read.
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

/// Its answer.
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

/// Ways to the store.
pub(crate) struct Access {
    direct: sync::Arc<direct::Direct>,
    peers: sync::Arc<peer::Peers>,
    own_address: net::SocketAddr,
    roster: sync::Mutex<Vec<net::SocketAddr>>,
    /// The peer that passed the last call on.
    helper: sync::Mutex<Option<net::SocketAddr>>,
}

impl Access {
    pub(super) fn new(
        direct: store::Store,
        peers: sync::Arc<peer::Peers>,
        own_address: net::SocketAddr,
        metrics: sync::Arc<metrics::Metrics>,
    ) -> Self {
        Self {
            direct: sync::Arc::new(direct::Direct::new(direct, metrics)),
            peers,
            own_address,
            roster: sync::Mutex::default(),
            helper: sync::Mutex::default(),
        }
    }

    /// Passes calls of peers on to the store.
    pub(super) fn serve(&self, handlers: &mut peer::Handlers) {
        let direct = self.direct.clone();
        handlers.on_call(RELAY_SERVICE, move |_from, call: Call| {
            let direct = direct.clone();
            async move { Ok(pass_on(&direct, &call).await) }
        });
    }

    /// The other entry instances, as far as known.
    pub(super) fn set_roster(&self, addresses: Vec<net::SocketAddr>) {
        *mutex::lock(&self.roster) = addresses;
    }

    /// Number of instances known, this one among them.
    pub(super) fn instances(&self) -> usize {
        mutex::lock(&self.roster).len()
    }

    /// Fingerprint of the instances known.
    pub(super) fn roster_hash(&self) -> calls::RosterHash {
        calls::RosterHash::of(&mutex::lock(&self.roster))
    }

    /// The other entry instances, in no particular order.
    pub(super) fn roster(&self) -> Vec<net::SocketAddr> {
        let mut others = mutex::lock(&self.roster).clone();
        others.retain(|address| *address != self.own_address);
        others.shuffle(&mut rand::rng());
        others
    }

    /// Whether the store answers calls from here, as far as known.
    pub(super) fn answers_directly(&self) -> bool {
        self.direct.answers()
    }

    /// Whether the store answers a read from here.
    pub(super) async fn probe(&self) -> bool {
        self.direct.probe().await
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
            Answer::Listing(listing) => Ok(listing),
            other => Err(unexpected(&other)),
        }
    }

    /// Executes a transaction, which must bear being sent twice.
    pub(super) async fn commit(
        &self,
        transaction: &store::Transaction,
    ) -> Result<store::Committed, CallError> {
        match self.call(Call::Commit(transaction.clone())).await? {
            Answer::Committed(committed) => Ok(committed),
            other => Err(unexpected(&other)),
        }
    }

    /// Takes a lease.
    pub(super) async fn grant(&self, ttl: time::Duration) -> Result<store::LeaseId, CallError> {
        match self.call(Call::Grant(ttl)).await? {
            Answer::Lease(lease) => Ok(lease),
            other => Err(unexpected(&other)),
        }
    }

    /// Renews a lease; false when it has ended.
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

    /// The configuration, unless it has the revision known.
    pub(super) async fn configuration(&self, known: u64) -> Result<Configuration, CallError> {
        match self.call(Call::Configuration(known)).await? {
            Answer::Configuration(configuration) => Ok(configuration),
            other => Err(unexpected(&other)),
        }
    }

    /// Follows a key: `see` gets the item as it is and after each change, or
    /// `None` where there is none. Ends with an error, or without when the
    /// history is gone; then it is to be called again.
    ///
    /// The first reading may go through a peer, so calling it again and again
    /// stands for the watch while the store does not answer here.
    pub(super) async fn follow_key(
        &self,
        key: &str,
        wait: time::Duration,
        mut see: impl FnMut(Option<&store::Item>),
    ) -> Result<(), CallError> {
        let listing = self.list(key).await?;
        see(listing.items.iter().find(|item| item.key == key));
        let mut revision = listing.revision;
        loop {
            match self.watch(key, revision, wait).await? {
                store::Watched::Compacted => return Ok(()),
                store::Watched::Events {
                    events,
                    revision: newer,
                } => {
                    for event in &events {
                        match event {
                            store::Event::Written(item) if item.key == key => see(Some(item)),
                            store::Event::Removed { key: removed, .. } if removed == key => {
                                see(None);
                            }
                            _ => (),
                        }
                    }
                    revision = revision.max(newer);
                }
            }
        }
    }

    /// Watches a prefix; only directly, since a peer has its own watches.
    pub(super) async fn watch(
        &self,
        prefix: &str,
        after_revision: u64,
        wait: time::Duration,
    ) -> Result<store::Watched, CallError> {
        let store = self.direct.store();
        let watched = store.watch(prefix, after_revision, wait).await;
        self.direct.note(&watched);
        watched
    }

    async fn call(&self, call: Call) -> Result<Answer, CallError> {
        let mut here = None;
        let away = self.direct.failure();
        if away.is_none() {
            match call_directly(&self.direct, &call).await {
                Ok(answer) => return Ok(answer),
                Err(error) => here = Some(error),
            }
        }
        let there = match self.relay(&call).await {
            Ok(answer) => return Ok(answer),
            Err(error) => error,
        };
        let Some(mut error) = here else {
            // What ails the store is the cause; peers may not even be known yet.
            let failure = away.unwrap_or_default();
            let cause = format!("{failure}; through a peer: {}", there.cause);
            return Err(CallError { cause, ..there });
        };
        // One way that may have worked leaves the whole call in doubt.
        if there.verdict != Verdict::NotRun {
            error.verdict = Verdict::MayHaveRun;
        }
        Err(error)
    }

    /// Peers to ask: the one that served last, and others.
    fn helpers(&self) -> Vec<net::SocketAddr> {
        let last = *mutex::lock(&self.helper);
        let mut helpers = self.roster();
        helpers.sort_by_key(|address| Some(*address) != last);
        helpers.truncate(MAX_RELAYS);
        helpers
    }

    async fn relay(&self, call: &Call) -> Result<Answer, CallError> {
        let mut verdict = Verdict::NotRun;
        let mut cause = "no peer is known".to_owned();
        for address in self.helpers() {
            let service = RELAY_SERVICE;
            let answer: Result<Result<Answer, CallError>, peer::PeerError> =
                self.peers.call(address, service, call, RELAY_TIMEOUT).await;
            let (failed, why) = match answer {
                Ok(Ok(answer)) => {
                    *mutex::lock(&self.helper) = Some(address);
                    return Ok(answer);
                }
                Ok(Err(error)) => (error.verdict, error.cause),
                Err(error) => {
                    self.peers.forget(address);
                    (error.verdict, error.to_string())
                }
            };
            if failed != Verdict::NotRun {
                verdict = failed;
            }
            cause = why;
        }
        Err(CallError::new(verdict, cause))
    }
}

/// Makes a peer's call, unless it would only wait for a timeout here as well.
async fn pass_on(direct: &sync::Arc<direct::Direct>, call: &Call) -> Result<Answer, CallError> {
    if let Some(failure) = direct.failure() {
        let cause = format!("the store does not answer the peer either: {failure}");
        return Err(CallError::not_run(cause));
    }
    call_directly(direct, call).await
}

/// Makes a call from here, and notes how it went and how long it took.
async fn call_directly(
    direct: &sync::Arc<direct::Direct>,
    call: &Call,
) -> Result<Answer, CallError> {
    let begun = tokio::time::Instant::now();
    let answer = make(direct.store(), call).await;
    direct.note(&answer);
    if answer.is_ok() {
        direct.answered_after(begun.elapsed());
    }
    answer
}

async fn make(store: &store::Store, call: &Call) -> Result<Answer, CallError> {
    match call {
        Call::Get(key) => store.get(key).await.map(Answer::Item),
        Call::List(prefix) => store.list(prefix).await.map(Answer::Listing),
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

/// A peer of another build answered something else.
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
    CallError::maybe(format!("a peer answered with {kind}"))
}
