//! Tests of placement: on which workers tasks run.

mod faults;
mod feasible;
mod gangs;
mod kit;
mod learning;
mod order;
mod preemption;
mod room;
mod summaries;
