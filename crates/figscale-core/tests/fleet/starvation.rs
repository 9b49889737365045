//! Work that must start beside an endless stream of other work.

use std::time;

use figscale_core::fleet::Admission;
use figscale_core::fleet::AdviceQuery;
use figscale_types::fleet;
use indexmap::IndexMap;

use crate::helpers;
use crate::helpers::TestCluster;

const STEP_MS: u64 = 50;
/// More than three objectives of each job that these tests wait for.
const MAX_WAIT_MS: u64 = 40_000;
/// A task whose worker was lost runs again within this time.
const MAX_GAP_MS: u64 = 6_000;
/// Number of the first job of a stream.
const FIRST_STREAM_JOB: u64 = 10_000;

/// A fleet whose runs take as long as they were estimated to.
struct SimulatedFleet {
    cluster: TestCluster,
    /// Queries in flight, with the times of their responses.
    pending_queries: Vec<(time::Instant, AdviceQuery)>,
    good: fn(usize) -> bool,
    advisory_responds: bool,
    lengths_ms: IndexMap<u64, u64>,
    since: IndexMap<(fleet::TaskId, u32), time::Instant>,
    next: u64,
}

impl SimulatedFleet {
    fn new(cluster: TestCluster) -> Self {
        Self {
            cluster,
            pending_queries: Vec::new(),
            good: |_| true,
            advisory_responds: true,
            lengths_ms: IndexMap::new(),
            since: IndexMap::new(),
            next: FIRST_STREAM_JOB,
        }
    }

    fn run(&mut self, number: u64, queue: &fleet::Queue, step: fleet::StepDescription) {
        self.lengths_ms.insert(number, step.estimate_ms);
        self.cluster.run(number, queue, vec![step]);
    }

    /// Submits one more job of a stream; returns whether it was accepted.
    fn submit_stream_job(&mut self, queue: &fleet::Queue, step: &fleet::StepDescription) -> bool {
        let number = self.next;
        self.next += 1;
        self.lengths_ms.insert(number, step.estimate_ms);
        let steps = vec![step.clone()];
        self.cluster.submit(number, queue, helpers::job(steps)) == Admission::Accepted
    }

    fn step(&mut self) {
        self.cluster.now += helpers::ms(STEP_MS);
        self.cluster.wall_ms += STEP_MS;
        let (now, wall_ms) = (self.cluster.now, self.cluster.wall_ms);
        self.cluster.scheduler.tick(now, wall_ms);
        self.end_due();
        let due = self.pending_queries.extract_if(.., |(at, _)| *at <= now);
        for (_, query) in due.collect::<Vec<_>>() {
            let tickets = helpers::tickets(&query, self.good);
            let tickets = self.advisory_responds.then_some(tickets);
            self.cluster.scheduler.advice_answered(&query, tickets, now);
        }
        self.cluster.settle();
        for query in std::mem::take(&mut self.cluster.queries) {
            self.pending_queries.push((now + query.expected, query));
        }
    }

    fn end_due(&mut self) {
        let now = self.cluster.now;
        for worker in self.cluster.workers.values_mut() {
            let keys: Vec<_> = worker.running.keys().copied().collect();
            for (task, attempt) in keys {
                let since = *self.since.entry((task, attempt)).or_insert(now);
                let length_ms = self.lengths_ms.get(&task.job.0);
                if length_ms.is_some_and(|length_ms| now >= since + helpers::ms(*length_ms)) {
                    worker.end(task, attempt, fleet::End::Done);
                }
            }
        }
    }

    /// Runs steps, with a call of `each` before each, until a job has started;
    /// returns the time it took.
    fn ms_until_started(
        &mut self,
        number: u64,
        mut each: impl FnMut(&mut Self, u64),
    ) -> Option<u64> {
        for at_ms in (0..MAX_WAIT_MS).step_by(STEP_MS as usize) {
            each(self, at_ms);
            self.step();
            if self.cluster.state(number) != Some(fleet::JobState::Queued) {
                return Some(at_ms);
            }
        }
        None
    }
}

