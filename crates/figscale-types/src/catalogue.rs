//! The catalogue that operators edit.
//!
//! A catalogue defines owners with their quotas, and entries with their class
//! and limits. It is one document that is accepted or rejected as a whole, so
//! that a change is never partly in force. Every field has its unit in its name
//! and a documented default; unknown fields are rejected.

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::ids;
use crate::operator;
use crate::sizes;

/// A whole catalogue.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Catalogue {
    /// Owners by name.
    pub owners: IndexMap<ids::OwnerName, Owner>,
    /// Entries by name.
    pub entries: IndexMap<ids::EntryName, Entry>,
    /// Weights of the placement criteria in this cell.
    #[serde(default)]
    pub weights: Weights,
}

/// An owner and what it may use in the whole cell.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Owner {
    /// Share in fair queueing, relative to other owners. Default 1.
    #[serde(default = "one")]
    pub weight: u32,
    /// Requests admitted per second. Default: no limit.
    #[serde(default)]
    pub rate_per_s: Option<f64>,
    /// Requests in progress at once. Default: no limit.
    #[serde(default)]
    pub concurrency: Option<u32>,
    /// Resources its tasks may hold at once. Default: no limit.
    #[serde(default)]
    pub quota: Option<sizes::Resources>,
}

/// An entry: an owner, a class and the limits that apply to it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Owner responsible for the entry.
    pub owner: ids::OwnerName,
    /// Other owners that may use the entry. Default: every owner.
    #[serde(default)]
    pub callers: Option<Vec<ids::OwnerName>>,
    /// Kind of the entry and its limits.
    pub policy: Policy,
}

/// The kinds of entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Policy {
    /// Requests to the runners of a service.
    Requests(RequestPolicy),
    /// Tasks of jobs on workers.
    Tasks(TaskPolicy),
}

/// Relative urgency of requests and tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Urgency {
    /// A user waits for the result.
    Interactive,
    /// Must be done by a deadline.
    Deadline,
    /// Runs when nothing more urgent needs the resources.
    BestEffort,
}

/// Limits of an entry for requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestPolicy {
    /// Service whose runners run the requests.
    pub service: ids::ServiceName,
    /// Urgency.
    pub urgency: Urgency,
    /// Time a caller waits if its request does not give one. Default 30,000.
    #[serde(default = "default_budget_ms")]
    pub budget_ms: u64,
    /// Longest time a runner may spend on one request. Default 30,000.
    #[serde(default = "default_budget_ms")]
    pub max_run_ms: u64,
    /// Largest request body. Default 1 MiB.
    #[serde(default = "default_body_bytes")]
    pub max_body_bytes: u64,
    /// Most requests queued at one entry instance. Default 200.
    #[serde(default = "default_queue_len")]
    pub max_queue_len: u32,
    /// Attempts of one request, the first included. Default 3.
    #[serde(default = "default_attempts")]
    pub max_attempts: u32,
}

/// How the tasks of a job run in relation to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobClass {
    /// All tasks are kept running, spread over failure domains.
    Service,
    /// Every task runs to completion independently.
    Batch,
    /// All tasks run at once or none does.
    Gang,
}

/// Limits of an entry for jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskPolicy {
    /// How the tasks run in relation to each other.
    pub class: JobClass,
    /// Urgency.
    pub urgency: Urgency,
    /// Most tasks in one job. Default 1,000.
    #[serde(default = "default_max_tasks")]
    pub max_tasks: u32,
    /// Resources of the largest task. Default: those of the largest worker.
    #[serde(default)]
    pub max_task: Option<sizes::Resources>,
    /// Longest run of a task. Default 24 hours.
    #[serde(default = "default_task_run_ms")]
    pub max_run_ms: u64,
    /// Attempts of one task, the first included. Default 3.
    #[serde(default = "default_attempts")]
    pub max_attempts: u32,
    /// Whether tasks may be stopped for more urgent ones. Default false.
    #[serde(default)]
    pub preemptible: bool,
}

/// Weights of the placement criteria, each from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Weight of short waits: keep capacity free for urgent work. Default 0.5.
    pub waiting: f64,
    /// Weight of packing instances densely. Default 0.5.
    pub packing: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            waiting: 0.5,
            packing: 0.5,
        }
    }
}

/// Longest run of a task where an entry sets none: 24 hours.
pub const DEFAULT_TASK_RUN_MS: u64 = 24 * 60 * 60 * 1_000;

/// Key of the store that holds the [`Document`].
pub const KEY: &str = "catalogue";

/// The stored document: the accepted catalogue and the history of its changes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// The catalogue that entry instances put in force.
    pub accepted: Accepted,
    /// Changes, oldest first; the last one made `accepted`. Limited in number and
    /// bytes.
    pub history: Vec<Record>,
}

/// One change in the stored document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Author, time and reason of the change.
    pub line: operator::HistoryLine,
    /// The resulting catalogue; `None` for the newest change, whose catalogue is in
    /// [`Document::accepted`], and for changes past the retention limits.
    pub catalogue: Option<Catalogue>,
}

/// A catalogue that was accepted.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Accepted {
    /// Its revision; the first is 1, and 0 means no catalogue.
    pub revision: ids::Revision,
    /// The change that made it.
    pub change: Option<ids::ChangeId>,
    /// The catalogue.
    pub catalogue: Catalogue,
}

fn one() -> u32 {
    1
}

fn default_budget_ms() -> u64 {
    30_000
}

fn default_body_bytes() -> u64 {
    sizes::MIB
}

fn default_queue_len() -> u32 {
    200
}

fn default_attempts() -> u32 {
    3
}

fn default_max_tasks() -> u32 {
    1_000
}

fn default_task_run_ms() -> u64 {
    DEFAULT_TASK_RUN_MS
}
