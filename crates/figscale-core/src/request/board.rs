//! What other holders last said of their free slots, and the choice among them.
//!
//! Holders tell each other their counts on change, at a bounded rate. A count is
//! old the moment it arrives, so every request sent on the strength of it is
//! subtracted at once, and a line that has not been refreshed for
//! [`BoardConfig::stale_after`] counts as having nothing free. Of two holders drawn at random the one
//! with more room wins: drawing spreads what many entry instances decide at the
//! same moment on the same counts, where taking the best of all would send
//! everything to one.

use std::time;

use figscale_types::catalogue;
use figscale_types::ids;
use indexmap::IndexMap;
use rand::RngExt as _;
use serde::Deserialize;
use serde::Serialize;

use super::queue;

/// Settings of the board.
#[derive(Clone, Copy, Debug)]
pub struct BoardConfig {
    /// Age at which a line's free slots count as taken. Default 1,500 ms.
    pub stale_after: time::Duration,
}

impl Default for BoardConfig {
    fn default() -> Self {
        Self {
            stale_after: time::Duration::from_millis(1_500),
        }
    }
}

/// Room of one holder for one service, by urgency from the most urgent.
///
/// A slot that is kept for interactive requests is free to them and to nobody
/// else, and what is less urgent than a request does not stand before it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Slots in all, free or not, that the holder may grant.
    pub slots: u32,
    /// Slots that a request of each urgency could have now.
    pub free: [u32; 3],
    /// Requests that would go before a request of each urgency.
    pub ahead: [u32; 3],
}

impl Counts {
    /// Room relative to size: above zero for free slots, below for a queue.
    pub fn room(&self, urgency: catalogue::Urgency, sent: u32) -> f64 {
        if self.slots == 0 {
            return f64::NEG_INFINITY;
        }
        let level = queue::level_of(urgency);
        let left = f64::from(self.free[level]) - f64::from(self.ahead[level]) - f64::from(sent);
        left / f64::from(self.slots)
    }
}

#[derive(Clone, Debug)]
struct Line {
    counts: Counts,
    heard: time::Instant,
    sent: u32,
}

/// Counts of the other holders.
#[derive(Clone, Debug, Default)]
pub struct Board {
    config: BoardConfig,
    lines: IndexMap<ids::ServiceName, IndexMap<ids::MemberKey, Line>>,
    heard: IndexMap<ids::MemberKey, time::Instant>,
}

/// A holder that was chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Who.
    pub member: ids::MemberKey,
    /// Its room, relative to its size.
    pub room: f64,
}

impl Board {
    /// An empty board.
    pub fn new(config: BoardConfig) -> Self {
        Self {
            config,
            ..Self::default()
        }
    }

    /// Takes in what a holder says of all its services.
    pub fn hear(
        &mut self,
        member: &ids::MemberKey,
        counts: &IndexMap<ids::ServiceName, Counts>,
        now: time::Instant,
    ) {
        self.heard.insert(member.clone(), now);
        for (service, lines) in &mut self.lines {
            if !counts.contains_key(service) {
                lines.swap_remove(member);
            }
        }
        for (service, counts) in counts {
            let line = Line {
                counts: *counts,
                heard: now,
                sent: 0,
            };
            let lines = self.lines.entry(service.clone()).or_default();
            lines.insert(member.clone(), line);
        }
    }

    /// Keeps only the lines of live members.
    pub fn retain(&mut self, is_live: impl Fn(&ids::MemberKey) -> bool) {
        self.heard.retain(|member, _| is_live(member));
        for lines in self.lines.values_mut() {
            lines.retain(|member, _| is_live(member));
        }
    }

    /// Whether a holder has said nothing for longer than its lines last.
    pub fn is_silent(&self, member: &ids::MemberKey, now: time::Instant) -> bool {
        let heard = self.heard.get(member);
        heard.is_none_or(|heard| now.saturating_duration_since(*heard) > self.config.stale_after)
    }

    /// Notes that a request was sent to a holder on the strength of its counts.
    pub fn sent(&mut self, service: &ids::ServiceName, member: &ids::MemberKey) {
        if let Some(line) = self.line_mut(service, member) {
            line.sent += 1;
        }
    }

    /// Notes that a holder refused for want of room.
    pub fn refused(&mut self, service: &ids::ServiceName, member: &ids::MemberKey) {
        if let Some(line) = self.line_mut(service, member) {
            line.sent = line.sent.max(line.counts.free[0]);
        }
    }

    /// The better of two holders drawn at random, `None` without any.
    pub fn choose(
        &self,
        service: &ids::ServiceName,
        urgency: catalogue::Urgency,
        excluded: &[ids::MemberKey],
        now: time::Instant,
        rng: &mut impl rand::Rng,
    ) -> Option<Choice> {
        let lines = self.lines.get(service)?;
        let open: Vec<_> = lines
            .iter()
            .filter(|(member, line)| line.counts.slots > 0 && !excluded.contains(member))
            .collect();
        if open.is_empty() {
            return None;
        }
        let first = rng.random_range(0..open.len());
        let mut second = rng.random_range(0..open.len());
        if second == first {
            second = (first + 1) % open.len();
        }
        let best = [open[first], open[second]]
            .into_iter()
            .map(|(member, line)| (member, self.room(line, urgency, now)))
            .reduce(|a, b| if b.1 > a.1 { b } else { a })?;
        Some(Choice {
            member: best.0.clone(),
            room: best.1,
        })
    }

    /// Members that said anything, if only that they hold nothing.
    pub fn heard(&self) -> impl Iterator<Item = &ids::MemberKey> {
        self.heard.keys()
    }

    /// Lines for a dump: service, holder, counts.
    pub fn lines(&self) -> impl Iterator<Item = (&ids::ServiceName, &ids::MemberKey, Counts)> {
        self.lines.iter().flat_map(|(service, lines)| {
            lines
                .iter()
                .map(move |(member, line)| (service, member, line.counts))
        })
    }

    fn room(&self, line: &Line, urgency: catalogue::Urgency, now: time::Instant) -> f64 {
        let stale = now.saturating_duration_since(line.heard) > self.config.stale_after;
        let counts = match stale {
            true => Counts {
                free: [0; 3],
                ..line.counts
            },
            false => line.counts,
        };
        counts.room(urgency, line.sent)
    }

    fn line_mut(
        &mut self,
        service: &ids::ServiceName,
        member: &ids::MemberKey,
    ) -> Option<&mut Line> {
        self.lines.get_mut(service)?.get_mut(member)
    }
}
