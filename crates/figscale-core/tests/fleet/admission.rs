//! Admission under overload: which jobs are refused, when their callers may
//! retry, and whose work comes first.
//!
//! Jobs take one second, and their callers return when they are told to. The
//! latency objective is 1.75 s, so a job is refused if it would wait for more than
//! 2.5 s.

use std::time;

use figscale_core::fleet::Admission;
use figscale_core::fleet::Config;
use figscale_core::fleet::RefusalCause;
use figscale_core::fleet::Speeds;
use figscale_types::fleet;
use indexmap::IndexMap;

use crate::helpers;
use crate::helpers::TestCluster;

const STEP_MS: u64 = 100;
/// Longest time that a job may wait for others.
const BOUND_MS: u64 = 2_500;

fn queue() -> fleet::Queue {
    fleet::Queue {
        stretch: 1.5,
        target_latency_ms: 250,
        ..helpers::queue(1)
    }
}

/// A queue whose jobs are accepted whatever waits.
fn lenient_queue() -> fleet::Queue {
    fleet::Queue {
        target_latency_ms: 600_000,
        ..helpers::queue(1)
    }
}

/// Guards against accepted jobs without a bound: those of many occurrences are never
/// refused for the work in front of them.
#[test]
fn jobs_are_refused_when_open_ones_take_all_memory() {
    let config = Config {
        job_memory_bytes: 20_000,
        ..Config::default()
    };
    let mut cluster = TestCluster::with_config(1, 64, config);
    let description = fleet::JobDescription {
        occurrences: 10,
        first_due_ms: cluster.wall_ms + 10_000,
        interval_ms: 1_000,
        ..helpers::job(vec![helpers::step(4, 10)])
    };
    let submit = |id: u64, cluster: &mut TestCluster| {
        let (now, wall_ms) = (cluster.now, cluster.wall_ms);
        let job = description.clone();
        cluster
            .scheduler
            .submit(fleet::JobId(id), &queue(), job, now, wall_ms)
    };
    assert_eq!(submit(1, &mut cluster), Admission::Accepted);
    assert_eq!(submit(2, &mut cluster), Admission::Accepted);
    let refused = submit(3, &mut cluster);
    assert!(
        matches!(
            refused,
            Admission::Refused {
                cause: RefusalCause::JobMemory,
                ..
            }
        ),
        "{refused:?}"
    );
    assert_eq!(submit(2, &mut cluster), Admission::Accepted, "a repeat");
    cluster.scheduler.cancel(fleet::JobId(1), cluster.now);
    cluster.now += time::Duration::from_secs(1);
    assert_eq!(submit(3, &mut cluster), Admission::Accepted);
}

fn name(number: usize) -> fleet::CustomerName {
    format!("c-{number}").parse().unwrap()
}

/// Customers of equal weight without limits.
fn customers(count: usize) -> fleet::Customers {
    let mut customers = fleet::Customers::default();
    for number in 0..count {
        let terms = fleet::CustomerTerms {
            weight_millis: 1_000,
            limit: fleet::Room {
                cpu_millis: u64::MAX,
                memory_mb: u64::MAX,
                accelerators: u64::MAX,
            },
        };
        customers.add(name(number), terms, []).unwrap();
    }
    customers
}

fn retry_after(admission: Admission) -> Option<time::Duration> {
    match admission {
        Admission::Refused { retry_after, .. } => Some(retry_after),
        _ => None,
    }
}

fn wait(admission: Admission) -> Option<time::Duration> {
    match admission {
        Admission::Refused { wait, .. } => Some(wait),
        _ => None,
    }
}

/// Submits jobs of one task of 8 cores and 1 s until one is refused; returns the
/// number of those accepted.
fn fill(cluster: &mut TestCluster, first: u64) -> u64 {
    let submit = |number: &u64| {
        let job = helpers::job(vec![helpers::step(1, 8)]);
        cluster.submit(*number, &queue(), job) == Admission::Accepted
    };
    (first..).take_while(submit).count() as u64
}

