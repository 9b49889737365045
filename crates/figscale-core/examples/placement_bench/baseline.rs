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
        request: &placement::PlacementRequest,
        now: time::Instant,
        rng: &mut StdRng,
    ) -> Option<ids::InstanceId> {
        let fits = |w: &&placement::Worker| w.admits(request) && w.free().holds(&request.size);
        let id = match self {
            Self::Scored => return cluster.place(request, now, None).ok(),
            Self::FirstFit => cluster.workers().find(fits)?.id().clone(),
            Self::Random => {
                let fitting: Vec<_> = cluster.workers().filter(fits).collect();
                if fitting.is_empty() {
                    return None;
                }
                fitting[rng.random_range(0..fitting.len())].id().clone()
            }
        };
        cluster.reserve(request.clone(), &id, now, None).ok()?;
        Some(id)
    }
}
