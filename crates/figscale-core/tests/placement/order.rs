//! The order of waiting work: urgency, deadlines, fair shares, no starvation.

use std::time;

use figscale_core::job::placement;
use figscale_types::catalogue;
use figscale_types::ids;
use figscale_types::sizes;
use proptest::prelude::*;

use crate::helpers;

const UNLIMITED: usize = usize::MAX;

struct TestCell {
    cluster: placement::Cluster,
    queue: placement::Queue,
    shares: placement::Shares,
    now: time::Instant,
}

impl TestCell {
    fn new(workers: u32) -> Self {
        let cluster = helpers::cluster(workers);
        let mut shares = placement::Shares::default();
        shares.set_total(cluster.capacity());
        Self {
            cluster,
            queue: placement::Queue::new(placement::QueueConfig::default()),
            shares,
            now: time::Instant::now() + time::Duration::from_secs(100_000),
        }
    }

    fn push(&mut self, work: placement::Work, tasks: u32) {
        self.queue
            .push(work, (0..tasks).map(placement::Pending::first));
    }

    fn pass(&mut self, max_scans: usize) -> placement::PassOutcome {
        self.queue.pass(placement::PassInput {
            cluster: &mut self.cluster,
            shares: &self.shares,
            now: self.now,
            expires: None,
            max_scans,
        })
    }

    fn placed_jobs(&mut self, max_scans: usize) -> Vec<String> {
        let placed = self.pass(max_scans).placed;
        placed.iter().map(|p| p.task.job.to_string()).collect()
    }
}

#[test]
fn work_is_placed_by_level_then_deadline() {
    let mut cell = TestCell::new(8);
    let now = cell.now;
    let mut add = |job: &str, urgency, deadline: Option<u64>, waited: u64| {
        let mut work = helpers::work(job, "a", helpers::size(1_000, 1, 0), urgency, now);
        work.deadline = deadline.map(|s| now + time::Duration::from_secs(s));
        work.queued_at = now - time::Duration::from_secs(waited);
        cell.push(work, 1);
    };
    add("rest", catalogue::Urgency::BestEffort, None, 0);
    add("aged", catalogue::Urgency::BestEffort, None, 700);
    add("late", catalogue::Urgency::Deadline, Some(30), 0);
    add("far", catalogue::Urgency::Deadline, Some(4_000), 0);
    add("near", catalogue::Urgency::Deadline, Some(900), 0);
    add("due-2", catalogue::Urgency::Deadline, Some(80), 0);
    add("due-1", catalogue::Urgency::Deadline, Some(70), 0);
    add("check", catalogue::Urgency::Interactive, None, 0);
    let order = [
        "check", "due-1", "due-2", "near", "far", "aged", "late", "rest",
    ];
    assert_eq!(cell.placed_jobs(UNLIMITED), order);
}

#[test]
fn one_placement_in_eight_goes_to_aged_work() {
    let mut cell = TestCell::new(8);
    let now = cell.now;
    let size = helpers::size(1_000, 1, 0);
    cell.push(
        helpers::work("flood", "a", size, catalogue::Urgency::Interactive, now),
        100,
    );
    let mut old = helpers::work("old", "b", size, catalogue::Urgency::BestEffort, now);
    old.queued_at = now - time::Duration::from_secs(601);
    cell.push(old, 5);
    let first = cell.placed_jobs(16);
    assert_eq!(first.iter().filter(|job| *job == "old").count(), 2);
}

