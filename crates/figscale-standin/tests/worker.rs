//! The stand-in worker keeps the protocol, and its judges catch every broken
//! promise.

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

const LONG: time::Duration = time::Duration::from_secs(30);
const SHORT: time::Duration = time::Duration::from_millis(100);

struct Bench {
    clock: sync::Arc<clock::ManualClock>,
    ledger: worker::TaskLedger,
    workers: Vec<worker::Handle>,
    client: client::Client,
}

/// Two workers of eight cores each, on one clock and with one ledger.
async fn bench() -> Bench {
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
    Bench {
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

impl Bench {
    async fn call(
        &self,
        worker: usize,
        path: &str,
        body: &impl serde::Serialize,
    ) -> client::Answer {
        let call = client::Call::post(self.workers[worker].address(), path);
        let call = call.json(body).expect("JSON");
        let answer = self.client.send_within(LONG, call).await;
        answer.expect("a whole answer")
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

    fn pass_ms(&self, ms: u64) {
        self.clock.advance(time::Duration::from_millis(ms));
    }
}

#[tokio::test]
async fn a_task_runs_to_its_end_while_its_lease_is_renewed() {
    let bench = bench().await;
    assert_eq!(
        bench.start(0, &start(0, 1, 1, 4)).await,
        StartAnswer::Started
    );
    for _ in 0..10 {
        bench.pass_ms(900);
        let report = bench.renew(0, 1, 0).await;
        assert_eq!(report.tasks[0].phase, TaskPhase::Running);
    }
    bench.pass_ms(999);
    assert_eq!(bench.phase(0), TaskPhase::Running);
    bench.pass_ms(1);
    assert_eq!(bench.phase(0), TaskPhase::Lapsed);
}

#[rstest]
#[case::done("run=0.05", TaskPhase::Done)]
#[case::failed("run=0.05 fail=true", TaskPhase::Failed)]
#[case::lapsed("", TaskPhase::Lapsed)]
#[tokio::test]
async fn a_task_ends_as_its_command_says(#[case] command: &str, #[case] phase: TaskPhase) {
    let bench = bench().await;
    let request = protocol::StartTask {
        command: command.to_owned(),
        ..start(0, 1, 1, 4)
    };
    bench.start(0, &request).await;
    bench.pass_ms(5_000);
    assert_eq!(bench.phase(0), phase);
}

#[tokio::test]
async fn a_task_is_stopped_at_its_longest_run() {
    let bench = bench().await;
    let request = protocol::StartTask {
        max_run_ms: 500,
        ..start(0, 1, 1, 4)
    };
    bench.start(0, &request).await;
    bench.pass_ms(500);
    assert_eq!(bench.phase(0), TaskPhase::Failed);
}

#[tokio::test]
async fn a_repeated_start_is_known_and_another_attempt_refused() {
    let bench = bench().await;
    bench.start(0, &start(0, 1, 1, 4)).await;
    assert_eq!(bench.start(0, &start(0, 1, 1, 4)).await, StartAnswer::Known);
    let other = bench.start(0, &start(0, 2, 1, 4)).await;
    assert_eq!(other, StartAnswer::Refused(StartRefusal::RunsAlready));
    bench.pass_ms(2_000);
    assert_eq!(bench.start(0, &start(0, 1, 1, 4)).await, StartAnswer::Known);
    assert_eq!(
        bench.start(0, &start(0, 2, 1, 4)).await,
        StartAnswer::Started
    );
    assert_eq!(bench.ledger.starts(&task(0)), 2);
}

#[tokio::test]
async fn a_lower_epoch_is_refused_everywhere_and_judged() {
    let bench = bench().await;
    bench.start(0, &start(0, 1, 5, 4)).await;
    let late = bench.start(0, &start(1, 1, 4, 1)).await;
    assert_eq!(late, StartAnswer::Refused(StartRefusal::StaleEpoch));
    bench.pass_ms(900);
    assert!(bench.renew(0, 4, 0).await.stale);
    assert!(bench.act(protocol::TaskAction::Stop).await.stale);
    assert_eq!(bench.phase(0), TaskPhase::Running);
    bench.pass_ms(100);
    assert_eq!(bench.phase(0), TaskPhase::Lapsed);
    assert_eq!(bench.workers[0].record().stale_calls, 3);
}

#[tokio::test]
async fn a_start_over_capacity_is_refused_and_judged() {
    let bench = bench().await;
    bench.start(0, &start(0, 1, 1, 5)).await;
    let second = bench.start(0, &start(1, 1, 1, 4)).await;
    assert_eq!(second, StartAnswer::Refused(StartRefusal::Full));
    let record = bench.workers[0].record();
    assert_eq!((record.over_capacity, record.starts), (1, 1));
    assert_eq!(record.most_reserved, size(5));
}

#[tokio::test]
async fn an_ended_attempt_opens_no_way_round_capacity_or_leaving() {
    let bench = bench().await;
    bench.start(0, &start(0, 1, 1, 1)).await;
    bench.pass_ms(2_000);
    let large = bench.start(0, &start(0, 2, 1, 9)).await;
    assert_eq!(large, StartAnswer::Refused(StartRefusal::Full));
    bench.workers[0].change_faults(|faults| faults.leaving = true);
    let leaving = bench.start(0, &start(0, 2, 1, 1)).await;
    assert_eq!(leaving, StartAnswer::Refused(StartRefusal::Leaving));
}

#[tokio::test]
async fn a_task_in_two_places_is_judged() {
    let bench = bench().await;
    bench.start(0, &start(0, 1, 1, 4)).await;
    bench.start(1, &start(0, 2, 1, 4)).await;
    assert!(matches!(
        &bench.ledger.violations()[..],
        [worker::Violation::TwoPlaces { first, second, .. }]
            if first.as_str() == "worker-1" && second.as_str() == "worker-2"
    ));
}

#[rstest]
#[case::just_before(999, 1)]
#[case::at_the_lapse(1_000, 0)]
#[tokio::test]
async fn a_lapsed_lease_is_the_line_between_two_places_and_one(
    #[case] pass_ms: u64,
    #[case] violations: usize,
) {
    let bench = bench().await;
    bench.start(0, &start(0, 1, 1, 4)).await;
    bench.workers[0].change_faults(|faults| faults.cut_off = true);
    bench.pass_ms(pass_ms);
    bench.start(1, &start(0, 2, 1, 4)).await;
    assert_eq!(bench.ledger.violations().len(), violations);
}

#[rstest]
#[case::within_its_lease(500, TaskPhase::Running, 1)]
#[case::past_its_lease(1_500, TaskPhase::Lapsed, 0)]
#[tokio::test]
async fn a_frozen_worker_goes_on_only_within_its_lease(
    #[case] frozen_ms: u64,
    #[case] phase: TaskPhase,
    #[case] violations: usize,
) {
    let bench = bench().await;
    bench.start(0, &start(0, 1, 1, 4)).await;
    bench.workers[0].change_faults(|faults| faults.freeze = true);
    bench.pass_ms(frozen_ms);
    bench.start(1, &start(0, 2, 1, 4)).await;
    assert!(bench.ledger.violations().is_empty());
    bench.workers[0].change_faults(|faults| faults.freeze = false);
    assert_eq!(bench.phase(0), phase);
    assert_eq!(bench.ledger.violations().len(), violations);
}

#[tokio::test]
async fn a_late_tick_of_a_worker_is_not_taken_for_two_places() {
    let mut bench = bench().await;
    // The first worker's clock stands, so that it does not notice the lapse.
    bench.clock = sync::Arc::new(clock::ManualClock::default());
    let config = worker::Config {
        id: "worker-3".parse().unwrap(),
        clock: bench.clock.clone(),
        ledger: bench.ledger.clone(),
        ..worker::Config::default()
    };
    bench.workers.push(worker::start(config).await.unwrap());
    bench.start(0, &start(0, 1, 1, 4)).await;
    bench.pass_ms(1_000);
    assert_eq!(bench.phase(0), TaskPhase::Running);
    bench.start(2, &start(0, 2, 1, 4)).await;
    assert!(bench.ledger.violations().is_empty());
}

#[tokio::test]
async fn a_frozen_worker_works_on_nothing() {
    let bench = bench().await;
    let request = protocol::StartTask {
        run_ms: 500,
        lease_ms: 60_000,
        ..start(0, 1, 1, 4)
    };
    bench.start(0, &request).await;
    bench.workers[0].change_faults(|faults| faults.freeze = true);
    bench.pass_ms(600);
    bench.workers[0].change_faults(|faults| faults.freeze = false);
    assert_eq!(bench.phase(0), TaskPhase::Running);
    bench.pass_ms(500);
    assert_eq!(bench.phase(0), TaskPhase::Done);
}

#[rstest]
#[case::cut_off(|f: &mut worker::Faults| f.cut_off = true, 0)]
#[case::frozen(|f: &mut worker::Faults| f.freeze = true, 0)]
#[case::lost_answer(|f: &mut worker::Faults| f.lose_next_starts = 1, 1)]
#[tokio::test]
async fn a_call_without_an_answer_is_obeyed_or_not(
    #[case] fault: fn(&mut worker::Faults),
    #[case] starts: u32,
) {
    let bench = bench().await;
    bench.workers[0].change_faults(fault);
    let call = client::Call::post(bench.workers[0].address(), "/v1/tasks");
    let call = call.json(&start(0, 1, 1, 4)).unwrap();
    assert!(bench.client.send_within(SHORT, call).await.is_err());
    assert_eq!(bench.ledger.starts(&task(0)), starts);
}

#[tokio::test]
async fn overuse_is_judged_reported_late_and_ended_by_a_throttle() {
    let bench = bench().await;
    let request = protocol::StartTask {
        command: "use=10".to_owned(),
        ..start(0, 1, 1, 1)
    };
    bench.start(0, &request).await;
    let used = || bench.workers[0].report().tasks[0].used;
    assert_eq!(used(), sizes::Resources::default());
    assert_eq!(bench.workers[0].record().overused, 1);
    bench.pass_ms(500);
    assert_eq!(used(), size(10));
    bench.act(protocol::TaskAction::Throttle).await;
    assert_eq!(used(), size(1));
}

#[tokio::test]
async fn a_checkpoint_is_gone_on_from() {
    let bench = bench().await;
    let first = protocol::StartTask {
        lease_ms: 60_000,
        ..start(0, 1, 1, 4)
    };
    bench.start(0, &first).await;
    bench.pass_ms(6_000);
    let report = bench.act(protocol::TaskAction::Checkpoint).await;
    assert_eq!(report.tasks[0].phase, TaskPhase::Checkpointed);
    let second = protocol::StartTask {
        attempt: 2,
        resume: true,
        ..first
    };
    bench.start(1, &second).await;
    bench.pass_ms(3_999);
    assert_eq!(bench.phase(1), TaskPhase::Running);
    bench.pass_ms(1);
    assert_eq!(bench.phase(1), TaskPhase::Done);
    assert!(bench.ledger.violations().is_empty());
}

#[tokio::test]
async fn a_worker_may_fail_everything() {
    let bench = bench().await;
    bench.workers[0].change_faults(|faults| faults.fail_everything = true);
    bench.start(0, &start(0, 1, 1, 4)).await;
    assert_eq!(bench.phase(0), TaskPhase::Failed);
}

#[tokio::test]
async fn an_ended_task_is_forgotten_only_by_order() {
    let bench = bench().await;
    bench.start(0, &start(0, 1, 1, 4)).await;
    bench.pass_ms(2_000);
    let request = protocol::Renew {
        epoch: ids::Epoch(1),
        lease_ms: 1_000,
        tasks: Vec::new(),
        forget: vec![task(0)],
        not_after: None,
    };
    assert_eq!(bench.workers[0].report().tasks.len(), 1);
    let answer = bench.call(0, "/v1/renew", &request).await;
    assert!(
        answer
            .json::<protocol::WorkerReport>()
            .unwrap()
            .tasks
            .is_empty()
    );
}

/// When a start must be received, from a worker's clock.
type NotAfter = fn(protocol::WorkerClock) -> protocol::WorkerClock;

fn soon(clock: protocol::WorkerClock) -> protocol::WorkerClock {
    let elapsed_ms = clock.elapsed_ms + 100;
    protocol::WorkerClock {
        elapsed_ms,
        ..clock
    }
}

fn of_another_life(clock: protocol::WorkerClock) -> protocol::WorkerClock {
    let life = clock.life.wrapping_add(1);
    protocol::WorkerClock {
        life,
        ..soon(clock)
    }
}

#[rstest]
#[case::in_time(soon, 100, true)]
#[case::late(soon, 101, false)]
#[case::of_another_life(of_another_life, 100, false)]
#[tokio::test]
async fn a_late_start_or_renewal_is_not_obeyed(
    #[case] not_after: NotAfter,
    #[case] pass_ms: u64,
    #[case] obeyed: bool,
) {
    let bench = bench().await;
    bench.start(0, &start(0, 1, 1, 1)).await;
    let not_after = Some(not_after(bench.workers[0].report().clock));
    bench.pass_ms(pass_ms);
    let request = protocol::StartTask {
        not_after,
        ..start(1, 1, 1, 1)
    };
    let refused = StartAnswer::Refused(StartRefusal::Late);
    let answer = bench.start(0, &request).await;
    assert_eq!(
        answer,
        if obeyed {
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
    bench.call(0, "/v1/renew", &renewal).await;
    bench.pass_ms(950);
    let renewed = bench.phase(0) == TaskPhase::Running;
    assert_eq!(renewed, obeyed);
    let late = if obeyed { 0 } else { 2 };
    assert_eq!(bench.workers[0].record().late_calls, late);
}
