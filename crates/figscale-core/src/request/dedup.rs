//! Deduplication of the ids of non-idempotent requests, at the home of an id.
//!
//! The home of an id is the holder of the shard that the id hashes to. It
//! remembers every id that it admitted until the id is too old to be accepted at
//! all. Ids are UUIDv7, so their time stamps order them, and a single number, the
//! *floor*, covers everything that was forgotten: an id stamped at or before the
//! floor is refused as [`Verdict::MayHaveRun`]. A new home cannot know which ids
//! the earlier home admitted, so its floor starts at the time of the take-over
//! plus twice the clock tolerance. Ids stamped later than the home's clock plus
//! the tolerance are refused as [`Verdict::NotRun`], as they would outlive the
//! floor.
//!
//! The cost is that new ids are refused for a short time after each take-over;
//! in return no request needs a write to the store. In a planned hand-over the
//! old home sends its memory to the new one ([`HandoverState`]), and no new id is refused.
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

/// Maximum number of ids sent to the next home, so that they fit into a message.
pub const MAX_HANDOVER_IDS: usize = 100_000;

/// Settings of the deduplication.
#[derive(Clone, Copy, Debug)]
pub struct DedupConfig {
    /// Tolerated difference between two clocks. Default 1,000 ms.
    pub tolerance: time::Duration,
    /// Maximum number of ids remembered by one home. Default 200,000.
    pub capacity: usize,
    /// Time for which an id is remembered. Default 600 s.
    pub keep: time::Duration,
}

impl Default for DedupConfig {
    fn default() -> Self {
        Self {
            tolerance: time::Duration::from_millis(1_000),
            capacity: 200_000,
            keep: time::Duration::from_secs(600),
        }
    }
}

/// Identifies one attempt to begin a request, so that a repeated message counts
/// once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptId(pub u64);

/// Response of the home to an attempt to begin a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Begin {
    /// The request has not begun before and may run now.
    Fresh,
    /// The request began before; the verdict is what is known of that run.
    Repeat(Verdict),
    /// The id is at or below the floor: it may have been forgotten.
    Forgotten,
    /// The id is stamped in the future, or is not a UUIDv7.
    FromFuture,
    /// This instance is not, or no longer, the home of the id.
    NotHome,
}

impl Begin {
    /// Verdict on a request that is refused with this response.
    ///
    /// Without a home it is unknown whether the request repeats one that ran.
    pub fn verdict(self) -> Verdict {
        match self {
            Self::Fresh | Self::FromFuture => Verdict::NotRun,
            Self::Repeat(verdict) => verdict,
            Self::Forgotten | Self::NotHome => Verdict::MayHaveRun,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct IdRecord {
    attempt: AttemptId,
    verdict: Verdict,
}

/// Memory that a home sends to the next one in a planned hand-over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverState {
    floor_ms: u64,
    /// Ids as numbers, which are shorter than text in a message.
    lines: Vec<(u128, IdRecord)>,
}

/// Request ids remembered by one home.
#[derive(Clone, Debug)]
pub struct SeenIds {
    config: DedupConfig,
    floor_ms: u64,
    ids: BTreeMap<uuid::Uuid, IdRecord>,
}

impl SeenIds {
    /// Creates the memory of a home that took over at `taken_unix_ms`.
    ///
    /// The floor allows for two clock differences: the clock of the earlier home
    /// may have been ahead by the tolerance when it admitted an id that was
    /// itself ahead by the tolerance.
    pub fn new(config: DedupConfig, taken_unix_ms: u64) -> Self {
        let tolerance_ms = clock::millis(config.tolerance);
        Self {
            config,
            floor_ms: taken_unix_ms.saturating_add(2 * tolerance_ms),
            ids: BTreeMap::new(),
        }
    }

    /// Creates the memory of a home whose shard had no earlier holder.
    pub fn first(config: DedupConfig) -> Self {
        Self {
            config,
            floor_ms: 0,
            ids: BTreeMap::new(),
        }
    }

    /// Creates the memory from what the earlier home sent.
    pub fn from_handover(config: DedupConfig, kept: HandoverState) -> Self {
        let record = |(id, record)| (uuid::Uuid::from_u128(id), record);
        Self {
            config,
            floor_ms: kept.floor_ms,
            ids: kept.lines.into_iter().map(record).collect(),
        }
    }

    /// Memory to send to the next home: the newest ids, at most [`MAX_HANDOVER_IDS`],
    /// with the floor raised to cover the others.
    pub fn handover_state(&self) -> HandoverState {
        let older = self.ids.len().saturating_sub(MAX_HANDOVER_IDS);
        let newest_left_out = self.ids.keys().take(older).next_back();
        let left_out_ms = newest_left_out.and_then(|id| stamp_ms(ids::RequestId(*id)));
        let newer = self.ids.iter().skip(older);
        HandoverState {
            floor_ms: self.floor_ms.max(left_out_ms.unwrap_or(0)),
            lines: newer.map(|(id, record)| (id.as_u128(), *record)).collect(),
        }
    }

    /// Admits an id once; the same attempt may ask again.
    pub fn begin(&mut self, id: ids::RequestId, attempt: AttemptId, now_unix_ms: u64) -> Begin {
        let Some(stamp_ms) = stamp_ms(id) else {
            return Begin::FromFuture;
        };
        if let Some(record) = self.ids.get(&id.0) {
            return match record.attempt == attempt {
                true => Begin::Fresh,
                false => Begin::Repeat(record.verdict),
            };
        }
        self.forget_old(now_unix_ms);
        if let Some(refused) = self.refused(stamp_ms, now_unix_ms) {
            return refused;
        }
        let verdict = Verdict::MayHaveRun;
        self.ids.insert(id.0, IdRecord { attempt, verdict });
        Begin::Fresh
    }

    /// Returns what is known of an id apart from this attempt, without admitting it.
    ///
    /// [`Begin::Fresh`] means that no other attempt is known to have begun.
    pub fn peek(&self, id: ids::RequestId, attempt: AttemptId, now_unix_ms: u64) -> Begin {
        let Some(stamp_ms) = stamp_ms(id) else {
            return Begin::FromFuture;
        };
        match self.ids.get(&id.0) {
            Some(record) if record.attempt == attempt => Begin::Fresh,
            Some(record) => Begin::Repeat(record.verdict),
            None => self.refused(stamp_ms, now_unix_ms).unwrap_or(Begin::Fresh),
        }
    }

    /// Refusal of an id that is not remembered, by its time stamp alone.
    ///
    /// The floor is checked first: an earlier home whose clock was ahead of ours
    /// may have admitted an id below the floor that is in the future here.
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

    /// Records how an attempt ended; an id that did not run may begin again.
    pub fn end(&mut self, id: ids::RequestId, attempt: AttemptId, verdict: Verdict) {
        let Some(record) = self.ids.get_mut(&id.0) else {
            return;
        };
        if record.attempt != attempt {
            return;
        }
        match verdict {
            Verdict::NotRun => {
                self.ids.remove(&id.0);
            }
            verdict => record.verdict = verdict,
        }
    }

    /// Number of remembered ids.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Whether no id is remembered.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    /// Time stamp up to which an id that is not remembered is refused, in
    /// milliseconds since 1970.
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

/// Shard whose holder is the home of an id, by the low, random bits of the id.
pub fn home_of(id: ids::RequestId) -> Option<ids::ShardId> {
    let number = id.0.as_u128() % u128::from(claims::ID_SHARDS);
    claims::id_shard(u32::try_from(number).ok()?)
}
