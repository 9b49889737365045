//! Callers' connections at a planned stop.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod requests_cell;

use figscale::traffic;
use figscale_types::headers;
use requests_cell::Cell;
use requests_cell::QUOTE;
use requests_cell::Shape;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;

/// A connection that seems idle at a stop may have a request in flight. The request
/// is served with `connection: close`, while new connections are refused.
#[tokio::test(flavor = "multi_thread")]
async fn a_keep_alive_connection_is_served_once_more_at_a_stop() {
    let cell = Cell::start(Shape::default()).await;
    let entry = &cell.entries[0];
    let mut connection = TcpStream::connect(entry.caller).await.unwrap();
    send_request(&mut connection).await;
    let mut first = vec![0; 4_096];
    assert!(connection.read(&mut first).await.unwrap() > 0);

    entry.context.shared.leaving.send_replace(true);
    let context = entry.context.clone();
    let stopped = tokio::spawn(async move { traffic::drain(&context).await });
    requests_cell::wait_for("refused connections", || async {
        TcpStream::connect(entry.caller).await.is_err()
    })
    .await;
    send_request(&mut connection).await;
    let mut last = String::new();
    connection.read_to_string(&mut last).await.unwrap();
    assert!(last.contains("HTTP/1.1 200 OK"), "{last}");
    assert!(last.contains("connection: close"), "{last}");
    assert!(last.contains("body_checksum"), "{last}");
    stopped.await.unwrap();
}

/// Idle connections do not prevent a process from ending.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_are_closed() {
    let cell = Cell::start(Shape::default()).await;
    let entry = &cell.entries[0];
    let mut idle = TcpStream::connect(entry.caller).await.unwrap();
    send_request(&mut idle).await;
    let mut first = vec![0; 4_096];
    assert!(idle.read(&mut first).await.unwrap() > 0);
    let stopped = traffic::drain(&entry.context);
    tokio::time::timeout(requests_cell::LONG, stopped)
        .await
        .unwrap();
    assert!(!idle.read(&mut first).await.is_ok_and(|count| count > 0));
}

async fn send_request(caller: &mut TcpStream) {
    let owner = headers::OWNER;
    let text = format!(
        "POST {QUOTE} HTTP/1.1\r\nhost: x\r\n{owner}: brokers\r\ncontent-length: 4\r\n\r\nbody"
    );
    caller.write_all(text.as_bytes()).await.unwrap();
}
