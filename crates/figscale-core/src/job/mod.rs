//! Placement of tasks and the life of jobs.

pub mod placement;
