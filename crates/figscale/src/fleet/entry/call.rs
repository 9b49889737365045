//! A call as its caller sent it, and how long that caller waits.

use std::time;

use figscale_platform::config;
use figscale_platform::ingress;
use figscale_types::fleet;

/// Largest body that is read; the platform's jobs are a tenth of it.
pub(super) const MAX_BODY_BYTES: usize = 256 * 1_024;
/// What a caller without a deadline of its own is taken to wait.
const STANDARD_DEADLINE: time::Duration = time::Duration::from_secs(3);
/// Kept of a caller's wait for the way back, at most. Callers whose time runs
/// out try more often, and an answer takes some 10 ms with the way: what was
/// kept of a wait of 100 ms had them refused, eight in the first 0.3 s after an
/// outage of 4.2 s by the log of such a day.
const MAX_ANSWER_MARGIN: time::Duration = time::Duration::from_millis(150);
/// Part of a caller's wait that is kept for the way back.
const ANSWER_MARGIN_PART: u32 = 4;

/// A call as its caller sent it.
pub(super) struct Call {
    pub(super) method: http::Method,
    /// The host that the caller named, without a port.
    pub(super) host: String,
    pub(super) path: String,
    /// The key that it carries.
    pub(super) key: Option<fleet::KeyDigest>,
    /// When its answer has to be sent.
    pub(super) deadline: time::Instant,
    pub(super) body: bytes::Bytes,
}

impl Call {
    /// A call that arrived then.
    pub(super) fn new(
        head: &http::request::Parts,
        body: bytes::Bytes,
        arrived: time::Instant,
    ) -> Self {
        let wait = wait_of(&head.headers);
        let margin = MAX_ANSWER_MARGIN.min(wait / ANSWER_MARGIN_PART);
        Self {
            method: head.method.clone(),
            host: host_of(head),
            path: head.uri.path().to_owned(),
            key: config::key_of(head.headers.get(http::header::AUTHORIZATION)),
            deadline: arrived + wait.saturating_sub(margin),
            body,
        }
    }
}

/// How long the caller waits.
fn wait_of(headers: &http::HeaderMap) -> time::Duration {
    let header = headers.get(ingress::DEADLINE_HEADER);
    let text = header.and_then(|value| value.to_str().ok());
    let wait_ms = text.and_then(|text| text.trim().parse::<f64>().ok());
    wait_ms.map_or(STANDARD_DEADLINE, |ms| {
        time::Duration::from_millis(ms.max(0.0) as u64)
    })
}

fn host_of(head: &http::request::Parts) -> String {
    let header = head.headers.get(http::header::HOST);
    let named = header
        .and_then(|value| value.to_str().ok())
        .or_else(|| head.uri.host());
    let host = named.unwrap_or_default();
    host.split(':')
        .next()
        .unwrap_or_default()
        .to_ascii_lowercase()
}
