//! Placement of tasks and the life cycle of jobs.
//!
//! Two roles share the work. The *home* of a job stores the job and queues its
//! tasks. The *placer* holds worker shards, commits placements in memory and
//! renews the leases of the tasks on its workers. Both are state machines
//! without input or output: they take messages and the current time, and return
//! actions for an adapter to perform. [`message`] defines the messages between
//! them.

pub mod home;
pub mod message;
pub mod placement;
pub mod placer;
