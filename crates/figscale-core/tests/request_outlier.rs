//! Outlier ejection: runners that fail every request are ejected, probed and
//! used again.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::time;

use figscale_core::request::outlier;
use figscale_core::request::outlier::Eligibility;
use figscale_types::ids;
use rstest::rstest;

fn runner(number: usize) -> ids::InstanceId {
    format!("runner-{number}").parse().unwrap()
}

fn outliers() -> outlier::Outliers {
    outlier::Outliers::new(outlier::OutlierConfig::default())
}

/// Fails requests on one of ten runners until it is ejected.
fn eject(outliers: &mut outlier::Outliers, number: usize, now: time::Instant) -> bool {
    (0..5).any(|_| outliers.record_failure(&runner(number), 10, now))
}

#[rstest]
#[case::too_few("bbbb", Eligibility::Open)]
#[case::in_a_row("bbbbb", Eligibility::Ejected)]
#[case::not_in_a_row("bbbbgbbbb", Eligibility::Open)]
#[case::neutral_ends_do_not_interrupt("bbbbnb", Eligibility::Ejected)]
fn failures_in_a_row_eject(#[case] answers: &str, #[case] expected: Eligibility) {
    let now = time::Instant::now();
    let mut outliers = outliers();
    for answer in answers.chars() {
        outliers.record_sent(&runner(1));
        match answer {
            'b' => {
                outliers.record_failure(&runner(1), 10, now);
            }
            'g' => outliers.record_success(&runner(1)),
            _ => outliers.record_neutral(&runner(1)),
        }
    }
    assert_eq!(outliers.eligibility(&runner(1), now), expected);
}

/// A share of the runners stays in use, however many fail.
#[rstest]
#[case::ten(10, 3)]
#[case::four(4, 1)]
#[case::three(3, 0)]
fn a_service_keeps_runners_when_all_fail(#[case] runners: usize, #[case] expected: usize) {
    let now = time::Instant::now();
    let mut outliers = outliers();
    for number in 0..runners {
        for _ in 0..9 {
            outliers.record_failure(&runner(number), runners, now);
        }
    }
    assert_eq!(outliers.ejected(now), expected);
}

#[test]
fn one_probe_at_a_time_ends_the_ejection() {
    let now = time::Instant::now();
    let mut outliers = outliers();
    assert!(eject(&mut outliers, 1, now));
    let later = now + time::Duration::from_secs(2);
    assert_eq!(outliers.next_probe(now), Some(later));
    assert_eq!(outliers.eligibility(&runner(1), later), Eligibility::Probe);
    outliers.record_sent(&runner(1));
    assert_eq!(
        outliers.eligibility(&runner(1), later),
        Eligibility::Ejected
    );
    // After a probe that was never sent another one is allowed.
    outliers.record_neutral(&runner(1));
    assert_eq!(outliers.eligibility(&runner(1), later), Eligibility::Probe);
    outliers.record_sent(&runner(1));
    outliers.record_success(&runner(1));
    assert_eq!(outliers.eligibility(&runner(1), later), Eligibility::Open);
}

/// A runner whose ejection has ended is ejected again only by failures in a row.
#[rstest]
#[case::not_in_a_row("bbbbgbbbb", Eligibility::Open)]
#[case::in_a_row("bbbbb", Eligibility::Ejected)]
fn after_an_ejection_single_failures_do_not_eject(
    #[case] answers: &str,
    #[case] expected: Eligibility,
) {
    let now = time::Instant::now();
    let mut outliers = outliers();
    eject(&mut outliers, 1, now);
    let later = now + time::Duration::from_secs(2);
    outliers.record_sent(&runner(1));
    outliers.record_success(&runner(1));
    for answer in answers.chars() {
        match answer {
            'b' => {
                outliers.record_failure(&runner(1), 10, later);
            }
            _ => outliers.record_success(&runner(1)),
        }
    }
    assert_eq!(outliers.eligibility(&runner(1), later), expected);
}

/// The response to a request sent before the ejection does not end it.
#[test]
fn a_late_success_is_not_a_probe() {
    let now = time::Instant::now();
    let mut outliers = outliers();
    eject(&mut outliers, 1, now);
    outliers.record_success(&runner(1));
    assert_eq!(outliers.eligibility(&runner(1), now), Eligibility::Ejected);
}

#[test]
fn failed_probes_double_the_ejection_up_to_the_longest() {
    let mut now = time::Instant::now();
    let mut outliers = outliers();
    eject(&mut outliers, 1, now);
    for expected_s in [2, 4, 8, 16, 32, 60, 60] {
        let until = outliers.next_probe(now).unwrap();
        assert_eq!(until - now, time::Duration::from_secs(expected_s));
        now = until;
        outliers.record_sent(&runner(1));
        assert!(outliers.record_failure(&runner(1), 10, now));
    }
}
