//! Placement on workers of different speed. A third of them takes 1.7 times and the
//! rest 0.7 times the ordinary time, unless a test says otherwise.

use std::time;

use figscale_core::fleet::AdviceQuery;
use figscale_core::fleet::LogEntry;
use figscale_core::fleet::RunTimes;
use figscale_core::fleet::Speeds;
use figscale_types::fleet;
use indexmap::IndexMap;
use indexmap::IndexSet;
use rstest::rstest;

use crate::helpers;
use crate::helpers::TestCluster;

const SLOW: u32 = 170;
const FAST: u32 = 70;
const CORES: u64 = 32;
const STEP_MS: u64 = 20;

/// The first third of the workers is slow, so that an order by listing favours it.
fn mixed(workers: usize) -> Vec<u32> {
    let percent = |number| if number < workers / 3 { SLOW } else { FAST };
    (0..workers).map(percent).collect()
}

/// The same slowdowns relative to the median worker, as a record holds them. Where
/// learning goes on, others would contradict the first evidence.
fn relative_to_median(percents: &[u32]) -> Vec<u32> {
    let relative = |percent: &u32| percent * 100 / FAST;
    percents.iter().map(relative).collect()
}

fn speeds(percents: &[u32], queues: Vec<(String, RunTimes)>) -> Speeds {
    let slowdown = |(number, percent): (usize, &u32)| {
        let slowdown = fleet::Slowdown::from_percent(*percent);
        (helpers::worker_id(number), slowdown)
    };
    Speeds {
        workers: percents.iter().enumerate().map(slowdown).collect(),
        queues,
    }
}

fn cluster(percents: &[u32]) -> TestCluster {
    let mut cluster = TestCluster::with_cores(percents.len(), CORES);
    cluster.scheduler.set_speeds(&speeds(percents, Vec::new()));
    cluster
}

fn short_queue() -> fleet::Queue {
    fleet::Queue {
        stretch: 1.5,
        target_latency_ms: 250,
        ..helpers::queue(0)
    }
}

fn wide_queue() -> fleet::Queue {
    fleet::Queue {
        stretch: 4.0,
        target_latency_ms: 3_000,
        ..helpers::queue(2)
    }
}

fn advised(queue: fleet::Queue, base_ms: f64, per_worker_ms: f64) -> fleet::Queue {
    let advice = fleet::AdvicePolicy {
        base_ms,
        per_worker_ms,
        valid_ms: 2_500,
    };
    fleet::Queue {
        advice: Some(advice),
        ..queue
    }
}

fn short_step() -> fleet::StepDescription {
    helpers::with_estimate(helpers::step(3, 5), 540)
}

fn wide_step() -> fleet::StepDescription {
    helpers::with_estimate(helpers::step(25, 4), 1_900)
}

/// Numbers of the workers on which tasks of a job's first step run.
fn hosts(cluster: &TestCluster, job: u64, tasks: u32) -> Vec<usize> {
    let hosts = (0..tasks).filter_map(|index| cluster.host_worker(helpers::task(job, 0, index)));
    hosts.map(|id| number_of(&id)).collect()
}

fn number_of(id: &fleet::WorkerId) -> usize {
    id.name()[2..].parse().unwrap()
}

fn queried(query: &AdviceQuery) -> Vec<usize> {
    query.workers.iter().map(number_of).collect()
}

/// A load whose runs end by themselves, after their length on their worker.
struct Load {
    cluster: TestCluster,
    percents: Vec<u32>,
    random: helpers::Random,
    jobs: u64,
    lengths_ms: IndexMap<fleet::JobId, f64>,
    gangs: IndexSet<fleet::JobId>,
    ends: IndexMap<(fleet::TaskId, u32), time::Instant>,
    responses: Vec<(time::Instant, AdviceQuery)>,
    decisions: Vec<String>,
}

impl Load {
    fn new(percents: &[u32], known: &Speeds) -> Self {
        let mut cluster = TestCluster::with_cores(percents.len(), CORES);
        cluster.scheduler.set_speeds(known);
        cluster.join_entries(1..=12);
        Self {
            cluster,
            percents: percents.to_vec(),
            random: helpers::Random(7),
            jobs: 0,
            lengths_ms: IndexMap::new(),
            gangs: IndexSet::new(),
            ends: IndexMap::new(),
            responses: Vec::new(),
            decisions: Vec::new(),
        }
    }

