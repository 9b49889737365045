//! Messages between homes and placers.
//!
//! Every message may be lost, repeated or late. A task is identified together
//! with its attempt, so that a repeat is recognized, and the messages of a home
//! carry the epoch of its job shard, so that an earlier home is refused.

use figscale_types::catalogue;
use figscale_types::ids;
use figscale_types::sizes;
use serde::Deserialize;
use serde::Serialize;

/// A home: a job shard and the epoch under which it is held.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HomeKey {
    /// The job shard.
    pub shard: ids::ShardId,
    /// Epoch of its holder.
    pub epoch: ids::Epoch,
}

/// Limits on the effect of a call to place tasks, however late it arrives.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Scope {
    /// Number of the call; refused if a later inventory call has arrived first.
    pub call: u64,
    /// Whether the same orders were sent before: they are only looked up, not placed.
    pub repeat: bool,
    /// Worker shards that may be used, with the epochs under which the home
    /// believes the placer to hold them.
    pub shards: Vec<(ids::ShardId, ids::Epoch)>,
}

/// A task and its attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Attempt {
    /// The task.
    pub task: ids::TaskId,
    /// Attempt, from 1.
    pub number: u32,
}

/// A task to place, with all that its placer needs to know of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskOrder {
    /// The attempt.
    pub attempt: Attempt,
    /// Owner charged for it.
    pub owner: ids::OwnerName,
    /// Catalogue entry.
    pub entry: ids::EntryName,
    /// Whether the tasks of the job are independent, a gang or a service.
    pub class: catalogue::JobClass,
    /// Urgency.
    pub urgency: catalogue::Urgency,
    /// Resources to reserve.
    pub resources: sizes::Resources,
    /// Declared run time.
    pub run_ms: u64,
    /// Longest permitted run time.
    pub max_run_ms: u64,
    /// Opaque to figscale.
    pub command: String,
    /// Whether to resume from a checkpoint.
    pub resume: bool,
    /// Whether the task may run again when it is unknown how the last run ended.
    pub idempotent: bool,
    /// Whether it can save its state.
    pub checkpointable: bool,
    /// Whether it may be stopped for more urgent work.
    pub preemptible: bool,
    /// Whether to only reserve resources; the start then follows on [`Question::Go`].
    pub hold: bool,
    /// Workers on which this task failed; used only if no other has capacity.
    pub avoid: Vec<ids::InstanceId>,
}

/// The result of one order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderAnswer {
    /// Resources are reserved; unless the order is held, the start is in flight.
    Placed(Place),
    /// No worker of this placer has free capacity for it now.
    NoRoom,
    /// Nothing was done: its owner's quota is used up.
    OverQuota,
    /// Nothing was done: the home's epoch is not the highest seen.
    StaleHome,
    /// Nothing was done: an attempt of the task is active here, or one as recent is known.
    Busy,
    /// The order is a repeat and not known here; it may have been known earlier.
    NotKnown,
}

/// Where a task is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// Worker shard.
    pub shard: ids::ShardId,
    /// Worker.
    pub worker: ids::InstanceId,
}

/// The result of starting a held reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GoAnswer {
    /// The start is in flight, or was sent before.
    Going,
    /// The reservation is gone; nothing of this attempt was or will be started.
    NotStarted,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum End {
    /// It succeeded.
    Done,
    /// It failed.
    Failed,
    /// It was stopped by an action.
    Stopped,
    /// It saved its state and stopped.
    Checkpointed,
    /// It ran, and was stopped by its worker when its lease lapsed.
    Lapsed,
    /// It was never started.
    NotStarted,
    /// It is no longer running; how far it progressed is unknown.
    Lost,
}

/// State of an attempt at a placer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// Resources are reserved, no start was sent.
    Held,
    /// The start was sent; whether the task runs is not known.
    Starting,
    /// It runs.
    Running,
    /// It ended.
    Ended(End),
}

/// Status update of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskEvent {
    /// The attempt.
    pub attempt: Attempt,
    /// Where it was placed.
    pub place: Place,
    /// State.
    pub state: TaskState,
}

/// The tasks of a home that a placer has on one worker shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardInventory {
    /// Worker shard.
    pub shard: ids::ShardId,
    /// Epoch under which the placer holds it.
    pub epoch: ids::Epoch,
    /// Whether every task of the home that can run on the shard is listed.
    pub complete: bool,
    /// The home's attempts there, ended ones not yet acknowledged included.
    pub tasks: Vec<TaskEvent>,
}

/// Free resources of a placer, pushed to homes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Largest free amount on any one worker, by dimension.
    pub largest_free: sizes::Resources,
    /// Sum of the free resources of all workers.
    pub free: sizes::Resources,
    /// Number of workers that take new tasks.
    pub workers: u32,
}

/// A call from a home to a placer, or back.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Question {
    /// Home to placer: place these tasks.
    Place(HomeKey, Scope, Vec<TaskOrder>),
    /// Home to placer: start these held tasks.
    Go(HomeKey, Vec<Attempt>),
    /// Home to placer: end these tasks and release their reservations.
    Stop(HomeKey, Vec<ids::TaskId>),
    /// Home to placer: list the tasks of this home. With the number of the call.
    Inventory(HomeKey, u64),
    /// Home to placer: the ends of these attempts are processed.
    Acknowledge(HomeKey, Vec<Attempt>),
    /// Home to placer: descriptions of tasks that the placer found running.
    Describe(HomeKey, Vec<TaskOrder>),
    /// Placer to home: status updates.
    Tell(ids::ShardId, Vec<TaskEvent>),
}

/// The answer to a [`Question`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// To [`Question::Place`], in the order of its tasks, with the placer's free resources.
    Place(Vec<OrderAnswer>, Summary),
    /// To [`Question::Go`], in the order of its attempts.
    Go(Vec<GoAnswer>),
    /// To [`Question::Inventory`].
    Inventory(Vec<ShardInventory>),
    /// Received and applied.
    Noted,
    /// The calling home has a stale epoch.
    StaleHome,
    /// The shard is not held here, or the call is not one for this role.
    NotHere,
}
