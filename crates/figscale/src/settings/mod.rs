//! Settings of a process: JSON with comments, checked before anything starts.
//!
//! Each section is a struct with documented defaults and bounds. A section
//! checks itself and adds what is wrong to [`Problems`], so that `settings
//! check` and `serve` give the same verdict and name every problem at once.

mod claims;
mod jobs;
mod traffic;

use std::net;

use figscale_types::ids;
use serde::Deserialize;
use serde::Serialize;

pub use claims::CatalogueSettings;
pub use claims::ClaimsSettings;
pub use claims::StoreSettings;
pub use jobs::JobSettings;
pub use traffic::TrafficSettings;

/// Settings of an entry instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Stable name of this entry instance.
    pub member: ids::MemberId,
    /// Failure domain that it stands in.
    pub failure_domain: ids::FailureDomain,
    /// Where callers reach it.
    pub caller_address: net::SocketAddr,
    /// Where other entry instances reach it.
    pub peer_address: net::SocketAddr,
    /// Where operators reach it.
    pub operator_address: net::SocketAddr,
    /// Where the platform's key-value service and instance list are.
    pub platform_address: net::SocketAddr,
    /// Secret that entry instances show each other; 16 bytes or more.
    pub peer_token: String,
    /// Threads for traffic. Default 2, 1 to 64.
    #[serde(default = "default_traffic_threads")]
    pub traffic_threads: usize,
    /// Longest planned stop. Default 30,000, 100 to 600,000.
    #[serde(default = "default_shutdown_ms")]
    pub shutdown_ms: u64,
    /// Use of the store.
    #[serde(default)]
    pub store: StoreSettings,
    /// Claims and membership.
    #[serde(default)]
    pub claims: ClaimsSettings,
    /// The catalogue.
    #[serde(default)]
    pub catalogue: CatalogueSettings,
    /// Requests.
    #[serde(default)]
    pub traffic: TrafficSettings,
    /// Jobs and tasks.
    #[serde(default)]
    pub jobs: JobSettings,
}

fn default_traffic_threads() -> usize {
    2
}

fn default_shutdown_ms() -> u64 {
    30_000
}

/// What is wrong with settings, in the order found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Problems {
    lines: Vec<String>,
}

impl Problems {
    /// Notes that a field is out of its bounds.
    pub fn bound<T>(&mut self, field: &str, value: T, low: T, high: T)
    where
        T: PartialOrd + std::fmt::Display,
    {
        if value < low || value > high {
            self.add(format!("{field} is {value}: expected {low} to {high}"));
        }
    }

    /// Notes a problem in a sentence that names the fields.
    pub fn add(&mut self, line: String) {
        self.lines.push(line);
    }

    /// The problems, one a line.
    pub fn lines(&self) -> &[String] {
        &self.lines
    }
}

impl Settings {
    /// Every problem beyond what parsing finds.
    pub fn check(&self) -> Problems {
        let mut problems = Problems::default();
        problems.bound("traffic_threads", self.traffic_threads, 1, 64);
        problems.bound("shutdown_ms", self.shutdown_ms, 100, 600_000);
        self.store.check(&mut problems);
        self.claims.check(&mut problems);
        self.catalogue.check(&mut problems);
        self.traffic.check(&mut problems);
        self.jobs.check(&mut problems);
        problems
    }
}
