//! How much slower than others a worker is: its lasting slowdown, and a transient slowdown of
//! speed that its runs show at the moment.

use std::time;

use figscale_types::fleet;

use super::TRANSIENT_THRESHOLD;
use super::run;

/// Number of runs that are remembered.
const MAX_EVIDENCE: usize = 24;
const SLOTS: u64 = MAX_EVIDENCE as u64;
/// The weight of a run halves with this age.
const HALF_LIFE: time::Duration = time::Duration::from_secs(20);
/// A run weighs less beyond this many standard deviations; one in thirty tasks takes
/// several times as long as the others.
const CLIP_DEVIATIONS: f64 = 2.0;
/// Runs and jobs from which on a worker's own evidence counts.
pub(super) const MIN_RUNS: usize = 5;
const MIN_JOBS: usize = 4;
/// The same where other workers of its service are known to differ.
const MIN_RUNS_AMONG_DIFFERENT: usize = 3;
const MIN_JOBS_AMONG_DIFFERENT: usize = 2;
/// Ratio of two neighbouring slowdowns, as a logarithm (1.15).
const STEP: f64 = 0.139_762;
/// A slowdown is kept while the estimate is within this of it.
const KEEP: f64 = 0.8 * STEP;
/// Number of standard deviations from the ordinary speed at which a worker counts as
/// different: where others of its service do, and where none does. The latter is
/// exceeded by chance less than once in 1e7 estimates.
const SIGNIFICANT_AMONG_DIFFERENT: f64 = 3.0;
const SIGNIFICANT_AMONG_EQUAL: f64 = 5.5;
/// The end of a run that a report tells of longer than this after the report before
/// says little about the run's length. Reports come each second at least.
const MAX_REPORT_GAP_MS: u64 = 1_300;
/// Half-life of what is known of a worker without new evidence. A worker that is
/// taken for slow may get no work, and would never show that it has recovered.
const IDLE_HALF_LIFE: time::Duration = time::Duration::from_secs(5);
/// Bounds of a slowdown, in percent: clocks of workers may jump.
const MIN_PERCENT: f64 = 10.0;
const MAX_PERCENT: f64 = 2_000.0;
/// Precision of what is known without evidence of its own: of a worker like any
/// other, and of one that an earlier leader or its kind tells of.
const PRECISION_OF_NOTHING: f64 = 4.0;
const PRECISION_OF_PRIOR: f64 = 100.0;
/// Own runs after which the latter no longer counts.
const PRIOR_RUNS: f64 = 12.0;
/// Age up to which a change of a run's speed counts.
const MAX_CHANGE_AGE: time::Duration = time::Duration::from_millis(1_300);
/// Without new evidence a transient slowdown is taken to be over after this time, since a
/// worker that gets no work shows none.
const MAX_TRANSIENT_AGE: time::Duration = time::Duration::from_millis(2_000);
/// A transient slowdown that lasts for this time is taken as the worker's lasting speed.
const MAX_TRANSIENT: time::Duration = time::Duration::from_secs(12);
/// Fewest jobs whose runs show a transient slowdown.
const MIN_SLOWED_JOBS: usize = 2;
/// Fewest runs of one job that show a transient slowdown, if all do that.
const MIN_SLOWED_RUNS_OF_ONE_JOB: usize = 3;

/// What one run says, in logarithms.
#[derive(Clone, Copy, Debug)]
struct Evidence {
    job: fleet::JobId,
    residual: f64,
    variance: f64,
    at: time::Instant,
}

/// A run's speed now relative to that of an ordinary run here.
#[derive(Clone, Copy, Debug)]
struct Change {
    task: fleet::TaskId,
    factor: f64,
    at: time::Instant,
}

/// A worker's lasting slowdown as its runs show it, in logarithms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Estimate {
    pub(super) mean: f64,
    pub(super) variance: f64,
    pub(super) runs: usize,
    pub(super) jobs: usize,
}

impl Estimate {
    fn is_enough_among_different(&self) -> bool {
        self.runs >= MIN_RUNS_AMONG_DIFFERENT && self.jobs >= MIN_JOBS_AMONG_DIFFERENT
    }
}