/// A caller with its job.
struct Caller {
    customer: Option<usize>,
    step: fleet::StepDescription,
    arrived: time::Instant,
    next_try: Option<time::Instant>,
    refusals: usize,
    accepted: Option<time::Instant>,
    ended: Option<time::Instant>,
}

/// Callers that return when they are told to, within their patience.
struct Load {
    cluster: TestCluster,
    callers: Vec<Caller>,
    patience: time::Duration,
    /// When each run ends.
    ends: IndexMap<(fleet::TaskId, u32), time::Instant>,
    /// Submissions in each step.
    submissions: Vec<usize>,
    /// Refusals of each caller's job, by caller.
    causes: Vec<(usize, RefusalCause)>,
}

impl Load {
    fn new(cluster: TestCluster, patience: time::Duration) -> Self {
        Self {
            cluster,
            callers: Vec::new(),
            patience,
            ends: IndexMap::new(),
            submissions: Vec::new(),
            causes: Vec::new(),
        }
    }

    fn arrive(&mut self, customer: Option<usize>, step: fleet::StepDescription) {
        self.callers.push(Caller {
            customer,
            step,
            arrived: self.cluster.now,
            next_try: Some(self.cluster.now),
            refusals: 0,
            accepted: None,
            ended: None,
        });
    }

    fn advance(&mut self) {
        self.submit();
        self.cluster.advance(STEP_MS);
        self.end_due();
    }

    fn submit(&mut self) {
        let now = self.cluster.now;
        let mut submissions = 0;
        for (number, caller) in self.callers.iter_mut().enumerate() {
            if caller.next_try.is_none_or(|next| next > now) {
                continue;
            }
            submissions += 1;
            let admission = self.cluster.scheduler.submit_for(
                caller.customer.map(name),
                helpers::job_id(number as u64),
                &queue(),
                helpers::job(vec![caller.step.clone()]),
                now,
                self.cluster.wall_ms,
            );
            match admission {
                Admission::Refused {
                    retry_after, cause, ..
                } => {
                    let next = now + retry_after;
                    caller.next_try = (next < caller.arrived + self.patience).then_some(next);
                    caller.refusals += 1;
                    self.causes.push((number, cause));
                }
                _ => {
                    caller.next_try = None;
                    caller.accepted = Some(now);
                }
            }
        }
        self.submissions.push(submissions);
    }

    fn end_due(&mut self) {
        let now = self.cluster.now;
        for worker in self.cluster.workers.values() {
            for key in worker.running.keys() {
                let caller = &self.callers[key.0.job.0 as usize];
                let length = helpers::ms(caller.step.estimate_ms);
                self.ends.entry(*key).or_insert(now + length);
            }
        }
        let due = self.ends.extract_if(.., |_, end| *end <= now);
        for (task, attempt) in due.map(|(key, _)| key).collect::<Vec<_>>() {
            for worker in self.cluster.workers.values_mut() {
                worker.end(task, attempt, fleet::End::Done);
            }
        }
        self.cluster.settle();
        for (number, caller) in self.callers.iter_mut().enumerate() {
            let ended = caller.ended.is_none() && caller.accepted.is_some();
            if ended && self.cluster.state(number as u64) == Some(fleet::JobState::Completed) {
                caller.ended = Some(now);
            }
        }
    }

    /// Mean time from the arrival to the end of the jobs of some customers.
    fn mean_ms(&self, selects: impl Fn(usize) -> bool) -> u64 {
        let callers = self.callers.iter().filter(|caller| {
            let customer = caller.customer;
            customer.is_some_and(&selects)
        });
        let times = callers.filter_map(|caller| Some(caller.ended? - caller.arrived));
        let times: Vec<time::Duration> = times.collect();
        let sum: time::Duration = times.iter().sum();
        sum.as_millis() as u64 / times.len() as u64
    }

    fn refusals(&self, selects: impl Fn(usize) -> bool) -> usize {
        let callers = self.callers.iter();
        let selected = callers.filter(|caller| caller.customer.is_some_and(&selects));
        selected.map(|caller| caller.refusals).sum()
    }
}

