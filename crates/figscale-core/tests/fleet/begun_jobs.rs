//! Which jobs count as begun, above all under the next leader: those of which a
//! worker has confirmed or reported a run, or the end of one.

use figscale_core::fleet::Action;
use figscale_core::fleet::RecordKey;
use figscale_types::fleet;
use figscale_types::fleet::End;
use figscale_types::fleet::JobState;

use crate::helpers;
use crate::helpers::TestCluster;

fn progress_record(cluster: &TestCluster) -> Option<Vec<u8>> {
    let key = RecordKey::Progress(helpers::job_id(1));
    cluster.store.get(&key).cloned()
}

/// Checks the state of job 1, which is the only one, and the count that goes with
/// it.
fn assert_state(cluster: &TestCluster, state: JobState) {
    assert_eq!(cluster.state(1), Some(state));
    let waiting = u64::from(state == JobState::Queued);
    assert_eq!(cluster.scheduler.pending("queue-1"), waiting);
}

/// A test cluster with one job whose only order was not answered and was lost
/// with its worker. The loss is recorded.
fn cluster_with_an_order_lost() -> TestCluster {
    let mut cluster = TestCluster::new(1);
    cluster.worker(0).reachable = false;
    cluster.run(1, &helpers::queue(1), vec![helpers::step(1, 1)]);
    cluster.crash(&helpers::worker_id(0));
    assert_eq!(cluster.starts(), 1);
    assert!(progress_record(&cluster).is_some());
    assert_state(&cluster, JobState::Queued);
    cluster
}

/// Guards against a job that the next leader shows as running, and does not count
/// as pending, because an order to a worker that crashed is on record.
#[test]
fn a_job_whose_order_was_lost_with_its_worker_is_pending_after_a_takeover() {
    let mut cluster = cluster_with_an_order_lost();
    for epoch in 2..4 {
        cluster.take_over(epoch);
        assert_state(&cluster, JobState::Queued);
        cluster.advance(500);
        assert_state(&cluster, JobState::Queued);
    }
}

/// Guards against a job that the next leader shows as running because a start was
/// announced whose order was lost with the last leader.
#[test]
fn a_job_whose_start_was_only_announced_is_pending_after_a_takeover() {
    let mut cluster = cluster_with_an_order_lost();
    let crashed = helpers::worker_id(0);
    cluster.scheduler.worker_replaced(&crashed, cluster.now);
    cluster.scheduler.worker_unlisted(&crashed, cluster.now);
    cluster.workers.swap_remove(&crashed);
    cluster.add_worker(1, 64);
    cluster.write();
    for epoch in 2..5 {
        cluster.take_over(epoch);
        assert_state(&cluster, JobState::Queued);
        advance_until_announced(&mut cluster);
        assert_state(&cluster, JobState::Queued);
    }
    assert_eq!(
        cluster.starts(),
        0,
        "the job is ordered to the second worker"
    );
}

/// Advances time until the progress record changes; no order may be sent before.
fn advance_until_announced(cluster: &mut TestCluster) {
    let before = progress_record(cluster);
    for _ in 0..100 {
        cluster.now += helpers::ms(100);
        cluster.scheduler.tick(cluster.now, cluster.wall_ms);
        cluster.report_all();
        cluster.scheduler.plan(cluster.now);
        let actions = cluster.scheduler.take_actions();
        let mut actions = actions.iter();
        assert!(!actions.any(|action| matches!(action, Action::Start { .. })));
        cluster.write();
        if progress_record(cluster) != before {
            return;
        }
    }
    panic!("no start is announced");
}

/// Guards against a job that the next leader shows as running because a loss was
/// recorded and retracted since.
#[test]
fn a_job_whose_loss_was_retracted_is_pending_after_a_takeover() {
    let mut cluster = TestCluster::new(1);
    cluster.worker(0).reachable = false;
    cluster.run(1, &helpers::queue(1), vec![helpers::step(1, 1)]);
    let id = helpers::worker_id(0);
    cluster.scheduler.worker_call_failed(&id, cluster.now);
    cluster.write();
    assert!(progress_record(&cluster).is_some());
    let task = helpers::task(1, 0, 0);
    let refused = fleet::StartOutcome::Refused(fleet::StartRefusal::Expired);
    cluster
        .scheduler
        .start_answered(&id, task, 1, refused, cluster.now);
    cluster.write();
    cluster.take_over(2);
    assert_state(&cluster, JobState::Queued);
}

