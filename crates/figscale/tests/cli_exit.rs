//! Exit codes of the operator commands, and retries after lost responses.
//!
//! The entry instance is replaced by a scripted server, which handles each
//! connection as its script says and records the requests.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::io;
use std::io::Read as _;
use std::io::Write as _;
use std::net;
use std::path;
use std::process;
use std::sync::mpsc;
use std::thread;

use rstest::rstest;

/// What the scripted server does with one connection.
#[derive(Clone, Copy)]
enum Step {
    /// Responds with this status and body.
    Answer(u16, &'static str),
    /// Reads the request, then closes the connection without a response.
    CloseUnanswered,
}

/// An address that refuses connections. A port that was just closed cannot be
/// used: it may still accept a connection and break it, which is a lost response.
const REFUSING_ADDRESS: &str = "127.0.0.1:1";

struct ScriptedServer {
    address: net::SocketAddr,
    requests: mpsc::Receiver<String>,
}

/// Starts a server that performs the steps, one per connection, and then accepts no
/// more connections.
fn serve_script(steps: Vec<Step>) -> ScriptedServer {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, requests) = mpsc::channel();
    thread::spawn(move || {
        for step in steps {
            let (mut socket, _) = listener.accept().unwrap();
            sender.send(read_request(&mut socket)).unwrap();
            if let Step::Answer(status, body) = step {
                answer(&mut socket, status, body);
            }
        }
    });
    ScriptedServer { address, requests }
}

fn read_request(socket: &mut net::TcpStream) -> String {
    let mut text = String::new();
    let mut chunk = [0; 4_096];
    loop {
        let length = socket.read(&mut chunk).unwrap();
        text.push_str(std::str::from_utf8(&chunk[..length]).unwrap());
        if length == 0 || is_whole(&text) {
            return text;
        }
    }
}

fn is_whole(text: &str) -> bool {
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))
        .map_or(0, |length| length.parse().unwrap());
    body.len() >= length
}

fn answer(socket: &mut net::TcpStream, status: u16, body: &str) {
    let length = body.len();
    let text = format!(
        "HTTP/1.1 {status} Scripted\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}"
    );
    socket.write_all(text.as_bytes()).unwrap();
}

fn figscale(entry: &str, arguments: &[&str]) -> process::Output {
    process::Command::new(env!("CARGO_BIN_EXE_figscale"))
        .env_remove("FIGSCALE_ENTRY")
        .args(["--entry", entry])
        .args(arguments)
        .output()
        .unwrap()
}

fn data(name: &str) -> String {
    let file = path::Path::new("tests/data").join(name);
    file.to_string_lossy().into_owned()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).unwrap()
}

