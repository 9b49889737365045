//! Open-loop load on entry instances; every response is verified.
//!
//! Requests arrive by a seeded Poisson process, whether or not earlier ones have
//! got their responses, and latency is measured from the intended arrival. A
//! stall of the system, or of this tool, therefore shows in the latency of every
//! request that was due during it, which avoids coordinated omission. Waiting
//! time is latency minus the run time that the request specified.

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
    /// Time limit given by the callers; the budget of the entry if absent.
    #[serde(default)]
    pub budget_ms: Option<u64>,
    /// Size of a request body. Default 200.
    #[serde(default = "default_body_bytes")]
    pub body_bytes: usize,
    /// Padding of a response body. Default 500.
    #[serde(default = "default_answer_bytes")]
    pub answer_bytes: usize,
}

/// Default size of a request body, in bytes.
pub const DEFAULT_BODY_BYTES: usize = 200;
/// Default padding of a response body, in bytes.
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
    /// Address for callers.
    pub address: net::SocketAddr,
    /// Share of the arrivals, relative to other entry instances.
    pub weight: f64,
}

/// Parameters of a load.
#[derive(Clone, Debug)]
pub struct Config {
    /// Entry instances.
    pub targets: Vec<Target>,
    /// Classes.
    pub classes: Vec<Class>,
    /// Arrivals per second of all classes together.
    pub rate_per_s: f64,
    /// Period in which requests arrive.
    pub duration: time::Duration,
    /// Time limit of one request.
    pub response_timeout: time::Duration,
    /// Seed of the arrivals.
    pub seed: u64,
}

/// Makes the requests, waits for every response and returns the report.
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
            response_timeout: config.response_timeout,
            arrival,
        };
        requests.spawn(call.make());
    }
    let outcomes = requests.join_all().await;
    Report::new(&config.classes, outcomes, began.elapsed())
}
