//! Tests of placement: on which workers tasks run.

mod allocations;
mod faults;
mod feasibility;
mod gangs;
mod helpers;
mod learning;
mod order;
mod preemption;
mod summaries;
