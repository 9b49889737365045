//! A complete cell (one deployment of a user) in one process, for first trials
//! and for tests.
//!
//! Platform, runners and workers are stand-ins; the entry instances are real
//! and are started as `figscale serve` starts them. [`Cell::start`] starts the
//! cell; [`run`] performs a user's typical steps on it and prints each one.

mod operator;
mod plan;
mod scenario;
mod users;

use std::net;
use std::sync;
use std::time;

use eyre::WrapErr as _;
use figscale::serve;
use figscale::settings;
use figscale_types::clock;
use figscale_types::ids;
use figscale_types::instances;
use figscale_types::sizes;

use crate::platform;
use crate::ports;
use crate::runner;
use crate::worker;

pub use operator::Operator;
pub use plan::Place;
pub use plan::Size;
pub use scenario::Options;
pub use scenario::run;
pub use users::User;

/// Secret with which the entry instances of a cell authenticate to each other.
const PEER_TOKEN: &str = "a-secret-of-the-cell-only";
/// Mean run time of a request that does not specify one.
const RUN_TIME: time::Duration = time::Duration::from_millis(20);

/// The addresses of an entry instance.
#[derive(Clone, Debug)]
pub struct EntryAddresses {
    /// Name.
    pub member: ids::MemberId,
    /// Its failure domain and rack.
    pub place: Place,
    /// Address for callers.
    pub caller: net::SocketAddr,
    /// Address for other entry instances.
    pub peer: net::SocketAddr,
    /// Address for operators.
    pub operator: net::SocketAddr,
}

/// A running cell; dropping it shuts the entry instances down gracefully.
pub struct Cell {
    /// The user whose cell it is.
    pub user: User,
    /// The platform.
    pub platform: platform::Handle,
    /// The runners.
    pub runners: Vec<runner::Handle>,
    /// The workers.
    pub workers: Vec<worker::Handle>,
    /// Record of the requests that the runners received.
    pub requests: runner::Ledger,
    /// Record of the tasks that the workers ran.
    pub tasks: worker::TaskLedger,
    /// The entry instances.
    pub addresses: Vec<EntryAddresses>,
    entries: Vec<serve::EntryInstance>,
}

impl Cell {
    /// Starts all processes of the cell; returns once all of them listen.
    pub async fn start(user: User, size: Size) -> eyre::Result<Self> {
        let requests = runner::Ledger::default();
        let tasks = worker::TaskLedger::default();
        let mut lines = Vec::new();
        let runners = start_runners(user, size, &requests, &mut lines).await?;
        let workers = start_workers(user, size, &tasks, &mut lines).await?;
        let addresses = entry_addresses(user, size)?;
        lines.extend(addresses.iter().map(entry_line));
        let config = platform::Config {
            instances: lines,
            ..platform::Config::default()
        };
        let platform = platform::start(config).await?;
        let mut entries = Vec::new();
        for address in &addresses {
            entries.push(start_entry(address, platform.address()).await?);
        }
        Ok(Self {
            user,
            platform,
            runners,
            workers,
            requests,
            tasks,
            addresses,
            entries,
        })
    }

    /// Shuts the entry instances down gracefully and waits for their end.
    pub async fn stop(mut self) -> eyre::Result<()> {
        for entry in &self.entries {
            entry.stop();
        }
        for entry in self.entries.drain(..) {
            tokio::task::spawn_blocking(|| entry.join()).await??;
        }
        Ok(())
    }
}

async fn start_runners(
    user: User,
    size: Size,
    ledger: &runner::Ledger,
    lines: &mut Vec<instances::Instance>,
) -> eyre::Result<Vec<runner::Handle>> {
    let mut runners = Vec::new();
    for number in 0..size.runners {
        let config = runner::Config {
            id: format!("runner-{}", number + 1).parse()?,
            run_time: runner::RunTime::Exponential(RUN_TIME),
            seed: number as u64,
            ledger: ledger.clone(),
            ..runner::Config::default()
        };
        let (slots, connections) = (config.slots, config.connections);
        let runner = runner::start(config).await?;
        let place = Place::of(user, size, number)?;
        lines.push(instances::Instance {
            service: Some(user.service()?),
            slots,
            connections,
            ..line(
                runner.id().clone(),
                instances::Role::Runner,
                runner.address(),
                &place,
            )
        });
        runners.push(runner);
    }
    Ok(runners)
}

async fn start_workers(
    user: User,
    size: Size,
    ledger: &worker::TaskLedger,
    lines: &mut Vec<instances::Instance>,
) -> eyre::Result<Vec<worker::Handle>> {
    let mut workers = Vec::new();
    for number in 0..size.workers {
        let id: ids::InstanceId = format!("worker-{}", number + 1).parse()?;
        let config = worker::Config {
            id: id.clone(),
            capacity: user.worker_size(),
            ledger: ledger.clone(),
            ..worker::Config::default()
        };
        let worker = worker::start(config).await?;
        let place = Place::of(user, size, number)?;
        lines.push(instances::Instance {
            capacity: user.worker_size(),
            ..line(id, instances::Role::Worker, worker.address(), &place)
        });
        workers.push(worker);
    }
    Ok(workers)
}

fn line(
    id: ids::InstanceId,
    role: instances::Role,
    address: net::SocketAddr,
    place: &Place,
) -> instances::Instance {
    instances::Instance {
        id,
        role,
        address,
        failure_domain: place.failure_domain.clone(),
        rack: place.rack.clone(),
        service: None,
        capacity: sizes::Resources::default(),
        slots: 0,
        connections: 0,
        life: instances::Life::Live,
    }
}

fn entry_addresses(user: User, size: Size) -> eyre::Result<Vec<EntryAddresses>> {
    let address = |number: usize| {
        Ok(EntryAddresses {
            member: format!("entry-{}", number + 1).parse()?,
            place: Place::of_entry(user, size, number)?,
            caller: ports::free_address()?,
            peer: ports::free_address()?,
            operator: ports::free_address()?,
        })
    };
    (0..size.entries).map(address).collect()
}

fn entry_line(entry: &EntryAddresses) -> instances::Instance {
    // A member id is always a valid instance id: both have the same syntax.
    let id = ids::InstanceId::try_from(entry.member.to_string());
    let id = id.expect("a member id is a valid instance id");
    line(id, instances::Role::Entry, entry.caller, &entry.place)
}

async fn start_entry(
    entry: &EntryAddresses,
    platform: net::SocketAddr,
) -> eyre::Result<serve::EntryInstance> {
    let settings = serde_json::json!({
        "member": entry.member,
        "failure_domain": entry.place.failure_domain,
        "caller_address": entry.caller,
        "peer_address": entry.peer,
        "operator_address": entry.operator,
        "platform_address": platform,
        "peer_token": PEER_TOKEN,
    });
    let settings: settings::Settings = serde_json::from_value(settings)?;
    let clock: clock::SharedClock = sync::Arc::new(clock::SystemClock);
    let start = move || serve::EntryInstance::start(settings, clock);
    let started = tokio::task::spawn_blocking(start).await?;
    started.wrap_err_with(|| format!("entry instance {} failed to start", entry.member))
}
