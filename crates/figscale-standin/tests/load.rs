//! The load tool measures what a caller would see, and detects wrong responses.

use std::net;
use std::time;

use figscale_standin::load;
use figscale_standin::proxy;
use figscale_standin::runner;
use figscale_types::headers;
use figscale_types::verdict::Verdict;
use http::StatusCode;
use rstest::rstest;

fn config(targets: &[(net::SocketAddr, f64)]) -> load::Config {
    let target = |(address, weight): &(net::SocketAddr, f64)| load::Target {
        address: *address,
        weight: *weight,
    };
    load::Config {
        targets: targets.iter().map(target).collect(),
        classes: vec![class("quotes", 3.0), class("renewals", 1.0)],
        rate_per_s: 1_000.0,
        duration: time::Duration::from_millis(300),
        response_timeout: time::Duration::from_secs(30),
        seed: 7,
    }
}

fn class(entry: &str, weight: f64) -> load::Class {
    load::Class {
        entry: entry.parse().expect("legal"),
        owner: "broker".parse().expect("legal"),
        weight,
        mean_run_ms: 1.0,
        idempotent: true,
        budget_ms: None,
        body_bytes: 200,
        answer_bytes: 500,
    }
}

async fn unlimited_runner() -> runner::Handle {
    let config = runner::Config {
        slots: 10_000,
        connections: 10_000,
        ..runner::Config::default()
    };
    runner::start(config).await.expect("it listens")
}

#[test]
fn arrivals_follow_seed_rate_and_weights() {
    let address = net::SocketAddr::from(([127, 0, 0, 1], 1));
    let config = load::Config {
        duration: time::Duration::from_secs(20),
        ..config(&[(address, 9.0), (address, 1.0)])
    };
    let all: Vec<_> = load::arrivals(&config).collect();
    assert_eq!(all, load::arrivals(&config).collect::<Vec<_>>());
    let other = load::Config { seed: 8, ..config };
    assert_ne!(all, load::arrivals(&other).collect::<Vec<_>>());

    assert!((19_000..21_000).contains(&all.len()), "{}", all.len());
    assert!(all.is_sorted_by_key(|arrival| arrival.at));
    let first_target = all.iter().filter(|arrival| arrival.target == 0).count();
    let first_class = all.iter().filter(|arrival| arrival.class == 0).count();
    let near = |count: usize, share: f64| (count as f64 / all.len() as f64 - share).abs() < 0.02;
    assert!(near(first_target, 0.9) && near(first_class, 0.75));
}

#[tokio::test]
async fn every_response_is_counted_by_class() {
    let runner = unlimited_runner().await;
    let report = load::run(&config(&[(runner.address(), 1.0)])).await;
    assert_eq!(report.all.own, report.all.requests, "{report}");
    let by_class: u64 = report.classes.values().map(|class| class.own).sum();
    assert_eq!(by_class, report.all.own);
    assert!(report.classes["quotes"].own > report.classes["renewals"].own);
    assert_eq!(runner.ledger().requests().len() as u64, report.all.requests);
}

#[tokio::test]
async fn classes_of_one_entry_are_counted_together() {
    let runner = unlimited_runner().await;
    let config = load::Config {
        classes: vec![class("quotes", 1.0), class("quotes", 1.0)],
        ..config(&[(runner.address(), 1.0)])
    };
    let report = load::run(&config).await;
    assert_eq!(report.classes["quotes"].requests, report.all.requests);
}

/// Response of a faulty server to a request id and a body: status, body and
/// checksum. Each case is wrong in one respect only.
type WrongResponse = fn(&str, &[u8]) -> (StatusCode, String, String);

fn other_request(_: &str, body: &[u8]) -> (StatusCode, String, String) {
    answer("somebody-elses", body)
}

fn other_body(id: &str, _: &[u8]) -> (StatusCode, String, String) {
    answer(id, b"somebody else's")
}

fn damaged(id: &str, body: &[u8]) -> (StatusCode, String, String) {
    let (status, body, _) = answer(id, body);
    (status, body, "0".to_owned())
}

fn answer(request_id: &str, body: &[u8]) -> (StatusCode, String, String) {
    let answer = runner::RunAnswer {
        request_id: request_id.to_owned(),
        body_checksum: runner::checksum(body),
        entry: String::new(),
        runner: "liar".parse().expect("legal"),
        filling: String::new(),
    };
    let body = serde_json::to_string(&answer).expect("JSON");
    let checksum = runner::checksum(body.as_bytes());
    (StatusCode::OK, body, checksum)
}

async fn wrong_server(wrong_response: WrongResponse) -> net::SocketAddr {
    let handler = move |headers: http::HeaderMap, body: bytes::Bytes| async move {
        let id = headers[headers::REQUEST_ID].to_str();
        let (status, body, checksum) = wrong_response(id.expect("text"), &body);
        (status, [(headers::CHECKSUM, checksum)], body)
    };
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("it listens");
    let address = listener.local_addr().expect("an address");
    let app = axum::Router::new().fallback(handler);
    tokio::spawn(async { axum::serve(listener, app).await });
    address
}