    /// Submits jobs of these kinds for a time, each of so many per second.
    fn arrive(&mut self, kinds: &[(f64, fleet::Queue, fleet::StepDescription)], time_ms: u64) {
        for _ in 0..time_ms / STEP_MS {
            for (per_s, queue, step) in kinds {
                if self.random.next() < per_s * STEP_MS as f64 / 1_000.0 {
                    self.submit(queue, step);
                }
            }
            self.step();
        }
    }

    /// Submits a job whose tasks take 0.8 to 1.2 times as long as estimated.
    fn submit(&mut self, queue: &fleet::Queue, step: &fleet::StepDescription) -> fleet::JobId {
        self.jobs += 1;
        let length_ms = step.estimate_ms as f64 * (0.8 + 0.4 * self.random.next());
        self.lengths_ms
            .insert(helpers::job_id(self.jobs), length_ms);
        if step.gang {
            self.gangs.insert(helpers::job_id(self.jobs));
        }
        let description = helpers::job(vec![step.clone()]);
        self.cluster.submit(self.jobs, queue, description);
        helpers::job_id(self.jobs)
    }

    fn step(&mut self) {
        let cluster = &mut self.cluster;
        cluster.now += helpers::ms(STEP_MS);
        cluster.wall_ms += STEP_MS;
        cluster.scheduler.tick(cluster.now, cluster.wall_ms);
        self.end_due();
        self.respond_due();
        self.cluster.report_all();
        while self.cluster.scheduler.has_records() {
            self.cluster.write();
        }
        self.cluster.scheduler.plan(self.cluster.now);
        self.execute();
    }

    fn execute(&mut self) {
        let now = self.cluster.now;
        self.cluster.execute_actions();
        for query in self.cluster.queries.drain(..) {
            let entry = format!("{} {:?}", query.task, queried(&query));
            self.decisions.push(entry);
            self.responses.push((now + query.expected, query));
        }
        for (id, worker) in &self.cluster.workers {
            let number = number_of(id);
            for key in worker.running.keys() {
                if !self.ends.contains_key(key) {
                    let percent = f64::from(self.percents[number]);
                    let length_ms = self.lengths_ms[&key.0.job] * percent / 100.0;
                    self.ends.insert(*key, now + helpers::ms(length_ms as u64));
                    self.decisions.push(format!("{} {} {id}", key.0, key.1));
                }
            }
        }
    }

    /// When a run ends; a gang ends with its slowest member.
    fn end_of(&self, key: &(fleet::TaskId, u32)) -> time::Instant {
        let is_gang = self.gangs.contains(&key.0.job);
        let same = |other: &&(fleet::TaskId, u32)| {
            *other == key || is_gang && other.0.job == key.0.job && other.1 == key.1
        };
        let ends = self.ends.keys().filter(same).map(|other| self.ends[other]);
        ends.max().unwrap()
    }

    fn end_due(&mut self) {
        let now = self.cluster.now;
        let keys = self.ends.keys().copied();
        let due: IndexSet<_> = keys.filter(|key| self.end_of(key) <= now).collect();
        self.ends.retain(|key, _| !due.contains(key));
        for worker in self.cluster.workers.values_mut() {
            for (task, attempt) in &due {
                worker.end(*task, *attempt, fleet::End::Done);
            }
        }
    }

    fn respond_due(&mut self) {
        let now = self.cluster.now;
        let due = self.responses.extract_if(.., |(due_at, _)| *due_at <= now);
        for (_, query) in due.collect::<Vec<_>>() {
            let job = query.task.job.0 as usize;
            // Each job has its own half of the workers.
            let good = helpers::tickets(&query, |worker| (worker * 7 + job * 3) % 10 < 6);
            let scheduler = &mut self.cluster.scheduler;
            scheduler.advice_answered(&query, Some(good), now);
        }
    }

