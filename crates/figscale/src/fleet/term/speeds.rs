//! What operators see of the speed of workers: gauges, and a part of the dump.

use std::sync;

use figscale_core::fleet::Speeds;
use figscale_types::mutex;

use super::Term;
use crate::kernel;

/// Name of this part of the dump.
const SERVICE: &str = "fleet-speeds";
/// Ranges of slowdowns in percent, by the first that each does not include.
const RANGES: [(&str, u32); 5] = [
    ("below_100", 100),
    ("100", 101),
    ("to_150", 151),
    ("to_250", 251),
    ("above_250", u32::MAX),
];

/// Speeds as of the last update of the gauges.
#[derive(Clone, Debug, Default)]
pub(super) struct Shown(sync::Arc<sync::Mutex<Speeds>>);

impl Shown {
    /// Speeds that the dump shows until this term is over.
    pub(super) fn new(kernel: &kernel::Kernel) -> Self {
        let shown = Self::default();
        let dumped = sync::Arc::downgrade(&shown.0);
        kernel.register_dump(SERVICE, move || {
            let speeds = dumped.upgrade().map(|speeds| mutex::lock(&speeds).clone());
            Box::pin(async move { serde_json::to_value(speeds).unwrap_or_default() })
        });
        shown
    }
}

impl Term {
    /// Updates the gauges and the dump.
    pub(super) fn show_speeds(&self, workers: usize) {
        let speeds = self.scheduler.known_speeds();
        let mut least = 0;
        for (range, end) in RANGES {
            let inside = |percent: u32| (least..end).contains(&percent);
            let known = speeds.workers.iter();
            let mut number = known
                .filter(|(_, slowdown)| inside(slowdown.percent()))
                .count();
            if inside(100) {
                number += workers.saturating_sub(speeds.workers.len());
            }
            let metrics = &self.context.metrics;
            metrics.fleet_workers_by_slowdown(range, number);
            least = end;
        }
        *mutex::lock(&self.shown_speeds.0) = speeds;
    }
}
