//! Questions to the advisory service, and what tickets allow.

use figscale_types::fleet;
use figscale_types::fleet::StartOutcome;
use figscale_types::fleet::StartRefusal;

use crate::kit;
use crate::kit::Cell;

#[test]
fn a_task_goes_only_where_a_ticket_allows() {
    let mut cell = Cell::new(4);
    cell.run(1, &kit::advised(1), vec![kit::step(2, 1)]);
    assert_eq!(cell.starts(), 0);
    let good = kit::worker_id(2);
    cell.advise(|id| *id == good);
    assert_eq!(cell.worker(2).running.len(), 2);
    let order = &cell.worker(2).orders[0];
    assert_eq!(order.ticket.as_deref(), Some("t-w-2"));
}

#[test]
fn bad_workers_are_not_asked_about_again() {
    let mut cell = Cell::new(6);
    cell.run(1, &kit::advised(1), vec![kit::step(1, 1)]);
    let first = cell.advise(|_| false);
    cell.pass(100);
    let second = cell.advise(|_| true);
    assert!(second.workers.iter().all(|id| !first.workers.contains(id)));
}

#[test]
fn a_ticket_ends() {
    let mut cell = Cell::with_cores(1, 1);
    cell.run(1, &kit::queue(1), vec![kit::step(1, 1)]);
    cell.run(2, &kit::advised(1), vec![kit::step(1, 1)]);
    assert!(
        cell.questions.is_empty(),
        "asked although no worker has room"
    );
    cell.end(kit::task(1, 0, 0), fleet::End::Done);
    cell.advise(|_| true);
    assert_eq!(cell.placed(kit::task(2, 0, 0)).len(), 1);
    cell.end(kit::task(2, 0, 0), fleet::End::Stopped);
    assert_eq!(
        cell.placed(kit::task(2, 0, 0)).len(),
        1,
        "the ticket is still good"
    );
    cell.pass(2_600);
    cell.end(kit::task(2, 0, 0), fleet::End::Stopped);
    assert!(cell.placed(kit::task(2, 0, 0)).is_empty());
    cell.advise(|_| true);
    assert_eq!(cell.placed(kit::task(2, 0, 0)).len(), 1);
}

#[test]
fn a_refused_ticket_is_asked_for_again() {
    let mut cell = Cell::new(1);
    cell.worker(0).answer = Some(StartOutcome::Refused(StartRefusal::Ticket));
    cell.run(1, &kit::advised(1), vec![kit::step(1, 1)]);
    cell.advise(|_| true);
    assert_eq!(cell.questions.len(), 1);
}

#[test]
fn each_instance_asks_one_question_at_a_time() {
    let mut cell = Cell::new(4);
    cell.scheduler.member_joined(&"entry-2".parse().unwrap());
    for number in 1..=5 {
        cell.run(number, &kit::advised(1), vec![kit::step(1, 1)]);
    }
    assert_eq!(cell.questions.len(), 2);
    assert_ne!(cell.questions[0].member, cell.questions[1].member);
    cell.advise(|_| true);
    assert_eq!(cell.questions.len(), 2);
}

/// Long questions would hold every lane for half a second, longer than a quick
/// job may take.
#[test]
fn a_lane_is_kept_for_short_questions() {
    let mut cell = Cell::new(4);
    for member in ["entry-2", "entry-3"] {
        cell.scheduler.member_joined(&member.parse().unwrap());
    }
    let mut slow = kit::advised(1);
    slow.advice = Some(fleet::AdvicePolicy {
        base_ms: 410.0,
        per_worker_ms: 6.0,
        valid_ms: 2_500,
    });
    for number in 1..=5 {
        cell.run(number, &slow, vec![kit::step(1, 1)]);
    }
    assert_eq!(cell.questions.len(), 2);
    cell.run(6, &kit::advised(0), vec![kit::step(1, 1)]);
    assert_eq!(cell.questions.len(), 3);
    assert_eq!(cell.questions[2].task.job, kit::job_id(6));
}

#[test]
fn an_instance_that_left_takes_its_question_along() {
    let mut cell = Cell::new(4);
    cell.scheduler.member_joined(&"entry-2".parse().unwrap());
    cell.run(1, &kit::advised(1), vec![kit::step(1, 1)]);
    let question = cell.questions.remove(0);
    cell.scheduler.member_left(&question.member);
    cell.settle();
    assert_eq!(cell.questions.len(), 1);
    assert_ne!(cell.questions[0].member, question.member);
}

/// More jobs than fit, and few workers good for each: one question about the
/// few with room finds none that is good, so the next is asked, and so on. Most
/// of a question's time is its base, so one should cover many workers.
#[test]
fn a_full_fleet_is_not_asked_about_again_and_again() {
    let mut cell = Cell::with_cores(24, 4);
    let mut quick = kit::advised(0);
    quick.advice = Some(fleet::AdvicePolicy {
        base_ms: 12.0,
        per_worker_ms: 0.17,
        valid_ms: 2_500,
    });
    let mut questions = 0;
    for number in 1..=40 {
        cell.submit(number, &quick, kit::job(vec![kit::step(2, 2)]));
    }
    for _ in 0..30 {
        cell.pass(100);
        while !cell.questions.is_empty() {
            questions += 1;
            cell.advise(|id| id.as_str().ends_with('3'));
        }
    }
    let good_rooms = 6;
    assert!(cell.starts() >= good_rooms, "{} starts", cell.starts());
    assert!(questions <= 44, "{questions} questions for 40 jobs");
}
