//! Maps and sets keyed by worker.
//!
//! A placement pass looks up workers thousands of times. Worker ids come from
//! the platform and not from callers, so these tables use a fast hash function
//! that does not protect against deliberate collisions.

use figscale_types::fleet;
use indexmap::IndexMap;
use indexmap::IndexSet;
use rustc_hash::FxBuildHasher;

pub(crate) type WorkerMap<T> = IndexMap<fleet::WorkerId, T, FxBuildHasher>;
pub(crate) type WorkerSet = IndexSet<fleet::WorkerId, FxBuildHasher>;
