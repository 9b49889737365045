//! Hostile and malformed input from callers.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod requests_cell;

use std::time;

use figscale_types::headers;
use figscale_types::ids;
use requests_cell::Cell;
use requests_cell::QUOTE;
use requests_cell::Shape;
use rstest::rstest;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

async fn cell() -> Cell {
    let mut shape = Shape {
        runners: 1,
        ..Shape::default()
    };
    shape.traffic.head_timeout_ms = 300;
    shape.traffic.body_timeout_ms = 300;
    shape.traffic.max_connections = 32;
    Cell::start(shape).await
}

/// Writes bytes and reads until the entry instance closes the connection.
async fn raw(cell: &Cell, bytes: &[u8]) -> String {
    let mut caller = TcpStream::connect(cell.entries[0].caller).await.unwrap();
    let _ = caller.write_all(bytes).await;
    let mut answer = Vec::new();
    let read = caller.read_to_end(&mut answer);
    // Far above the time-outs set in this test, and below the defaults of any library.
    let limit = time::Duration::from_secs(15);
    let _ = tokio::time::timeout(limit, read)
        .await
        .expect("closed in time");
    String::from_utf8_lossy(&answer).into_owned()
}

fn head(extra: &str) -> String {
    let owner = headers::OWNER;
    format!("POST {QUOTE} HTTP/1.1\r\nhost: x\r\n{owner}: brokers\r\n{extra}\r\n")
}

async fn still_serves(cell: &Cell) {
    let answer = cell.send(cell.call(0, QUOTE)).await;
    assert_eq!(answer.status, 200, "{}", answer.text());
}

#[rstest]
#[case::many_headers(head(&(0..500).map(|n| format!("x-{n}: 1\r\n")).collect::<String>()), "431")]
#[case::long_header(head(&format!("x: {}\r\n", "y".repeat(200_000))), "431")]
#[case::lengths_differ(head("content-length: 1\r\ncontent-length: 2\r\n"), "400")]
#[case::bad_length(head("content-length: -1\r\n"), "400")]
#[case::unknown_coding(head("transfer-encoding: gzip\r\n"), "400")]
#[case::no_http("\u{1}\u{2}\u{3} nonsense\r\n\r\n".to_owned(), "400")]
#[case::slow_head(format!("POST {QUOTE} HTTP/1.1\r\nhost: x\r\nx-sl"), "")]
#[tokio::test(flavor = "multi_thread")]
async fn a_hostile_head_is_refused_and_closed(#[case] bytes: String, #[case] status: &str) {
    let cell = cell().await;
    let answer = raw(&cell, bytes.as_bytes()).await;
    let expected = match status {
        "" => String::new(),
        status => format!("HTTP/1.1 {status}"),
    };
    assert!(answer.starts_with(&expected), "{answer}");
    assert!(cell.ledger.requests().is_empty());
    still_serves(&cell).await;
}

/// Guards against request smuggling: with two conflicting lengths, bytes after a
/// chunked body must not be read as a further request on the connection.
#[rstest]
#[case::length_first("content-length: 40\r\ntransfer-encoding: chunked\r\n")]
#[case::coding_first("transfer-encoding: chunked\r\ncontent-length: 40\r\n")]
#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_smuggled_behind_a_body(#[case] lengths: &str) {
    let cell = cell().await;
    let inner = head("content-length: 0\r\nx-smuggled: 1\r\n");
    let bytes = format!("{}0\r\n\r\n{inner}", head(lengths));
    let answer = raw(&cell, bytes.as_bytes()).await;
    assert!(answer.matches("HTTP/1.1").count() <= 1, "{answer}");
    assert!(cell.ledger.requests().len() <= 1);
    still_serves(&cell).await;
}

#[rstest]
#[case::slow("content-length: 10\r\n", "1234", "408", "body-too-slow")]
#[case::oversize("content-length: 2000000\r\n", "", "413", "body-too-large")]
#[case::oversize_chunks(
    "transfer-encoding: chunked\r\n",
    "200000\r\n",
    "413",
    "body-too-large"
)]
#[case::bad_chunks("transfer-encoding: chunked\r\n", "zz\r\n", "400", "body-broken")]
#[tokio::test(flavor = "multi_thread")]
async fn a_hostile_body_is_refused_and_not_run(
    #[case] lengths: &str,
    #[case] body: &str,
    #[case] status: &str,
    #[case] code: &str,
) {
    let cell = cell().await;
    let mut bytes = format!("{}{body}", head(lengths));
    if code == "body-too-large" && body.starts_with("200000") {
        bytes.push_str(&"x".repeat(0x20_0000));
    }
    let answer = raw(&cell, bytes.as_bytes()).await;
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status}")),
        "{answer}"
    );
    assert!(answer.contains(code), "{answer}");
    assert!(answer.contains("x-figscale-verdict: not-run"), "{answer}");
    assert!(cell.ledger.requests().is_empty());
    still_serves(&cell).await;
}

