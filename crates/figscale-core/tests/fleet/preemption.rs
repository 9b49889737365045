//! Preemption: wide gangs behind a fleet that is full of work of a queue of higher
//! number, whose tasks save their progress.

use figscale_core::fleet::Admission;
use figscale_core::fleet::Config;
use figscale_core::fleet::LogEntry;
use figscale_core::fleet::PreemptionCosts;
use figscale_types::fleet;
use figscale_types::fleet::End;
use figscale_types::fleet::JobState;
use indexmap::IndexMap;

use crate::helpers;
use crate::helpers::TestCluster;

const WORKERS: usize = 4;
const CORES: u64 = 32;
const CHECKPOINT_MS: u64 = 500;
/// Number of the job that fills the fleet.
const FILL: u64 = 1;
/// Number of the first gang.
const GANG: u64 = 2;
const GANG_MS: u64 = 4_000;

fn config() -> Config {
    Config {
        preemption: Some(PreemptionCosts {
            checkpoint_interval: helpers::ms(CHECKPOINT_MS),
            restore: helpers::ms(250),
        }),
        ..Config::default()
    }
}

/// A queue whose objective leaves much time.
fn patient_queue(priority: u32) -> fleet::Queue {
    fleet::Queue {
        stretch: 10.0,
        ..helpers::queue(priority)
    }
}

/// A queue whose objective leaves little time.
fn urgent_queue(priority: u32) -> fleet::Queue {
    fleet::Queue {
        stretch: 1.5,
        ..helpers::queue(priority)
    }
}

/// 32 tasks of 4 cores, which fill the fleet.
fn fill(estimate_ms: u64) -> fleet::StepDescription {
    fleet::StepDescription {
        saves_progress: true,
        ..helpers::with_estimate(helpers::step(32, 4), estimate_ms)
    }
}

/// A gang that needs half of the fleet.
fn gang() -> fleet::StepDescription {
    helpers::with_estimate(helpers::gang(8, 8), GANG_MS)
}

/// A gang that needs an eighth of the fleet.
fn small_gang() -> fleet::StepDescription {
    helpers::with_estimate(helpers::gang(2, 8), GANG_MS)
}

/// A cluster whose runs take the time that is estimated and save their progress.
struct Sim {
    cluster: TestCluster,
    /// Work done by runs, in milliseconds.
    done: IndexMap<(fleet::TaskId, u32), u64>,
    lengths: IndexMap<fleet::JobId, u64>,
}

impl Sim {
    fn new(config: Config) -> Self {
        Self {
            cluster: TestCluster::with_config(WORKERS, CORES, config),
            done: IndexMap::new(),
            lengths: IndexMap::new(),
        }
    }

    /// A fleet full of work of queue 2, which has run for 2 s.
    fn full(config: Config) -> Self {
        let mut sim = Self::new(config);
        sim.submit(FILL, &patient_queue(2), fill(12_000));
        sim.work(2_000);
        assert_eq!(sim.runs(FILL), 32);
        sim
    }

    fn submit(&mut self, number: u64, queue: &fleet::Queue, step: fleet::StepDescription) {
        self.lengths
            .insert(helpers::job_id(number), step.estimate_ms);
        self.cluster.run(number, queue, vec![step]);
    }

    fn work(&mut self, time_ms: u64) {
        for _ in 0..time_ms / 100 {
            self.cluster.advance(100);
            let good = |_: &fleet::WorkerId| true;
            while !self.cluster.queries.is_empty() {
                self.cluster.respond(good);
            }
            for worker in self.cluster.workers.values_mut() {
                let mut ended = Vec::new();
                for (key, running) in &mut worker.running {
                    let resumed = running.checkpoint.parse().unwrap_or(0);
                    let done = self.done.entry(*key).or_insert(resumed);
                    *done += 100;
                    if *done >= CHECKPOINT_MS {
                        running.checkpoint = (*done - *done % CHECKPOINT_MS).to_string();
                    }
                    if *done >= self.lengths[&key.0.job] {
                        ended.push(*key);
                    }
                }
                for (task, attempt) in ended {
                    worker.end(task, attempt, End::Done);
                }
            }
        }
        self.cluster.settle();
    }

    fn runs(&self, number: u64) -> usize {
        let workers = self.cluster.workers.values();
        let runs = workers.flat_map(|worker| worker.running.keys());
        runs.filter(|(task, _)| task.job == helpers::job_id(number))
            .count()
    }

    /// Number of stops of runs of a job.
    fn stops(&self, number: u64) -> usize {
        let stops = self.cluster.stops.iter();
        stops
            .filter(|(_, task, _)| task.job == helpers::job_id(number))
            .count()
    }

