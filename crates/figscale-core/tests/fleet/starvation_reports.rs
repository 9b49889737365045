//! Starvation reports: what is logged of steps that are ready but have nothing
//! running.

use figscale_core::fleet::Config;
use figscale_core::fleet::LogEntry;
use figscale_core::fleet::StepHold;
use figscale_types::fleet;
use figscale_types::fleet::End;

use crate::helpers;
use crate::helpers::TestCluster;

/// Contents of a starvation report, without the waiting time.
#[derive(Debug, PartialEq, Eq)]
struct StepReport {
    task: fleet::TaskId,
    tasks: usize,
    on_workers: usize,
    suspect: usize,
    good_slots: u64,
    ticket_slots: u64,
    free_slots: u64,
    asking: bool,
    unanswered: u32,
    hold: Option<StepHold>,
}

/// Steps reported since the last call, with milliseconds since submission.
fn reports(cluster: &mut TestCluster) -> Vec<(u64, StepReport)> {
    let log_entries = std::mem::take(&mut cluster.log_entries);
    let waits = log_entries
        .into_iter()
        .filter_map(|log_entry| match log_entry {
            LogEntry::StepStarved {
                task,
                waits,
                tasks,
                on_workers,
                suspect,
                good_slots,
                ticket_slots,
                free_slots,
                asking,
                unanswered,
                hold,
            } => {
                let step = StepReport {
                    task,
                    tasks,
                    on_workers,
                    suspect,
                    good_slots,
                    ticket_slots,
                    free_slots,
                    asking,
                    unanswered,
                    hold,
                };
                Some((waits.as_millis() as u64, step))
            }
            _ => None,
        });
    waits.collect()
}

fn reported_jobs(cluster: &mut TestCluster) -> Vec<u64> {
    let reports = reports(cluster).into_iter();
    reports.map(|(_, step)| step.task.job.0).collect()
}

fn waiting_steps(cluster: &TestCluster) -> usize {
    cluster.scheduler.counts(cluster.now).waiting_steps
}

#[test]
fn a_step_waiting_for_advice_is_reported_after_five_seconds() {
    let mut cluster = TestCluster::with_cores(4, 10);
    cluster.run(1, &helpers::advised_queue(1), vec![helpers::gang(3, 4)]);
    cluster.advance(5_000);
    assert_eq!(reports(&mut cluster), []);
    assert_eq!(waiting_steps(&cluster), 0);
    cluster.advance(2_000);
    let reports = reports(&mut cluster);
    assert_eq!(reports.len(), 1);
    assert!((5_001..=7_000).contains(&reports[0].0), "{reports:?}");
    let expected = StepReport {
        task: helpers::task(1, 0, 0),
        tasks: 3,
        on_workers: 0,
        suspect: 0,
        good_slots: 0,
        ticket_slots: 0,
        free_slots: 8,
        asking: true,
        unanswered: 0,
        hold: None,
    };
    assert_eq!(reports[0].1, expected);
    assert_eq!(waiting_steps(&cluster), 1);
}

#[test]
fn a_step_is_not_reported_again_within_two_seconds() {
    let mut cluster = TestCluster::new(1);
    cluster.run(1, &helpers::advised_queue(1), vec![helpers::step(1, 1)]);
    cluster.advance(20_000);
    let times: Vec<u64> = reports(&mut cluster)
        .iter()
        .map(|(at_ms, _)| *at_ms)
        .collect();
    assert_eq!(times.len(), 7, "{times:?}");
    let apart = times.windows(2).map(|pair| pair[1] - pair[0]);
    assert_eq!(apart.min(), Some(2_000), "{times:?}");
}

#[test]
fn a_step_with_a_running_task_is_not_reported() {
    let mut cluster = TestCluster::with_cores(1, 10);
    cluster.run(1, &helpers::queue(1), vec![helpers::step(2, 8)]);
    assert_eq!(cluster.starts(), 1);
    cluster.advance(20_000);
    assert_eq!(reports(&mut cluster), []);
    assert_eq!(waiting_steps(&cluster), 0);
}

/// The oldest by submission, whatever their ids are.
#[test]
fn at_most_the_three_oldest_steps_are_reported() {
    let mut cluster = TestCluster::new(1);
    for number in [5, 4, 3, 2, 1] {
        cluster.run(
            number,
            &helpers::advised_queue(1),
            vec![helpers::step(1, 1)],
        );
        cluster.advance(200);
    }
    cluster.advance(6_000);
    reports(&mut cluster);
    for _ in 0..4 {
        cluster.advance(2_000);
        assert_eq!(reported_jobs(&mut cluster), [5, 4, 3]);
        assert_eq!(waiting_steps(&cluster), 5);
    }
}