const ACCEPTED: Step = Step::Answer(200, r#"{"revision":2,"repeated":false}"#);
const REPEATED: Step = Step::Answer(200, r#"{"revision":2,"repeated":true}"#);
const INVALID: Step = Step::Answer(
    400,
    r#"{"kind":"invalid","message":"no","retry_after_ms":null}"#,
);
const CONFLICT: Step = Step::Answer(
    409,
    r#"{"kind":"conflict","message":"revision 3 came first","retry_after_ms":null}"#,
);
const UNAVAILABLE: Step = Step::Answer(
    503,
    r#"{"kind":"unavailable","message":"the store is away","retry_after_ms":700}"#,
);
const UNKNOWN: Step = Step::Answer(
    503,
    r#"{"kind":"unknown","message":"the store did not answer","retry_after_ms":100}"#,
);
const BROKEN: Step = Step::Answer(500, "oops");

#[rstest]
#[case::accepted(vec![ACCEPTED], 0, "accepted as revision 2\n", "")]
#[case::invalid(vec![INVALID], 2, "", "no\n")]
#[case::conflict(vec![CONFLICT], 3, "", "revision 3 came first\n")]
#[case::away(vec![UNAVAILABLE], 4, "", "the store is away (ask again after 700 ms)\n")]
#[case::broken(vec![BROKEN], 1, "", "500 Internal Server Error: oops\n")]
#[case::unknown_then_known(vec![UNKNOWN, REPEATED], 0, "accepted before as revision 2\n", "")]
#[case::lost_then_known(vec![Step::CloseUnanswered, REPEATED], 0, "accepted before as revision 2\n", "")]
#[case::lost_then_conflict(vec![Step::CloseUnanswered, CONFLICT], 3, "", "revision 3 came first\n")]
fn apply(#[case] steps: Vec<Step>, #[case] code: i32, #[case] stdout: &str, #[case] stderr: &str) {
    let server = serve_script(steps);
    let file = data("catalogue/good.json");
    let arguments = ["catalogue", "apply", &file, "--base", "1"];
    let output = figscale(&server.address.to_string(), &arguments);
    assert_eq!(text(&output.stderr), stderr);
    assert_eq!(text(&output.stdout), stdout);
    assert_eq!(output.status.code(), Some(code));
}

/// Retries carry the same change id; otherwise a change could be applied twice.
#[test]
fn repeats_are_the_same_change() {
    let server = serve_script(vec![Step::CloseUnanswered, UNKNOWN, REPEATED]);
    let file = data("catalogue/good.json");
    let arguments = ["catalogue", "apply", &file, "--base", "1"];
    let output = figscale(&server.address.to_string(), &arguments);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));

    let bodies: Vec<String> = server.requests.iter().map(|r| body(&r)).collect();
    assert_eq!(bodies.len(), 3);
    assert!(bodies[0].contains("\"change\":\""), "{}", bodies[0]);
    assert_eq!(bodies[0], bodies[1]);
    assert_eq!(bodies[0], bodies[2]);
}

fn body(request: &str) -> String {
    request.split_once("\r\n\r\n").unwrap().1.to_owned()
}

/// Retries of a submission carry the same job id; otherwise a second job could be
/// created.
#[test]
fn repeats_are_the_same_job() {
    let status = r#"{"id":"j","owner":"o","entry":"e","state":"queued",
        "verdict":"not-run","reason":null,"tasks":[]}"#;
    let server = serve_script(vec![Step::CloseUnanswered, Step::Answer(200, status)]);
    let output = figscale(
        &server.address.to_string(),
        &["job", "submit", &data("job.json")],
    );
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));

    let lines: Vec<String> = server
        .requests
        .iter()
        .map(|r| r.lines().next().unwrap().to_owned())
        .collect();
    assert!(
        lines[0].starts_with("POST /v1/jobs?id=job-"),
        "{}",
        lines[0]
    );
    assert_eq!(lines[0], lines[1]);
}

/// A change that was sent but not answered ends with exit code 5 and names the id
/// for a retry.
#[test]
fn lost_change_may_have_taken_effect() {
    let server = serve_script(vec![Step::CloseUnanswered]);
    let file = data("catalogue/good.json");
    let arguments = ["catalogue", "apply", &file, "--base", "1"];
    let output = figscale(&server.address.to_string(), &arguments);
    let stderr = text(&output.stderr);
    assert_eq!(output.status.code(), Some(5), "{stderr}");
    assert!(stderr.starts_with("it may have taken effect"), "{stderr}");

    let sent: serde_json::Value =
        serde_json::from_str(&body(&server.requests.recv().unwrap())).unwrap();
    let repeat = format!("repeat with --change {}", sent["change"].as_str().unwrap());
    assert!(stderr.contains(&repeat), "{stderr}");
}

/// If no connection was accepted, nothing was sent and nothing can have taken
/// effect.
#[test]
fn refused_connections_are_unavailable() {
    let file = data("catalogue/good.json");
    let output = figscale(
        REFUSING_ADDRESS,
        &["catalogue", "apply", &file, "--base", "1"],
    );
    assert_eq!(output.status.code(), Some(4), "{}", text(&output.stderr));
}

