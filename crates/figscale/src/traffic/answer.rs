//! Answers to callers: that of a runner, or an error response when there is none.

use std::time;

use bytes::Bytes;
use figscale_core::request::admission;
use figscale_core::request::dedup;
use figscale_types::clock;
use figscale_types::headers;
use figscale_types::ids;
use figscale_types::verdict::Verdict;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::StatusCode;
use http::header;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::mpsc;

/// A part of a streamed body.
///
/// A channel that closes without [`Part::End`] counts as truncated. A task that
/// is cancelled midway therefore never makes a partial answer look complete.
#[derive(Debug)]
pub(super) enum Part {
    /// The next bytes.
    Data(Bytes),
    /// All bytes have been sent.
    End,
}

/// A body that was cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TruncatedBody;

impl std::fmt::Display for TruncatedBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for TruncatedBody {}

/// The body of a runner's answer.
#[derive(Debug)]
pub(super) enum AnswerBody {
    /// The whole body, known to be complete.
    Whole(Bytes),
    /// Too large to be buffered: the beginning, and the rest as it arrives.
    Streamed {
        /// The bytes read so far.
        first: Bytes,
        /// Length of the whole body, where the runner sent it.
        length: Option<u64>,
        /// The rest.
        rest: mpsc::Receiver<Part>,
    },
}

/// A runner's answer.
#[derive(Debug)]
pub(super) struct Answer {
    /// Status.
    pub(super) status: StatusCode,
    /// Headers that may be forwarded.
    pub(super) headers: HeaderMap,
    /// Body.
    pub(super) body: AnswerBody,
    /// The runner that ran the request.
    pub(super) runner: ids::InstanceId,
}

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Fault {
    /// The runner could not be reached.
    Connect,
    /// The connection broke, or the answer was incomplete.
    Broken,
    /// The runner refused the request without running it.
    RefusedByRunner,
    /// This process lost the shard or its authority before the dispatch.
    Fenced,
    /// The runner did not answer in time.
    TooSlow,
    /// The connection to the holder broke.
    PeerLink,
    /// Nothing was received from the holder any more.
    PeerSilent,
}

impl Fault {
    /// The code used in answers and logs.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::Connect => "runner-unreachable",
            Self::Broken => "answer-broken",
            Self::RefusedByRunner => "refused-by-runner",
            Self::Fenced => "shard-lost",
            Self::TooSlow => "runner-too-slow",
            Self::PeerLink => "peer-link-broken",
            Self::PeerSilent => "peer-silent",
        }
    }
}

/// An attempt that failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Failure {
    /// Whether the request may have run in this attempt.
    pub(super) verdict: Verdict,
    /// What went wrong.
    pub(super) fault: Fault,
    /// The runner, where one was chosen.
    pub(super) runner: Option<ids::InstanceId>,
}

/// Why a caller's request is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum BadRequest {
    /// No such path.
    NotFound,
    /// The method is not `POST`.
    Method,
    /// A header is missing or malformed; the text says which.
    Header(String),
    /// The body is larger than the entry allows.
    TooLarge(u64),
    /// The body was not received in time.
    TooSlow,
    /// The body was truncated or malformed.
    Body,
}

/// Why a request has no answer of a runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum RequestError {
    /// The request itself is invalid.
    Bad(BadRequest),
    /// It was refused before it was granted a slot.
    Refused {
        /// Why.
        reason: admission::Reason,
        /// Time after which to retry.
        retry_after: time::Duration,
    },
    /// The home of its id did not accept it: it is a repeat, or that cannot be
    /// ruled out.
    Repeat(dedup::Begin),
    /// Its last attempt failed.
    Failed {
        /// Whether any attempt may have run.
        verdict: Verdict,
        /// Why the last one failed.
        fault: Fault,
        /// Time after which to retry.
        retry_after: time::Duration,
    },
    /// Its deadline passed.
    Expired {
        /// Whether any attempt may have run.
        verdict: Verdict,
        /// Time after which to retry.
        retry_after: time::Duration,
    },
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
    message: String,
    verdict: Verdict,
    retry_after_ms: Option<u64>,
}

impl RequestError {
    /// Whether the request may have run.
    pub(super) fn verdict(&self) -> Verdict {
        match self {
            Self::Bad(_) | Self::Refused { .. } => Verdict::NotRun,
            Self::Repeat(begin) => begin.verdict(),
            Self::Failed { verdict, .. } | Self::Expired { verdict, .. } => *verdict,
        }
    }

