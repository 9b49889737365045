//! The operator API: statuses, bodies and `Retry-After`, compared with a golden
//! file.
//!
//! Scripted services are registered under the names of the real ones, so that
//! each response is known.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod entry;

use figscale::catalogue;
use figscale::jobs;
use figscale::kernel;
use figscale::state;
use figscale_types::ids;
use figscale_types::operator;
use futures_util::FutureExt as _;
use rstest::rstest;
use std::sync;

const OWNERS: &str = r#"{"owners":{},"entries":{}}"#;
const CHANGE: &str = "01890000-0000-7000-8000-000000000000";

fn apply_body() -> String {
    format!(r#"{{"base":0,"change":"{CHANGE}","author":"a","note":"","catalogue":{OWNERS}}}"#)
}

/// Registers a catalogue service that gives the same answer to every change.
fn script_catalogue(
    context: &state::Context,
    answer: Result<operator::ApplyAnswer, operator::OperatorError>,
) {
    let mut inbox = context
        .kernel
        .register::<catalogue::Message>(catalogue::NAME);
    context.traffic.spawn(async move {
        while let Some(message) = inbox.recv().await {
            match message {
                catalogue::Message::Apply(_, reply) => reply.send(answer.clone()),
                catalogue::Message::InForce(reply) => reply.send(Ok(sync::Arc::default())),
                _ => {}
            }
        }
    });
}

fn error(
    kind: operator::ErrorKind,
    retry_after_ms: Option<u64>,
) -> Result<operator::ApplyAnswer, operator::OperatorError> {
    Err(operator::OperatorError {
        kind,
        message: "as scripted".to_owned(),
        retry_after_ms,
    })
}

fn accepted() -> Result<operator::ApplyAnswer, operator::OperatorError> {
    Ok(operator::ApplyAnswer {
        revision: ids::Revision(1),
        repeated: false,
    })
}

#[rstest]
#[case::accepted(accepted(), 200, None)]
#[case::invalid(error(operator::ErrorKind::Invalid, None), 400, None)]
#[case::conflict(error(operator::ErrorKind::Conflict, None), 409, None)]
#[case::not_found(error(operator::ErrorKind::NotFound, None), 404, None)]
#[case::unavailable(error(operator::ErrorKind::Unavailable, Some(1)), 503, Some("1"))]
#[case::later(error(operator::ErrorKind::Unavailable, Some(2_001)), 503, Some("3"))]
#[case::unknown(error(operator::ErrorKind::Unknown, Some(500)), 503, Some("1"))]
fn service_answers(
    #[case] answer: Result<operator::ApplyAnswer, operator::OperatorError>,
    #[case] status: u16,
    #[case] retry_after: Option<&str>,
) {
    let entry = entry::Entry::start();
    script_catalogue(&entry.context, answer.clone());
    let got = entry.post("/v1/catalogue", apply_body());
    assert_eq!(got.status, status);
    assert_eq!(got.header("retry-after"), retry_after);
    if let Err(error) = answer {
        let error_body: operator::OperatorError = serde_json::from_str(&got.body).unwrap();
        assert_eq!(error_body, error);
    }
}

/// All requests that are refused before a service is called, with the exact text.
#[test]
fn refused_before_any_service() {
    let entry = entry::Entry::start();
    script_catalogue(&entry.context, accepted());
    let whole = apply_body();
    let broken = whole.replace("\"note\":\"\",", "\n  \"note\": no,");
    let unknown = whole.replace("{\"owners\"", "\n{\"colour\":1,\"owners\"");
    let cases = [
        ("no such path", "GET", "/v1/nothing", String::new()),
        ("no such method", "DELETE", "/v1/catalogue", String::new()),
        ("no body", "POST", "/v1/catalogue", String::new()),
        ("broken JSON", "POST", "/v1/catalogue", broken),
        ("unknown field", "POST", "/v1/catalogue", unknown),
        (
            "too large",
            "POST",
            "/v1/catalogue",
            " ".repeat((1 << 20) + 1),
        ),
        (
            "not a revision",
            "GET",
            "/v1/catalogue/at/one",
            String::new(),
        ),
        ("job without id", "POST", "/v1/jobs", "{}".to_owned()),
        ("bad job id", "GET", "/v1/jobs/No%20Job", String::new()),
        ("bad owner", "GET", "/v1/jobs?owner=A", String::new()),
        ("no service", "GET", "/v1/jobs/j", String::new()),
        ("not ready", "GET", "/readyz", String::new()),
        ("live", "GET", "/livez", String::new()),
    ];
    let mut session = String::new();
    for (name, method, path, body) in cases {
        let got = entry.send_request(method, path, body);
        let retry = got.header("retry-after").unwrap_or("-");
        session.push_str(&format!(
            "{name}: {method} {path}\n  {} retry-after {retry}\n  {}\n",
            got.status,
            got.body.trim_end()
        ));
    }
    insta::assert_snapshot!(session);
}

#[test]
fn unreadable_bytes_are_refused() {
    let entry = entry::Entry::start();
    let got = entry.send_request("POST", "/v1/catalogue", vec![0xff, 0xfe]);
    assert_eq!(got.status, 400);
    assert!(got.body.contains("expected UTF-8"), "{}", got.body);
}

/// A service that drops a call may have executed it, so the result is unknown.
#[test]
fn dropped_call_has_unknown_result() {
    let entry = entry::Entry::start();
    let mut inbox = entry.context.kernel.register::<jobs::Message>(jobs::NAME);
    entry.context.traffic.spawn(async move {
        drop(inbox.recv().await);
    });
    let got = entry.post("/v1/jobs/j/cancel", String::new());
    assert_eq!(got.status, 503);
    let error_body: operator::OperatorError = serde_json::from_str(&got.body).unwrap();
    assert_eq!(error_body.kind, operator::ErrorKind::Unknown);
}

/// During shutdown the process is not ready and refuses changes, but serves reads.
#[test]
fn leaving_refuses_changes() {
    let entry = entry::Entry::start();
    script_catalogue(&entry.context, accepted());
    entry.context.shared.leaving.send_replace(true);
    let refused = entry.post("/v1/catalogue", apply_body());
    assert_eq!(refused.status, 503);
    assert_eq!(refused.header("retry-after"), Some("1"));
    let error_body: operator::OperatorError = serde_json::from_str(&refused.body).unwrap();
    assert_eq!(error_body.kind, operator::ErrorKind::Unavailable);
    assert_eq!(entry.get("/readyz").status, 503);
    assert_eq!(entry.get("/v1/catalogue").status, 200);
}

/// A change in progress when the stop begins is still answered.
#[test]
fn stop_answers_what_is_in_progress() {
    let mut entry = entry::Entry::start();
    let mut inbox = entry
        .context
        .kernel
        .register::<catalogue::Message>(catalogue::NAME);
    let asked = entry.spawn_post("/v1/catalogue", apply_body());
    let message = entry.block_on(inbox.recv());
    let Some(catalogue::Message::Apply(_, reply)) = message else {
        panic!("unexpected message");
    };
    let ended = entry.spawn_shutdown();
    entry.wait_until_refused();
    assert!(!ended.is_finished(), "ended before the answer");
    reply.send(accepted());
    assert_eq!(entry.block_on(asked).unwrap().status, 200);
    entry.block_on(ended).unwrap();
}

/// The dump shows the state of the process and no secret.
#[test]
fn dump_shows_the_process() {
    let entry = entry::Entry::start();
    let dump: serde_json::Value = serde_json::from_str(&entry.get("/v1/dump").body).unwrap();
    let process = &dump["process"];
    assert_eq!(process["member"]["id"], "entry-a");
    assert_eq!(process["version"], env!("CARGO_PKG_VERSION"));
    assert!(process["uptime_ms"].is_u64());
    assert_eq!(process["settings"]["peer_token"], "(not shown)");
    assert!(!dump.to_string().contains("0123456789abcdef"));
}

/// Metrics of the services are rendered in the Prometheus text format.
#[test]
fn metrics_are_rendered() {
    const CONNECTIONS: &str = "figscale_inbound_connections";
    let entry = entry::Entry::start();
    entry::report_everything(&entry.context.metrics);
    let accepted = figscale_types::catalogue::Accepted {
        revision: ids::Revision(6),
        ..figscale_types::catalogue::Accepted::default()
    };
    let shared = &entry.context.shared;
    shared.catalogue.send_replace(std::sync::Arc::new(accepted));
    let got = entry.get("/metrics");
    assert_eq!(got.status, 200);
    let own: String = got
        .body
        .lines()
        .filter(|line| line.starts_with("figscale_"))
        // It depends on the time since the connections were last checked.
        .filter(|line| !line.starts_with(CONNECTIONS))
        .map(|line| format!("{line}\n"))
        .collect();
    insta::assert_snapshot!(own);
    for name in [
        &format!("{CONNECTIONS}{{listener=\"operators\"}} "),
        "process_cpu_seconds_total ",
        "process_resident_memory_bytes ",
    ] {
        assert!(got.body.lines().any(|l| l.starts_with(name)), "{name}");
    }
}

/// An overloaded service, whose mailbox is full, refuses calls at once.
#[test]
fn full_mailbox_is_unavailable() {
    let entry = entry::Entry::start();
    let _inbox = entry.context.kernel.register::<jobs::Message>(jobs::NAME);
    let address = entry
        .context
        .kernel
        .find::<jobs::Message>(jobs::NAME)
        .unwrap();
    for _ in 0..kernel::MAILBOX_LEN {
        // The call is posted and its future dropped without waiting for the reply.
        let call = address.call(|reply| jobs::Message::List(None, reply));
        assert!(call.now_or_never().is_none());
    }
    let got = entry.get("/v1/jobs");
    assert_eq!(got.status, 503);
    assert!(got.body.contains("overloaded"), "{}", got.body);
}

/// A job id may contain a slash, escaped as `%2F` in a path.
#[test]
fn slash_in_a_job_id() {
    let entry = entry::Entry::start();
    let mut inbox = entry.context.kernel.register::<jobs::Message>(jobs::NAME);
    let asked = entry.spawn_post("/v1/jobs/firth%2Fjob-1/cancel", String::new());
    let message = entry.block_on(inbox.recv());
    let Some(jobs::Message::Cancel(id, reply)) = message else {
        panic!("unexpected message");
    };
    assert_eq!(id.as_str(), "firth/job-1");
    let error = operator::OperatorError::new(operator::ErrorKind::NotFound, "no such job");
    reply.send(Err(error));
    assert_eq!(entry.block_on(asked).unwrap().status, 404);
}

/// A call of an unresponsive service ends at the time limit; the result of a change
/// is then unknown.
#[rstest]
#[case::read("GET", "/v1/jobs/j", operator::ErrorKind::Unavailable)]
#[case::change("POST", "/v1/jobs/j/cancel", operator::ErrorKind::Unknown)]
fn unresponsive_service_times_out(
    #[case] method: &str,
    #[case] path: &str,
    #[case] kind: operator::ErrorKind,
) {
    let entry = entry::Entry::start_with(|settings| settings.operator.timeout_ms = 100);
    let _inbox = entry.context.kernel.register::<jobs::Message>(jobs::NAME);
    let got = entry.send_request(method, path, String::new());
    assert_eq!(got.status, 503);
    assert_eq!(got.header("retry-after"), Some("1"));
    let error_body: operator::OperatorError = serde_json::from_str(&got.body).unwrap();
    assert_eq!(error_body.kind, kind);
}
