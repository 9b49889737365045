//! Test helper: an advisory service whose responses take time.

use std::time;

use figscale_core::fleet::AdviceQuery;
use figscale_types::fleet;
use indexmap::IndexMap;

use crate::helpers;
use crate::helpers::TestCluster;

pub(crate) const STEP_MS: u64 = 50;

/// A test cluster whose advisory service takes the expected time of each query.
pub(crate) struct SlowAdvisory<'a> {
    pub(crate) cluster: TestCluster,
    pub(crate) pending_queries: Vec<(time::Instant, AdviceQuery)>,
    good: Box<dyn Fn(fleet::TaskId, usize) -> bool + 'a>,
    pub(crate) queries: usize,
    since: IndexMap<fleet::TaskId, time::Instant>,
}

impl<'a> SlowAdvisory<'a> {
    /// `good` decides which workers, by number, are approved for all steps.
    pub(crate) fn new(cluster: TestCluster, good: &'a dyn Fn(usize) -> bool) -> Self {
        Self::by_step(cluster, |_, number| good(number))
    }

    /// Like [`Self::new`], with workers approved for each step on its own.
    pub(crate) fn by_step(
        cluster: TestCluster,
        good: impl Fn(fleet::TaskId, usize) -> bool + 'a,
    ) -> Self {
        Self {
            cluster,
            pending_queries: Vec::new(),
            good: Box::new(good),
            queries: 0,
            since: IndexMap::new(),
        }
    }

    pub(crate) fn simulate(&mut self, time_ms: u64) {
        for _ in 0..time_ms.div_ceil(STEP_MS) {
            self.step();
        }
    }

    fn step(&mut self) {
        self.cluster.now += helpers::ms(STEP_MS);
        self.cluster.wall_ms += STEP_MS;
        let (now, wall_ms) = (self.cluster.now, self.cluster.wall_ms);
        self.cluster.scheduler.tick(now, wall_ms);
        let due = self.pending_queries.extract_if(.., |(at, _)| *at <= now);
        for (_, query) in due.collect::<Vec<_>>() {
            let tickets = helpers::tickets(&query, |number| (self.good)(query.task, number));
            self.cluster
                .scheduler
                .advice_answered(&query, Some(tickets), now);
        }
        self.cluster.settle();
        for query in std::mem::take(&mut self.cluster.queries) {
            self.queries += 1;
            self.pending_queries.push((now + query.expected, query));
        }
    }

    /// Ends tasks of jobs 2 to 999 that have run for `after_ms`.
    pub(crate) fn end_small(&mut self, after_ms: u64) {
        let now = self.cluster.now;
        for worker in self.cluster.workers.values_mut() {
            let keys: Vec<_> = worker.running.keys().copied().collect();
            for (task, attempt) in keys {
                let since = *self.since.entry(task).or_insert(now);
                if (2..1_000).contains(&task.job.0) && now >= since + helpers::ms(after_ms) {
                    worker.end(task, attempt, fleet::End::Done);
                }
            }
        }
    }

    pub(crate) fn runs(&self, number: u64) -> usize {
        let runs = self.cluster.workers.values().flat_map(|w| w.running.keys());
        runs.filter(|(task, _)| task.job == helpers::job_id(number))
            .count()
    }
}
