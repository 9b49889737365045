//! Advice channels: each entry instance as a path to the advisory service.
//!
//! Each channel has one query in flight at a time. Some of them are reserved for
//! short queries. The service approves only some workers for a step ("good" ones
//! in the log); the fraction approved is learned for each queue from the
//! responses.
//!
//! Ejected channels count as absent as long as there are others, also for the
//! number of channels that long queries may use. If all of them are ejected, a
//! query takes the one whose failure is oldest, and so does a step whose queries
//! have failed on several channels.
//!
//! The leader is a channel too, the only one without a connection between
//! instances. A step whose query failed asks through it next, and waits for it for a
//! short time: when several instances do not respond, trying one after the other
//! would take seconds.

use std::time;

use figscale_types::fleet;
use figscale_types::ids;
use indexmap::IndexMap;

use super::channel_failures;

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

/// Part of the channels from which on they count as busy. A channel is idle between
/// two queries, so one moment shows nothing.
const BUSY_PART: f64 = 0.6;
/// Period of the moving average of the channels in use.
const USE_PERIOD: time::Duration = time::Duration::from_secs(2);

/// Number of consecutive queries without a response after which the service
/// counts as unavailable. One or two may be lost when an instance leaves.
const UNAVAILABLE_AFTER: usize = 3;
/// A step whose queries fail one after the other leads to at most this many
/// ejections. After that its queries may be at fault.
const MAX_BLAMED_CHANNELS: u32 = 3;

/// One entry instance as a path to the service.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdviceChannel {
    pub(crate) in_flight: Option<fleet::TaskId>,
    /// Failures since its last response.
    failures: Option<channel_failures::ChannelFailures>,
}

impl AdviceChannel {
    fn is_ejected(&self, now: time::Instant) -> bool {
        self.failures
            .is_some_and(|failures| failures.is_ejected(now))
    }

    fn failed_at(&self) -> Option<time::Instant> {
        self.failures.map(|failures| failures.last_at)
    }

    /// Whether it has failed since a response arrived through any channel.
    fn has_failed_since(&self, responded_at: Option<time::Instant>) -> bool {
        let failed_at = self.failed_at();
        failed_at.is_some_and(|failed_at| responded_at.is_none_or(|at| failed_at > at))
    }
}

/// What decides which channels a query may use.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueryKind {
    /// It may not use the channels reserved for short queries.
    pub(crate) long: bool,
    /// Number of queries of its step without a response since the last response.
    pub(crate) unanswered: u32,
    /// It rather waits for the leader's own channel than uses another.
    pub(crate) awaits_local: bool,
}

/// The ejection of a channel after a failure.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ejection {
    /// Consecutive failures of the channel.
    pub(crate) failures: u32,
    pub(crate) duration: time::Duration,
}

/// Moving average of the number of channels in use.
#[derive(Clone, Copy, Debug, Default)]
struct ChannelUse {
    average: f64,
    at: Option<time::Instant>,
}

impl ChannelUse {
    fn now(&self, now: time::Instant) -> f64 {
        let passed = self.at.map(|at| now.saturating_duration_since(at));
        let passed = passed.unwrap_or_default().as_secs_f64();
        self.average * (-passed / USE_PERIOD.as_secs_f64()).exp()
    }

    fn record(&mut self, time: time::Duration, now: time::Instant) {
        self.average = self.now(now) + time.as_secs_f64() / USE_PERIOD.as_secs_f64();
        self.at = Some(now);
    }
}

