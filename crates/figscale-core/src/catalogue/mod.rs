//! Which catalogue is accepted and in force.
//!
//! The store keeps one [`Document`]: the accepted catalogue and a bounded
//! history of the changes that led to it. The revision in it is the
//! catalogue's own counter (1, 2, 3, ...), not the store's, so that it means
//! the same after the store was moved or restored.
//!
//! - [`check()`] and [`diff()`] tell operators what is wrong and what changes.
//! - [`mod@apply`] decides about one change: a state machine that asks its adapter
//!   to read and write until the change is known to be accepted or refused.
//! - [`book`] is what one entry instance knows: it adopts only higher
//!   revisions, whoever brings them.
//! - [`history`] merges, looks up and trims documents.
//!
//! The trade: one document means that every change rewrites the whole value
//! and that two changes never go through at once, even to unrelated entries.
//! In exchange a change is one compare-and-swap, and no reader can see half of
//! it.
//!
//! [`Document`]: figscale_types::catalogue::Document

pub mod apply;
pub mod book;
pub mod check;
pub mod diff;
pub mod history;

pub use check::check;
pub use diff::diff;