/// Ordinary speed among the workers of a service, in logarithms.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Reference {
    pub(super) anchor: f64,
    /// Whether its workers differ by more than measurement error.
    pub(super) differs: bool,
}

/// Evidence on the speed of one worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkerSpeed {
    /// Tells workers apart.
    pub(super) serial: u32,
    evidence: Vec<Evidence>,
    next_slot: u64,
    estimate: Option<Estimate>,
    changes: Vec<Change>,
    transient: f64,
    transient_since: Option<time::Instant>,
    transient_seen_at: Option<time::Instant>,
    /// Time of the latest evidence, or else of the first report.
    evident_at: Option<time::Instant>,
    /// Part of what is known that still counts at the latest report.
    freshness: f64,
    /// Slowdown by an earlier leader's record, or of its kind.
    prior: Option<fleet::Slowdown>,
    /// The lasting slowdown.
    lasting: fleet::Slowdown,
    slowdown: fleet::Slowdown,
    changed: bool,
    /// Its clock at the last report.
    report_ms: Option<u64>,
    /// Whether that came soon after the one before.
    prompt: bool,
}

impl WorkerSpeed {
    /// A worker of which nothing but this slowdown is known.
    pub(super) fn known(serial: u32, slowdown: fleet::Slowdown) -> Self {
        Self {
            serial,
            prior: (slowdown != fleet::Slowdown::ORDINARY).then_some(slowdown),
            lasting: slowdown,
            slowdown,
            freshness: 1.0,
            ..Self::default()
        }
    }

    pub(crate) fn slowdown(&self) -> fleet::Slowdown {
        self.slowdown
    }

    /// The lasting slowdown, without a transient slowdown.
    pub(crate) fn lasting_slowdown(&self) -> fleet::Slowdown {
        self.lasting
    }

    /// Number of runs that it is known from.
    pub(crate) fn runs(&self) -> usize {
        self.evidence.len()
    }

    /// Its own evidence, if there is enough.
    pub(super) fn estimate(&self) -> Option<Estimate> {
        self.estimate
            .filter(|estimate| estimate.runs >= MIN_RUNS && estimate.jobs >= MIN_JOBS)
    }

    /// Its lasting slowdown as far as known, relative to an ordinary worker, in
    /// logarithms. Queues are compared by what is left beside this. Beside the absolute
    /// figure, any bias of the estimate would accumulate in workers and queues.
    pub(super) fn lasting(&self, anchor: f64) -> f64 {
        self.combined(anchor).0 - anchor
    }

    /// Its present slowdown relative to the lasting one, in logarithms.
    pub(super) fn transient(&self) -> f64 {
        self.transient
    }

    /// Records the worker's clock at a report.
    pub(crate) fn record_report(&mut self, clock_ms: u64) {
        let last = self.report_ms.replace(clock_ms);
        self.prompt = last.is_some_and(|last| clock_ms <= last + MAX_REPORT_GAP_MS);
    }

    /// Its clock at the last report, if runs whose end that reported have ended only
    /// just before.
    pub(crate) fn prompt_report_ms(&self) -> Option<u64> {
        self.report_ms.filter(|_| self.prompt)
    }

    /// Records what a run says about the lasting slowdown, in place of what it said
    /// before.
    pub(super) fn record(
        &mut self,
        run: &mut run::RunSpeed,
        job: fleet::JobId,
        (residual, variance): (f64, f64),
        now: time::Instant,
    ) {
        let kept = |slot: &u64| slot + SLOTS > self.next_slot;
        let slot = run.slot.filter(kept).unwrap_or(self.next_slot);
        let evidence = Evidence {
            job,
            residual,
            variance,
            at: now,
        };
        let index = (slot % SLOTS) as usize;
        match self.evidence.get_mut(index) {
            Some(place) => *place = evidence,
            None => self.evidence.push(evidence),
        }
        self.next_slot = self.next_slot.max(slot + 1);
        run.slot = Some(slot);
        self.changed = true;
    }

    /// Records by how much a run is slower than an ordinary one here.
    pub(super) fn record_change(&mut self, task: fleet::TaskId, factor: f64, now: time::Instant) {
        self.changes.retain(|change| change.task != task);
        self.changes.push(Change {
            task,
            factor,
            at: now,
        });
        self.changed = true;
    }

