//! Tables by worker.
//!
//! A pass of placement looks workers up thousands of times, and their ids come
//! from the platform and not from callers, so these tables hash quickly and not
//! against collisions that somebody makes on purpose.

use figscale_types::fleet;
use indexmap::IndexMap;
use indexmap::IndexSet;
use rustc_hash::FxBuildHasher;

/// A table by worker.
pub(crate) type WorkerMap<T> = IndexMap<fleet::WorkerId, T, FxBuildHasher>;
/// A set of workers.
pub(crate) type WorkerSet = IndexSet<fleet::WorkerId, FxBuildHasher>;
