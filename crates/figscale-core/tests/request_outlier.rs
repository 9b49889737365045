//! Runners that fail everything: set aside, probed, brought back.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::time;

use figscale_core::request::outlier;
use figscale_core::request::outlier::Use;
use figscale_types::ids;
use rstest::rstest;

fn runner(number: usize) -> ids::InstanceId {
    format!("runner-{number}").parse().unwrap()
}

fn outliers() -> outlier::Outliers {
    outlier::Outliers::new(outlier::OutlierConfig::default())
}

/// Fails a runner of ten until it is set aside.
fn eject(outliers: &mut outlier::Outliers, number: usize, now: time::Instant) -> bool {
    (0..5).any(|_| outliers.bad(&runner(number), 10, now))
}

#[rstest]
#[case::too_few("bbbb", Use::Open)]
#[case::in_a_row("bbbbb", Use::Ejected)]
#[case::not_in_a_row("bbbbgbbbb", Use::Open)]
#[case::nothing_said("bbbbnb", Use::Ejected)]
fn failures_in_a_row_eject(#[case] answers: &str, #[case] expected: Use) {
    let now = time::Instant::now();
    let mut outliers = outliers();
    for answer in answers.chars() {
        outliers.sent(&runner(1));
        match answer {
            'b' => {
                outliers.bad(&runner(1), 10, now);
            }
            'g' => outliers.good(&runner(1)),
            _ => outliers.neutral(&runner(1)),
        }
    }
    assert_eq!(outliers.use_of(&runner(1), now), expected);
}

/// However many fail, a share stays in use.
#[rstest]
#[case::ten(10, 3)]
#[case::four(4, 1)]
#[case::three(3, 0)]
fn a_service_is_never_emptied(#[case] runners: usize, #[case] expected: usize) {
    let now = time::Instant::now();
    let mut outliers = outliers();
    for number in 0..runners {
        for _ in 0..9 {
            outliers.bad(&runner(number), runners, now);
        }
    }
    assert_eq!(outliers.ejected(now), expected);
}

#[test]
fn one_probe_at_a_time_brings_it_back() {
    let now = time::Instant::now();
    let mut outliers = outliers();
    assert!(eject(&mut outliers, 1, now));
    let later = now + time::Duration::from_secs(2);
    assert_eq!(outliers.next_probe(now), Some(later));
    assert_eq!(outliers.use_of(&runner(1), later), Use::Probe);
    outliers.sent(&runner(1));
    assert_eq!(outliers.use_of(&runner(1), later), Use::Ejected);
    // A probe that was never sent leaves the place to the next one.
    outliers.neutral(&runner(1));
    assert_eq!(outliers.use_of(&runner(1), later), Use::Probe);
    outliers.sent(&runner(1));
    outliers.good(&runner(1));
    assert_eq!(outliers.use_of(&runner(1), later), Use::Open);
}

/// One that was brought back is judged like any other: by failures in a row.
#[rstest]
#[case::not_in_a_row("bbbbgbbbb", Use::Open)]
#[case::in_a_row("bbbbb", Use::Ejected)]
fn one_brought_back_may_fail_now_and_then(#[case] answers: &str, #[case] expected: Use) {
    let now = time::Instant::now();
    let mut outliers = outliers();
    eject(&mut outliers, 1, now);
    let later = now + time::Duration::from_secs(2);
    outliers.sent(&runner(1));
    outliers.good(&runner(1));
    for answer in answers.chars() {
        match answer {
            'b' => {
                outliers.bad(&runner(1), 10, later);
            }
            _ => outliers.good(&runner(1)),
        }
    }
    assert_eq!(outliers.use_of(&runner(1), later), expected);
}

/// An answer to what was sent before the ejection is no probe.
#[test]
fn a_late_good_answer_is_no_probe() {
    let now = time::Instant::now();
    let mut outliers = outliers();
    eject(&mut outliers, 1, now);
    outliers.good(&runner(1));
    assert_eq!(outliers.use_of(&runner(1), now), Use::Ejected);
}

#[test]
fn failed_probes_double_the_time_up_to_the_longest() {
    let mut now = time::Instant::now();
    let mut outliers = outliers();
    eject(&mut outliers, 1, now);
    for expected_s in [2, 4, 8, 16, 32, 60, 60] {
        let until = outliers.next_probe(now).unwrap();
        assert_eq!(until - now, time::Duration::from_secs(expected_s));
        now = until;
        outliers.sent(&runner(1));
        assert!(outliers.bad(&runner(1), 10, now));
    }
}
