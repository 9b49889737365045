//! A whole session between real processes, as a golden file.
//!
//! Two `figscale serve` processes with a platform, runners and workers; the
//! operators' part is done with the command line, as the README does it. Ids
//! are given rather than made; what still differs between runs is replaced.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod harness;

use std::fmt::Write as _;
use std::net;
use std::path;
use std::process;

use figscale_standin::client;
use figscale_types::headers;

const EXAMPLES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
const FIRST: &str = "01890000-0000-7000-8000-000000000001";
const SECOND: &str = "01890000-0000-7000-8000-000000000002";
const THIRD: &str = "01890000-0000-7000-8000-000000000003";
const STALE: &str = "01890000-0000-7000-8000-000000000009";

/// The session so far.
struct Session {
    text: String,
    client: client::Client,
}

impl Session {
    /// Runs a command against an entry instance and writes down all it says.
    fn command(&mut self, entry: net::SocketAddr, arguments: &[&str]) {
        let output = figscale(entry, arguments);
        let shown: Vec<_> = arguments.iter().map(|word| file_name(word)).collect();
        let _ = writeln!(self.text, "$ figscale {}", shown.join(" "));
        for stream in [&output.stdout, &output.stderr] {
            self.text
                .push_str(&redact(std::str::from_utf8(stream).unwrap()));
        }
        let _ = writeln!(self.text, "[{}]", output.status.code().unwrap());
    }

    /// Sends a caller's request and writes down what came back.
    async fn request(&mut self, what: &str, call: client::Call) {
        let answer = self.client.send(call).await.unwrap();
        let _ = writeln!(
            self.text,
            "> {what}\n{} {} retry-after:{:?} by {}",
            answer.status.as_u16(),
            answer.header(headers::VERDICT),
            answer.header("retry-after"),
            answer.header(headers::SERVED_BY),
        );
        if !answer.status.is_success() {
            let _ = writeln!(self.text, "{}", answer.text().trim_end());
        }
    }
}

fn figscale(entry: net::SocketAddr, arguments: &[&str]) -> process::Output {
    process::Command::new(env!("CARGO_BIN_EXE_figscale"))
        .args(["--entry", &entry.to_string()])
        .args(arguments)
        .output()
        .unwrap()
}

/// A path without its directory, which differs between machines.
fn file_name(word: &str) -> &str {
    match path::Path::new(word).file_name() {
        Some(name) if word.starts_with('/') => name.to_str().unwrap(),
        _ => word,
    }
}

/// Times of acceptance, workers and folders differ between runs.
fn redact(text: &str) -> String {
    let word = |word: &str| {
        if word.len() == 13 && word.bytes().all(|b| b.is_ascii_digit()) {
            "TIME".to_owned()
        } else if word.starts_with("worker-") {
            "WORKER".to_owned()
        } else {
            file_name(word).to_owned()
        }
    };
    let line = |line: &str| {
        let words: Vec<_> = line.split(' ').map(word).collect();
        words.join(" ") + "\n"
    };
    text.lines().map(line).collect()
}

