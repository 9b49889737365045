//! Whether a leader that no longer answers is lost.
//!
//! A leader whose machine lost its power refuses nothing: it is silent, and
//! its lease at the store ends 1.1 to 1.5 s later. Peers that greet it know
//! sooner. One of them alone may be cut off, so it takes most of them to agree,
//! and a single one that still hears the leader is enough to keep it.
//!
//! A takeover is safe at any moment, so what a mistake costs is one: some 50 ms
//! without placement, and up to a worker's lease for tasks beside a silent
//! worker. Where too few peers answer the lease decides.

use std::time;

use figscale_types::fleet;

/// Silence after which a leader may be lost. Peers greet it every 250 ms, so
/// all of them have missed an answer by then; a leader that is five times
/// slower than usual answers within 50 ms.
pub const SILENCE: time::Duration = time::Duration::from_millis(400);

/// A leader whose last answer took long is allowed so many times that in addition.
const SLOW_TIMES: u32 = 4;
/// Silence after which any leader may be lost, however slow it was.
const MAX_SILENCE: time::Duration = time::Duration::from_millis(3_000);

/// Time between greetings. With [`SILENCE`] it decides how soon a leader without
/// power is replaced: 0.45 to 0.7 s in place of the 1.1 to 1.5 s of its lease.
pub const HELLO_PAUSE: time::Duration = time::Duration::from_millis(250);
/// Time for the answer to a greeting.
pub const HELLO_TIMEOUT: time::Duration = time::Duration::from_millis(400);
/// An answer to a greeting that comes so late still shows that the leader lives.
pub const LATE_ANSWER: time::Duration = time::Duration::from_millis(1_000);
/// Time for a peer to say what it knows of the leader.
pub const SIGHTING_TIMEOUT: time::Duration = time::Duration::from_millis(250);

/// Instances up to which each does as often as one alone would what all do at the
/// same time: greet, look whether the store is back. A leader or a store would
/// otherwise have the more of it the more instances there are.
const INSTANCES_AT_FULL_RATE: usize = 128;
/// An instance that has not greeted for so long, and for so many greetings, is gone.
const MIN_MEMBER_SILENCE: time::Duration = time::Duration::from_millis(1_600);
const GREETINGS_MISSED: u32 = 4;

/// Peers asked what they know of the leader at most; each of a thousand instances
/// asks when it misses an answer, and the leader is one of those that are asked.
pub const MAX_PEERS_ASKED: usize = 16;

/// Time between what one of so many instances does again and again, where one
/// alone would do it after `pause`.
pub fn spread_over(pause: time::Duration, instances: usize) -> time::Duration {
    let instances = u32::try_from(instances.max(INSTANCES_AT_FULL_RATE)).unwrap_or(u32::MAX);
    pause.saturating_mul(instances) / INSTANCES_AT_FULL_RATE as u32
}

/// Time between the greetings of one of so many instances.
pub fn hello_pause(instances: usize) -> time::Duration {
    spread_over(HELLO_PAUSE, instances)
}

/// After how long without a greeting one of so many instances is gone.
pub fn member_silence(instances: usize) -> time::Duration {
    MIN_MEMBER_SILENCE.max(hello_pause(instances) * GREETINGS_MISSED)
}

/// How long a winner may say that it does not lead before its term is taken as
/// over; it reads the store before it leads.
const WINNER_LIMIT: time::Duration = time::Duration::from_millis(2_500);

/// Since when a leader that answers has said that it does not lead.
///
/// Each term counts for itself. Once a first winner took long to read the store,
/// the time counted on for the next ones, each was held for over as soon as it
/// had won, and new terms followed each other every 0.1 s.
#[derive(Clone, Copy, Debug, Default)]
pub struct NotLeading {
    since: Option<(fleet::Epoch, time::Instant)>,
}

impl NotLeading {
    /// The leader leads, or does not answer.
    pub fn reset(&mut self) {
        self.since = None;
    }

    /// The leader of this term says that it does not lead; whether the term is
    /// over.
    pub fn is_over(&mut self, epoch: fleet::Epoch, now: time::Instant) -> bool {
        let same_term = self.since.filter(|(known, _)| *known == epoch);
        let (_, since) = *self.since.insert(same_term.unwrap_or((epoch, now)));
        now > since + WINNER_LIMIT
    }
}

/// How long a leader's answers take, as one peer sees it.
///
/// A leader with more to do than its processor or its link carries answers later
/// and later. It is not lost: whoever took its place would have as much to do,
/// and would read all records and ask all workers before. So whoever has seen it
/// become slow waits longer for its next answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerTimes {
    last: time::Duration,
}

impl AnswerTimes {
    /// The leader has answered after this time.
    pub fn note(&mut self, took: time::Duration) {
        self.last = took;
    }

    /// Silence after which the leader may be lost.
    pub fn allowed_silence(&self) -> time::Duration {
        (SILENCE + self.last * SLOW_TIMES).min(MAX_SILENCE)
    }
}

/// What a peer says of the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerView {
    /// The peer did not answer.
    Unreachable,
    /// It has not greeted this leader yet, or takes another for the leader.
    Unknown,
    /// The leader last answered it so long ago.
    Heard(time::Duration),
}

/// Whether a leader that last answered here `heard` ago is lost, as all its
/// other peers see it; `allowed` is the silence that it is allowed.
pub fn is_lost(heard: time::Duration, peers: &[PeerView], allowed: time::Duration) -> bool {
    let hears = |view: &&PeerView| matches!(view, PeerView::Heard(ago) if *ago < allowed);
    let misses = |view: &&PeerView| matches!(view, PeerView::Heard(ago) if *ago >= allowed);
    let missed = peers.iter().filter(misses).count();
    let heard_by_any = heard < allowed || peers.iter().any(|view| hears(&view));
    // With this instance: more than half of all, and never this one alone.
    let agreed = missed > 0 && 2 * (missed + 1) > peers.len() + 1;
    agreed && !heard_by_any
}