/// Eight customers of equal weight need 0.85 of 256 cores; one of them sends
/// `times` its usual rate for 6 s.
fn hot_customer(times: f64) -> Load {
    let mut cluster = TestCluster::new(4);
    cluster.scheduler.set_customers(Some(&customers(8)));
    let mut load = Load::new(cluster, time::Duration::from_secs(3));
    let mut random = helpers::Random(7);
    let per_step = 0.85 * 256.0 / 16.0 / 8.0 * STEP_MS as f64 / 1_000.0;
    for at_ms in (0..16_000).step_by(STEP_MS as usize) {
        for customer in 0..8 {
            if random.next() < per_step {
                load.arrive(Some(customer), helpers::step(4, 4));
            }
        }
        if (4_000..10_000).contains(&at_ms) {
            let mut excess = per_step * (times - 1.0);
            while excess > 0.0 {
                // Numbers of their own, so that all else arrives as without these.
                if helpers::Random(at_ms + (excess * 1_000.0) as u64).next() < excess {
                    load.arrive(Some(0), helpers::step(4, 4));
                }
                excess -= 1.0;
            }
        }
        load.advance();
    }
    for _ in 0..80 {
        load.advance();
    }
    load
}

/// Guards against a customer that sends seven times its usual rate for 6 s and
/// delays the others of the same queue, or has them refused.
#[test]
fn a_hot_customer_is_refused_and_delayed_alone() {
    let (usual, hot) = (hot_customer(1.0), hot_customer(7.0));
    let others = |customer: usize| customer > 0;
    let own = |customer: usize| customer == 0;
    println!(
        "usual: others {} ms, {} refusals; hot: others {} ms, {} refusals; own {} ms, {} refusals",
        usual.mean_ms(others),
        usual.refusals(others),
        hot.mean_ms(others),
        hot.refusals(others),
        hot.mean_ms(own),
        hot.refusals(own),
    );
    assert!(hot.refusals(own) > 10);
    assert!(hot.refusals(others) <= usual.refusals(others) + 1);
    assert!(hot.mean_ms(others) <= usual.mean_ms(others) + 200);
    assert!(hot.mean_ms(own) > hot.mean_ms(others) + 200);
    let of_own = |(caller, _): &&(usize, RefusalCause)| hot.callers[*caller].customer == Some(0);
    let causes = hot.causes.iter().filter(of_own);
    let over_share = causes.filter(|(_, cause)| *cause == RefusalCause::OverShare);
    assert!(over_share.count() * 10 > hot.refusals(own) * 9);
}

/// Guards against a weight that acts as a limit: one customer alone on the fleet,
/// with a hundredth of the weights, is refused no earlier than without weights.
#[test]
fn a_weight_limits_nothing_while_there_is_room() {
    let accepted = |customers: Option<&fleet::Customers>| {
        let mut cluster = TestCluster::new(1);
        cluster.scheduler.set_customers(customers);
        let submit = |number: &u64| {
            let (id, now, wall_ms) = (helpers::job_id(*number), cluster.now, cluster.wall_ms);
            let job = helpers::job(vec![helpers::step(1, 8)]);
            let customer = Some(name(0));
            let scheduler = &mut cluster.scheduler;
            scheduler.submit_for(customer, id, &queue(), job, now, wall_ms) == Admission::Accepted
        };
        (0..).take_while(submit).count()
    };
    assert_eq!(accepted(Some(&customers(100))), accepted(None));
}

/// A thousand callers in 1 s on a fleet that serves 96 of them a second, and
/// `newcomers_per_step` later ones in each 100 ms until `until_ms`.
fn thousand_callers(newcomers_per_step: usize, until_ms: u64) -> Load {
    let mut load = Load::new(TestCluster::new(16), time::Duration::from_secs(60));
    let step = helpers::step(1, 10);
    for at_ms in (0..until_ms).step_by(STEP_MS as usize) {
        let arriving = if at_ms < 1_000 {
            100
        } else {
            newcomers_per_step
        };
        for _ in 0..arriving {
            load.arrive(None, step.clone());
        }
        load.advance();
    }
    load
}

