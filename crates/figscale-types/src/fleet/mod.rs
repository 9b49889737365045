//! What the scheduler of a fleet of workers and its adapters say to each other.
//!
//! A fleet is the set of workers that somebody else's platform runs. The types
//! here are the ports of that platform: the adapter translates its messages to
//! them, and the scheduler knows nothing else. All have plain fields and no
//! behaviour beyond arithmetic and parsing.

mod customer;
mod ids;
mod job;
mod queue;
mod view;
mod worker;

pub use customer::CustomerName;
pub use customer::CustomerTerms;
pub use customer::Customers;
pub use customer::KeyDigest;
pub use ids::Epoch;
pub use ids::JobId;
pub use ids::TaskId;
pub use ids::WorkerId;
pub use job::JobDescription;
pub use job::JobState;
pub use job::Room;
pub use job::StepDescription;
pub use queue::AdvicePolicy;
pub use queue::Queue;
pub use queue::QueueTable;
pub use queue::Service;
pub use view::JobView;
pub use view::TaskProgress;
pub use view::TaskView;
pub use worker::End;
pub use worker::FinishedRun;
pub use worker::RunningTask;
pub use worker::StartOrder;
pub use worker::StartOutcome;
pub use worker::StartRefusal;
pub use worker::Ticket;
pub use worker::WorkerEntry;
pub use worker::WorkerReport;
