//! The entry instances as ways to the advisory service.
//!
//! Each instance has one question on its way at a time. Some of them are kept
//! for short questions. What part of the workers may run the steps of a queue is
//! learned from the answers.

use figscale_types::fleet;
use figscale_types::ids;
use indexmap::IndexMap;

/// One lane in so many is kept for short questions.
const LANES_PER_SHORT_LANE: usize = 3;
/// Lanes kept for short questions at most. One answers some 50 a second, so six
/// answer the quick jobs of 350 workers at their busiest, some 300 a second.
const MAX_SHORT_LANES: usize = 6;
/// Part of workers assumed good before any answer came.
const FIRST_GOOD_PART: f64 = 0.5;
/// Weight of the newest answer in the part learned.
const LEARNING_WEIGHT: f64 = 0.1;

/// Questions in a row without an answer after which the service counts as away;
/// one or two are lost with an instance that leaves.
const AWAY_AFTER: usize = 3;

/// One entry instance's way to the service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lane {
    pub(crate) asked: Option<fleet::TaskId>,
}

/// All ways to the service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lanes {
    pub(crate) lanes: IndexMap<ids::MemberId, Lane>,
    /// Part of the workers that may run a step, by queue.
    good_parts: IndexMap<String, f64>,
    /// Questions without an answer since the last answer.
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

    /// A question was answered, or not.
    pub(crate) fn note_answer(&mut self, answered: bool) {
        self.unanswered = match answered {
            true => 0,
            false => self.unanswered.saturating_add(1),
        };
    }

    /// Whether the service answers nobody.
    pub(crate) fn service_is_away(&self) -> bool {
        self.unanswered >= AWAY_AFTER
    }

    /// Lanes that a long question may take.
    pub(crate) fn long_lanes(&self) -> usize {
        let kept = match self.lanes.len() {
            0 | 1 => 0,
            all => all.div_ceil(LANES_PER_SHORT_LANE).min(MAX_SHORT_LANES),
        };
        self.lanes.len() - kept
    }

    /// A free lane for a question, if there is one that it may use.
    pub(crate) fn free(&self, long: bool) -> Option<ids::MemberId> {
        // The first lanes are for long questions; short ones take the last
        // first, and any when those are busy.
        let free = |lane: &&(usize, (&ids::MemberId, &Lane))| lane.1.1.asked.is_none();
        let lanes: Vec<_> = self.lanes.iter().enumerate().collect();
        let found = match long {
            true => lanes[..self.long_lanes()].iter().find(free),
            false => lanes.iter().rev().find(free),
        };
        found.map(|(_, (member, _))| (*member).clone())
    }
}
