//! A call as received from its caller, with the deadline for its answer.

use std::time;

use figscale_platform::config;
use figscale_platform::ingress;
use figscale_types::fleet;

use crate::inbound;

/// Time limit assumed for a caller that sends none.
const DEFAULT_TIME_LIMIT: time::Duration = time::Duration::from_secs(3);
/// Largest part of a caller's time limit that is reserved for returning the
/// answer. An answer takes some 10 ms, network included. Callers whose time runs
/// out retry more often with short limits: the share reserved of a limit of 100 ms
/// once made the instances refuse eight of them in the first 0.3 s after an outage
/// of 4.2 s.
const MAX_REPLY_MARGIN: time::Duration = time::Duration::from_millis(150);
/// The part of a caller's time limit that is reserved for returning the answer is
/// one in this number.
const REPLY_MARGIN_DIVISOR: u32 = 4;

/// A call as received from its caller.
pub(super) struct Call {
    pub(super) method: http::Method,
    /// Requested host, without the port.
    pub(super) host: String,
    pub(super) path: String,
    /// Digest of the customer's key, if the call carries one.
    pub(super) key: Option<fleet::KeyDigest>,
    /// Latest time to send the answer.
    pub(super) deadline: time::Instant,
    /// The body, once it has been read.
    pub(super) body: Option<inbound::body::Body>,
}

impl Call {
    /// A call whose head arrived at the given time.
    pub(super) fn new(head: &http::request::Parts, arrived: time::Instant) -> Self {
        let time_limit = time_limit_of(&head.headers);
        let margin = MAX_REPLY_MARGIN.min(time_limit / REPLY_MARGIN_DIVISOR);
        Self {
            method: head.method.clone(),
            host: host_of(head),
            path: head.uri.path().to_owned(),
            key: config::key_of(head.headers.get(http::header::AUTHORIZATION)),
            deadline: arrived + time_limit.saturating_sub(margin),
            body: None,
        }
    }

    /// The bytes of the body; none before it has been read.
    pub(super) fn body_bytes(&self) -> &[u8] {
        self.body.as_ref().map_or(&[], |body| body.bytes())
    }
}

/// How long the caller waits for the answer.
fn time_limit_of(headers: &http::HeaderMap) -> time::Duration {
    let header = headers.get(ingress::DEADLINE_HEADER);
    let text = header.and_then(|value| value.to_str().ok());
    let limit_ms = text.and_then(|text| text.trim().parse::<f64>().ok());
    limit_ms.map_or(DEFAULT_TIME_LIMIT, |ms| {
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