    /// Number of ended jobs with this objective kept, and missed.
    fn in_time_and_late(&self, jobs: &[fleet::JobId]) -> (usize, usize) {
        let ended = self
            .cluster
            .log_entries
            .iter()
            .filter_map(|entry| match entry {
                LogEntry::JobEnded { job, late, .. } if jobs.contains(job) => Some(*late),
                _ => None,
            });
        let late = ended.clone().filter(|late| *late).count();
        (ended.count() - late, late)
    }

    fn used_cores(&self, number: usize) -> u64 {
        let worker = &self.cluster.workers[&helpers::worker_id(number)];
        let cores = |(task, _): &(fleet::TaskId, u32)| {
            let wide = self.lengths_ms[&task.job] > 1_000.0;
            if wide { 4 } else { 5 }
        };
        worker.running.keys().map(cores).sum()
    }
}

/// Short jobs that end in time on fast workers only lost their objective on slow
/// ones, though fast ones had room or were taken by work with time to spare.
#[rstest]
#[case::without_advice(short_queue(), wide_queue())]
#[case::with_advice(advised(short_queue(), 10.0, 0.2), advised(wide_queue(), 560.0, 8.0))]
fn short_jobs_are_in_time_beside_wide_steps(
    #[case] short: fleet::Queue,
    #[case] wide: fleet::Queue,
) {
    let percents = mixed(12);
    let rough = RunTimes {
        typical_percent: FAST,
        cautious_percent: 116 * FAST / 100,
    };
    let queues = vec![(short.name.clone(), rough), (wide.name.clone(), rough)];
    let mut load = Load::new(&percents, &speeds(&relative_to_median(&percents), queues));
    let mut short_jobs = Vec::new();
    let mut wide_jobs = Vec::new();
    for step in 0..1_000 {
        if load.random.next() < 6.0 * 0.02 {
            short_jobs.push(load.submit(&short, &short_step()));
        }
        if step % 50 == 0 {
            wide_jobs.push(load.submit(&wide, &wide_step()));
        }
        load.step();
    }
    (0..400).for_each(|_| load.step());
    let (in_time, late) = load.in_time_and_late(&short_jobs);
    assert_eq!(in_time + late, short_jobs.len());
    assert!(late * 50 <= in_time, "{late} late, {in_time} in time");
    let (_, late) = load.in_time_and_late(&wide_jobs);
    assert_eq!(late, 0, "wide steps");
}

/// Slow workers idled while work waited.
#[rstest]
#[case::without_advice(short_queue(), wide_queue())]
#[case::with_advice(advised(short_queue(), 10.0, 0.2), advised(wide_queue(), 100.0, 1.0))]
fn no_worker_idles_on_a_full_fleet(#[case] short: fleet::Queue, #[case] wide: fleet::Queue) {
    let percents = mixed(6);
    let known = speeds(&percents, Vec::new());
    let mut load = Load::new(&percents, &known);
    let kinds = [(4.0, short, short_step()), (3.0, wide, wide_step())];
    load.arrive(&kinds, 4_000);
    let (mut slow, mut all) = (0, 0);
    for _ in 0..100 {
        load.arrive(&kinds, STEP_MS);
        slow += load.used_cores(0) + load.used_cores(1);
        all += 2 * CORES;
    }
    assert!(slow * 10 >= all * 9, "{slow} of {all} cores in use");
}

/// Work with time to spare took the fast workers, and work without then came late.
#[test]
fn work_with_slack_takes_slow_workers_first() {
    let mut cluster = cluster(&[FAST, SLOW, FAST]);
    cluster.run(1, &wide_queue(), vec![helpers::step(10, 4)]);
    let hosts = hosts(&cluster, 1, 10);
    assert_eq!(hosts.iter().filter(|host| **host == 1).count(), 8);
}

/// A short job was placed on the fullest worker, where it could not end in time.
#[test]
fn work_without_slack_takes_a_worker_on_which_it_ends_in_time() {
    let mut cluster = cluster(&[SLOW, FAST, 130]);
    cluster.run(1, &wide_queue(), vec![helpers::step(1, 4)]);
    let tight = fleet::Queue {
        stretch: 1.0,
        target_latency_ms: 400,
        ..short_queue()
    };
    cluster.run(2, &tight, vec![helpers::step(2, 4)]);
    assert_eq!(hosts(&cluster, 1, 1), [0]);
    assert_eq!(hosts(&cluster, 2, 2), [2, 2]);
}

