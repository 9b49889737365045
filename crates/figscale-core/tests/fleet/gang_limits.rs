//! Gangs and other work beside runs that outlast their estimates, long
//! questions, busy ways to the advisory service and old submissions.

use std::time;

use figscale_core::fleet::Question;
use figscale_types::fleet;
use indexmap::IndexMap;

use crate::kit;
use crate::kit::Cell;

const STEP_MS: u64 = 50;

/// A cell whose advisory service takes the time that it says.
struct Slow<'a> {
    cell: Cell,
    asked: Vec<(time::Instant, Question)>,
    good: &'a dyn Fn(usize) -> bool,
    questions: usize,
    since: IndexMap<fleet::TaskId, time::Instant>,
}

impl<'a> Slow<'a> {
    fn new(cell: Cell, good: &'a dyn Fn(usize) -> bool) -> Self {
        Self {
            cell,
            asked: Vec::new(),
            good,
            questions: 0,
            since: IndexMap::new(),
        }
    }

    fn play(&mut self, time_ms: u64) {
        for _ in 0..time_ms.div_ceil(STEP_MS) {
            self.step();
        }
    }

    fn step(&mut self) {
        self.cell.now += kit::ms(STEP_MS);
        self.cell.wall_ms += STEP_MS;
        let (now, wall_ms) = (self.cell.now, self.cell.wall_ms);
        self.cell.scheduler.tick(now, wall_ms);
        let due = self.asked.extract_if(.., |(at, _)| *at <= now);
        for (_, question) in due.collect::<Vec<_>>() {
            let tickets = kit::tickets(&question, self.good);
            self.cell
                .scheduler
                .advice_answered(&question, Some(tickets), now);
        }
        self.cell.settle();
        for question in std::mem::take(&mut self.cell.questions) {
            self.questions += 1;
            self.asked.push((now + question.expected, question));
        }
    }

    /// Ends tasks of jobs 2 to 999 that have run for so long.
    fn end_small(&mut self, after_ms: u64) {
        let now = self.cell.now;
        for worker in self.cell.workers.values_mut() {
            let keys: Vec<_> = worker.running.keys().copied().collect();
            for (task, attempt) in keys {
                let since = *self.since.entry(task).or_insert(now);
                if (2..1_000).contains(&task.job.0) && now >= since + kit::ms(after_ms) {
                    worker.end(task, attempt, fleet::End::Done);
                }
            }
        }
    }

    fn runs(&self, number: u64) -> usize {
        let runs = self.cell.workers.values().flat_map(|w| w.running.keys());
        runs.filter(|(task, _)| task.job == kit::job_id(number))
            .count()
    }
}

fn advised(priority: u32, base_ms: f64, per_worker_ms: f64, valid_ms: u64) -> fleet::Queue {
    fleet::Queue {
        advice: Some(fleet::AdvicePolicy {
            base_ms,
            per_worker_ms,
            valid_ms,
        }),
        ..kit::queue(priority)
    }
}

/// One run on each worker, which goes on long after its estimate.
fn overrun(cell: &mut Cell, count: u32, cores: u64) {
    let step = fleet::StepDescription {
        max_per_worker: Some(1),
        ..kit::step(count, cores)
    };
    cell.run(1_000, &kit::queue(1), vec![step]);
    cell.pass(2_000);
}

/// The good workers known run something past its estimate, those not yet asked
/// about are idle.
#[test]
fn a_gang_looks_further_while_its_workers_stay_taken() {
    let mut cell = Cell::with_cores(40, 10);
    overrun(&mut cell, 40, 8);
    let good = |number| !(2..30).contains(&number);
    let mut slow = Slow::new(cell, &good);
    slow.cell
        .run(1, &advised(1, 200.0, 1.0, 2_500), vec![kit::gang(2, 8)]);
    slow.play(600);
    for number in 30..40 {
        let keys: Vec<_> = slow.cell.worker(number).running.keys().copied().collect();
        for (task, attempt) in keys {
            slow.cell
                .worker(number)
                .end(task, attempt, fleet::End::Done);
        }
    }
    slow.play(10_000);
    assert_eq!(slow.runs(1), 2, "after {} questions", slow.questions);
}