/// Some work must leave resources for accelerators, may not test an ejected worker,
/// or may not use a worker reserved for other work. If it does not fit for one of
/// these reasons, work of the same size without the restriction must still be
/// tried.
#[test]
fn work_that_does_not_fit_does_not_exclude_less_restricted_work() {
    let mut cell = TestCell::new(4);
    cell.queue = placement::Queue::new(placement::QueueConfig {
        aged_every: 1,
        ..placement::QueueConfig::default()
    });
    let now = cell.now;
    for index in 0..3 {
        let fill = helpers::request(
            "fill",
            index,
            helpers::size(64_000, 1, 0),
            catalogue::Urgency::Deadline,
        );
        cell.cluster
            .place(&fill, now, None)
            .expect("resources are free");
    }
    let mut add = |job: &str, size, urgency, idempotent| {
        let mut work = helpers::work(job, "a", size, urgency, now);
        work.interruptibility.idempotent = idempotent;
        work.queued_at = now - time::Duration::from_secs(700);
        cell.push(work, 1);
    };
    let best_effort = catalogue::Urgency::BestEffort;
    add(
        "accelerated",
        helpers::size(64_000, 1, 5),
        best_effort,
        true,
    );
    add("aged", helpers::size(1_000, 1, 0), best_effort, true);
    add(
        "check",
        helpers::size(1_000, 1, 0),
        catalogue::Urgency::Interactive,
        true,
    );
    assert_eq!(cell.placed_jobs(UNLIMITED), ["check"]);

    let mut cell = TestCell::new(1);
    cell.cluster
        .set_ejection_state(&helpers::worker_id(0), placement::EjectionState::Probing);
    for (job, idempotent) in [("once", false), ("again", true)] {
        let size = helpers::size(1_000, 1, 0);
        let mut work = helpers::work(job, "a", size, best_effort, now);
        work.interruptibility.idempotent = idempotent;
        cell.push(work, 1);
    }
    assert_eq!(cell.placed_jobs(UNLIMITED), ["again"]);

    let mut cell = TestCell::new(2);
    cell.queue = placement::Queue::new(placement::QueueConfig {
        aged_every: 1,
        ..placement::QueueConfig::default()
    });
    for (index, cpu) in [(0, 64_000), (1, 40_000)] {
        let fill = helpers::request(
            "fill",
            index,
            helpers::size(cpu, 1, 0),
            catalogue::Urgency::Deadline,
        );
        cell.cluster
            .place(&fill, now, None)
            .expect("resources are free");
    }
    for (job, cpu, waited_s) in [("large", 64_000, 900), ("small", 1_000, 800)] {
        // It has missed its deadline and ranks with aged work.
        let urgency = catalogue::Urgency::Deadline;
        let mut work = helpers::work(job, "a", helpers::size(cpu, 1, 0), urgency, now);
        work.queued_at = now - time::Duration::from_secs(waited_s);
        work.deadline = Some(now);
        cell.push(work, 1);
    }
    let size = helpers::size(1_000, 1, 0);
    cell.push(
        helpers::work("check", "a", size, catalogue::Urgency::Interactive, now),
        1,
    );
    assert_eq!(cell.placed_jobs(UNLIMITED), ["check"]);
}

/// A home offers tasks in the order of a pass and within quotas, and charges each
/// accepted task at once.
#[test]
fn a_home_offers_in_order_and_charges_at_once() {
    let mut cell = TestCell::new(4);
    let mut new_catalogue = catalogue::Catalogue::default();
    let owner = catalogue::Owner {
        weight: 1,
        rate_per_s: None,
        concurrency: None,
        quota: Some(helpers::size(3_000, 100, 0)),
    };
    new_catalogue.owners.insert(helpers::owner("a"), owner);
    cell.shares.set_catalogue(&new_catalogue);
    let now = cell.now;
    let size = helpers::size(1_000, 1, 0);
    let large = helpers::size(9_000, 1, 0);
    cell.push(
        helpers::work("rest-a", "a", size, catalogue::Urgency::BestEffort, now),
        2,
    );
    cell.push(
        helpers::work("rest-b", "b", size, catalogue::Urgency::BestEffort, now),
        2,
    );
    cell.push(
        helpers::work("large-b", "b", large, catalogue::Urgency::Deadline, now),
        5,
    );
    cell.push(
        helpers::work("check-a", "a", size, catalogue::Urgency::Interactive, now),
        2,
    );
    let placer: ids::MemberId = "entry-1".parse().expect("legal");
    let mut offered = Vec::new();
    let taken = cell
        .queue
        .offer(&mut cell.shares, now, UNLIMITED, |work, task| {
            offered.push(format!("{}:{}", work.job, task.index));
            match work.size == large {
                true => placement::Offer::NoCapacity,
                false => placement::Offer::Accepted(placer.clone()),
            }
        });
    let order = [
        "check-a:0",
        "check-a:1",
        "large-b:0",
        "rest-b:0",
        "rest-b:1",
        "rest-a:0",
    ];
    assert_eq!(offered, order);
    assert_eq!((taken, cell.queue.len()), (5, 6));
}

