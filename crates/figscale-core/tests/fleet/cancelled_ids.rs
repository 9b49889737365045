//! Cancels of jobs that are not known: their submission may still arrive.

use figscale_core::fleet::Admission;
use figscale_core::fleet::IdCancel;
use figscale_core::fleet::RecordKey;
use figscale_types::fleet;
use figscale_types::fleet::JobState;
use rstest::rstest;

use crate::helpers;
use crate::helpers::TestCluster;

/// Retention of an id, and of the batch that it shares with later ones.
const RETENTION_MS: u64 = 165_000;

fn name(text: &str) -> fleet::CustomerName {
    text.parse().unwrap()
}

/// Cancels a job as a caller does: the job if it is known, or else its id.
fn cancel(cluster: &mut TestCluster, number: u64, customer: Option<&str>) -> IdCancel {
    let id = helpers::job_id(number);
    match cluster.scheduler.cancel(id, cluster.now) {
        Some(_) => IdCancel::Recorded,
        None => {
            let customer = customer.map(name);
            cluster.scheduler.cancel_id(id, customer, cluster.wall_ms)
        }
    }
}

fn submit(cluster: &mut TestCluster, number: u64, customer: Option<&str>) -> Admission {
    let customer = customer.map(name);
    let (id, now, wall_ms) = (helpers::job_id(number), cluster.now, cluster.wall_ms);
    let job = helpers::job(vec![helpers::step(1, 1)]);
    let queue = helpers::queue(1);
    cluster
        .scheduler
        .submit_for(customer, id, &queue, job, now, wall_ms)
}

/// Lets these customers run without limits.
fn allow(cluster: &mut TestCluster, names: &[&str]) {
    let mut customers = fleet::Customers::default();
    for customer in names {
        let terms = fleet::CustomerTerms {
            weight_millis: 1_000,
            limit: fleet::Room {
                cpu_millis: u64::MAX,
                memory_mb: u64::MAX,
                accelerators: u64::MAX,
            },
        };
        customers.add(name(customer), terms, []).unwrap();
    }
    cluster.scheduler.set_customers(Some(&customers));
}

fn is_acknowledged(cluster: &TestCluster, number: u64) -> bool {
    let id = helpers::job_id(number);
    cluster.scheduler.is_cancelled_id(id, None)
}

fn batches(cluster: &TestCluster) -> usize {
    let keys = cluster.store.keys();
    keys.filter(|key| matches!(key, RecordKey::CancelledIds(_)))
        .count()
}

/// Guards against a job that runs although its cancel was acknowledged: its submission
/// was delayed and arrives after the cancel, at the same leader or a later one.
#[rstest]
#[case::same_leader(false)]
#[case::next_leader(true)]
fn a_submission_after_its_cancel_is_rejected(#[case] takes_over: bool) {
    let mut cluster = TestCluster::new(1);
    assert_eq!(cancel(&mut cluster, 1, None), IdCancel::Recorded);
    assert!(!is_acknowledged(&cluster, 1));
    cluster.settle();
    assert!(is_acknowledged(&cluster, 1));
    if takes_over {
        cluster.take_over(2);
        assert!(is_acknowledged(&cluster, 1));
    }
    assert_eq!(submit(&mut cluster, 1, None), Admission::Cancelled);
    cluster.advance(5_000);
    assert_eq!(cluster.starts(), 0);
    assert_eq!(cluster.state(1), None);
}

/// Guards against a cancel that is acknowledged while the store is away, and so lost
/// with the leader.
#[test]
fn a_cancel_is_acknowledged_once_it_is_in_the_store() {
    let mut cluster = TestCluster::new(1);
    cluster.store_available = false;
    cancel(&mut cluster, 1, None);
    cluster.advance(1_000);
    assert!(!is_acknowledged(&cluster, 1));
    assert_eq!(submit(&mut cluster, 1, None), Admission::Cancelled);
    let records = cluster.scheduler.take_records(helpers::MAX_RECORDS);
    cluster.scheduler.records_not_written(&records);
    assert!(!is_acknowledged(&cluster, 1));
    assert!(cluster.scheduler.has_urgent_records());
    cluster.store_available = true;
    cluster.settle();
    assert!(is_acknowledged(&cluster, 1));
    cluster.take_over(2);
    assert_eq!(submit(&mut cluster, 1, None), Admission::Cancelled);
}

/// Guards against a cancelled job that runs when it is submitted again, after the
/// write of its first submission had failed and it was dropped with its cancel.
#[test]
fn a_job_whose_record_was_not_written_stays_cancelled() {
    let mut cluster = TestCluster::new(1);
    assert_eq!(submit(&mut cluster, 1, None), Admission::Accepted);
    let records = cluster.scheduler.take_records(helpers::MAX_RECORDS);
    let state = cluster.scheduler.cancel(helpers::job_id(1), cluster.now);
    assert_eq!(state, Some(JobState::Cancelled));
    cluster.scheduler.records_not_written(&records);
    assert!(!is_acknowledged(&cluster, 1));
    assert_eq!(submit(&mut cluster, 1, None), Admission::Cancelled);
    cluster.settle();
    assert!(is_acknowledged(&cluster, 1));
    assert_eq!(submit(&mut cluster, 1, None), Admission::Cancelled);
    assert_eq!(cluster.starts(), 0);
}

