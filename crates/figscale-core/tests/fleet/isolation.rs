//! Leaders that lose contact with other instances.

use std::time;

use figscale_core::fleet;
use figscale_core::fleet::Isolation;
use rstest::rstest;

const LONG: time::Duration = time::Duration::from_secs(2);

/// Whether a leader of `members` others gives up after so many of them have gone, each
/// with whether it could lead when it was last heard of.
fn gives_up(members: usize, gone: &[bool]) -> bool {
    let now = time::Instant::now();
    let mut isolation = Isolation::default();
    assert!(!isolation.is_over(members, now));
    for could_lead in gone {
        isolation.member_left(*could_lead);
    }
    let left = members - gone.len();
    assert!(!isolation.is_over(left, now), "it waits for a while");
    isolation.is_over(left, now + LONG)
}

/// Guards against a leader that gives up because most instances were removed as planned.
#[rstest]
#[case::most_cut_off(5, &[true, true, true], true)]
#[case::half_cut_off(4, &[true, true], false)]
#[case::all_removed(5, &[false; 5], false)]
#[case::most_removed(5, &[false; 3], false)]
#[case::some_removed_and_most_of_the_rest_cut_off(5, &[false, false, true, true], true)]
#[case::the_only_one_cut_off(1, &[true], false)]
fn a_leader_gives_up_for_instances_that_could_lead(
    #[case] members: usize,
    #[case] gone: &[bool],
    #[case] expected: bool,
) {
    assert_eq!(gives_up(members, gone), expected);
}

/// Guards against a leader that counts an instance as removed after its return.
#[rstest]
fn an_instance_that_returns_counts_again() {
    let now = time::Instant::now();
    let mut isolation = Isolation::default();
    assert!(!isolation.is_over(3, now));
    isolation.member_left(false);
    assert!(!isolation.is_over(2, now));
    assert!(!isolation.is_over(3, now));
    for _ in 0..2 {
        isolation.member_left(true);
    }
    assert!(!isolation.is_over(1, now));
    assert!(isolation.is_over(1, now + LONG));
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
