//! Leaders that lose contact with other instances.

use std::time;

use figscale_core::fleet;
use figscale_core::fleet::Isolation;
use rstest::rstest;

const LONG: time::Duration = time::Duration::from_secs(2);

/// Guards against a leader that goes on when most instances are out of its reach, or
/// gives up at once or for a minority.
#[rstest]
#[case::most(5, 2, true)]
#[case::half(4, 2, false)]
#[case::all(5, 0, true)]
#[case::the_only_one(1, 0, false)]
fn a_leader_gives_up_without_most_instances(
    #[case] members: usize,
    #[case] left: usize,
    #[case] expected: bool,
) {
    let now = time::Instant::now();
    let mut isolation = Isolation::default();
    assert!(!isolation.is_over(members, now));
    assert!(!isolation.is_over(left, now), "it waits for a while");
    assert_eq!(isolation.is_over(left, now + LONG), expected);
}

/// Guards against an instance that waits for others which cannot lead either.
#[rstest]
fn a_leader_that_gave_up_returns_while_nobody_leads() {
    let now = time::Instant::now();
    assert!(!fleet::may_return(None, now));
    assert!(!fleet::may_return(
        Some(now),
        now + time::Duration::from_millis(600)
    ));
    assert!(fleet::may_return(Some(now), now + LONG));
}
