//! Responses to callers: admission, job states, refusals.

use figscale_core::fleet::Admission;
use figscale_core::fleet::RecordKey;
use figscale_core::fleet::validation_error;
use figscale_types::fleet;
use figscale_types::fleet::End;
use figscale_types::fleet::JobState;
use figscale_types::fleet::StepDescription;
use rstest::rstest;

use crate::helpers;
use crate::helpers::TestCluster;

#[test]
fn a_job_starts_only_once_it_is_written() {
    let mut cluster = TestCluster::new(1);
    cluster.submit(
        1,
        &helpers::queue(1),
        helpers::job(vec![helpers::step(1, 1)]),
    );
    cluster.scheduler.plan(cluster.now);
    cluster.execute_actions();
    assert_eq!(cluster.starts(), 0);
    cluster.settle();
    assert_eq!(cluster.starts(), 1);
}

#[test]
fn a_repeated_id_does_not_create_a_second_job() {
    let mut cluster = TestCluster::new(1);
    cluster.run(1, &helpers::queue(1), vec![helpers::step(1, 1)]);
    let again = cluster.submit(
        1,
        &helpers::queue(1),
        helpers::job(vec![helpers::step(5, 1)]),
    );
    assert_eq!(again, Admission::Known);
    cluster.settle();
    assert_eq!(cluster.starts(), 1);
}

#[test]
fn job_states_follow_their_tasks() {
    let mut cluster = TestCluster::with_cores(1, 1);
    cluster.run(1, &helpers::queue(1), vec![helpers::step(1, 1)]);
    cluster.run(2, &helpers::queue(1), vec![helpers::step(1, 1)]);
    assert_eq!(cluster.state(1), Some(JobState::Running));
    assert_eq!(cluster.state(2), Some(JobState::Queued));
    assert_eq!(cluster.scheduler.pending("queue-1"), 1);
    cluster.end(helpers::task(1, 0, 0), End::Done);
    assert_eq!(cluster.state(1), Some(JobState::Completed));
    assert_eq!(cluster.state(2), Some(JobState::Running));
    assert_eq!(cluster.state(3), None);
}

#[test]
fn a_cancelled_job_stops_and_stays_cancelled() {
    let mut cluster = TestCluster::new(2);
    cluster.run(1, &helpers::queue(1), vec![helpers::step(4, 1)]);
    assert_eq!(
        cluster.scheduler.cancel(helpers::job_id(1), cluster.now),
        Some(JobState::Cancelled)
    );
    cluster.settle();
    assert_eq!(cluster.stops.len(), 4);
    assert_eq!(cluster.state(1), Some(JobState::Cancelled));
    cluster.take_over(2);
    cluster.settle();
    assert_eq!(cluster.state(1), Some(JobState::Cancelled));
}

#[test]
fn a_completed_job_is_not_cancelled() {
    let mut cluster = TestCluster::new(1);
    cluster.run(1, &helpers::queue(1), vec![helpers::step(1, 1)]);
    cluster.end(helpers::task(1, 0, 0), End::Done);
    assert_eq!(
        cluster.scheduler.cancel(helpers::job_id(1), cluster.now),
        Some(JobState::Completed)
    );
}

#[test]
fn work_that_cannot_end_in_time_is_refused_with_a_retry_time() {
    let mut cluster = TestCluster::with_cores(1, 8);
    for number in 0..20 {
        let admission = cluster.submit(
            number,
            &helpers::queue(1),
            helpers::job(vec![helpers::step(8, 8)]),
        );
        if let Admission::Refused { retry_after, .. } = admission {
            assert!(number > 0, "refused by an empty cluster");
            assert!(retry_after >= helpers::ms(1_000));
            assert_eq!(cluster.state(number), None);
            return;
        }
    }
    panic!("twenty times the capacity of the cluster was accepted");
}