    /// Whether a job ended late; `None` if it has not ended.
    fn ended_late(&self, number: u64) -> Option<bool> {
        let log_entries = self.cluster.log_entries.iter();
        let mut ends = log_entries.filter_map(|log_entry| match log_entry {
            LogEntry::JobEnded { job, late, .. } if *job == helpers::job_id(number) => Some(*late),
            _ => None,
        });
        ends.next()
    }

    fn failed_attempts(&self, number: u64) -> u32 {
        let view = self
            .cluster
            .scheduler
            .view(helpers::job_id(number))
            .unwrap();
        let failed = |task: &fleet::TaskView| {
            task.attempts - u32::from(task.progress != fleet::TaskProgress::Waiting)
        };
        view.tasks.iter().map(failed).sum()
    }

    fn was_unused(&self) -> bool {
        let mut log_entries = self.cluster.log_entries.iter();
        log_entries.any(|log_entry| matches!(log_entry, LogEntry::PreemptionUnused { .. }))
    }
}

/// Load: a fleet full of work of a higher number. A gang that had to wait for it missed
/// its objective.
#[test]
fn a_wide_gang_ends_in_time_behind_a_full_queue_of_higher_number() {
    for (config, late) in [(config(), false), (Config::default(), true)] {
        let mut sim = Sim::full(config);
        sim.submit(GANG, &helpers::queue(1), gang());
        sim.work(16_000);
        assert_eq!(sim.ended_late(GANG), Some(late));
        assert_eq!(sim.ended_late(FILL), Some(false));
    }
}

/// Load: the same with an advisory service, whose tickets have to be valid when the
/// stops are over.
#[test]
fn an_advised_gang_has_its_tickets_when_the_stops_are_over() {
    let mut sim = Sim::full(config());
    sim.submit(GANG, &helpers::advised_queue(1), gang());
    sim.work(1_000);
    assert_eq!(sim.runs(GANG), 8);
}

/// Failure: a victim that restarts from nothing, or whose stop counts as a failed attempt.
#[test]
fn victims_resume_from_their_checkpoints_without_a_failed_attempt() {
    let mut sim = Sim::full(config());
    sim.submit(GANG, &helpers::queue(1), gang());
    sim.work(1_000);
    assert_eq!((sim.runs(GANG), sim.runs(FILL)), (8, 16));
    assert_eq!(sim.stops(FILL), 16);
    assert_eq!(sim.failed_attempts(FILL), 0);
    sim.work(4_000);
    assert_eq!((sim.runs(GANG), sim.runs(FILL)), (0, 32));
    let workers = sim.cluster.workers.values();
    let orders = workers.flat_map(|worker| &worker.orders);
    let resumed: Vec<_> = orders
        .filter(|order| order.task.job == helpers::job_id(FILL) && order.attempt > 1)
        .collect();
    assert_eq!(resumed.len(), 16);
    assert!(resumed.iter().all(|order| order.checkpoint == "2000"));
}

/// Failure: a task that is stopped again and again and never ends.
#[test]
fn a_task_is_not_preempted_again_before_it_made_progress() {
    let mut sim = Sim::full(config());
    let long = |count| helpers::with_estimate(helpers::gang(count, 8), 12_000);
    sim.submit(GANG, &urgent_queue(1), long(16));
    sim.work(200);
    while sim.runs(FILL) < 32 {
        sim.work(100);
        assert!(sim.ended_late(FILL).is_none(), "the gang never ran");
    }
    let stops = sim.stops(FILL);
    assert_eq!(stops, 32);
    let next = GANG + 1;
    sim.submit(
        next,
        &helpers::queue(1),
        helpers::with_estimate(helpers::gang(16, 8), 2_000),
    );
    sim.cluster.advance(1_000);
    assert_eq!(sim.stops(FILL), stops, "no run has saved anything yet");
    sim.work(1_500);
    assert!(sim.stops(FILL) > stops);
}

/// Failure: work is thrown away for a gang that can't start.
#[test]
fn nothing_is_preempted_for_a_gang_without_approved_workers() {
    let mut sim = Sim::full(config());
    sim.submit(GANG, &helpers::advised_queue(1), gang());
    for _ in 0..40 {
        sim.cluster.advance(100);
        while !sim.cluster.queries.is_empty() {
            sim.cluster.respond(|id| id.name() == "w-0");
        }
    }
    assert_eq!(sim.stops(FILL), 0);
}

