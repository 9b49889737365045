//! Stand-in of the platform: key-value service and instance list.
//!
//! It implements the protocol in `figscale_types::platform`. [`start`] returns a
//! [`Handle`] through which a test injects faults, edits the instance list, and
//! reads or writes keys directly, bypassing the protocol. For a stand-in in its
//! own process, part of this is available over HTTP under `/control/`:
//!
//! | call | does |
//! | --- | --- |
//! | `GET`, `PUT /control/faults` | reads or sets [`Faults`] |
//! | `GET`, `PUT /control/instances` | reads or sets the lines of the list |
//! | `GET /control/counts` | calls and bytes by client and kind |
//!
//! Leases expire by the stand-in's clock, even during an outage, which is the
//! harsher of the two ways in which a real service may behave.

mod api;
mod control;
mod counts;
mod limits;
mod list;
mod store;

use std::io;
use std::net;
use std::sync;
use std::time;

use figscale_types::clock;
use figscale_types::ids;
use figscale_types::instances;
use figscale_types::mutex;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;
use tokio::task;

use crate::http_server;

pub use counts::Counts;
pub use figscale_types::platform::CallKind;

/// Interval of the checks for expired leases.
const TICK: time::Duration = time::Duration::from_millis(10);

/// Configuration of a stand-in platform.
#[derive(Clone)]
pub struct Config {
    /// Address to listen on. Default: any free port of 127.0.0.1.
    pub listen: net::SocketAddr,
    /// Rate limit of writes, including renewals of leases. Default 300.
    pub writes_per_s: f64,
    /// Rate limit of reads. Default 2,000.
    pub reads_per_s: f64,
    /// Lag of the instance list. Default 0.
    pub instance_lag: time::Duration,
    /// The initial list, visible immediately. Default: empty.
    pub instances: Vec<instances::Instance>,
    /// Seed of the random choice of lost responses. Default 1.
    pub seed: u64,
    /// The clock by which leases expire. Default: the system clock.
    pub clock: clock::SharedClock,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0)),
            writes_per_s: 300.0,
            reads_per_s: 2_000.0,
            instance_lag: time::Duration::ZERO,
            instances: Vec::new(),
            seed: 1,
            clock: sync::Arc::new(clock::SystemClock),
        }
    }
}

/// Faults that can be injected while it runs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call gets the status 503, including waiting watches.
    pub outage: bool,
    /// No call takes effect or gets a response until this is switched off.
    pub hang: bool,
    /// Watches ignore changes and time out.
    pub deaf_watches: bool,
    /// Time added before a call takes effect.
    pub delay_ms: u64,
    /// Time added after a call took effect and before its response.
    pub answer_delay_ms: u64,
    /// Number of following writes that take effect but get no response.
    pub lose_next_answers: u32,
    /// Probability that a write takes effect but gets no response.
    pub lose_answer_probability: f64,
}

/// A value with its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    /// Revision.
    pub revision: ids::Revision,
    /// Bytes.
    pub bytes: Vec<u8>,
}

/// A running stand-in; dropping it stops it.
pub struct Handle {
    server: http_server::Server,
    shared: sync::Arc<Shared>,
    ticker: task::JoinHandle<()>,
}

/// State shared by the parts of the stand-in.
pub(crate) struct Shared {
    clock: clock::SharedClock,
    seed: u64,
    store: sync::Mutex<store::Store>,
    instances: sync::Mutex<list::LaggingList>,
    limits: sync::Mutex<limits::Limits>,
    counts: sync::Mutex<counts::CountsByClient>,
    faults: watch::Sender<Faults>,
    /// Revision of the store last announced to watches.
    revision: watch::Sender<u64>,
}

impl Shared {
    fn new(config: &Config) -> Self {
        let now = config.clock.now();
        Self {
            clock: config.clock.clone(),
            seed: config.seed,
            store: sync::Mutex::new(store::Store::default()),
            instances: sync::Mutex::new(list::LaggingList::new(
                config.instances.clone(),
                config.instance_lag,
            )),
            limits: sync::Mutex::new(limits::Limits::new(config, now)),
            counts: sync::Mutex::new(IndexMap::new()),
            faults: watch::Sender::new(Faults::default()),
            revision: watch::Sender::new(0),
        }
    }