#[test]
fn owners_share_by_dominant_resource_and_weight() {
    let mut cell = TestCell::new(4);
    let mut new_catalogue = catalogue::Catalogue::default();
    for (name, weight) in [("cpu", 1), ("mem", 1), ("double", 2)] {
        let owner = catalogue::Owner {
            weight,
            rate_per_s: None,
            concurrency: None,
            quota: None,
        };
        new_catalogue.owners.insert(helpers::owner(name), owner);
    }
    cell.shares.set_catalogue(&new_catalogue);
    let now = cell.now;
    let wants = [
        ("cpu", helpers::size(2_000, 1, 0)),
        ("mem", helpers::size(500, 4, 0)),
        ("double", helpers::size(2_000, 1, 0)),
    ];
    for (owner, size) in wants {
        let work = helpers::work(owner, owner, size, catalogue::Urgency::BestEffort, now);
        cell.push(work, 1_000);
    }
    cell.pass(UNLIMITED);
    let none = sizes::Resources::default();
    let share = |owner| {
        cell.shares
            .share(&helpers::owner(owner), &cell.cluster, &none)
    };
    let (cpu, mem, double) = (share("cpu"), share("mem"), share("double"));
    assert!((cpu - mem).abs() < 0.02, "{cpu} {mem}");
    assert!((cpu - double).abs() < 0.02, "{cpu} {double}");
}

/// When all waiting work is aged, an owner with a large backlog must not be placed
/// first only because its work is older.
#[test]
fn owners_take_turns_with_aged_work() {
    let mut cell = TestCell::new(1);
    let now = cell.now;
    let size = helpers::size(1_000, 1, 0);
    for (owner, waited_s) in [("heavy", 2_000), ("light", 1_000)] {
        let mut work = helpers::work(owner, owner, size, catalogue::Urgency::BestEffort, now);
        work.queued_at = now - time::Duration::from_secs(waited_s);
        cell.push(work, 100);
    }
    let placed = cell.placed_jobs(20);
    assert_eq!(placed.iter().filter(|job| *job == "light").count(), 10);
}

#[test]
fn quota_counts_use_at_peers() {
    let mut cell = TestCell::new(4);
    let mut new_catalogue = catalogue::Catalogue::default();
    let owner = catalogue::Owner {
        weight: 1,
        rate_per_s: None,
        concurrency: None,
        quota: Some(helpers::size(10_000, 100, 0)),
    };
    new_catalogue.owners.insert(helpers::owner("a"), owner);
    cell.shares.set_catalogue(&new_catalogue);
    let peer: ids::MemberId = "entry-2".parse().expect("legal");
    let used = [(helpers::owner("a"), helpers::size(7_000, 1, 0))];
    cell.shares
        .set_peer(peer.clone(), used.into_iter().collect());
    let now = cell.now;
    let work = helpers::work(
        "job",
        "a",
        helpers::size(1_000, 1, 0),
        catalogue::Urgency::Interactive,
        now,
    );
    cell.push(work, 10);
    assert_eq!(cell.pass(UNLIMITED).placed.len(), 3);
    cell.shares
        .charge_peer(&peer, &helpers::owner("a"), &helpers::size(500, 1, 0));
    cell.shares.update_peer(
        &peer,
        [(helpers::owner("a"), helpers::size(2_000, 1, 0))]
            .into_iter()
            .collect(),
    );
    assert_eq!(cell.pass(UNLIMITED).placed.len(), 5);
    cell.shares.remove_peer(&peer);
    assert_eq!(cell.pass(UNLIMITED).placed.len(), 2);
    assert!(cell.queue.is_empty());
}

