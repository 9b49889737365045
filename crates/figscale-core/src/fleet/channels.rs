//! Advice channels: each entry instance as a path to the advisory service.
//!
//! Each channel has one query in flight at a time. Some of them are reserved for
//! short queries. The service approves only some workers for a step ("good" ones
//! in the log); the fraction approved is learned for each queue from the
//! responses.

use figscale_types::fleet;
use figscale_types::ids;
use indexmap::IndexMap;

/// One channel out of this many is reserved for short queries.
const CHANNELS_PER_SHORT_CHANNEL: usize = 3;
/// Maximum number of channels reserved for short queries. One serves about 50
/// queries a second, so six serve the short jobs of 350 workers at their peak,
/// about 300 a second.
const MAX_SHORT_CHANNELS: usize = 6;
/// Fraction of workers assumed to be approved before the first response.
const INITIAL_APPROVED_FRACTION: f64 = 0.5;
/// Weight of the newest response in the learned fraction (exponential moving
/// average).
const LEARNING_WEIGHT: f64 = 0.1;

/// Number of consecutive queries without a response after which the service
/// counts as unavailable. One or two may be lost when an instance leaves.
const UNAVAILABLE_AFTER: usize = 3;

/// One entry instance as a path to the service.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdviceChannel {
    pub(crate) in_flight: Option<fleet::TaskId>,
}

/// All channels to the service.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdviceChannels {
    pub(crate) by_member: IndexMap<ids::MemberId, AdviceChannel>,
    /// Fraction of workers that the service approves for a step, by queue.
    approved_fractions: IndexMap<String, f64>,
    /// Number of queries without a response since the last response.
    without_response: usize,
}

impl AdviceChannels {
    pub(crate) fn approved_fraction(&self, queue: &str) -> f64 {
        self.approved_fractions
            .get(queue)
            .copied()
            .unwrap_or(INITIAL_APPROVED_FRACTION)
    }

    pub(crate) fn learn(&mut self, queue: &str, fraction: f64) {
        let known = self.approved_fraction(queue);
        let learned = known + (fraction - known) * LEARNING_WEIGHT;
        self.approved_fractions
            .insert(queue.to_owned(), learned.max(0.05));
    }

    /// Records whether a query got a response.
    pub(crate) fn record_response(&mut self, answered: bool) {
        self.without_response = match answered {
            true => 0,
            false => self.without_response.saturating_add(1),
        };
    }

    /// Whether the service appears to be unavailable.
    pub(crate) fn service_is_unavailable(&self) -> bool {
        self.without_response >= UNAVAILABLE_AFTER
    }

    /// Number of channels that a long query may use.
    pub(crate) fn long_query_channels(&self) -> usize {
        let reserved = match self.by_member.len() {
            0 | 1 => 0,
            all => all
                .div_ceil(CHANNELS_PER_SHORT_CHANNEL)
                .min(MAX_SHORT_CHANNELS),
        };
        self.by_member.len() - reserved
    }

    /// A free channel that a query may use, if any.
    pub(crate) fn free(&self, long: bool) -> Option<ids::MemberId> {
        // Long queries use the first channels. Short ones prefer the last,
        // which are reserved for them, and use any other when those are busy.
        let free =
            |channel: &&(usize, (&ids::MemberId, &AdviceChannel))| channel.1.1.in_flight.is_none();
        let indexed: Vec<_> = self.by_member.iter().enumerate().collect();
        let found = match long {
            true => indexed[..self.long_query_channels()].iter().find(free),
            false => indexed.iter().rev().find(free),
        };
        found.map(|(_, (member, _))| (*member).clone())
    }
}
