//! What a load showed: counts, and latency and waiting time by class.

use std::fmt;
use std::time;

use figscale_types::clock;
use figscale_types::verdict::Verdict;
use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use super::Class;
use super::Outcome;
use super::request;
use crate::runner;

/// Significant digits of the histograms.
const DIGITS: u8 = 3;

/// Points of a distribution, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Quantiles {
    /// Median.
    pub p50_ms: f64,
    /// 90th percentile.
    pub p90_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Largest.
    pub max_ms: f64,
}

impl Quantiles {
    /// The points of these times.
    pub fn of(times: impl IntoIterator<Item = time::Duration>) -> Self {
        // Three digits are within the bounds of the library.
        let Ok(mut histogram) = Histogram::<u64>::new(DIGITS) else {
            return Self::default();
        };
        for time in times {
            let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
            // It grows by itself; only recording beyond all bounds fails.
            let _ = histogram.record(micros);
        }
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        Self {
            p50_ms: at(0.5),
            p90_ms: at(0.9),
            p99_ms: at(0.99),
            max_ms: histogram.max() as f64 / 1_000.0,
        }
    }
}

/// What became of the requests of a class.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassReport {
    /// Requests made.
    pub requests: u64,
    /// Whole answers to the very request.
    pub own: u64,
    /// Broken answers, and answers to somebody else's request.
    pub wrong: u64,
    /// Requests without an answer, or without its end.
    pub no_answer: u64,
    /// Failures by status and verdict, such as `503 not-run`.
    pub failed: IndexMap<String, u64>,
    /// Failures that tell when to come back.
    pub retry_after: u64,
    /// Time from intended arrival to the end of the answer, of own answers.
    pub latency: Quantiles,
    /// Latency less run time, of own answers.
    pub wait: Quantiles,
    /// Time to the final answer of requests that failed.
    pub failed_latency: Quantiles,
}

impl ClassReport {
    fn of(outcomes: &[&Outcome]) -> Self {
        let mut report = Self {
            requests: outcomes.len() as u64,
            ..Self::default()
        };
        for outcome in outcomes {
            report.count(&outcome.kind);
        }
        let own = || {
            outcomes
                .iter()
                .filter(|o| o.kind == request::OutcomeKind::Own)
        };
        let failed = outcomes
            .iter()
            .filter(|o| matches!(o.kind, request::OutcomeKind::Failed { .. }));
        report.latency = Quantiles::of(own().map(|o| o.latency));
        report.wait = Quantiles::of(own().map(|o| o.latency.saturating_sub(o.run)));
        report.failed_latency = Quantiles::of(failed.map(|o| o.latency));
        report
    }

    fn count(&mut self, kind: &request::OutcomeKind) {
        match kind {
            request::OutcomeKind::Own => self.own += 1,
            request::OutcomeKind::Wrong(_) => self.wrong += 1,
            request::OutcomeKind::NoAnswer(_) => self.no_answer += 1,
            request::OutcomeKind::Failed {
                status,
                verdict,
                retry_after,
            } => {
                let verdict = verdict.map_or("no-verdict", Verdict::as_str);
                let kind = format!("{} {verdict}", status.as_u16());
                *self.failed.entry(kind).or_default() += 1;
                self.retry_after += u64::from(*retry_after);
            }
        }
    }
}

/// What a load showed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// From the first arrival to the last answer.
    pub took_ms: u64,
    /// All classes together.
    pub all: ClassReport,
    /// By catalogue entry.
    pub classes: IndexMap<String, ClassReport>,
    /// Every request, for a judge in the same process.
    #[serde(skip)]
    pub outcomes: Vec<Outcome>,
}

impl Report {
    pub(super) fn new(classes: &[Class], outcomes: Vec<Outcome>, took: time::Duration) -> Self {
        let mut by_entry: IndexMap<String, Vec<&Outcome>> = IndexMap::new();
        for class in classes {
            by_entry.entry(class.entry.to_string()).or_default();
        }
        for outcome in &outcomes {
            let entry = classes[outcome.class].entry.to_string();
            by_entry.entry(entry).or_default().push(outcome);
        }
        let reports = by_entry
            .into_iter()
            .map(|(entry, outcomes)| (entry, ClassReport::of(&outcomes)))
            .collect();
        Self {
            took_ms: clock::millis(took),
            all: ClassReport::of(&outcomes.iter().collect::<Vec<_>>()),
            classes: reports,
            outcomes,
        }
    }

    /// Requests that were told not to have run though a runner saw them.
    pub fn false_not_run(&self, ledger: &runner::Ledger) -> Vec<String> {
        let not_run = |outcome: &&Outcome| {
            matches!(
                outcome.kind,
                request::OutcomeKind::Failed {
                    verdict: Some(Verdict::NotRun),
                    ..
                }
            )
        };
        let ids = self.outcomes.iter().filter(not_run);
        ids.map(|outcome| outcome.request_id.to_string())
            .filter(|id| ledger.may_have_run(id))
            .collect()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<24} {:>8} {:>8} {:>7} {:>6} {:>9} {:>10} {:>10} {:>10} {:>10}",
            "class",
            "requests",
            "answered",
            "failed",
            "wrong",
            "no answer",
            "p50 ms",
            "p99 ms",
            "wait p50",
            "wait p99"
        )?;
        for (name, class) in &self.classes {
            write_line(f, name, class)?;
        }
        write_line(f, "all", &self.all)?;
        for (kind, count) in &self.all.failed {
            writeln!(f, "  {count} failed with {kind}")?;
        }
        Ok(())
    }
}

fn write_line(f: &mut fmt::Formatter<'_>, name: &str, class: &ClassReport) -> fmt::Result {
    let failed: u64 = class.failed.values().sum();
    writeln!(
        f,
        "{:<24} {:>8} {:>8} {:>7} {:>6} {:>9} {:>10.1} {:>10.1} {:>10.1} {:>10.1}",
        name,
        class.requests,
        class.own,
        failed,
        class.wrong,
        class.no_answer,
        class.latency.p50_ms,
        class.latency.p99_ms,
        class.wait.p50_ms,
        class.wait.p99_ms
    )
}
