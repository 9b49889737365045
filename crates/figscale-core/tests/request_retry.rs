//! Retries: which attempts may be retried, and the budget when all fail.

use std::time;

use figscale_core::request::retry;
use figscale_types::verdict::Verdict;
use rstest::rstest;

#[rstest]
#[case::not_run(Verdict::NotRun, false, 1, 100, true)]
#[case::may_have_run(Verdict::MayHaveRun, false, 1, 100, false)]
#[case::may_have_run_and_idempotent(Verdict::MayHaveRun, true, 1, 100, true)]
#[case::ran(Verdict::Ran, true, 1, 100, false)]
#[case::last_attempt(Verdict::NotRun, true, 2, 100, true)]
#[case::no_attempt_left(Verdict::NotRun, true, 3, 100, false)]
#[case::at_its_deadline(Verdict::NotRun, true, 1, 0, false)]
fn only_harmless_retries_are_allowed(
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
    // Only an allowed retry is charged to the budget.
    assert_eq!(budget.balance(), if expected { 19.0 } else { 20.0 });
}

/// When everything fails, retries are limited to the initial balance and a share
/// of the first attempts.
#[rstest]
#[case::default(retry::RetryConfig::default(), 1_000, 119..=120)]
#[case::none(retry::RetryConfig { ratio: 0.0, burst: 5.0 }, 1_000, 5..=5)]
#[case::half(retry::RetryConfig { ratio: 0.5, burst: 1.0 }, 1_000, 499..=501)]
fn retries_are_limited_to_a_share(
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
fn the_balance_is_limited_to_the_burst() {
    let mut budget = retry::RetryBudget::new(retry::RetryConfig::default());
    (0..1_000).for_each(|_| budget.earn());
    assert_eq!((0..100).filter(|_| budget.spend()).count(), 20);
}
