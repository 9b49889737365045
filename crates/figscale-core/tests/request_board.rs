//! Slot counts of other holders, and the choice among them.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::time;

use figscale_core::request::usage_table;
use figscale_types::catalogue::Urgency;
use figscale_types::ids;
use indexmap::IndexMap;
use rand::SeedableRng as _;
use rand::rngs;
use rstest::rstest;

fn service() -> ids::ServiceName {
    "hullrate".parse().unwrap()
}

fn member(number: u64) -> ids::MemberKey {
    ids::MemberKey {
        id: format!("entry-{number}").parse().unwrap(),
        incarnation: ids::Incarnation(1),
    }
}

fn counts(slots: u32, free: [u32; 3], ahead: [u32; 3]) -> usage_table::Counts {
    usage_table::Counts { slots, free, ahead }
}

/// A table in which each holder has the given number of its 8 slots free.
fn usage_table(free: &[u32], now: time::Instant) -> usage_table::UsageTable {
    let mut usage_table = usage_table::UsageTable::new(usage_table::UsageTableConfig::default());
    for (number, free) in free.iter().enumerate() {
        report(
            &mut usage_table,
            number as u64,
            counts(8, [*free; 3], [0; 3]),
            now,
        );
    }
    usage_table
}

fn report(
    usage_table: &mut usage_table::UsageTable,
    number: u64,
    counts: usage_table::Counts,
    now: time::Instant,
) {
    let counts = IndexMap::from([(service(), counts)]);
    usage_table.record_counts(&member(number), &counts, now);
}

/// How often each of three holders is chosen in 300 draws.
fn chosen(
    usage_table: &usage_table::UsageTable,
    excluded: &[ids::MemberKey],
    now: time::Instant,
) -> [u32; 3] {
    let mut rng = rngs::StdRng::seed_from_u64(1);
    let mut counts = [0; 3];
    for _ in 0..300 {
        let choice = usage_table.choose(&service(), Urgency::Deadline, excluded, now, &mut rng);
        if let Some(choice) = choice {
            let number = (0..3).find(|n| member(*n) == choice.member).unwrap();
            counts[number as usize] += 1;
        }
    }
    counts
}

#[rstest]
#[case::free(counts(8, [4, 3, 2], [0; 3]), Urgency::Interactive, 0, 0.5)]
#[case::reserved_for_interactive(counts(8, [4, 2, 2], [0; 3]), Urgency::Deadline, 0, 0.25)]
#[case::a_queue(counts(8, [0; 3], [0, 4, 8]), Urgency::BestEffort, 0, -1.0)]
#[case::less_urgent_is_not_ahead(counts(8, [0; 3], [0, 4, 8]), Urgency::Interactive, 0, 0.0)]
#[case::sent_since(counts(8, [4; 3], [0; 3]), Urgency::Deadline, 6, -0.25)]
#[case::no_slots(counts(0, [0; 3], [0; 3]), Urgency::Deadline, 0, f64::NEG_INFINITY)]
fn free_capacity_is_relative_to_slots(
    #[case] counts: usage_table::Counts,
    #[case] urgency: Urgency,
    #[case] sent: u32,
    #[case] expected: f64,
) {
    assert_eq!(counts.room(urgency, sent), expected);
}

/// Of three holders the one with the fewest free slots is never chosen, and the
/// one with the most is chosen in each draw that it is part of.
#[test]
fn the_better_of_two_is_chosen() {
    let now = time::Instant::now();
    let [worst, middle, best] = chosen(&usage_table(&[0, 4, 8], now), &[], now);
    assert_eq!(worst, 0);
    assert!(middle > 50 && best > middle, "{middle} {best}");
}

#[rstest]
#[case::requests_sent(|usage_table: &mut usage_table::UsageTable, _| (0..9).for_each(|_| usage_table.record_sent(&service(), &member(2))))]
#[case::a_refusal(|usage_table: &mut usage_table::UsageTable, _| usage_table.record_refusal(&service(), &member(2)))]
#[case::no_slots_left(|usage_table: &mut usage_table::UsageTable, now| report(usage_table, 2, usage_table::Counts::default(), now))]
#[case::a_service_no_longer_held(|usage_table: &mut usage_table::UsageTable, now| usage_table.record_counts(&member(2), &IndexMap::new(), now))]
#[case::member_gone(|usage_table: &mut usage_table::UsageTable, _| usage_table.retain(|known| *known != member(2)))]
fn the_best_is_no_longer_chosen_after(
    #[case] change: fn(&mut usage_table::UsageTable, time::Instant),
) {
    let now = time::Instant::now();
    let mut usage_table = usage_table(&[1, 1, 8], now);
    assert!(chosen(&usage_table, &[], now)[2] > 0);
    change(&mut usage_table, now);
    assert_eq!(chosen(&usage_table, &[], now)[2], 0);
    // A new report makes the holder eligible again.
    report(&mut usage_table, 2, counts(8, [8; 3], [0; 3]), now);
    assert!(chosen(&usage_table, &[], now)[2] > 0);
}

#[test]
fn an_excluded_holder_is_not_chosen() {
    let now = time::Instant::now();
    let usage_table = usage_table(&[1, 1, 8], now);
    assert_eq!(chosen(&usage_table, &[member(2)], now)[2], 0);
    let all = [member(0), member(1), member(2)];
    assert_eq!(chosen(&usage_table, &all, now), [0; 3]);
}

#[test]
fn stale_counts_have_no_free_slot_and_their_holder_is_unresponsive() {
    let now = time::Instant::now();
    let mut usage_table = usage_table(&[1, 1, 8], now);
    let old = now + time::Duration::from_millis(1_501);
    for number in [0, 1] {
        report(&mut usage_table, number, counts(8, [1; 3], [0; 3]), old);
    }
    assert!(!usage_table.is_unresponsive(&member(2), now + time::Duration::from_millis(1_500)));
    assert!(usage_table.is_unresponsive(&member(2), old));
    assert!(
        usage_table.is_unresponsive(&member(9), now),
        "never reported"
    );
    assert_eq!(chosen(&usage_table, &[], old)[2], 0);
}
