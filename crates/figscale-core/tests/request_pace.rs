//! Measured run times, and the pace at which a queue moves.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::time;

use figscale_core::request::service_time;
use figscale_types::ids;
use rstest::rstest;

const fn ms(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

fn entry(number: usize) -> ids::EntryName {
    format!("entry-{number}").parse().unwrap()
}

/// Mean of an entry in milliseconds after these run times.
#[rstest]
#[case::nothing_known(&[], 0)]
#[case::the_first_counts_whole(&[200], 200)]
#[case::a_tenth_of_each_further(&[200, 300], 210)]
#[case::it_follows(&[200; 100], 200)]
fn run_times_are_learned(#[case] runs_ms: &[u64], #[case] expected_ms: u64) {
    let service = "hullrate".parse().unwrap();
    let mut times = service_time::ServiceTimes::default();
    for run in runs_ms {
        times.add(&service, &entry(1), ms(*run));
    }
    let rounded = |mean: time::Duration| mean.as_secs_f64().mul_add(1_000.0, 0.5) as u64;
    assert_eq!(rounded(times.of_entry(&entry(1))), expected_ms);
    assert_eq!(rounded(times.of_service(&service)), expected_ms);
    assert_eq!(times.of_entry(&entry(2)), ms(0));
}

/// A full memory takes no new entry and goes on learning of those it has.
#[test]
fn a_full_memory_goes_on_learning() {
    let service = "hullrate".parse().unwrap();
    let mut times = service_time::ServiceTimes::default();
    for number in 0..10_001 {
        times.add(&service, &entry(number), ms(100));
    }
    assert_eq!(times.of_entry(&entry(10_000)), ms(0));
    (0..200).for_each(|_| times.add(&service, &entry(1), ms(900)));
    assert!(times.of_entry(&entry(1)) > ms(890));
}

/// Grants at these times, with so many left waiting; then what five ahead mean.
#[rstest]
#[case::nothing_known(&[], 0, 0)]
#[case::steady(&[(0, 9), (20, 8), (40, 7)], 40, 100)]
#[case::nobody_waited_between(&[(0, 0), (500, 9), (520, 8)], 520, 100)]
#[case::stalled(&[(0, 9), (20, 8)], 320, 1_500)]
#[case::nobody_waits_now(&[(0, 9), (20, 0)], 9_000, 100)]
fn a_pace(#[case] grants: &[(u64, usize)], #[case] now_ms: u64, #[case] expected_ms: u64) {
    let start = time::Instant::now();
    let mut pace = service_time::Pace::default();
    for (at, waiting) in grants {
        pace.granted(*waiting, start + ms(*at));
    }
    assert_eq!(pace.expect(5, start + ms(now_ms)), ms(expected_ms));
    assert_eq!(pace.expect(0, start + ms(now_ms)), ms(0));
}

/// Whoever waits before the first grant is counted from then on.
#[test]
fn a_queue_that_never_moved_is_stalled() {
    let start = time::Instant::now();
    let mut pace = service_time::Pace::default();
    pace.waits(start);
    pace.waits(start + ms(50));
    assert_eq!(pace.expect(2, start + ms(100)), ms(200));
}
