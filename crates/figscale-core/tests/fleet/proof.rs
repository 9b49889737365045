//! Proofs that a configuration is still in force: keys taken away while an
//! instance cannot hear of it.

use std::time;

use figscale_core::fleet::ConfigProof;
use figscale_core::fleet::ProofStamp;
use figscale_core::fleet::Told;

use crate::kit::ms;

const BOUND: Option<time::Duration> = Some(time::Duration::from_millis(5_000));

/// Guards against an instance cut from the store that serves a revoked key.
#[test]
fn a_proof_expires_while_the_store_is_unavailable() {
    let mut proof = ConfigProof::default();
    assert!(!proof.holds(BOUND, ms(0)), "nothing was ever read");
    proof.read(7, ms(1_000));
    assert!(proof.holds(BOUND, ms(5_600)));
    assert!(
        !proof.holds(BOUND, ms(6_000)),
        "the bound itself is too late"
    );
    assert!(proof.holds(None, ms(600_000)), "no bound is set");
}

/// Guards against a silent watch, or one that brings old news, that is taken for a
/// proof: the store may have moved on unheard.
#[test]
fn a_watch_event_does_not_extend_a_proof() {
    let mut proof = ConfigProof::default();
    proof.read(7, ms(1_000));
    proof.seen(8);
    assert_eq!(proof.revision(), 8);
    assert!(!proof.holds(BOUND, ms(6_000)));
}

/// Guards against an answer that was long on its way: it counts from its question.
#[test]
fn a_late_response_is_dated_by_its_request() {
    let mut proof = ConfigProof::default();
    proof.read(7, ms(1_000));
    proof.read(7, ms(500));
    assert_eq!(
        proof.age(ms(1_500)),
        Some(ms(500)),
        "an older one adds nothing"
    );
}

/// Guards against a leader cut off that goes on confirming what it knows.
#[test]
fn a_forwarded_proof_keeps_its_age() {
    let mut leader = ConfigProof::default();
    leader.read(7, ms(100_000));
    let stamp = leader.stamp(ms(103_000)).unwrap();
    let mut entry = ConfigProof::default();
    entry.read(7, ms(10_000));
    assert_eq!(entry.told(stamp, ms(20_000)), Told::Confirmed);
    assert!(entry.holds(BOUND, ms(21_600)), "3 s old when it was told");
    assert!(!entry.holds(BOUND, ms(22_000)));
}

/// Guards against a revoked key at an instance whose leader knows of the change
/// already: a stamp of a newer revision confirms nothing here.
#[test]
fn a_stamp_of_a_newer_revision_requires_a_read() {
    let mut entry = ConfigProof::default();
    entry.read(7, ms(10_000));
    let newer = ProofStamp {
        revision: 8,
        age_ms: 0,
    };
    assert_eq!(entry.told(newer, ms(16_000)), Told::Outdated);
    assert!(!entry.holds(BOUND, ms(16_000)));
    let older = ProofStamp {
        revision: 6,
        age_ms: 0,
    };
    assert_eq!(entry.told(older, ms(16_000)), Told::Confirmed);
    assert!(entry.holds(BOUND, ms(16_000)), "what is known includes it");
}