/// The later steps of a job's critical path need their time too.
#[test]
fn a_first_step_leaves_time_for_the_later_ones() {
    let mut cluster = cluster(&[SLOW, FAST]);
    let tight = fleet::Queue {
        stretch: 1.0,
        target_latency_ms: 800,
        ..short_queue()
    };
    let last = |after: Vec<u32>| fleet::StepDescription {
        after,
        ..helpers::step(1, 4)
    };
    cluster.run(1, &tight, vec![helpers::step(1, 4)]);
    assert_eq!(hosts(&cluster, 1, 1), [0]);
    let short = helpers::with_estimate(helpers::step(1, 4), 1_200);
    let steps = vec![short, last(vec![0]), last(vec![1])];
    cluster.run(2, &tight, steps);
    assert_eq!(hosts(&cluster, 2, 1), [1], "0.84 s more than estimated");
}

/// Late work was placed by how full workers are, and came later than it had to.
#[test]
fn work_that_is_late_anyway_takes_the_fastest_worker_with_room() {
    let mut cluster = cluster(&[SLOW, 130, FAST]);
    cluster.run(1, &wide_queue(), vec![helpers::step(1, 4)]);
    let hopeless = fleet::Queue {
        stretch: 0.1,
        target_latency_ms: 0,
        ..short_queue()
    };
    cluster.run(2, &hopeless, vec![helpers::step(8, 8)]);
    let mut hosts = hosts(&cluster, 2, 8);
    hosts.sort_unstable();
    assert_eq!(hosts, [1, 1, 1, 1, 2, 2, 2, 2]);
}

/// A short job waited for a fast worker, where it ended later than on the slow one
/// that had room.
#[test]
fn a_short_job_starts_on_a_slow_worker_if_no_fast_one_has_room() {
    let mut cluster = cluster(&[SLOW, FAST]);
    cluster.run(1, &wide_queue(), vec![helpers::step(16, 4)]);
    cluster.end(helpers::task(1, 0, 0), fleet::End::Done);
    cluster.end(helpers::task(1, 0, 1), fleet::End::Done);
    let slow_has_room = cluster.worker(0).running.len() == 6;
    assert!(slow_has_room && cluster.worker(1).running.len() == 8);
    cluster.advance(1_500);
    let hopeless = fleet::Queue {
        stretch: 0.1,
        ..short_queue()
    };
    cluster.run(2, &hopeless, vec![helpers::step(1, 5)]);
    assert_eq!(hosts(&cluster, 2, 1), [0]);
}

/// Short work queried for slow workers and had tickets for nothing else.
#[test]
fn a_query_names_workers_on_which_the_step_ends_in_time() {
    let percents = mixed(30);
    let mut cluster = cluster(&percents);
    let tight = fleet::Queue {
        target_latency_ms: 0,
        ..advised(short_queue(), 10.0, 2.5)
    };
    cluster.run(1, &tight, vec![short_step()]);
    let named = queried(&cluster.queries[0]);
    assert!(named.len() >= 3, "{named:?}");
    assert!(named.iter().all(|number| *number >= 10), "{named:?}");
}

/// A step with time to spare held the tickets and the room of fast workers.
#[test]
fn a_query_of_a_step_with_slack_names_slow_workers() {
    let percents = mixed(30);
    let mut cluster = cluster(&percents);
    let wide = advised(wide_queue(), 100.0, 8.0);
    cluster.run(1, &wide, vec![helpers::step(4, 4)]);
    let named = queried(&cluster.queries[0]);
    assert!(named.iter().all(|number| *number < 10), "{named:?}");
}

/// While the fast workers were full, a short job queried for them and not for the
/// slow ones that had room.
#[test]
fn a_query_names_slow_workers_if_no_fast_one_has_room() {
    let mut cluster = cluster(&[SLOW, SLOW, FAST, FAST]);
    let hopeless = fleet::Queue {
        stretch: 0.1,
        ..short_queue()
    };
    cluster.run(1, &hopeless, vec![helpers::step(16, 4)]);
    assert_eq!(cluster.worker(2).running.len(), 8);
    let short = advised(short_queue(), 10.0, 5.0);
    cluster.run(2, &short, vec![short_step()]);
    assert_eq!(queried(&cluster.queries[0])[..2], [0, 1]);
}

