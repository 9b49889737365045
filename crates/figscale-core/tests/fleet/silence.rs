//! When peers hold a leader for lost.

use std::time;

use figscale_core::fleet::AnswerTimes;
use figscale_core::fleet::HELLO_PAUSE;
use figscale_core::fleet::HELLO_TIMEOUT;
use figscale_core::fleet::NotLeading;
use figscale_core::fleet::PeerView;
use figscale_core::fleet::SIGHTING_TIMEOUT;
use figscale_core::fleet::SILENCE;
use figscale_core::fleet::hello_pause;
use figscale_core::fleet::is_lost;
use figscale_core::fleet::member_silence;
use figscale_types::fleet::Epoch;
use rstest::rstest;

const MISSED: PeerView = PeerView::Heard(SILENCE);
const HEARD: PeerView = PeerView::Heard(time::Duration::from_millis(399));
const UNREACHABLE: PeerView = PeerView::Unreachable;
const UNKNOWN: PeerView = PeerView::Unknown;

#[rstest]
#[case::all_miss_it(&[MISSED, MISSED, MISSED], true)]
#[case::most_miss_it_and_nobody_hears_it(&[MISSED, MISSED, UNREACHABLE], true)]
#[case::one_still_hears_it(&[MISSED, MISSED, HEARD], false)]
#[case::this_instance_is_cut_off(&[UNREACHABLE, UNREACHABLE, UNREACHABLE], false)]
#[case::half_of_the_instances_are_cut_off(&[MISSED, UNREACHABLE, UNREACHABLE], false)]
#[case::the_others_have_just_started(&[UNKNOWN, UNKNOWN, MISSED], false)]
#[case::there_is_no_other(&[], false)]
#[case::the_only_other_misses_it(&[MISSED], true)]
fn a_leader_is_lost_once_most_peers_agree(#[case] peers: &[PeerView], #[case] lost: bool) {
    assert_eq!(is_lost(SILENCE, peers, SILENCE), lost);
}

#[test]
fn a_leader_that_responds_here_is_not_lost() {
    let heard = SILENCE - time::Duration::from_millis(1);
    assert!(!is_lost(heard, &[MISSED, MISSED, MISSED], SILENCE));
}

/// Seen: after all instances had lost power 542 terms followed each other, one
/// each 0.1 s, until the end of the day. How it came about: the first winner was
/// weak and took 1.1 s to read the store. What caused it: the time for which it
/// had said that it did not lead counted on for all winners after it. What
/// speaks for it: LEADER_ENDED within 0.2 s of each election, with no line of a
/// leader that fell silent, and this test, which fails without the epoch.
#[test]
fn each_election_winner_has_its_own_time_to_begin() {
    let begun = time::Instant::now();
    let at = |millis| begun + time::Duration::from_millis(millis);
    let mut not_leading = NotLeading::default();
    assert!(!not_leading.is_over(Epoch(2), at(0)));
    assert!(!not_leading.is_over(Epoch(2), at(2_500)));
    assert!(!not_leading.is_over(Epoch(3), at(2_600)));
    assert!(!not_leading.is_over(Epoch(3), at(5_100)));
    assert!(not_leading.is_over(Epoch(3), at(5_101)));
    not_leading.reset();
    assert!(!not_leading.is_over(Epoch(3), at(6_000)));
}

/// A leader loses its power as it answers a greeting. The next one is sent a
/// pause later and waits in vain, and its peers are asked at last.
#[test]
fn an_unresponsive_leader_is_detected_before_its_lease_ends() {
    let shortest_lease = time::Duration::from_millis(1_100);
    let missed = HELLO_PAUSE + HELLO_TIMEOUT;
    assert!(missed >= SILENCE, "a peer would say that it still hears it");
    assert!(missed + SIGHTING_TIMEOUT < time::Duration::from_millis(1_000));
    assert!(missed + SIGHTING_TIMEOUT < shortest_lease);
    let quick = AnswerTimes::default().allowed_silence();
    assert!(is_lost(missed, &[PeerView::Heard(missed); 2], quick));
}

/// Guards against a leader that has the more greetings to answer the more instances
/// there are: 300 of them sent 1,200 a second to a quarter of a core.
#[test]
fn heartbeats_of_many_instances_are_bounded() {
    let per_second = |instances: usize| instances as f64 / hello_pause(instances).as_secs_f64();
    assert_eq!(hello_pause(8), HELLO_PAUSE);
    assert_eq!(hello_pause(97), HELLO_PAUSE);
    for instances in [128, 300, 1_000, 3_000] {
        assert!(per_second(instances) <= 513.0, "{instances} instances");
        assert!(member_silence(instances) >= hello_pause(instances) * 4);
    }
}

/// Seen: a leader of 90 workers behind a link of 2 Mbit/s, and one of 540 workers
/// with an eighth of a core, were each given up some 9 s after traffic began, and
/// so was every leader after them: 11 to 14 terms, with nothing served between. How
/// it came about: more traffic than the leader bore, so that its answers came
/// later with each greeting. What caused it: 0.4 s without an answer counted as
/// silence for a leader that had just needed 0.3 s. What speaks for it: LEADER_SILENT
/// from all peers within 0.1 s of each other, and TERM_ENDED by Deposed and never
/// by a process that had ended.
#[test]
fn a_leader_that_becomes_slow_is_not_lost() {
    let mut times = AnswerTimes::default();
    for took in [50, 150, 300, 500, 700].map(time::Duration::from_millis) {
        let allowed = times.allowed_silence();
        let silent = HELLO_PAUSE + took;
        let peers = [PeerView::Heard(silent); 20];
        assert!(!is_lost(silent, &peers, allowed), "{took:?} {allowed:?}");
        times.note(took);
    }
}

/// Once it does not answer at all, also a slow leader is replaced.
#[test]
fn a_slow_leader_without_power_is_replaced() {
    let mut times = AnswerTimes::default();
    times.note(time::Duration::from_secs(10));
    let silent = time::Duration::from_secs(3);
    let peers = [PeerView::Heard(silent); 20];
    assert!(is_lost(silent, &peers, times.allowed_silence()));
}