/// Guards against a thousand refused callers that return all at once, or in an
/// order other than that of their first refusals.
#[test]
fn a_thousand_refused_callers_return_spread_out_and_in_order() {
    let load = thousand_callers(0, 16_000);
    let refused = load.callers.iter().filter(|caller| caller.refusals > 0);
    let accepted: Vec<time::Instant> = refused.clone().filter_map(|c| c.accepted).collect();
    assert!(accepted.len() > 500, "{} were refused", accepted.len());
    assert_eq!(
        accepted.len(),
        refused.clone().count(),
        "some never came in"
    );
    let per_second = load.submissions[10..].windows(10);
    let most: usize = per_second.map(|second| second.iter().sum()).max().unwrap();
    println!("at most {most} return in one second");
    assert!(most <= 200, "{most} returned in one second");
    // `Retry-After` has whole seconds, so callers may pass those of about one second.
    let before = |at: time::Instant, earlier: &[time::Instant]| {
        let passed = earlier
            .iter()
            .filter(|other| **other > at + helpers::ms(1_500));
        passed.count()
    };
    let passed: usize = (0..accepted.len())
        .map(|number| before(accepted[number], &accepted[..number]))
        .sum();
    println!("callers passed by more than 1.5 s: {passed}");
    assert_eq!(passed, 0);
    let last = load.callers.iter().filter_map(|caller| caller.ended).max();
    let took = last.unwrap() - load.callers[0].arrived;
    assert!(took < helpers::ms(13_500), "served after {took:?}");
}

/// Guards against refused callers that return after a burst and find that newcomers
/// took their places.
#[test]
fn callers_that_return_come_before_newcomers() {
    let load = thousand_callers(8, 20_000);
    let is_newcomer =
        |caller: &&Caller| caller.arrived >= load.callers[0].arrived + helpers::ms(1_000);
    let waited = |callers: &mut dyn Iterator<Item = &Caller>| {
        let counted = callers.filter(|caller| caller.refusals > 0);
        let times: Vec<f64> = counted.map(|caller| caller.refusals as f64).collect();
        (
            times.len(),
            times.iter().sum::<f64>() / times.len().max(1) as f64,
        )
    };
    let (returning, tries) = waited(&mut load.callers.iter().filter(|caller| !is_newcomer(caller)));
    let (refused_newcomers, _) = waited(&mut load.callers.iter().filter(is_newcomer));
    println!("{returning} returned after {tries} refusals, {refused_newcomers} newcomers refused");
    assert!(returning > 500 && refused_newcomers > 100);
    assert!(tries < 1.6);
}

/// Guards against places that are kept for callers that never return, on a fleet
/// that could serve others meanwhile.
#[test]
fn turns_that_are_not_taken_are_freed() {
    let mut cluster = TestCluster::new(1);
    let accepted = fill(&mut cluster, 0);
    let turns = (1_000..1_200)
        .map(|number| cluster.submit(number, &queue(), helpers::job(vec![helpers::step(1, 8)])));
    assert!(
        turns
            .into_iter()
            .all(|admission| retry_after(admission).is_some())
    );
    assert!(cluster.scheduler.turns() > 100);
    for number in 0..accepted {
        cluster
            .scheduler
            .cancel(helpers::job_id(number), cluster.now);
    }
    cluster.advance(9_000);
    assert_eq!(fill(&mut cluster, 10_000), accepted);
    assert_eq!(cluster.scheduler.turns(), 1);
}

/// Guards against an outage of the store that erases the turns of refused callers: all
/// would be newcomers after it.
#[test]
fn turns_outlast_an_outage_of_the_store() {
    let mut cluster = TestCluster::with_cores(2, 32);
    fill(&mut cluster, 0);
    let job = || helpers::job(vec![helpers::step(1, 8)]);
    let refused = cluster.submit(1_000, &queue(), job());
    assert_eq!(retry_after(refused), Some(time::Duration::from_secs(1)));
    let turns = cluster.scheduler.turns();
    for _ in 0..40 {
        cluster.advance(STEP_MS);
        let retry_at = cluster.now + time::Duration::from_secs(1);
        cluster.scheduler.refused_by_store(retry_at);
    }
    // Any submission drops the turns that are over.
    cluster.submit(1_001, &lenient_queue(), job());
    assert_eq!(cluster.scheduler.turns(), turns);
}

