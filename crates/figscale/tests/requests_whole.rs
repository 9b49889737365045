//! Each caller gets its own complete answer or an error, whatever a runner writes.
//!
//! The runner here is a socket that answers each request with bytes chosen by the
//! test. Every case is run at the holder itself and forwarded to it.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod requests_cell;

use std::net;
use std::sync;
use std::time;

use figscale_standin::client;
use figscale_types::headers;
use requests_cell::Cell;
use requests_cell::QUOTE;
use requests_cell::Shape;
use rstest::rstest;
use tokio::io::AsyncBufReadExt as _;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::io::BufReader;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Larger than what is buffered before the head is sent.
const HUGE: usize = 3 << 20;

/// What the runner writes in answer to a request.
#[derive(Clone)]
struct Script {
    bytes: Vec<u8>,
    /// Whether it closes the connection afterwards.
    close: bool,
}

fn script(text: &str, close: bool) -> Script {
    Script {
        bytes: text.as_bytes().to_vec(),
        close,
    }
}

fn with_length(length: usize, sent: usize, close: bool) -> Script {
    let mut bytes = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n").into_bytes();
    bytes.extend(std::iter::repeat_n(b'x', sent));
    Script { bytes, close }
}

/// Heads of the requests that a raw runner received.
type Heads = sync::Arc<sync::Mutex<String>>;

/// A runner that writes the same bytes for every request.
async fn raw_runner(script: Script, heads: Heads) -> net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let script = sync::Arc::new(script);
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            tokio::spawn(serve(socket, script.clone(), heads.clone()));
        }
    });
    address
}

async fn serve(socket: TcpStream, script: sync::Arc<Script>, heads: Heads) -> Option<()> {
    let (reading, mut writing) = socket.into_split();
    let mut reading = BufReader::new(reading);
    loop {
        let mut length = 0;
        loop {
            let mut line = String::new();
            if reading.read_line(&mut line).await.ok()? == 0 {
                return None;
            }
            let line = line.trim().to_ascii_lowercase();
            heads.lock().unwrap().push_str(&format!("{line}\n"));
            if line.is_empty() {
                break;
            }
            if let Some(value) = line.strip_prefix("content-length:") {
                length = value.trim().parse().ok()?;
            }
        }
        let mut body = vec![0; length];
        reading.read_exact(&mut body).await.ok()?;
        writing.write_all(&script.bytes).await.ok()?;
        if script.close {
            writing.shutdown().await.ok()?;
            return None;
        }
    }
}

/// A cell with one shard whose runner is the raw one.
async fn cell(script: Script) -> Cell {
    let shape = Shape {
        runners: 1,
        ..Shape::default()
    };
    let cell = Cell::start(shape).await;
    let heads = Heads::default();
    cell.runners[0]
        .proxy
        .set_target(raw_runner(script, heads).await);
    cell
}

async fn ask(cell: &Cell, entry: usize) -> Result<client::Answer, client::CallError> {
    let call = cell.call(entry, QUOTE).body("a request");
    cell.client.send_within(requests_cell::LONG, call).await
}

#[rstest]
#[case::short("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf", true)]
#[case::cut_chunks(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
    true
)]
#[case::cut_inside_a_chunk("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nhalf", true)]
#[case::end_not_told("HTTP/1.1 200 OK\r\n\r\nperhaps all", true)]
#[case::old_protocol("HTTP/1.0 200 OK\r\n\r\nperhaps all", true)]
#[case::two_lengths(
    "HTTP/1.1 200 OK\r\ncontent-length: 4\r\ncontent-length: 5\r\n\r\nhalf!",
    false
)]
#[case::no_http("what is this?\r\n\r\n", false)]
#[case::cut_head("HTTP/1.1 200 OK\r\ncontent-le", true)]
#[case::nothing("", true)]
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_is_not_whole_is_an_error(
    #[case] text: &str,
    #[case] close: bool,
    #[values(0, 1)] entry: usize,
) {
    let cell = cell(script(text, close)).await;
    let answer = ask(&cell, entry).await.unwrap();
    assert_eq!(answer.status, 502, "{}", answer.text());
    assert_eq!(answer.header(headers::VERDICT), "may-have-run");
}