/// A gang on more workers than one query for tickets names; tickets are valid
/// for longer than two such queries take.
#[test]
fn a_gang_wider_than_one_query_starts() {
    let mut never = Vec::new();
    for count in [101, 190] {
        let mut fleet = SimulatedFleet::new(TestCluster::with_cores(220, 40));
        fleet.cluster.join_entries(2..=8);
        let queue = fleet::Queue {
            advice: Some(fleet::AdvicePolicy {
                base_ms: 559.0,
                per_worker_ms: 8.06,
                valid_ms: 2_000,
            }),
            ..helpers::queue(1)
        };
        fleet.run(
            1,
            &queue,
            helpers::with_estimate(helpers::gang(count, 27), 5_000),
        );
        if fleet.ms_until_started(1, |_, _| ()).is_none() {
            never.push(count);
        }
    }
    assert!(never.is_empty(), "never started: {never:?}");
}

/// Gangs with one task to a worker, with all tasks in one rack if possible, or
/// with a required label.
#[test]
fn gangs_with_constraints_start_beside_a_stream_of_small_work() {
    let small = helpers::with_estimate(helpers::step(1, 6), 2_000);
    let gangs = [
        fleet::StepDescription {
            max_per_worker: Some(1),
            ..helpers::gang(6, 5)
        },
        fleet::StepDescription {
            same_rack: true,
            ..helpers::gang(4, 9)
        },
        fleet::StepDescription {
            required_label: Some("r1-1".to_owned()),
            ..helpers::gang(4, 9)
        },
    ];
    for queue in [helpers::queue(1), helpers::advised_queue(1)] {
        for gang in &gangs {
            let mut fleet = SimulatedFleet::new(TestCluster::with_cores(8, 10));
            for _ in 0..7 {
                fleet.submit_stream_job(&helpers::queue(1), &small);
                fleet.step();
            }
            fleet.run(1, &queue, gang.clone());
            let begun = fleet.ms_until_started(1, |fleet, at_ms| {
                if at_ms % 250 == 0 {
                    fleet.submit_stream_job(&helpers::queue(1), &small);
                }
            });
            assert!(begun.is_some(), "{gang:?}");
        }
    }
}

/// The instance that sends the query leaves each time.
#[test]
fn a_gang_whose_queries_are_lost_starts() {
    let mut fleet = SimulatedFleet::new(TestCluster::with_cores(4, 10));
    fleet.cluster.join_entries(2..=4);
    fleet.run(1, &helpers::advised_queue(1), helpers::gang(3, 8));
    let begun = fleet.ms_until_started(1, |fleet, at_ms| {
        if at_ms < 5_000 {
            for (_, query) in std::mem::take(&mut fleet.pending_queries) {
                fleet.cluster.scheduler.member_left(&query.member);
                fleet.cluster.scheduler.member_joined(&query.member);
            }
        }
    });
    assert!(begun.is_some_and(|at_ms| at_ms < 6_000), "{begun:?}");
}

/// All workers known to be good leave, and others join.
#[test]
fn a_gang_queries_workers_that_joined_later() {
    let mut fleet = SimulatedFleet::new(TestCluster::with_cores(8, 10));
    fleet.good = |number| number >= 6;
    fleet.run(1, &helpers::advised_queue(1), helpers::gang(4, 8));
    for _ in 0..40 {
        fleet.step();
    }
    for number in 6..8 {
        fleet
            .cluster
            .workers
            .swap_remove(&helpers::worker_id(number));
        let now = fleet.cluster.now;
        fleet
            .cluster
            .scheduler
            .worker_unlisted(&helpers::worker_id(number), now);
    }
    for number in 8..12 {
        fleet.cluster.add_worker(number, 10);
    }
    let begun = fleet.ms_until_started(1, |_, _| ());
    assert!(begun.is_some_and(|at_ms| at_ms < 3_000), "{begun:?}");
}

/// Gangs that are too large for the fleet were submitted first, more of them
/// than may reserve workers.
#[test]
fn infeasible_gangs_do_not_block_another_gang() {
    for advice in [false, true] {
        let mut fleet = SimulatedFleet::new(TestCluster::with_cores(2, 10));
        let queue = if advice {
            helpers::advised_queue(1)
        } else {
            helpers::queue(1)
        };
        let single = helpers::with_estimate(helpers::step(1, 8), 2_000);
        fleet.submit_stream_job(&helpers::queue(1), &single);
        fleet.step();
        for number in 400..404 {
            fleet.run(
                number,
                &queue,
                helpers::with_estimate(helpers::gang(3, 8), 100),
            );
        }
        for _ in 0..20 {
            fleet.step();
        }
        fleet.submit_stream_job(&helpers::queue(1), &single);
        fleet.run(500, &queue, helpers::gang(2, 8));
        let begun = fleet.ms_until_started(500, |fleet, at_ms| {
            if at_ms % 1_000 == 0 {
                fleet.submit_stream_job(&helpers::queue(1), &single);
            }
        });
        assert!(begun.is_some(), "never started, advice {advice}");
    }
}