#[test]
fn a_step_that_starts_to_run_is_not_reported_again() {
    let mut cluster = TestCluster::new(1);
    cluster.run(1, &helpers::advised_queue(1), vec![helpers::step(1, 1)]);
    cluster.advance(8_000);
    assert_eq!(waiting_steps(&cluster), 1);
    reports(&mut cluster);
    cluster.respond(|_| true);
    cluster.advance(4_000);
    assert_eq!(reports(&mut cluster), []);
    assert_eq!(waiting_steps(&cluster), 0);
}

/// The second step of an old job becomes ready just when steps are scanned.
#[test]
fn a_step_that_has_just_become_ready_is_not_reported() {
    let mut cluster = TestCluster::new(1);
    let second = fleet::StepDescription {
        after: vec![0],
        ..helpers::step(1, 1)
    };
    cluster.run(
        1,
        &helpers::advised_queue(1),
        vec![helpers::step(1, 1), second],
    );
    cluster.respond(|_| true);
    cluster.advance(8_100);
    assert_eq!(reports(&mut cluster), []);
    cluster.end(helpers::task(1, 0, 0), End::Done);
    cluster.advance(2_000);
    assert_eq!(reports(&mut cluster), []);
    cluster.advance(2_000);
    assert_eq!(reported_jobs(&mut cluster), [1]);
}

/// A test cluster of four workers with two slots each. Two workers are good,
/// and one of these runs other work.
fn cluster_with_half_of_the_capacity_good() -> TestCluster {
    let mut cluster = TestCluster::with_cores(4, 10);
    cluster.run(1, &helpers::queue(1), vec![helpers::step(1, 8)]);
    let (held, _) = cluster.placed(helpers::task(1, 0, 0))[0].clone();
    let good = [held, helpers::worker_id(3)];
    assert_ne!(good[0], good[1]);
    cluster.run(2, &helpers::advised_queue(1), vec![helpers::gang(4, 4)]);
    cluster.advance(5_900);
    let asked = cluster.respond(|id| good.contains(id));
    assert_eq!(asked.workers.len(), 4);
    cluster
}

#[test]
fn free_slots_good_workers_and_tickets_are_reported() {
    let mut cluster = cluster_with_half_of_the_capacity_good();
    cluster.advance(300);
    let reports = reports(&mut cluster);
    let expected = StepReport {
        task: helpers::task(2, 0, 0),
        tasks: 4,
        on_workers: 0,
        suspect: 0,
        good_slots: 4,
        ticket_slots: 2,
        free_slots: 6,
        asking: false,
        unanswered: 0,
        hold: None,
    };
    assert_eq!(reports.len(), 1, "{reports:?}");
    assert_eq!(reports[0].1, expected);
}

/// The other work lasts longer than the tickets are valid.
#[test]
fn expired_tickets_are_not_reported_as_held() {
    let mut cluster = cluster_with_half_of_the_capacity_good();
    cluster.advance(4_500);
    let reports = reports(&mut cluster);
    let (_, step) = &reports.last().unwrap();
    assert_eq!((step.good_slots, step.ticket_slots), (4, 0), "{reports:?}");
    assert_eq!(step.free_slots, 6);
}

/// Without advice there are no queries, so each suitable worker counts as good.
#[test]
fn without_advice_every_suitable_worker_is_good() {
    let mut cluster = TestCluster::with_cores(3, 10);
    cluster.run(1, &helpers::queue(1), vec![helpers::gang(4, 8)]);
    cluster.advance(7_000);
    let expected = StepReport {
        task: helpers::task(1, 0, 0),
        tasks: 4,
        on_workers: 0,
        suspect: 0,
        good_slots: 3,
        ticket_slots: 3,
        free_slots: 3,
        asking: false,
        unanswered: 0,
        hold: None,
    };
    let reports: Vec<StepReport> = reports(&mut cluster)
        .into_iter()
        .map(|(_, step)| step)
        .collect();
    assert_eq!(reports, [expected]);
}

