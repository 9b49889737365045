//! Placement: where tasks run.

mod faults;
mod feasible;
mod gangs;
mod kit;
mod learning;
mod order;
mod preemption;
mod room;
mod summaries;
