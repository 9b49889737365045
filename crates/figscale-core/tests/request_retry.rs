//! What may be tried again, and for how long when everything fails.

use std::time;

use figscale_core::request::retry;
use figscale_types::verdict::Verdict;
use rstest::rstest;

#[rstest]
#[case::not_run(Verdict::NotRun, false, 1, 100, true)]
#[case::in_doubt(Verdict::MayHaveRun, false, 1, 100, false)]
#[case::in_doubt_and_harmless(Verdict::MayHaveRun, true, 1, 100, true)]
#[case::ran(Verdict::Ran, true, 1, 100, false)]
#[case::last_attempt(Verdict::NotRun, true, 2, 100, true)]
#[case::no_attempt_left(Verdict::NotRun, true, 3, 100, false)]
#[case::at_its_deadline(Verdict::NotRun, true, 1, 0, false)]
fn only_what_does_no_harm(
    #[case] verdict: Verdict,
    #[case] idempotent: bool,
    #[case] attempts: u32,
    #[case] left_ms: u64,
    #[case] expected: bool,
) {
    let now = time::Instant::now();
    let mut budget = retry::RetryBudget::new(retry::RetryConfig::default());
    let failed = retry::Failed {
        verdict,
        idempotent,
        attempts,
        max_attempts: 3,
        deadline: now + time::Duration::from_millis(left_ms),
    };
    assert_eq!(failed.may_retry(now, &mut budget), expected);
    // Only a retry costs anything.
    assert_eq!(budget.saved(), if expected { 19.0 } else { 20.0 });
}

/// Everything fails: retries are what was saved and a share of the firsts.
#[rstest]
#[case::default(retry::RetryConfig::default(), 1_000, 119..=120)]
#[case::none(retry::RetryConfig { ratio: 0.0, burst: 5.0 }, 1_000, 5..=5)]
#[case::half(retry::RetryConfig { ratio: 0.5, burst: 1.0 }, 1_000, 499..=501)]
fn retries_stay_a_share(
    #[case] config: retry::RetryConfig,
    #[case] firsts: u32,
    #[case] expected: std::ops::RangeInclusive<usize>,
) {
    let mut budget = retry::RetryBudget::new(config);
    let spent = (0..firsts).filter(|_| {
        budget.earn();
        budget.spend()
    });
    let spent = spent.count();
    assert!(expected.contains(&spent), "{spent}");
}

#[test]
fn no_more_is_saved_than_the_burst() {
    let mut budget = retry::RetryBudget::new(retry::RetryConfig::default());
    (0..1_000).for_each(|_| budget.earn());
    assert_eq!((0..100).filter(|_| budget.spend()).count(), 20);
}