/// More workers than three questions name, on an idle fleet.
#[test]
fn a_gang_of_more_workers_than_three_questions_name_starts() {
    let mut never = Vec::new();
    for count in [30, 50, 61, 75, 90] {
        let good = |number| number % 5 < 2;
        let mut slow = Slow::new(Cell::with_cores(250, 40), &good);
        slow.cell.join(2..=18);
        let step = kit::lasting(kit::gang(count, 27), 5_000);
        slow.cell
            .run(1, &advised(1, 559.0, 8.06, 2_000), vec![step]);
        slow.play(30_000);
        if slow.runs(1) == 0 {
            never.push((count, slow.questions));
        }
    }
    assert_eq!(never, [], "gangs never started, and questions about each");
}

/// Under half of the processors are in use; gangs that find no room until runs
/// end that are past their estimates keep all the rest.
#[test]
fn gangs_that_cannot_start_do_not_keep_the_whole_fleet() {
    let mut cell = Cell::with_cores(16, 10);
    overrun(&mut cell, 16, 4);
    let good = |_| true;
    let mut slow = Slow::new(cell, &good);
    slow.cell.join(2..=12);
    let queue = advised(1, 200.0, 1.0, 2_500);
    for number in 1..=8 {
        let gang = kit::lasting(kit::gang(2, 8), 5_000);
        slow.cell.run(number, &queue, vec![gang]);
    }
    slow.play(2_000);
    let small = kit::lasting(kit::step(1, 2), 3_000);
    let patient = fleet::Queue {
        target_latency_ms: 10_000,
        ..kit::queue(2)
    };
    slow.cell.run(9, &patient, vec![small]);
    slow.play(5_000);
    assert_eq!(slow.runs(9), 1);
}

/// Whether job 500 begins within 40 s beside jobs 1 and 2, of one step each that
/// end in turn, with always one more of them that can still be in time.
fn begins_beside_a_stream(cell: &mut Cell, single: &fleet::StepDescription) -> bool {
    let mut running = [(1, 20_u32), (2, 10)];
    let mut next = 3;
    for _ in 0..400 {
        cell.pass(100);
        if !cell.placed(kit::task(500, 0, 0)).is_empty() {
            return true;
        }
        for slot in &mut running {
            slot.1 -= 1;
            if slot.1 == 0 {
                cell.submit(next, &kit::queue(1), kit::job(vec![single.clone()]));
                while cell.scheduler.has_records() {
                    cell.write();
                }
                cell.end(kit::task(slot.0, 0, 0), fleet::End::Done);
                *slot = (next, 20);
                next += 1;
                if cell.placed(kit::task(slot.0, 0, 0)).is_empty() {
                    *slot = (slot.0, u32::MAX);
                }
            }
        }
    }
    false
}

/// Two workers are held by tasks that last, two have work that ends.
#[test]
fn a_gang_does_not_wait_for_tasks_that_last() {
    let mut cell = Cell::with_cores(4, 10);
    let forever = fleet::StepDescription {
        long_running: true,
        max_per_worker: Some(1),
        ..kit::step(2, 8)
    };
    cell.run(1_000, &kit::queue(1), vec![forever]);
    let single = kit::lasting(kit::step(1, 8), 2_000);
    cell.run(1, &kit::queue(1), vec![single.clone()]);
    cell.run(2, &kit::queue(1), vec![single.clone()]);
    cell.run(500, &kit::queue(1), vec![kit::gang(2, 8)]);
    assert!(begins_beside_a_stream(&mut cell, &single));
}

/// A gang that no fleet of this size holds was there first.
#[test]
fn a_gang_that_can_never_run_takes_nobodys_turn() {
    let mut cell = Cell::with_cores(2, 10);
    let single = kit::lasting(kit::step(1, 8), 2_000);
    cell.run(1, &kit::queue(1), vec![single.clone()]);
    cell.run(2, &kit::queue(1), vec![single.clone()]);
    cell.run(400, &kit::queue(1), vec![kit::gang(3, 8)]);
    cell.pass(100);
    cell.run(500, &kit::queue(1), vec![kit::gang(2, 8)]);
    assert!(begins_beside_a_stream(&mut cell, &single));
}