/// Equal workers were treated otherwise than before speeds were known.
#[test]
fn equal_workers_are_chosen_as_without_speeds() {
    let percents = [100; 9];
    let run = |known: &Speeds| {
        let mut load = Load::new(&percents, known);
        let gang = helpers::with_estimate(helpers::gang(8, 9), 1_400);
        let gangs = fleet::Queue {
            stretch: 2.2,
            ..helpers::queue(1)
        };
        let kinds = [
            (8.0, advised(short_queue(), 10.0, 0.2), short_step()),
            (4.0, short_queue(), short_step()),
            (0.5, advised(wide_queue(), 100.0, 8.0), wide_step()),
            (0.5, wide_queue(), wide_step()),
            (0.8, advised(gangs.clone(), 100.0, 8.0), gang.clone()),
            (0.4, gangs, gang),
        ];
        load.arrive(&kinds, 20_000);
        load.decisions
    };
    let plain = run(&Speeds::default());
    let queues = ["queue-0", "queue-1", "queue-2"];
    let queues = queues.map(|name| (name.to_owned(), RunTimes::default()));
    let known = run(&speeds(&percents, queues.to_vec()));
    assert!(plain.len() > 1_000, "{} decisions", plain.len());
    assert_eq!(plain, known);
}

fn gang_queue(target_latency_ms: u64) -> fleet::Queue {
    fleet::Queue {
        stretch: 1.0,
        target_latency_ms,
        ..helpers::queue(1)
    }
}

/// A gang with a fast and a slow member ends with the slow one and holds both.
#[rstest]
#[case::on_the_fast_if_they_hold_it(6, vec![1, 1, 1, 3, 3, 3])]
#[case::on_the_slow_if_the_fast_do_not(9, vec![0, 0, 0, 2, 2, 2, 4, 4, 4])]
#[case::on_both_if_neither_holds_it(10, vec![0, 0, 0, 1, 2, 2, 2, 4, 4, 4])]
fn members_of_a_gang_are_of_like_speed(#[case] count: u32, #[case] expected: Vec<usize>) {
    let mut cluster = cluster(&[SLOW, FAST, SLOW, FAST, SLOW]);
    cluster.run(1, &gang_queue(3_000), vec![helpers::gang(count, 9)]);
    let mut hosts = hosts(&cluster, 1, count);
    hosts.sort_unstable();
    assert_eq!(hosts, expected);
}

/// A slow and a fast worker; something runs on the fast one for another 0.7 s.
fn fast_worker_in_use() -> TestCluster {
    let mut cluster = cluster(&[SLOW, FAST]);
    let hopeless = fleet::Queue {
        stretch: 0.1,
        target_latency_ms: 0,
        ..short_queue()
    };
    cluster.run(1, &hopeless, vec![helpers::step(1, 32)]);
    assert_eq!(hosts(&cluster, 1, 1), [1]);
    cluster
}

/// A gang started on slow workers and came late, though in a moment faster ones
/// would have had room.
#[test]
fn a_gang_waits_for_faster_workers_if_only_they_end_it_in_time() {
    let mut cluster = fast_worker_in_use();
    cluster.run(2, &gang_queue(1_000), vec![two_seconds_gang()]);
    assert!(hosts(&cluster, 2, 2).is_empty());
    cluster.advance(200);
    let waits = |entry: &&LogEntry| matches!(entry, LogEntry::GangAwaitsFaster { .. });
    assert_eq!(cluster.log_entries.iter().filter(waits).count(), 1);
    cluster.run(3, &wide_queue(), vec![helpers::step(2, 16)]);
    assert_eq!(hosts(&cluster, 3, 2), [0, 0], "the slow worker idles");
    cluster.advance(500);
    cluster.end(helpers::task(1, 0, 0), fleet::End::Done);
    assert_eq!(hosts(&cluster, 2, 2), [1, 1]);
}

fn two_seconds_gang() -> fleet::StepDescription {
    helpers::with_estimate(helpers::gang(2, 12), 2_000)
}

