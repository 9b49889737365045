//! Outlier ejection: runners that fail every request are taken out of use and
//! probed until they succeed.
//!
//! A runner that fails [`OutlierConfig::failures`] requests in a row is ejected
//! for a time that doubles with each ejection. Afterwards one request at a time
//! is sent to it as a probe; a successful probe ends the ejection. At most
//! [`OutlierConfig::max_share`] of a service's runners at one holder are ejected
//! at the same time. If more fail, the cause is probably not the runners, and a
//! service must keep runners to use.

use std::time;

use figscale_types::ids;
use indexmap::IndexMap;

/// Settings of outlier ejection.
#[derive(Clone, Copy, Debug)]
pub struct OutlierConfig {
    /// Failures in a row after which a runner is ejected. Default 5.
    pub failures: u32,
    /// Duration of the first ejection. Default 2 s.
    pub base: time::Duration,
    /// Longest duration of an ejection. Default 60 s.
    pub longest: time::Duration,
    /// Largest share of runners ejected at the same time. Default 0.3.
    pub max_share: f64,
}

impl Default for OutlierConfig {
    fn default() -> Self {
        Self {
            failures: 5,
            base: time::Duration::from_secs(2),
            longest: time::Duration::from_secs(60),
            max_share: 0.3,
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Record {
    failures: u32,
    ejections: u32,
    until: Option<time::Instant>,
    probing: bool,
}

/// Whether a runner may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eligibility {
    /// Without restriction.
    Open,
    /// For one request at a time, as a probe.
    Probe,
    /// Not at all.
    Ejected,
}

/// Failure records of the runners of one service.
#[derive(Clone, Debug, Default)]
pub struct Outliers {
    config: OutlierConfig,
    records: IndexMap<ids::InstanceId, Record>,
}

impl Outliers {
    /// Creates a state without records.
    pub fn new(config: OutlierConfig) -> Self {
        Self {
            config,
            ..Self::default()
        }
    }

    /// Whether a runner may be used at `now`.
    pub fn eligibility(&self, runner: &ids::InstanceId, now: time::Instant) -> Eligibility {
        let record = self.records.get(runner);
        match record.and_then(|record| Some((record, record.until?))) {
            None => Eligibility::Open,
            Some((_, until)) if now < until => Eligibility::Ejected,
            Some((record, _)) if record.probing => Eligibility::Ejected,
            Some(_) => Eligibility::Probe,
        }
    }

    /// Records that a request was sent to a runner; a probe if it is ejected.
    pub fn record_sent(&mut self, runner: &ids::InstanceId) {
        if let Some(record) = self.records.get_mut(runner) {
            record.probing = record.until.is_some();
        }
    }

    /// Records a successful response.
    pub fn record_success(&mut self, runner: &ids::InstanceId) {
        let Some(record) = self.records.get_mut(runner) else {
            return;
        };
        record.failures = 0;
        if record.probing {
            record.until = None;
            record.probing = false;
        }
        if record.until.is_none() && record.ejections == 0 {
            self.records.swap_remove(runner);
        }
    }

    /// Records an attempt that says nothing about the runner, such as one that
    /// was never sent.
    pub fn record_neutral(&mut self, runner: &ids::InstanceId) {
        if let Some(record) = self.records.get_mut(runner) {
            record.probing = false;
        }
    }

    /// Records a failure; `runners` is the number of the service's runners here.
    ///
    /// Returns whether the runner was ejected because of it.
    pub fn record_failure(
        &mut self,
        runner: &ids::InstanceId,
        runners: usize,
        now: time::Instant,
    ) -> bool {
        let ejected = self.ejected(now);
        let record = self.records.entry(runner.clone()).or_default();
        record.failures += 1;
        let was_ejected = record.until.is_some();
        let probe_failed = record.probing;
        record.probing = false;
        let limit = (runners as f64 * self.config.max_share).floor() as usize;
        let may_eject = was_ejected || ejected < limit;
        if !(probe_failed || record.failures >= self.config.failures) || !may_eject {
            return false;
        }
        if was_ejected && !probe_failed {
            return false;
        }
        let doubled = 1_u32.checked_shl(record.ejections.min(16)).unwrap_or(1);
        record.ejections += 1;
        record.failures = 0;
        record.until = Some(now + (self.config.base * doubled).min(self.config.longest));
        true
    }

    /// Removes the records of runners that are not known any more.
    pub fn retain(&mut self, is_known: impl Fn(&ids::InstanceId) -> bool) {
        self.records.retain(|runner, _| is_known(runner));
    }

    /// Number of runners that are ejected or being probed.
    pub fn ejected(&self, _now: time::Instant) -> usize {
        let out = self
            .records
            .values()
            .filter(|record| record.until.is_some());
        out.count()
    }

    /// Time at which the next ejected runner may be probed.
    pub fn next_probe(&self, now: time::Instant) -> Option<time::Instant> {
        let times = self.records.values().filter_map(|record| record.until);
        times.filter(|until| *until > now).min()
    }
}
