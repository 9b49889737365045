//! Admission, queueing, slot choice, retry and the memory of request ids.
//!
//! A request is admitted by the entry instance that received it ([`admission`])
//! and needs one slot of one runner. Slots are handed out by the holder of the
//! runner's shard alone ([`dispatcher`]), from a table in its memory ([`slots`]),
//! to requests that wait in a fair queue ([`queue`]). An entry instance without
//! a free slot of its own picks another holder by the counts that holders tell
//! each other ([`board`]). What may be tried again is decided by [`retry`], and
//! what must not run twice is remembered by [`once`].
//!
//! The queue is at the holder, yet what waits there is only a request's head:
//! its body follows once a slot is granted. So a holder that dies takes nothing
//! with it but a place in a queue, and the request is known not to have run.

pub mod admission;
pub mod board;
pub mod dispatcher;
pub mod once;
pub mod outlier;
pub mod queue;
pub mod retry;
pub mod service_time;
pub mod slots;
