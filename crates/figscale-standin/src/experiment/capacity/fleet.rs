//! The measured fleet: stand-ins run in this process, each entry instance in its
//! own.

use std::env;
use std::fs;
use std::net;
use std::path;
use std::process;
use std::time;

use eyre::WrapErr as _;
use figscale_types::claims;
use figscale_types::ids;
use figscale_types::instances;
use figscale_types::sizes;
use indexmap::IndexMap;

use super::catalogue;
use super::entry;
use crate::cell::Operator;
use crate::client;
use crate::platform;
use crate::runner;
use crate::worker;

/// Number of failure domains, as at the target size.
pub(super) const DOMAINS: usize = 7;
/// Number of instances in a rack.
const RACK_LEN: usize = 6;
/// Number of runners of the service.
const RUNNERS: usize = 50;
/// Time limit for the claims to settle.
const SETTLE_LIMIT: time::Duration = time::Duration::from_secs(60);
/// Time limit for the first catalogue.
const CATALOGUE_LIMIT: time::Duration = time::Duration::from_secs(10);
/// Time without a change after which the claims count as settled.
const SETTLED_AFTER: time::Duration = time::Duration::from_secs(2);
/// Interval of the checks.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Interval at which a worker checks its tasks: longer than in tests, since
/// hundreds of workers share this process.
const WORKER_TICK: time::Duration = time::Duration::from_millis(50);

/// Size of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Size {
    pub(super) entries: usize,
    pub(super) workers: usize,
    pub(super) owners: usize,
}

/// A running fleet; dropping it stops all its parts.
pub(super) struct Fleet {
    pub(super) size: Size,
    pub(super) platform: platform::Handle,
    pub(super) workers: Vec<worker::Handle>,
    pub(super) tasks: worker::TaskLedger,
    pub(super) requests: runner::Ledger,
    pub(super) entries: Vec<entry::Entry>,
    pub(super) operator: Operator,
    pub(super) revision: ids::Revision,
    _runners: Vec<runner::Handle>,
    _folder: Folder,
}

/// Sizes of the documents of the job shards, in bytes.
#[derive(Clone, Copy, Debug)]
pub(super) struct JobDocuments {
    pub(super) largest: usize,
    pub(super) all: usize,
}

/// A folder that is removed when this is dropped.
struct Folder(path::PathBuf);

