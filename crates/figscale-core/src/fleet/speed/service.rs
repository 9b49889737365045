//! Ordinary speed among the workers of a service, and the speed of each kind.

use figscale_types::fleet;
use indexmap::IndexMap;

use super::worker;

/// Share of the workers that may be on one side of the anchor before it moves to
/// the median. In a fleet of two kinds in equal numbers the median alone would jump
/// between them.
const MAX_ON_ONE_SIDE: f64 = 0.65;
/// Workers within this of the anchor are on neither side of it.
const NEAR: f64 = 0.1;
/// The workers differ if their mean squared deviation, in units of its error, is
/// above the first plus the second by the root of their number; they are equal again
/// below the third. It is about one where they are equal.
const DIFFERENT: f64 = 3.0;
const DIFFERENT_OF_FEW: f64 = 10.0;
const EQUAL: f64 = 2.0;
/// A single worker counts no more than this.
const MAX_SQUARE: f64 = 25.0;
/// Fewest workers of a kind that tell its speed, and how many of them must agree.
const MIN_OF_KIND: usize = 3;
const AGREEING_PERCENT: usize = 80;
/// Slowdowns agree if the higher is at most this percentage of the lower.
const AGREES_PERCENT: u64 = 116;

/// What is known of the workers of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceSpeed {
    pub(super) reference: worker::Reference,
    pub(super) kinds: IndexMap<String, fleet::Slowdown>,
}

impl ServiceSpeed {
    /// Renews the reference from the evidence of all workers.
    pub(super) fn review(&mut self, mut estimates: Vec<worker::Estimate>) {
        if estimates.is_empty() {
            return;
        }
        estimates.sort_by(|a, b| a.mean.total_cmp(&b.mean));
        let anchor = self.anchor(&estimates);
        let square = |estimate: &worker::Estimate| {
            let deviation = estimate.mean - anchor;
            (deviation * deviation / estimate.variance).min(MAX_SQUARE)
        };
        let count = estimates.len() as f64;
        let mean_square = estimates.iter().map(square).sum::<f64>() / count;
        let least = match self.reference.differs {
            true => EQUAL,
            false => DIFFERENT + DIFFERENT_OF_FEW / count.sqrt(),
        };
        self.reference = worker::Reference {
            anchor,
            differs: mean_square > least,
        };
    }

    fn anchor(&self, sorted: &[worker::Estimate]) -> f64 {
        let known = self.reference.anchor;
        let below = sorted.partition_point(|estimate| estimate.mean < known - NEAR);
        let not_above = sorted.partition_point(|estimate| estimate.mean <= known + NEAR);
        let near = &sorted[below..not_above];
        let most = MAX_ON_ONE_SIDE * sorted.len() as f64;
        let above = sorted.len() - not_above;
        let stays = (below as f64) < most && (above as f64) < most;
        match near.get(near.len() / 2).filter(|_| stays) {
            Some(middle) => middle.mean,
            None => sorted[sorted.len() / 2].mean,
        }
    }

    /// Renews the speed of a kind from those of its workers that are known.
    pub(super) fn review_kind(&mut self, kind: &str, mut known: Vec<fleet::Slowdown>) {
        known.sort();
        let agrees = |slowdown: &&fleet::Slowdown, middle: fleet::Slowdown| {
            let (low, high) = (middle.min(**slowdown), middle.max(**slowdown));
            u64::from(high.percent()) * 100 <= u64::from(low.percent()) * AGREES_PERCENT
        };
        let middle = known.get(known.len() / 2).copied();
        let agreed = middle.filter(|middle| {
            let count = known.iter().filter(|slowdown| agrees(slowdown, *middle));
            known.len() >= MIN_OF_KIND && count.count() * 100 >= known.len() * AGREEING_PERCENT
        });
        match agreed {
            Some(slowdown) => self.kinds.insert(kind.to_owned(), slowdown),
            None => self.kinds.swap_remove(kind),
        };
    }
}