/// A steady stream of small tasks uses the resources that become free and could
/// starve a large task.
#[test]
fn a_large_task_is_not_starved_by_a_stream_of_small_ones() {
    let mut cell = TestCell::new(4);
    let now = cell.now;
    let mut running = std::collections::VecDeque::new();
    let mut large_at = None;
    for round in 0..400_u32 {
        let job = format!("small-{round}");
        let size = helpers::size(8_000, 16, 0);
        let work = helpers::work(&job, "a", size, catalogue::Urgency::Deadline, now);
        cell.push(work, 4);
        if round == 20 {
            let size = helpers::size(64_000, 100, 0);
            cell.push(
                helpers::work("large", "b", size, catalogue::Urgency::Interactive, now),
                1,
            );
        }
        for placed in cell.pass(UNLIMITED).placed {
            if placed.task.job.as_str() == "large" {
                large_at = Some(round);
            }
            running.push_back(placed.task);
        }
        while running.len() > 30 || (running.len() > 28 && round % 2 == 0) {
            let task = running.pop_front().expect("not empty");
            cell.cluster.release(&task);
        }
        if large_at.is_some() {
            break;
        }
        // Only two more end in each round, so no worker becomes empty by itself.
        for _ in 0..2 {
            if let Some(task) = running.pop_front() {
                cell.cluster.release(&task);
            }
        }
    }
    assert!(large_at.is_some(), "the large task starved");
}

#[test]
fn ten_thousand_cancellations_leave_placements_flowing() {
    let mut cell = TestCell::new(50);
    let now = cell.now;
    let size = helpers::size(64_000, 1, 0);
    for number in 0..10_000 {
        let job = format!("wave-{number}");
        cell.push(
            helpers::work(&job, "a", size, catalogue::Urgency::Deadline, now),
            1,
        );
    }
    cell.push(
        helpers::work("one-job", "a", size, catalogue::Urgency::Deadline, now),
        10_000,
    );
    let first = cell.pass(UNLIMITED);
    // Once the cell is full, one scan establishes this for all waiting work.
    assert_eq!((first.placed.len(), first.scans), (50, 51));
    let examined = cell.cluster.examined();
    assert_eq!(
        cell.queue.cancel(&"one-job".parse().expect("legal")),
        10_000
    );
    for number in 0..10_000 {
        let job = format!("wave-{number}").parse().expect("legal");
        cell.queue.cancel(&job);
    }
    assert_eq!(
        cell.cluster.examined(),
        examined,
        "a cancellation must not scan the cluster"
    );
    assert!(cell.queue.is_empty());
    let task = first.placed[0].task.clone();
    cell.cluster.release(&task);
    cell.push(
        helpers::work("next", "a", size, catalogue::Urgency::Interactive, now),
        1,
    );
    assert_eq!(cell.placed_jobs(UNLIMITED), ["next"]);
}

#[test]
fn resources_are_reserved_for_urgent_work_by_weight() {
    let urgent_beyond_best_effort = |waiting: f64, packing: f64| {
        let mut cell = TestCell::new(10);
        let weights = catalogue::Weights { waiting, packing };
        let config = placement::Config { weights };
        cell.cluster.set_config(config);
        let now = cell.now;
        let size = helpers::size(1_000, 1, 0);
        cell.push(
            helpers::work("rest", "a", size, catalogue::Urgency::BestEffort, now),
            700,
        );
        let rest = cell.pass(UNLIMITED).placed.len();
        cell.push(
            helpers::work("check", "a", size, catalogue::Urgency::Interactive, now),
            700,
        );
        let urgent = cell.pass(UNLIMITED).placed.len();
        assert_eq!(rest + urgent, 640, "urgent work uses what was reserved");
        urgent
    };
    assert_eq!(urgent_beyond_best_effort(0.0, 1.0), 0);
    assert_eq!(urgent_beyond_best_effort(0.5, 0.5), 64);
    assert_eq!(urgent_beyond_best_effort(1.0, 0.0), 128);
}