/// Guards against a job with times that the next leader shows as running because
/// one of them is on record, though no worker was there to begin it.
#[test]
fn a_job_whose_occurrence_fell_due_is_pending_after_a_takeover() {
    let mut cluster = TestCluster::new(0);
    let description = fleet::JobDescription {
        occurrences: 2,
        first_due_ms: cluster.wall_ms + 500,
        interval_ms: 60_000,
        ..helpers::job(vec![helpers::step(1, 1)])
    };
    cluster.submit(1, &helpers::queue(1), description);
    cluster.advance(1_000);
    assert!(progress_record(&cluster).is_some());
    cluster.take_over(2);
    assert_state(&cluster, JobState::Queued);
}

/// Guards against a begun job that the next leader shows as queued although it is on
/// record that a run of it ended, or was lost after its start was confirmed.
#[test]
fn a_job_of_which_a_run_is_on_record_is_running_after_a_takeover() {
    for end in [Some(End::Done), Some(End::Failed), Some(End::Stopped), None] {
        let mut cluster = TestCluster::new(2);
        cluster.run(1, &helpers::queue(1), vec![helpers::step(2, 40)]);
        let task = helpers::task(1, 0, 0);
        let (host_worker, attempt) = cluster.placed(task)[0].clone();
        match end {
            Some(end) => {
                let worker = cluster.workers.get_mut(&host_worker).unwrap();
                worker.end(task, attempt, end);
                cluster.report(&host_worker);
                cluster.write();
            }
            None => cluster.crash(&host_worker),
        }
        for worker in cluster.workers.values_mut() {
            worker.reachable = false;
        }
        for epoch in 2..4 {
            cluster.take_over(epoch);
            assert_state(&cluster, JobState::Running);
            cluster.advance(500);
            cluster.write();
        }
    }
}

/// Guards against a record of an earlier version, which does not say whether its job
/// has begun, that is taken to say that it has not.
#[test]
fn the_ends_and_losses_in_an_earlier_version_of_the_record_count() {
    for end in [Some(End::Done), Some(End::Failed), None] {
        let mut cluster = TestCluster::new(2);
        cluster.run(1, &helpers::queue(1), vec![helpers::step(2, 40)]);
        let task = helpers::task(1, 0, 0);
        let host = cluster.host_worker(task).unwrap();
        match end {
            Some(end) => cluster.end(task, end),
            None => {
                cluster.crash(&host);
                drop_machine(&mut cluster, &host);
            }
        }
        drop_begun(&mut cluster);
        cluster.take_over(2);
        assert_state(&cluster, JobState::Running);
    }
    let mut cluster = cluster_with_an_order_lost();
    drop_machine(&mut cluster, &helpers::worker_id(0));
    drop_begun(&mut cluster);
    cluster.take_over(2);
    assert_state(&cluster, JobState::Queued);
}

/// Makes the progress record of job 1 one of a version that does not append the
/// machines of losses. There is one; in front of the name of its worker are four bytes:
/// the lengths of two lists, the attempt, and the length of the name.
fn drop_machine(cluster: &mut TestCluster, lost: &fleet::WorkerId) {
    let key = RecordKey::Progress(helpers::job_id(1));
    let bytes = cluster.store.get_mut(&key).unwrap();
    let name = lost.name().as_bytes();
    let position = bytes.windows(name.len()).rposition(|part| part == name);
    let begin = position.unwrap() - 4;
    let name_length = u8::try_from(name.len()).unwrap();
    assert_eq!(bytes[begin..begin + 4], [1, 1, 1, name_length]);
    bytes.truncate(begin);
}

/// Makes the progress record of job 1 one of a version that does not append whether
/// the job has begun, in the last byte.
fn drop_begun(cluster: &mut TestCluster) {
    let key = RecordKey::Progress(helpers::job_id(1));
    let bytes = cluster.store.get_mut(&key).unwrap();
    let begun = bytes.pop();
    assert!(matches!(begun, Some(0 | 1)), "{begun:?}");
}
