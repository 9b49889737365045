//! The fair queue: weights, order, deadlines and removal.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::time;

use figscale_core::request::queue;
use figscale_core::request::queue::Ticket;
use figscale_types::catalogue::Urgency;
use indexmap::IndexMap;
use proptest::prelude::*;
use rstest::rstest;

fn waiting(ticket: u64, owner: &str, weight: u32, urgency: Urgency, due_ms: u64) -> queue::Waiting {
    queue::Waiting {
        ticket: Ticket(ticket),
        owner: owner.parse().unwrap(),
        weight,
        urgency,
        deadline: base() + time::Duration::from_millis(due_ms),
    }
}

fn base() -> time::Instant {
    static BASE: std::sync::OnceLock<time::Instant> = std::sync::OnceLock::new();
    *BASE.get_or_init(time::Instant::now)
}

fn drained(queue: &mut queue::FairQueue) -> Vec<u64> {
    std::iter::from_fn(|| queue.pop(|_| true).map(|ticket| ticket.0)).collect()
}

#[test]
fn earliest_deadline_first_inside_an_owner() {
    let mut queue = queue::FairQueue::new(queue::QueueConfig::default());
    for (ticket, due_ms) in [(1, 300), (2, 100), (3, 200), (4, 100)] {
        queue.push(&waiting(ticket, "a", 1, Urgency::Deadline, due_ms));
    }
    assert_eq!(drained(&mut queue), [2, 4, 3, 1]);
}

#[rstest]
#[case::equal(1, 1, 50)]
#[case::three_to_one(3, 1, 75)]
#[case::one_to_four(1, 4, 20)]
fn owners_get_their_weights(#[case] first: u32, #[case] second: u32, #[case] expected: usize) {
    let mut queue = queue::FairQueue::new(queue::QueueConfig::default());
    for ticket in 0..200 {
        // The second owner's deadlines are all earlier, which must have no effect.
        queue.push(&waiting(ticket, "a", first, Urgency::Deadline, 900));
        queue.push(&waiting(
            1_000 + ticket,
            "b",
            second,
            Urgency::Deadline,
            100,
        ));
    }
    let taken: Vec<_> = (0..100).map(|_| queue.pop(|_| true).unwrap().0).collect();
    assert_eq!(taken.iter().filter(|t| **t < 1_000).count(), expected);
}

#[test]
fn one_owners_flood_does_not_delay_another() {
    let mut queue = queue::FairQueue::new(queue::QueueConfig::default());
    for ticket in 0..1_000 {
        queue.push(&waiting(ticket, "flood", 1, Urgency::Deadline, 100));
    }
    queue.push(&waiting(5_000, "quiet", 1, Urgency::Deadline, 9_000));
    let first: Vec<_> = (0..2).map(|_| queue.pop(|_| true).unwrap().0).collect();
    assert!(first.contains(&5_000), "{first:?}");
}

#[test]
fn urgent_first_without_starving_best_effort() {
    let mut queue = queue::FairQueue::new(queue::QueueConfig {
        low_urgency_every: 8,
    });
    for ticket in 0..100 {
        queue.push(&waiting(ticket, "a", 1, Urgency::Interactive, 100));
        queue.push(&waiting(1_000 + ticket, "a", 1, Urgency::BestEffort, 100));
    }
    let taken: Vec<_> = (0..80).map(|_| queue.pop(|_| true).unwrap().0).collect();
    let best_effort = taken.iter().filter(|ticket| **ticket >= 1_000).count();
    assert_eq!(best_effort, 9);
    assert!(taken[0] < 1_000);
}

#[test]
fn an_urgency_that_is_not_allowed_is_skipped() {
    let mut queue = queue::FairQueue::new(queue::QueueConfig::default());
    queue.push(&waiting(1, "a", 1, Urgency::BestEffort, 100));
    assert_eq!(queue.pop(|u| u != Urgency::BestEffort), None);
    assert_eq!(queue.pop(|_| true), Some(Ticket(1)));
}

#[test]
fn requests_expire_in_order_of_deadline() {
    let mut queue = queue::FairQueue::new(queue::QueueConfig::default());
    for (ticket, due_ms) in [(1, 300), (2, 100), (3, 200)] {
        queue.push(&waiting(ticket, "a", 1, Urgency::Deadline, due_ms));
    }
    let at = |ms| base() + time::Duration::from_millis(ms);
    assert_eq!(queue.next_deadline(), Some(at(100)));
    assert_eq!(queue.expire(at(200)), [Ticket(2), Ticket(3)]);
    assert_eq!(queue.len(), 1);
}

#[derive(Clone, Debug)]
enum Step {
    Push(u8, u8, u16),
    Pop,
    Cancel(prop::sample::Index),
}

proptest! {
    /// Every request leaves the queue exactly once, by a grant or a cancellation,
    /// and the queue's length stays correct.
    #[test]
    fn no_request_is_lost_or_duplicated(steps in prop::collection::vec(
        prop_oneof![
            3 => (0_u8..4, 0_u8..3, 0_u16..50).prop_map(|(o, u, d)| Step::Push(o, u, d)),
            2 => Just(Step::Pop),
            1 => any::<prop::sample::Index>().prop_map(Step::Cancel),
        ], 1..300)) {
        let mut queue = queue::FairQueue::new(queue::QueueConfig::default());
        let mut inside = IndexMap::<u64, ()>::new();
        let mut next = 0;
        for step in steps {
            match step {
                Step::Push(owner, urgency, due) => {
                    next += 1;
                    let urgency = [Urgency::Interactive, Urgency::Deadline, Urgency::BestEffort]
                        [usize::from(urgency)];
                    let owner = format!("owner-{owner}");
                    queue.push(&waiting(next, &owner, 2, urgency, due.into()));
                    inside.insert(next, ());
                }
                Step::Pop => {
                    let popped = queue.pop(|_| true);
                    prop_assert_eq!(popped.is_none(), inside.is_empty());
                    if let Some(ticket) = popped {
                        prop_assert!(inside.swap_remove(&ticket.0).is_some());
                    }
                }
                Step::Cancel(index) if !inside.is_empty() => {
                    let at = index.index(inside.len());
                    let ticket = *inside.get_index(at).unwrap().0;
                    prop_assert!(queue.cancel(Ticket(ticket)));
                    prop_assert!(!queue.cancel(Ticket(ticket)));
                    inside.swap_remove(&ticket);
                }
                Step::Cancel(_) => {}
            }
            prop_assert_eq!(queue.len(), inside.len());
        }
    }
}
