//! Memory of the ids of non-idempotent requests, at their home.
//!
//! A home remembers every id that it let through until the id is too old to be
//! accepted at all. Ids are UUIDv7, so their own time stamp orders them, and one
//! number, the *floor*, stands for everything that was forgotten: an id stamped
//! at or before the floor is refused as [`Verdict::MayHaveRun`]. A new home
//! begins with a floor at its taking over plus the clock tolerance, since it
//! cannot know what the earlier home let through. Ids stamped later than the
//! home's clock plus the tolerance are refused as [`Verdict::NotRun`], as they
//! would outlive the floor.
//!
//! This trades a short time after each take-over, in which fresh ids are
//! refused, for no store write on any request. In a planned hand-over the old
//! home passes its memory on ([`Kept`]), and nothing fresh is refused.
//!
//! [`Verdict::MayHaveRun`]: figscale_types::verdict::Verdict::MayHaveRun
//! [`Verdict::NotRun`]: figscale_types::verdict::Verdict::NotRun

use std::collections::BTreeMap;
use std::time;

use figscale_types::claims;
use figscale_types::clock;
use figscale_types::ids;
use figscale_types::verdict::Verdict;
use serde::Deserialize;
use serde::Serialize;

/// Most ids that one home passes on to the next, so that they fit a message.
pub const MAX_KEPT: usize = 100_000;

/// Settings of the memory.
#[derive(Clone, Copy, Debug)]
pub struct OnceConfig {
    /// Difference of two clocks that is tolerated. Default 1,000 ms.
    pub tolerance: time::Duration,
    /// Most ids remembered by one home. Default 200,000.
    pub capacity: usize,
    /// Time for which an id is remembered. Default 600 s.
    pub keep: time::Duration,
}

impl Default for OnceConfig {
    fn default() -> Self {
        Self {
            tolerance: time::Duration::from_millis(1_000),
            capacity: 200_000,
            keep: time::Duration::from_secs(600),
        }
    }
}

/// Names one attempt to begin a request, so that a repeated message counts once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptId(pub u64);

/// The answer to a request to begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Begin {
    /// It never began before and may run now.
    Fresh,
    /// It began before; the verdict is what is known of it.
    Repeat(Verdict),
    /// It is older than the memory.
    Forgotten,
    /// It is stamped in the future.
    FromFuture,
    /// This is not its home, or not any more.
    NotHome,
}