    /// Removes expired leases, runs `work` on the store, then wakes watches if the
    /// store changed.
    fn with_store<R>(&self, work: impl FnOnce(&mut store::Store, time::Instant) -> R) -> R {
        let now = self.clock.now();
        let mut store = mutex::lock(&self.store);
        store.expire(now);
        let result = work(&mut store, now);
        let revision = store.revision();
        self.revision
            .send_if_modified(|announced| std::mem::replace(announced, revision) != revision);
        result
    }
}

/// Starts the stand-in; returns once it listens.
pub async fn start(config: Config) -> io::Result<Handle> {
    let shared = sync::Arc::new(Shared::new(&config));
    let app = api::router(shared.clone()).merge(control::router(shared.clone()));
    let server = http_server::Server::start(config.listen, app, || ()).await?;
    let ticker = tokio::spawn(tick(shared.clone()));
    Ok(Handle {
        server,
        shared,
        ticker,
    })
}

async fn tick(shared: sync::Arc<Shared>) {
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        shared.with_store(|_, _| ());
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.ticker.abort();
    }
}

impl Handle {
    /// The address that it listens on.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address()
    }

    /// Changes the faults that are injected.
    pub fn change_faults(&self, change: impl FnOnce(&mut Faults)) {
        self.shared.faults.send_modify(change);
    }

    /// The faults that are injected now.
    pub fn faults(&self) -> Faults {
        self.shared.faults.borrow().clone()
    }

    /// Changes the rate limits.
    pub fn set_rates(&self, writes_per_s: f64, reads_per_s: f64) {
        mutex::lock(&self.shared.limits).set_rates(writes_per_s, reads_per_s);
    }

    /// Edits the instance list; the change becomes visible after the lag.
    pub fn change_instances(&self, change: impl FnOnce(&mut Vec<instances::Instance>)) {
        let now = self.shared.clock.now();
        mutex::lock(&self.shared.instances).change(now, change);
    }

    /// Sets the lag of later edits of the list.
    pub fn set_instance_lag(&self, lag: time::Duration) {
        mutex::lock(&self.shared.instances).set_lag(lag);
    }

    /// Reads a key, regardless of faults and rate limits.
    pub fn read(&self, key: &str) -> Option<Value> {
        self.shared.with_store(|store, _| {
            store.get(key).map(|stored| Value {
                revision: stored.revision,
                bytes: stored.value.to_vec(),
            })
        })
    }

    /// Writes a key, regardless of its revision, faults and rate limits.
    pub fn write(&self, key: &str, value: Vec<u8>) -> ids::Revision {
        self.shared
            .with_store(|store, _| store.write(key, value.into()))
    }

    /// Deletes a key, regardless of its revision, faults and rate limits.
    pub fn delete(&self, key: &str) {
        self.shared.with_store(|store, _| store.remove(key));
    }

    /// The keys under a prefix in order, regardless of faults and rate limits.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let list = self.shared.with_store(|store, _| store.keys(prefix));
        list.keys.into_iter().map(|line| line.key).collect()
    }

    /// Expires every lease at once, as a long outage of a real service may do.
    pub fn expire_all_leases(&self) {
        self.shared.with_store(|store, _| store.expire_all());
    }

    /// Calls and bytes by client and kind.
    pub fn counts(&self) -> IndexMap<String, IndexMap<CallKind, Counts>> {
        mutex::lock(&self.shared.counts).clone()
    }

    /// Calls and bytes of all clients and kinds.
    pub fn total(&self) -> Counts {
        let counts = mutex::lock(&self.shared.counts);
        let all = counts.values().flat_map(IndexMap::values);
        all.fold(Counts::default(), |sum, one| sum.plus(one))
    }

    /// Number of waiting watches.
    pub fn waiting_watches(&self) -> usize {
        self.shared.revision.receiver_count()
    }

    /// Resets the counters to measure from this point on.
    pub fn reset_counts(&self) {
        mutex::lock(&self.shared.counts).clear();
    }
}
