//! Proof of leadership, and the leases and orders that it bounds.

use std::time;

use figscale_core::fleet::LeadershipProof;
use figscale_core::fleet::MAX_TIME_WITHOUT_STORE;
use figscale_core::fleet::Predecessors;
use figscale_types::ids;
use rstest::rstest;

use crate::helpers;
use crate::helpers::TestCluster;

const ELECTED: time::Duration = time::Duration::from_secs(100);
const LEASE_MS: u64 = 4_500;

fn member(number: usize) -> ids::MemberId {
    format!("entry-{number}").parse().unwrap()
}

fn at_ms(ms: u64) -> time::Duration {
    ELECTED + helpers::ms(ms)
}

/// Guards against a proof by a minority of the instances.
#[rstest]
#[case::two_of_six(5, 2, 0)]
#[case::three_others_of_six(5, 3, 4_000)]
#[case::two_others_of_five(4, 2, 4_000)]
#[case::one_other_of_five(4, 1, 0)]
#[case::the_other_of_two(1, 1, 4_000)]
#[case::neither_of_two(1, 0, 0)]
fn a_majority_proves_leadership(
    #[case] others: usize,
    #[case] stamped: usize,
    #[case] proven_ms: u64,
) {
    let mut proof = LeadershipProof::new(ELECTED);
    for number in 0..stamped {
        proof.record_stamp(&member(number), at_ms(4_000 + number as u64));
    }
    proof.count_stamps(others);
    assert_eq!(proof.proven_at(at_ms(5_000)), at_ms(proven_ms));
}

/// Guards against a leader that goes on for longer without the store than its successor
/// allows for.
#[test]
fn instances_prove_leadership_for_a_limited_time() {
    let mut proof = LeadershipProof::new(ELECTED);
    proof.record_stamp(&member(0), at_ms(40_000));
    let limit = ELECTED + MAX_TIME_WITHOUT_STORE;
    for others in [0, 2] {
        proof.count_stamps(others);
        assert_eq!(proof.proven_at(at_ms(40_000)), limit);
    }
    proof.record_store_call(at_ms(39_000));
    assert_eq!(proof.proven_at(at_ms(40_000)), at_ms(40_000));
}

/// Guards against a leader that examines the stamps of all instances after each message:
/// they count once for each batch of heartbeats.
#[test]
fn stamps_count_once_for_a_batch_of_heartbeats() {
    const INSTANCES: usize = 1_000;
    let mut proof = LeadershipProof::new(ELECTED);
    for number in 0..INSTANCES {
        proof.record_stamp(&member(number), at_ms(1_000 + number as u64));
        assert_eq!(proof.proven_at(at_ms(5_000)), ELECTED);
    }
    proof.count_stamps(INSTANCES);
    assert_eq!(proof.proven_at(at_ms(5_000)), at_ms(1_500));
}

/// Guards against stamps that are kept for each instance that was ever there, and against
/// ones of instances that have long left.
#[test]
fn stamps_of_instances_that_left_are_dropped() {
    let mut proof = LeadershipProof::new(ELECTED);
    for number in 0..3 {
        proof.record_stamp(&member(number), at_ms(1_000));
    }
    let late_ms = 1_001 + MAX_TIME_WITHOUT_STORE.as_millis() as u64;
    proof.record_store_call(at_ms(500));
    proof.record_stamp(&member(3), at_ms(late_ms));
    proof.count_stamps(4);
    assert_eq!(proof.proven_at(at_ms(late_ms)), at_ms(500));
}

/// Guards against a successor that rules out its predecessor while that may have a
/// majority.
#[rstest]
#[case::two_of_six(6, &[1], true)]
#[case::three_of_six(6, &[1, 2], false)]
#[case::only_one_of_two(2, &[], true)]
#[case::unknown_number(1, &[1, 2], true)]
#[case::the_predecessor_itself(6, &[9], false)]
fn a_predecessor_is_ruled_out_by_half_of_the_instances(
    #[case] instances: usize,
    #[case] followers: &[usize],
    #[case] may_lead: bool,
) {
    let own = member(0);
    let mut predecessors = Predecessors::new(Some(member(9)), true, &own, instances, ELECTED);
    for number in followers {
        predecessors.record_follower(&member(*number), true);
    }
    assert_eq!(predecessors.may_lead(at_ms(100)), may_lead);
    assert!(!predecessors.may_lead(ELECTED + MAX_TIME_WITHOUT_STORE));
}

/// Guards against a successor that waits although no other leader may be left.
#[test]
fn an_earlier_term_of_its_own_is_over() {
    let own = member(0);
    assert!(!Predecessors::new(Some(own.clone()), true, &own, 6, ELECTED).may_lead(ELECTED));
    assert!(!Predecessors::new(None, true, &own, 6, ELECTED).may_lead(ELECTED));
}

/// Guards against a leader that forgets, with a restart or an announced end, that its
/// predecessor had not ruled out an earlier leader.
#[test]
fn a_wait_that_was_not_over_is_inherited() {
    let own = member(0);
    for last in [Some(own.clone()), None] {
        let mut predecessors = Predecessors::new(last, false, &own, 3, ELECTED);
        assert!(predecessors.may_lead(at_ms(100)));
        predecessors.record_follower(&member(1), true);
        assert!(!predecessors.may_lead(at_ms(100)));
    }
}

/// Guards against new instances that are counted in place of those that may follow the
/// predecessor.
#[test]
fn instances_that_were_not_there_rule_nobody_out() {
    let own = member(0);
    let mut predecessors = Predecessors::new(Some(member(9)), true, &own, 3, ELECTED);
    predecessors.record_follower(&member(4), false);
    assert!(predecessors.may_lead(at_ms(100)));
    predecessors.record_follower(&member(9), false);
    assert!(!predecessors.may_lead(at_ms(100)));
}

