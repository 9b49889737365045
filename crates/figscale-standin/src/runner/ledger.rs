//! Record of the requests that runners received, and the invariant checker on it.
//!
//! A request is recorded as soon as its head arrives, so that a request of which
//! a runner received any part can be distinguished from one that never arrived.
//! Times are relative to the creation of the ledger, on one clock for all
//! runners that share it.

use std::fmt;
use std::str;
use std::sync;
use std::time;

use figscale_types::error;
use figscale_types::ids;
use figscale_types::mutex;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

/// The shard holder that dispatched a request, from the header
/// `x-figscale-holder`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// The shard.
    pub shard: ids::ShardId,
    /// Epoch under which it was held.
    pub epoch: ids::Epoch,
}

impl fmt::Display for Holder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.shard, self.epoch)
    }
}

impl str::FromStr for Holder {
    type Err = error::ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || error::ParseError::new("holder", text, "SHARD@EPOCH");
        let (shard, epoch) = text.rsplit_once('@').ok_or_else(invalid)?;
        Ok(Self {
            shard: shard.parse()?,
            epoch: epoch.parse()?,
        })
    }
}

/// A request of which a runner received at least the head.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeenRequest {
    /// Request id; empty when the request had none.
    pub request_id: String,
    /// The runner.
    pub runner: ids::InstanceId,
    /// Catalogue entry.
    pub entry: String,
    /// Whether it was marked idempotent.
    pub idempotent: bool,
    /// Shard holder that dispatched it.
    pub holder: Option<Holder>,
    /// When its head arrived, in microseconds.
    pub seen_us: u64,
    /// When it began to run: its body was complete and a slot was free.
    pub started_us: Option<u64>,
    /// When its run ended.
    pub ended_us: Option<u64>,
    /// Whether the runner refused it without running it.
    pub refused: bool,
}

impl SeenRequest {
    /// Whether it began to run.
    pub fn ran(&self) -> bool {
        self.started_us.is_some()
    }
}

/// A violated guarantee of the system.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Violation {
    /// A request arrived while all slots were in use.
    OverSlots {
        /// The runner.
        runner: ids::InstanceId,
        /// Its request id.
        request_id: String,
    },
    /// More connections were open than allowed.
    OverConnections {
        /// The runner.
        runner: ids::InstanceId,
        /// Number of open connections.
        open: u32,
    },
    /// A request that is not idempotent ran more than once.
    RanTwice {
        /// Its request id.
        request_id: String,
    },
    /// A request arrived from a holder after one from its successor, which has a
    /// higher epoch.
    StaleHolder {
        /// The runner.
        runner: ids::InstanceId,
        /// Shard holder that sent it.
        holder: Holder,
        /// Highest epoch of the shard seen before.
        seen: ids::Epoch,
    },
}

/// The record of one or more runners; clones share it.
#[derive(Clone, Debug)]
pub struct Ledger {
    base: time::Instant,
    records: sync::Arc<sync::Mutex<Records>>,
}

#[derive(Debug, Default)]
struct Records {
    requests: Vec<SeenRequest>,
    violations: Vec<Violation>,
    runners: IndexMap<ids::InstanceId, RunnerState>,
    /// Runs by request id.
    runs: IndexMap<String, u32>,
}

#[derive(Debug, Default)]
struct RunnerState {
    busy: u32,
    max_busy: u32,
    connections: u32,
    epochs: IndexMap<ids::ShardId, ids::Epoch>,
}

impl Default for Ledger {
    fn default() -> Self {
        Self {
            base: time::Instant::now(),
            records: sync::Arc::default(),
        }
    }
}

/// Fields of a request's head.
pub(super) struct Head {
    pub(super) request_id: String,
    pub(super) entry: String,
    pub(super) idempotent: bool,
    pub(super) holder: Option<Holder>,
}

impl Ledger {
    /// Every request received, in order of arrival.
    pub fn requests(&self) -> Vec<SeenRequest> {
        mutex::lock(&self.records).requests.clone()
    }

    /// Whether any runner received a part of a request and did not refuse it.
    pub fn may_have_run(&self, request_id: &str) -> bool {
        let records = mutex::lock(&self.records);
        let mut requests = records.requests.iter();
        requests.any(|request| request.request_id == request_id && !request.refused)
    }

    /// Number of times that a request ran.
    pub fn runs(&self, request_id: &str) -> u32 {
        let records = mutex::lock(&self.records);
        records.runs.get(request_id).copied().unwrap_or_default()
    }

