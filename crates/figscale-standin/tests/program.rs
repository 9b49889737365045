//! Each stand-in runs in its own process, where its faults and the violations found
//! are accessible over HTTP.

use std::io;
use std::io::BufRead as _;
use std::net;
use std::process;
use std::time;

use figscale_standin::client;
use figscale_standin::ports;
use figscale_standin::runner;
use figscale_standin::worker;
use figscale_types::headers;
use figscale_types::instances;
use rstest::rstest;

const TEST_TIMEOUT: time::Duration = time::Duration::from_secs(30);
const PROGRAM: &str = env!("CARGO_BIN_EXE_figscale-standin");

/// A process that is killed when this is dropped.
struct Process {
    child: process::Child,
    address: net::SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn start(arguments: &[&str]) -> Process {
    let mut child = process::Command::new(PROGRAM)
        .args(arguments)
        .stdout(process::Stdio::piped())
        .spawn()
        .expect("it starts");
    let output = child.stdout.take().expect("a pipe");
    let mut line = String::new();
    io::BufReader::new(output)
        .read_line(&mut line)
        .expect("a line");
    let address = line.trim().strip_prefix("listening on ");
    Process {
        child,
        address: address.expect("an address").parse().expect("an address"),
    }
}

async fn send(call: client::Call) -> client::Answer {
    let client = client::Client::default();
    client
        .send_within(TEST_TIMEOUT, call)
        .await
        .expect("a complete response")
}

async fn set_faults(address: net::SocketAddr, faults: serde_json::Value) {
    let call = client::Call::put(address, "/control/faults");
    let answer = send(call.json(&faults).expect("JSON")).await;
    assert!(answer.status.is_success(), "{}", answer.text());
}

#[tokio::test]
async fn platform_faults_are_switched_over_http() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("instances.jsonc");
    std::fs::write(&file, "// Nothing yet.\n[]").unwrap();
    let platform = start(&["platform", "--instances", file.to_str().unwrap()]);
    let read = || send(client::Call::get(platform.address, "/v1/instances"));
    let list: instances::InstanceList = read().await.json().unwrap();
    assert_eq!((list.instances.len(), list.lag_ms), (0, 1_000));
    set_faults(platform.address, serde_json::json!({ "outage": true })).await;
    assert_eq!(read().await.status, 503);
    set_faults(platform.address, serde_json::json!({})).await;
    assert_eq!(read().await.status, 200);
    let counts = send(client::Call::get(platform.address, "/control/counts")).await;
    let counts: serde_json::Value = counts.json().unwrap();
    assert_eq!(counts["-"]["instances"]["calls"], 3);
}

#[tokio::test]
async fn a_runner_returns_its_violations_over_http() {
    let runner = start(&["runner", "--id", "runner-7", "--slots", "1"]);
    let run = |id: &'static str| {
        let call = client::Call::post(runner.address, "/rate");
        send(call.header(headers::REQUEST_ID, id))
    };
    run("once").await;
    run("once").await;
    let path = "/control/violations";
    let found = send(client::Call::get(runner.address, path)).await;
    let found: Vec<runner::Violation> = found.json().unwrap();
    assert!(
        matches!(&found[..], [runner::Violation::RanTwice { request_id }] if request_id == "once")
    );
    let seen = send(client::Call::get(runner.address, "/control/requests")).await;
    let seen: Vec<runner::SeenRequest> = seen.json().unwrap();
    assert_eq!(seen.len(), 2);
    set_faults(runner.address, serde_json::json!({ "refuse": true })).await;
    assert_eq!(run("twice").await.header(headers::REFUSED), "1");
}

#[tokio::test]
async fn a_worker_returns_its_record_over_http() {
    let worker = start(&["worker", "--id", "worker-7", "--cores", "2"]);
    let report = send(client::Call::get(worker.address, "/v1/report")).await;
    let report: figscale_types::worker::WorkerReport = report.json().unwrap();
    assert_eq!(report.capacity.cpu_millis.0, 2_000);
    set_faults(worker.address, serde_json::json!({ "leaving": true })).await;
    let record = send(client::Call::get(worker.address, "/control/record")).await;
    assert_eq!(record.json::<worker::Record>().unwrap().starts, 0);
}

#[tokio::test]
async fn proxy_faults_are_switched_over_http() {
    let runner = start(&["runner", "--id", "runner-7"]);
    let control = ports::free_address().unwrap();
    let proxy = start(&[
        "proxy",
        "--target",
        &runner.address.to_string(),
        "--control",
        &control.to_string(),
    ]);
    let usage = || client::Call::get(proxy.address, "/usage");
    assert_eq!(send(usage()).await.status, 200);
    set_faults(control, serde_json::json!({ "refuse_new": true })).await;
    let refused = client::Client::default()
        .send_within(TEST_TIMEOUT, usage())
        .await;
    assert!(refused.is_err());
    set_faults(control, serde_json::json!({})).await;
    assert_eq!(send(usage()).await.status, 200);
}

#[test]
fn load_prints_json_and_a_table() {
    let runner = start(&[
        "runner",
        "--id",
        "runner-7",
        "--slots",
        "10000",
        "--connections",
        "10000",
    ]);
    let entry = format!("{}=1.5", runner.address);
    let arguments = ["load", "--entry", &entry, "--seconds", "0.5"];
    let run = |more: &[&str]| {
        let mut command = process::Command::new(PROGRAM);
        let output = command.args(arguments).args(more).output().unwrap();
        assert!(output.status.success());
        String::from_utf8(output.stdout).unwrap()
    };
    let report: figscale_standin::load::Report = serde_json::from_str(&run(&["--json"])).unwrap();
    assert!(report.all.requests > 0 && report.all.own == report.all.requests);
    let table = run(&[]);
    assert!(
        table.contains("cover-check") && table.contains("wait p99"),
        "{table}"
    );
}

#[test]
fn a_termination_signal_exits_with_success() {
    let mut platform = start(&["platform"]);
    let id = platform.child.id().to_string();
    let sent = process::Command::new("kill").args(["-TERM", &id]).status();
    assert!(sent.unwrap().success());
    assert!(platform.child.wait().unwrap().success());
}

#[rstest]
#[case::no_entry(&["load"], "--entry is missing")]
#[case::wrong_entry(&["load", "--entry", "nowhere"], "expected ADDRESS or ADDRESS=SHARE")]
#[case::wrong_user(&["cell", "--user", "nobody"], "expected fraser-reach or firth-shore")]
#[case::wrong_scenario(&["experiment", "nothing"], "there is no scenario nothing")]
#[case::no_file(&["platform", "--instances", "/nowhere"], "/nowhere")]
fn invalid_arguments_are_named_in_the_error(#[case] arguments: &[&str], #[case] expected: &str) {
    let output = process::Command::new(PROGRAM).args(arguments).output();
    let output = output.unwrap();
    let stderr_text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success());
    assert!(stderr_text.contains(expected), "{stderr_text}");
}
