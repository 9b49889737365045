//! Placement: where tasks run.

mod feasible;
mod kit;
mod order;
mod room;
