//! A cell of real entry instances around a stand-in platform, for tests of
//! claims. Every path between two processes leads through a proxy of its own.

#![expect(clippy::unwrap_used, reason = "a test may panic")]
#![expect(dead_code, reason = "each test binary uses a part")]
#![expect(unreachable_pub, reason = "a module of test binaries")]

use std::collections::HashMap;
use std::net;
use std::process;
use std::time;

use figscale_standin::client;
use figscale_standin::platform;
use figscale_standin::ports;
use figscale_standin::proxy;
use figscale_types::ids;
use figscale_types::instances;
use figscale_types::sizes;
use serde_json::json;

/// Life of a lease in these tests.
pub const LEASE_MS: u64 = 2_000;
/// Longest wait for a condition.
pub const PATIENCE: time::Duration = time::Duration::from_secs(45);

/// One entry instance.
pub struct Entry {
    pub name: String,
    child: Option<process::Child>,
    settings: serde_json::Value,
    peer_address: net::SocketAddr,
    pub caller_address: net::SocketAddr,
    pub operator_address: net::SocketAddr,
    pub to_store: proxy::Handle,
}

/// What a dump says of claims.
#[derive(Clone, Debug)]
pub struct Claims {
    pub raw: serde_json::Value,
}

impl Claims {
    pub fn has_authority(&self) -> bool {
        self.raw["authority_ms"].as_u64().unwrap_or(0) > 0
    }

    pub fn by_promises(&self) -> bool {
        self.has_authority() && self.raw["lease_ms"].as_u64() == Some(0)
    }

    /// Shards and epochs that may be used at the moment.
    pub fn in_use(&self) -> HashMap<String, u64> {
        let Some(held) = self.raw["held"].as_object() else {
            return HashMap::new();
        };
        if !self.has_authority() {
            return HashMap::new();
        }
        let epoch = |value: &serde_json::Value| value["epoch"].as_u64().unwrap();
        held.iter().map(|(k, v)| (k.clone(), epoch(v))).collect()
    }
}

/// What a cell is like.
#[derive(Clone, Copy)]
pub struct Shape {
    /// Entry instances.
    pub entries: usize,
    /// Racks of runners, one runner in each.
    pub racks: usize,
    /// Life of a lease; a quarter is the heartbeat, a tenth the margin.
    pub lease_ms: u64,
}

/// The cell.
pub struct Cell {
    shape: Shape,
    pub platform: platform::Handle,
    pub entries: Vec<Entry>,
    /// Paths between entries, by the indexes of both.
    pub paths: HashMap<(usize, usize), proxy::Handle>,
    folder: tempfile::TempDir,
    client: client::Client,
    judge: Judge,
}

/// Finds two holders of one shard: whoever uses a lower epoch after a higher
/// one was in use is an old holder that goes on.
#[derive(Default)]
struct Judge {
    highest: HashMap<String, (u64, String, time::Instant)>,
}

impl Judge {
    fn see(&mut self, name: &str, began: time::Instant, ended: time::Instant, claims: &Claims) {
        for (shard, epoch) in claims.in_use() {
            match self.highest.get(&shard) {
                Some((highest, by, since)) if *highest > epoch => assert!(
                    began < *since,
                    "{name} uses {shard} under epoch {epoch} after {by} used it under {highest}"
                ),
                Some((highest, by, _)) if *highest == epoch => {
                    assert_eq!(by, name, "two holders of {shard} under one epoch");
                }
                _ => {
                    let line = (epoch, name.to_owned(), ended);
                    self.highest.insert(shard, line);
                }
            }
        }
    }
}

pub fn entry_instance(name: &str, address: net::SocketAddr) -> instances::Instance {
    instances::Instance {
        id: name.parse().unwrap(),
        role: instances::Role::Entry,
        address,
        failure_domain: "d0".parse().unwrap(),
        rack: "r0".parse().unwrap(),
        service: None,
        capacity: sizes::Resources::default(),
        slots: 0,
        connections: 0,
        life: instances::Life::Live,
    }
}

pub fn runner(name: &str, rack: &str) -> instances::Instance {
    instances::Instance {
        role: instances::Role::Runner,
        rack: rack.parse().unwrap(),
        service: Some("rating".parse().unwrap()),
        slots: 8,
        connections: 60,
        ..entry_instance(name, ports::free_address().unwrap())
    }
}

