//! The stand-in worker implements the protocol, and its ledger and record report
//! every violation.

use std::sync;
use std::time;

use figscale_standin::client;
use figscale_standin::worker;
use figscale_types::clock;
use figscale_types::ids;
use figscale_types::sizes;
use figscale_types::worker as protocol;
use figscale_types::worker::StartAnswer;
use figscale_types::worker::StartRefusal;
use figscale_types::worker::TaskPhase;
use rstest::rstest;

const TEST_TIMEOUT: time::Duration = time::Duration::from_secs(30);
const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(100);

struct Fixture {
    clock: sync::Arc<clock::ManualClock>,
    ledger: worker::TaskLedger,
    workers: Vec<worker::Handle>,
    client: client::Client,
}

/// Two workers of eight cores each, on one clock and with one ledger.
async fn fixture() -> Fixture {
    let clock = sync::Arc::new(clock::ManualClock::default());
    let ledger = worker::TaskLedger::default();
    let mut workers = Vec::new();
    for name in ["worker-1", "worker-2"] {
        let config = worker::Config {
            id: name.parse().expect("legal"),
            capacity: size(8),
            clock: clock.clone(),
            ledger: ledger.clone(),
            ..worker::Config::default()
        };
        workers.push(worker::start(config).await.expect("it listens"));
    }
    Fixture {
        clock,
        ledger,
        workers,
        client: client::Client::default(),
    }
}

fn size(cores: u64) -> sizes::Resources {
    sizes::Resources {
        cpu_millis: sizes::CpuMillis(cores * 1_000),
        memory_bytes: sizes::Bytes(cores * sizes::MIB),
        accelerators: 0,
    }
}

fn task(index: u32) -> ids::TaskId {
    format!("job-1:{index}").parse().expect("legal")
}

fn start(index: u32, attempt: u32, epoch: u64, cores: u64) -> protocol::StartTask {
    protocol::StartTask {
        task: task(index),
        attempt,
        epoch: ids::Epoch(epoch),
        home_epoch: ids::Epoch(1),
        lease_ms: 1_000,
        resources: size(cores),
        max_run_ms: 60_000,
        run_ms: 10_000,
        command: String::new(),
        resume: false,
        not_after: None,
    }
}

impl Fixture {
    async fn call(
        &self,
        worker: usize,
        path: &str,
        body: &impl serde::Serialize,
    ) -> client::Answer {
        let call = client::Call::post(self.workers[worker].address(), path);
        let call = call.json(body).expect("JSON");
        let answer = self.client.send_within(TEST_TIMEOUT, call).await;
        answer.expect("a complete response")
    }

    async fn start(&self, worker: usize, request: &protocol::StartTask) -> StartAnswer {
        let answer = self.call(worker, "/v1/tasks", request).await;
        answer.json().expect("an answer")
    }

    async fn renew(&self, worker: usize, epoch: u64, index: u32) -> protocol::WorkerReport {
        let request = protocol::Renew {
            epoch: ids::Epoch(epoch),
            lease_ms: 1_000,
            tasks: vec![task(index)],
            forget: Vec::new(),
            not_after: None,
        };
        let answer = self.call(worker, "/v1/renew", &request).await;
        answer.json().expect("a report")
    }

    async fn act(&self, action: protocol::TaskAction) -> protocol::WorkerReport {
        let request = protocol::ActOnTask {
            epoch: ids::Epoch(1),
            task: task(0),
            action,
        };
        let answer = self.call(0, "/v1/act", &request).await;
        answer.json().expect("a report")
    }

    fn phase(&self, worker: usize) -> TaskPhase {
        self.workers[worker].report().tasks[0].phase
    }

    fn advance_ms(&self, ms: u64) {
        self.clock.advance(time::Duration::from_millis(ms));
    }
}

#[tokio::test]
async fn a_task_runs_to_its_end_while_its_lease_is_renewed() {
    let fixture = fixture().await;
    assert_eq!(
        fixture.start(0, &start(0, 1, 1, 4)).await,
        StartAnswer::Started
    );
    for _ in 0..10 {
        fixture.advance_ms(900);
        let report = fixture.renew(0, 1, 0).await;
        assert_eq!(report.tasks[0].phase, TaskPhase::Running);
    }
    fixture.advance_ms(999);
    assert_eq!(fixture.phase(0), TaskPhase::Running);
    fixture.advance_ms(1);
    assert_eq!(fixture.phase(0), TaskPhase::Lapsed);
}

