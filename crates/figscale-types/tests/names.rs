//! Parsing and formatting of names, ids, sizes and rates.

use figscale_types::ids;
use figscale_types::sizes;
use figscale_types::verdict;
use rstest::rstest;

#[rstest]
#[case("hullrate", true)]
#[case("runner/hullrate/fd-a/rack-1", true)]
#[case("", false)]
#[case("Upper", false)]
#[case("two words", false)]
#[case("new\nline", false)]
fn invalid_names_are_rejected(#[case] text: &str, #[case] legal: bool) {
    assert_eq!(text.parse::<ids::ShardId>().is_ok(), legal);
}

#[rstest]
#[case("job-1:0", true)]
#[case("job-1", false)]
#[case("job-1:-1", false)]
fn invalid_task_ids_are_rejected(#[case] text: &str, #[case] legal: bool) {
    let parsed = text.parse::<ids::TaskId>();
    assert_eq!(parsed.is_ok(), legal);
    if let Ok(task) = parsed {
        assert_eq!(task.to_string(), text);
    }
}

#[rstest]
#[case("4096MiB", 4096 << 20)]
#[case("17B", 17)]
fn sizes_round_trip(#[case] text: &str, #[case] bytes: u64) {
    let size: sizes::Bytes = text.parse().expect("a legal size");
    assert_eq!(size.0, bytes);
    assert_eq!(size.to_string(), text);
}

#[rstest]
#[case("-1/s")]
#[case("NaN/s")]
#[case("5")]
fn invalid_rates_are_rejected(#[case] text: &str) {
    assert!(text.parse::<sizes::RatePerSecond>().is_err());
}

#[test]
fn a_verdict_never_returns_to_not_run() {
    use verdict::Verdict::MayHaveRun;
    use verdict::Verdict::NotRun;
    assert_eq!(NotRun.and(MayHaveRun), MayHaveRun);
    assert_eq!(MayHaveRun.and(NotRun), MayHaveRun);
}
