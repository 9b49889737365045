//! Jobs and their tasks: as submitted, as stored and as reported.

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::catalogue;
use crate::claims;
use crate::hash;
use crate::ids;
use crate::sizes;
use crate::verdict;

/// A job as its owner submits it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Catalogue entry that it runs under.
    pub entry: ids::EntryName,
    /// Owner charged for it.
    pub owner: ids::OwnerName,
    /// Number of tasks. Default 1.
    #[serde(default = "default_tasks")]
    pub tasks: u32,
    /// Size of each task.
    pub task: sizes::Resources,
    /// Declared run time of a task. Default 60,000.
    #[serde(default = "default_run_ms")]
    pub run_ms: u64,
    /// Time from acceptance by which it must be done. Default: none.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// Whether a task may run again if the outcome of a run is unknown. Default
    /// false.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether a task can save its state and resume on another worker. Default
    /// false.
    #[serde(default)]
    pub checkpointable: bool,
    /// What the worker runs; opaque to the scheduler.
    #[serde(default)]
    pub command: String,
}

fn default_tasks() -> u32 {
    1
}

fn default_run_ms() -> u64 {
    60_000
}

/// State of a job or of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobState {
    /// Accepted; no task runs.
    Queued,
    /// At least one task runs.
    Running,
    /// Ended successfully.
    Done,
    /// Failed; the reason is reported with it.
    Failed,
    /// Cancelled by its owner.
    Cancelled,
    /// A task started and its outcome is unknown; it is not run again.
    MayHaveRun,
}

impl JobState {
    /// Whether the state is final.
    pub fn is_final(self) -> bool {
        !matches!(self, Self::Queued | Self::Running)
    }
}

/// Stored state of a task; absent while there is nothing to store.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// Attempts known to have started.
    pub attempts: u32,
    /// Start mark: a non-idempotent task may have started.
    pub started: bool,
    /// The final state.
    pub ended: Option<JobState>,
    /// Whether it resumes from a checkpoint.
    #[serde(default)]
    pub checkpointed: bool,
}

/// Stored state of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// As submitted.
    pub spec: JobSpec,
    /// Wall-clock time of acceptance, milliseconds since 1970.
    pub accepted_unix_ms: u64,
    /// Whether the owner asked to cancel it.
    pub cancelled: bool,
    /// Reason of a failure.
    pub reason: Option<String>,
    /// The final state.
    pub ended: Option<JobState>,
    /// Tasks with stored state, by index.
    pub tasks: IndexMap<u32, TaskRecord>,
    /// Wall-clock time of the end, milliseconds since 1970; 0 before.
    #[serde(default)]
    pub ended_unix_ms: u64,
    /// Limits of its catalogue entry when it was accepted.
    #[serde(default)]
    pub terms: JobTerms,
}

/// Limits of a catalogue entry that apply to a job, as they were at its acceptance.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobTerms {
    /// How the tasks run in relation to each other.
    pub class: catalogue::JobClass,
    /// Urgency.
    pub urgency: catalogue::Urgency,
    /// Longest run of a task.
    pub max_run_ms: u64,
    /// Attempts of one task, the first included.
    pub max_attempts: u32,
    /// Whether tasks may be stopped for more urgent ones.
    pub preemptible: bool,
}

impl Default for JobTerms {
    fn default() -> Self {
        Self {
            class: catalogue::JobClass::Batch,
            urgency: catalogue::Urgency::BestEffort,
            max_run_ms: 24 * 60 * 60 * 1_000,
            max_attempts: 3,
            preemptible: false,
        }
    }
}

impl From<&catalogue::TaskPolicy> for JobTerms {
    fn from(policy: &catalogue::TaskPolicy) -> Self {
        Self {
            class: policy.class,
            urgency: policy.urgency,
            max_run_ms: policy.max_run_ms,
            max_attempts: policy.max_attempts,
            preemptible: policy.preemptible,
        }
    }
}

/// The document of a job shard.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobDocument {
    /// Epoch of the holder that wrote it.
    pub epoch: ids::Epoch,
    /// Number of the write, by which its writer recognizes it after a lost response.
    #[serde(default)]
    pub sequence: u64,
    /// After an orderly hand-over, the only tasks that may be placed on a worker;
    /// `None` while the holder may place others.
    #[serde(default)]
    pub placed: Option<Vec<ids::TaskId>>,
    /// Jobs by id.
    pub jobs: IndexMap<ids::JobId, JobRecord>,
}

/// The shard that is the home of a job.
pub fn shard_of(job: &ids::JobId) -> Option<ids::ShardId> {
    let hash = hash::fnv1a(job.as_str().bytes());
    // The low bits of short names differ little, so the high bits are mixed in.
    let number = (hash ^ (hash >> 32)) % u64::from(claims::JOB_SHARDS);
    claims::job_shard(u32::try_from(number).unwrap_or(0))
}

/// Key of the store that holds the document of a job shard.
pub fn document_key(shard: &ids::ShardId) -> String {
    shard.as_str().replacen("job/", "jobs/", 1)
}

/// A task as `job status` shows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// Position within the job.
    pub index: u32,
    /// State.
    pub state: JobState,
    /// Worker that it runs on or ran on last.
    pub worker: Option<ids::InstanceId>,
    /// Attempts started.
    pub attempts: u32,
}

/// A job as `job status` shows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobStatus {
    /// Id.
    pub id: ids::JobId,
    /// Owner.
    pub owner: ids::OwnerName,
    /// Catalogue entry.
    pub entry: ids::EntryName,
    /// State.
    pub state: JobState,
    /// Whether the job ran.
    pub verdict: verdict::Verdict,
    /// Why it failed or is still queued.
    pub reason: Option<String>,
    /// Tasks; empty in a listing.
    pub tasks: Vec<TaskStatus>,
}
