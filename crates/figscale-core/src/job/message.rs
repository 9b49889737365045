//! What homes and placers say to each other.
//!
//! Every message may be lost, repeated or late. Tasks are named with their
//! attempt and every message with the epoch of the job shard's holder, so that
//! a repeat is recognized and an earlier home is refused.

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

/// What bounds a call that has tasks placed, however late it arrives.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Scope {
    /// Number of the call; one that an inventory has overtaken is refused.
    pub call: u64,
    /// Whether the same orders were sent before: they are looked up, not placed.
    pub repeat: bool,
    /// Worker shards, with the epochs under which the home takes the placer to
    /// hold them; others are not used.
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

/// What a placer has to know of a task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskOrder {
    /// The attempt.
    pub attempt: Attempt,
    /// Owner charged for it.
    pub owner: ids::OwnerName,
    /// Catalogue entry.
    pub entry: ids::EntryName,
    /// How the tasks of the job belong together.
    pub class: catalogue::JobClass,
    /// Urgency.
    pub urgency: catalogue::Urgency,
    /// Room to reserve.
    pub resources: sizes::Resources,
    /// Declared run time.
    pub run_ms: u64,
    /// Longest run.
    pub max_run_ms: u64,
    /// Opaque to figscale.
    pub command: String,
    /// Whether to go on from a checkpoint.
    pub resume: bool,
    /// Whether the task may run again after an unknown end.
    pub idempotent: bool,
    /// Whether it can save its state.
    pub checkpointable: bool,
    /// Whether it may be stopped for more urgent work.
    pub preemptible: bool,
    /// Whether to reserve only, and start when told to by [`Question::Go`].
    pub hold: bool,
    /// Workers that failed this task and are better left out.
    pub avoid: Vec<ids::InstanceId>,
}

/// What became of one order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderAnswer {
    /// Room is reserved; unless held, the start is on its way.
    Placed(Place),
    /// No worker of this placer has room now.
    NoRoom,
    /// Nothing was done: its owner's quota is used up.
    OverQuota,
    /// Nothing was done: the home's epoch is not the highest seen.
    StaleHome,
    /// Nothing was done: an older attempt of the task has not ended here.
    Busy,
    /// The order, a repeat, is not known here; it may have been before.
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

/// What became of a held reservation that was told to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GoAnswer {
    /// The start is on its way, or was already.
    Going,
    /// The reservation is gone; nothing of this attempt was or will be started.
    NotStarted,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum End {
    /// It ended well.
    Done,
    /// It ended badly.
    Failed,
    /// It was stopped by an action.
    Stopped,
    /// It saved its state and stopped.
    Checkpointed,
    /// It ran, and was stopped by its worker when its lease lapsed.
    Lapsed,
    /// It never began.
    NotStarted,
    /// It cannot be running any more; how far it came is unknown.
    Lost,
}

/// State of an attempt at a placer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// Room is reserved, nothing was sent.
    Held,
    /// The start was sent; whether it runs is not known.
    Starting,
    /// It runs.
    Running,
    /// It ended.
    Ended(End),
}

/// News of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskEvent {
    /// The attempt.
    pub attempt: Attempt,
    /// Where.
    pub place: Place,
    /// State.
    pub state: TaskState,
}

/// What a placer holds of a home's tasks on one worker shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardInventory {
    /// Worker shard.
    pub shard: ids::ShardId,
    /// Epoch under which the placer holds it.
    pub epoch: ids::Epoch,
    /// Whether no task of the home can run on the shard without being listed.
    pub complete: bool,
    /// The home's attempts there, ended ones not yet acknowledged included.
    pub tasks: Vec<TaskEvent>,
}

/// Free room of a placer, pushed to homes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Largest free room of any one worker, by dimension.
    pub largest_free: sizes::Resources,
    /// Free room of all workers together.
    pub free: sizes::Resources,
    /// Workers in use.
    pub workers: u32,
}

/// A call from a home to a placer, or back.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Question {
    /// Home to placer: place these tasks.
    Place(HomeKey, Scope, Vec<TaskOrder>),
    /// Home to placer: start these held tasks.
    Go(HomeKey, Vec<Attempt>),
    /// Home to placer: these are to end; reservations are given back.
    Stop(HomeKey, Vec<ids::TaskId>),
    /// Home to placer: what do you hold of mine? With the number of the call.
    Inventory(HomeKey, u64),
    /// Home to placer: these ends are dealt with.
    Acknowledge(HomeKey, Vec<Attempt>),
    /// Home to placer: what tasks are that the placer took over.
    Describe(HomeKey, Vec<TaskOrder>),
    /// Placer to home: news.
    Tell(ids::ShardId, Vec<TaskEvent>),
}

/// The answer to a [`Question`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// To [`Question::Place`], in its order, with the placer's free room.
    Place(Vec<OrderAnswer>, Summary),
    /// To [`Question::Go`], in its order.
    Go(Vec<GoAnswer>),
    /// To [`Question::Inventory`].
    Inventory(Vec<ShardInventory>),
    /// Taken note of.
    Noted,
    /// The home that asked is not the latest.
    StaleHome,
    /// Not held here.
    NotHere,
}
