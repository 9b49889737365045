//! Entry instances that leave one after the other, until one is left as the only
//! channel to the advisory service, beside a fleet with room for all work.

use std::mem;
use std::time;

use figscale_core::fleet::Admission;
use figscale_core::fleet::AdviceQuery;
use figscale_types::fleet;
use figscale_types::ids;
use indexmap::IndexMap;
use indexmap::IndexSet;
use rstest::rstest;

use crate::helpers;
use crate::helpers::TestCluster;

const STEP_MS: u64 = 20;
const WORKERS: usize = 48;
/// Time of a query that the leader and the network take.
const QUERY_OVERHEAD_MS: u64 = 8;
/// Time after the last submission by which all accepted work goes on.
const FINISH_MS: u64 = 14_000;
/// Least share of the time in which the last channel has a query in flight while
/// jobs are refused.
const MIN_BUSY: f64 = 0.7;

/// A kind of job, submitted at a regular interval.
struct Kind {
    interval_ms: u64,
    priority: u32,
    /// Duration of a query, without and for each worker.
    advice_ms: (f64, f64),
    step: fleet::StepDescription,
    run_ms: u64,
}

/// Quick checks, comparisons and reconstructions: together 1.7 s of queries a
/// second, and a third of the fleet's processors.
fn kinds() -> [Kind; 3] {
    let step = |step, run_ms| helpers::with_estimate(step, run_ms);
    [
        Kind {
            interval_ms: 20,
            priority: 0,
            advice_ms: (5.6, 0.08),
            step: step(helpers::step(1, 4), 640),
            run_ms: 640,
        },
        Kind {
            interval_ms: 180,
            priority: 2,
            advice_ms: (49.0, 0.71),
            step: step(helpers::step(10, 3), 2_700),
            run_ms: 2_700,
        },
        Kind {
            interval_ms: 700,
            priority: 1,
            advice_ms: (390.0, 5.5),
            step: step(helpers::gang(4, 18), 5_000),
            run_ms: 5_000,
        },
    ]
}

impl Kind {
    fn queue(&self) -> fleet::Queue {
        let (base_ms, per_worker_ms) = self.advice_ms;
        fleet::Queue {
            stretch: 2.2,
            advice: Some(fleet::AdvicePolicy {
                base_ms,
                per_worker_ms,
                valid_ms: 2_000,
            }),
            ..helpers::queue(self.priority)
        }
    }
}

struct Fleet {
    cluster: TestCluster,
    kinds: [Kind; 3],
    members: usize,
    pending: Vec<(time::Instant, AdviceQuery)>,
    /// When each run was first seen, with its length.
    since: IndexMap<(fleet::TaskId, u32), time::Instant>,
    /// Accepted jobs with their kinds.
    accepted: IndexMap<u64, usize>,
    refused: usize,
    busy: time::Duration,
    now_ms: u64,
    next_job: u64,
}

impl Fleet {
    fn new(members: usize) -> Self {
        let mut cluster = TestCluster::new(WORKERS);
        cluster.join_entries(2..=members);
        Self {
            cluster,
            kinds: kinds(),
            members,
            pending: Vec::new(),
            since: IndexMap::new(),
            accepted: IndexMap::new(),
            refused: 0,
            busy: time::Duration::ZERO,
            now_ms: 0,
            next_job: 1,
        }
    }

    /// Removes instances until so many are left. Their queries get no response.
    fn leave(&mut self, left: usize) {
        for number in left + 1..=self.members {
            let member: ids::MemberId = format!("entry-{number}").parse().unwrap();
            self.cluster.scheduler.member_left(&member);
            self.pending.retain(|(_, query)| query.member != member);
        }
        self.members = left;
    }

    fn submit(&mut self) {
        for kind in 0..self.kinds.len() {
            if !self.now_ms.is_multiple_of(self.kinds[kind].interval_ms) {
                continue;
            }
            let (queue, step) = (self.kinds[kind].queue(), self.kinds[kind].step.clone());
            let number = self.next_job;
            self.next_job += 1;
            match self
                .cluster
                .submit(number, &queue, helpers::job(vec![step]))
            {
                Admission::Accepted => {
                    self.accepted.insert(number, kind);
                }
                Admission::Refused { retry_after, .. } => {
                    assert!(retry_after > time::Duration::ZERO);
                    self.refused += 1;
                }
                other => panic!("{other:?}"),
            }
        }
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.cluster.now += helpers::ms(STEP_MS);
        self.cluster.wall_ms += STEP_MS;
        let now = self.cluster.now;
        self.cluster.scheduler.tick(now, self.cluster.wall_ms);
        let ended = self.pending.extract_if(.., |(at, _)| *at <= now);
        for (_, query) in ended.collect::<Vec<_>>() {
            let tickets = helpers::tickets(&query, |number| number % 3 > 0);
            self.cluster
                .scheduler
                .advice_answered(&query, Some(tickets), now);
        }
        self.end_runs();
        self.cluster.settle();
        for query in mem::take(&mut self.cluster.queries) {
            let took = query.expected + helpers::ms(QUERY_OVERHEAD_MS);
            self.busy += took;
            self.pending.push((now + took, query));
        }
    }

    fn end_runs(&mut self) {
        let now = self.cluster.now;
        for worker in self.cluster.workers.values_mut() {
            let keys: Vec<_> = worker.running.keys().copied().collect();
            for (task, attempt) in keys {
                let since = *self.since.entry((task, attempt)).or_insert(now);
                let kind = self.accepted[&task.job.0];
                if now >= since + helpers::ms(self.kinds[kind].run_ms) {
                    worker.end(task, attempt, fleet::End::Done);
                }
            }
        }
    }

    fn run(&mut self, time_ms: u64, submits: bool) {
        for _ in 0..time_ms / STEP_MS {
            if submits {
                self.submit();
            }
            self.step();
        }
    }

    /// Accepted jobs that are not done and have nothing running.
    fn standing(&self) -> Vec<u64> {
        let workers = self.cluster.workers.values();
        let running = workers.flat_map(|worker| worker.running.keys());
        let running: IndexSet<u64> = running.map(|(task, _)| task.job.0).collect();
        let open = |number: &&u64| {
            let state = self.cluster.state(**number);
            state.is_some_and(|state| !state.is_final())
        };
        let open = self.accepted.keys().filter(open);
        open.filter(|number| !running.contains(*number))
            .copied()
            .collect()
    }
}

/// Guards against jobs that are accepted by the room in the fleet and never start,
/// since the channels that are left cannot carry their queries.
#[rstest]
#[case::at_once(&[(1, 16_000)])]
#[case::in_turn(&[(7, 1_500), (6, 1_500), (4, 1_500), (2, 4_000), (1, 16_000)])]
fn accepted_jobs_start_although_one_channel_is_left(#[case] stages: &[(usize, u64)]) {
    let mut fleet = Fleet::new(8);
    fleet.run(5_000, true);
    assert_eq!(fleet.refused, 0, "eight channels carry the load");
    for (left, time_ms) in stages {
        fleet.leave(*left);
        fleet.run(*time_ms, true);
    }
    fleet.leave(1);
    let before = (fleet.busy, fleet.refused);
    fleet.run(8_000, true);
    let busy = (fleet.busy - before.0).as_secs_f64() / 8.0;
    assert!(busy > MIN_BUSY, "the last channel is in use for {busy:.2}");
    assert!(fleet.refused > before.1);
    fleet.run(FINISH_MS, false);
    assert_eq!(fleet.standing(), Vec::<u64>::new());
}