#[rstest]
#[case::length("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole")]
#[case::chunks("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n")]
#[case::interim("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole")]
#[case::more_than_told("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole, and more")]
#[case::a_second_answer(
    "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwholeHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwrong"
)]
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_is_its_own_and_nothing_more(#[case] text: &str, #[values(0, 1)] entry: usize) {
    let cell = cell(script(text, false)).await;
    for _ in 0..5 {
        let answer = ask(&cell, entry).await.unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text());
        assert_eq!(answer.text(), "whole");
    }
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_huge_answer_arrives_whole(#[values(0, 1)] entry: usize) {
    let cell = cell(with_length(HUGE, HUGE, false)).await;
    let answer = ask(&cell, entry).await.unwrap();
    assert_eq!(answer.status, 200);
    assert_eq!(answer.body.len(), HUGE);
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_huge_answer_that_is_cut_never_looks_whole(
    #[values(0, 1)] entry: usize,
    #[values(false, true)] chunked: bool,
) {
    let mut cut = with_length(HUGE, HUGE / 2, true);
    if chunked {
        let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n300000\r\n";
        let body = cut.bytes.split_off(cut.bytes.len() - HUGE / 2);
        cut.bytes = [head.as_bytes(), &body].concat();
    }
    let cell = cell(cut).await;
    let answer = ask(&cell, entry).await;
    assert!(answer.is_err(), "{:?}", answer.map(|a| a.body.len()));
}

/// A caller that reads slowly delays only its own answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_reader_gets_its_whole_answer() {
    let cell = cell(with_length(HUGE, HUGE, false)).await;
    let mut slow = TcpStream::connect(cell.entries[1].caller).await.unwrap();
    let head = format!(
        "POST {QUOTE} HTTP/1.1\r\nhost: x\r\n{}: brokers\r\ncontent-length: 0\r\n\r\n",
        headers::OWNER
    );
    slow.write_all(head.as_bytes()).await.unwrap();
    let mut first = [0; 100];
    slow.read_exact(&mut first).await.unwrap();
    let others = ask(&cell, 0).await.unwrap();
    assert_eq!(others.body.len(), HUGE);
    let mut read = first.len();
    let mut buffer = vec![0; 64 << 10];
    while read < HUGE {
        let count = slow.read(&mut buffer).await.unwrap();
        assert!(count > 0, "cut after {read} bytes");
        read += count;
        tokio::time::sleep(time::Duration::from_millis(1)).await;
    }
}

/// Pipelined requests are answered in order, each with its own answer, also after
/// another connection was aborted during its request.
#[tokio::test(flavor = "multi_thread")]
async fn pipelined_requests_get_their_own_answers() {
    let cell = Cell::start(Shape::default()).await;
    let mut aborted = TcpStream::connect(cell.entries[0].caller).await.unwrap();
    aborted
        .write_all(pipelined(99, 200).as_bytes())
        .await
        .unwrap();
    tokio::time::sleep(time::Duration::from_millis(20)).await;
    drop(aborted);
    let mut caller = TcpStream::connect(cell.entries[0].caller).await.unwrap();
    // Earlier requests run longer.
    let all: String = (0..4).map(|n| pipelined(n, 40 - 10 * n as u64)).collect();
    caller.write_all(all.as_bytes()).await.unwrap();
    let mut text = String::new();
    let mut buffer = vec![0; 4_096];
    while text.matches("body_checksum").count() < 4 {
        let count = caller.read(&mut buffer).await.unwrap();
        assert!(count > 0, "closed after {text}");
        text.push_str(std::str::from_utf8(&buffer[..count]).unwrap());
    }
    let mut from = 0;
    for number in 0..4 {
        let own = figscale_standin::runner::checksum(format!("body {number}").as_bytes());
        let at = text[from..].find(&own).expect("own answers in order");
        from += at;
    }
}

fn pipelined(number: usize, run_ms: u64) -> String {
    format!(
        "POST {QUOTE} HTTP/1.1\r\nhost: x\r\n{}: brokers\r\n{}: {run_ms}\r\ncontent-length: {}\r\n\r\nbody {number}",
        headers::OWNER,
        headers::RUN_MS,
        format!("body {number}").len(),
    )
}

/// Internal and hop-by-hop headers set by a caller do not reach a runner, and those
/// set by a runner do not reach the caller.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn internal_headers_are_not_forwarded(#[values(0, 1)] entry: usize) {
    let shape = Shape {
        runners: 1,
        ..Shape::default()
    };
    let cell = Cell::start(shape).await;
    let heads = Heads::default();
    let whole = script(
        "HTTP/1.1 200 OK\r\nx-figscale-made-up: 1\r\nx-peer-from: a\r\nconnection: x-named\r\n\
         x-named: 1\r\nx-kept: 1\r\ncontent-length: 5\r\n\r\nwhole",
        false,
    );
    let address = raw_runner(whole, heads.clone()).await;
    cell.runners[0].proxy.set_target(address);
    let call = cell
        .call(entry, QUOTE)
        .header("x-figscale-made-up", "1")
        .header("x-peer-token", "0123456789abcdef")
        .header(headers::LEAVING, "1")
        .header("connection", "x-named")
        .header("x-named", "1")
        .header("x-kept", "1");
    let answer = cell.send(call).await;
    assert_eq!(answer.status, 200);
    assert_eq!(answer.header("x-kept"), "1");
    for removed in ["x-figscale-made-up", "x-peer-from", "x-named"] {
        assert_eq!(answer.header(removed), "", "{removed} in the answer");
    }
    let heads = heads.lock().unwrap().clone();
    assert!(heads.contains("x-kept: 1"), "{heads}");
    for removed in ["made-up", "x-peer", headers::LEAVING, "x-named"] {
        assert!(!heads.contains(removed), "{removed} in {heads}");
    }
}