    fn status(&self) -> StatusCode {
        match self {
            Self::Bad(bad) => bad.status(),
            Self::Refused { reason, .. } => refused_status(*reason),
            Self::Repeat(dedup::Begin::FromFuture) => StatusCode::BAD_REQUEST,
            Self::Repeat(dedup::Begin::NotHome) => StatusCode::SERVICE_UNAVAILABLE,
            Self::Repeat(_) => StatusCode::CONFLICT,
            Self::Failed {
                verdict: Verdict::NotRun,
                ..
            } => StatusCode::SERVICE_UNAVAILABLE,
            Self::Failed { .. } => StatusCode::BAD_GATEWAY,
            Self::Expired { .. } => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// The error code used in answers, logs and metrics.
    pub(super) fn code(&self) -> &'static str {
        match self {
            Self::Bad(bad) => bad.code(),
            Self::Refused { reason, .. } => reason.as_str(),
            Self::Repeat(dedup::Begin::FromFuture) => "id-from-future",
            Self::Repeat(dedup::Begin::NotHome) => "no-id-home",
            Self::Repeat(dedup::Begin::Forgotten) => "id-too-old",
            Self::Repeat(_) => "repeat",
            Self::Failed { fault, .. } => fault.as_str(),
            Self::Expired { .. } => "deadline-passed",
        }
    }

    fn message(&self) -> String {
        match self {
            Self::Bad(bad) => bad.message(),
            Self::Refused { reason, .. } => format!("refused: {}", reason.as_str()),
            Self::Repeat(dedup::Begin::FromFuture) => {
                "the request id is not a UUIDv7, or is stamped in the future".to_owned()
            }
            Self::Repeat(dedup::Begin::NotHome) => {
                "nobody remembers request ids like this one just now".to_owned()
            }
            Self::Repeat(dedup::Begin::Forgotten) => {
                "the request id is older than the memory of request ids".to_owned()
            }
            Self::Repeat(_) => "a request with this id was begun before".to_owned(),
            Self::Failed { fault, .. } => format!("the last attempt failed: {}", fault.as_str()),
            Self::Expired { .. } => "the deadline came before an answer".to_owned(),
        }
    }

    /// Time after which to retry, where a retry can help.
    pub(super) fn retry_after(&self) -> Option<time::Duration> {
        match self {
            Self::Bad(_) => None,
            Self::Refused {
                reason,
                retry_after,
            } => reason.is_transient().then_some(*retry_after),
            Self::Repeat(dedup::Begin::NotHome) => Some(time::Duration::from_secs(1)),
            Self::Repeat(_) => None,
            Self::Failed { retry_after, .. } | Self::Expired { retry_after, .. } => {
                Some(*retry_after)
            }
        }
    }

    /// Status, headers and JSON body, for a request with this verdict.
    pub(super) fn parts(&self, verdict: Verdict) -> (StatusCode, HeaderMap, Bytes) {
        let retry_after = self.retry_after();
        let millis = retry_after.map(clock::millis);
        let body = ErrorBody {
            error: self.code(),
            message: self.message(),
            verdict,
            retry_after_ms: millis,
        };
        let bytes = serde_json::to_vec(&body).unwrap_or_default();
        let mut map = HeaderMap::new();
        let json = HeaderValue::from_static("application/json");
        map.insert(header::CONTENT_TYPE, json);
        if let Some(millis) = millis {
            map.insert(
                header::RETRY_AFTER,
                HeaderValue::from(millis.div_ceil(1_000)),
            );
        }
        (self.status(), map, bytes.into())
    }
}

fn refused_status(reason: admission::Reason) -> StatusCode {
    match reason {
        admission::Reason::UnknownEntry => StatusCode::NOT_FOUND,
        admission::Reason::NotForRequests => StatusCode::BAD_REQUEST,
        admission::Reason::UnknownOwner | admission::Reason::OwnerNotAllowed => {
            StatusCode::FORBIDDEN
        }
        admission::Reason::OverRate | admission::Reason::OverConcurrency => {
            StatusCode::TOO_MANY_REQUESTS
        }
        admission::Reason::Expired => StatusCode::GATEWAY_TIMEOUT,
        admission::Reason::QueueFull
        | admission::Reason::Unreachable
        | admission::Reason::NoHolder => StatusCode::SERVICE_UNAVAILABLE,
    }
}

impl BadRequest {
    fn status(&self) -> StatusCode {
        match self {
            Self::NotFound => StatusCode::NOT_FOUND,
            Self::Method => StatusCode::METHOD_NOT_ALLOWED,
            Self::Header(_) | Self::Body => StatusCode::BAD_REQUEST,
            Self::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooSlow => StatusCode::REQUEST_TIMEOUT,
        }
    }

    fn code(&self) -> &'static str {
        match self {
            Self::NotFound => "not-found",
            Self::Method => "method",
            Self::Header(_) => "header",
            Self::TooLarge(_) => "body-too-large",
            Self::TooSlow => "body-too-slow",
            Self::Body => "body-broken",
        }
    }

    fn message(&self) -> String {
        match self {
            Self::NotFound => "no such path: expected POST /v1/run/ENTRY".to_owned(),
            Self::Method => "expected POST".to_owned(),
            Self::Header(text) => text.clone(),
            Self::TooLarge(limit) => format!("the body is larger than {limit} bytes"),
            Self::TooSlow => "the body did not arrive in time".to_owned(),
            Self::Body => "the body broke off or is malformed".to_owned(),
        }
    }
}

/// Whether a header applies to a single connection, or is internal to this system.
pub(super) fn is_private(name: &HeaderName) -> bool {
    const HOP: [&str; 10] = [
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
    ];
    const OWN: [&str; 2] = [headers::REFUSED, headers::LEAVING];
    let name = name.as_str();
    HOP.contains(&name)
        || OWN.contains(&name)
        || name.starts_with("x-figscale-")
        || name.starts_with("x-peer-")
}

/// Returns the headers that may be forwarded: no hop-by-hop headers, none that
/// `Connection` names, and none that are internal to this system.
pub(super) fn forwardable_headers(map: &HeaderMap) -> HeaderMap {
    let named: Vec<String> = (map.get_all(header::CONNECTION).iter())
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let keep = |name: &HeaderName| !is_private(name) && !named.iter().any(|n| n == name.as_str());
    map.iter()
        .filter(|(name, _)| keep(name))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
