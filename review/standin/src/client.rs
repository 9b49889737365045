//! A small HTTP/1.1 client: one connection a call.

use std::net;
use std::time;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

/// Status and body of an answer; status 0 if there was none.
pub struct Answer {
    pub status: u16,
    pub body: String,
}

pub async fn call(
    address: net::SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    body: &str,
    wait: time::Duration,
) -> Answer {
    let none = |why: &str| Answer {
        status: 0,
        body: why.to_owned(),
    };
    let wait_ms = wait.as_millis();
    let exchange = async {
        let mut socket = tokio::net::TcpStream::connect(address).await?;
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: {host}\r\nFigscale-Deadline-Ms: {wait_ms}\r\n\
             Content-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
            body.len()
        );
        socket.write_all(request.as_bytes()).await?;
        let mut all = Vec::new();
        socket.read_to_end(&mut all).await?;
        Ok::<Vec<u8>, std::io::Error>(all)
    };
    let all = match tokio::time::timeout(wait, exchange).await {
        Ok(Ok(all)) => String::from_utf8_lossy(&all).into_owned(),
        Ok(Err(error)) => return none(&error.to_string()),
        Err(_) => return none("no answer in time"),
    };
    let status = all.split(' ').nth(1).and_then(|word| word.parse().ok());
    let body = all.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    Answer {
        status: status.unwrap_or(0),
        body: body.to_owned(),
    }
}