/// Failure: work is thrown away for a gang that has no tickets when the stops are over.
#[test]
fn nothing_is_preempted_while_the_advisory_service_is_busy_with_the_gang() {
    let mut sim = Sim::full(config());
    let queue = fleet::Queue {
        advice: Some(fleet::AdvicePolicy {
            base_ms: 7_000.0,
            per_worker_ms: 1.0,
            valid_ms: 600,
        }),
        stretch: 1.0,
        ..helpers::queue(1)
    };
    sim.submit(GANG, &queue, gang());
    sim.cluster.advance(2_000);
    sim.cluster.respond(|_| true);
    sim.cluster.advance(4_000);
    assert_eq!(sim.stops(FILL), 0);
}

/// Failure: work is thrown away for a gang that its customer's limit holds back.
#[test]
fn nothing_is_preempted_for_a_gang_beyond_its_customers_limit() {
    for (cores, stops) in [(20, 4), (100, 8)] {
        let mut sim = Sim::full(config());
        let customers = customers_with_limit(cores);
        sim.cluster.scheduler.set_customers(Some(&customers));
        for number in [GANG, GANG + 1] {
            let description = helpers::job(vec![small_gang()]);
            let (id, now) = (helpers::job_id(number), sim.cluster.now);
            let (customer, wall_ms) = (Some("a".parse().unwrap()), sim.cluster.wall_ms);
            let queue = urgent_queue(1);
            let scheduler = &mut sim.cluster.scheduler;
            let taken = scheduler.submit_for(customer, id, &queue, description, now, wall_ms);
            assert_eq!(taken, Admission::Accepted);
            sim.lengths.insert(id, GANG_MS);
        }
        sim.work(3_000);
        assert_eq!(sim.stops(FILL), stops);
    }
}

/// Customer `a` with a limit in cores.
fn customers_with_limit(cores: u64) -> fleet::Customers {
    let mut customers = fleet::Customers::default();
    let terms = fleet::CustomerTerms {
        weight_millis: 1_000,
        limit: fleet::Room {
            cpu_millis: cores * 1_000,
            memory_mb: u64::MAX,
            accelerators: u64::MAX,
        },
    };
    customers.add("a".parse().unwrap(), terms, []).unwrap();
    customers
}

/// Failure: more is thrown away than is gained, since the victims' job would miss its
/// objective.
#[test]
fn nothing_is_preempted_where_the_victims_lose_more() {
    let mut sim = Sim::new(config());
    let urgent = fleet::Queue {
        stretch: 1.0,
        ..helpers::queue(2)
    };
    sim.submit(FILL, &urgent, fill(12_000));
    sim.submit(GANG, &helpers::queue(1), gang());
    sim.work(4_000);
    assert_eq!(sim.stops(FILL), 0);
}

/// Failure: work is thrown away for a gang that would be in time by waiting.
#[test]
fn nothing_is_preempted_for_a_gang_that_is_in_time_by_waiting() {
    let mut sim = Sim::full(config());
    sim.submit(GANG, &patient_queue(1), gang());
    sim.work(4_000);
    assert_eq!(sim.stops(FILL), 0);
}

/// Load: many gangs at once. Without a bound they would stop everything else.
#[test]
fn a_tenth_of_the_processors_is_preempted_in_a_second() {
    let mut sim = Sim::full(config());
    for number in GANG..GANG + 8 {
        sim.submit(number, &helpers::queue(1), small_gang());
    }
    // 16 of 128 cores are freed for each gang, which takes 1.25 s of the bound.
    sim.work(1_200);
    assert_eq!(sim.stops(FILL), 4);
    sim.work(1_300);
    assert_eq!(sim.stops(FILL), 8);
}

/// Failure: the leader is lost between the stops and the start of the gang.
#[test]
fn a_new_leader_restarts_the_victims_and_keeps_no_worker_reserved() {
    let mut sim = Sim::full(config());
    for worker in sim.cluster.workers.values_mut() {
        worker.stops_at_once = false;
    }
    sim.submit(GANG, &helpers::queue(1), gang());
    sim.cluster.advance(100);
    let stops = std::mem::take(&mut sim.cluster.stops);
    assert_eq!(stops.len(), 16);
    sim.cluster.take_over(2);
    for (id, task, attempt) in stops {
        let worker = sim.cluster.workers.get_mut(&id).unwrap();
        worker.stops_at_once = true;
        worker.end(task, attempt, End::Stopped);
    }
    // It places the gang on the room that the stops have freed, or the victims.
    sim.cluster.settle();
    sim.work(200);
    assert_eq!(sim.runs(GANG) * 8 + sim.runs(FILL) * 4, 128);
    sim.work(20_000);
    for number in [FILL, GANG] {
        assert_eq!(sim.cluster.state(number), Some(JobState::Completed));
    }
    assert_eq!(sim.failed_attempts(FILL), 0);
}