impl Folder {
    fn create() -> eyre::Result<Self> {
        let name = format!("figscale-capacity-{}", process::id());
        let folder = env::temp_dir().join(name);
        fs::create_dir_all(&folder).wrap_err_with(|| folder.display().to_string())?;
        Ok(Self(folder))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

struct Place {
    failure_domain: ids::FailureDomain,
    rack: ids::RackName,
}

/// Racks are filled one after the other and assigned to the failure domains
/// round-robin.
fn place(number: usize) -> eyre::Result<Place> {
    let rack = number / RACK_LEN;
    Ok(Place {
        failure_domain: format!("domain-{}", rack % DOMAINS + 1).parse()?,
        rack: format!("rack-{}", rack + 1).parse()?,
    })
}

impl Fleet {
    /// Starts a fleet, waits until the claims have settled and applies a catalogue.
    pub(super) async fn start(size: Size) -> eyre::Result<Self> {
        let mut lines = Vec::new();
        let tasks = worker::TaskLedger::default();
        let requests = runner::Ledger::default();
        let workers = start_workers(size.workers, &tasks, &mut lines).await?;
        let runners = start_runners(&requests, &mut lines).await?;
        let addresses: Vec<_> = (0..size.entries)
            .map(|number| entry::Addresses::reserve(number, DOMAINS))
            .collect::<eyre::Result<_>>()?;
        for one in &addresses {
            lines.push(one.line()?);
        }
        let config = platform::Config {
            instances: lines,
            ..platform::Config::default()
        };
        let platform = platform::start(config).await?;
        let folder = Folder::create()?;
        let entries = entry::start_all(&addresses, platform.address(), &folder.0).await?;
        let operator = Operator::new(addresses[0].operator);
        let mut fleet = Self {
            size,
            platform,
            workers,
            tasks,
            requests,
            entries,
            operator,
            revision: ids::Revision(0),
            _runners: runners,
            _folder: folder,
        };
        fleet.wait_until_settled().await?;
        fleet.apply_first_catalogue().await?;
        Ok(fleet)
    }

    /// Waits until every shard has a holder and the claims no longer change.
    async fn wait_until_settled(&self) -> eyre::Result<()> {
        let began = time::Instant::now();
        let mut last = (ids::Revision(0), began);
        loop {
            let found = self.platform.read("claims");
            let revision = found.as_ref().map_or(ids::Revision(0), |v| v.revision);
            if revision != last.0 {
                last = (revision, time::Instant::now());
            }
            let complete = found.is_some_and(|value| self.is_complete(&value.bytes));
            if complete && last.1.elapsed() >= SETTLED_AFTER {
                return Ok(());
            }
            eyre::ensure!(
                began.elapsed() < SETTLE_LIMIT,
                "the claims have not settled within {SETTLE_LIMIT:?}"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn is_complete(&self, bytes: &[u8]) -> bool {
        let Ok(claims) = serde_json::from_slice::<claims::Claims>(bytes) else {
            return false;
        };
        let held = |shard: &claims::Shard| shard.holder.is_some();
        claims.members.len() == self.size.entries
            && claims.shards.len() > (claims::ID_SHARDS + claims::JOB_SHARDS) as usize
            && claims.shards.values().all(held)
    }

    /// Applies the first catalogue; the revision stays 0 if it is not accepted.
    async fn apply_first_catalogue(&mut self) -> eyre::Result<()> {
        let began = time::Instant::now();
        loop {
            let wanted = catalogue::of(self.size.owners, 0)?;
            let request = catalogue::change(ids::Revision(0), wanted);
            match self.operator.apply(&request).await {
                Ok(answer) => {
                    self.revision = answer.revision;
                    return Ok(());
                }
                Err(error) if began.elapsed() > CATALOGUE_LIMIT => {
                    eprintln!("first catalogue not accepted: {error:#}");
                    return Ok(());
                }
                Err(_) => tokio::time::sleep(time::Duration::from_millis(500)).await,
            }
        }
    }

    /// Sizes of the documents in the store, by key.
    pub(super) fn documents(&self) -> IndexMap<String, usize> {
        let keys = self.platform.keys("");
        let size = |key: String| {
            let len = self
                .platform
                .read(&key)
                .map_or(0, |value| value.bytes.len());
            (key, len)
        };
        keys.into_iter().map(size).collect()
    }

    /// Size of the catalogue's document, including its history.
    pub(super) fn catalogue_bytes(&self) -> usize {
        self.documents().get("catalogue").copied().unwrap_or(0)
    }

    /// Sizes of the documents of all job shards.
    pub(super) fn job_documents(&self) -> JobDocuments {
        let documents = self.documents();
        let of_jobs = documents.iter().filter(|(key, _)| key.starts_with("jobs/"));
        let sizes: Vec<_> = of_jobs.map(|(_, size)| *size).collect();
        JobDocuments {
            largest: sizes.iter().copied().max().unwrap_or(0),
            all: sizes.iter().sum(),
        }
    }

    /// Size of the platform's instance list on the wire.
    pub(super) async fn instance_list_bytes(&self) -> eyre::Result<usize> {
        let call = client::Call::get(self.platform.address(), "/v1/instances");
        Ok(client::Client::default().send(call).await?.body.len())
    }

    /// Addresses of the entry instances for callers.
    pub(super) fn caller_addresses(&self) -> Vec<net::SocketAddr> {
        self.entries.iter().map(|e| e.addresses.caller).collect()
    }
}

fn worker_size() -> sizes::Resources {
    sizes::Resources {
        cpu_millis: sizes::CpuMillis(64_000),
        memory_bytes: sizes::Bytes(256 * 1_024 * sizes::MIB),
        accelerators: 2,
    }
}

async fn start_workers(
    count: usize,
    ledger: &worker::TaskLedger,
    lines: &mut Vec<instances::Instance>,
) -> eyre::Result<Vec<worker::Handle>> {
    let mut workers = Vec::new();
    for number in 0..count {
        let id: ids::InstanceId = format!("worker-{}", number + 1).parse()?;
        let worker = worker::start(worker::Config {
            id: id.clone(),
            capacity: worker_size(),
            ledger: ledger.clone(),
            tick: WORKER_TICK,
            ..worker::Config::default()
        })
        .await?;
        let place = place(number)?;
        lines.push(instances::Instance {
            id,
            role: instances::Role::Worker,
            address: worker.address(),
            failure_domain: place.failure_domain,
            rack: place.rack,
            service: None,
            capacity: worker_size(),
            slots: 0,
            connections: 0,
            life: instances::Life::Live,
        });
        workers.push(worker);
    }
    Ok(workers)
}

async fn start_runners(
    ledger: &runner::Ledger,
    lines: &mut Vec<instances::Instance>,
) -> eyre::Result<Vec<runner::Handle>> {
    let mut runners = Vec::new();
    for number in 0..RUNNERS {
        let config = runner::Config {
            id: format!("runner-{}", number + 1).parse()?,
            seed: number as u64,
            ledger: ledger.clone(),
            ..runner::Config::default()
        };
        let (slots, connections) = (config.slots, config.connections);
        let runner = runner::start(config).await?;
        let place = place(number)?;
        lines.push(instances::Instance {
            id: runner.id().clone(),
            role: instances::Role::Runner,
            address: runner.address(),
            failure_domain: place.failure_domain,
            rack: place.rack,
            service: Some(catalogue::SERVICE.parse()?),
            capacity: sizes::Resources::default(),
            slots,
            connections,
            life: instances::Life::Live,
        });
        runners.push(runner);
    }
    Ok(runners)
}
