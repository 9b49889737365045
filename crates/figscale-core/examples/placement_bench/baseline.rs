//! Baseline methods for choosing a worker.

use std::time;

use figscale_core::job::placement;
use figscale_types::ids;
use rand::RngExt as _;
use rand::rngs::StdRng;

/// How a worker is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Choice {
    /// By score, as figscale does.
    Scored,
    /// The first worker on which the task fits.
    FirstFit,
    /// A random worker among those on which the task fits.
    Random,
}

impl Choice {
    pub(crate) fn place(
        self,
        cluster: &mut placement::Cluster,
        ask: &placement::Ask,
        now: time::Instant,
        rng: &mut StdRng,
    ) -> Option<ids::InstanceId> {
        let fits = |w: &&placement::Worker| w.admits(ask) && w.free().holds(&ask.size);
        let id = match self {
            Self::Scored => return cluster.place(ask, now, None).ok(),
            Self::FirstFit => cluster.workers().find(fits)?.id().clone(),
            Self::Random => {
                let fitting: Vec<_> = cluster.workers().filter(fits).collect();
                if fitting.is_empty() {
                    return None;
                }
                fitting[rng.random_range(0..fitting.len())].id().clone()
            }
        };
        cluster.reserve(ask.clone(), &id, now, None).ok()?;
        Some(id)
    }
}
