//! Placement: decides on which worker each task runs.
//!
//! A [`Cluster`] is what one entry instance knows of the workers whose shards it
//! holds. An entry instance that holds a shard is the only one that allocates
//! resources on the shard's workers. Allocation is therefore decided in the memory
//! of one process, without a store write per placement, and what is allocated never
//! exceeds a worker's capacity. [`Cluster::place`] filters the workers, scores those
//! that fit the task and allocates resources on the best. A [`Queue`] holds the
//! waiting work, and [`Queue::pass`] places what fits in the order of urgency,
//! deadlines and fair [`Shares`].
//!
//! The other modules do not depend on each other or on how their inputs are
//! transported: inputs are plain structs, the time is a parameter, and random
//! numbers come from a seeded generator that the caller owns.
//!
//! Limitation: the part of the cell that other entry instances hold is known only
//! through summaries that are about a second old. A quota over the whole cell can
//! therefore be exceeded by what is placed within that second.

mod cluster;
mod config;
pub mod fault;
pub mod feasibility;
pub mod gang;
pub mod learn;
mod offer;
mod pass;
mod pass_order;
mod place;
mod placer_reservation;
pub mod preempt;
mod queue;
mod reservation;
mod shares;
pub mod summary;
mod sync;
mod unplaceable;
mod work;
mod worker;

pub use cluster::Cluster;
pub use cluster::ReserveError;
pub use config::Config;
pub use offer::Offer;
pub use pass::PassInput;
pub use pass::PassOutcome;
pub use pass::Placement;
pub use place::PlacementError;
pub use queue::Level;
pub use queue::Pending;
pub use queue::Queue;
pub use queue::QueueConfig;
pub use queue::Work;
pub use shares::Shares;
pub use shares::UsageByOwner;
pub use sync::SyncOutcome;
pub use work::Allocation;
pub use work::Interruptibility;
pub use work::PlacementRequest;
pub use work::RoundNumber;
pub use worker::EjectionState;
pub use worker::Readiness;
pub use worker::Worker;
