//! A test cell of real entry instances, with fault injection and invariant checkers.
//!
//! A [`Cell`] has one stand-in platform, runners and workers inside the test
//! process, and entry instances that are real `figscale serve` processes with
//! settings files in a folder of the cell. Every connection between an entry
//! instance and the platform, and between two entry instances, passes through a
//! fault-injecting proxy of its own, one for each direction in which connections
//! are made. A test can thus cut, delay or freeze exactly one path, in one
//! direction or in both. All children are killed when the cell is dropped.
//!
//! ```ignore
//! mod harness;
//!
//! #[tokio::test(flavor = "multi_thread")]
//! async fn an_entry_instance_survives_an_outage() {
//!     let mut cell = harness::Cell::start(harness::Plan::default()).await;
//!     cell.operator(0).apply(&operator::change(0, 1)).await.unwrap();
//!     cell.wait_for_revision(&[0, 1], 1).await;
//!     cell.platform.change_faults(|faults| faults.outage = true);
//!     cell.store_path(1).change_faults(|faults| faults.cut_both(true));
//!     cell.peer_path(0, 1).change_faults(|faults| faults.to_target.cut = true);
//!     cell.signal(0, signal::Signal::SIGSTOP);
//!     cell.kill(0).await;
//!     cell.launch(0);
//! }
//! ```
//!
//! Entry instances have indexes from 0 and names `entry-0`, `entry-1`, ...;
//! paths are created for all in the plan, started or not, so that one that joins
//! later or restarts keeps its addresses. Tests wait for conditions with
//! [`wait_until`], which polls and asserts no speed beyond its long timeout. On a
//! failure the test prints the logs of all processes ([`Cell::logs`]).

#![expect(clippy::unwrap_used, reason = "A test may panic.")]
#![expect(dead_code, reason = "Each test binary uses a part.")]

mod layout;
pub(crate) mod operator;
pub(crate) mod process;

use std::fs;
use std::future;
use std::net;
use std::time;

use figscale_standin::client;
use figscale_standin::platform;
use figscale_standin::proxy;
use figscale_standin::runner;
use figscale_standin::worker;
use figscale_types::ids;
use figscale_types::instances;
use figscale_types::sizes;
use indexmap::IndexMap;
use nix::sys::signal;
use serde_json::json;

/// Maximum time to wait for a condition.
pub(crate) const CONDITION_TIMEOUT: time::Duration = time::Duration::from_secs(45);
/// Maximum attempts to start a cell, when addresses turn out to be in use.
const STARTS: usize = 5;
/// Failure domains, to which instances are assigned in turn.
pub(crate) const DOMAINS: [&str; 2] = ["lm-1", "lm-2"];
/// Service of all runners.
pub(crate) const SERVICE: &str = "hullrate";

/// Initial configuration of a cell.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    /// Entry instances started at once.
    pub(crate) entries: usize,
    /// Further entry instances that can be launched later.
    pub(crate) spare_entries: usize,
    /// Runners of 8 slots of [`SERVICE`].
    pub(crate) runners: usize,
    /// Workers of 64 cores.
    pub(crate) workers: usize,
    /// Merged into the settings of every entry instance, section by section.
    pub(crate) settings: serde_json::Value,
    /// Delay of the platform's instance list.
    pub(crate) instance_lag: time::Duration,
    /// Callers' address of the first entry instance; `None` for any free address.
    /// Replaced by a free address if it is in use.
    pub(crate) caller_address: Option<net::SocketAddr>,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            entries: 2,
            spare_entries: 0,
            runners: 0,
            workers: 0,
            settings: json!({}),
            instance_lag: time::Duration::ZERO,
            caller_address: None,
        }
    }
}

