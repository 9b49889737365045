//! Stand-in of a runner: an HTTP/1.1 upstream of a service with a few slots.
//!
//! `POST` to any path runs a request for the time in the header `x-run-ms`, or
//! for a time drawn from [`Config::run_time`], and responds with a [`RunAnswer`]
//! and a checksum. A request keeps running when its connection breaks, as work
//! on a real upstream does: its slot is busy until the run is over. Requests
//! that arrive while all slots are busy are refused without being run.
//!
//! Every request received is recorded in a [`Ledger`], which all runners of a
//! test may share and which checks the guarantees of the system. For a stand-in
//! in its own process the same is available over HTTP: `GET
//! /control/violations` returns the violations found, `GET /control/requests`
//! all requests received, and `/control/faults` reads or sets [`Faults`].

mod answer;
mod api;
mod ledger;

use std::io;
use std::net;
use std::sync;
use std::time;

use figscale_types::clock;
use figscale_types::ids;
use figscale_types::instances;
use figscale_types::mutex;
use rand::SeedableRng as _;
use rand::rngs;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;
use tokio::task;

use crate::http_server;

pub use answer::RunAnswer;
pub use answer::checksum;
pub use ledger::Holder;
pub use ledger::Ledger;
pub use ledger::SeenRequest;
pub use ledger::Violation;

/// Run time of a request that does not specify one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RunTime {
    /// Always this long.
    Fixed(time::Duration),
    /// Exponentially distributed around this mean.
    Exponential(time::Duration),
}

/// Configuration of a stand-in runner.
#[derive(Clone)]
pub struct Config {
    /// Address to listen on. Default: any free port of 127.0.0.1.
    pub listen: net::SocketAddr,
    /// Its name. Default: `runner-1`.
    pub id: ids::InstanceId,
    /// Number of requests run concurrently. Default 8.
    pub slots: u32,
    /// Number of concurrent connections allowed. Default 60.
    pub connections: u32,
    /// Run time of a request that does not specify one. Default: 20 ms.
    pub run_time: RunTime,
    /// Interval at which the usage returned by `GET /usage` is sampled. Default
    /// 100 ms.
    pub usage_every: time::Duration,
    /// Seed of the run times. Default 1.
    pub seed: u64,
    /// Ledger that records the requests received. Default: a new one.
    pub ledger: Ledger,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0)),
            id: default_id(),
            slots: 8,
            connections: 60,
            run_time: RunTime::Fixed(time::Duration::from_millis(20)),
            usage_every: time::Duration::from_millis(100),
            seed: 1,
            ledger: Ledger::default(),
        }
    }
}

fn default_id() -> ids::InstanceId {
    "runner-1".parse().expect("a valid name")
}

/// Faults that can be injected while it runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Run times are multiplied by this. Default 1.
    pub slow_factor: f64,
    /// Every request runs and gets the status 500.
    pub fail: bool,
    /// Every request is refused without being run.
    pub refuse: bool,
    /// Every response announces that the runner is leaving.
    pub leaving: bool,
    /// Requests hold their slot and end only after this is switched off.
    pub hang: bool,
    /// The connection is closed in the middle of the response body.
    pub cut_answer: bool,
    /// Response bodies end before the declared length, without an error.
    pub wrong_length: bool,
    /// `GET /usage` keeps returning the last sample.
    pub stale_usage: bool,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            slow_factor: 1.0,
            fail: false,
            refuse: false,
            leaving: false,
            hang: false,
            cut_answer: false,
            wrong_length: false,
            stale_usage: false,
        }
    }
}

/// State shared by the parts of the stand-in.
pub(crate) struct Shared {
    id: ids::InstanceId,
    slots: u32,
    connections: u32,
    run_time: RunTime,
    ledger: Ledger,
    faults: watch::Sender<Faults>,
    /// Set when the handle is dropped; ends all runs.
    stopped: watch::Sender<bool>,
    rng: sync::Mutex<rngs::SmallRng>,
    usage: sync::Mutex<Usage>,
}

/// The last sample of the runner's usage.
#[derive(Clone, Copy, Debug)]
struct Usage {
    busy: u32,
    sampled_at: time::Instant,
}

/// A running stand-in; dropping it stops it and the requests that it runs.
pub struct Handle {
    server: http_server::Server,
    shared: sync::Arc<Shared>,
    ticker: task::JoinHandle<()>,
}

/// Starts the stand-in; returns once it listens.
pub async fn start(config: Config) -> io::Result<Handle> {
    let usage = Usage {
        busy: 0,
        sampled_at: time::Instant::now(),
    };
    let shared = sync::Arc::new(Shared {
        id: config.id,
        slots: config.slots,
        connections: config.connections,
        run_time: config.run_time,
        ledger: config.ledger,
        faults: watch::Sender::new(Faults::default()),
        stopped: watch::Sender::new(false),
        rng: sync::Mutex::new(rngs::SmallRng::seed_from_u64(config.seed)),
        usage: sync::Mutex::new(usage),
    });
    let counted = shared.clone();
    let connected = move || Connection::open(counted.clone());
    let app = api::router(shared.clone());
    let server = http_server::Server::start(config.listen, app, connected).await?;
    let ticker = tokio::spawn(sample_usage(shared.clone(), config.usage_every));
    Ok(Handle {
        server,
        shared,
        ticker,
    })
}

/// Counts a connection while it is open.
struct Connection(sync::Arc<Shared>);

impl Connection {
    fn open(shared: sync::Arc<Shared>) -> Self {
        shared.ledger.connected(&shared.id, shared.connections);
        Self(shared)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.ledger.disconnected(&self.0.id);
    }
}

async fn sample_usage(shared: sync::Arc<Shared>, every: time::Duration) {
    let mut interval = tokio::time::interval(every);
    loop {
        interval.tick().await;
        if !shared.faults.borrow().stale_usage {
            let busy = shared.ledger.busy(&shared.id);
            let sampled_at = time::Instant::now();
            *mutex::lock(&shared.usage) = Usage { busy, sampled_at };
        }
    }
}

impl Shared {
    fn usage(&self) -> instances::RunnerUsage {
        let usage = *mutex::lock(&self.usage);
        let age = usage.sampled_at.elapsed();
        instances::RunnerUsage {
            busy: usage.busy,
            slots: self.slots,
            age_ms: clock::millis(age),
            leaving: self.faults.borrow().leaving,
        }
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.shared.stopped.send_replace(true);
        self.ticker.abort();
    }
}

impl Handle {
    /// The address that it listens on.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address()
    }

    /// Its name.
    pub fn id(&self) -> &ids::InstanceId {
        &self.shared.id
    }

    /// Changes the faults that are injected.
    pub fn change_faults(&self, change: impl FnOnce(&mut Faults)) {
        self.shared.faults.send_modify(change);
    }

    /// The ledger of the requests that it received.
    pub fn ledger(&self) -> &Ledger {
        &self.shared.ledger
    }

    /// Number of requests running now.
    pub fn busy(&self) -> u32 {
        self.shared.ledger.busy(&self.shared.id)
    }
}