/// Guards against a leader that extends leases after a pause, although another one may
/// have been elected in it.
#[test]
fn a_lease_is_counted_from_the_last_proof() {
    let mut cluster = TestCluster::new(1);
    cluster.run(1, &helpers::queue(1), vec![helpers::step(1, 1)]);
    let id = helpers::worker_id(0);
    cluster.scheduler.set_proven(cluster.now);
    let proven_clock_ms = cluster.clock_ms();
    for _ in 0..4 {
        cluster.advance(1_000);
        let due = cluster.scheduler.report_due(&id).unwrap();
        let until_ms = due.lease_until_clock_ms.unwrap();
        assert!(until_ms <= proven_clock_ms + LEASE_MS, "{until_ms}");
    }
}

/// Guards against orders of a leader that cannot prove that it leads.
#[test]
fn nothing_is_started_long_after_the_last_proof() {
    let mut cluster = TestCluster::new(2);
    cluster.scheduler.set_proven(cluster.now);
    cluster.advance(4_000);
    cluster.run(1, &helpers::queue(1), vec![helpers::step(2, 1)]);
    cluster.advance(500);
    assert_eq!(cluster.starts(), 0);
    cluster.scheduler.set_proven(cluster.now);
    cluster.advance(500);
    assert_eq!(cluster.starts(), 2);
}

/// Guards against a former leader that takes a worker's lease to be over, which its
/// successor extends, and starts the worker's tasks elsewhere.
#[test]
fn runs_are_given_up_only_with_a_later_proof() {
    let mut cluster = TestCluster::new(2);
    cluster.run(1, &helpers::queue(1), vec![helpers::step(1, 1)]);
    let (host, _) = cluster.placed(helpers::task(1, 0, 0))[0].clone();
    cluster.workers.get_mut(&host).unwrap().reachable = false;
    cluster.advance(2_000);
    cluster.scheduler.set_proven(cluster.now);
    cluster.advance(2_900);
    assert_eq!(cluster.starts(), 1);
    cluster.advance(1_500);
    assert_eq!(cluster.starts(), 1);
    cluster.scheduler.set_proven(cluster.now);
    cluster.advance(500);
    assert_eq!(cluster.starts(), 2);
}

/// Guards against a successor that stops to wait while its predecessor may still extend
/// leases.
#[test]
fn recovery_goes_on_while_the_predecessor_may_lead() {
    let mut cluster = TestCluster::new(3);
    cluster.run(1, &helpers::queue(1), vec![helpers::step(1, 1)]);
    let (host, _) = cluster.placed(helpers::task(1, 0, 0))[0].clone();
    cluster.workers.get_mut(&host).unwrap().reachable = false;
    cluster.take_over(2);
    cluster.advance(3_000);
    cluster.scheduler.extend_recovery(cluster.now);
    cluster.advance(5_000);
    assert_eq!(cluster.starts(), 1);
    cluster.advance(500);
    assert_eq!(cluster.starts(), 2);
}

/// Guards against a successor that was paused at the end of its wait, and takes runs for
/// ended that a later leader keeps running.
#[test]
fn recovery_completes_only_with_a_later_proof() {
    let mut cluster = TestCluster::new(3);
    cluster.run(1, &helpers::queue(1), vec![helpers::step(1, 1)]);
    let (host, _) = cluster.placed(helpers::task(1, 0, 0))[0].clone();
    cluster.workers.get_mut(&host).unwrap().reachable = false;
    cluster.take_over(2);
    cluster.advance(3_000);
    cluster.scheduler.set_proven(cluster.now);
    cluster.advance(2_600);
    assert_eq!(cluster.starts(), 1);
    cluster.scheduler.set_proven(cluster.now);
    cluster.advance(500);
    assert_eq!(cluster.starts(), 2);
}

/// Guards against a wait that is shorter than what a former leader may grant, with both
/// clocks 2 % off: the former leader extends the lease at the last moment for which it has
/// a proof, and its worker's clock is slow.
#[rstest]
#[case::all_clocks_right(1_000, 1_000)]
#[case::a_slow_worker(980, 1_000)]
#[case::a_slow_worker_and_a_fast_successor(980, 1_020)]
#[case::a_fast_worker_and_a_slow_successor(1_020, 980)]
fn the_wait_of_the_successor_covers_the_last_lease(
    #[case] worker_permille: u64,
    #[case] successor_permille: u64,
) {
    let mut former = TestCluster::new(1);
    former.run(1, &helpers::queue(1), vec![helpers::step(1, 1)]);
    former.scheduler.set_proven(former.now);
    let proven_clock_ms = former.clock_ms();
    former.advance(2_900);
    let due = former.scheduler.report_due(&helpers::worker_id(0)).unwrap();
    let lease_ms = due.lease_until_clock_ms.unwrap() - proven_clock_ms;
    let stop_limit_ms = 400;
    let over_ms = (lease_ms + stop_limit_ms) * 1_000 / worker_permille;

    let mut successor = TestCluster::new(3);
    successor.run(1, &helpers::queue(1), vec![helpers::step(1, 1)]);
    let (host, _) = successor.placed(helpers::task(1, 0, 0))[0].clone();
    successor.workers.get_mut(&host).unwrap().reachable = false;
    successor.take_over(2);
    successor.advance(over_ms * successor_permille / 1_000);
    assert_eq!(successor.starts(), 1, "the lease lasts for {over_ms} ms");
    successor.advance(1_000);
    assert_eq!(successor.starts(), 2);
}
