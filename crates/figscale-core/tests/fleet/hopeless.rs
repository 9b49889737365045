//! Steps that no worker has room for: they cost a pass nothing but their
//! ranking, and leaving them out changes no decision.
//!
//! Seen: beside a slow leader 1,200 quick jobs that were late waited at once,
//! and each pass tried every one of them.

use std::mem;

use figscale_core::fleet::Admission;
use figscale_core::fleet::Config;
use figscale_types::fleet;
use rstest::rstest;

use crate::kit;
use crate::kit::Cell;

const WORKERS: usize = 100;
const BACKLOG: u64 = 1_200;

/// Tasks of one core and so much memory.
fn step(count: u32, memory_mb: u64) -> fleet::StepDescription {
    let step = kit::step(count, 1);
    let room = fleet::Room {
        memory_mb,
        ..step.room
    };
    fleet::StepDescription { room, ..step }
}

/// A fleet with processor but no memory left, and quick jobs that wait.
fn fleet_without_memory(queue: &fleet::Queue) -> Cell {
    let config = Config {
        max_of_objective_percent: 1_000_000,
        ..Config::default()
    };
    let mut cell = Cell::with_config(WORKERS, 64, config);
    cell.run(0, &kit::queue(1), vec![step(WORKERS as u32, 131_072)]);
    assert_eq!(cell.starts(), WORKERS);
    for number in 1..=BACKLOG {
        let answer = cell.submit(number, queue, kit::job(vec![step(2, 1_024)]));
        assert_eq!(answer, Admission::Accepted);
    }
    cell.settle();
    cell
}

#[rstest]
#[case::without_advice(kit::queue(0))]
#[case::under_advice(kit::advised(0))]
fn a_backlog_without_room_is_not_tried(#[case] queue: fleet::Queue) {
    let mut cell = fleet_without_memory(&queue);
    assert_eq!(
        cell.scheduler.counts(cell.now).open_jobs as u64,
        BACKLOG + 1
    );
    let mut tried = cell.scheduler.clone();
    tried.plan_trying_all(cell.now);
    cell.scheduler.plan(cell.now);
    assert_eq!(cell.scheduler.take_actions(), tried.take_actions());
    let looks = cell.scheduler.counts(cell.now).pass_looks;
    let looks_at_all = tried.counts(cell.now).pass_looks;
    println!("{looks} looks, {looks_at_all} when all are tried");
    assert!(looks <= 2 * WORKERS, "{looks}");
    assert!(looks_at_all > 500 * WORKERS, "{looks_at_all}");
}

/// Numbers that look drawn by chance.
struct Draw(u64);

impl Draw {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005);
        self.0 = self.0.wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % limit
    }

    fn one_in(&mut self, many: u64) -> bool {
        self.below(many) == 0
    }
}

/// Two services, of which one has accelerators, with workers of several sizes.
fn add_workers(cell: &mut Cell, draw: &mut Draw) {
    for number in 0..30 {
        cell.add_worker(number, 8 + 8 * draw.below(8));
        let worker = cell.worker(number);
        worker.entry.room.memory_mb = 16_384 << draw.below(4);
        if draw.one_in(3) {
            worker.entry.service = "other".to_owned();
            worker.entry.room.accelerators = draw.below(5);
        }
        let entry = worker.entry.clone();
        cell.scheduler.worker_listed(entry);
    }
    for number in 1..=6 {
        let member = format!("entry-{number}").parse().unwrap();
        cell.scheduler.member_joined(&member);
    }
}

fn any_queue(draw: &mut Draw) -> fleet::Queue {
    let priority = u32::from(draw.one_in(2));
    let mut queue = match draw.one_in(2) {
        true => kit::advised(priority),
        false => kit::queue(priority),
    };
    if draw.one_in(3) {
        queue.service = "other".to_owned();
    }
    queue
}

fn any_step(draw: &mut Draw) -> fleet::StepDescription {
    fleet::StepDescription {
        room: fleet::Room {
            cpu_millis: 500 + 1_000 * draw.below(24),
            memory_mb: 512 << draw.below(7),
            accelerators: draw.below(12) / 10,
        },
        estimate_ms: 200 + draw.below(4_000),
        gang: draw.one_in(4),
        filler: draw.one_in(8),
        max_per_worker: draw.one_in(4).then_some(1),
        required_label: draw.one_in(6).then(|| "r1-2".to_owned()),
        ..kit::step(1 + draw.below(8) as u32, 1)
    }
}

/// Plans on a copy that tries everything, and compares; true if anything was
/// decided.
fn plan_both_ways(cell: &mut Cell) -> bool {
    let mut tried = cell.scheduler.clone();
    tried.plan_trying_all(cell.now);
    cell.scheduler.plan(cell.now);
    let decided = cell.scheduler.clone().take_actions();
    assert_eq!(decided, tried.take_actions());
    let looks = cell.scheduler.counts(cell.now).pass_looks;
    assert!(looks <= tried.counts(cell.now).pass_looks);
    !decided.is_empty()
}

/// Passes that decided something.
fn play(seed: u64) -> usize {
    let mut draw = Draw(seed);
    let config = Config {
        max_of_objective_percent: 1_000_000,
        ..Config::default()
    };
    let mut cell = Cell::with_config(0, 64, config);
    add_workers(&mut cell, &mut draw);
    let mut decided = 0;
    for number in 1..=250 {
        let steps = (0..=draw.below(2)).map(|_| any_step(&mut draw)).collect();
        let queue = any_queue(&mut draw);
        let _ = cell.submit(number, &queue, kit::job(steps));
        cell.report_all();
        while cell.scheduler.has_records() {
            cell.write();
        }
        decided += usize::from(plan_both_ways(&mut cell));
        cell.carry_out();
        for question in mem::take(&mut cell.questions) {
            if draw.one_in(3) {
                cell.questions.push(question);
                continue;
            }
            let good = question.workers.iter().filter(|_| !draw.one_in(3));
            let tickets = good.map(|id| fleet::Ticket {
                worker: id.clone(),
                token: "ticket".to_owned(),
            });
            let tickets = tickets.collect();
            cell.scheduler
                .advice_answered(&question, Some(tickets), cell.now);
        }
        decided += usize::from(plan_both_ways(&mut cell));
        cell.carry_out();
        end_some(&mut cell, &mut draw);
        cell.now += kit::ms(50);
        cell.wall_ms += 50;
        cell.scheduler.tick(cell.now, cell.wall_ms);
    }
    decided
}

fn end_some(cell: &mut Cell, draw: &mut Draw) {
    for worker in cell.workers.values_mut() {
        let running: Vec<_> = worker.running.keys().copied().collect();
        for (task, attempt) in running {
            if draw.one_in(40) {
                let end = match draw.one_in(10) {
                    true => fleet::End::Failed,
                    false => fleet::End::Done,
                };
                worker.end(task, attempt, end);
            }
        }
    }
}

#[test]
fn leaving_them_out_changes_no_decision() {
    for seed in 1..=12 {
        let decided = play(seed);
        println!("seed {seed}: {decided} passes decided something");
        assert!(decided > 100, "seed {seed}: {decided}");
    }
}
