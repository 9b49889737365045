//! Stand-in of a runner: an HTTP/1.1 upstream of a service with a few slots.
//!
//! `POST` to any path runs a request for the time in the header `x-run-ms`, or
//! for one drawn from [`Config::run_time`], and answers a [`RunAnswer`] with a
//! checksum. A request goes on when its connection breaks, as work on a real
//! upstream does: its slot is busy until the run is over. Requests above the
//! slots are refused without being run.
//!
//! What it saw goes into a [`Ledger`], which may be shared by all runners of a
//! test and is the judge of the promises. Over HTTP, for a stand-in in its own
//! process, `GET /control/violations` tells what the judge found, `GET
//! /control/requests` all that it saw, and `/control/faults` reads or sets
//! [`Faults`].

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

/// How long a request runs that does not say so itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RunTime {
    /// Always this long.
    Fixed(time::Duration),
    /// Exponentially distributed around this mean.
    Exponential(time::Duration),
}

/// How a stand-in runner starts.
#[derive(Clone)]
pub struct Config {
    /// Where to listen. Default: any free port of 127.0.0.1.
    pub listen: net::SocketAddr,
    /// Its name. Default: `runner-1`.
    pub id: ids::InstanceId,
    /// Requests run at once. Default 8.
    pub slots: u32,
    /// Connections allowed at once. Default 60.
    pub connections: u32,
    /// Run time of a request that names none. Default: 20 ms.
    pub run_time: RunTime,
    /// Time between looks at its own usage, which `GET /usage` tells. Default
    /// 100 ms.
    pub usage_every: time::Duration,
    /// Seed of the run times. Default 1.
    pub seed: u64,
    /// Where it records what it saw. Default: a ledger of its own.
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
    "runner-1".parse().expect("a legal name")
}

/// Faults that can be switched while it runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Run times are multiplied by this. Default 1.
    pub slow_factor: f64,
    /// Every request runs and is answered 500.
    pub fail: bool,
    /// Every request is refused without being run.
    pub refuse: bool,
    /// Every answer tells that it is leaving.
    pub leaving: bool,
    /// Requests hold their slot and end only when this is off again.
    pub hang: bool,
    /// Answers break in the middle.
    pub cut_answer: bool,
    /// Answers end in order, but before the length that they declare.
    pub wrong_length: bool,
    /// `GET /usage` goes on telling what it told last.
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

/// What the parts of a stand-in share.
pub(crate) struct Shared {
    id: ids::InstanceId,
    slots: u32,
    connections: u32,
    run_time: RunTime,
    ledger: Ledger,
    faults: watch::Sender<Faults>,
    /// Set when the handle is dropped, which ends all runs.
    stopped: watch::Sender<bool>,
    chance: sync::Mutex<rngs::SmallRng>,
    usage: sync::Mutex<Usage>,
}

/// The last look at the runner's usage.
#[derive(Clone, Copy, Debug)]
struct Usage {
    busy: u32,
    taken_at: time::Instant,
}

/// A running stand-in; dropping it ends it and what it runs.
pub struct Handle {
    server: http_server::Server,
    shared: sync::Arc<Shared>,
    ticker: task::JoinHandle<()>,
}

/// Starts a stand-in; returns once it listens.
pub async fn start(config: Config) -> io::Result<Handle> {
    let usage = Usage {
        busy: 0,
        taken_at: time::Instant::now(),
    };
    let shared = sync::Arc::new(Shared {
        id: config.id,
        slots: config.slots,
        connections: config.connections,
        run_time: config.run_time,
        ledger: config.ledger,
        faults: watch::Sender::new(Faults::default()),
        stopped: watch::Sender::new(false),
        chance: sync::Mutex::new(rngs::SmallRng::seed_from_u64(config.seed)),
        usage: sync::Mutex::new(usage),
    });
    let counted = shared.clone();
    let connected = move || Connection::open(counted.clone());
    let app = api::router(shared.clone());
    let server = http_server::Server::start(config.listen, app, connected).await?;
    let ticker = tokio::spawn(look_at_usage(shared.clone(), config.usage_every));
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

async fn look_at_usage(shared: sync::Arc<Shared>, every: time::Duration) {
    let mut interval = tokio::time::interval(every);
    loop {
        interval.tick().await;
        if !shared.faults.borrow().stale_usage {
            let busy = shared.ledger.busy(&shared.id);
            let taken_at = time::Instant::now();
            *mutex::lock(&shared.usage) = Usage { busy, taken_at };
        }
    }
}

impl Shared {
    fn usage(&self) -> instances::RunnerUsage {
        let usage = *mutex::lock(&self.usage);
        let age = usage.taken_at.elapsed();
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
    /// Where it listens.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address()
    }

    /// Its name.
    pub fn id(&self) -> &ids::InstanceId {
        &self.shared.id
    }

    /// Switches faults.
    pub fn change_faults(&self, change: impl FnOnce(&mut Faults)) {
        self.shared.faults.send_modify(change);
    }

    /// What it saw.
    pub fn ledger(&self) -> &Ledger {
        &self.shared.ledger
    }

    /// Requests that it runs now.
    pub fn busy(&self) -> u32 {
        self.shared.ledger.busy(&self.shared.id)
    }
}
