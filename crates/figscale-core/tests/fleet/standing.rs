//! Unequal instances: a few with half a core, many with an eighth.

use figscale_core::fleet::is_clearly_stronger;
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