/// Polls until `done` is true; panics with `what` after [`CONDITION_TIMEOUT`].
pub(crate) async fn wait_until<F>(what: &str, mut done: impl FnMut() -> F)
where
    F: future::Future<Output = bool>,
{
    let began = time::Instant::now();
    while !done().await {
        assert!(
            began.elapsed() < CONDITION_TIMEOUT,
            "no {what} in {CONDITION_TIMEOUT:?}"
        );
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
}

/// A running test cell.
pub(crate) struct Cell {
    /// The platform.
    pub(crate) platform: platform::Handle,
    /// Runners, by index.
    pub(crate) runners: Vec<runner::Handle>,
    /// Invariant checker of the requests that all runners received.
    pub(crate) requests: runner::Ledger,
    /// Workers, by index.
    pub(crate) workers: Vec<worker::Handle>,
    /// Invariant checker of the runs of all tasks.
    pub(crate) tasks: worker::TaskLedger,
    /// HTTP client for any request.
    pub(crate) client: client::Client,
    entries: Vec<process::Entry>,
    store_paths: Vec<proxy::Handle>,
    peer_paths: IndexMap<(usize, usize), proxy::Handle>,
    folder: tempfile::TempDir,
}

impl Cell {
    /// Starts the platform, runners, workers and entry instances. If an address
    /// turns out to be in use, starts everything again with other addresses.
    pub(crate) async fn start(mut plan: Plan) -> Self {
        for _ in 0..STARTS {
            match Self::try_start(&plan).await {
                Ok(cell) => return cell,
                Err(taken) => eprintln!("an address was taken: {}", taken.log),
            }
            plan.caller_address = None;
        }
        panic!("addresses were taken in {STARTS} starts");
    }

    async fn try_start(plan: &Plan) -> Result<Self, process::AddressTaken> {
        let config = platform::Config {
            instance_lag: plan.instance_lag,
            ..platform::Config::default()
        };
        let mut cell = Self {
            platform: platform::start(config).await.unwrap(),
            runners: Vec::new(),
            requests: runner::Ledger::default(),
            workers: Vec::new(),
            tasks: worker::TaskLedger::default(),
            client: client::Client::default(),
            entries: Vec::new(),
            store_paths: Vec::new(),
            peer_paths: IndexMap::new(),
            folder: tempfile::tempdir().unwrap(),
        };
        for index in 0..plan.runners {
            cell.add_runner(index).await;
        }
        for index in 0..plan.workers {
            cell.add_worker(index).await;
        }
        for index in 0..plan.entries + plan.spare_entries {
            cell.create_paths(index).await;
        }
        if let (Some(address), Some(first)) = (plan.caller_address, cell.entries.first_mut()) {
            first.caller_address = address;
        }
        cell.write_settings(&plan.settings);
        for index in 0..plan.entries {
            cell.launch(index);
        }
        for index in 0..plan.entries {
            cell.wait_until_started(index).await?;
        }
        Ok(cell)
    }

    /// Merges settings into those of one entry instance; they take effect at its
    /// next launch.
    pub(crate) fn change_settings(&self, index: usize, overlay: &serde_json::Value) {
        let file = &self.entries[index].settings_file;
        let mut settings = serde_json::from_str(&fs::read_to_string(file).unwrap()).unwrap();
        layout::overlay_sections(&mut settings, overlay);
        fs::write(file, settings.to_string()).unwrap();
    }

    /// Starts or restarts an entry instance and adds it to the platform's list.
    pub(crate) fn launch(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        entry.launch();
        let id: ids::InstanceId = entry.name.parse().unwrap();
        let line = instance(id, entry.peer_address, index);
        self.platform.change_instances(|list| {
            list.retain(|known| known.id != line.id);
            list.push(line);
        });
    }

    /// Removes an entry instance from the platform's list.
    pub(crate) fn unlist(&self, index: usize) {
        let name = &self.entries[index].name;
        self.platform
            .change_instances(|list| list.retain(|known| known.id.as_str() != name));
    }

    /// Waits until an entry instance responds on its operator address, or ends
    /// because an address is in use; panics if it ends for another reason.
    async fn wait_until_started(&mut self, index: usize) -> Result<(), process::AddressTaken> {
        let began = time::Instant::now();
        while !self.is_live(index).await {
            self.entries[index].check_early_exit()?;
            assert!(
                began.elapsed() < CONDITION_TIMEOUT,
                "entry-{index} does not answer"
            );
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        }
        Ok(())
    }

    async fn is_live(&self, index: usize) -> bool {
        let call = client::Call::get(self.entries[index].operator_address, "/livez");
        let limit = time::Duration::from_secs(2);
        self.client.send_within(limit, call).await.is_ok()
    }

    /// Waits until an entry instance responds on its operator address.
    pub(crate) async fn wait_until_live(&self, index: usize) {
        wait_until(&format!("answer of entry-{index}"), || self.is_live(index)).await;
    }

    /// Waits until these entry instances report this or a later revision of the
    /// catalogue as in force.
    pub(crate) async fn wait_for_revision(&self, indexes: &[usize], revision: u64) {
        for index in indexes {
            let operator = self.operator(*index);
            let what = format!("revision {revision} at entry-{index}");
            wait_until(&what, || async {
                operator.in_force().await.is_ok_and(|r| r.0 >= revision)
            })
            .await;
        }
    }

    /// Waits until each of these entry instances reports these, and no others, as
    /// members of the claims.
    pub(crate) async fn wait_for_members(&self, indexes: &[usize]) {
        for index in indexes {
            let operator = self.operator(*index);
            let what = format!("{} members at entry-{index}", indexes.len());
            wait_until(&what, || async {
                let Ok(status) = operator.status().await else {
                    return false;
                };
                let expected = indexes.iter().map(|i| self.entries[*i].name.as_str());
                let mut names: Vec<&str> = expected.collect();
                names.sort_unstable();
                status.in_force.keys().map(|id| id.as_str()).eq(names)
            })
            .await;
        }
    }

    /// Number of entry instances, running or not.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// The name of an entry instance.
    pub(crate) fn name(&self, index: usize) -> &str {
        &self.entries[index].name
    }

    /// Whether an entry instance was launched and has not been observed to end.
    pub(crate) fn is_running(&self, index: usize) -> bool {
        self.entries[index].is_running()
    }

    /// A client of the operator address of an entry instance.
    pub(crate) fn operator(&self, index: usize) -> operator::Operator {
        operator::Operator::new(self.client.clone(), self.entries[index].operator_address)
    }

    /// Operator address of an entry instance.
    pub(crate) fn operator_address(&self, index: usize) -> net::SocketAddr {
        self.entries[index].operator_address
    }

    /// Callers' address of an entry instance.
    pub(crate) fn caller_address(&self, index: usize) -> net::SocketAddr {
        self.entries[index].caller_address
    }

    /// The path from an entry instance to the platform.
    pub(crate) fn store_path(&self, index: usize) -> &proxy::Handle {
        &self.store_paths[index]
    }

    /// The path on which one entry instance connects to another.
    pub(crate) fn peer_path(&self, from: usize, to: usize) -> &proxy::Handle {
        &self.peer_paths[&(from, to)]
    }

    /// Cuts or restores both paths between two entry instances.
    pub(crate) fn cut_peers(&self, one: usize, other: usize, cut: bool) {
        for key in [(one, other), (other, one)] {
            self.peer_paths[&key].change_faults(|faults| faults.cut_both(cut));
        }
    }

    /// Cuts or restores the path between an entry instance and the platform.
    pub(crate) fn cut_store(&self, index: usize, cut: bool) {
        self.store_path(index)
            .change_faults(|faults| faults.cut_both(cut));
    }

    /// Sends a signal to an entry instance.
    pub(crate) fn signal(&self, index: usize, signal: signal::Signal) {
        self.entries[index].signal(signal);
    }

    /// Kills an entry instance and waits for its end.
    pub(crate) async fn kill(&mut self, index: usize) {
        self.entries[index].signal(signal::Signal::SIGKILL);
        self.wait_for_exit(index).await;
    }

    /// Requests a planned stop of an entry instance and waits for its end.
    pub(crate) async fn stop(&mut self, index: usize) -> Option<i32> {
        self.entries[index].signal(signal::Signal::SIGTERM);
        self.wait_for_exit(index).await
    }

    /// Waits for an entry instance to end and returns its exit code; `None`
    /// if a signal ended it.
    pub(crate) async fn wait_for_exit(&mut self, index: usize) -> Option<i32> {
        let began = time::Instant::now();
        loop {
            if let Some(status) = self.entries[index].try_wait() {
                return status.code();
            }
            assert!(
                began.elapsed() < CONDITION_TIMEOUT,
                "entry-{index} does not end"
            );
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
    }

    /// The log of an entry instance, over all its incarnations.
    pub(crate) fn log(&self, index: usize) -> String {
        fs::read_to_string(&self.entries[index].log_file).unwrap_or_default()
    }

    /// The logs of all entry instances, for failure messages.
    pub(crate) fn logs(&self) -> String {
        let logs = self.entries.iter().enumerate();
        logs.map(|(index, entry)| format!("--- {}\n{}", entry.name, self.log(index)))
            .collect()
    }

    /// The folder of the cell, for files of the test.
    pub(crate) fn folder(&self) -> &std::path::Path {
        self.folder.path()
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("{}", self.logs());
        }
    }
}

pub(crate) fn instance(
    id: ids::InstanceId,
    address: net::SocketAddr,
    index: usize,
) -> instances::Instance {
    instances::Instance {
        id,
        role: instances::Role::Entry,
        address,
        failure_domain: DOMAINS[index % DOMAINS.len()].parse().unwrap(),
        rack: format!("rack-{index}").parse().unwrap(),
        service: None,
        capacity: sizes::Resources::default(),
        slots: 0,
        connections: 0,
        life: instances::Life::Live,
    }
}