/// A gang waited for faster workers without need, or though it came late on these
/// too.
#[rstest]
#[case::in_time_on_slow_ones(2_000)]
#[case::late_on_all(0)]
fn a_gang_does_not_wait_for_faster_workers_in_vain(#[case] target_latency_ms: u64) {
    let mut cluster = fast_worker_in_use();
    let queue = gang_queue(target_latency_ms);
    cluster.run(2, &queue, vec![two_seconds_gang()]);
    assert_eq!(hosts(&cluster, 2, 2), [0, 0]);
}

/// A gang waited on for workers whose runs took longer than predicted.
#[test]
fn the_wait_for_faster_workers_ends_when_it_no_longer_helps() {
    let mut cluster = fast_worker_in_use();
    cluster.run(2, &gang_queue(1_000), vec![two_seconds_gang()]);
    assert!(hosts(&cluster, 2, 2).is_empty());
    cluster.advance(1_400);
    assert_eq!(hosts(&cluster, 2, 2), [0, 0]);
}

/// Workers were reserved for a gang where room came first and not where it ended
/// first, and other work was kept off them.
#[test]
fn a_gang_reserves_the_workers_on_which_it_ends_first() {
    let mut cluster = cluster(&[SLOW, FAST, FAST]);
    let soon = helpers::with_estimate(helpers::step(1, 32), 100);
    cluster.run(1, &wide_queue(), vec![soon]);
    cluster.run(2, &gang_queue(0), vec![helpers::step(1, 32)]);
    assert_eq!(
        (hosts(&cluster, 1, 1), hosts(&cluster, 2, 1)),
        (vec![0], vec![1])
    );
    let gang = helpers::with_estimate(helpers::gang(2, 32), 2_000);
    cluster.run(3, &gang_queue(1_000), vec![gang]);
    let wide = helpers::with_estimate(helpers::step(1, 32), 1_500);
    cluster.run(4, &wide_queue(), vec![wide]);
    assert!(hosts(&cluster, 4, 1).is_empty());
    cluster.end(helpers::task(1, 0, 0), fleet::End::Done);
    assert_eq!(hosts(&cluster, 4, 1), [0]);
    cluster.end(helpers::task(2, 0, 0), fleet::End::Done);
    assert_eq!(hosts(&cluster, 3, 2), [1, 2]);
}

/// A gang with little slack queried for slow workers.
#[test]
fn a_gang_queries_for_workers_on_which_it_ends_in_time() {
    let percents = mixed(30);
    let mut cluster = cluster(&percents);
    let gang = helpers::with_estimate(helpers::gang(6, 9), 2_000);
    cluster.run(1, &advised(gang_queue(1_000), 100.0, 8.0), vec![gang]);
    let named = queried(&cluster.queries[0]);
    assert!(named.iter().all(|number| *number >= 10), "{named:?}");
}

/// Gangs on mixed workers were late for one slow member.
#[rstest]
#[case::without_advice(|queue: fleet::Queue| queue)]
#[case::with_advice(|queue| advised(queue, 100.0, 8.0))]
fn gangs_are_in_time_on_mixed_workers(#[case] advised: impl Fn(fleet::Queue) -> fleet::Queue) {
    let percents = mixed(12);
    let rough = RunTimes {
        typical_percent: FAST,
        cautious_percent: 116 * FAST / 100,
    };
    let gangs = fleet::Queue {
        stretch: 1.2,
        target_latency_ms: 500,
        ..helpers::queue(1)
    };
    let queues = vec![(gangs.name.clone(), rough), (wide_queue().name, rough)];
    let mut load = Load::new(&percents, &speeds(&relative_to_median(&percents), queues));
    let (gangs, wide) = (advised(gangs), advised(wide_queue()));
    let gang = helpers::with_estimate(helpers::gang(8, 9), 2_000);
    let mut jobs = Vec::new();
    for step in 0..600 {
        if load.random.next() < 1.0 * 0.02 {
            jobs.push(load.submit(&gangs, &gang));
        }
        if step % 250 == 0 {
            load.submit(&wide, &wide_step());
        }
        load.step();
    }
    (0..400).for_each(|_| load.step());
    let (in_time, late) = load.in_time_and_late(&jobs);
    assert_eq!(in_time + late, jobs.len());
    assert!(late * 10 <= in_time, "{late} late, {in_time} in time");
}