/// The quick work is one task of three cores at a time on two workers of ten.
#[test]
fn a_gang_is_not_starved_by_a_stream_of_quick_work() {
    let mut fleet = SimulatedFleet::new(TestCluster::with_cores(2, 10));
    let quick = helpers::with_estimate(helpers::step(1, 3), 1_000);
    fleet.submit_stream_job(&helpers::queue(0), &quick);
    fleet.step();
    fleet.run(1, &helpers::queue(1), helpers::gang(2, 8));
    let begun = fleet.ms_until_started(1, |fleet, at_ms| {
        if at_ms % 900 == 0 {
            fleet.submit_stream_job(&helpers::queue(0), &quick);
        }
    });
    assert!(begun.is_some(), "never started");
}

/// The advisory service has named good workers, and then stops responding.
#[test]
fn gangs_without_responses_do_not_reserve_the_whole_fleet() {
    let with_target_latency = |policy: fleet::Queue, target_latency_ms| fleet::Queue {
        target_latency_ms,
        ..policy
    };
    let mut fleet = SimulatedFleet::new(TestCluster::with_cores(8, 10));
    fleet.cluster.join_entries(2..=24);
    let filling = fleet::StepDescription {
        max_per_worker: Some(1),
        ..helpers::with_estimate(helpers::step(8, 8), 6_000)
    };
    fleet.run(1, &helpers::queue(1), filling);
    for number in 2..10 {
        let gang = helpers::with_estimate(helpers::gang(2, 8), 5_000);
        fleet.run(
            number,
            &with_target_latency(helpers::advised_queue(1), 60_000),
            gang,
        );
    }
    for at_ms in (0..8_000).step_by(STEP_MS as usize) {
        fleet.advisory_responds = at_ms < 3_000;
        fleet.step();
    }
    let small = helpers::with_estimate(helpers::step(1, 4), 3_000);
    fleet.run(20, &with_target_latency(helpers::queue(2), 90_000), small);
    let begun = fleet.ms_until_started(20, |_, _| ());
    assert!(begun.is_some_and(|at_ms| at_ms < 3_000), "{begun:?}");
}

/// One of three workers refuses every start, and stopping a run takes time.
#[test]
fn a_gang_completes_beside_a_worker_that_refuses() {
    use fleet::StartRefusal;
    for (refusal, stop_ms) in [
        (StartRefusal::NoRoom, 400),
        (StartRefusal::Unhealthy, 1_100),
        (StartRefusal::Unhealthy, 600),
    ] {
        let mut fleet = SimulatedFleet::new(TestCluster::with_cores(3, 10));
        for worker in fleet.cluster.workers.values_mut() {
            worker.stops_at_once = false;
        }
        fleet.cluster.worker(0).start_outcome = Some(fleet::StartOutcome::Refused(refusal));
        fleet.run(1, &helpers::queue(1), helpers::gang(2, 8));
        let mut stops = Vec::new();
        for _ in 0..400 {
            fleet.step();
            let now = fleet.cluster.now;
            let new = std::mem::take(&mut fleet.cluster.stops).into_iter();
            stops.extend(new.map(|stop| (now + helpers::ms(stop_ms), stop)));
            for (_, (worker, task, attempt)) in stops.extract_if(.., |(at, _)| *at <= now) {
                let worker = fleet.cluster.workers.get_mut(&worker).unwrap();
                worker.end(task, attempt, fleet::End::Stopped);
            }
        }
        let state = fleet.cluster.state(1);
        assert_eq!(
            state,
            Some(fleet::JobState::Completed),
            "{refusal:?} {stop_ms}"
        );
    }
}

