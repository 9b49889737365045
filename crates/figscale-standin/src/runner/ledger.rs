//! What runners saw, and the judgement on it.
//!
//! Each line is made when a request's head arrives, so that a request of
//! which a runner saw anything can be told from one that never came. Times are
//! counted from the ledger's making, on one clock for all runners that share
//! it.

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

/// Who dispatched a request, as the header `x-figscale-holder` tells.
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
        let wrong = || error::ParseError::new("holder", text, "SHARD@EPOCH");
        let (shard, epoch) = text.rsplit_once('@').ok_or_else(wrong)?;
        Ok(Self {
            shard: shard.parse()?,
            epoch: epoch.parse()?,
        })
    }
}

/// A request of which a runner saw at least the head.
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
    /// Who dispatched it.
    pub holder: Option<Holder>,
    /// When its head arrived, in microseconds.
    pub seen_us: u64,
    /// When it began to run: its body was whole and a slot was free.
    pub started_us: Option<u64>,
    /// When its run was over.
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

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Violation {
    /// A request came while all slots were in use.
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
        /// Connections open.
        open: u32,
    },
    /// A request that is not idempotent ran more than once.
    RanTwice {
        /// Its request id.
        request_id: String,
    },
    /// A request came from a holder after one came from its successor.
    StaleHolder {
        /// The runner.
        runner: ids::InstanceId,
        /// Who sent it.
        holder: Holder,
        /// Highest epoch seen before.
        seen: ids::Epoch,
    },
}

/// The record of one or more runners; clones share it.
#[derive(Clone, Debug)]
pub struct Ledger {
    base: time::Instant,
    book: sync::Arc<sync::Mutex<Book>>,
}

#[derive(Debug, Default)]
struct Book {
    requests: Vec<SeenRequest>,
    violations: Vec<Violation>,
    runners: IndexMap<ids::InstanceId, RunnerState>,
    /// Runs by request id.
    runs: IndexMap<String, u32>,
}

#[derive(Debug, Default)]
struct RunnerState {
    busy: u32,
    most_busy: u32,
    connections: u32,
    epochs: IndexMap<ids::ShardId, ids::Epoch>,
}

impl Default for Ledger {
    fn default() -> Self {
        Self {
            base: time::Instant::now(),
            book: sync::Arc::default(),
        }
    }
}

/// What a request's head tells.
pub(super) struct Head {
    pub(super) request_id: String,
    pub(super) entry: String,
    pub(super) idempotent: bool,
    pub(super) holder: Option<Holder>,
}

impl Ledger {
    /// Every request seen, in order of arrival.
    pub fn requests(&self) -> Vec<SeenRequest> {
        mutex::lock(&self.book).requests.clone()
    }

    /// Whether any runner saw anything of a request and did not refuse it.
    pub fn may_have_run(&self, request_id: &str) -> bool {
        let book = mutex::lock(&self.book);
        let mut lines = book.requests.iter();
        lines.any(|line| line.request_id == request_id && !line.refused)
    }

    /// How many times a request ran.
    pub fn runs(&self, request_id: &str) -> u32 {
        let book = mutex::lock(&self.book);
        book.runs.get(request_id).copied().unwrap_or_default()
    }

    /// Every promise that was broken, in order.
    pub fn violations(&self) -> Vec<Violation> {
        mutex::lock(&self.book).violations.clone()
    }

    /// Most requests that a runner ever ran at once.
    pub fn most_busy(&self, runner: &ids::InstanceId) -> u32 {
        let book = mutex::lock(&self.book);
        book.runners.get(runner).map_or(0, |state| state.most_busy)
    }

    /// Requests that a runner runs now.
    pub fn busy(&self, runner: &ids::InstanceId) -> u32 {
        let book = mutex::lock(&self.book);
        book.runners.get(runner).map_or(0, |state| state.busy)
    }

    /// Connections open to a runner now.
    pub fn connections(&self, runner: &ids::InstanceId) -> u32 {
        let book = mutex::lock(&self.book);
        book.runners
            .get(runner)
            .map_or(0, |state| state.connections)
    }

    fn now_us(&self) -> u64 {
        u64::try_from(self.base.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    pub(super) fn connected(&self, runner: &ids::InstanceId, limit: u32) {
        let mut book = mutex::lock(&self.book);
        let state = book.runners.entry(runner.clone()).or_default();
        state.connections += 1;
        let open = state.connections;
        if open > limit {
            book.violations.push(Violation::OverConnections {
                runner: runner.clone(),
                open,
            });
        }
    }

    pub(super) fn disconnected(&self, runner: &ids::InstanceId) {
        if let Some(state) = mutex::lock(&self.book).runners.get_mut(runner) {
            state.connections -= 1;
        }
    }

    /// Writes a line and returns its number.
    pub(super) fn seen(&self, runner: &ids::InstanceId, head: Head) -> usize {
        let seen_us = self.now_us();
        let mut book = mutex::lock(&self.book);
        if let Some(holder) = &head.holder {
            book.judge_holder(runner, holder);
        }
        book.requests.push(SeenRequest {
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
        book.requests.len() - 1
    }

    /// Takes a slot; `false` when all are in use.
    pub(super) fn take_slot(&self, line: usize, slots: u32) -> bool {
        let mut book = mutex::lock(&self.book);
        let book = &mut *book;
        let request = &mut book.requests[line];
        let state = book.runners.entry(request.runner.clone()).or_default();
        if state.busy >= slots {
            request.refused = true;
            book.violations.push(Violation::OverSlots {
                runner: request.runner.clone(),
                request_id: request.request_id.clone(),
            });
            return false;
        }
        state.busy += 1;
        state.most_busy = state.most_busy.max(state.busy);
        true
    }

    pub(super) fn free_slot(&self, line: usize) {
        let ended_us = self.now_us();
        let mut book = mutex::lock(&self.book);
        let book = &mut *book;
        let request = &mut book.requests[line];
        request.ended_us = Some(ended_us);
        if let Some(state) = book.runners.get_mut(&request.runner) {
            state.busy -= 1;
        }
    }

    pub(super) fn refused(&self, line: usize) {
        mutex::lock(&self.book).requests[line].refused = true;
    }

    pub(super) fn started(&self, line: usize) {
        let started_us = self.now_us();
        let mut book = mutex::lock(&self.book);
        let book = &mut *book;
        let request = &mut book.requests[line];
        request.started_us = Some(started_us);
        if request.request_id.is_empty() {
            return;
        }
        let runs = book.runs.entry(request.request_id.clone()).or_default();
        *runs += 1;
        if *runs > 1 && !request.idempotent {
            book.violations.push(Violation::RanTwice {
                request_id: request.request_id.clone(),
            });
        }
    }
}

impl Book {
    fn judge_holder(&mut self, runner: &ids::InstanceId, holder: &Holder) {
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
