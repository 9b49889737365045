//! Speed of workers, and how far the tasks of each queue differ from their
//! estimates.
//!
//! Placement reads [`super::worker::Worker::slowdown`] and [`RunTimes`]. Both say
//! nothing until there is evidence: then work takes as long as it is estimated to
//! take, on every worker alike.
//!
//! The total time of a run, relative to its estimate, is the product of a ratio that
//! its step has in common, the slowdown of its worker, and noise. All is computed in
//! logarithms. The ratio of a step is estimated from its runs on all workers, beside
//! the median of its queue. What remains of a run is evidence on its worker. Only
//! products are observed, so the median worker of a service is taken as ordinary, and
//! the queues' ratios absorb the rest. See `docs/design/worker-speed.md`.

mod histogram;
mod queue;
mod record;
mod run;
mod service;
mod step;
mod worker;

use std::time;

use figscale_types::fleet;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

pub(crate) use record::SpeedsRecord;
pub(crate) use run::Reading;
pub(crate) use run::RunSpeed;
pub(crate) use step::StepRatio;
pub(crate) use worker::WorkerSpeed;

use super::maps;

/// A change of a run's speed by this factor (1.6), as a logarithm, is one of its
/// worker's speed, if other runs there change likewise.
const TRANSIENT_THRESHOLD: f64 = 0.47;
/// A run that began during a transient slowdown shows by this decrease (a quarter) that it is over.
const SPEEDUP: f64 = 0.3;
/// A change of a run's speed counts if it is known to this variance.
const MAX_CHANGE_VARIANCE: f64 = 0.1;
/// How often what all workers have in common is computed again.
const REVIEW_INTERVAL: time::Duration = time::Duration::from_millis(1_000);
/// Most changes of workers' speed that are logged between two reviews.
const MAX_LOGGED_CHANGES: usize = 20;
/// Standard deviation of normally distributed values in units of the median of their
/// absolute deviations.
const DEVIATION_OF_MEDIAN: f64 = 1.48;

/// How long the tasks of a queue take on a worker of ordinary speed, in percent
/// of their estimates.
///
/// The error that all tasks of a job have in common is left out of the spread: the
/// objective of a job is a multiple of the same estimate, so both are off together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunTimes {
    /// The median.
    pub typical_percent: u32,
    /// Nine of ten tasks of a job that takes as long as the median take no longer.
    pub cautious_percent: u32,
}

impl Default for RunTimes {
    fn default() -> Self {
        Self {
            typical_percent: 100,
            cautious_percent: 100,
        }
    }
}

impl RunTimes {
    /// How long a task takes at the median.
    pub fn typical(&self, estimate: time::Duration) -> time::Duration {
        estimate.saturating_mul(self.typical_percent) / 100
    }

    /// How long a task that is among the slowest tenth takes in units of the estimate,
    /// by which its job's objective is set.
    pub(crate) fn cautious_by_objective(&self, estimate: time::Duration) -> time::Duration {
        let spread =
            u64::from(self.cautious_percent) * 100 / u64::from(self.typical_percent.max(1));
        estimate.saturating_mul(u32::try_from(spread).unwrap_or(u32::MAX)) / 100
    }

    /// How long a task takes that is among the slowest tenth.
    pub fn cautious(&self, estimate: time::Duration) -> time::Duration {
        estimate.saturating_mul(self.cautious_percent) / 100
    }
}

/// What is known of the speed of workers and of the run times of queues.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Speeds {
    /// Workers that are not of ordinary speed.
    pub workers: Vec<(fleet::WorkerId, fleet::Slowdown)>,
    /// Run times by the name of the queue.
    pub queues: Vec<(String, RunTimes)>,
}

/// Estimates of the speed of workers and of the run times of queues.
#[derive(Clone, Debug, Default)]
pub(crate) struct SpeedEstimates {
    /// Slowdowns by an earlier leader's record.
    recorded: maps::WorkerMap<fleet::Slowdown>,
    queues: IndexMap<String, queue::QueueSpeed>,
    services: IndexMap<String, service::ServiceSpeed>,
    reviewed_at: Option<time::Instant>,
    pub(crate) record: SpeedsRecord,
    /// Number of workers that were given one.
    last_serial: u32,
    /// Changes of workers' speed since the last review.
    changes: usize,
}

/// One run as evidence, with what it is compared with.
pub(crate) struct Observed<'a> {
    pub(crate) task: fleet::TaskId,
    pub(crate) queue: &'a fleet::Queue,
    pub(crate) step: &'a mut StepRatio,
    pub(crate) worker: &'a mut WorkerSpeed,
    pub(crate) run: &'a mut RunSpeed,
}

