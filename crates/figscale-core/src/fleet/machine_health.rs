//! Detection of a machine that has become slow, and of the need to hand over
//! leadership for it.
//!
//! Late timers alone are no evidence. A leader with half a core and 350 workers
//! has its timers 9 ms late on a healthy machine, and an instance that does not
//! lead has them on time on a machine that is five times slower. So with each
//! sample an instance also times a small fixed computation. Its duration,
//! relative to the instance's own usual one, shows that the machine is the
//! cause and not the load; the lag of the timers shows that the slowness has an
//! effect.
//!
//! A slow instance counts with the processor capacity that is left to it, so
//! the rules for unequal instances apply: it runs for leader a little later,
//! and hands over if another instance has clearly more. If all are slow, or the
//! others are weaker still, it keeps leading.
//!
//! Of each span, the minimum of the durations and the median of the lags are
//! used. A short freeze or stall therefore disturbs one sample and neither of
//! these. Waiting for the store or for peers delays no sample at all.
//!
//! Measurements, from logs of quiet days on which the leader's machine was
//! slowed down five times for six seconds, on instances of a quarter and of
//! half a core:
//!
//! | | usual | slow |
//! | --- | --- | --- |
//! | duration, minimum in 0.25 s, relative to the usual | 0.8 to 2 | 4 to 6 |
//! | lag of a leader of 48 workers, median in 0.25 s | 1.0 to 1.7 ms | 1 to 33 ms, mostly over 6 |
//! | lag of a leader of 350 workers | 1.0 to 9 ms | 59 to 210 ms |
//! | lag of the others | 0.9 to 1.5 ms | 1.0 to 2.3 ms |

use std::collections;
use std::time;

/// Time between samples, three of which make a span. At 25 samples a second an
/// instance used 0.0012 of a core more on quiet days, out of 0.0074.
pub const SAMPLE_INTERVAL: time::Duration = time::Duration::from_millis(66);

/// Samples are evaluated together over this time, since single ones may be
/// disturbed.
const SPAN: time::Duration = time::Duration::from_millis(200);
/// Number of spans that the usual duration is computed from, 100 s of them.
const HISTORY_SPANS: usize = 500;
/// Number of spans before the first evaluation; the first second of a process
/// is not typical.
const WARMUP_SPANS: usize = 10;
/// A machine is slow if the computation takes this multiple of its usual
/// duration. Healthy machines took up to twice as long, slowed ones four times
/// and more.
const SLOW_RATIO: u64 = 3;
/// Number of consecutive slow spans, 0.4 s, after which the machine is taken to
/// be slow. The only cost of a false positive is a candidacy 0.35 s later.
const SLOW_SPANS: usize = 2;
/// Number of consecutive normal spans, 1 s, after which a slow machine is taken
/// to be normal again.
const NORMAL_SPANS: usize = 5;
/// A leader hands over after this time on a slow machine, since a takeover
/// costs 0.1 to 1 s without placement.
const HANDOVER_AFTER: time::Duration = time::Duration::from_millis(800);
/// Minimum lag for a handover, as the mean over the latest spans. Timers are
/// usually 1 ms late, due to their resolution.
const MIN_HANDOVER_LAG: time::Duration = time::Duration::from_millis(4);
/// With this lag a leader hands over as soon as its machine is taken to be
/// slow, after the time that peers wait for an unresponsive leader: each call
/// of a caller, a worker or a peer waits for this lag several times. Lags of 59
/// to 210 ms were seen, and 1.4 s for a decision.
const HEAVY_LAG: time::Duration = time::Duration::from_millis(50);
/// Number of spans that the mean is computed over.
const LAG_SPANS: usize = 4;

/// Why a leader on a slow machine hands over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HandoverLag {
    /// Mean of the median lags of the latest spans.
    pub late: time::Duration,
    /// How long the machine has been slow.
    pub age: time::Duration,
}

/// A change of the state of this machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineHealthChange {
    /// It became slow; the computation takes this multiple of its usual
    /// duration.
    Slow(u64),
    /// It is normal again, after it was slow for this time.
    Normal(time::Duration),
}

#[derive(Clone, Copy, Debug)]
struct Span {
    /// Minimum duration of the computation.
    duration: time::Duration,
    /// Median lag of the timers.
    late: time::Duration,
    /// The minimum duration as a multiple of the usual one.
    ratio: u64,
}