impl Cell {
    /// A platform with two racks of runners, and `len` entry instances that
    /// are not yet running.
    pub async fn new(len: usize) -> Self {
        let shape = Shape {
            entries: len,
            racks: 2,
            lease_ms: LEASE_MS,
        };
        Self::of(shape).await
    }

    /// A cell of some shape; no entry instance runs yet.
    pub async fn of(shape: Shape) -> Self {
        let platform = platform::start(platform::Config::default()).await.unwrap();
        platform.change_instances(|list| {
            let racks = 1..=shape.racks;
            list.extend(racks.map(|rack| runner(&format!("runner-{rack}"), &format!("r{rack}"))));
        });
        let mut cell = Self {
            shape,
            platform,
            entries: Vec::new(),
            paths: HashMap::new(),
            folder: tempfile::tempdir().unwrap(),
            client: client::Client::default(),
            judge: Judge::default(),
        };
        for _ in 0..shape.entries {
            cell.add().await;
        }
        cell
    }

    /// Adds an entry instance that is not yet running; returns its index.
    pub async fn add(&mut self) -> usize {
        let index = self.entries.len();
        let name = format!("entry-{index}");
        let peer_address = ports::free_address().unwrap();
        let caller_address = ports::free_address().unwrap();
        let operator_address = ports::free_address().unwrap();
        let to_store = proxy::Config::to(self.platform.address());
        let to_store = proxy::start(to_store).await.unwrap();
        let settings = json!({
            "member": name,
            "failure_domain": "d0",
            "caller_address": caller_address,
            "peer_address": peer_address,
            "operator_address": operator_address,
            "platform_address": to_store.address(),
            "peer_token": "0123456789abcdef",
            "shutdown_ms": 10_000,
            "store": { "timeout_ms": 500 },
            "claims": {
                "lease_ms": self.shape.lease_ms,
                "heartbeat_ms": self.shape.lease_ms / 4,
                "margin_ms": self.shape.lease_ms / 10,
                "instances_ms": self.shape.lease_ms / 10,
                "peer_routes": {},
            },
        });
        for other in 0..index {
            let there = self.entries[other].peer_address;
            let path = proxy::start(proxy::Config::to(there)).await.unwrap();
            self.paths.insert((index, other), path);
            let path = proxy::start(proxy::Config::to(peer_address)).await.unwrap();
            self.paths.insert((other, index), path);
        }
        self.platform
            .change_instances(|list| list.push(entry_instance(&name, peer_address)));
        self.entries.push(Entry {
            name,
            child: None,
            settings,
            peer_address,
            caller_address,
            operator_address,
            to_store,
        });
        index
    }

    /// Starts an entry instance, for the first time or again.
    pub fn start(&mut self, index: usize) {
        let mut routes = serde_json::Map::new();
        for ((from, to), path) in &self.paths {
            if *from == index {
                let published = self.entries[*to].peer_address.to_string();
                routes.insert(published, json!(path.address()));
            }
        }
        let entry = &mut self.entries[index];
        entry.settings["claims"]["peer_routes"] = routes.into();
        let file = self.folder.path().join(format!("{}.json", entry.name));
        std::fs::write(&file, entry.settings.to_string()).unwrap();
        let child = process::Command::new(env!("CARGO_BIN_EXE_figscale"))
            .args(["serve", "--settings"])
            .arg(&file)
            .stdout(process::Stdio::null())
            .spawn()
            .unwrap();
        entry.child = Some(child);
    }

    /// Starts all and waits until they share all shards.
    pub async fn start_all(&mut self) {
        for index in 0..self.entries.len() {
            self.start(index);
        }
        let all: Vec<_> = (0..self.entries.len()).collect();
        self.wait_for_holders(&all).await;
    }

    /// Sends a signal to an entry instance by its process id.
    pub fn signal(&self, index: usize, signal: &str) {
        let pid = self.entries[index].child.as_ref().unwrap().id();
        let status = process::Command::new("kill")
            .args([format!("-{signal}"), pid.to_string()])
            .status()
            .unwrap();
        assert!(status.success());
    }

