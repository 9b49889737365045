//! A cell for tests of claims: the cell of the harness with short leases, and an
//! invariant checker that compares the claims in the dumps of its entry instances.

#![expect(clippy::unwrap_used, reason = "a test may panic")]
#![expect(dead_code, reason = "each test binary uses a part")]

use std::collections::HashMap;
use std::ops;
use std::time;

use figscale_standin::client;
use figscale_standin::ports;
use figscale_types::ids;
use figscale_types::instances;
use serde_json::json;

use crate::harness;
use crate::harness::CONDITION_TIMEOUT;

/// Duration of a lease in these tests.
pub(crate) const LEASE_MS: u64 = 2_000;

/// The claims section of a dump.
#[derive(Clone, Debug)]
pub(crate) struct Claims {
    pub(crate) raw: serde_json::Value,
}

impl Claims {
    pub(crate) fn has_authority(&self) -> bool {
        self.raw["authority_ms"].as_u64().unwrap_or(0) > 0
    }

    pub(crate) fn by_promises(&self) -> bool {
        self.has_authority() && self.raw["lease_ms"].as_u64() == Some(0)
    }

    /// The shards that may be used now, with their epochs.
    pub(crate) fn in_use(&self) -> HashMap<String, u64> {
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

/// The size and timing of a cell.
#[derive(Clone, Copy)]
pub(crate) struct Shape {
    /// Entry instances.
    pub(crate) entries: usize,
    /// Racks of runners, one runner in each.
    pub(crate) racks: usize,
    /// Duration of a lease; the heartbeat interval is a quarter of it, the margin
    /// a tenth.
    pub(crate) lease_ms: u64,
}

/// A cell of the harness with an invariant checker.
pub(crate) struct Cell {
    base: harness::Cell,
    shape: Shape,
    checker: EpochChecker,
}

impl ops::Deref for Cell {
    type Target = harness::Cell;

    fn deref(&self) -> &harness::Cell {
        &self.base
    }
}

impl ops::DerefMut for Cell {
    fn deref_mut(&mut self) -> &mut harness::Cell {
        &mut self.base
    }
}

/// Detects two holders of one shard: an instance that uses a lower epoch after a
/// higher one was in use is a former holder that did not stop.
#[derive(Default)]
struct EpochChecker {
    highest: HashMap<String, (u64, String, time::Instant)>,
}

impl EpochChecker {
    fn record(&mut self, name: &str, began: time::Instant, ended: time::Instant, claims: &Claims) {
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

fn runner(rack: usize) -> instances::Instance {
    let id = format!("runner-{rack}").parse().unwrap();
    instances::Instance {
        role: instances::Role::Runner,
        failure_domain: "d0".parse().unwrap(),
        rack: format!("r{rack}").parse().unwrap(),
        service: Some("rating".parse().unwrap()),
        slots: 8,
        connections: 60,
        ..harness::instance(id, ports::free_address().unwrap(), rack)
    }
}

impl Cell {
    /// Creates a platform with two racks of runners, and `len` entry instances that
    /// are not yet running.
    pub(crate) async fn new(len: usize) -> Self {
        let shape = Shape {
            entries: len,
            racks: 2,
            lease_ms: LEASE_MS,
        };
        Self::of(shape).await
    }

    /// Creates a cell of this shape; no entry instance runs yet.
    pub(crate) async fn of(shape: Shape) -> Self {
        let settings = json!({
            "store": { "timeout_ms": 500 },
            "claims": {
                "lease_ms": shape.lease_ms,
                "heartbeat_ms": shape.lease_ms / 4,
                "margin_ms": shape.lease_ms / 10,
                "instances_ms": shape.lease_ms / 10,
            },
        });
        let plan = harness::Plan {
            entries: 0,
            spare_entries: shape.entries,
            settings,
            ..harness::Plan::default()
        };
        let base = harness::Cell::start(plan).await;
        base.platform
            .change_instances(|list| list.extend((1..=shape.racks).map(runner)));
        Self {
            base,
            shape,
            checker: EpochChecker::default(),
        }
    }

    /// Starts all entry instances and waits until they share all shards.
    pub(crate) async fn start_all(&mut self) {
        let all: Vec<_> = (0..self.len()).collect();
        for index in &all {
            self.launch(*index);
        }
        self.wait_for_holders(&all).await;
    }

    /// Reads and checks the claims of an entry instance; `None` without an answer.
    pub(crate) async fn claims(&mut self, index: usize) -> Option<Claims> {
        let began = time::Instant::now();
        let address = self.operator_address(index);
        let limit = time::Duration::from_millis(300);
        let call = client::Call::get(address, "/v1/dump");
        let answer = self.client.send_within(limit, call).await.ok()?;
        let dump: serde_json::Value = answer.json().ok()?;
        let claims = Claims {
            raw: dump.get("claims")?.clone(),
        };
        self.checker
            .record(self.base.name(index), began, time::Instant::now(), &claims);
        Some(claims)
    }

    /// Reads and checks the claims of all running entry instances once.
    pub(crate) async fn poll(&mut self) -> Vec<Option<Claims>> {
        let mut all = Vec::new();
        for index in 0..self.len() {
            let claims = match self.is_running(index) {
                true => self.claims(index).await,
                false => None,
            };
            all.push(claims);
        }
        all
    }

    /// Polls until `done` returns true.
    pub(crate) async fn wait_until(
        &mut self,
        what: &str,
        mut done: impl FnMut(&[Option<Claims>]) -> bool,
    ) {
        let began = time::Instant::now();
        loop {
            let all = self.poll().await;
            if done(&all) {
                return;
            }
            assert!(began.elapsed() < CONDITION_TIMEOUT, "no {what}: {all:#?}");
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    }

    /// Polls for this time, only to check the invariant.
    pub(crate) async fn poll_for(&mut self, while_ms: u64) {
        let began = time::Instant::now();
        while began.elapsed() < time::Duration::from_millis(while_ms) {
            self.poll().await;
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    }

    /// Waits until exactly these entry instances use all shards, each at least one.
    pub(crate) async fn wait_for_holders(&mut self, indexes: &[usize]) {
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

    /// Waits until every member has listed all members as its witnesses.
    pub(crate) async fn wait_for_witnesses(&mut self) {
        let began = time::Instant::now();
        loop {
            let document = self.document();
            let keys = document.keys();
            let listed = document.witnesses.values().filter(|list| **list == keys);
            if listed.count() == self.len() {
                return;
            }
            assert!(
                began.elapsed() < CONDITION_TIMEOUT,
                "no witnesses: {document:#?}"
            );
            self.poll().await;
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    }

    /// Cuts an entry instance off from the store and the others. Connections are
    /// broken too, so that messages in flight do not arrive.
    pub(crate) fn cut_off(&self, index: usize, others: &[usize]) {
        self.cut_store(index, true);
        self.store_path(index).reset_connections();
        for other in others {
            self.cut_peers(index, *other, true);
            self.peer_path(*other, index).reset_connections();
        }
    }

    /// The claims document in the store.
    pub(crate) fn document(&self) -> figscale_types::claims::Claims {
        let value = self.platform.read("claims").unwrap();
        serde_json::from_slice(&value.bytes).unwrap()
    }

    /// The member id of an entry instance.
    pub(crate) fn id(&self, index: usize) -> ids::MemberId {
        self.name(index).parse().unwrap()
    }
}

/// The number of shards: one per rack of runners, and those of all homes.
pub(crate) fn shard_count(racks: usize) -> usize {
    let homes = figscale_types::claims::ID_SHARDS + figscale_types::claims::JOB_SHARDS;
    racks + homes as usize
}
