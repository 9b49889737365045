//! The platform's protocol over HTTP.
//!
//! Maps statuses to errors with a verdict. A read changes nothing, so the
//! verdict of its errors is always [`Verdict::NotRun`]. A write may have run
//! unless it was refused explicitly (over the rate, other revision, lease gone,
//! too large) or no connection was established. A 503 or any other status counts
//! as [`Verdict::MayHaveRun`], since an intermediary between client and store
//! may have sent it.

use std::fmt;
use std::net;
use std::str;
use std::time;

use bytes::Bytes;
use figscale_types::ids;
use figscale_types::platform;
use figscale_types::verdict::Verdict;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Method;
use hyper::StatusCode;
use hyper::header;
use hyper_util::client::legacy;
use hyper_util::rt;
use serde::de;

use super::StoreError;
use super::StoreErrorKind;

/// Largest response body; instance lists may be larger than a value.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Timeout of establishing a connection.
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT_MS: u64 = 30_000;
/// Estimated bytes of a message's head besides its path and headers.
const HEAD_BYTES: usize = 40;

/// A call before it is sent.
pub(super) struct Request {
    method: Method,
    path: String,
    headers: Vec<(&'static str, String)>,
    body: Vec<u8>,
}

impl Request {
    pub(super) fn read(path: String) -> Self {
        Self::write(Method::GET, path)
    }

    pub(super) fn write(method: Method, path: String) -> Self {
        Self {
            method,
            path,
            headers: Vec::new(),
            body: Vec::new(),
        }
    }

    pub(super) fn header(mut self, name: &'static str, value: impl fmt::Display) -> Self {
        self.headers.push((name, value.to_string()));
        self
    }

    pub(super) fn body(mut self, body: Vec<u8>) -> Self {
        self.body = body;
        self
    }

    /// Estimated size on the wire, in bytes.
    pub(super) fn len(&self) -> usize {
        let headers = self.headers.iter().map(|(n, v)| n.len() + v.len() + 4);
        HEAD_BYTES + self.path.len() + headers.sum::<usize>() + self.body.len()
    }

    /// The verdict if it is not known whether the store executed the request.
    fn verdict_if_unanswered(&self) -> Verdict {
        match self.method {
            Method::GET => Verdict::NotRun,
            _ => Verdict::MayHaveRun,
        }
    }
}

/// A response that is not an error.
pub(super) struct Answer {
    status: StatusCode,
    revision: Option<ids::Revision>,
    entity_tag: Option<String>,
    body: Bytes,
    /// The verdict of the error if the response turns out to be unusable.
    unknown: Verdict,
}

impl Answer {
    /// Estimated size on the wire, in bytes.
    pub(super) fn len(&self) -> usize {
        HEAD_BYTES + self.body.len()
    }

    pub(super) fn done(self) -> Result<(), StoreError> {
        match self.status {
            StatusCode::OK => Ok(()),
            _ => Err(self.unexpected_response()),
        }
    }

    pub(super) fn written(self) -> Result<ids::Revision, StoreError> {
        match (self.status, self.revision) {
            (StatusCode::OK, Some(revision)) => Ok(revision),
            _ => Err(self.unexpected_response()),
        }
    }

    pub(super) fn versioned(self) -> Result<Option<super::Versioned>, StoreError> {
        match (self.status, self.revision) {
            (StatusCode::OK, Some(revision)) => Ok(Some(super::Versioned {
                revision,
                value: self.body.into(),
            })),
            (StatusCode::NOT_FOUND | StatusCode::NO_CONTENT, _) => Ok(None),
            _ => Err(self.unexpected_response()),
        }
    }

    pub(super) fn json<T: de::DeserializeOwned>(self) -> Result<T, StoreError> {
        match self.status {
            StatusCode::OK => {
                serde_json::from_slice(&self.body).map_err(|_| self.unexpected_response())
            }
            _ => Err(self.unexpected_response()),
        }
    }

    /// Whether the resource still has the entity tag named in the request.
    pub(super) fn is_unchanged(&self) -> bool {
        self.status == StatusCode::NOT_MODIFIED
    }

    /// The entity tag, for a later conditional request.
    pub(super) fn entity_tag(&self) -> Option<String> {
        self.entity_tag.clone()
    }