/// Guards against an overdue gang that is never queried, because there are few
/// advice channels and always more urgent small work that needs them.
#[test]
fn a_late_gang_is_queried_beside_a_stream_of_small_work() {
    for members in [1, 2, 3] {
        let mut fleet = SimulatedFleet::new(TestCluster::with_cores(4, 64));
        fleet.cluster.join_entries(2..=members);
        let filling = fleet::StepDescription {
            max_per_worker: Some(1),
            ..helpers::with_estimate(helpers::step(4, 8), 12_000)
        };
        let policy = fleet::AdvicePolicy {
            base_ms: 300.0,
            per_worker_ms: 5.0,
            valid_ms: 2_500,
        };
        let queue = fleet::Queue {
            target_latency_ms: 200,
            advice: Some(policy),
            ..helpers::queue(1)
        };
        let gang = helpers::with_estimate(helpers::gang(2, 60), 1_000);
        fleet.run(1, &queue, gang);
        fleet.run(2, &helpers::queue(1), filling);
        let small = helpers::with_estimate(helpers::step(1, 1), 500);
        let begun = fleet.ms_until_started(1, |fleet, at_ms| {
            if at_ms > 10_000 && at_ms % 200 == 0 {
                fleet.submit_stream_job(&queue, &small);
            }
        });
        assert!(begun.is_some(), "never started with {members} members");
    }
}

/// A late gang got no query while younger gangs, which can still meet their
/// objectives, kept all channels for long queries busy.
#[test]
fn a_late_gang_is_queried_beside_a_stream_of_younger_gangs() {
    for members in [4, 8] {
        let mut fleet = SimulatedFleet::new(TestCluster::with_cores(60, 64));
        fleet.cluster.join_entries(2..=members);
        let policy = fleet::AdvicePolicy {
            base_ms: 600.0,
            per_worker_ms: 8.0,
            valid_ms: 2_500,
        };
        let late = fleet::Queue {
            target_latency_ms: 200,
            advice: Some(policy),
            ..helpers::queue(1)
        };
        let in_time = fleet::Queue {
            target_latency_ms: 10_000_000,
            ..late.clone()
        };
        fleet.run(
            1,
            &late,
            helpers::with_estimate(helpers::gang(8, 40), 1_000),
        );
        let filling = helpers::with_estimate(helpers::step(60, 40), 12_000);
        fleet.run(2, &helpers::queue(1), filling);
        let younger = helpers::with_estimate(helpers::gang(2, 20), 500);
        let begun = fleet.ms_until_started(1, |fleet, at_ms| {
            if at_ms > 8_000 {
                fleet.submit_stream_job(&in_time, &younger);
            }
        });
        assert!(begun.is_some(), "never started with {members} members");
    }
}

/// A task as wide as a worker must start beside small work that uses a part of
/// each worker.
#[test]
fn a_wide_task_is_not_starved_by_a_stream_of_small_work() {
    let mut fleet = SimulatedFleet::new(TestCluster::with_cores(2, 10));
    let first = helpers::with_estimate(helpers::step(1, 6), 2_000);
    fleet.submit_stream_job(&helpers::queue(1), &first);
    fleet.submit_stream_job(&helpers::queue(1), &first);
    fleet.step();
    fleet.run(1, &helpers::queue(1), helpers::step(1, 10));
    let small = helpers::with_estimate(helpers::step(1, 3), 2_000);
    let begun = fleet.ms_until_started(1, |fleet, at_ms| {
        if at_ms % 450 == 0 {
            fleet.submit_stream_job(&helpers::queue(1), &small);
        }
    });
    assert!(begun.is_some(), "never started");
}

/// Guards against a task that waits for a worker without recently started runs, of
/// which a stream of short work leaves none, after its own worker has crashed.
#[test]
fn a_task_whose_worker_crashed_is_not_starved_by_a_stream_of_short_work() {
    let mut fleet = SimulatedFleet::new(TestCluster::with_cores(3, 64));
    let short = fleet::StepDescription {
        max_per_worker: Some(1),
        ..helpers::with_estimate(helpers::step(3, 1), 400)
    };
    let stream = |fleet: &mut SimulatedFleet, time_ms: u64| {
        for _ in 0..time_ms / STEP_MS {
            fleet.submit_stream_job(&helpers::queue(1), &short);
            fleet.step();
        }
    };
    stream(&mut fleet, 1_000);
    let long = helpers::with_estimate(helpers::step(1, 1), 60_000);
    fleet.run(1, &helpers::queue(1), long);
    let task = helpers::task(1, 0, 0);
    let host = fleet.cluster.host_worker(task).unwrap();
    fleet.cluster.crash(&host);
    let now = fleet.cluster.now;
    fleet.cluster.workers.swap_remove(&host);
    fleet.cluster.scheduler.worker_replaced(&host, now);
    fleet.cluster.scheduler.worker_unlisted(&host, now);
    stream(&mut fleet, MAX_GAP_MS);
    assert!(fleet.cluster.host_worker(task).is_some());
}