#[rstest]
#[case::no_entry("/v1/run/hullrate/nothing", "brokers", 404, "unknown-entry")]
#[case::bad_entry("/v1/run/Hull%20Rate", "brokers", 400, "header")]
#[case::no_path("/elsewhere", "brokers", 404, "not-found")]
#[case::no_owner(QUOTE, "nobody", 403, "unknown-owner")]
#[case::bad_owner(QUOTE, "No Body", 400, "header")]
#[case::other_owner("/v1/run/hullrate/private", "harbour", 403, "owner-not-allowed")]
#[tokio::test(flavor = "multi_thread")]
async fn a_wrong_request_gets_a_clear_error(
    #[case] path: &str,
    #[case] owner: &str,
    #[case] status: u16,
    #[case] code: &str,
) {
    let cell = cell().await;
    let address = cell.entries[0].caller;
    let call = figscale_standin::client::Call::post(address, path).header(headers::OWNER, owner);
    let answer = cell.send(call).await;
    assert_eq!(answer.status, status, "{}", answer.text());
    let error: serde_json::Value = answer.json().unwrap();
    assert_eq!(error["error"], code);
    assert_eq!(error["verdict"], "not-run");
    assert_eq!(answer.header(headers::VERDICT), "not-run");
}

#[rstest]
#[case::owner_twice(headers::OWNER, "harbour")]
#[case::budget(headers::BUDGET_MS, "soon")]
#[case::budget_zero(headers::BUDGET_MS, "0")]
#[case::idempotent(headers::IDEMPOTENT, "maybe")]
#[case::id(headers::REQUEST_ID, "17")]
#[tokio::test(flavor = "multi_thread")]
async fn a_malformed_header_is_named(#[case] name: &'static str, #[case] value: &str) {
    let cell = cell().await;
    let answer = cell.send(cell.call(0, QUOTE).header(name, value)).await;
    assert_eq!(answer.status, 400);
    let error: serde_json::Value = answer.json().unwrap();
    let message = error["message"].as_str().unwrap().to_owned();
    assert!(message.contains(name), "{message}");
}

/// A caller cannot impersonate an entry instance or a runner.
#[tokio::test(flavor = "multi_thread")]
async fn spoofed_headers_are_removed() {
    let cell = cell().await;
    let id = ids::RequestId(uuid::Uuid::now_v7());
    let call = cell
        .call(1, QUOTE)
        .header(headers::REQUEST_ID, id)
        .header(headers::IDEMPOTENT, true)
        .header(headers::HOLDER, "runner/hullrate/domain-1/rack-0@99")
        .header(headers::ENTRY, "hullrate/private")
        .header("x-peer-from", "entry-0#1")
        .header("x-peer-token", "0123456789abcdef")
        .header("connection", "x-secret")
        .header("x-secret", "1");
    let answer = cell.send(call).await;
    assert_eq!(answer.status, 200, "{}", answer.text());
    let seen = cell.ledger.requests();
    let holder = seen[0].holder.clone().unwrap();
    assert_eq!(holder.epoch, ids::Epoch(1));
    assert_eq!(seen[0].entry, "hullrate/quote");
    assert_eq!(cell.ledger.violations(), []);
}

/// Callers that open many connections and send nothing block others for no longer
/// than the time-out of a head.
#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_are_closed_in_favour_of_others() {
    let cell = cell().await;
    let mut idle = Vec::new();
    for _ in 0..40 {
        idle.push(TcpStream::connect(cell.entries[0].caller).await.unwrap());
    }
    tokio::time::sleep(time::Duration::from_millis(50)).await;
    still_serves(&cell).await;
}

/// A cell whose clients may take their time, so that only limits on what they hold
/// protect others.
async fn patient_cell() -> Cell {
    let mut shape = Shape {
        runners: 1,
        ..Shape::default()
    };
    shape.traffic.head_timeout_ms = 60_000;
    shape.traffic.body_timeout_ms = 600_000;
    shape.traffic.max_connections = 32;
    shape.traffic.body_memory_bytes = 1 << 20;
    Cell::start(shape).await
}

