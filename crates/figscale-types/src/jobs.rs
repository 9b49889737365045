//! Jobs and their tasks, as submitted, as kept in the store and as reported.

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
    #[serde(default = "one")]
    pub tasks: u32,
    /// Size of each task.
    pub task: sizes::Resources,
    /// Declared run time of a task. Default 60,000.
    #[serde(default = "default_run_ms")]
    pub run_ms: u64,
    /// Time from acceptance by which it must be done. Default: none.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// Whether a task may run again after an unknown end. Default false.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether a task can save its state and go on elsewhere. Default false.
    #[serde(default)]
    pub checkpointable: bool,
    /// What the worker is to run; opaque here.
    #[serde(default)]
    pub command: String,
}

fn one() -> u32 {
    1
}

fn default_run_ms() -> u64 {
    60_000
}

/// State of a job or of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobState {
    /// Accepted and waiting.
    Queued,
    /// At least one task runs.
    Running,
    /// Ended well.
    Done,
    /// Ended badly; the reason tells.
    Failed,
    /// Ended by its owner's wish.
    Cancelled,
    /// A task started and its end is unknown; it is not run again.
    MayHaveRun,
}

impl JobState {
    /// Whether the state is final.
    pub fn is_final(self) -> bool {
        !matches!(self, Self::Queued | Self::Running)
    }
}

/// What the store keeps of a task; absent while nothing needs keeping.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// Attempts known to have begun.
    pub attempts: u32,
    /// A start mark: a non-idempotent task may have begun.
    pub started: bool,
    /// The final state.
    pub ended: Option<JobState>,
    /// Whether it goes on from a checkpoint.
    #[serde(default)]
    pub checkpointed: bool,
}

/// What the store keeps of a job.
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
    /// Tasks of which something must be kept.
    pub tasks: IndexMap<u32, TaskRecord>,
    /// Wall-clock time of the end, milliseconds since 1970; 0 before.
    #[serde(default)]
    pub ended_unix_ms: u64,
    /// What its catalogue entry allowed when it was accepted.
    #[serde(default)]
    pub terms: JobTerms,
}

/// What a catalogue entry allows a job, kept as it was at acceptance.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobTerms {
    /// How the tasks belong together.
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
    /// Number of the write, by which its writer knows it again after a lost answer.
    #[serde(default)]
    pub sequence: u64,
    /// After a hand-over in order, the only tasks that may have a place; `None`
    /// while the holder may place others.
    #[serde(default)]
    pub placed: Option<Vec<ids::TaskId>>,
    /// Jobs by id.
    pub jobs: IndexMap<ids::JobId, JobRecord>,
}

/// The job shard that keeps a job.
pub fn shard_of(job: &ids::JobId) -> Option<ids::ShardId> {
    let hash = hash::fnv1a(job.as_str().bytes());
    // The low bits of short names differ little; the high ones are mixed in.
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
    /// Where it runs or ran last.
    pub worker: Option<ids::InstanceId>,
    /// Attempts begun.
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
    /// Whether it ran.
    pub verdict: verdict::Verdict,
    /// Why it failed or still waits.
    pub reason: Option<String>,
    /// Tasks; empty in a listing.
    pub tasks: Vec<TaskStatus>,
}
