//! Choice of a worker's relay while relays seem slow because the leader itself
//! is late.

use figscale_core::fleet::Carrier;
use figscale_core::fleet::choose_carrier;

const NEAR: Carrier = Carrier {
    near: true,
    set_aside: false,
    hash: 7,
};

/// Guards against a late leader that takes its relays for slow and calls all
/// workers directly, which makes it later still. A fleet of 300 instances and
/// 3,000 workers never recovered from this after the store had been unavailable
/// for 3 s.
#[test]
fn workers_of_a_slow_relay_use_the_next_relay() {
    let slow = Carrier {
        set_aside: true,
        hash: 9,
        ..NEAR
    };
    let far = Carrier {
        near: false,
        hash: 8,
        ..NEAR
    };
    assert_eq!(choose_carrier([far, NEAR, slow]), Some(1));
    assert_eq!(choose_carrier([slow, far]), Some(1));
    assert_eq!(choose_carrier([slow, Carrier { hash: 5, ..slow }]), Some(0));
    assert_eq!(choose_carrier([]), None);
}

/// Guards against workers that all change their relay when one relay joins or
/// leaves.
#[test]
fn a_worker_keeps_its_relay_while_others_come_and_go() {
    let with = |hash| Carrier { hash, ..NEAR };
    assert_eq!(choose_carrier([with(3), with(9), with(4)]), Some(1));
    assert_eq!(choose_carrier([with(9), with(4)]), Some(0));
}
