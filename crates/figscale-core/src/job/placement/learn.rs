//! Learns the resource use and the run times of tasks from those that ended.
//!
//! For each pair of entry and owner, one decaying histogram per resource records the
//! peak use of ended tasks, and another one their run times. Bucket bounds grow by
//! a fixed factor. Each bucket stores the largest value added to it, so that a
//! constant use is learned exactly. Each new sample reduces the weight of older ones,
//! so that after a change of the program the new values are learned within some
//! dozens of tasks.
//!
//! A learned size only ever raises a reservation above the declared size: reports
//! lag, and a task that ends before its first report seems to have used nothing.

use std::time;

use figscale_types::clock;
use figscale_types::ids;
use figscale_types::sizes;
use indexmap::IndexMap;

/// Number of buckets per doubling of the value.
const BUCKETS_PER_DOUBLING: f64 = 4.0;
/// Weight at or below which a bucket is removed.
const NEGLIGIBLE: f64 = 0.01;

/// Parameters of learning.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LearnConfig {
    /// Quantile of the samples that is the learned value. Default 0.95.
    pub quantile: f64,
    /// Factor applied to the weight of older samples with each new one. Default
    /// 0.97.
    pub decay: f64,
    /// Number of samples needed for a learned value. Default 3.
    pub min_samples: u32,
    /// Most pairs of entry and owner that are stored. Default 4,096.
    pub max_pairs: usize,
}

impl Default for LearnConfig {
    fn default() -> Self {
        Self {
            quantile: 0.95,
            decay: 0.97,
            min_samples: 3,
            max_pairs: 4_096,
        }
    }
}

/// Learned size and run time of the tasks of an entry and owner.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Learned {
    /// Size; zero for each resource that is not known. Accelerators are not
    /// learned.
    pub size: sizes::Resources,
    /// Run time, if known.
    pub run: Option<time::Duration>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    number: u16,
    weight: f64,
    largest: u64,
}

/// A decaying histogram of one quantity.
#[derive(Clone, Debug, Default)]
struct Histogram {
    buckets: Vec<Bucket>,
    samples: u32,
}

impl Histogram {
    fn add(&mut self, value: u64, decay: f64) {
        if value == 0 {
            return;
        }
        for bucket in &mut self.buckets {
            bucket.weight *= decay;
        }
        self.buckets.retain(|bucket| bucket.weight > NEGLIGIBLE);
        let number = ((value as f64).log2() * BUCKETS_PER_DOUBLING) as u16;
        match self.buckets.binary_search_by_key(&number, |b| b.number) {
            Ok(at) => {
                self.buckets[at].weight += 1.0;
                self.buckets[at].largest = self.buckets[at].largest.max(value);
            }
            Err(at) => {
                let bucket = Bucket {
                    number,
                    weight: 1.0,
                    largest: value,
                };
                self.buckets.insert(at, bucket);
            }
        }
        self.samples = self.samples.saturating_add(1);
    }

    fn quantile(&self, config: &LearnConfig) -> Option<u64> {
        if self.samples < config.min_samples {
            return None;
        }
        let total: f64 = self.buckets.iter().map(|bucket| bucket.weight).sum();
        let mut left = total * config.quantile;
        for bucket in &self.buckets {
            left -= bucket.weight;
            if left <= 0.0 {
                return Some(bucket.largest);
            }
        }
        self.buckets.last().map(|bucket| bucket.largest)
    }
}

#[derive(Clone, Debug, Default)]
struct UsageHistory {
    cpu_millis: Histogram,
    memory_bytes: Histogram,
    run_ms: Histogram,
    /// Number of the last sample, counted over all pairs.
    last: u64,
}

/// Observed use of tasks, by entry and owner.
#[derive(Clone, Debug, Default)]
pub struct Learner {
    config: LearnConfig,
    pairs: IndexMap<(ids::EntryName, ids::OwnerName), UsageHistory>,
    samples: u64,
}

impl Learner {
    /// Creates a learner without samples.
    pub fn new(config: LearnConfig) -> Self {
        Self {
            config,
            ..Self::default()
        }
    }

    /// Adds the peak use of a task and, if it succeeded, its run time. Zero means
    /// that the use was not observed.
    pub fn observe(
        &mut self,
        entry: &ids::EntryName,
        owner: &ids::OwnerName,
        peak: &sizes::Resources,
        run: Option<time::Duration>,
    ) {
        let key = (entry.clone(), owner.clone());
        if !self.pairs.contains_key(&key) && self.pairs.len() >= self.config.max_pairs {
            self.forget_oldest();
        }
        self.samples += 1;
        let decay = self.config.decay;
        let history = self.pairs.entry(key).or_default();
        history.last = self.samples;
        history.cpu_millis.add(peak.cpu_millis.0, decay);
        history.memory_bytes.add(peak.memory_bytes.0, decay);
        if let Some(run) = run {
            let run_ms = clock::millis(run);
            history.run_ms.add(run_ms, decay);
        }
    }

    /// The learned values of an entry and owner.
    pub fn learned(&self, entry: &ids::EntryName, owner: &ids::OwnerName) -> Learned {
        let Some(history) = self.pairs.get(&(entry.clone(), owner.clone())) else {
            return Learned::default();
        };
        let quantile = |histogram: &Histogram| histogram.quantile(&self.config);
        Learned {
            size: sizes::Resources {
                cpu_millis: sizes::CpuMillis(quantile(&history.cpu_millis).unwrap_or(0)),
                memory_bytes: sizes::Bytes(quantile(&history.memory_bytes).unwrap_or(0)),
                accelerators: 0,
            },
            run: quantile(&history.run_ms).map(time::Duration::from_millis),
        }
    }

    /// Number of pairs that are stored.
    pub fn pairs(&self) -> usize {
        self.pairs.len()
    }

    fn forget_oldest(&mut self) {
        let oldest = self.pairs.values().enumerate();
        let oldest = oldest.min_by_key(|(_, history)| history.last);
        if let Some((at, _)) = oldest {
            self.pairs.swap_remove_index(at);
        }
    }
}
