//! Tasks that save their progress and fill the fleet, and gangs of a queue of lower
//! number that would be late behind them.

use std::time;

use figscale_core::fleet::PreemptionCosts;
use figscale_types::fleet;

use super::Simulation;
use crate::helpers;

pub(super) const COSTS: PreemptionCosts = PreemptionCosts {
    checkpoint_interval: time::Duration::from_millis(500),
    restore: time::Duration::from_millis(250),
};

impl Simulation {
    /// The next job; two of its tasks fill a worker. They end sooner than estimated.
    pub(super) fn preemption_job(&mut self) -> fleet::JobDescription {
        let number = self.jobs.len() as u64 + 1;
        let step = match self.queue_of(number).priority {
            0 => helpers::with_estimate(helpers::gang(2, 4), 3_000),
            _ => fleet::StepDescription {
                saves_progress: true,
                ..helpers::with_estimate(helpers::step(6 + self.random(6) as u32, 4), 10_000)
            },
        };
        helpers::job(vec![step])
    }
}