fn run(entry: net::SocketAddr, name: &str) -> client::Call {
    client::Call::post(entry, format!("/v1/run/{name}")).body("hello")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn whole_session() {
    let plan = harness::Plan {
        runners: 2,
        workers: 2,
        ..harness::Plan::default()
    };
    let mut cell = harness::Cell::start(plan).await;
    cell.wait_for_members(&[0, 1]).await;
    let operators = [cell.operator(0).address(), cell.operator(1).address()];
    let callers = [cell.caller_address(0), cell.caller_address(1)];
    let mut session = Session {
        text: String::new(),
        client: client::Client::default(),
    };

    change_catalogue(&mut session, &cell, operators).await;
    wait_for_first_answer(&session.client, callers).await;
    make_requests(&mut session, callers).await;
    run_job(&mut session, operators).await;
    for index in [0, 1] {
        let code = cell.stop(index).await;
        let _ = writeln!(
            session.text,
            "SIGTERM to entry-{index}\n[{}]",
            code.unwrap()
        );
    }
    insta::assert_snapshot!(session.text);
}

async fn change_catalogue(
    session: &mut Session,
    cell: &harness::Cell,
    operators: [net::SocketAddr; 2],
) {
    let example = format!("{EXAMPLES}/fraser-reach.jsonc");
    let edited = cell.folder().join("cell.jsonc");
    let edited = edited.to_str().unwrap();
    let text = std::fs::read_to_string(&example).unwrap();
    let text = text.replace("\"concurrency\": 200", "\"concurrency\": 300");
    std::fs::write(edited, text).unwrap();

    let [one, other] = operators;
    let by_ann = ["--author", "ann", "--change"];
    let apply = |file, base, change| {
        let mut words = vec!["catalogue", "apply", file, "--base", base];
        words.extend(by_ann);
        words.push(change);
        words
    };
    session.command(one, &["catalogue", "check", &example]);
    session.command(one, &apply(&example, "0", FIRST));
    session.command(one, &apply(&example, "0", FIRST));
    cell.wait_for_revision(&[0, 1], 1).await;
    session.command(other, &["catalogue", "diff", edited]);
    session.command(other, &apply(edited, "1", SECOND));
    cell.wait_for_revision(&[0, 1], 2).await;
    session.command(one, &apply(edited, "1", STALE));
    let mut rollback = vec!["catalogue", "rollback", "1", "--base", "2"];
    rollback.extend(by_ann);
    rollback.push(THIRD);
    session.command(one, &rollback);
    cell.wait_for_revision(&[0, 1], 3).await;
    session.command(other, &["catalogue", "status"]);
    session.command(other, &["catalogue", "history"]);
    session.command(other, &["catalogue", "show", "--at", "9"]);
}

/// Shards must have their holders before the first request is answered.
async fn wait_for_first_answer(client: &client::Client, callers: [net::SocketAddr; 2]) {
    for caller in callers {
        harness::wait_until("first answer", || async move {
            let call = run(caller, "cover-check").header(headers::OWNER, "brokers");
            client.send(call).await.is_ok_and(|a| a.status.is_success())
        })
        .await;
    }
}

async fn make_requests(session: &mut Session, callers: [net::SocketAddr; 2]) {
    let [one, other] = callers;
    let brokers = |call: client::Call| call.header(headers::OWNER, "brokers");
    let call = brokers(run(one, "cover-check"));
    session.request("a cover check", call).await;
    let call = brokers(run(other, "quote"));
    session.request("a quote, at the other", call).await;
    let call = brokers(run(one, "no-such-entry"));
    session.request("an unknown entry", call).await;
    let call = run(one, "cover-check");
    session.request("no owner", call).await;
    let call = run(one, "cover-check").header(headers::OWNER, "nobody");
    session.request("an unknown owner", call).await;
    let call = brokers(run(one, "cover-check")).header(headers::BUDGET_MS, "soon");
    session.request("a malformed budget", call).await;
    let call = brokers(run(one, "cover-check")).body(vec![b'x'; 16_385]);
    session.request("an oversize body", call).await;
    let call = brokers(run(one, "accumulation-run"));
    session.request("an entry for jobs", call).await;
}

async fn run_job(session: &mut Session, operators: [net::SocketAddr; 2]) {
    let [one, other] = operators;
    let job = format!("{EXAMPLES}/jobs/fleet-repricing.jsonc");
    session.command(one, &["job", "submit", &job, "--id", "first-job"]);
    harness::wait_until("end of the job", || async move {
        let output = figscale(other, &["job", "status", "first-job"]);
        output.stdout.starts_with(b"first-job done")
    })
    .await;
    session.command(other, &["job", "status", "first-job"]);
    session.command(one, &["job", "submit", &job, "--id", "first-job"]);
    session.command(one, &["job", "cancel", "no-such-job"]);
    session.command(other, &["job", "list"]);
}