/// A new leader has no report of the worker on which the task may run.
#[test]
fn suspect_tasks_are_reported() {
    let mut cluster = TestCluster::new(2);
    cluster.run(1, &helpers::queue(1), vec![helpers::step(1, 1)]);
    let (host_worker, _) = cluster.placed(helpers::task(1, 0, 0))[0].clone();
    cluster.workers.get_mut(&host_worker).unwrap().reachable = false;
    cluster.advance(1_000);
    cluster.take_over(2);
    cluster.advance(5_200);
    let reports = reports(&mut cluster);
    assert_eq!(reports.len(), 1, "{reports:?}");
    assert_eq!((reports[0].1.tasks, reports[0].1.suspect), (1, 1));
    assert_eq!(reports[0].1.free_slots, 1);
}

/// A step whose queries get no response looks like one that nobody approves, unless
/// the report says so.
#[test]
fn a_step_whose_queries_get_no_response_is_reported_with_their_number() {
    let mut cluster = TestCluster::new(4);
    cluster.run(1, &helpers::advised_queue(1), vec![helpers::step(1, 1)]);
    for _ in 0..3 {
        let query = cluster.queries.remove(0);
        cluster.scheduler.advice_answered(&query, None, cluster.now);
        cluster.advance(200);
    }
    cluster.advance(7_000);
    let shown: Vec<(u32, bool)> = reports(&mut cluster)
        .iter()
        .map(|(_, step)| (step.unanswered, step.asking))
        .collect();
    assert_eq!(shown, [(3, true)]);
}

/// A lasting task that waits beside running ones did not show in the log.
#[test]
fn a_long_running_step_with_a_waiting_task_is_reported() {
    let mut cluster = TestCluster::with_cores(2, 10);
    let long_running = fleet::StepDescription {
        long_running: true,
        max_per_worker: Some(1),
        ..helpers::step(3, 1)
    };
    cluster.run(1, &helpers::queue(1), vec![long_running]);
    assert_eq!(cluster.starts(), 2);
    cluster.advance(8_000);
    let reports = reports(&mut cluster);
    let expected = StepReport {
        task: helpers::task(1, 0, 0),
        tasks: 1,
        on_workers: 2,
        suspect: 0,
        good_slots: 2,
        ticket_slots: 0,
        free_slots: 0,
        asking: false,
        unanswered: 0,
        hold: None,
    };
    assert_eq!(reports.len(), 1, "{reports:?}");
    assert_eq!(reports[0].1, expected);
    assert_eq!(waiting_steps(&cluster), 1);
}

/// Tasks that fail now and then are started again at once; none of them waits.
#[test]
fn a_long_running_step_whose_tasks_start_again_is_not_reported() {
    let mut cluster = TestCluster::new(2);
    let long_running = fleet::StepDescription {
        long_running: true,
        ..helpers::step(8, 1)
    };
    cluster.run(1, &helpers::queue(1), vec![long_running]);
    for round in 0..60 {
        cluster.advance(200);
        cluster.end(helpers::task(1, 0, round % 8), End::Failed);
    }
    assert_eq!(reports(&mut cluster), []);
}

/// A gang that waits for one member, which counts as placed, did not show in the log.
#[test]
fn a_gang_with_a_member_on_an_unresponsive_worker_is_reported() {
    let config = Config {
        lease: helpers::ms(20_000),
        ..Config::default()
    };
    let mut cluster = TestCluster::with_config(3, 10, config);
    cluster.run(1, &helpers::queue(1), vec![helpers::gang(2, 8)]);
    let (host, _) = cluster.placed(helpers::task(1, 0, 0))[0].clone();
    cluster.workers.get_mut(&host).unwrap().reachable = false;
    cluster.end(helpers::task(1, 0, 1), End::GangBroken);
    cluster.advance(9_000);
    let reports = reports(&mut cluster);
    let (_, last) = reports.last().unwrap();
    assert_eq!((last.tasks, last.on_workers), (1, 1), "{reports:?}");
}

/// A step that waits because of its losses looks like one that nobody asks about.
#[test]
fn a_step_whose_losses_are_not_in_the_store_is_reported_as_held() {
    let mut cluster = TestCluster::new(2);
    cluster.run(1, &helpers::queue(1), vec![helpers::step(1, 1)]);
    cluster.store_available = false;
    let (host, _) = cluster.placed(helpers::task(1, 0, 0))[0].clone();
    cluster.crash(&host);
    cluster.replace(&host, 64);
    cluster.advance(8_000);
    let held: Vec<Option<StepHold>> = reports(&mut cluster)
        .iter()
        .map(|(_, step)| step.hold)
        .collect();
    assert!(!held.is_empty());
    assert!(
        held.iter()
            .all(|hold| *hold == Some(StepHold::UnsavedLosses)),
        "{held:?}"
    );
}
