//! Settings of a process: JSON with comments, validated before anything starts.
//!
//! Each section is a struct with documented defaults and bounds. Its `check`
//! method adds invalid values to [`Problems`], so that `settings check` and
//! `serve` give the same result and report all problems at once.

mod claims;
pub mod document;
mod duplicates;
mod fleet;
mod jobs;
mod log;
mod machine;
mod operator;
mod traffic;

use std::net;
use std::path;

use figscale_types::ids;
use serde::Deserialize;
use serde::Serialize;

pub use claims::CatalogueSettings;
pub use claims::ClaimsSettings;
pub use claims::StoreSettings;
pub use fleet::FleetSettings;
pub use jobs::JobSettings;
pub use log::LogLevel;
pub use log::LogSettings;
pub use log::LogTarget;
pub use machine::MachineSettings;
pub use operator::OperatorSettings;
pub use traffic::TrafficSettings;

/// Settings of an entry instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Stable name of this entry instance.
    pub member: ids::MemberId,
    /// Failure domain of this instance.
    pub failure_domain: ids::FailureDomain,
    /// Address that callers connect to.
    pub caller_address: net::SocketAddr,
    /// Address that other entry instances connect to.
    pub peer_address: net::SocketAddr,
    /// Address of the operator API.
    pub operator_address: net::SocketAddr,
    /// Address of the platform's key-value service and instance list.
    pub platform_address: net::SocketAddr,
    /// Shared secret by which entry instances authenticate each other; 16 bytes or more.
    pub peer_token: String,
    /// Number of traffic threads. Default 2, 1 to 64.
    #[serde(default = "default_traffic_threads")]
    pub traffic_threads: usize,
    /// Maximum duration of a planned stop. Default 30,000, 100 to 600,000.
    #[serde(default = "default_shutdown_ms")]
    pub shutdown_ms: u64,
    /// The machine.
    #[serde(default)]
    pub machine: MachineSettings,
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
    /// Calls of operators.
    #[serde(default)]
    pub operator: OperatorSettings,
    /// Present if the instance schedules the workers of the users' platform.
    #[serde(default)]
    pub fleet: Option<FleetSettings>,
    /// The log.
    #[serde(default)]
    pub log: LogSettings,
}

/// Minimum length of the peer token, in bytes.
const MIN_PEER_TOKEN_LEN: usize = 16;

/// Share of the machine's memory for open jobs.
const JOB_MEMORY_DIVISOR: u64 = 4;

fn default_traffic_threads() -> usize {
    2
}

fn default_shutdown_ms() -> u64 {
    30_000
}

/// Problems found in the settings, in the order of the checks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Problems {
    lines: Vec<String>,
}

impl Problems {
    /// Adds a problem if the value of a field is out of its bounds.
    pub fn bound<T>(&mut self, field: &str, value: T, low: T, high: T)
    where
        T: PartialOrd + std::fmt::Display,
    {
        if value < low || value > high {
            self.add(format!("{field} is {value}: expected {low} to {high}"));
        }
    }

    /// Adds a problem: a sentence that names the fields.
    pub fn add(&mut self, line: String) {
        self.lines.push(line);
    }

    /// The problems, one per line.
    pub fn lines(&self) -> &[String] {
        &self.lines
    }
}

impl Settings {
    /// Reads and validates a file. Both `settings check` and `serve` use this.
    pub fn load(file: &path::Path) -> Result<Self, document::DocumentError> {
        Self::from_document(&document::Document::read(file)?)
    }

    /// Parses and validates a document.
    pub fn from_document(document: &document::Document) -> Result<Self, document::DocumentError> {
        let settings: Self = document.parse()?;
        let problems = settings.check();
        if problems.lines().is_empty() {
            return Ok(settings);
        }
        Err(document.refuse(problems.lines()))
    }

    /// Returns all problems that parsing does not detect.
    pub fn check(&self) -> Problems {
        let mut problems = Problems::default();
        problems.bound("traffic_threads", self.traffic_threads, 1, 64);
        problems.bound("shutdown_ms", self.shutdown_ms, 100, 600_000);
        self.check_token(&mut problems);
        self.check_addresses(&mut problems);
        self.machine.check(&mut problems);
        self.store.check(&mut problems);
        self.claims.check(&mut problems);
        self.catalogue.check(&mut problems);
        self.traffic.check(&mut problems);
        self.jobs.check(&mut problems);
        self.operator.check(&mut problems);
        if let Some(fleet) = &self.fleet {
            fleet.check(&mut problems);
        }
        problems
    }

    /// The token is sent in a header, hence visible ASCII. Messages never contain it.
    fn check_token(&self, problems: &mut Problems) {
        let length = self.peer_token.len();
        if length < MIN_PEER_TOKEN_LEN {
            problems.add(format!(
                "peer_token has {length} bytes: expected {MIN_PEER_TOKEN_LEN} or more"
            ));
        }
        if !self.peer_token.bytes().all(|b| b.is_ascii_graphic()) {
            problems.add("peer_token: expected visible ASCII characters only".to_owned());
        }
    }

    fn check_addresses(&self, problems: &mut Problems) {
        let own = [
            ("caller_address", self.caller_address),
            ("peer_address", self.peer_address),
            ("operator_address", self.operator_address),
        ];
        for (position, (field, address)) in own.iter().enumerate() {
            if address.port() == 0 {
                problems.add(format!(
                    "{field} is {address}: expected a port of 1 to 65535"
                ));
            }
            let same = own[..position].iter().find(|(_, other)| other == address);
            if let Some((other, _)) = same {
                problems.add(format!(
                    "{field} is {address}: expected another address than {other}"
                ));
            }
        }
        // This address is published to the peers, so it must not be a wildcard address.
        if self.peer_address.ip().is_unspecified() {
            problems.add(format!(
                "peer_address is {}: expected the address that peers connect to",
                self.peer_address
            ));
        }
    }

    /// Memory that the leader uses for open jobs, in bytes.
    pub fn job_memory_bytes(&self, fleet: &FleetSettings) -> u64 {
        let share = self.machine.memory_bytes() / JOB_MEMORY_DIVISOR;
        fleet.job_memory_bytes.min(share)
    }

    /// The settings as shown in a dump, without the secret.
    pub fn without_secrets(&self) -> Self {
        Self {
            peer_token: "(not shown)".to_owned(),
            ..self.clone()
        }
    }
}
