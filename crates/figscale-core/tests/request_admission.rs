//! Admission: limits of owners, and the retry times of refused callers.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::time;

use figscale_core::request::admission;
use figscale_core::request::admission::Reason;
use figscale_types::catalogue;
use rand::SeedableRng as _;
use rand::rngs;
use rstest::rstest;

const CATALOGUE: &str = r#"{
    "owners": {
        "desk": {},
        "brokers": { "rate_per_s": 10.0 },
        "harbour": { "concurrency": 5 },
        "slow": { "rate_per_s": 0.5 }
    },
    "entries": {
        "quote": { "owner": "desk", "policy": { "requests": { "service": "hullrate", "urgency": "deadline" } } },
        "closed": { "owner": "desk", "callers": ["brokers"],
            "policy": { "requests": { "service": "hullrate", "urgency": "deadline" } } },
        "fleet": { "owner": "desk", "policy": { "tasks": { "class": "batch", "urgency": "deadline" } } }
    }
}"#;

fn catalogue() -> catalogue::Catalogue {
    serde_json::from_str(CATALOGUE).unwrap()
}

fn admit_request(
    admission: &mut admission::Admission,
    entry: &str,
    owner: &str,
    parts: u32,
    now: time::Instant,
) -> Result<(), Reason> {
    let entry = entry.parse().unwrap();
    let owner = owner.parse().unwrap();
    let entered = admission.admit_request(&catalogue(), &entry, &owner, parts, now);
    entered.map(drop)
}

fn admission() -> admission::Admission {
    admission::Admission::new(admission::AdmissionConfig::default())
}

#[rstest]
#[case::anybody("quote", "brokers", Ok(()))]
#[case::named("closed", "brokers", Ok(()))]
#[case::its_owner("closed", "desk", Ok(()))]
#[case::not_named("closed", "harbour", Err(Reason::OwnerNotAllowed))]
#[case::no_entry("nothing", "desk", Err(Reason::UnknownEntry))]
#[case::no_owner("quote", "nobody", Err(Reason::UnknownOwner))]
#[case::for_jobs("fleet", "desk", Err(Reason::NotForRequests))]
fn only_permitted_owners_are_admitted(
    #[case] entry: &str,
    #[case] owner: &str,
    #[case] expected: Result<(), Reason>,
) {
    let now = time::Instant::now();
    assert_eq!(
        admit_request(&mut admission(), entry, owner, 1, now),
        expected
    );
}

/// Number of requests admitted at once and in the ten seconds after, with 50
/// requests each second.
#[rstest]
#[case::alone("brokers", 1, 10, 100)]
#[case::one_of_two("brokers", 2, 5, 50)]
#[case::below_one_a_second("slow", 1, 1, 5)]
fn the_rate_limit_is_divided_among_entry_instances(
    #[case] owner: &str,
    #[case] parts: u32,
    #[case] at_once: usize,
    #[case] later: usize,
) {
    let start = time::Instant::now();
    let mut admission = admission();
    let mut admitted_of_50 = |now| {
        let admitted =
            (0..50).filter(|_| admit_request(&mut admission, "quote", owner, parts, now).is_ok());
        admitted.count()
    };
    assert_eq!(admitted_of_50(start), at_once);
    let seconds = (1..=10).map(time::Duration::from_secs);
    assert_eq!(
        seconds
            .map(|passed| admitted_of_50(start + passed))
            .sum::<usize>(),
        later
    );
}

/// After an hour without requests no more than the burst is admitted at once.
#[test]
fn idle_time_accumulates_at_most_one_second_of_the_rate() {
    let start = time::Instant::now();
    let mut admission = admission();
    admit_request(&mut admission, "quote", "brokers", 1, start).unwrap();
    let later = start + time::Duration::from_secs(3_600);
    let admitted =
        (0..50).filter(|_| admit_request(&mut admission, "quote", "brokers", 1, later).is_ok());
    assert_eq!(admitted.count(), 10);
}

#[rstest]
#[case::alone(1, 5)]
#[case::rounded_up(2, 3)]
#[case::more_parts_than_requests(9, 1)]
fn requests_in_progress_are_limited(#[case] parts: u32, #[case] expected: usize) {
    let now = time::Instant::now();
    let mut admission = admission();
    let ask = |admission: &mut admission::Admission| {
        admit_request(admission, "quote", "harbour", parts, now)
    };
    for _ in 0..expected {
        assert_eq!(ask(&mut admission), Ok(()));
    }
    assert_eq!(ask(&mut admission), Err(Reason::OverConcurrency));
    admission.release_request(&"harbour".parse().unwrap());
    assert_eq!(ask(&mut admission), Ok(()));
    assert_eq!(ask(&mut admission), Err(Reason::OverConcurrency));
}

/// Refused callers do not retry together, however long the backlog is.
#[rstest]
#[case::none(0, 1_000, 3_000)]
#[case::short(4_000, 4_000, 12_000)]
#[case::long(20_000, 10_000, 30_000)]
#[case::above_the_longest_retry_time(600_000, 10_000, 30_000)]
fn retry_times_are_spread(#[case] backlog_ms: u64, #[case] least_ms: u128, #[case] most_ms: u128) {
    let mut rng = rngs::StdRng::seed_from_u64(1);
    let admission = admission();
    let backlog = time::Duration::from_millis(backlog_ms);
    let mut times: Vec<_> = (0..100)
        .map(|_| admission.retry_after(backlog, &mut rng).as_millis())
        .collect();
    times.sort_unstable();
    assert!(times[0] >= least_ms && times[99] <= most_ms, "{times:?}");
    // The middle half of the times covers more than a third of the range.
    assert!(
        times[75] - times[25] > (most_ms - least_ms) / 3,
        "{times:?}"
    );
    times.dedup();
    assert!(times.len() > 80, "{times:?}");
}