/// Guards against a job that is refused although there is room for it, since wide
/// gangs wait that cannot use that room.
#[test]
fn a_job_that_fits_beside_waiting_gangs_is_accepted() {
    let mut cluster = TestCluster::with_cores(2, 64);
    let long = helpers::with_estimate(helpers::step(1, 40), 30_000);
    cluster.run(0, &lenient_queue(), vec![long]);
    for number in 1..20 {
        let gang = helpers::with_estimate(helpers::gang(2, 60), 5_000);
        cluster.run(number, &lenient_queue(), vec![gang]);
    }
    assert!(cluster.placed(helpers::task(1, 0, 0)).is_empty());
    let mut submit = |number, step| cluster.submit(number, &queue(), helpers::job(vec![step]));
    let accepted =
        (100..120).filter(|number| submit(*number, helpers::step(1, 20)) == Admission::Accepted);
    assert_eq!(
        accepted.count(),
        4,
        "24 cores beside a run and 64 of a worker are free"
    );
    assert!(retry_after(submit(120, helpers::gang(2, 30))).is_some());
}

/// Guards against a gang that is accepted since its members fit on workers of which
/// the advisory service approves few.
#[test]
fn room_on_workers_that_may_not_be_approved_counts_in_part() {
    let advised = fleet::Queue {
        advice: helpers::advised_queue(1).advice,
        ..queue()
    };
    let mut cluster = TestCluster::new(2);
    for number in 0..40 {
        let gang = helpers::with_estimate(helpers::gang(3, 60), 5_000);
        cluster.run(number, &lenient_queue(), vec![gang]);
    }
    let gang = |count| helpers::job(vec![helpers::gang(count, 16)]);
    assert!(retry_after(cluster.submit(100, &advised, gang(8))).is_some());
    assert_eq!(cluster.submit(101, &advised, gang(4)), Admission::Accepted);
}

/// Guards against admission by processors alone where tasks fill the memory.
#[test]
fn jobs_are_refused_where_memory_is_scarce() {
    let mut cluster = TestCluster::new(1);
    let mut step = helpers::step(1, 1);
    step.room.memory_mb = 32_768;
    let submit = |number: &u64| {
        cluster.submit(*number, &queue(), helpers::job(vec![step.clone()])) == Admission::Accepted
    };
    // Four run at a time, and each takes a second.
    assert_eq!((0..).take_while(submit).take(100).count(), 11);
}

/// Guards against jobs that are accepted for workers that leave.
#[test]
fn workers_that_drain_do_not_count() {
    let mut cluster = TestCluster::new(2);
    let all = fill(&mut cluster, 0);
    let mut cluster = TestCluster::new(2);
    let entry = fleet::WorkerEntry {
        draining: true,
        ..cluster.worker(1).entry.clone()
    };
    cluster.scheduler.worker_listed(entry, cluster.now);
    cluster.advance(100);
    assert_eq!(fill(&mut cluster, 0) * 2, all + 1);
}

/// Guards against jobs that are accepted for the speed that the workers had before
/// they became slow.
#[test]
fn slow_workers_offer_less() {
    let mut cluster = TestCluster::new(2);
    let all = fill(&mut cluster, 0);
    let mut cluster = TestCluster::new(2);
    let slow = |number| {
        (
            helpers::worker_id(number),
            fleet::Slowdown::from_percent(200),
        )
    };
    cluster.scheduler.set_speeds(&Speeds {
        workers: vec![slow(0), slow(1)],
        queues: Vec::new(),
    });
    assert_eq!(fill(&mut cluster, 0) * 2, all + 1);
}

