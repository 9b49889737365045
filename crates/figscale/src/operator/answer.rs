//! Bodies, statuses and `Retry-After` headers of the operator API.

use axum::Json;
use axum::extract::rejection;
use axum::response;
use axum::response::IntoResponse as _;
use bytes::Bytes;
use figscale_types::operator;
use serde::Serialize;
use serde::de;

use crate::inbound;
use crate::kernel;
use crate::settings::document;

/// Time after which to retry if the service gives none.
pub const RETRY_AFTER_MS: u64 = 1_000;

/// Result of a handler.
pub(crate) type Answer<T> = Result<Json<T>, Refusal>;

/// An error that is sent as an HTTP response.
pub(crate) struct Refusal(operator::OperatorError);

impl From<operator::OperatorError> for Refusal {
    fn from(error: operator::OperatorError) -> Self {
        Self(error)
    }
}

impl From<kernel::Unavailable> for Refusal {
    fn from(error: kernel::Unavailable) -> Self {
        // A service that ended after it received the message may have executed it.
        let kind = match error {
            kernel::Unavailable::Unknown(_) | kernel::Unavailable::Full(_) => {
                operator::ErrorKind::Unavailable
            }
            kernel::Unavailable::Gone(_) => operator::ErrorKind::Unknown,
        };
        Self(operator::OperatorError {
            kind,
            message: error.to_string(),
            retry_after_ms: Some(RETRY_AFTER_MS),
        })
    }
}

impl response::IntoResponse for Refusal {
    fn into_response(self) -> response::Response {
        refuse(self.0)
    }
}

/// Converts the result of a call of a service to an HTTP response.
pub(crate) fn into_answer<T: Serialize>(
    result: Result<Result<T, operator::OperatorError>, kernel::Unavailable>,
) -> Answer<T> {
    Ok(Json(result??))
}

/// An error of kind `Unavailable`, with the default time until a retry.
pub(crate) fn unavailable(text: &str) -> operator::OperatorError {
    operator::OperatorError {
        kind: operator::ErrorKind::Unavailable,
        message: text.to_owned(),
        retry_after_ms: Some(RETRY_AFTER_MS),
    }
}

/// An error of kind `Invalid`.
pub(crate) fn invalid(text: impl Into<String>) -> operator::OperatorError {
    operator::OperatorError::new(operator::ErrorKind::Invalid, text)
}

fn status(kind: operator::ErrorKind) -> http::StatusCode {
    match kind {
        operator::ErrorKind::Invalid => http::StatusCode::BAD_REQUEST,
        operator::ErrorKind::Conflict => http::StatusCode::CONFLICT,
        operator::ErrorKind::NotFound => http::StatusCode::NOT_FOUND,
        operator::ErrorKind::Unavailable | operator::ErrorKind::Unknown => {
            http::StatusCode::SERVICE_UNAVAILABLE
        }
    }
}

/// Converts an error to an HTTP response, with `Retry-After` in whole seconds,
/// rounded up.
pub(crate) fn refuse(error: operator::OperatorError) -> response::Response {
    let status = status(error.kind);
    let retry_after_s = error.retry_after_ms.map(|wait| wait.div_ceil(1_000));
    let mut answer = (status, Json(error)).into_response();
    if let Some(seconds) = retry_after_s {
        answer
            .headers_mut()
            .insert(http::header::RETRY_AFTER, seconds.into());
    }
    answer
}

/// Answers a call whose body was not read.
pub(crate) fn refuse_unread(error: inbound::body::BodyError) -> response::Response {
    let text = format!("{error}; nothing was done");
    (error.status(), Json(invalid(text))).into_response()
}

/// Returns the body, or an error if it is too large or incomplete.
pub(crate) fn body(body: Result<Bytes, rejection::BytesRejection>) -> Result<Bytes, BodyRefusal> {
    body.map_err(|rejection| BodyRefusal {
        status: rejection.status(),
        error: match rejection.status() {
            http::StatusCode::PAYLOAD_TOO_LARGE => invalid(format!(
                "the body is larger than {} bytes; nothing was done",
                super::MAX_BODY_BYTES
            )),
            _ => invalid(format!("the body broke off: {rejection}")),
        },
    })
}

/// Parses a body. Errors name the line, column and field.
pub(crate) fn parse<T: de::DeserializeOwned>(body: &[u8]) -> Result<T, operator::OperatorError> {
    let text = std::str::from_utf8(body).map_err(|_| invalid("body: expected UTF-8"))?;
    document::Document::from_text("body", text)
        .and_then(|document| document.parse())
        .map_err(|error| invalid(error.to_string()))
}

/// A body that could not be read, with the status given by the HTTP library.
pub(crate) struct BodyRefusal {
    status: http::StatusCode,
    error: operator::OperatorError,
}

impl response::IntoResponse for BodyRefusal {
    fn into_response(self) -> response::Response {
        (self.status, Json(self.error)).into_response()
    }
}
