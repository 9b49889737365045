//! Customers at their limits: what counts against a limit, who is held back and
//! who is not, changes of limits, changes of leaders.

use figscale_core::fleet::Admission;
use figscale_types::fleet;
use figscale_types::fleet::End;
use figscale_types::fleet::JobState;
use figscale_types::fleet::StartOutcome;

use crate::kit;
use crate::kit::Cell;

fn name(text: &str) -> fleet::CustomerName {
    text.parse().unwrap()
}

/// Customers with limits in cores; 0 for none.
fn customers(limits: &[(&str, u64)]) -> fleet::Customers {
    let mut customers = fleet::Customers::default();
    for (customer, cores) in limits {
        let cpu_millis = if *cores == 0 { u64::MAX } else { cores * 1_000 };
        let terms = fleet::CustomerTerms {
            weight_millis: 1_000,
            limit: fleet::Room {
                cpu_millis,
                memory_mb: u64::MAX,
                accelerators: u64::MAX,
            },
        };
        customers.add(name(customer), terms, []).unwrap();
    }
    customers
}

/// A cell in which customers have these limits.
fn cell(workers: usize, limits: &[(&str, u64)]) -> Cell {
    let mut cell = Cell::new(workers);
    cell.scheduler.set_customers(Some(&customers(limits)));
    cell
}

fn submit(
    cell: &mut Cell,
    customer: &str,
    number: u64,
    queue: &fleet::Queue,
    step: fleet::StepDescription,
) -> Admission {
    let description = kit::job(vec![step]);
    let (id, now, wall_ms) = (kit::job_id(number), cell.now, cell.wall_ms);
    let customer = Some(name(customer));
    cell.scheduler
        .submit_for(customer, id, queue, description, now, wall_ms)
}

fn run(cell: &mut Cell, customer: &str, number: u64, step: fleet::StepDescription) {
    let taken = submit(cell, customer, number, &kit::queue(1), step);
    assert_eq!(taken, Admission::Accepted);
    cell.settle();
}

fn running(cell: &Cell, job: u64) -> usize {
    let runs = cell
        .workers
        .values()
        .flat_map(|worker| worker.running.keys());
    runs.filter(|(task, _)| task.job == kit::job_id(job))
        .count()
}

#[test]
fn a_customer_runs_no_more_than_its_limit() {
    let mut cell = cell(4, &[("a", 10)]);
    run(&mut cell, "a", 1, kit::step(8, 2));
    run(&mut cell, "a", 2, kit::step(8, 2));
    assert_eq!((running(&cell, 1), running(&cell, 2)), (5, 0));
    cell.end(kit::task(1, 0, 0), End::Done);
    assert_eq!(running(&cell, 1), 5);
    run(&mut cell, "b", 3, kit::step(8, 2));
    assert_eq!(running(&cell, 3), 8, "one that is not named has no limit");
}

/// Guards against room that is given again while what is stopped there still runs.
#[test]
fn what_is_being_stopped_counts_until_its_end() {
    let mut cell = cell(2, &[("a", 4)]);
    run(&mut cell, "a", 1, kit::step(4, 1));
    for worker in cell.workers.values_mut() {
        worker.stops_at_once = false;
    }
    cell.scheduler.cancel(kit::job_id(1), cell.now);
    run(&mut cell, "a", 2, kit::step(4, 1));
    assert_eq!(running(&cell, 2), 0);
    for index in 0..4 {
        cell.end(kit::task(1, 0, index), End::Stopped);
    }
    assert_eq!(running(&cell, 2), 4);
}

/// Guards against orders without an answer that are carried out late, beside what
/// was started in their place.
#[test]
fn an_order_without_an_answer_counts() {
    let mut cell = cell(1, &[("a", 4)]);
    cell.worker(0).answer = Some(StartOutcome::Unknown);
    run(&mut cell, "a", 1, kit::step(4, 1));
    cell.worker(0).answer = None;
    run(&mut cell, "a", 2, kit::step(4, 1));
    assert_eq!(cell.starts(), 4);
    cell.pass(2_000);
    assert_eq!(running(&cell, 1) + running(&cell, 2), 4);
}

/// Guards against a limit that is lowered while its customer uses far more:
/// nothing more starts, and nothing that runs is stopped for it.
#[test]
fn a_lowered_limit_starts_nothing_and_stops_nothing() {
    let mut cell = cell(2, &[("a", 20)]);
    run(&mut cell, "a", 1, kit::step(40, 1));
    assert_eq!(running(&cell, 1), 20);
    cell.scheduler.set_customers(Some(&customers(&[("a", 3)])));
    cell.pass(1_000);
    assert_eq!((running(&cell, 1), cell.stops.len()), (20, 0));
    for index in 0..18 {
        cell.end(kit::task(1, 0, index), End::Done);
    }
    assert_eq!(running(&cell, 1), 3);
}

/// Guards against a gang that waits for its customer's limit and keeps workers, or
/// lanes to the advisory service, from others all the while.
#[test]
fn a_gang_held_by_a_limit_is_in_nobodys_way() {
    let mut cell = cell(2, &[("a", 64), ("b", 0)]);
    run(&mut cell, "a", 1, kit::lasting(kit::step(40, 1), 20_000));
    let patient = fleet::Queue {
        target_latency_ms: 60_000,
        ..kit::advised(1)
    };
    let taken = submit(&mut cell, "a", 2, &patient, kit::gang(40, 1));
    assert_eq!(taken, Admission::Accepted);
    cell.settle();
    assert!(cell.questions.is_empty(), "asked for what may not start");
    run(&mut cell, "b", 3, kit::lasting(kit::step(88, 1), 20_000));
    assert_eq!(
        running(&cell, 3),
        88,
        "workers are kept for what may not start"
    );
}

