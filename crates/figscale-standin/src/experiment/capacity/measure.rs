//! One measured row: resource usage of the entry processes during an interval.

use std::time;

use figscale_types::ids;
use indexmap::IndexMap;
use serde::Serialize;

use super::entry;
use super::fleet;
use super::usage;
use crate::platform;

/// Measurements of an interval. Each figure is per entry process, unless its name
/// says otherwise.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct Row {
    /// Name of the quantity that is varied.
    pub(super) series: &'static str,
    /// Value of that quantity.
    pub(super) size: f64,
    pub(super) entries: usize,
    pub(super) workers: usize,
    /// Mean and maximum over the processes.
    pub(super) cpu_percent: f64,
    pub(super) cpu_percent_most: f64,
    /// Mean over the control threads only.
    pub(super) control_cpu_percent: f64,
    pub(super) resident_mb: f64,
    pub(super) resident_mb_most: f64,
    pub(super) store_kb_per_s: f64,
    pub(super) peer_kb_per_s: f64,
    pub(super) worker_kb_per_s: f64,
    /// Of all entry processes together.
    pub(super) store_writes_per_s_all: f64,
    pub(super) store_reads_per_s_all: f64,
    pub(super) store_refused_all: u64,
    /// By kind of call, of all entry processes together.
    pub(super) store_calls_per_s_all: IndexMap<String, f64>,
    /// Load average of the machine at the end.
    pub(super) load_average: f64,
    /// Additional figures of this series.
    pub(super) more: IndexMap<String, f64>,
}

/// Start of the interval of a row.
pub(super) struct Start {
    at: time::Instant,
    samples: Vec<entry::Sample>,
    worker_bytes: u64,
    counts: IndexMap<platform::CallKind, platform::Counts>,
}

fn worker_bytes(fleet: &fleet::Fleet) -> u64 {
    fleet.workers.iter().map(|worker| worker.link_bytes()).sum()
}

/// Calls by kind, of all clients together.
fn calls(fleet: &fleet::Fleet) -> IndexMap<platform::CallKind, platform::Counts> {
    let mut all = IndexMap::<_, platform::Counts>::new();
    for (kind, counts) in fleet.platform.counts().values().flatten() {
        let sum = all.entry(*kind).or_default();
        *sum = sum.plus(counts);
    }
    all
}

impl Start {
    /// Starts an interval.
    pub(super) fn now(fleet: &fleet::Fleet) -> eyre::Result<Self> {
        let samples = fleet.entries.iter().map(entry::Entry::sample);
        Ok(Self {
            samples: samples.collect::<eyre::Result<_>>()?,
            worker_bytes: worker_bytes(fleet),
            counts: calls(fleet),
            at: time::Instant::now(),
        })
    }

    /// Starts an interval that measures only the entry processes that remain when
    /// `removed` are stopped.
    pub(super) fn now_without(
        fleet: &fleet::Fleet,
        removed: &[ids::MemberId],
    ) -> eyre::Result<Self> {
        let remains = |entry: &&entry::Entry| !removed.contains(&entry.addresses.member);
        let samples = fleet
            .entries
            .iter()
            .filter(remains)
            .map(entry::Entry::sample);
        Ok(Self {
            samples: samples.collect::<eyre::Result<_>>()?,
            ..Self::now(fleet)?
        })
    }

    /// The measurements since the start.
    pub(super) fn row(
        self,
        fleet: &fleet::Fleet,
        series: &'static str,
        size: f64,
    ) -> eyre::Result<Row> {
        let end = Self::now(fleet)?;
        let passed_s = end.at.duration_since(self.at).as_secs_f64();
        let count = self.samples.len() as f64;
        let each_kb_per_s = |bytes: u64| bytes as f64 / 1e3 / passed_s / count;
        let sum = |samples: &[entry::Sample], of: fn(&entry::Sample) -> u64| -> u64 {
            samples.iter().map(of).sum()
        };
        let increase = |of| sum(&end.samples, of) - sum(&self.samples, of);
        let mut row = Row {
            series,
            size,
            entries: fleet.entries.len(),
            workers: fleet.size.workers,
            store_kb_per_s: each_kb_per_s(increase(|sample| sample.store_bytes)),
            peer_kb_per_s: each_kb_per_s(increase(|sample| sample.peer_bytes)),
            worker_kb_per_s: each_kb_per_s(end.worker_bytes - self.worker_bytes),
            load_average: usage::load_average(),
            ..Row::default()
        };
        row.add_shares(&self.samples, &end.samples);
        row.add_calls(&self.counts, &end.counts, passed_s);
        Ok(row)
    }
}

impl Row {
    fn add_shares(&mut self, start: &[entry::Sample], end: &[entry::Sample]) {
        let pairs = start.iter().zip(end);
        let shares: Vec<_> = pairs
            .map(|(start, end)| end.used.since(&start.used))
            .collect();
        let mean =
            |of: fn(&usage::Share) -> f64| shares.iter().map(of).sum::<f64>() / shares.len() as f64;
        let most = |of: fn(&usage::Share) -> f64| shares.iter().map(of).fold(0.0, f64::max);
        self.cpu_percent = mean(|share| share.cpu_percent);
        self.cpu_percent_most = most(|share| share.cpu_percent);
        self.control_cpu_percent = mean(|share| share.control_cpu_percent);
        self.resident_mb = mean(|share| share.resident_mb);
        self.resident_mb_most = most(|share| share.resident_mb);
    }

    fn add_calls(
        &mut self,
        start: &IndexMap<platform::CallKind, platform::Counts>,
        end: &IndexMap<platform::CallKind, platform::Counts>,
        passed_s: f64,
    ) {
        for (kind, counts) in end {
            let before = start.get(kind).copied().unwrap_or_default();
            let per_s = (counts.calls - before.calls) as f64 / passed_s;
            self.store_refused_all += counts.over_rate - before.over_rate;
            if kind.is_write() {
                self.store_writes_per_s_all += per_s;
            } else {
                self.store_reads_per_s_all += per_s;
            }
            let name = format!("{kind:?}").to_lowercase();
            self.store_calls_per_s_all.insert(name, per_s);
        }
    }

    /// Adds a figure specific to this series.
    pub(super) fn with(mut self, name: &str, value: f64) -> Self {
        self.more.insert(name.to_owned(), value);
        self
    }
}
