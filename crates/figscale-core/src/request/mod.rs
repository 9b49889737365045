//! Admission, queueing, slot selection, retries and deduplication of requests.
//!
//! A request is admitted by the entry instance that received it ([`admission`])
//! and needs one slot of one runner. Runners are grouped in shards, and only the
//! holder of a shard (the entry instance that currently owns it) grants the slots
//! of its runners ([`dispatcher`]). It does so from an in-memory table ([`slots`])
//! to requests that wait in a fair queue ([`queue`]). An entry instance that has
//! no free slot of its own chooses another holder by the slot counts that holders
//! send each other ([`usage_table`]). [`retry`] decides which failed attempts may be
//! retried, and [`dedup`] deduplicates the ids of requests that must run at most
//! once.
//!
//! The queue is at the holder, but only the head of a request waits there: its
//! body is sent once a slot is granted. If a holder dies, a waiting request
//! therefore loses only its position in a queue and is known not to have run.

pub mod admission;
pub mod dedup;
pub mod dispatcher;
pub mod outlier;
pub mod queue;
pub mod retry;
pub mod service_time;
pub mod slots;
pub mod usage_table;