/// Estimate of a step whose runs are evidence, otherwise zero. A long-running task
/// ends only if it is stopped, and how long a filler takes depends on other work.
pub(crate) fn measured_ms(step: &fleet::StepDescription) -> u64 {
    match step.long_running || step.filler {
        true => 0,
        false => step.estimate_ms,
    }
}

impl Observed<'_> {
    /// The same run, borrowed for a shorter time.
    pub(crate) fn reborrow(&mut self) -> Observed<'_> {
        Observed {
            task: self.task,
            queue: self.queue,
            step: self.step,
            worker: self.worker,
            run: self.run,
        }
    }
}

impl SpeedEstimates {
    /// Takes over what an earlier leader knew.
    pub(crate) fn load(&mut self, speeds: &Speeds) {
        self.record.loaded(speeds.clone());
        self.recorded = speeds.workers.iter().cloned().collect();
        let queues = speeds.queues.iter();
        let queues = queues.map(|(name, known)| (name.clone(), queue::QueueSpeed::known(*known)));
        self.queues = queues.collect();
    }

    /// What is known of a worker without evidence of its own: what an earlier leader
    /// recorded, or the speed of its kind.
    pub(crate) fn initial(&mut self, entry: &fleet::WorkerEntry) -> WorkerSpeed {
        self.last_serial = self.last_serial.wrapping_add(1);
        let recorded = self.recorded.get(&entry.id).copied();
        let of_kind = || {
            let kinds = &self.services.get(&entry.service)?.kinds;
            kinds.get(entry.labels.first()?).copied()
        };
        let known = recorded.or_else(of_kind).unwrap_or_default();
        WorkerSpeed::known(self.last_serial, known)
    }

    /// Run times of a queue's tasks.
    pub(crate) fn run_times(&self, queue_name: &str) -> RunTimes {
        let known = self.queues.get(queue_name);
        known.map(|known| known.run_times).unwrap_or_default()
    }

    /// Whether the progress of a queue's runs shows how long they take.
    pub(crate) fn trusts_progress(&self, queue_name: &str) -> bool {
        let known = self.queues.get(queue_name);
        known.is_none_or(|known| !known.progress_is_useless())
    }

    /// Run times of the queues whose tasks do not take as long as estimated.
    pub(crate) fn known_run_times(&self) -> Vec<(String, RunTimes)> {
        let known = self.queues.iter();
        let known = known.map(|(name, known)| (name.clone(), known.run_times));
        known
            .filter(|(_, known)| *known != RunTimes::default())
            .collect()
    }

    fn reference(&self, service: &str) -> worker::Reference {
        let known = self.services.get(service);
        known.map(|known| known.reference).unwrap_or_default()
    }

    fn queue(&mut self, queue: &fleet::Queue) -> &mut queue::QueueSpeed {
        let name = queue.name.as_str();
        if !self.queues.contains_key(name) {
            self.queues.insert(name.to_owned(), Default::default());
        }
        &mut self.queues[name]
    }

    /// Takes in what a run implies of its total time.
    pub(crate) fn observe(&mut self, observed: Observed<'_>, reading: Reading, now: time::Instant) {
        let Observed {
            task,
            queue,
            step,
            worker,
            run,
        } = observed;
        let anchor = self.reference(&queue.service).anchor;
        let queue = self.queue(queue);
        let transient = *run.transient.get_or_insert(worker.transient());
        let progress_error = match reading.ended {
            true => 0.0,
            false => match queue.progress_error() {
                Some(error) => error,
                None => return,
            },
        };
        run.transient_seen |= worker.transient() != 0.0;
        let clear = reading.variance <= MAX_CHANGE_VARIANCE;
        if let Some(change) = reading.change.filter(|_| clear) {
            // A run that began during a transient slowdown may have been measured across its end, so
            // it shows that the transient slowdown is over but not that it continues.
            match transient == 0.0 {
                true => worker.record_change(task, change.max(0.0), now),
                false if change <= -SPEEDUP => worker.record_change(task, 0.0, now),
                false => (),
            }
        }
        if reading
            .change
            .is_some_and(|change| change.abs() >= TRANSIENT_THRESHOLD)
        {
            return;
        }
        let own = reading.ratio - worker.lasting(anchor) - transient;
        let known = queue.step_ratio(step.others(worker.serial));
        step.record(&mut run.of_step, worker.serial, own);
        if transient != 0.0 || worker.transient() != 0.0 {
            return;
        }
        if let Some((mean, variance)) = known {
            let evidence = (
                reading.ratio - mean,
                variance + reading.variance + progress_error,
            );
            worker.record(run, task.job, evidence, now);
        }
    }