#[test]
fn an_outcome_is_dropped_after_its_retention_time() {
    let mut cluster = TestCluster::new(1);
    cluster.run(1, &helpers::queue(1), vec![helpers::step(1, 1)]);
    cluster.end(helpers::task(1, 0, 0), End::Done);
    cluster.advance(140_000);
    assert_eq!(cluster.state(1), Some(JobState::Completed));
    cluster.advance(15_000);
    assert_eq!(cluster.state(1), None);
    assert!(
        !cluster
            .store
            .contains_key(&figscale_core::fleet::RecordKey::Job(helpers::job_id(1)))
    );
}

/// Guards against the outcome of a long job that is dropped as soon as it has ended, by
/// the leader that saw the end or the next one.
#[rstest]
#[case::same_leader(false)]
#[case::next_leader(true)]
fn the_outcome_of_a_long_job_is_kept_from_its_end(#[case] takes_over: bool) {
    let mut cluster = TestCluster::new(1);
    let step = helpers::with_estimate(helpers::step(1, 1), 300_000);
    cluster.run(1, &helpers::queue(1), vec![step]);
    cluster.advance(300_000);
    cluster.end(helpers::task(1, 0, 0), End::Done);
    if takes_over {
        cluster.take_over(2);
    }
    cluster.advance(140_000);
    assert_eq!(cluster.state(1), Some(JobState::Completed));
    cluster.advance(15_000);
    assert_eq!(cluster.state(1), None);
}

/// Guards against outcomes that are kept for ever behind jobs that stay open.
#[test]
fn outcomes_behind_open_jobs_are_dropped() {
    let mut cluster = TestCluster::new(1);
    let lasting = fleet::StepDescription {
        long_running: true,
        ..helpers::step(1, 1)
    };
    for number in 1..=20 {
        cluster.run(number, &helpers::queue(1), vec![lasting.clone()]);
    }
    for number in 101..=400 {
        cluster.run(number, &helpers::queue(1), vec![helpers::step(1, 1)]);
        cluster.end(helpers::task(number, 0, 0), End::Done);
    }
    cluster.advance(160_000);
    let known = |number: &u64| cluster.state(*number).is_some();
    assert_eq!((101..=400).filter(known).count(), 0);
    assert_eq!((1..=20).filter(known).count(), 20);
    let is_job = |key: &&RecordKey| matches!(key, RecordKey::Job(_));
    assert_eq!(cluster.store.keys().filter(is_job).count(), 20);
}

#[rstest]
#[case::no_steps(vec![], "0 steps")]
#[case::no_tasks(vec![helpers::step(0, 1)], "no tasks")]
#[case::depends_on_itself(vec![after(0)], "not before it")]
#[case::depends_on_a_missing_step(vec![helpers::step(1, 1), after(4)], "not before it")]
#[case::too_many_steps(vec![helpers::step(1, 1); 65], "65 steps")]
#[case::too_many_tasks(vec![helpers::step(u32::MAX, 1)], "4294967295 tasks")]
#[case::filler_step(vec![StepDescription { filler: true, ..helpers::step(1, 1) }], "not supported")]
fn an_invalid_job_is_refused_with_the_reason(
    #[case] steps: Vec<StepDescription>,
    #[case] why: &str,
) {
    let fault = validation_error(&helpers::job(steps)).unwrap();
    assert!(fault.contains(why), "{fault}");
}

#[test]
fn a_job_with_too_many_occurrences_is_refused() {
    let repeated = figscale_types::fleet::JobDescription {
        occurrences: u32::MAX,
        ..helpers::job(vec![helpers::step(1, 1)])
    };
    assert!(validation_error(&repeated).is_some());
    assert!(validation_error(&helpers::job(vec![helpers::step(60, 1), after(0)])).is_none());
}

fn after(step: u32) -> StepDescription {
    StepDescription {
        after: vec![step],
        ..helpers::step(1, 1)
    }
}