/// Less urgent small work keeps the only way to the service busy.
#[test]
fn a_gang_is_asked_about_before_less_urgent_work() {
    let mut cell = Cell::with_cores(3, 10);
    overrun(&mut cell, 3, 7);
    let good = |_| true;
    let mut slow = Slow::new(cell, &good);
    let small = kit::lasting(kit::step(1, 1), 200);
    let gang = kit::lasting(kit::gang(2, 8), 5_000);
    let long = fleet::Queue {
        target_latency_ms: 60_000,
        ..advised(2, 30.0, 1.0, 2_500)
    };
    slow.cell.submit(2, &long, kit::job(vec![small.clone()]));
    slow.cell
        .submit(1, &advised(1, 30.0, 1.0, 2_500), kit::job(vec![gang]));
    for number in 3..203 {
        slow.cell
            .submit(number, &long, kit::job(vec![small.clone()]));
    }
    let mut asked_at = None;
    for at in 0..100 {
        slow.play(STEP_MS);
        slow.end_small(4 * STEP_MS);
        let asked = slow.asked.iter().any(|(_, q)| q.task.job == kit::job_id(1));
        asked_at = asked_at.or(asked.then_some(at * STEP_MS));
    }
    assert!(asked_at.is_some_and(|at| at <= 1_000), "asked {asked_at:?}");
}

/// The answer to a question of an instance that has left comes late.
#[test]
fn a_late_answer_does_not_end_the_next_question() {
    let mut cell = Cell::new(4);
    for member in ["entry-2", "entry-3"] {
        cell.scheduler.member_joined(&member.parse().unwrap());
    }
    cell.run(1, &kit::advised(1), vec![kit::step(1, 1)]);
    let first = cell.questions.remove(0);
    cell.scheduler.member_left(&first.member);
    cell.settle();
    assert_eq!(cell.questions.len(), 1);
    cell.scheduler.advice_answered(&first, None, cell.now);
    cell.pass(300);
    assert_eq!(cell.questions.len(), 1, "asked twice at the same time");
}

/// A task that lasts was submitted long ago, and has ended just now.
#[test]
fn a_task_that_lasts_comes_back_before_late_work_of_less_priority() {
    let mut cell = Cell::with_cores(1, 10);
    let forever = fleet::StepDescription {
        long_running: true,
        ..kit::step(1, 8)
    };
    cell.run(1, &kit::queue(1), vec![forever]);
    cell.pass(60_000);
    cell.run(2, &kit::queue(2), vec![kit::step(1, 8)]);
    cell.pass(4_000);
    cell.end(kit::task(1, 0, 0), fleet::End::Failed);
    assert_eq!(cell.placed(kit::task(1, 0, 0)).len(), 1);
}

/// An occurrence counts from when it is due, not from the submission.
#[test]
fn an_occurrence_that_is_due_goes_before_late_work_of_less_priority() {
    let mut cell = Cell::with_cores(1, 10);
    let repeated = fleet::JobDescription {
        occurrences: 3,
        interval_ms: 30_000,
        first_due_ms: cell.wall_ms,
        ..kit::job(vec![kit::step(1, 8)])
    };
    let answer = cell.submit(1, &kit::queue(1), repeated);
    assert_eq!(answer, figscale_core::fleet::Admission::Accepted);
    let occurrence = |occurrence| fleet::TaskId {
        occurrence,
        ..kit::task(1, 0, 0)
    };
    cell.pass(1_000);
    cell.end(occurrence(0), fleet::End::Done);
    cell.run(2, &kit::queue(1), vec![kit::step(1, 8)]);
    cell.pass(25_000);
    cell.run(3, &kit::queue(2), vec![kit::step(1, 8)]);
    cell.pass(5_000);
    cell.end(kit::task(2, 0, 0), fleet::End::Done);
    assert_eq!(cell.placed(occurrence(1)).len(), 1);
}
