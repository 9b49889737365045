//! Which instances should lead: those with most processor to spare.
//!
//! The leader's processor bounds what a fleet is served. With 350 workers and 34
//! instances, of which 28 have an eighth of a core, one of these fell behind as
//! soon as it led, was taken for lost by its peers and replaced by the next of
//! them: a new term each 2 s, and a quarter of the quick jobs' calls failed.
//!
//! A leader's key can end by the store's own trouble, beside a leader that goes
//! on; that one names itself anew within one renewal, and a takeover would cost
//! the calls that come back after the store's return.
//!
//! So weaker instances stand a moment later, and a weak leader hands over once a
//! clearly stronger instance greets it. Any instance still leads when no other
//! does.

use std::time;

use super::silence;

/// So much later than its greeting tells a weaker instance stands. A stronger one
/// may find out a whole pause later, stands within 40 ms, and its election takes
/// some 20 ms, up to 60 ms where many stand.
const WEAKER_WAIT: time::Duration = silence::HELLO_PAUSE.saturating_add(ELECTION);
const ELECTION: time::Duration = time::Duration::from_millis(100);
/// Part of the strongest's processor that counts as equal, in percent.
const EQUAL_PERCENT: u64 = 80;
/// A leader hands over to an instance with so many times its own processor;
/// a takeover costs 0.1 to 1 s without placement, so it must be worth it.
const CLEARLY_STRONGER: u64 = 2;

/// Time given to a leader that may be there to renew its key. It tries each
/// 0.4 s, and a write takes up to 0.25 s.
pub const RENEWAL_GRACE: time::Duration = time::Duration::from_millis(800);

/// What an instance knows that finds no leader's key.
#[derive(Clone, Copy, Debug)]
pub struct Sight {
    /// How long ago the leader answered here.
    pub answered_ago: Option<time::Duration>,
    /// Some leader was known here.
    pub knows_leader: bool,
    /// The store did not answer since a leader's key was last seen.
    pub store_was_away: bool,
}

/// Whether a leader may be there although its key is gone.
///
/// An instance that has just started knows no peers. Where the store did not
/// answer it before, the key may have ended with the store's outage: standing at
/// once, such an instance deposed a leader that was about to take 60 jobs.
pub fn may_be_led(sight: Sight) -> bool {
    let answers = sight.answered_ago.is_some_and(|ago| ago < RENEWAL_GRACE);
    answers || (!sight.knows_leader && sight.store_was_away)
}

/// How much later than the strongest an instance stands; both in thousandths of
/// a core.
pub fn standing_delay(own_millis: u64, strongest_millis: u64) -> time::Duration {
    match own_millis * 100 >= strongest_millis * EQUAL_PERCENT {
        true => time::Duration::ZERO,
        false => WEAKER_WAIT,
    }
}

/// Whether a leader should hand over to another instance; both in thousandths of
/// a core.
pub fn is_clearly_stronger(other_millis: u64, own_millis: u64) -> bool {
    other_millis >= own_millis.max(1) * CLEARLY_STRONGER
}
