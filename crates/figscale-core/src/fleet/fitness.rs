//! Whether an instance's machine has turned slow, and whether that is reason to
//! hand leadership over.
//!
//! Late timers alone do not tell: a leader of half a core with 350 workers has
//! them 9 ms late on a sound machine, and an instance that does not lead has
//! them on time on a machine that runs five times slower. So at each beat an
//! instance also times a small fixed piece of computing. Its pace, against the
//! instance's own usual one, tells that the machine is the cause and not the
//! load; the lag tells that it hurts.
//!
//! A slow instance counts with the processor that is left to it, so that the
//! rules for unequal instances hold: it stands a moment later, and it hands over
//! if another has clearly more. If all are slow, or the others are weaker still,
//! it leads on.
//!
//! The best of a span counts for its pace and the middle for its lag, so a
//! freeze that is over, or a stall, changes one beat and neither of these. What
//! waits for the store or for peers delays no beat at all.
//!
//! Figures, from logs of calm days on which the leader's machine ran five times
//! slower for six seconds, on instances of a quarter and of half a core:
//!
//! | | usual | slow |
//! | --- | --- | --- |
//! | pace, best of 0.25 s, against the usual | 0.8 to 2 times as long | 4 to 6 times |
//! | lag of a leader of 48 workers, middle of 0.25 s | 1.0 to 1.7 ms | 1 to 33 ms, mostly over 6 |
//! | lag of a leader of 350 workers | 1.0 to 9 ms | 59 to 210 ms |
//! | lag of the others | 0.9 to 1.5 ms | 1.0 to 2.3 ms |

use std::collections;
use std::time;

/// Time between beats; three to a span. With 25 beats a second an instance took
/// 0.0012 of a core more on calm days, of 0.0074.
pub const BEAT: time::Duration = time::Duration::from_millis(66);

/// Beats are judged together over so long, since some are disturbed.
const SPAN: time::Duration = time::Duration::from_millis(200);
/// The usual pace is judged from so many spans, 100 s of them.
const KNOWN_SPANS: usize = 500;
/// Spans before anything is judged; a process's first second is not its usual.
const FIRST_SPANS: usize = 10;
/// A machine is slow that takes so many times the usual. Sound ones took up to
/// twice as long, slowed ones four times and more.
const SLOW_TIMES: u64 = 3;
/// Spans in a row after which a machine is held for slow, 0.4 s. Standing 0.35 s
/// later is all that a mistake costs.
const SLOW_SPANS: usize = 2;
/// Spans in a row after which a slow one is held for well again, 1 s.
const WELL_SPANS: usize = 5;
/// A leader hands over after so long on a slow machine; a takeover costs 0.1 to
/// 1 s without placement.
const LASTING: time::Duration = time::Duration::from_millis(800);
/// Lag with which it does, in the mean of the latest spans. Timers are 1 ms late
/// as a rule, by their grain.
const LAG: time::Duration = time::Duration::from_millis(4);
/// With so much lag it hands over as soon as its machine is held for slow, after
/// the time for which peers bear its silence: each call of a caller, a worker or
/// a peer waits for it several times. Seen: 59 to 210 ms, and 1.4 s to decide.
const HEAVY_LAG: time::Duration = time::Duration::from_millis(50);
/// How many spans the mean is taken of.
const LAG_SPANS: usize = 4;

/// What a leader on a slow machine hands over for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lag {
    /// How late its timers are, in the middle.
    pub late: time::Duration,
    /// How long the machine has been slow.
    pub age: time::Duration,
}

/// A change of what is held of this machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// It takes so many times as long as usual.
    Slow(u64),
    /// It is well again, after so long.
    Well(time::Duration),
}

#[derive(Clone, Copy, Debug)]
struct Span {
    /// Best time of the piece of computing.
    pace: time::Duration,
    /// Middle of the lateness of timers.
    late: time::Duration,
    /// How many times the usual the pace was.
    times: u64,
}