/// Guards against a customer that keeps another's job from running by cancelling its id.
#[test]
fn a_cancel_does_not_concern_a_job_of_another_customer() {
    let mut cluster = TestCluster::new(1);
    allow(&mut cluster, &["a", "b"]);
    cancel(&mut cluster, 1, Some("a"));
    cluster.settle();
    assert_eq!(submit(&mut cluster, 1, Some("a")), Admission::Cancelled);
    assert_eq!(submit(&mut cluster, 1, Some("b")), Admission::Accepted);
    cluster.settle();
    assert_eq!(cluster.starts(), 1);
    assert_eq!(submit(&mut cluster, 1, Some("a")), Admission::IdTaken);
}

/// Guards against ids that are forgotten too soon, or kept for ever.
#[rstest]
#[case::same_leader(false)]
#[case::next_leader(true)]
fn an_id_is_kept_for_as_long_as_an_outcome(#[case] takes_over: bool) {
    let mut cluster = TestCluster::new(1);
    cancel(&mut cluster, 1, None);
    cluster.advance(149_000);
    if takes_over {
        cluster.take_over(2);
    }
    assert_eq!(submit(&mut cluster, 1, None), Admission::Cancelled);
    cluster.advance(RETENTION_MS - 149_000);
    assert_eq!(batches(&cluster), 0);
    assert_eq!(submit(&mut cluster, 1, None), Admission::Accepted);
}

/// Guards against a flood of cancels that fills the leader's memory and the store, and
/// against new jobs and other customers that are locked out by it.
#[test]
fn a_flood_of_cancels_is_bounded() {
    let mut cluster = TestCluster::new(1);
    allow(&mut cluster, &["a", "b"]);
    let refused = (1..=5_000)
        .map(|number| cancel(&mut cluster, number, Some("a")))
        .find(|answer| *answer != IdCancel::Recorded);
    assert!(matches!(refused, Some(IdCancel::Refused(_))));
    assert_eq!(submit(&mut cluster, 9_001, Some("a")), Admission::Accepted);
    assert_eq!(cancel(&mut cluster, 9_002, Some("b")), IdCancel::Recorded);
    for number in 10_000..50_000 {
        cancel(&mut cluster, number, None);
    }
    let counts = cluster.scheduler.counts(cluster.now);
    assert_eq!(counts.cancelled_ids, 16_384);
    cluster.settle();
    assert_eq!(cluster.starts(), 1);
    assert!(batches(&cluster) <= 65, "{}", batches(&cluster));
    let bytes: usize = cluster.store.values().map(Vec::len).sum();
    assert!(bytes < 400_000, "{bytes} bytes");
    cluster.advance(RETENTION_MS);
    assert_eq!(batches(&cluster), 0);
    assert_eq!(cluster.scheduler.counts(cluster.now).cancelled_ids, 0);
}

/// Guards against a refused cancel whose retry, at the time that was given, is refused
/// again.
#[test]
fn a_refused_cancel_is_taken_after_the_given_time() {
    let mut cluster = TestCluster::new(1);
    let mut answer = IdCancel::Recorded;
    for number in 1..=2_049 {
        answer = cancel(&mut cluster, number, Some("a"));
        if number == 1 {
            cluster.settle();
        }
    }
    let IdCancel::Refused(wait) = answer else {
        panic!("{answer:?}");
    };
    cluster.settle();
    cluster.advance(u64::try_from(wait.as_millis()).unwrap() + 1_000);
    assert_eq!(cancel(&mut cluster, 9_999, Some("a")), IdCancel::Recorded);
}

/// Guards against a record of cancelled ids that loses some of them: a batch grows in
/// writes that may fail, and is begun anew after a while.
#[test]
fn no_id_is_lost_between_writes() {
    let mut cluster = TestCluster::new(1);
    let mut random = helpers::Random(7);
    for number in 1..=800 {
        cancel(&mut cluster, number, None);
        match random.next() {
            chance if chance < 0.3 => {
                let records = cluster.scheduler.take_records(helpers::MAX_RECORDS);
                cluster.scheduler.records_not_written(&records);
            }
            chance if chance < 0.6 => cluster.settle(),
            chance if chance < 0.65 => cluster.advance(600),
            _ => (),
        }
    }
    cluster.settle();
    cluster.take_over(2);
    let lost: Vec<u64> = (1..=800)
        .filter(|number| !is_acknowledged(&cluster, *number))
        .collect();
    assert!(lost.is_empty(), "{lost:?}");
}
