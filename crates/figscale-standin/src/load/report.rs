//! Results of a load: counts, and latency and waiting time by class.

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
    /// The quantiles of these times.
    pub fn of(times: impl IntoIterator<Item = time::Duration>) -> Self {
        // Cannot fail: the library supports 0 to 5 significant digits.
        let Ok(mut histogram) = Histogram::<u64>::new(DIGITS) else {
            return Self::default();
        };
        for time in times {
            let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
            // The histogram resizes itself, so that this fails only for values beyond
            // the range of the library.
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

/// Results of the requests of a class.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassReport {
    /// Requests made.
    pub requests: u64,
    /// Complete responses that match the request.
    pub own: u64,
    /// Corrupt responses, and responses to another request.
    pub wrong: u64,
    /// Requests without a complete response.
    pub no_answer: u64,
    /// Failures by status and verdict, such as `503 not-run`.
    pub failed: IndexMap<String, u64>,
    /// Failures that say when to retry.
    pub retry_after: u64,
    /// Time from intended arrival to the end of the response, of matching responses.
    pub latency: Quantiles,
    /// Latency minus run time, of matching responses.
    pub wait: Quantiles,
    /// Time to the final response of failed requests.
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

/// Results of a load.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// Time from the start of the load to the last response.
    pub took_ms: u64,
    /// All classes together.
    pub all: ClassReport,
    /// By catalogue entry.
    pub classes: IndexMap<String, ClassReport>,
    /// Every request, for an invariant checker in the same process.
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

    /// Requests reported as not run although a runner received them and did not
    /// refuse them.
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