#[rstest]
#[case::done("run=0.05", TaskPhase::Done)]
#[case::failed("run=0.05 fail=true", TaskPhase::Failed)]
#[case::lapsed("", TaskPhase::Lapsed)]
#[tokio::test]
async fn a_task_ends_as_its_command_specifies(#[case] command: &str, #[case] phase: TaskPhase) {
    let fixture = fixture().await;
    let request = protocol::StartTask {
        command: command.to_owned(),
        ..start(0, 1, 1, 4)
    };
    fixture.start(0, &request).await;
    fixture.advance_ms(5_000);
    assert_eq!(fixture.phase(0), phase);
}

#[tokio::test]
async fn a_task_is_stopped_at_its_run_time_limit() {
    let fixture = fixture().await;
    let request = protocol::StartTask {
        max_run_ms: 500,
        ..start(0, 1, 1, 4)
    };
    fixture.start(0, &request).await;
    fixture.advance_ms(500);
    assert_eq!(fixture.phase(0), TaskPhase::Failed);
}

#[tokio::test]
async fn a_retried_start_is_known_and_another_attempt_refused() {
    let fixture = fixture().await;
    fixture.start(0, &start(0, 1, 1, 4)).await;
    assert_eq!(
        fixture.start(0, &start(0, 1, 1, 4)).await,
        StartAnswer::Known
    );
    let other = fixture.start(0, &start(0, 2, 1, 4)).await;
    assert_eq!(other, StartAnswer::Refused(StartRefusal::RunsAlready));
    fixture.advance_ms(2_000);
    assert_eq!(
        fixture.start(0, &start(0, 1, 1, 4)).await,
        StartAnswer::Known
    );
    assert_eq!(
        fixture.start(0, &start(0, 2, 1, 4)).await,
        StartAnswer::Started
    );
    assert_eq!(fixture.ledger.starts(&task(0)), 2);
}

#[tokio::test]
async fn a_lower_epoch_is_refused_by_every_call_and_counted() {
    let fixture = fixture().await;
    fixture.start(0, &start(0, 1, 5, 4)).await;
    let late = fixture.start(0, &start(1, 1, 4, 1)).await;
    assert_eq!(late, StartAnswer::Refused(StartRefusal::StaleEpoch));
    fixture.advance_ms(900);
    assert!(fixture.renew(0, 4, 0).await.stale);
    assert!(fixture.act(protocol::TaskAction::Stop).await.stale);
    assert_eq!(fixture.phase(0), TaskPhase::Running);
    fixture.advance_ms(100);
    assert_eq!(fixture.phase(0), TaskPhase::Lapsed);
    assert_eq!(fixture.workers[0].record().stale_calls, 3);
}

#[tokio::test]
async fn a_start_over_capacity_is_refused_and_counted() {
    let fixture = fixture().await;
    fixture.start(0, &start(0, 1, 1, 5)).await;
    let second = fixture.start(0, &start(1, 1, 1, 4)).await;
    assert_eq!(second, StartAnswer::Refused(StartRefusal::Full));
    let record = fixture.workers[0].record();
    assert_eq!((record.over_capacity, record.starts), (1, 1));
    assert_eq!(record.most_reserved, size(5));
}

#[tokio::test]
async fn an_ended_attempt_does_not_bypass_capacity_or_leaving() {
    let fixture = fixture().await;
    fixture.start(0, &start(0, 1, 1, 1)).await;
    fixture.advance_ms(2_000);
    let large = fixture.start(0, &start(0, 2, 1, 9)).await;
    assert_eq!(large, StartAnswer::Refused(StartRefusal::Full));
    fixture.workers[0].change_faults(|faults| faults.leaving = true);
    let leaving = fixture.start(0, &start(0, 2, 1, 1)).await;
    assert_eq!(leaving, StartAnswer::Refused(StartRefusal::Leaving));
}

#[tokio::test]
async fn a_task_on_two_workers_is_reported() {
    let fixture = fixture().await;
    fixture.start(0, &start(0, 1, 1, 4)).await;
    fixture.start(1, &start(0, 2, 1, 4)).await;
    assert!(matches!(
        &fixture.ledger.violations()[..],
        [worker::Violation::TwoPlaces { first, second, .. }]
            if first.as_str() == "worker-1" && second.as_str() == "worker-2"
    ));
}

