//! The platform's list of instances.
//!
//! The list lags: an instance may be gone before the list says so, and may be
//! new before it is listed. It is evidence among others, never a lock.

use std::net;

use serde::Deserialize;
use serde::Serialize;

use crate::ids;
use crate::sizes;

/// What an instance is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// One of the system's own processes.
    Entry,
    /// A process of a service.
    Runner,
    /// A machine that runs tasks.
    Worker,
}

/// Whether an instance may get new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Life {
    /// In use.
    Live,
    /// About to go; gets no new work.
    Leaving,
}

/// One line of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Name.
    pub id: ids::InstanceId,
    /// What it is for.
    pub role: Role,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Where it stands.
    pub failure_domain: ids::FailureDomain,
    /// Rack within the failure domain.
    pub rack: ids::RackName,
    /// Service of a runner; `None` for the others.
    pub service: Option<ids::ServiceName>,
    /// What a worker holds; zero for the others.
    pub capacity: sizes::Resources,
    /// Requests that a runner takes at once; zero for the others.
    pub slots: u32,
    /// Connections that a runner takes at once; zero for the others.
    pub connections: u32,
    /// Whether it may get new work.
    pub life: Life,
}

/// The platform's list with its age.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// Version; grows with every change.
    pub revision: ids::Revision,
    /// How far the list is known to lag, in milliseconds.
    pub lag_ms: u64,
    /// The lines.
    pub instances: Vec<Instance>,
}

/// Path at which a runner tells [`RunnerUsage`], as JSON.
pub const RUNNER_USAGE_PATH: &str = "/usage";

/// How busy a runner was at some moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerUsage {
    /// Slots in use, by whoever.
    pub busy: u32,
    /// Slots in all.
    pub slots: u32,
    /// Time since the moment that this tells of, in milliseconds.
    pub age_ms: u64,
    /// Whether it is leaving.
    pub leaving: bool,
}