impl Begin {
    /// What may be said of a request that is refused with this answer.
    ///
    /// Without a home nobody knows whether it is a repeat of one that ran.
    pub fn verdict(self) -> Verdict {
        match self {
            Self::Fresh | Self::FromFuture => Verdict::NotRun,
            Self::Repeat(verdict) => verdict,
            Self::Forgotten | Self::NotHome => Verdict::MayHaveRun,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Line {
    attempt: AttemptId,
    verdict: Verdict,
}

/// What a home passes on to the next one in a planned hand-over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    floor_ms: u64,
    /// Ids as numbers, which are shorter in a message than as text.
    lines: Vec<(u128, Line)>,
}

/// The memory of one home.
#[derive(Clone, Debug)]
pub struct Memory {
    config: OnceConfig,
    floor_ms: u64,
    ids: BTreeMap<uuid::Uuid, Line>,
}

impl Memory {
    /// The memory of a home that took over at `taken_unix_ms`.
    ///
    /// The floor leaves room for both clocks: the earlier home's may have been
    /// ahead by the tolerance when it let an id through that was itself ahead.
    pub fn new(config: OnceConfig, taken_unix_ms: u64) -> Self {
        let tolerance_ms = clock::millis(config.tolerance);
        Self {
            config,
            floor_ms: taken_unix_ms.saturating_add(2 * tolerance_ms),
            ids: BTreeMap::new(),
        }
    }

    /// The memory of a home that nobody held before.
    pub fn first(config: OnceConfig) -> Self {
        Self {
            config,
            floor_ms: 0,
            ids: BTreeMap::new(),
        }
    }

    /// The memory that an earlier home passed on.
    pub fn from_kept(config: OnceConfig, kept: Kept) -> Self {
        let line = |(id, line)| (uuid::Uuid::from_u128(id), line);
        Self {
            config,
            floor_ms: kept.floor_ms,
            ids: kept.lines.into_iter().map(line).collect(),
        }
    }

    /// What the next home has to know; at most [`MAX_KEPT`] of the newest ids,
    /// the floor standing for the others.
    pub fn pass_on(&self) -> Kept {
        let older = self.ids.len().saturating_sub(MAX_KEPT);
        let newest_left_out = self.ids.keys().take(older).next_back();
        let left_out_ms = newest_left_out.and_then(|id| stamp_ms(ids::RequestId(*id)));
        let newer = self.ids.iter().skip(older);
        Kept {
            floor_ms: self.floor_ms.max(left_out_ms.unwrap_or(0)),
            lines: newer.map(|(id, line)| (id.as_u128(), *line)).collect(),
        }
    }

    /// Lets an id through once.
    pub fn begin(&mut self, id: ids::RequestId, attempt: AttemptId, now_unix_ms: u64) -> Begin {
        let Some(stamp_ms) = stamp_ms(id) else {
            return Begin::FromFuture;
        };
        if let Some(line) = self.ids.get(&id.0) {
            return match line.attempt == attempt {
                true => Begin::Fresh,
                false => Begin::Repeat(line.verdict),
            };
        }
        self.forget_old(now_unix_ms);
        if let Some(refused) = self.refused(stamp_ms, now_unix_ms) {
            return refused;
        }
        let verdict = Verdict::MayHaveRun;
        self.ids.insert(id.0, Line { attempt, verdict });
        Begin::Fresh
    }

    /// What is known of an id, apart from this attempt; nothing is let through.
    ///
    /// [`Begin::Fresh`] means that no other attempt ever began.
    pub fn peek(&self, id: ids::RequestId, attempt: AttemptId, now_unix_ms: u64) -> Begin {
        let Some(stamp_ms) = stamp_ms(id) else {
            return Begin::FromFuture;
        };
        match self.ids.get(&id.0) {
            Some(line) if line.attempt == attempt => Begin::Fresh,
            Some(line) => Begin::Repeat(line.verdict),
            None => self.refused(stamp_ms, now_unix_ms).unwrap_or(Begin::Fresh),
        }
    }

    /// Whether a time stamp alone refuses an id that is not remembered. The
    /// floor goes first: below it an earlier home with a clock ahead of ours
    /// may have let through what is in the future here.
    fn refused(&self, stamp_ms: u64, now_unix_ms: u64) -> Option<Begin> {
        let latest_ms = now_unix_ms.saturating_add(clock::millis(self.config.tolerance));
        if stamp_ms <= self.floor_ms {
            Some(Begin::Forgotten)
        } else if stamp_ms > latest_ms {
            Some(Begin::FromFuture)
        } else {
            None
        }
    }

    /// Notes how an attempt ended; one that did not run may begin again.
    pub fn end(&mut self, id: ids::RequestId, attempt: AttemptId, verdict: Verdict) {
        let Some(line) = self.ids.get_mut(&id.0) else {
            return;
        };
        if line.attempt != attempt {
            return;
        }
        match verdict {
            Verdict::NotRun => {
                self.ids.remove(&id.0);
            }
            verdict => line.verdict = verdict,
        }
    }

    /// Ids remembered.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Whether no id is remembered.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    /// Time stamp up to which every id is refused, in milliseconds since 1970.
    pub fn floor_ms(&self) -> u64 {
        self.floor_ms
    }

    fn forget_old(&mut self, now_unix_ms: u64) {
        let oldest_ms = now_unix_ms.saturating_sub(clock::millis(self.config.keep));
        while let Some(entry) = self.ids.first_entry() {
            let stamp_ms = stamp_ms(ids::RequestId(*entry.key())).unwrap_or(0);
            let full = self.ids.len() >= self.config.capacity.max(1);
            if stamp_ms >= oldest_ms && !full {
                break;
            }
            self.ids.pop_first();
            self.floor_ms = self.floor_ms.max(stamp_ms);
        }
    }
}

/// Time stamp of a UUIDv7, in milliseconds since 1970; `None` for another kind.
pub fn stamp_ms(id: ids::RequestId) -> Option<u64> {
    if id.0.get_version_num() != 7 {
        return None;
    }
    let bytes = id.0.as_u128();
    u64::try_from(bytes >> 80).ok()
}

/// The shard that is the home of an id: the low, random bits decide.
pub fn home_of(id: ids::RequestId) -> Option<ids::ShardId> {
    let number = id.0.as_u128() % u128::from(claims::ID_SHARDS);
    claims::id_shard(u32::try_from(number).ok()?)
}