#[test]
fn a_gang_that_never_fits_its_limit_is_refused_at_once() {
    let mut cell = cell(2, &[("a", 8)]);
    let answer = submit(&mut cell, "a", 1, &kit::queue(1), kit::gang(9, 1));
    assert_eq!(answer, Admission::TooLarge);
    let answer = submit(&mut cell, "a", 2, &kit::queue(1), kit::gang(8, 1));
    assert_eq!(answer, Admission::Accepted);
}

/// Guards against a task that waits for good since it alone is over the limit.
#[test]
fn a_task_over_the_limit_runs_alone() {
    let mut cell = cell(2, &[("a", 2)]);
    run(&mut cell, "a", 1, kit::step(2, 5));
    assert_eq!(running(&cell, 1), 1);
    cell.end(kit::task(1, 0, 0), End::Done);
    assert_eq!(running(&cell, 1), 1);
}

/// Guards against a leader that has read no configuration, or none that is proven
/// to be in force, and starts without limits.
#[test]
fn nothing_starts_for_customers_whose_terms_are_not_known() {
    let mut cell = Cell::new(1);
    run(&mut cell, "a", 1, kit::step(1, 1));
    cell.run(2, &kit::queue(1), vec![kit::step(1, 1)]);
    assert_eq!((running(&cell, 1), running(&cell, 2)), (0, 1));
    cell.scheduler.set_customers(Some(&customers(&[("a", 1)])));
    cell.settle();
    assert_eq!(running(&cell, 1), 1);
    cell.scheduler.forget_customers();
    run(&mut cell, "b", 3, kit::step(1, 1));
    assert_eq!(running(&cell, 3), 0);
}

/// Guards against a new leader that starts as much again as runs on a worker that
/// it does not reach.
#[test]
fn a_new_leader_counts_what_it_has_not_heard_of() {
    let limits = [("a", 6), ("b", 100)];
    let mut cell = cell(3, &limits);
    run(&mut cell, "a", 1, kit::lasting(kit::step(6, 1), 20_000));
    let home = cell.placed(kit::task(1, 0, 0))[0].0.clone();
    let silent = cell.workers[&home].running.len();
    cell.workers[&home].reachable = false;
    cell.take_over(2);
    cell.scheduler.set_customers(Some(&customers(&limits)));
    cell.settle();
    run(&mut cell, "a", 2, kit::step(6, 1));
    assert_eq!(running(&cell, 2), 0, "{silent} of 6 run unheard");
    run(&mut cell, "b", 3, kit::step(40, 1));
    assert_eq!(running(&cell, 3), 40, "little of b can run unheard");
    // Its lease ends by itself, and with it what ran there.
    cell.pass(4_600);
    cell.workers[&home].running.clear();
    cell.pass(2_000);
    assert_eq!(running(&cell, 1) + running(&cell, 2), 6);
}

/// Guards against a job that was cancelled under the last leader, whose tasks run
/// on where the next leader does not reach them.
#[test]
fn a_new_leader_counts_what_a_cancelled_job_left_running() {
    let limits = [("a", 4)];
    let mut cell = cell(1, &limits);
    run(&mut cell, "a", 1, kit::lasting(kit::step(4, 1), 20_000));
    cell.worker(0).reachable = false;
    cell.scheduler.cancel(kit::job_id(1), cell.now);
    cell.settle();
    assert_eq!(running(&cell, 1), 4, "the stop does not reach it");
    cell.add_worker(1, 64);
    cell.take_over(2);
    cell.scheduler.set_customers(Some(&customers(&limits)));
    cell.settle();
    run(&mut cell, "a", 2, kit::step(4, 1));
    assert_eq!(running(&cell, 2), 0);
}

/// Guards against a job that is shown, cancelled or taken over by another
/// customer's key.
#[test]
fn a_job_is_its_customers_alone_and_stays_so() {
    let mut cell = cell(1, &[("a", 4), ("b", 4)]);
    run(&mut cell, "a", 1, kit::step(1, 1));
    for term in [2, 3] {
        let (a, b) = (name("a"), name("b"));
        assert!(cell.scheduler.is_open_to(kit::job_id(1), Some(&a)));
        assert!(!cell.scheduler.is_open_to(kit::job_id(1), Some(&b)));
        assert!(!cell.scheduler.is_open_to(kit::job_id(1), None));
        let answer = submit(&mut cell, "b", 1, &kit::queue(1), kit::step(1, 1));
        assert_eq!(answer, Admission::IdTaken);
        let answer = submit(&mut cell, "a", 1, &kit::queue(1), kit::step(1, 1));
        assert_eq!(answer, Admission::Known);
        if term == 2 {
            cell.end(kit::task(1, 0, 0), End::Done);
            assert_eq!(cell.state(1), Some(JobState::Completed));
        }
        cell.take_over(term);
        cell.settle();
    }
}

/// Guards against a customer that sends many times its usual and makes the others
/// late: its work came first, and more of it is as urgent as theirs.
#[test]
fn a_customer_over_its_share_goes_after_the_others() {
    let mut cell = cell(2, &[("hot", 0), ("quiet", 0)]);
    for number in 1..=3 {
        run(&mut cell, "hot", number, kit::step(64, 1));
    }
    assert_eq!(
        (running(&cell, 1), running(&cell, 2), running(&cell, 3)),
        (64, 64, 0)
    );
    run(&mut cell, "quiet", 4, kit::step(8, 1));
    for index in 0..8 {
        cell.end(kit::task(1, 0, index), End::Done);
    }
    assert_eq!((running(&cell, 3), running(&cell, 4)), (0, 8));
}