#[test]
fn a_pass_stops_at_its_scan_limit_and_the_next_continues() {
    let mut cell = TestCell::new(8);
    let now = cell.now;
    let size = helpers::size(1_000, 1, 0);
    cell.push(
        helpers::work("job", "a", size, catalogue::Urgency::Deadline, now),
        25,
    );
    let outcome = cell.pass(10);
    assert_eq!((outcome.placed.len(), outcome.more), (10, true));
    assert_eq!(cell.pass(UNLIMITED).placed.len(), 15);
}

#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut cell = TestCell::new(4);
    let now = cell.now;
    let size = helpers::size(40_000, 8, 0);
    let mut gang = helpers::work("gang", "a", size, catalogue::Urgency::Deadline, now);
    gang.class = catalogue::JobClass::Gang;
    cell.push(gang, 5);
    let small = helpers::work("small", "a", size, catalogue::Urgency::BestEffort, now);
    cell.push(small, 1);
    assert_eq!(cell.placed_jobs(UNLIMITED), ["small"]);
    assert_eq!(cell.cluster.allocations().len(), 1);
    cell.cluster
        .add_worker(&helpers::instance(4), placement::Readiness::Ready);
    cell.cluster
        .add_worker(&helpers::instance(5), placement::Readiness::Ready);
    assert_eq!(cell.placed_jobs(UNLIMITED), ["gang"; 5]);
}

proptest! {
    #![proptest_config(helpers::proptest_config(128))]

    /// Every task is waiting, placed or cancelled; no quota is exceeded; no gang is
    /// placed in part.
    #[test]
    fn tasks_are_conserved(
        jobs in prop::collection::vec((1_u32..20, 1_u64..30_000, 0_u8..3, 0_u8..3, 0_usize..3), 1..20),
        limits in prop::collection::vec(1_usize..40, 1..6),
        cancelled in prop::collection::vec(0_usize..20, 0..4),
    ) {
        let mut cell = TestCell::new(5);
        let quota = helpers::size(100_000, 64, 0);
        let mut new_catalogue = catalogue::Catalogue::default();
        for name in ["o-0", "o-1", "o-2"] {
            let quota = (name != "o-0").then_some(quota);
            let owner = catalogue::Owner { weight: 1, rate_per_s: None, concurrency: None, quota };
            new_catalogue.owners.insert(helpers::owner(name), owner);
        }
        cell.shares.set_catalogue(&new_catalogue);
        let now = cell.now;
        let mut total = 0;
        for (number, (tasks, cpu, urgency, class, owner)) in jobs.iter().enumerate() {
            let urgency = [
                catalogue::Urgency::Interactive,
                catalogue::Urgency::Deadline,
                catalogue::Urgency::BestEffort,
            ][usize::from(*urgency)];
            let size = helpers::size(*cpu, 1, 0);
            let mut work = helpers::work(&format!("j-{number}"), &format!("o-{owner}"), size, urgency, now);
            work.class = [
                catalogue::JobClass::Batch,
                catalogue::JobClass::Gang,
                catalogue::JobClass::Service,
            ][usize::from(*class)];
            cell.push(work, *tasks);
            total += *tasks as usize;
        }
        let mut gone = 0;
        for limit in limits {
            cell.pass(limit);
            if let Some(number) = cancelled.first() {
                gone += cell.queue.cancel(&format!("j-{number}").parse().expect("legal"));
            }
            prop_assert_eq!(cell.queue.len() + cell.cluster.allocations().len() + gone, total);
            for name in ["o-1", "o-2"] {
                prop_assert!(quota.holds(&cell.cluster.usage(&helpers::owner(name))));
            }
            for (number, (tasks, _, _, class, _)) in jobs.iter().enumerate() {
                let job: ids::JobId = format!("j-{number}").parse().expect("legal");
                let held = cell.cluster.allocations().filter(|h| h.request.task.job == job).count();
                if *class == 1 {
                    prop_assert!(held == 0 || held == *tasks as usize, "gang placed in part");
                }
            }
        }
    }
}
