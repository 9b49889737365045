//! Ways of choosing a worker to compare with.

use std::time;

use figscale_core::job::placement;
use figscale_types::ids;
use rand::RngExt as _;
use rand::rngs::StdRng;

/// How a worker is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Choice {
    /// As the product does.
    Scored,
    /// The first that fits.
    FirstFit,
    /// One drawn by chance among those that fit.
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
                let roomy: Vec<_> = cluster.workers().filter(fits).collect();
                if roomy.is_empty() {
                    return None;
                }
                roomy[rng.random_range(0..roomy.len())].id().clone()
            }
        };
        cluster.reserve(ask.clone(), &id, now, None).ok()?;
        Some(id)
    }
}
