//! Open-loop load on entry instances, checked answer by answer.
//!
//! Requests arrive when a seeded Poisson process says so, whether or not
//! earlier ones were answered, and latency is counted from that intended
//! arrival. A stall of the system, or of this tool, is therefore seen by every
//! request that fell into it, which is what correction for coordinated
//! omission is about. Waiting time is latency less the run time that the
//! request asked of its runner.

mod arrivals;
mod report;
mod request;

use std::net;
use std::sync;
use std::time;

use figscale_types::ids;
use serde::Deserialize;
use serde::Serialize;
use tokio::task;

use crate::client;

pub use arrivals::Arrival;
pub use arrivals::arrivals;
pub use report::ClassReport;
pub use report::Quantiles;
pub use report::Report;
pub use request::Outcome;
pub use request::OutcomeKind;

/// A class of requests in a mix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Catalogue entry.
    pub entry: ids::EntryName,
    /// Owner on whose behalf the requests are made.
    pub owner: ids::OwnerName,
    /// Share of the arrivals, relative to other classes.
    pub weight: f64,
    /// Mean run time; each is exponentially distributed around it.
    pub mean_run_ms: f64,
    /// Whether requests are marked idempotent.
    pub idempotent: bool,
    /// Time that callers are willing to wait; the entry's own when absent.
    #[serde(default)]
    pub budget_ms: Option<u64>,
    /// Size of a request. Default 200.
    #[serde(default = "default_body_bytes")]
    pub body_bytes: usize,
    /// Filling of an answer. Default 500.
    #[serde(default = "default_answer_bytes")]
    pub answer_bytes: usize,
}

/// Size of a request that its class does not name, in bytes.
pub const DEFAULT_BODY_BYTES: usize = 200;
/// Filling of an answer that its class does not name, in bytes.
pub const DEFAULT_ANSWER_BYTES: usize = 500;

fn default_body_bytes() -> usize {
    DEFAULT_BODY_BYTES
}

fn default_answer_bytes() -> usize {
    DEFAULT_ANSWER_BYTES
}

/// An entry instance with its share of the arrivals.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Target {
    /// Where callers reach it.
    pub address: net::SocketAddr,
    /// Share, relative to other entry instances.
    pub weight: f64,
}

/// What load to make.
#[derive(Clone, Debug)]
pub struct Config {
    /// Entry instances.
    pub targets: Vec<Target>,
    /// Classes.
    pub classes: Vec<Class>,
    /// Arrivals a second, of all classes together.
    pub rate_per_s: f64,
    /// Time in which requests arrive.
    pub duration: time::Duration,
    /// Longest wait for one answer.
    pub patience: time::Duration,
    /// Seed of the arrivals.
    pub seed: u64,
}

/// Makes the load, waits for every answer, and reports.
pub async fn run(config: &Config) -> Report {
    let client = client::Client::default();
    let classes = sync::Arc::new(config.classes.clone());
    let began = tokio::time::Instant::now();
    let mut requests = task::JoinSet::new();
    for arrival in arrivals(config) {
        let due = began + arrival.at;
        tokio::time::sleep_until(due).await;
        let call = request::Request {
            client: client.clone(),
            class: classes[arrival.class].clone(),
            target: config.targets[arrival.target].address,
            due,
            patience: config.patience,
            arrival,
        };
        requests.spawn(call.make());
    }
    let outcomes = requests.join_all().await;
    Report::new(&config.classes, outcomes, began.elapsed())
}