/// Failure: a worker doesn't carry out the stops. The other workers would stay reserved for
/// a gang that can't start.
#[test]
fn workers_are_released_if_a_stop_gets_no_answer() {
    let mut sim = Sim::full(config());
    sim.cluster.worker(2).reachable = false;
    sim.submit(GANG, &helpers::queue(1), gang());
    sim.cluster.advance(1_000);
    let other = helpers::with_estimate(helpers::step(1, 4), 3_000);
    sim.submit(GANG + 1, &helpers::queue(1), other);
    assert_eq!((sim.runs(GANG), sim.runs(GANG + 1)), (0, 0));
    assert!(!sim.was_unused());
    sim.cluster.advance(700);
    assert!(sim.was_unused());
    assert_eq!((sim.runs(GANG), sim.runs(GANG + 1)), (0, 1));
}

/// Failure: a victim runs twice, since another worker has room for it before its stop
/// has taken effect.
#[test]
fn victims_start_elsewhere_only_after_their_ends() {
    let mut sim = Sim::full(config());
    sim.cluster.add_worker(WORKERS, CORES);
    for worker in sim.cluster.workers.values_mut() {
        worker.stops_at_once = false;
    }
    let gang = fleet::StepDescription {
        required_label: Some("r1-0".to_owned()),
        ..gang()
    };
    sim.submit(GANG, &helpers::queue(1), gang);
    sim.cluster.advance(300);
    assert_eq!((sim.cluster.stops.len(), sim.cluster.starts()), (16, 32));
    for (id, task, attempt) in sim.cluster.stops.clone() {
        let worker = sim.cluster.workers.get_mut(&id).unwrap();
        worker.end(task, attempt, End::Stopped);
    }
    // The added worker holds eight of them.
    sim.cluster.settle();
    assert_eq!((sim.runs(GANG), sim.runs(FILL)), (8, 24));
}

/// Load: short work, which may use workers that are reserved for a gang. It took
/// the room as soon as the first runs had stopped.
#[test]
fn short_work_does_not_take_the_freed_room() {
    let mut sim = Sim::full(config());
    for worker in sim.cluster.workers.values_mut() {
        worker.stops_at_once = false;
    }
    sim.submit(GANG, &helpers::queue(1), gang());
    let stops = sim.cluster.stops.clone();
    assert_eq!(stops.len(), 16);
    sim.submit(GANG + 1, &helpers::queue(0), helpers::step(8, 4));
    for stops in stops.chunks(8) {
        assert_eq!((sim.runs(GANG), sim.runs(GANG + 1)), (0, 0));
        for (id, task, attempt) in stops {
            let worker = sim.cluster.workers.get_mut(id).unwrap();
            worker.end(*task, *attempt, End::Stopped);
        }
        sim.cluster.settle();
    }
    assert_eq!((sim.runs(GANG), sim.runs(GANG + 1)), (8, 0));
}

/// Load: single tasks of the lowest number that find no room.
#[test]
fn single_tasks_are_in_time_on_a_full_fleet() {
    let short = || helpers::with_estimate(helpers::step(2, 8), 3_000);
    for (config, late) in [(config(), false), (Config::default(), true)] {
        let mut sim = Sim::full(config);
        sim.submit(GANG, &helpers::queue(0), short());
        sim.work(15_000);
        assert_eq!(sim.ended_late(GANG), Some(late));
    }
}

/// A deployment in which no queue of higher number has work that saves its progress, or
/// whose settings don't give the costs, is served as before.
#[test]
fn a_deployment_without_preemption_is_served_as_before() {
    let unsaved = fleet::StepDescription {
        saves_progress: false,
        ..fill(12_000)
    };
    for (fill_queue, fill_step) in [
        (patient_queue(1), fill(12_000)),
        (patient_queue(2), unsaved),
    ] {
        let logs = [config(), Config::default()].map(|config| {
            let mut sim = Sim::new(config);
            sim.submit(FILL, &fill_queue, fill_step.clone());
            sim.work(2_000);
            sim.submit(GANG, &helpers::queue(1), gang());
            let other = helpers::with_estimate(helpers::step(4, 4), 6_000);
            sim.submit(GANG + 1, &helpers::queue(1), other);
            sim.work(20_000);
            sim.cluster.log_entries
        });
        assert_eq!(logs[0], logs[1]);
    }
}
