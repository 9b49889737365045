//! Gangs: tasks that run only together.

use figscale_types::fleet;
use figscale_types::fleet::End;
use figscale_types::fleet::JobState;
use figscale_types::fleet::StartOutcome;
use figscale_types::fleet::StartRefusal;

use crate::helpers;
use crate::helpers::TestCluster;

#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut cluster = TestCluster::with_cores(2, 10);
    cluster.run(1, &helpers::queue(1), vec![helpers::gang(3, 8)]);
    assert_eq!(cluster.starts(), 0);
    cluster.add_worker(2, 10);
    cluster.settle();
    assert_eq!(cluster.starts(), 3);
    let attempts = cluster
        .workers
        .values()
        .flat_map(|worker| worker.running.keys());
    assert!(attempts.into_iter().all(|(_, attempt)| *attempt == 1));
}

#[test]
fn one_successful_member_completes_the_gang() {
    let mut cluster = TestCluster::new(1);
    cluster.run(1, &helpers::queue(1), vec![helpers::gang(3, 8)]);
    cluster.end(helpers::task(1, 0, 1), End::Done);
    assert_eq!(cluster.state(1), Some(JobState::Completed));
}

#[test]
fn a_gang_restarts_together() {
    let mut cluster = TestCluster::new(2);
    cluster.run(1, &helpers::queue(1), vec![helpers::gang(3, 8)]);
    cluster.end(helpers::task(1, 0, 1), End::Stopped);
    cluster.advance(200);
    for index in 0..3 {
        let placed = cluster.placed(helpers::task(1, 0, index));
        assert_eq!(placed.len(), 1);
        assert_eq!(placed[0].1, 2);
    }
}

#[test]
fn failures_of_one_gang_run_count_once() {
    let mut cluster = TestCluster::new(2);
    cluster.run(1, &helpers::queue(1), vec![helpers::gang(2, 8)]);
    for index in 0..2 {
        let (worker, attempt) = cluster.placed(helpers::task(1, 0, index))[0].clone();
        cluster.workers[&worker].end(helpers::task(1, 0, index), attempt, End::Failed);
    }
    cluster.advance(200);
    assert_eq!(cluster.state(1), Some(JobState::Running));
}

#[test]
fn a_refused_member_stops_the_others() {
    let mut cluster = TestCluster::with_cores(2, 10);
    cluster.worker(1).start_outcome = Some(StartOutcome::Refused(StartRefusal::NoRoom));
    cluster.run(1, &helpers::queue(1), vec![helpers::gang(2, 8)]);
    assert!(!cluster.stops.is_empty());
    cluster.worker(1).start_outcome = None;
    cluster.advance(600);
    let attempts: Vec<u32> = (0..2)
        .map(|index| cluster.placed(helpers::task(1, 0, index))[0].1)
        .collect();
    assert_eq!(attempts[0], attempts[1]);
    assert!(attempts[0] > 1);
}

#[test]
fn a_gang_prefers_one_rack() {
    let mut cluster = TestCluster::with_cores(8, 10);
    cluster.run(1, &helpers::queue(1), vec![helpers::step(1, 9)]);
    let step = fleet::StepDescription {
        same_rack: true,
        ..helpers::gang(4, 8)
    };
    cluster.run(2, &helpers::queue(1), vec![step]);
    let racks: Vec<String> = (0..4)
        .map(|index| cluster.placed(helpers::task(2, 0, index))[0].0.clone())
        .map(|worker| cluster.workers[&worker].entry.rack.clone())
        .collect();
    assert!(racks.iter().all(|rack| *rack == racks[0]), "{racks:?}");
}

/// Guards against a wide gang that never finds four free cores on three workers
/// at once, since small work of some length keeps arriving and takes what
/// becomes free.
#[test]
fn a_wide_gang_is_not_starved_by_small_work() {
    let mut cluster = TestCluster::with_cores(3, 4);
    let small = fleet::StepDescription {
        estimate_ms: 2_000,
        ..helpers::step(1, 1)
    };
    for number in 100..112 {
        cluster.run(number, &helpers::queue(1), vec![small.clone()]);
    }
    cluster.run(1, &helpers::queue(1), vec![helpers::gang(3, 4)]);
    for number in 112..136 {
        cluster.submit(
            number,
            &helpers::queue(1),
            helpers::job(vec![small.clone()]),
        );
        cluster.advance(200);
        cluster.end(helpers::task(number - 12, 0, 0), End::Done);
        if cluster.placed(helpers::task(1, 0, 0)).len() == 1 {
            return;
        }
    }
    panic!("the gang never started");
}

/// Members that have done their part use no processor while they wait for the
/// slowest. The gang counts as stalled only once no member works.
#[test]
fn members_waiting_for_others_are_not_taken_for_stalled() {
    let mut cluster = TestCluster::new(2);
    cluster.run(1, &helpers::queue(1), vec![helpers::gang(3, 8)]);
    for index in 0..2 {
        let (worker, attempt) = cluster.placed(helpers::task(1, 0, index))[0].clone();
        let key = (helpers::task(1, 0, index), attempt);
        cluster.workers[&worker].running[&key].used_cpu_millis = Some(0);
    }
    cluster.advance(4_000);
    assert!(cluster.stops.is_empty());
    let (worker, attempt) = cluster.placed(helpers::task(1, 0, 2))[0].clone();
    let key = (helpers::task(1, 0, 2), attempt);
    cluster.workers[&worker].running[&key].used_cpu_millis = Some(0);
    cluster.advance(2_500);
    assert!(
        !cluster.stops.is_empty(),
        "a gang without a working member was not stopped"
    );
}

/// Guards against members that resume from values of their own: the value of any member
/// is valid for the gang, and all must start with the same one.
#[test]
fn members_of_a_gang_resume_from_one_checkpoint() {
    let mut cluster = TestCluster::with_cores(2, 8);
    let step = fleet::StepDescription {
        saves_progress: true,
        ..helpers::gang(2, 8)
    };
    cluster.run(1, &helpers::queue(1), vec![step]);
    for index in 0..2 {
        let task = helpers::task(1, 0, index);
        let (worker, attempt) = cluster.placed(task)[0].clone();
        let running = &mut cluster.workers[&worker].running;
        running.get_mut(&(task, attempt)).unwrap().checkpoint = format!("of-{index}");
    }
    cluster.advance(200);
    for number in 0..2 {
        cluster.crash(&helpers::worker_id(number));
    }
    for number in 2..4 {
        cluster.add_worker(number, 8);
    }
    cluster.advance(12_000);
    let orders = (2..4).flat_map(|number| cluster.worker(number).orders.clone());
    let checkpoints: Vec<String> = orders.map(|order| order.checkpoint).collect();
    assert_eq!(checkpoints, ["of-0", "of-0"]);
}
