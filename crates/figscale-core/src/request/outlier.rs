//! Runners that fail everything are set aside, and probed back.
//!
//! A runner that fails [`OutlierConfig::failures`] requests in a row is ejected
//! for a time that doubles with each repeat. After it, one request at a time is
//! let through as a probe; a good answer brings the runner back. At most
//! [`OutlierConfig::max_share`] of a service's runners at one holder are ejected at the same time:
//! when more fail, the fault is not theirs, and a service is never emptied.

use std::time;

use figscale_types::ids;
use indexmap::IndexMap;

/// Settings of the ejection.
#[derive(Clone, Copy, Debug)]
pub struct OutlierConfig {
    /// Failures in a row that eject. Default 5.
    pub failures: u32,
    /// First time of ejection. Default 2 s.
    pub base: time::Duration,
    /// Longest time of ejection. Default 60 s.
    pub longest: time::Duration,
    /// Largest share ejected at the same time. Default 0.3.
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
pub enum Use {
    /// As any other.
    Open,
    /// For one request at a time.
    Probe,
    /// Not at all.
    Ejected,
}

/// Records of the runners of one service.
#[derive(Clone, Debug, Default)]
pub struct Outliers {
    config: OutlierConfig,
    records: IndexMap<ids::InstanceId, Record>,
}

impl Outliers {
    /// No records yet.
    pub fn new(config: OutlierConfig) -> Self {
        Self {
            config,
            ..Self::default()
        }
    }

    /// Whether a runner may be used at `now`.
    pub fn use_of(&self, runner: &ids::InstanceId, now: time::Instant) -> Use {
        let record = self.records.get(runner);
        match record.and_then(|record| Some((record, record.until?))) {
            None => Use::Open,
            Some((_, until)) if now < until => Use::Ejected,
            Some((record, _)) if record.probing => Use::Ejected,
            Some(_) => Use::Probe,
        }
    }

    /// Notes that a request was sent to a runner.
    pub fn sent(&mut self, runner: &ids::InstanceId) {
        if let Some(record) = self.records.get_mut(runner) {
            record.probing = record.until.is_some();
        }
    }

    /// Notes a good answer.
    pub fn good(&mut self, runner: &ids::InstanceId) {
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

    /// Notes an attempt that says nothing about the runner, such as one that
    /// was never sent.
    pub fn neutral(&mut self, runner: &ids::InstanceId) {
        if let Some(record) = self.records.get_mut(runner) {
            record.probing = false;
        }
    }

    /// Notes a failure; `runners` is how many the service has here.
    ///
    /// Answers whether the runner was ejected by it.
    pub fn bad(&mut self, runner: &ids::InstanceId, runners: usize, now: time::Instant) -> bool {
        let ejected = self.ejected(now);
        let record = self.records.entry(runner.clone()).or_default();
        record.failures += 1;
        let was_out = record.until.is_some();
        let probe_failed = record.probing;
        record.probing = false;
        let limit = (runners as f64 * self.config.max_share).floor() as usize;
        let room = was_out || ejected < limit;
        if !(probe_failed || record.failures >= self.config.failures) || !room {
            return false;
        }
        if was_out && !probe_failed {
            return false;
        }
        let doubled = 1_u32.checked_shl(record.ejections.min(16)).unwrap_or(1);
        record.ejections += 1;
        record.failures = 0;
        record.until = Some(now + (self.config.base * doubled).min(self.config.longest));
        true
    }

    /// Forgets runners that are gone.
    pub fn retain(&mut self, is_known: impl Fn(&ids::InstanceId) -> bool) {
        self.records.retain(|runner, _| is_known(runner));
    }

    /// Number of runners that are set aside or being probed.
    pub fn ejected(&self, _now: time::Instant) -> usize {
        let out = self
            .records
            .values()
            .filter(|record| record.until.is_some());
        out.count()
    }

    /// When the next ejected runner may be probed.
    pub fn next_probe(&self, now: time::Instant) -> Option<time::Instant> {
        let times = self.records.values().filter_map(|record| record.until);
        times.filter(|until| *until > now).min()
    }
}