#[rstest]
#[case::just_before(999, 1)]
#[case::at_the_expiry(1_000, 0)]
#[tokio::test]
async fn a_run_counts_until_exactly_the_expiry_of_its_lease(
    #[case] advance_ms: u64,
    #[case] violations: usize,
) {
    let fixture = fixture().await;
    fixture.start(0, &start(0, 1, 1, 4)).await;
    fixture.workers[0].change_faults(|faults| faults.cut_off = true);
    fixture.advance_ms(advance_ms);
    fixture.start(1, &start(0, 2, 1, 4)).await;
    assert_eq!(fixture.ledger.violations().len(), violations);
}

#[rstest]
#[case::within_its_lease(500, TaskPhase::Running, 1)]
#[case::past_its_lease(1_500, TaskPhase::Lapsed, 0)]
#[tokio::test]
async fn a_frozen_worker_resumes_only_within_its_lease(
    #[case] frozen_ms: u64,
    #[case] phase: TaskPhase,
    #[case] violations: usize,
) {
    let fixture = fixture().await;
    fixture.start(0, &start(0, 1, 1, 4)).await;
    fixture.workers[0].change_faults(|faults| faults.freeze = true);
    fixture.advance_ms(frozen_ms);
    fixture.start(1, &start(0, 2, 1, 4)).await;
    assert!(fixture.ledger.violations().is_empty());
    fixture.workers[0].change_faults(|faults| faults.freeze = false);
    assert_eq!(fixture.phase(0), phase);
    assert_eq!(fixture.ledger.violations().len(), violations);
}

#[tokio::test]
async fn a_late_tick_of_a_worker_is_not_reported_as_a_violation() {
    let mut fixture = fixture().await;
    // The first worker keeps the old clock, which no longer advances, so that it does
    // not notice the expiry.
    fixture.clock = sync::Arc::new(clock::ManualClock::default());
    let config = worker::Config {
        id: "worker-3".parse().unwrap(),
        clock: fixture.clock.clone(),
        ledger: fixture.ledger.clone(),
        ..worker::Config::default()
    };
    fixture.workers.push(worker::start(config).await.unwrap());
    fixture.start(0, &start(0, 1, 1, 4)).await;
    fixture.advance_ms(1_000);
    assert_eq!(fixture.phase(0), TaskPhase::Running);
    fixture.start(2, &start(0, 2, 1, 4)).await;
    assert!(fixture.ledger.violations().is_empty());
}

#[tokio::test]
async fn a_frozen_worker_makes_no_progress() {
    let fixture = fixture().await;
    let request = protocol::StartTask {
        run_ms: 500,
        lease_ms: 60_000,
        ..start(0, 1, 1, 4)
    };
    fixture.start(0, &request).await;
    fixture.workers[0].change_faults(|faults| faults.freeze = true);
    fixture.advance_ms(600);
    fixture.workers[0].change_faults(|faults| faults.freeze = false);
    assert_eq!(fixture.phase(0), TaskPhase::Running);
    fixture.advance_ms(500);
    assert_eq!(fixture.phase(0), TaskPhase::Done);
}

#[rstest]
#[case::cut_off(|f: &mut worker::Faults| f.cut_off = true, 0)]
#[case::frozen(|f: &mut worker::Faults| f.freeze = true, 0)]
#[case::lost_answer(|f: &mut worker::Faults| f.lose_next_starts = 1, 1)]
#[tokio::test]
async fn a_call_without_a_response_takes_effect_only_if_the_response_is_lost(
    #[case] fault: fn(&mut worker::Faults),
    #[case] starts: u32,
) {
    let fixture = fixture().await;
    fixture.workers[0].change_faults(fault);
    let call = client::Call::post(fixture.workers[0].address(), "/v1/tasks");
    let call = call.json(&start(0, 1, 1, 4)).unwrap();
    assert!(
        fixture
            .client
            .send_within(CALL_TIMEOUT, call)
            .await
            .is_err()
    );
    assert_eq!(fixture.ledger.starts(&task(0)), starts);
}

