//! Unequal instances: a few with half a core, many with an eighth.

use std::time;

use figscale_core::fleet::HELLO_PAUSE;
use figscale_core::fleet::Sight;
use figscale_core::fleet::is_clearly_stronger;
use figscale_core::fleet::may_be_led;
use figscale_core::fleet::standing_delay;
use rstest::rstest;

const LARGE: u64 = 500;
const SMALL: u64 = 120;

#[rstest]
#[case::equals_stand_at_once(LARGE, LARGE, false)]
#[case::nearly_equals_too(450, LARGE, false)]
#[case::the_only_kind_there_is(SMALL, SMALL, false)]
#[case::weaker_ones_let_others_go_first(SMALL, LARGE, true)]
#[case::nobody_else_is_known(SMALL, 0, false)]
fn the_strongest_stand_first(#[case] own: u64, #[case] strongest: u64, #[case] waits: bool) {
    assert_eq!(standing_delay(own, strongest).is_zero(), !waits);
}

#[rstest]
#[case::a_large_one_comes(LARGE, SMALL, true)]
#[case::one_like_itself_comes(SMALL, SMALL, false)]
#[case::one_that_is_little_larger_comes(600, LARGE, false)]
#[case::one_that_cannot_lead_comes(0, 0, false)]
fn a_weak_leader_hands_over(#[case] other: u64, #[case] own: u64, #[case] hands_over: bool) {
    assert_eq!(is_clearly_stronger(other, own), hands_over);
}

/// Seen: 8 % of a day's requests failed. How it came about: a leader was killed,
/// and one of an eighth of a core led next, for three seconds, beside two of half
/// a core. What caused it: each finds out by its own next greeting, the strong
/// ones 0.18 s and 0.24 s after the weak one, which stood 0.15 s late.
#[test]
fn a_strong_instance_that_finds_out_last_still_stands_first() {
    let finds_out = HELLO_PAUSE;
    let spread = time::Duration::from_millis(40);
    let election = time::Duration::from_millis(60);
    assert!(standing_delay(SMALL, LARGE) >= finds_out + spread + election);
}

/// The pattern: the store is away for 4 s and leases run out meanwhile, while
/// instances are restarted in turn.
#[rstest]
#[case::the_leader_answers(Some(100), true, true, true)]
#[case::the_leader_is_silent(Some(900), true, true, false)]
#[case::started_during_an_outage(None, false, true, true)]
#[case::all_started_anew(None, false, false, false)]
#[case::the_leader_never_answered(None, true, true, false)]
fn a_leader_may_be_there_without_its_key(
    #[case] answered_ms_ago: Option<u64>,
    #[case] knows_leader: bool,
    #[case] store_was_away: bool,
    #[case] expected: bool,
) {
    let sight = Sight {
        answered_ago: answered_ms_ago.map(time::Duration::from_millis),
        knows_leader,
        store_was_away,
    };
    assert_eq!(may_be_led(sight), expected);
}