/// What an instance has measured of its own machine.
#[derive(Clone, Debug, Default)]
pub struct MachineHealth {
    /// Samples of the current span: lag and duration.
    samples: Vec<(time::Duration, time::Duration)>,
    span_started: Option<time::Instant>,
    spans: collections::VecDeque<Span>,
    /// Start of the current sequence of slow spans.
    slow_run_since: Option<time::Instant>,
    /// Since when the machine is taken to be slow.
    slow_since: Option<time::Instant>,
}

impl MachineHealth {
    /// Adds a sample: how late its timer fired, and how long the computation
    /// took.
    pub fn add_sample(
        &mut self,
        late: time::Duration,
        took: time::Duration,
        now: time::Instant,
    ) -> Option<MachineHealthChange> {
        let begun = *self.span_started.get_or_insert(now);
        self.samples.push((late, took));
        if now < begun + SPAN {
            return None;
        }
        self.span_started = Some(now);
        let ratio = self.end_span();
        self.slow_run_since = match ratio >= SLOW_RATIO {
            true => self.slow_run_since.or(Some(begun)),
            false => None,
        };
        self.state_change(ratio, now)
    }

    /// Ends the span. Returns the minimum duration of the computation in it as a
    /// multiple of the usual one.
    fn end_span(&mut self) -> u64 {
        let duration = self.samples.iter().map(|(_, took)| *took).min();
        let duration = duration.unwrap_or_default();
        let mut late: Vec<_> = self.samples.iter().map(|(late, _)| *late).collect();
        let late = quantile(&mut late, 2);
        self.samples.clear();
        let ratio = match self.spans.len() >= WARMUP_SPANS {
            true => (duration.as_nanos() / self.usual_duration().as_nanos().max(1)) as u64,
            false => 1,
        };
        if self.spans.len() == HISTORY_SPANS {
            self.spans.pop_front();
        }
        self.spans.push_back(Span {
            duration,
            late,
            ratio,
        });
        ratio
    }

    /// The lower quartile: an idle instance takes up to 2.6 times as long as a
    /// busy one, and a slow phase does not become the usual until it makes up
    /// most of the known spans.
    fn usual_duration(&self) -> time::Duration {
        let mut durations: Vec<_> = self.spans.iter().map(|span| span.duration).collect();
        quantile(&mut durations, 4)
    }

    fn state_change(&mut self, ratio: u64, now: time::Instant) -> Option<MachineHealthChange> {
        match self.slow_since {
            None if self.last_spans_are(SLOW_SPANS, |span| span.ratio >= SLOW_RATIO) => {
                self.slow_since = self.slow_run_since;
                Some(MachineHealthChange::Slow(ratio))
            }
            Some(since) if self.last_spans_are(NORMAL_SPANS, |span| span.ratio < SLOW_RATIO) => {
                self.slow_since = None;
                Some(MachineHealthChange::Normal(
                    now.saturating_duration_since(since),
                ))
            }
            _ => None,
        }
    }

    fn last_spans_are(&self, count: usize, holds: impl Fn(&Span) -> bool) -> bool {
        self.spans.len() >= count && self.spans.iter().rev().take(count).all(holds)
    }

    /// What is left of a processor capacity, in thousandths of a core.
    pub fn capacity_left(&self, millis: u64) -> u64 {
        let last = self.spans.back().filter(|_| self.slow_since.is_some());
        last.map_or(millis, |span| millis / span.ratio.max(SLOW_RATIO))
    }

    /// The lag that is reason for a leader to hand over to an instance with
    /// clearly more capacity left, if there is such a lag.
    pub fn handover_lag(&self, now: time::Instant) -> Option<HandoverLag> {
        let age = now.saturating_duration_since(self.slow_since?);
        let recent = self.spans.iter().rev().take(LAG_SPANS);
        let slow = recent.take_while(|span| span.ratio >= SLOW_RATIO);
        let late: Vec<_> = slow.map(|span| span.late).collect();
        if late.len() < SLOW_SPANS {
            return None;
        }
        let late = late.iter().sum::<time::Duration>() / late.len() as u32;
        let needed = match late >= HEAVY_LAG {
            true => time::Duration::ZERO,
            false => HANDOVER_AFTER,
        };
        (late >= MIN_HANDOVER_LAG && age >= needed).then_some(HandoverLag { late, age })
    }
}

/// The value below which one part in `parts` of the values lies.
fn quantile(values: &mut [time::Duration], parts: usize) -> time::Duration {
    if values.is_empty() {
        return time::Duration::ZERO;
    }
    let at = values.len() / parts;
    *values.select_nth_unstable(at).1
}