/// Guards against an end that a caller is told of and that is lost with the leader,
/// since it is not in the store and its worker has left.
#[rstest]
#[case::completed(End::Done, JobState::Completed)]
#[case::failed(End::Failed, JobState::Failed)]
fn an_end_is_told_once_it_is_in_the_store(#[case] end: End, #[case] state: JobState) {
    let mut cluster = TestCluster::new(1);
    let queue = fleet::Queue {
        max_attempts: 1,
        ..helpers::queue(1)
    };
    cluster.run(1, &queue, vec![helpers::step(1, 1)]);
    let id = helpers::job_id(1);
    cluster.store_available = false;
    cluster.end(helpers::task(1, 0, 0), end);
    assert!(cluster.scheduler.has_unwritten_end(id));
    let told = |cluster: &TestCluster| cluster.scheduler.durable_state(id);
    let viewed = |cluster: &TestCluster| cluster.scheduler.view(id).unwrap().state;
    assert_eq!(told(&cluster), Some(JobState::Running));
    assert_eq!(viewed(&cluster), JobState::Running);
    cluster.store_available = true;
    cluster.settle();
    assert_eq!(told(&cluster), Some(state));
    assert_eq!(viewed(&cluster), state);
    cluster.take_over(2);
    assert_eq!(told(&cluster), Some(state));
}

/// Guards against a write begun before the end of a job that is taken for the record
/// of its end.
#[test]
fn a_write_from_before_an_end_does_not_confirm_it() {
    let mut cluster = TestCluster::new(1);
    cluster.run(1, &helpers::queue(1), vec![helpers::step(2, 1)]);
    cluster.store_available = false;
    cluster.end(helpers::task(1, 0, 0), End::Done);
    let records = cluster.scheduler.take_records(helpers::MAX_RECORDS);
    assert!(records.jobs().contains(&helpers::job_id(1)));
    cluster.end(helpers::task(1, 0, 1), End::Done);
    cluster.scheduler.records_written(&records, 1);
    let told = |cluster: &TestCluster| cluster.scheduler.durable_state(helpers::job_id(1));
    assert_eq!(told(&cluster), Some(JobState::Running));
    cluster.write();
    assert_eq!(told(&cluster), Some(JobState::Completed));
}

/// Guards against a cancelled job that is told as cancelled before that is in the store.
#[test]
fn a_cancelled_job_is_told_as_cancelled_once_that_is_in_the_store() {
    let mut cluster = TestCluster::new(1);
    cluster.run(1, &helpers::queue(1), vec![helpers::step(1, 1)]);
    let id = helpers::job_id(1);
    cluster.scheduler.cancel(id, cluster.now);
    assert_eq!(cluster.scheduler.durable_state(id), Some(JobState::Running));
    cluster.write();
    let told = cluster.scheduler.durable_state(id);
    assert_eq!(told, Some(JobState::Cancelled));
}

/// Guards against a task that operators are shown as done and that runs again, since
/// its end is lost with the leader before it is in the store.
#[test]
fn a_task_is_shown_as_done_once_that_is_in_the_store() {
    let mut cluster = TestCluster::new(1);
    cluster.run(1, &helpers::queue(1), vec![helpers::step(3, 1)]);
    let shown = |cluster: &TestCluster| {
        let view = cluster.scheduler.view(helpers::job_id(1)).unwrap();
        let done = |task: &fleet::TaskView| task.progress == fleet::TaskProgress::Done;
        view.tasks.iter().map(done).collect::<Vec<bool>>()
    };
    cluster.store_available = false;
    cluster.end(helpers::task(1, 0, 0), End::Done);
    assert_eq!(shown(&cluster), [false, false, false]);
    let records = cluster.scheduler.take_records(helpers::MAX_RECORDS);
    assert_eq!(shown(&cluster), [false, false, false]);
    cluster.end(helpers::task(1, 0, 1), End::Done);
    cluster.scheduler.records_written(&records, 1);
    assert_eq!(shown(&cluster), [true, false, false]);
    cluster.write();
    assert_eq!(shown(&cluster), [true, true, false]);
    cluster.take_over(2);
    assert_eq!(shown(&cluster), [true, true, false]);
}