/// Opens connections that send some bytes and then nothing.
async fn open_connections(cell: &Cell, number: usize, bytes: &[u8]) -> Vec<TcpStream> {
    let mut open = Vec::new();
    for _ in 0..number {
        let mut caller = TcpStream::connect(cell.entries[0].caller).await.unwrap();
        let _ = caller.write_all(bytes).await;
        open.push(caller);
    }
    open
}

/// Guards against callers that are shut out by connections or bodies of others that never
/// end their requests.
#[rstest]
#[case::silence("")]
#[case::heads("POST /v1/run/hullrate/quote HTTP/1.1\r\nhost: x\r\nx-slow: ")]
#[case::bodies(&format!("{}12345", head("content-length: 60000\r\n")))]
#[case::chunks(&format!("{}5\r\n12345\r\n", head("transfer-encoding: chunked\r\n")))]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_served_beside_stalled_ones(#[case] bytes: &str) {
    let cell = patient_cell().await;
    let stalled = open_connections(&cell, 40, bytes.as_bytes()).await;
    let call = cell.call(0, QUOTE).body("x".repeat(8_000));
    let answer = cell.client.send_within(requests_cell::LONG, call).await;
    assert_eq!(answer.unwrap().status, 200);
    drop(stalled);
}

/// Guards against callers that are shut out while the memory for bodies is held by bodies
/// that never end.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_served_beside_large_stalled_bodies() {
    let cell = patient_cell().await;
    let part = "x".repeat(200_000);
    let bytes = format!("{}{part}", head("content-length: 262144\r\n"));
    let stalled = open_connections(&cell, 20, bytes.as_bytes()).await;
    for body_bytes in [8_000, 100_000] {
        let call = cell.call(0, QUOTE).body("x".repeat(body_bytes));
        let answer = cell.client.send_within(requests_cell::LONG, call).await;
        assert_eq!(answer.unwrap().status, 200, "{body_bytes} bytes");
    }
    drop(stalled);
}

/// Guards against callers that are shut out by connections on which there is always a
/// request.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_served_beside_endless_pipelines() {
    let mut shape = Shape {
        runners: 1,
        ..Shape::default()
    };
    shape.traffic.max_connections = 8;
    let cell = Cell::start(shape).await;
    let address = cell.entries[0].caller;
    let requests = head("content-length: 0\r\n").repeat(64);
    let pipelines: Vec<_> = (0..16)
        .map(|_| {
            let requests = requests.clone();
            tokio::spawn(async move {
                loop {
                    let Ok(caller) = TcpStream::connect(address).await else {
                        continue;
                    };
                    let (mut reader, mut writer) = caller.into_split();
                    let mut answers = [0; 4_096];
                    let write =
                        async { while writer.write_all(requests.as_bytes()).await.is_ok() {} };
                    let read =
                        async { while matches!(reader.read(&mut answers).await, Ok(1..)) {} };
                    tokio::select! {
                        () = write => (),
                        () = read => (),
                    }
                }
            })
        })
        .collect();
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    requests_cell::wait_for("an answer", || async {
        // A connection that is closed before its request was read may be opened again.
        let call = cell.call(0, QUOTE);
        let answer = cell.client.send_within(requests_cell::LONG, call).await;
        answer.is_ok_and(|answer| answer.status == 200)
    })
    .await;
    for pipeline in pipelines {
        pipeline.abort();
    }
}

/// Guards against a connection that stays open, with what is buffered for it, for as long
/// as its caller reads no answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_reads_no_answer_is_closed() {
    let mut shape = Shape {
        runners: 1,
        ..Shape::default()
    };
    shape.traffic.write_timeout_ms = 300;
    let cell = Cell::start(shape).await;
    // Small, so that few answers fill it.
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4_096).unwrap();
    let mut caller = socket.connect(cell.entries[0].caller).await.unwrap();
    let requests = "GET /v1/ready HTTP/1.1\r\nhost: x\r\n\r\n".repeat(64);
    let writing = async { while caller.write_all(requests.as_bytes()).await.is_ok() {} };
    let closed = tokio::time::timeout(requests_cell::LONG, writing).await;
    closed.expect("closed in time");
    still_serves(&cell).await;
}
