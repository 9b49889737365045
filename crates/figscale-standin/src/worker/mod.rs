//! Stand-in of a worker: runs tasks under leases and reports with a lag.
//!
//! It implements the protocol in `figscale_types::worker`. A task only lasts as
//! long as it declares; its command, words of the form `NAME=VALUE`, can make
//! it exceed what it declared (see [`Behaviour`]). Runs of tasks are recorded in
//! a [`TaskLedger`], which all workers of a test share and which checks that no
//! task ever ran on two workers at once. [`Record`] counts the calls of holders
//! to this worker and those that should not have been made.
//!
//! For a stand-in in its own process, `/control/faults` reads or sets
//! [`Faults`] over HTTP, and `GET /control/record` and `GET
//! /control/violations` return the record and the violations found.

mod api;
mod behaviour;
mod ledger;
mod task;
mod tasks;

use std::io;
use std::net;
use std::sync;
use std::time;

use figscale_types::clock;
use figscale_types::ids;
use figscale_types::mutex;
use figscale_types::sizes;
use figscale_types::worker::WorkerReport;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;

use crate::http_server;

pub use behaviour::Behaviour;
pub use ledger::Run;
pub use ledger::TaskLedger;
pub use ledger::Violation;
pub use tasks::Record;

/// Configuration of a stand-in worker.
#[derive(Clone)]
pub struct Config {
    /// Address to listen on. Default: any free port of 127.0.0.1.
    pub listen: net::SocketAddr,
    /// Its name. Default: `worker-1`.
    pub id: ids::InstanceId,
    /// Its capacity. Default: 64 cores, 128 GiB, no accelerators.
    pub capacity: sizes::Resources,
    /// Lag of the usage in its reports. Default 500 ms.
    pub usage_lag: time::Duration,
    /// Interval of the checks for tasks that ended or whose lease expired. Default
    /// 5 ms.
    pub tick: time::Duration,
    /// Its clock. Default: the system clock.
    pub clock: clock::SharedClock,
    /// Ledger that records the runs of tasks. Default: a new one.
    pub ledger: TaskLedger,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0)),
            id: "worker-1".parse().expect("a valid name"),
            capacity: sizes::Resources {
                cpu_millis: sizes::CpuMillis(64_000),
                memory_bytes: sizes::Bytes(128 * 1024 * sizes::MIB),
                accelerators: 0,
            },
            usage_lag: time::Duration::from_millis(500),
            tick: time::Duration::from_millis(5),
            clock: sync::Arc::new(clock::SystemClock),
            ledger: TaskLedger::default(),
        }
    }
}

/// Faults that can be injected while it runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every started task fails immediately.
    pub fail_everything: bool,
    /// Every call is dropped before it takes effect; tasks keep running.
    pub cut_off: bool,
    /// Calls wait and tasks make no progress, while the clock advances.
    pub freeze: bool,
    /// Tasks use this multiple of their declared size until throttled. Default 1.
    pub use_factor: f64,
    /// Number of following starts that take effect but get no response.
    pub lose_next_starts: u32,
    /// It refuses starts and reports that it is leaving.
    pub leaving: bool,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            fail_everything: false,
            cut_off: false,
            freeze: false,
            use_factor: 1.0,
            lose_next_starts: 0,
            leaving: false,
        }
    }
}

/// State shared by the parts of the stand-in.
pub(crate) struct Shared {
    clock: clock::SharedClock,
    tasks: sync::Mutex<tasks::Tasks>,
    faults: watch::Sender<Faults>,
}

impl Shared {
    /// Advances the tasks to the current time, then runs `work` on them.
    fn with_tasks<R>(&self, work: impl FnOnce(&mut tasks::Tasks, time::Instant) -> R) -> R {
        let now = self.clock.now();
        let mut tasks = mutex::lock(&self.tasks);
        tasks.advance(now);
        work(&mut tasks, now)
    }

    fn change_faults(&self, change: impl FnOnce(&mut Faults)) {
        let now = self.clock.now();
        let mut tasks = mutex::lock(&self.tasks);
        tasks.advance(now);
        self.faults.send_modify(change);
        tasks.set_faults(self.faults.borrow().clone(), now);
    }
}

/// A running stand-in; dropping it stops it and its tasks, as a crash does.
pub struct Handle {
    server: http_server::Server,
    shared: sync::Arc<Shared>,
    ticker: tokio::task::JoinHandle<()>,
}

/// Starts the stand-in; returns once it listens.
pub async fn start(config: Config) -> io::Result<Handle> {
    let tasks = tasks::Tasks::new(
        config.id,
        config.capacity,
        config.usage_lag,
        config.ledger.clone(),
        config.clock.now(),
    );
    let shared = sync::Arc::new(Shared {
        clock: config.clock,
        tasks: sync::Mutex::new(tasks),
        faults: watch::Sender::new(Faults::default()),
    });
    let app = api::router(shared.clone(), config.ledger);
    let server = http_server::Server::start(config.listen, app, || ()).await?;
    let ticker = tokio::spawn(tick(shared.clone(), config.tick));
    Ok(Handle {
        server,
        shared,
        ticker,
    })
}

async fn tick(shared: sync::Arc<Shared>, every: time::Duration) {
    let mut interval = tokio::time::interval(every);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        shared.with_tasks(|_, _| ());
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.ticker.abort();
        self.shared.with_tasks(|tasks, now| tasks.crash(now));
    }
}

impl Handle {
    /// The address that it listens on.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address()
    }

    /// Changes the faults that are injected.
    pub fn change_faults(&self, change: impl FnOnce(&mut Faults)) {
        self.shared.change_faults(change);
    }

    /// Bytes received and sent over all its connections.
    pub fn link_bytes(&self) -> u64 {
        self.server.bytes()
    }

    /// Its current report.
    pub fn report(&self) -> WorkerReport {
        self.shared
            .with_tasks(|tasks, now| tasks.report(now, false))
    }

    /// Counters of the calls of holders to it.
    pub fn record(&self) -> Record {
        self.shared.with_tasks(|tasks, _| tasks.record())
    }
}