#[tokio::test]
async fn a_correct_response_is_accepted() {
    let report = load::run(&config(&[(wrong_server(answer).await, 1.0)])).await;
    assert_eq!(report.all.own, report.all.requests, "{report}");
}

#[rstest]
#[case::other_request(other_request)]
#[case::other_body(other_body)]
#[case::damaged(damaged)]
#[tokio::test]
async fn a_wrong_response_is_detected(#[case] wrong_response: WrongResponse) {
    let report = load::run(&config(&[(wrong_server(wrong_response).await, 1.0)])).await;
    assert_eq!(report.all.wrong, report.all.requests, "{report}");
}

#[tokio::test]
async fn failures_are_counted_by_status_and_verdict() {
    let runner = unlimited_runner().await;
    runner.change_faults(|faults| faults.refuse = true);
    let report = load::run(&config(&[(runner.address(), 1.0)])).await;
    assert_eq!(report.all.failed["503 no-verdict"], report.all.requests);
    runner.change_faults(|faults| faults.cut_answer = true);
    runner.change_faults(|faults| faults.refuse = false);
    let report = load::run(&config(&[(runner.address(), 1.0)])).await;
    assert_eq!(report.all.no_answer, report.all.requests);
}

#[tokio::test]
async fn a_false_not_run_is_detected() {
    let runner = unlimited_runner().await;
    let mut report = load::run(&config(&[(runner.address(), 1.0)])).await;
    assert!(report.false_not_run(runner.ledger()).is_empty());
    report.outcomes[0].kind = load::OutcomeKind::Failed {
        status: StatusCode::SERVICE_UNAVAILABLE,
        verdict: Some(Verdict::NotRun),
        retry_after: false,
    };
    let expected = report.outcomes[0].request_id.to_string();
    assert_eq!(report.false_not_run(runner.ledger()), vec![expected]);
}

#[tokio::test]
async fn arrivals_do_not_wait_for_responses() {
    let runner = unlimited_runner().await;
    runner.change_faults(|faults| faults.hang = true);
    let config = config(&[(runner.address(), 1.0)]);
    let all = load::arrivals(&config).count();
    let all_run = async {
        while runner.busy() as usize != all {
            tokio::time::sleep(time::Duration::from_millis(2)).await;
        }
        runner.change_faults(|faults| faults.hang = false);
    };
    // A closed loop, which waits for responses, would never get all of them to
    // run.
    let all_run = tokio::time::timeout(time::Duration::from_secs(30), all_run);
    let (report, all_ran) = tokio::select! {
        both = async { tokio::join!(load::run(&config), all_run) } => both,
        () = tokio::time::sleep(time::Duration::from_secs(60)) => panic!("the load hangs"),
    };
    assert!(all_ran.is_ok());
    assert_eq!(report.all.own, all as u64, "{report}");
}

#[tokio::test]
async fn a_stall_of_the_path_shows_in_every_request_due_during_it() {
    let runner = unlimited_runner().await;
    let proxy = proxy::start(proxy::Config::to(runner.address())).await;
    let proxy = proxy.expect("it listens");
    proxy.change_faults(|faults| faults.to_target.freeze = true);
    let stall = async {
        tokio::time::sleep(time::Duration::from_millis(600)).await;
        proxy.change_faults(|faults| faults.to_target.freeze = false);
    };
    let config = config(&[(proxy.address(), 1.0)]);
    let (report, ()) = tokio::join!(load::run(&config), stall);
    // The stall ends at 600 ms and the last arrival is before 300 ms, so that each
    // request waits for at least 300 ms.
    assert_eq!(report.all.own, report.all.requests, "{report}");
    assert!(report.outcomes.iter().all(|o| o.latency.as_millis() >= 300));
}

#[tokio::test]
async fn a_stall_of_the_tool_itself_is_counted_as_latency() {
    let runner = unlimited_runner().await;
    let config = config(&[(runner.address(), 1.0)]);
    let early = |arrival: &load::Arrival| arrival.at.as_millis() < 100;
    let early = load::arrivals(&config).filter(early).count();
    // The test runs on one thread, so that this blocks the load tool.
    let stall = async { std::thread::sleep(time::Duration::from_millis(300)) };
    let (report, ()) = tokio::join!(load::run(&config), stall);
    let slow = report
        .outcomes
        .iter()
        .filter(|o| o.latency.as_millis() >= 200);
    assert!(slow.count() >= early, "{report}");
}

#[test]
fn quantiles_match_the_recorded_times() {
    let times = (1..=1_000).map(time::Duration::from_millis);
    let found = load::Quantiles::of(times);
    let near = |found: f64, expected: f64| (found / expected - 1.0).abs() < 0.01;
    assert!(near(found.p50_ms, 500.0), "{found:?}");
    assert!(near(found.p90_ms, 900.0), "{found:?}");
    assert!(near(found.p99_ms, 990.0), "{found:?}");
    assert!(near(found.max_ms, 1_000.0), "{found:?}");
}
