//! Measured run times, and the time between grants of a queue.

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

/// Mean of an entry, in milliseconds, after these run times.
#[rstest]
#[case::no_samples(&[], 0)]
#[case::the_first_is_the_mean(&[200], 200)]
#[case::each_further_weighs_a_tenth(&[200, 300], 210)]
#[case::steady(&[200; 100], 200)]
fn mean_run_times_follow_samples(#[case] runs_ms: &[u64], #[case] expected_ms: u64) {
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

/// At the maximum number of entries no entry is added, and the means of the
/// existing ones are still updated.
#[test]
fn at_the_limit_existing_entries_are_updated() {
    let service = "hullrate".parse().unwrap();
    let mut times = service_time::ServiceTimes::default();
    for number in 0..10_001 {
        times.add(&service, &entry(number), ms(100));
    }
    assert_eq!(times.of_entry(&entry(10_000)), ms(0));
    (0..200).for_each(|_| times.add(&service, &entry(1), ms(900)));
    assert!(times.of_entry(&entry(1)) > ms(890));
}

/// Grants at these times, each with the number of requests still waiting, and the
/// wait expected with five requests ahead.
#[rstest]
#[case::no_grants(&[], 0, 0)]
#[case::steady(&[(0, 9), (20, 8), (40, 7)], 40, 100)]
#[case::nothing_waited_between(&[(0, 0), (500, 9), (520, 8)], 520, 100)]
#[case::stalled(&[(0, 9), (20, 8)], 320, 1_500)]
#[case::nothing_waits_now(&[(0, 9), (20, 0)], 9_000, 100)]
fn the_time_between_grants_gives_the_wait(
    #[case] grants: &[(u64, usize)],
    #[case] now_ms: u64,
    #[case] expected_ms: u64,
) {
    let start = time::Instant::now();
    let mut grant_interval = service_time::GrantInterval::default();
    for (at, waiting) in grants {
        grant_interval.record_grant(*waiting, start + ms(*at));
    }
    assert_eq!(
        grant_interval.expected_wait(5, start + ms(now_ms)),
        ms(expected_ms)
    );
    assert_eq!(grant_interval.expected_wait(0, start + ms(now_ms)), ms(0));
}

/// Before the first grant, the time since the first request began to wait counts.
#[test]
fn a_queue_that_never_moved_is_stalled() {
    let start = time::Instant::now();
    let mut grant_interval = service_time::GrantInterval::default();
    grant_interval.record_waiting(start);
    grant_interval.record_waiting(start + ms(50));
    assert_eq!(grant_interval.expected_wait(2, start + ms(100)), ms(200));
}