    /// Kills an entry instance at once.
    pub fn kill(&mut self, index: usize) {
        let mut child = self.entries[index].child.take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Waits for a process to end by itself and returns its exit code.
    pub async fn wait_for_exit(&mut self, index: usize) -> Option<i32> {
        let mut child = self.entries[index].child.take().unwrap();
        let wait = tokio::task::spawn_blocking(move || child.wait().unwrap());
        let status = tokio::time::timeout(PATIENCE, wait).await;
        status.unwrap().unwrap().code()
    }

    /// What an entry instance says of its claims; `None` without an answer.
    pub async fn claims(&mut self, index: usize) -> Option<Claims> {
        let began = time::Instant::now();
        let address = self.entries[index].operator_address;
        let limit = time::Duration::from_millis(300);
        let call = client::Call::get(address, "/v1/dump");
        let answer = self.client.send_within(limit, call).await.ok()?;
        let dump: serde_json::Value = answer.json().ok()?;
        let claims = Claims {
            raw: dump.get("claims")?.clone(),
        };
        let name = &self.entries[index].name;
        self.judge.see(name, began, time::Instant::now(), &claims);
        Some(claims)
    }

    /// Looks at all entry instances once, judging what they say.
    pub async fn look(&mut self) -> Vec<Option<Claims>> {
        let mut all = Vec::new();
        for index in 0..self.entries.len() {
            let claims = match self.entries[index].child {
                Some(_) => self.claims(index).await,
                None => None,
            };
            all.push(claims);
        }
        all
    }

    /// Looks on until `done` says so.
    pub async fn wait_until(
        &mut self,
        what: &str,
        mut done: impl FnMut(&[Option<Claims>]) -> bool,
    ) {
        let began = time::Instant::now();
        loop {
            let all = self.look().await;
            if done(&all) {
                return;
            }
            assert!(began.elapsed() < PATIENCE, "no {what}: {all:#?}");
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    }

    /// Looks on for a while.
    pub async fn look_for(&mut self, while_ms: u64) {
        let began = time::Instant::now();
        while began.elapsed() < time::Duration::from_millis(while_ms) {
            self.look().await;
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    }

    /// Waits until exactly these hold every shard, each some.
    pub async fn wait_for_holders(&mut self, indexes: &[usize]) {
        let indexes = indexes.to_vec();
        let shards = shard_count(self.shape.racks);
        self.wait_until("holders of all shards", |all| {
            let uses: Vec<_> = indexes
                .iter()
                .map(|index| all[*index].as_ref().map_or(0, |c| c.in_use().len()))
                .collect();
            uses.iter().sum::<usize>() == shards && uses.iter().all(|count| *count > 0)
        })
        .await;
    }

    /// Waits until every member has listed all as its witnesses.
    pub async fn wait_for_witnesses(&mut self) {
        let began = time::Instant::now();
        loop {
            let document = self.document();
            let keys = document.keys();
            let listed = document.witnesses.values().filter(|list| **list == keys);
            if listed.count() == self.entries.len() {
                return;
            }
            assert!(began.elapsed() < PATIENCE, "no witnesses: {document:#?}");
            self.look().await;
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    }

    /// Cuts all paths between two entry instances, or mends them.
    pub fn cut_peers(&self, one: usize, other: usize, cut: bool) {
        for key in [(one, other), (other, one)] {
            self.paths[&key].change_faults(|faults| faults.cut_both(cut));
        }
    }

    /// Cuts an entry instance from the store, or mends it.
    pub fn cut_store(&self, index: usize, cut: bool) {
        let to_store = &self.entries[index].to_store;
        to_store.change_faults(|faults| faults.cut_both(cut));
    }

    /// Cuts an entry instance from the store and the others, so that not even
    /// what was on its way arrives.
    pub fn cut_off(&self, index: usize, others: &[usize]) {
        self.cut_store(index, true);
        self.entries[index].to_store.break_connections();
        for other in others {
            self.cut_peers(index, *other, true);
            self.paths[&(*other, index)].break_connections();
        }
    }

    /// The claims document in the store.
    pub fn document(&self) -> figscale_types::claims::Claims {
        let value = self.platform.read("claims").unwrap();
        serde_json::from_slice(&value.bytes).unwrap()
    }

    /// The member id of an entry instance.
    pub fn id(&self, index: usize) -> ids::MemberId {
        self.entries[index].name.parse().unwrap()
    }
}

/// So many racks of runners and all homes.
pub fn shard_count(racks: usize) -> usize {
    let homes = figscale_types::claims::ID_SHARDS + figscale_types::claims::JOB_SHARDS;
    racks + homes as usize
}

impl Drop for Entry {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