/// What an instance has measured of itself.
#[derive(Clone, Debug, Default)]
pub struct Fitness {
    /// Beats of the span in progress: lateness and pace.
    beats: Vec<(time::Duration, time::Duration)>,
    span_begun: Option<time::Instant>,
    spans: collections::VecDeque<Span>,
    /// Since when each span has been slow.
    run_since: Option<time::Instant>,
    /// Since when the machine is held for slow.
    slow_since: Option<time::Instant>,
}

impl Fitness {
    /// Takes in a beat: how late it came, and how long the piece of computing
    /// took.
    pub fn beat(
        &mut self,
        late: time::Duration,
        took: time::Duration,
        now: time::Instant,
    ) -> Option<Turn> {
        let begun = *self.span_begun.get_or_insert(now);
        self.beats.push((late, took));
        if now < begun + SPAN {
            return None;
        }
        self.span_begun = Some(now);
        let times = self.end_span();
        self.run_since = match times >= SLOW_TIMES {
            true => self.run_since.or(Some(begun)),
            false => None,
        };
        self.turn(times, now)
    }

    /// Ends the span; how many times the usual its pace was.
    fn end_span(&mut self) -> u64 {
        let pace = self.beats.iter().map(|(_, took)| *took).min();
        let pace = pace.unwrap_or_default();
        let mut late: Vec<_> = self.beats.iter().map(|(late, _)| *late).collect();
        let late = middle(&mut late, 2);
        self.beats.clear();
        let times = match self.spans.len() >= FIRST_SPANS {
            true => (pace.as_nanos() / self.usual_pace().as_nanos().max(1)) as u64,
            false => 1,
        };
        if self.spans.len() == KNOWN_SPANS {
            self.spans.pop_front();
        }
        self.spans.push_back(Span { pace, late, times });
        times
    }

    /// The quicker quarter: an idle instance takes up to 2.6 times as long as a
    /// busy one, and a slow time does not become the usual before it is most of
    /// what is known.
    fn usual_pace(&self) -> time::Duration {
        let mut paces: Vec<_> = self.spans.iter().map(|span| span.pace).collect();
        middle(&mut paces, 4)
    }

    fn turn(&mut self, times: u64, now: time::Instant) -> Option<Turn> {
        match self.slow_since {
            None if self.last_are(SLOW_SPANS, |span| span.times >= SLOW_TIMES) => {
                self.slow_since = self.run_since;
                Some(Turn::Slow(times))
            }
            Some(since) if self.last_are(WELL_SPANS, |span| span.times < SLOW_TIMES) => {
                self.slow_since = None;
                Some(Turn::Well(now.saturating_duration_since(since)))
            }
            _ => None,
        }
    }

    fn last_are(&self, count: usize, holds: impl Fn(&Span) -> bool) -> bool {
        self.spans.len() >= count && self.spans.iter().rev().take(count).all(holds)
    }

    /// What is left of so many thousandths of a core.
    pub fn left_of(&self, millis: u64) -> u64 {
        let last = self.spans.back().filter(|_| self.slow_since.is_some());
        last.map_or(millis, |span| millis / span.times.max(SLOW_TIMES))
    }

    /// The lag for which a leader should hand over to whoever has clearly more
    /// left.
    pub fn lasting_lag(&self, now: time::Instant) -> Option<Lag> {
        let age = now.saturating_duration_since(self.slow_since?);
        let recent = self.spans.iter().rev().take(LAG_SPANS);
        let slow = recent.take_while(|span| span.times >= SLOW_TIMES);
        let late: Vec<_> = slow.map(|span| span.late).collect();
        if late.len() < SLOW_SPANS {
            return None;
        }
        let late = late.iter().sum::<time::Duration>() / late.len() as u32;
        let needed = match late >= HEAVY_LAG {
            true => time::Duration::ZERO,
            false => LASTING,
        };
        (late >= LAG && age >= needed).then_some(Lag { late, age })
    }
}

/// The value below which one part in `parts` lies.
fn middle(values: &mut [time::Duration], parts: usize) -> time::Duration {
    if values.is_empty() {
        return time::Duration::ZERO;
    }
    let at = values.len() / parts;
    *values.select_nth_unstable(at).1
}