    /// Derives the slowdown from the evidence; returns whether it has moved.
    pub(super) fn update(
        &mut self,
        reference: Reference,
        observed_runs: usize,
        now: time::Instant,
    ) -> bool {
        if self.changed {
            self.changed = false;
            self.estimate = self.locate();
            self.evident_at = Some(now);
        }
        let idle = now.saturating_duration_since(*self.evident_at.get_or_insert(now));
        self.freshness = (-idle.as_secs_f64() / IDLE_HALF_LIFE.as_secs_f64()).exp2();
        self.update_transient(observed_runs, now);
        let (mean, precision) = self.combined(reference.anchor);
        let lasting = mean - reference.anchor;
        self.lasting = self.choose_lasting(lasting, precision, reference.differs);
        let slowdown = self.with_transient();
        let moved = slowdown != self.slowdown;
        self.slowdown = slowdown;
        moved
    }

    fn choose_lasting(&self, lasting: f64, precision: f64, differs: bool) -> fleet::Slowdown {
        if (lasting - logarithm(self.lasting)).abs() <= KEEP {
            return self.lasting;
        }
        let significant = match differs {
            true => SIGNIFICANT_AMONG_DIFFERENT,
            false => SIGNIFICANT_AMONG_EQUAL,
        };
        let enough = match differs {
            true => self.estimate.filter(Estimate::is_enough_among_different),
            false => self.estimate(),
        };
        let shown = enough.is_some() && lasting.abs() * precision.sqrt() >= significant;
        match shown || self.lasting != fleet::Slowdown::ORDINARY {
            true => quantized(lasting),
            false => self.lasting,
        }
    }

    fn with_transient(&self) -> fleet::Slowdown {
        if self.transient == 0.0 {
            return self.lasting;
        }
        let present = logarithm(self.lasting) + self.transient;
        match (present - logarithm(self.slowdown)).abs() <= KEEP {
            true => self.slowdown,
            false => quantized(present),
        }
    }

    /// Mean and precision of its lasting slowdown from all that is known.
    fn combined(&self, anchor: f64) -> (f64, f64) {
        let runs = self.estimate.map_or(0, |estimate| estimate.runs) as f64;
        let prior = self.prior.map(|prior| {
            let mean = logarithm(prior) + anchor;
            let left = (1.0 - runs / PRIOR_RUNS).max(0.0);
            (mean, PRECISION_OF_PRIOR * left * self.freshness)
        });
        let own = self
            .estimate
            .map(|own| (own.mean, self.freshness / own.variance));
        let nothing = (anchor, PRECISION_OF_NOTHING * (1.0 - self.freshness));
        let known = match prior {
            Some(prior) => [Some(prior), Some(nothing), own],
            None => [Some((anchor, PRECISION_OF_NOTHING)), None, own],
        };
        let known = || known.iter().flatten();
        let precision: f64 = known().map(|(_, precision)| precision).sum();
        let sum: f64 = known().map(|(mean, precision)| mean * precision).sum();
        match precision > 0.0 {
            true => (sum / precision, precision),
            false => (anchor, 0.0),
        }
    }