/// The next address is tried if the first refuses connections.
#[test]
fn second_address_is_tried() {
    let server = serve_script(vec![ACCEPTED]);
    let entries = format!("{REFUSING_ADDRESS},{}", server.address);
    let file = data("catalogue/good.json");
    let output = figscale(&entries, &["catalogue", "apply", &file, "--base", "1"]);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
}

#[rstest]
#[case::lost(vec![Step::CloseUnanswered])]
#[case::unknown(vec![UNKNOWN])]
fn lost_read_is_unavailable(#[case] steps: Vec<Step>) {
    let server = serve_script(steps);
    let output = figscale(&server.address.to_string(), &["job", "list"]);
    assert_eq!(output.status.code(), Some(4), "{}", text(&output.stderr));
}

#[rstest]
#[case::no_command(&[], "One of the following subcommands must be present")]
#[case::no_subcommand(&["job"], "One of the following subcommands must be present")]
#[case::unknown_command(&["jobs"], "Unrecognized argument: jobs")]
#[case::flag_after(&["job", "list", "--json"], "stand before the command")]
#[case::no_base(&["catalogue", "apply", "x.json"], "--base")]
#[case::bad_revision(&["catalogue", "rollback", "one", "--base", "2"], "a whole number")]
#[case::bad_job(&["job", "status", "No Job"], "invalid job id")]
#[case::no_file(&["catalogue", "check", "none.json"], "none.json: cannot read")]
#[case::bad_owner(&["catalogue", "check", "tests/data/bad-owner.json"], ":9:16: entries.hullrate/quote.owner")]
#[case::bad_file(&["catalogue", "check", "tests/data/catalogue/bad-unit.json"], ":4:49: owners.fraser-reach.rate_per_min: unknown field")]
fn wrong_usage(#[case] arguments: &[&str], #[case] expected: &str) {
    let output = figscale("127.0.0.1:1", arguments);
    let stderr = text(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{stderr}");
    assert!(stderr.contains(expected), "{stderr}");
}

#[test]
fn no_address_is_wrong_usage() {
    let output = process::Command::new(env!("CARGO_BIN_EXE_figscale"))
        .env_remove("FIGSCALE_ENTRY")
        .arg("dump")
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(text(&output.stderr).contains("FIGSCALE_ENTRY"));
}

#[test]
fn address_from_the_environment() {
    let server = serve_script(vec![Step::Answer(200, "[]")]);
    let output = process::Command::new(env!("CARGO_BIN_EXE_figscale"))
        .env("FIGSCALE_ENTRY", server.address.to_string())
        .args(["--json", "job", "list"])
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
    assert_eq!(text(&output.stdout), "[]\n");
}

#[test]
fn help_and_local_commands_succeed() {
    for arguments in [
        &["--help"] as &[&str],
        &["catalogue", "apply", "--help"],
        &["events"],
        &["catalogue", "check", "tests/data/catalogue/good.json"],
        &[
            "settings",
            "check",
            "tests/data/settings/good-smallest.json",
        ],
    ] {
        let output = figscale("127.0.0.1:1", arguments);
        assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
        assert!(!output.stdout.is_empty());
    }
}

/// A slash in a job id is escaped, so that it does not split the path.
#[rstest]
#[case("status", "GET /v1/jobs/firth%2Fjob-1 ")]
#[case("cancel", "POST /v1/jobs/firth%2Fjob-1/cancel ")]
fn slash_in_a_job_id(#[case] command: &str, #[case] expected: &str) {
    let server = serve_script(vec![INVALID]);
    let arguments = ["job", command, "firth/job-1"];
    figscale(&server.address.to_string(), &arguments);
    let request = server.requests.recv().unwrap();
    assert!(request.starts_with(expected), "{request}");
}

/// Output to a closed pipe, as in `figscale dump | head`, is no failure.
#[test]
fn output_to_a_closed_pipe_is_no_failure() {
    let (reader, writer) = io::pipe().unwrap();
    drop(reader);
    let mut command = process::Command::new(env!("CARGO_BIN_EXE_figscale"));
    let status = command.arg("--help").stdout(writer).status().unwrap();
    assert_eq!(status.code(), Some(0));
}
