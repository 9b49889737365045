//! Answers to callers that several kinds of calls share.

use axum::response;
use axum::response::IntoResponse as _;

use super::authorize;
use super::call;
use crate::events;
use crate::inbound;

/// When to retry while there is no leader.
const UNAVAILABLE_RETRY_AFTER_MS: u64 = 1_000;

pub(super) fn not_found(call: &call::Call, cause: &'static str) -> response::Response {
    rejected(call, http::StatusCode::NOT_FOUND, cause)
}

/// Answers a call that would fail again if repeated.
pub(super) fn rejected(
    call: &call::Call,
    status: http::StatusCode,
    cause: &'static str,
) -> response::Response {
    log_rejected(call, cause);
    (status, cause).into_response()
}

/// Answers a call whose body was not read; the call had no effect.
pub(super) fn unread(call: &call::Call, error: inbound::body::BodyError) -> response::Response {
    let cause = error.to_string();
    log_rejected(call, &cause);
    (error.status(), cause).into_response()
}

/// Answers a call without a valid key; the call had no effect.
pub(super) fn unauthorized(call: &call::Call, refusal: authorize::Refusal) -> response::Response {
    if refusal == authorize::Refusal::UnknownKey {
        let cause = "the key is missing or unknown";
        return rejected(call, http::StatusCode::UNAUTHORIZED, cause);
    }
    let cause = "it cannot be told whether the key still holds";
    log_rejected(call, cause);
    let text = format!("{cause}; the call has done nothing");
    let status = http::StatusCode::SERVICE_UNAVAILABLE;
    refuse_with_retry(status, UNAVAILABLE_RETRY_AFTER_MS, text)
}

fn log_rejected(call: &call::Call, cause: &str) {
    crate::event!(
        events::fleet::CALL_REJECTED,
        host = call.host,
        path = call.path,
        cause = cause
    );
}

/// Answers that a job was not accepted and never runs; its caller may retry after
/// the given time.
pub(super) fn refuse_job(
    status: http::StatusCode,
    cause: &'static str,
    retry_after_ms: u64,
) -> response::Response {
    let text = format!("{cause}; the job was not taken and never runs");
    refuse_with_retry(status, retry_after_ms, text)
}

/// Answers that a job was not cancelled, since it is not known and no more ids of such
/// jobs can be kept.
pub(super) fn refuse_cancel(call: &call::Call, retry_after_ms: u64) -> response::Response {
    let cause = "too many jobs were cancelled that are not known";
    log_rejected(call, cause);
    let text = format!("{cause}; this one was not cancelled");
    refuse_with_retry(http::StatusCode::SERVICE_UNAVAILABLE, retry_after_ms, text)
}

/// An answer with a `Retry-After` header.
fn refuse_with_retry(
    status: http::StatusCode,
    retry_after_ms: u64,
    text: String,
) -> response::Response {
    let retry_after_s = retry_after_ms.div_ceil(1_000).max(1).to_string();
    let headers = [(http::header::RETRY_AFTER, retry_after_s)];
    (status, headers, text).into_response()
}

pub(super) fn json(status: http::StatusCode, body: bytes::Bytes) -> response::Response {
    (
        status,
        [(http::header::CONTENT_TYPE, "application/json")],
        body,
    )
        .into_response()
}

/// Answers that no leader or configuration is available.
pub(super) fn unavailable() -> response::Response {
    refuse_with_retry(
        http::StatusCode::SERVICE_UNAVAILABLE,
        UNAVAILABLE_RETRY_AFTER_MS,
        String::new(),
    )
}

/// Answers an idempotent call that the leader did not answer.
pub(super) fn unanswered(call: &call::Call) -> response::Response {
    crate::event!(
        events::fleet::CALL_FAILED,
        method = call.method,
        path = call.path
    );
    unavailable()
}
