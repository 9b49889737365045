//! Placement: where tasks run.

mod kit;
mod room;
