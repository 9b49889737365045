//! Placement of tasks and the life of jobs.
//!
//! Two roles share the work. The *home* of a job keeps it in the store and
//! queues its tasks; the *placer* holds workers, commits placements in its
//! memory and keeps the tasks' leases. Both are pure: they are given messages
//! and the time, and return actions. [`message`] has what they say to each
//! other.

pub mod home;
pub mod message;
pub mod placement;
pub mod placer;