#[tokio::test]
async fn overuse_is_counted_reported_with_lag_and_ended_by_a_throttle() {
    let fixture = fixture().await;
    let request = protocol::StartTask {
        command: "use=10".to_owned(),
        ..start(0, 1, 1, 1)
    };
    fixture.start(0, &request).await;
    let used = || fixture.workers[0].report().tasks[0].used;
    assert_eq!(used(), sizes::Resources::default());
    assert_eq!(fixture.workers[0].record().overused, 1);
    fixture.advance_ms(500);
    assert_eq!(used(), size(10));
    fixture.act(protocol::TaskAction::Throttle).await;
    assert_eq!(used(), size(1));
}

#[tokio::test]
async fn a_task_resumes_from_its_checkpoint() {
    let fixture = fixture().await;
    let first = protocol::StartTask {
        lease_ms: 60_000,
        ..start(0, 1, 1, 4)
    };
    fixture.start(0, &first).await;
    fixture.advance_ms(6_000);
    let report = fixture.act(protocol::TaskAction::Checkpoint).await;
    assert_eq!(report.tasks[0].phase, TaskPhase::Checkpointed);
    let second = protocol::StartTask {
        attempt: 2,
        resume: true,
        ..first
    };
    fixture.start(1, &second).await;
    fixture.advance_ms(3_999);
    assert_eq!(fixture.phase(1), TaskPhase::Running);
    fixture.advance_ms(1);
    assert_eq!(fixture.phase(1), TaskPhase::Done);
    assert!(fixture.ledger.violations().is_empty());
}

#[tokio::test]
async fn a_worker_can_fail_every_task() {
    let fixture = fixture().await;
    fixture.workers[0].change_faults(|faults| faults.fail_everything = true);
    fixture.start(0, &start(0, 1, 1, 4)).await;
    assert_eq!(fixture.phase(0), TaskPhase::Failed);
}

#[tokio::test]
async fn an_ended_task_is_forgotten_only_on_command() {
    let fixture = fixture().await;
    fixture.start(0, &start(0, 1, 1, 4)).await;
    fixture.advance_ms(2_000);
    let request = protocol::Renew {
        epoch: ids::Epoch(1),
        lease_ms: 1_000,
        tasks: Vec::new(),
        forget: vec![task(0)],
        not_after: None,
    };
    assert_eq!(fixture.workers[0].report().tasks.len(), 1);
    let answer = fixture.call(0, "/v1/renew", &request).await;
    assert!(
        answer
            .json::<protocol::WorkerReport>()
            .unwrap()
            .tasks
            .is_empty()
    );
}

/// Computes the latest time at which a start may be received from the current
/// reading of the worker's clock.
type NotAfter = fn(protocol::WorkerClock) -> protocol::WorkerClock;

fn soon(clock: protocol::WorkerClock) -> protocol::WorkerClock {
    let elapsed_ms = clock.elapsed_ms + 100;
    protocol::WorkerClock {
        elapsed_ms,
        ..clock
    }
}

fn of_another_incarnation(clock: protocol::WorkerClock) -> protocol::WorkerClock {
    let life = clock.life.wrapping_add(1);
    protocol::WorkerClock {
        life,
        ..soon(clock)
    }
}

#[rstest]
#[case::in_time(soon, 100, true)]
#[case::late(soon, 101, false)]
#[case::of_another_incarnation(of_another_incarnation, 100, false)]
#[tokio::test]
async fn a_late_start_or_renewal_has_no_effect(
    #[case] not_after: NotAfter,
    #[case] advance_ms: u64,
    #[case] accepted: bool,
) {
    let fixture = fixture().await;
    fixture.start(0, &start(0, 1, 1, 1)).await;
    let not_after = Some(not_after(fixture.workers[0].report().clock));
    fixture.advance_ms(advance_ms);
    let request = protocol::StartTask {
        not_after,
        ..start(1, 1, 1, 1)
    };
    let refused = StartAnswer::Refused(StartRefusal::Late);
    let answer = fixture.start(0, &request).await;
    assert_eq!(
        answer,
        if accepted {
            StartAnswer::Started
        } else {
            refused
        }
    );

    let renewal = protocol::Renew {
        epoch: ids::Epoch(1),
        lease_ms: 1_000,
        tasks: vec![task(0)],
        forget: Vec::new(),
        not_after,
    };
    fixture.call(0, "/v1/renew", &renewal).await;
    fixture.advance_ms(950);
    let renewed = fixture.phase(0) == TaskPhase::Running;
    assert_eq!(renewed, accepted);
    let late = if accepted { 0 } else { 2 };
    assert_eq!(fixture.workers[0].record().late_calls, late);
}
