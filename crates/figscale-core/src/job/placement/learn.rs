//! Sizes and run times as seen, against what was declared.
//!
//! For each entry and owner a decaying histogram per dimension keeps what
//! ended tasks used at their peak and how long they ran. Buckets grow by a
//! fixed factor and remember the largest value seen in them, so that a
//! constant use is learned exactly. Each new sample fades the older ones, so a
//! changed program is learned anew within some dozens of tasks.
//!
//! What was learned only ever raises a reservation: reports lag, and a task
//! that ended before its first report looks as if it had used nothing.

use std::time;

use figscale_types::clock;
use figscale_types::ids;
use figscale_types::sizes;
use indexmap::IndexMap;

/// Buckets for each doubling of the value.
const BUCKETS_PER_DOUBLING: f64 = 4.0;
/// Weight below which a faded bucket is dropped.
const NEGLIGIBLE: f64 = 0.01;

/// How sizes and run times are learned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LearnConfig {
    /// Share of samples that the learned value covers. Default 0.95.
    pub quantile: f64,
    /// Weight that older samples keep with each new one. Default 0.97.
    pub fade: f64,
    /// Samples before anything is learned. Default 3.
    pub min_samples: u32,
    /// Most pairs of entry and owner remembered. Default 4,096.
    pub max_pairs: usize,
}

impl Default for LearnConfig {
    fn default() -> Self {
        Self {
            quantile: 0.95,
            fade: 0.97,
            min_samples: 3,
            max_pairs: 4_096,
        }
    }
}

/// What was learned of an entry's tasks for an owner.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Learned {
    /// Size; zero where nothing is known. Accelerators are not learned.
    pub size: sizes::Resources,
    /// Run time.
    pub run: Option<time::Duration>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    number: u16,
    weight: f64,
    largest: u64,
}

/// A decaying histogram of one dimension.
#[derive(Clone, Debug, Default)]
struct Histogram {
    buckets: Vec<Bucket>,
    samples: u32,
}

impl Histogram {
    fn add(&mut self, value: u64, fade: f64) {
        if value == 0 {
            return;
        }
        for bucket in &mut self.buckets {
            bucket.weight *= fade;
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
struct Seen {
    cpu_millis: Histogram,
    memory_bytes: Histogram,
    run_ms: Histogram,
    /// Count of all samples of all pairs when the last one came.
    last: u64,
}

/// What was seen of tasks, by entry and owner.
#[derive(Clone, Debug, Default)]
pub struct Learner {
    config: LearnConfig,
    pairs: IndexMap<(ids::EntryName, ids::OwnerName), Seen>,
    samples: u64,
}

impl Learner {
    /// Nothing learned yet.
    pub fn new(config: LearnConfig) -> Self {
        Self {
            config,
            ..Self::default()
        }
    }

    /// Takes over what a task used at its peak and, if it ended well, how long
    /// it ran. Zero stands for not seen.
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
        let fade = self.config.fade;
        let seen = self.pairs.entry(key).or_default();
        seen.last = self.samples;
        seen.cpu_millis.add(peak.cpu_millis.0, fade);
        seen.memory_bytes.add(peak.memory_bytes.0, fade);
        if let Some(run) = run {
            let run_ms = clock::millis(run);
            seen.run_ms.add(run_ms, fade);
        }
    }

    /// What was learned.
    pub fn learned(&self, entry: &ids::EntryName, owner: &ids::OwnerName) -> Learned {
        let Some(seen) = self.pairs.get(&(entry.clone(), owner.clone())) else {
            return Learned::default();
        };
        let quantile = |histogram: &Histogram| histogram.quantile(&self.config);
        Learned {
            size: sizes::Resources {
                cpu_millis: sizes::CpuMillis(quantile(&seen.cpu_millis).unwrap_or(0)),
                memory_bytes: sizes::Bytes(quantile(&seen.memory_bytes).unwrap_or(0)),
                accelerators: 0,
            },
            run: quantile(&seen.run_ms).map(time::Duration::from_millis),
        }
    }

    /// Number of pairs remembered.
    pub fn pairs(&self) -> usize {
        self.pairs.len()
    }

    fn forget_oldest(&mut self) {
        let oldest = self.pairs.values().enumerate();
        let oldest = oldest.min_by_key(|(_, seen)| seen.last);
        if let Some((at, _)) = oldest {
            self.pairs.swap_remove_index(at);
        }
    }
}