    /// Every violation, in order of detection.
    pub fn violations(&self) -> Vec<Violation> {
        mutex::lock(&self.records).violations.clone()
    }

    /// Largest number of requests that a runner ran concurrently.
    pub fn max_busy(&self, runner: &ids::InstanceId) -> u32 {
        let records = mutex::lock(&self.records);
        records
            .runners
            .get(runner)
            .map_or(0, |state| state.max_busy)
    }

    /// Number of requests that a runner runs now.
    pub fn busy(&self, runner: &ids::InstanceId) -> u32 {
        let records = mutex::lock(&self.records);
        records.runners.get(runner).map_or(0, |state| state.busy)
    }

    /// Number of open connections to a runner.
    pub fn connections(&self, runner: &ids::InstanceId) -> u32 {
        let records = mutex::lock(&self.records);
        records
            .runners
            .get(runner)
            .map_or(0, |state| state.connections)
    }

    fn now_us(&self) -> u64 {
        u64::try_from(self.base.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    pub(super) fn connected(&self, runner: &ids::InstanceId, limit: u32) {
        let mut records = mutex::lock(&self.records);
        let state = records.runners.entry(runner.clone()).or_default();
        state.connections += 1;
        let open = state.connections;
        if open > limit {
            records.violations.push(Violation::OverConnections {
                runner: runner.clone(),
                open,
            });
        }
    }

    pub(super) fn disconnected(&self, runner: &ids::InstanceId) {
        if let Some(state) = mutex::lock(&self.records).runners.get_mut(runner) {
            state.connections -= 1;
        }
    }

    /// Records a request and returns its index.
    pub(super) fn seen(&self, runner: &ids::InstanceId, head: Head) -> usize {
        let seen_us = self.now_us();
        let mut records = mutex::lock(&self.records);
        if let Some(holder) = &head.holder {
            records.check_holder_epoch(runner, holder);
        }
        records.requests.push(SeenRequest {
            request_id: head.request_id,
            runner: runner.clone(),
            entry: head.entry,
            idempotent: head.idempotent,
            holder: head.holder,
            seen_us,
            started_us: None,
            ended_us: None,
            refused: false,
        });
        records.requests.len() - 1
    }

    /// Takes a slot; `false` when all are in use.
    pub(super) fn take_slot(&self, request_index: usize, slots: u32) -> bool {
        let mut records = mutex::lock(&self.records);
        let records = &mut *records;
        let request = &mut records.requests[request_index];
        let state = records.runners.entry(request.runner.clone()).or_default();
        if state.busy >= slots {
            request.refused = true;
            records.violations.push(Violation::OverSlots {
                runner: request.runner.clone(),
                request_id: request.request_id.clone(),
            });
            return false;
        }
        state.busy += 1;
        state.max_busy = state.max_busy.max(state.busy);
        true
    }

    pub(super) fn free_slot(&self, request_index: usize) {
        let ended_us = self.now_us();
        let mut records = mutex::lock(&self.records);
        let records = &mut *records;
        let request = &mut records.requests[request_index];
        request.ended_us = Some(ended_us);
        if let Some(state) = records.runners.get_mut(&request.runner) {
            state.busy -= 1;
        }
    }

    pub(super) fn refused(&self, request_index: usize) {
        mutex::lock(&self.records).requests[request_index].refused = true;
    }

    pub(super) fn started(&self, request_index: usize) {
        let started_us = self.now_us();
        let mut records = mutex::lock(&self.records);
        let records = &mut *records;
        let request = &mut records.requests[request_index];
        request.started_us = Some(started_us);
        if request.request_id.is_empty() {
            return;
        }
        let runs = records.runs.entry(request.request_id.clone()).or_default();
        *runs += 1;
        if *runs > 1 && !request.idempotent {
            records.violations.push(Violation::RanTwice {
                request_id: request.request_id.clone(),
            });
        }
    }
}

impl Records {
    fn check_holder_epoch(&mut self, runner: &ids::InstanceId, holder: &Holder) {
        let state = self.runners.entry(runner.clone()).or_default();
        let seen = state.epochs.entry(holder.shard.clone()).or_default();
        if holder.epoch < *seen {
            self.violations.push(Violation::StaleHolder {
                runner: runner.clone(),
                holder: holder.clone(),
                seen: *seen,
            });
        }
        *seen = (*seen).max(holder.epoch);
    }
}