    /// Takes in the total time of a run that has ended, one of `count` of its step,
    /// and how far it is off from what its step and worker explain.
    pub(crate) fn observe_end(
        &mut self,
        observed: &Observed<'_>,
        (clock_ms, count): (u64, u32),
        now: time::Instant,
    ) {
        let anchor = self.reference(&observed.queue.service).anchor;
        let Some(whole) = observed.run.whole(clock_ms) else {
            return;
        };
        let queue = self.queue(observed.queue);
        if let Some(error) = observed.run.progress_error(&whole) {
            queue.record_progress(error);
        }
        if observed.worker.transient() != 0.0 || observed.run.spans_transient() {
            return;
        }
        let own = whole.ratio - observed.worker.lasting(anchor);
        queue.record(own, count, now);
        // The speed of a worker with little evidence would count as noise.
        let known = observed.worker.estimate().is_some();
        let others = observed.step.others(observed.worker.serial);
        if let Some(others) = others.filter(|_| known) {
            queue.record_within(own - others.median, now);
        }
    }

    /// Takes in the total time of a gang, which runs at the pace of its slowest
    /// member.
    pub(crate) fn observe_gang(
        &mut self,
        queue: &fleet::Queue,
        run: &RunSpeed,
        (clock_ms, slowest): (u64, fleet::Slowdown),
        now: time::Instant,
    ) {
        let slowest = (f64::from(slowest.percent()) / 100.0).ln();
        let Some(whole) = run.whole(clock_ms) else {
            return;
        };
        let queue = self.queue(queue);
        if let Some(error) = run.progress_error(&whole) {
            queue.record_progress(error);
        }
        if !run.spans_transient() {
            queue.record(whole.ratio - slowest, 1, now);
        }
    }

    /// Derives a worker's slowdown after a report; returns whether it has moved.
    pub(crate) fn update(
        &self,
        service: &str,
        worker: &mut WorkerSpeed,
        observed_runs: usize,
        now: time::Instant,
    ) -> Option<fleet::Slowdown> {
        let moved = worker.update(self.reference(service), observed_runs, now);
        moved.then(|| worker.slowdown())
    }

    /// Whether another change of a worker's speed may be logged.
    pub(crate) fn may_log_change(&mut self) -> bool {
        self.changes += 1;
        self.changes <= MAX_LOGGED_CHANGES
    }

    /// Whether a review is due.
    pub(crate) fn review_is_due(&self, now: time::Instant) -> bool {
        self.reviewed_at
            .is_none_or(|at| now.saturating_duration_since(at) >= REVIEW_INTERVAL)
    }

    /// Renews what all workers and queues have in common.
    pub(crate) fn review<'a>(
        &mut self,
        workers: impl Iterator<Item = (&'a fleet::WorkerEntry, &'a WorkerSpeed)>,
        now: time::Instant,
    ) {
        self.reviewed_at = Some(now);
        self.changes = 0;
        let mut estimates: IndexMap<&str, Vec<worker::Estimate>> = IndexMap::new();
        let mut kinds: IndexMap<(&str, &str), Vec<fleet::Slowdown>> = IndexMap::new();
        for (entry, speed) in workers {
            let Some(estimate) = speed.estimate() else {
                continue;
            };
            let service = entry.service.as_str();
            estimates.entry(service).or_default().push(estimate);
            if let Some(kind) = entry.labels.first() {
                let kind = kinds.entry((service, kind)).or_default();
                kind.push(speed.slowdown());
            }
        }
        for (service, estimates) in estimates {
            let known = self.services.entry(service.to_owned()).or_default();
            known.review(estimates);
        }
        for ((service, kind), known) in kinds {
            if let Some(of_service) = self.services.get_mut(service) {
                of_service.review_kind(kind, known);
            }
        }
        for queue in self.queues.values_mut() {
            queue.review();
        }
    }
}

/// The median; of an even number of values the mean of the two in the middle.
fn median(values: &mut [f64]) -> f64 {
    let count = values.len();
    let middle = count / 2;
    if values.is_empty() {
        return 0.0;
    }
    let (below, upper, _) = values.select_nth_unstable_by(middle, f64::total_cmp);
    let upper = *upper;
    match below.len() * 2 + 1 == count {
        false => (below.iter().copied().fold(f64::MIN, f64::max) + upper) / 2.0,
        true => upper,
    }
}
