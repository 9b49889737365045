//! Advice channels: each entry instance as a path to the advisory service.
//!
//! Each channel has one query in flight at a time. Some of them are reserved for
//! short queries. The service approves some workers for a step (they are "good"
//! in the log) and not others; the fraction approved is learned for each queue
//! from the responses.

use figscale_types::fleet;
use figscale_types::ids;
use indexmap::IndexMap;

/// One channel out of this many is reserved for short queries.
const LANES_PER_SHORT_LANE: usize = 3;
/// Maximum number of channels reserved for short queries. One serves about 50
/// queries a second, so six serve the short jobs of 350 workers at their peak,
/// about 300 a second.
const MAX_SHORT_LANES: usize = 6;
/// Fraction of workers assumed to be approved before the first response.
const FIRST_GOOD_PART: f64 = 0.5;
/// Weight of the newest response in the learned fraction (exponential moving
/// average).
const LEARNING_WEIGHT: f64 = 0.1;

/// Number of consecutive queries without a response after which the service
/// counts as unavailable. One or two are lost with an instance that leaves.
const AWAY_AFTER: usize = 3;

/// One entry instance as a path to the service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lane {
    pub(crate) asked: Option<fleet::TaskId>,
}

/// All channels to the service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lanes {
    pub(crate) lanes: IndexMap<ids::MemberId, Lane>,
    /// Fraction of the workers that may run a step, by queue.
    good_parts: IndexMap<String, f64>,
    /// Number of queries without a response since the last response.
    unanswered: usize,
}

impl Lanes {
    pub(crate) fn good_part(&self, queue: &str) -> f64 {
        self.good_parts
            .get(queue)
            .copied()
            .unwrap_or(FIRST_GOOD_PART)
    }

    pub(crate) fn learn(&mut self, queue: &str, part: f64) {
        let known = self.good_part(queue);
        let learned = known + (part - known) * LEARNING_WEIGHT;
        self.good_parts.insert(queue.to_owned(), learned.max(0.05));
    }

    /// Records whether a query got a response.
    pub(crate) fn note_answer(&mut self, answered: bool) {
        self.unanswered = match answered {
            true => 0,
            false => self.unanswered.saturating_add(1),
        };
    }

    /// Whether the service appears to be unavailable.
    pub(crate) fn service_is_away(&self) -> bool {
        self.unanswered >= AWAY_AFTER
    }

    /// Number of channels that a long query may use.
    pub(crate) fn long_lanes(&self) -> usize {
        let kept = match self.lanes.len() {
            0 | 1 => 0,
            all => all.div_ceil(LANES_PER_SHORT_LANE).min(MAX_SHORT_LANES),
        };
        self.lanes.len() - kept
    }

    /// A free channel that a query may use, if any.
    pub(crate) fn free(&self, long: bool) -> Option<ids::MemberId> {
        // Long queries use the first channels. Short ones prefer the last,
        // which are reserved for them, and use any other when those are busy.
        let free = |lane: &&(usize, (&ids::MemberId, &Lane))| lane.1.1.asked.is_none();
        let lanes: Vec<_> = self.lanes.iter().enumerate().collect();
        let found = match long {
            true => lanes[..self.long_lanes()].iter().find(free),
            false => lanes.iter().rev().find(free),
        };
        found.map(|(_, (member, _))| (*member).clone())
    }
}
