//! The catalogue: validation, changes, and which revision is in force.
//!
//! The store holds one [`Document`]: the accepted catalogue and a bounded
//! history of the changes that led to it. The revision in it is the
//! catalogue's own counter (1, 2, 3, ...), not the store's, so that it keeps
//! its meaning after the store is moved or restored.
//!
//! - [`check()`] and [`diff()`] report to operators what is wrong with a
//!   catalogue and what a change alters.
//! - [`mod@apply`] decides one change: a state machine that has its adapter read
//!   and write until the change is known to be accepted or rejected.
//! - [`local_catalogue`] holds what one entry instance knows: it adopts only higher
//!   revisions, whatever their source.
//! - [`history`] merges, looks up and trims documents.
//!
//! The trade-off: with a single document, every change rewrites the whole
//! value, and two changes never succeed concurrently, even if they concern
//! unrelated entries. In return a change is one compare-and-swap, and no reader
//! can see a partial change.
//!
//! [`Document`]: figscale_types::catalogue::Document

pub mod apply;
pub mod check;
pub mod diff;
pub mod history;
pub mod local_catalogue;

pub use check::check;
pub use diff::diff;
