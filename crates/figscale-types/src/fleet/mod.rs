//! Types that the scheduler of a fleet of workers exchanges with its adapters.
//!
//! A fleet is a set of workers run by an external platform. An adapter
//! translates the messages of that platform to the types here, and the scheduler
//! depends on these types only. They have plain fields and no behaviour beyond
//! arithmetic, look-ups and parsing.

mod customer;
mod ids;
mod job;
mod queue;
mod slowdown;
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
pub use job::MAX_STEPS;
pub use job::Room;
pub use job::StepDescription;
pub use queue::AdvicePolicy;
pub use queue::Queue;
pub use queue::QueueTable;
pub use queue::Service;
pub use slowdown::Slowdown;
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