/// All channels to the service.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdviceChannels {
    pub(crate) by_member: IndexMap<ids::MemberId, AdviceChannel>,
    /// The leader itself, once it is a channel.
    local: Option<ids::MemberId>,
    /// Failures of members that left, in case they return.
    departed: IndexMap<ids::MemberId, channel_failures::ChannelFailures>,
    /// Fraction of workers that the service approves for a step, by queue.
    approved_fractions: IndexMap<String, f64>,
    /// Number of queries without a response since the last response.
    without_response: usize,
    /// When a query last got a response, through whichever channel.
    responded_at: Option<time::Instant>,
    /// Use for queries that steps need, all and those of the first class of queues.
    total_use: ChannelUse,
    first_class_use: ChannelUse,
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

    /// Adds a channel; its earlier failures are kept.
    pub(crate) fn add(&mut self, member: &ids::MemberId) {
        if self.by_member.contains_key(member) {
            return;
        }
        let channel = AdviceChannel {
            in_flight: None,
            failures: self.departed.swap_remove(member),
        };
        self.by_member.insert(member.clone(), channel);
    }

    /// Adds the leader itself as a channel.
    pub(crate) fn add_local(&mut self, member: &ids::MemberId) {
        self.add(member);
        self.local = Some(member.clone());
    }

    /// Removes a channel; returns the query that it had in flight.
    pub(crate) fn remove(&mut self, member: &ids::MemberId) -> Option<fleet::TaskId> {
        let channel = self.by_member.shift_remove(member)?;
        if let Some(failures) = channel.failures {
            self.departed.insert(member.clone(), failures);
        }
        channel.in_flight
    }

    /// Records a response through a channel.
    pub(crate) fn succeeded(&mut self, member: &ids::MemberId, now: time::Instant) {
        let earlier = self.responded_at.replace(now);
        // If no other channel was left, the service was unavailable, and the channels
        // that failed meanwhile were not at fault.
        let was_lost = |channel: &AdviceChannel| channel.has_failed_since(earlier);
        let was_unusable = |channel: &AdviceChannel| was_lost(channel) || channel.is_ejected(now);
        let mut others = self.by_member.iter().filter(|(id, _)| *id != member);
        let all_lost = others.all(|(_, channel)| was_unusable(channel));
        for (id, channel) in &mut self.by_member {
            if id == member || all_lost && channel.has_failed_since(earlier) {
                channel.failures = None;
            }
        }
    }

    /// Records that a query through a channel got no response, like the last
    /// `unanswered` ones of its step. Returns the ejection that begins with it, if
    /// any.
    pub(crate) fn failed(
        &mut self,
        member: &ids::MemberId,
        unanswered: u32,
        now: time::Instant,
    ) -> Option<Ejection> {
        self.departed
            .retain(|_, failures| !failures.is_expired(now));
        let channel = self.by_member.get_mut(member);
        let known = match &channel {
            Some(channel) => channel.failures,
            None => self.departed.get(member).copied(),
        };
        let is_suspect = !ignores_ejections(unanswered);
        let failures = channel_failures::ChannelFailures::after(known, is_suspect, now);
        match channel {
            Some(channel) => channel.failures = Some(failures),
            None => {
                self.departed.insert(member.clone(), failures);
            }
        }
        let was_ejected = known.is_some_and(|known| known.is_ejected(now));
        let begins = !was_ejected && failures.is_ejected(now);
        begins.then_some(Ejection {
            failures: failures.count,
            duration: failures.ejection_left(now),
        })
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
    pub(crate) fn long_query_channels(&self, now: time::Instant) -> usize {
        let channels = self.by_member.values();
        let healthy = channels.filter(|channel| !channel.is_ejected(now));
        match healthy.count() {
            0 => unreserved(self.by_member.len()),
            healthy => unreserved(healthy),
        }
    }

    /// Records a query that its step needs, by its expected duration.
    pub(crate) fn record_use(
        &mut self,
        is_first_class: bool,
        time: time::Duration,
        now: time::Instant,
    ) {
        self.total_use.record(time, now);
        if is_first_class {
            self.first_class_use.record(time, now);
        }
    }

    /// Whether most channels have lately been in use.
    pub(crate) fn are_busy(&self, now: time::Instant) -> bool {
        self.total_use.now(now) >= self.by_member.len() as f64 * BUSY_PART
    }

    /// Number of channels lately in use for the first class of queues.
    pub(crate) fn first_class_use(&self, now: time::Instant) -> f64 {
        self.first_class_use.now(now)
    }

    /// Whether any channel is free, ejected or not.
    pub(crate) fn any_free(&self) -> bool {
        let mut channels = self.by_member.values();
        channels.any(|channel| channel.in_flight.is_none())
    }

    /// A free channel that a query may use, if any.
    pub(crate) fn free(&self, query: QueryKind, now: time::Instant) -> Option<&ids::MemberId> {
        let is_ejected = |channel: &AdviceChannel| channel.is_ejected(now);
        let any = ignores_ejections(query.unanswered) || self.by_member.values().all(is_ejected);
        let is_usable = |channel: &AdviceChannel| any || !is_ejected(channel);
        let by_position = || self.free_by_position(is_usable, query.long);
        if !any && query.unanswered == 0 {
            return by_position();
        }
        if query.unanswered > 0
            && let Some((local, channel)) = self.healthy_local()
        {
            match channel.in_flight {
                None => return Some(local),
                Some(_) if query.awaits_local => return None,
                Some(_) => {}
            }
        }
        // An ejection that is over proves nothing, so a query that follows a
        // failed one prefers channels without failures.
        self.free_by_position(|channel| channel.failures.is_none(), query.long)
            .or_else(|| self.least_recently_failed(is_usable, query.long))
            .or_else(by_position)
    }

    /// The leader's own channel, if it has not failed.
    fn healthy_local(&self) -> Option<(&ids::MemberId, &AdviceChannel)> {
        let local = self.by_member.get_key_value(self.local.as_ref()?);
        local.filter(|(_, channel)| channel.failures.is_none())
    }

    /// A free channel among the usable ones. Long queries use the first of them.
    /// Short ones prefer the last, which are reserved for them, and use any other
    /// when those are busy.
    fn free_by_position(
        &self,
        is_usable: impl Fn(&AdviceChannel) -> bool,
        long: bool,
    ) -> Option<&ids::MemberId> {
        let usable = self.by_member.iter();
        let usable = usable.filter(|(_, channel)| is_usable(channel));
        let found = match long {
            true => {
                let count = usable.clone().count();
                usable.take(unreserved(count)).find(is_free)
            }
            false => usable.rev().find(is_free),
        };
        found.map(|(member, _)| member)
    }

    /// The free channel among the usable ones whose failure is oldest. Long
    /// queries use any of them, but leave as many free as are reserved for short
    /// ones: otherwise they would try only the first channels, though others may
    /// respond.
    fn least_recently_failed(
        &self,
        is_usable: impl Fn(&AdviceChannel) -> bool,
        long: bool,
    ) -> Option<&ids::MemberId> {
        let usable = self.by_member.iter();
        let usable = usable.filter(|(_, channel)| is_usable(channel));
        let free = usable.clone().filter(is_free);
        if long {
            let count = usable.count();
            let reserved = count - unreserved(count);
            if free.clone().count() <= reserved {
                return None;
            }
        }
        let oldest = free.min_by_key(|(_, channel)| channel.failed_at());
        oldest.map(|(member, _)| member)
    }
}

/// Whether a step may use ejected channels: `unanswered` queries got no response,
/// whichever channels they used.
pub(crate) fn ignores_ejections(unanswered: u32) -> bool {
    unanswered >= MAX_BLAMED_CHANNELS
}

/// Number of channels out of `usable` ones that are not reserved for short
/// queries.
fn unreserved(usable: usize) -> usize {
    let reserved = match usable {
        0 | 1 => 0,
        all => all
            .div_ceil(CHANNELS_PER_SHORT_CHANNEL)
            .min(MAX_SHORT_CHANNELS),
    };
    usable - reserved
}

fn is_free((_, channel): &(&ids::MemberId, &AdviceChannel)) -> bool {
    channel.in_flight.is_none()
}
