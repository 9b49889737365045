//! The platform's list of instances.
//!
//! The list lags: it may still contain an instance that is gone, and may not yet
//! contain a new one. It is a hint that must not be used as a lock.

use std::net;

use serde::Deserialize;
use serde::Serialize;

use crate::ids;
use crate::sizes;

/// The role of an instance.
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
    /// Shutting down; gets no new work.
    Leaving,
}

/// One instance in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Name.
    pub id: ids::InstanceId,
    /// Its role.
    pub role: Role,
    /// Address that it listens on.
    pub address: net::SocketAddr,
    /// Failure domain that it is in.
    pub failure_domain: ids::FailureDomain,
    /// Rack within the failure domain.
    pub rack: ids::RackName,
    /// Service of a runner; `None` for the others.
    pub service: Option<ids::ServiceName>,
    /// Resources of a worker; zero for the others.
    pub capacity: sizes::Resources,
    /// Requests that a runner accepts at once; zero for the others.
    pub slots: u32,
    /// Connections that a runner accepts at once; zero for the others.
    pub connections: u32,
    /// Whether it may get new work.
    pub life: Life,
}

/// The platform's list with its revision and lag.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// Version; grows with every change.
    pub revision: ids::Revision,
    /// How far the list is known to lag, in milliseconds.
    pub lag_ms: u64,
    /// The instances.
    pub instances: Vec<Instance>,
}

/// Path at which a runner serves [`RunnerUsage`] as JSON.
pub const RUNNER_USAGE_PATH: &str = "/usage";

/// Usage of a runner at one point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerUsage {
    /// Slots in use, whoever uses them.
    pub busy: u32,
    /// Total slots.
    pub slots: u32,
    /// Age of this information, in milliseconds.
    pub age_ms: u64,
    /// Whether it is leaving.
    pub leaving: bool,
}