    fn unexpected_response(&self) -> StoreError {
        let cause = format!("unexpected response with status {}", self.status);
        StoreError {
            kind: StoreErrorKind::Unavailable(cause),
            verdict: self.unknown,
        }
    }
}

type Connector = legacy::connect::HttpConnector;

/// An HTTP client of the platform with a connection pool.
pub(super) struct HttpClient {
    address: net::SocketAddr,
    client: legacy::Client<Connector, Full<Bytes>>,
}

impl HttpClient {
    pub(super) fn new(address: net::SocketAddr) -> Self {
        let mut connector = Connector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(time::Duration::from_millis(CONNECT_TIMEOUT_MS)));
        let client = legacy::Client::builder(rt::TokioExecutor::new())
            .pool_idle_timeout(time::Duration::from_millis(IDLE_TIMEOUT_MS))
            .pool_timer(rt::TokioTimer::new())
            .build(connector);
        Self { address, client }
    }

    /// Sends a request and waits at most `timeout` for the whole response.
    pub(super) async fn send(
        &self,
        request: Request,
        timeout: time::Duration,
    ) -> Result<Answer, StoreError> {
        let unknown = request.verdict_if_unanswered();
        let request = self.build(request)?;
        match tokio::time::timeout(timeout, self.exchange(request, unknown)).await {
            Ok(result) => result,
            Err(_) => Err(StoreError {
                kind: StoreErrorKind::Unavailable(format!("timed out after {timeout:?}")),
                verdict: unknown,
            }),
        }
    }

    fn build(&self, request: Request) -> Result<hyper::Request<Full<Bytes>>, StoreError> {
        let uri = format!("http://{}{}", self.address, request.path);
        let mut builder = hyper::Request::builder().method(request.method).uri(uri);
        for (name, value) in request.headers {
            builder = builder.header(name, value);
        }
        builder
            .body(Full::new(request.body.into()))
            .map_err(|e| StoreError::unavailable(e.to_string()))
    }

    async fn exchange(
        &self,
        request: hyper::Request<Full<Bytes>>,
        unknown: Verdict,
    ) -> Result<Answer, StoreError> {
        let answer = self.client.request(request).await.map_err(|error| {
            let verdict = match error.is_connect() {
                true => Verdict::NotRun,
                false => unknown,
            };
            StoreError {
                kind: StoreErrorKind::Unavailable(describe(&error)),
                verdict,
            }
        })?;
        let status = answer.status();
        let revision = revision(&answer);
        let entity_tag = header(&answer, header::ETAG).map(str::to_owned);
        let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES);
        let body = body.collect().await.map_err(|error| StoreError {
            kind: StoreErrorKind::Unavailable(error.to_string()),
            verdict: unknown,
        })?;
        let answer = Answer {
            status,
            revision,
            entity_tag,
            body: body.to_bytes(),
            unknown,
        };
        check_status(answer, unknown)
    }
}

impl fmt::Debug for HttpClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "HttpClient({})", self.address)
    }
}

/// Maps statuses that mean a refusal or failure to errors.
fn check_status(answer: Answer, unknown: Verdict) -> Result<Answer, StoreError> {
    let kind = match answer.status {
        StatusCode::PRECONDITION_FAILED => {
            StoreErrorKind::Conflict(answer.revision.unwrap_or_default())
        }
        StatusCode::GONE => StoreErrorKind::LeaseGone,
        StatusCode::PAYLOAD_TOO_LARGE => StoreErrorKind::TooLarge,
        StatusCode::TOO_MANY_REQUESTS => StoreErrorKind::Busy,
        StatusCode::NOT_FOUND | StatusCode::NOT_MODIFIED => return Ok(answer),
        status if status.is_success() => return Ok(answer),
        status => {
            return Err(StoreError {
                kind: StoreErrorKind::Unavailable(format!("status {status}")),
                verdict: unknown,
            });
        }
    };
    Err(StoreError::not_run(kind))
}

fn revision<B>(answer: &hyper::Response<B>) -> Option<ids::Revision> {
    header(answer, platform::REVISION)?.parse().ok()
}

fn header<B>(answer: &hyper::Response<B>, name: impl header::AsHeaderName) -> Option<&str> {
    str::from_utf8(answer.headers().get(name)?.as_bytes()).ok()
}

/// Formats the whole chain of causes, since the outermost error says little.
fn describe(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text = format!("{text}: {error}");
        cause = error.source();
    }
    text
}
