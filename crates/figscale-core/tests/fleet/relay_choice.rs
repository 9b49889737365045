//! Choice of a worker's relay while relays seem slow because the leader itself
//! is late.

use figscale_core::fleet::RelayCandidate;
use figscale_core::fleet::choose_relay;

const NEAR: RelayCandidate = RelayCandidate {
    in_failure_domain: true,
    ejected: false,
    hash: 7,
};

/// Guards against a late leader that takes its relays for slow and calls all
/// workers directly, which makes it later still. A fleet of 300 instances and
/// 3,000 workers never recovered from this after the store had been unavailable
/// for 3 s.
#[test]
fn workers_of_a_slow_relay_use_the_next_relay() {
    let slow = RelayCandidate {
        ejected: true,
        hash: 9,
        ..NEAR
    };
    let far = RelayCandidate {
        in_failure_domain: false,
        hash: 8,
        ..NEAR
    };
    assert_eq!(choose_relay([far, NEAR, slow]), Some(1));
    assert_eq!(choose_relay([slow, far]), Some(1));
    assert_eq!(
        choose_relay([slow, RelayCandidate { hash: 5, ..slow }]),
        Some(0)
    );
    assert_eq!(choose_relay([]), None);
}

/// Guards against workers that all change their relay when one relay joins or
/// leaves.
#[test]
fn a_worker_keeps_its_relay_while_others_come_and_go() {
    let with = |hash| RelayCandidate { hash, ..NEAR };
    assert_eq!(choose_relay([with(3), with(9), with(4)]), Some(1));
    assert_eq!(choose_relay([with(9), with(4)]), Some(0));
}
