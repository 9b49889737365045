//! The stand-in runner's responses can be verified, and its ledger reports every
//! violation.

use std::time;

use figscale_standin::client;
use figscale_standin::runner;
use figscale_types::headers;
use figscale_types::instances::RunnerUsage;
use futures_util::future;
use http::StatusCode;
use rstest::rstest;

const TEST_TIMEOUT: time::Duration = time::Duration::from_secs(30);

async fn start(config: runner::Config) -> runner::Handle {
    runner::start(config).await.expect("it listens")
}

fn call(runner: &runner::Handle, id: &str, run_ms: u64) -> client::Call {
    client::Call::post(runner.address(), "/rate")
        .header(headers::REQUEST_ID, id)
        .header(headers::RUN_MS, run_ms)
        .body(format!("body of {id}"))
}

async fn send(call: client::Call) -> client::Answer {
    let client = client::Client::default();
    client
        .send_within(TEST_TIMEOUT, call)
        .await
        .expect("a complete response")
}

async fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let waited = async {
        while !holds() {
            tokio::time::sleep(time::Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, waited)
        .await
        .expect(what);
}

#[tokio::test]
async fn a_response_is_complete_and_matches_its_request() {
    let runner = start(runner::Config::default()).await;
    let call = call(&runner, "r-1", 0)
        .header(headers::ENTRY, "quotes")
        .header(headers::ANSWER_BYTES, 100_000);
    let answer = send(call).await;
    assert_eq!(
        answer.header(headers::CHECKSUM),
        runner::checksum(&answer.body)
    );
    let run_answer: runner::RunAnswer = answer.json().unwrap();
    assert_eq!(
        (run_answer.request_id.as_str(), run_answer.entry.as_str()),
        ("r-1", "quotes")
    );
    assert_eq!(run_answer.body_checksum, runner::checksum(b"body of r-1"));
    assert_eq!(run_answer.filling.len(), 100_000);
    assert!(runner.ledger().violations().is_empty());
}

#[tokio::test]
async fn a_request_over_the_slots_is_refused_and_reported() {
    let runner = start(runner::Config::default()).await;
    runner.change_faults(|faults| faults.hang = true);
    let eight = future::join_all((0..8).map(|n| send(call(&runner, &format!("r-{n}"), 0))));
    let ninth = async {
        wait_until("eight run", || runner.busy() == 8).await;
        let answer = send(call(&runner, "ninth", 0)).await;
        runner.change_faults(|faults| faults.hang = false);
        answer
    };
    let (eight, ninth) = future::join(eight, ninth).await;
    assert!(eight.iter().all(|answer| answer.status == StatusCode::OK));
    assert_eq!(ninth.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(ninth.header(headers::REFUSED), "1");
    assert!(!runner.ledger().may_have_run("ninth"));
    assert!(matches!(
        &runner.ledger().violations()[..],
        [runner::Violation::OverSlots { request_id, .. }] if request_id == "ninth"
    ));
}

#[tokio::test]
async fn connections_over_the_limit_are_reported() {
    let config = runner::Config {
        connections: 2,
        ..runner::Config::default()
    };
    let runner = start(config).await;
    let mut open = Vec::new();
    for _ in 0..3 {
        open.push(
            tokio::net::TcpStream::connect(runner.address())
                .await
                .unwrap(),
        );
    }
    wait_until("three are open", || {
        runner.ledger().connections(runner.id()) == 3
    })
    .await;
    assert!(matches!(
        &runner.ledger().violations()[..],
        [runner::Violation::OverConnections { open: 3, .. }]
    ));
    drop(open);
    wait_until("none is open", || {
        runner.ledger().connections(runner.id()) == 0
    })
    .await;
}

#[rstest]
#[case::idempotent("true", 0)]
#[case::not_idempotent("false", 1)]
#[tokio::test]
async fn a_second_run_is_reported_unless_idempotent(
    #[case] idempotent: &str,
    #[case] violations: usize,
) {
    let ledger = runner::Ledger::default();
    let mut runners = Vec::new();
    for name in ["runner-1", "runner-2"] {
        let config = runner::Config {
            id: name.parse().unwrap(),
            ledger: ledger.clone(),
            ..runner::Config::default()
        };
        runners.push(start(config).await);
    }
    for runner in &runners {
        send(call(runner, "same", 0).header(headers::IDEMPOTENT, idempotent)).await;
    }
    assert_eq!(ledger.runs("same"), 2);
    assert_eq!(ledger.violations().len(), violations);
}

#[tokio::test]
async fn a_holder_after_its_successor_is_reported() {
    let runner = start(runner::Config::default()).await;
    let holders = ["runner/a@3", "runner/b@1", "runner/a@4", "runner/a@4"];
    for (number, holder) in holders.iter().enumerate() {
        let id = format!("r-{number}");
        send(call(&runner, &id, 0).header(headers::HOLDER, holder)).await;
    }
    assert!(runner.ledger().violations().is_empty());
    send(call(&runner, "late", 0).header(headers::HOLDER, "runner/a@3")).await;
    assert!(matches!(
        &runner.ledger().violations()[..],
        [runner::Violation::StaleHolder { seen, .. }] if seen.0 == 4
    ));
}

#[tokio::test]
async fn a_run_outlives_its_connection() {
    let runner = start(runner::Config::default()).await;
    runner.change_faults(|faults| faults.hang = true);
    let client = client::Client::default();
    let short = time::Duration::from_millis(50);
    assert!(
        client
            .send_within(short, call(&runner, "r-1", 0))
            .await
            .is_err()
    );
    drop(client);
    wait_until("it is gone", || {
        runner.ledger().connections(runner.id()) == 0
    })
    .await;
    assert_eq!(runner.busy(), 1);
    runner.change_faults(|faults| faults.hang = false);
    wait_until("the run is over", || runner.busy() == 0).await;
    assert_eq!(runner.ledger().runs("r-1"), 1);
}

#[tokio::test]
async fn a_stopped_runner_frees_its_slots_in_the_ledger() {
    let runner = start(runner::Config::default()).await;
    let (ledger, id) = (runner.ledger().clone(), runner.id().clone());
    let answer = tokio::spawn(send(call(&runner, "r-1", 600_000)));
    wait_until("it runs", || ledger.busy(&id) == 1).await;
    drop(runner);
    wait_until("it has ended", || ledger.busy(&id) == 0).await;
    assert!(answer.await.is_err());
}

#[rstest]
#[case::fail(|f: &mut runner::Faults| f.fail = true, Some(500), true)]
#[case::refuse(|f: &mut runner::Faults| f.refuse = true, Some(503), false)]
#[case::cut(|f: &mut runner::Faults| f.cut_answer = true, None, true)]
#[case::wrong_length(|f: &mut runner::Faults| f.wrong_length = true, None, true)]
#[tokio::test]
async fn faults_have_the_declared_effect(
    #[case] fault: fn(&mut runner::Faults),
    #[case] status: Option<u16>,
    #[case] ran: bool,
) {
    let runner = start(runner::Config::default()).await;
    runner.change_faults(fault);
    let client = client::Client::default();
    let answer = client
        .send_within(TEST_TIMEOUT, call(&runner, "r-1", 0))
        .await;
    assert_eq!(answer.ok().map(|answer| answer.status.as_u16()), status);
    assert_eq!(runner.ledger().runs("r-1") == 1, ran);
    assert_eq!(runner.ledger().may_have_run("r-1"), ran);
}

#[tokio::test]
async fn usage_reports_running_requests_and_leaving() {
    let runner = start(runner::Config::default()).await;
    runner.change_faults(|faults| {
        faults.hang = true;
        faults.leaving = true;
    });
    let run = send(call(&runner, "r-1", 0));
    let wait_until_busy = async {
        loop {
            let answer = send(client::Call::get(runner.address(), "/usage")).await;
            let usage: RunnerUsage = answer.json().unwrap();
            if usage.busy == 1 {
                runner.change_faults(|faults| faults.hang = false);
                return usage;
            }
        }
    };
    let (run, usage) = future::join(run, wait_until_busy).await;
    assert_eq!(run.header(headers::LEAVING), "1");
    assert!(usage.leaving && usage.slots == 8);
}