/// Guards against callers that cancel and still keep others out.
#[test]
fn a_cancelled_submission_frees_its_turn() {
    let mut cluster = TestCluster::new(1);
    fill(&mut cluster, 0);
    let job = || helpers::job(vec![helpers::step(1, 8)]);
    for number in 1_000..1_100 {
        cluster.submit(number, &queue(), job());
    }
    let behind = retry_after(cluster.submit(2_000, &queue(), job())).unwrap();
    for number in 1_000..1_100 {
        cluster
            .scheduler
            .cancel(helpers::job_id(number), cluster.now);
    }
    cluster
        .scheduler
        .cancel(helpers::job_id(2_000), cluster.now);
    let after = retry_after(cluster.submit(2_001, &queue(), job())).unwrap();
    assert!(behind > helpers::ms(3_000) && after == helpers::ms(1_000));
}

/// Guards against a new leader that tells all callers the same time.
#[test]
fn a_new_leader_spreads_the_first_refusals() {
    let mut cluster = TestCluster::new(1);
    fill(&mut cluster, 0);
    cluster.settle();
    cluster.take_over(2);
    cluster.advance(100);
    let mut told: IndexMap<time::Duration, usize> = IndexMap::new();
    for number in 1_000..1_100 {
        let job = helpers::job(vec![helpers::step(1, 8)]);
        if let Some(told_now) = retry_after(cluster.submit(number, &queue(), job)) {
            *told.entry(told_now).or_default() += 1;
        }
    }
    let per_second = told.values().max().unwrap();
    println!("told: {told:?}");
    assert!(told.len() >= 6 && *per_second <= 20);
}

/// The rule without customers and turns: the work of open jobs, divided by all
/// processors.
fn simple_wait(cluster: &TestCluster, load: &Load, capacity_cores: u64) -> time::Duration {
    let callers = load.callers.iter().enumerate();
    let open = callers.filter(|(_, caller)| caller.accepted.is_some() && caller.ended.is_none());
    let core_ms = open.map(|(number, caller)| {
        let view = cluster.scheduler.view(helpers::job_id(number as u64));
        let left = view.map_or(caller.step.count as usize, |view| {
            let tasks = view.tasks.iter();
            let left = tasks.filter(|task| task.progress != fleet::TaskProgress::Done);
            left.count()
        });
        left as u64 * caller.step.room.cpu_millis * caller.step.estimate_ms / 1_000
    });
    helpers::ms(core_ms.sum::<u64>() / capacity_cores)
}

/// Submits random steps, at 0.7 of the fleet and then at twice its capacity, and
/// compares each decision until the first refusal; returns when that is.
fn compare_until_refusal(seed: u64) -> Option<u64> {
    let mut load = Load::new(TestCluster::new(4), time::Duration::from_secs(3));
    let mut random = helpers::Random(seed);
    for at_ms in (0..12_000).step_by(STEP_MS as usize) {
        let mut arriving = if at_ms < 6_000 { 1.0 } else { 3.0 };
        while random.next() < arriving {
            arriving -= 1.0;
            let step = helpers::step(1 + (random.next() * 8.0) as u32, 4);
            let expected = simple_wait(&load.cluster, &load, 256);
            let number = load.callers.len() as u64;
            load.arrive(None, step.clone());
            let job = helpers::job(vec![step]);
            let admission = load.cluster.submit(number, &queue(), job);
            let refused = expected > helpers::ms(BOUND_MS);
            assert_eq!(wait(admission), refused.then_some(expected));
            if refused {
                return Some(at_ms);
            }
            let caller = &mut load.callers[number as usize];
            caller.next_try = None;
            caller.accepted = Some(load.cluster.now);
        }
        load.advance();
    }
    None
}

/// Guards against decisions that change where there are no customers and nobody was
/// refused yet.
#[test]
fn without_customers_the_first_refusal_comes_as_before() {
    for seed in 1..=4 {
        let refused_at = compare_until_refusal(seed);
        assert!(
            refused_at.is_some_and(|at_ms| at_ms > 6_000),
            "{refused_at:?}"
        );
    }
}