    /// Mean of the evidence, with outliers clipped around the median.
    fn locate(&self) -> Option<Estimate> {
        let newest = self.evidence.iter().map(|evidence| evidence.at).max()?;
        // The runs of one job have the error of their estimate in common.
        let mut jobs: Vec<(fleet::JobId, f64)> = Vec::new();
        for evidence in &self.evidence {
            match jobs.iter_mut().find(|(job, _)| *job == evidence.job) {
                Some((_, runs)) => *runs += 1.0,
                None => jobs.push((evidence.job, 1.0)),
            }
        }
        let runs_of = |job| jobs.iter().find(|(other, _)| *other == job);
        let weighted = self.evidence.iter().map(|evidence| {
            let age = newest.saturating_duration_since(evidence.at);
            let age = age.as_secs_f64() / HALF_LIFE.as_secs_f64();
            let runs = runs_of(evidence.job).map_or(1.0, |(_, runs)| *runs);
            (evidence, (-age).exp2() / (evidence.variance * runs))
        });
        let mut weighted: Vec<(&Evidence, f64)> = weighted.collect();
        weighted.sort_by(|a, b| a.0.residual.total_cmp(&b.0.residual));
        let total: f64 = weighted.iter().map(|(_, weight)| weight).sum();
        let mut below = 0.0;
        let median = weighted.iter().find(|(_, weight)| {
            below += weight;
            below >= total / 2.0
        });
        let median = median?.0.residual;
        let deviations = weighted.iter().map(|(evidence, weight)| {
            let most = CLIP_DEVIATIONS * evidence.variance.sqrt();
            (evidence.residual - median).clamp(-most, most) * weight
        });
        let sum: f64 = deviations.sum();
        let deviations = weighted.iter();
        let mut deviations: Vec<f64> = deviations
            .map(|(evidence, _)| (evidence.residual - median).abs())
            .collect();
        let deviation = super::DEVIATION_OF_MEDIAN * super::median(&mut deviations);
        let seen = deviation * deviation / jobs.len() as f64;
        Some(Estimate {
            mean: median + sum / total,
            variance: seen.max(1.0 / total),
            runs: weighted.len(),
            jobs: jobs.len(),
        })
    }

    fn update_transient(&mut self, observed_runs: usize, now: time::Instant) {
        let old = |at: time::Instant, age| now.saturating_duration_since(at) > age;
        self.changes
            .retain(|change| !old(change.at, MAX_CHANGE_AGE));
        let mut factors: Vec<f64> = self.changes.iter().map(|change| change.factor).collect();
        factors.sort_by(f64::total_cmp);
        let slowed = |change: &&Change| change.factor >= TRANSIENT_THRESHOLD;
        let mut jobs: Vec<fleet::JobId> = Vec::new();
        for change in self.changes.iter().filter(slowed) {
            if !jobs.contains(&change.task.job) {
                jobs.push(change.task.job);
            }
        }
        // The lower of the two in the middle decides, so that half is not enough.
        let middle = factors.get(factors.len().saturating_sub(1) / 2);
        let middle = middle.copied().unwrap_or_default();
        let slowed = self.changes.iter().filter(slowed).count();
        let of_one_job = slowed >= MIN_SLOWED_RUNS_OF_ONE_JOB && slowed == factors.len();
        let enough = jobs.len() >= MIN_SLOWED_JOBS || of_one_job;
        let shows_transient =
            enough && 2 * slowed >= observed_runs && middle >= TRANSIENT_THRESHOLD;
        let shows_none = !factors.is_empty() && middle < TRANSIENT_THRESHOLD;
        if shows_transient {
            self.transient_since = self.transient_since.or(Some(now));
            self.transient_seen_at = self.changes.iter().map(|change| change.at).max();
            self.transient = middle;
        } else if shows_none
            || self
                .transient_seen_at
                .is_some_and(|at| old(at, MAX_TRANSIENT_AGE))
        {
            self.end_transient();
        }
        if self
            .transient_since
            .is_some_and(|at| old(at, MAX_TRANSIENT))
        {
            self.accept_transient();
        }
    }

    fn end_transient(&mut self) {
        self.transient = 0.0;
        self.transient_since = None;
        self.transient_seen_at = None;
    }

    /// Starts over from the present slowdown as the lasting one.
    fn accept_transient(&mut self) {
        self.prior = Some(self.slowdown);
        self.lasting = self.slowdown;
        self.evidence.clear();
        // No run that goes on has a slot among the new ones.
        self.next_slot = (self.next_slot / SLOTS + 2) * SLOTS;
        self.estimate = None;
        self.changes.clear();
        self.end_transient();
    }
}

/// The nearest of the slowdowns that are told apart.
fn quantized(ratio: f64) -> fleet::Slowdown {
    let ratio = (ratio / STEP).round() * STEP;
    let percent = (ratio.exp() * 100.0).clamp(MIN_PERCENT, MAX_PERCENT);
    fleet::Slowdown::from_percent(percent.round() as u32)
}

fn logarithm(slowdown: fleet::Slowdown) -> f64 {
    match slowdown {
        fleet::Slowdown::ORDINARY => 0.0,
        _ => (f64::from(slowdown.percent()) / 100.0).ln(),
    }
}
