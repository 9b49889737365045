//! Where tasks run: the decisions of placement.
//!
//! A [`Cluster`] is what one entry instance knows of the workers whose shards
//! it holds. It is the only place where their room is given away, so the sum
//! of what was given never exceeds what a worker holds: that is decided in one
//! memory, without a store write per placement. [`Cluster::place`] filters the
//! workers, scores those that fit and commits the best. A [`Queue`] holds the
//! work that waits, and [`Queue::pass`] places what fits in the order of
//! urgency, deadlines and fair [`Shares`].
//!
//! The other modules are independent of each other and of how their inputs
//! travel: everything is a plain struct, time is passed in, and chance comes
//! from a seeded generator that the caller owns.
//!
//! What this trades away: the part of the cell that other entry instances hold
//! is seen only through summaries about a second old, so a quota of the whole
//! cell may be passed by what is placed within that second.

mod cluster;
mod config;
pub mod fault;
pub mod feasibility;
pub mod gang;
mod kept;
pub mod learn;
mod line;
mod no_room;
mod offer;
mod pass;
mod place;
pub mod preempt;
mod promise;
mod queue;
mod shares;
pub mod summary;
mod sync;
mod work;
mod worker;

pub use cluster::Cluster;
pub use cluster::ReserveError;
pub use config::Config;
pub use offer::Offer;
pub use pass::PassInput;
pub use pass::PassOutcome;
pub use pass::Placement;
pub use place::NoPlace;
pub use queue::Level;
pub use queue::Pending;
pub use queue::Queue;
pub use queue::QueueConfig;
pub use queue::Work;
pub use shares::Shares;
pub use shares::UsageByOwner;
pub use sync::SyncOutcome;
pub use work::Ask;
pub use work::Guard;
pub use work::Holding;
pub use work::TryNumber;
pub use worker::Readiness;
pub use worker::Standing;
pub use worker::Worker;
